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
# Below this one, which leaves less room, a class comes before others.
STARVED_RELATIVE_FRACTION = 0.28
# Period over which the fractions are averaged; and the time in which a limit
# changes by the factor e. It is the longer one, as a faster adjustment
# overshoots and oscillates.
WINDOW_SECONDS = 2.0
ADJUSTMENT_SECONDS = 3.0
# The limit of a class that is served too rarely rises in a shorter time, since
# it may have fallen far before the fraction shows it.
RECOVERY_SECONDS = 1.0
MIN_FACTOR = 0.05
# With 1, long prompts of a less urgent class are never admitted while short
# urgent ones keep the queue full, since their own prefill counts as a wait.
MAX_FACTOR = 1.6
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
    :ivar is_starved: whether it is served too rarely, relative to all.
    """

    factor: float = 1.0
    is_starved: bool = False


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
        step = math.exp(elapsed / ADJUSTMENT_SECONDS)
        for rank, state in self.classes.items():
            is_overloaded = is_urgent_overloaded(rank, counts)
            relative = counts[rank].fraction * asked / max(served, 1e-9)
            state.is_starved = (
                is_overloaded and relative < STARVED_RELATIVE_FRACTION
            )
            if state.is_starved:
                recovery = math.exp(elapsed / RECOVERY_SECONDS)
                state.factor = min(MAX_FACTOR, state.factor * recovery)
            elif is_overloaded and relative > MIN_RELATIVE_FRACTION:
                state.factor = max(MIN_FACTOR, state.factor / step)
            elif state.factor > 1:
                state.factor = max(1.0, state.factor / step)
            else:
                state.factor = min(1.0, state.factor * step)

    def is_starved(self, rank: int) -> bool:
        """Returns whether a class is served too rarely, relative to all."""
        state = self.classes.get(rank)
        return state is not None and state.is_starved


def is_urgent_overloaded(rank: int, counts: dict[int, ClassCounts]) -> bool:
    """Returns whether requests of a more urgent class are rejected."""
    return any(
        one.fraction < SERVED_FRACTION
        for other, one in counts.items()
        if other < rank and one.asked >= MIN_WEIGHT
    )
