"""Steps for changes of the members of a control group."""

import functools

import anyio
import behave

from features import fakes
from greengagegw import errors
from greengagegw.fleet import timing
from greengagegw.replication import entries
from greengagegw.replication import replica as replicas

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
    async with group.running():
        await group.elect()
        for _ in range(3):
            await group.propose_and_wait()
        await play(group)


def play(context, function):
    """Runs a function of a group on an event loop of its own."""
    anyio.run(
        functools.partial(run_group, context.count, context.seed, function)
    )


def followers(group):
    leader = group.leader().vm
    return [vm for vm in group.vms if vm != leader and vm in group.replicas]


@behave.given('a control group of {count:d} replicas')
def set_count(context, count):
    context.count = count
    context.seed = 1


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

    async def play_with_snapshots(group):
        kept = replicas.SNAPSHOT_AFTER_ENTRIES
        replicas.SNAPSHOT_AFTER_ENTRIES = 1
        try:
            await compact_while_sending(group)
        finally:
            replicas.SNAPSHOT_AFTER_ENTRIES = kept

    context.play = play_with_snapshots


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
