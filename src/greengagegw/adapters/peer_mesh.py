"""Connections to the other VMs, opened when they are first needed."""

import collections.abc
import contextlib
import dataclasses
import math
import re
import typing

import anyio
import anyio.abc
import eliot

from .. import errors
from .. import timers as timer_service
from . import frames
from . import handshake
from . import peer_connection
from . import peer_socket
from . import peer_stream

if typing.TYPE_CHECKING:
    from .. import settings as settings_module

# Time after a failed dial during which further calls fail immediately.
REDIAL_DELAY_SECONDS = 0.25
# Accepted connections that are not authenticated yet. Beyond them the oldest
# one is closed.
MAX_HANDSHAKES = 256
PORT = re.compile('[0-9]{1,5}', re.ASCII)


@dataclasses.dataclass(frozen=True, slots=True)
class MeshLimits:
    frame_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class MeshTimeouts:
    """Time limits of a mesh, in seconds."""

    connect_seconds: float
    peer_call_seconds: float
    heartbeat_seconds: float
    peer_silence_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSettings:
    """Settings of a mesh whose peers no settings file lists."""

    vm: str
    deployment: str
    peer_secret: str
    limits: MeshLimits
    timeouts: MeshTimeouts


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """The address at which a peer listens."""

    vm: str
    host: str
    port: int


def parse_address(vm: str) -> Address | None:
    """Returns the address of a VM that is named ``host:port``.

    :returns: None if the name has another form.
    """
    host, _, port = vm.rpartition(':')
    if not host or PORT.fullmatch(port) is None:
        return None
    return Address(vm, host, int(port))


