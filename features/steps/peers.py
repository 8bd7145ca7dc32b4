"""Steps for the streams between VMs."""

import asyncio
import contextlib
import itertools
import socket
import struct

import anyio
import behave
import msgpack

from features.steps.callers import call
from features import tcp_sockets
from greengagegw.adapters import frames
from greengagegw.adapters import handshake
from greengagegw.adapters import peer_mesh
from greengagegw.adapters import peer_socket
from greengagegw.adapters import peer_stream
from greengagegw import errors
from greengagegw.ports import peers as peer_port
from greengagegw import settings as settings_module
from greengagegw import timers
from standins import loopback_blocks
from standins import network

SECRET = 'a-secret-of-sixteen-or-more'  # noqa: S105
BLOCK = loopback_blocks.reserve_block()
HOST = f'127.{BLOCK}.1.1'
DIALLER_HOST = f'127.{BLOCK}.1.2'
PORT = 8082
TIMEOUT_SECONDS = 20.0
CHUNK = b'x' * 32768
CHUNK_COUNT = 64


def make_settings(vm, **changes):
    peers = [
        {
            'vm': name,
            'region': 'piedmont',
            'failure_domain': 'a',
            'host': host,
            'port': PORT,
            'callers_url': 'http://127.0.0.1',
            'disk': True,
        }
        for name, host in (('listener', HOST), ('dialler', DIALLER_HOST))
    ]
    content = {
        'deployment': 'guild',
        'vm': vm,
        'callers': {'host': HOST, 'port': 1},
        'operators': {'host': HOST, 'port': 1},
        'peers': peers,
        'peer_secret': SECRET,
        'data_folder': '/nowhere',
        **changes,
    }
    return settings_module.check(content, vm)


class Pair:
    """Two meshes; the listener has the handlers."""

    def __init__(self):
        self.timers = timers.ManualTimers()
        self.network = network.Network()
        self.listener = self.make('listener')
        self.dialler = self.make('dialler')
        self.network.attach(self.dialler)
        self.flood_stopped = anyio.Event()
        self.sent = 0
        handlers = self.listener.handlers
        handlers.calls['echo'] = self.echo
        handlers.calls['hang'] = self.hang
        handlers.calls['fail'] = self.fail
        handlers.streams['flood'] = self.flood

    def make(self, vm, **changes):
        return peer_mesh.PeerMesh(make_settings(vm, **changes), self.timers)

    async def echo(self, peer, message):
        return [peer, message]

    async def hang(self, peer, message):
        await anyio.sleep_forever()

    async def fail(self, peer, code):
        raise {
            'not_leader': errors.NotLeaderError('no', 'other'),
            'revision_conflict': errors.ConflictError('no', 7),
            'backend_refused': errors.BackendRefusedError('no'),
            'overloaded': errors.OverloadedError('no'),
            'outcome_unknown': errors.OutcomeUnknownError('no'),
            'internal_error': ValueError('no'),
        }[code]

    async def flood(self, peer, message, stream):
        try:
            for _ in range(CHUNK_COUNT):
                await stream.send(CHUNK)
                if message == 'counted':
                    self.sent += len(CHUNK)
        except (errors.PeerLostError, anyio.get_cancelled_exc_class()):
            self.flood_stopped.set()
            raise

    @contextlib.asynccontextmanager
    async def running(self):
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            await self.serve(self.listener, HOST)
            await self.serve(self.dialler, DIALLER_HOST)
            yield self
            tasks.cancel_scope.cancel()

    async def serve(self, mesh, host):
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=PORT
        )
        self.tasks.start_soon(mesh.run, listener.listeners[0])
        await anyio.lowlevel.checkpoint()

    async def call_error(self, method='echo', message=None, seconds=0.0):
        """Returns the error of a call while time passes, or None."""
        found = []

        async def send_call():
            try:
                await self.dialler.call('listener', method, message, 5.0)
            except errors.GatewayError as error:
                found.append(error)

        with anyio.fail_after(TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_call)
                while not found and seconds > 0:
                    await anyio.sleep(0.01)
                    await self.timers.advance(0.25)
                    seconds -= 0.25
        return found[0] if found else None

    async def call_echo(self):
        with anyio.fail_after(TIMEOUT_SECONDS):
            return await self.dialler.call('listener', 'echo', 'hello', 5.0)


@behave.given('two VMs, one of which accepts connections')
def start_pair(context):
    pair = Pair()
    manager = context.portal.wrap_async_context_manager(pair.running())
    context.pair = manager.__enter__()
    context.add_cleanup(lambda: manager.__exit__(None, None, None))


