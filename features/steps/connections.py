"""Steps for the connections to backend servers of the platform."""

import contextlib
import re
import socket
import ssl
import struct
import types

import anyio
import anyio.abc
import anyio.lowlevel
import behave

from features import fakes
from features import fleet_world
from features.steps.fleet import in_fleet
from features import tcp_sockets
from greengagegw.adapters import asgi
from greengagegw.adapters import backend_connection
from greengagegw.adapters import backend_http
from greengagegw.adapters import backend_transport
from greengagegw.adapters import servers
from greengagegw import backend_pool
from greengagegw import errors
from greengagegw import load_polling
from greengagegw.platform import backend_client
from greengagegw.platform import client_application
from greengagegw.platform import instance_list
from greengagegw.platform import settings as platform_settings
from greengagegw.ports import backends
from greengagegw.serving import execution
from greengagegw.serving import ports
from greengagegw.serving import stopping
from greengagegw import settings as settings_module
from greengagegw import timers as timer_service
from standins import loopback_blocks

HOST = f'127.{loopback_blocks.reserve_block()}.1.1'
PORT = 8080
REQUEST_TIMEOUT_SECONDS = 5.0
# An unsent rest is discarded, and the connection reset.
NO_LINGER = struct.pack('ii', 1, 0)
REQUEST_ID = re.compile(rb'greengagegw-attempt-id: (\S+)')


class CopyingServer:
    """A backend server that sends each response once more.

    :ivar time: when it sends the second copy.
    """

    def __init__(self, time):
        self.time = time
        self.connections = 0
        # The late copy and the next response are written by two tasks.
        self.send_lock = anyio.Lock()

    async def serve(self, stream):
        self.connections += 1
        copy = b''
        try:
            async with stream, anyio.create_task_group() as tasks:
                while True:
                    head = b''
                    while b'\r\n\r\n' not in head:
                        head += await stream.receive()
                    if self.time == 'after it got the next request':
                        await stream.send(copy or b'')
                    copy = make_response(head)
                    if self.time == 'in the same write':
                        await stream.send(copy * 2)
                        continue
                    async with self.send_lock:
                        await stream.send(copy)
                    if self.time == 'at once':
                        await stream.send(copy)
                    elif self.time == '0.02 seconds later':
                        tasks.start_soon(self.send_late, stream, copy)
        except* (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            pass

    async def send_late(self, stream, copy):
        await anyio.sleep(0.02)
        async with self.send_lock:
            await stream.send(copy)


def make_response(head):
    name = REQUEST_ID.search(head.lower()).group(1)
    return (
        b'HTTP/1.1 200 OK\r\nGreengagegw-Attempt-Id: %s\r\n'
        b'Greengagegw-Server-Stamp: s\r\nContent-Length: %d\r\n\r\n%s'
        % (name, len(name), name)
    )


@behave.given(
    'a backend server that sends a second copy of each response {time}'
)
@in_fleet
async def given_copies(context, time):
    await start_server(context, time)


@behave.given('a backend server that sends no second copies')
@in_fleet
async def given_no_copies(context):
    await start_server(context, 'never')


async def start_server(context, time):
    context.server = CopyingServer(time)
    context.listener = await anyio.create_tcp_listener(
        local_host=HOST, local_port=PORT
    )


@behave.when(
    '{count:d} requests follow one another, each after {pause:g} seconds'
)
@in_fleet
async def when_requests_follow(context, count, pause):
    context.outcomes = []
    async with connected_client(context) as (client, instance):
        for number in range(count):
            await anyio.sleep(pause)
            context.outcomes.append(
                await send(client, instance, f'r-{number}')
            )


@behave.when(
    '{once:d} requests that may run only once follow one another, then'
    ' {others:d} others'
)
@in_fleet
async def when_both_kinds_follow(context, once, others):
    context.outcomes = []
    async with connected_client(context) as (client, instance):
        for number in range(once + others):
            outcome = await send(
                client, instance, f'r-{number}', is_retryable=number >= once
            )
            context.outcomes.append(outcome)


@contextlib.asynccontextmanager
async def connected_client(context):
    """Enters a client and the instance that is the scenario's server."""
    timers = timer_service.Timers()
    client = backend_client.BackendClient(timers)
    instance = fleet_world.instance(address=f'{HOST}:{PORT}')
    async with context.listener, anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run)
        tasks.start_soon(context.listener.serve, context.server.serve)
        yield client, instance
        client.prune_pools(())
        tasks.cancel_scope.cancel()


