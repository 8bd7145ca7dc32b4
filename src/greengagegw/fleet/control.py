"""A control VM: log replica, directory and reader of the instance list.

An entry VM polls one control VM and sends heartbeats to the others. So each
control VM knows all entry VMs, and an entry VM's cost of membership does not
grow with the fleet.
"""

import collections.abc
import math
import typing

import anyio
import eliot

from .. import errors
from .. import held_requests
from .. import supervision
from .. import timers as timer_service
from . import configuration as configurations
from . import crash_watch
from . import fleet_summary
from . import history_keeper
from . import hold_expiry
from . import instances as instance_list
from . import loads
from . import members
from . import origin_table
from ..ports import peers
from . import quota_allocator
from ..replication import client as replication_client
from ..replication import replica as replicas
from ..replication import status
from . import retry_records
from . import server_notices
from . import store as stores
from . import timing

ReadInstances = collections.abc.Callable[
    [], collections.abc.Awaitable[tuple[instance_list.Instance, ...]]
]
Decode = collections.abc.Callable[[bytes], configurations.Configuration]
VERSIONS_INTERVAL_SECONDS = 30.0


class InstanceListCache:
    """The last instance list that this VM has read or received.

    :ivar packed: the packed instances, sorted by name.
    :ivar read_at: timer seconds of this VM when the list was requested from
        the platform.
    """

    def __init__(self) -> None:
        self.packed: list[list] = []
        self.digest = 0
        self.read_at = -1e9

    def update(self, packed: list[list], read_at: float) -> None:
        if read_at <= self.read_at:
            return
        self.read_at = read_at
        digest = members.digest(packed)
        if digest != self.digest:
            self.digest = digest
            self.packed = packed
            eliot.log_message(
                'instances:changed', count=len(packed), digest=digest
            )


