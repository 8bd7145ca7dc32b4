"""Requests that are held back because they end backend servers."""

import collections.abc
import dataclasses
import datetime
import typing

import msgpack
import xxhash

from . import errors
from .policy import crash_attribution
from .ports import peers

# Requests that are named in a hold.
MAX_REQUESTS = 5
# Later times cannot be written as a date.
MAX_UNIX_SECONDS = 2.5e11


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Requests of a service that are held back.

    :ivar traits: requests that have all of them are held back.
    :ivar since: Unix seconds.
    :ivar ended_servers: names of the servers that ended under such requests.
    :ivar requests: IDs of some of the requests.
    """

    service: str
    traits: tuple[str, ...]
    since: float
    ended_servers: tuple[str, ...]
    requests: tuple[str, ...]

    @property
    def hold_id(self) -> str:
        """Identifies the hold, also if it is lifted and made again."""
        key = msgpack.packb([self.service, sorted(self.traits)])
        return xxhash.xxh64_hexdigest(key)

    def matches(self, service: str, traits: frozenset[str]) -> bool:
        return service == self.service and traits.issuperset(self.traits)

    def is_wider(self, other: 'Hold') -> bool:
        """Returns whether this hold has all requests of another, and more."""
        return self.service == other.service and set(self.traits) < set(
            other.traits
        )

    @property
    def segments(self) -> tuple[str, ...]:
        return tuple(
            one
            for one in self.traits
            if not one.startswith(crash_attribution.DIGEST_PREFIX)
        )

    @property
    def digests(self) -> tuple[str, ...]:
        return tuple(one for one in self.traits if one not in self.segments)

    @property
    def reason(self) -> str:
        """Says, after the name of the service, why requests are held back."""
        ended = f'{len(self.ended_servers)} backend servers ended under'
        if self.segments:
            return f'{ended} prompts with these segments'
        return f'{ended} repeats of this request'

    def make_error(self, retry_after: float) -> errors.HeldRequestError:
        """Returns the error that callers of such a request get."""
        error_class = (
            errors.HeldPromptError
            if self.segments
            else errors.HeldRequestError
        )
        named = f': {", ".join(self.segments)}' if self.segments else ''
        return error_class(
            f'the request is held back by {self.service}, since {self.reason}'
            f'{named} (hold {self.hold_id})',
            retry_after=retry_after,
        )

    def describe(self) -> dict[str, typing.Any]:
        """Returns the hold as operators see it."""
        since = datetime.datetime.fromtimestamp(self.since, datetime.UTC)
        return {
            'id': self.hold_id,
            'service': self.service,
            'segments': self.segments,
            'digests': self.digests,
            'since': since.isoformat(timespec='milliseconds'),
            'reason': self.reason,
            'servers': self.ended_servers,
            'requests': self.requests,
        }

    def pack(self) -> list:
        return [
            self.service,
            list(self.traits),
            self.since,
            list(self.ended_servers),
            list(self.requests),
        ]

    @classmethod
    def unpack(cls, values: list) -> 'Hold':
        service, traits, since, ended_servers, requests = values
        return cls(
            str(service),
            tuple(traits),
            float(since),
            tuple(ended_servers),
            tuple(requests),
        )


def unpack_checked(values: list) -> Hold:
    """Returns a hold that another VM has sent.

    :raises ValueError: or ``TypeError``, if it is malformed.
    """
    service, traits, since, ended_servers, requests = values
    if not traits:
        raise ValueError('a hold has no traits')
    if peers.check_seconds(since) > MAX_UNIX_SECONDS:
        raise ValueError('a hold has a time beyond the calendar')
    for texts in ([service], traits, ended_servers, requests):
        for one in texts:
            peers.check_text(one)
    return Hold.unpack(values)


class HoldIndex:
    """Finds the hold of a request.

    Leaves out the holds that another one includes.

    :ivar by_trait: holds by their service and first trait.
    """

    def __init__(self, holds: collections.abc.Iterable[Hold] = ()) -> None:
        candidates = tuple(holds)
        self.holds = tuple(
            one
            for one in candidates
            if not any(other.is_wider(one) for other in candidates)
        )
        self.by_trait: dict[tuple[str, str], list[Hold]] = {}
        for one in self.holds:
            key = (one.service, one.traits[0])
            self.by_trait.setdefault(key, []).append(one)

    def find(
        self, service: str, traits: collections.abc.Iterable[str]
    ) -> Hold | None:
        """Returns the hold that matches a request, None if it may run."""
        if not self.holds:
            return None
        names = frozenset(traits)
        for name in names:
            for one in self.by_trait.get((service, name), ()):
                if one.matches(service, names):
                    return one
        return None


def make_hold(
    service: str, blame: crash_attribution.Blame, since: float
) -> Hold:
    """Returns the hold of requests that explain the ends of servers.

    :param since: Unix seconds.
    """
    requests = dict.fromkeys(
        one.request_id
        for end in blame.ends
        for one in end.interruptions
        if blame.traits.issubset(one.traits)
    )
    return Hold(
        service,
        tuple(sorted(blame.traits)),
        since,
        tuple(end.run[0] for end in blame.ends),
        tuple(list(requests)[:MAX_REQUESTS]),
    )
