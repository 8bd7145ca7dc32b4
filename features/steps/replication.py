"""Steps for the replicated log and its files."""

import errno
import functools
import os
import pathlib
import random
import tempfile

import anyio
import behave
import hypothesis.strategies

from features import fakes
from features import schedules
from greengagegw.adapters import files
from greengagegw import errors
from greengagegw.fleet import timing as fleet_timing
from greengagegw.replication import election
from greengagegw.replication import entries
from greengagegw.replication import replica as replicas
from greengagegw.replication import roles
from greengagegw.replication import storage as log_storage

VMS = ('a', 'b', 'c', 'd', 'e')
# Half a round trip between regions.
REGION_DELAY_SECONDS = 0.055


def run(function, *arguments):
    """Runs an async function on an event loop of its own."""
    return anyio.run(functools.partial(function, *arguments))


async def elect_and_propose(group, count=5):
    await group.elect()
    for _ in range(count):
        await group.propose_and_wait()


def followers(group):
    leader = group.leader().vm
    return [vm for vm in group.vms if vm != leader and vm in group.replicas]


async def crash_leader(group):
    group.crash(group.leader().vm)


async def crash_two(group):
    follower = followers(group)[0]
    group.crash(group.leader().vm)
    group.crash(follower)


async def crash_all(group):
    for vm in group.vms:
        group.crash(vm)
    for vm in group.vms:
        group.start(vm)
    await group.advance(5)


async def disconnect(group, vm, seconds, one_way=''):
    others = [one for one in group.vms if one != vm]
    if one_way == 'out':
        group.network.cut([vm], others, one_way=True)
    elif one_way == 'in':
        group.network.cut(others, [vm], one_way=True)
    else:
        group.network.cut([vm], others)
    group.propose(vm)
    await group.advance(seconds)


async def lose_disk(group, vm):
    group.crash(vm)
    group.lose_disk(vm)
    group.start(vm)
    await group.advance(10)


async def lose_disk_then_crash(group):
    first, second = followers(group)
    await lose_disk(group, first)
    group.crash(second)


async def lose_two_disks(group):
    for vm in followers(group)[:2]:
        await lose_disk(group, vm)


async def restart_with_stale_disk(group, vm):
    """Restarts a replica with a copy of its disk from before its last start.

    Such a disk lacks entries that the replica has acknowledged since.
    """
    disk = group.disks[vm]
    saved = dict(disk.synced)
    group.crash(vm)
    group.start(vm)
    await group.advance(8)
    for _ in range(3):
        await group.propose_and_wait()
    group.crash(vm)
    disk.files, disk.synced = dict(saved), dict(saved)
    group.start(vm)
    await group.advance(10)


async def stale_disk_while_lagging(group):
    """Restores a disk that lacks entries that only it and the leader held.

    The third replica lags behind. If the stale disk were accepted, these two
    would form a majority without the acknowledged entries.
    """
    lagging, returning = followers(group)
    disk = group.disks[returning]
    saved = dict(disk.synced)
    group.crash(returning)
    group.start(returning)
    await group.advance(8)
    leader = await group.elect()
    lagging = next(vm for vm in group.vms if vm not in (leader.vm, returning))
    others = [vm for vm in group.vms if vm != lagging]
    group.network.cut([lagging], others)
    for _ in range(3):
        await group.propose_and_wait()
    leader = group.leader().vm
    group.crash(returning)
    disk.files, disk.synced = dict(saved), dict(saved)
    group.crash(leader)
    group.network.heal()
    group.start(returning)
    await group.advance(30)
    group.start(leader)
    await group.advance(30)


async def fail_disk(group, vm, step):
    group.disks[vm].failing_step = step
    group.propose(group.leader().vm)
    await group.advance(5)


async def miss_snapshot(group):
    vm = followers(group)[0]
    group.crash(vm)
    await take_snapshots(group)
    group.start(vm)
    await group.advance(10)


async def take_snapshots(group):
    for _ in range(3):
        await group.propose_and_wait()
    kept = replicas.SNAPSHOT_AFTER_ENTRIES
    replicas.SNAPSHOT_AFTER_ENTRIES = 1
    try:
        for _ in range(2):
            await group.propose_and_wait()
    finally:
        replicas.SNAPSHOT_AFTER_ENTRIES = kept
    assert any(one.storage.snapshot for one in group.replicas.values())


async def lose_disk_after_snapshot(group):
    await take_snapshots(group)
    await lose_disk(group, followers(group)[0])


async def suspend_all(group):
    # Time passes while none of the tasks of the suspended processes run.
    group.timers.time += 60
    await group.advance(1)


def set_fault(name):
    async def apply(group):
        setattr(group.network.faults, name, 0.33)
        for _ in range(10):
            if group.leader() is not None:
                group.propose(group.leader().vm)
            await group.advance(1)

    return apply


FAILURES = {
    'the leader crashes': crash_leader,
    'the leader and a follower crash': crash_two,
    'every replica crashes and starts again': crash_all,
    'the leader is cut off for 30 seconds': lambda group: disconnect(
        group, group.leader().vm, 30
    ),
    'the leader can send but not hear': lambda group: disconnect(
        group, group.leader().vm, 30, 'in'
    ),
    'the leader can hear but not send': lambda group: disconnect(
        group, group.leader().vm, 30, 'out'
    ),
    'a follower is cut off for 600 seconds': lambda group: disconnect(
        group, followers(group)[0], 600
    ),
    'a third of the messages is lost': set_fault('loss_rate'),
    'a third of the messages is doubled': set_fault('duplicate_rate'),
    'a third of the messages is late': set_fault('delay_rate'),
    'a follower loses its disk': lambda group: lose_disk(
        group, followers(group)[0]
    ),
    'the leader loses its disk': lambda group: lose_disk(
        group, group.leader().vm
    ),
    'a follower loses its disk and then another crashes': lose_disk_then_crash,
    'two followers lose their disks one after the other': lose_two_disks,
    'a follower comes back with an old disk': lambda group: (
        restart_with_stale_disk(group, followers(group)[0])
    ),
    'the leader comes back with an old disk': lambda group: (
        restart_with_stale_disk(group, group.leader().vm)
    ),
    'an old disk comes back while another lags': stale_disk_while_lagging,
    "the leader's disk fails to sync": lambda group: fail_disk(
        group, group.leader().vm, 'sync'
    ),
    "a follower's disk fails to sync": lambda group: fail_disk(
        group, followers(group)[0], 'sync'
    ),
    "the leader's disk fails to append": lambda group: fail_disk(
        group, group.leader().vm, 'append'
    ),
    'a follower misses a snapshot': miss_snapshot,
    'a follower loses its disk after a snapshot': lose_disk_after_snapshot,
    'all replicas are frozen for 60 seconds': suspend_all,
}


