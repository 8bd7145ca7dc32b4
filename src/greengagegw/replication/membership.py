"""Decisions about the members of a group, as pure functions.

A group changes one member at a time (Ongaro's dissertation, 2014, section
4.1). docs/design/replication.md weighs the rules.
"""

import collections.abc
import dataclasses

from . import entries as log_entries

# A voter that is silent for this long is exchanged for a learner. The limit
# is above the 2 s that the restart of a process takes, and leaves 2.5 s of
# the 5 s from the loss of a machine until its successor must count.
SILENT_VOTER_SECONDS = 2.5
# Well above the time that the restart of a machine takes.
REMOVE_VOTER_AFTER_SECONDS = 15.0
# An election without a majority waits for the reply of each learner, so one
# that is gone for good must not stay.
REMOVE_LEARNER_AFTER_SECONDS = REMOVE_VOTER_AFTER_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class GroupView:
    """What a leader knows of the members of its group.

    :ivar leader: VM of the leader.
    :ivar silences: seconds since the last reply of each voter, 0 for the
        leader.
    :ivar ready: learners that reply, hold the log and may be promoted.
    :ivar leaving: voters that are about to stop.
    :ivar silent_learners: learners that have been silent for
        ``REMOVE_LEARNER_AFTER_SECONDS``.
    :ivar min_voters: number of voters below which the group does not shrink,
        except while a voter is exchanged.
    :ivar reply_seconds: silence up to which a voter counts as reachable.
    """

    members: log_entries.Members
    leader: str
    silences: collections.abc.Mapping[str, float]
    ready: frozenset[str]
    leaving: frozenset[str]
    silent_learners: frozenset[str]
    min_voters: int
    reply_seconds: float


def votes_needed(voter_count: int) -> int:
    return voter_count // 2 + 1


def is_settled(
    has_committed_own_term: bool,
    is_change_pending: bool,
    members_index: int,
    commit_index: int,
) -> bool:
    """Returns whether a leader may propose a change of the members.

    An entry of the leader's term must be committed. Otherwise a change of an
    earlier leader that this one does not know may still be committed, by a
    majority without a voter in common with that of the new change (Ongaro,
    "bug in single-server membership changes", raft-dev, 2015).

    :param is_change_pending: whether a change was proposed whose outcome is
        not known.
    """
    return (
        has_committed_own_term
        and not is_change_pending
        and members_index <= commit_index
    )


def next_members(view: GroupView) -> log_entries.Members | None:
    """Returns the members after the next change, None for no change.

    The votes that a majority needs never rise while a voter is silent. An
    exchange first removes the silent voter and then promotes the learner.
    """
    voters = view.members.voters
    is_even = len(voters) % 2 == 0
    is_any_unheard = any(
        view.silences.get(vm, 0.0) >= view.reply_seconds for vm in voters
    )
    if view.ready and (
        # One more voter leaves the votes needed as they are.
        is_even or not is_any_unheard or len(voters) < view.min_voters
    ):
        return _with_voter(view.members, min(view.ready))
    # Without a voter of an even number, one vote less is needed: whether the
    # voter is gone or returns, the others need the same votes of their own.
    # Of an odd number, the voter would be missed if it returned.
    if is_even and len(voters) > view.min_voters:
        removable = _removable(view, SILENT_VOTER_SECONDS) or _leaving(view)
    elif view.ready and len(voters) >= view.min_voters:
        removable = _removable(view, SILENT_VOTER_SECONDS)
    elif len(voters) > view.min_voters:
        removable = _removable(view, REMOVE_VOTER_AFTER_SECONDS)
    else:
        removable = None
    if removable is None:
        removable = _silent_learner(view)
    return None if removable is None else view.members.without(removable)


def describe_change(view: GroupView, members: log_entries.Members) -> str:
    """Returns by which rule :func:`next_members` changes the members."""
    before, after = set(view.members.voters), set(members.voters)
    for vm in after - before:
        return f'{vm} is ready'
    for vm in before - after:
        silence = view.silences.get(vm, 0.0)
        if silence >= SILENT_VOTER_SECONDS:
            return f'{vm} is silent for {silence:.1f} s'
        return f'{vm} is about to stop'
    removed = {one.vm for one in view.members.members} - {
        one.vm for one in members.members
    }
    return f'learners are silent: {", ".join(sorted(removed))}'


def committed_index(
    members: log_entries.Members,
    former: log_entries.Members | None,
    members_index: int,
    is_recovery: bool,
    held: collections.abc.Mapping[str, int],
    max_lost_disks: int,
) -> int:
    """Returns the last index that is on enough disks to be committed.

    That is a majority of the voters, as an election asks them, and more
    members than the disks that may be lost. Voters alone would not do: while
    lost disks are replaced, a majority of them is fewer disks.

    :param former: the members before the last change, None if that change is
        committed. It is committed by the members before and after it, since
        another leader may not know it; later entries by those after it.
    :param members_index: index of the last change.
    :param is_recovery: whether that change replaced all lost voters. Then all
        voters must hold it, as any majority of them must know it afterwards.
    :param held: index of the last entry that each member holds, by VM.
    """
    if former is not None:
        index = _committed_change(
            members, former, members_index, is_recovery, held, max_lost_disks
        )
        if index < members_index:
            return index
    index = min(
        _held_by(votes_needed(len(members.voters)), members.voters, held),
        _held_by(
            required_copies(members, max_lost_disks), _vms(members.ids), held
        ),
    )
    return index if former is None else max(index, members_index)