OTHER_VERSION = frames.PROTOCOL_VERSION + 1


def hello(version=frames.PROTOCOL_VERSION, deployment='guild', vm='dialler'):
    return frames.encode(frames.Kind.HELLO, version, deployment, vm, b'n' * 16)


def framed(body):
    return struct.pack('>I', len(body)) + body


FIRST_BYTES = {
    'a client that speaks another protocol': b'GET / HTTP/1.1\r\n\r\n',
    'a frame that claims 4 GiB': b'\xff\xff\xff\xff' + b'x' * 100,
    'a frame just over the limit': struct.pack('>I', 1024 * 1024 + 1),
    'a frame that is not msgpack': framed(b'\xc1\xc1'),
    'a frame of an unknown kind': framed(msgpack.packb([99, 1])),
    'a frame with too few values': framed(msgpack.packb([0, 1])),
    'a peer of another version': hello(version=OTHER_VERSION),
    'a peer of another deployment': hello(deployment='academy'),
    'a peer that skips the proof': hello()
    + frames.encode(frames.Kind.CALL, 1, 'echo', 'x'),
    'a peer that replays a recorded proof': hello()
    + frames.encode(frames.Kind.PROOF, b'p' * 32),
}


@behave.when('{client} connects to the peer listener')
def connect_client(context, client):
    async def connect():
        if client in FIRST_BYTES:
            stream = await anyio.connect_tcp(HOST, PORT)
            await stream.send(FIRST_BYTES[client])
            return stream
        wrong = {
            'a peer with another secret': ('dialler', SECRET + '!'),
            'a VM that is not a peer': ('stranger', SECRET),
        }[client]
        stream = await anyio.connect_tcp(HOST, PORT)
        reader = frames.FrameReader(stream, 65536)
        with contextlib.suppress(errors.PeerProtocolError):
            await handshake.authenticate_as_dialler(
                stream, reader, 'guild', wrong[0], 'listener', wrong[1]
            )
        await stream.send(frames.encode(frames.Kind.CALL, 1, 'echo', 'x'))
        return stream

    context.stream = call(context, connect)


# What follows the kind in frames after the handshake. Stream 1 is open.
MALFORMED_FRAMES = {
    'a call with a list as its ID': (frames.Kind.CALL, [1], 'echo', 'x'),
    'a call with a list as its method': (frames.Kind.CALL, 2, ['echo'], 'x'),
    'a reply with a list as its ID': (frames.Kind.REPLY, [1], True, 'x'),
    'data that is not bytes': (frames.Kind.DATA, 1, 7),
    'data that is not msgpack': (frames.Kind.DATA, 1, b'\xc1'),
    'a credit of text': (frames.Kind.CREDIT, 1, 'much'),
    'a reset without an error': (frames.Kind.RESET, 1, None),
    'a reset with an error without a message': (
        frames.Kind.RESET,
        1,
        {'code': 'overloaded'},
    ),
}


@behave.when('an authenticated peer sends {frame}')
def send_malformed(context, frame):
    async def connect():
        stream = await anyio.connect_tcp(HOST, PORT)
        reader = frames.FrameReader(stream, 65536)
        await handshake.authenticate_as_dialler(
            stream, reader, 'guild', 'dialler', 'listener', SECRET
        )
        await stream.send(frames.encode(frames.Kind.OPEN, 1, 'flood', None))
        await reader.receive()
        await stream.send(frames.encode(*MALFORMED_FRAMES[frame]))
        return stream

    context.stream = call(context, connect)


