"""A control VM: replica of the log, directory, reader of the instance list.

Entry VMs poll one control VM and send signs of life to the others, so each
control VM knows all entry VMs, and what an entry VM does for its membership
does not grow with the fleet.
"""

import collections.abc
import typing

import anyio
import eliot

from .. import errors
from .. import timers as timer_service
from . import configuration as configurations
from . import instances as instance_list
from . import loads
from . import members
from ..ports import peers
from . import quota_allocator
from ..replication import client as replication_client
from ..replication import replica as replicas
from . import store as stores
from . import timing

ReadInstances = collections.abc.Callable[
    [], collections.abc.Awaitable[tuple[instance_list.Instance, ...]]
]
Decode = collections.abc.Callable[[bytes], configurations.Configuration]


class InstanceView:
    """The instance list as this VM last heard of it.

    :ivar read_at: when the reader asked for it, on this VM's clock.
    """

    def __init__(self) -> None:
        self.packed: list[list] = []
        self.digest = 0
        self.read_at = -1e9

    def take(self, packed: list[list], read_at: float) -> None:
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
    """Answers entry VMs, other control VMs and operators on one VM."""

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
        self.instances = InstanceView()
        self.quota_allocator = quota_allocator.QuotaAllocator(
            timers, quota_debt
        )
        self.group = replication_client.GroupClient(
            replica.group, (vm,), mesh, timers
        )
        self.decoded: configurations.Configuration | None = None
        self.round: ConfirmRound | None = None
        self.started_at = timers.now()

    def handlers(self) -> dict[str, peers.Handler]:
        """Returns the handlers of this VM for the peer port."""
        return {
            'fleet.poll': self.on_poll,
            'fleet.beat': self.on_beat,
            'fleet.confirm': self.on_confirm,
            'fleet.take': self.on_take,
            'fleet.list': self.on_list,
        }

    async def run(self) -> None:
        """Runs until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.keep_list)
            tasks.start_soon(self.watch_roster)

    @property
    def configuration(self) -> configurations.Configuration | None:
        """The newest configuration that is known here."""
        if not self.store.packed:
            return None
        if self.decoded is None or self.decoded.version != self.store.version:
            self.decoded = self.decode(self.store.document)
        return self.decoded

    # What operators ask for.

    async def submit(self, command: bytes) -> list:
        """Returns the outcome of a command once a majority holds it.

        :raises ReplicationError: if no leader can be reached in time.
        """
        voters = self.replica.members.voters or [self.vm]
        self.group.voters = tuple(voters)
        if self.replica.leader is not None:
            self.group.leader = self.replica.leader
        return await self.group.submit(command, timing.SUBMIT_TIMEOUT_SECONDS)

    async def read(self) -> stores.Store:
        """Returns the state, once a majority has confirmed it is newest.

        :raises ReplicationError: if it cannot be confirmed.
        """
        with self.timers.limit(timing.READ_INDEX_TIMEOUT_SECONDS * 2):
            await self.confirm()
            return self.store
        raise errors.ReplicationError('not confirmed in time', retry_after=1)

    # Confirmation.

    async def confirm(self) -> None:
        """Returns when what is applied here is as new as the call.

        Calls that come while a round is under way share the next round.

        :raises ReplicationError: if no majority answers.
        """
        running = self.round
        if running is not None:
            await running.done.wait()
        if self.round is not None and self.round is not running:
            joined = self.round
            await joined.done.wait()
            if joined.error is not None:
                raise joined.error
            return
        mine = self.round = ConfirmRound()
        try:
            await self.confirm_alone()
        except errors.GatewayError as error:
            mine.error = error
            raise
        except BaseException:
            mine.error = errors.ReplicationError('the round was cancelled')
            raise
        finally:
            if self.round is mine:
                self.round = None
            mine.done.set()

    async def wait_for_leader(self) -> None:
        """Returns when a leader is known, as soon as one is elected."""
        replica = self.replica
        while replica.is_starting or replica.leader is None:
            await self.timers.sleep(replicas.STATE_POLL_SECONDS)

    async def confirm_alone(self) -> None:
        replica = self.replica
        if replica.is_leader:
            index = await replica.read_index()
        elif replica.leader is None or replica.is_starting:
            raise errors.NotLeaderError('no leader', None)
        else:
            index = await self.mesh.call(
                replica.leader,
                'fleet.confirm',
                None,
                timing.READ_INDEX_TIMEOUT_SECONDS,
            )
        while replica.applied_index < index:
            await self.timers.sleep(replicas.STATE_POLL_SECONDS)

    async def on_confirm(self, peer: str, message: typing.Any) -> int:
        index = None
        with self.timers.limit(timing.READ_INDEX_TIMEOUT_SECONDS):
            index = await self.replica.read_index()
        if index is None:
            raise errors.ReplicationError('no majority answers')
        return index

    # The instance list.

    async def keep_list(self) -> None:
        """Reads the list while leading, and asks the leader otherwise.

        A VM that is cut off from the leader's reader reads by itself.
        """
        while True:
            try:
                await self.refresh_list()
            except errors.GatewayError as error:
                eliot.log_message(
                    'instances:not_read',
                    code=error.code,
                    reason=error.message,
                    age=round(self.timers.now() - self.instances.read_at, 3),
                )
            await self.timers.sleep(timing.INSTANCE_LIST_INTERVAL_SECONDS)

    async def refresh_list(self) -> None:
        replica = self.replica
        if not replica.is_leader and replica.leader is not None:
            try:
                await self.ask_for_list(replica.leader)
            except errors.GatewayError as error:
                eliot.log_message('instances:leader_silent', code=error.code)
        age = self.timers.now() - self.instances.read_at
        if replica.is_leader or age > timing.INSTANCE_LIST_MAX_AGE_SECONDS:
            read_at = self.timers.now()
            found = await self.read_instances()
            packed = [one.pack() for one in sorted_instances(found)]
            self.instances.take(packed, read_at)

    async def ask_for_list(self, leader: str) -> None:
        asked_at = self.timers.now()
        digest, age, packed = await self.mesh.call(
            leader,
            'fleet.list',
            self.instances.digest,
            timing.READ_INDEX_TIMEOUT_SECONDS,
        )
        if packed is None and digest == self.instances.digest:
            packed = self.instances.packed
        if packed is not None:
            self.instances.take(packed, asked_at - age)

    async def on_list(self, peer: str, digest: int) -> list:
        age = self.timers.now() - self.instances.read_at
        is_held = digest == self.instances.digest
        packed = None if is_held else self.instances.packed
        return [self.instances.digest, age, packed]

    # Entry VMs.

    async def watch_roster(self) -> None:
        while True:
            await self.timers.sleep(timing.POLL_INTERVAL_SECONDS)
            configuration = self.configuration
            if self.replica.is_leader and configuration is not None:
                self.quota_allocator.begin(self.replica.term, configuration)
            for entry in self.registry.remove_expired(self.timers.now()):
                self.loads.pop(entry.vm, None)
                eliot.log_message('roster:silent', vm=entry.vm)

    def hear(self, message: list) -> members.EntryVm:
        entry = members.EntryVm.unpack(message[0])
        if self.registry.record_heartbeat(entry, self.timers.now()):
            eliot.log_message(
                'roster:heard', vm=entry.vm, state=entry.state.value
            )
        self.loads[entry.vm] = loads.unpack(message[1])
        return entry

    async def on_beat(self, peer: str, message: list) -> None:
        self.hear(message)

    async def on_poll(self, peer: str, message: list) -> dict:
        """Answers an entry VM that asks for what is new."""
        entry = self.hear(message)
        held = message[2]
        is_confirmed = False
        code = 'not_in_time'
        try:
            with self.timers.limit(timing.READ_INDEX_TIMEOUT_SECONDS):
                await self.wait_for_leader()
                await self.confirm()
                is_confirmed = True
        except errors.GatewayError as error:
            code = error.code
        if not is_confirmed:
            eliot.log_message('poll:not_confirmed', vm=entry.vm, code=code)
        now = self.timers.now()
        entries = [one.pack() for one in self.registry.live_entry_vms(now)]
        entries_digest = members.digest(entries)
        reply = {
            'is_confirmed': is_confirmed,
            'version': self.store.version,
            'changes': self.store.changes,
            'evacuated': sorted(self.store.evacuated),
            'list_digest': self.instances.digest,
            'list_age': now - self.instances.read_at,
            'entries_digest': entries_digest,
            'controls': [one.vm for one in self.replica.members.members],
            'leader': self.replica.leader,
            'loads': {
                region: {name: one.pack() for name, one in by_service.items()}
                for region, by_service in self.region_loads().items()
            },
        }
        if self.store.packed and held['version'] < self.store.version:
            reply['document'] = self.store.packed
        if held['list_digest'] != self.instances.digest:
            reply['instances'] = self.instances.packed
        if held['entries_digest'] != entries_digest:
            reply['entries'] = entries
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

    # Tokens.

    async def on_take(self, peer: str, message: list) -> list:
        wanted, returned = message
        self.replica.require_leader()
        if not self.replica.is_caught_up:
            raise errors.NotLeaderError('not caught up', None)
        configuration = self.configuration
        if configuration is None:
            raise errors.NotReadyError('no configuration')
        self.quota_allocator.begin(self.replica.term, configuration)
        granted = self.quota_allocator.take(configuration, wanted, returned)
        return [self.quota_allocator.epoch, granted]


class ConfirmRound:
    """A confirmation that several callers wait for."""

    __slots__ = ('done', 'error')

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.error: errors.GatewayError | None = None


def sorted_instances(
    found: tuple[instance_list.Instance, ...],
) -> list[instance_list.Instance]:
    return sorted(found, key=lambda one: one.name)
