"""Steps for the timer service in a real event loop."""

import asyncio
import functools
import gc
import time
import types

import anyio
import behave

from greengagegw import timers as timer_service


def run_with_timers(function):
    """Runs an asynchronous function beside a timer service.

    :returns: the number of delayed callbacks that were scheduled meanwhile.
    """

    async def main():
        timers = timer_service.Timers()
        loop = asyncio.get_running_loop()
        count = 0
        schedule = loop.call_at, loop.call_later

        def counting(index):
            def call(*arguments, **options):
                nonlocal count
                count += 1
                return schedule[index](*arguments, **options)

            return call

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(timers.run)
            await anyio.wait_all_tasks_blocked()
            loop.call_at, loop.call_later = counting(0), counting(1)
            await function(timers)
            scheduled = count
            tasks.cancel_scope.cancel()
        return scheduled

    return anyio.run(main, backend_options={'use_uvloop': True})


@behave.given('the timer service in the event loop of the program')
def given_timer_service(context):
    context.durations = []
    context.called = []


@behave.when('a task sleeps {count:d} times for {milliseconds:g} ms')
def when_sleeping(context, count, milliseconds):
    async def sleep(timers):
        for _ in range(count):
            started_at = time.monotonic()
            await timers.sleep(milliseconds / 1000)
            context.durations.append(time.monotonic() - started_at)

    context.scheduled = run_with_timers(sleep)


@behave.then(
    'the event loop was asked for at most {count:d} callbacks for each sleep'
)
def then_few_callbacks(context, count):
    limit = count * len(context.durations)
    assert context.scheduled <= limit, (context.scheduled, limit)


@behave.then('no sleep was shorter than {milliseconds:g} ms')
def then_long_enough(context, milliseconds):
    assert min(context.durations) >= milliseconds / 1000, context.durations


@behave.when(
    'a callback in {second:d} ms is scheduled after one in {first:d} ms'
)
def when_scheduled(context, second, first):
    async def schedule(timers):
        for milliseconds in (first, second):
            timers.call_later(
                milliseconds / 1000,
                lambda delay=milliseconds: context.called.append(delay),
            )
        await anyio.sleep((first + 30) / 1000)

    context.due = sorted((first, second))
    run_with_timers(schedule)


@behave.then('the callbacks are called in the order of their due times')
def then_in_order(context):
    assert context.called == context.due, context.called


@behave.when(
    '{count:d} callbacks are scheduled {apart:g} ms apart, each in'
    ' {milliseconds:d} ms'
)
def when_scheduled_apart(context, count, apart, milliseconds):
    async def schedule(timers):
        for _ in range(count):
            time.sleep(apart / 1000)
            timers.call_later(
                milliseconds / 1000, lambda: context.called.append(0)
            )
        while len(context.called) < count:
            await timers.sleep(milliseconds / 1000)

    context.scheduled = run_with_timers(schedule)


@behave.then(
    'the event loop was asked for at most {limit:d} callbacks in total'
)
def then_shared(context, limit):
    assert context.scheduled <= limit, context.scheduled


@behave.when('timers of {milliseconds:d} ms are scheduled at {count:d} times')
def when_scheduled_often(context, milliseconds, count):
    timers = timer_service.Timers()
    clock = iter(1000 + 0.00137 * one for one in range(count))
    delay = milliseconds / 1000
    context.late = []
    for now in clock:
        timers.now = lambda now=now: now
        timer = timers.call_later(delay, lambda: None)
        context.late.append(timer.due_at - (now + delay))


@behave.then('each of them is due at most {late:d} ms late, and not early')
def then_punctual(context, late):
    # The event loop adds at most 1 ms.
    rounding = 1e-9
    assert min(context.late) >= -rounding, min(context.late)
    assert max(context.late) <= late / 1000 + rounding, max(context.late)


@behave.when('a timer of {seconds:g} s is cancelled by {means}')
def when_cancelled(context, seconds, means):
    async def cancel(timers):
        if means == 'its owner':
            timers.call_later(seconds, anyio.Event().set).cancel()
        elif means == 'the end of a task':
            with anyio.move_on_after(0.01):
                await timers.sleep(seconds)
        else:
            with timers.move_on_after(seconds):
                pass
        (context.timer,) = [one for _, _, one in timers.pending]

    run_with_timers(cancel)


@behave.then('what its callback referred to is freed at once')
def then_freed(context):
    assert context.timer.cancelled
    referents = gc.get_referents(context.timer)
    assert not any(
        isinstance(one, types.MethodType | functools.partial)
        for one in referents
    ), referents
