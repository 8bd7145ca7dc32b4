"""A small model of lost disks and elections that is searched exhaustively.

``search`` explores all orders of votes, elections, replication, changes of
the members and lost disks of a few replicas, with any subset of them reachable
at each step. A VM that lost its disk comes back with another incarnation,
which takes part only once a leader has admitted it. A restart that keeps the
disk is the same as being unreachable, since all that counts is stored.
"""

import collections
import dataclasses
import functools
import typing

from greengagegw.replication import election
from greengagegw.replication import entries
from greengagegw.replication import membership

FOLLOWER, CANDIDATE, RECOVERING, LEADER = range(4)


class ViolationError(Exception):
    """A rule was broken in the model."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules that are searched.

    :ivar can_lead_without: as ``membership.can_lead_without``.
    :ivar committed_index: as ``membership.committed_index``.
    :ivar can_learners_stand: whether a learner may recover the group.
    :ivar are_preceding_asked: whether a recovery asks the members before a
        change that may not be committed.
    :ivar is_loss_proved: whether only a VM with another incarnation counts
        as lost, and not one that is silent.
    :ivar are_recovery_terms_apart: whether a recovery has a term that other
        elections leave out.
    :ivar elect_recoveries_by_all: whether all voters must elect a candidate
        with a recovery that may not be committed.
    :ivar old_term: term whose leader is of an earlier release, which commits
        with a majority of the voters.
    :ivar are_old_terms_noticed: whether a recovery survives no loss if the
        last term that it knows is of an earlier release.
    """

    can_lead_without: object = membership.can_lead_without
    committed_index: object = membership.committed_index
    max_lost_disks: int = 2
    can_learners_stand: bool = True
    are_preceding_asked: bool = True
    is_loss_proved: bool = True
    are_recovery_terms_apart: bool = True
    elect_recoveries_by_all: bool = True
    old_term: int = -1
    are_old_terms_noticed: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """How far a search goes.

    :ivar campaigns: in all, whether they are won or not.
    :ivar losses: of disks, in all.
    :ivar entries: in a log.
    :ivar commands: in a log.
    :ivar has_removals: whether voters are removed and VMs admitted again.
    :ivar has_partial_sends: whether a message may lack the last entries.
    """

    campaigns: int
    losses: int
    entries: int
    commands: int = 0
    has_removals: bool = False
    has_partial_sends: bool = False


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Group:
    """Members with the sets that the rules need; equal ones are identical.

    :ivar all: VMs and incarnations, as in ``voters``.
    """

    members: entries.Members
    all: frozenset
    voters: frozenset


@functools.cache
def group_of(members):
    pairs = {(one.vm, one.incarnation): one for one in members.members}
    voters = frozenset(pair for pair, one in pairs.items() if one.is_voter)
    return Group(members, frozenset(pairs), voters)


class Entry(typing.NamedTuple):
    """An entry of a log; ``group`` is None if it changes no members."""

    term: int
    group: Group | None = None
    is_recovery: bool = False
    is_command: bool = False


class Node(typing.NamedTuple):
    """A replica.

    :ivar committed: number of entries that it knows to be committed.
    :ivar votes: VMs and incarnations that voted for it in its term.
    :ivar lost: those that a recovery counts as lost.
    """

    vm: str
    incarnation: str = '0'
    term: int = 0
    log: tuple = ()
    committed: int = 0
    role: int = FOLLOWER
    votes: frozenset = frozenset()
    lost: frozenset = frozenset()

    @property
    def pair(self):
        return self.vm, self.incarnation

    @property
    def position(self):
        return (self.log[-1].term if self.log else 0, len(self.log))


class State(typing.NamedTuple):
    """The replicas, and what has happened.

    :ivar committed: the longest log that was ever committed.
    :ivar commit_term: highest term of a leader that committed.
    :ivar leaders: terms and their leaders.
    :ivar campaigns: number of candidacies.
    """

    nodes: tuple
    committed: tuple
    commit_term: int
    leaders: frozenset = frozenset()
    campaigns: int = 0


@functools.cache
def newest(log):
    """Returns the index of the newest members in a log, and these."""
    for index in range(len(log), 0, -1):
        if log[index - 1].group is not None:
            return index, log[index - 1].group
    return 0, group_of(entries.Members(()))


@functools.cache
def in_force(log, committed, are_preceding_asked):
    """Returns the members that a recovery asks, the newest first."""
    groups = []
    size = len(log)
    while True:
        index, group = newest(log[:size])
        groups.append(group)
        if not are_preceding_asked or committed >= index:
            return groups
        size = index - 1
        if not log[index - 1].is_recovery:
            # A regular change is proposed only after the last one is
            # committed.
            groups.append(newest(log[:size])[1])
            return groups


