"""Steps for backend servers that stop in the middle of a response."""

import contextlib
import dataclasses
import re
import socket
import ssl
import struct

import anyio
import anyio.abc
import behave

from features import fleet_world
from features.steps.fleet import in_fleet
from features.steps import late_calls
from greengagegw.adapters import backend_http
from greengagegw import errors
from greengagegw.platform import backend_client
from greengagegw.platform import client_application
from greengagegw.serving import ports
from greengagegw import settings as settings_module
from greengagegw import timers as timer_service
from standins import loopback_blocks

HOST = f'127.{loopback_blocks.reserve_block()}.1.1'
PORT = 8080
REQUEST_ID = re.compile(
    rb'(?:x-request-id|greengagegw-attempt-id): (\S+)', re.IGNORECASE
)
LENGTH = re.compile(rb'content-length: (\d+)', re.IGNORECASE)
BODY = b'a whole body\n'
CHUNKED_BODY = b'7\r\na whole\r\n6\r\n body\n\r\n0\r\n\r\n'
EARLY_HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n'
FRAMING_HEADERS = {
    'a length': [b'Content-Length: %d' % len(BODY)],
    'a length behind an informational head': [
        b'Content-Length: %d' % len(BODY)
    ],
    'chunks': [b'Transfer-Encoding: chunked'],
    'no length': [],
}
CALL_SECONDS = 5.0


@dataclasses.dataclass(frozen=True)
class Result:
    """What the caller of a broken response got.

    :ivar body: None if it got an error.
    :ivar is_ended_by_close: None if the interface does not tell.
    """

    sent: bytes
    body: bytes | None
    is_ended_by_close: bool | None


class StoppingServer:
    """A backend server whose last response on a connection is cut short.

    :ivar whole_count: responses before it on a connection.
    :ivar part: what it sends after ``start`` without end, if not empty.
    :ivar starts_body: whether ``start`` is the head of its response.
    """

    def __init__(self, interface, version, framing):
        self.interface = interface
        self.version = version
        self.framing = framing
        self.whole_count = 0
        self.change = bytes
        self.sent = b''
        self.start = b''
        self.part = b''
        self.starts_body = False
        self.sent_bytes = 0
        self.resets_upload = False

    def head_lines(self, name):
        lines = [b'HTTP/%s 200 OK' % self.version.encode()]
        if self.interface == 'platform':
            lines.append(b'Greengagegw-Attempt-Id: ' + name)
            lines.append(b'Greengagegw-Server-Stamp: s')
        else:
            lines.append(b'X-Request-Id: ' + name)
        lines.append(b'Content-Type: text/plain')
        return lines + FRAMING_HEADERS[self.framing]

    def response(self, name):
        body = CHUNKED_BODY if self.framing == 'chunks' else BODY
        whole = b'\r\n'.join([*self.head_lines(name), b'', body])
        if self.framing.endswith('informational head'):
            whole = EARLY_HINTS + whole
        return whole

    async def serve(self, stream):
        received = b''
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            async with stream:
                for count in range(self.whole_count + 1):
                    while b'\r\n\r\n' not in received:
                        received += await stream.receive()
                    if self.resets_upload:
                        await self.reset(stream, received)
                        return
                    head, _, received = received.partition(b'\r\n\r\n')
                    length = LENGTH.search(head)
                    size = int(length.group(1)) if length else 0
                    while len(received) < size:
                        received += await stream.receive()
                    received = received[size:]
                    name = REQUEST_ID.search(head).group(1)
                    if self.starts_body:
                        lines = [*self.head_lines(name), b'', b'']
                        self.start = b'\r\n'.join(lines)
                    if self.part:
                        await stream.send(self.start)
                    while self.part:
                        await stream.send(self.part)
                        self.sent_bytes += len(self.part)
                    response = self.response(name)
                    if count == self.whole_count:
                        response = self.sent = self.change(response)
                    await stream.send(response)

    async def reset(self, stream, received):
        """Sends a part of a response, and resets the connection."""
        name = REQUEST_ID.search(received).group(1)
        body = CHUNKED_BODY[:12] if self.framing == 'chunks' else b'a part'
        await stream.send(b'\r\n'.join([*self.head_lines(name), b'', body]))
        await anyio.sleep(0.05)
        connection = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        # A close without lingering sends a reset.
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        await anyio.aclose_forcefully(stream)


