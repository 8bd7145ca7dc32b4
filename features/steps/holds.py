"""Steps for holds on prompts, in a fleet of control and entry VMs."""

import anyio
import behave
import orjson

from features.steps.fleet import in_fleet
from greengagegw import errors
from greengagegw.fleet import crash_watch
from greengagegw.fleet import hold_expiry
from greengagegw.fleet import store as stores
from greengagegw import held_requests
from greengagegw.platform import operator_application
from greengagegw.policy import crash_attribution
from greengagegw.serving import server_ends
from greengagegw import timers as timer_service

SEGMENT = 'crashing'
END_INTERVAL_SECONDS = 0.3


async def end_servers(fleet, vms, count=3):
    for number in range(count):
        now = fleet.timers.now()
        reporter = fleet.reporters[vms[number % len(vms)]]
        reporter.record(
            server_ends.ServerEnd(
                'engine',
                (f'i-{number}', 0),
                (
                    crash_attribution.Interruption(
                        f'r-{number}',
                        ('head', SEGMENT, f'own{number}'),
                        now - 0.1,
                        now,
                    ),
                ),
            )
        )
        # Other responses show that the first segment is sound.
        reporter.sound_traits.record('engine', ['head'], now + 0.1)
        await fleet.timers.advance(END_INTERVAL_SECONDS)


@behave.when(
    '3 servers end under prompts with a segment, each seen by another VM'
)
@in_fleet
async def when_ends(context):
    await end_servers(context.fleet, context.fleet.entry_vms)


@behave.when('3 servers end, each under 60 prompts with one sound segment')
@in_fleet
async def when_many_prompts(context):
    fleet = context.fleet
    for end in range(3):
        now = fleet.timers.now()
        requests = tuple(
            crash_attribution.Interruption(
                f'r-{end}-{number}',
                # Of all names that of the sound segment comes last.
                (SEGMENT, f'a{end}-{number}', f'b{end}-{number}'),
                now - 0.1,
                now,
            )
            for number in range(60)
        )
        fleet.reporters['e1'].record(
            server_ends.ServerEnd('engine', (f'i-{end}', 0), requests)
        )
        await fleet.timers.advance(END_INTERVAL_SECONDS)
        fleet.reporters['e2'].sound_traits.record(
            'engine', [SEGMENT], fleet.timers.now()
        )


@behave.when(
    '3 servers end under prompts with a segment, each seen by VM {vm}'
)
@in_fleet
async def when_ends_at(context, vm):
    await end_servers(context.fleet, [vm])


async def restart(fleet, *vms):
    for vm in vms:
        fleet.crash(vm)
    await fleet.timers.advance(0.5)
    for vm in vms:
        fleet.start(vm)


async def do_nothing(fleet):
    pass


async def kill_leader(fleet):
    fleet.crash(fleet.leader().vm)


async def wipe_leader(fleet):
    leader = fleet.leader().vm
    fleet.crash(leader, loses_disk=True)
    fleet.start(leader)


async def restart_entry(fleet):
    await restart(fleet, 'e1')


async def restart_all(fleet):
    await fleet.timers.advance(2.0)
    await restart(fleet, *fleet.vms)


EVENTS = {
    'nothing happens': do_nothing,
    'the leader is killed': kill_leader,
    'the leader loses its disk': wipe_leader,
    'an entry VM that has seen an end restarts': restart_entry,
    'all VMs restart 2 seconds later': restart_all,
}


@behave.when('on the fleet {event}')
@in_fleet
async def when_event(context, event):
    await EVENTS[event](context.fleet)


@behave.when('VM {vm} is cut off from the control VMs')
@in_fleet
async def when_cut(context, vm):
    context.fleet.network.cut([vm], context.fleet.control_vms)
    await context.fleet.timers.advance(1.0)


@behave.when('{seconds:g} seconds later the cut heals')
@in_fleet
async def when_heals(context, seconds):
    await context.fleet.timers.advance(seconds)
    context.fleet.network.heal()


