"""Steps for servers that respond twice, the second time late."""

import collections
import contextlib
import dataclasses
import os
import random
import re
import socket

import anyio
import anyio.abc
import behave
import eliot

from features import fleet_world
from features import serving_world
from features.steps.fleet import in_fleet
from greengagegw.adapters import backend_connection
from greengagegw import errors
from greengagegw.platform import backend_client
from greengagegw.platform import client_application
from greengagegw.serving import ports
from greengagegw.serving import prompts
from greengagegw import timers as timer_service
from standins import loopback_blocks

HOST = f'127.{loopback_blocks.reserve_block()}.1.1'
PORT = 8080
REQUEST_TIMEOUT_SECONDS = 5.0
# A late copy has arrived after this time on the loopback device.
LATE_SECONDS = 0.01
# More than the socket buffers of the loopback device, so that the client is
# still sending when the server writes the copy.
LARGE_BODY = b'x' * (8 * 1024 * 1024)
REQUEST_ID = re.compile(rb'greengagegw-attempt-id: (\S+)')
CONTENT_LENGTH = re.compile(rb'content-length: (\d+)')
STAMP = b'Greengagegw-Server-Stamp: s\r\n'
NOT_EXECUTED = b'Greengagegw-Not-Executed: full\r\n'
CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
KINDS = ('safe', 'unsafe', 'streaming')


def make_rejection(status, name=None, is_marked=True, pause=b'3'):
    return (
        b'HTTP/1.1 %d Rejected\r\n' % status
        + (b'Greengagegw-Attempt-Id: %s\r\n' % name if name else b'')
        + (NOT_EXECUTED if is_marked else b'')
        + STAMP
        + b'Retry-After: %s\r\nContent-Length: 0\r\n\r\n' % pause
    )


def make_response(name, body):
    return (
        b'HTTP/1.1 200 OK\r\nGreengagegw-Attempt-Id: %s\r\n%s'
        b'Content-Length: %d\r\n\r\n%s' % (name, STAMP, len(body), body)
    )


COPIES = {
    'the response': lambda name, response: response,
    'a rejection without an ID': lambda name, response: make_rejection(503),
    'a rejection of the earlier request': (
        lambda name, response: make_rejection(503, name)
    ),
    'a rejection by another instance': (
        lambda name, response: make_rejection(421)
    ),
    'a response without an ID': (
        lambda name, response: (
            b'HTTP/1.1 200 OK\r\n' + STAMP + b'Content-Length: 4\r\n\r\nlate'
        )
    ),
    'an informational response': (
        lambda name, response: b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
    ),
    'bytes that are no response': lambda name, response: b'\r\n\0late\r\n',
}


@dataclasses.dataclass(slots=True)
class ServerConnection:
    """A connection as the server sees it.

    :ivar copy: what the server writes late, empty for nothing.
    """

    stream: anyio.abc.SocketStream
    copy: bytes = b''

    def write_at_once(self):
        """Writes the copy so that it is in the buffers of the client."""
        raw = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        with socket.socket(fileno=os.dup(raw.fileno())) as one:
            copy, self.copy = self.copy, b''
            one.send(copy)


