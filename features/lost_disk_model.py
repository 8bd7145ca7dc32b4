"""A small model of lost disks and elections that is searched exhaustively.

``search`` explores all orders of elections, replication, promotions,
admissions and lost disks of a few replicas, with any subset of them reachable
at each step. A VM that lost its disk comes back with another incarnation,
which takes part only once a leader has admitted it.
"""

import collections
import dataclasses
import itertools

from greengagegw.replication import entries
from greengagegw.replication import membership

MIN_VOTERS = 5


class ViolationError(Exception):
    """A rule was broken in the model."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules that are searched.

    :ivar can_lead_without: as ``membership.can_lead_without``.
    :ivar are_learners_asked: whether learners must confirm the members.
    :ivar is_loss_proved: whether only a VM with another incarnation counts
        as lost, and not one that is silent.
    :ivar are_promotions_held: whether a new voter counts for a commit only
        once it holds its promotion.
    """

    can_lead_without: object = membership.can_lead_without
    are_learners_asked: bool = True
    is_loss_proved: bool = True
    are_promotions_held: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """A replica.

    :ivar log: pairs of a term and the members, None for an entry that changes
        none.
    :ivar committed: number of entries that it knows to be committed.
    """

    incarnation: str = '0'
    term: int = 0
    log: tuple = ()
    is_leader: bool = False
    committed: int = 0

    @property
    def position(self):
        return (self.log[-1][0] if self.log else 0, len(self.log))


def newest(log):
    """Returns the index of the newest members in a log, and these."""
    for index in range(len(log), 0, -1):
        if log[index - 1][1] is not None:
            return index, log[index - 1][1]
    return 0, entries.Members(())


def is_member(nodes, members, vm):
    member = members.get(vm)
    at = int(vm)
    return member is not None and member.incarnation == nodes[at].incarnation


def replace_node(nodes, vm, **changes):
    at = int(vm)
    node = dataclasses.replace(nodes[at], **changes)
    return (*nodes[:at], node, *nodes[at + 1 :])


def take_term(nodes, vms, term):
    for vm in vms:
        nodes = replace_node(nodes, vm, term=term, is_leader=False)
    return nodes


def grants(nodes, vm, candidate):
    return nodes[int(vm)].position <= nodes[int(candidate)].position


def elections(nodes, rules, max_term):
    term = max(node.term for node in nodes) + 1
    if term > max_term:
        return
    for at, node in enumerate(nodes):
        candidate = str(at)
        _, members = newest(node.log)
        if candidate not in members.voters or not is_member(
            nodes, members, candidate
        ):
            continue
        whole = [vm for vm in members.voters if is_member(nodes, members, vm)]
        granting = [
            vm
            for vm in whole
            if vm != candidate and grants(nodes, vm, candidate)
        ]
        needed = membership.votes_needed(len(members.voters)) - 1
        for quorum in itertools.combinations(granting, needed):
            changed = take_term(nodes, quorum, term)
            yield lead(changed, candidate, term, None)
        yield from recoveries(nodes, rules, candidate, granting, term)


def recoveries(nodes, rules, candidate, granting, term):
    """Yields the elections of a candidate without lost voters."""
    node = nodes[int(candidate)]
    index, members = newest(node.log)
    previous = None
    if node.committed < index:
        _, previous = newest(node.log[: index - 1])
    for size in range(len(granting) + 1):
        for votes in itertools.combinations(granting, size):
            granted = {candidate, *votes}
            lost = set(members.voters) - granted
            if rules.is_loss_proved and any(
                is_member(nodes, members, vm) for vm in lost
            ):
                continue
            if not lost or not rules.can_lead_without(
                members, previous, granted, lost, MIN_VOTERS
            ):
                continue
            learners = [m.vm for m in members.members if not m.is_voter]
            if rules.are_learners_asked and not all(
                is_member(nodes, members, vm)
                and (
                    grants(nodes, vm, candidate)
                    or newest(nodes[int(vm)].log)
                    in ((index, members), (0, entries.Members(())))
                )
                for vm in learners
            ):
                continue
            asked = learners if rules.are_learners_asked else []
            changed = take_term(nodes, [*votes, *asked], term)
            yield lead(
                changed,
                candidate,
                term,
                membership.without_lost(
                    members,
                    {vm: nodes[int(vm)].incarnation for vm in lost},
                ),
            )


def lead(nodes, vm, term, members):
    return replace_node(
        nodes,
        vm,
        term=term,
        is_leader=True,
        log=(*nodes[int(vm)].log, (term, members)),
    ), vm


