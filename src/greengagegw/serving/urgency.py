"""Balances the request classes of an overloaded service by their urgency.

Servers process requests in order of arrival, so urgency acts through the
longest wait up to which a class is admitted. Classes have different
objectives: a queue that a less urgent class with a longer objective still
joins may already exceed the objective of the most urgent one. No fixed share
of the objective prevents this, so the limit of a less urgent class is
adjusted by the fractions of requests that were admitted.
"""

import dataclasses
import math

# A class is overloaded below this admitted fraction.
SERVED_FRACTION = 0.95
# A less urgent class is served at least a quarter as often as all requests.
# The fractions are measured on one VM, and a third leaves room for the error.
MIN_RELATIVE_FRACTION = 1 / 3
# Period over which the fractions are averaged; and the time in which a limit
# changes by the factor e. It is the longer one, as a faster adjustment
# overshoots and oscillates.
WINDOW_SECONDS = 2.0
ADJUSTMENT_SECONDS = 3.0
MIN_FACTOR = 0.05
# Fewer requests say little about a fraction.
MIN_WEIGHT = 4.0
# Longest step of an adjustment after a pause without requests.
MAX_STEP_SECONDS = 0.5


@dataclasses.dataclass(slots=True)
class ClassCounts:
    """Recent requests of a class.

    :ivar asked: decaying number of requests.
    :ivar served: those of them that were admitted.
    """

    asked: float = 0.0
    served: float = 0.0

    @property
    def fraction(self) -> float:
        return self.served / self.asked if self.asked else 1.0


@dataclasses.dataclass(slots=True)
class ClassState(ClassCounts):
    """Recent requests of a class on this VM.

    :ivar factor: on the longest wait up to which the class is admitted.
    """

    factor: float = 1.0


class UrgencyBalance:
    """Adjusts the admission limits of the classes of one service.

    :ivar classes: by priority rank, 0 for the most urgent one.
    :ivar peer_counts: requests that the other entry VMs of the region were
        asked for and admitted recently, by rank.
    """

    def __init__(self, now: float) -> None:
        self.peer_counts: dict[int, tuple[float, float]] = {}
        self.classes: dict[int, ClassState] = {}
        self.updated_at = now

    def factor(self, rank: int) -> float:
        """Returns the factor on the longest wait of a class."""
        state = self.classes.get(rank)
        return 1.0 if state is None else state.factor

    def record(self, rank: int, is_served: bool, now: float) -> None:
        """Records the decision on a request, and adjusts the limits."""
        elapsed = max(0.0, now - self.updated_at)
        self.decay(now)
        state = self.classes.setdefault(rank, ClassState())
        state.asked += 1.0
        state.served += is_served
        self.adjust(min(elapsed, MAX_STEP_SECONDS))

    def decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        decay = math.exp(-elapsed / WINDOW_SECONDS)
        for state in self.classes.values():
            state.asked *= decay
            state.served *= decay

    def local_counts(self, now: float) -> dict[int, tuple[float, float]]:
        """Returns the recent requests of this VM for the other ones."""
        self.decay(now)
        return {
            rank: (state.asked, state.served)
            for rank, state in self.classes.items()
        }

    def region_counts(self) -> dict[int, ClassCounts]:
        """Returns the recent requests of all VMs by rank."""
        counts = {}
        for rank in self.classes.keys() | self.peer_counts.keys():
            asked, served = self.peer_counts.get(rank, (0.0, 0.0))
            own = self.classes.get(rank)
            if own is not None:
                asked += own.asked
                served += own.served
            counts[rank] = ClassCounts(asked, served)
        return counts

    def adjust(self, elapsed: float) -> None:
        counts = self.region_counts()
        asked = sum(one.asked for one in counts.values())
        served = sum(one.served for one in counts.values())
        for rank, state in self.classes.items():
            step = elapsed / ADJUSTMENT_SECONDS
            if is_urgent_overloaded(rank, counts) and (
                counts[rank].fraction > MIN_RELATIVE_FRACTION * served / asked
            ):
                step = -step
            state.factor = min(
                1.0, max(MIN_FACTOR, state.factor * math.exp(step))
            )


def is_urgent_overloaded(rank: int, counts: dict[int, ClassCounts]) -> bool:
    """Returns whether requests of a more urgent class are rejected."""
    return any(
        one.fraction < SERVED_FRACTION
        for other, one in counts.items()
        if other < rank and one.asked >= MIN_WEIGHT
    )
