"""Steps on silent connections."""

import functools

import anyio
import behave

from greengagegw.adapters import backend_http
from greengagegw import timers


@behave.given('a connection that may be silent for {seconds:d} seconds')
def make(context, seconds):
    context.seconds = seconds


async def play(context, events):
    clock = timers.ManualTimers()
    context.broken = []
    watch = backend_http.SilenceWatch(
        clock, context.seconds, functools.partial(context.broken.append, 1)
    )
    if 'every 9 seconds' in events:
        for _ in range(5):
            await clock.advance(9)
            watch.pause()
            watch.go_on()
    elif 'takes a chunk' in events or 'took its time' in events:
        watch.pause()
        await clock.advance(60)
        watch.go_on()
        if 'and 11' in events:
            await clock.advance(21)
    elif 'ended' in events:
        watch.stop()
        await clock.advance(60)
    else:
        await clock.advance(int(events.split()[0]))


@behave.when('on that connection {events}')
def run(context, events):
    anyio.run(play, context, events)


@behave.then('that connection is {state}')
def check(context, state):
    assert bool(context.broken) == (state == 'broken off'), context.broken
