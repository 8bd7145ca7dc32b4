"""Steps for how an entry VM dispatches requests."""

import dataclasses

import anyio
import behave
import orjson

from features import fleet_world
from features import serving_world
from features.steps.fleet import in_fleet
from greengagegw.fleet import members
from greengagegw.platform import client_application
from greengagegw.platform import documents
from greengagegw.serving import ports
from greengagegw.serving import prompts

FAULTS = {
    'is healthy': None,
    'is unreachable': 'unreachable',
    'is full': 'full',
    'is another instance': 'other instance',
    'is silent': 'silent',
}
KINDS = {
    'unsafe': {'kind': 'unsafe'},
    'safe': {'kind': 'safe'},
    'stream': {'kind': 'streaming', 'resumable': False},
    'resumable': {'kind': 'streaming', 'resumable': True},
}
PROMPT = prompts.Prompt(
    'm', 2000, 80, (prompts.Segment('head', 500), prompts.Segment('own', 1500))
)
EVENTS = b''.join(
    f'id: {number}\ndata: {number}\n\n'.encode() for number in range(1, 11)
)


def enter(context, layout):
    world = serving_world.ServingWorld(layout)
    manager = context.portal.wrap_async_context_manager(world.running())
    context.serving = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)


@behave.given('1 region with {engines:d} engines and {entries:d} entry VM')
def given_region(context, engines, entries):
    enter(context, {'a': (engines, entries)})


@behave.given('region a without engines and region b with 1 engine')
def given_two_regions(context):
    enter(context, {'a': (0, 1), 'b': (1, 1)})


@behave.given('region a with 1 engine and region b with 1 engine')
def given_equal_regions(context):
    enter(context, {'a': (1, 1), 'b': (1, 1)})


@behave.given('region a without engines and region b with {engines:d} engines')
def given_larger_region(context, engines):
    enter(context, {'a': (0, 1), 'b': (engines, 1)})


def configure(context, **changes):
    world = context.serving
    context.is_plain = changes.get('kind') in ('safe', 'unsafe')
    if context.is_plain:
        changes |= {'timeoutMs': 4000}
    route = fleet_world.route(**changes)
    document = fleet_world.document(routes=[route])
    world.configuration = documents.decode(orjson.dumps(document))
    world.refresh()


@behave.given('a {kind} route with {max_attempts:d} attempts')
@in_fleet
async def given_route(context, kind, max_attempts):
    configure(context, maxAttempts=max_attempts, **KINDS[kind])


@behave.given('a route with home region {home}')
@in_fleet
async def given_home(context, home):
    configure(context, homeRegions=[home])


@behave.when('a request is sent to a server that {fault}')
@in_fleet
async def when_request(context, fault):
    world = context.serving
    faults = [
        FAULTS.get(one, one) for one in fault.split(', then to one that ')
    ]
    if faults != [None]:
        # The servers have the faults in the order in which they are chosen.
        for engine in world.engines.values():
            engine.pending_faults = faults
    prompt = None if context.is_plain else PROMPT
    request = world.request(1, prompt=prompt)
    world.start_request('a0', request)
    await world.timers.advance(20.0)
    (context.outcome,) = world.outcomes


@behave.then('the caller gets {result} after {seconds:g} seconds')
def then_result_after(context, result, seconds):
    then_result(context, result)
    outcome = context.outcome
    took = outcome.ended_at - outcome.sent_at
    assert seconds - 0.1 <= took <= seconds, took


@behave.then('the caller gets {result}')
def then_result(context, result):
    outcome = context.outcome
    error = outcome.error
    complete = b'whole' if context.is_plain else EVENTS
    if result == 'the complete response':
        assert error is None, error
        assert (outcome.status, outcome.body) == (200, complete), outcome
    elif result == "the server's error":
        assert (error, outcome.status) == (None, 500), outcome
    elif result == 'an unknown outcome':
        assert error.run == 'unknown' and not outcome.status, outcome
    elif result == 'a rejection':
        assert error.run == 'not_run' and error.status == 503, outcome
        assert error.retry_after is None or error.retry_after > 0
    elif result == 'a truncated response':
        assert outcome.status == 200 and error is not None, outcome
        assert EVENTS.startswith(outcome.body)
    else:
        assert error.status == int(result.rpartition(' ')[2]), outcome


