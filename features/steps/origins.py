"""Steps for the history of software versions, in a fleet."""

import dataclasses
import zlib

import behave
import msgpack
import orjson

from features import fleet_world
from features.steps.fleet import in_fleet
from greengagegw import errors
from greengagegw.fleet import origin_history
from greengagegw.fleet import store as stores
from greengagegw import held_requests
from greengagegw.platform import documents
from greengagegw.replication import entries as log_entries


def list_version(fleet, version):
    fleet.instance_list = [fleet_world.instance(software_version=version)]


@behave.given("the fleet's control VMs do not send a history")
@in_fleet
async def given_no_history(context):
    for vm, control in context.fleet.controls.items():
        remove_history(context.fleet, vm, control)
    restart_entry_vms(context.fleet)


def remove_history(fleet, vm, control):
    """Has a control VM behave like one of an earlier release."""
    keeper = control.history_keeper
    keeper.lead = keeper.compare = idle
    keeper.store = stores.Store()
    del fleet.network.handlers[vm]['fleet.origin_history']


async def idle():
    pass


@behave.when("the fleet's servers change from {before} to {after}")
@in_fleet
async def when_change(context, before, after):
    fleet = context.fleet
    list_version(fleet, before)
    await fleet.timers.advance(3.0)
    list_version(fleet, after)
    await fleet.timers.advance(1.0)


@behave.when('{seconds:g} seconds pass in the fleet')
@in_fleet
async def when_pass(context, seconds):
    await context.fleet.timers.advance(seconds)


def known_versions(agent):
    history = agent.view.history
    if history is None:
        return None
    return {
        version
        for service, version in history.version_entries
        if service == 'engine' and version
    }


async def await_state(fleet, is_reached, seconds):
    for _ in range(int(seconds / 0.1)):
        if is_reached():
            return
        await fleet.timers.advance(0.1)
    assert is_reached(), [
        (vm, one.view.history) for vm, one in fleet.agents.items()
    ] + [(vm, one.store.history) for vm, one in fleet.controls.items()]


@behave.then(
    'within {seconds:g} seconds all entry VMs have {kind} history of'
    ' {versions}'
)
@in_fleet
async def then_have(context, seconds, kind, versions):
    fleet = context.fleet
    expected = set(versions.split(', '))
    is_complete = kind == 'a complete'

    def is_reached():
        return len(fleet.agents) == len(fleet.entry_vms) and all(
            known_versions(one) == expected
            and one.view.history.is_complete == is_complete
            and one.view.history.services
            == {('h.example', '/chat/'): {'engine'}}
            for one in fleet.agents.values()
        )

    await await_state(fleet, is_reached, seconds)


@behave.then(
    'within {seconds:g} seconds all control VMs have the history of {versions}'
)
@in_fleet
async def then_control_vms_have(context, seconds, versions):
    fleet = context.fleet
    expected = set(versions.split(', '))

    def is_reached():
        histories = [
            one.history_keeper.current_history
            for one in fleet.controls.values()
        ]
        return all(
            one is not None
            and {version for _, version in one.version_entries} - {''}
            == expected
            for one in histories
        )

    await await_state(fleet, is_reached, seconds)


@behave.then(
    'in {seconds:g} seconds nothing is written to the log of the fleet'
)
@in_fleet
async def then_nothing_written(context, seconds):
    fleet = context.fleet
    before = fleet.leader().applied_index
    await fleet.timers.advance(seconds)
    assert fleet.leader().applied_index == before


@behave.then('in {seconds:g} seconds no entry VM of the fleet has a history')
@in_fleet
async def then_no_history(context, seconds):
    fleet = context.fleet
    await fleet.timers.advance(seconds)
    for agent in fleet.agents.values():
        assert agent.view.version == 5
        assert agent.view.history is None


def snapshot_of_earlier_release(store, history):
    """Returns what an earlier release wrote of the state.

    :param history: that it has kept with the document of a newer snapshot.
    """
    packed = store.packed
    if history is not None:
        packed += msgpack.packb(history.pack())
    return msgpack.packb(
        [store.version, packed, sorted(store.evacuated), store.changes]
    )


async def restart_with_snapshot(fleet, vm, content):
    """Restarts a control VM that an earlier release ran before."""
    replica, control = fleet.replicas[vm], fleet.controls[vm]
    async with replica.lock_storage():
        replica.machine.restore(content)
        snapshot = log_entries.Snapshot(
            replica.applied_index,
            replica.storage.term_at(replica.applied_index),
            replica.members_at(replica.applied_index),
            content,
        )
        await replica.storage.install_snapshot(snapshot)
    assert control.store is not None
    fleet.crash(vm)


