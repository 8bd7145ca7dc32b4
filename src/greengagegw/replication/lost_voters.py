"""Election of a leader when half of the voters have lost their disks.

An empty disk is admitted by a leader only, so a group of an even number of
voters of which half are empty would have no leader for good. The rule that
such a group can lead itself is ``membership.can_lead_without``.
"""

import dataclasses
import typing

import eliot

from . import entries as log_entries
from . import membership
from . import startup

if typing.TYPE_CHECKING:
    from . import replica as replicas


@dataclasses.dataclass(frozen=True, slots=True)
class Recovery:
    """An election without the voters whose disks are lost.

    :ivar remaining: voters that must grant their vote.
    :ivar learners: VMs that must know no newer members, since a leader that
        is lost may have promoted them.
    :ivar members: members after it; lost voters are learners.
    """

    remaining: frozenset[str]
    learners: frozenset[str]
    members: log_entries.Members


async def find_recovery(
    replica: 'replicas.Replica', members: log_entries.Members
) -> Recovery | None:
    """Returns the election that a candidate without a majority may hold.

    A voter has lost its disk if another incarnation replies on its VM.

    :param members: those whose votes were asked for. The replica may have
        others by now, or none if it has discarded its state.
    """
    remaining = frozenset(replica.last_votes['granted'])
    lost = frozenset(replica.last_votes['refused'])
    if replica.members != members or not can_lead_without(
        replica, remaining, lost
    ):
        return None
    replies = await startup.identify_to(replica, lost)
    incarnations = {
        vm: reply['incarnation']
        for vm, reply in replies.items()
        if reply['incarnation'] != members.get(vm).incarnation
    }
    if set(incarnations) != lost or replica.members != members:
        return None
    learners = frozenset(
        one.vm
        for one in members.members
        if not one.is_voter and one.vm not in replica.memory_replicas
    )
    eliot.log_message(
        'replica:voters_lost',
        group=replica.group,
        lost=sorted(lost),
        remaining=sorted(remaining),
        learners=sorted(learners),
    )
    return Recovery(
        remaining, learners, membership.without_lost(members, incarnations)
    )


def can_lead_without(
    replica: 'replicas.Replica',
    granted: frozenset[str],
    lost: frozenset[str],
) -> bool:
    previous = None
    if not replica.are_members_committed:
        previous = replica.members_at(replica.members_index - 1)
    return membership.can_lead_without(
        replica.members, previous, granted, lost, replica.min_voters
    )


async def is_confirmed(
    replica: 'replicas.Replica', recovery: Recovery
) -> bool:
    """Returns whether the votes of the last election are enough.

    A learner that holds entries which the candidate lacks refuses its vote.
    They are not committed unless they have promoted it, of which it would
    know: a leader counts it only once it holds its promotion. Its refusal has
    made it adopt the term of the candidate, so it takes no promotion from an
    earlier leader any more.
    """
    granted = set(replica.last_votes['granted'])
    if not recovery.remaining <= granted:
        return False
    refusing = recovery.learners - granted
    replies = await startup.identify_to(replica, refusing)
    unconfirmed = [
        vm
        for vm in sorted(refusing)
        if vm not in replies
        or not knows_no_newer_members(replica, vm, replies[vm])
    ]
    if unconfirmed:
        eliot.log_message(
            'replica:not_recovered',
            group=replica.group,
            unconfirmed=unconfirmed,
        )
    return not unconfirmed


def knows_no_newer_members(
    replica: 'replicas.Replica', vm: str, reply: dict
) -> bool:
    """Returns whether a learner has no members, or those of the candidate."""
    if not replica.is_current_member(vm, reply['incarnation']):
        return False
    if not reply['members']:
        return True
    return (
        reply.get('term') == replica.term
        and reply['members_index'] == replica.members_index
        and log_entries.Members.unpack(reply['members']) == replica.members
    )