@behave.given('a group of {count:d} replicas with 5 acknowledged commands')
def plan_group(context, count):
    context.plan = [functools.partial(elect_and_propose, count=5)]
    context.count = count
    context.memory_replica_count = 0
    context.snapshot_after = replicas.SNAPSHOT_AFTER_ENTRIES
    context.timeouts = replicas.DEFAULT_TIMEOUTS
    context.delay_seconds = fakes.DELAY_SECONDS
    context.min_voters = replicas.MAX_MEMBERS


@behave.given(
    'a group of {count:d} replicas that may shrink to {least:d}, with 5'
    ' acknowledged commands'
)
def plan_shrinking_group(context, count, least):
    plan_group(context, count)
    context.min_voters = least


@behave.given(
    'a control group of {count:d} replicas in several regions with 5'
    ' acknowledged commands'
)
def plan_control_group(context, count):
    plan_group(context, count)
    context.timeouts = fleet_timing.CONTROL_TIMEOUTS
    context.delay_seconds = REGION_DELAY_SECONDS


@behave.given(
    'a group of {count:d} replicas that takes a snapshot every {every:d}'
    ' entries'
)
def plan_snapshots(context, count, every):
    plan_group(context, count)
    context.snapshot_after = every


@behave.when('this happens: {failure}')
def plan_failure(context, failure):
    context.plan.append(FAILURES[failure])


@behave.when('{count:d} commands are proposed')
def plan_commands(context, count):
    async def propose(group):
        for _ in range(count):
            group.propose(group.leader().vm)
            if group.proposed % 20 == 0:
                await group.advance(0.25)
        await group.advance(2)
        assert len(group.acknowledged) >= count

    context.plan.append(propose)


@behave.when(
    'power fails at each of the next {steps:d} write steps of {which}'
)
def plan_power_cuts(context, steps, which):
    async def cut_power(group):
        for step in range(steps):
            vms = {
                'the leader': lambda: [group.leader().vm],
                'a follower': lambda: followers(group)[:1],
                'all replicas': lambda: list(group.vms),
            }[which]()
            for vm in vms:
                group.disks[vm].steps_left = step
            for _ in range(4):
                if group.leader() is not None:
                    group.propose(group.leader().vm)
                await group.advance(0.5)
            for vm in vms:
                group.crash(vm)
                group.start(vm)
            await group.elect()

    context.plan.append(cut_power)


@behave.then('commands are acknowledged again')
def plan_proposals(context):
    async def propose(group):
        for _ in range(3):
            await group.propose_and_wait()

    context.plan.append(propose)


async def run_plan(context, last):
    memory_replicas = ('x', 'y')[: context.memory_replica_count]
    group = fakes.ReplicaGroup(
        VMS[: context.count],
        memory_replicas=memory_replicas,
        timeouts=context.timeouts,
        min_voters=context.min_voters,
    )
    group.network.delay_seconds = context.delay_seconds
    kept = replicas.SNAPSHOT_AFTER_ENTRIES
    replicas.SNAPSHOT_AFTER_ENTRIES = context.snapshot_after
    try:
        async with group.running():
            for part in context.plan:
                await part(group)
            await last(group)
    finally:
        replicas.SNAPSHOT_AFTER_ENTRIES = kept


@behave.then('after recovery every replica has all acknowledged commands')
def check_all(context):
    async def check(group):
        for vm in list(group.replicas):
            if group.replicas[vm].failure is not None:
                group.crash(vm)
        await group.converge()
        group.check_acknowledged()
        assert group.acknowledged

    run(run_plan, context, check)


@behave.when('the leader is disconnected and a command is proposed to it')
def plan_rejection(context):
    async def propose(group):
        leader = group.leader()
        context.errors = []

        async def propose_one():
            try:
                await leader.propose(b'x')
            except errors.ReplicationError as error:
                context.errors.append(error)

        group.network.cut(
            [leader.vm], [vm for vm in group.vms if vm != leader.vm]
        )
        group.tasks.start_soon(propose_one)
        await group.advance(10)
        context.is_leader = leader.is_leader

    context.plan.append(propose)


@behave.then('the command fails and the leader has stepped down')
def check_rejection(context):
    async def check(group):
        assert [one.code for one in context.errors] == ['leadership_lost']
        assert not context.is_leader

    run(run_plan, context, check)


@behave.when('a follower is disconnected for 600 seconds and then reconnected')
def plan_disconnect(context):
    async def disconnect_and_reconnect(group):
        context.term = group.leader().term
        await disconnect(group, followers(group)[0], 600)
        group.network.heal()
        await group.advance(20)

    context.plan.append(disconnect_and_reconnect)


@behave.then('the term has not increased')
def check_term(context):
    async def check(group):
        assert group.leader().term == context.term

    run(run_plan, context, check)


async def restart(group, vm):
    group.crash(vm)
    group.start(vm)
    # Long enough to hear from its peers, but too short for its election
    # timeout.
    await group.advance(1.25)


async def request_vote(group, voter, candidate, **changes):
    """Returns whether a voter grants its vote."""
    replica = group.replicas[voter]
    last = replica.storage.last_index
    asked = {
        'term': replica.term + 1,
        'vm': candidate,
        'incarnation': group.replicas[candidate].incarnation,
        'last': last,
        'last_term': replica.storage.term_at(last),
        **changes,
    }
    return (await replica.on_vote(candidate, [*asked.values(), False]))[1]


async def run_vote_case(group, kind):
    """Runs one case of voting and returns the last reply."""
    one, other = followers(group)
    voter, leader = one, group.leader().vm
    group.network.cut([leader], [one, other])
    if kind == 'a candidate while the leader is heard':
        return await request_vote(group, voter, other)
    # Makes the voter forget its leader; no time passes, so it does not
    # campaign itself.
    group.replicas[voter].last_contact_at = -1000.0
    last = group.replicas[voter].storage.last_index
    changes = {
        'a candidate of the next term with a shorter log': {'last': last - 1},
        'a candidate of the next term with an older last entry': {
            'last': last + 5,
            'last_term': 0,
        },
        'a candidate of an old term': {'term': 0},
        'a VM that is no member': {'vm': 'stranger'},
        'a member that has lost its disk': {'incarnation': 'new'},
    }.get(kind, {})
    reply = await request_vote(group, voter, other, **changes)
    if changes or kind.startswith('a candidate'):
        return reply
    assert reply
    term = group.replicas[voter].term
    if 'restart' in kind:
        await restart(group, voter)
        assert group.replicas[voter].role is roles.Role.FOLLOWER
    group.replicas[voter].last_contact_at = -1000.0
    candidate = other if kind.startswith('the same') else leader
    return await request_vote(group, voter, candidate, term=term)


