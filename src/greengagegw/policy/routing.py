"""Choice of a backend server and of a region."""

import collections.abc
import dataclasses
import math
import random

import xxhash

# A load report says this much less after as many seconds.
REPORT_HALF_LIFE_SECONDS = 1.0
# A backend server may be this much busier than the mean before requests
# with its prefix go elsewhere (Mirrokni, Thorup and Zadimoghaddam,
# "Consistent Hashing with Bounded Loads", 2018).
AFFINITY_LOAD_SLACK = 0.25
# What a queue in another region must save beyond the round trip.
SPILL_MARGIN_SECONDS = 0.05
# A cold prompt cache in another region costs about this much.
COLD_CACHE_PENALTY_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server as routing sees it.

    :ivar load: requests that it is thought to hold.
    :ivar room: requests that it may hold.
    """

    name: str
    load: float
    capacity: float

    @property
    def has_capacity(self) -> bool:
        return self.load < self.capacity

    @property
    def utilisation(self) -> float:
        return self.load / self.capacity if self.capacity > 0 else math.inf


def estimate_load(
    in_flight: int, reported: int, in_flight_at_report: int, age_seconds: float
) -> float:
    """Returns how many requests a backend server is thought to hold.

    The own requests are known; what other VMs sent is what the last report
    had beyond them, discounted by its age in seconds.
    """
    others = max(0, reported - in_flight_at_report)
    return in_flight + others * 0.5 ** (age_seconds / REPORT_HALF_LIFE_SECONDS)


def choose_backend(
    candidates: collections.abc.Sequence[Candidate],
    prefix: bytes,
    rng: random.Random,
) -> Candidate | None:
    """Returns the backend server for a request, or None if all are full.

    :param prefix: head of the prompt; an empty one has no affinity.
    """
    free = [one for one in candidates if one.has_capacity]
    if not free:
        return None
    if len(free) == 1:
        return free[0]
    if prefix:
        chosen = choose_by_prefix_hash(candidates, prefix)
        if chosen is not None:
            return chosen
    # Two random choices (Mitzenmacher, "The Power of Two Choices in
    # Randomized Load Balancing", 2001).
    return min(rng.sample(free, 2), key=lambda one: one.utilisation)


def choose_by_prefix_hash(
    candidates: collections.abc.Sequence[Candidate], prefix: bytes
) -> Candidate | None:
    """Returns the backend server that likely has the prefix cached."""
    total_load = sum(one.load for one in candidates) + 1
    total_room = sum(one.capacity for one in candidates)
    bound = (1 + AFFINITY_LOAD_SLACK) * total_load / total_room

    def rank(one: Candidate) -> int:
        return xxhash.xxh64_intdigest(prefix + b'/' + one.name.encode())

    for one in sorted(candidates, key=rank, reverse=True):
        allowed = max(1.0, bound * one.capacity)
        if one.has_capacity and one.load + 1 <= allowed:
            return one
    return None


def expected_wait_seconds(
    free: float, waiting: float, slots: float, service_seconds: float
) -> float:
    """Returns the seconds that a new request is thought to queue."""
    if slots <= 0:
        return math.inf
    if free >= 1:
        return 0.0
    return (waiting + 1) * service_seconds / slots


def should_spill_over(
    local_wait_seconds: float,
    remote_wait_seconds: float,
    round_trip_seconds: float,
) -> bool:
    """Returns whether another region is worth the way there."""
    cost = (
        round_trip_seconds + remote_wait_seconds + COLD_CACHE_PENALTY_SECONDS
    )
    return local_wait_seconds > cost + SPILL_MARGIN_SECONDS
