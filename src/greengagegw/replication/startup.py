"""Startup of a replica: bootstrap, restart, or recovery of a lost disk.

A replica queries all founders and memory replicas of the group, and takes
part only after their replies show which of these cases applies.
"""

import collections.abc
import contextlib
import secrets
import typing

import anyio
import eliot

from .. import errors
from . import entries as log_entries
from . import membership
from . import replies as reply_checks
from . import roles

if typing.TYPE_CHECKING:
    from . import replica as replicas

RETRY_DELAY_SECONDS = 0.3
# A change of the members takes a round trip of 0.11 s and two syncs.
JOIN_RETRY_SECONDS = 0.05
JOIN_SECONDS = 1.0
# Before a group whose only disk was lost is recovered, the memory replicas
# get this long to reply, so that the most recent one can be used.
RECOVERY_DELAY_SECONDS = 3.0
# The whole state is sent in one reply, which may be large and the link slow.
EXPORT_TIMEOUT_SECONDS = 20.0
MEMBERSHIP_CHECK_SECONDS = 4.0
# A voter that hears no leader checks this often whether it was removed.
REMOVAL_CHECK_SECONDS = 1.0


async def start_up(replica: 'replicas.Replica') -> None:
    """Returns when the replica may take part in the group."""
    started_at = replica.timers.now()
    while not replica.has_started:
        # A failure of the disk is logged where it is found. The start goes on
        # when the disk has recovered.
        with contextlib.suppress(errors.DiskFailedError):
            replica.require_sound_disk()
            replies = await identify_to_all(replica)
            async with replica.lock_storage():
                group_replies = await resolve_start(replica, replies)
            await request_admission(replica, group_replies)
            waited = replica.timers.now() - started_at
            if replica.is_starting and waited >= RECOVERY_DELAY_SECONDS:
                await recover_from_memory_replica(replica, replies)
        if not replica.has_started:
            await replica.timers.sleep(RETRY_DELAY_SECONDS)


async def identify_to_all(
    replica: 'replicas.Replica',
) -> dict[str, dict]:
    """Identifies this replica to its peers.

    These are the founders, and the VMs that it knows or that have called it. A
    replica that has no members does not wait for silent peers once the
    leader of its group has replied. If its peers name a leader that is none
    of them, it is asked as well.

    :returns: the replies of the reachable peers, by VM.
    """
    peers = {
        *replica.founders,
        *replica.members.voters,
        *replica.former_voters,
        *replica.memory_replicas,
        *replica.heard_peers,
    }
    if replica.members.members:
        return await identify_to(replica, peers - {replica.vm})
    return await identify_to(replica, peers - {replica.vm}, is_leader_found)


def is_leader_found(replies: dict[str, dict]) -> bool:
    return any(reply['leader'] == vm for vm, reply in replies.items())


async def identify_to(
    replica: 'replicas.Replica',
    vms: collections.abc.Set[str],
    is_enough: collections.abc.Callable[[dict[str, dict]], bool] | None = None,
) -> dict[str, dict]:
    """Identifies this replica to some VMs and returns their replies.

    :param is_enough: whether to wait for no more replies. If it is given,
        leaders that a reply names are asked as well.
    """
    message = [
        replica.vm,
        replica.incarnation,
        replica.storage.meta.boots,
        replica.session,
    ]
    replies: dict[str, dict] = {}

    asked = {replica.vm, *vms}

    async def identify(vm: str) -> None:
        with contextlib.suppress(errors.GatewayError):
            replies[vm] = await replica.call_peer(
                vm, 'identify', message, reply_checks.check_identity
            )
        if is_enough is None or vm not in replies:
            return
        if is_enough(replies):
            tasks.cancel_scope.cancel()
            return
        leader = replies[vm]['leader']
        if leader is not None and leader not in asked:
            asked.add(leader)
            tasks.start_soon(identify, leader)

    async with anyio.create_task_group() as tasks:
        for vm in sorted(vms):
            tasks.start_soon(identify, vm)
    return replies


