"""Steps for idle timeouts of backend connections."""

import functools

import anyio
import behave

from greengagegw.adapters import backend_http
from greengagegw import timers


@behave.given('a connection with an idle timeout of {seconds:d} seconds')
def set_timeout(context, seconds):
    context.seconds = seconds


async def run_events(context, events):
    clock = timers.ManualTimers()
    context.timeouts = []
    idle_timeout = backend_http.IdleTimeout(
        clock, context.seconds, functools.partial(context.timeouts.append, 1)
    )
    if 'every 9 seconds' in events:
        for _ in range(5):
            await clock.advance(9)
            idle_timeout.pause()
            idle_timeout.resume()
    elif 'reads a chunk' in events or 'was slow' in events:
        idle_timeout.pause()
        await clock.advance(60)
        idle_timeout.resume()
        if 'then 11' in events:
            await clock.advance(21)
    elif 'ended' in events:
        idle_timeout.stop()
        await clock.advance(60)
    else:
        await clock.advance(int(events.split()[0]))


@behave.when('on that connection {events}')
def run(context, events):
    anyio.run(run_events, context, events)


@behave.then('that connection is {state}')
def check(context, state):
    assert bool(context.timeouts) == (state == 'closed'), context.timeouts
