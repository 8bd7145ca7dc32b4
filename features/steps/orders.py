"""Steps for the order of operators' orders in a simulated fleet."""

import zlib

import anyio
import behave
import hypothesis
import hypothesis.strategies as strategies
import msgpack
import orjson

from features import fleet_world
from features.steps.fleet import in_fleet
from greengagegw import errors
from greengagegw.fleet import orders
from greengagegw.fleet import origin_history
from greengagegw.fleet import store as stores
from greengagegw.fleet import suspension
from greengagegw import held_requests
from greengagegw.platform import http_names
from greengagegw.platform import operator_application
from greengagegw.replication import client as replication_client
from greengagegw.replication import replica as replicas
from greengagegw import timers as timer_service

DOMAIN = 'a-1'
PATH = f'/-/evacuations/{DOMAIN}'
PROPOSE = 'replica.control.propose'


class EarlierStore(stores.Store):
    """Applies, saves and restores as the last release does."""

    def apply(self, content):
        name, *arguments = msgpack.unpackb(content)
        if name not in (stores.EVACUATE, stores.READMIT):
            return super().apply(content)
        before = self.evacuated
        if name == stores.EVACUATE:
            self.evacuated |= {arguments[0]}
        else:
            self.evacuated -= {arguments[0]}
        has_changed = before != self.evacuated
        self.changes += has_changed
        return [has_changed, self.version]

    def save(self):
        packed = self.packed
        if packed and self.history is not None:
            packed += msgpack.packb(self.history.pack())
        values = [self.version, packed, sorted(self.evacuated), self.changes]
        if self.hold_changes:
            holds = [one.pack() for one in self.holds.values()]
            values += [holds, self.hold_changes]
        return msgpack.packb(values)

    def restore(self, content):
        values = msgpack.unpackb(content)
        self.version, packed, evacuated, self.changes, *rest = values
        decompressor = zlib.decompressobj()
        decompressor.decompress(packed)
        following = decompressor.unused_data
        self.packed = packed[: len(packed) - len(following)]
        self.history = None
        if following:
            number, is_complete, versions, routes = msgpack.unpackb(following)[
                :4
            ]
            self.history = origin_history.OriginHistory.build(
                number, is_complete, versions, routes
            )
        self.evacuated = frozenset(evacuated)
        packed_holds, self.hold_changes = rest or ([], 0)
        holds = [held_requests.Hold.unpack(one) for one in packed_holds]
        self.holds = {one.hold_id: one for one in holds}


class OperatorCall:
    """An order of an operator at the HTTP application of a control VM.

    :ivar status: of the response; None before.
    :ivar has_ended: whether the application has returned.
    """

    def __init__(self, fleet, vm, method, path=PATH):
        self.application = operator_application.OperatorApplication(
            fleet.timers, fleet.controls[vm]
        )
        self.vm = vm
        self.scope = {
            'type': 'http',
            'method': method,
            'path': path,
            'query_string': b'',
            'headers': [],
        }
        self.messages = [{'type': 'http.request', 'body': b''}]
        self.gone = anyio.Event()
        self.status = None
        self.has_ended = False
        fleet.tasks.start_soon(self.run)

    async def run(self):
        await self.application(self.scope, self.receive, self.send)
        self.has_ended = True

    async def receive(self):
        if self.messages:
            return self.messages.pop()
        await self.gone.wait()
        return {'type': 'http.disconnect'}

    async def send(self, message):
        self.status = message.get('status', self.status)


async def order(fleet, vm, method, path=PATH):
    """Carries an order out, and asserts that it was acknowledged."""
    call = OperatorCall(fleet, vm, method, path)
    for _ in range(120):
        await fleet.timers.advance(0.05)
        if call.has_ended:
            break
    assert call.status == 200, (vm, method, call.status)


def other_vms(fleet, *left_out):
    leader = fleet.leader().vm
    return [
        vm for vm in sorted(fleet.controls) if vm not in (leader, *left_out)
    ]