@behave.then('a vote is {expected} to {kind}')
def check_vote(context, expected, kind):
    async def check(group):
        given = await run_vote_case(group, kind)
        assert given == (expected == 'given'), given

    run(run_plan, context, check)


@behave.when('an entry of an old term reaches a majority under a new leader')
def plan_old_term_entry(context):
    async def replicate_old_entry(group):
        old = group.leader()
        one, other = followers(group)
        group.network.cut([old.vm], [one, other])
        # The entry of the old leader reaches only one follower. That one
        # becomes the leader, while its locked storage keeps it from
        # appending an entry of its own term.
        entry = entries.Entry(
            old.storage.last_index + 1,
            old.term,
            entries.EntryKind.COMMAND,
            b'old',
        )
        new = group.replicas[one]
        await new.storage.append([entry])
        await new.storage_lock.acquire()
        await new.storage.save_meta(term=old.term + 1, voted_for=one)
        await new.become_leader()
        await group.advance(0.5)
        context.held = group.replicas[other].storage.last_index
        context.committed = new.commit_index
        context.entry = entry.index
        new.storage_lock.release()
        await group.advance(1)
        context.committed_later = new.commit_index

    context.plan.append(replicate_old_entry)


@behave.then('it is committed only after an entry of the new term')
def check_old_term_entry(context):
    async def check(group):
        assert context.held == context.entry, context.held
        assert context.committed < context.entry, context.committed
        assert context.committed_later > context.entry

    run(run_plan, context, check)


@behave.given('a group of 1 replica with 2 copies and 5 acknowledged commands')
def plan_memory_replicas(context):
    plan_group(context, 1)
    context.memory_replica_count = 2
    context.plan = [
        join_memory_replicas,
        functools.partial(elect_and_propose, count=5),
    ]


async def join_memory_replicas(group):
    await group.elect()
    await group.advance(10)
    members = group.leader().members.members
    assert len(members) == 3, members


async def restart_memory_replica(group, vm):
    group.crash(vm)
    group.start(vm)
    await group.advance(10)


async def lose_only_disk(group):
    await lose_disk(group, 'a')
    await group.advance(15)


async def lose_disk_with_memory_replica_down(group):
    group.crash('x')
    await group.advance(5)
    await group.propose_and_wait()
    await lose_only_disk(group)


async def lose_disk_behind_slow_links(group):
    for vm in group.memory_replicas:
        handlers = group.network.handlers[vm]
        export = handlers['replica.g.export']

        async def export_slowly(peer, message, export=export):
            await group.timers.sleep(3)
            return await export(peer, message)

        handlers['replica.g.export'] = export_slowly
    await lose_only_disk(group)


async def lose_disk_twice(group):
    await lose_only_disk(group)
    await group.propose_and_wait()
    await lose_only_disk(group)


async def restart_memory_replica_and_lose_disk(group):
    await restart_memory_replica(group, 'x')
    await group.propose_and_wait()
    await lose_only_disk(group)


async def restart_memory_replicas_in_turn_and_lose_disk(group):
    for vm in group.memory_replicas:
        await restart_memory_replica(group, vm)
    await group.propose_and_wait()
    await lose_only_disk(group)


async def restart_memory_replicas(group):
    for vm in group.memory_replicas:
        group.crash(vm)
    for vm in group.memory_replicas:
        group.start(vm)
    await group.advance(10)


async def restart_disk_vm(group):
    group.crash('a')
    group.start('a')
    await group.advance(10)


async def disconnect_then_lose_disk(group):
    group.network.cut(['x'], ['a', 'y'])
    await group.advance(5)
    await group.propose_and_wait()
    group.network.heal()
    await lose_only_disk(group)


COPY_FAILURES = {
    'the disk is lost': lose_only_disk,
    'the disk is lost and a copy is down': lose_disk_with_memory_replica_down,
    'the disk is lost twice': lose_disk_twice,
    'the disk is lost, and the state is 3 s on its way': (
        lose_disk_behind_slow_links
    ),
    'a copy restarts, and then the disk is lost': (
        restart_memory_replica_and_lose_disk
    ),
    'both copies restart in turn, and the disk is lost': (
        restart_memory_replicas_in_turn_and_lose_disk
    ),
    'both copies restart at once': restart_memory_replicas,
    "the disk's VM restarts": restart_disk_vm,
    'a copy is cut off, and then the disk is lost': disconnect_then_lose_disk,
}


@behave.when('this happens to it: {failure}')
def plan_memory_replica_failure(context, failure):
    context.plan.append(COPY_FAILURES[failure])


@behave.when('the disk is lost while its VM is disconnected')
def plan_disconnected_loss(context):
    async def lose(group):
        group.network.cut(['a'], ['x', 'y'])
        await lose_only_disk(group)
        context.led = group.leader() is not None
        group.network.heal()
        await group.advance(20)

    context.plan.append(lose)


@behave.when(
    'a command is proposed while the copies are busy, and the disk is lost'
)
def plan_busy_memory_replicas(context):
    async def propose(group):
        release = anyio.Event()

        async def wait(added):
            await release.wait()
            raise errors.ReplicationError('the copy was busy')

        for vm in group.memory_replicas:
            group.replicas[vm].append_entries = wait
        group.propose('a')
        await group.advance(0.5)
        group.crash('a')
        group.lose_disk('a')
        # The memory replicas continue with their state from before the wait.
        release.set()
        await group.advance(0.25)
        for vm in group.memory_replicas:
            del group.replicas[vm].append_entries
        group.start('a')
        await group.advance(20)

    context.plan.append(propose)


@behave.then('nothing is acknowledged until a copy is reachable again')
def check_disconnected_loss(context):
    async def check(group):
        assert not context.led
        await group.propose_and_wait()
        await group.converge()
        group.check_acknowledged()

    run(run_plan, context, check)