def make_request(name, is_retryable=True):
    scope = {
        'method': 'GET',
        'path': '/',
        'raw_path': b'/',
        'query_string': b'',
        'headers': [
            (b'host', b'h.example'),
            (b'greengagegw-attempt-id', name.encode()),
        ],
    }
    request = client_application.decode_request(scope, b'')
    return ports.BackendRequest(request, None, 3.0, 0, None, is_retryable)


async def send(client, instance, name, is_retryable=True):
    """Returns the ID, and the body or the error of its request."""
    try:
        with anyio.fail_after(REQUEST_TIMEOUT_SECONDS):
            async with client.send(
                instance,
                make_request(name, is_retryable),
                lambda notice: None,
            ) as response:
                body = b''.join([one async for one in response.chunks])
    except errors.BackendError as error:
        return name, error
    return name, body.decode()


@behave.then(
    'each gets its own response, or an error that does not say not run'
)
def then_own_or_error(context):
    for name, outcome in context.outcomes:
        if isinstance(outcome, errors.GatewayError):
            assert outcome.run != errors.NOT_RUN, outcome
        else:
            assert outcome == name, (name, outcome)


@behave.then('each gets its own response')
def then_own(context):
    assert all(one == two for one, two in context.outcomes), context.outcomes


@behave.then('the server accepted {count:d} connections')
@behave.then('the server accepted {count:d} connection')
def then_connections(context, count):
    assert context.server.connections == count, context.server.connections


BODIES = {
    'its whole length': b'Content-Length: 5\r\n\r\nwhole',
    'all of its chunks': (
        b'Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'
    ),
    'no length and chunks': b'\r\nwhole',
    'a length too long': b'Content-Length: 6\r\n\r\nwhole',
    'chunks without an end': b'Transfer-Encoding: chunked\r\n\r\n5\r\nwhole',
}


class ClosingServer:
    """A backend server that closes each connection after its response."""

    def __init__(self, body, is_reset):
        self.body = body
        self.is_reset = is_reset

    async def serve(self, stream):
        async with stream:
            head = b''
            while b'\r\n\r\n' not in head:
                head += await stream.receive()
            name = REQUEST_ID.search(head.lower()).group(1)
            await stream.send(
                b'HTTP/1.1 200 OK\r\nGreengagegw-Attempt-Id: %s\r\n'
                b'Greengagegw-Server-Stamp: s\r\n%s' % (name, self.body)
            )
            if self.is_reset:
                # The body is read before the reset discards it.
                await anyio.sleep(0.05)
                stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                )


@behave.given(
    'a backend server whose response has {framing} and ends by {ending}'
)
@in_fleet
async def given_ending(context, framing, ending):
    context.server = ClosingServer(BODIES[framing], ending == 'a reset')
    context.listener = await anyio.create_tcp_listener(
        local_host=HOST, local_port=PORT
    )


@behave.when('its body is read')
@in_fleet
async def when_body_read(context):
    async with connected_client(context) as (client, instance):
        context.body = context.error = None
        try:
            async with client.send(
                instance, make_request('r-1'), lambda notice: None
            ) as response:
                context.ends_by_close = response.ends_by_close
                context.body = b''.join([one async for one in response.chunks])
        except errors.BrokenStreamError as error:
            context.error = error


@behave.then('the body is {result}')
def then_body(context, result):
    if result == 'broken':
        assert context.error is not None, context.body
        return
    assert (context.body, context.error) == (b'whole', None), context.error
    assert context.ends_by_close == (result == 'complete, and ended by close')


class StallingServer:
    """A backend server whose response has one chunk and no end."""

    async def serve(self, stream):
        async with stream:
            head = b''
            while b'\r\n\r\n' not in head:
                head += await stream.receive()
            name = REQUEST_ID.search(head.lower()).group(1)
            await stream.send(
                b'HTTP/1.1 200 OK\r\nGreengagegw-Attempt-Id: %s\r\n'
                b'Greengagegw-Server-Stamp: s\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n' % name
            )
            await anyio.sleep_forever()


@behave.given(
    'a backend server that stalls after the first chunk of a response'
)
@in_fleet
async def given_stalling(context):
    context.server = StallingServer()
    context.listener = await anyio.create_tcp_listener(
        local_host=HOST, local_port=PORT
    )


