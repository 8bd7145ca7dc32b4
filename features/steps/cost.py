"""Steps for the cost of requests and the remaining work of servers."""

import dataclasses
import functools
import math
import random
import types

import behave
import eliot

from features import fleet_world
from features import placement_replay
from features import serving_world
from features.steps.fleet import in_fleet
from greengagegw.fleet import metrics as fleet_metrics
from greengagegw.platform import backend_client
from greengagegw.serving import engine_model
from greengagegw.serving import ports
from greengagegw.serving import prompts
from greengagegw.serving import remaining_work
from greengagegw.serving import request_cost
from greengagegw.serving import server_speed
from greengagegw.serving import servers as server_pool

EVENT_SECONDS = 0.04
TURN_TOKENS = 1500
# Share of the prefill capacity of one normal engine.
TURN_LOAD = 0.7


@behave.when('a response has the instance load {value}')
def when_load(context, value):
    logged = []
    eliot.add_destinations(logged.append)
    try:
        context.load = backend_client.decode_load(value.encode())
    finally:
        eliot.remove_destination(logged.append)
    context.bad_loads = [
        one for one in logged if one['message_type'] == 'backend:bad_load'
    ]


@behave.then('its load is {load}, and {count} invalid load is logged')
def then_load(context, load, count):
    found = context.load
    if load == 'unknown':
        assert found is None, found
    else:
        *counts, slowdown = load.split()
        reported = (found.running, found.waiting, found.slots)
        assert reported == tuple(map(int, counts)), found
        expected = None if slowdown == 'none' else float(slowdown)
        assert found.slowdown == expected, found
    assert len(context.bad_loads) == (0 if count == 'no' else int(count))


@behave.given('servers of the speeds {first}, {second} and {third}')
def given_speeds(context, first, second, third):
    durations = server_speed.ServiceDurations()
    context.true_speeds = [float(one) for one in (first, second, third)]
    context.speeds = [
        server_speed.ServerSpeed(durations, 0.0) for _ in context.true_speeds
    ]


@behave.when(
    'the slowdown of each changes {changes:d} times a second, and it serves'
    ' {rate:d} requests a second for {seconds:d} seconds'
)
def when_slowdowns_change(context, changes, rate, seconds):
    rng = random.Random(5)
    slowdowns = [
        [rng.lognormvariate(0.2, 0.5) for _ in range(changes * seconds + 1)]
        for _ in context.speeds
    ]
    for number in range(rate * seconds):
        now = number / rate
        for at, speed in enumerate(context.speeds):
            # A response of 20 events, each at the slowdown of its time.
            spent = 0.0
            for _ in range(20):
                index = int(max(0.0, now - spent) * changes)
                spent += EVENT_SECONDS * slowdowns[at][index]
            speed.record_report(slowdowns[at][int(now * changes)], now)
            speed.record_duration(
                server_speed.EVENT,
                0.5,
                spent / 20 / context.true_speeds[at],
                now,
            )
    context.now = float(seconds)


def relative_speeds(context):
    found = [one.speed(context.now) for one in context.speeds]
    return [one / found[1] for one in found]


@behave.then(
    'their speeds relative to each other are known within {percent:d} percent'
)
def then_speeds(context, percent):
    for found, true in zip(
        relative_speeds(context), context.true_speeds, strict=True
    ):
        assert abs(found / true - 1) <= percent / 100, (found, true)
    assert server_speed.speeds_differ(context.speeds, context.now)


@behave.then('the next outlier changes no speed by more than 10 percent')
def then_bounded(context):
    for speed in context.speeds:
        for seconds in (1e6, 1e-9):
            before = speed.speed(context.now)
            speed.record_duration(
                server_speed.EVENT, 0.5, seconds, context.now
            )
            after = speed.speed(context.now)
            assert 0.9 <= after / before <= 1.1, (before, after)


@behave.then('no speeds differ')
def then_no_difference(context):
    found = relative_speeds(context)
    assert not server_speed.speeds_differ(context.speeds, context.now), found


@behave.given(
    'a server that always reported 100 percent, and 300 percent just now'
)
def given_slow_server(context):
    context.server = server_pool.Server(
        fleet_world.instance(), 100_000, server_speed.ServiceDurations(), 0.0
    )
    for number in range(100):
        load = ports.ReportedLoad(1, 0, 64, 1.0)
        context.server.record_load(load, number * 0.1)
    context.now = 10.0
    load = ports.ReportedLoad(1, 0, 64, 3.0)
    context.server.record_load(load, context.now)


