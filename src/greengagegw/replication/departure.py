"""The planned stop of a replica: it hands over, and stops counting."""

import contextlib
import typing

import anyio
import eliot

from .. import errors
from . import election
from . import replies
from . import roles

if typing.TYPE_CHECKING:
    from . import replica as replicas

RETRY_DELAY_SECONDS = 0.1
# A replica that is started again soon after a stop must not be removed.
LEAVING_SECONDS = 1.0


async def leave(replica: 'replicas.Replica', timeout_seconds: float) -> None:
    """Prepares the stop of this replica.

    A leader hands over first. A voter then asks the leader to be exchanged
    for a learner, or to be removed if the others are enough. It returns at
    once if the leader will do neither.
    """
    replica.is_leaving = True
    with replica.timers.move_on_after(timeout_seconds):
        while _is_voter(replica):
            if replica.is_leader:
                await hand_over(replica)
            elif replica.leader is not None and not await _ask_to_leave(
                replica, replica.leader
            ):
                return
            await replica.timers.sleep(RETRY_DELAY_SECONDS)


def _is_voter(replica: 'replicas.Replica') -> bool:
    member = replica.members.get(replica.vm)
    is_running = replica.role not in (roles.Role.STARTING, roles.Role.FAILED)
    return is_running and member is not None and member.is_voter


async def _ask_to_leave(replica: 'replicas.Replica', leader: str) -> bool:
    """Returns whether to ask again later."""
    message = [replica.vm, replica.incarnation]
    try:
        reply = await replica.call_peer(
            leader, 'leave', message, replies.check_leave
        )
    except errors.GatewayError as error:
        eliot.log_message(
            'replica:leave_not_asked',
            group=replica.group,
            leader=leader,
            reason=error.message,
        )
        # A leader of an earlier release does not know the method. One whose
        # reply is malformed is not asked again either.
        return not isinstance(error, errors.PeerProtocolError)
    return reply['is_voter'] and reply['is_removable']


async def hand_over(replica: 'replicas.Replica') -> None:
    """Steps down and has the voter with the longest log campaign."""
    voters = [vm for vm in replica.members.voters if vm != replica.vm]
    now = replica.timers.now()
    candidates = [
        vm
        for vm in voters
        if now - replica.contact_times.get(vm, replica.led_since)
        < replica.timeouts.election_seconds
        and vm not in leaving_voters(replica)
    ]
    if not candidates:
        eliot.log_message('replica:not_handed_over', group=replica.group)
        return
    successor = max(
        candidates, key=lambda vm: (replica.match_index.get(vm, 0), vm)
    )
    eliot.log_message(
        'replica:hand_over', group=replica.group, successor=successor
    )
    term = replica.term
    replica.become_follower()
    # It must not campaign against its successor.
    replica.last_campaign_at += replica.timeouts.election_seconds

    async def tell(vm: str, is_successor: bool) -> None:
        try:
            await replica.call_peer(vm, 'released', [term, is_successor])
        except errors.GatewayError as error:
            # The voter campaigns after its election timeout.
            eliot.log_message(
                'replica:not_told',
                group=replica.group,
                vm=vm,
                reason=error.message,
            )

    # The others must know it before the successor asks for their votes.
    with replica.timers.move_on_after(replica.timeouts.heartbeat_seconds):
        async with anyio.create_task_group() as tasks:
            for vm in candidates:
                if vm != successor:
                    tasks.start_soon(tell, vm, False)
    await tell(successor, True)


async def on_released(
    replica: 'replicas.Replica', peer: str, message: list
) -> None:
    """Stops following a leader that stepped down to end."""
    term, is_successor = message
    replica.require_started()
    # The announcement that it stepped down may have arrived before.
    if replica.term != term or replica.leader not in (peer, None):
        return
    replica.leader = None
    replica.released_term = term
    member = replica.members.get(replica.vm)
    if is_successor and member is not None and member.is_voter:
        replica.tasks.start_soon(campaign_as_successor, replica)


async def campaign_as_successor(replica: 'replicas.Replica') -> None:
    # A failure of the disk is logged where it is found.
    with contextlib.suppress(errors.DiskFailedError):
        await election.campaign(replica)


async def on_leave(
    replica: 'replicas.Replica', peer: str, message: list
) -> dict[str, bool]:
    """Notes that a voter is about to stop."""
    vm, incarnation = message
    replica.require_leader()
    member = replica.members.get(vm)
    if (
        member is None
        or member.incarnation != incarnation
        or not member.is_voter
    ):
        return {'is_voter': False, 'is_removable': False}
    replica.leaving[vm] = replica.timers.now()
    replica.members_check_wanted.set()
    voter_count = len(replica.members.voters)
    has_learner = any(
        not one.is_voter and one.vm not in replica.memory_replicas
        for one in replica.members.members
    )
    is_spare = voter_count % 2 == 0 and voter_count > replica.min_voters
    return {'is_voter': True, 'is_removable': has_learner or is_spare}


def leaving_voters(replica: 'replicas.Replica') -> frozenset[str]:
    """Returns the voters that asked recently to be removed."""
    now = replica.timers.now()
    return frozenset(
        vm
        for vm, asked_at in replica.leaving.items()
        if now - asked_at < LEAVING_SECONDS
    )
