"""The timer service, through which a VM reads the time and waits.

A VM does not read the system's clocks directly, so that a test can control
time with :class:`ManualTimers`.
"""

import asyncio
import collections.abc
import functools
import heapq
import itertools
import math
import time
import types

import anyio
import anyio.lowlevel
import eliot


# Timers with a longer delay are due at a multiple of the interval, so that one
# wake-up of the event loop serves several of them. A wake-up costs about as
# much as a callback, and most delays are those of periodic work. Together with
# the event loop's resolution of 1 ms, no timer is more than 10 ms late.
COALESCED_DELAY_SECONDS = 0.1
COALESCING_SECONDS = 0.008


def do_nothing() -> None:
    """Is the callback of cancelled timers."""


class Timer:
    """A scheduled callback.

    :ivar due_at: monotonic seconds at which it is called.
    """

    __slots__ = ('callback', 'cancelled', 'due_at')

    def __init__(
        self, due_at: float, callback: collections.abc.Callable
    ) -> None:
        self.due_at = due_at
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Cancels the callback; does nothing if it was already called."""
        self.cancelled = True
        # A cancelled timer is queued until it would be due, and must not keep
        # what the callback refers to, such as a closed connection.
        self.callback = do_nothing


class Timers:
    """Calls callbacks at their due times.

    Times are seconds of a monotonic clock. Callbacks are called only while
    :meth:`run` runs.

    :ivar wake_after: schedules :meth:`wake`; None while the service does not
        run.
    :ivar wake_at: monotonic seconds of the next wake-up, infinity if there is
        none.
    """

    def __init__(self) -> None:
        self.pending: list[tuple[float, int, Timer]] = []
        self.sequence = itertools.count()
        self.wake_after: (
            collections.abc.Callable[[float], asyncio.TimerHandle] | None
        ) = None
        self.wake_handle: asyncio.TimerHandle | None = None
        self.wake_at = math.inf

    # The monotonic time in seconds. It is read many times for each request, so
    # that a method of its own would be noticeable.
    now = staticmethod(time.monotonic)

    def wall_time(self) -> float:
        """Returns the wall clock in seconds since the epoch."""
        return time.time()

    def call_later(
        self, delay: float, callback: collections.abc.Callable
    ) -> Timer:
        """Schedules a synchronous callback.

        :param delay: seconds from now; a negative delay counts as zero.
        :returns: the timer, which can be cancelled.
        """
        due_at = self.due_time(delay)
        timer = Timer(due_at, callback)
        heapq.heappush(self.pending, (due_at, next(self.sequence), timer))
        if due_at < self.wake_at:
            self.schedule_wake()
        return timer

    def due_time(self, delay: float) -> float:
        """Returns when a timer with a delay is due, never too early."""
        if delay < COALESCED_DELAY_SECONDS:
            return self.now() + max(delay, 0.0)
        intervals = math.ceil((self.now() + delay) / COALESCING_SECONDS)
        return intervals * COALESCING_SECONDS

    async def sleep(self, delay: float) -> None:
        """Waits for a delay in seconds."""
        if delay <= 0:
            await anyio.lowlevel.checkpoint()
            return
        # A future costs a fraction of an event and a task that waits for it.
        woken = asyncio.get_running_loop().create_future()
        timer = self.call_later(delay, functools.partial(wake_sleeper, woken))
        try:
            await woken
        finally:
            timer.cancel()

    def move_on_after(self, delay: float) -> 'TimeLimit':
        """Cancels the enclosed block after a delay in seconds.

        As with :func:`anyio.move_on_after`, no exception is raised; the
        scope's ``cancelled_caught`` tells whether the time ran out.
        """
        return TimeLimit(self, delay)

    def run_due_callbacks(self) -> None:
        """Calls every callback that is due."""
        now = self.now()
        while self.pending and self.pending[0][0] <= now:
            timer = heapq.heappop(self.pending)[2]
            if timer.cancelled:
                continue
            try:
                timer.callback()
            except Exception:
                # A callback that fails must not stop all other timers.
                eliot.write_traceback()

    async def run(self) -> None:
        """Runs the service until it is cancelled."""
        loop = asyncio.get_running_loop()

        def wake_after(delay: float) -> asyncio.TimerHandle:
            milliseconds = max(1, math.ceil(delay * 1000))
            return loop.call_later(milliseconds / 1000, self.wake)

        self.wake_after = wake_after
        self.wake()
        try:
            await anyio.sleep_forever()
        finally:
            self.wake_after = None
            if self.wake_handle is not None:
                self.wake_handle.cancel()

    def wake(self) -> None:
        """Calls every callback that is due, and schedules the next call."""
        self.wake_at = -math.inf
        self.run_due_callbacks()
        self.wake_at = math.inf
        self.schedule_wake()

    def schedule_wake(self) -> None:
        """Schedules a wake-up for the first timer, unless one is due before.

        Delays are rounded up to milliseconds, the resolution of the event
        loop: a deadline within the current millisecond would have it poll
        until then.
        """
        self.drop_cancelled()
        if self.wake_after is None or not self.pending:
            return
        due_at = self.pending[0][0]
        if due_at >= self.wake_at:
            return
        if self.wake_handle is not None:
            self.wake_handle.cancel()
        self.wake_at = due_at
        self.wake_handle = self.wake_after(due_at - self.now())

    def drop_cancelled(self) -> None:
        """Removes cancelled timers from the front of the queue."""
        while self.pending and self.pending[0][2].cancelled:
            heapq.heappop(self.pending)


def wake_sleeper(woken: asyncio.Future) -> None:
    if not woken.done():
        woken.set_result(None)


class TimeLimit:
    """The context of :meth:`Timers.move_on_after`."""

    __slots__ = ('delay', 'scope', 'timer', 'timers')

    def __init__(self, timers: Timers, delay: float) -> None:
        self.timers = timers
        self.delay = delay

    def __enter__(self) -> anyio.CancelScope:
        self.scope = anyio.CancelScope()
        self.scope.__enter__()
        self.timer = self.timers.call_later(self.delay, self.scope.cancel)
        return self.scope

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> bool | None:
        self.timer.cancel()
        return self.scope.__exit__(error_type, error, traceback)


class ManualTimers(Timers):
    """A timer service whose time advances only in :meth:`advance`."""

    # Event loop iterations in which tasks run after each step of time.
    settle_rounds = 20

    def __init__(self, start: float = 1000.0, wall: float = 1.8e9) -> None:
        super().__init__()
        self.time = start
        self.wall_offset = wall - start

    def now(self) -> float:
        return self.time

    def due_time(self, delay: float) -> float:
        return self.time + max(delay, 0.0)

    def wall_time(self) -> float:
        return self.time + self.wall_offset

    def step_wall_clock(self, seconds: float) -> None:
        """Shifts the wall clock but not the monotonic clock."""
        self.wall_offset += seconds

    async def run(self) -> None:
        """Waits forever, since :meth:`advance` calls the callbacks."""
        await anyio.sleep_forever()

    async def settle(self) -> None:
        """Lets the other tasks run until they wait."""
        for _ in range(self.settle_rounds):
            await anyio.lowlevel.checkpoint()

    def next_due(self) -> float:
        """Returns the due time of the next timer, or infinity."""
        self.drop_cancelled()
        return self.pending[0][0] if self.pending else math.inf

    async def advance(self, seconds: float) -> None:
        """Advances time and calls the callbacks that become due, in order.

        :param seconds: how far time advances.
        """
        target = self.time + seconds
        await self.settle()
        while self.next_due() <= target:
            self.time = max(self.time, self.pending[0][0])
            self.run_due_callbacks()
            await self.settle()
        self.time = target
        await self.settle()
