"""Steps for brittle backend servers."""

import math

import behave

from features import fleet_world
from features import serving_world
from features.steps.fleet import in_fleet
from greengagegw.serving import departures
from greengagegw.serving import request_limits

# From the first response that says so until all VMs have to comply.
CONTACT_SECONDS = 5.0
# Room for waiting requests while a server is brittle.
BRITTLE_QUEUE_SIZE = 2


@behave.given(
    'region a with {vms:d} entry VMs and {servers:d} brittle servers with'
    ' {slots:d} slots'
)
def given_region(context, vms, servers, slots):
    world = serving_world.ServingWorld(
        {'a': (0, vms)},
        routes=[
            fleet_world.route(
                service='desk', pathPrefix='/call/', kind='safe', maxAttempts=2
            )
        ],
    )
    world.engines.clear()
    for at in range(servers):
        world.add_engine(f'i-a{at}', 'a-1', 'desk', slots)
    manager = context.portal.wrap_async_context_manager(world.running())
    context.serving = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.servers, context.slots, context.number = servers, slots, 0


async def send_calls(context, factor, seconds):
    world = context.serving
    capacity = context.servers * context.slots / serving_world.CALL_SECONDS
    start, sent = world.timers.now(), 0
    while (elapsed := world.timers.now() - start) < seconds:
        while sent < elapsed * capacity * factor:
            sent += 1
            number = context.number = context.number + 1
            vm = world.rng.choice(world.entries).vm
            request = world.request(
                number, path='/call/x', timeout_seconds=3.0
            )
            world.start_request(vm, request, objective=0.6)
        await world.timers.advance(0.01)


def set_brittle(context, limit, queue_size):
    for engine in context.serving.engines.values():
        engine.rejection_limit = limit
        engine.queue_size = queue_size


@behave.when(
    'they say that they can reject {limit:g} requests a second, and'
    ' {factor:g} times their capacity is asked for {seconds:g} seconds'
)
@in_fleet
async def when_brittle(context, limit, factor, seconds):
    world = context.serving
    await send_calls(context, 0.5, 1.0)
    set_brittle(context, limit, BRITTLE_QUEUE_SIZE)
    context.brittle_at = world.timers.now()
    await send_calls(context, factor, seconds)


@behave.when(
    'they say that they are not brittle any more, and {factor:g} times their'
    ' capacity is asked for {seconds:g} seconds'
)
@in_fleet
async def when_not_brittle(context, factor, seconds):
    set_brittle(context, math.inf, 30)
    await send_calls(context, factor, seconds)


@behave.then('at most 2 and a tenth of the servers crash from 5 seconds on')
def then_few_crashes(context):
    since = context.brittle_at + CONTACT_SECONDS
    crashes = [at for at in context.serving.crashes if at >= since]
    allowed = 2 + context.servers / 10
    assert len(crashes) <= allowed, (len(crashes), allowed)


@behave.then('at least {percent:d} percent of their capacity is used')
def then_used(context, percent):
    world = context.serving
    since = context.brittle_at + CONTACT_SECONDS
    seconds = world.timers.now() - since
    served = sum(
        one.error is None and one.first_at is not None and one.sent_at >= since
        for one in world.outcomes
    )
    capacity = context.servers * context.slots / serving_world.CALL_SECONDS
    wanted = percent / 100 * capacity * seconds
    assert served >= wanted, (served, wanted)


def brittle_servers(context, vm):
    pool = context.serving.dispatchers[vm].pool
    return [
        one
        for name, one in pool.servers.items()
        if name in context.serving.engines and pool.is_brittle(one)
    ]


@behave.then('no VM takes a server for brittle')
def then_none_brittle(context):
    for vm in context.serving.dispatchers:
        assert not brittle_servers(context, vm), vm


@behave.when(
    'VM {vm} hears that a server can reject {limit:g} requests a second'
)
@in_fleet
async def when_told(context, vm, limit):
    pool = context.serving.dispatchers[vm].pool
    now = context.serving.timers.now()
    (server,) = pool.servers.values()
    pool.rejection_limits.record(
        departures.run_of(server.instance), limit, now, now
    )


@behave.when('VM {vm} has restarted and {seconds:g} seconds pass')
@in_fleet
async def when_restarted(context, vm, seconds):
    world = context.serving
    world.restart(next(one for one in world.entries if one.vm == vm))
    await world.timers.advance(seconds)


@behave.then('VM {vm} takes the server for brittle')
def then_brittle(context, vm):
    assert brittle_servers(context, vm)


@behave.given(
    '{vms:d} VMs that divide the {slots:d} slots of each of {servers:d}'
    ' brittle servers'
)
def given_shares(context, vms, slots, servers):
    context.vms = [f'a{at}' for at in range(vms)]
    context.slots_by_run = {(f'i-a{at}', at): slots for at in range(servers)}
    context.shares = {vm: request_limits.SlotShares(vm) for vm in context.vms}
    for one in context.shares.values():
        one.update((), context.slots_by_run, context.vms, 0.0)


@behave.when('nothing changes')
def when_nothing(context):
    pass


@behave.when('a server ends')
def when_server_ends(context):
    del context.slots_by_run['i-a2', 2]


@behave.when('a server starts')
def when_server_starts(context):
    context.slots_by_run['i-new', 99] = 6


@behave.when('3 VMs leave')
def when_leave(context):
    del context.vms[:3]


@behave.then(
    'at each moment of the next 2 seconds at most {slots:d} requests run at'
    ' each server'
)
def then_within_slots(context, slots):
    # The VMs get the new lists one after the other, within a poll.
    updates = {
        vm: 10.0 + 0.5 * at / len(context.shares)
        for at, vm in enumerate(context.shares)
    }
    for step in range(200):
        now = 10.0 + step / 100
        for vm, one in context.shares.items():
            if vm in updates and updates[vm] <= now:
                del updates[vm]
                one.update((), context.slots_by_run, context.vms, now)
        for run in context.slots_by_run:
            used = sum(
                one.share_of(run, now)
                for vm, one in context.shares.items()
                if vm in context.vms
            )
            assert used <= slots, (run, now, used)


@behave.then('after that no VM has 2 slots more than another')
def then_even(context):
    totals = [
        sum(one.share_of(run, 20.0) for run in context.slots_by_run)
        for vm, one in context.shares.items()
        if vm in context.vms
    ]
    assert max(totals) - min(totals) < 2, totals
    assert sum(totals) == sum(context.slots_by_run.values()), totals