def delay_proposals(fleet, vm):
    """Has the proposals of a VM wait; returns what ends that."""
    control = fleet.controls[vm]
    released = anyio.Event()
    call = control.mesh.call

    async def delayed(target, method, message, timeout=None):
        if method == PROPOSE:
            await released.wait()
        return await call(target, method, message, timeout)

    control.mesh.call = delayed
    return released.set


def lose_response(fleet, vm):
    """Has the first proposal of a VM take effect without a response."""
    control = fleet.controls[vm]
    released = anyio.Event()
    call = control.mesh.call

    async def without_response(target, method, message, timeout=None):
        outcome = await call(target, method, message, timeout)
        if method == PROPOSE and not released.is_set():
            await released.wait()
            raise errors.PeerTimeoutError('the response is lost')
        return outcome

    control.mesh.call = without_response
    return released.set


def suspend_leader(fleet, vm):
    """Has the leader read proposals of a VM only after it was replaced."""
    leader = fleet.leader().vm
    released = anyio.Event()
    handlers = fleet.network.handlers[leader]
    propose = handlers[PROPOSE]

    async def delayed(peer, message):
        if peer == vm:
            await released.wait()
        return await propose(peer, message)

    handlers[PROPOSE] = delayed
    others = [one for one in fleet.controls if one != leader]

    def release():
        fleet.network.heal()
        released.set()

    release.leader = leader
    release.cut = lambda: fleet.network.cut([leader], others)
    return release


def read_late(fleet, vm):
    return lambda: None


DELAYS = {
    'its VM reads it only when the caller is gone': read_late,
    'its VM is suspended before it proposes it': delay_proposals,
    'the response of the leader is lost': lose_response,
    'its leader is suspended and replaced': suspend_leader,
}


@behave.given(
    'a fleet of {controls:d} control VMs and {entries:d} entry VMs,'
    ' {vms} of the last release'
)
def given_mixed_fleet(context, controls, entries, vms):
    world = fleet_world.FleetWorld(controls, entries)
    manager = context.portal.wrap_async_context_manager(world.running())
    context.fleet = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.portal.call(world.timers.advance, 8.0)
    context.portal.call(replace_stores, world, vms == 'the leader')


async def replace_stores(fleet, is_leader):
    """Restarts VMs with the store of the last release."""
    leader = fleet.leader().vm
    others = other_vms(fleet)
    earlier = [leader] if is_leader else others[2:]
    fleet.make_store = lambda vm: (
        EarlierStore() if vm in earlier else stores.Store()
    )
    for vm in earlier:
        fleet.crash(vm)
    await fleet.timers.advance(0.2)
    for vm in earlier:
        fleet.start(vm)
    for _ in range(100):
        await fleet.timers.advance(2.0)
        found = fleet.leader()
        if (found.vm in earlier) == is_leader:
            return
        fleet.crash(found.vm)
        await fleet.timers.advance(3.0)
        fleet.start(found.vm)
    raise AssertionError('the wanted VM never leads')


@behave.given('failure domain a-1 of the fleet is evacuated')
@in_fleet
async def given_evacuated(context):
    fleet = context.fleet
    await order(fleet, other_vms(fleet)[0], 'POST')
    await fleet.timers.advance(1.0)


async def start_readmission(context, delay, is_given_up):
    fleet = context.fleet
    vm = other_vms(fleet)[0]
    context.end_delay = DELAYS[delay](fleet, vm)
    context.call = OperatorCall(fleet, vm, 'DELETE')
    if delay == 'its VM reads it only when the caller is gone':
        context.call.gone.set()
    await fleet.timers.advance(1.0)
    if is_given_up:
        context.call.gone.set()
    if delay == 'its leader is suspended and replaced':
        context.end_delay.cut()
        # An election takes up to 2 s, and an order is tried for 4 s.
        await fleet.timers.advance(2.2)


