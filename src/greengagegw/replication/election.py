"""Leader election: timeouts, pre-votes and votes."""

import collections.abc
import contextlib
import dataclasses
import math
import typing

import anyio
import eliot

from .. import errors
from . import lost_voters
from . import replies
from . import roles
from . import timing

if typing.TYPE_CHECKING:
    from . import replica as replicas

REPLY_TIMEOUT_SECONDS = 1.0
# A voter stores its vote before it replies.
VOTE_TIMEOUT_SECONDS = timing.WRITE_HANG_SECONDS
# Caps the stagger in large groups; voters past this rank share one timeout,
# and only the jitter separates them.
MAX_STAGGERED_RANK = 5
# A replica whose disk was slow, hung or failed within this time campaigns
# after all others. A leader that steps down because of its disk would else
# often win the next election, and step down again.
DISK_PENALTY_SECONDS = 20.0
# Well above the sync of a sound disk. A leader that needs longer hands over if
# others are faster, and a candidate that needs longer gives up once.
SLOW_WRITE_SECONDS = 0.5
SLOW_WRITES_BEFORE_HANDOVER = 3
# Two such writes and two round trips of 0.11 s exceed the stagger of the
# timeouts. Voters that have seen one leave a candidate more time.
SUPPORTED_WRITE_SECONDS = 0.05
# An election takes a write of the candidate and one of the voters, which may
# wait for a write that is under way.
WRITES_PER_ELECTION = 3
# Terms of recovery elections are the multiples of this number, which other
# elections leave out: the voters of a leader that is lost may all be lost
# disks, so that nobody knows its term. It exceeds the number of elections that
# may be held while a replica is cut off.
RECOVERY_TERM_STEP = 1000
# The term and the index of an entry.
EntryId = tuple[int, int]
# The disks of others are faster if they need less than this part of the time.
FASTER_RATIO = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Electorate:
    """Who votes in an election, and which votes win it.

    :ivar asked: the VMs that are asked, without the candidate.
    :ivar is_won: returns whether the VMs that granted their vote are enough.
    """

    asked: frozenset[str]
    is_won: collections.abc.Callable[[set[str]], bool]


def usual_electorate(replica: 'replicas.Replica') -> Electorate:
    """Returns the electorate in which a majority of the voters wins."""
    voters = frozenset(replica.members.voters)
    is_won = replica.is_quorum if replica.vm in voters else _is_never_won
    return Electorate(voters - {replica.vm}, is_won)


def with_all_in_force(
    replica: 'replicas.Replica', electorate: Electorate
) -> Electorate:
    """Returns the electorate with all members that may be in force.

    The votes of learners and of former members are needed for an election
    without the lost disks only.
    """
    ids = replica.ids_in_force()
    asked = electorate.asked | {vm for vm, _ in ids} - {replica.vm}
    return dataclasses.replace(electorate, asked=asked)


def _is_never_won(votes: set[str]) -> bool:
    return False


def election_timeout_seconds(
    replica: 'replicas.Replica', jitter: float
) -> float:
    """Returns the seconds without a leader before a replica campaigns.

    The timeouts of the voters are staggered by rank, so that each campaign
    can end before the next one begins and votes are not split. If no leader
    is known, as after a restart, the timeout starts from the heartbeat
    interval: a live leader would have sent one by then, and voters that
    have a leader reject the campaign. Learners come after all voters.

    :param jitter: 0 to 1, drawn again for each election.
    """
    timeouts = replica.timeouts
    seconds = timeouts.election_seconds
    if replica.leader is None:
        seconds = timeouts.heartbeat_seconds
    members = replica.members
    ranked = [*sorted(members.voters), *sorted(members.learners)]
    rank = ranked.index(replica.vm) if replica.vm in ranked else 0
    rank = min(rank, MAX_STAGGERED_RANK)
    if has_disk_penalty(replica):
        rank += MAX_STAGGERED_RANK + 1
    return seconds + timeouts.stagger_seconds * (rank + jitter / 2)


def has_disk_penalty(replica: 'replicas.Replica') -> bool:
    """Returns whether the disk had a fault within the penalty."""
    return replica.timers.now() - replica.disk_fault_at < DISK_PENALTY_SECONDS


def leader_hang_seconds(replica: 'replicas.Replica') -> float:
    """Returns after how long a write of a leader is taken for a hang.

    One that was elected though its disk had a fault leads because no other
    could: if it handed over after each slow write, nothing would be committed.
    """
    if replica.was_elected_with_penalty:
        return timing.WRITE_HANG_SECONDS
    return replica.timeouts.election_seconds


