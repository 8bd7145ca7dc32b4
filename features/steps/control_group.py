"""Steps for changes of the members of a control group."""

import dataclasses
import functools
import itertools

import anyio
import behave
import eliot
import msgpack
import orjson

from features import fakes
from features import lost_disk_model
from features import membership_model
from greengagegw.control import state as control_state
from greengagegw import errors
from greengagegw.fleet import store as stores
from greengagegw.fleet import timing
from greengagegw import held_requests
from greengagegw.replication import departure
from greengagegw.replication import entries
from greengagegw.replication import membership
from greengagegw.replication import replica as replicas
from greengagegw.replication import roles
from greengagegw.replication import startup
from greengagegw.replication import status
from greengagegw.replication import timing as replication_timing

VMS = ('a', 'b', 'c', 'd', 'e')
MIN_VOTERS = 5
# Half of the round trip between regions.
DELAY_SECONDS = 0.055


async def run_group(count, seed, play):
    group = fakes.ReplicaGroup(
        tuple(chr(97 + at) for at in range(count)),
        seed,
        min_voters=MIN_VOTERS,
        timeouts=timing.CONTROL_TIMEOUTS,
    )
    group.network.delay_seconds = DELAY_SECONDS
    group.old_disks = []
    async with group.running():
        await group.elect()
        for _ in range(3):
            await group.propose_and_wait()
        await play(group)


def play(context, function):
    """Runs a function of a group on an event loop of its own."""
    kept = replicas.SNAPSHOT_AFTER_ENTRIES
    replicas.SNAPSHOT_AFTER_ENTRIES = context.snapshot_after
    try:
        anyio.run(
            functools.partial(run_group, context.count, context.seed, function)
        )
    finally:
        replicas.SNAPSHOT_AFTER_ENTRIES = kept


def followers(group):
    leader = group.leader().vm
    return [vm for vm in group.vms if vm != leader and vm in group.replicas]


@behave.given('a control group of {count:d} replicas')
def set_count(context, count):
    context.count = count
    context.seed = 1
    context.snapshot_after = replicas.SNAPSHOT_AFTER_ENTRIES


@behave.given(
    'a control group of {count:d} replicas with the random numbers of seed'
    ' {seed:d}'
)
def set_count_and_seed(context, count, seed):
    set_count(context, count)
    context.seed = seed


@behave.given(
    'a control group of {count:d} replicas that takes a snapshot every'
    ' {every:d} entries'
)
def set_count_and_snapshots(context, count, every):
    set_count(context, count)
    context.snapshot_after = every


async def wait_for(group, condition, seconds):
    """Returns after how many seconds a condition holds.

    :raises AssertionError: if it does not within ``seconds``.
    """
    started_at = group.timers.now()
    while not condition():
        waited = group.timers.now() - started_at
        assert waited < seconds, f'not within {seconds} s'
        await group.advance(0.05)
    return group.timers.now() - started_at


# Snapshots and gaps in the log.


@behave.when(
    'the leader compacts its log again while a follower gets a snapshot'
)
def plan_compaction(context):
    async def compact_while_sending(group):
        replicas.SNAPSHOT_AFTER_ENTRIES = 1
        vm = followers(group)[0]
        group.crash(vm)
        await group.propose_and_wait()
        await group.propose_and_wait()
        group.start(vm)
        leader = group.leader()
        method = 'replica.g.snapshot'
        take_snapshot = group.network.handlers[vm][method]
        started_at_bases = []

        async def compact_first(peer, message):
            if not started_at_bases:
                started_at_bases.append(leader.storage.base_index)
                await leader.propose(b'during the transfer')
                while leader.storage.base_index == started_at_bases[0]:
                    await group.timers.sleep(0.01)
                # Entries that are not compacted yet.
                replicas.SNAPSHOT_AFTER_ENTRIES = 100
                for number in range(3):
                    leader.tasks.start_soon(
                        leader.propose, b'after the snapshot %d' % number
                    )
                await group.timers.sleep(4 * DELAY_SECONDS)
            return await take_snapshot(peer, message)

        group.network.handlers[vm][method] = compact_first
        await group.advance(3)
        assert started_at_bases, 'no snapshot was sent'
        assert leader.storage.base_index > started_at_bases[0]
        context.vm = vm
        group.crash(vm)
        group.start(vm)
        await group.advance(3)
        assert vm not in group.failures, group.failures
        applied = {vm: group.machines[vm].applied for vm in group.replicas}
        assert applied[vm] == applied[leader.vm]

    context.play = compact_while_sending


@behave.then('the log of that follower has no gap')
def check_gap(context):
    play(context, context.play)


@behave.when('a follower gets entries that do not follow its own')
def plan_gap(context):
    async def send_gap(group):
        leader = group.leader()
        vm = followers(group)[0]
        last = group.replicas[vm].storage.last_index
        entry = entries.Entry(
            last + 5, leader.term, entries.EntryKind.COMMAND, b'gap'
        )
        # The leader no longer has the term of an entry that it compacted.
        reply = await leader.call_peer(
            vm,
            'append',
            [leader.term, leader.vm, last + 2, None, [entry.pack()], 0],
        )
        context.replies = [reply[1]]
        reply = await leader.call_peer(
            vm,
            'append',
            [leader.term, leader.vm, last, leader.term, [entry.pack()], 0],
        )
        context.replies.append(reply[1])

    async def send_and_restart(group):
        done = anyio.Event()

        async def send():
            await send_gap(group)
            done.set()

        group.tasks.start_soon(send)
        await wait_for(group, done.is_set, 5)
        assert context.replies == [False, False], context.replies
        vm = followers(group)[0]
        group.crash(vm)
        group.start(vm)
        await group.advance(3)
        assert vm not in group.failures, group.failures

    context.play = send_and_restart


@behave.then('it rejects them and its log has no gap')
def check_rejected(context):
    play(context, context.play)


# Replicas that cannot use what they have stored.


@behave.when(
    'a follower accepts snapshots for {seconds:g} s without storing them'
)
def plan_discarded_snapshots(context, seconds):
    async def discard_snapshots(group):
        for _ in range(5):
            await group.propose_and_wait()
        leader = group.leader()
        assert leader.storage.base_index > 0, 'no snapshot was taken'
        vm = followers(group)[0]
        context.snapshot_count = 0

        async def accept_snapshot(peer, message):
            context.snapshot_count += 1
            return [leader.term, True]

        async def reject_entries(peer, message):
            return [leader.term, False, 0, group.replicas[vm].incarnation]

        handlers = group.network.handlers[vm]
        handlers['replica.g.snapshot'] = accept_snapshot
        handlers['replica.g.append'] = reject_entries
        await group.advance(seconds)
        limit = seconds / timing.CONTROL_TIMEOUTS.heartbeat_seconds
        assert 0 < context.snapshot_count <= limit, context.snapshot_count

    context.play = discard_snapshots


@behave.then('it gets at most one snapshot per heartbeat')
def check_snapshot_count(context):
    play(context, context.play)


@behave.when('a follower has lost its log, but not its commit index')
def plan_lost_log(context):
    async def lose_log(group):
        for _ in range(5):
            await group.propose_and_wait()
        vm = followers(group)[0]
        replica = group.replicas[vm]
        async with replica.lock_storage():
            await replica.storage.wipe(replica.incarnation)
        return vm

    context.play = lose_log


@behave.when(
    'a follower with a snapshot comes back with an old disk that takes no'
    ' bytes for {seconds:g} s'
)
def plan_full_old_disk(context, seconds):
    async def restore_disk(group):
        # The leader has not compacted its log, and sends all of it again.
        vm = followers(group)[0]
        replicas.SNAPSHOT_AFTER_ENTRIES = 1
        await group.replicas[vm].take_snapshot()
        replicas.SNAPSHOT_AFTER_ENTRIES = context.snapshot_after
        disk = group.disks[vm]
        group.crash(vm)
        saved = dict(disk.synced)
        group.start(vm)
        await group.advance(5)
        group.crash(vm)
        disk.files, disk.synced = dict(saved), dict(saved)
        await group.propose_and_wait()
        assert group.leader().storage.base_index == 0
        disk.fill(seconds)
        group.start(vm)
        await group.advance(seconds)
        return vm

    context.play = restore_disk