class ControlServer:
    """Serves entry VMs, other control VMs and operators on one VM.

    :param read_instances: reads the instance list from the platform.
    :param quota_debt: tokens by which an organisation may exceed its rate for
        a large request.
    """

    def __init__(
        self,
        vm: str,
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
        replica: replicas.Replica,
        store: stores.Store,
        read_instances: ReadInstances,
        decode: Decode,
        quota_debt: float = 0.0,
    ) -> None:
        self.vm = vm
        self.timers = timers
        self.mesh = mesh
        self.replica = replica
        self.store = store
        self.read_instances = read_instances
        self.decode = decode
        self.registry = members.EntryVmRegistry(
            timing.ENTRY_VM_TIMEOUT_SECONDS
        )
        self.loads: dict[str, dict[str, loads.RegionLoad]] = {}
        self.summary_cache = fleet_summary.SummaryCache(
            self.registry, self.region_loads
        )
        self.polled_versions: dict[str, int] = {}
        self.instance_cache = InstanceListCache()
        self.quota_allocator = quota_allocator.QuotaAllocator(
            timers, quota_debt
        )
        self.group_client = replication_client.GroupClient(
            replica.group, (vm,), mesh, timers
        )
        self.decoded_configuration: configurations.Configuration | None = None
        self.read_index_round: ReadIndexRound | None = None
        self.started_at = timers.now()
        self.crash_watch = crash_watch.CrashWatch(
            timers,
            self.ask_sound_traits,
            self.submit_hold,
            lambda: tuple(self.store.holds.values()),
        )
        self.hold_expiry = hold_expiry.HoldExpiry(
            timers,
            lambda: replica.is_leader,
            lambda: tuple(self.store.holds.values()),
            self.submit_lift,
        )
        self.history_keeper = history_keeper.HistoryKeeper(
            vm, timers, mesh, replica, store, self
        )
        self.origin_server = origin_table.OriginServer(timers)
        self.retry_records = retry_records.RetryRecords(timers.now())
        self.notice_records = server_notices.NoticeRecords()

    def handlers(self) -> dict[str, peers.Handler]:
        """Returns the handlers of this VM for the peer port."""
        return {
            'fleet.poll': self.on_poll,
            'fleet.beat': self.on_heartbeat,
            'fleet.retries': self.on_retries,
            'fleet.confirm': self.on_read_index,
            'fleet.take': self.on_grant_request,
            'fleet.list': self.on_instance_list,
            crash_watch.REPORT_METHOD: self.on_server_end,
            hold_expiry.ASKED_METHOD: self.on_holds_asked,
            **self.history_keeper.handlers(),
            **self.origin_server.handlers(),
        }

    async def run(self) -> None:
        """Runs until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            for name, function in (
                ('instance list', self.refresh_list_periodically),
                ('registry', self.maintain_registry),
                ('crashing requests', self.crash_watch.run),
                ('hold expiry', self.hold_expiry.run),
                ('origin history', self.history_keeper.run),
                ('first start', self.detect_first_start),
            ):
                tasks.start_soon(
                    supervision.run_supervised, self.timers, name, function
                )

    @property
    def configuration(self) -> configurations.Configuration | None:
        """The newest configuration that this replica has applied."""
        if not self.store.packed:
            return None
        if (
            self.decoded_configuration is None
            or self.decoded_configuration.version != self.store.version
        ):
            self.decoded_configuration = self.decode(self.store.document)
        return self.decoded_configuration

    @property
    def listed_instances(self) -> list[instance_list.Instance]:
        """The backend servers of the newest instance list."""
        return [
            instance_list.Instance.unpack(one)
            for one in self.instance_cache.packed
        ]

    @property
    def list_read_at(self) -> float:
        """Timer seconds at which the newest instance list was requested."""
        return self.instance_cache.read_at

    # Operations for operators.

    async def submit(self, command: bytes) -> list:
        """Returns the outcome of a command once it is committed.

        :raises ReplicationError: if no leader can be reached in time.
        """
        voters = self.replica.members.voters or [self.vm]
        self.group_client.voters = tuple(voters)
        if self.replica.leader is not None:
            self.group_client.leader = self.replica.leader
        return await self.group_client.submit(
            command, timing.SUBMIT_TIMEOUT_SECONDS
        )

    async def read(self) -> stores.Store:
        """Returns the state after a linearizable read.

        :raises ReplicationError: if no majority confirms the read in time.
        """
        with self.timers.move_on_after(
            timing.CONTROL_CALL_TIMEOUT_SECONDS * 2
        ):
            await self.wait_for_leader()
            await self.wait_until_current()
            return self.store
        raise errors.ReplicationError(
            'no majority confirmed the read in time', retry_after=1
        )

    # Linearizable reads.

    async def wait_until_current(self) -> None:
        """Waits until all commands committed before the call are applied.

        Calls during a round cannot rely on its index, so they wait for it to
        end and share the next round.

        :raises ReplicationError: if no majority replies.
        """
        current = self.read_index_round
        if current is not None:
            await current.done.wait()
        if (
            self.read_index_round is not None
            and self.read_index_round is not current
        ):
            shared = self.read_index_round
            await shared.done.wait()
            if shared.error is not None:
                raise shared.error
            return
        own = self.read_index_round = ReadIndexRound()
        try:
            await self.run_read_index()
        except errors.GatewayError as error:
            own.error = error
            raise
        except BaseException:
            own.error = errors.ReplicationError(
                'the read index round was cancelled'
            )
            raise
        finally:
            if self.read_index_round is own:
                self.read_index_round = None
            own.done.set()

    async def wait_for_leader(self) -> None:
        """Waits until a leader of the control group is known."""
        replica = self.replica
        while replica.is_starting or replica.leader is None:
            await self.timers.sleep(replicas.STATE_POLL_SECONDS)

    async def run_read_index(self) -> None:
        """Gets the commit index from the leader, and waits until applied."""
        replica = self.replica
        if replica.is_leader:
            index = await replica.read_index()
        elif replica.leader is None or replica.is_starting:
            raise errors.NotLeaderError('no leader of the control group', None)
        else:
            index = await self.mesh.call(
                replica.leader,
                'fleet.confirm',
                None,
                timing.CONTROL_CALL_TIMEOUT_SECONDS,
            )
            if not isinstance(index, int):
                raise errors.PeerProtocolError(
                    f'{replica.leader} sent a commit index of {index!r}'
                )
        while replica.applied_index < index:
            await self.timers.sleep(replicas.STATE_POLL_SECONDS)

    async def on_read_index(self, peer: str, message: typing.Any) -> int:
        index = None
        with self.timers.move_on_after(timing.CONTROL_CALL_TIMEOUT_SECONDS):
            index = await self.replica.read_index()
        if index is None:
            raise errors.ReplicationError(
                'no majority confirmed the read in time'
            )
        return index

    # The instance list.

    async def refresh_list_periodically(self) -> None:
        """Keeps the instance list current.

        The leader reads it from the platform, and the others request it from
        the leader. A VM whose list gets too old reads it from the platform.
        """
        while True:
            try:
                await self.refresh_list()
            except errors.GatewayError as error:
                eliot.log_message(
                    'instances:not_read',
                    code=error.code,
                    reason=error.message,
                    age=round(
                        self.timers.now() - self.instance_cache.read_at, 3
                    ),
                )
            await self.timers.sleep(timing.INSTANCE_LIST_INTERVAL_SECONDS)

    async def refresh_list(self) -> None:
        replica = self.replica
        if not replica.is_leader and replica.leader is not None:
            try:
                await self.request_list(replica.leader)
            except errors.GatewayError as error:
                eliot.log_message('instances:leader_silent', code=error.code)
        age = self.timers.now() - self.instance_cache.read_at
        if replica.is_leader or age > timing.INSTANCE_LIST_MAX_AGE_SECONDS:
            read_at = self.timers.now()
            instances = await self.read_instances()
            packed = [one.pack() for one in sorted_instances(instances)]
            self.instance_cache.update(packed, read_at)

    async def request_list(self, leader: str) -> None:
        requested_at = self.timers.now()
        reply = await self.mesh.call(
            leader,
            'fleet.list',
            self.instance_cache.digest,
            timing.CONTROL_CALL_TIMEOUT_SECONDS,
        )
        try:
            digest, age, packed = reply
            requested_at -= age
            for one in packed or ():
                instance_list.Instance.unpack(one)
        except (TypeError, ValueError) as error:
            raise errors.PeerProtocolError(
                f'{leader} sent a malformed instance list'
            ) from error
        if packed is None and digest == self.instance_cache.digest:
            packed = self.instance_cache.packed
        if packed is not None:
            self.instance_cache.update(packed, requested_at)

    async def on_instance_list(self, peer: str, digest: int) -> list:
        age = self.timers.now() - self.instance_cache.read_at
        is_unchanged = digest == self.instance_cache.digest
        packed = None if is_unchanged else self.instance_cache.packed
        return [self.instance_cache.digest, age, packed]

    # Entry VMs.

    def log_versions(self) -> None:
        """Logs what this VM and the entry VMs that poll it hold."""
        eliot.log_message(
            'roster:versions',
            version=self.store.version,
            evacuated=sorted(self.store.evacuated),
            changes=self.store.changes,
            entry_vms=self.polled_versions,
        )

    async def maintain_registry(self) -> None:
        logged_at = self.timers.now()
        while True:
            await self.timers.sleep(timing.POLL_INTERVAL_SECONDS)
            if self.timers.now() - logged_at >= VERSIONS_INTERVAL_SECONDS:
                logged_at = self.timers.now()
                self.log_versions()
            configuration = self.configuration
            if self.replica.is_leader and configuration is not None:
                self.quota_allocator.update_buckets(
                    self.replica.term, configuration
                )
            self.retry_records.remove_expired(self.timers.now())
            for entry in self.registry.remove_expired(self.timers.now()):
                self.loads.pop(entry.vm, None)
                self.polled_versions.pop(entry.vm, None)
                self.summary_cache.invalidate()
                eliot.log_message('roster:silent', vm=entry.vm)

    def record_heartbeat(self, message: list) -> members.EntryVm:
        entry = members.EntryVm.unpack(message[0])
        # VMs of an earlier release send no capacity.
        capacity = members.Capacity.unpack(
            message[3] if len(message) > 3 else None
        )
        if self.registry.record_heartbeat(entry, self.timers.now(), capacity):
            self.summary_cache.invalidate()
            eliot.log_message(
                'roster:heard', vm=entry.vm, state=entry.state.value
            )
        self.loads[entry.vm] = loads.unpack(message[1])
        # VMs of an earlier release report no retries.
        if len(message) > 4 and message[4] is not None:
            self.retry_records.record(entry.vm, message[4], self.timers.now())
        if len(message) > 5 and message[5] is not None:
            self.notice_records.record(entry.vm, message[5], self.timers.now())
        return entry

    @peers.never_waits
    async def on_retries(self, peer: str, message: list) -> None:
        self.retry_records.record(peer, message[0], self.timers.now())

    async def detect_first_start(self) -> None:
        """Marks the record of retries as complete if nothing was served yet.

        Without a configuration, no entry VM has served a request.
        """
        while not self.store.packed:
            try:
                await self.wait_for_leader()
                await self.wait_until_current()
            except errors.GatewayError:
                await self.timers.sleep(replicas.STATE_POLL_SECONDS)
                continue
            if not self.store.packed:
                eliot.log_message('retries:first_start')
                self.retry_records.complete_from = self.timers.now()
            return

    @peers.never_waits
    async def on_heartbeat(self, peer: str, message: list) -> None:
        self.record_heartbeat(message)

    async def on_poll(self, peer: str, message: list) -> dict:
        """Returns the state of the deployment, without what the VM has."""
        entry = self.record_heartbeat(message)
        held_versions = message[2]
        self.polled_versions[entry.vm] = held_versions['version']
        is_confirmed = False
        code = 'not_in_time'
        try:
            with self.timers.move_on_after(
                timing.CONTROL_CALL_TIMEOUT_SECONDS
            ):
                await self.wait_for_leader()
                await self.wait_until_current()
                is_confirmed = True
        except errors.GatewayError as error:
            code = error.code
        if not is_confirmed:
            eliot.log_message(
                'poll:not_confirmed',
                vm=entry.vm,
                code=code,
                leader=self.replica.leader,
                leaderless=round(status.leaderless_seconds(self.replica), 3),
            )
        now = self.timers.now()
        summary = self.summary_cache.get(now)
        reply = {
            'is_confirmed': is_confirmed,
            'version': self.store.version,
            'changes': self.store.changes,
            'evacuated': sorted(self.store.evacuated),
            'list_digest': self.instance_cache.digest,
            'list_age': now - self.instance_cache.read_at,
            'entries_digest': summary.entries_digest,
            'controls': [one.vm for one in self.replica.members.members],
            'leader': self.replica.leader,
            'loads': summary.loads,
        }
        held_changes = held_versions.get('hold_changes')
        reply['hold_changes'] = self.store.hold_changes
        if held_changes != self.store.hold_changes:
            reply['holds'] = [one.pack() for one in self.store.holds.values()]
        # A replica whose state may be out of date does not send its history.
        history = self.history_keeper.current_history if is_confirmed else None
        if history and held_versions.get('history') != history.number:
            reply['history'] = history.pack()
        if held_versions.get('needs_retries'):
            reply['retries'] = self.retry_records.pack(entry.vm, now)
            reply['notices'] = self.notice_records.find(entry.vm, now).pack()
        if self.store.packed and held_versions['version'] < self.store.version:
            reply['document'] = self.store.packed
        if held_versions['list_digest'] != self.instance_cache.digest:
            reply['instances'] = self.instance_cache.packed
        if held_versions['entries_digest'] != summary.entries_digest:
            reply['entries'] = summary.entries
        return reply

    def region_loads(self) -> dict[str, dict[str, loads.RegionLoad]]:
        """Returns the loads of backend servers by region and service."""
        by_region: dict[str, list[members.EntryVm]] = {}
        for entry, _ in self.registry.last_heartbeats.values():
            by_region.setdefault(entry.region, []).append(entry)
        return {
            region: loads.combine(
                self.loads.get(entry.vm, {})
                for entry in members.usable(entries)
            )
            for region, entries in by_region.items()
        }

    # Requests that end backend servers.

    async def on_server_end(self, peer: str, message: list) -> None:
        self.replica.require_leader()
        self.crash_watch.record(peer, message)

    async def on_holds_asked(self, peer: str, message: list) -> None:
        self.replica.require_leader()
        self.hold_expiry.record_asked(peer, message)

    async def submit_lift(self, hold_id: str) -> None:
        await self.submit(stores.lift_command(hold_id))

    async def submit_hold(self, hold: held_requests.Hold) -> None:
        await self.submit(stores.hold_command(hold))

    async def ask_sound_traits(
        self, service: str, traits: list[str]
    ) -> dict[str, float]:
        """Asks all entry VMs which traits were in sound responses.

        :returns: seconds since the last such response, by trait.
        """
        ages: dict[str, float] = {}

        async def ask(vm: str) -> None:
            try:
                reply = await self.mesh.call(
                    vm,
                    crash_watch.SOUND_METHOD,
                    [service, traits],
                    timing.CONTROL_CALL_TIMEOUT_SECONDS,
                )
                for name, age in dict(reply).items():
                    ages[name] = min(float(age), ages.get(name, math.inf))
            except errors.GatewayError as error:
                eliot.log_message('hold:vm_not_asked', vm=vm, code=error.code)
            except (TypeError, ValueError) as error:
                eliot.log_message(
                    'hold:bad_reply', vm=vm, reason=str(error)[:200]
                )

        async with anyio.create_task_group() as tasks:
            for entry in self.registry.live_entry_vms(self.timers.now()):
                tasks.start_soon(ask, entry.vm)
        return ages

    # Quota grants.

    async def on_grant_request(self, peer: str, message: list) -> list:
        wanted, returned = message
        self.replica.require_leader()
        if not self.replica.is_caught_up:
            raise errors.NotLeaderError(
                'the leader has not caught up with its log yet', None
            )
        configuration = self.configuration
        if configuration is None:
            raise errors.NotReadyError('no configuration is stored')
        self.quota_allocator.update_buckets(self.replica.term, configuration)
        granted = self.quota_allocator.allocate(
            configuration, wanted, returned
        )
        return [self.quota_allocator.epoch, granted]


class ReadIndexRound:
    """A read index request that several callers share."""

    __slots__ = ('done', 'error')

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.error: errors.GatewayError | None = None


def sorted_instances(
    instances: tuple[instance_list.Instance, ...],
) -> list[instance_list.Instance]:
    return sorted(instances, key=lambda one: one.name)
