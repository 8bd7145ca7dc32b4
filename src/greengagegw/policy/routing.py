"""Chooses a backend server, and whether to use another region."""

import collections.abc
import dataclasses
import math
import random

import xxhash

# The weight of a load report halves in this time.
REPORT_HALF_LIFE_SECONDS = 1.0
# A backend server's load may exceed the mean by this fraction before requests
# with its prefix go to another one (Mirrokni, Thorup and Zadimoghaddam,
# "Consistent Hashing with Bounded Loads", 2018).
AFFINITY_LOAD_SLACK = 0.25
# Time that another region must save beyond the cost of going there.
SPILL_MARGIN_SECONDS = 0.05
# Approximate cost of a cold prompt cache in another region.
COLD_CACHE_PENALTY_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server that may be chosen.

    :ivar load: estimated requests in progress on it.
    :ivar capacity: requests that it may process at a time.
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
    """Returns the estimated number of requests on a backend server.

    This VM's requests are known. Those of other VMs are the rest of the last
    load report, whose weight decays with its age.

    :param in_flight: this VM's requests on the backend server now.
    :param reported: all requests on it in the last report.
    :param in_flight_at_report: this VM's requests on it at that time.
    """
    from_others = max(0, reported - in_flight_at_report)
    return in_flight + from_others * 0.5 ** (
        age_seconds / REPORT_HALF_LIFE_SECONDS
    )


def choose_backend(
    candidates: collections.abc.Sequence[Candidate],
    prefix: bytes,
    rng: random.Random,
) -> Candidate | None:
    """Returns the backend server for a request, or None if all are full.

    :param prefix: beginning of the prompt; an empty one has no affinity.
    """
    free = [candidate for candidate in candidates if candidate.has_capacity]
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
    return min(
        rng.sample(free, 2), key=lambda candidate: candidate.utilisation
    )


def choose_by_prefix_hash(
    candidates: collections.abc.Sequence[Candidate], prefix: bytes
) -> Candidate | None:
    """Returns the backend server most likely to have the prefix cached.

    It is chosen by rendezvous hashing among those below the load bound.

    :returns: None if all are above it.
    """
    total_load = sum(candidate.load for candidate in candidates) + 1
    total_capacity = sum(candidate.capacity for candidate in candidates)
    load_factor = (1 + AFFINITY_LOAD_SLACK) * total_load / total_capacity

    def rendezvous_score(candidate: Candidate) -> int:
        return xxhash.xxh64_intdigest(prefix + b'/' + candidate.name.encode())

    for candidate in sorted(candidates, key=rendezvous_score, reverse=True):
        max_load = max(1.0, load_factor * candidate.capacity)
        if candidate.has_capacity and candidate.load + 1 <= max_load:
            return candidate
    return None


def expected_wait_seconds(
    free: float, waiting: float, slots: float, service_seconds: float
) -> float:
    """Returns the seconds that a new request is expected to queue.

    :param free: free slots.
    :param waiting: requests in the queue.
    :param service_seconds: mean time that a request holds a slot.
    """
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
    """Returns whether a request should go to another region."""
    cost = (
        round_trip_seconds + remote_wait_seconds + COLD_CACHE_PENALTY_SECONDS
    )
    return local_wait_seconds > cost + SPILL_MARGIN_SECONDS