@behave.then(
    'it catches up within {seconds:g} s, and has applied each command once'
)
def check_not_caught_up_early(context, seconds):
    async def check(group):
        vm = await context.play(group)

        def has_caught_up():
            applied = group.machines[vm].applied
            leader = group.leader()
            replica = group.replicas[vm]
            return (
                leader is not None
                and replica.storage.last_index == leader.storage.last_index
                and applied == group.machines[leader.vm].applied
                and replica.is_up_to_date
                and replica.applied_index == leader.applied_index
            )

        await wait_for(group, has_caught_up, seconds)
        await group.propose_and_wait()
        await group.advance(1)
        group.check_acknowledged()

    play(context, check)


def commands_of_store():
    hold = held_requests.Hold('service', ('trait',), 1.0, (), ())
    return stores.Store(), [
        stores.put_command(1, b'{}'),
        stores.evacuate_command('domain', True, 0, 'order'),
        stores.hold_command(hold),
        stores.lift_command(hold.hold_id),
    ]


def commands_of_table():
    table = (
        'kind,name,weight,rate,burst,limit,home,bound,end\n'
        'organisation,org,1,1,1,,,,\n'
    )
    key = {'id': 'k', 'digest': 'd', 'organisation': 'org', 'at': 1.0}
    edits = [
        ('put_table', {'text': table, 'based_on': 0}),
        ('give_key', key),
        ('withdraw_key', {'id': 'k'}),
    ]
    machine = control_state.ControlState(('region',), lambda event: None)
    return machine, [
        control_state.encode_command(name, f'edit-{name}', arguments)
        for name, arguments in edits
    ]


@behave.then(
    '{machine} has the same state after a reset and the same commands'
)
def check_reset(context, machine):
    state_machine, commands = {
        'the store of the platform': commands_of_store,
        'the state of the table': commands_of_table,
    }[machine]()
    initial = state_machine.save()
    first = [state_machine.apply(command) for command in commands]
    assert not any('error' in one for one in first), first
    saved = state_machine.save()
    assert saved != initial
    state_machine.restore(initial)
    again = [state_machine.apply(command) for command in commands]
    assert again == first, (first, again)
    assert state_machine.save() == saved


# The rules of single-server changes.


@behave.when(
    'a VM joins at a new leader that has committed nothing of its term'
)
def plan_early_change(context):
    async def join_early(group):
        old = group.leader()
        new = group.replicas[followers(group)[0]]
        group.network.cut([old.vm], [vm for vm in group.vms if vm != old.vm])
        await new.storage_lock.acquire()
        await new.storage.save_meta(term=old.term + 1, voted_for=new.vm)
        await new.become_leader()
        outcomes = []

        async def join():
            try:
                await new.on_join('z', ['z', 'incarnation of z'])
                outcomes.append('joined')
            except errors.ReplicationError as error:
                outcomes.append(error.code)

        group.tasks.start_soon(join)
        await group.advance(0.1)
        assert outcomes == ['replication'], outcomes
        assert not new.proposal_queue[1:], 'the change is queued'
        new.storage_lock.release()
        await group.advance(1)
        group.tasks.start_soon(join)
        await group.advance(1)
        assert outcomes[1:] == ['joined'], outcomes

    context.play = join_early


@behave.then('the change is rejected until an entry of its term is committed')
def check_early_change(context):
    play(context, context.play)


@behave.when('the leader is to remove two voters at the same time')
def plan_two_changes(context):
    async def remove_two(group):
        leader = group.leader()
        first, second = followers(group)[:2]
        rejected = []

        async def remove(vm):
            try:
                await leader.change_members(leader.members.without(vm))
            except errors.ReplicationError:
                rejected.append(vm)

        group.tasks.start_soon(remove, first)
        group.tasks.start_soon(remove, second)
        await group.advance(2)
        assert rejected == [second], rejected
        assert second in leader.members.voters, leader.members
        assert first not in leader.members.voters, leader.members

    context.play = remove_two


@behave.then('only one of the two changes is made')
def check_two_changes(context):
    play(context, context.play)


# Replacements.

# From the loss of a machine to the start of its successor, and until the
# machine must not count any more.
SUCCESSOR_SECONDS = 1.0
CATCH_UP_SECONDS = 5.0
RESTART_SECONDS = 1.0
COMMIT_SECONDS = 0.5
RECOVERY_SECONDS = 12.0


def propose_everywhere(group):
    """Proposes a command at each VM that takes itself for the leader."""
    for vm, replica in group.replicas.items():
        if replica.is_leader:
            group.propose(vm)


async def advance_with_load(group, seconds):
    """Advances time while clients propose four commands a second."""
    for _ in range(round(seconds / 0.25)):
        propose_everywhere(group)
        await group.advance(0.25)


def choose(group, which):
    """Returns VMs by a description; the newest VM was added last."""
    leader = group.leader()
    names = [vm for vm in group.vms if vm in group.replicas]
    others = [vm for vm in names if leader is None or vm != leader.vm]
    newest = others[-1]
    if leader is None or leader.vm == names[-1]:
        leader_vm = others[0]
    else:
        leader_vm = leader.vm
    return {
        'a follower': others[:1],
        'the leader': [leader_vm],
        'two followers': others[:2],
        'the leader and the newest': [leader_vm, newest],
        'the two newest': names[-2:],
    }[which]


def replace_seeds(group):
    """Gives all VMs the addresses of those that exist, as operators do."""
    group.founders = group.vms
    for replica in group.replicas.values():
        replica.founders = group.vms


async def replace_machine(group, vm):
    group.old_disks.append((vm, group.retire(vm)))
    await advance_with_load(group, SUCCESSOR_SECONDS)
    successor = f'{vm[0]}{len(vm)}{group.proposed}'
    group.founders = (*group.vms, successor)
    group.add(successor)
    replace_seeds(group)
    await advance_with_load(group, CATCH_UP_SECONDS - SUCCESSOR_SECONDS)


async def lose_disks(group, vms):
    for vm in vms:
        group.crash(vm)
        group.lose_disk(vm)
    await advance_with_load(group, RESTART_SECONDS)
    for vm in vms:
        group.start(vm)


async def lose_disks_with_power(group, vms):
    """Has all VMs lose power, and some of them their disks."""
    for vm in group.vms:
        group.crash(vm)
    for vm in vms:
        group.lose_disk(vm)
    await group.advance(RESTART_SECONDS)
    for vm in group.vms:
        group.start(vm)


def add_part(context, part):
    if not hasattr(context, 'parts'):
        context.parts = []
    context.parts.append(part)


@behave.when(
    '{count:d} machines in a row are gone, each with a successor after 1 s,'
    ' beginning with {which}'
)
def plan_replacements(context, count, which):
    async def replace(group):
        for number in range(count):
            chosen = which if number == 0 else 'a follower'
            await replace_machine(group, choose(group, chosen)[0])

    add_part(context, replace)


@behave.when('5 s after the last one was gone, {which} lose their disks')
def plan_lost_disks(context, which):
    add_part(context, lambda group: lose_disks(group, choose(group, which)))


@behave.when('5 s after the last one was gone, a domain of {count:d} is gone')
def plan_lost_domain(context, count):
    async def lose_domain(group):
        for vm in choose(group, 'the leader and the newest')[:count]:
            group.retire(vm)
        while len(group.vms) > context.count - count:
            group.retire(followers_or_all(group)[0])

    add_part(context, lose_domain)


def followers_or_all(group):
    leader = group.leader()
    return [vm for vm in group.vms if leader is None or vm != leader.vm]


@behave.when('a VM is added, and 4 s later {which} is gone')
def plan_sixth_voter(context, which):
    async def add(group):
        group.add('z')
        await advance_with_load(group, 4)
        group.retire(choose(group, which)[0])
        await advance_with_load(group, CATCH_UP_SECONDS)

    add_part(context, add)


