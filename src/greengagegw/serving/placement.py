"""Selects the backend server or the region for a request.

Prompts that share a long prefix should go to the server that has it cached,
but a burst on one prefix must not overload that server. Servers that fail part
of their requests get fewer. A server that prefills prompts all the time begins
responses soon enough, but its events follow so slowly that long responses
exceed their clients' deadlines, while servers of other regions are fast.
"""

import collections.abc
import dataclasses

import xxhash

# Bonus for a cache hit beyond the prefill time that it saves, so that a prefix
# does not spread over all servers at low load.
CACHE_AFFINITY_SECONDS = 0.05
# Penalty at a failure rate of 1. A server that fails half of its requests is
# avoided while others have a wait of less than a second.
FAILURE_PENALTY_SECONDS = 2.0
# Weight of the time from a response's first event to its end, relative to the
# wait for the first event. Clients read a stream as it arrives, and crossing
# to another region is worth it only if it saves a few times its cost.
GENERATION_WEIGHT = 0.3
# Penalty beyond the round trip, since bandwidth between regions is scarce.
CROSS_REGION_PENALTY_SECONDS = 0.1
ROUND_TRIP_SECONDS = 0.11


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that a request may be sent to.

    :ivar wait_seconds: predicted seconds until the response begins.
    :ivar generation_seconds: predicted seconds from then to its end.
    :ivar exceeds_wait_limit: whether the wait exceeds the admission limit.
    :ivar failure_rate: share of recent requests that failed, 0 to 1.
    :ivar is_too_slow: whether the response would miss the deadline.
    :ivar has_prefix: whether the prompt's shared prefix is cached there.
    """

    name: str
    wait_seconds: float
    generation_seconds: float
    exceeds_wait_limit: bool
    failure_rate: float
    is_too_slow: bool
    has_prefix: bool


def choose_server(
    candidates: collections.abc.Iterable[Candidate], prefix: str
) -> Candidate | None:
    """Returns the best candidate, None if there are none.

    If no server has the prefix cached, rendezvous hashing (Thaler and
    Ravishankar, 1998) selects one, so that all entry VMs agree without
    exchanging messages.

    :param prefix: name of the prompt's shared prefix; empty if it has none.
    """
    servers = list(candidates)
    if not servers:
        return None
    preferred = ''
    if prefix and not any(one.has_prefix for one in servers):
        preferred = max(
            servers, key=lambda one: rendezvous_score(prefix, one.name)
        ).name

    def cost(one: Candidate) -> tuple[bool, bool, float, int]:
        seconds = one.wait_seconds + GENERATION_WEIGHT * one.generation_seconds
        seconds += FAILURE_PENALTY_SECONDS * one.failure_rate
        if one.has_prefix or one.name == preferred:
            seconds -= CACHE_AFFINITY_SECONDS
        return (
            one.is_too_slow,
            one.exceeds_wait_limit,
            seconds,
            rendezvous_score(prefix, one.name),
        )

    return min(servers, key=cost)


def rendezvous_score(hash_key: str, name: str) -> int:
    """Returns the score of a name, which ranks names differently per key."""
    return xxhash.xxh3_64_intdigest(f'{hash_key}/{name}'.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class RegionEstimate:
    """The predicted latency of a request in one region.

    :ivar wait_seconds: seconds until the response begins.
    :ivar prefill_seconds: part of the wait in which the prompt is prefilled.
    :ivar generation_seconds: seconds from then to the end of the response.
    :ivar exceeds_wait_limit: whether the wait exceeds the admission limit.
    """

    wait_seconds: float
    prefill_seconds: float
    generation_seconds: float
    exceeds_wait_limit: bool


def rank_regions(
    local_region: str,
    estimates: dict[str, RegionEstimate],
    allowed: frozenset[str] | None,
) -> list[str]:
    """Returns the regions to try, best first.

    :param estimates: by region, for regions that can run the request.
    :param allowed: regions that may run the request; None for all.
    """

    def cost(region: str) -> tuple[bool, float]:
        offer = estimates[region]
        seconds = (
            offer.wait_seconds + GENERATION_WEIGHT * offer.generation_seconds
        )
        if region != local_region:
            seconds += ROUND_TRIP_SECONDS + CROSS_REGION_PENALTY_SECONDS
        return offer.exceeds_wait_limit, seconds

    return sorted(
        (one for one in estimates if allowed is None or one in allowed),
        key=cost,
    )