@behave.when('a follower without its disk joins and gets no entries')
def plan_learner(context):
    async def join(group):
        context.vm = followers(group)[0]
        group.crash(context.vm)
        group.lose_disk(context.vm)
        group.start(context.vm)
        replica = group.replicas[context.vm]
        kept = replica.append_entries

        async def reject_entries(added):
            raise errors.ReplicationError('the learner is busy')

        replica.append_entries = reject_entries
        await group.advance(15)
        member = group.leader().members.get(context.vm)
        assert member.incarnation == replica.incarnation
        context.votes = member.is_voter
        replica.append_entries = kept

    context.plan.append(join)


@behave.then('it is not a voter')
def check_learner(context):
    async def check(group):
        assert context.votes is False
        await group.converge()
        group.check_acknowledged()

    run(run_plan, context, check)


STEPS = hypothesis.strategies.one_of(
    hypothesis.strategies.tuples(
        hypothesis.strategies.sampled_from(
            ['propose', 'propose', 'crash', 'start', 'cut', 'one way']
            + ['heal', 'power', 'lossy', 'lose disk', 'full', 'hang']
            + ['slow']
        ),
        hypothesis.strategies.integers(0, 4),
        hypothesis.strategies.integers(0, 6),
    )
)


async def run_schedule(count, seed, schedule):
    group = fakes.ReplicaGroup(VMS[:count], seed)
    async with group.running():
        await elect_and_propose(group, 2)
        for action, which, amount in schedule:
            vm = group.vms[which % count]
            await apply_action(group, action, vm, amount)
            await group.advance(0.25 * (amount + 1))
        await group.converge()
        group.check_acknowledged()
        assert not group.failures, group.failures


async def apply_action(group, action, vm, amount):
    """Applies one step of a schedule."""
    if action == 'propose':
        for one in group.vms:
            group.propose(one)
    elif action == 'crash':
        group.crash(vm)
    elif action == 'start' and vm not in group.replicas:
        group.start(vm)
    elif action in ('cut', 'one way'):
        others = [one for one in group.vms if one != vm]
        group.network.cut([vm], others, one_way=action == 'one way')
    elif action == 'heal':
        group.network.heal()
    elif action == 'power':
        group.disks[vm].steps_left = amount
    elif action == 'lossy':
        faults = group.network.faults
        faults.loss_rate = faults.duplicate_rate = faults.delay_rate = (
            amount * 0.05
        )
    elif action == 'lose disk':
        await lose_disk_when_safe(group, vm)
    elif action == 'full':
        group.disks[vm].fill(amount * 0.5)
    elif action == 'hang':
        group.disks[vm].hang(amount * 0.5)
    elif action == 'slow':
        group.disks[vm].sync_seconds = amount * 0.2


async def lose_disk_when_safe(group, vm):
    """Loses a disk if all other replicas hold the whole log.

    If others lag behind, the disk may hold an entry whose only other copies
    are too few for a majority; no algorithm can restore such an entry.
    """
    others = [one for one in group.vms if one != vm]
    peers = [group.replicas.get(one) for one in others]
    leader = group.leader()
    if leader is None or None in peers or group.network.cut_links:
        return
    voters = leader.members.voters
    up_to_date = [
        one.vm
        for one in peers
        if one.storage.last_index >= leader.storage.last_index
        and one.vm in voters
    ]
    if len(up_to_date) == len(others) and len(voters) == len(group.vms):
        group.crash(vm)
        group.lose_disk(vm)
        group.start(vm)


@behave.then(
    '{examples:d} random schedules of {steps:d} steps on {count:d} replicas'
    ' satisfy the invariants'
)
def check_schedules(context, examples, steps, count):
    def run_one(seed, schedule):
        run(run_schedule, count, seed, schedule)

    steps_run = schedules.run_schedules(examples, steps, STEPS, run_one)
    assert steps_run >= examples * steps


ACTIONS = (
    'propose',
    'propose',
    'crash',
    'start',
    'cut',
    'one way',
    'heal',
    'power',
    'lossy',
    'lose disk',
)


@behave.then(
    'the schedule of seed {seed:d} on {count:d} replicas satisfies the'
    ' invariants'
)
def check_seed(context, seed, count):
    rng = random.Random(seed)
    schedule = [
        (rng.choice(ACTIONS), rng.randint(0, 4), rng.randint(0, 6))
        for _ in range(40)
    ]
    run(run_schedule, count, seed, schedule)


# Files.


def make_entry(index):
    return entries.Entry(
        index, 1, entries.EntryKind.COMMAND, f'entry {index}'.encode() * 9
    )


async def write_log(disk):
    storage = log_storage.Storage(disk)
    await storage.load()
    await storage.save_meta(incarnation='x', boots=1)
    for index in range(1, 5):
        await storage.append([make_entry(index)])
    await storage.install_snapshot(
        entries.Snapshot(2, 1, entries.Members(()), b'state' * 20)
    )
    for index in range(5, 9):
        await storage.append([make_entry(index)])


@behave.given('the log of a replica with 8 entries')
def make_log(context):
    context.disk = fakes.FakeDisk(None)
    run(write_log, context.disk)


def flip_bit(disk, name, at):
    content = bytearray(disk.files[name])
    content[at] ^= 0x10
    disk.files[name] = bytes(content)


def log_names(disk):
    return [name for name in sorted(disk.files) if name.startswith('log-')]


DAMAGES = {
    'its last record is torn': lambda disk: disk.files.update(
        {log_names(disk)[-1]: disk.files[log_names(disk)[-1]][:-7]}
    ),
    'its last record has a flipped bit': lambda disk: flip_bit(
        disk, log_names(disk)[-1], -3
    ),
    'noise is added to its end': lambda disk: disk.files.update(
        {
            log_names(disk)[-1]: disk.files[log_names(disk)[-1]]
            + b'\xa5GGRnoise'
        }
    ),
    'a record in the middle has a flipped bit': lambda disk: flip_bit(
        disk, log_names(disk)[-1], len(disk.files[log_names(disk)[-1]]) // 2
    ),
    'its first record has a flipped bit': lambda disk: flip_bit(
        disk, log_names(disk)[0], 20
    ),
    'the meta file has a flipped bit': lambda disk: flip_bit(disk, 'meta', 20),
    'the snapshot has a flipped bit': lambda disk: flip_bit(
        disk, 'snapshot', 40
    ),
    'a file in the middle is missing': lambda disk: disk.files.pop(
        log_names(disk)[0]
    ),
    'it is of another format': lambda disk: disk.files.update(
        {
            'meta': log_storage.HEADER.pack(
                log_storage.RECORD_MAGIC, 3, 0x5D6C4D3A
            )
            + b'\x92\x02\x80'
        }
    ),
}