def slow_write_seconds(replica: 'replicas.Replica') -> float:
    """Returns how long a recent slow write took, 0 if none was slow."""
    if replica.timers.now() - replica.slow_write_at >= DISK_PENALTY_SECONDS:
        return 0.0
    return min(replica.slow_write_seconds, timing.WRITE_HANG_SECONDS)


def support(
    replica: 'replicas.Replica', candidate: str, last_entry: EntryId | None
) -> None:
    """Leaves a candidate the time for its election if the disks are slow.

    The stagger of the timeouts covers an election with sound disks only. If
    voters campaigned during the writes of another's election, each would vote
    for itself, and none would win.

    :param last_entry: the last entry of the candidate; None if this replica
        has voted for it.
    """
    seconds = WRITES_PER_ELECTION * slow_write_seconds(replica)
    if seconds > 0:
        replica.supported_candidate = candidate
        replica.supported_entry = last_entry
        replica.supported_until = replica.timers.now() + seconds


def end_own_support(replica: 'replicas.Replica') -> None:
    """Lets others have pre-votes again after an own campaign."""
    if replica.supported_candidate == replica.vm:
        replica.supported_until = -math.inf


def supports_other(
    replica: 'replicas.Replica', candidate: str, last_entry: EntryId
) -> bool:
    """Returns whether the election of another candidate may be under way.

    Before its pre-vote is won, one with a longer log is preferred: it refuses
    its vote to the other, which may stand again and again.
    """
    supported_entry = replica.supported_entry
    return (
        replica.timers.now() < replica.supported_until
        and replica.supported_candidate != candidate
        and (supported_entry is None or last_entry <= supported_entry)
    )


def quiet_since(replica: 'replicas.Replica') -> float:
    """Returns the time from which the election timeout is counted."""
    times = [replica.last_contact_at, replica.last_campaign_at]
    if replica.supported_candidate != replica.vm:
        times.append(replica.supported_until)
    return max(times)


def is_slowest_writer(replica: 'replicas.Replica') -> bool:
    """Returns whether a leader should hand over, as its disk is slow.

    That is so if several writes in a row were slow and a majority of the
    voters stores entries faster, with the round trip to them. If all disks
    are slow, a handover would gain nothing.
    """
    if replica.slow_write_count < SLOW_WRITES_BEFORE_HANDOVER:
        return False
    limit = replica.last_write_seconds * FASTER_RATIO
    faster = {
        vm
        for vm, seconds in replica.append_seconds.items()
        if vm != replica.vm and seconds < limit
    }
    return replica.members.is_majority(faster)


async def campaign(replica: 'replicas.Replica') -> None:
    """Campaigns once, with this replica as the candidate it supports.

    A learner leaves others their turn: with a shorter log it cannot win, and
    its vote is one of those that an election without a majority needs.
    """
    if replica.vm in replica.members.voters:
        support(replica, replica.vm, replica.last_entry)
    try:
        await run_campaign(replica)
    finally:
        end_own_support(replica)
        if not replica.is_leader:
            announce_end(replica)


def announce_end(replica: 'replicas.Replica') -> None:
    """Tells the voters that this replica does not stand any more.

    Else they would support it for the time of three slow writes. A build
    without this method ignores it.
    """
    method = f'replica.{replica.group}.stands_no_more'
    for vm in replica.members.voters:
        if vm != replica.vm:
            replica.mesh.post(vm, method, [replica.vm])


def end_support(replica: 'replicas.Replica', candidate: str) -> None:
    """Notes that a candidate has not won."""
    if replica.supported_candidate == candidate != replica.vm:
        replica.supported_until = -math.inf