async def check_recovery(group):
    """Checks that commands are acknowledged in time, and that none is lost."""
    before = len(group.acknowledged)
    waited = 0.0
    while len(group.acknowledged) == before:
        assert waited < RECOVERY_SECONDS, describe(group)
        propose_everywhere(group)
        await group.advance(0.25)
        waited += 0.25
    await group.converge()
    group.check_acknowledged()


def describe(group):
    return {
        vm: (
            replica.role.value,
            replica.members.voters,
            len(replica.members.members),
        )
        for vm, replica in group.replicas.items()
    }


@behave.then('a command is acknowledged within 12 s, and none is lost')
def check_acknowledged(context):
    async def check(group):
        for part in context.parts:
            await part(group)
        await check_recovery(group)

    context.play = check
    play(context, check)


@behave.then('all machines vote again')
def check_votes(context):
    async def check(group):
        await context.play(group)
        await wait_for(
            group,
            lambda: set(group.leader().members.voters) == set(group.vms),
            RECOVERY_SECONDS,
        )

    play(context, check)


@behave.when('all machines lose power, and {which} their disks too')
def plan_power_loss(context, which):
    add_part(
        context,
        lambda group: lose_disks_with_power(group, choose(group, which)),
    )


@behave.when('the machine that was gone first returns with its old disk')
def plan_return(context):
    async def return_machine(group):
        vm, disk = group.old_disks[0]
        group.vms = (*group.vms, vm)
        group.disks[vm] = disk
        group.start(vm)
        await advance_with_load(group, RECOVERY_SECONDS)

    add_part(context, return_machine)


@behave.when('{which} is cut off until a successor has taken its place')
def plan_cut_off(context, which):
    async def cut_off(group):
        vm = choose(group, which)[0]
        group.network.cut([vm], [one for one in group.vms if one != vm])
        await advance_with_load(group, SUCCESSOR_SECONDS)
        group.network.cut([vm], ['z'])
        group.add('z')
        await advance_with_load(group, CATCH_UP_SECONDS)
        others = {*group.vms} - {vm}
        assert set(group.leader().members.voters) == others

    add_part(context, cut_off)


@behave.when('the links are back')
def plan_heal(context):
    async def heal(group):
        group.network.heal()

    add_part(context, heal)


@behave.when('a leader that reaches only one voter proposes to remove it')
def plan_uncommitted_removal(context):
    async def remove(group):
        leader = group.leader()
        vm, *others = followers(group)
        voter = group.replicas[vm]
        incarnation = voter.incarnation
        group.network.cut([leader.vm, vm], others)
        group.tasks.start_soon(propose_removal, leader, vm)
        await group.advance(0.25)
        assert leader.is_leader
        assert leader.members.get(vm) is None
        voter.membership_checked_at = -1000.0
        group.tasks.start_soon(startup.rejoin_if_not_member, voter)
        await group.advance(0.5)
        assert voter.incarnation == incarnation
        assert voter.storage.last_index > 0
        # The others elect a leader that does not know of the removal.
        await advance_with_load(group, 5)
        group.network.heal()
        await check_recovery(group)
        assert group.replicas[vm].incarnation == incarnation
        assert vm in group.leader().members.voters

    context.play = remove


async def propose_removal(leader, vm):
    try:
        await leader.change_members(leader.members.without(vm))
    except errors.ReplicationError:
        return
    raise AssertionError('the removal was committed')


@behave.then('that voter keeps its state and stays a voter')
def check_kept(context):
    play(context, context.play)


@behave.when('a voter joins with an empty disk at a leader without a majority')
def plan_uncommitted_admission(context):
    async def join(group):
        leader = group.leader()
        vm, *others = followers(group)
        context.vm, context.disk = vm, group.disks[vm]
        context.incarnation = group.replicas[vm].incarnation
        group.crash(vm)
        group.lose_disk(vm)
        group.start(vm)
        # Its request to join reaches the leader, whose entry reaches nobody.
        group.network.cut([leader.vm], others)
        await wait_for(
            group,
            lambda: (
                leader.members.get(vm).incarnation
                == group.replicas[vm].incarnation
            ),
            0.9,
        )
        assert leader.members_index > leader.commit_index

    add_part(context, join)


@behave.when('it returns with its own disk')
def plan_own_disk(context):
    async def return_disk(group):
        group.crash(context.vm)
        group.disks[context.vm] = context.disk
        group.start(context.vm)
        await group.advance(3)

    add_part(context, return_disk)


@behave.then('it keeps its state, and none is lost')
def check_state_kept(context):
    async def check(group):
        for part in context.parts:
            await part(group)
        replica = group.replicas[context.vm]
        assert replica.incarnation == context.incarnation
        assert replica.storage.last_index > 0
        group.network.heal()
        await check_recovery(group)

    play(context, check)


# Voters that have lost their disks and are not voters again yet.

STEP_SECONDS = 0.01
# Of a busy, sound disk.
SYNC_SECONDS = 0.05


async def wait_in_steps(group, condition, seconds):
    """Advances time in short steps until a condition holds."""
    started_at = group.timers.now()
    while not condition():
        assert group.timers.now() - started_at < seconds, describe(group)
        await group.timers.advance(STEP_SECONDS)


def all_know_members(group):
    """Returns whether all voters have stored that the members are committed.

    Until then, a group that loses its power may not know it.
    """
    members = group.leader().members
    return all(
        group.replicas[vm].members == members
        and group.replicas[vm].storage.committed_members[0]
        == group.leader().members_index
        for vm in members.voters
    )


def hold_back(group, vm, is_stored):
    """Delays the entries to a learner, or only its replies to them.

    A learner with sound disks and links may else be promoted before all know
    its admission.

    :returns: a function that ends the delay.
    """
    released = anyio.Event()
    handlers = group.network.handlers[vm]
    deliver = handlers['replica.g.append']

    async def handle(peer, message):
        reply = await deliver(peer, message) if is_stored else None
        if message[4]:
            await released.wait()
        return reply if is_stored else await deliver(peer, message)

    handlers['replica.g.append'] = handle
    return released.set


@behave.when('a follower loses its disk, and it {moment}')
def plan_learner(context, moment):
    async def lose_disk(group):
        vm = followers(group)[0]
        group.crash(vm)
        group.lose_disk(vm)
        await advance_with_load(group, RESTART_SECONDS)
        group.start(vm)
        leader = group.leader()
        replica = group.replicas[vm]

        def is_learner():
            member = leader.members.get(vm)
            return (
                leader.members_index <= leader.commit_index
                and member.incarnation == replica.incarnation
                and not member.is_voter
            )

        def holds_log():
            return (
                is_learner()
                and replica.storage.last_index == leader.storage.last_index
            )

        moments = {
            'has been admitted': is_learner,
            'has been admitted as all know': lambda: (
                is_learner() and all_know_members(group)
            ),
            'holds the log': holds_log,
            'holds the log as all know': lambda: (
                holds_log() and all_know_members(group)
            ),
        }
        release = None
        if moment.endswith('as all know'):
            release = hold_back(group, vm, moment.startswith('holds'))
        await wait_in_steps(group, moments[moment], RECOVERY_SECONDS)
        if release is not None:
            release()
        assert len(leader.members.voters) == context.count - 1
        context.vm = vm

    add_part(context, lose_disk)


def other_followers(context, group):
    """Returns the followers but ``context.vm``, those with whole disks first.

    ``context.vms`` are those whose disks were lost, if several were.
    """
    lost = getattr(context, 'vms', ())
    others = [vm for vm in followers(group) if vm != context.vm]
    return sorted(others, key=lambda vm: vm in lost)


@behave.given('each sync takes {seconds:g} s')
def set_sync_seconds(context, seconds):
    async def slow_down(group):
        group.sync_seconds = seconds
        for disk in group.disks.values():
            disk.sync_seconds = seconds

    add_part(context, slow_down)


