"""Notices that this process did not run for a time."""

import collections.abc

import eliot

from .. import timers as timer_service
from . import agent as agents

CHECK_INTERVAL_SECONDS = 0.25
# Above the delays of a busy event loop.
MIN_PAUSE_SECONDS = 0.5


class SuspensionDetector:
    """Tells how long ago a suspension of the process or its VM ended.

    The steady clock goes on while only the process is suspended, and the boot
    clock also while the VM is, so the longer interval of the two counts.

    :ivar woke_at: timer seconds of the end of the last suspension.
    """

    def __init__(
        self,
        timers: timer_service.Timers,
        boot_clock: collections.abc.Callable[[], float] = agents.boot_seconds,
    ) -> None:
        self.timers = timers
        self.boot_clock = boot_clock
        self.woke_at = float('-inf')
        self.checked_at = timers.now()
        self.boot_checked_at = boot_clock()

    async def run(self) -> None:
        """Checks regularly until it is cancelled."""
        while True:
            await self.timers.sleep(CHECK_INTERVAL_SECONDS)
            self.check()

    def check(self) -> None:
        now, boot_now = self.timers.now(), self.boot_clock()
        steady_seconds = now - self.checked_at
        boot_seconds = boot_now - self.boot_checked_at
        self.checked_at, self.boot_checked_at = now, boot_now
        pause = max(steady_seconds, boot_seconds) - CHECK_INTERVAL_SECONDS
        if pause < MIN_PAUSE_SECONDS:
            return
        self.woke_at = now
        eliot.log_message(
            'process:suspended',
            seconds=round(pause, 3),
            steady_seconds=round(steady_seconds, 3),
            boot_seconds=round(boot_seconds, 3),
        )

    def seconds_awake(self) -> float:
        """Returns the seconds since the last suspension ended."""
        self.check()
        return self.timers.now() - self.woke_at
