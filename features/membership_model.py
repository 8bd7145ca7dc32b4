"""Small models of member changes that are searched exhaustively.

``check_decisions`` applies the decision of a leader to every combination of
voters and learners up to a size. ``search_schedules`` explores all orders of
elections, replication, changes of members and wiped logs on a few replicas,
with any subset of them reachable at each step.
"""

import collections
import dataclasses
import itertools

from greengagegw.replication import entries
from greengagegw.replication import membership

MIN_VOTERS = 5
REPLY_SECONDS = 1.0
MAX_CHANGES_TO_SETTLE = 30
# Kinds of members, with the silence of voters in seconds.
SILENCES = {
    'heard': 0.0,
    'unheard': REPLY_SECONDS,
    'silent': membership.SILENT_VOTER_SECONDS,
    'gone': membership.REMOVE_VOTER_AFTER_SECONDS,
    'leaving': 0.0,
}
LEADER = 'leader'


class ViolationError(Exception):
    """A rule was broken in the model."""


def make_views(max_voters, max_learners):
    """Yields each combination of members in which the leader can commit."""
    for count in range(max_voters):
        kinds = itertools.combinations_with_replacement(SILENCES, count)
        for voter_kinds in kinds:
            for learners in range(max_learners + 1):
                for ready in range(learners + 1):
                    for lost in range(learners - ready + 1):
                        view = make_view(voter_kinds, learners, ready, lost)
                        if view.members.is_majority(reachable(view)):
                            yield view


def make_view(voter_kinds, learners, ready, lost):
    voters = [f'v{at}' for at in range(len(voter_kinds))]
    members = [
        *(entries.Member(vm, 'i', True) for vm in [LEADER, *voters]),
        *(entries.Member(f'x{at}', 'i', False) for at in range(learners)),
    ]
    silences = dict.fromkeys([LEADER], 0.0)
    for vm, kind in zip(voters, voter_kinds, strict=True):
        silences[vm] = SILENCES[kind]
    return membership.GroupView(
        entries.Members(tuple(members)),
        LEADER,
        silences,
        frozenset(f'x{at}' for at in range(ready)),
        frozenset(
            vm
            for vm, kind in zip(voters, voter_kinds, strict=True)
            if kind == 'leaving'
        ),
        frozenset(f'x{learners - 1 - at}' for at in range(lost)),
        MIN_VOTERS,
        REPLY_SECONDS,
    )


def reachable(view):
    return {
        vm
        for vm in view.members.voters
        if view.silences.get(vm, 0.0) < REPLY_SECONDS
    }


def spare(view):
    """Returns how many of the voters that reply may be lost."""
    needed = membership.votes_needed(len(view.members.voters))
    return len(reachable(view)) - needed


def check_change(view, members):
    """Checks one change of the members against the rules."""
    before, after = set(view.members.voters), set(members.voters)
    if before == after:
        return check_removed_learner(view, members)
    if len(before ^ after) != 1 or LEADER not in after:
        raise ViolationError(f'not one change: {before} to {after}')
    added = after - before
    if added and not added <= view.ready:
        raise ViolationError(f'promotes {added}, which is not ready')
    removed = before - after
    is_due = removed <= view.leaving or all(
        view.silences[vm] >= membership.SILENT_VOTER_SECONDS for vm in removed
    )
    if not is_due:
        raise ViolationError(f'removes {removed}, which replies')
    needed = membership.votes_needed(len(before))
    needed_after = membership.votes_needed(len(after))
    is_complete = len(before) >= MIN_VOTERS
    if needed_after > needed and is_complete and before - reachable(view):
        raise ViolationError('more votes are needed while a voter is silent')
    if needed_after < needed and needed_after < membership.votes_needed(
        MIN_VOTERS
    ):
        raise ViolationError('too few copies of a command are left')
    changed = dataclasses.replace(
        view, members=members, ready=view.ready - added
    )
    if spare(changed) < spare(view) and not removed <= view.leaving:
        raise ViolationError('fewer voters may be lost than before')
    return changed


