"""Steps for simulated fleets that lose many VMs at once."""

import behave

from features import fleet_world

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
