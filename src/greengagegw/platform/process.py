"""The process of a VM, as both roles need it."""

import collections.abc
import functools
import random
import signal
import ssl

import anyio
import anyio.abc
import eliot

from .. import __version__
from .. import connection_limit
from .. import errors
from .. import intake as intakes
from .. import machine
from .. import request_memory
from .. import timers as timer_service
from ..adapters import asgi
from ..adapters import peer_mesh
from ..adapters import servers
from ..fleet import metrics as fleet_metrics
from ..fleet import timing
from . import settings as platform_settings

METRICS_PATH = '/metrics'
LOOP_LAG_INTERVAL_SECONDS = 0.5
SETTINGS_POLL_INTERVAL_SECONDS = 1.0
DEPLOYMENT = 'fleet'
# The platform provides no secret, and its network admits only VMs to the
# internal ports.
PEER_SECRET = 'greengagegw-platform'
# Well above 4 MiB, the largest request body that operators may allow.
MAX_FRAME_BYTES = 16 * 1024 * 1024
# Connecting to another region takes three round trips of 0.11 s.
CONNECT_TIMEOUT_SECONDS = 0.5
HEARTBEAT_INTERVAL_SECONDS = 0.5
PEER_TIMEOUT_SECONDS = 2.0
MAX_HEADER_BYTES = 64 * 1024
# Clients reuse an idle connection for up to four fifths of the configured
# idle timeout, which is 15 s on the platform.
IDLE_TIMEOUT_SECONDS = 20.0
# The part of the stop time that the process needs to exit after draining.
EXIT_RESERVE_SECONDS = 0.8


