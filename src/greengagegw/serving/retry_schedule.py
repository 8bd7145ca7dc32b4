"""Schedules the returns of rejected clients, and admits them in order.

Clients return once, after the Retry-After of the rejection, if it is at most
a third of their remaining time. A client that returns during the overload and
is rejected again has cost the service twice and got nothing. Each entry VM
therefore promises only as many returns as its own share of the region's
capacity can serve at the promised times, and sends the other clients away for
longer than they wait.

Clients choose an entry VM at random, so a return usually reaches another VM
than the one that promised it. VMs exchange the numbers of returns that they
have promised and admitted, and admit as many before new requests of their
class as the region has promised.

Work and capacity are in server seconds: a server does one in a second.
"""

import bisect
import collections
import collections.abc
import dataclasses
import math

# Clients honour Retry-After up to this share of their remaining time.
HONOURED_SHARE = 1 / 3
# The rejection reaches the client up to a round trip between regions later,
# when less time remains.
LATENCY_MARGIN_SECONDS = 0.15
# Pauses beyond the honoured share, so that the client does not return.
REFUSAL_FACTOR = 1.25
# Part of the admitted work of a class that goes to promised returns before new
# requests while the service is overloaded. Returns are mostly late by then,
# and at most one in ten admitted requests may be late, for whatever reason.
RETURN_SHARE = 0.05
# Longest period over which a single return is spread.
MAX_SPREAD_SECONDS = 0.5
# Period over which the work of new requests is averaged: long enough for some
# requests a second, short enough to follow bursts of some seconds.
DEMAND_WINDOW_SECONDS = 2.0
MEAN_SMOOTHING = 0.1
# Returns that are admitted ahead of the promises, in seconds of the work for
# returns and in requests. With EXCESS_EXPIRY_SECONDS these are half as many as
# are promised, in case that reports of other VMs are missing or incorrect.
MAX_ADVANCE_SECONDS = 15.0
MAX_ADVANCE_REQUESTS = 2.0
# An unused promise expires: its client gave up.
PROMISE_EXPIRY_SECONDS = 4.0
# A promise decays from the earliest time of the return on, which is up to
# half a second and a round trip before the client returns.
DUE_MARGIN = 1.1
# Least number of promises left for a return to count as promised. Less than 1,
# since promises decay until the client returns.
MIN_BALANCE = 0.5
# Promises and returns that have decayed to less are not reported.
MIN_REPORTED = 0.01
# Returns in excess of the promises count longer, so that clients that return
# although they were sent away displace few new requests.
EXCESS_EXPIRY_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnRequest:
    """A rejected request that may return.

    :ivar work: server seconds that it needs.
    :ivar drain_seconds: until the queue is short enough to admit it.
    :ivar detection_seconds: after which its return differs from a new
        request.
    :ivar time_left: seconds until the client's deadline.
    :ivar is_forwarded: whether it returns to another VM, which received it
        from the client and records the promise.
    """

    work: float
    drain_seconds: float
    detection_seconds: float
    time_left: float
    is_forwarded: bool = False


class WorkRate:
    """The work of some requests of one class, as a decaying average.

    :ivar mean: typical work of one request.
    """

    def __init__(self, now: float) -> None:
        self.work = 0.0
        self.mean = 0.0
        self.updated_at = now

    def record(self, work: float, now: float) -> None:
        self.work = self.current_work(now) + work
        if not self.mean:
            self.mean = work
        self.mean += MEAN_SMOOTHING * (work - self.mean)
        self.updated_at = now

    def current_work(self, now: float) -> float:
        elapsed = max(0.0, now - self.updated_at)
        return self.work * math.exp(-elapsed / DEMAND_WINDOW_SECONDS)

    def per_second(self, now: float) -> float:
        return self.current_work(now) / DEMAND_WINDOW_SECONDS


class ReturnCredit:
    """Compares the returns that were admitted with those that were promised.

    Promises that are due and the returns that used them decay alike, so a
    promise and its return cancel each other, also if the client returns to
    another VM and the sums of both are added. Counts requests rather than
    work: the work of a return is known only roughly when it is promised by
    another region, and one long request would use the promises of many.

    :ivar due: number of promises whose time has come.
    :ivar used: number of returns that were promised.
    :ivar excess: number of returns that were not.
    """

    def __init__(self, now: float) -> None:
        self.due = 0.0
        self.used = 0.0
        self.excess = 0.0
        self.updated_at = now

    def decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.due *= math.exp(-elapsed / PROMISE_EXPIRY_SECONDS)
        self.used *= math.exp(-elapsed / PROMISE_EXPIRY_SECONDS)
        self.excess *= math.exp(-elapsed / EXCESS_EXPIRY_SECONDS)

    def add_promise(self, now: float) -> None:
        self.decay(now)
        self.due += DUE_MARGIN

    def add_return(self, peer_balance: float, now: float) -> None:
        """Records that a return was admitted.

        :param peer_balance: number of returns that the other VMs promised and
            have not admitted; negative if they admitted more.
        """
        if self.has_promise(peer_balance, now):
            self.used += 1.0
        else:
            self.excess += 1.0

    def has_promise(self, peer_balance: float, now: float) -> bool:
        return self.current_balance(now) + peer_balance > MIN_BALANCE

    def current_balance(self, now: float) -> float:
        """Returns the number of promised returns not admitted by this VM."""
        self.decay(now)
        return self.due - self.used