def count_arrivals(world):
    return sum(len(one.arrivals) for one in world.engines.values())


@behave.then('the request was sent to {attempts:d} servers')
def then_attempts(context, attempts):
    found = count_arrivals(context.serving)
    assert found == attempts, found


@behave.then('the server was cut off within {limit:d} MiB')
def then_cut_off(context, limit):
    engines = context.serving.engines.values()
    found = sum(one.endless_bytes for one in engines)
    assert 0 < found <= limit * 1024 * 1024, found


@behave.when('a caller aborts a streamed response')
@in_fleet
async def when_disconnects(context):
    world = context.serving
    long = dataclasses.replace(PROMPT, max_output_tokens=8000)
    request = world.request(1, prompt=long)
    with anyio.CancelScope() as scope:

        async def disconnect():
            await world.timers.advance(1.0)
            scope.cancel()

        world.tasks.start_soon(disconnect)
        await world.send_request('a0', request)
    context.disconnected_at = world.timers.now()
    await world.timers.advance(1.0)


@behave.then("the server's connection is closed at once")
def then_closed(context):
    closed = [
        at
        for engine in context.serving.engines.values()
        for at, _ in engine.closed
    ]
    assert len(closed) == 1, closed
    assert closed[0] - context.disconnected_at <= 0.2, closed


@behave.when('server {name} {state}')
@in_fleet
async def when_state(context, name, state):
    world = context.serving
    engine = world.engines[name]
    instance = engine.instance
    if state == 'is shutting down':
        engine.instance = dataclasses.replace(instance, is_leaving=True)
    elif state == 'is cold':
        engine.instance = dataclasses.replace(instance, is_cold=True)
    elif state == 'left its address':
        for one in world.dispatchers.values():
            one.pool.mark_moved(name)
    elif state == 'is evacuated':
        engine.instance = dataclasses.replace(instance, domain='a-2')
        world.regions['a-2'] = 'a'
        for agent in world.agents.values():
            agent.view.evacuated_domains = frozenset({'a-2'})
    world.refresh()


@behave.when('{count:d} requests arrive')
@in_fleet
async def when_requests(context, count):
    await start_requests(context.serving, count, 2.0)


@behave.when('{count:d} requests arrive in {seconds:g} seconds')
@in_fleet
async def when_requests_in(context, count, seconds):
    await start_requests(context.serving, count, seconds)


async def start_requests(world, count, seconds):
    vms = [one.vm for one in world.entries]
    for number in range(count):
        # Prefixes differ, so that each server is the first choice for some.
        prefix = prompts.Segment(f'head-{number}', 50)
        small = dataclasses.replace(
            PROMPT, tokens=100, max_output_tokens=8, segments=(prefix,)
        )
        vm = vms[number % len(vms)]
        world.start_request(vm, world.request(number, prompt=small))
        await world.timers.advance(seconds / count)


@behave.when('VM {vm} hears from server {name} that it is leaving')
@in_fleet
async def when_announced(context, vm, name):
    world = context.serving
    engine = world.engines[name]
    engine.is_leaving = True
    pool = world.dispatchers[vm].pool
    others = [one for one in world.engines if one != name]
    for other in others:
        pool.servers[other].ejected_until = world.timers.now() + 1.0
    world.start_request(vm, world.request('first', prompt=PROMPT))
    await world.timers.advance(1.0)
    context.arrivals_before = len(engine.arrivals)
    assert context.arrivals_before == 1


@behave.when('an older list arrives')
@in_fleet
async def when_older_list(context):
    context.serving.refresh()


@behave.when('one list without server {name} arrives')
@in_fleet
async def when_list_without(context, name):
    world = context.serving
    engine = world.engines.pop(name)
    world.refresh()
    world.engines[name] = engine
    world.refresh()


@behave.when('{seconds:d} seconds pass')
@in_fleet
async def when_seconds_pass(context, seconds):
    await context.serving.timers.advance(seconds)


@behave.when('all VMs but {vm} restart, and {seconds:d} seconds pass')
@in_fleet
async def when_others_restart(context, vm, seconds):
    world = context.serving
    for one in world.entries:
        if one.vm != vm:
            world.restart(one)
    world.refresh()
    await world.timers.advance(seconds)