class Process:
    """The settings, timers, peer mesh, signals and metrics of a process.

    :param settings_file: that the settings were read from; None for the
        platform's default.
    :param port: internal port that the mesh listens on.
    :param client_listeners: how many listeners clients or operators have.
    :ivar leaving_since: timer seconds of the stop signal, None before.
    :ivar stopped: set when the servers are to shut down.
    :ivar reload_requested: set when the settings are to be read at once.
    :ivar loop_lag: delay of the event loop in seconds, when last measured.
    """

    def __init__(
        self,
        settings: platform_settings.Settings,
        settings_file: str | None,
        port: int,
        client_listeners: int = 1,
    ) -> None:
        self.settings = settings
        self.settings_file = settings_file
        self.vm = f'{settings.host}:{port}'
        self.port = port
        self.timers = timer_service.Timers()
        self.intake = intakes.Intake(
            machine.find_limits(settings.memory_bytes, settings.descriptors),
            self.timers,
            client_listeners,
        )
        self.rng = random.Random()  # noqa: S311
        self.leaving_since: float | None = None
        self.stopped = anyio.Event()
        self.reload_requested = anyio.Event()
        self.metrics = fleet_metrics.FleetMetrics()
        self.loop_lag = 0.0
        self.ssl_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.mesh = peer_mesh.PeerMesh(
            peer_mesh.MeshSettings(
                self.vm,
                DEPLOYMENT,
                PEER_SECRET,
                peer_mesh.MeshLimits(MAX_FRAME_BYTES),
                peer_mesh.MeshTimeouts(
                    CONNECT_TIMEOUT_SECONDS,
                    timing.POLL_TIMEOUT_SECONDS,
                    HEARTBEAT_INTERVAL_SECONDS,
                    PEER_TIMEOUT_SECONDS,
                ),
            ),
            self.timers,
            peer_mesh.parse_address,
        )
        self.mesh.max_handshakes = self.intake.connection_limits.handshakes

    @property
    def is_leaving(self) -> bool:
        return self.leaving_since is not None

    @property
    def leaving_seconds(self) -> float:
        """Seconds since the stop signal, 0 before."""
        if self.leaving_since is None:
            return 0.0
        return self.timers.now() - self.leaving_since

    def seeds(self) -> tuple[str, ...]:
        """Returns the control VMs in the settings, as ``host:port``."""
        port = self.settings.internal_port_range[0]
        return tuple(f'{host}:{port}' for host in self.settings.seeds)

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the timers, the mesh and the watching of settings and lag."""
        listener = await anyio.create_tcp_listener(
            local_host=self.settings.host, local_port=self.port
        )
        tasks.start_soon(self.timers.run)
        tasks.start_soon(self.mesh.run, listener)
        tasks.start_soon(self.watch_settings)
        self.measure_loop_lag()
        self.intake.start_reporting()
        eliot.add_destinations(self.metrics)
        self.metrics.add_gauge(
            'greengagegw_loop_lag_seconds',
            'How late the event loop was when it was last looked at',
            lambda: self.loop_lag,
        )
        self.metrics.add_gauge(
            'greengagegw_peer_bytes_sent',
            'Bytes sent to other VMs',
            lambda: self.mesh.total_bytes_sent,
        )
        self.add_intake_gauges()

    def add_intake_gauges(self) -> None:
        intake, add_gauge = self.intake, self.metrics.add_gauge
        add_gauge(
            'greengagegw_request_memory_bytes',
            "Memory that clients' requests hold",
            lambda: intake.memory.held_bytes,
        )
        add_gauge(
            'greengagegw_request_memory_limit_bytes',
            "Memory that clients' requests may hold",
            lambda: intake.memory.limits.request_bytes,
        )
        add_gauge(
            'greengagegw_client_connections',
            'Connections of clients and operators',
            lambda: intake.connections,
        )
        add_gauge(
            'greengagegw_client_connections_limit',
            'Connections that clients and operators may have',
            lambda: intake.max_connections,
        )
        for reason in request_memory.REASONS:
            add_gauge(
                'greengagegw_intake_rejected',
                'Requests and connections that gave way, by reason',
                functools.partial(intake.memory.rejections.get, reason, 0),
                reason=reason,
            )

    def measure_loop_lag(self) -> None:
        """Measures how late the event loop calls a callback, regularly."""

        def called() -> None:
            self.loop_lag = max(0.0, self.timers.now() - timer.due_at)
            self.measure_loop_lag()

        timer = self.timers.call_later(LOOP_LAG_INTERVAL_SECONDS, called)

    async def serve_metrics(
        self, scope: dict, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """ASGI application that serves the metrics."""
        if scope['type'] == 'lifespan':
            await asgi.serve_lifespan(receive, send)
            return
        is_found = scope['path'] == METRICS_PATH
        body = self.metrics.render() if is_found else b''
        headers = [(b'content-type', b'text/plain; version=0.0.4')]
        await asgi.send_response(send, 200 if is_found else 404, headers, body)

    async def watch_settings(self) -> None:
        """Reads the settings file regularly and on SIGHUP.

        A change of the seeds applies at once, other changes at a restart. An
        invalid file is logged and changes nothing.
        """
        file = platform_settings.SettingsFile(self.settings_file)
        while True:
            with self.timers.move_on_after(SETTINGS_POLL_INTERVAL_SECONDS):
                await self.reload_requested.wait()
                self.reload_requested = anyio.Event()
            try:
                latest = file.read()
            except errors.SettingsError as error:
                eliot.log_message('settings:refused', reason=error.message)
                continue
            if latest != self.settings:
                self.settings = latest
                eliot.log_message('settings:reloaded', seeds=latest.seeds)

    async def watch_signals(
        self,
        stop: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Stops the process on SIGTERM or SIGINT, reloads on SIGHUP."""
        received = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*received) as signals:
            async for number in signals:
                eliot.log_message('signal:received', number=int(number))
                if number == signal.SIGHUP:
                    self.reload_requested.set()
                    continue
                self.leaving_since = self.timers.now()
                await stop()
                break
        # The receiver restores the default, which would end the process
        # before its last responses are sent.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


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


def serve(
    tasks: anyio.abc.TaskGroup,
    application: collections.abc.Callable,
    endpoint: platform_settings.Endpoint,
    server_settings: servers.ServerSettings,
    process: Process,
    limit: connection_limit.ConnectionLimit,
) -> None:
    """Starts an HTTP server that runs until the process has stopped."""
    tasks.start_soon(
        servers.serve,
        application,
        endpoint.address,
        server_settings,
        process.stopped.wait,
        limit,
        process.timers,
    )