def replications(nodes, rules):
    for at, leader in enumerate(nodes):
        if not leader.is_leader:
            continue
        _, members = newest(leader.log)
        for member in members.members:
            node = nodes[int(member.vm)]
            if (
                member.vm == str(at)
                or node.incarnation != member.incarnation
                or node.term > leader.term
                or (node.term, node.log, node.committed)
                == (leader.term, leader.log, leader.committed)
            ):
                continue
            changed = replace_node(
                nodes,
                member.vm,
                term=leader.term,
                log=leader.log,
                is_leader=False,
                committed=max(node.committed, leader.committed),
            )
            yield update_commit(changed, at, rules)


def update_commit(nodes, at, rules):
    """Returns the nodes after a leader counted who holds its entries."""
    leader = nodes[at]
    index, members = newest(leader.log)
    _, former = newest(leader.log[: index - 1])
    for size in range(len(leader.log), leader.committed, -1):
        if leader.log[size - 1][0] != leader.term:
            break
        holders = {
            vm
            for vm in members.voters
            if is_member(nodes, members, vm)
            and nodes[int(vm)].term == leader.term
            and nodes[int(vm)].log[:size] == leader.log[:size]
            and (
                not rules.are_promotions_held
                or leader.committed >= index
                or vm in former.voters
                or nodes[int(vm)].log[:index] == leader.log[:index]
            )
        }
        if members.is_majority(holders):
            return replace_node(nodes, at, committed=size)
    return nodes


def changes(nodes, rules, max_entries):
    """Yields admissions, promotions, and removals of learners."""
    for at, leader in enumerate(nodes):
        if not leader.is_leader or len(leader.log) >= max_entries:
            continue
        index, members = newest(leader.log)
        own_term = (
            leader.committed > 0
            and leader.log[leader.committed - 1][0] == leader.term
        )
        if not membership.is_settled(own_term, False, index, leader.committed):
            continue
        for member in members.members:
            node = nodes[int(member.vm)]
            if node.incarnation != member.incarnation:
                changed = members.with_member(
                    entries.Member(member.vm, node.incarnation, False)
                )
            elif not member.is_voter and node.log == leader.log:
                changed = members.with_member(
                    dataclasses.replace(member, is_voter=True)
                )
            else:
                continue
            yield change(nodes, at, changed, rules)
        for member in members.members:
            if not member.is_voter:
                yield change(nodes, at, members.without(member.vm), rules)


def change(nodes, at, members, rules):
    leader = nodes[at]
    log = (*leader.log, (leader.term, members))
    return update_commit(replace_node(nodes, at, log=log), at, rules)


def losses(nodes, max_losses):
    lost = sum(int(node.incarnation) for node in nodes)
    if lost >= max_losses:
        return
    for at, node in enumerate(nodes):
        yield replace_node(
            nodes,
            at,
            incarnation=str(int(node.incarnation) + 1),
            term=0,
            log=(),
            is_leader=False,
            committed=0,
        )


def check(nodes, committed):
    """Returns the longest log that was ever committed."""
    for node in nodes:
        log = node.log[: node.committed]
        size = min(len(log), len(committed))
        if log[:size] != committed[:size]:
            raise ViolationError(f'{log} and {committed} are committed')
        committed = max(log, committed, key=len)
    return committed


def search(
    rules,
    voters,
    learners,
    max_term,
    max_losses,
    max_entries,
    has_command=False,
):
    """Explores all schedules and returns the number of states.

    They begin with a leader whose first entry is committed.

    :param has_command: whether the leader has a command besides that it has
        sent to nobody.

    :raises ViolationError: if a leader is elected that lacks a committed
        entry, or if two commits differ.
    """
    members = entries.Members(
        tuple(
            entries.Member(str(at), '0', at < voters)
            for at in range(voters + learners)
        )
    )
    log = ((0, members), (1, None))
    node = Node('0', 1, log, committed=2)
    nodes = (
        dataclasses.replace(
            node, log=(*log, *[(1, None)] * has_command), is_leader=True
        ),
        *(node for _ in range(voters + learners - 1)),
    )
    first = (nodes, log)
    seen = {first}
    pending = collections.deque([first])
    while pending:
        nodes, committed = pending.popleft()
        following = []
        for changed, vm in elections(nodes, rules, max_term):
            held = changed[int(vm)].log[: len(committed)]
            if held != committed:
                raise ViolationError(f'{vm} leads without {committed}')
            following.append(update_commit(changed, int(vm), rules))
        following += replications(nodes, rules)
        following += changes(nodes, rules, max_entries)
        following += losses(nodes, max_losses)
        for changed in following:
            state = (changed, check(changed, committed))
            if state not in seen:
                seen.add(state)
                pending.append(state)
    return len(seen)