@behave.when('this damage is done: {damage}')
def plan_damage(context, damage):
    DAMAGES[damage](context.disk)


@behave.then('loading it gives {count:d} entries')
def check_loaded(context, count):
    storage = log_storage.Storage(context.disk)
    run(storage.load)
    assert storage.last_index == count, storage.last_index


@behave.then('loading it is refused as damaged')
def check_damaged(context):
    storage = log_storage.Storage(context.disk)
    try:
        run(storage.load)
    except errors.CorruptFileError:
        return
    raise AssertionError(
        f'the damaged files were loaded with {storage.last_index} entries'
    )


@behave.given('a data folder in use')
def use_folder(context):
    path = tempfile.TemporaryDirectory()
    context.add_cleanup(path.cleanup)
    context.path = pathlib.Path(path.name) / 'data'
    context.folder = files.Folder(context.path)
    context.add_cleanup(lambda: context.folder.close())


@behave.then('a second use of it is refused as {code}')
def check_locked(context, code):
    try:
        files.Folder(context.path)
    except errors.GatewayError as error:
        assert error.code == code
        return
    raise AssertionError('a second use of the data folder was not refused')


@behave.then(
    'files appended to, replaced, truncated and removed in it stay so'
)
def check_files(context):
    async def use():
        folder = context.folder
        file = await folder.open('one')
        await file.append(b'hello world')
        await file.sync()
        await file.truncate(5)
        await file.close()
        await folder.replace('two', b'old')
        await folder.replace('two', b'new')
        await folder.replace('three', b'x')
        await folder.remove('three')
        (context.path / 'four.unfinished').write_bytes(b'torn')
        assert await folder.names() == ['one', 'two']
        assert await folder.read('one') == b'hello'
        assert await folder.read('two') == b'new'

    run(use)


# Failing disks.

# Bound of the task: the longest time without an acknowledged command while a
# majority of the disks is sound.
MAX_OUTAGE_SECONDS = 5.0
PROPOSAL_INTERVAL_SECONDS = 0.25


async def propose_regularly(group, seconds):
    """Proposes a command at the leader at each interval.

    :returns: the longest time without an acknowledgement.
    """
    longest, acknowledged_at = 0.0, group.timers.now()
    until = acknowledged_at + seconds
    while group.timers.now() < until:
        count = len(group.acknowledged)
        leader = group.leader()
        if leader is not None:
            group.propose(leader.vm)
        await group.advance(PROPOSAL_INTERVAL_SECONDS)
        longest = max(longest, group.timers.now() - acknowledged_at)
        if len(group.acknowledged) > count:
            acknowledged_at = group.timers.now()
    return longest


def select(group, which):
    """Returns the VMs that a step names."""
    return {
        'the leader': lambda: [group.leader().vm],
        'a follower': lambda: followers(group)[:1],
        'the leader and a follower': lambda: (
            [group.leader().vm, followers(group)[0]]
        ),
        'two followers': lambda: followers(group)[:2],
        'the leader and two followers': lambda: (
            [group.leader().vm, *followers(group)[:2]]
        ),
        'all replicas': lambda: list(group.vms),
    }[which]()


def plan_outage(context, which, seconds, start_fault):
    """Plans a fault of some disks for a time.

    For a fault of a minority it notes the longest outage since the start of
    the fault, else the longest one since its end.
    """

    async def cause(group):
        vms = select(group, which)
        context.first_term = group.leader().term
        for vm in vms:
            start_fault(group.disks[vm])
        outage = await propose_regularly(group, seconds)
        leader = group.leader()
        context.vms, context.leader_at_end = vms, leader and leader.vm
        for vm in vms:
            group.disks[vm].end_faults()
        later = await propose_regularly(group, 2 * MAX_OUTAGE_SECONDS)
        is_minority = 2 * len(vms) < len(group.vms)
        context.outage = max(outage, later) if is_minority else later

    context.outage = None
    context.plan.append(cause)


@behave.when('the disks of {which} take no bytes for {seconds:g} s')
def plan_full_disks(context, which, seconds):
    plan_outage(context, which, seconds, lambda disk: disk.fill(seconds))


@behave.when('the disks of {which} hang for {seconds:g} s')
def plan_hanging_disks(context, which, seconds):
    plan_outage(context, which, seconds, lambda disk: disk.hang(seconds))


@behave.when(
    'the disk of the leader hangs for {seconds:g} s as it compacts its log'
)
def plan_hanging_compaction(context, seconds):
    async def hang(group):
        leader = group.leader()
        disk = group.disks[leader.vm]
        context.first_term = leader.term
        install_snapshot = leader.storage.install_snapshot
        hang_count = 0

        async def hang_once(snapshot):
            nonlocal hang_count
            hang_count += 1
            if hang_count == 1:
                disk.hang(seconds)
            await install_snapshot(snapshot)

        leader.storage.install_snapshot = hang_once
        context.outage = await propose_regularly(
            group, seconds + 4 * MAX_OUTAGE_SECONDS
        )
        assert hang_count > 0, 'the leader did not compact its log'

    context.plan.append(hang)


@behave.when(
    'each write of the disks of {which} takes {duration:g} s for {seconds:g} s'
)
def plan_slow_disks(context, which, duration, seconds):
    def slow_down(disk):
        disk.sync_seconds = duration

    plan_outage(context, which, seconds, slow_down)


@behave.when('the step {step} of the disks of {which} fails for {seconds:g} s')
def plan_failing_step(context, step, which, seconds):
    def fail(disk):
        disk.failing_step = step

    plan_outage(context, which, seconds, fail)


def plan_repeated_fault(context, total, interval, start_fault):
    """Plans a short fault of the leader's disk that comes regularly."""

    async def repeat(group):
        vm = group.leader().vm
        context.first_term = group.leader().term
        context.outage = 0.0
        for _ in range(int(total / interval)):
            start_fault(group.disks[vm])
            outage = await propose_regularly(group, interval)
            context.outage = max(context.outage, outage)
        context.outage = max(
            context.outage,
            await propose_regularly(group, MAX_OUTAGE_SECONDS),
        )

    context.plan.append(repeat)


@behave.when(
    'for {total:g} s the disk of the leader takes no bytes for {seconds:g} s'
    ' every {interval:g} s'
)
def plan_repeatedly_full(context, total, seconds, interval):
    plan_repeated_fault(
        context, total, interval, lambda disk: disk.fill(seconds)
    )