@behave.when(
    '{seconds:g} seconds pass until a prompt of 5000 tokens is placed'
)
def when_placed_later(context, seconds):
    context.now += seconds


@behave.when('another run of that server is listed')
def when_other_run(context):
    instance = dataclasses.replace(context.server.instance, born=1)
    context.server.update(instance, 100_000, context.now)


@behave.then(
    'its predicted prefill takes {low:g} to {high:g} times as long as normal'
)
def then_prefill(context, low, high):
    prompt = prompts.Prompt('m', 5000, 8, (prompts.Segment('own', 5000),))
    seconds, _ = context.server.predict_wait(prompt, [0.0, 0.0], context.now)
    normal = 5000 / engine_model.INITIAL_PREFILL_RATE
    factor = (seconds - engine_model.BASE_LATENCY_SECONDS) / normal
    assert low - 1e-9 <= factor <= high + 1e-9, factor


@behave.when(
    'one server after the other takes {factor:d} times as long for'
    ' {seconds:g} seconds and reports it, while {count:d} requests arrive'
)
@in_fleet
async def when_slow_in_turn(context, factor, seconds, count):
    world = context.serving
    context.logged = []
    eliot.add_destinations(context.logged.append)
    context.add_cleanup(eliot.remove_destination, context.logged.append)
    engines = [world.engines[name] for name in ('i-a0', 'i-a1')]
    pause = TURN_TOKENS / serving_world.PREFILL_RATE / TURN_LOAD
    context.sent_to_slow = 0
    for number in range(count):
        turn = int(number * pause / seconds) % 2
        for at, engine in enumerate(engines):
            engine.reports_slowdown = True
            engine.slowdown = float(factor) if at == turn else 1.0
        before = len(engines[turn].arrivals)
        segment = prompts.Segment(f'own-{number}', TURN_TOKENS)
        prompt = prompts.Prompt('m', TURN_TOKENS, 16, (segment,))
        world.start_request('a0', world.request(number, prompt=prompt))
        await world.timers.advance(pause)
        context.sent_to_slow += len(engines[turn].arrivals) - before
    context.asked = count
    await world.timers.advance(5.0)


