"""Keeps periodic work of a process running after an unexpected error."""

import collections.abc
import typing

import eliot

from . import timers as timer_service

RESTART_DELAY_SECONDS = 0.5


async def run_supervised(
    timers: timer_service.Timers,
    name: str,
    function: collections.abc.Callable[..., collections.abc.Awaitable[None]],
    *arguments: typing.Any,
) -> None:
    """Runs a function until it returns, and again after an exception.

    A malformed message must not end the process that received it, and so
    every request that it serves. The exception is logged with its traceback.

    :param name: names the work in the log.
    """
    while True:
        try:
            await function(*arguments)
            return
        except Exception:
            eliot.write_traceback()
            eliot.log_message(
                'task:restarted', task=name, delay=RESTART_DELAY_SECONDS
            )
        await timers.sleep(RESTART_DELAY_SECONDS)