class LateServer:
    """A backend server that writes a late copy at one moment.

    :ivar ran: names of the requests that it ran.
    :ivar connections: by the port of the client.
    :ivar make_copy: returns the copy for the name and response of a request.
    """

    def __init__(self, moment):
        self.moment = moment
        self.ran = []
        self.ports = []
        self.connections = {}
        self.make_copy = COPIES['the response']

    async def serve(self, stream):
        port = stream.extra(anyio.abc.SocketAttribute.remote_port)
        connection = self.connections[port] = ServerConnection(stream)
        with contextlib.suppress(*CONNECTION_ERRORS):
            async with stream:
                received = b''
                while True:
                    received = await self.serve_request(connection, received)

    async def serve_request(self, connection, received):
        """Serves one request; returns what was received behind it."""
        stream = connection.stream
        while b'\r\n\r\n' not in received:
            received += await stream.receive()
        head, _, body = received.partition(b'\r\n\r\n')
        if self.moment == 'while a body is sent' and connection.copy:
            await stream.send(connection.copy)
            await anyio.sleep(LATE_SECONDS)
        length = CONTENT_LENGTH.search(head.lower())
        length = int(length[1]) if length else 0
        parts, size = [body], len(body)
        while size < length:
            parts.append(await stream.receive())
            size += len(parts[-1])
        body = b''.join(parts)
        name = self.find_id(head)
        self.ran.append(name.decode())
        self.ports.append(stream.extra(anyio.abc.SocketAttribute.remote_port))
        response = self.respond(head, name, body[:length])
        if self.moment == 'before the next response' and connection.copy:
            response = connection.copy + response
        connection.copy = self.make_copy(name, response)
        if self.moment == 'behind a complete response':
            response += connection.copy
        await stream.send(response)
        if self.moment == 'while the connection is idle':
            await anyio.sleep(LATE_SECONDS / 2)
            await stream.send(connection.copy)
        return body[length:]

    def find_id(self, head):
        return REQUEST_ID.search(head.lower())[1]

    def respond(self, head, name, body):
        if b'streaming' in head:
            chunks = b''.join(
                b'%x\r\n%s\r\n' % (len(one), one)
                for one in (name, b'-', body[:100], b'-') * 3
                if one
            )
            return (
                b'HTTP/1.1 200 OK\r\nGreengagegw-Attempt-Id: %s\r\n%s'
                b'Transfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n'
                % (name, STAMP, chunks)
            )
        return make_response(name, name + b'-' + body[:100])


def expected_body(kind, name, body):
    if kind == 'streaming':
        one = name.encode() + b'-' + body[:100] + b'-'
        return one * 3
    return name.encode() + b'-' + body[:100]


class RejectingServer(LateServer):
    """Responds to the first request if it is to keep the connection.

    All other requests are rejected.
    """

    def __init__(self, status, headers):
        super().__init__('never')
        self.status = status
        self.headers = headers
        self.accepted_names = set()

    def respond(self, head, name, body):
        if name.decode() in self.accepted_names:
            return make_response(name, name + b'-')
        return make_rejection(
            self.status,
            name if 'the ID' in self.headers else None,
            'the mark' in self.headers,
        )


@behave.given('a backend server that writes a late copy {moment}')
def given_late(context, moment):
    context.late_server = LateServer(moment)


@behave.given(
    'a backend server that rejects requests with status {status:d} and'
    ' {headers}'
)
def given_rejecting(context, status, headers):
    context.late_server = RejectingServer(
        status, headers.replace('only the mark', 'the mark')
    )


