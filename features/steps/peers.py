"""Steps on the streams between VMs."""

import contextlib
import struct

import anyio
import behave
import msgpack

from features.steps.callers import call
from greengagegw.adapters import frames
from greengagegw.adapters import handshake
from greengagegw.adapters import peer_mesh
from greengagegw.adapters import peer_stream
from greengagegw import errors
from greengagegw import settings as settings_module
from greengagegw import timers
from standins import loopback_blocks
from standins import network

SECRET = 'a-secret-of-sixteen-or-more'  # noqa: S105
BLOCK = loopback_blocks.reserve_block()
HOST = f'127.{BLOCK}.1.1'
OTHER_HOST = f'127.{BLOCK}.1.2'
PORT = 8082
WAIT_SECONDS = 20.0
CHUNK = b'x' * 32768
CHUNKS = 64


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
        for name, host in (('listener', HOST), ('dialler', OTHER_HOST))
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
    """Two meshes, of which the listener serves."""

    def __init__(self):
        self.timers = timers.ManualTimers()
        self.network = network.Network()
        self.listener = self.make('listener')
        self.dialler = self.make('dialler')
        self.network.attach(self.dialler)
        self.stopped = anyio.Event()
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
            for _ in range(CHUNKS):
                await stream.send(CHUNK)
                if message == 'counted':
                    self.sent += len(CHUNK)
        except (errors.PeerLostError, anyio.get_cancelled_exc_class()):
            self.stopped.set()
            raise

    @contextlib.asynccontextmanager
    async def running(self):
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            await self.serve(self.listener, HOST)
            await self.serve(self.dialler, OTHER_HOST)
            yield self
            tasks.cancel_scope.cancel()

    async def serve(self, mesh, host):
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=PORT
        )
        self.tasks.start_soon(mesh.run, listener.listeners[0])
        await anyio.lowlevel.checkpoint()

    async def fails(self, method='echo', message=None, seconds=0.0):
        """Returns the error with which a call fails, time passing."""
        found = []

        async def ask():
            try:
                await self.dialler.call('listener', method, message, 5.0)
            except errors.GatewayError as error:
                found.append(error)

        with anyio.fail_after(WAIT_SECONDS):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                while not found and seconds > 0:
                    await anyio.sleep(0.01)
                    await self.timers.advance(0.25)
                    seconds -= 0.25
        return found[0] if found else None

    async def works(self):
        with anyio.fail_after(WAIT_SECONDS):
            return await self.dialler.call('listener', 'echo', 'hello', 5.0)


@behave.given('two VMs, one of which can be dialled')
def make_pair(context):
    pair = Pair()
    manager = context.portal.wrap_async_context_manager(pair.running())
    context.pair = manager.__enter__()
    context.add_cleanup(lambda: manager.__exit__(None, None, None))


OTHER_VERSION = frames.PROTOCOL_VERSION + 1


def hello(version=frames.PROTOCOL_VERSION, deployment='guild', vm='dialler'):
    return frames.encode(frames.Kind.HELLO, version, deployment, vm, b'n' * 16)


def framed(body):
    return struct.pack('>I', len(body)) + body


OPENINGS = {
    'a client that sends bytes of no protocol': b'GET / HTTP/1.1\r\n\r\n',
    'a frame that claims 4 GiB': b'\xff\xff\xff\xff' + b'x' * 100,
    'a frame just over the limit': struct.pack('>I', 1024 * 1024 + 1),
    'a frame that is not msgpack': framed(b'\xc1\xc1'),
    'a frame of an unknown kind': framed(msgpack.packb([99, 1])),
    'a frame of wrong shape': framed(msgpack.packb([0, 1])),
    'a peer of another version': hello(version=OTHER_VERSION),
    'a peer of another deployment': hello(deployment='academy'),
    'a peer that skips the proof': hello()
    + frames.encode(frames.Kind.CALL, 1, 'echo', 'x'),
    'a peer that repeats a recorded proof': hello()
    + frames.encode(frames.Kind.PROOF, b'p' * 32),
}


@behave.when('{intruder} connects to the peer listener')
def intrude(context, intruder):
    async def connect():
        if intruder in OPENINGS:
            stream = await anyio.connect_tcp(HOST, PORT)
            await stream.send(OPENINGS[intruder])
            return stream
        wrong = {
            'a peer with another secret': ('dialler', SECRET + '!'),
            'a VM that is no peer': ('stranger', SECRET),
        }[intruder]
        stream = await anyio.connect_tcp(HOST, PORT)
        reader = frames.FrameReader(stream, 65536)
        with contextlib.suppress(errors.PeerProtocolError):
            await handshake.authenticate_as_dialler(
                stream, reader, 'guild', wrong[0], 'listener', wrong[1]
            )
        await stream.send(frames.encode(frames.Kind.CALL, 1, 'echo', 'x'))
        return stream

    context.stream = call(context, connect)


@behave.then('the connection is closed')
def check_closed(context):
    async def read():
        received = b''
        with anyio.fail_after(WAIT_SECONDS):
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    received += await context.stream.receive()
        await context.stream.aclose()
        return received

    assert b'echo' not in call(context, read)