@behave.when(
    'for {total:g} s the disk of the leader hangs for {seconds:g} s every'
    ' {interval:g} s'
)
def plan_repeatedly_hanging(context, total, seconds, interval):
    plan_repeated_fault(
        context, total, interval, lambda disk: disk.hang(seconds)
    )


@behave.when(
    'two followers crash, and each write of the disk of {which} takes'
    ' {duration:g} s for {seconds:g} s'
)
def plan_slow_needed_voter(context, which, duration, seconds):
    """Plans a slow disk of one of three voters out of five."""

    async def slow_down(group):
        vms = select(group, which)
        for vm in followers(group)[-2:]:
            group.crash(vm)
        context.first_term = group.leader().term
        context.vms, context.first_leader = vms, group.leader().vm
        before = group.proposed, len(group.acknowledged)
        for vm in vms:
            group.disks[vm].sync_seconds = duration
        context.outage = await propose_regularly(group, seconds)
        leader = group.leader()
        context.leader_at_end = leader and leader.vm
        for vm in vms:
            group.disks[vm].end_faults()
        await group.advance(MAX_OUTAGE_SECONDS)
        context.unacknowledged = (group.proposed - before[0]) - (
            len(group.acknowledged) - before[1]
        )
        for vm in group.vms:
            if vm not in group.replicas:
                group.start(vm)

    context.plan.append(slow_down)


READ_COUNT = 40


@behave.when(
    'two followers crash, and reads come while each write of a follower takes'
    ' {duration:g} s'
)
def plan_reads_with_slow_disk(context, duration):
    async def read_regularly(group):
        leader = group.leader()
        slow, *_, first_lost, second_lost = followers(group)
        group.crash(first_lost)
        group.crash(second_lost)
        group.disks[slow].sync_seconds = duration
        context.read_seconds = []

        async def read():
            started_at = group.timers.now()
            await leader.read_index()
            context.read_seconds.append(group.timers.now() - started_at)

        for _ in range(READ_COUNT):
            group.propose(leader.vm)
            group.tasks.start_soon(read)
            await group.advance(PROPOSAL_INTERVAL_SECONDS)
        group.disks[slow].end_faults()
        await group.advance(MAX_OUTAGE_SECONDS)

    context.plan.append(read_regularly)


@behave.then('each read is confirmed within {seconds:g} s')
def check_reads(context, seconds):
    async def check(group):
        assert len(context.read_seconds) == READ_COUNT, context.read_seconds
        slowest = max(context.read_seconds)
        assert slowest <= seconds, slowest

    run(run_plan, context, check)


SLOW_DISKS_SECONDS = 60.0


@behave.when('all disks take {duration:g} s for a write, and {failure}')
def plan_all_disks_slow(context, duration, failure):
    async def slow_down(group):
        for vm in group.vms:
            group.disks[vm].sync_seconds = duration
        leader = group.leader().vm
        if failure == 'the leader crashes':
            group.crash(leader)
        elif failure == 'all replicas lose power for a moment':
            for vm in group.vms:
                group.crash(vm)
            for vm in group.vms:
                group.start(vm)
        else:
            assert failure == 'nothing else fails', failure
        context.outage = await propose_regularly(group, SLOW_DISKS_SECONDS)
        for vm in group.vms:
            group.disks[vm].end_faults()
        if leader not in group.replicas:
            group.start(leader)
        await group.advance(MAX_OUTAGE_SECONDS)

    context.plan.append(slow_down)


@behave.when(
    'a candidate loses its pre-vote, which a voter with a slow disk granted'
)
def plan_lost_pre_vote(context):
    async def lose(group):
        leader = group.leader().vm
        candidate, voter, successor, last = followers(group)
        # They lack the newest command, so that only the voter grants.
        group.network.cut([candidate, voter], [leader, successor, last])
        await group.propose_and_wait()
        group.crash(leader)
        group.network.heal()
        replica = group.replicas[voter]
        for vm in (candidate, voter, successor, last):
            one = group.replicas[vm]
            one.leader = None
            one.last_contact_at = one.last_campaign_at = group.timers.now()
        replica.slow_write_seconds = 1.0
        replica.slow_write_at = group.timers.now()
        stood = group.replicas[candidate]
        group.tasks.start_soon(election.campaign, stood)
        await group.timers.advance(0.1)
        assert replica.supported_candidate == candidate
        await group.timers.advance(0.3)
        assert stood.last_votes['granted'] == [candidate, voter], (
            stood.last_votes
        )
        next_one = group.replicas[successor]
        last_index = next_one.storage.last_index
        reply = await replica.on_vote(
            successor,
            [
                next_one.term + 1,
                successor,
                next_one.incarnation,
                last_index,
                next_one.storage.term_at(last_index),
                True,
            ],
        )
        context.is_granted = reply[1]

    context.plan.append(lose)


@behave.then('that voter grants the next candidate its pre-vote')
def check_next_pre_vote(context):
    async def check(group):
        assert context.is_granted

    run(run_plan, context, check)


@behave.when(
    'four VMs identify themselves at a replica while each write takes'
    ' {duration:g} s'
)
def plan_identifications(context, duration):
    async def identify(group):
        vm = followers(group)[0]
        replica = group.replicas[vm]
        context.replies = []

        async def send(peer):
            # A first start needs no write.
            message = [peer, f'incarnation of {peer}', 2, 'session']
            reply = await replica.on_identify(peer, message)
            context.replies.append(reply['is_stale'])

        group.disks[vm].sync_seconds = duration
        for peer in ('w', 'x', 'y', 'z'):
            group.tasks.start_soon(send, peer)
        context.vm = vm

    context.plan.append(identify)


@behave.then('all of them have a reply within {seconds:g} s')
def check_identifications(context, seconds):
    async def check(group):
        await group.timers.advance(seconds)
        replied = list(context.replies)
        group.disks[context.vm].end_faults()
        await group.advance(MAX_OUTAGE_SECONDS)
        seen_boots = group.replicas[context.vm].storage.meta.seen_boots
        assert replied == [False] * 4, replied
        assert {one.vm for one in seen_boots} >= {'w', 'x', 'y', 'z'}

    run(run_plan, context, check)


@behave.given('a log whose process was killed before it synced the last entry')
def given_unsynced_entry(context):
    async def write(disk):
        storage = log_storage.Storage(disk)
        await storage.load()
        for index in (1, 2):
            synced = dict(disk.synced)
            await storage.append(
                [entries.Entry(index, 1, entries.EntryKind.COMMAND, b'x' * 50)]
            )
        disk.synced = synced

    context.disks = [fakes.FakeDisk(random.Random(seed)) for seed in range(20)]
    for disk in context.disks:
        run(write, disk)