@behave.when(
    '{vm} restarts with the snapshot of an earlier release that has {content}'
)
@in_fleet
async def when_restarts_earlier(context, vm, content):
    fleet = context.fleet
    leader = fleet.leader().vm
    if vm == 'a follower':
        vm = next(one for one in fleet.control_vms if one != leader)
    else:
        vm = leader
    store = fleet.controls[vm].store
    old = origin_history.OriginHistory.build(
        1,
        True,
        [('engine', 'v2')],
        [('h.example', '/chat/', 'engine')],
    )
    await restart_with_snapshot(
        fleet,
        vm,
        snapshot_of_earlier_release(
            store, old if content == 'an old history' else None
        ),
    )
    await fleet.timers.advance(0.3)
    fleet.start(vm)


async def ask_current(fleet, vm):
    """Returns the current history that a control VM tells, None for none."""
    keeper = fleet.controls[vm].history_keeper
    reply = await fleet.wait_for(
        lambda: keeper.on_current_history('e1', None), 5.0
    )
    if reply is None or isinstance(reply, errors.GatewayError):
        return None
    return origin_history.OriginHistory.unpack(reply)


async def ask_all_current(fleet):
    replies = {vm: await ask_current(fleet, vm) for vm in fleet.controls}
    return {vm: one for vm, one in replies.items() if one is not None}


@behave.then(
    'only the leader of the fleet tells the current history, of {versions}'
)
@in_fleet
async def then_leader_tells(context, versions):
    fleet = context.fleet
    told = await ask_all_current(fleet)
    assert set(told) == {fleet.leader().vm}, told
    found = {name for _, name in told[fleet.leader().vm].version_entries}
    assert found - {''} == set(versions.split(', ')), told


@behave.when('the leader of the fleet is cut off from the other control VMs')
@in_fleet
async def when_leader_cut_off(context):
    fleet = context.fleet
    context.old_leader = fleet.leader().vm
    others = set(fleet.control_vms) - {context.old_leader}
    fleet.network.cut([context.old_leader], others)


@behave.then(
    'within {seconds:g} seconds only a new leader tells the current history,'
    ' and the old one tells none'
)
@in_fleet
async def then_new_leader_tells(context, seconds):
    fleet = context.fleet
    told = {}
    ends_at = fleet.timers.now() + seconds
    while not told and fleet.timers.now() < ends_at:
        told = await ask_all_current(fleet)
        assert context.old_leader not in told, told
        await fleet.timers.advance(0.1)
    assert len(told) == 1, told


@behave.when('the leader of the fleet fails, and the next one records nothing')
@in_fleet
async def when_next_records_nothing(context):
    fleet = context.fleet
    fleet.crash(fleet.leader().vm)
    for control in fleet.controls.values():
        control.history_keeper.lead = idle
    await fleet.timers.advance(10.0)
    assert fleet.leader() is not None


@behave.when(
    'the leader of the fleet fails, and the next one cannot read the list'
)
@in_fleet
async def when_next_cannot_read(context):
    fleet = context.fleet
    list_version(fleet, 'v3')
    fleet.is_list_readable = False
    fleet.crash(fleet.leader().vm)
    await fleet.timers.advance(10.0)
    assert fleet.leader() is not None


@behave.when('the list of the fleet is readable again')
@in_fleet
async def when_readable(context):
    context.fleet.is_list_readable = True
    await context.fleet.timers.advance(2.0)


@behave.when(
    'a version {version} is listed that the leader of the fleet has not'
    ' recorded'
)
@in_fleet
async def when_not_recorded(context, version):
    fleet = context.fleet
    for control in fleet.controls.values():
        control.history_keeper.update = idle
    list_version(fleet, version)
    await fleet.timers.advance(2.0)
    store = fleet.controls[fleet.leader().vm].store
    assert ('engine', version) not in store.history.version_entries


@behave.then('no control VM of the fleet tells the current history')
@in_fleet
async def then_none_tells(context):
    assert not await ask_all_current(context.fleet)


@behave.when('the new leader of the fleet records versions')
@in_fleet
async def when_records_again(context):
    for control in context.fleet.controls.values():
        del control.history_keeper.lead
    await context.fleet.timers.advance(1.0)


