"""Steps for request limits of backend servers."""

import behave

from features import serving_world
from features.steps.fleet import in_fleet
from features.steps.server_ends import prompt

WINDOW_SECONDS = 4.0
# A VM obeys a limit this long after the first response that named it.
LEARN_SECONDS = 0.5


@behave.given('region a with {vms:d} entry VMs and {engines:d} engines')
def given_region(context, vms, engines):
    world = serving_world.ServingWorld({'a': (engines, vms)})
    manager = context.portal.wrap_async_context_manager(world.running())
    context.serving = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.number = 0
    context.limited = []


async def send_requests(context, rate, seconds):
    world = context.serving
    start = world.timers.now()
    sent = 0
    while (elapsed := world.timers.now() - start) < seconds:
        while sent < elapsed * rate:
            sent += 1
            number = context.number = context.number + 1
            vm = world.entries[number % len(world.entries)].vm
            request = world.request(
                number,
                prompt=prompt(
                    f'head{number % 24}', f'own{number}', output_tokens=24
                ),
                timeout_seconds=3.0,
            )
            world.start_request(vm, request, objective=0.8)
        await world.timers.advance(0.02)


def set_limit(context, count, limit):
    """Limits the engines that got most requests so far."""
    world = context.serving
    engines = sorted(
        world.engines.values(), key=lambda one: len(one.arrivals), reverse=True
    )
    context.limited = engines[:count]
    for engine in context.limited:
        engine.request_limit = limit
    context.limited_at = world.timers.now()


@behave.when(
    '{count:d} engines name a limit of {limit:g} a second and {rate:d}'
    ' requests a second come for {seconds:g} seconds'
)
@in_fleet
async def when_limited(context, count, limit, rate, seconds):
    await send_requests(context, rate, 3.0)
    set_limit(context, count, limit)
    await send_requests(context, rate, seconds)


def arrivals_since(engine, since):
    return [at for at, _ in engine.arrivals if at >= since]


@behave.then(
    'each of them gets at most one and a half times its limit and 5 requests'
    ' in any 4 seconds'
)
def then_within(context):
    for engine in context.limited:
        first_at = min(arrivals_since(engine, context.limited_at))
        times = arrivals_since(engine, first_at + LEARN_SECONDS)
        allowed = 1.5 * engine.request_limit * WINDOW_SECONDS + 5
        most = max(
            (
                sum(at <= other < at + WINDOW_SECONDS for other in times)
                for at in times
            ),
            default=0,
        )
        assert most <= allowed, (engine.instance.name, most, allowed)


@behave.then('each of them gets at least half of its limit over all')
def then_used(context):
    world = context.serving
    for engine in context.limited:
        seconds = world.timers.now() - context.limited_at
        got = len(arrivals_since(engine, context.limited_at))
        wanted = 0.5 * engine.request_limit * seconds
        assert got >= wanted, (engine.instance.name, got, wanted)
