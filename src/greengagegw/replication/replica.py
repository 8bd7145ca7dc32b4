"""A Raft replica.

The algorithm is that of Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm" (2014), with pre-vote and single-server
membership changes from Ongaro's dissertation (2014, chapters 4 and 9).

A replica counts its starts, and its peers remember the count. A disk that
was restored from an old copy reports a lower count than its peers remember;
it is wiped and the replica joins again as a learner.
"""

import collections.abc
import contextlib
import dataclasses
import functools
import math
import random
import secrets
import typing

import anyio
import anyio.abc
import eliot
import msgpack

from .. import errors
from .. import timers as timer_service
from . import departure
from . import disk_recovery
from . import election
from . import entries as log_entries
from . import log_replication
from . import membership
from ..ports import peers
from . import replies
from . import roles
from . import startup
from . import status
from . import storage as log_storage
from . import timing

SNAPSHOT_AFTER_ENTRIES = 2000
MAX_MEMBERS = 64
DEFAULT_TIMEOUTS = timing.Timeouts()
# A new leader gives the voters this many heartbeats to reply.
FIRST_REPLY_HEARTBEATS = 2
STATE_POLL_SECONDS = 0.02
# A VM that asks to be admitted waits this long for the change before it. Its
# own change must fit into the rest of the time of its call.
ADMISSION_WAIT_SECONDS = 0.4
# Why a vote is refused, see `find_refusal`.
SHORTER_LOG = 'shorter log'
# Bounds the log lines and errors on malformed commands and replies.
MAX_REASON_CHARACTERS = 200


def accept_any(content: bytes) -> None:
    """Accepts every command, for state machines without a check."""


@dataclasses.dataclass(frozen=True, slots=True)
class StateMachine:
    """The state machine that the log is applied to.

    :ivar apply: applies a committed command and returns its outcome. If it
        raises an error, it must have changed nothing, and raise it on all
        replicas.
    :ivar save: returns the whole state as bytes, for a snapshot.
    :ivar restore: replaces the state by one from ``save``.
    :ivar check: raises InvalidCommandError if a command is malformed. It is
        asked before a command of a peer is proposed.
    """

    apply: collections.abc.Callable[[bytes], typing.Any]
    save: collections.abc.Callable[[], bytes]
    restore: collections.abc.Callable[[bytes], None]
    check: collections.abc.Callable[[bytes], typing.Any] = accept_any


class IncomingSnapshot:
    """The part of a snapshot that has arrived.

    :ivar source: term of the leader, index and term of the last entry.
    """

    def __init__(self, source: tuple[int, int, int]) -> None:
        self.source = source
        self.content = bytearray()

    def add(self, offset: int, chunk: bytes) -> bool:
        """Adds a chunk, which may have arrived before with another size.

        :returns: whether all bytes before it have arrived.
        """
        if offset > len(self.content):
            return False
        self.content += chunk[len(self.content) - offset :]
        return True


class BootCheck:
    """A peer's count of starts that is to be checked and stored.

    :ivar is_stale: whether its disk is an old copy, None while unknown.
    """

    __slots__ = ('is_stale', 'seen')

    def __init__(self, seen: log_storage.SeenBoot) -> None:
        self.seen = seen
        self.is_stale: bool | None = None


class PendingProposal:
    """A proposal whose entry is not yet applied.

    :ivar done: set when ``outcome`` or ``error`` is.
    """

    __slots__ = ('done', 'error', 'outcome', 'term')

    def __init__(self, term: int) -> None:
        self.term = term
        self.done = anyio.Event()
        self.outcome: typing.Any = None
        self.error: errors.GatewayError | None = None