def _committed_change(
    members: log_entries.Members,
    former: log_entries.Members,
    members_index: int,
    is_recovery: bool,
    held: collections.abc.Mapping[str, int],
    max_lost_disks: int,
) -> int:
    # A voter that does not hold its promotion yet does not count.
    counted = {
        vm: index if vm in former.voters or index >= members_index else 0
        for vm, index in held.items()
    }
    voters = members.voters
    copies = members.ids & former.ids
    copies_needed = required_copies(former, max_lost_disks)
    return min(
        _held_by(
            len(voters) if is_recovery else votes_needed(len(voters)),
            voters,
            counted,
        ),
        _held_by(min(copies_needed, len(copies)), _vms(copies), held),
    )


def _vms(ids: collections.abc.Iterable[log_entries.MemberId]) -> list[str]:
    return [vm for vm, _ in ids]


def required_copies(members: log_entries.Members, max_lost_disks: int) -> int:
    """Returns on how many disks a committed entry is.

    A small group cannot keep more than a majority of all members while one of
    them is silent.
    """
    return min(max_lost_disks + 1, votes_needed(len(members.members)))


def _held_by(
    count: int,
    vms: collections.abc.Iterable[str],
    held: collections.abc.Mapping[str, int],
) -> int:
    """Returns the last index that so many VMs hold, 0 if there are fewer."""
    indexes = sorted((held.get(vm, 0) for vm in vms), reverse=True)
    return indexes[count - 1] if 0 < count <= len(indexes) else 0


def can_lead_without(
    in_force: collections.abc.Sequence[log_entries.Members],
    granted: collections.abc.Set[log_entries.MemberId],
    empty: collections.abc.Set[log_entries.MemberId],
    lost: collections.abc.Set[log_entries.MemberId],
    max_lost_disks: int,
) -> bool:
    """Returns whether a candidate may lead although no majority is left.

    That is so if all members grant their vote that have not lost their disks,
    and no more disks are lost than a committed entry survives: one that grants
    its vote holds each of them. There is no second leader in the term: such
    elections have terms of their own, and each needs all these votes.

    :param in_force: the newest members that the candidate knows and, if
        their change may not be committed, those before, as another leader may
        have committed with these.
    :param empty: learners that hold nothing yet.
    """
    answered = granted | empty | lost
    return all(
        members.ids <= answered
        and not members.voter_ids & empty
        and len(members.ids & lost) < required_copies(members, max_lost_disks)
        for members in in_force
    )


def recovered(
    members: log_entries.Members,
    granted: collections.abc.Iterable[str],
    incarnations: collections.abc.Mapping[str, str],
) -> log_entries.Members:
    """Returns the members after an election without the lost disks.

    All VMs that granted their vote are voters, and lost ones learners.

    :param incarnations: the new incarnation of each lost member, by VM.
    """
    for vm in granted:
        members = _with_voter(members, vm)
    for vm, incarnation in incarnations.items():
        members = members.with_member(
            log_entries.Member(vm, incarnation, False)
        )
    return members


def _with_voter(members: log_entries.Members, vm: str) -> log_entries.Members:
    learner = members.get(vm)
    return members.with_member(dataclasses.replace(learner, is_voter=True))


def _removable(view: GroupView, silence_seconds: float) -> str | None:
    """Returns the voter that is silent for longest, if it may be removed."""
    silent = [
        vm
        for vm in view.members.voters
        if vm != view.leader
        and view.silences.get(vm, 0.0) >= silence_seconds
        and _can_commit_without(view, vm)
    ]
    return max(silent, key=lambda vm: (view.silences[vm], vm), default=None)


def _leaving(view: GroupView) -> str | None:
    leaving = [
        vm
        for vm in sorted(view.leaving & set(view.members.voters))
        if vm != view.leader and _can_commit_without(view, vm)
    ]
    return leaving[0] if leaving else None


def _silent_learner(view: GroupView) -> str | None:
    """Returns a learner to remove, if that can be committed."""
    vm = min(view.silent_learners, default=None)
    return vm if vm is not None and _can_commit_without(view, vm) else None


def _can_commit_without(view: GroupView, removed: str) -> bool:
    """Returns whether the voters that remain can commit a removal."""
    reachable = {
        vm
        for vm in view.members.voters
        if view.silences.get(vm, 0.0) < view.reply_seconds
    }
    return view.members.without(removed).is_majority(reachable)


def is_removed(
    members: log_entries.Members,
    is_committed: bool,
    leader_term: int,
    vm: str,
    incarnation: str,
    last_log_term: int,
) -> bool:
    """Returns whether a leader's members show that a replica was removed.

    A replica that joined again later holds an entry of the term of the
    leader that promoted it. So the members of an earlier leader, which does
    not know yet that it was replaced, prove nothing.

    :param is_committed: whether the leader knows these members, and an entry
        of its term, to be committed.
    :param last_log_term: term of the last entry that the replica holds.
    """
    member = members.get(vm)
    is_member = member is not None and member.incarnation == incarnation
    return is_committed and not is_member and leader_term >= last_log_term
