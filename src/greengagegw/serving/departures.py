"""Backend servers that announced that they are leaving.

A server announces it in its responses, which may be long before the instance
list shows it. The entry VMs of a region exchange these announcements, so that
a VM that has restarted, or has sent nothing to the server, knows of them too.
"""

import collections.abc
import reprlib
import typing

import anyio
import eliot

from .. import errors
from ..fleet import instances

DEPARTURES_METHOD = 'serving.departures'
# An announcement is kept for this time after the instance was last listed,
# since the list may lag, and may show a removed instance once more.
RETENTION_SECONDS = 60.0
# A server and the start time of its run, so that another run of the same name
# is not taken for the one that leaves.
Run = tuple[str, int]


def run_of(instance: instances.Instance) -> Run:
    return instance.name, instance.born


class LeavingServers:
    """The runs of backend servers that are known to be leaving.

    :ivar expiry: timer seconds until which each run is remembered.
    :ivar new_runs: runs to be announced to the other VMs.
    """

    def __init__(self) -> None:
        self.expiry: dict[Run, float] = {}
        self.new_runs: list[Run] = []
        self.has_news = anyio.Event()

    def __contains__(self, instance: instances.Instance) -> bool:
        return run_of(instance) in self.expiry

    def record_announcement(
        self, instance: instances.Instance, now: float
    ) -> None:
        """Records what a server announced to this VM."""
        run = run_of(instance)
        if self.merge([run], now):
            eliot.log_message('server:leaving', server=run[0], born=run[1])
            self.new_runs.append(run)
            self.has_news.set()

    def merge(
        self, runs: collections.abc.Iterable[Run], now: float
    ) -> list[Run]:
        """Adds runs, and returns those that were not known."""
        added = []
        for run in runs:
            if run not in self.expiry:
                added.append(run)
            self.expiry[run] = now + RETENTION_SECONDS
        return added

    def update(
        self, listed: collections.abc.Iterable[instances.Instance], now: float
    ) -> None:
        """Extends the listed runs, and forgets those not listed for long."""
        if not self.expiry:
            return
        for one in listed:
            run = (one.name, one.born)
            if run in self.expiry:
                self.expiry[run] = now + RETENTION_SECONDS
        for run in [one for one, at in self.expiry.items() if at < now]:
            del self.expiry[run]

    def take_news(self, now: float) -> list:
        runs, self.new_runs = self.new_runs, []
        self.has_news = anyio.Event()
        return [list(one) for one in runs]

    def pack(self, now: float) -> list:
        return [list(one) for one in self.expiry]

    def merge_message(
        self, peer: str, message: typing.Any, now: float
    ) -> None:
        """Merges the runs that another VM knows to be leaving.

        :raises PeerProtocolError: if the message is malformed.
        """
        added = self.merge(decode_runs(peer, message), now)
        if added:
            eliot.log_message(
                'server:leaving_heard',
                peer=peer,
                servers=[name for name, _ in added],
            )


def decode_runs(peer: str, message: typing.Any) -> list[Run]:
    """Returns the runs in a message.

    :raises PeerProtocolError: if it is not a list of names and start times.
    """
    try:
        runs = [(name, born) for name, born in message]
    except (TypeError, ValueError) as error:
        raise errors.PeerProtocolError(
            f'{peer} sent leaving servers that are not pairs'
        ) from error
    for name, born in runs:
        if not isinstance(name, str) or not isinstance(born, int):
            raise errors.PeerProtocolError(
                f'{peer} sent a leaving server {reprlib.repr(name)} started at'
                f' {reprlib.repr(born)}'
            )
    return runs
