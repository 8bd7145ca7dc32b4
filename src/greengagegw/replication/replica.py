"""A replica of a log that a majority of voters must hold.

The algorithm is Raft (Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm", 2014) with the pre-vote and the
one-at-a-time member change of Ongaro's dissertation (2014, chapters 4 and
9). A replica counts its starts, and its peers remember the count, so that
a disk brought back from the past is found and starts anew as a learner.
"""

import collections.abc
import contextlib
import dataclasses
import random
import secrets
import typing

import anyio
import anyio.abc
import eliot
import msgpack

from .. import errors
from .. import timers as timer_service
from . import election
from . import entries as log_entries
from . import log_replication
from ..ports import peers
from . import roles
from . import startup
from . import storage as log_storage
from . import timing

CALL_SECONDS = 1.0
SNAPSHOT_AFTER_ENTRIES = 2000
MAX_MEMBERS = 64
DEFAULT_TIMEOUTS = timing.Timeouts()
# A machine that restarts is back well before.
REMOVE_AFTER_SECONDS = 15.0
CONFIRM_POLL_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class StateMachine:
    """What the log is applied to.

    :ivar apply: takes a committed command and returns its outcome.
    :ivar save: returns the whole state as bytes.
    :ivar restore: replaces the state by saved bytes.
    """

    apply: collections.abc.Callable[[bytes], typing.Any]
    save: collections.abc.Callable[[], bytes]
    restore: collections.abc.Callable[[bytes], None]


class Waiter:
    """A proposal that waits for its entry to be applied."""

    __slots__ = ('done', 'error', 'outcome', 'term')

    def __init__(self, term: int) -> None:
        self.term = term
        self.done = anyio.Event()
        self.outcome: typing.Any = None
        self.error: errors.GatewayError | None = None


