"""Lets requests wait on their entry VM for capacity that is about to be free.

A request that would be rejected may wait if it is predicted to be admitted
within an eighth of its latency objective. Otherwise, while a service is
overloaded, the request that happens to arrive when a place is free gets it,
however urgent the ones are that were rejected a moment before.

Requests that wait have not been sent to any server, so they can be rejected
as not run at any time.
"""

import bisect
import dataclasses
import itertools
import math

import anyio

# Longest wait, as a share of the latency objective.
MAX_WAIT_SHARE = 1 / 8
# Requests of one service that wait on one VM; the least urgent ones beyond
# that are rejected.
MAX_WAITING = 32
# Pause until the first request in the queue is planned again. Shorter ones
# cost more CPU time than they save the request.
MIN_PAUSE_SECONDS = 0.01
MAX_PAUSE_SECONDS = 0.03
# Class rank of a promised return, which comes before new requests.
PROMISED = -1
ADMIT = 'admit'
WAIT = 'wait'
REJECT = 'reject'
_numbers = itertools.count()


@dataclasses.dataclass(order=True, slots=True)
class Waiting:
    """A request that may wait.

    :ivar order: requests with the lowest are admitted first: rank of its
        class, whether its organisation is beyond its share, rank of the
        organisation, order of arrival.
    :ivar until: timer seconds until which it may wait.
    :ivar began_at: timer seconds at which it began to wait, None before.
    :ivar seconds: predicted until it is admitted.
    :ivar work_seconds: time in which this VM may admit that much work again.
    :ivar turn: set when it may be admitted, or may not wait any more.
    """

    order: tuple[int, bool, int, int]
    until: float = dataclasses.field(compare=False)
    began_at: float | None = dataclasses.field(default=None, compare=False)
    seconds: float = dataclasses.field(default=0.0, compare=False)
    work_seconds: float = dataclasses.field(default=0.0, compare=False)
    turn: anyio.Event = dataclasses.field(
        default_factory=anyio.Event, compare=False
    )


def make_waiting(
    class_rank: int,
    is_beyond_share: bool,
    organisation_rank: int,
    objective: float,
    now: float,
) -> Waiting:
    """Returns a request that has arrived.

    :param class_rank: number of more urgent classes; ``PROMISED`` for a
        promised return.
    :param objective: latency objective in seconds.
    """
    return Waiting(
        (class_rank, is_beyond_share, organisation_rank, next(_numbers)),
        now + MAX_WAIT_SHARE * objective,
    )


class WaitQueue:
    """The requests that wait for one service on one entry VM, in order.

    :ivar admitted_count: requests that were admitted after a wait.
    :ivar rejected_count: requests that were not.
    :ivar waited_seconds: sum of their waits.
    """

    def __init__(self) -> None:
        self.entries: list[Waiting] = []
        self.admitted_count = 0
        self.rejected_count = 0
        self.waited_seconds = 0.0

    def decide(
        self,
        waiting: Waiting,
        excess_seconds: float,
        work_seconds: float,
        now: float,
    ) -> str:
        """Returns whether a request waits, is admitted or is rejected.

        :param excess_seconds: until the servers would admit it; 0 or less if
            they would now.
        :param work_seconds: time in which this VM may admit the work of the
            request.
        """
        at = bisect.bisect_left(self.entries, waiting)
        waiting.seconds = max(0.0, excess_seconds)
        waiting.seconds += sum(one.work_seconds for one in self.entries[:at])
        waiting.work_seconds = work_seconds
        if waiting.seconds <= 0:
            return ADMIT
        if now + waiting.seconds > waiting.until:
            return REJECT
        if waiting.began_at is None:
            waiting.began_at = now
            self.entries.insert(at, waiting)
            if len(self.entries) > MAX_WAITING:
                self.evict()
        return REJECT if waiting.until < now else WAIT

    def evict(self) -> None:
        """Ends the wait of the last request in the queue."""
        last = self.entries.pop()
        last.until = -math.inf
        last.turn.set()

    def pause_seconds(self, waiting: Waiting, now: float) -> float:
        """Returns the time until a request is planned again at the latest.

        Only the first one is planned again while it waits.
        """
        left = max(0.0, waiting.until - now)
        if not self.entries or self.entries[0] is not waiting:
            return left
        pause = max(waiting.seconds, MIN_PAUSE_SECONDS)
        return min(pause, MAX_PAUSE_SECONDS, left)

    def remove(self, waiting: Waiting, is_admitted: bool, now: float) -> None:
        """Removes a request that is admitted, rejected or abandoned."""
        if waiting.began_at is None:
            return
        self.waited_seconds += now - waiting.began_at
        self.admitted_count += is_admitted
        self.rejected_count += not is_admitted
        if waiting in self.entries:
            self.entries.remove(waiting)
        if self.entries:
            self.entries[0].turn.set()