def holding_vms(fleet):
    return {
        vm
        for vm, agent in fleet.agents.items()
        if agent.view.holds.find('engine', ['other', SEGMENT, 'own'])
    }


async def await_holds(fleet, expected, seconds):
    for _ in range(int(seconds / 0.1)):
        if holding_vms(fleet) == expected:
            return
        await fleet.timers.advance(0.1)
    raise AssertionError(holding_vms(fleet))


@behave.then('within {seconds:g} seconds all entry VMs hold back the segment')
@in_fleet
async def then_hold(context, seconds):
    fleet = context.fleet
    await await_holds(fleet, set(fleet.entry_vms), seconds)
    for agent in fleet.agents.values():
        assert agent.view.holds.find('engine', ['head', 'own']) is None


@behave.then('within {seconds:g} seconds no entry VM holds back the segment')
@in_fleet
async def then_no_hold(context, seconds):
    await await_holds(context.fleet, set(), seconds)


@behave.when('VM {vm} got a sound response to a prompt with the segment {at}')
@in_fleet
async def when_sound(context, vm, at):
    fleet = context.fleet
    if at == 'after 3 servers ended':
        await end_servers(fleet, ['e1'], 2)
        await end_servers(fleet, ['e1'], 0)
    else:
        await end_servers(fleet, ['e1'], 2)
    fleet.reporters[vm].sound_traits.record(
        'engine', [SEGMENT], fleet.timers.now()
    )
    await end_servers(fleet, ['e2'], 2)
    fleet.reporters[vm].sound_traits.record(
        'engine', ['head'], fleet.timers.now()
    )


async def expect_no_hold(fleet, seconds):
    for _ in range(int(seconds / 0.5)):
        assert not holding_vms(fleet), holding_vms(fleet)
        await fleet.timers.advance(0.5)


@behave.then(
    'in the next {seconds:g} seconds no entry VM holds back the segment'
)
@in_fleet
async def then_never(context, seconds):
    await expect_no_hold(context.fleet, seconds)


@behave.then('it is not held back again in the next {seconds:g} seconds')
@in_fleet
async def then_not_again(context, seconds):
    await expect_no_hold(context.fleet, seconds)


@behave.then('it stays lifted when another control VM leads')
@in_fleet
async def then_stays_lifted(context):
    fleet = context.fleet
    fleet.crash(fleet.leader().vm)
    await expect_no_hold(fleet, 8.0)
    assert fleet.leader() is not None


async def operate(fleet, vm, method, path):
    """Returns the body of a response to an operator."""
    application = operator_application.OperatorApplication(
        fleet.timers, fleet.controls[vm]
    )
    scope = {'method': method, 'path': path}
    status, body = await fleet.wait_for(
        lambda: application.handle_request(scope, None), 5.0
    )
    assert status == 200, (status, body)
    return orjson.loads(body)


@behave.then(
    'any control VM tells the operator since when, and which servers ended'
)
@in_fleet
async def then_told(context):
    fleet = context.fleet
    for vm in fleet.controls:
        [held] = (await operate(fleet, vm, 'GET', '/-/held-prompts'))['held']
        assert held['segments'] == [SEGMENT], held
        assert held['servers'] == ['i-0', 'i-1', 'i-2'], held
        assert held['requests'] == ['r-0', 'r-1', 'r-2'], held
        assert held['since'].startswith('2027-01-15T'), held
        assert '3 backend servers ended' in held['reason'], held
        context.hold_id = held['id']


@behave.when('the operator lifts the hold at any control VM')
@in_fleet
async def when_lifts(context):
    fleet = context.fleet
    path = f'/-/held-prompts/{context.hold_id}'
    vm = next(one for one in fleet.controls if one != fleet.leader().vm)
    assert await operate(fleet, vm, 'DELETE', path) == {'lifted': True}
    assert await operate(fleet, vm, 'DELETE', path) == {'lifted': False}


def make_hold(number):
    return held_requests.Hold('engine', (f's{number}',), number, ('i',), ())