@behave.when('an operator gives up its readmission since {delay}')
@in_fleet
async def when_given_up(context, delay):
    await start_readmission(context, delay, is_given_up=True)


@behave.when("an operator's readmission waits since {delay}")
@in_fleet
async def when_waits(context, delay):
    await start_readmission(context, delay, is_given_up=False)


@behave.when('it is evacuated at another control VM, and the delay ends')
@in_fleet
async def when_evacuated_again(context):
    fleet = context.fleet
    suspended = getattr(context.end_delay, 'leader', '')
    others = other_vms(fleet, context.call.vm, suspended)
    await order(fleet, others[0], 'POST')
    context.end_delay()
    await fleet.timers.advance(0.5)


async def do_nothing(context):
    pass


async def restart_controls(context, loses_disk=()):
    fleet = context.fleet
    for vm in fleet.control_vms:
        fleet.crash(vm, loses_disk=vm in loses_disk)
    await fleet.timers.advance(0.5)
    for vm in fleet.control_vms:
        fleet.start(vm)
    await fleet.timers.advance(8.0)


async def take_snapshots(context):
    """Takes a snapshot on each control VM."""
    limit = replicas.SNAPSHOT_AFTER_ENTRIES
    replicas.SNAPSHOT_AFTER_ENTRIES = 1
    try:
        for replica in context.fleet.replicas.values():
            await replica.take_snapshot()
            assert replica.storage.snapshot.index == replica.applied_index
    finally:
        replicas.SNAPSHOT_AFTER_ENTRIES = limit


async def restore_snapshots(context):
    await take_snapshots(context)
    await restart_controls(context)


async def lose_two_disks(context):
    fleet = context.fleet
    for vm in other_vms(fleet)[:2]:
        fleet.crash(vm, loses_disk=True)
        fleet.start(vm)
    await fleet.timers.advance(10.0)


EVENTS = {
    'nothing happens': do_nothing,
    'all control VMs restart': restart_controls,
    'snapshots are restored': restore_snapshots,
    'two disks are lost': lose_two_disks,
}


@behave.when('then in the fleet {event}')
@in_fleet
async def when_event(context, event):
    await EVENTS[event](context)


async def expect_evacuated(fleet, seconds):
    for _ in range(int(seconds * 10)):
        await fleet.timers.advance(0.1)
        for vm, control in fleet.controls.items():
            assert control.store.evacuated == {DOMAIN}, (vm, control.store)
        for vm, agent in fleet.agents.items():
            assert agent.view.evacuated_domains == {DOMAIN}, vm


@behave.then('all VMs of the fleet have it evacuated for {seconds:d} seconds')
@in_fleet
async def then_evacuated(context, seconds):
    # The bound within which an evacuation is in force on entry VMs.
    await context.fleet.timers.advance(4.5)
    await expect_evacuated(context.fleet, seconds)
    assert context.call.status != 200, context.call.status
    assert context.call.has_ended


@behave.then(
    '{pause:d} seconds later all VMs of the fleet have it evacuated for'
    ' {seconds:d} seconds'
)
@in_fleet
async def then_later_evacuated(context, pause, seconds):
    await context.fleet.timers.advance(pause)
    await expect_evacuated(context.fleet, seconds)


@behave.then('the readmission is acknowledged within {seconds:d} seconds')
@in_fleet
async def then_acknowledged(context, seconds):
    for _ in range(seconds * 10):
        if context.call.status is not None:
            break
        await context.fleet.timers.advance(0.1)
    assert context.call.status == 200, context.call.status


@behave.then('no VM of the fleet has it evacuated {seconds:d} seconds later')
@in_fleet
async def then_readmitted(context, seconds):
    fleet = context.fleet
    await fleet.timers.advance(seconds)
    for control in fleet.controls.values():
        assert not control.store.evacuated
    for agent in fleet.agents.values():
        assert not agent.view.evacuated_domains


