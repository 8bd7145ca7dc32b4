"""Puts the parts of an entry VM and of a control VM together."""

import collections.abc
import os
import pathlib
import random
import signal
import ssl

import anyio
import anyio.abc
import eliot

from .. import __version__
from .. import errors
from .. import timers as timer_service
from ..adapters import asgi
from ..adapters import files
from ..adapters import peer_mesh
from ..adapters import servers
from . import backends
from . import callers
from . import documents
from ..fleet import agent as agents
from ..fleet import control as controls
from ..fleet import members
from ..fleet import metrics as fleet_metrics
from ..fleet import store as stores
from ..fleet import timing
from . import instance_list
from . import operators
from ..replication import replica as replicas
from ..replication import storage as log_storage
from ..serving import decisions
from ..serving import dispatcher as dispatchers
from ..serving import ports
from ..serving import servers as server_pool
from . import settings as platform_settings

# Named in deploy/system.toml as well.
ENTRY_METRICS_PORT = 9464
CONTROL_METRICS_PORT = 9465
METRICS_PATH = '/metrics'
LAG_POLL_SECONDS = 0.5
GROUP = 'control'
DEPLOYMENT = 'fleet'
# The platform gives VMs no secret, and keeps others from their ports.
PEER_SECRET = 'greengagegw-platform'
FRAME_BYTES = 16 * 1024 * 1024
CONNECT_SECONDS = 0.5
HEARTBEAT_SECONDS = 0.5
PEER_SILENCE_SECONDS = 2.0
HEADER_BYTES = 64 * 1024
# Callers reuse connections for up to four fifths of the configured idle
# time, which is 15 s on the platform.
IDLE_SECONDS = 20.0
SETTINGS_POLL_SECONDS = 1.0
# What is kept of the time to stop, for ending the process itself.
EXIT_SECONDS = 0.8
# Callers use an old directory answer three times as long as they should.
REFUSE_STREAMS_SECONDS = 2.8
REFUSE_ALL_SECONDS = 5.0
# The rest of the slack is for a change of the leader.
QUOTA_DEBT_SHARE = 0.4
CONTROL_STOP_SECONDS = 0.5
SETTLE_SECONDS = 0.05


