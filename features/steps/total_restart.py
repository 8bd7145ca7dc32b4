"""Steps for a restart of all entry VMs."""

import anyio
import behave

from features.steps import fleet as fleet_steps
from features.steps.fleet import in_fleet
from features.steps import limits
from features.steps import versions
from greengagegw.fleet import members
from greengagegw.fleet import server_notices


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
    scopes = []

    async def send(number):
        with anyio.CancelScope() as scope:
            scopes.append(scope)
            await world.send_request('a0', world.request(number))

    for engine in world.engines.values():
        engine.pending_faults = ['responds with an error'] * 10000
    for number in range(seconds * rate):
        if number == restart_at * rate:
            context.restarted_at = world.timers.now()
            for scope in scopes:
                scope.cancel()
            await versions.restart(world, {one.vm for one in world.entries})
        world.tasks.start_soon(send, number)
        await world.timers.advance(1 / rate)


@behave.when('the control VMs are of a release that records no retries')
def when_no_records(context):
    context.serving.has_retry_records = False


@behave.then(
    'in the 10 seconds after the restart at most {max_count:d} retries were'
    ' sent'
)
def then_after_restart(context, max_count):
    at = context.restarted_at
    retries = [one for one in context.serving.find_retries() if one >= at]
    assert sum(one < at + 10 for one in retries) <= max_count, retries


@behave.when(
    'after {used:g} seconds {which} entry VMs are lost for {lost:g} seconds,'
    ' {event}'
)
@in_fleet
async def when_lost(context, used, which, lost, event):
    fleet = context.fleet
    assert (await fleet.put())[0]
    context.requests, context.retries = [], []
    # Requests before that did not fail, so the whole slack can be used.
    await retry_all(context, 11, has_failures=False)
    await retry_all(context, used)
    context.lost_at = fleet.timers.now()
    vms = fleet.entry_vms[: 2 if which == 'two' else None]
    for vm in vms:
        fleet.crash(vm)
        del fleet.retry_budgets[vm]
    if event == 'with all control VMs':
        for vm in fleet.control_vms:
            fleet.crash(vm)
            fleet.start(vm)
    if event == 'and come with other addresses':
        vms = [f'{vm}b' for vm in vms]
        fleet.entry_states.update(
            dict.fromkeys(vms, members.EntryState.SERVING)
        )
        fleet.entry_vms = vms
    await retry_all(context, lost)
    context.restarted_at = fleet.timers.now()
    for vm in vms:
        fleet.start(vm)
    await retry_all(context, 25)


async def retry_all(context, seconds, has_failures=True):
    """Sends 10 requests a second through each VM, and retries them."""
    fleet = context.fleet
    for _ in range(round(seconds * 10)):
        now = fleet.timers.now()
        for vm, budgets in fleet.retry_budgets.items():
            view = fleet.agents[vm].view
            if view.configuration is None:
                continue
            budgets.find('engine').record_request(now)
            context.requests.append(now)
            while has_failures and budgets.try_acquire(
                'engine', now, len(view.entry_vms), view.past_retries
            ):
                context.retries.append(now)
        await fleet.timers.advance(0.1)


@behave.then(
    'in any 10 seconds at most {slack:d} retries and {ratio:g} for each'
    ' request were made'
)
def then_bounded(context, slack, ratio):
    for end in sorted(set(context.retries)):
        requests, retries = (
            sum(end - 10 < one <= end for one in times)
            for times in (context.requests, context.retries)
        )
        assert retries <= slack + ratio * requests, (end, retries, requests)


@behave.then(
    'in the 10 seconds after the loss at most {ratio:g} retries for each'
    ' request were made'
)
def then_no_slack(context, ratio):
    requests, retries = count_from(context, context.lost_at)
    assert 0 < retries <= ratio * requests, (retries, requests)


@behave.then(
    'in any 10 seconds after the loss at most {slack:d} retries and {ratio:g}'
    ' for each request were made'
)
def then_bounded_after_loss(context, slack, ratio):
    for begin in sorted(set(context.retries)):
        if begin >= context.lost_at:
            requests, retries = count_from(context, begin)
            assert retries <= slack + ratio * requests, (
                begin,
                retries,
                requests,
            )


def count_from(context, begin):
    """Returns the requests and retries of 10 seconds."""
    return (
        sum(begin <= one < begin + 10 for one in times)
        for times in (context.requests, context.retries)
    )


@behave.then('all slack was used again in the end')
def then_used(context):
    end = context.requests[-1]
    recent = sum(end - 10 < one for one in context.retries)
    assert recent > 0.9 * (50 + 0.2 * 400), recent


@behave.when(
    'its first configuration is stored and all requests of {seconds:g} seconds'
    ' fail'
)
@in_fleet
async def when_first_start(context, seconds):
    assert (await context.fleet.put())[0]
    context.requests, context.retries = [], []
    await retry_all(context, seconds)


@behave.then('at least {count:d} retries were made')
def then_made(context, count):
    assert len(context.retries) >= count, len(context.retries)


@behave.when(
    '{vm} reports that a server leaves and another wants a pause, and all'
    ' entry VMs restart'
)
@in_fleet
async def when_reports(context, vm):
    fleet = context.fleet
    assert (await fleet.put())[0]
    notices = server_notices.ServerNotices((('i-1', 7),), {('i-2', 8): 5.0})
    fleet.agents[vm].report_notices = notices.pack
    await fleet.timers.advance(2.0)
    for one in fleet.entry_vms:
        fleet.crash(one)
        fleet.start(one)
    await fleet.timers.advance(2.0)


@behave.then(
    'all entry VMs know of the departure, and {vm} alone of the pause'
)
def then_known(context, vm):
    for name, agent in context.fleet.agents.items():
        notices = agent.view.notices
        assert notices.leaving == (('i-1', 7),), name
        paused = {run for run, left in notices.pauses.items() if left < 5.0}
        assert paused == ({('i-2', 8)} if name == vm else set()), name