@behave.then(
    'an evacuation is acknowledged {count:d} times at each control VM'
)
@in_fleet
async def then_each_evacuation(context, count):
    await order_everywhere(context.fleet, 'POST', count)


@behave.then(
    'a readmission is acknowledged {count:d} times at each control VM'
)
@in_fleet
async def then_each_readmission(context, count):
    await order_everywhere(context.fleet, 'DELETE', count)


async def order_everywhere(fleet, method, count):
    for _ in range(count):
        for vm in sorted(fleet.controls):
            await order(fleet, vm, method)
    await fleet.timers.advance(2.0)
    expected = {DOMAIN} if method == 'POST' else set()
    for agent in fleet.agents.values():
        assert agent.view.evacuated_domains == expected


# Stores without a group.


class Log:
    """A log that several stores apply.

    :ivar index: of the last entry.
    """

    def __init__(self, *applied):
        self.index = 0
        self.stores = list(applied)
        for one in self.stores:
            one.entry_index = lambda: self.index

    def append(self, command):
        self.index += 1
        return [one.apply(command) for one in self.stores]

    def snapshot(self, position, make_store=stores.Store):
        restored = make_store()
        restored.entry_index = lambda: self.index
        restored.restore(self.stores[position].save())
        self.stores[position] = restored


def make_configured_log(*applied):
    log = Log(*applied)
    document = orjson.dumps(fleet_world.document(7))
    log.append(stores.put_command(7, document))
    history = origin_history.OriginHistory.build(1, True, [], [])
    log.append(stores.history_command(history))
    return log


@behave.then('an order without what it is based on takes effect as before')
def then_legacy(context):
    store = stores.Store()
    log = make_configured_log(store)
    assert log.append(msgpack.packb(['evacuate', DOMAIN])) == [[True, 7]]
    assert store.evacuated == {DOMAIN}
    old = stores.evacuate_command(DOMAIN, False, log.index - 1, 'x')
    assert log.append(old) == [[False, 7, False]]
    assert log.append(msgpack.packb(['readmit', DOMAIN])) == [[True, 7]]
    assert not store.evacuated


@behave.then('a store of the last release applies the orders of this one')
def then_earlier_applies(context):
    earlier, store = EarlierStore(), stores.Store()
    log = make_configured_log(earlier, store)
    for number, is_evacuated in enumerate([True, True, False, True]):
        log.append(
            stores.evacuate_command(
                DOMAIN, is_evacuated, log.index, str(number)
            )
        )
        assert earlier.evacuated == store.evacuated
        assert earlier.changes == store.changes
    log.append(stores.lift_command('none', 3.0))


@behave.then('a store of the last release restores a snapshot with orders')
def then_earlier_restores(context):
    store = stores.Store()
    log = make_configured_log(store)
    log.append(stores.evacuate_command(DOMAIN, True, log.index, 'x'))
    earlier = EarlierStore()
    earlier.restore(store.save())
    assert earlier.evacuated == {DOMAIN}
    assert (earlier.version, earlier.changes) == (7, store.changes)
    assert earlier.document == store.document
    assert earlier.history == store.history
    restored = stores.Store()
    restored.restore(store.save())
    assert restored.orders.last == store.orders.last
    assert restored.save() == store.save()


@behave.then(
    'a store restored from its snapshot acknowledges no order that may be old'
)
def then_uncertain(context):
    store, complete = EarlierStore(), stores.Store()
    log = make_configured_log(store, complete)
    old = stores.evacuate_command(DOMAIN, False, log.index, 'old')
    log.append(stores.evacuate_command(DOMAIN, True, log.index, 'new'))
    log.snapshot(0)
    restored = log.stores[0]
    uncertain, ignored = log.append(old)
    assert uncertain == [True, 7, False], uncertain
    assert ignored == [False, 7, False], ignored
    # Neither a copy of it.
    assert [one[2] for one in log.append(old)] == [False, False]
    # The next order makes them the same again.
    new = stores.evacuate_command(DOMAIN, True, log.index, 'newer')
    assert [one[2] for one in log.append(new)] == [True, True]
    assert restored.evacuated == complete.evacuated == {DOMAIN}
    assert restored.orders.last == complete.orders.last


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['read', 'propose', 'copy', 'snapshot', 'other']
        ),
        strategies.integers(0, 3),
        strategies.sampled_from(['a-1', 'b-1']),
        strategies.booleans(),
    ),
    max_size=40,
)


