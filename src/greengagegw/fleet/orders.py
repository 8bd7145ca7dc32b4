"""The last orders on the evacuation of each failure domain.

An order names the index of the log that its control VM had read after the
order arrived. It takes effect only if no other order on the failure domain
was applied after that index, so an order that was delayed never replaces a
later one. Unlike a clock, the index cannot jump, and all replicas agree on it.
"""

import dataclasses
import typing

# Far more than a deployment has failure domains; a bound on what operators
# can have stored with names that do not exist.
MAX_ORDERS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """The last order on a failure domain that took effect.

    :ivar index: of its entry in the replicated log.
    :ivar order_id: empty if an order with the same ID must not be
        acknowledged because of this one.
    """

    index: int
    order_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What becomes of an order.

    :ivar is_acknowledged: whether it has taken effect on all replicas that
        know the orders, now or as an earlier copy of the same command.
    """

    takes_effect: bool
    is_acknowledged: bool


IGNORED = Verdict(False, False)
REPEATED = Verdict(False, True)


class OrderLog:
    """The last order on each failure domain.

    A snapshot of the last release has no orders. A replica restored from one
    accepts every order on a failure domain until it applies the next, as that
    release does, but acknowledges none that may be older than the snapshot.

    :ivar last: the last order on each failure domain.
    :ivar forgotten_index: highest index of an order that was dropped.
    :ivar complete_from: index after which all orders are known; None if it is
        not known since a snapshot of the last release was restored.
    """

    def __init__(self, is_complete: bool = True) -> None:
        self.last: dict[str, Order] = {}
        self.forgotten_index = 0
        self.complete_from: int | None = 0 if is_complete else None

    def complete_after(self, index: int) -> None:
        """Sets the index of a restored snapshot, which it does not tell."""
        if self.complete_from is None:
            self.complete_from = index

    def last_index(self, domain: str) -> int:
        """Returns the index of the last order on a failure domain."""
        order = self.last.get(domain)
        return self.forgotten_index if order is None else order.index

    @property
    def newest_index(self) -> int:
        """The index of the last order on any failure domain."""
        return max((one.index for one in self.last.values()), default=0)

    def record(
        self, domain: str, index: int, based_on: int | None, order_id: str
    ) -> Verdict:
        """Records an order, unless a newer one was applied.

        :param index: of its entry in the log.
        :param based_on: index that a linearizable read after the arrival of
            the order returned; None if the order does not tell.
        """
        order = self.last.get(domain)
        if based_on is not None and based_on < self.last_index(domain):
            is_repeat = order is not None and order.order_id == order_id
            return REPEATED if is_repeat and order_id else IGNORED
        # Other replicas may know an order that this one does not.
        is_certain = (
            order is not None
            or based_on is None
            or based_on >= (self.complete_from or 0)
        )
        self.last[domain] = Order(index, order_id if is_certain else '')
        if len(self.last) > MAX_ORDERS:
            oldest = min(self.last, key=lambda one: self.last[one].index)
            self.forgotten_index = self.last.pop(oldest).index
        return Verdict(True, is_certain)

    def pack(self) -> list:
        return [
            self.complete_from,
            self.forgotten_index,
            [
                [domain, one.index, one.order_id]
                for domain, one in sorted(self.last.items())
            ],
        ]

    @classmethod
    def unpack(cls, values: list[typing.Any]) -> 'OrderLog':
        """Returns a log; values of later releases are ignored."""
        log = cls()
        log.complete_from, log.forgotten_index, packed = values[:3]
        log.last = {
            domain: Order(index, order_id)
            for domain, index, order_id, *_ in packed
        }
        return log