@behave.when('at once two followers lose their disks')
def plan_two_lost(context):
    async def lose_two(group):
        context.vms = followers(group)[:2]
        context.vm = context.vms[0]
        await lose_disks(group, context.vms)

    add_part(context, lose_two)


@behave.when('{seconds:g} s after their start a command is acknowledged')
def plan_acknowledgement(context, seconds):
    async def wait_for_acknowledgement(group):
        await advance_with_load(group, seconds)
        count = len(group.acknowledged)
        propose_everywhere(group)
        await wait_in_steps(
            group, lambda: len(group.acknowledged) > count, RECOVERY_SECONDS
        )

    add_part(context, wait_for_acknowledgement)


@behave.when('both are learners that hold the log')
def plan_two_learners(context):
    async def wait_for_admissions(group):
        leader = group.leader()
        describe_group = leader.describe_group
        # Nobody is promoted before both are admitted.
        leader.describe_group = lambda: dataclasses.replace(
            describe_group(), ready=frozenset()
        )
        learners = [group.replicas[vm] for vm in context.vms]
        await wait_in_steps(
            group,
            lambda: (
                all_know_members(group)
                and all(
                    leader.is_current_member(one.vm, one.incarnation)
                    and one.storage.last_index == leader.storage.last_index
                    for one in learners
                )
            ),
            RECOVERY_SECONDS,
        )
        assert not set(context.vms) & set(leader.members.voters)

    add_part(context, wait_for_admissions)


@behave.when('one of them has just been promoted')
def plan_promotion(context):
    async def wait_for_promotion(group):
        leader = group.leader()
        survivors = [context.vms[0], other_followers(context, group)[1]]
        describe_group = replicas.Replica.describe_group
        # The other one is not promoted next.
        leader.describe_group = lambda: dataclasses.replace(
            describe_group(leader), ready=frozenset([context.vm])
        )

        def is_held():
            return leader.members.get(context.vm).is_voter and all(
                group.replicas[vm].members == leader.members
                for vm in survivors
            )

        await wait_in_steps(group, is_held, RECOVERY_SECONDS)
        assert not any(
            group.replicas[vm].are_members_committed for vm in survivors
        )
        assert len(leader.members.voters) == 4

    add_part(context, wait_for_promotion)


@behave.when('that command is acknowledged')
def plan_command_check(context):
    async def check(group):
        content = f'command {group.proposed}'.encode()
        assert content in group.acknowledged, group.acknowledged

    add_part(context, check)


@behave.given('a control group of 3 founders and two VMs that joined')
def set_founders(context):
    set_count(context, 3)

    async def grow(group):
        # As on the platform, where only the first start may form a group.
        group.may_bootstrap = False
        for vm in ('d', 'e'):
            group.add(vm)
        await wait_for(
            group,
            lambda: len(group.leader().members.voters) == 5,
            RECOVERY_SECONDS,
        )

    add_part(context, grow)


@behave.when(
    'a founder loses its disk, and the others when all know its admission and'
    ' lose power'
)
def plan_founders_lost(context):
    async def lose_founders(group):
        leader = group.leader()
        vm = next(one for one in group.founders if one != leader.vm)
        await lose_disks(group, [vm])
        replica = group.replicas[vm]
        hold_back(group, vm, is_stored=True)
        await wait_in_steps(
            group,
            lambda: (
                leader.is_current_member(vm, replica.incarnation)
                and all_know_members(group)
            ),
            RECOVERY_SECONDS,
        )
        assert vm not in leader.members.voters
        others = [one for one in group.founders if one != vm]
        assert leader.vm in others
        for one in group.vms:
            group.crash(one)
        for one in others:
            group.lose_disk(one)
        await group.advance(RESTART_SECONDS)
        for one in group.vms:
            group.start(one)

    add_part(context, lose_founders)


@behave.when(
    'two followers lose their disks, and {moment} that both are admitted'
)
def plan_admissions(context, moment):
    async def lose_two_disks(group):
        leader = group.leader()
        vms = followers(group)[-2:]
        # Neither is promoted yet, as with slow disks.
        kept = membership.next_members
        membership.next_members = lambda view: kept(
            dataclasses.replace(view, ready=frozenset())
        )
        try:
            for vm in vms:
                group.crash(vm)
                group.lose_disk(vm)
            for disk in group.disks.values():
                disk.sync_seconds = SYNC_SECONDS
            await group.advance(RESTART_SECONDS)
            for vm in vms:
                group.start(vm)
            await wait_in_steps(
                group,
                lambda: (
                    all(
                        leader.is_current_member(
                            vm, group.replicas[vm].incarnation
                        )
                        for vm in vms
                    )
                    and leader.members_index <= leader.commit_index
                    and (
                        moment == 'the leader knows' or all_know_members(group)
                    )
                ),
                RECOVERY_SECONDS,
            )
        finally:
            membership.next_members = kept
        before = leader.members_at(leader.members_index - 1)
        (context.vm,) = (
            vm
            for vm in vms
            if before.get(vm).incarnation == leader.members.get(vm).incarnation
        )
        assert not {*vms} & {*leader.members.voters}

    add_part(context, lose_two_disks)


@behave.when(
    'the leader and the learner admitted first lose their disks {power}'
)
def plan_copies_lost(context, power):
    async def lose_copies(group):
        lost = [group.leader().vm, context.vm]
        stopped = lost if power == 'alone' else group.vms
        for vm in stopped:
            group.crash(vm)
        for vm in lost:
            group.lose_disk(vm)
        await group.advance(RESTART_SECONDS)
        for vm in stopped:
            group.start(vm)

    add_part(context, lose_copies)


@behave.when('the leader stops while the other voters sync in {seconds:g} s')
def plan_slow_voters(context, seconds):
    async def stop_leader(group):
        # The learner is not promoted meanwhile.
        kept = membership.next_members
        membership.next_members = lambda view: kept(
            dataclasses.replace(view, ready=frozenset())
        )
        try:
            leader = group.leader()
            for vm in leader.members.voters:
                group.disks[vm].sync_seconds = seconds
            before = len(group.acknowledged)
            group.propose(leader.vm)
            await wait_in_steps(
                group,
                lambda: len(group.acknowledged) > before,
                RECOVERY_SECONDS,
            )
            await group.advance(1)
            group.retire(group.leader().vm)
        finally:
            membership.next_members = kept

    add_part(context, stop_leader)


@behave.when('that learner is gone for {seconds:g} s')
def plan_learner_gone(context, seconds):
    async def crash(group):
        group.crash(context.vm)
        await advance_with_load(group, seconds)

    add_part(context, crash)


@behave.when('it returns')
def plan_learner_back(context):
    async def start(group):
        assert group.leader().members.get(context.vm) is None
        group.start(context.vm)

    add_part(context, start)


@behave.when('at that moment {which} lose their disks alone')
def plan_half_lost(context, which):
    async def lose_half(group):
        leader = group.leader().vm
        others = other_followers(context, group)
        await lose_disks(
            group,
            {
                'the leader and a follower': [leader, others[0]],
                'two followers': others[:2],
            }[which],
        )

    add_part(context, lose_half)


@behave.when(
    'at that moment {which} lose their disks and all others lose power'
)
def plan_half_lost_without_power(context, which):
    async def lose_half(group):
        leader = group.leader().vm
        others = other_followers(context, group)
        await lose_disks_with_power(group, [leader, others[0]])

    assert which == 'the leader and a follower'
    add_part(context, lose_half)


@behave.when(
    'only the leader, that learner and one more commit its promotion and a'
    ' command'
)
def plan_hidden_promotion(context):
    async def promote(group):
        leader = group.leader()
        replica = group.replicas[context.vm]
        others = [vm for vm in followers(group) if vm != context.vm]
        context.lost = [leader.vm, others[0]]
        cut_off = others[1:]
        await wait_in_steps(
            group,
            lambda: all(
                group.replicas[vm].members == leader.members for vm in cut_off
            ),
            RECOVERY_SECONDS,
        )
        assert context.vm not in leader.members.voters
        group.network.cut(cut_off, [*context.lost, context.vm])
        await wait_in_steps(
            group,
            lambda: (
                context.vm in replica.members.voters
                and leader.commit_index >= leader.members_index
            ),
            RECOVERY_SECONDS,
        )
        before = len(group.acknowledged)
        group.propose(leader.vm)
        await wait_in_steps(
            group, lambda: len(group.acknowledged) > before, RECOVERY_SECONDS
        )

    add_part(context, promote)