@behave.when('all VMs restart a second later')
@in_fleet
async def when_all_restart_later(context):
    world = context.serving
    await world.timers.advance(1.0)
    for one in world.entries:
        world.restart(one)
    world.refresh()


@behave.when('no message of {vm} arrives for {seconds:d} seconds')
@in_fleet
async def when_mute(context, vm, seconds):
    world = context.serving
    for one in world.entries:
        pool = world.dispatchers[one.vm].pool
        if one.vm != vm:
            # As if the announcement had been lost on its way.
            pool.leaving.expiry.clear()
    world.unreachable_vms.add(vm)
    await world.timers.advance(seconds)
    world.unreachable_vms.discard(vm)
    world.refresh()
    await world.timers.advance(6.0)


@behave.when('another run of server {name} starts')
@in_fleet
async def when_started_again(context, name):
    world = context.serving
    engine = world.engines[name]
    engine.is_leaving = False
    born = engine.instance.born + 1
    engine.instance = dataclasses.replace(engine.instance, born=born)
    world.refresh()
    # A new run counts as cold until the list would say that it is.
    await world.timers.advance(3.0)


@behave.then('server {name} got no more requests')
def then_got_no_more(context, name):
    world = context.serving
    assert len(world.engines[name].arrivals) == context.arrivals_before
    assert count_arrivals(world) >= 20


@behave.when('VM a0 is asked by server {name} to pause for {pauses} seconds')
@in_fleet
async def when_rejects(context, name, pauses):
    world = context.serving
    engine = world.engines[name]
    server = world.dispatchers['a0'].pool.servers[name]
    for seconds in pauses.split(' and '):
        engine.pause_seconds = float(seconds)
        notice = ports.ServerNotice(False, engine.pause_seconds)
        world.dispatchers['a0'].pool.record_notice(
            server.instance, notice, world.timers.now(), world.timers.now()
        )
    engine.pause_seconds = 0.0
    context.paused_at = world.timers.now()


@behave.when('requests arrive at {rate:d} a second for {seconds:d} seconds')
@in_fleet
async def when_rate(context, rate, seconds):
    await start_requests(context.serving, rate * seconds, seconds)


@behave.then(
    'for {seconds:d} seconds server {name} got no requests, and then some'
)
def then_paused(context, seconds, name):
    engine = context.serving.engines[name]
    times = [at - context.paused_at for at, _ in engine.arrivals]
    assert times and min(times) >= seconds, times


@behave.when('all servers reject requests and ask for {seconds:d} seconds')
@in_fleet
async def when_all_reject(context, seconds):
    world = context.serving
    for engine in world.engines.values():
        engine.pause_seconds = float(seconds)
    world.start_request('a0', world.request('first', prompt=PROMPT))
    await world.timers.advance(0.1)
    world.outcomes.clear()


@behave.then('no server counts as failed')
def then_none_failed(context):
    for server in context.serving.dispatchers['a0'].pool.servers.values():
        assert server.failure_rate == 0.0 and server.ejected_until == 0.0


@behave.then('server {name} got {min_count:d} requests or more')
def then_got_at_least(context, name, min_count):
    assert len(context.serving.engines[name].arrivals) >= min_count


@behave.then('server {name} got no requests')
def then_got_none(context, name):
    world = context.serving
    assert not world.engines[name].arrivals
    assert count_arrivals(world) >= 20


@behave.then('server {name} got at most {max_rate:d} requests in any second')
def then_rate_limited(context, name, max_rate):
    times = [at for at, _ in context.serving.engines[name].arrivals]
    busiest = max(
        sum(1 for one in times if at <= one < at + 1) for at in times
    )
    assert 0 < busiest <= max_rate, busiest