async def run_campaign(replica: 'replicas.Replica') -> None:
    """Runs a pre-vote and, if it is won, an election.

    The pre-vote leaves the term alone, so that a replica that cannot win
    does not disturb a working leader.
    """
    replica.last_campaign_at = replica.timers.now()
    # The leader has been silent for too long; requests wait for the next one.
    replica.leader = None
    term, members = replica.term, replica.members
    electorate = usual_electorate(replica)
    won_pre_vote = await collect_votes(
        replica,
        replica.term + 1,
        with_all_in_force(replica, electorate),
        is_pre_vote=True,
    )
    eliot.log_message(
        'replica:stands',
        group=replica.group,
        term=replica.term + 1,
        silence=round(replica.timers.now() - replica.last_contact_at, 3),
        supported=won_pre_vote,
        voters=members.voters,
        learners=members.learners,
        members_index=replica.members_index,
        are_members_committed=replica.are_members_committed,
        last=replica.storage.last_index,
        **replica.last_votes,
    )
    next_term = term + 1
    if next_term % RECOVERY_TERM_STEP == 0:
        next_term += 1
    recovery = None
    if not won_pre_vote:
        recovery = await lost_voters.find_recovery(replica, members)
        if recovery is None:
            return
        asked = recovery.remaining - {replica.vm}
        electorate = Electorate(asked, asked.issubset)
        next_term = (term // RECOVERY_TERM_STEP + 1) * RECOVERY_TERM_STEP
    async with replica.lock_storage():
        # Until it has the lock, it may have voted for another candidate, or
        # received a message of a leader, with new members as well.
        is_superseded = (
            replica.term != term
            or replica.members != members
            or replica.last_contact_at > replica.last_campaign_at
        )
        if is_superseded:
            return
        had_penalty = has_disk_penalty(replica)
        started_at = replica.timers.now()
        await replica.storage.save_meta(term=next_term, voted_for=replica.vm)
        seconds = replica.timers.now() - started_at
        if seconds >= SLOW_WRITE_SECONDS:
            replica.disk_fault_at = replica.timers.now()
            if not had_penalty:
                eliot.log_message(
                    'replica:disk_slow',
                    group=replica.group,
                    seconds=round(seconds, 3),
                    consequence='gives up its campaign',
                )
                return
        replica.role = roles.Role.CANDIDATE
        replica.leader = None
        replica.supported_entry = None
    term = replica.term
    reachable = {
        *replica.last_votes['granted'],
        *replica.last_votes['refused'],
    }
    won = await collect_votes(
        replica, term, electorate, is_pre_vote=False, reachable=reachable
    )
    if won and replica.term == term and replica.role is roles.Role.CANDIDATE:
        if recovery is not None:
            members = recovery.members
        else:
            members = lost_voters.replace_lost(replica)
        await replica.become_leader(members)


async def collect_votes(
    replica: 'replicas.Replica',
    term: int,
    electorate: Electorate,
    is_pre_vote: bool,
    reachable: collections.abc.Set[str] = frozenset(),
) -> bool:
    """Returns whether enough of an electorate grant their vote.

    :param reachable: VMs that get the time to store their vote.
    """
    last_log_index = replica.storage.last_index
    message = [
        term,
        replica.vm,
        replica.incarnation,
        last_log_index,
        replica.storage.term_at(last_log_index),
        is_pre_vote,
    ]
    timeout = REPLY_TIMEOUT_SECONDS if is_pre_vote else VOTE_TIMEOUT_SECONDS
    votes = {replica.vm}
    granted_ids = {(replica.vm, replica.incarnation)}
    former_ids = {
        (vm, incarnation)
        for vm, incarnation in replica.ids_in_force()
        if replica.members.get(vm) is None
    }
    others = electorate.asked
    pending = set(others)
    refused: set[str] = set()
    new_incarnations: dict[str, str] = {}
    finished = anyio.Event()

    async def request_vote(vm: str) -> None:
        # The voter logs the reason of a refusal. A malformed reply and a
        # failure of the own disk are logged where they are found.
        with contextlib.suppress(errors.GatewayError):
            peer_term, granted, incarnation = await replica.call_peer(
                vm, 'vote', message, replies.check_vote, timeout
            )
            is_member = (
                replica.is_current_member(vm, incarnation)
                or (vm, incarnation) in former_ids
            )
            if granted and is_member:
                votes.add(vm)
                granted_ids.add((vm, incarnation))
            else:
                refused.add(vm)
                if incarnation and not is_member:
                    new_incarnations[vm] = incarnation
                if peer_term > replica.term:
                    async with replica.lock_storage():
                        await replica.adopt_term(peer_term)
        pending.discard(vm)
        # The replies to a pre-vote also tell whose disk may be lost.
        may_win = is_pre_vote or electorate.is_won(votes | pending)
        if not pending or not may_win or electorate.is_won(votes):
            finished.set()

    async with anyio.create_task_group() as tasks:
        for vm in sorted(others):
            tasks.start_soon(request_vote, vm)
        if not electorate.is_won(votes):
            with replica.timers.move_on_after(REPLY_TIMEOUT_SECONDS):
                await finished.wait()
            if electorate.is_won(votes | (pending & reachable)):
                with replica.timers.move_on_after(
                    VOTE_TIMEOUT_SECONDS - REPLY_TIMEOUT_SECONDS
                ):
                    await finished.wait()
            tasks.cancel_scope.cancel()
    replica.last_votes = {
        'granted': sorted(votes),
        'refused': sorted(refused),
        'silent': sorted(others - votes - refused),
    }
    replica.granted_ids = frozenset(granted_ids)
    replica.new_incarnations = (
        new_incarnations
        if is_pre_vote
        else replica.new_incarnations | new_incarnations
    )
    return electorate.is_won(votes)