@behave.when('a follower loses its disk, and its promotion does not reach it')
def plan_lost_promotion(context):
    async def lose_promotion(group):
        vm = context.vm = followers(group)[0]
        await lose_disks(group, [vm])
        replica = group.replicas[vm]
        handlers = group.network.handlers[vm]
        deliver = handlers['replica.g.append']

        async def handle(peer, message):
            for packed in message[4]:
                entry = entries.Entry.unpack(packed)
                if entry.kind is entries.EntryKind.MEMBERSHIP:
                    members = entries.Members.unpack(
                        msgpack.unpackb(entry.content)
                    )
                    member = members.get(vm)
                    if member.is_voter and (
                        member.incarnation == replica.incarnation
                    ):
                        await anyio.sleep_forever()
            return await deliver(peer, message)

        handlers['replica.g.append'] = handle
        release = hold_back(group, vm, is_stored=True)
        leader = group.leader()
        await wait_in_steps(
            group,
            lambda: (
                leader.is_current_member(vm, replica.incarnation)
                and all_know_members(group)
            ),
            RECOVERY_SECONDS,
        )
        assert vm not in leader.members.voters
        release()

    add_part(context, lose_promotion)


@behave.when('only the leader, that learner and one more hold a command')
def plan_command_of_three(context):
    async def propose(group):
        leader = group.leader().vm
        others = other_followers(context, group)
        context.lost = [leader, others[0]]
        group.network.cut(others[1:], [*context.lost, context.vm])
        group.propose(leader)
        await group.advance(COMMIT_SECONDS)

    add_part(context, propose)


@behave.when('at that moment the leader and that one lose their disks')
def plan_promoters_lost(context):
    async def lose(group):
        for vm in context.lost:
            group.crash(vm)
            group.lose_disk(vm)
        group.network.heal()
        await group.advance(RESTART_SECONDS)
        for vm in context.lost:
            group.start(vm)

    add_part(context, lose)


@behave.when(
    'two voters are added while a candidate waits for its disk after its'
    ' pre-vote'
)
def plan_members_after_pre_vote(context):
    async def add_voters(group):
        leader = group.leader()
        candidate, other = (group.replicas[vm] for vm in followers(group))
        context.vm = candidate.vm
        last = candidate.storage.last_index
        members, added = candidate.members, []
        for number, vm in enumerate(('d', 'e'), 1):
            members = members.with_member(entries.Member(vm, 'i', True))
            content = msgpack.packb(members.pack())
            kind = entries.EntryKind.MEMBERSHIP
            added.append(
                entries.Entry(last + number, leader.term, kind, content).pack()
            )
        message = [
            leader.term,
            leader.vm,
            last,
            candidate.storage.term_at(last),
            added,
            last,
        ]
        group.network.cut([leader.vm], [candidate.vm, other.vm])
        # It does not stand itself.
        other.last_contact_at = group.timers.now() + 1000
        was_added = False

        async def write_slowly():
            async with candidate.lock_storage():
                await group.timers.sleep(2)

        vote = group.network.handlers[other.vm]['replica.g.vote']

        async def vote_late(peer, vote_request):
            nonlocal was_added
            reply = await vote(peer, vote_request)
            if not was_added:
                was_added = True
                group.tasks.start_soon(write_slowly)
                await group.timers.sleep(STEP_SECONDS)
                group.tasks.start_soon(candidate.on_append, leader.vm, message)
            return reply

        group.network.handlers[other.vm]['replica.g.vote'] = vote_late

    add_part(context, add_voters)


@behave.when('a candidate discards its state while others refuse their votes')
def plan_discard_in_pre_vote(context):
    async def discard(group):
        vm = followers(group)[0]
        candidate = group.replicas[vm]
        has_discarded = False

        def refuse(other):
            vote = group.network.handlers[other]['replica.g.vote']

            async def handle(peer, message):
                nonlocal has_discarded
                if peer != vm or has_discarded:
                    return await vote(peer, message)
                await startup.discard_state(candidate, other, 'a test')
                has_discarded = True
                return [candidate.term, False, 'i']

            group.network.handlers[other]['replica.g.vote'] = handle

        for one in group.vms:
            if one != vm:
                refuse(one)
        group.network.cut([group.leader().vm], [vm])
        await wait_in_steps(group, lambda: has_discarded, RECOVERY_SECONDS)
        group.network.heal()

    add_part(context, discard)


@behave.then('it does not lead with the votes of two')
def check_enough_votes(context):
    async def check(group):
        for part in context.parts:
            await part(group)
        replica = group.replicas[context.vm]
        for _ in range(round(RECOVERY_SECONDS / 0.25)):
            await group.timers.advance(0.25)
            assert not replica.is_leader, replica.last_votes
        assert len(replica.members.voters) == 5

    play(context, check)


@behave.when('the leader and a follower are cut off')
def plan_half_cut_off(context):
    async def cut_off(group):
        leader = group.leader().vm
        first, *others = followers(group)
        group.network.cut([leader, first], others)
        context.others = others

    add_part(context, cut_off)


@behave.then('the others elect no leader within {seconds:g} s')
def check_no_leader(context, seconds):
    async def check(group):
        for part in context.parts:
            await part(group)
        for _ in range(round(seconds / 0.25)):
            await group.advance(0.25)
            assert not any(
                group.replicas[vm].is_leader for vm in context.others
            )

    play(context, check)


def limit_rate(group, vm, rate):
    """Makes the messages to a replica take as long as their bytes need."""
    free_at = 0.0

    def limited(handler):
        async def handle(peer, message):
            nonlocal free_at
            now = group.timers.now()
            free_at = max(now, free_at) + len(msgpack.packb(message)) / rate
            await group.timers.sleep(free_at - now)
            return await handler(peer, message)

        return handle

    handlers = group.network.handlers[vm]
    for method in ('replica.g.append', 'replica.g.snapshot'):
        handlers[method] = limited(handlers[method])


async def commit_large(group, count, size):
    leader = group.leader()
    for number in range(count):
        command = f'large {number} '.encode().ljust(size, b'-')
        group.tasks.start_soon(leader.propose, command)
    await wait_for(
        group,
        lambda: (
            leader.commit_index == leader.storage.last_index
            and leader.commit_index >= count
        ),
        RECOVERY_SECONDS,
    )


@behave.when('{count:d} commands of {size:d} bytes are committed')
def plan_large_commands(context, count, size):
    add_part(context, lambda group: commit_large(group, count, size))


@behave.when(
    '{count:d} commands of {size:d} bytes are committed and compacted'
)
def plan_large_snapshot(context, count, size):
    async def compact(group):
        await commit_large(group, count, size)
        kept = replicas.SNAPSHOT_AFTER_ENTRIES
        replicas.SNAPSHOT_AFTER_ENTRIES = 1
        try:
            await group.leader().take_snapshot()
        finally:
            replicas.SNAPSHOT_AFTER_ENTRIES = kept
        assert group.leader().storage.base_index >= count

    add_part(context, compact)


@behave.when(
    'a follower loses its disk, and then receives {rate:d} bytes per second'
)
def plan_slow_link(context, rate):
    async def lose_disk(group):
        vm = followers(group)[0]
        await lose_disks(group, [vm])
        limit_rate(group, vm, rate)
        context.vm = vm

    add_part(context, lose_disk)


@behave.when('each fourth {part} of a snapshot that is sent to it is lost')
def plan_lost_chunks(context, part):
    async def lose_chunks(group):
        handlers = group.network.handlers[context.vm]
        deliver = handlers['replica.g.snapshot']
        numbers = itertools.count(1)

        async def handle(peer, message):
            is_lost = next(numbers) % 4 == 0
            if is_lost and part == 'chunk':
                await anyio.sleep_forever()
            reply = await deliver(peer, message)
            if is_lost:
                await anyio.sleep_forever()
            return reply

        handlers['replica.g.snapshot'] = handle

    add_part(context, lose_chunks)