class Replica:
    """One replica of the group ``group`` on the VM ``vm``.

    :param founders: VMs that are the voters when the group is bootstrapped.
    :param memory_replicas: VMs without a disk that hold the group in memory.
        They never vote. A group of fewer than three voters commits only
        what all reachable memory replicas hold, and is recovered from one
        if its only disk is lost.
    :param rng: source of the jitter of the election timeouts.
    :param may_bootstrap: whether a new group may be formed. It must be
        false if the deployment has run before, since an empty disk then
        replaces a lost one.
    :param min_voters: number of voters at or below which unreachable voters
        are only exchanged for learners, not removed.
    :param max_lost_disks: number of disks that may be lost at once without the
        loss of a committed entry; None for what a majority of the founders
        survives.
    """

    def __init__(
        self,
        group: str,
        vm: str,
        founders: tuple[str, ...],
        storage: log_storage.Storage,
        machine: StateMachine,
        mesh: peers.PeerPort,
        timers: timer_service.Timers,
        rng: random.Random,
        memory_replicas: tuple[str, ...] = (),
        may_bootstrap: bool = True,
        min_voters: int = MAX_MEMBERS,
        timeouts: timing.Timeouts = DEFAULT_TIMEOUTS,
        max_lost_disks: int | None = None,
    ) -> None:
        self.timeouts = timeouts
        if max_lost_disks is None:
            max_lost_disks = membership.votes_needed(len(founders)) - 1
        self.max_lost_disks = max_lost_disks
        self.memory_replicas = memory_replicas
        self.may_bootstrap = may_bootstrap
        self.min_voters = min_voters
        self.group = group
        self.vm = vm
        self.founders = founders
        self.storage = storage
        self.machine = machine
        self.mesh = mesh
        self.timers = timers
        self.rng = rng
        self.role = roles.Role.STARTING
        self.leader: str | None = None
        self.members = log_entries.Members(())
        self.members_index = 0
        self.learner_since: dict[tuple[str, str], float] = {}
        self.former_voters: tuple[str, ...] = ()
        self.heard_peers: set[str] = set()
        self.boot_checks: list[BootCheck] = []
        # Saved before any snapshot is restored: a load that is repeated after
        # a failure of the disk finds the state of the first attempt.
        self.initial_state = machine.save()
        self.is_machine_outdated = False
        self.session = secrets.token_hex(8)
        self.commit_index = 0
        self.applied_index = 0
        self.last_contact_at = timers.now()
        self.last_campaign_at = timers.now()
        self.leader_heard_at = timers.now()
        self.last_leader: str | None = None
        self.led_since = timers.now()
        self.released_term = 0
        self.is_leaving = False
        self.leaving: dict[str, float] = {}
        self.last_votes: dict[str, list[str]] = {}
        # Members that granted their vote in the last campaign, and the
        # incarnations of other disks that replied to it.
        self.granted_ids: frozenset[log_entries.MemberId] = frozenset()
        self.new_incarnations: dict[str, str] = {}
        self.contact_times: dict[str, float] = {}
        self.match_index: dict[str, int] = {}
        self.sent_commit_index: dict[str, int] = {}
        self.pending_proposals: dict[int, PendingProposal] = {}
        self.member_change: PendingProposal | None = None
        self.proposal_queue: list[
            tuple[log_entries.EntryKind, bytes, PendingProposal]
        ] = []
        self.proposal_queued = anyio.Event()
        self.replication_wanted = anyio.Event()
        self.contacted = anyio.Event()
        self.members_check_wanted = anyio.Event()
        self.storage_held_since: float | None = None
        self.disk_fault_at = -math.inf
        self.last_write_seconds = 0.0
        self.slow_write_count = 0
        self.slow_write_seconds = 0.0
        self.slow_write_at = -math.inf
        self.supported_candidate = ''
        self.supported_entry: election.EntryId | None = None
        self.supported_until = -math.inf
        self.was_elected_with_penalty = False
        self.append_seconds: dict[str, float] = {}
        # When a member last replied, to a chunk of a snapshot too. The times
        # of contact are those of sending, and prove that this VM led then.
        self.replied_at: dict[str, float] = {}
        # Bytes of the entries that a member has not replied to.
        self.unanswered_bytes: dict[str, int] = {}
        self.storage_lock = anyio.Lock()
        self.is_saving_members = False
        # Whether an empty replica has asked a leader to admit it.
        self.is_joining = False
        self.incoming_snapshot: IncomingSnapshot | None = None
        self.failure: errors.StorageError | None = None
        self.disk_failed = anyio.Event()
        self.is_loaded = False
        self.has_started = False
        self.membership_checked_at = timers.now()
        self.is_caught_up = False
        self.tasks: anyio.abc.TaskGroup | None = None
        self.leader_scope: anyio.CancelScope | None = None

    @property
    def term(self) -> int:
        return self.storage.meta.term

    @property
    def last_entry(self) -> election.EntryId:
        last_index = self.storage.last_index
        return self.storage.term_at(last_index), last_index

    @property
    def incarnation(self) -> str:
        return self.storage.meta.incarnation

    @property
    def is_starting(self) -> bool:
        return self.role is roles.Role.STARTING

    @property
    def is_leader(self) -> bool:
        return self.role is roles.Role.LEADER

    @property
    def is_up_to_date(self) -> bool:
        """Whether the applied state is recent.

        That is so on a leader that has committed an entry of its term, and
        on a follower that has caught up and hears from its leader.
        """
        if self.is_leader:
            return self.is_caught_up
        silence = self.timers.now() - self.last_contact_at
        return (
            self.role is roles.Role.FOLLOWER
            and self.is_caught_up
            and self.leader is not None
            and silence < 2 * self.timeouts.election_seconds
        )

    @contextlib.asynccontextmanager
    async def lock_storage(self) -> collections.abc.AsyncIterator[None]:
        """Holds the storage lock and shields the body from cancellation.

        Every access to the disk is made under this lock, so that this is the
        one place at which a failure of the disk is found. The one exception
        is `save_committed_members`, which raises a failure here again.

        :raises DiskFailedError: if the disk fails in the body, or has failed
            and has not recovered; the replica does not take part then.
        """
        async with self.storage_lock:
            self.require_sound_disk()
            with anyio.CancelScope(shield=True):
                self.storage_held_since = self.timers.now()
                try:
                    yield
                except errors.DiskFailedError as error:
                    self.stop_participating(error)
                    raise
                finally:
                    self.note_write(self.storage_held_since)
                    self.storage_held_since = None

    def note_write(self, started_at: float) -> None:
        now = self.timers.now()
        if now - started_at >= election.SUPPORTED_WRITE_SECONDS:
            self.slow_write_seconds = now - started_at
            self.slow_write_at = now
        if now - started_at >= election.SLOW_WRITE_SECONDS:
            self.disk_fault_at = now

    def require_sound_disk(self) -> None:
        if self.failure is not None:
            raise errors.DiskFailedError(self.failure.message)

    def handlers(self) -> dict[str, peers.Handler]:
        """Returns the handlers of this replica by peer method."""
        prefix = f'replica.{self.group}'
        return {
            f'{prefix}.identify': self.on_identify,
            f'{prefix}.vote': self.on_vote,
            f'{prefix}.append': self.on_append,
            f'{prefix}.snapshot': self.on_snapshot,
            f'{prefix}.join': self.on_join,
            f'{prefix}.propose': self.on_propose,
            f'{prefix}.export': self.on_export,
            f'{prefix}.step_down': self.on_step_down,
            # Peers of an earlier release do not know the following.
            f'{prefix}.stands_no_more': self.on_stands_no_more,
            f'{prefix}.lost_leader': self.on_lost_leader,
            f'{prefix}.leave': functools.partial(departure.on_leave, self),
            f'{prefix}.released': functools.partial(
                departure.on_released, self
            ),
        }

    async def call_peer(
        self,
        vm: str,
        method: str,
        message: typing.Any,
        check: collections.abc.Callable[
            [typing.Any], typing.Any
        ] = replies.accept_any,
        timeout: float = timing.CALL_TIMEOUT_SECONDS,
    ) -> typing.Any:
        """Returns the reply of a peer.

        :param check: a function of the replies module.
        :param timeout: in seconds.
        :raises PeerProtocolError: if the reply is malformed.
        """
        name = f'replica.{self.group}.{method}'
        reply = await self.mesh.call(vm, name, message, timeout)
        try:
            return check(reply)
        except replies.MALFORMED_REPLY_ERRORS as error:
            reason = f'{type(error).__name__}: {error}'[:MAX_REASON_CHARACTERS]
            eliot.log_message(
                'replica:malformed_reply',
                group=self.group,
                peer=vm,
                method=method,
                reason=reason,
            )
            raise errors.PeerProtocolError(
                f'{vm} sent a malformed reply to {method}: {reason}'
            ) from error

    async def run(self) -> None:
        """Runs the replica until it is cancelled.

        :raises CorruptFileError: if the files are damaged when it starts.
        """
        # If the disk fails, the recovery loads the files later.
        with contextlib.suppress(errors.DiskFailedError):
            async with self.lock_storage():
                await self.load()
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(status.log_status, self)
            tasks.start_soon(disk_recovery.run_disk_recovery, self)
            await startup.start_up(self)
            tasks.start_soon(self.run_election_timer)
            tasks.start_soon(self.write_proposals)
            tasks.start_soon(startup.watch_removal, self)

    async def load(self) -> None:
        """Loads the stored state and increments the count of starts."""
        await self.storage.load()
        if self.storage.snapshot is not None:
            self.restore(self.storage.snapshot)
        self.refresh_members()
        if not self.incarnation:
            await self.storage.save_meta(
                incarnation=secrets.token_hex(8), boots=1
            )
        else:
            await self.storage.save_meta(boots=self.storage.meta.boots + 1)
        self.is_loaded = True

    def restore(self, snapshot: log_entries.Snapshot) -> None:
        self.machine.restore(snapshot.state)
        self.is_machine_outdated = False
        self.applied_index = snapshot.index
        self.commit_index = max(self.commit_index, snapshot.index)

    def reset_applied_state(self) -> None:
        """Resets the applied state after the storage was wiped.

        The state machine keeps its state until the first entry is applied
        again or a snapshot is restored, so that it can be read meanwhile.
        """
        self.applied_index = self.commit_index = 0
        self.is_machine_outdated = True
        self.is_caught_up = False
        self.refresh_members()

    def align_applied_state(self) -> None:
        """Aligns the applied state with the storage after a failed write.

        A snapshot may have been stored and the step after it have failed, or
        the storage may have been wiped.
        """
        if self.storage.base_index > self.applied_index:
            self.restore(self.storage.snapshot)
        elif self.applied_index > self.storage.last_index:
            self.reset_applied_state()
        self.incoming_snapshot = None
        self.refresh_members()

    def refresh_members(self) -> None:
        """Sets the members from the newest membership entry.

        As Raft requires, the entry takes effect before it is committed.
        """
        self.find_members()
        now = self.timers.now()
        self.learner_since = {
            (one.vm, one.incarnation): self.learner_since.get(
                (one.vm, one.incarnation), now
            )
            for one in self.members.members
            if not one.is_voter
        }

    def find_members(self) -> None:
        self.members_index = self.storage.base_index
        for entry in reversed(self.storage.entries):
            if entry.kind is log_entries.EntryKind.MEMBERSHIP:
                self.members = _unpack_members(entry.content)
                self.members_index = entry.index
                return
        if self.storage.snapshot is not None:
            self.members = self.storage.snapshot.members
            return
        self.members = log_entries.Members.unpack(self.storage.meta.founders)

    def is_current_member(self, vm: str, incarnation: str) -> bool:
        """Returns whether this incarnation of a VM is a member."""
        member = self.members.get(vm)
        return member is not None and member.incarnation == incarnation

    # Startup; the rules are in the startup module.

    async def on_identify(self, peer: str, message: list) -> dict:
        vm, incarnation, boots, session = message
        self.note_peer(peer)
        if not self.is_loaded:
            raise errors.ReplicationError('the replica is still loading')
        check = BootCheck(
            log_storage.SeenBoot(vm, incarnation, boots, session)
        )
        self.boot_checks.append(check)
        async with self.lock_storage():
            if check.is_stale is None:
                await self.record_boots()
        self.forget_lost_leader(vm, incarnation)
        return {
            'incarnation': self.incarnation,
            'founders': list(self.storage.meta.founders),
            'members': self.members.pack(),
            'members_index': self.members_index,
            'leader': self.leader,
            'is_stale': check.is_stale,
            # Peers of an earlier release neither send nor read these.
            'term': self.term,
            'are_members_committed': self.is_membership_settled,
        }

    def note_peer(self, vm: str) -> None:
        """Remembers a VM that this one may ask for its group.

        All founders may be unreachable, or have lost their disks too.
        """
        if self.is_starting and len(self.heard_peers) < MAX_MEMBERS:
            self.heard_peers.add(vm)

    async def record_boots(self) -> None:
        """Checks and stores the counts of starts that peers have sent.

        One write covers all of them: if many replicas start, the replies to
        the last ones would else come after as many writes. Records of older
        incarnations of a VM are dropped, since these never become members
        again.

        The first start of an incarnation is not stored. Each later start
        reports a higher count, so that record could never show an old disk,
        and a VM with an empty disk would wait for its write.
        """
        checks, self.boot_checks = self.boot_checks, []
        known = {one.vm: one for one in self.storage.meta.seen_boots}
        results = []
        for check in checks:
            seen = check.seen
            old = known.get(seen.vm)
            if old is not None and old.incarnation != seen.incarnation:
                old = None
            is_other = old is not None and old.session != seen.session
            results.append(is_other and old.boots >= seen.boots)
            is_first_start = old is None and seen.boots <= 1
            if is_first_start:
                continue
            if old is None or seen.boots > old.boots:
                known.pop(seen.vm, None)
                known[seen.vm] = seen
        seen_boots = tuple(known.values())
        if seen_boots != self.storage.meta.seen_boots:
            await self.storage.save_meta(seen_boots=seen_boots)
        for check, is_stale in zip(checks, results, strict=True):
            check.is_stale = is_stale

    async def on_join(self, peer: str, message: list) -> None:
        vm, incarnation = message
        _require_texts('join', vm, incarnation)
        self.require_leader()
        # The commit of its admission may need the copy that it will hold.
        if self.is_current_member(vm, incarnation):
            return
        await self.wait_for_settled_members()
        self.require_leader()
        if self.is_current_member(vm, incarnation):
            return
        self.require_settled_members()
        known = self.members.get(vm)
        if known is None and len(self.members.members) >= MAX_MEMBERS:
            raise errors.ReplicationError(
                'the group has reached its maximum number of members'
            )
        member = log_entries.Member(vm, incarnation, False)
        eliot.log_message(
            'replica:admit',
            group=self.group,
            vm=vm,
            incarnation=incarnation,
            replaced=known.incarnation if known is not None else None,
            was_voter=known is not None and known.is_voter,
        )
        self.match_index.pop(vm, None)
        self.contact_times.pop(vm, None)
        await self.change_members(self.members.with_member(member))

    @property
    def is_membership_settled(self) -> bool:
        """Whether this leader may propose a change of the members."""
        is_pending = (
            self.member_change is not None
            and not self.member_change.done.is_set()
        )
        return self.is_leader and membership.is_settled(
            self.is_caught_up,
            is_pending,
            self.members_index,
            self.commit_index,
        )

    async def wait_for_settled_members(self) -> None:
        """Waits for a change under way, as by another VM that joins."""
        deadline = self.timers.now() + ADMISSION_WAIT_SECONDS
        while (
            self.is_leader
            and self.is_caught_up
            and not self.is_membership_settled
            and self.timers.now() < deadline
        ):
            await self.timers.sleep(STATE_POLL_SECONDS)

    def require_settled_members(self) -> None:
        if not self.is_membership_settled:
            raise errors.ReplicationError(
                'the last membership change, or an entry of the term of this'
                ' leader, is not yet committed'
            )

    async def change_members(self, members: log_entries.Members) -> None:
        """Commits a change of one member.

        :raises ReplicationError: if the last change or an entry of the own
            term is not committed yet.
        """
        self.require_leader()
        self.require_settled_members()
        self.member_change = self.queue_proposal(
            _pack_members(members), log_entries.EntryKind.MEMBERSHIP
        )
        await _outcome(self.member_change)

    # Roles.

    def become_follower(self) -> None:
        if self.leader_scope is not None:
            self.leader_scope.cancel()
            self.leader_scope = None
        if self.role is roles.Role.LEADER:
            self.leader = None
            self.leader_heard_at = self.timers.now()
            eliot.log_message('replica:step_down', group=self.group)
            self.announce_step_down()
        if self.failure is None:
            self.role = roles.Role.FOLLOWER
            self.has_started = True
        self.last_contact_at = self.last_campaign_at = self.timers.now()
        self.fail_pending_proposals()
        self.notify_index_readers()

    def announce_step_down(self) -> None:
        """Tells the members that they have no leader.

        Else they would wait for their election timeout and send requests to
        this replica until then. A build without this method ignores it.
        """
        method = f'replica.{self.group}.step_down'
        for member in self.members.members:
            if member.vm != self.vm:
                self.mesh.post(member.vm, method, [self.term, self.vm])

    async def on_step_down(self, peer: str, message: list) -> None:
        term, vm = message
        if term >= self.term:
            self.forget_leader(vm)

    async def on_lost_leader(self, peer: str, message: list) -> None:
        self.forget_lost_leader(*message)

    def forget_lost_leader(self, vm: str, incarnation: str) -> None:
        """Forgets the leader if its VM runs with another disk.

        The election is due no later than if the leader was known, and in the
        same order: without a leader the timeout is shorter, and all voters
        that are silent for longer would campaign at once.

        :param incarnation: that of the VM by its own word.
        """
        member = self.members.get(vm)
        if (
            self.leader == vm != self.vm
            and member is not None
            and member.incarnation != incarnation
        ):
            self.leader = None
            timeouts = self.timeouts
            self.last_contact_at = min(
                self.timers.now(),
                self.last_contact_at
                + timeouts.election_seconds
                - timeouts.heartbeat_seconds,
            )

    async def on_stands_no_more(self, peer: str, message: list) -> None:
        (candidate,) = message
        election.end_support(self, candidate)

    def forget_leader(self, vm: str) -> None:
        """Notes that a VM does not lead any more, if it was the leader.

        The election timeout starts again, without the time for which a leader
        may be silent.
        """
        if self.leader == vm and not self.is_leader:
            self.leader = None
            self.last_contact_at = self.timers.now()

    def forget_rejecting_leader(self, vm: str, asked_at: float) -> None:
        """Notes that a VM has answered that it does not lead.

        :param asked_at: time at which it was asked. An answer to an earlier
            question than its last message as the leader proves nothing.
        """
        if self.leader_heard_at <= asked_at:
            self.forget_leader(vm)

    def stop_participating(self, error: errors.StorageError) -> None:
        """Stops taking part until the disk takes bytes again."""
        self.failure = error
        self.disk_fault_at = self.timers.now()
        self.become_follower()
        self.role = roles.Role.FAILED
        self.is_caught_up = False
        eliot.log_message(
            'replica:disk_failed', group=self.group, reason=error.message
        )
        self.disk_failed.set()

    def fail_pending_proposals(self) -> None:
        """Fails the proposals that this replica can no longer complete."""
        for proposal in self.pending_proposals.values():
            proposal.error = errors.LostLeadershipError(
                'the leader stepped down before the outcome was known'
            )
            proposal.done.set()
        self.pending_proposals.clear()
        for _, _, proposal in self.proposal_queue:
            proposal.error = errors.NotLeaderError(
                'the leader stepped down before the command was written',
                None,
            )
            proposal.done.set()
        self.proposal_queue.clear()

    async def adopt_term(self, term: int, voted_for: str = '') -> None:
        """Adopts a higher term of a peer and becomes a follower.

        :param voted_for: the candidate that gets the vote of this replica, if
            any. It is stored along with the term, in one write.
        """
        is_higher = term > self.term
        if is_higher or voted_for:
            await self.storage.save_meta(term=term, voted_for=voted_for)
        if is_higher:
            self.leader = None
            self.become_follower()

    async def run_election_timer(self) -> None:
        """Runs the periodic checks of each role.

        A follower campaigns after its election timeout, a leader checks its
        quorum, and a replica that is not a member tries to join again. A
        replica whose disk has failed does nothing.
        """
        jitter = self.rng.random()
        while True:
            timeout = election.election_timeout_seconds(self, jitter)
            due_at = election.quiet_since(self) + timeout
            remaining = due_at - self.timers.now()
            pause = min(max(0.0, remaining), self.timeouts.heartbeat_seconds)
            await self.timers.sleep(max(STATE_POLL_SECONDS, pause))
            if self.role is roles.Role.LEADER:
                self.check_quorum()
                continue
            if self.failure is not None:
                continue
            # A failure of the disk is logged where it is found.
            with contextlib.suppress(errors.DiskFailedError):
                if await self.follow_or_campaign(jitter):
                    jitter = self.rng.random()

    async def follow_or_campaign(self, jitter: float) -> bool:
        """Joins again or campaigns if it is time to.

        :returns: whether it has campaigned.
        """
        is_member = self.is_current_member(self.vm, self.incarnation)
        if self.vm in self.memory_replicas or not is_member:
            await startup.rejoin_if_not_member(self)
            return False
        # A learner may hold the only copy that is left of an entry.
        timeout = election.election_timeout_seconds(self, jitter)
        if self.timers.now() - election.quiet_since(self) < timeout:
            return False
        await election.campaign(self)
        return True

    def check_quorum(self) -> None:
        """Steps down if no majority replies, or the disk stalls or is slow.

        A leader whose disk stalls commits nothing, while another could. That
        is so whichever step holds the storage lock, since it keeps entries
        from being written.
        """
        now = self.timers.now()
        held_since = self.storage_held_since
        if (
            held_since is not None
            and now - held_since >= election.leader_hang_seconds(self)
        ):
            eliot.log_message('replica:disk_hangs', group=self.group)
            self.disk_fault_at = now
            self.become_follower()
            return
        if election.is_slowest_writer(self):
            eliot.log_message(
                'replica:disk_slow',
                group=self.group,
                seconds=round(self.last_write_seconds, 3),
                consequence='hands over',
            )
            self.disk_fault_at = now
            self.become_follower()
            return
        reachable = {
            vm
            for vm, at in self.contact_times.items()
            if now - at < self.timeouts.election_seconds
        }
        if not self.members.is_majority({self.vm, *reachable}):
            self.become_follower()

    async def on_vote(self, peer: str, message: list) -> list:
        term, candidate, incarnation, last_index, last_term, is_pre_vote = (
            message
        )
        if self.role in (roles.Role.STARTING, roles.Role.FAILED):
            self.note_peer(peer)
            self.log_refused_vote(candidate, term, self.role.value)
            # The incarnation tells whether the disk of this VM was lost.
            return [self.term, False, self.incarnation]
        candidacy = (term, candidate, incarnation, last_index, last_term)
        if is_pre_vote and self.has_short_write():
            # It promises nothing, so it need not wait for the write.
            return self.answer_pre_vote(*candidacy)
        async with self.lock_storage():
            if is_pre_vote:
                return self.answer_pre_vote(*candidacy)
            refusal = self.find_refusal(*candidacy)
            if refusal is not None:
                self.log_refused_vote(candidate, term, refusal)
                if refusal == SHORTER_LOG:
                    await self.adopt_term(term)
                return [self.term, False, self.incarnation]
            if term == self.term and self.storage.meta.voted_for not in (
                '',
                candidate,
            ):
                self.log_refused_vote(candidate, term, 'has voted')
                return [self.term, False, self.incarnation]
            await self.adopt_term(term, voted_for=candidate)
            self.last_contact_at = self.timers.now()
            election.support(self, candidate, None)
            return [self.term, True, self.incarnation]

    def answer_pre_vote(
        self,
        term: int,
        candidate: str,
        incarnation: str,
        last_index: int,
        last_term: int | None,
    ) -> list:
        refusal = self.find_refusal(
            term, candidate, incarnation, last_index, last_term
        )
        last_entry = (last_term, last_index)
        if refusal is None and election.supports_other(
            self, candidate, last_entry
        ):
            refusal = f'supports {self.supported_candidate}'
        # A learner cannot win by a majority, so that others need not wait.
        if refusal is None and candidate in self.members.voters:
            election.support(self, candidate, last_entry)
        if refusal is not None:
            self.log_refused_vote(candidate, term, refusal)
        return [self.term, refusal is None, self.incarnation]

    def find_refusal(
        self,
        term: int,
        candidate: str,
        incarnation: str,
        last_index: int,
        last_term: int | None,
    ) -> str | None:
        """Returns why a candidate gets no vote, None if it may get one."""
        own_last = self.last_entry
        # A newer log may have admitted a candidate that is unknown here
        # (Ongaro's dissertation, 2014, section 4.1).
        if (
            not self.is_current_member(candidate, incarnation)
            and (last_term, last_index) <= own_last
        ):
            return 'not a member'
        silence = self.timers.now() - self.last_contact_at
        if self.leader is not None and (
            self.is_leader or silence < self.timeouts.election_seconds
        ):
            return 'has a leader'
        if term < self.term:
            return 'old term'
        if (last_term, last_index) < own_last:
            return SHORTER_LOG
        return None

    def log_refused_vote(self, candidate: str, term: int, reason: str) -> None:
        eliot.log_message(
            'replica:vote_refused',
            group=self.group,
            candidate=candidate,
            term=term,
            own_term=self.term,
            leader=self.leader,
            reason=reason,
        )

    async def become_leader(
        self, members: log_entries.Members | None = None
    ) -> None:
        """Becomes the leader and starts replicating to the members.

        :param members: with which the first entry of its term replaces the
            current ones; None to keep them. All its voters must hold that
            entry to commit it.
        """
        self.role = roles.Role.LEADER
        self.leader = self.vm
        now = self.timers.now()
        self.led_since = now
        self.leaving = {}
        # Whose disk is lost counts as silent only later, like all others.
        voters = {*self.members.voters, *(members or self.members).voters}
        self.contact_times = dict.fromkeys(voters, now)
        if self.last_leader in self.contact_times:
            # It may be lost, which must not be noticed later than the loss of
            # a follower is.
            self.contact_times[self.last_leader] = self.leader_heard_at
        self.contact_times[self.vm] = now
        self.match_index = {}
        self.sent_commit_index = {}
        self.append_seconds = {}
        self.replied_at = {}
        self.unanswered_bytes = {}
        self.slow_write_count = 0
        self.was_elected_with_penalty = election.has_disk_penalty(self)
        self.is_caught_up = False
        eliot.log_message('replica:lead', group=self.group, term=self.term)
        self.leader_scope = anyio.CancelScope()
        self.tasks.start_soon(self.replicate_to_members, self.leader_scope)
        if members is not None:
            self.member_change = self.queue_proposal(
                _pack_members(members), log_entries.EntryKind.MEMBERSHIP
            )
        self.announce_survivable_losses()

    def announce_survivable_losses(self) -> None:
        """Writes how many lost disks the entries of this term survive.

        A leader of an earlier release writes nothing and commits with a
        majority of the voters, however few these are.
        """
        self.queue_proposal(
            msgpack.packb(self.max_lost_disks), log_entries.EntryKind.NOOP
        )

    async def replicate_to_members(self, scope: anyio.CancelScope) -> None:
        """Runs the replication to each other member, with its heartbeats."""
        with scope:
            async with anyio.create_task_group() as tasks:
                running: set[log_replication.MemberId] = set()
                # Whoever is admitted later has an empty log.
                next_index = self.storage.last_index + 1
                while True:
                    members = log_replication.other_members(self)
                    for member in sorted(members - running):
                        tasks.start_soon(
                            log_replication.replicate,
                            self,
                            *member,
                            next_index,
                        )
                        tasks.start_soon(
                            log_replication.send_heartbeats, self, *member
                        )
                    running = members
                    next_index = max(1, self.storage.base_index)
                    with self.timers.move_on_after(
                        self.timeouts.heartbeat_seconds
                    ):
                        await self.members_check_wanted.wait()
                    self.members_check_wanted = anyio.Event()
                    await self.update_members()

    async def update_members(self) -> None:
        """Makes the next change of the members, if one is due."""
        if not self.is_membership_settled:
            return
        view = self.describe_group()
        members = membership.next_members(view)
        if members is None:
            return
        eliot.log_message(
            'replica:change_members',
            group=self.group,
            voters=members.voters,
            previous=self.members.voters,
            reason=membership.describe_change(view, members),
        )
        try:
            await self.change_members(members)
        except errors.GatewayError as error:
            eliot.log_message(
                'replica:members_not_changed',
                group=self.group,
                voters=members.voters,
                reason=error.message,
            )

    def describe_group(self) -> membership.GroupView:
        """Returns what this leader knows of the members of the group."""
        now = self.timers.now()
        reply_seconds = self.timeouts.election_seconds
        first_reply_seconds = (
            FIRST_REPLY_HEARTBEATS * self.timeouts.heartbeat_seconds
        )
        silences = {
            vm: now - self.contact_times.get(vm, self.led_since)
            for vm in self.members.voters
        }
        silences[self.vm] = 0.0
        if now - self.led_since < first_reply_seconds:
            silences = {
                vm: min(seconds, reply_seconds)
                for vm, seconds in silences.items()
            }
        return membership.GroupView(
            self.members,
            self.vm,
            silences,
            log_replication.ready_learners(self),
            departure.leaving_voters(self),
            self.find_silent_learners(),
            self.min_voters,
            reply_seconds,
        )

    def find_silent_learners(self) -> frozenset[str]:
        """Returns the learners that have been silent for too long."""
        now = self.timers.now()
        silent = set()
        for (vm, _), since in self.learner_since.items():
            replied_at = self.replied_at.get(vm, 0.0)
            silence = now - max(since, self.led_since, replied_at)
            sending_seconds = (
                self.unanswered_bytes.get(vm, 0)
                / log_replication.MIN_LINK_BYTES_PER_SECOND
            )
            limit = membership.REMOVE_LEARNER_AFTER_SECONDS + sending_seconds
            if vm not in self.memory_replicas and silence >= limit:
                silent.add(vm)
        return frozenset(silent)

    async def read_index(self) -> int:
        """Returns an index that covers all entries committed before the call.

        It waits until a majority has acknowledged this leader after the call
        began (ReadIndex, Ongaro's dissertation, section 6.4). A state that
        has this index applied serves linearizable reads.

        :raises NotLeaderError: if this replica is not the leader.
        """
        self.require_leader()
        started_at = self.timers.now()
        term = self.term
        while not self.is_caught_up:
            await self.timers.sleep(STATE_POLL_SECONDS)
            self.require_leader()
        index = self.commit_index
        self.request_replication()
        while True:
            acknowledged = {
                vm for vm, at in self.contact_times.items() if at >= started_at
            }
            if self.term == term and self.members.is_majority(
                {self.vm, *acknowledged}
            ):
                return index
            contacted = self.contacted
            await contacted.wait()
            self.require_leader()

    def record_contact(self, vm: str, sent_at: float) -> None:
        """Records that a member replied to a message.

        :param sent_at: time at which the message was sent, not replied to.
            Replies to entries may come after those to later heartbeats.
        """
        known = self.contact_times.get(vm, sent_at)
        self.contact_times[vm] = max(known, sent_at)
        self.notify_index_readers()

    def notify_index_readers(self) -> None:
        self.contacted.set()
        self.contacted = anyio.Event()

    # Replication on the leader.

    def require_started(self) -> None:
        self.require_sound_disk()
        if self.role is roles.Role.STARTING:
            raise errors.ReplicationError('the replica is still starting')

    def require_leader(self) -> None:
        if not self.is_leader:
            raise errors.NotLeaderError(
                'this replica is not the leader', self.leader
            )

    async def propose(
        self,
        content: bytes,
        kind: log_entries.EntryKind = log_entries.EntryKind.COMMAND,
    ) -> typing.Any:
        """Returns the outcome of a command once it is committed and applied.

        :raises NotLeaderError: if the command was not written.
        :raises LostLeadershipError: if it is unknown whether the command
            will be committed.
        """
        return await _outcome(self.queue_proposal(content, kind))

    def queue_proposal(
        self, content: bytes, kind: log_entries.EntryKind
    ) -> PendingProposal:
        """Queues an entry to be written with the next batch.

        :raises NotLeaderError: if this replica is not the leader.
        """
        self.require_leader()
        proposal = PendingProposal(self.term)
        self.proposal_queue.append((kind, content, proposal))
        self.proposal_queued.set()
        return proposal

    async def on_propose(self, peer: str, content: typing.Any) -> typing.Any:
        """Proposes a command of a peer.

        :raises InvalidCommandError: if it is malformed.
        """
        self.require_leader()
        try:
            if not isinstance(content, bytes):
                raise errors.InvalidCommandError(
                    f'a command is a {type(content).__name__}, not bytes'
                )
            self.machine.check(content)
        except errors.InvalidCommandError as error:
            eliot.log_message(
                'replica:command_refused',
                group=self.group,
                peer=peer,
                reason=error.message[:MAX_REASON_CHARACTERS],
            )
            raise
        return await self.propose(content)

    async def write_proposals(self) -> None:
        """Appends the queued proposals in batches, with one sync each."""
        while True:
            while not self.proposal_queue:
                self.proposal_queued = anyio.Event()
                await self.proposal_queued.wait()
            # A failure of the disk is logged where it is found, and fails the
            # proposals.
            with contextlib.suppress(errors.DiskFailedError):
                async with self.lock_storage():
                    if self.is_leader:
                        await self.write_queue()
            if not self.is_leader:
                self.fail_pending_proposals()
                continue
            self.request_replication()
            self.advance_commit_index()

    async def write_queue(self) -> None:
        batch, self.proposal_queue = self.proposal_queue, []
        started_at = self.timers.now()
        try:
            await self.write_batch(batch)
        finally:
            self.last_write_seconds = self.timers.now() - started_at
        is_slow = self.last_write_seconds >= election.SLOW_WRITE_SECONDS
        self.slow_write_count = self.slow_write_count + 1 if is_slow else 0

    async def write_batch(self, batch: list) -> None:
        added = []
        index = self.storage.last_index
        for kind, content, proposal in batch:
            index += 1
            added.append(log_entries.Entry(index, self.term, kind, content))
            self.pending_proposals[index] = proposal
        await self.storage.append(added)
        if any(one.kind is log_entries.EntryKind.MEMBERSHIP for one in added):
            self.refresh_members()
            self.members_check_wanted.set()

    def request_replication(self) -> None:
        self.replication_wanted.set()
        self.replication_wanted = anyio.Event()

    def advance_commit_index(self) -> None:
        """Commits the entries that enough disks hold.

        Entries of earlier terms are committed only along with one of this
        term.
        """
        if not self.is_leader:
            return
        former = None
        if not self.are_members_committed:
            former = self.disk_members(self.members_at(self.members_index - 1))
        index = min(
            membership.committed_index(
                self.disk_members(self.members),
                former,
                self.members_index,
                self.is_recovery(self.members_index),
                {**self.match_index, self.vm: self.storage.last_index},
                self.max_lost_disks,
            ),
            log_replication.memory_replicated_index(self),
        )
        if index <= self.commit_index:
            return
        if self.storage.term_at(index) == self.term:
            self.commit_index = index
            self.apply_committed()
            self.is_caught_up = True
            # Sends the new commit index without waiting for a heartbeat.
            self.request_replication()

    async def on_export(self, peer: str, message: typing.Any) -> list:
        """Returns the applied state, to recover a replica's lost disk."""
        self.require_started()
        index = self.applied_index
        return [
            index,
            self.storage.term_at(index),
            self.term,
            self.machine.save(),
        ]

    # Replication on the other members.

    async def on_append(self, peer: str, message: list) -> list:
        (
            term,
            leader,
            previous_index,
            previous_term,
            packed_entries,
            leader_commit_index,
        ) = message
        if self.failure is not None and term >= self.term:
            # Requests are still sent to the leader, though the entries cannot
            # be stored.
            self.leader, self.leader_heard_at = leader, self.timers.now()
        self.note_peer(peer)
        if not self.is_joining:
            self.require_started()
        if not packed_entries and self.can_confirm(
            term, previous_index, previous_term
        ):
            self.note_leader(leader)
            return [self.term, True, previous_index, self.incarnation]
        async with self.lock_storage():
            rejection = [self.term, False, 0, self.incarnation]
            if term < self.term:
                return rejection
            if self.is_starting:
                await self.accept_leader_of_admission(term, leader)
            else:
                await self.accept_leader(term, leader)
            added = [log_entries.Entry.unpack(one) for one in packed_entries]
            is_consistent = self.holds(previous_index, previous_term)
            # A leader of an earlier release may send entries with a gap if
            # it compacts its log while it sends a snapshot.
            indexes = [entry.index for entry in added]
            first = previous_index + 1
            has_gap = indexes != list(range(first, first + len(added)))
            if not is_consistent or has_gap:
                hint = min(previous_index - 1, self.storage.last_index)
                return [self.term, False, hint, self.incarnation]
            await self.append_entries(added)
            last_appended = previous_index + len(added)
            if min(leader_commit_index, last_appended) > self.commit_index:
                self.commit_index = min(leader_commit_index, last_appended)
                self.apply_committed()
            # A leader may not know what is committed until it has committed an
            # entry of its term.
            if (
                self.applied_index >= leader_commit_index
                and self.storage.term_at(self.applied_index) == self.term
            ):
                self.is_caught_up = True
            return [self.term, True, last_appended, self.incarnation]

    def can_confirm(
        self, term: int, previous_index: int, previous_term: int | None
    ) -> bool:
        """Returns whether a heartbeat is answered during a write.

        The answer must not depend on the write: the term is adopted, and the
        log in memory, which is durable, holds the entry before. A disk that
        hangs must be noticed, so a write that lasts too long is waited for.
        """
        return (
            self.has_short_write()
            and self.role is roles.Role.FOLLOWER
            and term == self.term
            and self.holds(previous_index, previous_term)
        )

    def has_short_write(self) -> bool:
        """Returns whether a write is under way that is no hang yet."""
        held_since = self.storage_held_since
        return (
            held_since is not None
            and self.timers.now() - held_since < timing.WRITE_HANG_SECONDS
        )

    def holds(self, index: int, term: int | None) -> bool:
        """Returns whether an entry is stored or covered by the snapshot."""
        own_term = self.storage.term_at(index)
        return index <= self.storage.base_index or (
            own_term is not None and own_term == term
        )

    async def accept_leader(self, term: int, leader: str) -> None:
        await self.adopt_term(term)
        if self.role is not roles.Role.FOLLOWER:
            self.become_follower()
        self.note_leader(leader)

    async def accept_leader_of_admission(self, term: int, leader: str) -> None:
        """Stores the term of a leader that this replica asks to admit it.

        It still takes part only after its admission; what it acknowledges is
        stored, and counts for its new incarnation only.
        """
        if term > self.term:
            await self.storage.save_meta(term=term, voted_for='')
        self.note_leader(leader)

    def note_leader(self, leader: str) -> None:
        """Records a message of the leader of the current term."""
        self.last_leader = leader
        self.supported_until = -math.inf
        # A message that the leader sent before it stepped down may come late.
        is_released = self.term == self.released_term
        self.leader = None if is_released else leader
        self.last_contact_at = self.leader_heard_at = self.timers.now()

    async def append_entries(self, added: list[log_entries.Entry]) -> None:
        """Appends new entries after truncating conflicting ones."""
        new = []
        for entry in added:
            own_term = self.storage.term_at(entry.index)
            if entry.index <= self.storage.base_index:
                continue
            if not new and own_term == entry.term:
                continue
            if not new and own_term is not None:
                await self.storage.truncate_from(entry.index)
            new.append(entry)
        if new:
            await self.storage.append(new)
            self.refresh_members()

    async def on_snapshot(self, peer: str, message: list) -> list:
        term, leader, index, snapshot_term, members, offset, chunk, end = (
            message
        )
        # An earlier release sends True.
        is_last = bool(end)
        self.require_started()
        async with self.lock_storage():
            if term < self.term:
                return [self.term, False]
            await self.accept_leader(term, leader)
            incoming = self.incoming_snapshot
            source = (term, index, snapshot_term)
            if incoming is None or incoming.source != source:
                if offset > 0:
                    return [self.term, False]
                incoming = self.incoming_snapshot = IncomingSnapshot(source)
            if not incoming.add(offset, chunk):
                return [self.term, False]
            # The commit index may be ahead of a log that was lost.
            is_lost = index > self.storage.last_index
            if is_last and (is_lost or index > self.commit_index):
                snapshot = log_entries.Snapshot(
                    index,
                    snapshot_term,
                    log_entries.Members.unpack(members),
                    bytes(incoming.content),
                    int(end) - 1,
                )
                await self.storage.install_snapshot(snapshot)
                if is_lost:
                    # The entries after it are committed again as they come.
                    self.commit_index = index
                self.restore(snapshot)
                self.refresh_members()
            if is_last:
                self.incoming_snapshot = None
            return [self.term, True]

    # Applying entries.

    def apply_committed(self) -> None:
        """Applies the committed entries and completes their proposals."""
        while self.applied_index < self.commit_index:
            index = self.applied_index + 1
            entry = self.storage.entries[index - self.storage.base_index - 1]
            outcome, failure = None, None
            if self.is_machine_outdated:
                self.machine.restore(self.initial_state)
                self.is_machine_outdated = False
            if entry.kind is log_entries.EntryKind.COMMAND:
                outcome, failure = self.apply_command(entry)
            elif entry.kind is log_entries.EntryKind.MEMBERSHIP:
                self.start_saving_members()
                self.members_check_wanted.set()
            self.applied_index = index
            proposal = self.pending_proposals.pop(index, None)
            if proposal is None:
                continue
            proposal.outcome, proposal.error = outcome, failure
            if proposal.term != entry.term:
                proposal.error = errors.LostLeadershipError(
                    'the entry was overwritten by another leader'
                )
            proposal.done.set()
        applied_count = self.applied_index - self.storage.base_index
        if applied_count >= SNAPSHOT_AFTER_ENTRIES and self.tasks is not None:
            self.tasks.start_soon(self.take_snapshot)

    def start_saving_members(self) -> None:
        if self.tasks is not None:
            self.tasks.start_soon(self.save_committed_members)

    async def save_committed_members(self) -> None:
        """Remembers over a restart that the members are committed.

        The file is written beside the log, without the storage lock, so that
        the next entry does not wait for it. What it states, that the entry of
        an index and a term is committed, stays true whatever else is written.
        One task writes it until it states the newest change.
        """
        if self.is_saving_members:
            return
        self.is_saving_members = True
        try:
            while self.failure is None and self.has_unsaved_members():
                try:
                    with anyio.CancelScope(shield=True):
                        await self.storage.save_committed_members(
                            self.members_index
                        )
                except errors.DiskFailedError as error:
                    # A failure is handled and logged under the lock.
                    with contextlib.suppress(errors.DiskFailedError):
                        async with self.lock_storage():
                            raise error
        finally:
            self.is_saving_members = False

    def has_unsaved_members(self) -> bool:
        """Returns whether the newest members are committed and not saved."""
        index = self.members_index
        return (
            self.storage.base_index < index <= self.commit_index
            and self.storage.committed_members
            != (index, self.storage.term_at(index))
        )

    @property
    def are_members_committed(self) -> bool:
        """Whether the newest members are known to be committed."""
        return self.is_change_committed(self.members_index)

    def is_change_committed(self, index: int) -> bool:
        """Returns whether a change of the members is known to be committed.

        What was committed before a restart is known for the last change only.
        """
        stored_index, stored_term = self.storage.committed_members
        return self.commit_index >= index or (
            stored_index >= index
            and self.storage.term_at(stored_index) == stored_term
        )

    def is_recovery(self, index: int) -> bool:
        """Returns whether a change of the members replaced all lost voters.

        That is the first entry of a term, and no other change is.
        """
        return index > self.storage.base_index and (
            self.storage.term_at(index - 1) != self.storage.term_at(index)
        )

    def is_quorum(self, vms: set[str]) -> bool:
        """Returns whether the votes of these VMs elect a voter.

        Members that replaced all lost voters are known to any two voters only
        once they are committed. Until then all voters are needed.
        """
        if self.are_members_committed or not self.is_recovery(
            self.members_index
        ):
            return self.members.is_majority(vms)
        return vms.issuperset(self.members.voters)

    def members_in_force(self) -> list[log_entries.Members]:
        """Returns the newest members, and earlier ones that may be in force.

        A change is proposed only when the one before is committed, except by a
        leader that was elected by a recovery.
        """
        found = [self.disk_members(self.members)]
        index = self.members_index
        while not self.is_change_committed(index):
            was_recovery = self.is_recovery(index)
            index = self.change_before(index)
            found.append(self.disk_members(self.members_at(index)))
            if not was_recovery:
                break
        return found

    def ids_in_force(self) -> frozenset[log_entries.MemberId]:
        return frozenset().union(*(one.ids for one in self.members_in_force()))

    def change_before(self, index: int) -> int:
        """Returns the index of the last change of the members before one."""
        return max(
            (
                one.index
                for one in self.storage.entries
                if one.index < index
                and one.kind is log_entries.EntryKind.MEMBERSHIP
            ),
            default=self.storage.base_index,
        )

    def disk_members(
        self, members: log_entries.Members
    ) -> log_entries.Members:
        """Returns the members that have a disk."""
        for vm in self.memory_replicas:
            members = members.without(vm)
        return members

    @property
    def survivable_losses(self) -> int:
        """How many lost disks the committed entries that it knows survive.

        The leader of the last term held all committed entries of earlier ones,
        so that term decides.
        """
        last_term = self.storage.term_at(self.storage.last_index)
        return min(self.losses_of_term(last_term), self.max_lost_disks)

    def losses_of_term(self, term: int) -> int:
        """Returns what a leader announced, 0 for one of an earlier release."""
        for entry in reversed(self.storage.entries):
            if entry.term < term:
                break
            is_noop = entry.kind is log_entries.EntryKind.NOOP
            if entry.term == term and is_noop and entry.content:
                return _unpack_losses(entry.content)
        snapshot = self.storage.snapshot
        if snapshot is not None and snapshot.term == term:
            return snapshot.survivable_losses
        return 0

    def apply_command(
        self, entry: log_entries.Entry
    ) -> tuple[typing.Any, errors.InvalidCommandError | None]:
        """Returns the outcome of a command, or why it cannot be applied.

        Such a command is in the log of every replica, so an error that ended
        one of them would end all of them, again after each restart.
        """
        try:
            return self.machine.apply(entry.content), None
        except MemoryError:
            # Depends on the VM: skipping the command would leave this replica
            # with another state than the others.
            raise
        except Exception as error:
            reason = f'{type(error).__name__}: {error}'[:MAX_REASON_CHARACTERS]
            eliot.log_message(
                'replica:command_not_applied',
                group=self.group,
                index=entry.index,
                reason=reason,
            )
            return None, errors.InvalidCommandError(
                f'the command cannot be applied: {reason}'
            )

    async def take_snapshot(self) -> None:
        """Compacts the applied entries into a snapshot."""
        # A failure of the disk is logged where it is found.
        with contextlib.suppress(errors.DiskFailedError):
            async with self.lock_storage():
                await self.compact()

    async def compact(self) -> None:
        index = self.applied_index
        if index - self.storage.base_index < SNAPSHOT_AFTER_ENTRIES:
            return
        term = self.storage.term_at(index)
        snapshot = log_entries.Snapshot(
            index,
            term,
            self.members_at(index),
            self.machine.save(),
            self.losses_of_term(term),
        )
        await self.storage.install_snapshot(snapshot)

    def members_at(self, index: int) -> log_entries.Members:
        """Returns the members as of an index at or after the snapshot."""
        for entry in reversed(self.storage.entries):
            if (
                entry.index <= index
                and entry.kind is log_entries.EntryKind.MEMBERSHIP
            ):
                return _unpack_members(entry.content)
        if self.storage.snapshot is not None:
            return self.storage.snapshot.members
        return log_entries.Members.unpack(self.storage.meta.founders)


async def _outcome(proposal: PendingProposal) -> typing.Any:
    await proposal.done.wait()
    if proposal.error is not None:
        raise proposal.error
    return proposal.outcome


def _require_texts(method: str, *values: typing.Any) -> None:
    """Checks values of a request that are stored or replicated.

    :raises PeerProtocolError: if one of them is no text.
    """
    try:
        for one in values:
            peers.check_text(one)
    except TypeError as error:
        raise errors.PeerProtocolError(
            f'a malformed request {method}: {error}'
        ) from error


def _unpack_losses(content: bytes) -> int:
    losses = msgpack.unpackb(content)
    return losses if isinstance(losses, int) else 0


def _pack_members(members: log_entries.Members) -> bytes:
    return msgpack.packb(members.pack())


def _unpack_members(content: bytes) -> log_entries.Members:
    return log_entries.Members.unpack(msgpack.unpackb(content))
