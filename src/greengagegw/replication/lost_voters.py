"""Election of a leader when a majority of the voters has lost its disks.

An empty disk is admitted by a leader only, so such a group would have no
leader for good. The rule that it can lead itself is
``membership.can_lead_without``.
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
    """An election without the members whose disks are lost.

    :ivar remaining: members that must grant their vote.
    :ivar members: members after it: all members that granted their vote are
        voters, the others learners.
    """

    remaining: frozenset[str]
    members: log_entries.Members


async def find_recovery(
    replica: 'replicas.Replica', members: log_entries.Members
) -> Recovery | None:
    """Returns the election that a candidate without a majority may hold.

    :param members: those whose votes were asked for. The replica may have
        others by now, or none if it has discarded its state.
    """
    votes = replica.last_votes
    if replica.members != members or votes['silent'] or not votes['refused']:
        return None
    in_force = replica.members_in_force()
    granted = replica.granted_ids
    others = replica.ids_in_force() - granted
    successors = await find_lost(replica, others)
    lost = frozenset(successors)
    if not lost:
        return None
    # Asked when the losses are known: no earlier leader that is lost can
    # count them for a commit any more.
    empty = await find_empty(replica, others - lost)
    limit = replica.survivable_losses
    if replica.members != members:
        return None
    if not membership.can_lead_without(in_force, granted, empty, lost, limit):
        eliot.log_message(
            'replica:not_recovered',
            group=replica.group,
            lost=sorted(vm for vm, _ in lost),
            survivable=limit,
            unconfirmed=sorted(vm for vm, _ in others - lost - empty),
        )
        return None
    remaining = frozenset(vm for vm, _ in granted)
    eliot.log_message(
        'replica:voters_lost',
        group=replica.group,
        lost=sorted(vm for vm, _ in lost),
        remaining=sorted(remaining),
    )
    incarnations = {
        vm: successor
        for (vm, incarnation), successor in successors.items()
        if (vm, incarnation) in members.ids
    }
    return Recovery(
        remaining,
        membership.recovered(
            members,
            [vm for vm in remaining if members.get(vm) is not None],
            incarnations,
        ),
    )


async def find_lost(
    replica: 'replicas.Replica', ids: frozenset[log_entries.MemberId]
) -> dict[log_entries.MemberId, str]:
    """Returns the members that have lost their disks.

    A disk is lost if another incarnation replies on its VM.

    :returns: the incarnation that replies, by lost member.
    """
    replies = await startup.identify_to(replica, {vm for vm, _ in ids})
    return {
        (vm, incarnation): replies[vm]['incarnation']
        for vm, incarnation in ids
        if vm in replies and replies[vm]['incarnation'] != incarnation
    }


async def find_empty(
    replica: 'replicas.Replica', ids: frozenset[log_entries.MemberId]
) -> frozenset[log_entries.MemberId]:
    """Returns the members that hold nothing yet."""
    replies = await startup.identify_to(replica, {vm for vm, _ in ids})
    return frozenset(
        (vm, incarnation)
        for vm, incarnation in ids
        if vm in replies
        and replies[vm]['incarnation'] == incarnation
        and not replies[vm]['members']
    )


def replace_lost(replica: 'replicas.Replica') -> log_entries.Members | None:
    """Returns the members by which an elected candidate replaces lost voters.

    To admit one after the other takes several syncs each, in which
    further disks may be lost. If the voters that are left are just a majority,
    all of them are needed for each entry anyway, so that all lost ones can be
    replaced at once.

    :returns: None if there is nothing to replace, or more voters are left.
    """
    members = replica.members
    lost = {
        vm: incarnation
        for vm, incarnation in replica.new_incarnations.items()
        if vm in members.voters
    }
    remaining = len(members.voters) - len(lost)
    if not lost or remaining != membership.votes_needed(len(members.voters)):
        return None
    eliot.log_message(
        'replica:voters_lost',
        group=replica.group,
        lost=sorted(lost),
        remaining=sorted(set(members.voters) - set(lost)),
    )
    return membership.recovered(members, (), lost)
