"""Steps for entry VMs that lose the connections to their servers."""

import behave

from features.steps import crashing_requests
from features.steps.crashing_requests import PATHS
from features.steps.fleet import in_fleet
from greengagegw import errors

STREAMS = (
    ('safe', None, 4, 'safe'),
    ('unsafe', None, 6, 'unsafe'),
    ('generation', None, 16, 'generation'),
)
GRACE_SECONDS = 5.0
MIN_SHARE = 2 / 3


@behave.when('clients send requests for {seconds:g} seconds')
@in_fleet
async def when_requests(context, seconds):
    context.began_at = context.serving.timers.now()
    await crashing_requests.replay(context, seconds, *STREAMS)


@behave.when(
    'clients send requests for {seconds:g} seconds, and after {before:g} of'
    ' them connections from {vms} to servers {fault}'
)
@in_fleet
async def when_cut(context, seconds, before, vms, fault):
    world = context.serving
    await crashing_requests.replay(context, before, *STREAMS)
    world.partition(vms.split(), fault)
    context.cut_at = world.timers.now()
    context.cut_vms = set(vms.split())
    await crashing_requests.replay(context, seconds - before, *STREAMS)
    context.judged_until = world.timers.now() - 1.0


@behave.when(
    '{count:d} {kind} requests run at {vm} and its connections to servers hang'
)
@in_fleet
async def when_hang(context, count, kind, vm):
    world = context.serving
    # The time that a request takes is known from those before.
    for number in range(20):
        request = world.request(number, path=PATHS[kind], body=b'%d' % number)
        await send_and_advance(world, vm, request)
    world.outcomes.clear()
    for number in range(100, 100 + count):
        request = world.request(number, path=PATHS[kind], body=b'%d' % number)
        world.start_request(vm, request)
    await world.timers.advance(0.02)
    world.partition([vm], 'hang')


async def send_and_advance(world, vm, request):
    world.start_request(vm, request)
    await world.timers.advance(0.2)


@behave.then('each of them is {outcome} within {seconds:g} seconds')
@in_fleet
async def then_outcome(context, outcome, seconds):
    world = context.serving
    await world.timers.advance(seconds)
    for one in world.outcomes:
        assert one.ended_at is not None, one
        if outcome == 'answered':
            assert one.error is None and one.status == 200, one
        else:
            assert one.error is not None, one
            assert one.error.run != errors.NOT_RUN, one
    if outcome == 'run once':
        then_once(context)


@behave.when('the partition ends')
def when_ends(context):
    context.serving.partition([], '')


@behave.when(
    'one lookup comes {rate:g} times a second for {seconds:g} seconds'
    ' while connections from {vms} to servers break every {interval:g}'
    ' seconds'
)
@in_fleet
async def when_breaks(context, rate, seconds, vms, interval):
    world = context.serving

    async def cut():
        while True:
            await world.timers.sleep(interval)
            world.partition(vms.split(), 'are reset')
            await world.timers.sleep(interval / 2)
            world.partition([], '')

    world.tasks.start_soon(cut)
    lookup = ('safe', crashing_requests.LOOKUP_BODY, rate, 'lookup')
    await crashing_requests.replay(context, seconds, lookup)


def judged(context):
    """Returns the first tries at the partitioned VMs and at the others."""
    cut, others = [], []
    for one in context.serving.outcomes:
        is_late = one.sent_at >= context.cut_at + GRACE_SECONDS
        if is_late and one.sent_at <= context.judged_until:
            (cut if one.vm in context.cut_vms else others).append(one)
    return cut, others


def count_served(outcomes):
    return sum(one.error is None and one.status == 200 for one in outcomes)


@behave.then(
    'first tries at these VMs are served two thirds as often as at the'
    ' others, from 5 seconds after that'
)
def then_served(context):
    cut, others = judged(context)
    assert len(cut) >= 10 and len(others) >= 10, (len(cut), len(others))
    served = count_served(cut) / len(cut)
    served_others = count_served(others) / len(others)
    assert served >= MIN_SHARE * served_others, (
        round(served, 2),
        round(served_others, 2),
        {str(one.error) for one in cut if one.error},
    )


@behave.then('at most {count:d} and 1 in {of:d} of all first tries fail there')
def then_few_fail(context, count, of):
    cut, others = judged(context)
    failed = len(cut) - count_served(cut)
    total = len(cut) + len(others)
    assert failed <= count + total / of, (failed, total)


@behave.then('no unsafe request has run twice')
def then_once(context):
    world = context.serving
    runs = [
        one.request.request_id
        for server in [*world.engines.values(), *world.ended_engines]
        for _, one in server.arrivals
        if not one.is_retryable
    ]
    assert len(runs) >= 20 and len(runs) == len(set(runs)), len(runs)


@behave.then('no end of a server was reported')
def then_not_reported(context):
    ends = context.serving.crash_watch.ends
    assert not any(ends.values()), ends


@behave.then(
    'the requests at {vm} of the last {seconds:g} seconds were sent to its own'
    ' servers'
)
def then_direct(context, vm, seconds):
    world = context.serving
    sent = {
        one.request_id
        for one in world.outcomes
        if one.vm == vm and one.sent_at >= context.began_at
    }
    direct = {
        request_id
        for sender, request_id in world.direct_sends
        if sender == vm and request_id in sent
    }
    assert len(sent) >= 5 and len(direct) >= 0.9 * len(sent), (
        len(direct),
        len(sent),
    )
