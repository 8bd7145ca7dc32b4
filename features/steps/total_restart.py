"""Steps for a restart of all entry VMs."""

import behave

from features.steps import fleet as fleet_steps
from features.steps.fleet import in_fleet
from features.steps import limits
from features.steps import versions


@behave.when(
    '{rate:d} requests a second come for {seconds:g} seconds after the restart'
)
@in_fleet
async def when_come(context, rate, seconds):
    await limits.send_requests(context, rate, seconds)


@behave.when(
    'all entry VMs restart after each {interval:d} of {seconds:d} seconds in'
    ' which {demand:d} tokens a second are requested'
)
@in_fleet
async def when_requested(context, interval, seconds, demand):
    fleet = context.fleet
    request = fleet_steps.make_requester(context)
    size = 500
    pause = size * len(fleet.entry_vms) / demand
    for round_number in range(seconds // interval):
        if round_number:
            for vm in fleet.entry_vms:
                fleet.crash(vm)
                fleet.start(vm)
            # A VM serves after its first poll.
            await fleet.timers.advance(0.3)
        for _ in range(int(interval / pause)):
            for agent in fleet.agents.values():
                fleet.tasks.start_soon(request, agent, size)
            await fleet.timers.advance(pause)
    assert context.granted_tokens


@behave.when(
    'all servers fail for {seconds:d} seconds under {rate:d} requests a'
    ' second, and all entry VMs restart after {restart_at:d}'
)
@in_fleet
async def when_all_fail(context, seconds, rate, restart_at):
    world = context.serving
    for engine in world.engines.values():
        engine.pending_faults = ['responds with an error'] * 10000
    for number in range(seconds * rate):
        if number == restart_at * rate:
            await versions.restart(world, {one.vm for one in world.entries})
        world.start_request('a0', world.request(number))
        await world.timers.advance(1 / rate)