class Process:
    """What both roles share: settings, clock, mesh, signals."""

    def __init__(
        self, settings: platform_settings.Settings, port: int
    ) -> None:
        self.settings = settings
        self.vm = f'{settings.host}:{port}'
        self.port = port
        self.timers = timer_service.Timers()
        self.rng = random.Random()  # noqa: S311
        self.leaving_since: float | None = None
        self.ended = anyio.Event()
        self.metrics = fleet_metrics.FleetMetrics()
        self.loop_lag = 0.0
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.mesh = peer_mesh.PeerMesh(
            peer_mesh.MeshSettings(
                self.vm,
                DEPLOYMENT,
                PEER_SECRET,
                peer_mesh.MeshLimits(FRAME_BYTES),
                peer_mesh.MeshTimeouts(
                    CONNECT_SECONDS,
                    timing.POLL_CALL_SECONDS,
                    HEARTBEAT_SECONDS,
                    PEER_SILENCE_SECONDS,
                ),
            ),
            self.timers,
            peer_mesh.find_by_name,
        )

    @property
    def is_leaving(self) -> bool:
        return self.leaving_since is not None

    @property
    def leaving_seconds(self) -> float:
        """Seconds since this process was asked to stop."""
        if self.leaving_since is None:
            return 0.0
        return self.timers.now() - self.leaving_since

    def seeds(self) -> tuple[str, ...]:
        """Returns the control VMs that the settings name."""
        port = self.settings.internal_ports[0]
        return tuple(f'{host}:{port}' for host in self.settings.seeds)

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the clock, the mesh and what watches the outside."""
        listener = await anyio.create_tcp_listener(
            local_host=self.settings.host, local_port=self.port
        )
        tasks.start_soon(self.timers.run)
        tasks.start_soon(self.mesh.run, listener)
        tasks.start_soon(self.watch_settings)
        tasks.start_soon(self.watch_loop)
        eliot.add_destinations(self.metrics)
        self.metrics.watch(
            'greengagegw_loop_lag_seconds',
            'How late the event loop was when it was last looked at',
            lambda: self.loop_lag,
        )
        self.metrics.watch(
            'greengagegw_peer_bytes_sent',
            'Bytes sent to other VMs',
            lambda: self.mesh.total_bytes_sent,
        )

    async def watch_loop(self) -> None:
        while True:
            due = self.timers.now() + LAG_POLL_SECONDS
            await self.timers.sleep(LAG_POLL_SECONDS)
            self.loop_lag = max(0.0, self.timers.now() - due)

    async def show_metrics(
        self, scope: dict, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves the metrics, as an ASGI application."""
        if scope['type'] == 'lifespan':
            await asgi.serve_lifespan(receive, send)
            return
        is_found = scope['path'] == METRICS_PATH
        body = self.metrics.render() if is_found else b''
        headers = [(b'content-type', b'text/plain; version=0.0.4')]
        await asgi.send_whole(send, 200 if is_found else 404, headers, body)

    async def watch_settings(self) -> None:
        """Takes over new settings, with a signal or without one."""
        file = os.environ.get(
            platform_settings.FILE_VARIABLE, platform_settings.DEFAULT_FILE
        )
        seen = self.settings
        while True:
            await self.timers.sleep(SETTINGS_POLL_SECONDS)
            try:
                seen = platform_settings.read(file)
            except errors.SettingsError as error:
                eliot.log_message('settings:refused', reason=error.message)
                continue
            if seen != self.settings:
                self.settings = seen
                eliot.log_message('settings:reloaded', seeds=seen.seeds)

    async def watch_signals(
        self,
        stop: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Stops on SIGTERM; settings are read again anyway on SIGHUP."""
        received = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*received) as signals:
            async for number in signals:
                eliot.log_message('signal:received', number=int(number))
                if number != signal.SIGHUP:
                    self.leaving_since = self.timers.now()
                    await stop()
                    return


def log_start(role: str, process: Process) -> None:
    eliot.log_message(
        'process:started',
        role=role,
        version=__version__,
        vm=process.vm,
        name=process.settings.name,
        seeds=process.settings.seeds,
        first_start=process.settings.is_first_start,
    )


async def run_entry(settings: platform_settings.Settings) -> None:
    """Runs an entry VM until it is asked to stop."""
    if settings.callers is None or settings.ready is None:
        raise errors.SettingsError(('listen.front and listen.ready: missing',))
    # A control VM on the same machine has the first port.
    process = Process(settings, settings.internal_ports[0] + 1)
    timers = process.timers
    view = agents.FleetView()
    pool = server_pool.ServerPool(view, settings.region, settings.regions)
    backend = backends.BackendServers(timers, process.context)

    def describe() -> tuple[members.EntryVm, dict]:
        state = members.EntryState.SERVING
        if view.configuration is None:
            state = members.EntryState.STARTING
        if process.is_leaving:
            state = members.EntryState.LEAVING
        entry = members.EntryVm(
            process.vm,
            str(settings.callers),
            settings.region,
            settings.domain,
            state,
        )
        return entry, dispatchers.describe_load(dispatcher)

    agent = agents.Agent(
        timers,
        process.mesh,
        view,
        process.seeds,
        describe,
        documents.decode,
        settings.bounds.revoke_seconds - timing.LEASE_MARGIN_SECONDS,
        process.rng,
    )
    dispatcher = dispatchers.Dispatcher(
        process.vm,
        timers,
        process.mesh,
        agent,
        pool,
        backend,
        decisions.RetrySettings(
            settings.bounds.retry_ratio,
            settings.bounds.retry_slack,
            settings.bounds.retry_window,
        ),
        process.rng,
    )
    process.mesh.handlers.streams.update(dispatcher.stream_handlers())
    view.updated.append(lambda: pool.update(timers.now()))

    def refuses_new(request: ports.Request) -> bool:
        if not process.is_leaving:
            return False
        is_long = request.prompt is not None
        most = REFUSE_STREAMS_SECONDS if is_long else REFUSE_ALL_SECONDS
        return process.leaving_seconds > most

    def is_ready() -> bool:
        return view.configuration is not None and not process.is_leaving

    application = callers.Callers(
        timers, dispatcher, lambda: process.is_leaving, refuses_new
    )
    log_start('entry', process)
    async with anyio.create_task_group() as tasks:

        async def stop() -> None:
            await agent.poll()
            last = settings.bounds.stop_seconds - EXIT_SECONDS
            while process.leaving_seconds < last and (
                dispatcher.in_flight
                or process.leaving_seconds < REFUSE_ALL_SECONDS
            ):
                await timers.sleep(SETTLE_SECONDS)
            eliot.log_message('process:stopped', running=dispatcher.in_flight)
            process.ended.set()

        async def drop_connections() -> None:
            while True:
                await timers.sleep(timing.POLL_SECONDS)
                await backend.forget_others(pool.servers)

        await process.start(tasks)
        tasks.start_soon(process.watch_signals, stop)
        tasks.start_soon(agent.run)
        tasks.start_soon(drop_connections)
        tasks.start_soon(dispatcher.links.keep_links)
        allowed = servers.ServerSettings(
            HEADER_BYTES, IDLE_SECONDS, EXIT_SECONDS / 2
        )
        serve(tasks, application, settings.callers, allowed, process)
        serve(
            tasks,
            callers.make_ready(is_ready),
            settings.ready,
            allowed,
            process,
        )
        serve(
            tasks,
            process.show_metrics,
            platform_settings.Endpoint(settings.host, ENTRY_METRICS_PORT),
            allowed,
            process,
        )
        watch_entry(process, agent, dispatcher)
        await process.ended.wait()
        await timers.sleep(EXIT_SECONDS / 2)
        tasks.cancel_scope.cancel()


def watch_entry(
    process: Process,
    agent: agents.Agent,
    dispatcher: dispatchers.Dispatcher,
) -> None:
    """Shows what an entry VM believes, and how old it is."""
    view = agent.view
    watch = process.metrics.watch
    watch(
        'greengagegw_configuration_version',
        'Version of the configuration in force',
        lambda: view.version,
    )
    watch(
        'greengagegw_lease_seconds_left',
        'Seconds for which keys are accepted without another answer',
        lambda: view.lease_until - agent.boot_clock(),
    )
    watch(
        'greengagegw_instance_list_age_seconds',
        'Age of the list of backend servers',
        lambda: process.timers.now() - view.list_read_at,
    )
    watch(
        'greengagegw_requests_in_flight',
        'Requests being handled',
        lambda: dispatcher.in_flight,
    )
    watch(
        'greengagegw_entry_vms',
        'Entry VMs that are known',
        lambda: len(view.entries),
    )


def watch_control(process: Process, control: controls.Control) -> None:
    """Shows what a control VM holds."""
    replica = control.replica
    watch = process.metrics.watch
    watch(
        'greengagegw_configuration_version',
        'Version of the configuration held',
        lambda: control.store.version,
    )
    watch('greengagegw_replica_term', 'Term of the log', lambda: replica.term)
    watch(
        'greengagegw_replica_leads',
        'Whether this VM leads the control group',
        lambda: replica.is_leader,
    )
    watch(
        'greengagegw_replica_committed',
        'Entries of the log that a majority holds',
        lambda: replica.commit_index,
    )
    watch(
        'greengagegw_instance_list_age_seconds',
        'Age of the list of backend servers',
        lambda: process.timers.now() - control.instances.read_at,
    )
    watch(
        'greengagegw_entry_vms',
        'Entry VMs that are known',
        lambda: len(control.roster.heard),
    )


def serve(
    tasks: anyio.abc.TaskGroup,
    application: collections.abc.Callable,
    endpoint: platform_settings.Endpoint,
    allowed: servers.ServerSettings,
    process: Process,
) -> None:
    tasks.start_soon(
        servers.serve,
        application,
        endpoint.address,
        allowed,
        process.ended.wait,
    )


async def run_control(settings: platform_settings.Settings) -> None:
    """Runs a control VM until it is asked to stop."""
    if not settings.data_folder or settings.control is None:
        raise errors.SettingsError(('dataDir and listen.control: missing',))
    process = Process(settings, settings.internal_ports[0])
    timers = process.timers
    store = stores.Store()
    folder = files.Folder(pathlib.Path(settings.data_folder))
    replica = replicas.Replica(
        GROUP,
        process.vm,
        process.seeds(),
        log_storage.Storage(folder),
        replicas.StateMachine(store.apply, store.save, store.restore),
        process.mesh,
        timers,
        process.rng,
        may_found=settings.is_first_start,
        least_voters=2 * settings.lost_disks + 1,
        pace=timing.CONTROL_PACE,
    )
    reader = instance_list.InstanceListClient(
        settings.instance_list, timers, process.context
    )
    control = controls.Control(
        process.vm,
        timers,
        process.mesh,
        replica,
        store,
        reader.read,
        documents.decode,
        settings.bounds.quota_slack * QUOTA_DEBT_SHARE,
    )
    process.mesh.handlers.calls.update(replica.handlers())
    process.mesh.handlers.calls.update(control.handlers())
    application = operators.Operators(timers, control)
    log_start('control', process)
    async with anyio.create_task_group() as tasks:

        async def stop() -> None:
            await timers.sleep(CONTROL_STOP_SECONDS)
            eliot.log_message('process:stopped')
            process.ended.set()

        async def follow_seeds() -> None:
            while True:
                await timers.sleep(SETTINGS_POLL_SECONDS)
                replica.founders = process.seeds()

        await process.start(tasks)
        tasks.start_soon(process.watch_signals, stop)
        tasks.start_soon(replica.run)
        tasks.start_soon(control.run)
        tasks.start_soon(follow_seeds)
        allowed = servers.ServerSettings(
            HEADER_BYTES, IDLE_SECONDS, EXIT_SECONDS / 2
        )
        serve(tasks, application, settings.control, allowed, process)
        if settings.directory is not None:
            serve(tasks, application, settings.directory, allowed, process)
        serve(
            tasks,
            process.show_metrics,
            platform_settings.Endpoint(settings.host, CONTROL_METRICS_PORT),
            allowed,
            process,
        )
        watch_control(process, control)
        await process.ended.wait()
        await timers.sleep(EXIT_SECONDS / 2)
        tasks.cancel_scope.cancel()
    folder.close()