@behave.when('its body is read with a stall timeout of {seconds:g} seconds')
@in_fleet
async def when_stalled(context, seconds):
    context.chunks = []
    async with connected_client(context) as (client, instance):
        stall_timer = execution.StallTimer(client.timers, seconds)
        deadline = client.timers.now() + REQUEST_TIMEOUT_SECONDS
        async with client.send(
            instance, make_request('r-1'), lambda notice: None
        ) as response:
            for _ in range(2):
                began_at = client.timers.now()
                context.chunks.append(
                    await stall_timer.read(response, deadline)
                )
                context.read_seconds = client.timers.now() - began_at


@behave.then(
    'the first chunk is read, and the next read ends within {limit:g} second'
)
def then_stalled(context, limit):
    assert context.chunks == [b'first', None], context.chunks
    assert 0.1 < context.read_seconds < limit, context.read_seconds


class StubDispatcher:
    """Responds with two chunks, or breaks off after the first."""

    def __init__(self, is_whole):
        self.is_whole = is_whole
        self.in_flight = stopping.InFlightRequests()
        self.view = types.SimpleNamespace(configuration=None)

    @contextlib.asynccontextmanager
    async def handle(self, request):
        yield ports.Response(200, (), self.chunks())

    async def chunks(self):
        yield b'first'
        if not self.is_whole:
            raise errors.BrokenStreamError('the backend server broke off')
        yield b'last'


@behave.given('an entry VM whose response {ending} after its first chunk')
def given_entry(context, ending):
    context.dispatcher = StubDispatcher(ending == 'is whole')


@behave.when(
    'a client of HTTP/{version} reads it to the end of the connection'
)
@in_fleet
async def when_client_reads(context, version):
    timers = timer_service.Timers()
    application = client_application.ClientApplication(
        timers, context.dispatcher, lambda: False, lambda request: False
    )
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run)
        tasks.start_soon(
            servers.serve,
            application,
            (HOST, PORT),
            servers.ServerSettings(16384, 0.2, 1.0),
            stop.wait,
            fakes.limit_clients(timers),
            timers,
        )
        context.received = await exchange(
            f'GET / HTTP/{version}\r\nHost: h.example\r\n\r\n'.encode()
        )
        stop.set()
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()


async def exchange(request):
    """Returns everything that the entry VM sends on one connection."""
    with anyio.fail_after(REQUEST_TIMEOUT_SECONDS):
        while True:
            try:
                stream = await anyio.connect_tcp(HOST, PORT)
                break
            except OSError:
                await anyio.sleep(0.02)
        received = b''
        async with stream:
            await stream.send(request)
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    received += await stream.receive()
    return received


@behave.then('the client has {result}')
def then_client_has(context, result):
    head, _, body = context.received.partition(b'\r\n\r\n')
    status = int(head.split()[1])
    length = re.search(rb'content-length: (\d+)', head.lower())
    if result == 'an error instead of the body':
        assert status == 502 and b'first' not in body, context.received
        return
    assert status == 200, context.received
    if result == 'a body without its last chunk':
        assert b'chunked' in head.lower() and b'first' in body
        assert not body.endswith(b'0\r\n\r\n'), context.received
    elif result == 'the whole body in chunks':
        assert body == b'5\r\nfirst\r\n4\r\nlast\r\n0\r\n\r\n', body
    else:
        assert body == b'firstlast' and int(length.group(1)) == 9, head


OK = b'HTTP/1.1 200 OK\r\n'
# What comes first, what follows again and again, and the pause after it.
ENDLESS_PARTS = {
    'head': (OK + b'Name: ', b'x' * 65536, 0.0),
    'slow head': (OK + b'Name: ', b'x', 0.05),
    'series of informational heads': (
        b'',
        b'HTTP/1.1 100 Continue\r\n\r\n' * 2600,
        0.0,
    ),
    'body': (OK + b'\r\n', b'x' * 65536, 0.0),
    'body in chunks': (
        OK + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\n \r\n' * 10000,
        0.0,
    ),
}


class EndlessServer:
    """Sends a head or a body until the client closes the connection."""

    def __init__(self, part):
        self.start, self.part, self.pause = ENDLESS_PARTS[part]
        self.sent_bytes = 0

    async def serve(self, stream):
        async with stream:
            await stream.receive()
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(self.start)
                while True:
                    await stream.send(self.part)
                    self.sent_bytes += len(self.part)
                    await anyio.sleep(self.pause)


