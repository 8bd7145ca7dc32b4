"""Steps for the ends of backend servers."""

import dataclasses

import behave
import eliot

from features import fleet_world
from features import serving_world
from features.steps.fleet import in_fleet
from greengagegw.serving import prompts

FAULTS = {'is full': 'full'}


def prompt(*names, output_tokens=800):
    segments = tuple(prompts.Segment(name, 100) for name in names)
    return prompts.Prompt('m', 100 * len(names), output_tokens, segments)


@behave.given('region a with 1 entry VM and {engines:d} engines')
def given_region(context, engines):
    routes = [
        fleet_world.route(),
        fleet_world.route(
            name='r2', pathPrefix='/desk/', kind='safe', service='desk'
        ),
    ]
    world = serving_world.ServingWorld({'a': (engines, 1)}, routes=routes)
    manager = context.portal.wrap_async_context_manager(world.running())
    context.serving = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.logged = []
    eliot.add_destinations(context.logged.append)
    # The first destination gets what was logged before.
    context.logged.clear()
    context.add_cleanup(eliot.remove_destination, context.logged.append)
    dispatcher = context.serving.dispatchers['a0']
    context.ends = []
    dispatcher.end_detector.on_end = context.ends.append


async def run_on_one_engine(context):
    """Starts three requests, and returns the engine that runs them."""
    world = context.serving
    for name in list(world.engines)[1:]:
        if world.engines[name].instance.service == 'engine':
            del world.engines[name]
    world.refresh()
    for number in range(3):
        request = world.request(number, prompt=prompt('head', f'own{number}'))
        world.start_request('a0', request)
    await world.timers.advance(0.3)
    engine = next(iter(world.engines.values()))
    assert engine.running == 3, engine.running
    return engine


@behave.when('3 requests run and their engine crashes')
@in_fleet
async def when_crashes(context):
    engine = await run_on_one_engine(context)
    engine.crash()
    await context.serving.timers.advance(1.0)


@behave.when(
    '3 plain requests, two of them the same, run and their server crashes'
)
@in_fleet
async def when_server_crashes(context):
    world = context.serving
    for number, body in enumerate((b'same', b'same', b'other')):
        request = world.request(number, path='/desk/x', body=body)
        world.start_request('a0', request)
    await world.timers.advance(0.05)
    server = world.engines['i-adesk']
    assert server.running == 3, server.running
    server.crash()
    await world.timers.advance(1.0)


@behave.then(
    'the end of the server is logged with {count:d} requests and {digests:d}'
    ' digests'
)
def then_digests(context, count, digests):
    [end] = logged_ends(context)
    assert len(end['requests']) == count, end
    found = {digest for *_, digest in end['requests']}
    assert len(found) == digests and '' not in found, found
    assert not any('same' in str(one) for one in end['requests'])


@behave.when('3 requests run and their engine leaves and ends')
@in_fleet
async def when_leaves(context):
    engine = await run_on_one_engine(context)
    engine.instance = dataclasses.replace(engine.instance, is_leaving=True)
    context.serving.refresh()
    engine.crash()
    await context.serving.timers.advance(1.0)


@behave.when('a request meets an engine that {fault}')
@in_fleet
async def when_meets(context, fault):
    world = context.serving
    faults = [FAULTS.get(fault, fault)]
    for engine in world.engines.values():
        engine.pending_faults = faults
    request = world.request(1, prompt=prompt('head', 'own'))
    world.start_request('a0', request)
    await world.timers.advance(5.0)
    assert not faults


def logged_ends(context):
    return [
        one
        for one in context.logged
        if one.get('message_type') == 'server:ended'
    ]


@behave.then(
    'the end of the engine is logged with {count:d} requests and their'
    ' segments'
)
def then_logged(context, count):
    [end] = logged_ends(context)
    segments = {name: names for name, names, *_ in end['requests']}
    assert segments == {
        f'r-{number}': ['head', f'own{number}'] for number in range(count)
    }, segments
    [end] = context.ends
    assert len(end.requests) == count


@behave.then('no end of an engine is logged')
def then_not_logged(context):
    assert not logged_ends(context), logged_ends(context)


@behave.then('the end of the engine is logged as one that was leaving')
def then_leaving(context):
    [end] = logged_ends(context)
    assert end['leaving'], end


@behave.then('it is related to no request')
def then_unrelated(context):
    assert not context.ends, context.ends
