"""Steps for simulated fleets that lose many VMs at once."""

import functools

import behave

from features import fleet_world
from features.steps.fleet import in_fleet

SEEDS = range(6)
REGION_DELAY_SECONDS = 0.055
DOWNTIME_SECONDS = 1.0
STEP_SECONDS = 0.05


def followers(fleet):
    leader = fleet.leader().vm
    return [vm for vm in fleet.control_vms if vm != leader]


async def kill_leader(fleet):
    fleet.crash(fleet.leader().vm)


async def kill_two(fleet):
    other = followers(fleet)[0]
    await kill_leader(fleet)
    fleet.crash(other)


async def kill_two_after_wipe(fleet):
    lost, other = followers(fleet)[:2]
    fleet.crash(lost, loses_disk=True)
    await fleet.timers.advance(DOWNTIME_SECONDS)
    fleet.start(lost)
    await fleet.timers.advance(7.0)
    await kill_leader(fleet)
    fleet.crash(other)


async def restart_all(fleet, lost=()):
    for vm in fleet.vms:
        fleet.crash(vm, loses_disk=vm in lost)
    await fleet.timers.advance(DOWNTIME_SECONDS)
    for vm in fleet.vms:
        fleet.start(vm)


async def restart_all_wipe_two(fleet):
    await restart_all(fleet, (fleet.leader().vm, followers(fleet)[0]))


EVENTS = {
    'the leader is killed': kill_leader,
    'the leader and another are killed': kill_two,
    'the leader and another are killed after a lost disk': (
        kill_two_after_wipe
    ),
    'all VMs are restarted': restart_all,
    'all VMs are restarted, two without their disk': restart_all_wipe_two,
}


@behave.when('in fleets of 5 control VMs {event}')
def when_event(context, event):
    context.event = EVENTS[event]


def run_with_seeds(context, check):
    """Runs the event and then a check, once for each seed."""

    async def run_all():
        for seed in SEEDS:
            fleet = fleet_world.FleetWorld(5, 3, seed)
            fleet.network.delay_seconds = REGION_DELAY_SECONDS
            async with fleet.running():
                await fleet.timers.advance(12.0)
                assert await fleet.put(5) == [True, 5]
                await fleet.timers.advance(3.0)
                await context.event(fleet)
                await check(fleet, seed)

    context.portal.call(run_all)


@behave.then('no entry VM loses its lease in the next {seconds:d} seconds')
def then_leases(context, seconds):
    async def check(fleet, seed):
        for step in range(int(seconds / STEP_SECONDS)):
            await fleet.timers.advance(STEP_SECONDS)
            for vm, agent in fleet.agents.items():
                assert agent.has_lease, (seed, vm, step * STEP_SECONDS)

    run_with_seeds(context, check)


@behave.then(
    'all entry VMs have a lease and a configuration within {seconds:g} seconds'
)
def then_serving(context, seconds):
    async def check(fleet, seed):
        await fleet.timers.advance(seconds)
        for vm, agent in fleet.agents.items():
            assert agent.has_lease, (seed, vm)
            assert agent.view.configuration.version == 5

    run_with_seeds(context, check)


# Changes to a reply of a control VM, or the whole reply instead.
MALFORMED_REPLIES = {
    'nothing': None,
    'a list': [1],
    'an empty map': {},
    'loads of text': {'loads': {'a': 'high'}},
    'an unread document': {'document': b'no document', 'version': 99},
    'instances of text': {'instances': ['i-1'], 'list_digest': 1},
    'a grant of text': [1, {'org': 'many'}],
}


async def reply_malformed(handler, malformed, peer, message):
    reply = await handler(peer, message)
    if malformed and isinstance(malformed, dict):
        return reply | malformed
    return malformed


@behave.when(
    'for {seconds:g} seconds all control VMs reply to {method} with {message}'
)
@in_fleet
async def when_malformed(context, seconds, method, message):
    fleet = context.fleet
    limited = fleet_world.tenant(ratePerS=10**6, burst=10**6)
    assert await fleet.put(5, tenants=[limited]) == [True, 5]
    await fleet.timers.advance(2.0)
    for agent in fleet.agents.values():
        fleet.tasks.start_soon(agent.quota_client.acquire, 'org', 100)
    malformed = MALFORMED_REPLIES[message]
    handlers = {
        vm: fleet.network.handlers[vm][method] for vm in fleet.control_vms
    }
    for vm, handler in handlers.items():
        fleet.network.handlers[vm][method] = functools.partial(
            reply_malformed, handler, malformed
        )
    await fleet.timers.advance(seconds)
    for vm, handler in handlers.items():
        fleet.network.handlers[vm][method] = handler
    await fleet.timers.advance(2.0)


@behave.then(
    'version {version:d} is in force on all entry VMs'
    ' {seconds:g} seconds later'
)
@in_fleet
async def then_in_force_later(context, version, seconds):
    fleet = context.fleet
    assert await fleet.put(version) == [True, version]
    await fleet.timers.advance(seconds)
    for vm, agent in fleet.agents.items():
        assert agent.has_lease, vm
        assert agent.view.version == version, vm
        assert [*agent.view.instances] == ['i-1'], vm
        assert 'engine' in agent.view.loads['a'], vm