@behave.when('a frame of an authenticated peer takes {seconds:g} seconds')
def send_slowly(context, seconds):
    step = 0.25
    timers = context.pair.timers
    received = context.received = []

    async def receive(reader):
        while True:
            frame = await reader.receive()
            received.append((timers.now(), frame))

    async def send():
        stream = await anyio.connect_tcp(HOST, PORT)
        reader = frames.FrameReader(stream, 65536)
        await handshake.authenticate_as_dialler(
            stream, reader, 'guild', 'dialler', 'listener', SECRET
        )
        data = frames.encode(frames.Kind.CALL, 1, 'echo', 'x' * 48000)
        size = -(-len(data) // round(seconds / step))
        with anyio.fail_after(TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(receive, reader)
                context.began_at = timers.now()
                for at in range(0, len(data), size):
                    await stream.send(data[at : at + size])
                    await anyio.sleep(0.02)
                    await timers.advance(step)
                    await anyio.sleep(0.02)
                tasks.cancel_scope.cancel()

    call(context, send)


@behave.then(
    'the peer receives a frame at least every {seconds:g} seconds, and the'
    ' reply'
)
def check_frame_pauses(context, seconds):
    times = [context.began_at, *(at for at, _ in context.received)]
    pauses = [after - before for before, after in itertools.pairwise(times)]
    assert max(pauses) <= seconds, pauses
    assert context.received[-1][1].kind is frames.Kind.REPLY


@behave.when('a connection is opened')
def open_connection(context):
    pair = context.pair

    def count():
        live = [one for *_, one in pair.timers.pending if not one.cancelled]
        return len(live), len(asyncio.all_tasks())

    async def connect():
        before = count()
        await pair.call_echo()
        return [
            after - one for one, after in zip(before, count(), strict=True)
        ]

    context.added = call(context, connect)


@behave.then('it added no timer and one task at each end')
def check_added(context):
    assert context.added == [0, 2], context.added


@behave.when('a peer stops reading and messages of 32 KiB are posted to it')
def stop_reading(context):
    pair = context.pair
    context.received = []

    async def record(peer, message):
        context.received.append(message)

    async def post():
        pair.listener.handlers.calls['record'] = record
        await pair.call_echo()
        (context.accepted,) = pair.listener.accepted
        context.accepted.socket.transport.pause_reading()
        (context.connection,) = pair.dialler.dialled.values()
        # More than the buffers of the kernel at both ends.
        for _ in range(1000):
            pair.dialler.post('listener', 'record', CHUNK)
            await anyio.lowlevel.checkpoint()

    call(context, post)


@behave.then('less than 100 KiB wait to be written and the rest is dropped')
def check_unsent(context):
    transport = context.connection.socket.transport
    unsent = call(context, as_coroutine(transport.get_write_buffer_size))
    assert 0 < unsent < 100 * 1024, unsent


def as_coroutine(function):
    async def run():
        return function()

    return run


@behave.then(
    'a message that must not be dropped is sent once the peer reads again'
)
def check_waits(context):
    pair = context.pair

    async def notify():
        notified = anyio.Event()

        async def send():
            await pair.dialler.notify('listener', 'record', 'last')
            notified.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(0.05)
            has_waited = not notified.is_set()
            context.accepted.socket.transport.resume_reading()
            await pair.call_echo()
        return has_waited

    assert call(context, notify)
    assert context.received[-1] == 'last'
    assert len(context.received) < 1000, len(context.received)


@behave.when('a connection is idle for {seconds:d} seconds')
def stay_idle(context, seconds):
    pair = context.pair

    async def wait():
        await pair.call_echo()
        (context.idle,) = pair.dialler.dialled.values()
        (accepted,) = pair.listener.accepted
        ends = (context.idle, accepted)
        sent_before = sum(one.bytes_sent for one in ends)
        for _ in range(seconds * 4):
            await pair.timers.advance(0.25)
            # Lets the frames arrive, which the fake time does not wait for.
            await anyio.sleep(0.01)
        context.idle_bytes = sum(one.bytes_sent for one in ends) - sent_before
        context.idle_intervals = seconds / context.idle.heartbeat_seconds

    call(context, wait)


@behave.when('a call waits for {seconds:d} seconds on an idle connection')
def wait_on_idle(context, seconds):
    pair = context.pair

    async def wait():
        await pair.call_echo()
        (context.idle,) = pair.dialler.dialled.values()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pair.dialler.call, 'listener', 'hang', None, 60.0)
            for _ in range(seconds * 4):
                await pair.timers.advance(0.25)
                await anyio.sleep(0.01)
            context.was_closed = context.idle.is_closed
            tasks.cancel_scope.cancel()

    call(context, wait)


@behave.then('it is closed at both ends and the next call opens a new one')
def check_closed_unused(context):
    pair = context.pair
    assert context.idle.is_closed
    assert not pair.dialler.dialled and not pair.listener.accepted
    assert call(context, pair.call_echo) == ['dialler', 'hello']
    (connection,) = pair.dialler.dialled.values()
    assert connection is not context.idle


@behave.then('its connection is not closed')
def check_not_closed(context):
    assert not context.was_closed


@behave.then(
    'at most one ping and one pong were sent in each heartbeat interval'
)
def check_heartbeats(context):
    size = len(frames.encode(frames.Kind.PING))
    assert 0 < context.idle_bytes <= 2 * size * context.idle_intervals, (
        context.idle_bytes
    )


@behave.then('the connection is still in use')
def check_in_use(context):
    assert not context.idle.is_closed
    assert list(context.pair.dialler.dialled.values()) == [context.idle]


@behave.then('the connection is closed')
def check_closed(context):
    async def read():
        received = b''
        with anyio.fail_after(TIMEOUT_SECONDS):
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    received += await context.stream.receive()
        await context.stream.aclose()
        return received

    assert b'echo' not in call(context, read)


@behave.then('a real peer is still served')
def check_real_peer(context):
    assert call(context, context.pair.call_echo) == ['dialler', 'hello']


@behave.when('a VM dials a listener that {fault}')
def dial_faulty(context, fault):
    pair = context.pair
    pair.timers.time += 10

    async def dial():
        if fault == 'has another secret':
            pair.dialler.settings = make_settings(
                'dialler', peer_secret=SECRET + '!'
            )
        elif fault == 'has another name':
            pair.listener.settings = make_settings('dialler')
        elif fault == 'is closed':
            pair.network.cut(['dialler'], ['listener'])
        elif fault in ('has another version', 'sends nothing'):
            return await dial_fake_listener(pair, fault)
        return await pair.call_error()

    context.error = call(context, dial)


async def dial_fake_listener(pair, fault):
    """Dials a listener that does not complete the handshake."""

    async def serve(stream):
        async with stream:
            await stream.receive()
            if fault == 'has another version':
                await stream.send(
                    frames.encode(
                        frames.Kind.CHALLENGE,
                        OTHER_VERSION,
                        'listener',
                        b'',
                        b'',
                    )
                )
            await anyio.sleep_forever()

    fake = await anyio.create_tcp_listener(local_host=f'127.{BLOCK}.1.3')
    port = fake.extra(anyio.abc.SocketAttribute.local_port)
    pair.tasks.start_soon(fake.serve, serve)

    async def connect(host, _):
        return await peer_socket.connect(f'127.{BLOCK}.1.3', port)

    pair.dialler.connect_socket = connect
    return await pair.call_error(seconds=10.0)


@behave.then('the call fails as {code} and not run')
def check_not_run(context, code):
    assert context.error is not None
    assert context.error.code == code, context.error
    if code == 'peer_unreachable':
        assert context.error.run == errors.NOT_RUN


@behave.then('the call fails as {code}')
def check_fails(context, code):
    assert context.error is not None
    assert context.error.code == code, context.error


async def read_all(stream):
    size = 0
    with contextlib.suppress(anyio.EndOfStream):
        while True:
            size += len(await stream.receive())
    return size


@behave.when('a stream of 2 MiB is not read')
def leave_unread(context):
    pair = context.pair

    async def start():
        context.unread = pair.dialler.open('listener', 'flood', 'counted')
        await context.unread.__aenter__()

    call(context, start)


@behave.then('another stream of 2 MiB arrives completely')
def check_other_stream(context):
    pair = context.pair

    async def read():
        with anyio.fail_after(TIMEOUT_SECONDS):
            async with pair.dialler.open('listener', 'flood', '') as stream:
                return await read_all(stream)

    assert call(context, read) == len(CHUNK) * CHUNK_COUNT


@behave.then('the sender of the first has sent at most its credit')
def check_credit(context):
    sent = context.pair.sent
    assert 0 < sent <= peer_stream.WINDOW_BYTES + len(CHUNK), sent


@behave.when('a peer sends more than its credit')
def exceed_credit(context):
    pair = context.pair

    async def send():
        # The listener's handler never reads, so it gives no credit.
        async def ignore(peer, message, stream):
            await anyio.sleep_forever()

        pair.listener.handlers.streams['ignore'] = ignore
        async with pair.dialler.open('listener', 'ignore', '') as stream:
            stream.credit = 10**9
            with anyio.fail_after(TIMEOUT_SECONDS):
                while True:
                    await stream.send(CHUNK)

    try:
        call(context, send)
    except errors.GatewayError as error:
        context.error = error


@behave.then('the connection is lost and a new one works')
def check_lost(context):
    assert context.error.code == 'peer_lost', context.error
    assert call(context, context.pair.call_echo) == ['dialler', 'hello']


@behave.when('a call gets no reply and {seconds:d} seconds pass')
def call_without_reply(context, seconds):
    context.error = call(
        context, context.pair.call_error, 'hang', None, seconds + 1.0
    )


@behave.given('a connection on which nothing arrives')
def block_replies(context):
    pair = context.pair
    call(context, pair.call_echo)
    context.connection = pair.dialler.dialled['listener']
    pair.network.cut_one_way(['listener'], ['dialler'])


@behave.when('a call is made and {seconds:d} seconds pass')
def call_silent(context, seconds):
    pair = context.pair
    context.connection.silence_seconds = 2.0
    context.error = call(context, pair.call_error, 'echo', 'x', float(seconds))


@behave.given(
    'all sockets have keep-alive probes and a TCP_USER_TIMEOUT of {seconds:d}'
    ' seconds'
)
def given_user_timeout(context, seconds):
    found = 0
    for one in tcp_sockets.open_sockets():
        with one:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            one.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, seconds * 1000
            )
            found += 1
    assert found >= 2, found