def check_removed_learner(view, members):
    removed = set(view.members.members) - set(members.members)
    if (
        len(removed) != 1
        or not {one.vm for one in removed} <= view.silent_learners
        or not members.is_majority(reachable(view))
    ):
        raise ViolationError(f'removes the learners {removed}')
    return dataclasses.replace(
        view,
        members=members,
        silent_learners=view.silent_learners - {one.vm for one in removed},
    )


def check_decisions(decide, max_voters=9, max_learners=3):
    """Checks each change, and what is left when no change is due.

    :returns: the number of views that were checked.
    """
    count = 0
    for first in make_views(max_voters, max_learners):
        count += 1
        view = first
        for _ in range(MAX_CHANGES_TO_SETTLE):
            members = decide(view)
            if members is None:
                break
            view = check_change(view, members)
        else:
            raise ViolationError(f'the members change for ever: {first}')
        if view.silent_learners:
            raise ViolationError(f'keeps {view.silent_learners}: {first}')
        check_tolerance(first, view)
    return count


def check_tolerance(first, view):
    """Checks that two voters may be lost once the silent ones are replaced."""
    unreachable = set(first.members.voters) - reachable(first)
    is_replaced = len(unreachable) <= len(first.ready) and all(
        first.silences[vm] >= membership.SILENT_VOTER_SECONDS
        for vm in unreachable
    )
    is_complete = len(first.members.voters) >= MIN_VOTERS
    if is_complete and is_replaced and spare(view) < 2:
        raise ViolationError(f'only {spare(view)} may be lost: {first}')