async def resolve_start(
    replica: 'replicas.Replica', replies: dict[str, dict]
) -> list[dict]:
    """Decides from the replies of its peers how this replica starts.

    :returns: the replies of members of a group that this replica must join.
    """
    for vm, reply in replies.items():
        reason = find_reason_to_discard(replica, vm, reply)
        if reason is not None:
            await discard_state(replica, vm, reason)
            return []
    if replica.members.members:
        if replica.members.is_majority({replica.vm, *replies}):
            replica.become_follower()
        return []
    group_replies = [one for one in replies.values() if one['members']]
    for reply in group_replies:
        members = log_entries.Members.unpack(reply['members'])
        own_member = members.get(replica.vm)
        is_member = (
            own_member is not None
            and own_member.incarnation == replica.incarnation
        )
        if is_member and reply['founders']:
            await bootstrap(
                replica, log_entries.Members.unpack(reply['founders'])
            )
            return []
    if group_replies:
        return group_replies
    # An empty disk may be a replacement, and any unreachable peer may hold
    # the group's data, so all of them must have replied.
    others = {*replica.founders, *replica.memory_replicas} - {replica.vm}
    is_founder = replica.may_bootstrap and replica.vm in replica.founders
    if is_founder and others <= set(replies):
        await bootstrap(replica, initial_members(replica, replies))
    return []


def initial_members(
    replica: 'replicas.Replica', replies: dict[str, dict]
) -> log_entries.Members:
    """Returns the founders as voters; all of them must have replied."""
    incarnations = {vm: reply['incarnation'] for vm, reply in replies.items()}
    incarnations[replica.vm] = replica.incarnation
    return log_entries.Members(
        tuple(
            log_entries.Member(vm, incarnations[vm], True)
            for vm in sorted(replica.founders)
        )
    )


def find_reason_to_discard(
    replica: 'replicas.Replica', vm: str, reply: dict
) -> str | None:
    """Returns why a reply shows the state to be stale, None if it does not."""
    if reply['is_stale']:
        return 'the disk is an old copy'
    if is_replaced(replica, reply):
        return 'joined again with a newer disk'
    if is_removed(replica, vm, reply):
        return 'is not a member'
    return None


def is_replaced(replica: 'replicas.Replica', reply: dict) -> bool:
    """Returns whether this VM has joined again with a newer disk.

    Only for peers of an earlier release: their replies do not tell whether
    the admission of the newer disk is committed.
    """
    if 'are_members_committed' in reply:
        return False
    if reply['members_index'] <= replica.members_index:
        return False
    members = log_entries.Members.unpack(reply['members'])
    own_member = members.get(replica.vm)
    return (
        bool(replica.members.members)
        and own_member is not None
        and own_member.incarnation != replica.incarnation
    )


def is_removed(replica: 'replicas.Replica', vm: str, reply: dict) -> bool:
    """Returns whether a peer is the leader and has removed this replica.

    Leaders of an earlier release do not tell whether their members are
    committed, so their replies never show it.
    """
    if not has_state(replica) or reply['leader'] != vm:
        return False
    last_index = replica.storage.last_index
    return membership.is_removed(
        log_entries.Members.unpack(reply['members']),
        reply.get('are_members_committed', False),
        reply.get('term', 0),
        replica.vm,
        replica.incarnation,
        replica.storage.term_at(last_index),
    )


def has_state(replica: 'replicas.Replica') -> bool:
    return replica.storage.last_index > 0 or bool(
        replica.storage.meta.founders
    )


async def bootstrap(
    replica: 'replicas.Replica', founders: log_entries.Members
) -> None:
    """Stores the founders as the initial members of the group."""
    await replica.storage.save_meta(founders=founders.pack())
    replica.refresh_members()
    replica.become_follower()


async def discard_state(
    replica: 'replicas.Replica', peer: str, reason: str
) -> None:
    """Wipes a stale state and gives the replica a new incarnation.

    :param peer: VM whose reply shows that the state is stale.
    """
    eliot.log_message(
        'replica:old_disk',
        group=replica.group,
        vm=replica.vm,
        peer=peer,
        reason=reason,
        incarnation=replica.incarnation,
        boots=replica.storage.meta.boots,
        term=replica.term,
        last=replica.storage.last_index,
    )
    # The voters that it knew, since the founders may have been replaced.
    replica.former_voters = tuple(replica.members.voters)
    await replica.storage.wipe(secrets.token_hex(8))
    replica.reset_applied_state()


async def request_admission(
    replica: 'replicas.Replica', group_replies: list[dict]
) -> bool:
    """Asks the leader to admit this replica as a learner.

    :returns: whether it did.
    """
    leaders = {one['leader'] for one in group_replies if one['leader']}
    for leader in sorted(leaders):
        if leader == replica.vm:
            continue
        if await join(replica, leader):
            replica.become_follower()
            return True
    return False