class Replica:
    """One replica of the group ``group`` on the VM ``vm``.

    :param founders: the VMs that form the group at its first start.
    :param copies: VMs without a disk that hold a copy in memory. They never
        vote; a group of fewer than three voters commits nothing that no
        living copy holds, and is filled from a copy when its disk is lost.
    :param rng: source of the election timeouts.
    :param may_found: whether the group may be formed anew; not so when the
        deployment has run before, since an empty disk is then a lost one.
    :param least_voters: voters below which a silent one keeps its seat.
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
    ) -> None:
        self.timeouts = timeouts
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
        self.session = secrets.token_hex(8)
        self.commit_index = 0
        self.applied_index = 0
        self.last_contact_at = timers.now()
        self.stood_at = timers.now()
        self.contacts: dict[str, float] = {}
        self.match: dict[str, int] = {}
        self.told: dict[str, int] = {}
        self.waiters: dict[int, Waiter] = {}
        self.queue: list[tuple[log_entries.EntryKind, bytes, Waiter]] = []
        self.queued = anyio.Event()
        self.appended = anyio.Event()
        self.contacted = anyio.Event()
        self.writing_since: float | None = None
        self.storage_lock = anyio.Lock()
        self.incoming: bytearray | None = None
        self.failure: errors.StorageError | None = None
        self.is_loaded = False
        self.membership_checked_at = timers.now()
        self.is_caught_up = False
        self.tasks: anyio.abc.TaskGroup | None = None
        self.leading: anyio.CancelScope | None = None

    @property
    def term(self) -> int:
        return self.storage.meta.term

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
        """Whether what is applied here is what the leader applied."""
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
    async def exclusive(self) -> collections.abc.AsyncIterator[None]:
        """Holds the disk; what was begun is not cancelled half way."""
        async with self.storage_lock:
            with anyio.CancelScope(shield=True):
                yield

    def handlers(self) -> dict[str, peers.Handler]:
        """Returns the handlers of this replica for the peer port."""
        prefix = f'replica.{self.group}'
        return {
            f'{prefix}.identify': self.on_identify,
            f'{prefix}.vote': self.on_vote,
            f'{prefix}.append': self.on_append,
            f'{prefix}.snapshot': self.on_snapshot,
            f'{prefix}.join': self.on_join,
            f'{prefix}.propose': self.on_propose,
            f'{prefix}.export': self.on_export,
        }

    async def ask(
        self, vm: str, method: str, message: typing.Any
    ) -> typing.Any:
        name = f'replica.{self.group}.{method}'
        return await self.mesh.call(vm, name, message, CALL_SECONDS)

    async def run(self) -> None:
        """Runs the replica until it is cancelled.

        :raises StorageError: if the disk cannot be trusted.
        """
        async with self.exclusive():
            await self.load()
            self.is_loaded = True
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            await startup.start_up(self)
            tasks.start_soon(self.run_elections)
            tasks.start_soon(self.write_queue)

    async def load(self) -> None:
        """Reads the state from disk and counts the start."""
        await self.storage.load()
        if self.storage.snapshot is not None:
            self.restore(self.storage.snapshot)
        self.find_members()
        if not self.incarnation:
            await self.storage.save_meta(
                incarnation=secrets.token_hex(8), boots=1
            )
            return
        await self.storage.save_meta(boots=self.storage.meta.boots + 1)

    def restore(self, snapshot: log_entries.Snapshot) -> None:
        self.machine.restore(snapshot.state)
        self.applied_index = snapshot.index
        self.commit_index = max(self.commit_index, snapshot.index)

    def forget(self) -> None:
        """Drops what was applied, for a copy that joins anew."""
        self.applied_index = self.commit_index = 0
        self.is_caught_up = False
        self.find_members()

    def find_members(self) -> None:
        """Takes the members from the newest entry that names them."""
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

    def has_incarnation(self, vm: str, incarnation: str) -> bool:
        """Returns whether a member still has the disk it had."""
        member = self.members.get(vm)
        return member is not None and member.incarnation == incarnation

    # Starting, whose rules are in the startup module.

    async def on_identify(self, peer: str, message: list) -> dict:
        vm, incarnation, boots, session = message
        if not self.is_loaded:
            raise errors.ReplicationError('starting')
        is_stale = False
        async with self.exclusive():
            known = self.find_seen(vm, incarnation)
            if known is not None and known.session != session:
                is_stale = known.boots >= boots
            if known is None or boots > known.boots:
                seen = log_storage.SeenBoot(vm, incarnation, boots, session)
                await self.remember_boot(seen)
        return {
            'incarnation': self.incarnation,
            'founders': list(self.storage.meta.founders),
            'members': self.members.pack(),
            'members_index': self.members_index,
            'leader': self.leader,
            'is_stale': is_stale,
        }

    def find_seen(
        self, vm: str, incarnation: str
    ) -> log_storage.SeenBoot | None:
        for seen in self.storage.meta.seen_boots:
            if (seen.vm, seen.incarnation) == (vm, incarnation):
                return seen
        return None

    async def remember_boot(self, seen: log_storage.SeenBoot) -> None:
        """Keeps a peer's count of starts.

        Older incarnations of the same VM never come back as members, so
        they are forgotten.
        """
        others = [
            one for one in self.storage.meta.seen_boots if one.vm != seen.vm
        ]
        await self.storage.save_meta(seen_boots=(*others, seen))

    async def on_join(self, peer: str, message: list) -> None:
        vm, incarnation = message
        self.require_leader()
        if self.has_incarnation(vm, incarnation):
            if self.members_index > self.commit_index:
                raise errors.ReplicationError('a change is under way')
            return
        known = self.members.get(vm)
        if known is None and len(self.members.members) >= MAX_MEMBERS:
            raise errors.ReplicationError('the group is full')
        member = log_entries.Member(vm, incarnation, False)
        self.match.pop(vm, None)
        self.contacts.pop(vm, None)
        await self.change_members(self.members.with_member(member))

    async def change_members(self, members: log_entries.Members) -> None:
        """Changes one member, after the last change was committed."""
        self.require_leader()
        if self.members_index > self.commit_index:
            raise errors.ReplicationError('a change is under way')
        content = _pack_members(members)
        await self.propose(content, log_entries.EntryKind.MEMBERSHIP)

    # Roles.

    def become_follower(self) -> None:
        if self.leading is not None:
            self.leading.cancel()
            self.leading = None
        if self.role is roles.Role.LEADER:
            self.leader = None
            eliot.log_message('replica:step_down', group=self.group)
        if self.failure is None:
            self.role = roles.Role.FOLLOWER
        self.last_contact_at = self.stood_at = self.timers.now()
        self.fail_waiters()
        self.wake_confirmers()

    def fail(self, error: errors.GatewayError) -> None:
        """Takes no part any more, since the disk cannot be trusted."""
        self.failure = error
        self.become_follower()
        self.role = roles.Role.FAILED

    def fail_waiters(self) -> None:
        """Answers the proposals that this replica cannot see through."""
        for waiter in self.waiters.values():
            waiter.error = errors.LostLeadershipError(
                'the leader stepped down'
            )
            waiter.done.set()
        self.waiters.clear()
        for _, _, waiter in self.queue:
            waiter.error = errors.NotLeaderError('no leader', None)
            waiter.done.set()
        self.queue.clear()

    async def see_term(self, term: int) -> None:
        """Takes over a higher term that a peer named, and drops the leader."""
        if term > self.term:
            await self.storage.save_meta(term=term, voted_for='')
            self.leader = None
            self.become_follower()

    async def run_elections(self) -> None:
        """Stands for election when the leader is silent too long."""
        jitter = self.rng.random()
        while True:
            patience = election.patience_seconds(self, jitter)
            quiet_since = max(self.last_contact_at, self.stood_at)
            left = quiet_since + patience - self.timers.now()
            pause = min(max(0.0, left), self.timeouts.heartbeat_seconds)
            await self.timers.sleep(max(CONFIRM_POLL_SECONDS, pause))
            if self.role is roles.Role.LEADER:
                self.check_majority()
                continue
            is_member = self.has_incarnation(self.vm, self.incarnation)
            if self.vm in self.memory_replicas or not is_member:
                await startup.rejoin_when_left_out(self)
                continue
            me = self.members.get(self.vm)
            if me is None or not me.is_voter:
                continue
            quiet_since = max(self.last_contact_at, self.stood_at)
            patience = election.patience_seconds(self, jitter)
            if self.timers.now() - quiet_since >= patience:
                jitter = self.rng.random()
                await election.stand(self)

    def check_majority(self) -> None:
        """Steps down when a majority was not heard for too long.

        A disk that hangs counts as well, since nothing can be committed
        while others could.
        """
        now = self.timers.now()
        if (
            self.writing_since is not None
            and now - self.writing_since >= self.timeouts.election_seconds
        ):
            eliot.log_message('replica:disk_hangs', group=self.group)
            self.become_follower()
            return
        near = {
            vm
            for vm, at in self.contacts.items()
            if now - at < self.timeouts.election_seconds
        }
        if not self.members.is_majority({self.vm, *near}):
            self.become_follower()

    async def on_vote(self, peer: str, message: list) -> list:
        term, candidate, incarnation, last_index, last_term, trial = message
        if self.role in (roles.Role.STARTING, roles.Role.FAILED):
            return [self.term, False, '']
        async with self.exclusive():
            if not self.has_incarnation(candidate, incarnation):
                return [self.term, False, self.incarnation]
            silence = self.timers.now() - self.last_contact_at
            has_leader = self.leader is not None and (
                self.is_leader or silence < self.timeouts.election_seconds
            )
            if has_leader or term < self.term:
                return [self.term, False, self.incarnation]
            mine = self.storage.last_index
            is_current = (last_term, last_index) >= (
                self.storage.term_at(mine),
                mine,
            )
            if trial:
                return [self.term, is_current, self.incarnation]
            await self.see_term(term)
            if not is_current:
                return [self.term, False, self.incarnation]
            if self.storage.meta.voted_for not in ('', candidate):
                return [self.term, False, self.incarnation]
            await self.storage.save_meta(voted_for=candidate)
            self.last_contact_at = self.timers.now()
            return [self.term, True, self.incarnation]

    async def become_leader(self) -> None:
        """Becomes the leader and starts one task for each peer."""
        self.role = roles.Role.LEADER
        self.leader = self.vm
        now = self.timers.now()
        self.contacts = {vm: now for vm in self.members.voters}
        self.match = {}
        self.told = {}
        self.is_caught_up = False
        eliot.log_message('replica:lead', group=self.group, term=self.term)
        self.leading = anyio.CancelScope()
        self.tasks.start_soon(self.lead_members, self.leading)
        waiter = Waiter(self.term)
        self.queue.append((log_entries.EntryKind.NOOP, b'', waiter))
        self.queued.set()

    async def lead_members(self, scope: anyio.CancelScope) -> None:
        """Keeps one replicating task for each member but this one."""
        with scope:
            async with anyio.create_task_group() as tasks:
                running: set[str] = set()
                while True:
                    for member in self.members.members:
                        if member.vm not in running | {self.vm}:
                            running.add(member.vm)
                            tasks.start_soon(
                                log_replication.replicate, self, member.vm
                            )
                    running &= {one.vm for one in self.members.members}
                    await self.timers.sleep(self.timeouts.heartbeat_seconds)
                    await self.remove_silent_voter()

    async def remove_silent_voter(self) -> None:
        """Takes its seat from a voter that others have made up for.

        Without this, machines that are replaced for good would count in
        majorities for ever.
        """
        voters = self.members.voters
        if len(voters) <= self.min_voters:
            return
        if self.members_index > self.commit_index:
            return
        now = self.timers.now()
        silent = [
            vm
            for vm in voters
            if vm != self.vm
            and now - self.contacts.get(vm, now) > REMOVE_AFTER_SECONDS
        ]
        if silent:
            vm = min(silent, key=lambda one: self.contacts[one])
            eliot.log_message('replica:remove', group=self.group, vm=vm)
            with contextlib.suppress(errors.ReplicationError):
                await self.change_members(self.members.without(vm))

    async def read_index(self) -> int:
        """Returns an index that holds all that was committed before.

        A majority is asked whether it still follows this leader, after the
        call began (the read index of Ongaro's dissertation, section 6.4).

        :raises NotLeaderError: if this replica does not lead.
        """
        self.require_leader()
        began_at = self.timers.now()
        term = self.term
        while not self.is_caught_up:
            await self.timers.sleep(CONFIRM_POLL_SECONDS)
            self.require_leader()
        index = self.commit_index
        self.note_appended()
        while True:
            near = {vm for vm, at in self.contacts.items() if at >= began_at}
            if self.term == term and self.members.is_majority(
                {self.vm, *near}
            ):
                return index
            contacted = self.contacted
            await contacted.wait()
            self.require_leader()

    def note_contact(self, vm: str, asked_at: float) -> None:
        """Takes in that a member answered what was asked at a time."""
        self.contacts[vm] = asked_at
        self.wake_confirmers()

    def wake_confirmers(self) -> None:
        self.contacted.set()
        self.contacted = anyio.Event()

    # Replication, at the leader.

    def require_started(self) -> None:
        if self.failure is not None:
            raise self.failure
        if self.role is roles.Role.STARTING:
            raise errors.ReplicationError('starting')

    def require_leader(self) -> None:
        if self.failure is not None:
            raise self.failure
        if not self.is_leader:
            raise errors.NotLeaderError('not the leader', self.leader)

    async def propose(
        self,
        content: bytes,
        kind: log_entries.EntryKind = log_entries.EntryKind.COMMAND,
    ) -> typing.Any:
        """Returns the outcome of a command once it is committed.

        :raises NotLeaderError: if nothing was written.
        :raises LostLeadershipError: if it may be committed or not.
        """
        self.require_leader()
        waiter = Waiter(self.term)
        self.queue.append((kind, content, waiter))
        self.queued.set()
        await waiter.done.wait()
        if waiter.error is not None:
            raise waiter.error
        return waiter.outcome

    async def on_propose(self, peer: str, content: bytes) -> typing.Any:
        return await self.propose(content)

    async def write_queue(self) -> None:
        """Writes proposals in batches, one sync for each batch."""
        while True:
            while not self.queue:
                self.queued = anyio.Event()
                await self.queued.wait()
            async with self.exclusive():
                if not self.is_leader:
                    self.fail_waiters()
                    continue
                batch, self.queue = self.queue, []
                self.writing_since = self.timers.now()
                with contextlib.suppress(errors.StorageError):
                    await self.write_batch(batch)
                self.writing_since = None
            self.note_appended()
            self.advance_commit()

    async def write_batch(self, batch: list) -> None:
        added = []
        index = self.storage.last_index
        for kind, content, waiter in batch:
            index += 1
            added.append(log_entries.Entry(index, self.term, kind, content))
            self.waiters[index] = waiter
        await self.append_or_fail(added)
        if any(one.kind is log_entries.EntryKind.MEMBERSHIP for one in added):
            self.find_members()

    async def append_or_fail(self, added: list[log_entries.Entry]) -> None:
        try:
            await self.storage.append(added)
        except errors.StorageError as error:
            # The file may hold anything now, so this replica stops taking
            # part; a restart reads what really became durable.
            self.fail(error)
            eliot.log_message('replica:disk_failed', group=self.group)
            raise

    def note_appended(self) -> None:
        self.appended.set()
        self.appended = anyio.Event()

    def advance_commit(self) -> None:
        """Commits what a majority holds, if it is of this term."""
        if not self.is_leader:
            return
        held = []
        for vm in self.members.voters:
            mine = self.storage.last_index
            held.append(mine if vm == self.vm else self.match.get(vm, 0))
        held.sort(reverse=True)
        index = held[len(held) // 2] if held else 0
        index = min(index, log_replication.held_by_copies(self))
        if index <= self.commit_index:
            return
        if self.storage.term_at(index) == self.term:
            self.commit_index = index
            self.apply_committed()
            self.is_caught_up = True
            # The members learn at once what they may apply.
            self.note_appended()

    async def on_export(self, peer: str, message: typing.Any) -> list:
        """Gives out what is applied here, for a replica without its disk."""
        self.require_started()
        index = self.applied_index
        return [
            index,
            self.storage.term_at(index),
            self.term,
            self.machine.save(),
        ]

    # Replication, at the other members.

    async def on_append(self, peer: str, message: list) -> list:
        term, leader, before, before_term, packed, commit = message
        self.require_started()
        async with self.exclusive():
            refusal = [self.term, False, 0, self.incarnation]
            if term < self.term:
                return refusal
            await self.follow(term, leader)
            held = self.storage.term_at(before)
            if held != before_term and before > self.storage.base_index:
                hint = min(before - 1, self.storage.last_index)
                return [self.term, False, hint, self.incarnation]
            added = [log_entries.Entry.unpack(one) for one in packed]
            await self.append_entries(added)
            last = before + len(added)
            if min(commit, last) > self.commit_index:
                self.commit_index = min(commit, last)
                self.apply_committed()
            if self.applied_index >= commit:
                self.is_caught_up = True
            return [self.term, True, last, self.incarnation]

    async def follow(self, term: int, leader: str) -> None:
        await self.see_term(term)
        if self.role is not roles.Role.FOLLOWER:
            self.become_follower()
        self.leader = leader
        self.last_contact_at = self.timers.now()

    async def append_entries(self, added: list[log_entries.Entry]) -> None:
        """Appends what is new, cutting what contradicts it."""
        new = []
        for entry in added:
            held = self.storage.term_at(entry.index)
            if entry.index <= self.storage.base_index:
                continue
            if not new and held == entry.term:
                continue
            if not new and held is not None:
                await self.storage.truncate(entry.index)
            new.append(entry)
        if new:
            await self.append_or_fail(new)
            self.find_members()

    async def on_snapshot(self, peer: str, message: list) -> list:
        term, leader, index, index_term, members, start, part, last = message
        self.require_started()
        async with self.exclusive():
            if term < self.term:
                return [self.term, False]
            await self.follow(term, leader)
            if start == 0:
                self.incoming = bytearray()
            if self.incoming is None or len(self.incoming) != start:
                return [self.term, False]
            self.incoming += part
            if last and index > self.commit_index:
                snapshot = log_entries.Snapshot(
                    index,
                    index_term,
                    log_entries.Members.unpack(members),
                    bytes(self.incoming),
                )
                await self.storage.install_snapshot(snapshot)
                self.restore(snapshot)
                self.find_members()
            if last:
                self.incoming = None
            return [self.term, True]

    # Applying.

    def apply_committed(self) -> None:
        """Applies the committed entries and answers their proposers."""
        while self.applied_index < self.commit_index:
            index = self.applied_index + 1
            entry = self.storage.entries[index - self.storage.base_index - 1]
            outcome = None
            if entry.kind is log_entries.EntryKind.COMMAND:
                outcome = self.machine.apply(entry.content)
            self.applied_index = index
            waiter = self.waiters.pop(index, None)
            if waiter is None:
                continue
            waiter.outcome = outcome
            if waiter.term != entry.term:
                waiter.error = errors.LostLeadershipError('overwritten')
            waiter.done.set()
        held = self.applied_index - self.storage.base_index
        if held >= SNAPSHOT_AFTER_ENTRIES and self.tasks is not None:
            self.tasks.start_soon(self.take_snapshot)

    async def take_snapshot(self) -> None:
        """Replaces the applied entries by a snapshot."""
        async with self.exclusive():
            index = self.applied_index
            if index - self.storage.base_index < SNAPSHOT_AFTER_ENTRIES:
                return
            snapshot = log_entries.Snapshot(
                index,
                self.storage.term_at(index),
                self.members_at(index),
                self.machine.save(),
            )
            await self.storage.install_snapshot(snapshot)

    def members_at(self, index: int) -> log_entries.Members:
        """Returns the members as of an entry that is held."""
        for entry in reversed(self.storage.entries):
            if (
                entry.index <= index
                and entry.kind is log_entries.EntryKind.MEMBERSHIP
            ):
                return _unpack_members(entry.content)
        if self.storage.snapshot is not None:
            return self.storage.snapshot.members
        return log_entries.Members.unpack(self.storage.meta.founders)


def _pack_members(members: log_entries.Members) -> bytes:
    return msgpack.packb(members.pack())


def _unpack_members(content: bytes) -> log_entries.Members:
    return log_entries.Members.unpack(msgpack.unpackb(content))
