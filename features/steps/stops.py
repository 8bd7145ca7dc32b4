"""Steps for the planned stop of an entry VM."""

import dataclasses

import anyio
import behave
import eliot
import orjson

from features import fleet_world
from features import serving_world
from features.steps.fleet import in_fleet
from features.steps import serving
from greengagegw import errors
from greengagegw.platform import documents

KNOWN_REQUESTS = 12


@behave.given(
    'region a without servers, and region b with {engines:d} engines and'
    ' {entries:d} entry VMs'
)
def given_regions(context, engines, entries):
    serving.enter(context, {'a': (0, 1), 'b': (engines, entries)})
    del context.serving.engines['i-adesk']


def configure(context, **changes):
    route = fleet_world.route(targetLatencyMs=12000, **changes)
    content = orjson.dumps(fleet_world.document(routes=[route]))
    context.serving.configuration = documents.decode(content)
    context.serving.refresh()


@behave.given('calls that took {seconds:g} seconds before')
@in_fleet
async def given_calls(context, seconds):
    configure(context, kind='safe', maxAttempts=3, service='desk')
    context.prompt = None
    for engine in context.serving.engines.values():
        engine.slowdown = seconds / serving_world.CALL_SECONDS
    await learn(context, seconds)


@behave.given('streams of {count:d} events before')
@in_fleet
async def given_streams(context, count):
    configure(context, kind='streaming', resumable=False)
    context.prompt = dataclasses.replace(
        serving.PROMPT, max_output_tokens=count * serving_world.EVENT_TOKENS
    )
    await learn(context, count * 1.1 * serving_world.STEP_SECONDS)


async def learn(context, seconds):
    """Sends requests to all entry VMs, from which they learn."""
    world = context.serving
    for number in range(KNOWN_REQUESTS):
        for entry in world.entries:
            request = world.request(f'known-{number}', prompt=context.prompt)
            world.start_request(entry.vm, request)
        await world.timers.advance(seconds + 0.5)
    failed = [one for one in world.outcomes if one.error is not None]
    assert not failed, failed[:3]
    world.outcomes.clear()


async def send_as_client(context, vm, request):
    """Sends a request as the HTTP application of the VM passes it on."""
    world = context.serving
    if world.dispatchers[vm].rejects_request(request):
        outcome = serving_world.Outcome(
            request.request_id, '', '', world.timers.now(), 1.0
        )
        outcome.error = errors.StoppingError('late')
        outcome.ended_at = world.timers.now()
        world.outcomes.append(outcome)
        return
    await world.send_request(vm, request)


@behave.when(
    'VM {vm} stops within {drain:g} seconds, and a {kind} arrives after'
    ' {after:g} seconds'
)
@in_fleet
async def when_stops(context, vm, drain, kind, after):
    world = context.serving
    dispatcher = world.dispatchers[vm]
    dispatcher.begin_stop(drain)
    await world.timers.advance(after)
    request = world.request('late', prompt=context.prompt)
    world.tasks.start_soon(send_as_client, context, vm, request)
    await world.timers.advance(drain - after)
    dispatcher.end_stop()
    await world.timers.advance(1.0)
    (context.outcome,) = world.outcomes


@behave.then('the call is {outcome}')
def then_call(context, outcome):
    found = context.outcome
    if outcome == 'served':
        assert found.error is None and found.status == 200, found
    else:
        assert found.error.run == 'not_run', found
        assert found.error.status == 503, found
        assert found.ended_at - found.sent_at < 0.01, found


@behave.when('VM {vm} stops within {drain:g} seconds while {request}')
@in_fleet
async def when_stops_while(context, vm, drain, request):
    world = context.serving
    is_stream = request == 'a server sends a stream'
    serving.configure(
        context, **serving.KINDS['stream' if is_stream else 'unsafe']
    )
    dispatcher = world.dispatchers[vm]
    for engine in world.engines.values():
        engine.slowdown = 40.0
    prompt = None
    if is_stream:
        prompt = dataclasses.replace(serving.PROMPT, max_output_tokens=800)
    if request == 'a request waits for its quota':
        dispatcher.charge = lambda job: anyio.sleep_forever()
    context.logged = []
    eliot.add_destinations(context.logged.append)
    # The first destination gets what was logged before.
    context.logged.clear()
    context.add_cleanup(eliot.remove_destination, context.logged.append)
    world.start_request(vm, world.request('left', prompt=prompt))
    await world.timers.advance(0.5)
    dispatcher.begin_stop(drain)
    await world.timers.advance(drain)
    context.cut_at = world.timers.now()
    dispatcher.end_stop()
    await world.timers.advance(0.1)
    (context.outcome,) = world.outcomes