@behave.then('it votes within {seconds:g} s')
def check_votes_in_time(context, seconds):
    async def wait_for_vote(group):
        replica = group.replicas[context.vm]

        def has_vote():
            member = group.leader().members.get(context.vm)
            return member.is_voter and member.incarnation == (
                replica.incarnation
            )

        await wait_for(group, has_vote, seconds)

    add_part(context, wait_for_vote)


@behave.when(
    'the leader and all other voters but one lose their disks, and {who}'
    ' finds that learner'
)
def plan_named_leader_lost(context, who):
    async def lose(group):
        leader, learner = group.leader().vm, context.vm
        await wait_in_steps(
            group,
            lambda: group.replicas[learner].leader == leader,
            RECOVERY_SECONDS,
        )
        context.leader = leader
        # Each VM finds only the peers that it knows from its settings.
        lost = [leader, *followers_without(group, learner)[:2]]
        for vm in lost:
            group.crash(vm)
            group.lose_disk(vm)
        finder = leader if who == 'the former leader' else lost[1]
        if finder != leader:
            group.network.cut([leader], [learner])
        for vm in lost:
            group.start(vm)

    add_part(context, lose)


def followers_without(group, learner):
    return [vm for vm in followers(group) if vm != learner]


@behave.then(
    'that learner names no leader within {seconds:g} s, and no VM asks a lost'
    ' one any more'
)
def check_lost_leader_forgotten(context, seconds):
    async def check(group):
        for part in context.parts:
            await part(group)
        learner = group.replicas[context.vm]
        await wait_for(group, lambda: learner.leader is None, seconds)
        group.network.calls.clear()
        await group.advance(seconds)
        assert learner.leader is None, learner.leader
        assert group.network.calls['replica.g.join'] == 0, group.network.calls

    play(context, check)


def has_all_votes(group, vm):
    """Returns whether a VM counts itself and all others as voters."""
    replica = group.replicas[vm]
    return replica.members.voters == sorted(
        group.vms
    ) and replica.is_current_member(vm, replica.incarnation)


@behave.when(
    '{which} lose their disks at once while each sync takes {seconds:g} s'
)
def plan_slow_syncs(context, which, seconds):
    def slow_down(group, vms):
        for vm in vms:
            group.disks[vm].sync_seconds = seconds
            group.disks[vm].syncs_folder = True

    async def lose_at_once(group):
        slow_down(group, group.vms)
        context.vms = choose(group, which)
        for vm in context.vms:
            group.crash(vm)
            group.lose_disk(vm)
        slow_down(group, context.vms)
        await advance_with_load(group, RESTART_SECONDS)
        for vm in context.vms:
            group.start(vm)

    add_part(context, lose_at_once)


@behave.then('they vote within {seconds:g} s of their start')
def check_votes_after_start(context, seconds):
    async def check(group):
        for part in context.parts:
            await part(group)
        await wait_in_steps(
            group,
            lambda: all(has_all_votes(group, vm) for vm in context.vms),
            seconds,
        )
        await check_recovery(group)

    play(context, check)


@behave.when(
    'a follower loses its disk and starts again while another is silent'
)
def plan_silent_peer(context):
    async def start_beside_silent(group):
        vm, *others = followers(group)
        leader = group.leader()
        group.crash(vm)
        group.lose_disk(vm)
        await group.advance(RESTART_SECONDS)
        group.network.cut(others[:1], group.vms)
        group.start(vm)
        replica = group.replicas[vm]
        context.seconds = await wait_for(
            group,
            lambda: replica.role is roles.Role.FOLLOWER,
            RECOVERY_SECONDS,
        )
        assert leader.is_current_member(vm, replica.incarnation)

    context.play = start_beside_silent


@behave.then('it is admitted before a call to the silent one has ended')
def check_admitted_early(context):
    play(context, context.play)
    assert context.seconds < replication_timing.CALL_TIMEOUT_SECONDS


@behave.then('the status of the leader names that learner and why it waits')
def check_waiting(context):
    async def check(group):
        for part in context.parts:
            await part(group)
        leader = group.leader()
        waiting = status.waiting_learners(leader)
        assert list(waiting) == [context.vm], waiting
        assert waiting[context.vm]['waits'], waiting
        replica = group.replicas[context.vm]
        assert waiting[context.vm]['incarnation'] == replica.incarnation
        assert status.describe(leader)['waiting'] == waiting

    context.play = check
    play(context, check)


@behave.then('one voter is missing until it votes')
def check_missing(context):
    async def check(group):
        await context.play(group)
        leader = group.leader()
        assert status.missing_voters(leader) == 1
        assert status.copies(leader) == 4
        await wait_in_steps(
            group,
            lambda: context.vm in leader.members.voters,
            RECOVERY_SECONDS,
        )
        assert status.missing_voters(leader) == 0
        assert status.copies(leader) == 5
        assert status.waiting_learners(leader) == {}

    play(context, check)


# Planned stops.

LEAVE_SECONDS = 2.0


async def stop_vm(group, vm):
    """Stops a VM as on SIGTERM, and returns how long that took."""
    done = anyio.Event()
    started_at = group.timers.now()

    async def leave():
        await departure.leave(group.replicas[vm], LEAVE_SECONDS)
        done.set()

    group.tasks.start_soon(leave)
    await wait_for(group, done.is_set, LEAVE_SECONDS + 0.5)
    return group.timers.now() - started_at


@behave.when(
    '{count:d} VMs in a row are stopped 4 s after the start of a successor,'
    ' beginning with {which}'
)
def plan_stops(context, count, which):
    async def stop(group):
        for number in range(count):
            chosen = which if number == 0 else 'a follower'
            vm = choose(group, chosen)[0]
            successor = f'{vm[0]}{len(vm)}{group.proposed}'
            group.add(successor)
            replace_seeds(group)
            await advance_with_load(group, CATCH_UP_SECONDS - 1)
            await stop_vm(group, vm)
            group.retire(vm)
            replace_seeds(group)

    add_part(context, stop)


@behave.when('at once, {which} lose their disks')
def plan_disks_lost_at_once(context, which):
    add_part(context, lambda group: lose_disks(group, choose(group, which)))


@behave.when('{which} is stopped without a successor')
def plan_stop(context, which):
    async def stop(group):
        vm = choose(group, which)[0]
        before = len(group.acknowledged)
        context.stop_seconds = await stop_vm(group, vm)
        group.retire(vm)
        context.seconds = context.stop_seconds + await wait_for_command(
            group, before
        )

    context.parts = [stop]


async def wait_for_command(group, before):
    waited = 0.0
    while len(group.acknowledged) == before:
        assert waited < RECOVERY_SECONDS, describe(group)
        propose_everywhere(group)
        await group.advance(0.05)
        waited += 0.05
    return waited


@behave.then(
    '{count:d} VMs vote, and a command is acknowledged within {seconds:g} s of'
    ' the stop'
)
def check_stop(context, count, seconds):
    async def check(group):
        await context.parts[0](group)
        voters = group.leader().members.voters
        assert len(voters) == count, voters
        assert context.seconds <= seconds, context.seconds

    play(context, check)


@behave.when('a follower is stopped that the leader does not understand')
def plan_stop_with_old_leader(context):
    async def stop(group):
        del group.network.handlers[group.leader().vm]['replica.g.leave']
        context.stop_seconds = await stop_vm(group, followers(group)[0])

    context.play = stop


@behave.then('the stop ends within {seconds:g} s')
def check_stop_seconds(context, seconds):
    play(context, context.play)
    assert context.stop_seconds <= seconds, context.stop_seconds


# Malformed replies.


def reply_always(group, vm, method, reply):
    async def handle(peer, message):
        return orjson.loads(reply)

    group.network.handlers[vm][f'replica.g.{method}'] = handle