# Schedules of a replicated log that holds members only.


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules that the schedules are checked with.

    :ivar is_settled: as ``membership.is_settled``.
    :ivar is_removed: as ``membership.is_removed``.
    """

    is_settled: object = membership.is_settled
    is_removed: object = membership.is_removed


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """A replica.

    :ivar log: pairs of a term and the voters, None for an entry that changes
        no members.
    :ivar committed: number of entries that it knows to be committed.
    """

    term: int = 0
    log: tuple = ()
    is_leader: bool = False
    is_wiped: bool = False
    committed: int = 0


def voters_of(log):
    return next((one[1] for one in reversed(log) if one[1] is not None), ())


def members_index(log):
    return max(
        (at + 1 for at, one in enumerate(log) if one[1] is not None), default=0
    )


def last_term(log):
    return log[-1][0] if log else 0


def replace_node(nodes, at, **changes):
    node = dataclasses.replace(nodes[at], **changes)
    return (*nodes[:at], node, *nodes[at + 1 :])


def elections(nodes, max_term):
    term = max(node.term for node in nodes) + 1
    if term > max_term:
        return
    for at, candidate in enumerate(nodes):
        voters = voters_of(candidate.log)
        if at not in voters or candidate.is_wiped:
            continue
        position = (last_term(candidate.log), len(candidate.log))
        granting = [
            vm
            for vm in voters
            if vm != at
            and not nodes[vm].is_wiped
            and (last_term(nodes[vm].log), len(nodes[vm].log)) <= position
        ]
        needed = membership.votes_needed(len(voters)) - 1
        for quorum in itertools.combinations(granting, needed):
            changed = nodes
            for vm in quorum:
                changed = replace_node(changed, vm, term=term, is_leader=False)
            yield replace_node(
                changed,
                at,
                term=term,
                is_leader=True,
                log=(*candidate.log, (term, None)),
            )


def replications(nodes):
    for at, leader in enumerate(nodes):
        if not leader.is_leader:
            continue
        for vm in range(len(nodes)):
            node = nodes[vm]
            if vm == at or node.is_wiped or node.term > leader.term:
                continue
            if (node.term, node.log) == (leader.term, leader.log) and (
                node.committed == leader.committed
            ):
                continue
            if vm not in voters_of(leader.log):
                continue
            yield (
                replace_node(
                    nodes,
                    vm,
                    term=leader.term,
                    log=leader.log,
                    is_leader=False,
                    committed=max(node.committed, leader.committed),
                ),
                at,
            )


def update_commit(nodes, at):
    """Returns the nodes after a leader counted who holds its entries."""
    leader = nodes[at]
    voters = voters_of(leader.log)
    for size in range(len(leader.log), leader.committed, -1):
        if leader.log[size - 1][0] != leader.term:
            break
        holders = [
            vm
            for vm in voters
            if nodes[vm].term == leader.term
            and nodes[vm].log[:size] == leader.log[:size]
        ]
        if len(holders) >= membership.votes_needed(len(voters)):
            return replace_node(nodes, at, committed=size)
    return nodes


def changes(nodes, rules, max_changes, are_voters_added):
    for at, leader in enumerate(nodes):
        if not leader.is_leader:
            continue
        made = sum(one[1] is not None for one in leader.log) - 1
        index = members_index(leader.log)
        has_committed_own_term = (
            leader.committed > 0
            and leader.log[leader.committed - 1][0] == leader.term
        )
        is_pending = (
            index > leader.committed
            and leader.log[index - 1][0] == leader.term
        )
        if made >= max_changes or not rules.is_settled(
            has_committed_own_term, is_pending, index, leader.committed
        ):
            continue
        voters = set(voters_of(leader.log))
        for vm in range(len(nodes)):
            changed = tuple(sorted(voters ^ {vm}))
            if vm == at or nodes[vm].is_wiped or len(changed) < 2:
                continue
            if vm not in voters and not are_voters_added:
                continue
            log = (*leader.log, (leader.term, changed))
            yield replace_node(nodes, at, log=log)


def wipes(nodes, rules):
    for leader in nodes:
        if not leader.is_leader:
            continue
        voters = voters_of(leader.log)
        members = entries.Members(
            tuple(entries.Member(str(vm), 'i', True) for vm in voters)
        )
        has_committed_own_term = (
            leader.committed > 0
            and leader.log[leader.committed - 1][0] == leader.term
        )
        is_committed = (
            has_committed_own_term
            and members_index(leader.log) <= leader.committed
        )
        for vm, node in enumerate(nodes):
            if node.log and rules.is_removed(
                members,
                is_committed,
                leader.term,
                str(vm),
                'i',
                last_term(node.log),
            ):
                yield replace_node(
                    nodes,
                    vm,
                    log=(),
                    is_wiped=True,
                    is_leader=False,
                    committed=0,
                )


def check_committed(nodes, committed):
    """Returns the longest committed log.

    :raises ViolationError: if two committed logs differ, or too few voters
        hold the committed one.
    """
    for node in nodes:
        log = node.log[: node.committed]
        size = min(len(log), len(committed))
        if log[:size] != committed[:size]:
            raise ViolationError(f'{log} and {committed} are committed')
        committed = max(log, committed, key=len)
    voters = voters_of(committed)
    holders = [
        vm for vm in voters if nodes[vm].log[: len(committed)] == committed
    ]
    if len(holders) < membership.votes_needed(len(voters)):
        raise ViolationError(f'only {holders} of {voters} hold {committed}')
    return committed


def search_schedules(
    rules,
    voter_count=4,
    max_term=3,
    max_changes=2,
    are_voters_added=False,
    are_logs_wiped=False,
):
    """Explores all schedules and returns the number of states.

    They begin with a leader that was elected by all voters. Four voters are
    the fewest for which the majorities after two changes may have no voter
    in common.

    :raises ViolationError: if a state breaks a rule.
    """
    voters = tuple(range(voter_count))
    start = ((0, voters),)
    nodes = (Node(1, start, committed=1),) * voter_count
    leader = Node(1, (*start, (1, None)), is_leader=True, committed=1)
    first = ((leader, *nodes[1:]), start)
    seen = {first}
    pending = collections.deque([first])
    while pending:
        nodes, committed = pending.popleft()
        following = [
            *elections(nodes, max_term),
            *(update_commit(*one) for one in replications(nodes)),
            *changes(nodes, rules, max_changes, are_voters_added),
            *(wipes(nodes, rules) if are_logs_wiped else ()),
        ]
        for changed in following:
            state = (changed, check_committed(changed, committed))
            if state not in seen:
                seen.add(state)
                pending.append(state)
    return len(seen)