async def join(replica: 'replicas.Replica', leader: str) -> bool:
    """Asks a leader to admit this replica, again while it may not yet.

    A leader makes one change of the members at a time, and none before an
    entry of its term is committed.
    """
    deadline = replica.timers.now() + JOIN_SECONDS
    message = [replica.vm, replica.incarnation]
    while True:
        try:
            await replica.call_peer(leader, 'join', message)
            return True
        except errors.GatewayError as error:
            eliot.log_message(
                'replica:not_admitted',
                group=replica.group,
                leader=leader,
                reason=error.message,
            )
            may_be_admitted = isinstance(
                error, errors.ReplicationError
            ) and not isinstance(error, errors.NotLeaderError)
            if not may_be_admitted or replica.timers.now() >= deadline:
                return False
        await replica.timers.sleep(JOIN_RETRY_SECONDS)


async def recover_from_memory_replica(
    replica: 'replicas.Replica', replies: dict[str, dict]
) -> None:
    """Restores a single-voter group from its most recent memory replica.

    The only disk of the group was on this VM and is lost. Entries are
    committed only when all reachable memory replicas hold them, so the most
    recent one has all that was committed while one was reachable.
    """
    if replica.founders != (replica.vm,):
        return
    best: list | None = None
    for vm in replica.memory_replicas:
        if vm not in replies or not replies[vm]['members']:
            continue
        with contextlib.suppress(errors.GatewayError):
            export = await replica.call_peer(
                vm,
                'export',
                None,
                reply_checks.check_export,
                EXPORT_TIMEOUT_SECONDS,
            )
            if best is None or export[:2] > best[:2]:
                best = export
    if best is None:
        return
    index, index_term, term, state = best
    async with replica.lock_storage():
        founder = log_entries.Member(replica.vm, replica.incarnation, True)
        members = log_entries.Members((founder,))
        await replica.storage.install_snapshot(
            log_entries.Snapshot(index, index_term, members, state)
        )
        await replica.storage.save_meta(
            term=term + 1, voted_for='', founders=members.pack()
        )
        replica.restore(replica.storage.snapshot)
        replica.refresh_members()
        replica.become_follower()
    eliot.log_message(
        'replica:rebuilt', group=replica.group, vm=replica.vm, index=index
    )


async def watch_removal(replica: 'replicas.Replica') -> None:
    """Joins again if this replica was removed without having learned of it.

    A leader sends nothing to a replica that it removed, so the removed one
    keeps its own list of members and campaigns in vain.
    """
    while True:
        await replica.timers.sleep(REMOVAL_CHECK_SECONDS)
        silence = replica.timers.now() - replica.leader_heard_at
        if (
            replica.role in (roles.Role.FOLLOWER, roles.Role.CANDIDATE)
            and replica.is_current_member(replica.vm, replica.incarnation)
            and silence >= 2 * replica.timeouts.election_seconds
        ):
            # A failure of the disk is logged where it is found.
            with contextlib.suppress(errors.DiskFailedError):
                await rejoin_if_not_member(replica)


async def rejoin_if_not_member(replica: 'replicas.Replica') -> None:
    """Joins again if this replica is not a member of the leader's group.

    That happens when the entry that admitted it was lost with its leader, to
    a memory replica whose group was recovered, and to a voter that was
    removed while it was silent. Unless a leader replies that its members,
    which are committed, do not contain this replica, it keeps its state,
    since the group may need it or have to be recovered from it.
    """
    asked_at = replica.timers.now()
    if replica.is_leaving:
        return
    # One without a state was admitted by a change that may be lost.
    pause = MEMBERSHIP_CHECK_SECONDS if has_state(replica) else JOIN_SECONDS
    if asked_at - replica.membership_checked_at < pause:
        return
    replica.membership_checked_at = asked_at
    replies = await identify_to_all(replica)
    for vm, reply in replies.items():
        if reply['leader'] != vm or not reply['members']:
            continue
        async with replica.lock_storage():
            if has_state(replica):
                is_heard = replica.leader_heard_at >= asked_at
                is_member = replica.is_current_member(
                    replica.vm, replica.incarnation
                )
                # A leader that counts this replica as a member may have
                # admitted it after the reply.
                if (is_heard and is_member) or not is_removed(
                    replica, vm, reply
                ):
                    continue
                await discard_state(replica, vm, 'is not a member')
                replica.become_follower()
        if not await request_admission(replica, [reply]):
            # Tries again with the next check of the election timer.
            replica.membership_checked_at = (
                replica.timers.now()
                - MEMBERSHIP_CHECK_SECONDS
                + RETRY_DELAY_SECONDS
            )
        return
