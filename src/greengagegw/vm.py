"""Composes and runs the components of one VM."""

import collections.abc
import contextlib
import functools
import random
import typing

import anyio
import anyio.abc
import eliot

from . import backend_pool
from . import crash_guard
from . import errors
from . import fair_queue
from . import forwarding
from . import gateway as gateways
from . import intake as intakes
from . import load_polling
from . import local_execution
from . import machine
from . import metrics as metric_sets
from . import peer_exchange
from . import region_routing
from . import replica_placement
from . import settings as settings_module
from . import status
from . import supervision
from . import timers as timer_service
from .adapters import backend_http
from .adapters import client_http
from .adapters import files
from .adapters import memory_folder
from .adapters import operator_http
from .adapters import peer_mesh
from .adapters import servers
from .allowance import lease as leases
from .allowance import quota_allocator
from .allowance import quota_client
from .control import distribution as distributions
from .control import operations as operation_sets
from .control import state
from .control import view as views
from .ledger import claims
from .ledger import client as ledger_client
from .lifecycle import draining
from .membership import gossip
from .replication import client as replication_client
from .replication import replica as replicas
from .replication import storage as log_storage

CONTROL_GROUP = 'control'


class Vm:
    """One VM of a deployment.

    :param settings: validated settings.
    :param timers: the timer service, which the caller must run.
    :param rng: source of all random choices.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        timers: timer_service.Timers,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.timers = timers
        self.rng = rng
        self.metrics = metric_sets.Metrics()
        self.mesh = peer_mesh.PeerMesh(settings, timers)
        self.view = views.ConfigurationView()
        self.replicas: dict[str, replicas.Replica] = {}
        self.folders: list[files.Folder | memory_folder.MemoryFolder] = []
        self.entry_closed = anyio.Event()
        self.stopped = anyio.Event()
        self.stop_requested = anyio.Event()
        self.guard = crash_guard.CrashGuard(timers)
        self.intake = intakes.Intake(
            machine.find_limits(
                settings.limits.memory_bytes or 0,
                settings.limits.descriptors or 0,
            ),
            timers,
        )
        self.mesh.max_handshakes = self.intake.connection_limits.handshakes
        self.build_execution()
        self.build_membership()
        self.build_guard()
        self.build_control()
        self.build_allowance()
        self.build_ledger()
        self.build_gateway()
        self.build_servers()

    def vms_of(self, region: str) -> list[str]:
        """Returns the VMs of a region, those believed alive first."""
        vms = self.settings.vms_by_region[region]
        return sorted(vms, key=lambda vm: not self.membership.is_alive(vm))

    def add_handlers(self, component: typing.Any) -> None:
        """Registers a component's handlers for calls from other VMs."""
        self.mesh.handlers.calls.update(component.handlers())

    # Construction.

    def build_execution(self) -> None:
        context = backend_http.make_ssl_context()
        self.backends: list[backend_http.HttpBackend] = []

        def make_backend(
            server: settings_module.BackendServer,
        ) -> backend_http.HttpBackend:
            backend = backend_http.HttpBackend(
                server,
                self.settings.timeouts,
                self.timers,
                self.settings.deployment,
                context,
            )
            backend.on_foreign_response = (
                self.metrics.foreign_responses.labels(server.name).inc
            )
            self.backends.append(backend)
            return backend

        self.backend_pool = backend_pool.BackendPool(
            self.settings, self.timers, make_backend
        )
        self.queues = fair_queue.make_queues(
            self.backend_pool.services.values(),
            self.timers,
            self.rng,
            self.settings.limits.queue_length,
        )
        self.executor = local_execution.LocalExecutor(
            self.backend_pool,
            self.queues,
            self.timers,
            self.rng,
            self.metrics,
            self.settings.limits.retry_budget_percent,
            self.guard,
        )

    def build_membership(self) -> None:
        self.membership = gossip.Gossip(
            self.settings,
            self.mesh,
            self.timers,
            self.rng,
            service_loads=self.service_loads,
            revision=lambda: self.view.revision,
            pending_withdrawals=lambda: self.view.uncommitted,
            on_withdrawals=lambda ids: self.distribution.withdraw(ids),
        )
        self.add_handlers(self.membership)

        self.load_poller = load_polling.LoadPoller(
            self.settings,
            self.backend_pool,
            self.mesh,
            self.timers,
            self.membership.alive_region_vms,
        )
        self.add_handlers(self.load_poller)

    def build_guard(self) -> None:
        peer_vms = [
            one.vm for one in self.settings.peers if one.vm != self.settings.vm
        ]
        self.guard_exchange = peer_exchange.PeerExchange(
            crash_guard.EXCHANGE_METHOD,
            'crash:not_told',
            self.guard,
            lambda: [vm for vm in peer_vms if self.membership.is_alive(vm)],
            self.timers,
            self.mesh,
            self.rng,
        )
        self.add_handlers(self.guard_exchange)

    def build_control(self) -> None:
        self.distribution = distributions.Distribution(
            self.settings,
            self.view,
            self.mesh,
            self.timers,
            self.membership.is_alive,
            self.has_current_replica,
        )
        self.add_handlers(self.distribution)
        self.mesh.handlers.streams.update(self.distribution.stream_handlers())
        voters = replica_placement.choose_voters(self.settings.peers)
        if self.settings.vm in voters:
            control = state.ControlState(
                self.settings.regions, self.apply_event
            )

            def restore(content: bytes) -> None:
                control.restore(content)
                self.view.replace(control.configuration.pack())

            self.control = control
            self.add_replica(
                CONTROL_GROUP,
                voters,
                replicas.StateMachine(control.apply, control.save, restore),
            )
        client = replication_client.GroupClient(
            CONTROL_GROUP, voters, self.mesh, self.timers
        )
        self.operations = operation_sets.Operations(
            client,
            self.view,
            self.distribution,
            self.timers,
            self.settings.regions,
        )

    def apply_event(self, event: state.Event) -> None:
        """Applies a change committed by the local replica to the view."""
        try:
            self.view.apply(event)
        except errors.CompactedError:
            self.view.replace(self.control.configuration.pack())

    def has_current_replica(self) -> bool:
        replica = self.replicas.get(CONTROL_GROUP)
        return replica is not None and replica.is_up_to_date

    def build_allowance(self) -> None:
        by_region = self.settings.vms_by_region
        self.leases: list[leases.RegionLease] = []
        for region in self.settings.regions:
            voters = leases.choose_voters(region, by_region)
            if self.settings.vm not in (*voters, *by_region[region]):
                continue
            lease = leases.RegionLease(
                region,
                self.settings.vm,
                tuple(sorted(by_region[region])),
                voters,
                self.mesh,
                self.timers,
                self.rng,
            )
            self.add_handlers(lease)
            self.leases.append(lease)
            if region == self.settings.region:
                self.lease = lease
        self.quota_allocator = quota_allocator.QuotaAllocator(
            self.lease,
            self.view,
            self.timers,
            quota_allocator.make_share(self.settings.regions),
        )
        self.add_handlers(self.quota_allocator)
        self.quota_client = quota_client.QuotaClient(
            self.settings.region,
            self.settings.regions,
            self.vms_of,
            self.mesh,
            self.timers,
        )

    def build_ledger(self) -> None:
        groups = {}
        limits, timeouts = self.settings.limits, self.settings.timeouts
        for region in self.settings.regions:
            voters = replica_placement.choose_voters(
                self.settings.peers, region
            )
            group = f'ledger.{region}'
            groups[region] = replication_client.GroupClient(
                group, voters, self.mesh, self.timers
            )
            memory_replicas = replica_placement.choose_memory_replicas(
                self.settings.peers, region, voters
            )
            if self.settings.vm in (*voters, *memory_replicas):
                ledger = claims.LedgerState(
                    timeouts.claim_keep_seconds, limits.claims
                )
                self.add_replica(
                    group,
                    voters,
                    replicas.StateMachine(
                        ledger.apply, ledger.save, ledger.restore
                    ),
                    memory_replicas,
                )
        self.ledger = ledger_client.LedgerClient(
            self.settings.vm,
            groups,
            self.timers,
            timeouts.queue_seconds
            + timeouts.first_byte_seconds
            + timeouts.between_bytes_seconds,
        )

    def add_replica(
        self,
        group: str,
        voters: tuple[str, ...],
        machine: replicas.StateMachine,
        memory_replicas: tuple[str, ...] = (),
    ) -> None:
        folder: files.Folder | memory_folder.MemoryFolder
        if self.settings.vm in memory_replicas:
            folder = memory_folder.MemoryFolder()
        else:
            folder = files.Folder(self.settings.data_folder / group)
        self.folders.append(folder)
        replica = replicas.Replica(
            group,
            self.settings.vm,
            voters,
            log_storage.Storage(folder),
            machine,
            self.mesh,
            self.timers,
            self.rng,
            memory_replicas,
        )
        self.replicas[group] = replica
        self.add_handlers(replica)

    def build_gateway(self) -> None:
        self.forwarder = forwarding.CallForwarder(
            self.settings,
            self.mesh,
            self.membership,
            self.view,
            self.executor,
            self.timers,
            self.rng,
            self.intake.memory,
        )
        self.mesh.handlers.streams.update(self.forwarder.stream_handlers())
        router = region_routing.RegionRouter(
            self.settings,
            self.backend_pool,
            self.queues,
            self.executor,
            self.forwarder,
            self.membership,
            self.metrics,
        )
        self.gateway = gateways.Gateway(
            self.settings,
            self.timers,
            self.view,
            self.backend_pool,
            router,
            self.quota_client,
            self.ledger,
            self.membership,
            self.metrics,
            self.guard,
        )

    def build_servers(self) -> None:
        self.entry = client_http.ClientApplication(
            self.settings, self.timers, self.gateway, self.is_ready
        )
        self.operators = operator_http.OperatorApplication(
            self.settings,
            self.operations,
            self.view,
            self.guard,
            self.metrics,
            functools.partial(status.describe_vm, self),
            functools.partial(status.update_gauges, self),
            self.timers,
        )

    # Running.

    async def run(self) -> None:
        """Runs the VM until it has been drained after :meth:`stop`."""
        host, port = self.peer_address
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
        try:
            async with anyio.create_task_group() as tasks:
                self.start_components(tasks, listener.listeners[0])
                await self.stop_requested.wait()
                await self.drain()
                tasks.cancel_scope.cancel()
        finally:
            self.stopped.set()
            with anyio.CancelScope(shield=True):
                await self.close()

    @property
    def peer_address(self) -> tuple[str, int]:
        own_peer = self.settings.own_peer
        return str(own_peer.host), own_peer.port

    def start_components(
        self,
        tasks: anyio.abc.TaskGroup,
        listener: anyio.abc.SocketListener,
    ) -> None:
        tasks.start_soon(self.mesh.run, listener)
        tasks.start_soon(self.membership.run)
        tasks.start_soon(self.distribution.run)
        tasks.start_soon(self.operations.run)
        tasks.start_soon(self.quota_client.run)
        tasks.start_soon(self.ledger.run)
        tasks.start_soon(self.load_poller.run)
        tasks.start_soon(self.lease.run)
        for name, function in (
            ('engine ends', self.guard.run),
            ('engine end exchange', self.guard_exchange.run),
        ):
            tasks.start_soon(
                supervision.run_supervised, self.timers, name, function
            )
        for replica in self.replicas.values():
            tasks.start_soon(self.run_replica, replica)
        tasks.start_soon(
            servers.serve,
            self.entry,
            self.settings.callers.address,
            self.server_settings(),
            self.entry_closed.wait,
            self.intake.limit_clients(),
            self.timers,
        )
        tasks.start_soon(
            servers.serve,
            self.operators,
            self.settings.operators.address,
            self.server_settings(),
            anyio.sleep_forever,
            self.intake.limit_internal(),
            self.timers,
        )
        self.intake.start_reporting()

    def server_settings(self) -> servers.ServerSettings:
        return servers.ServerSettings(
            self.settings.limits.header_bytes,
            self.settings.timeouts.idle_seconds,
            self.settings.timeouts.stop_seconds,
        )

    async def run_replica(self, replica: replicas.Replica) -> None:
        """Runs a replica; if its disk fails, the VM runs on without it."""
        try:
            await replica.run()
        except* errors.StorageError as group:
            replica.stop_participating(group.exceptions[0])
            eliot.log_message(
                'replica:failed', group=replica.group, reason=str(group)
            )

    def stop(self) -> None:
        """Requests a graceful stop."""
        self.stop_requested.set()

    async def drain(self) -> None:
        await draining.drain(
            self.settings,
            self.timers,
            self.membership,
            self.mesh,
            self.gateway,
            self.quota_client,
            self.lease,
            self.entry_closed.set,
        )

    async def close(self) -> None:
        for backend in self.backends:
            await backend.close()
        for replica in self.replicas.values():
            await replica.storage.close()
        for folder in self.folders:
            folder.close()

    # State.

    def is_ready(self) -> bool:
        return self.view.ready.is_set() and not self.membership.is_leaving

    def service_loads(self) -> dict[str, gossip.ServiceLoad]:
        """Returns this VM's view of the load of the region's services."""
        now = self.timers.now()
        loads = {}
        for name, service in self.backend_pool.services.items():
            usable = service.usable_servers(now)
            loads[name] = gossip.ServiceLoad(
                int(sum(server.capacity(now) for server in usable)),
                round(sum(server.load(now) for server in usable)),
                service.waiting,
            )
        return loads


async def run_vm(
    settings: settings_module.Settings,
    started: collections.abc.Callable[[Vm], None] | None = None,
) -> None:
    """Runs one VM and its timer service.

    :param started: called with the VM before it runs.
    """
    timers = timer_service.Timers()
    vm = Vm(settings, timers, random.Random())
    if started is not None:
        started(vm)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run)
        with contextlib.suppress(anyio.get_cancelled_exc_class()):
            await vm.run()
        tasks.cancel_scope.cancel()