@behave.when('it is loaded, and then the power is lost')
def load_and_cut_power(context):
    async def load(disk):
        storage = log_storage.Storage(disk)
        await storage.load()
        disk.cut_power()
        return storage.last_index

    context.loaded = [run(load, disk) for disk in context.disks]


@behave.then('all entries that were loaded are there')
def check_loaded_again(context):
    async def load(disk):
        storage = log_storage.Storage(disk)
        await storage.load()
        return storage.last_index

    found = [run(load, disk) for disk in context.disks]
    assert found == context.loaded, (context.loaded, found)


@behave.when('heartbeats reach a follower while it writes an entry')
def plan_heartbeats_during_write(context):
    async def send(group):
        leader = group.leader()
        follower = group.replicas[followers(group)[0]]
        last, old_term = follower.storage.last_index, leader.term
        group.disks[follower.vm].sync_seconds = 0.6
        group.propose(leader.vm)
        await group.timers.advance(0.2)
        assert follower.storage.last_index == last
        assert follower.storage_held_since is not None
        context.answers = {}

        async def ask(name, term, index):
            heartbeat = [term, leader.vm, index, old_term, [], 0]
            reply = await follower.on_append(leader.vm, heartbeat)
            stored = follower.term, follower.storage.last_index
            context.answers[name] = reply[:3], stored

        for case in (
            ('stored', old_term, last),
            ('not synced', old_term, last + 1),
            ('next term', old_term + 1, last),
        ):
            group.tasks.start_soon(ask, *case)
        await group.timers.advance(0.05)
        context.early = list(context.answers)
        await group.timers.advance(2.0)
        group.disks[follower.vm].end_faults()
        await group.timers.advance(MAX_OUTAGE_SECONDS)
        context.expected = {
            'stored': ([old_term, True, last], (old_term, last)),
            'not synced': (
                [old_term, True, last + 1],
                (old_term, last + 1),
            ),
        }
        context.next_term = old_term + 1

    context.plan.append(send)


@behave.then('it answers at once only what it has stored')
def check_heartbeats_during_write(context):
    async def check(group):
        assert context.early == ['stored'], context.early
        reply, stored = context.answers.pop('next term')
        assert reply[:2] == [context.next_term, True], reply
        assert stored[0] == context.next_term, stored
        assert context.answers == context.expected, context.answers

    run(run_plan, context, check)


@behave.when('two followers crash, and the disk of a third hangs for 600 s')
def plan_hanging_needed_voter(context):
    async def hang(group):
        vm = followers(group)[0]
        for other in followers(group)[-2:]:
            group.crash(other)
        leader = group.leader()
        group.disks[vm].hang(600.0)
        started_at = group.timers.now()
        await propose_regularly(group, PROPOSAL_INTERVAL_SECONDS)
        while leader.is_leader and group.timers.now() < started_at + 60.0:
            await group.advance(PROPOSAL_INTERVAL_SECONDS)
        context.waited = group.timers.now() - started_at
        group.disks[vm].end_faults()
        await group.advance(MAX_OUTAGE_SECONDS)

    context.plan.append(hang)


@behave.then('the leader has stepped down within {seconds:g} s')
def check_stepped_down(context, seconds):
    async def check(group):
        assert context.waited <= seconds, context.waited

    run(run_plan, context, check)


@behave.then('the leader has not changed, and all commands are acknowledged')
def plan_kept_leader_check(context):
    async def check(group):
        assert context.leader_at_end == context.first_leader
        assert group.leader().term == context.first_term, group.leader().term
        assert context.unacknowledged == 0, context.unacknowledged

    context.plan.append(check)


@behave.then(
    'another replica led before the end, and no outage is longer than'
    ' {seconds:g} s'
)
def plan_handover_check(context, seconds):
    async def check(group):
        assert context.leader_at_end not in (None, context.vms[0])
        assert context.outage <= seconds, context.outage

    context.plan.append(check)


@behave.when(
    'the leader crashes while each write of the next candidate takes'
    ' {duration:g} s'
)
def plan_slow_candidate(context, duration):
    async def crash(group):
        leader = group.leader().vm
        context.vm = min(followers(group))
        group.disks[context.vm].sync_seconds = duration
        group.crash(leader)
        context.outage = await propose_regularly(group, 20.0)
        context.leaders = set().union(*group.leaders.values())
        group.disks[context.vm].end_faults()
        group.start(leader)
        await group.advance(MAX_OUTAGE_SECONDS)

    context.plan.append(crash)


@behave.then('the candidate with the slow disk was not elected')
def plan_slow_candidate_check(context):
    async def check(group):
        assert context.vm not in context.leaders, context.leaders

    context.plan.append(check)


@behave.when('each disk takes no bytes for {seconds:g} s, one after the other')
def plan_full_disks_in_turn(context, seconds):
    async def fill_in_turn(group):
        context.outage = 0.0
        for vm in group.vms:
            group.disks[vm].fill(seconds)
            outage = await propose_regularly(
                group, seconds + MAX_OUTAGE_SECONDS
            )
            context.outage = max(context.outage, outage)

    context.plan.append(fill_in_turn)


@behave.when(
    'the leader crashes while the disk of the next candidate takes no bytes'
)
def plan_full_candidate(context):
    async def crash(group):
        leader = group.leader().vm
        candidate = min(followers(group))
        context.first_term = group.leader().term
        group.disks[candidate].fill(20.0)
        group.crash(leader)
        context.outage = await propose_regularly(group, 20.0)
        group.start(leader)
        await group.advance(MAX_OUTAGE_SECONDS)

    context.plan.append(crash)


@behave.when(
    'a follower starts while its disk takes no bytes for {seconds:g} s'
)
def plan_start_on_full_disk(context, seconds):
    async def start(group):
        vm = followers(group)[0]
        group.crash(vm)
        group.disks[vm].fill(seconds)
        group.start(vm)
        context.outage = await propose_regularly(
            group, seconds + MAX_OUTAGE_SECONDS
        )

    context.plan.append(start)