@behave.when('all control VMs restart with snapshots of an earlier release')
@in_fleet
async def when_all_restart_earlier(context):
    fleet = context.fleet
    list_version(fleet, 'v1')
    for vm in fleet.control_vms:
        store = fleet.controls[vm].store
        await restart_with_snapshot(
            fleet, vm, snapshot_of_earlier_release(store, None)
        )
    for vm in fleet.entry_vms:
        fleet.crash(vm)
    for vm in fleet.vms:
        fleet.start(vm)


@behave.when('all entry VMs of the fleet restart')
@in_fleet
async def when_entry_vms_restart(context):
    restart_entry_vms(context.fleet)


def restart_entry_vms(fleet):
    for vm in fleet.entry_vms:
        fleet.crash(vm)
        fleet.start(vm)


@behave.then('no entry VM has a history without {version}')
@in_fleet
async def then_none_without(context, version):
    fleet = context.fleet
    for _ in range(60):
        for vm, agent in fleet.agents.items():
            versions = known_versions(agent)
            assert versions is None or version in versions, (vm, versions)
        await fleet.timers.advance(0.1)


def decode_routes(text):
    """Returns a configuration with routes like ``/chat/=x:0,y:1, /=z``."""
    routes, services = [], set()
    for at, one in enumerate(text.split(', ')):
        prefix, shares = one.split('=')
        split = []
        for share in shares.split(','):
            service, _, weight = share.partition(':')
            services.add(service)
            split.append({'service': service, 'weight': float(weight or 1)})
        route = fleet_world.route(
            name=f'r{at}', pathPrefix=prefix, trafficSplit=split
        )
        del route['service']
        routes.append(route)
    document = fleet_world.document(routes=routes)
    engine = document['services'][0]
    document['services'] += [engine | {'name': one} for one in services]
    return documents.decode(orjson.dumps(document))


@behave.given('a history of routes {before}')
def given_routes(context, before):
    context.recorder = origin_history.HistoryRecorder()
    context.history = context.recorder.update(None, [], None, 1, 0.0)
    record_routes(context, decode_routes(before), 1.0)


def record_routes(context, configuration, now):
    context.routes = configuration
    history = context.recorder.update(
        context.history,
        [],
        configuration,
        context.history.number + 1,
        now,
    )
    context.history = history or context.history


@behave.when('they are replaced by routes {after}')
def when_replaced(context, after):
    record_routes(context, decode_routes(after), 2.0)


@behave.then('the streams of {prefix} may have begun at {services}')
def then_services(context, prefix, services):
    context.prefix = prefix
    expect_services(context, services)


@behave.then('200 seconds later at {services}')
def then_later(context, services):
    for seconds in range(3, 203):
        record_routes(context, context.routes, float(seconds))
    expect_services(context, services)


def expect_services(context, services):
    found = context.history.services['h.example', context.prefix]
    assert found == set(services.split(', ')), context.history


def make_history(number):
    return origin_history.OriginHistory.build(
        number,
        True,
        [('engine', 'v1'), ('engine', '')],
        [('h.example', '/chat/', 'engine')],
    )


@behave.when('a store with a configuration and a hold gets a history')
def when_gets_history(context):
    context.store = stores.Store()
    for command in (
        stores.put_command(7, b'document'),
        stores.hold_command(held_requests.Hold('engine', ('s',), 1, (), ())),
        stores.history_command(make_history(3)),
    ):
        assert context.store.apply(command) == [True, 7]


@behave.then('the release before the history reads its snapshot')
def then_earlier_reads(context):
    values = msgpack.unpackb(context.store.save())
    version, packed, evacuated, changes, *rest = values
    # As Store.restore and Store.document of that release read them.
    packed_holds, hold_changes = rest or ([], 0)
    assert (version, evacuated, changes, hold_changes) == (7, [], 1, 1)
    assert zlib.decompress(packed) == b'document'
    assert held_requests.Hold.unpack(packed_holds[0]).traits == ('s',)


@behave.then('the history is restored from the snapshot')
def then_restored(context):
    restored = stores.Store()
    restored.restore(context.store.save())
    assert restored.history == make_history(3)
    assert restored.packed == context.store.packed
    assert restored.save() == context.store.save()


@behave.then('a snapshot of the release before is restored without a history')
def then_restored_without(context):
    restored = stores.Store()
    restored.apply(stores.history_command(make_history(3)))
    restored.restore(snapshot_of_earlier_release(context.store, None))
    assert restored.history is None
    assert restored.document == b'document'


@behave.then('an older history does not replace a newer one')
def then_not_replaced(context):
    older = dataclasses.replace(make_history(2), is_complete=False)
    assert context.store.apply(stores.history_command(older)) == [False, 7]
    assert context.store.history == make_history(3)