@behave.then('the next call succeeds on a new connection')
def check_new_connection(context):
    context.pair.network.heal()
    assert call(context, context.pair.call_echo) == ['dialler', 'hello']
    assert context.pair.dialler.dialled['listener'] is not context.connection


@behave.when('a reader closes a stream early')
def close_stream_early(context):
    async def leave():
        async with context.pair.dialler.open(
            'listener', 'flood', ''
        ) as stream:
            await stream.receive()

    call(context, leave)


@behave.then('the handler is stopped')
def check_handler_stopped(context):
    async def wait():
        with anyio.fail_after(TIMEOUT_SECONDS):
            await context.pair.flood_stopped.wait()

    call(context, wait)


@behave.when('a handler fails with {code}')
def fail_with(context, code):
    context.error = call(context, context.pair.call_error, 'fail', code)


@behave.then('the error arrives as {code} with run {run}')
def check_error(context, code, run):
    assert context.error is not None
    assert (context.error.code, context.error.run) == (code, run)


METHODS = {
    'a method': 'record',
    'a method that fails': 'record_and_fail',
    'a method that never waits': 'record_at_once',
    'such a method that fails': 'fail_at_once',
    'an unknown method': 'nothing',
}


@behave.when('a message is sent to {method} without a reply')
def notify(context, method):
    pair = context.pair
    context.received = []

    async def record(peer, message):
        context.received.append((peer, message))

    async def record_and_fail(peer, message):
        context.received.append((peer, message))
        raise errors.OverloadedError('no')

    @peer_port.never_waits
    async def record_at_once(peer, message):
        await record(peer, message)

    @peer_port.never_waits
    async def fail_at_once(peer, message):
        await record_and_fail(peer, message)

    async def count_reply_bytes():
        """Returns the bytes that the listener sends for one call."""
        before = pair.listener.total_bytes_sent
        await pair.call_echo()
        return pair.listener.total_bytes_sent - before

    async def send():
        pair.listener.handlers.calls['record'] = record
        pair.listener.handlers.calls['record_and_fail'] = record_and_fail
        pair.listener.handlers.calls['record_at_once'] = record_at_once
        pair.listener.handlers.calls['fail_at_once'] = fail_at_once
        await pair.call_echo()
        context.reply_bytes = await count_reply_bytes()
        before = pair.listener.total_bytes_sent
        await pair.dialler.notify('listener', METHODS[method], 'news')
        await count_reply_bytes()
        context.sent_back_bytes = pair.listener.total_bytes_sent - before

    call(context, send)