@behave.when(
    'a sync of a follower fails, and later its power and that of the others'
)
def plan_dropped_pages(context):
    async def fail(group):
        vm = followers(group)[0]
        group.disks[vm].failing_step = 'sync'
        await group.propose_and_wait()
        group.disks[vm].failing_step = ''
        context.outage = await propose_regularly(group, MAX_OUTAGE_SECONDS)
        assert group.replicas[vm].role is roles.Role.FOLLOWER
        await crash_all(group)

    context.plan.append(fail)


@behave.when('a follower is cut off for {seconds:g} s')
def plan_cut_off_follower(context, seconds):
    async def cut(group):
        vm = followers(group)[0]
        group.network.cut([vm], [one for one in group.vms if one != vm])
        context.outage = await propose_regularly(group, seconds)
        group.network.heal()
        outage = await propose_regularly(group, 2 * MAX_OUTAGE_SECONDS)
        context.outage = max(context.outage, outage)

    context.plan.append(cut)


@behave.then('no outage is longer than {seconds:g} s')
def plan_outage_check(context, seconds):
    async def check(group):
        assert context.outage <= seconds, context.outage

    context.plan.append(check)


@behave.then('the term has increased by at most {count:d}')
def plan_term_check(context, count):
    async def check(group):
        increase = group.leader().term - context.first_term
        assert increase <= count, increase

    context.plan.append(check)


@behave.then('no process has ended')
def plan_process_check(context):
    async def check(group):
        assert not group.failures, group.failures

    context.plan.append(check)


@behave.then('every replica votes and has all acknowledged commands')
def check_all_take_part(context):
    async def check(group):
        await group.advance(MAX_OUTAGE_SECONDS)
        found = {vm: one.role.value for vm, one in group.replicas.items()}
        assert sorted(found.values()) == [
            *['follower'] * (len(group.vms) - 1),
            'leader',
        ], found
        assert group.leader().members.voters == sorted(group.vms)
        group.check_acknowledged()

    run(run_plan, context, check)


@behave.when('the disk of the leader fails')
def plan_leader_failure(context):
    async def fail(group):
        context.vm = group.leader().vm
        group.disks[context.vm].fill(20.0)
        group.propose(context.vm)
        await group.advance(PROPOSAL_INTERVAL_SECONDS)

    context.plan.append(fail)


@behave.when('the leader loses its majority and steps down')
def plan_lost_majority(context):
    async def cut(group):
        leader = group.leader()
        context.vm = leader.vm
        reachable, *others = followers(group)
        group.network.cut([leader.vm], others)
        while leader.is_leader:
            await group.timers.advance(0.05)
        # Shorter than the first election timeout after the leader's end.
        await group.timers.advance(0.05)
        context.found = group.replicas[reachable].leader

    context.plan.append(cut)


@behave.when('the leader and two followers crash and {seconds:g} s pass')
def plan_majority_crash(context, seconds):
    async def crash(group):
        context.vm = group.leader().vm
        for vm in (*followers(group)[:2], context.vm):
            group.crash(vm)
        await group.advance(seconds)

    context.plan.append(crash)


@behave.then('no replica that it reaches takes it for the leader')
def check_forgotten_by_reachable(context):
    async def check(group):
        assert context.found is None, context.found

    run(run_plan, context, check)


@behave.when('the leader crashes, and its end is told after the next election')
def plan_late_step_down(context):
    async def crash(group):
        old = group.leader()
        group.crash(old.vm)
        new = await group.elect()
        await group.advance(1)
        for vm in followers(group):
            await group.replicas[vm].on_step_down(old.vm, [old.term, old.vm])
            await group.replicas[vm].on_step_down(old.vm, [new.term, old.vm])
        context.vm = new.vm

    context.plan.append(crash)


@behave.then('the followers still know the new leader')
def check_leader_known(context):
    async def check(group):
        found = {vm: group.replicas[vm].leader for vm in followers(group)}
        assert set(found.values()) == {context.vm}, found

    run(run_plan, context, check)


@behave.then('no replica takes it for the leader')
def check_forgotten(context):
    async def check(group):
        leaders = {vm: one.leader for vm, one in group.replicas.items()}
        assert context.vm not in leaders.values(), leaders

    run(run_plan, context, check)


@behave.then('it does not stand, and refuses its vote to the others')
def check_failed_vote(context):
    async def check(group):
        replica = group.replicas[context.vm]
        stood_at = replica.last_campaign_at
        other = next(vm for vm in group.vms if vm != context.vm)
        await group.advance(3 * MAX_OUTAGE_SECONDS)
        assert replica.last_campaign_at == stood_at
        assert replica.role is roles.Role.FAILED, replica.role
        assert not await request_vote(group, context.vm, other)

    run(run_plan, context, check)


FAILING_CALLS = {
    'an append': 'write',
    'a sync': 'fdatasync',
    'a truncation': 'ftruncate',
    'an opening': 'open',
    'a replacement': 'rename',
}


@behave.when('a log in it is written, and {step} fails once')
def fail_log(context, step):
    name = FAILING_CALLS[step]

    async def use_storage():
        storage = context.storage = log_storage.Storage(context.folder)
        await storage.load()
        await storage.save_meta(incarnation='x', boots=1, term=1)
        for index in range(1, 5):
            await storage.append([make_entry(index)])
        if step == 'an opening':
            # The next entry starts a new file.
            await storage.close()

        def fail(*arguments, **options):
            if name == 'write':
                kept(arguments[0], bytes(arguments[1])[:7])
            raise OSError(errno.ENOSPC, 'injected')

        kept = getattr(os, name)
        setattr(os, name, fail)
        try:
            if step == 'a truncation':
                await storage.truncate_from(3)
            elif step == 'a replacement':
                await storage.save_meta(term=2, voted_for='y')
            else:
                await storage.append([make_entry(5)])
        except errors.DiskFailedError:
            return
        finally:
            setattr(os, name, kept)
        raise AssertionError('the failed step raised no DiskFailedError')

    context.count = 2 if step == 'a truncation' else 4
    run(use_storage)


@behave.then('the log recovers with what was synced and takes entries again')
def check_log_recovery(context):
    async def use_storage():
        storage = context.storage
        await storage.recover()
        assert storage.last_index == context.count, storage.last_index
        await storage.append([make_entry(context.count + 1)])
        await storage.save_meta(boots=2)
        await storage.close()
        loaded = log_storage.Storage(context.folder)
        await loaded.load()
        assert loaded.entries == [
            make_entry(index) for index in range(1, context.count + 2)
        ]
        assert loaded.meta == storage.meta
        assert (loaded.meta.term, loaded.meta.voted_for) == (1, '')
        await loaded.close()

    run(use_storage)
