"""Steps for prompts that crash backend servers."""

import behave

from features import fleet_world
from features import serving_world
from features.steps.fleet import in_fleet
from features.steps.server_ends import prompt

LAYOUT = {'a': (3, 3), 'b': (1, 2), 'c': (1, 2)}
CRASHING = 'crashing'
SOUND_PER_SECOND = 8
CLIENT_TIMEOUT_SECONDS = 3.0


@behave.given('the engines of three regions')
def given_engines(context):
    world = serving_world.ServingWorld(
        LAYOUT, routes=[fleet_world.route(maxAttempts=2)]
    )
    world.crashing_segments = {CRASHING}
    manager = context.portal.wrap_async_context_manager(world.running())
    context.serving = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.number = 0


def send(context, profile, *names):
    """Sends a request with a segment of its own to the next entry VM."""
    world = context.serving
    number = context.number = context.number + 1
    vm = world.entries[number % len(world.entries)].vm
    request = world.request(
        number,
        prompt=prompt(*names, f'own{number}', output_tokens=24),
        timeout_seconds=CLIENT_TIMEOUT_SECONDS,
    )
    world.start_request(vm, request, objective=0.8, profile=profile)


async def replay(context, rate, seconds):
    """Sends crashing requests, and sound ones with the same first segment."""
    world = context.serving
    await world.timers.advance(1.0)
    sound = crashing = 0
    start = world.timers.now()
    while (elapsed := world.timers.now() - start) < seconds:
        if sound < elapsed * SOUND_PER_SECOND:
            sound += 1
            send(context, 'sound', 'head', f'topic{sound % 5}')
        if crashing < elapsed * rate:
            crashing += 1
            send(context, 'crashing', 'head', CRASHING)
        await world.timers.advance(0.02)


@behave.when(
    'requests with a crashing segment come {rate:g} times a second for'
    ' {seconds:g} seconds'
)
@in_fleet
async def when_come(context, rate, seconds):
    await replay(context, rate, seconds)


def crashing_arrivals(world):
    engines = [*world.engines.values(), *world.ended_engines]
    return sorted(
        at
        for engine in engines
        for at, one in engine.arrivals
        if one.request.prompt is not None
        and CRASHING in {part.name for part in one.request.prompt.segments}
    )


@behave.then(
    'at most {count:d} of them reach an engine later than {seconds:g} seconds'
    ' after the fifth crash'
)
def then_few(context, count, seconds):
    world = context.serving
    assert world.crashes, 'no engine has crashed'
    if len(world.crashes) < 5:
        return
    fifth = sorted(world.crashes)[4]
    late = [at for at in crashing_arrivals(world) if at > fifth + seconds]
    assert len(late) <= count, (len(late), len(world.crashes), fifth)