@behave.when('the key is withdrawn after the request was authenticated')
@in_fleet
async def when_withdrawn(context):
    world = context.serving

    async def withdraw(name, tokens):
        tenants = [fleet_world.tenant(apiKeys=['key-2'])]
        document = fleet_world.document(2, tenants=tenants)
        world.configuration = documents.decode(orjson.dumps(document))
        world.refresh()

    limited = [fleet_world.tenant(ratePerS=10**6)]
    document = fleet_world.document(1, tenants=limited)
    world.configuration = documents.decode(orjson.dumps(document))
    world.refresh()
    world.agents['a0'].quota_client.acquire = withdraw
    world.start_request('a0', world.request(1, prompt=PROMPT))
    await world.timers.advance(1.0)
    (context.outcome,) = world.outcomes


@behave.when(
    'all servers fail for {seconds:d} seconds under {rate:d} requests a second'
)
@in_fleet
async def when_all_fail(context, seconds, rate):
    world = context.serving
    for engine in world.engines.values():
        engine.pending_faults = ['responds with an error'] * 10000
    for number in range(seconds * rate):
        world.start_request('a0', world.request(number))
        await world.timers.advance(1 / rate)


@behave.then('in any 10 seconds at most {max_count:d} retries were sent')
def then_retry_budget(context, max_count):
    retries = context.serving.find_retries()
    busiest = max(
        sum(1 for one in retries if at <= one < at + 10) for at in retries
    )
    assert 0 < busiest <= max_count, busiest


@behave.when(
    'its entry VMs get one long request each, {seconds:g} seconds apart'
)
@in_fleet
async def when_apart(context, seconds):
    world = context.serving
    configure(context, targetLatencyMs=8000)
    await world.timers.advance(0.05)
    for entry in world.entries:
        # All have the same prefix, and take half a second to prefill.
        own = prompts.Segment(f'own-{entry.vm}', 27_000)
        prompt = prompts.Prompt(
            'm', 27_500, 8, (prompts.Segment('head', 500), own)
        )
        world.start_request(entry.vm, world.request(entry.vm, prompt=prompt))
        await world.timers.advance(seconds)


@behave.when(
    '{count:d} requests of {tokens:d} tokens arrive in region a at once'
)
@in_fleet
async def when_at_once(context, count, tokens):
    world = context.serving
    for number in range(count):
        segment = prompts.Segment(f'own-{number}', tokens)
        prompt = prompts.Prompt('m', tokens, 8, (segment,))
        world.start_request('a0', world.request(number, prompt=prompt))
    await world.timers.advance(0.01)


@behave.then('each engine of it got {count:d} of them')
@in_fleet
async def then_spread(context, count):
    got = {
        name: len(engine.arrivals)
        for name, engine in context.serving.engines.items()
        if 'desk' not in name
    }
    assert set(got.values()) == {count}, got


@behave.when('no more data arrives from server {name}')
@in_fleet
async def when_silent(context, name):
    context.serving.engines[name].pending_faults = ['silent'] * 1000


@behave.when(
    '{rate:d} requests a second come for {seconds:d} seconds and {who} after'
    ' {after:d} is silent for {silence:g} seconds'
)
@in_fleet
async def when_briefly_silent(context, rate, seconds, who, after, silence):
    world = context.serving
    for number in range(rate * seconds):
        if number == rate * after:
            engines = list(world.engines.values())
            for engine in engines[: 1 if who == 'one server' else None]:
                engine.silent_until = world.timers.now() + silence
        prompt = None if context.is_plain else PROMPT
        request = world.request(number, prompt=prompt)
        world.start_request(f'a{number % 2}', request)
        await world.timers.advance(1 / rate)
    await world.timers.advance(4.0)


@behave.then('no server was ejected and nothing was run twice')
def then_not_given_up(context):
    world = context.serving
    for vm, dispatcher in world.dispatchers.items():
        for server in dispatcher.pool.servers.values():
            assert server.ejected_until == 0.0, (vm, server.instance.name)
    ids = [
        one.request.request_id
        for engine in world.engines.values()
        for _, one in engine.arrivals
    ]
    assert len(ids) == len(set(ids)) == len(world.outcomes), len(ids)


@behave.then('each response is complete')
def then_each_complete(context):
    complete = b'whole' if context.is_plain else EVENTS
    for one in context.serving.outcomes:
        assert one.error is None, one.error
        assert (one.status, one.body) == (200, complete), one