@behave.given(
    'a backend server of the {interface} interface whose response has'
    ' HTTP/{version} and {framing}'
)
def given_server(context, interface, version, framing):
    context.server = StoppingServer(interface, version, framing)
    context.results = []


@contextlib.asynccontextmanager
async def serving(context):
    """Runs the server and timers, and enters a function that calls it."""
    timers = timer_service.Timers()
    listener = await anyio.create_tcp_listener(
        local_host=HOST, local_port=PORT
    )
    make_call = call_platform
    if context.server.interface == 'own':
        make_call = call_own
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run)
        tasks.start_soon(listener.serve, context.server.serve)
        yield timers, make_call
        tasks.cancel_scope.cancel()


async def read_at_once(chunks):
    return b''.join([one async for one in chunks])


async def call_platform(
    timers, method, count, upload=b'content', read=read_at_once
):
    """Sends requests one after another; returns the last outcome."""
    client = backend_client.BackendClient(timers)
    instance = fleet_world.instance(address=f'{HOST}:{PORT}')
    for at in range(count):
        body = None
        scope = {
            'method': method,
            'path': '/',
            'raw_path': b'/',
            'query_string': b'',
            'headers': [
                (b'host', b'h.example'),
                (b'greengagegw-attempt-id', b'r-%d' % at),
            ],
        }
        content = upload if method == 'POST' else b''
        request = client_application.decode_request(scope, content)
        backend_request = ports.BackendRequest(
            request, None, 3.0, 0, None, method == 'GET'
        )
        is_ended_by_close = False
        with contextlib.suppress(errors.BackendError):
            async with client.send(
                instance, backend_request, lambda notice: None
            ) as response:
                is_ended_by_close = response.ends_by_close
                body = await read(response.chunks)
    client.prune_pools(())
    return body, is_ended_by_close


async def call_own(
    timers, method, count, upload=b'content', read=read_at_once
):
    """Sends calls one after another; returns the last outcome."""
    backend = backend_http.HttpBackend(
        settings_module.BackendServer(
            name='i-1', service='s', region='a', url=f'http://{HOST}:{PORT}'
        ),
        settings_module.Timeouts(),
        timers,
        'd',
        ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT),
    )
    for at in range(count):
        body = None
        content = upload if method == 'POST' else b''
        call = late_calls.make_call(f'r-{at}', content, method == 'GET')
        with contextlib.suppress(errors.BackendError):
            async with backend.send(
                dataclasses.replace(call, method=method, kind='plain')
            ) as response:
                body = await read(response.chunks)
    await backend.close()
    return body, None


async def run_changes(context, method, changes):
    """Calls the server once for each change of its last response."""
    server = context.server
    calls = server.whole_count + 1
    if server.whole_count and server.interface == 'own':
        # Connections are kept once a response has returned an ID.
        calls += 1
    async with serving(context) as (timers, make_call):
        for change in changes:
            server.change = change
            with anyio.fail_after(CALL_SECONDS):
                body, is_ended_by_close = await make_call(
                    timers, method, calls
                )
            context.results.append(
                Result(server.sent, body, is_ended_by_close)
            )


@behave.when(
    'it closes after each number of bytes of its response to a {method} on a'
    ' {connection} connection'
)
@in_fleet
async def when_cut(context, method, connection):
    context.server.whole_count = int(connection == 'kept')
    name = b'r-%d' % context.server.whole_count
    size = len(context.server.response(name))
    context.server.sent = None

    def cut(end):
        return lambda response: response[:end]

    await run_changes(context, method, [cut(end) for end in range(size + 1)])
    # The last one is not cut.
    assert None not in [one.sent for one in context.results]
    assert context.results[-1].body == BODY, context.results[-1]