@behave.when('a follower replies to {method} with {reply}')
def plan_malformed_replies(context, method, reply):
    async def act(group):
        vm = followers(group)[0]
        context.peer = vm
        reply_always(group, vm, method, reply)
        # The next leader asks it for its vote and sends it entries.
        group.crash(group.leader().vm)
        await advance_with_load(group, 10)
        # Another replica asks it at its start.
        other = next(one for one in followers(group) if one != vm)
        group.crash(other)
        group.lose_disk(other)
        group.start(other)
        await advance_with_load(group, 5)
        # With an empty disk, it is sent a snapshot.
        group.crash(vm)
        group.lose_disk(vm)
        group.start(vm)
        reply_always(group, vm, method, reply)
        await advance_with_load(group, 10)
        assert len(group.replicas) == 4, describe(group)
        assert not group.failures, group.failures
        await wait_for_command(group, len(group.acknowledged))

    context.play = act


@behave.then('no replica ends while disks are lost and leaders change')
def check_none_ends(context):
    messages = []
    eliot.add_destinations(messages.append)
    try:
        play(context, context.play)
    finally:
        eliot.remove_destination(messages.append)
    context.messages = messages


@behave.then('the log names that peer and {method}')
def check_malformed_reply_logged(context, method):
    lines = [
        one
        for one in context.messages
        if one.get('message_type') == 'replica:malformed_reply'
    ]
    assert lines
    for one in lines:
        assert (one['peer'], one['method']) == (context.peer, method), one
        assert one['reason']


@behave.when('a peer asks the leader to admit {member}')
def plan_malformed_join(context, member):
    async def ask(group):
        leader = group.leader()
        before = leader.members
        outcomes = []

        async def join():
            try:
                await group.network.mesh(followers(group)[0]).call(
                    leader.vm, 'replica.g.join', orjson.loads(member), 1.0
                )
            except errors.GatewayError as error:
                outcomes.append(error)

        group.tasks.start_soon(join)
        await advance_with_load(group, 5)
        assert len(outcomes) == 1, outcomes
        assert isinstance(outcomes[0], errors.PeerProtocolError), outcomes
        assert group.leader().members == before, describe(group)

    context.play = ask


@behave.then('it gets a protocol error, and the members stay as they were')
def check_join_refused(context):
    play(context, context.play)


@behave.when('a follower is stopped whose leader replies with {reply}')
def plan_stop_with_malformed_reply(context, reply):
    async def stop(group):
        reply_always(group, group.leader().vm, 'leave', reply)
        context.stop_seconds = await stop_vm(group, followers(group)[0])

    context.play = stop


# Models that are searched exhaustively.


def promote_always(view):
    if view.ready:
        voter = entries.Member(min(view.ready), 'i', True)
        return view.members.with_member(voter)
    return membership.next_members(view)


def remove_always(view):
    silent = [
        vm
        for vm, seconds in view.silences.items()
        if seconds >= membership.SILENT_VOTER_SECONDS
        and vm in view.members.voters
    ]
    if silent:
        return view.members.without(min(silent))
    return membership.next_members(view)


def remove_never(view):
    members = membership.next_members(view)
    if members and len(members.voters) < len(view.members.voters):
        return None
    return members


WRONG_DECISIONS = {
    'a learner is promoted while a dead voter counts': promote_always,
    'a silent voter is removed from any number': remove_always,
    'a silent voter is never removed': remove_never,
}


def settled_without_own_term(own_term, is_pending, members_index, committed):
    return membership.is_settled(True, is_pending, members_index, committed)


def settled_while_pending(own_term, is_pending, members_index, committed):
    return own_term


def removed_if_uncommitted(members, is_committed, *others):
    return membership.is_removed(members, True, *others)


def removed_by_any_leader(members, is_committed, leader_term, *others):
    last_term = others[-1]
    return membership.is_removed(members, is_committed, last_term, *others)


WRONG_RULES = {
    'a change before an entry of the own term is committed': (
        membership_model.Rules(is_settled=settled_without_own_term)
    ),
    'two changes at once': (
        membership_model.Rules(is_settled=settled_while_pending)
    ),
    'a state is discarded on an uncommitted removal': (
        membership_model.Rules(is_removed=removed_if_uncommitted)
    ),
    'a state is discarded on the word of an earlier leader': (
        membership_model.Rules(is_removed=removed_by_any_leader)
    ),
}
# The smallest searches that find the mistakes.
SEARCHES = {
    'removals': {},
    'replicas that join': {
        'max_term': 2,
        'are_voters_added': True,
        'are_logs_wiped': True,
    },
    'changes of five': {
        'voter_count': 5,
        'max_term': 1,
        'are_voters_added': True,
    },
}


@behave.then(
    'each change of up to {voters:d} voters and {learners:d} learners'
    ' satisfies the rules'
)
def check_decisions(context, voters, learners):
    count = membership_model.check_decisions(
        membership.next_members, voters, learners
    )
    assert count > 1000, count


@behave.then('the check of all members finds this mistake: {mistake}')
def check_wrong_decision(context, mistake):
    try:
        membership_model.check_decisions(WRONG_DECISIONS[mistake])
    except membership_model.ViolationError:
        return
    raise AssertionError('the mistake was not found')


@behave.then('all schedules of {kind} satisfy the rules')
def check_schedules(context, kind):
    count = membership_model.search_schedules(
        membership_model.Rules(), **SEARCHES[kind]
    )
    assert count > 100, count


@behave.then('a schedule of {kind} is found for this mistake: {mistake}')
def check_wrong_rules(context, kind, mistake):
    try:
        membership_model.search_schedules(
            WRONG_RULES[mistake], **SEARCHES[kind]
        )
    except membership_model.ViolationError:
        return
    raise AssertionError('the mistake was not found')


def can_lead_without_learners(in_force, granted, *others):
    """As if only voters were asked."""
    learners = frozenset().union(
        *(one.ids - one.voter_ids for one in in_force)
    )
    return membership.can_lead_without(in_force, granted | learners, *others)


def can_lead_beside_replaced(in_force, *others):
    """As if a disk that was replaced since did not count as lost."""
    newest, *former = in_force
    replaced = {
        one
        for members in former
        for one in members.members
        if newest.get(one.vm) is not None
        and newest.get(one.vm).incarnation != one.incarnation
    }
    kept = [
        entries.Members(
            tuple(one for one in members.members if one not in replaced)
        )
        for members in former
    ]
    return membership.can_lead_without([newest, *kept], *others)


def can_lead_without_any(in_force, granted, empty, lost, max_lost_disks):
    """As if any number of disks might be lost."""
    voters = frozenset().union(*(one.voter_ids for one in in_force))
    members = frozenset().union(*(one.ids for one in in_force))
    return members <= granted | empty | lost and not voters & empty


def committed_by_votes(*arguments):
    return membership.committed_index(*arguments[:-1], 0)


def committed_with_new_learners(members, former, *others):
    """As if a learner were a copy before its admission is committed."""
    if former is not None:
        for one in members.members:
            if not one.is_voter:
                former = former.with_member(one)
    return membership.committed_index(members, former, *others)


def committed_by_majority(members, former, index, is_recovery, *others):
    """As if a majority of the voters could commit a recovery."""
    return membership.committed_index(members, former, index, False, *others)


def committed_by_former(members, former, index, is_recovery, held, losses):
    """As if entries after a change needed only the copies that it needs."""
    found = membership.committed_index(
        members, former, index, is_recovery, held, losses
    )
    if former is None or found < index:
        return found
    common = entries.Members(
        tuple(one for one in members.members if one in former.members)
    )
    return membership.committed_index(common, None, index, False, held, losses)


