"""Divides the capacity of an overloaded service among its organisations.

Without shares, an organisation that sends many times its usual load takes the
capacity in proportion to what it sends, and small organisations are rejected
as often as it is. Shares are max-min fair, weighted by priority, and count
predicted work rather than requests: an organisation that asks for less than
its share gets all of it, and what it leaves is lent to the others.
"""

import collections.abc
import dataclasses
import math

# Period over which work is averaged. Long enough for the few requests a second
# that a small organisation sends to one region.
WINDOW_SECONDS = 4.0
# Weight for each more urgent priority of organisations, relative to the next.
PRIORITY_WEIGHT = 0.75
MAX_PRIORITY_RANK = 3
# Shares apply if more than this part of the work is rejected.
REJECTED_PART = 0.05
# Smallest factor on the limit of an organisation beyond its share. A queue
# filled up to there leaves the others half of their limit, and keeps the
# servers busy.
MIN_FACTOR = 0.5
# Sums that VMs exchange are bounded to the organisations with the most work.
MAX_REPORTED = 32
# Stands for the other organisations in metrics.
OTHERS = ''

# Asked and served server seconds by organisation.
Sums = dict[str, tuple[float, float]]


@dataclasses.dataclass(slots=True)
class OrganisationWork:
    """The recent work of an organisation, in decaying server seconds.

    :ivar weight: relative to an organisation of the most urgent priority.
    """

    weight: float
    asked: float = 0.0
    served: float = 0.0


class FairShares:
    """The work that organisations ask of one service.

    :param other_sums: returns the sums of the other entry VMs of the region.
    :ivar is_short: whether the service is short of capacity.
    :ivar unreported_work: work served by organisation since it was last taken
        for the metrics.
    """

    def __init__(
        self,
        now: float,
        other_sums: collections.abc.Callable[[], Sums],
    ) -> None:
        self.other_sums = other_sums
        self.organisations: dict[str, OrganisationWork] = {}
        self.updated_at = now
        self.factors: dict[str, float] = {}
        self.is_short = False
        self.unreported_work: dict[str, float] = {}

    def record(
        self, name: str, rank: int, work: float, is_served: bool, now: float
    ) -> None:
        """Records the decision on a request.

        :param rank: number of more urgent priorities of organisations.
        """
        self.decay(now)
        known = self.organisations.get(name)
        if known is None:
            known = self.organisations[name] = OrganisationWork(1.0)
            self.remove_idle()
        known.weight = PRIORITY_WEIGHT ** min(rank, MAX_PRIORITY_RANK)
        known.asked += work
        known.served += work * is_served
        if is_served:
            self.unreported_work[name] = (
                self.unreported_work.get(name, 0.0) + work
            )
        self.factors = self.compute_factors()

    def decay(self, now: float) -> None:
        decay = math.exp(-max(0.0, now - self.updated_at) / WINDOW_SECONDS)
        self.updated_at = now
        for one in self.organisations.values():
            one.asked *= decay
            one.served *= decay

    def remove_idle(self) -> None:
        """Removes the organisations without recent work."""
        limit = 1e-6 * sum(one.asked for one in self.organisations.values())
        for name in [
            name
            for name, one in self.organisations.items()
            if 0 < one.asked < limit
        ]:
            del self.organisations[name]

    def take_work(self) -> dict[str, float]:
        """Returns the work served since the last call, by organisation.

        All but the organisations with the most work are summed up.
        """
        work, self.unreported_work = self.unreported_work, {}
        largest = sorted(work, key=lambda name: -work[name])
        taken = {name: work[name] for name in largest[:MAX_REPORTED]}
        rest = sum(work[name] for name in largest[MAX_REPORTED:])
        return {**taken, OTHERS: rest} if rest else taken

    def factor(self, name: str) -> float:
        """Returns the factor on the longest wait of an organisation."""
        return self.factors.get(name, 1.0)

    def local_sums(self, now: float) -> Sums:
        """Returns the sums of this VM for the other ones."""
        self.decay(now)
        largest = sorted(
            self.organisations.items(), key=lambda item: -item[1].asked
        )
        return {
            name: (one.asked, one.served)
            for name, one in largest[:MAX_REPORTED]
        }

    def compute_factors(self) -> dict[str, float]:
        others = self.other_sums()
        asked, served = {}, {}
        for name, one in self.organisations.items():
            other_asked, other_served = others.get(name, (0.0, 0.0))
            asked[name] = one.asked + max(0.0, other_asked)
            served[name] = one.served + max(0.0, other_served)
        for name, (other_asked, other_served) in others.items():
            asked.setdefault(name, max(0.0, other_asked))
            served.setdefault(name, max(0.0, other_served))
        capacity = sum(served.values())
        self.is_short = capacity < (1 - REJECTED_PART) * sum(asked.values())
        if not self.is_short:
            return {}
        weights = {
            name: one.weight for name, one in self.organisations.items()
        }
        shares = divide(capacity, asked, weights)
        return {
            name: max(MIN_FACTOR, shares[name] / work)
            for name, work in served.items()
            if work > shares[name]
        }


def divide(
    capacity: float, asked: dict[str, float], weights: dict[str, float]
) -> dict[str, float]:
    """Returns the weighted max-min fair shares of a capacity.

    :param asked: work by organisation.
    :param weights: by organisation; 1 if missing.
    """
    shares = {}
    weight_left = sum(weights.get(name, 1.0) for name in asked)
    # Those that ask for the least work for their weight are served in full.
    for name in sorted(
        asked, key=lambda name: asked[name] / weights.get(name, 1.0)
    ):
        weight = weights.get(name, 1.0)
        shares[name] = min(asked[name], capacity * weight / weight_left)
        capacity -= shares[name]
        weight_left -= weight
    return shares