@behave.given('a server that sends a {part} without end')
@in_fleet
async def given_endless(context, part):
    context.server = EndlessServer(part)
    context.listener = await anyio.create_tcp_listener(
        local_host=HOST, local_port=PORT
    )


@behave.when('{reader} reads from it')
@in_fleet
async def when_reads(context, reader):
    context.error = None
    async with connected_client(context) as (client, instance):
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_SECONDS):
                await READERS[reader](client, instance)
        except errors.BackendError as error:
            context.error = error
        await anyio.sleep(0.1)


async def read_from_client(client, instance):
    async with client.send(instance, make_request('r-1'), lambda notice: None):
        pass


async def read_instance_list(client, instance):
    endpoint = platform_settings.Endpoint(HOST, PORT)
    await instance_list.InstanceListClient(
        endpoint, client.timers, ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    ).read()


def make_backend(timers):
    server = settings_module.BackendServer(
        name='i-1', service='s', region='a', url=f'http://{HOST}:{PORT}'
    )
    return backend_http.HttpBackend(
        server,
        settings_module.Timeouts(),
        timers,
        'd',
        ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT),
    )


async def read_load_report(client, instance):
    backend = make_backend(client.timers)
    try:
        await backend.fetch_load()
    finally:
        await backend.close()


@behave.when('its load is polled after a report that it is leaving')
@in_fleet
async def when_polled(context):
    async with connected_client(context) as (client, _):
        timers = client.timers
        backend = make_backend(timers)
        context.report = backends.LoadReport(timers.now(), 3, 4, True)
        context.state = backend_pool.ServerState(
            backend.settings, backend, timers.now()
        )
        context.state.record_report(context.report)
        poller = load_polling.LoadPoller.__new__(load_polling.LoadPoller)
        poller.timers, poller.poll_count = timers, 0
        poller.settings = types.SimpleNamespace(
            timeouts=settings_module.Timeouts()
        )
        poller.pool = types.SimpleNamespace(by_name={'i-1': context.state})
        started_at = timers.now()
        with anyio.fail_after(REQUEST_TIMEOUT_SECONDS):
            await poller.poll('i-1')
        context.read_seconds = timers.now() - started_at
        await backend.close()


@behave.then(
    'the last report stays in force, and the poll ended within {limit:g} s'
)
def then_report_stays(context, limit):
    assert context.state.report is context.report
    assert context.state.is_leaving
    assert context.read_seconds < limit, context.read_seconds


READERS = {
    "the platform's client": read_from_client,
    'the instance list': read_instance_list,
    'the poll of a load report': read_load_report,
}


@behave.then('the read fails and the server was cut off within {limit:d} MiB')
def then_cut_off_in_limit(context, limit):
    assert context.error is not None
    sent_bytes = context.server.sent_bytes
    # Bytes in the buffers of the kernel count as sent.
    assert sent_bytes <= limit * 1024 * 1024, sent_bytes


@behave.when('connections to servers, between VMs and from clients are open')
def when_connections_open(context):
    async def serve_client(scope, receive, send):
        if scope['type'] == 'lifespan':
            await asgi.serve_lifespan(receive, send)

    async def keep_open(stream):
        await anyio.sleep_forever()

    async def run():
        timers = timer_service.Timers()
        limits = servers.ServerSettings(16384, 15.0, 0.1)
        before = {one.getsockname() for one in tcp_sockets.open_sockets()}
        listener = await anyio.create_tcp_listener(
            local_host=HOST, local_port=PORT + 1
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                servers.serve,
                serve_client,
                (HOST, PORT + 2),
                limits,
                anyio.sleep_forever,
                fakes.limit_clients(timers),
                timers,
            )
            tasks.start_soon(listener.serve, keep_open)
            # The connections of both clients of servers, and of the mesh.
            kept = [
                await backend_connection.connect(HOST, PORT + 1, 1.0),
                await backend_transport.NetworkBackend().connect_tcp(
                    HOST, PORT + 1
                ),
                await anyio.connect_tcp(HOST, PORT + 1),
            ]
            await anyio.sleep(0.5)
            kept.append(await anyio.connect_tcp(HOST, PORT + 2))
            await anyio.sleep(0.2)
            context.checked = {}
            for one in tcp_sockets.open_sockets():
                with one:
                    names = (one.getsockname(), one.getpeername())
                    if names[0] not in before:
                        context.checked[names] = tcp_sockets.gives_up_early(
                            one
                        )
            tasks.cancel_scope.cancel()

    # The program runs on this event loop, whose sockets it sets up itself.
    anyio.run(run, backend_options={'use_uvloop': True})


