"""A control VM: log replica, directory and reader of the instance list.

An entry VM polls one control VM and sends heartbeats to the others. So each
control VM knows all entry VMs, and an entry VM's cost of membership does not
grow with the fleet.
"""

import collections.abc
import math
import typing
import uuid

import anyio
import eliot

from .. import errors
from .. import held_requests
from .. import supervision
from .. import timers as timer_service
from . import agent as agents
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
from . import suspension as suspensions
from . import timing

ReadInstances = collections.abc.Callable[
    [], collections.abc.Awaitable[tuple[instance_list.Instance, ...]]
]
Decode = collections.abc.Callable[[bytes], configurations.Configuration]
VERSIONS_INTERVAL_SECONDS = 30.0
# The time that a read has, so that it can go on with the next leader.
READ_ROUND_SECONDS = 2 * timing.CONTROL_CALL_TIMEOUT_SECONDS
# A retransmitted request and the end of its connection are about a round trip
# between regions of 0.11 s apart. Operators wait a second for a response.
WAKE_SETTLE_SECONDS = 0.3
# A list that names servers twice for long must not fill the log.
REPEATED_LOG_SECONDS = 60.0
MAX_LOGGED_NAMES = 10


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
        boot_clock: collections.abc.Callable[[], float] = agents.boot_seconds,
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
        self.repeated_logged_at = -math.inf
        self.quota_allocator = quota_allocator.QuotaAllocator(
            timers, quota_debt
        )
        self.group_client = replication_client.GroupClient(
            replica.group, (vm,), mesh, timers
        )
        self.decoded_configuration: configurations.Configuration | None = None
        self.read_index_round: ReadIndexRound | None = None
        self.started_at = timers.now()
        # The state machine is called before the index is updated.
        store.entry_index = lambda: replica.applied_index + 1
        self.suspension = suspensions.SuspensionDetector(timers, boot_clock)
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
                ('suspensions', self.suspension.run),
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
            instance_list.Instance(*one) for one in self.instance_cache.packed
        ]

    @property
    def list_read_at(self) -> float:
        """Timer seconds at which the newest instance list was requested."""
        return self.instance_cache.read_at

    # Operations for operators.

    async def submit(
        self,
        command: bytes,
        is_wanted: replication_client.IsWanted = (
            replication_client.always_wanted
        ),
    ) -> list:
        """Returns the outcome of a command once it is committed.

        :raises OrderAbandonedError: if it is no longer wanted.
        :raises ReplicationError: if no leader can be reached in time.
        """
        voters = self.replica.members.voters or [self.vm]
        self.group_client.voters = tuple(voters)
        if self.replica.leader is not None:
            self.group_client.leader = self.replica.leader
        return await self.group_client.submit(
            command, timing.SUBMIT_TIMEOUT_SECONDS, is_wanted
        )

    async def order_evacuation(
        self,
        domain: str,
        is_evacuated: bool,
        is_wanted: replication_client.IsWanted,
    ) -> bool:
        """Evacuates or readmits a failure domain.

        The order is based on a read that began after it arrived, and is
        ignored if another order on the domain is applied in between. It is
        then made again, based on a new read, while its caller waits.

        :returns: whether the state changed.
        :raises OrderAbandonedError: if the caller has gone before the order
            was carried out.
        :raises ReplicationError: if it could not be committed in time.
        """
        order_id = uuid.uuid4().hex
        deadline = self.timers.now() + timing.SUBMIT_TIMEOUT_SECONDS
        run = errors.NOT_RUN

        while True:
            try:
                based_on = await self.read_index_for_order(deadline, is_wanted)
                command = stores.evacuate_command(
                    domain, is_evacuated, based_on, order_id
                )
                has_changed, _, *verdict = await self.submit(
                    command, self.wanted_after_wake(is_wanted)
                )
            except errors.GatewayError as error:
                if run != errors.NOT_RUN:
                    error.run = run
                raise
            run = errors.UNKNOWN
            if (
                verdict[0]
                if verdict
                else await self.has_taken_effect(domain, order_id)
            ):
                return has_changed
            eliot.log_message(
                'order:made_again',
                domain=domain,
                evacuated=is_evacuated,
                reason='another order was applied since it was read',
            )
            if not await is_wanted():
                await self.confirm_evacuation(domain)
                raise errors.OrderAbandonedError(
                    f'the caller of an order on {domain} has gone, and a newer'
                    ' order was applied'
                )
            if self.timers.now() >= deadline:
                raise errors.ReplicationError(
                    f'other orders on {domain} were applied meanwhile',
                    retry_after=1,
                )

    async def order_lift(
        self, hold_id: str, is_wanted: replication_client.IsWanted
    ) -> bool:
        """Lifts the hold that is in force when the order arrives.

        :returns: whether the state changed.
        :raises OrderAbandonedError: if the caller has gone before the order
            was carried out.
        :raises ReplicationError: if it could not be committed in time.
        """
        store = await self.read()
        hold = store.holds.get(hold_id)
        if hold is None:
            return False
        has_changed, _ = await self.submit(
            stores.lift_command(hold_id, hold.since),
            self.wanted_after_wake(is_wanted),
        )
        return has_changed

    def wanted_after_wake(
        self, is_wanted: replication_client.IsWanted
    ) -> replication_client.IsWanted:
        """Returns ``is_wanted``, delayed shortly after a suspension.

        The end of a connection may arrive shortly after the request if both
        are sent again to a VM that was suspended.
        """

        async def is_wanted_after_wake() -> bool:
            awake = self.suspension.seconds_awake()
            await self.timers.sleep(WAKE_SETTLE_SECONDS - awake)
            return await is_wanted()

        return is_wanted_after_wake

    async def has_taken_effect(self, domain: str, order_id: str) -> bool:
        """Returns whether the last order on a domain is a certain one.

        A leader of the last release does not tell it.
        """
        store = await self.read()
        order = store.orders.last.get(domain)
        return order is not None and order.order_id == order_id

    async def confirm_evacuation(self, domain: str) -> None:
        """Orders what holds for a domain already.

        Replicas of the last release have applied the order that this one has
        ignored.
        """
        store = await self.read()
        await self.submit(
            stores.evacuate_command(
                domain,
                domain in store.evacuated,
                self.replica.applied_index,
                uuid.uuid4().hex,
            )
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
        index = await self.request_read_index()
        while self.replica.applied_index < index:
            await self.timers.sleep(replicas.STATE_POLL_SECONDS)

    async def request_read_index(self) -> int:
        """Returns an index that covers all commands committed before the call.

        A VM that does not lead any more is not asked again; the request goes
        on with the next leader.

        :raises GatewayError: if no leader confirms it.
        """
        replica = self.replica
        deadline = self.timers.now() + READ_ROUND_SECONDS
        while True:
            leader, asked_at = replica.leader, self.timers.now()
            try:
                return await self.ask_leader_for_index()
            except errors.NotLeaderError:
                if leader is None or asked_at >= deadline:
                    raise
                replica.forget_rejecting_leader(leader, asked_at)
                await self.timers.sleep(replicas.STATE_POLL_SECONDS)
                with self.timers.move_on_after(deadline - self.timers.now()):
                    await self.wait_for_leader()

    async def ask_leader_for_index(self) -> int:
        """Returns the commit index, as the leader confirms it.

        :raises NotLeaderError: if no leader is known, or it does not lead.
        """
        replica = self.replica
        if replica.is_leader:
            return await replica.read_index()
        if replica.leader is None or replica.is_starting:
            raise errors.NotLeaderError('no leader of the control group', None)
        leader = replica.leader
        index = await self.mesh.call(
            leader,
            'fleet.confirm',
            None,
            timing.CONTROL_CALL_TIMEOUT_SECONDS,
        )
        if not isinstance(index, int):
            raise errors.PeerProtocolError(
                f'{leader} sent a commit index that is no number'
            )
        return index

    async def read_index_for_order(
        self, deadline: float, is_wanted: replication_client.IsWanted
    ) -> int:
        """Returns the index that an order is based on.

        :param deadline: timer seconds after which no attempt is made.
        :raises OrderAbandonedError: if the order is no longer wanted.
        :raises ReplicationError: if no leader confirms it in time.
        """
        reason = 'no majority confirmed it in time'
        while True:
            with self.timers.move_on_after(
                timing.CONTROL_CALL_TIMEOUT_SECONDS
            ):
                try:
                    return await self.request_read_index()
                except errors.GatewayError as error:
                    reason = f'{error.code}: {error.message}'
            if not await is_wanted():
                raise errors.OrderAbandonedError(
                    'the caller of an order has gone before the order was'
                    f' based on a read: {reason}',
                    run=errors.NOT_RUN,
                )
            if self.timers.now() >= deadline:
                raise errors.ReplicationError(
                    f'the read that an order is based on failed: {reason}',
                    run=errors.NOT_RUN,
                    retry_after=1,
                )
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
            configuration = self.configuration
            kept, repeated = select_instances(
                instances,
                configuration.services if configuration is not None else (),
            )
            self.log_repeated(repeated)
            self.instance_cache.update([one.pack() for one in kept], read_at)

    def log_repeated(self, names: list[str]) -> None:
        """Logs names that several entries of the list have, once a minute."""
        now = self.timers.now()
        if not names or now < self.repeated_logged_at + REPEATED_LOG_SECONDS:
            return
        self.repeated_logged_at = now
        eliot.log_message(
            'instances:repeated',
            names=names[:MAX_LOGGED_NAMES],
            count=len(names),
        )

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
            requested_at -= peers.check_seconds(age)
        except (TypeError, ValueError) as error:
            raise errors.PeerProtocolError(
                f'{leader} sent a malformed instance list'
            ) from error
        if packed is None and digest == self.instance_cache.digest:
            packed = self.instance_cache.packed
        elif packed is not None:
            valid = instance_list.unpack_valid(packed)
            packed = [one.pack() for one in valid]
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
        by_service = loads.unpack(message[1])
        # VMs of an earlier release send no capacity.
        capacity = members.Capacity.unpack(
            message[3] if len(message) > 3 else None
        )
        if self.registry.record_heartbeat(entry, self.timers.now(), capacity):
            self.summary_cache.invalidate()
            eliot.log_message(
                'roster:heard', vm=entry.vm, state=entry.state.value
            )
        self.loads[entry.vm] = by_service
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
        self.polled_versions[entry.vm] = int(held_versions['version'])
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
            'is_caught_up': self.replica.is_caught_up,
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
        newest_order = self.store.orders.newest_index
        reply['newest_order'] = newest_order
        if held_versions.get('newest_order') != newest_order:
            reply['orders'] = {
                domain: one.index
                for domain, one in self.store.orders.last.items()
            }
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
        hold = self.store.holds.get(hold_id)
        if hold is not None:
            await self.submit(stores.lift_command(hold_id, hold.since))

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
        wanted, returned = decode_grant_request(peer, message)
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


def decode_grant_request(
    peer: str, message: typing.Any
) -> tuple[dict[str, list], list[list]]:
    """Returns the wanted tokens and the usage reports of an entry VM.

    :raises PeerProtocolError: if any part is malformed; a value that is no
        number would stay in the bucket of the organisation.
    """
    try:
        wanted, returned = message
        return (
            {
                peers.check_text(name): [
                    peers.check_number(one) for one in (min_tokens, max_tokens)
                ]
                for name, (min_tokens, max_tokens) in wanted.items()
            },
            [
                [
                    peers.check_text(name),
                    peers.check_count(epoch),
                    peers.check_count(grant_id),
                    peers.check_seconds(max(0.0, peers.check_number(spent))),
                    bool(has_ended),
                ]
                for name, epoch, grant_id, spent, has_ended in returned
            ],
        )
    except (TypeError, ValueError, AttributeError) as error:
        raise errors.PeerProtocolError(
            f'{peer} sent a malformed request for grants'
        ) from error


class ReadIndexRound:
    """A read index request that several callers share."""

    __slots__ = ('done', 'error')

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.error: errors.GatewayError | None = None


def sorted_instances(
    instances: collections.abc.Iterable[instance_list.Instance],
) -> list[instance_list.Instance]:
    return sorted(instances, key=lambda one: one.name)


def select_instances(
    listed: collections.abc.Iterable[instance_list.Instance],
    named_services: collections.abc.Container[str],
) -> tuple[list[instance_list.Instance], list[str]]:
    """Returns one instance for each name, sorted, and the names of several.

    Of several with one name, that of a named service is kept, then the newest
    run, then the first one. No more are kept than fit into a frame between
    VMs, those of named services first.
    """

    def rank(one: instance_list.Instance) -> tuple[bool, int]:
        return one.service in named_services, one.born

    by_name: dict[str, instance_list.Instance] = {}
    repeated = []
    for one in listed:
        known = by_name.setdefault(one.name, one)
        if known is not one:
            repeated.append(one.name)
            if rank(one) > rank(known):
                by_name[one.name] = one
    kept = list(by_name.values())
    excess = len(kept) - instance_list.MAX_INSTANCES
    if excess > 0:
        eliot.log_message(
            'instances:too_many', count=len(kept), dropped=excess
        )
        kept.sort(key=lambda one: one.service not in named_services)
        del kept[instance_list.MAX_INSTANCES :]
    return sorted_instances(kept), repeated