@behave.when('a message is posted without a connection')
def post_unconnected(context):
    pair = context.pair
    context.received = []

    async def record(peer, message):
        context.received.append((peer, message))

    async def send():
        pair.listener.handlers.calls['record'] = record
        # The second is dropped, since the first has not been sent yet.
        for _ in range(2):
            pair.dialler.post('listener', 'record', 'news')
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not context.received:
                await anyio.sleep(0.01)
        await pair.call_echo()
        pair.dialler.post('listener', 'record', 'more')
        await pair.call_echo()

    call(context, send)


@behave.then('the other VM receives it once, and a later one at once')
def check_posted(context):
    assert [message for _, message in context.received] == ['news', 'more']


@behave.when('a message is posted to a VM that is down')
def post_to_lost(context):
    async def send():
        context.pair.dialler.post('nowhere', 'record', 'news')
        await anyio.sleep(0.05)

    call(context, send)


@behave.then('the sender goes on')
def check_goes_on(context):
    assert call(context, context.pair.call_echo) == ['dialler', 'hello']
    assert not context.pair.dialler.posting_to


@behave.then(
    'the other VM has received it {count:d} times and sent nothing back'
)
def check_received(context, count):
    assert context.received == [('dialler', 'news')] * count
    assert context.sent_back_bytes == context.reply_bytes