@behave.then('the request ends with the stop, with {error}')
def then_ends(context, error):
    found = context.outcome
    assert 0 <= found.ended_at - context.cut_at < 0.05, found
    if error == 'a truncated response':
        assert found.status == 200 and found.body and found.error, found
        return
    status, run = {
        '502 and an unknown outcome': (502, 'unknown'),
        '503 and not run': (503, 'not_run'),
    }[error]
    assert (found.error.status, found.error.run) == (status, run), found
    assert found.error.retry_after or run == 'unknown', found


@behave.then(
    'the log has the taken, rejected and cut requests, with their ages'
)
def then_logged(context):
    ended = [
        one
        for one in context.logged
        if one.get('message_type') == 'stop:ended'
    ]
    assert len(ended) == 1, ended
    counts = [ended[0][name] for name in ('taken', 'rejected')]
    assert counts == [0, 0], ended
    assert ended[0]['cut'] + ended[0]['cut_before_run'] == 1, ended
    assert [round(one, 1) for one in ended[0]['ages']] == [2.7], ended


@behave.when(
    'the VM that runs them stops within {drain:g} seconds, and {count:d} calls'
    ' arrive at VM {entry}'
)
@in_fleet
async def when_forwarded(context, drain, count, entry):
    world = context.serving
    ((vm, _),) = world.forwarded.most_common(1)
    context.stopping = world.dispatchers[vm]
    context.stopping.begin_stop(drain)
    for number in range(count):
        world.start_request(entry, world.request(f'late-{number}'))
        await world.timers.advance(0.1)
    await world.timers.advance(10.0)


@behave.then('all calls are served, and the stopped VM takes none of them')
def then_all_served(context):
    outcomes = context.serving.outcomes
    assert all(one.error is None for one in outcomes), outcomes
    stop = context.stopping.stop
    assert (stop.taken, stop.rejected > 0) == (0, True), vars(stop)


@behave.given(
    'region a with 1 engine, and region b with {engines:d} engines and'
    ' {entries:d} entry VMs'
)
def given_both_regions(context, engines, entries):
    serving.enter(context, {'a': (1, 1), 'b': (engines, entries)})


@behave.when(
    'a stream of {count:d} events begins at VM {vm}, which loses its servers'
)
@in_fleet
async def when_servers_lost(context, count, vm):
    world = context.serving
    # Other regions are used once they have reported their load.
    await world.timers.advance(3.0)
    context.event_count = count
    prompt = dataclasses.replace(
        serving.PROMPT, max_output_tokens=count * serving_world.EVENT_TOKENS
    )
    world.start_request(vm, world.request('stream', prompt=prompt))
    await world.timers.advance(0.3)
    world.partition([vm], 'are reset')
    await world.timers.advance(0.7)


@behave.when('the VM that goes on with it stops')
@in_fleet
async def when_relay_stops(context):
    world = context.serving
    ((vm, _),) = world.forwarded.most_common(1)
    (outcome,) = world.outcomes
    context.begun_bytes = len(outcome.body)
    dispatcher = world.dispatchers[vm]
    dispatcher.begin_stop(0.2)
    await world.timers.advance(0.2)
    assert dispatcher.in_flight.requests
    dispatcher.end_stop()
    await world.timers.advance(15.0)
    (context.outcome,) = world.outcomes


@behave.then('the stream is complete')
def then_stream_complete(context):
    found = context.outcome
    expected = b''.join(
        f'id: {number}\ndata: {number}\n\n'.encode()
        for number in range(1, context.event_count + 1)
    )
    assert 0 < context.begun_bytes < len(expected)
    assert found.error is None, found.error
    assert found.body == expected, found.body
