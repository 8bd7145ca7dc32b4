"""Selects the backend server or the region for a request.

Prompts that share a long prefix should go to the server that has it cached,
but a burst on one prefix must not overload that server. If each entry VM chose
that server by what it has sent itself, a region's servers would all prefill
all prefixes, evict them from each other's caches and prefill them again. Each
prefix therefore has one home server, on which all entry VMs agree without
exchanging messages, and other servers get it only if their queues are shorter
by more than the prefill costs. A long prefix is also worth crossing to the
region of its home server, as prefilling it takes longer than the round trip.

Servers that fail part of their requests get fewer. A server that prefills
prompts all the time begins responses soon enough, but its events follow so
slowly that long responses exceed their clients' deadlines, while servers of
other regions are fast.
"""

import collections.abc
import dataclasses
import functools
import typing

import xxhash

# Weight of the prefill time that a request adds to a server, beyond its own
# wait: the time is lost to the requests behind it.
PREFILL_WEIGHT = 1.0
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
# Home servers that are remembered, at about 1 KB for each.
MAX_KNOWN_HOMES = 1024
# Excess of a server's recent work over the mean that is tolerated, and the
# weight of what exceeds it. Without it, the busiest of nine servers of the
# speeds 0.6, 1 and 1.4 had 1.3 to 1.8 times the mean work. With a weight of 4,
# short requests were on time less often.
TOLERATED_EXCESS = 0.15
EXCESS_WEIGHT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkEstimate:
    """What a request would add to the work of a server.

    :ivar own_seconds: time that the server takes for the request.
    :ivar is_long: whether the request may be one of the long ones. Only these
        even out the work of the servers: short ones are urgent, and would be
        late at slow servers.
    :ivar excess: recent work of the server relative to the mean of the
        servers, above 1.
    """

    own_seconds: float
    is_long: bool
    excess: float

    @property
    def penalty_seconds(self) -> float:
        if not self.is_long:
            return 0.0
        excess = max(0.0, self.excess - TOLERATED_EXCESS)
        return EXCESS_WEIGHT * excess * self.own_seconds


class Candidate(typing.NamedTuple):
    """A backend server that a request may be sent to.

    A tuple, since one is built for each server of each request, and a frozen
    data class takes four times as long to build.

    :ivar wait_seconds: predicted seconds until the response begins.
    :ivar generation_seconds: predicted seconds from then to its end.
    :ivar exceeds_wait_limit: whether the wait exceeds the admission limit.
    :ivar failure_rate: share of recent requests that failed, 0 to 1.
    :ivar is_too_slow: whether the response would miss the deadline.
    :ivar prefill_seconds: part of the wait in which the prompt is prefilled.
    :ivar prefix_seconds: part of that for the shared prefix, which is saved
        if other entry VMs have sent it there.
    :ivar work: None if the servers do not differ.
    """

    name: str
    wait_seconds: float
    generation_seconds: float
    exceeds_wait_limit: bool
    failure_rate: float
    is_too_slow: bool
    prefill_seconds: float
    prefix_seconds: float
    work: WorkEstimate | None = None


def choose_server(
    candidates: collections.abc.Iterable[Candidate],
    prefix: str,
    request_id: str,
) -> Candidate | None:
    """Returns the best candidate, None if there are none.

    Rendezvous hashing (Thaler and Ravishankar, 1998) selects the home server
    of a prefix, which is assumed to have it cached.

    :param prefix: name of the last part of the prompt's shared prefix; empty
        if it has none.
    :param request_id: spreads requests over servers that are equally good,
        as idle ones are, where all VMs would otherwise choose the same one.
    """
    servers = list(candidates)
    if not servers:
        return None
    home = home_of(prefix, [one.name for one in servers])
    return choose_candidate(servers, home, request_id)


def choose_candidate(
    candidates: list[Candidate], home: str, request_id: str
) -> Candidate:
    """Returns the best of some candidates.

    :param home: name of the home server of the prompt's prefix.
    """
    costs = [cost_of(one, home) for one in candidates]
    lowest = min(costs)
    best = [one for one, cost in zip(candidates, costs) if cost == lowest]
    if len(best) == 1:
        return best[0]
    return min(best, key=lambda one: rendezvous_score(request_id, one.name))


def cost_of(candidate: Candidate, home: str) -> tuple[bool, bool, float]:
    """Returns the cost by which candidates are compared."""
    seconds = least_seconds(
        candidate.wait_seconds, candidate.generation_seconds
    )
    seconds += FAILURE_PENALTY_SECONDS * candidate.failure_rate
    seconds += PREFILL_WEIGHT * candidate.prefill_seconds
    if candidate.name == home:
        seconds -= (1 + PREFILL_WEIGHT) * candidate.prefix_seconds
    if candidate.work is not None:
        seconds += candidate.work.penalty_seconds
    return candidate.is_too_slow, candidate.exceeds_wait_limit, seconds


def least_seconds(wait_seconds: float, generation_seconds: float) -> float:
    """Returns a lower limit of a cost, except that of the home server."""
    return wait_seconds + GENERATION_WEIGHT * generation_seconds


def home_of(prefix: str, names: collections.abc.Iterable[str]) -> str:
    """Returns the name of the home server of a prefix, empty for none."""
    return known_home_name(prefix, tuple(names)) if prefix else ''


@functools.lru_cache(MAX_KNOWN_HOMES)
def known_home_name(prefix: str, names: tuple[str, ...]) -> str:
    """Returns the name of the home server of a prefix (see home_name)."""
    return home_name(prefix, names)


def home_name(prefix: str, names: collections.abc.Iterable[str]) -> str:
    """Returns the name of the home server of a prefix.

    :param names: of the servers to choose from.
    :returns: an empty string if there is no prefix or no server.
    """
    if not prefix:
        return ''
    return max(
        names, key=lambda one: rendezvous_score(prefix, one), default=''
    )


def rendezvous_score(hash_key: str, name: str) -> int:
    """Returns the score of a name, which ranks names differently per key."""
    return xxhash.xxh3_64_intdigest(f'{hash_key}/{name}'.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class RegionEstimate:
    """The predicted latency of a request in one region.

    :ivar wait_seconds: seconds until the response begins.
    :ivar prefill_seconds: time in which the whole prompt would be prefilled.
    :ivar uncached_seconds: part of the wait in which it is prefilled.
    :ivar prefix_seconds: part of that for the shared prefix, which is saved
        if other entry VMs have sent it to its home server in this region.
    :ivar generation_seconds: seconds from then to the end of the response.
    :ivar exceeds_wait_limit: whether the wait exceeds the admission limit.
    """

    wait_seconds: float
    prefill_seconds: float
    uncached_seconds: float
    prefix_seconds: float
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
        seconds += PREFILL_WEIGHT * offer.uncached_seconds
        seconds -= (1 + PREFILL_WEIGHT) * offer.prefix_seconds
        if region != local_region:
            seconds += ROUND_TRIP_SECONDS + CROSS_REGION_PENALTY_SECONDS
        return offer.exceeds_wait_limit, seconds

    return sorted(
        (one for one in estimates if allowed is None or one in allowed),
        key=cost,
    )
