"""Chooses the backend server, or the region, of a request.

The load patterns behind it: sessions that share a long head of their
prompts should meet the cache that holds it, a burst on one head must not
pile up there, and servers that fail part of their requests get few. A
server that reads prompts all the time begins answers soon enough, but its
events come so slowly that long answers run out of their callers' time, while
those of other regions are fast.
"""

import collections.abc
import dataclasses

import xxhash

# Seconds that a cache hit is worth beyond the time it saves, so that heads
# do not spread over all servers at low load.
CACHE_AFFINITY_SECONDS = 0.05
# Seconds that a server's share of failures costs it: a server that fails
# half of its requests is left while others wait under a second.
FAILURE_PENALTY_SECONDS = 2.0
# Part of the seconds from an answer's first event to its end that counts
# beside the wait for the first one: callers read a stream as it comes, and a
# longer way for it is worth a few times what it costs.
GENERATION_WEIGHT = 0.3
# What crossing to another region costs beyond its round trip: bytes
# between regions are scarce.
CROSS_REGION_PENALTY_SECONDS = 0.1
ROUND_TRIP_SECONDS = 0.11


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that may take a request.

    :ivar wait: predicted seconds until it begins to answer.
    :ivar ending: predicted seconds from then to the end of the answer.
    :ivar is_late: whether it would begin later than a request is taken for.
    :ivar failures: share of its last requests that failed, 0 to 1.
    :ivar is_too_slow: whether it would not complete the answer in time.
    :ivar has_head: whether it has the shared head of the prompt cached.
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
    """Returns the best candidate, None if there is none.

    Where no cache holds the head, the server that hashing prefers gets it
    (rendezvous hashing, Thaler and Ravishankar, 1998), so that all entry
    VMs agree without a message.
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
    """Returns a number that orders names differently for each head."""
    return xxhash.xxh3_64_intdigest(f'{hash_key}/{name}'.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class RegionEstimate:
    """What a region would do with a request.

    :ivar wait: predicted seconds until the answer begins.
    :ivar reading: seconds of these in which the prompt is read.
    :ivar ending: predicted seconds from then to the end of the answer.
    :ivar is_late: whether it would begin later than a request is taken for.
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

    :param offers: by region, of those that can run the request.
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