@behave.when(
    'it leaves out each line of the head of its response to a {method}'
)
@in_fleet
async def when_line_lost(context, method):
    count = len(context.server.head_lines(b'r-0'))

    def leave_out(number, end):
        def change(response):
            lines = response.split(b'\r\n')
            del lines[number]
            return b'\r\n'.join(lines)[: -end or None]

        return change

    await run_changes(
        context,
        method,
        [
            leave_out(number, end)
            for number in range(count)
            for end in range(3)
        ],
    )


@behave.then(
    'no caller gets a response, but a whole one or a body that an orderly'
    ' close ended'
)
def then_no_short_body(context):
    assert any(one.body is None for one in context.results)
    for one in context.results:
        if one.body is None or one.body == BODY:
            continue
        head, _, sent_body = one.sent.partition(b'\r\n\r\n')
        has_framing = re.search(
            rb'content-length|transfer-encoding', one.sent, re.IGNORECASE
        )
        assert not has_framing and one.is_ended_by_close is not False, one
        assert head and one.body == sent_body, one


@behave.when(
    'its response to a {method} has each of the statuses 000, 042, 099, 600,'
    ' 999 and 1000'
)
@in_fleet
async def when_odd_status(context, method):
    def with_status(status):
        return lambda response: response.replace(b' 200 ', status, 1)

    statuses = (b' 000 ', b' 042 ', b' 099 ', b' 600 ', b' 999 ', b' 1000 ')
    await run_changes(context, method, [with_status(one) for one in statuses])


ENDLESS_PARTS = {
    'informational responses': b'HTTP/1.1 100 Continue\r\n\r\n',
    'header lines': b'X-Noise: 1\r\n',
    'one header line': b'noise',
    'bytes of no response': b'\x00\xffnoise',
}


@behave.when('it sends {what} without end as the response to a {method}')
@in_fleet
async def when_endless(context, what, method):
    part = ENDLESS_PARTS[what]
    start = b''
    if what.endswith('line') or what.endswith('lines'):
        start = b'HTTP/1.1 200 OK\r\nX-First: '
    context.server.start, context.server.part = start, part * 100
    async with serving(context) as (timers, make_call):
        started_at = timers.now()
        with anyio.fail_after(CALL_SECONDS):
            body, is_ended_by_close = await make_call(timers, method, 1)
        context.seconds = timers.now() - started_at
        context.results.append(Result(b'', body, is_ended_by_close))


@behave.when('it sends {count:d} informational responses before its response')
@in_fleet
async def when_few_informational(context, count):
    await run_changes(
        context, 'GET', [lambda response: EARLY_HINTS * count + response]
    )


@behave.when(
    'it sends a part of its response and resets the connection during an'
    ' upload of {size:d} bytes'
)
@in_fleet
async def when_upload_reset(context, size):
    context.server.resets_upload = True
    async with serving(context) as (timers, make_call):
        with anyio.fail_after(CALL_SECONDS):
            body, is_ended_by_close = await make_call(
                timers, 'POST', 1, bytes(size)
            )
        context.results.append(Result(b'', body, is_ended_by_close))


def send_body_without_end(server):
    server.starts_body = True
    server.part = bytes(8192)
    if server.framing == 'chunks':
        server.part = b'2000\r\n%s\r\n' % bytes(8192)


@behave.when(
    'it sends a body without end to a caller that reads nothing for'
    ' {seconds:g} s'
)
@in_fleet
async def when_body_without_end(context, seconds):
    server = context.server
    send_body_without_end(server)

    async def read_nothing(chunks):
        await anyio.sleep(seconds)

    async with serving(context) as (timers, make_call):
        await make_call(timers, 'GET', 1, read=read_nothing)


@behave.then('it could send less than a tenth of the {size:d} MB of a VM')
def then_little_sent(context, size):
    assert 0 < context.server.sent_bytes < size * 1e6 / 10


@behave.then('no caller gets a response')
def then_no_response(context):
    assert context.results
    for one in context.results:
        assert one.body is None, one


@behave.then('no caller gets a response, and each gets an error within 1 s')
def then_no_response_in_time(context):
    then_no_response(context)
    assert context.seconds <= 1.0, context.seconds


@behave.then('each caller gets the whole response')
def then_whole(context):
    assert [one.body for one in context.results] == [BODY], context.results