class PeerMesh:
    """Implements the peer port over TCP connections.

    All calls and streams to a peer share one connection. The connection
    that the peer dialled is separate and carries only the peer's own calls
    and streams.

    :ivar handshaking: accepted sockets that are not authenticated yet, the
        oldest first.
    :param find_peer: returns the address of a VM, or None if the VM is not a
        peer; by default the peers are the VMs in the settings.
    """

    def __init__(
        self,
        settings: 'settings_module.Settings | MeshSettings',
        timers: timer_service.Timers,
        find_peer: collections.abc.Callable[
            [str], 'settings_module.Peer | Address | None'
        ]
        | None = None,
    ) -> None:
        self.settings = settings
        self.timers = timers
        self.handlers = peer_connection.Handlers()
        if find_peer is None:
            find_peer = {peer.vm: peer for peer in settings.peers}.get
        self.find_peer = find_peer
        self.dialled: dict[str, peer_connection.Connection] = {}
        self.accepted: set[peer_connection.Connection] = set()
        self.handshaking: dict[peer_socket.PeerSocket, None] = {}
        self.max_handshakes = MAX_HANDSHAKES
        self.dial_locks: dict[str, anyio.Lock] = {}
        self.dial_failed_at: dict[str, float] = {}
        self.posting_to: set[str] = set()
        self.tasks: anyio.abc.TaskGroup | None = None
        self.bytes_sent = 0
        self.connect_socket = peer_socket.connect
        self.check_timer: timer_service.Timer | None = None

    async def run(
        self, listener: anyio.abc.Listener[anyio.abc.SocketStream]
    ) -> None:
        """Accepts and serves connections until it is cancelled."""
        async with (
            listener,
            anyio.create_task_group() as tasks,
            contextlib.AsyncExitStack() as stack,
        ):
            self.tasks = tasks
            for one in getattr(listener, 'listeners', [listener]):
                await stack.enter_async_context(
                    peer_socket.accepting(
                        one.extra(anyio.abc.SocketAttribute.raw_socket),
                        self.begin_handshake,
                    )
                )
            self.schedule_check()
            try:
                await anyio.sleep_forever()
            finally:
                self.check_timer.cancel()

    def schedule_check(self) -> None:
        self.check_timer = self.timers.call_later(
            self.settings.timeouts.heartbeat_seconds, self.check_connections
        )

    def check_connections(self) -> None:
        """Sends the heartbeats that are due, and ends silent connections."""
        self.schedule_check()
        now = self.timers.now()
        for one in [*self.dialled.values(), *self.accepted]:
            one.check(now)

    def begin_handshake(self, socket: peer_socket.PeerSocket) -> None:
        """Serves an accepted socket; the oldest one may have to give way."""
        self.handshaking[socket] = None
        if len(self.handshaking) > self.max_handshakes:
            oldest = next(iter(self.handshaking))
            del self.handshaking[oldest]
            oldest.close()
        self.tasks.start_soon(self.accept, socket)

    async def accept(self, socket: peer_socket.PeerSocket) -> None:
        """Serves one connection that a peer dialled."""
        try:
            await self.serve(socket)
        except Exception:
            # An unexpected error ends no more than this connection.
            eliot.write_traceback()
            eliot.log_message('peer:connection_failed')
        finally:
            socket.close()

    async def serve(self, socket: peer_socket.PeerSocket) -> None:
        reader = frames.FrameReader(socket, handshake.MAX_FRAME_BYTES)
        peer = None
        try:
            with self.timers.move_on_after(
                handshake.HANDSHAKE_TIMEOUT_SECONDS
            ):
                peer = await handshake.authenticate_as_listener(
                    socket,
                    reader,
                    self.settings.deployment,
                    self.settings.vm,
                    self.settings.peer_secret,
                )
            if peer is not None and self.find_peer(peer) is None:
                raise errors.PeerAuthenticationError(f'{peer!r} is not a peer')
        except errors.PeerError as error:
            eliot.log_message(
                'peer:refused', code=error.code, reason=error.message
            )
            peer = None
        except peer_connection.CONNECTION_LOST_ERRORS + (anyio.EndOfStream,):
            peer = None
        finally:
            self.handshaking.pop(socket, None)
        if peer is None:
            return
        reader.max_body_bytes = self.settings.limits.frame_bytes
        connection = self.make_connection(socket, reader, peer, False)
        self.accepted.add(connection)
        try:
            await connection.run()
        finally:
            self.accepted.discard(connection)
            self.bytes_sent += connection.bytes_sent

    def make_connection(
        self,
        socket: peer_socket.PeerSocket,
        reader: frames.FrameReader,
        peer: str,
        is_dialler: bool,
    ) -> peer_connection.Connection:
        return peer_connection.Connection(
            socket,
            reader,
            peer,
            self.handlers,
            self.timers,
            self.settings.timeouts.heartbeat_seconds,
            self.settings.timeouts.peer_silence_seconds,
            is_dialler,
        )

    @property
    def total_bytes_sent(self) -> int:
        """Bytes sent on all connections since the start."""
        connections = [*self.dialled.values(), *self.accepted]
        return self.bytes_sent + sum(one.bytes_sent for one in connections)

    @property
    def active_streams(self) -> int:
        """Streams of other VMs that this VM serves now."""
        return sum(len(one.handler_scopes) for one in self.accepted)

    async def connect(self, vm: str) -> peer_connection.Connection:
        """Returns the connection to a VM, which is dialled if necessary.

        :raises PeerUnreachableError: if no connection can be made.
        """
        connection = self.dialled.get(vm)
        if connection is not None and not connection.is_closed:
            return connection
        async with self.dial_locks.setdefault(vm, anyio.Lock()):
            connection = self.dialled.get(vm)
            if connection is not None and not connection.is_closed:
                return connection
            elapsed = self.timers.now() - self.dial_failed_at.get(vm, -1e9)
            if elapsed < REDIAL_DELAY_SECONDS:
                raise errors.PeerUnreachableError(
                    f'{vm} was unreachable {elapsed:g} s ago'
                )
            return await self.dial(vm)

    async def dial(self, vm: str) -> peer_connection.Connection:
        peer = self.find_peer(vm)
        if peer is None or self.tasks is None:
            raise errors.PeerUnreachableError(f'{vm} is not a peer')
        connection = None
        timeout = self.settings.timeouts.connect_seconds
        try:
            with self.timers.move_on_after(timeout):
                connection = await self.connect_and_authenticate(peer)
        except peer_connection.CONNECTION_LOST_ERRORS + (
            anyio.EndOfStream,
        ) as error:
            self.dial_failed_at[vm] = self.timers.now()
            raise errors.PeerUnreachableError(
                f'cannot connect to {vm}'
            ) from error
        except errors.PeerProtocolError:
            self.dial_failed_at[vm] = self.timers.now()
            raise
        if connection is None:
            self.dial_failed_at[vm] = self.timers.now()
            raise errors.PeerUnreachableError(
                f'no connection to {vm} within {timeout:g} s'
            )
        self.dialled[vm] = connection
        self.tasks.start_soon(self.run_dialled, vm, connection)
        return connection

    async def connect_and_authenticate(
        self, peer: 'settings_module.Peer | Address'
    ) -> peer_connection.Connection:
        socket = await self.connect_socket(str(peer.host), peer.port)
        reader = frames.FrameReader(socket, self.settings.limits.frame_bytes)
        try:
            await handshake.authenticate_as_dialler(
                socket,
                reader,
                self.settings.deployment,
                self.settings.vm,
                peer.vm,
                self.settings.peer_secret,
            )
        except BaseException:
            socket.close()
            raise
        return self.make_connection(socket, reader, peer.vm, True)

    async def run_dialled(
        self, vm: str, connection: peer_connection.Connection
    ) -> None:
        """Serves a dialled connection until it ends."""
        try:
            await connection.run()
        except Exception:
            # An unexpected error ends no more than this connection.
            eliot.write_traceback()
            eliot.log_message('peer:connection_failed', peer=vm)
        finally:
            self.bytes_sent += connection.bytes_sent
            if self.dialled.get(vm) is connection:
                del self.dialled[vm]

    async def call(
        self,
        vm: str,
        method: str,
        message: typing.Any,
        timeout: float | None = None,
    ) -> typing.Any:
        if timeout is None:
            timeout = self.settings.timeouts.peer_call_seconds
        if vm == self.settings.vm:
            return await self.handlers.calls[method](vm, message)
        connection = await self.connect(vm)
        return await connection.call(method, message, timeout)

    async def notify(self, vm: str, method: str, message: typing.Any) -> None:
        connection = await self.connect(vm)
        await connection.notify(method, message)

    def post(self, vm: str, method: str, message: typing.Any) -> None:
        """Sends a message, after dialling in the background if necessary.

        Messages posted to a VM while it is dialled are dropped.
        """
        connection = self.dialled.get(vm)
        if connection is not None and not connection.is_closed:
            try:
                connection.post(method, message)
            except errors.GatewayError as error:
                log_not_sent(vm, method, error)
            return
        dial_failed_at = self.dial_failed_at.get(vm, -math.inf)
        if self.timers.now() - dial_failed_at < REDIAL_DELAY_SECONDS:
            return
        if vm not in self.posting_to and self.tasks is not None:
            self.posting_to.add(vm)
            self.tasks.start_soon(self.connect_and_post, vm, method, message)

    async def connect_and_post(
        self, vm: str, method: str, message: typing.Any
    ) -> None:
        try:
            await self.notify(vm, method, message)
        except errors.GatewayError as error:
            log_not_sent(vm, method, error)
        finally:
            self.posting_to.discard(vm)

    @contextlib.asynccontextmanager
    async def open(
        self, vm: str, method: str, message: typing.Any
    ) -> collections.abc.AsyncIterator[peer_stream.Stream]:
        connection = await self.connect(vm)
        async with connection.open(method, message) as stream:
            yield stream


def log_not_sent(vm: str, method: str, error: errors.GatewayError) -> None:
    eliot.log_message('peer:not_sent', vm=vm, method=method, code=error.code)
