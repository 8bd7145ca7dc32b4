"""Chooses the backend server, or the region, of a request.

The load patterns behind it: sessions that share a long head of their
prompts should meet the cache that holds it, a burst on one head must not
pile up there, and servers that fail part of their requests get few.
"""

import collections.abc
import dataclasses

import xxhash

# Seconds that a cache hit is worth beyond the time it saves, so that heads
# do not spread over all servers at low load.
AFFINITY_SECONDS = 0.05
# Seconds that a server's share of failures costs it: a server that fails
# half of its requests is left while others wait under a second.
FAILURE_SECONDS = 2.0
# What crossing to another region costs beyond its round trip: bytes
# between regions are scarce.
CROSSING_SECONDS = 0.1
ROUND_TRIP_SECONDS = 0.11


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that may take a request.

    :ivar wait: predicted seconds until it begins to answer.
    :ivar failures: share of its last requests that failed, 0 to 1.
    :ivar is_too_slow: whether it would not complete the answer in time.
    :ivar has_head: whether it has the shared head of the prompt cached.
    """

    name: str
    wait: float
    failures: float
    is_too_slow: bool
    has_head: bool


def choose(
    candidates: collections.abc.Iterable[Candidate], head: str
) -> Candidate | None:
    """Returns the best candidate, None if there is none.

    Where no cache holds the head, the server that hashing prefers gets it
    (rendezvous hashing, Thaler and Ravishankar, 1998), so that all entry
    VMs agree without a message.
    """
    listed = list(candidates)
    if not listed:
        return None
    preferred = ''
    if head and not any(one.has_head for one in listed):
        preferred = max(listed, key=lambda one: rank(head, one.name)).name

    def cost(one: Candidate) -> tuple[bool, float, int]:
        seconds = one.wait + FAILURE_SECONDS * one.failures
        if one.has_head or one.name == preferred:
            seconds -= AFFINITY_SECONDS
        return one.is_too_slow, seconds, rank(head, one.name)

    return min(listed, key=cost)


def rank(head: str, name: str) -> int:
    """Returns a number that orders names differently for each head."""
    return xxhash.xxh3_64_intdigest(f'{head}/{name}'.encode())


def choose_region(
    here: str,
    here_wait: float | None,
    waits: dict[str, float],
    allowed: frozenset[str] | None,
) -> list[str]:
    """Returns the regions to try, best first.

    :param here_wait: predicted seconds in this region; None if nothing in
        it can run the request.
    :param waits: predicted seconds in the other regions.
    """
    costs = {
        region: wait + ROUND_TRIP_SECONDS + CROSSING_SECONDS
        for region, wait in waits.items()
        if region != here and (allowed is None or region in allowed)
    }
    if here_wait is not None and (allowed is None or here in allowed):
        costs[here] = here_wait
    return sorted(costs, key=costs.__getitem__)