@functools.cache
def asked_by(node, rules):
    """Returns the VMs and incarnations whose votes a recovery needs."""
    groups = in_force(node.log, node.committed, rules.are_preceding_asked)
    return frozenset().union(*(group.all for group in groups))


def replace(nodes, at, **changes):
    return (
        *nodes[:at],
        nodes[at]._replace(**changes),
        *nodes[at + 1 :],
    )


def is_recovery_open(node):
    """Returns whether the newest members are a recovery not yet committed."""
    index, _ = newest(node.log)
    return index > node.committed and node.log[index - 1].is_recovery


# Elections. A vote and the end of an election are steps of their own, so a
# disk may be lost between them.


def candidacies(nodes, rules):
    for at, node in enumerate(nodes):
        _, group = newest(node.log)
        if node.role == LEADER or node.pair not in group.all:
            continue
        term = node.term + 1
        is_voter = node.pair in group.voters
        can_win = has_majority(nodes, node, rules)
        if can_win:
            yield stand(nodes, at, term, CANDIDATE)
        if (is_voter or rules.can_learners_stand) and not (
            can_win and rules.is_loss_proved
        ):
            if rules.are_recovery_terms_apart:
                step = election.RECOVERY_TERM_STEP
                term = (node.term // step + 1) * step
            yield stand(nodes, at, term, RECOVERING, find_lost(nodes, node))


def stand(nodes, at, term, role, lost=frozenset()):
    votes = frozenset([nodes[at].pair])
    return replace(nodes, at, role=role, term=term, votes=votes, lost=lost)


def find_lost(nodes, node):
    """Returns the members of a candidate that have another incarnation."""
    pairs = frozenset().union(
        *(group.all for group in in_force(node.log, node.committed, True))
    )
    return pairs - {one.pair for one in nodes}


def has_majority(nodes, node, rules):
    """Returns whether the voters that are not lost could elect a node."""
    _, group = newest(node.log)
    whole = {one.pair for one in nodes} & group.voters
    return node.pair in group.voters and elects(node, whole, rules)


def elects(node, votes, rules):
    _, group = newest(node.log)
    if rules.elect_recoveries_by_all and is_recovery_open(node):
        return group.voters <= votes
    return 2 * len(group.voters & votes) > len(group.voters)


def votes(nodes, rules):
    for at, candidate in enumerate(nodes):
        if candidate.role == CANDIDATE:
            asked = newest(candidate.log)[1].voters
        elif candidate.role == RECOVERING:
            asked = asked_by(candidate, rules)
        else:
            continue
        for other, node in enumerate(nodes):
            if node.pair in asked and can_grant(node, candidate):
                changed = depose(nodes, other, term=candidate.term)
                yield replace(changed, at, votes=candidate.votes | {node.pair})


def can_grant(node, candidate):
    return (
        len(node.log) > 0
        and node.term < candidate.term
        and node.position <= candidate.position
    )


def without_hopeless(nodes, rules):
    """Returns the nodes without candidacies that cannot be won any more.

    A replica that cannot grant its vote now cannot do so later either.
    """
    for at, node in enumerate(nodes):
        if node.role not in (CANDIDATE, RECOVERING):
            continue
        granting = {one.pair for one in nodes if can_grant(one, node)}
        granting |= node.votes
        if node.role == CANDIDATE:
            is_hopeless = not elects(node, granting, rules)
        else:
            hopeful = replace(nodes, at, votes=frozenset(granting))
            is_hopeless = recover(hopeful, hopeful[at], rules) is None
        if is_hopeless:
            nodes = depose(nodes, at)
    return nodes


def depose(nodes, at, **changes):
    return replace(
        nodes,
        at,
        role=FOLLOWER,
        votes=frozenset(),
        lost=frozenset(),
        **changes,
    )


def victories(nodes, rules):
    """Yields the nodes after an election, and the index of the leader."""
    for at, node in enumerate(nodes):
        if node.role == CANDIDATE and elects(node, node.votes, rules):
            yield lead(nodes, at, Entry(node.term)), at
            entry = replace_lost(nodes, node)
            if entry is not None:
                yield lead(nodes, at, entry), at
        elif node.role == RECOVERING:
            entry = recover(nodes, node, rules)
            if entry is not None:
                yield lead(nodes, at, entry), at


def recover(nodes, node, rules):
    """Returns the recovery entry of a candidate, None if it may not lead."""
    groups = in_force(node.log, node.committed, rules.are_preceding_asked)
    silent = asked_by(node, rules) - node.votes
    empty = {one.pair for one in nodes if not one.log} & silent
    lost = silent - empty
    if rules.is_loss_proved:
        # They are known to be lost before the votes are asked for.
        lost &= node.lost
    limit = rules.max_lost_disks
    if rules.are_old_terms_noticed and node.log[-1].term == rules.old_term:
        limit = 0
    if not rules.can_lead_without(
        [group.members for group in groups],
        node.votes,
        empty,
        lost,
        limit,
    ):
        return None
    members = newest(node.log)[1].members
    for one in members.members:
        pair = one.vm, one.incarnation
        if pair in lost:
            members = members.with_member(
                entries.Member(one.vm, nodes[int(one.vm)].incarnation, False)
            )
        elif pair in node.votes:
            members = members.with_member(
                dataclasses.replace(one, is_voter=True)
            )
    return Entry(node.term, group_of(members), is_recovery=True)


def replace_lost(nodes, node):
    """Returns an entry that replaces the lost members, None for none."""
    _, group = newest(node.log)
    lost = group.all - {one.pair for one in nodes}
    needed = membership.votes_needed(len(group.voters))
    if not lost or len(group.voters - lost) != needed:
        return None
    incarnations = {vm: nodes[int(vm)].incarnation for vm, _ in lost}
    members = membership.recovered(group.members, (), incarnations)
    return Entry(node.term, group_of(members), is_recovery=True)


def lead(nodes, at, entry):
    log = (*nodes[at].log, entry)
    return replace(depose(nodes, at), at, role=LEADER, log=log)


# Replication.


def replications(nodes, rules, limits):
    for at, leader in enumerate(nodes):
        if leader.role != LEADER:
            continue
        _, group = newest(leader.log)
        for other, node in enumerate(nodes):
            if other == at or node.pair not in group.all:
                continue
            if node.term > leader.term:
                continue
            for log in sent_logs(leader, node, limits.has_partial_sends):
                # Followers need to know only which members are committed.
                committed, _ = newest(log[: leader.committed])
                changed = node._replace(
                    term=leader.term,
                    log=log,
                    role=FOLLOWER,
                    votes=frozenset(),
                    lost=frozenset(),
                    committed=max(node.committed, committed),
                )
                if changed != node:
                    yield update_commit(
                        (*nodes[:other], changed, *nodes[other + 1 :]),
                        at,
                        rules,
                    )


def sent_logs(leader, node, is_partial):
    """Yields the logs of a node after a message of a leader."""
    same = count_same(leader.log, node.log)
    if same == len(leader.log):
        yield node.log
        return
    if is_partial:
        for size in range(same + 1, len(leader.log)):
            yield leader.log[:size]
    yield leader.log


def update_commit(nodes, at, rules):
    """Returns the nodes after a leader counted who holds its entries."""
    leader = nodes[at]
    index, group = newest(leader.log)
    former = None
    if leader.committed < index:
        former = newest(leader.log[: index - 1])[1].members
    held = {
        node.vm: count_same(leader.log, node.log)
        for node in nodes
        if node.pair in group.all and node.term == leader.term
    }
    is_old = leader.term == rules.old_term
    size = rules.committed_index(
        group.members,
        former,
        index,
        leader.log[index - 1].is_recovery,
        held,
        0 if is_old else rules.max_lost_disks,
    )
    if size > leader.committed and leader.log[size - 1].term == leader.term:
        return replace(nodes, at, committed=size)
    return nodes


def count_same(log, other):
    """Returns how many entries at their beginning are the same."""
    count = 0
    for one, another in zip(log, other, strict=False):
        if one != another:
            break
        count += 1
    return count


# Changes by a leader, and lost disks.


def changes(nodes, rules, limits):
    """Yields commands, admissions, promotions and removals."""
    for at, leader in enumerate(nodes):
        if leader.role != LEADER or len(leader.log) >= limits.entries:
            continue
        commands = sum(one.is_command for one in leader.log)
        if commands < limits.commands:
            entry = Entry(leader.term, is_command=True)
            yield append(nodes, at, entry, rules)
        index, group = newest(leader.log)
        own_term = (
            leader.committed > 0
            and leader.log[leader.committed - 1].term == leader.term
        )
        if membership.is_settled(own_term, False, index, leader.committed):
            for members in changed_members(
                nodes, leader, group, rules, limits
            ):
                entry = Entry(leader.term, group_of(members))
                yield append(nodes, at, entry, rules)


def changed_members(nodes, leader, group, rules, limits):
    members = group.members
    copies = membership.required_copies(members, rules.max_lost_disks)
    for node in nodes:
        member = members.get(node.vm)
        if member is None:
            if limits.has_removals or not node.log:
                yield members.with_member(entries.Member(*node.pair, False))
            continue
        if member.incarnation != node.incarnation:
            yield members.with_member(entries.Member(*node.pair, False))
        elif not member.is_voter and node.log == leader.log:
            yield members.with_member(
                dataclasses.replace(member, is_voter=True)
            )
        # The removal must be on as many disks as all other entries.
        if (
            node is not leader
            and (limits.has_removals or not member.is_voter)
            and len(members.members) > copies
        ):
            yield members.without(node.vm)


def append(nodes, at, entry, rules):
    log = (*nodes[at].log, entry)
    return update_commit(replace(nodes, at, log=log), at, rules)


def count_losses(nodes):
    return sum(int(node.incarnation) for node in nodes)


def losses(nodes):
    for at, node in enumerate(nodes):
        incarnation = str(int(node.incarnation) + 1)
        yield (*nodes[:at], Node(node.vm, incarnation), *nodes[at + 1 :])


# The search.


def check_commits(state, nodes):
    """Returns a state with other nodes.

    :raises ViolationError: if their commits differ from earlier ones.
    """
    committed, term = state.committed, state.commit_term
    for node in nodes:
        size = min(node.committed, len(committed))
        if node.log[:size] != committed[:size]:
            raise ViolationError(f'{node} and {committed} are committed')
        if node.committed > len(committed):
            committed = node.log[: node.committed]
            term = max(term, node.term)
    return state._replace(nodes=nodes, committed=committed, commit_term=term)


def check_leader(state, nodes, at):
    """Returns a state in which a node has become the leader.

    :raises ViolationError: if its term has another leader, or if it lacks
        what was committed in an earlier term.
    """
    leader = nodes[at]
    for term, pair in state.leaders:
        if term == leader.term:
            raise ViolationError(f'{pair} and {leader} lead in one term')
    size = len(state.committed)
    if leader.term > state.commit_term and (
        leader.log[:size] != state.committed
    ):
        raise ViolationError(f'{leader} leads without {state.committed}')
    leaders = state.leaders | {(leader.term, leader.pair)}
    return state._replace(leaders=leaders)


def following_states(state, rules, limits):
    """Yields the states after each possible step."""

    def after(nodes, state=state):
        nodes = without_hopeless(nodes, rules)
        return state._replace(nodes=nodes)

    nodes = state.nodes
    if state.campaigns < limits.campaigns:
        standing = state._replace(campaigns=state.campaigns + 1)
        for changed in candidacies(nodes, rules):
            yield after(changed, standing)
    for changed in votes(nodes, rules):
        yield after(changed)
    for changed, at in victories(nodes, rules):
        following = check_leader(state, changed, at)
        changed = update_commit(changed, at, rules)
        yield after(changed, check_commits(following, changed))
    for changed in replications(nodes, rules, limits):
        yield after(changed, check_commits(state, changed))
    for changed in changes(nodes, rules, limits):
        yield after(changed, check_commits(state, changed))
    if count_losses(nodes) < limits.losses:
        for changed in losses(nodes):
            yield after(changed)


# States that differ in the names of the VMs only are searched once.


def renamed(state):
    """Returns a state with the VMs named in the order of what they hold."""
    leaders = [one for one in state.nodes if one.role == LEADER]
    candidates = [
        one for one in state.nodes if one.role in (CANDIDATE, RECOVERING)
    ]

    def sort_key(node):
        pair = node.pair
        return (
            node_key(node, state.committed),
            sorted((one.term, pair in one.votes) for one in candidates),
            sorted(standings(one.log, pair) for one in leaders),
        )

    order = sorted(state.nodes, key=sort_key)
    names = [''] * len(order)
    for at, node in enumerate(order):
        names[int(node.vm)] = str(at)
    names = tuple(names)
    if all(one is other for one, other in zip(order, state.nodes)):
        return state
    nodes = tuple(renamed_node(node, names) for node in order)
    leaders = renamed_leaders(state.leaders, names)
    committed = renamed_log(state.committed, names)
    return State(nodes, committed, state.commit_term, leaders, state.campaigns)


@functools.cache
def node_key(node, committed):
    return (
        node.role,
        node.term,
        node.committed,
        node.incarnation,
        len(node.votes),
        standings(node.log, node.pair),
        standings(committed, node.pair),
    )


@functools.cache
def renamed_node(node, names):
    return node._replace(
        vm=names[int(node.vm)],
        log=renamed_log(node.log, names),
        votes=frozenset(
            (names[int(vm)], incarnation) for vm, incarnation in node.votes
        ),
        lost=frozenset(
            (names[int(vm)], incarnation) for vm, incarnation in node.lost
        ),
    )


@functools.cache
def renamed_leaders(leaders, names):
    return frozenset(
        (term, (names[int(vm)], incarnation))
        for term, (vm, incarnation) in leaders
    )


@functools.cache
def standings(log, pair):
    return tuple(
        (
            one.term,
            one.is_command,
            0
            if one.group is None
            else 1 + (pair in one.group.all) + (pair in one.group.voters),
        )
        for one in log
    )


@functools.cache
def renamed_log(log, names):
    return tuple(
        one
        if one.group is None
        else one._replace(group=renamed_group(one.group, names))
        for one in log
    )


@functools.cache
def renamed_group(group, names):
    members = (
        dataclasses.replace(one, vm=names[int(one.vm)])
        for one in group.members.members
    )
    return group_of(
        entries.Members(tuple(sorted(members, key=lambda one: one.vm)))
    )


def make_start(voters, learners, outsiders=0, is_promoting=False, commands=0):
    """Returns a state with a leader whose first entry is committed.

    :param outsiders: VMs that are no members yet.
    :param is_promoting: whether the leader has just made the last voter one,
        which none of the others know.
    :param commands: that the leader has and sent to nobody.
    """
    size = voters + learners
    members = entries.Members(
        tuple(
            entries.Member(str(at), '0', at < voters - is_promoting)
            for at in range(size)
        )
    )
    log = (Entry(0, group_of(members)), Entry(2))
    own = log
    if is_promoting:
        member = entries.Member(str(voters - 1), '0', True)
        own = (*own, Entry(2, group_of(members.with_member(member))))
    own = (*own, *[Entry(2, is_command=True)] * commands)
    first = Node('0', term=2, log=own, committed=2, role=LEADER)
    others = [
        Node(str(at), term=2, log=log, committed=1) for at in range(1, size)
    ]
    others += [Node(str(size + at)) for at in range(outsiders)]
    leaders = frozenset([(2, first.pair)])
    return State((first, *others), log, 2, leaders)


def make_recovered(voters, learners, lost):
    """Returns a state in which the first VMs are lost and another leads.

    Nobody else holds its first entry.
    """
    rules = Rules()
    start = make_start(voters, learners)
    nodes = tuple(
        Node(node.vm, '1') if at < lost else node
        for at, node in enumerate(start.nodes)
    )
    nodes = stand_until_elected(nodes, lost, rules)
    leaders = start.leaders | {(nodes[lost].term, nodes[lost].pair)}
    return start._replace(nodes=nodes, leaders=leaders)


def stand_until_elected(nodes, at, rules):
    """Returns the nodes after all voted for one, None if it is not elected."""
    term = nodes[at].term
    for stood in candidacies(nodes, rules):
        if stood[at].term > term:
            nodes = stood
    while True:
        changed = next(
            (one for one in votes(nodes, rules) if one[at] != nodes[at]), None
        )
        if changed is None:
            break
        nodes = changed
    won = [won for won, leader in victories(nodes, rules) if leader == at]
    return won[-1] if won else None


def search(rules, start, limits, visit=None):
    """Explores all schedules and returns the number of states.

    :param visit: called with each state.

    :raises ViolationError: if a leader is elected that lacks a committed
        entry, if a term has two leaders, or if two commits differ.
    """
    start = renamed(start)
    seen = {start}
    pending = collections.deque([start])
    while pending:
        state = pending.popleft()
        if visit is not None:
            visit(state)
        for following in following_states(state, rules, limits):
            following = renamed(following)
            if following not in seen:
                seen.add(following)
                pending.append(following)
    return len(seen)


def can_heal(state, rules):
    """Returns whether one election leads to a leader that commits.

    All replicas are reachable, and no more disks are lost.
    """
    # Refused campaigns raise the terms of the candidates.
    term = max(node.term for node in state.nodes)
    for at in range(len(state.nodes)):
        nodes = depose(state.nodes, at, term=term)
        nodes = stand_until_elected(nodes, at, rules)
        if nodes is not None and commits_all(nodes, at, rules):
            return True
    return False


def commits_all(nodes, at, rules):
    """Returns whether a leader commits its log when all receive it."""
    limits = Limits(0, 0, 0)
    for _ in nodes:
        for changed in replications(nodes, rules, limits):
            if changed[at].term == nodes[at].term:
                nodes = changed
                break
    return nodes[at].committed == len(nodes[at].log)