WRONG_ELECTIONS = {
    'a commit needs no copies': {'committed_index': committed_by_votes},
    'the learners are not asked': {
        'can_lead_without': can_lead_without_learners
    },
    'the former members are not asked': {'are_preceding_asked': False},
    'a member that joined again does not count': {
        'can_lead_without': can_lead_beside_replaced
    },
    'a silent member counts as lost': {'is_loss_proved': False},
    'more disks may be lost': {'can_lead_without': can_lead_without_any},
    'a learner is a copy before its admission is committed': {
        'committed_index': committed_with_new_learners
    },
    'copies among the former members are enough': {
        'committed_index': committed_by_former
    },
    'a majority commits a recovery': {
        'committed_index': committed_by_majority
    },
    'a recovery has the next term': {'are_recovery_terms_apart': False},
    'an earlier release led and is not noticed': {
        'old_term': 2,
        'are_old_terms_noticed': False,
    },
    'an earlier release led since': {'old_term': 3},
}
Limits = lost_disk_model.Limits
make_start = lost_disk_model.make_start
# The disks that may be lost, the start, and the limits of the search.
LOST_DISK_SEARCHES = {
    'two voters': (1, make_start(2, 0), Limits(2, 2, 5)),
    'three voters': (1, make_start(3, 0), Limits(2, 2, 4)),
    'three voters and a learner': (2, make_start(3, 1), Limits(1, 2, 4)),
    'three voters, a learner and a new VM': (
        2,
        make_start(3, 1, 1),
        Limits(1, 2, 3),
    ),
    'three voters, two learners and a command': (
        2,
        make_start(3, 2, commands=1),
        Limits(1, 2, 3),
    ),
    'four voters, one promoted, and a learner': (
        2,
        make_start(4, 1, is_promoting=True),
        Limits(1, 2, 3),
    ),
    'five voters of which three are lost': (
        2,
        make_start(5, 0),
        Limits(1, 3, 3),
    ),
    'a recovery with three of five': (
        2,
        lost_disk_model.make_recovered(3, 2, 2),
        Limits(2, 2, 3),
    ),
    # Large, so only for mistakes that are found early.
    'three voters that are lost in turn': (
        2,
        make_start(3, 0),
        Limits(2, 3, 4),
    ),
    'two elections of three voters and a learner': (
        2,
        make_start(3, 1),
        Limits(2, 2, 3),
    ),
    'two elections of three voters and two learners': (
        2,
        make_start(3, 2),
        Limits(2, 2, 2),
    ),
    'four silent voters': (2, make_start(4, 0), Limits(2, 0, 3)),
    'three lost disks and a command': (
        2,
        make_start(3, 2, commands=1),
        Limits(1, 3, 3),
    ),
    'a recovery with two of four': (
        2,
        lost_disk_model.make_recovered(4, 0, 2),
        Limits(1, 4, 4, commands=1, has_partial_sends=True),
    ),
    # Without elections in the search: each state is asked for one.
    'losses of four voters and a learner': (
        2,
        make_start(4, 1, is_promoting=True),
        Limits(0, 2, 4),
    ),
    'losses of three voters and two learners': (
        2,
        make_start(3, 2, commands=1),
        Limits(0, 2, 3),
    ),
    'changes and losses of three voters and two learners': (
        2,
        make_start(3, 2, commands=1),
        Limits(0, 2, 4),
    ),
    'losses of three voters and a learner': (
        2,
        make_start(3, 1),
        Limits(0, 2, 2),
    ),
    'losses of five voters': (2, make_start(5, 0), Limits(0, 2, 4)),
}


def search_lost_disks(group, visit=None, **mistake):
    max_lost_disks, *arguments = LOST_DISK_SEARCHES[group]
    rules = lost_disk_model.Rules(max_lost_disks=max_lost_disks, **mistake)
    return lost_disk_model.search(rules, *arguments, visit=visit)


def search_outages(group, **mistake):
    """Returns how many states are reached, and those without a way out."""
    rules = lost_disk_model.Rules(**mistake)
    stuck = []

    def visit(state):
        if not lost_disk_model.can_heal(state, rules):
            stuck.append(state)

    return search_lost_disks(group, visit, **mistake), stuck


@behave.then('the search of lost disks with {group} satisfies the rules')
def check_lost_disks(context, group):
    count = search_lost_disks(group)
    assert count > 500, count


@behave.then(
    'the search of lost disks with {group} finds this mistake: {mistake}'
)
def check_wrong_election(context, group, mistake):
    try:
        search_lost_disks(group, **WRONG_ELECTIONS[mistake])
    except lost_disk_model.ViolationError:
        return
    raise AssertionError('the mistake was not found')


@behave.then('a leader can be elected after all {group}')
def check_way_out(context, group):
    count, stuck = search_outages(group)
    assert count > 10, count
    assert not stuck, stuck[0]


@behave.then('none can be elected after some {group} if no learner stands')
def check_learners_needed(context, group):
    _, stuck = search_outages(group, can_learners_stand=False)
    assert stuck


# Voters that lag.


@behave.when(
    'the only VM with the newest entry is unknown to a voter that lags'
)
def plan_unknown_candidate(context):
    async def lose_two_disks(group):
        first = group.leader().vm
        second, third, lagging, replaced = followers(group)
        group.retire(replaced)
        await group.advance(2)
        group.network.cut([lagging], [first, second, third, 'x'])
        group.founders = (*group.vms, 'x')
        group.add('x')

        def is_exchanged():
            voters = group.leader().members.voters
            return 'x' in voters and replaced not in voters

        await wait_for(group, is_exchanged, 4)
        await group.advance(0.3)
        group.network.cut([third], [first, second, 'x'])
        await group.propose_and_wait()
        for vm in (first, second):
            group.crash(vm)
            group.lose_disk(vm)
        group.network.heal()
        await group.advance(2)
        for vm in (first, second):
            group.start(vm)
        await wait_for(group, lambda: group.leader() is not None, 12)
        await group.propose_and_wait()
        await group.advance(5)
        for vm, machine in group.machines.items():
            if vm in group.replicas:
                lost = set(group.acknowledged) - set(machine.applied)
                assert not lost, (vm, lost)

    context.play = lose_two_disks


@behave.then('a leader is elected and no acknowledged command is lost')
def check_elected(context):
    play(context, context.play)


@behave.when('all replicas start again with a snapshot that lacks commands')
def plan_old_snapshots(context):
    async def restart_all(group):
        for _ in range(30):
            await group.propose_and_wait()
        for vm in list(group.replicas):
            group.crash(vm)
        await group.advance(1)
        for vm in group.vms:
            group.start(vm)
        for _ in range(800):
            await group.timers.advance(0.01)
            for vm, replica in group.replicas.items():
                missing = set(group.acknowledged) - set(
                    group.machines[vm].applied
                )
                assert not (replica.is_caught_up and missing), vm
        assert all(one.is_caught_up for one in group.replicas.values())

    async def restart_with_snapshots(group):
        kept = replicas.SNAPSHOT_AFTER_ENTRIES
        replicas.SNAPSHOT_AFTER_ENTRIES = 20
        try:
            await restart_all(group)
        finally:
            replicas.SNAPSHOT_AFTER_ENTRIES = kept

    context.play = restart_with_snapshots


@behave.then('none that lacks a command counts as caught up')
def check_caught_up(context):
    play(context, context.play)


@behave.when('a follower with a snapshot starts while its disk takes no bytes')
def plan_full_start(context):
    async def start_full(group):
        empty = group.machines[followers(group)[0]].__class__().save()
        vm = followers(group)[0]
        group.crash(vm)
        group.disks[vm].fill(1.0)
        group.start(vm)
        await group.advance(5)
        replica = group.replicas[vm]
        assert replica.is_loaded and replica.storage.snapshot is not None
        assert replica.initial_state == empty, replica.initial_state

    async def start_with_snapshots(group):
        kept = replicas.SNAPSHOT_AFTER_ENTRIES
        replicas.SNAPSHOT_AFTER_ENTRIES = 1
        try:
            await group.propose_and_wait()
            await group.propose_and_wait()
            await start_full(group)
        finally:
            replicas.SNAPSHOT_AFTER_ENTRIES = kept

    context.play = start_with_snapshots


@behave.then('its state machine is reset to the empty state')
def check_empty_state(context):
    play(context, context.play)