class ClassReturns:
    """The returns of one request class.

    :ivar demand: work of new requests.
    :ivar served: work of admitted requests.
    :ivar promises: timer seconds of the promises to come, in order.
    :ivar next_at: timer seconds from which on the next one can be promised.
    """

    def __init__(self, now: float) -> None:
        self.demand = WorkRate(now)
        self.served = WorkRate(now)
        self.credit = ReturnCredit(now)
        self.promises: collections.deque[float] = collections.deque()
        self.next_at = now

    def expire_promises(self, now: float) -> None:
        """Turns promises whose time has come into credit."""
        while self.promises and self.promises[0] <= now:
            self.promises.popleft()
            self.credit.add_promise(now)

    def may_precede(self, peer_balance: float, now: float) -> bool:
        """Returns whether a return is admitted before new requests."""
        self.expire_promises(now)
        if self.credit.has_promise(peer_balance, now):
            return True
        advance = MAX_ADVANCE_REQUESTS
        if self.demand.mean:
            served_count = self.served.per_second(now) / self.demand.mean
            advance = max(
                advance, MAX_ADVANCE_SECONDS * RETURN_SHARE * served_count
            )
        return self.credit.excess < advance

    def promise(
        self, request: ReturnRequest, room: float, now: float
    ) -> tuple[float, float] | None:
        """Promises a return if it can be served.

        :param room: server seconds a second for returns of the class.
        :returns: the timer seconds from and until which it may return.
        """
        # An earlier return would be taken for a new request and rejected.
        earliest = max(request.drain_seconds, request.detection_seconds)
        latest = now + HONOURED_SHARE * (
            request.time_left - LATENCY_MARGIN_SECONDS
        )
        begin = max(now + earliest, self.next_at)
        if room <= 0 or begin > latest:
            return None
        self.next_at = begin + request.work / room
        if not request.is_forwarded:
            bisect.insort(self.promises, begin)
        return begin, min(latest, begin + MAX_SPREAD_SECONDS, self.next_at)


class RetrySchedule:
    """The returns to one service on one entry VM.

    :ivar capacity: server seconds a second that this VM may use: its share
        of the servers of the region.
    :ivar peer_balance: returns the number of returns to a route that the
        other VMs of the region promised and have not admitted.
    :ivar classes: by name of the route.
    :ivar promised_count: returns to VMs of this region that were promised.
    :ivar kept_count: returns that were admitted by this VM or through it.
    """

    def __init__(self) -> None:
        self.capacity = 0.0
        self.promised_count = 0
        self.kept_count = 0
        self.peer_balance: collections.abc.Callable[[str], float] = (
            lambda name: 0.0
        )
        self.classes: dict[str, ClassReturns] = {}

    def class_of(self, name: str, now: float) -> ClassReturns:
        known = self.classes.get(name)
        if known is None:
            known = self.classes[name] = ClassReturns(now)
        return known

    def record_new_request(
        self, name: str, work: float, is_admitted: bool, now: float
    ) -> None:
        known = self.class_of(name, now)
        known.demand.record(work, now)
        if is_admitted:
            known.served.record(work, now)

    def record_return(
        self,
        name: str,
        work: float,
        now: float,
        is_forwarded: bool = False,
    ) -> None:
        """Records that a return was admitted.

        :param is_forwarded: whether another VM has recorded it already.
        """
        known = self.class_of(name, now)
        known.served.record(work, now)
        if not is_forwarded:
            self.kept_count += 1
            known.expire_promises(now)
            known.credit.add_return(self.peer_balance(name), now)

    def local_returns(self, now: float) -> dict[str, tuple[float, float]]:
        """Returns promised and admitted returns of this VM, by route."""
        returns = {}
        for name, known in self.classes.items():
            known.expire_promises(now)
            known.credit.decay(now)
            if max(known.credit.due, known.credit.used) > MIN_REPORTED:
                returns[name] = (known.credit.due, known.credit.used)
        return returns

    def may_precede(self, name: str, now: float) -> bool:
        """Returns whether a return is admitted before new requests."""
        known = self.class_of(name, now)
        return known.may_precede(self.peer_balance(name), now)

    def record_promise(
        self, name: str, retry_after: float, time_left: float, now: float
    ) -> None:
        """Records that a VM of another region has promised a return.

        The client returns to a VM of this region, which forwards it again.
        """
        if retry_after <= HONOURED_SHARE * time_left:
            known = self.class_of(name, now)
            self.promised_count += 1
            bisect.insort(known.promises, now + retry_after)

    def plan_return(
        self, name: str, request: ReturnRequest, jitter: float, now: float
    ) -> float | None:
        """Promises a return, and returns the seconds until then.

        :param name: of the route.
        :param jitter: random number from 0 to 1, which spreads returns.
        :returns: None if no return within the time that the client honours
            can be served.
        """
        known = self.class_of(name, now)
        known.expire_promises(now)
        room = max(
            self.spare_rate(name, now),
            RETURN_SHARE * known.served.per_second(now),
        )
        promised = known.promise(request, room, now)
        if promised is None:
            return None
        self.promised_count += not request.is_forwarded
        begin, end = promised
        return begin + jitter * (end - begin) - now

    def spare_rate(self, name: str, now: float) -> float:
        """Returns the part of a class in the capacity that is left.

        Capacity is left if the new requests of all classes fit.
        """
        demands = {
            one: known.demand.per_second(now)
            for one, known in self.classes.items()
        }
        total = sum(demands.values())
        if total <= 0:
            return self.capacity
        return (self.capacity - total) * demands[name] / total


def refusal_seconds(client_seconds_left: float) -> float:
    """Returns a Retry-After for which the client does not wait."""
    return REFUSAL_FACTOR * HONOURED_SHARE * client_seconds_left