@behave.when('a store gets {count:d} holds')
def when_many(context, count):
    context.store = stores.Store()
    for number in range(count):
        context.store.apply(stores.hold_command(make_hold(number)))


@behave.then('it has the newest {count:d} of them, also after a snapshot')
def then_newest(context, count):
    restored = stores.Store()
    restored.restore(context.store.save())
    for store in (context.store, restored):
        assert list(store.holds.values()) == [
            make_hold(number) for number in range(300 - count, 300)
        ]
        assert store.hold_changes == 300


# A snapshot as the release before holds wrote it.
EARLIER_SNAPSHOT = b'\x94\x07\xc4\x01x\x91\xa3a-1\x03'


@behave.then('a store without holds writes what the earlier release reads')
def then_writes_earlier(context):
    store = stores.Store()
    store.restore(EARLIER_SNAPSHOT)
    assert store.save() == EARLIER_SNAPSHOT


@behave.then('a snapshot of the earlier release is restored without holds')
def then_restores(context):
    store = stores.Store()
    store.apply(stores.hold_command(make_hold(1)))
    store.restore(EARLIER_SNAPSHOT)
    assert (store.version, store.changes) == (7, 3)
    assert store.evacuated == {'a-1'}
    assert not store.holds and not store.hold_changes


@behave.when('the leader gets {message} as the report of an end')
@in_fleet
async def when_malformed(context, message):
    fleet = context.fleet
    handler = fleet.network.handlers[fleet.leader().vm]
    context.error = None
    try:
        await handler[crash_watch.REPORT_METHOD]('e1', orjson.loads(message))
    except errors.GatewayError as error:
        context.error = error


@behave.then('the report is a protocol error of its sender')
def then_protocol_error(context):
    assert isinstance(context.error, errors.PeerProtocolError), context.error
    assert 'e1' in context.error.message


@behave.given('a hold of the leading control VM')
def given_leader(context):
    timers = timer_service.ManualTimers()
    store = stores.Store()
    store.apply(stores.hold_command(make_hold(1)))
    context.leads = True

    async def lift(hold_id):
        store.apply(stores.lift_command(hold_id))

    context.expiry = hold_expiry.HoldExpiry(
        timers,
        lambda: context.leads,
        lambda: tuple(store.holds.values()),
        lift,
    )
    context.store = store


async def run_expiry(context, events):
    expiry = context.expiry
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(expiry.run)
        for event in events.split(', '):
            if event == 'it is asked for':
                expiry.record_asked('e1', [make_hold(1).hold_id, 'unknown'])
            elif event == 'another leads meanwhile':
                context.leads = False
                await expiry.timers.advance(60.0)
                context.leads = True
            else:
                await expiry.timers.advance(float(event.split()[0]))
        tasks.cancel_scope.cancel()


@behave.when('for the hold {events}')
def when_pass(context, events):
    context.portal.call(run_expiry, context, events)


@behave.then('the hold is {state}')
def then_state(context, state):
    assert bool(context.store.holds) == (state == 'in force')


@behave.when(
    'VM {vm} rejects a request for the hold and {seconds:d} seconds pass'
)
@in_fleet
async def when_rejects(context, vm, seconds):
    fleet = context.fleet
    await fleet.timers.advance(5.0)
    [hold] = fleet.agents[vm].view.holds.holds
    context.hold_id = hold.hold_id
    context.asked_from = fleet.timers.now()
    fleet.agents[vm].view.asked_holds.add(hold.hold_id)
    await fleet.timers.advance(float(seconds))


@behave.then(
    'the leader knows that the hold was asked for within {most:d} seconds'
)
def then_asked(context, most):
    expiry = context.fleet.controls[context.fleet.leader().vm].hold_expiry
    later = expiry.asked_at[context.hold_id] - context.asked_from
    assert 0 <= later <= most, later
    assert not any(
        one.view.asked_holds for one in context.fleet.agents.values()
    )
