"""Estimates the work that a server still has to do.

The number of requests says little about it: a generation that has just begun
may take a hundred times as long as one that is about to end.
"""

import collections.abc
import dataclasses
import math
import typing

from . import cost_distribution

# Time constant of the recent work of a server.
RECENT_SECONDS = 10.0


class RecentWork:
    """Seconds of work that a server got recently from this VM, decayed.

    :param now: timer seconds.
    """

    def __init__(self, now: float) -> None:
        self.seconds = 0.0
        self.updated_at = now

    def current(self, now: float) -> float:
        elapsed = max(0.0, now - self.updated_at)
        return self.seconds * math.exp(-elapsed / RECENT_SECONDS)

    def add(self, seconds: float, now: float) -> None:
        self.seconds = self.current(now) + seconds
        self.updated_at = now


class RunningRequest(typing.Protocol):
    """A request in flight, as far as its remaining work depends on it.

    :ivar uncached_tokens: prompt tokens that the server has not cached.
    :ivar cost: distribution of its events; None if nothing is known.
    :ivar event_count: events received so far.
    """

    uncached_tokens: float
    has_response: bool
    cost: cost_distribution.Distribution | None
    event_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class RemainingWork:
    """Work that a server still has to do.

    :ivar prefill_tokens: prompt tokens to be prefilled.
    :ivar events: events to be generated.
    :ivar requests: requests with a known distribution of their events.
    """

    prefill_tokens: float = 0.0
    events: float = 0.0
    requests: int = 0


def sum_up(
    running: collections.abc.Iterable[RunningRequest],
) -> RemainingWork:
    """Returns the remaining work of some requests of one server."""
    tokens = events = 0.0
    count = 0
    for one in running:
        if not one.has_response:
            tokens += one.uncached_tokens
        if one.cost is not None:
            events += one.cost.mean_remaining(one.event_count)
            count += 1
    return RemainingWork(tokens, events, count)


def add_peers(
    work: RemainingWork, peer_tokens: float, peer_requests: float
) -> RemainingWork:
    """Adds the requests of other VMs, of which only the number is known.

    They are assumed to be like those of this VM.
    """
    events = work.events
    if work.requests:
        events += peer_requests * work.events / work.requests
    return RemainingWork(
        work.prefill_tokens + peer_tokens, events, work.requests
    )