@behave.then(
    'their TCP_USER_TIMEOUT is at least the time that their probes take'
)
def then_user_timeout(context):
    # Both ends of four connections.
    assert len(context.checked) >= 8, context.checked
    assert not any(context.checked.values()), context.checked


class StubTransport:
    """The transport of a connection whose bytes a test passes on."""

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def write(self, data):
        pass


@behave.given('a response with the chunks {chunks}')
def given_chunks(context, chunks):
    context.body, context.response = (
        b'',
        (b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'),
    )
    for chunk in chunks.split(', '):
        size, _, text = chunk.partition(' ')
        content = text.encode().decode('unicode_escape').encode()
        context.body += content
        context.response += size.encode() + b'\r\n' + content + b'\r\n'
    context.response += b'0\r\n\r\n'


@behave.when('its bytes arrive in pieces of every size')
@in_fleet
async def when_pieces_arrive(context):
    request = backend_connection.Request(
        b'GET', HOST, PORT, b'/', [(b'host', b'h')], None, 1.0
    )
    context.results = []
    for size in range(1, len(context.response) + 1):
        connection = backend_connection.Connection()
        connection.connection_made(StubTransport())
        chunks = []

        async def read(connection=connection, chunks=chunks):
            await connection.send(request)
            while (chunk := await connection.next_chunk()) is not None:
                chunks.append(chunk)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            for begin in range(0, len(context.response), size):
                await anyio.lowlevel.checkpoint()
                await anyio.lowlevel.checkpoint()
                connection.data_received(
                    context.response[begin : begin + size]
                )
        context.results.append(
            (b''.join(chunks), connection.start_next_cycle())
        )


@behave.then('each time the body is whole and the connection may be reused')
def then_bodies_whole(context):
    assert context.results
    for result in context.results:
        assert result == (context.body, True), result


class IdleTransport(StubTransport):
    """The transport of a connection to a server that closes idle ones."""

    def __init__(self, connection, opened):
        self.connection = connection
        self.opened = opened

    def abort(self):
        self.opened.discard(self.connection)


@behave.given(
    'connections to a server that closes idle ones after {closes:g} s'
)
def given_idle_limit(context, closes):
    context.idle_limit = closes
    context.timers = timer_service.ManualTimers()
    context.pool = backend_connection.ConnectionPool(
        backend_client.MAX_IDLE_CONNECTIONS,
        backend_client.KEEP_ALIVE_SECONDS,
        backend_client.LONG_KEEP_ALIVE_SECONDS,
        context.timers,
    )


@behave.when('requests are {pause:g} s apart')
@in_fleet
async def when_requests_apart(context, pause):
    context.opened, context.most_idle = set(), 0
    context.news = [await run_together(context, 5)]
    for _ in range(9):
        for _ in range(round(pause / 0.5)):
            await context.timers.advance(0.5)
            close_idle(context)
        context.news.append(await run_together(context, 1))


def close_idle(context):
    """Closes what the server, and then the pool, would close."""
    now = context.timers.now()
    for one in list(context.pool.idle):
        if now - one.idle_since >= context.idle_limit:
            one.eof_received()
    context.pool.close_expired()
    idle = [one for one in context.pool.idle if now - one.idle_since > 3.0]
    context.most_idle = max(context.most_idle, len(idle))


async def run_together(context, count):
    """Runs requests at once; returns whether a connection was opened."""
    taken, is_new = [], False
    for _ in range(count):
        connection = context.pool.take_idle()
        if connection is None:
            is_new = True
            connection = backend_connection.Connection()
            connection.is_reusable = lambda one=connection: not one.has_ended
            connection.start_next_cycle = lambda: True
            connection.max_idle = backend_client.MAX_IDLE_CONNECTIONS
            connection.connection_made(
                IdleTransport(connection, context.opened)
            )
        taken.append(connection)
    for one in taken:
        context.pool.release(one)
    return is_new


@behave.then('{new:d} of 10 requests have a new connection')
def then_new_connections(context, new):
    assert sum(context.news) == new, context.news


@behave.then('at most {limit:d} connections are idle for more than 3 s')
def then_at_most_idle(context, limit):
    assert context.most_idle <= limit, context.most_idle