@contextlib.asynccontextmanager
async def connected_client(context):
    """Enters a client and the instance that is the scenario's server."""
    timers = timer_service.Timers()
    client = backend_client.BackendClient(timers)
    instance = fleet_world.instance(address=f'{HOST}:{PORT}')
    listener = await anyio.create_tcp_listener(
        local_host=HOST, local_port=PORT
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run)
        tasks.start_soon(listener.serve, context.late_server.serve)
        yield client, instance
        client.prune_pools(())
        tasks.cancel_scope.cancel()


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A request as its client saw it.

    :ivar received: the body, or the error.
    """

    label: str
    name: str
    expected: bytes
    received: bytes | errors.GatewayError
    notices: tuple[ports.ServerNotice, ...]


async def send(client, instance, name, kind='safe', body=b'', label=''):
    scope = {
        'method': 'GET' if kind == 'safe' and not body else 'POST',
        'path': f'/{kind}',
        'raw_path': f'/{kind}'.encode(),
        'query_string': b'',
        'headers': [
            (b'host', b'h.example'),
            (b'greengagegw-attempt-id', name.encode()),
        ],
    }
    request = client_application.decode_request(scope, body)
    backend_request = ports.BackendRequest(
        request, None, 3.0, False, None, kind != 'unsafe'
    )
    notices = []
    try:
        with anyio.fail_after(REQUEST_TIMEOUT_SECONDS):
            async with client.send(
                instance, backend_request, notices.append
            ) as response:
                received = b''.join([one async for one in response.chunks])
    except errors.BackendError as error:
        received = error
    expected = expected_body(kind, name, body)
    return Sent(label, name, expected, received, tuple(notices))


@contextlib.contextmanager
def copy_after_check(server):
    """Has a server write its copy right after the check of a connection."""
    is_reusable = backend_connection.Connection.is_reusable

    def check(connection):
        result = is_reusable(connection)
        port = connection.transport.get_extra_info('sockname')[1]
        found = server.connections.get(port)
        if result and found is not None and found.copy:
            found.write_at_once()
        return result

    backend_connection.Connection.is_reusable = check
    try:
        yield
    finally:
        backend_connection.Connection.is_reusable = is_reusable


@behave.when('safe, unsafe and streaming requests follow one another there')
@in_fleet
async def when_late_requests(context):
    server = context.late_server
    context.sent = []
    between = server.moment == 'between the check and the send'
    async with connected_client(context) as (client, instance):
        with copy_after_check(server) if between else contextlib.nullcontext():
            for label, make_copy in COPIES.items():
                # Each copy meets a client that has seen none before.
                client.prune_pools(())
                server.make_copy = make_copy
                for number, kind in enumerate(KINDS * 3):
                    is_large = server.moment == 'while a body is sent'
                    body = b'%d' % number + (LARGE_BODY if is_large else b'')
                    name = f'r-{len(context.sent)}'
                    context.sent.append(
                        await send(client, instance, name, kind, body, label)
                    )
                    await anyio.sleep(LATE_SECONDS)


@behave.then(
    'each gets its whole own response, or an error of unknown outcome'
)
def then_own_or_unknown(context):
    assert context.sent
    for one in context.sent:
        if isinstance(one.received, errors.GatewayError):
            assert one.received.run == errors.UNKNOWN, one
        else:
            assert one.received == one.expected, one
    assert len(set(context.late_server.ran)) == len(context.late_server.ran)


@behave.then('{count} of them get an error')
def then_failing(context, count):
    failed = [
        one
        for one in context.sent
        if isinstance(one.received, errors.GatewayError)
    ]
    if count == 'none':
        assert not failed, failed[0]
        return
    # The outcomes of copies that say nothing of another request.
    assert 0 < len(failed) < len(context.sent) / 2, len(failed)
    assert not any(one.label.startswith('an info') for one in failed), failed


@behave.when('a request is sent on a {connection} connection')
@in_fleet
async def when_on_connection(context, connection):
    async with connected_client(context) as (client, instance):
        if connection == 'kept':
            context.late_server.accepted_names.add('r-0')
            first = await send(client, instance, 'r-0')
            assert first.received == first.expected, first
        context.sent = [await send(client, instance, 'r-1')]
    assert len(context.late_server.connections) == 1


@behave.then('its outcome is {outcome}')
def then_outcome(context, outcome):
    error = context.sent[0].received
    expected = {'not run': errors.NOT_RUN, 'unknown': errors.UNKNOWN}[outcome]
    assert error.run == expected, error


@behave.then('nothing is known of the server from its response')
def then_nothing_known(context):
    assert context.sent[0].notices == (ports.ServerNotice(),), context.sent


@behave.when(
    '{count:d} requests with the same ID and other bodies follow one another'
    ' there'
)
@in_fleet
async def when_same_id(context, count):
    context.sent = []
    async with connected_client(context) as (client, instance):
        for number in range(count):
            body = f'body {number}'.encode()
            context.sent.append(
                await send(client, instance, 'r-0', 'safe', body)
            )


@behave.then('each gets the response to its own body')
def then_own_bodies(context):
    for one in context.sent:
        assert one.received == one.expected, one


@behave.then('the server accepted {count:d} late-response connections')
def then_accepted(context, count):
    assert len(context.late_server.connections) == count


@behave.when(
    '{count:d} safe requests follow one another there after the first copy'
)
@in_fleet
async def when_after_first(context, count):
    context.logged = []
    eliot.add_destinations(context.logged.append)
    context.logged.clear()
    context.sent = []
    try:
        async with connected_client(context) as (client, instance):
            for number in range(count + 1):
                context.sent.append(
                    await send(client, instance, f'r-{number}')
                )
                await anyio.sleep(LATE_SECONDS)
            context.idle = [len(one.idle) for one in client.pools.values()]
    finally:
        eliot.remove_destination(context.logged.append)


@behave.then('each of these {count:d} requests has a connection of its own')
def then_single_use(context, count):
    ports_used = context.late_server.ports
    assert len(ports_used) == count + 1
    assert len(set(ports_used)) == len(ports_used), ports_used
    assert context.idle == [0], context.idle


@behave.then('the dropped copies are logged with the name of the server')
def then_copies_logged(context):
    logged = [
        one
        for one in context.logged
        if one.get('message_type') == 'backend:foreign_response'
    ]
    assert logged and {one['server'] for one in logged} == {'i-1'}, logged


# Servers that stutter at random, behind a real dispatcher.

ROUTES = {'safe': '/safe/', 'unsafe': '/unsafe/', 'streaming': '/chat/'}
PROMPT = prompts.Prompt('m', 10, 80, (prompts.Segment('own', 10),))
EVENT_COUNT = 4
# Parts of the requests; the others get one response.
STUTTER_SHARE = 0.15
REJECTED_SHARE = 0.05
BROKEN_SHARE = 0.03
CONCURRENT_REQUESTS = 24
RUN_LIMIT_SECONDS = 60.0


class StutteringServer(LateServer):
    """Writes copies of what it has written earlier, at random moments.

    :ivar written: what it wrote on any connection, for copies.
    """

    def __init__(self, name, rng):
        super().__init__('at random')
        self.name = name
        self.rng = rng
        self.rejections = [make_rejection(503), make_rejection(421)]

    def draw_copy(self, name, response):
        kind = self.rng.choice(list(COPIES))
        copy = COPIES[kind](name, response)
        if kind == 'a rejection without an ID':
            copy = self.rng.choice(self.rejections)
        return copy

    async def serve_request(self, connection, received):
        stream, rng = connection.stream, self.rng
        while b'\r\n\r\n' not in received:
            received += await stream.receive()
        head, _, body = received.partition(b'\r\n\r\n')
        length = CONTENT_LENGTH.search(head.lower())
        length = int(length[1]) if length else 0
        while len(body) < length:
            body += await stream.receive()
        name = REQUEST_ID.search(head.lower())[1]
        if connection.copy:
            await stream.send(connection.copy)
            connection.copy = b''
        draw = rng.random()
        if draw < REJECTED_SHARE:
            rejection = make_rejection(
                503, rng.choice((name, None)), pause=b'0'
            )
            self.rejections.append(rejection)
            await stream.send(rejection)
            return body[length:]
        self.ran.append(name.decode())
        if draw < REJECTED_SHARE + BROKEN_SHARE:
            raise anyio.EndOfStream
        response = self.respond(head, name, body[:length])
        moment = 'never'
        if rng.random() < STUTTER_SHARE:
            moment = rng.choice(('behind', 'idle', 'next'))
        copy = self.draw_copy(name, response)
        if moment == 'next':
            connection.copy = copy
        await stream.send(response + (copy if moment == 'behind' else b''))
        if moment == 'idle':
            await anyio.sleep(rng.random() * LATE_SECONDS)
            await stream.send(copy)
        return body[length:]

    def respond(self, head, name, body):
        if not head.startswith(b'POST /chat/'):
            return make_response(name, name + b'-' + body)
        resume_after = re.search(rb'last-event-id: (\d+)', head.lower())
        first = int(resume_after[1]) + 1 if resume_after else 1
        events = [
            make_event(name, number)
            for number in range(first, EVENT_COUNT + 1)
        ]
        is_broken = self.rng.random() < BROKEN_SHARE
        if is_broken:
            events = events[: self.rng.randrange(len(events))]
        chunks = b''.join(b'%x\r\n%s\r\n' % (len(one), one) for one in events)
        if is_broken:
            # A copy is written in place of the other events.
            chunks += make_rejection(503)
        return (
            b'HTTP/1.1 200 OK\r\nGreengagegw-Attempt-Id: %s\r\n%s'
            b'Transfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n'
            % (name, STAMP, chunks)
        )


def make_event(name, number):
    return b'id: %d\ndata: %s %d\n\n' % (number, name, number)


class SocketWorld(serving_world.ServingWorld):
    """An entry VM in real time, with servers on the loopback device."""

    def __init__(self, count, seed):
        self.real_timers = timer_service.Timers()
        self.client = backend_client.BackendClient(self.real_timers)
        super().__init__(
            {'a': (count, 1)},
            seed,
            [
                fleet_world.route(
                    name=kind,
                    pathPrefix=prefix,
                    kind=kind,
                    resumable=kind == 'streaming',
                    maxAttempts=3,
                )
                for kind, prefix in ROUTES.items()
            ],
        )

    def add_engine(self, name, domain, service='engine', slots=64):
        super().add_engine(name, domain, service, slots)
        engine = self.engines[name]
        if service == 'engine':
            address = f'{HOST}:{PORT + int(name[3:])}'
            engine.instance = dataclasses.replace(
                engine.instance, address=address
            )

    def add_dispatcher(self, entry):
        self.timers = self.real_timers
        super().add_dispatcher(entry)
        dispatcher = self.dispatchers[entry.vm]
        dispatcher.backend = self.client


@behave.given(
    '{count:d} backend servers that stutter at random, with seed {seed:d}'
)
@in_fleet
async def given_stuttering(context, count, seed):
    context.seed = seed
    context.late_servers = [
        StutteringServer(f'i-a{at}', random.Random(seed * 100 + at))
        for at in range(count)
    ]


@behave.given('connections are used again {seconds:g} seconds after a copy')
def given_reuse(context, seconds):
    usual = backend_connection.SINGLE_USE_SECONDS
    context.add_cleanup(
        setattr, backend_connection, 'SINGLE_USE_SECONDS', usual
    )
    backend_connection.SINGLE_USE_SECONDS = seconds


@behave.when('{count:d} random requests are sent through an entry VM')
@in_fleet
async def when_random_requests(context, count):
    rng = random.Random(context.seed)
    context.kinds = {}
    requests = []
    world = SocketWorld(len(context.late_servers), context.seed)
    for number in range(count):
        kind = rng.choice(KINDS)
        request = world.request(
            number,
            f'{ROUTES[kind]}x',
            PROMPT if kind == 'streaming' else None,
            body=b'{"number": %d}' % number,
        )
        headers = (
            (b'host', b'h.example'),
            (b'greengagegw-attempt-id', request.request_id.encode()),
        )
        requests.append(dataclasses.replace(request, headers=headers))
        context.kinds[request.request_id] = kind
    async with contextlib.AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        for at, server in enumerate(context.late_servers):
            listener = await stack.enter_async_context(
                await anyio.create_tcp_listener(
                    local_host=HOST, local_port=PORT + at
                )
            )
            tasks.start_soon(listener.serve, server.serve)
        tasks.start_soon(world.timers.run)
        await stack.enter_async_context(world.running())
        pending = iter(requests)

        async def send_next():
            for request in pending:
                await world.send_request('a0', request)

        with anyio.fail_after(RUN_LIMIT_SECONDS):
            async with anyio.create_task_group() as senders:
                for _ in range(CONCURRENT_REQUESTS):
                    senders.start_soon(send_next)
        world.client.prune_pools(())
        tasks.cancel_scope.cancel()
    context.requests = {one.request_id: one for one in requests}
    context.outcomes = world.outcomes
    context.ran = collections.Counter(
        name for one in context.late_servers for name in one.ran
    )


@behave.then('each client gets its own whole response, or an error')
def then_clients_own(context):
    assert len(context.outcomes) == len(context.requests)
    for one in context.outcomes:
        name = one.request_id.encode()
        if one.error is not None:
            continue
        if context.kinds[one.request_id] == 'streaming':
            expected = b''.join(
                make_event(name, number)
                for number in range(1, EVENT_COUNT + 1)
            )
        else:
            expected = name + b'-' + context.requests[one.request_id].body
        assert one.body == expected, one


@behave.then('no request that may run only once ran twice')
def then_none_twice(context):
    twice = [
        name
        for name, count in context.ran.items()
        if count > 1 and context.kinds[name] == 'unsafe'
    ]
    assert not twice, twice


@behave.then('no request that ran is reported as not run')
def then_none_misreported(context):
    for one in context.outcomes:
        if one.error is not None and one.error.run == errors.NOT_RUN:
            assert one.request_id not in context.ran, one


@behave.then('most clients get a response')
def then_most_served(context):
    failed = [one for one in context.outcomes if one.error is not None]
    print(len(failed), 'of', len(context.outcomes), 'requests failed')
    assert len(failed) < len(context.outcomes) / 5, failed[:3]