@behave.then('all of them are served within {seconds:g} seconds')
@in_fleet
async def then_served_soon(context, seconds):
    world = context.serving
    await world.timers.advance(15.0)
    for one in world.outcomes:
        assert one.error is None, one.error
        assert one.first_at - one.sent_at <= seconds, one


@behave.then('server {name} got at most {count:d} requests')
@in_fleet
async def then_got_few(context, name, count):
    got = len(context.serving.engines[name].arrivals)
    assert got <= count, got


@behave.when('the VM has started and has no configuration')
@in_fleet
async def when_started(context):
    world = context.serving
    world.configuration = None
    world.agents['a0'].view.configuration = None
    world.dispatchers['a0'].planner.started_at = world.timers.now()


@behave.when('the VM has lost its lease')
@in_fleet
async def when_lease_lost(context):
    context.serving.agents['a0'].has_lease = False


@behave.when('a request arrives {seconds:g} seconds later')
@in_fleet
async def when_later(context, seconds):
    world = context.serving
    await world.timers.advance(seconds)
    world.start_request('a0', world.request(1, prompt=PROMPT))
    await world.timers.advance(0.01)


@behave.then(
    'it is rejected with a retry delay of {low:g} to {high:g} seconds'
)
def then_retry_delay(context, low, high):
    (outcome,) = context.serving.outcomes
    assert outcome.error.run == 'not_run'
    assert low <= outcome.error.retry_after <= high, outcome.error


def mark_leaving(world, region):
    world.entries = [
        dataclasses.replace(one, state=members.EntryState.LEAVING)
        if one.region == region
        else one
        for one in world.entries
    ]
    world.refresh()


@behave.when('all entry VMs of region {region} start to shut down')
@in_fleet
async def when_region_shuts_down(context, region):
    mark_leaving(context.serving, region)


@behave.when('all entry VMs of region {region} are about to stop')
@in_fleet
async def when_region_about_to_stop(context, region):
    world = context.serving
    mark_leaving(world, region)
    for one in world.entries:
        if one.region == region:
            world.dispatchers[one.vm].rejects_request = lambda request: True


@behave.when(
    'a caller reads one event and then nothing for {seconds:g} seconds'
)
@in_fleet
async def when_slow_client(context, seconds):
    world = context.serving
    dispatcher = world.dispatchers['a0']

    async def read():
        async with dispatcher.handle(
            world.request(1, prompt=PROMPT)
        ) as response:
            await anext(response.chunks)
            await world.timers.sleep(seconds)
            async for _ in response.chunks:
                pass

    world.tasks.start_soon(read)
    await world.timers.advance(seconds - 0.1)
    server = dispatcher.pool.servers['i-a0']
    context.ejected_until = server.ejected_until
    await world.timers.advance(1.0)
    context.server = server


@behave.then('server i-a0 counts as neither silent nor slow')
def then_not_silent_or_slow(context):
    assert context.ejected_until == 0.0
    assert context.server.ejected_until == 0.0
    now = context.serving.timers.now()
    assert context.server.event_interval.current_seconds(now) < 0.06


@behave.when('a request has the length hint {hint}')
def when_hint(context, hint):
    context.prompt = client_application.decode_prompt(
        {
            'headers': [
                (b'greengagegw-token-count', b'1460,80'),
                (b'greengagegw-length-hint', hint.encode()),
            ]
        }
    )


@behave.then('its expected output tokens are {tokens:d}')
def then_expected(context, tokens):
    assert context.prompt.expected_output_tokens == tokens


@behave.when(
    'calls take {usual:g} seconds each, and one takes {long:g} seconds'
)
@in_fleet
async def when_long_calls(context, usual, long):
    world = context.serving
    configure(
        context,
        kind='safe',
        service='desk',
        targetLatencyMs=9000,
    )
    engine = world.engines['i-adesk']
    for number, seconds in enumerate([usual] * 20 + [long]):
        engine.slowdown = seconds / serving_world.CALL_SECONDS
        world.start_request('a0', world.request(number, timeout_seconds=20.0))
        await world.timers.advance(seconds)
    context.server = world.dispatchers['a0'].pool.servers['i-adesk']


@behave.then('server i-adesk is not ejected')
def then_not_ejected(context):
    assert context.server.ejected_until == 0.0, context.server.failure_rate