@behave.then('a true peer is still served')
def check_peer(context):
    assert call(context, context.pair.works) == ['dialler', 'hello']


@behave.when('a VM dials a listener that {fault}')
def dial_wrong(context, fault):
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
        elif fault in ('has another version', 'says nothing'):
            return await dial_fake(pair, fault)
        return await pair.fails()

    context.error = call(context, dial)


async def dial_fake(pair, fault):
    """Dials a listener that does not speak as this version does."""

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
        return await anyio.connect_tcp(f'127.{BLOCK}.1.3', port)

    pair.dialler.connect_socket = connect
    return await pair.fails(seconds=10.0)


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
def not_read(context):
    pair = context.pair

    async def start():
        context.unread = pair.dialler.open('listener', 'flood', 'counted')
        await context.unread.__aenter__()

    call(context, start)


@behave.then('another stream of 2 MiB arrives whole')
def check_other_stream(context):
    pair = context.pair

    async def read():
        with anyio.fail_after(WAIT_SECONDS):
            async with pair.dialler.open('listener', 'flood', '') as stream:
                return await read_all(stream)

    assert call(context, read) == len(CHUNK) * CHUNKS


@behave.then('the sender of the first holds at most its credit')
def check_credit(context):
    sent = context.pair.sent
    assert 0 < sent <= peer_stream.WINDOW_BYTES + len(CHUNK), sent


@behave.when('a peer sends more than its credit')
def overrun(context):
    pair = context.pair

    async def send():
        # The listener's handler never reads, so no credit comes back.
        async def ignore(peer, message, stream):
            await anyio.sleep_forever()

        pair.listener.handlers.streams['ignore'] = ignore
        async with pair.dialler.open('listener', 'ignore', '') as stream:
            stream.credit = 10**9
            with anyio.fail_after(WAIT_SECONDS):
                while True:
                    await stream.send(CHUNK)

    try:
        call(context, send)
    except errors.GatewayError as error:
        context.error = error


@behave.then('the connection is lost and a new one works')
def check_lost(context):
    assert context.error.code == 'peer_lost', context.error
    assert call(context, context.pair.works) == ['dialler', 'hello']


@behave.when('a call is not answered and {seconds:d} seconds pass')
def unanswered(context, seconds):
    context.error = call(
        context, context.pair.fails, 'hang', None, seconds + 1.0
    )


@behave.given('the connection has gone silent')
def go_silent(context):
    pair = context.pair
    call(context, pair.works)
    context.before = pair.dialler.dialled['listener']
    pair.network.cut_one_way(['listener'], ['dialler'])


@behave.when('a call is made and {seconds:d} seconds pass')
def call_silent(context, seconds):
    pair = context.pair
    context.before.silence_seconds = 2.0
    context.error = call(context, pair.fails, 'echo', 'x', float(seconds))


@behave.then('the next call is answered on a new connection')
def check_new(context):
    context.pair.network.heal()
    assert call(context, context.pair.works) == ['dialler', 'hello']
    assert context.pair.dialler.dialled['listener'] is not context.before


@behave.when('a reader leaves a stream')
def leave_stream(context):
    async def leave():
        async with context.pair.dialler.open(
            'listener', 'flood', ''
        ) as stream:
            await stream.receive()

    call(context, leave)


@behave.then('the writer is stopped')
def check_writer(context):
    async def wait():
        with anyio.fail_after(WAIT_SECONDS):
            await context.pair.stopped.wait()

    call(context, wait)


@behave.when('a handler fails with {code}')
def fail_with(context, code):
    context.error = call(context, context.pair.fails, 'fail', code)


@behave.then('the error arrives as {code} with run {run}')
def check_error(context, code, run):
    assert context.error is not None
    assert (context.error.code, context.error.run) == (code, run)


NOTIFIED = {
    'a method': 'note',
    'a method that fails': 'note_and_fail',
    'a method that is none': 'nothing',
}


@behave.when('a message is sent for {what} without an answer')
def notify(context, what):
    pair = context.pair
    context.noted = []

    async def note(peer, message):
        context.noted.append((peer, message))

    async def note_and_fail(peer, message):
        context.noted.append((peer, message))
        raise errors.OverloadedError('no')

    async def answered():
        """Returns what the listener sends for one call."""
        before = pair.listener.total_bytes_sent
        await pair.works()
        return pair.listener.total_bytes_sent - before

    async def send():
        pair.listener.handlers.calls['note'] = note
        pair.listener.handlers.calls['note_and_fail'] = note_and_fail
        await pair.works()
        context.usual_bytes = await answered()
        before = pair.listener.total_bytes_sent
        await pair.dialler.notify('listener', NOTIFIED[what], 'news')
        await answered()
        context.bytes_back = pair.listener.total_bytes_sent - before

    call(context, send)


@behave.then('the other VM has got {count:d} of it, and nothing came back')
def check_notified(context, count):
    assert context.noted == [('dialler', 'news')] * count
    assert context.bytes_back == context.usual_bytes