@behave.then(
    'it holds for {count:d} random logs with copies, snapshots and two'
    ' operators'
)
def then_random_logs(context, count):
    @hypothesis.settings(
        max_examples=count, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(ACTIONS)
    def check(actions):
        check_log(actions)

    check()


def check_log(actions):
    """Checks that no order takes effect after one that began later."""
    log = make_configured_log(stores.Store(), stores.Store())
    read, proposed, expected = {}, [], {}
    for number, (action, operator, domain, is_evacuated) in enumerate(actions):
        if action == 'read':
            read[operator] = log.index
        elif action == 'propose' and operator in read:
            command = stores.evacuate_command(
                domain, is_evacuated, read[operator], f'o{number}'
            )
            is_current = read[operator] >= expected.get(domain, (0, None))[0]
            outcomes = log.append(command)
            assert [one[2] for one in outcomes] == [is_current] * 2
            if is_current:
                expected[domain] = (log.index, is_evacuated)
                proposed.append((domain, command, log.index))
        elif action == 'copy' and proposed:
            copied_domain, command, index = proposed[operator % len(proposed)]
            before = log.stores[0].evacuated
            outcomes = log.append(command)
            is_last = expected[copied_domain][0] == index
            assert [one[2] for one in outcomes] == [is_last] * 2
            assert log.stores[0].evacuated == before
        elif action == 'snapshot':
            log.snapshot(operator % 2)
        elif action == 'other':
            document = orjson.dumps(fleet_world.document(8 + number))
            log.append(stores.put_command(8 + number, document))
        held = {one for one, (_, value) in expected.items() if value}
        for store in log.stores:
            assert store.evacuated == held
        assert log.stores[0].orders.last == log.stores[1].orders.last


@behave.when('a store gets {count:d} orders on different failure domains')
def when_many_orders(context, count):
    context.log = make_configured_log(stores.Store())
    context.first_index = context.log.index
    for number in range(count):
        command = stores.evacuate_command(
            f'd-{number}', False, context.log.index, str(number)
        )
        assert context.log.append(command) == [[False, 7, True]]


@behave.then('it remembers {count:d} of them, also after a snapshot')
def then_remembers(context, count):
    for _ in range(2):
        assert len(context.log.stores[0].orders.last) == count
        assert count == orders.MAX_ORDERS
        context.log.snapshot(0)


@behave.then('it ignores old orders on those that it has dropped')
def then_ignores_dropped(context):
    old = stores.evacuate_command('d-0', True, context.first_index, 'old')
    assert context.log.append(old) == [[False, 7, False]]
    new = stores.evacuate_command('d-0', True, context.log.index, 'new')
    assert context.log.append(new) == [[True, 7, True]]


def make_hold(since):
    return held_requests.Hold('engine', ('s',), since, (), ())


@behave.then('a store ignores the lift of an earlier hold with the same ID')
def then_lift_ignored(context):
    context.log = log = make_configured_log(stores.Store())
    hold_id = make_hold(1.0).hold_id
    log.append(stores.hold_command(make_hold(1.0)))
    lift = stores.lift_command(hold_id, 1.0)
    assert log.append(lift) == [[True, 7]]
    log.append(stores.hold_command(make_hold(2.0)))
    assert log.append(lift) == [[False, 7]]
    assert hold_id in log.stores[0].holds


@behave.then('a store ignores a copy of the command of a hold that was lifted')
def then_copy_ignored(context):
    log, hold_id = context.log, make_hold(2.0).hold_id
    log.append(stores.lift_command(hold_id, 2.0))
    assert log.append(stores.hold_command(make_hold(2.0))) == [[False, 7]]
    assert not log.stores[0].holds
    # A lift of the last release lifts whatever there is.
    log.append(stores.hold_command(make_hold(3.0)))
    assert log.append(msgpack.packb(['lift', hold_id])) == [[True, 7]]


@behave.then('a store ignores both after a snapshot')
def then_ignored_after_snapshot(context):
    log, hold_id = context.log, make_hold(1.0).hold_id
    log.snapshot(0)
    assert log.append(stores.hold_command(make_hold(3.0))) == [[False, 7]]
    log.append(stores.hold_command(make_hold(4.0)))
    assert log.append(stores.lift_command(hold_id, 3.0)) == [[False, 7]]
    assert hold_id in log.stores[0].holds


@behave.when('a hold is made, and its lift is given up before it is proposed')
@in_fleet
async def when_lift_given_up(context):
    fleet = context.fleet
    await fleet.submit(stores.hold_command(make_hold(1.0)))
    vm = other_vms(fleet)[0]
    release = delay_proposals(fleet, vm)
    path = f'{http_names.HOLDS_PATH}/{make_hold(1.0).hold_id}'
    await fleet.timers.advance(1.0)
    context.call = OperatorCall(fleet, vm, 'DELETE', path)
    context.call.gone.set()
    await fleet.timers.advance(1.0)
    release()


@behave.then('{seconds:d} seconds later the hold is in force everywhere')
@in_fleet
async def then_hold_in_force(context, seconds):
    fleet = context.fleet
    await fleet.timers.advance(seconds)
    for control in fleet.controls.values():
        assert make_hold(1.0).hold_id in control.store.holds


@behave.when(
    'its readmission is read right after a suspension of {seconds:g} seconds'
)
@in_fleet
async def when_read_after_wake(context, seconds):
    fleet = context.fleet
    # The boot clock counts a suspension of the VM, the steady one does not.
    fleet.boot_offset += seconds
    context.call = OperatorCall(fleet, other_vms(fleet)[0], 'DELETE')


@behave.when('{seconds:g} seconds later the end of its connection is read')
@in_fleet
async def when_end_is_read(context, seconds):
    await context.fleet.timers.advance(seconds)
    context.call.gone.set()


@behave.when(
    'the steady clock of a VM goes on by {steady:g} and its boot clock by'
    ' {boot:g} seconds'
)
def when_clocks_go_on(context, steady, boot):
    timers = timer_service.ManualTimers()
    boot_clock = [500.0]
    context.detector = suspension.SuspensionDetector(
        timers, lambda: boot_clock[0]
    )
    # Its timer is not called meanwhile.
    timers.time += steady
    boot_clock[0] += boot


@behave.then('it has been awake for {seconds:g} seconds')
def then_awake(context, seconds):
    found = context.detector.seconds_awake()
    assert found == seconds, found


FAILURES = {
    'no leader responds': errors.PeerUnreachableError('down'),
    'the response is lost': errors.PeerTimeoutError('lost'),
    'the VM leads no longer': errors.NotLeaderError('not the leader', None),
}


class FailingMesh:
    """Fails each call.

    :ivar calls: how many calls were made.
    """

    def __init__(self, failure):
        self.failure = failure
        self.calls = 0

    async def call(self, vm, method, message, timeout=None):
        self.calls += 1
        raise self.failure


@behave.when(
    'a caller has gone after {attempts:d} attempts that end since {failure}'
)
@in_fleet
async def when_caller_goes(context, attempts, failure):
    context.mesh = mesh = FailingMesh(FAILURES[failure])

    async def is_wanted():
        return mesh.calls < attempts

    group = replication_client.GroupClient(
        'control', ('a', 'b', 'c'), mesh, timer_service.ManualTimers()
    )
    try:
        await group.submit(b'', 4.0, is_wanted)
    except errors.OrderAbandonedError as error:
        context.error = error


@behave.then('{attempts:d} attempts are made, and the outcome is {run}')
def then_attempts(context, attempts, run):
    assert context.mesh.calls == attempts, context.mesh.calls
    assert context.error.run == run, context.error.run


# Malformed commands.

MALFORMED_COMMANDS = {
    'a document that is missing': msgpack.packb(['put', 1]),
    'a document with no end': msgpack.packb(
        ['put', 9, zlib.compress(b'document')[:-1]]
    ),
    'a document with a tail': msgpack.packb(
        ['put', 9, zlib.compress(b'document') + b'tail']
    ),
    'a version as text': msgpack.packb(['put', '9', zlib.compress(b'{}')]),
    'a reserved byte': b'\xc1',
    'an empty list': msgpack.packb([]),
    'a list as the name': msgpack.packb([['put'], 1]),
    'a list as the domain': msgpack.packb(['evacuate', ['x'], 1, 'a']),
    'text instead of an index': msgpack.packb(['evacuate', 'z', '3', 'id']),
    'no domain': msgpack.packb(['readmit']),
    'a hold without traits': msgpack.packb(
        ['hold', ['engine', [], 1.0, [], []]]
    ),
    'a hold of one value': msgpack.packb(['hold', ['engine']]),
    'a lift of a list': msgpack.packb(['lift', ['x'], 1.0]),
    'a history that is missing': msgpack.packb(['history', None]),
    'a history of one value': msgpack.packb(['history', [1]]),
}


@behave.when('a peer proposes this malformed command: {command}')
@in_fleet
async def when_malformed_proposed(context, command):
    fleet = context.fleet
    leader = fleet.leader()
    sender = next(vm for vm in fleet.control_vms if vm != leader.vm)
    context.content = MALFORMED_COMMANDS[command]
    context.saved = {
        vm: one.store.save() for vm, one in fleet.controls.items()
    }
    context.outcome = await fleet.wait_for(
        lambda: fleet.network.mesh(sender).call(
            leader.vm, PROPOSE, context.content, 2.0
        ),
        5.0,
    )


@behave.then('it is refused with a declared error, and no log contains it')
@in_fleet
async def then_refused(context):
    assert isinstance(context.outcome, errors.InvalidCommandError), (
        context.outcome
    )
    await context.fleet.timers.advance(2.0)
    assert not any(
        entry.content == context.content
        for replica in context.fleet.replicas.values()
        for entry in replica.storage.entries
    )


@behave.when(
    'a leader without the check commits this malformed command: {command}'
)
@in_fleet
async def when_malformed_committed(context, command):
    fleet = context.fleet
    content = MALFORMED_COMMANDS[command]
    context.outcome = await fleet.wait_for(
        lambda: fleet.leader().propose(content), 5.0
    )
    await fleet.timers.advance(2.0)


@behave.then(
    'its proposer gets a declared error, and all stores stay as they were'
)
@in_fleet
async def then_nothing_changed(context):
    assert isinstance(context.outcome, errors.InvalidCommandError), (
        context.outcome
    )
    check_stores(context)


def check_stores(context):
    fleet = context.fleet
    assert set(fleet.controls) == set(fleet.control_vms)
    for vm, one in fleet.controls.items():
        assert one.store.save() == context.saved[vm], vm
        assert any(
            entry.content == context.content
            for entry in one.replica.storage.entries
        ), vm


@behave.then(
    'that is so after all control VMs restarted, and version {version:d} is'
    ' stored'
)
@in_fleet
async def then_same_after_restart(context, version):
    fleet = context.fleet
    for vm in fleet.control_vms:
        fleet.crash(vm)
    for vm in fleet.control_vms:
        fleet.start(vm)
    await fleet.timers.advance(10.0)
    check_stores(context)
    assert await fleet.put(version) == [True, version]
    await fleet.timers.advance(2.0)
    assert {one.store.version for one in fleet.controls.values()} == {version}
