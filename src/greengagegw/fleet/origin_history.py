"""Which backend servers may have begun the streams of each route.

The control group records the software versions of each service, and the
services of each route, so that an entry VM that does not know what began a
stream knows what may have. Only changes are written to the replicated log.
"""

import collections.abc
import dataclasses
import typing

from . import configuration as configurations
from . import instances
from ..ports import peers

# Asks the leading control VM for the history, confirmed by a majority.
CURRENT_METHOD = 'fleet.current_history'
# Longer than any stream plus its resumption; entry VMs keep origins for 120 s.
RETENTION_SECONDS = 180.0

Version = tuple[str, str]
RouteService = tuple[str, str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class OriginHistory:
    """What was present within the retention period.

    :ivar number: greater than that of any earlier history of the group.
    :ivar is_complete: whether it covers the whole retention period. It does
        not at first in a group that an earlier release served.
    :ivar versions: software versions by service.
    :ivar services: names of services by host and path prefix of a route.
    """

    number: int
    is_complete: bool
    versions: dict[str, frozenset[str]]
    services: dict[tuple[str, str], frozenset[str]]

    @classmethod
    def build(
        cls,
        number: int,
        is_complete: bool,
        versions: collections.abc.Iterable[Version],
        routes: collections.abc.Iterable[RouteService],
    ) -> 'OriginHistory':
        by_service: dict[str, set[str]] = {}
        for service, version in versions:
            by_service.setdefault(service, set()).add(version)
        by_route: dict[tuple[str, str], set[str]] = {}
        for host, prefix, service in routes:
            by_route.setdefault((host, prefix), set()).add(service)
        return cls(
            number,
            is_complete,
            {name: frozenset(one) for name, one in by_service.items()},
            {name: frozenset(one) for name, one in by_route.items()},
        )

    @property
    def version_entries(self) -> set[Version]:
        return {
            (service, version)
            for service, versions in self.versions.items()
            for version in versions
        }

    @property
    def route_entries(self) -> set[RouteService]:
        return {
            (host, prefix, service)
            for (host, prefix), services in self.services.items()
            for service in services
        }

    def pack(self) -> list:
        return [
            self.number,
            self.is_complete,
            [list(one) for one in sorted(self.version_entries)],
            [list(one) for one in sorted(self.route_entries)],
        ]

    @classmethod
    def unpack(cls, values: list) -> 'OriginHistory':
        """Returns a history; fields of later releases are ignored."""
        number, is_complete, versions, routes = values[:4]
        return cls.build(
            int(number),
            bool(is_complete),
            ((str(service), str(version)) for service, version in versions),
            (
                (str(host), str(prefix), str(service))
                for host, prefix, service in routes
            ),
        )


class HistoryRecorder:
    """Decides what the leader adds to the history, and what it removes.

    A new leader counts from its election, so an entry lasts longer over a
    change of leader.

    :ivar versions_seen_at: timer seconds at which each version was last
        present.
    :ivar services_seen_at: the same for the services of routes.
    """

    def __init__(self) -> None:
        self.versions_seen_at: dict[Version, float] = {}
        self.services_seen_at: dict[RouteService, float] = {}
        self.began_at: float | None = None

    def reset(self) -> None:
        self.versions_seen_at.clear()
        self.services_seen_at.clear()
        self.began_at = None

    def update(
        self,
        recorded: OriginHistory | None,
        listed: collections.abc.Iterable[instances.Instance],
        configuration: configurations.Configuration | None,
        number: int,
        now: float,
    ) -> OriginHistory | None:
        """Returns the history to write, None if nothing has changed.

        :param recorded: the history in the replicated state.
        :param listed: the backend servers of the newest instance list.
        :param number: that of a history which is written now.
        """
        if self.began_at is None:
            self.began_at = now
        if recorded is not None:
            for version in recorded.version_entries:
                self.versions_seen_at.setdefault(version, now)
            for service in recorded.route_entries:
                self.services_seen_at.setdefault(service, now)
        for one in listed:
            self.versions_seen_at[one.service, one.software_version] = now
        self.update_routes(configuration, now)
        for seen_at in (self.versions_seen_at, self.services_seen_at):
            for entry, at in list(seen_at.items()):
                if now - at > RETENTION_SECONDS:
                    del seen_at[entry]
        is_complete = (
            # Without a configuration, no stream has begun yet.
            configuration is None
            or (recorded is not None and recorded.is_complete)
            or now - self.began_at > RETENTION_SECONDS
        )
        history = OriginHistory.build(
            number, is_complete, self.versions_seen_at, self.services_seen_at
        )
        if recorded is not None and history == dataclasses.replace(
            recorded, number=number
        ):
            return None
        return history

    def update_routes(
        self, configuration: configurations.Configuration | None, now: float
    ) -> None:
        """Adds the services of routes.

        The streams of a path may have begun at another route, which a route
        with a longer prefix has replaced since, or the other way round.
        """
        if configuration is None:
            return
        present = {
            (one.host, one.prefix): {
                share.service for share in one.shares if share.weight > 0
            }
            for one in configuration.routes
        }
        known: dict[tuple[str, str], set[str]] = {}
        for host, prefix, service in self.services_seen_at:
            known.setdefault((host, prefix), set()).add(service)
        for (host, prefix), services in present.items():
            for service in services:
                self.services_seen_at[host, prefix, service] = now
            replaced = find_prefix(host, prefix, known)
            if (host, prefix) in known or replaced is None:
                continue
            for service in known[host, replaced]:
                self.services_seen_at[host, prefix, service] = now
        for host, prefix in known.keys() - present.keys():
            replacing = find_prefix(host, prefix, present)
            if replacing is None:
                continue
            for service in known[host, prefix]:
                entry = (host, replacing, service)
                self.services_seen_at[entry] = max(
                    self.services_seen_at.get(entry, 0.0),
                    self.services_seen_at[host, prefix, service],
                )


def find_prefix(
    host: str,
    prefix: str,
    routes: collections.abc.Container[tuple[str, str]],
) -> str | None:
    """Returns the longest path prefix that is shorter than another one."""
    end = len(prefix) - 1
    while end > 0:
        end = prefix.rfind('/', 0, end)
        if end < 0:
            return None
        if (host, prefix[: end + 1]) in routes:
            return prefix[: end + 1]
    return None


def unpack_if_present(values: typing.Any) -> OriginHistory | None:
    """Returns a history that another VM has sent.

    :raises ValueError: or ``TypeError``, if it is malformed.
    """
    if values is None:
        return None
    number, _, versions, routes = values[:4]
    if type(number) is not int:
        raise TypeError('the number of a history is not whole')
    for texts in (*versions, *routes):
        for one in texts:
            peers.check_text(one)
    return OriginHistory.unpack(values)
