"""Steps for request limits of backend servers."""

import dataclasses
import math

import behave
import orjson

from features import serving_world
from features.steps.fleet import in_fleet
from features.steps.server_ends import prompt
from greengagegw import errors
from greengagegw.serving import ports
from greengagegw.serving import request_limits

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


@behave.then(
    'each of them gets at least {percent:d} percent of its limit over all'
)
def then_used(context, percent):
    world = context.serving
    for engine in context.limited:
        seconds = world.timers.now() - context.limited_at
        got = len(arrivals_since(engine, context.limited_at))
        wanted = percent / 100 * engine.request_limit * seconds
        assert got >= wanted, (engine.instance.name, got, wanted)


def outcomes_since_limit(context):
    now = context.serving.timers.now()
    return [
        one
        for one in context.serving.outcomes
        if context.limited_at <= one.sent_at < now - 1.0
    ]


@behave.then('{percent:d} percent of the requests since are on time')
def then_on_time(context, percent):
    outcomes = outcomes_since_limit(context)
    on_time = sum(one.is_on_time for one in outcomes)
    assert 100 * on_time >= percent * len(outcomes) > 0, (
        on_time,
        len(outcomes),
        {str(one.error) for one in outcomes if not one.is_on_time},
    )


@behave.then('those that are rejected are told when to come back')
def then_told(context):
    failures = [
        one.error
        for one in outcomes_since_limit(context)
        if one.error is not None
    ]
    assert failures
    for error in failures:
        assert (error.status, error.run) == (503, errors.NOT_RUN), error
        assert error.retry_after >= 0.3, error


async def restart(context):
    world = context.serving
    world.restart(world.entries[2])
    world.refresh()
    await world.timers.advance(2.0)


async def restart_alone(context):
    context.serving.unreachable_vms = {'a0', 'a1'}
    await restart(context)
    # The others tell it.
    await context.serving.timers.advance(8.0)


async def change_limit(context, limit=2.0):
    set_limit(context, 1, limit)
    await send_requests(context, 20, 4.0)


async def take_back(context):
    await change_limit(context, math.inf)


async def get_earlier_response(context):
    world = context.serving
    world.dispatchers['a0'].pool.record_notice(
        context.limited[0].instance,
        ports.ServerNotice(request_limit=math.inf),
        context.limited_at,
        world.timers.now(),
    )
    await world.timers.advance(0.5)


async def start_another_run(context):
    engine = context.limited[0]
    engine.instance = dataclasses.replace(engine.instance, born=7)
    context.serving.refresh()


EVENTS = {
    'VM a2 restarts': restart,
    'VM a2 restarts and can reach no other VM': restart_alone,
    'the engine changes its limit to 2': change_limit,
    'the engine takes its limit back': take_back,
    'a response to an earlier request arrives at a0': get_earlier_response,
    'another run of the engine starts': start_another_run,
}


@behave.when('{event} at the limited engine')
@in_fleet
async def when_event(context, event):
    await EVENTS[event](context)


@behave.then('VM a2 holds a limit of {limit} for the engine')
def then_holds(context, limit):
    limits = context.serving.dispatchers['a2'].pool.limits
    expected = math.inf if limit == 'none' else float(limit)
    assert limits.rate_of(context.limited[0].instance) == expected, (
        limits.by_run
    )


@behave.when(
    '{count:d} engines name a limit of {limit:g} a second and streams that'
    ' break off come {rate:d} times a second for {seconds:d} seconds'
)
@in_fleet
async def when_break_off(context, count, limit, rate, seconds):
    await send_requests(context, rate, 1.0)
    set_limit(context, count, limit)
    for engine in context.serving.engines.values():
        engine.pending_faults = ['disconnects after 2 events'] * 1000
    await send_requests(context, rate, seconds)


@behave.when('VM a0 gets {message} as limits')
@in_fleet
async def when_malformed(context, message):
    handlers = context.serving.dispatchers['a0'].handlers()
    context.error = None
    try:
        await handlers[request_limits.LIMITS_METHOD](
            'a1', orjson.loads(message)
        )
    except errors.GatewayError as error:
        context.error = error


@behave.then('the limits are a protocol error of their sender')
def then_protocol_error(context):
    assert isinstance(context.error, errors.PeerProtocolError), context.error
    assert 'a1' in context.error.message
