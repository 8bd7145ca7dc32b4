"""Steps for the evacuations that entry VMs know."""

import behave

from features.steps.fleet import in_fleet
from features.steps import orders
from greengagegw.fleet import poll_reply


def make_reply(**changes):
    values = {
        'is_confirmed': True,
        'version': 1,
        'configuration': None,
        'changes': 7,
        'evacuated_domains': frozenset(),
        'list_digest': 0,
        'list_age': 0.0,
        'instances': None,
        'entry_vms_digest': 0,
        'entry_vms': None,
        'control_vms': ('a',),
        'leader': 'a',
        'loads': {},
    }
    return poll_reply.PollReply(**(values | changes))


@behave.given(
    'an entry VM with {changes:d} changes and failure domain a-1 evacuated'
)
@in_fleet
async def given_entry_vm(context, changes):
    fleet = context.fleet
    agent = fleet.agents['e1']
    # Replies of the fleet itself would interfere.
    fleet.network.cut(['e1'], fleet.control_vms)
    await fleet.timers.advance(3.0)
    context.agent = agent
    context.requested_at = fleet.timers.now()
    agent.view.changes = changes
    agent.apply_reply(
        make_reply(
            changes=changes, evacuated_domains=frozenset({orders.DOMAIN})
        ),
        context.requested_at,
    )
    await fleet.timers.advance(1.0)


@behave.when(
    'it gets a reply with {changes:d} changes and {domains} evacuated that is'
    ' {kind}'
)
@in_fleet
async def when_reply(context, changes, domains, kind):
    now = context.fleet.timers.now()
    reply = make_reply(
        changes=changes,
        evacuated_domains=frozenset(domains.split()) - {'none'},
        is_confirmed=kind.startswith('confirmed'),
        **({'is_caught_up': False} if kind == 'from a starting VM' else {}),
    )
    is_earlier = kind == 'confirmed before'
    context.agent.apply_reply(reply, now - 2.0 if is_earlier else now)
    await context.fleet.timers.advance(0.5)


@behave.when('it gets a reply with {changes:d} changes and an order on a-1')
@in_fleet
async def when_ordered(context, changes):
    reply = make_reply(
        changes=changes, newest_order=9, orders={orders.DOMAIN: 9}
    )
    context.agent.apply_reply(reply, context.fleet.timers.now())


@behave.then('it has {domains} evacuated')
def then_domains(context, domains):
    expected = set(domains.split()) - {'none'}
    found = context.agent.view.evacuated_domains
    assert found == expected, found


@behave.when('snapshots are taken, then failure domain a-1 is evacuated')
@in_fleet
async def when_snapshot_then_evacuated(context):
    await orders.take_snapshots(context)
    fleet = context.fleet
    await orders.order(fleet, orders.other_vms(fleet)[0], 'POST')
    await fleet.timers.advance(2.0)


@behave.when('all VMs restart, and control VMs b and c are gone')
@in_fleet
async def when_all_restart(context):
    fleet = context.fleet
    for vm in fleet.vms:
        fleet.crash(vm)
    await fleet.timers.advance(0.5)
    for vm in ('a', *fleet.entry_vms):
        fleet.start(vm)


@behave.then(
    'in the next {seconds:d} seconds no entry VM serves without the evacuation'
)
@in_fleet
async def then_none_forgets(context, seconds):
    for _ in range(seconds * 10):
        await context.fleet.timers.advance(0.1)
        for agent in context.fleet.agents.values():
            view = agent.view
            assert (
                view.configuration is None
                or orders.DOMAIN in view.evacuated_domains
            )


@behave.when('the replies to polls of the fleet have {part} that is malformed')
@in_fleet
async def when_malformed(context, part):
    fleet = context.fleet
    for vm in fleet.controls:
        handlers = fleet.network.handlers[vm]
        handlers['fleet.poll'] = spoil(handlers['fleet.poll'], part)


def spoil(poll, part):
    async def spoiled(peer, message):
        return {**await poll(peer, message), 'version': 9, part: [['x']]}

    return spoiled


@behave.when('failure domain a-1 of the fleet is evacuated meanwhile')
@in_fleet
async def when_evacuated(context):
    fleet = context.fleet
    await orders.order(fleet, orders.other_vms(fleet)[0], 'POST')


@behave.then(
    'within {seconds:d} seconds all entry VMs of the fleet have it evacuated'
)
@in_fleet
async def then_evacuated_within(context, seconds):
    await context.fleet.timers.advance(seconds)
    for agent in context.fleet.agents.values():
        assert agent.view.evacuated_domains == {orders.DOMAIN}