@behave.then(
    'half of the responses began within a factor of {factor:g} of the'
    ' predicted time'
)
def then_predicted(context, factor):
    errors = sorted(
        abs(math.log(one['seconds'] / one['predicted']))
        for one in context.logged
        if one['message_type'] == 'request:begun'
    )
    median = errors[len(errors) // 2]
    assert median <= math.log(factor), math.exp(median)


@behave.then('the slow server got at most a third of the requests')
def then_slow_avoided(context):
    assert context.sent_to_slow <= context.asked / 3, context.sent_to_slow


def cost_job(path, route='chat'):
    request = types.SimpleNamespace(path=path)
    return types.SimpleNamespace(
        route=types.SimpleNamespace(name=route),
        request=request,
        organisation='org',
        generation_prompt=prompts.Prompt('m', 10, 800, ()),
    )


@behave.given(
    'responses of 2 events on path /a and of 20 to 200 events on path /b'
)
def given_responses(context):
    rng = random.Random(2)
    context.costs = request_cost.RequestCosts()
    context.now = 0.0
    for _ in range(200):
        context.now += 0.05
        context.costs.record(cost_job('/a'), 2, context.now)
        events = rng.randint(20, 200)
        context.costs.record(cost_job('/b'), events, context.now)
    context.now += 1.0


@behave.when('one response on path /a has 1000000 events')
def when_outlier(context):
    context.costs.record(cost_job('/a'), 1e6, context.now)


@behave.when('300 seconds later 30 responses on path /a have 50 events')
def when_lengths_change(context):
    context.now += 300.0
    for _ in range(30):
        context.costs.record(cost_job('/a'), 50, context.now)


@behave.when('responses arrive on {count:d} paths')
def when_many_paths(context, count):
    context.costs = request_cost.RequestCosts()
    for number in range(count):
        job = cost_job(f'/{number}')
        context.costs.record(job, 5, number * 0.01)
        context.costs.predict(job, number * 0.01)


@behave.then('at most {count:d} classes are kept')
def then_few_classes(context, count):
    assert len(context.costs.histograms) <= count
    assert len(context.costs.cache) <= count


@behave.then('the median for path {path} is that of the whole route')
def then_route_median(context, path):
    costs, now = context.costs, context.now
    found = costs.predict(cost_job(path), now).quantile(0.5)
    route = costs.combine([('events', 'chat')], now).quantile(0.5)
    assert found == route, (found, route)


@behave.then('the {name} for path {path} is {low:g} to {high:g} events')
def then_quantile(context, name, path, low, high):
    share = {'median': 0.5, '95th percentile': 0.95}[name]
    distribution = context.costs.predict(cost_job(path), context.now)
    found = distribution.quantile(share)
    # Bucket limits are a factor of 1.25 apart.
    assert low / 1.25 <= found <= high, found


@behave.then('nothing is predicted for a route without history')
def then_no_history(context):
    job = cost_job('/a', 'other')
    assert context.costs.predict(job, context.now) is None


@behave.then(
    'a request of the route is expected to have more events left after 5 than'
    ' at its begin'
)
def then_stays_long(context):
    distribution = context.costs.predict(cost_job('/c'), context.now)
    left = distribution.mean_remaining(5)
    assert left > distribution.mean_remaining(0), left


def running(context, path, event_count=0):
    return types.SimpleNamespace(
        uncached_tokens=100.0,
        has_response=event_count > 0,
        cost=context.costs.predict(cost_job(path), context.now),
        event_count=event_count,
    )


@behave.then('two new requests on path /b are more work than ten on path /a')
def then_more_work(context):
    long = remaining_work.sum_up([running(context, '/b')] * 2)
    short = remaining_work.sum_up([running(context, '/a')] * 10)
    assert long.events > short.events, (long, short)
    assert (long.prefill_tokens, short.prefill_tokens) == (200.0, 1000.0)


@behave.then(
    'a request on path /b that is almost done is less work than a new one'
)
def then_less_work(context):
    new = remaining_work.sum_up([running(context, '/b')])
    old = remaining_work.sum_up([running(context, '/b', 150)])
    assert old.events < new.events / 2, (new, old)
    assert old.prefill_tokens == 0.0


@behave.when(
    'the load of uneven servers is replayed with {errors} predictions'
)
def when_uneven(context, errors):
    context.before = replay_uneven('before', errors)
    context.replay = replay_uneven('now', errors)


@functools.cache
def replay_uneven(policy, errors):
    return placement_replay.Replay(
        policy,
        placement_replay.ERRORS[errors],
        load=placement_replay.FITTING_LOAD,
    ).run()


@behave.then('no server rejects more than 1 in 100 arrivals')
def then_few_rejections(context):
    share = context.replay.rejected_share()
    assert share <= 0.01, share


@behave.then('the busiest server has at most 1.3 times the mean work')
def then_balanced(context):
    share = context.replay.busiest_share()
    assert share <= 1.3, share


@behave.then('short requests are on time at least as often as before')
def then_short_on_time(context):
    shares = [
        one.on_time_share('short') for one in (context.replay, context.before)
    ]
    assert shares[0] >= shares[1], shares


@behave.then(
    'placements are logged with slowdown, speed and cost, and costs as metrics'
)
def then_logged(context):
    placed = [
        one for one in context.logged
        if one['message_type'] == 'request:placed' and one.get('cost')
    ]  # fmt: skip
    assert len(placed) >= 50, len(placed)
    assert {one['slowdown'] > 1.5 for one in placed} == {True, False}
    metrics = fleet_metrics.FleetMetrics()
    for message in context.logged:
        metrics(message)
    assert b'greengagegw_cost_ratio_bucket' in metrics.render()


@behave.when('100 requests arrive at engines that report no slowdown')
@in_fleet
async def when_no_reports(context):
    world = context.serving
    context.logged = []
    eliot.add_destinations(context.logged.append)
    context.add_cleanup(eliot.remove_destination, context.logged.append)
    for number in range(100):
        segment = prompts.Segment(f'own-{number}', TURN_TOKENS)
        prompt = prompts.Prompt('m', TURN_TOKENS, 16, (segment,))
        world.start_request('a0', world.request(number, prompt=prompt))
        await world.timers.advance(0.05)


@behave.then('no placement is logged with a cost')
def then_not_logged(context):
    placed = [
        one
        for one in context.logged
        if one['message_type'] == 'request:placed'
    ]
    assert len(placed) == 100 and not any('cost' in one for one in placed)
