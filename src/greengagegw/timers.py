"""The timer service: the only clock of the gateway.

Parts subscribe to it in place of reading the system's clock, so that a
test can drive time by hand with :class:`ManualTimers`.
"""

import collections.abc
import contextlib
import heapq
import itertools
import math
import time

import anyio
import anyio.lowlevel
import eliot


class Timer:
    """A call that the timer service will make; it can be cancelled."""

    __slots__ = ('action', 'cancelled', 'due')

    def __init__(self, due: float, action: collections.abc.Callable) -> None:
        self.due = due
        self.action = action
        self.cancelled = False

    def cancel(self) -> None:
        """Keeps the call from being made; harmless when it was made."""
        self.cancelled = True


class Timers:
    """Calls subscribers when their time has come.

    Times are seconds of a monotonic clock. :meth:`run` must be running for
    anything to be called.
    """

    def __init__(self) -> None:
        self.pending: list[tuple[float, int, Timer]] = []
        self.order = itertools.count()
        self.changed = anyio.Event()

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Returns the wall clock in seconds since the epoch."""
        return time.time()

    def call_later(
        self, delay: float, action: collections.abc.Callable
    ) -> Timer:
        """Subscribes a plain function to a moment.

        :param delay: seconds from now; below zero counts as now.
        :returns: the subscription, which can be cancelled.
        """
        due = self.now() + max(delay, 0.0)
        subscription = Timer(due, action)
        first = not self.pending or due < self.pending[0][0]
        heapq.heappush(self.pending, (due, next(self.order), subscription))
        if first:
            self.changed.set()
        return subscription

    async def sleep(self, delay: float) -> None:
        """Returns after a delay in seconds."""
        if delay <= 0:
            await anyio.lowlevel.checkpoint()
            return
        woken = anyio.Event()
        subscription = self.call_later(delay, woken.set)
        try:
            await woken.wait()
        finally:
            subscription.cancel()

    @contextlib.contextmanager
    def move_on_after(
        self, delay: float
    ) -> collections.abc.Iterator[anyio.CancelScope]:
        """Cancels the enclosed block after a delay in seconds.

        As with :func:`anyio.move_on_after`, the block ends silently; ask
        the scope's ``cancelled_caught`` whether time ran out.
        """
        with anyio.CancelScope() as scope:
            subscription = self.call_later(delay, scope.cancel)
            try:
                yield scope
            finally:
                subscription.cancel()

    def run_due_callbacks(self) -> None:
        """Makes every call whose time has come."""
        now = self.now()
        while self.pending and self.pending[0][0] <= now:
            subscription = heapq.heappop(self.pending)[2]
            if subscription.cancelled:
                continue
            try:
                subscription.action()
            except Exception:
                # One subscriber's fault must not stop everybody's time.
                eliot.write_traceback()

    async def run(self) -> None:
        """Runs the service until it is cancelled."""
        while True:
            self.run_due_callbacks()
            self.drop_cancelled()
            self.changed = anyio.Event()
            if not self.pending:
                await self.changed.wait()
                continue
            delay = self.pending[0][0] - self.now()
            with anyio.move_on_after(max(delay, 0)):
                await self.changed.wait()

    def drop_cancelled(self) -> None:
        """Forgets cancelled calls at the head of the queue."""
        while self.pending and self.pending[0][2].cancelled:
            heapq.heappop(self.pending)


class ManualTimers(Timers):
    """A timer service whose time moves only when told to."""

    # Rounds of the event loop given to tasks after each step of time.
    settle_rounds = 20

    def __init__(self, start: float = 1000.0, wall: float = 1.8e9) -> None:
        super().__init__()
        self.time = start
        self.wall_offset = wall - start

    def now(self) -> float:
        return self.time

    def wall_time(self) -> float:
        return self.time + self.wall_offset

    def step_wall_clock(self, seconds: float) -> None:
        """Moves the wall clock alone, as a clock step does."""
        self.wall_offset += seconds

    async def run(self) -> None:
        """Waits for ever, since :meth:`advance` makes the calls."""
        await anyio.sleep_forever()

    async def settle(self) -> None:
        """Lets the other tasks run until they wait."""
        for _ in range(self.settle_rounds):
            await anyio.lowlevel.checkpoint()

    def next_due(self) -> float:
        """Returns when the next call is due that was not cancelled."""
        self.drop_cancelled()
        return self.pending[0][0] if self.pending else math.inf

    async def advance(self, seconds: float) -> None:
        """Moves time on, making each call that falls due in its order.

        :param seconds: how far time moves.
        """
        target = self.time + seconds
        await self.settle()
        while self.next_due() <= target:
            self.time = max(self.time, self.pending[0][0])
            self.run_due_callbacks()
            await self.settle()
        self.time = target
        await self.settle()
