"""Steps for entry VMs as processes whose backend servers misbehave."""

import asyncio
import contextlib
import dataclasses
import http.client
import io
import time

import anyio
import behave
import orjson

from features import crowd_world
from features.steps import broken_heads
from features.steps.callers import call
from features.steps import connections
from features.steps import crowds

FAR_HOST = f'127.{crowd_world.BLOCK}.0.10'
VM_HOSTS = {'home': crowd_world.ENTRY_HOST, 'forwarding': FAR_HOST}
# Far more than a response of the gateway itself.
MAX_READ_BYTES = 4 * 1024 * 1024
DEADLINE_SECONDS = 8.0
METHODS = {'GET': 'safe', 'short POST': 'unsafe', 'long POST': 'unsafe'}
UPLOADS = {'GET': 0, 'short POST': 7, 'long POST': 800_000}


def make_server(framing, part=b'', start=b''):
    server = broken_heads.StoppingServer('platform', '1.1', framing)
    server.part, server.start = part * 100, start
    return server


def make_resetting(framing):
    server = make_server(framing)
    server.resets_upload = True
    return server


def make_changing(old, new):
    server = make_server('a length')
    server.change = lambda response: response.replace(old, new, 1)
    return server


def make_endless_body(framing):
    server = make_server(framing)
    broken_heads.send_body_without_end(server)
    return server


def make_servers():
    """Returns a server for each way to misbehave, by service."""
    parts = broken_heads.ENDLESS_PARTS
    start = b'HTTP/1.1 200 OK\r\nX-First: '
    return {
        'reset-unframed': make_resetting('no length'),
        'reset-chunks': make_resetting('chunks'),
        'reset-length': make_resetting('a length'),
        'cut-length': make_changing(broken_heads.BODY, b'a whole'),
        'status-000': make_changing(b' 200 ', b' 000 '),
        'status-600': make_changing(b' 200 ', b' 600 '),
        'endless-informational': make_server(
            'a length', parts['informational responses']
        ),
        'endless-lines': make_server('a length', parts['header lines'], start),
        'endless-line': make_server(
            'a length', parts['one header line'], start
        ),
        'endless-noise': make_server(
            'a length', parts['bytes of no response']
        ),
        'endless-unframed': make_endless_body('no length'),
        'endless-chunks': make_endless_body('chunks'),
    }


class ForeignVms(crowd_world.PlatformVms):
    """VMs with a sound server and others that misbehave, all in one region.

    An entry VM of another region forwards what its clients send.

    :ivar are_sound: whether the servers do not misbehave yet.
    :ivar list_part: what the list of instances sends without end after
        ``list_start``, if not empty.
    :ivar list_reads: how often it has sent that.
    """

    def __init__(self, folder, machine):
        super().__init__(folder, machine)
        self.servers = make_servers()
        self.are_sound = True
        self.far = None
        self.services |= {
            name: f'127.{crowd_world.BLOCK}.1.{at}'
            for at, name in enumerate(self.servers, 1)
        }
        self.list_part = b''
        self.list_start = b''
        self.list_reads = 0

    def make_configuration(self):
        document = orjson.loads(crowd_world.make_configuration(2))
        route, service = document['routes'][0], document['services'][-1]
        for name in self.servers:
            document['services'].append(service | {'name': name})
            for kind in ('safe', 'unsafe'):
                change = {'name': f'{kind}-{name}', 'kind': kind}
                change |= {'service': name, 'pathPrefix': f'/{kind}/{name}/'}
                document['routes'].append(route | change)
        for one in document['routes']:
            one['homeRegions'] = ['a']
        return orjson.dumps(document)

    async def serve_list(self, request, reply):
        if not self.list_part:
            await super().serve_list(request, reply)
            return
        self.list_reads += 1
        await reply.stream.send(self.list_start)
        while True:
            await reply.stream.send(self.list_part)

    async def run_server(self, name, *, task_status):
        sound = make_server('a length')

        async def serve(stream):
            await (sound if self.are_sound else self.servers[name]).serve(
                stream
            )

        async with await anyio.create_tcp_listener(
            local_host=self.services[name], local_port=crowd_world.PORT
        ) as listener:
            task_status.started()
            await listener.serve(serve)

    @contextlib.asynccontextmanager
    async def started(self):
        async with super().started(), anyio.create_task_group() as tasks:
            for name in self.servers:
                await tasks.start(self.run_server, name)
            self.far = self.start('entry', FAR_HOST, 'b')
            try:
                await self.put_configuration(self.make_configuration())
                await crowd_world.wait_until(self.are_all_ready)
                yield self
            finally:
                self.far.kill()
                tasks.cancel_scope.cancel()

    @property
    def processes(self):
        return (self.control, self.entry, self.far)

    async def are_all_ready(self):
        """Returns whether each server is used from each entry VM."""
        self.are_sound = True
        results = [
            await self.request(host, '1.1', 'GET', f'/unsafe/{name}/x')
            for host in VM_HOSTS.values()
            for name in self.servers
        ]
        return all(one.status == 200 and one.is_whole for one in results)

    async def answers(self):
        """Returns whether each entry VM answers an ordinary request."""
        hosts = [crowd_world.ENTRY_HOST, *[FAR_HOST] * (self.far is not None)]
        results = [
            await self.request(host, '1.1', 'short POST', '/book/x')
            for host in hosts
        ]
        return all(one.status == 200 and one.is_whole for one in results)

    def make_request(self, version, method, path):
        head = self.head().decode().replace('30000', '8000')
        body = bytes(UPLOADS[method])
        line = f'{method.split()[-1]} {path} HTTP/{version}'
        lines = [line, *head.splitlines()[1:], 'Connection: close']
        if body:
            lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join([*lines, '', '']).encode() + body

    async def request(self, host, version, method, path):
        """Sends a request on a connection of its own, and reads the rest."""
        content = self.make_request(version, method, path)
        started_at = time.monotonic()
        received, ending = b'', 'an orderly close'
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                async with await anyio.connect_tcp(
                    host, crowd_world.PORT
                ) as stream:
                    with contextlib.suppress(anyio.BrokenResourceError):
                        # The response may have arrived nevertheless.
                        await stream.send(content)
                    while len(received) < MAX_READ_BYTES:
                        received += await stream.receive()
                    ending = 'its client'
        except anyio.EndOfStream:
            pass
        except TimeoutError:
            ending = 'the deadline'
        except (OSError, anyio.BrokenResourceError):
            ending = 'a reset'
        seconds = time.monotonic() - started_at
        return Result(path, received[:MAX_READ_BYTES], ending, seconds)


@dataclasses.dataclass(frozen=True)
class Result:
    """What a client received, and how its connection ended."""

    path: str
    received: bytes
    ending: str
    seconds: float

    @property
    def status(self):
        found = crowd_world.STATUS_LINE.match(self.received)
        return int(found[1]) if found else 0

    @property
    def is_whole(self):
        """Whether the client must take the response for whole."""
        response = http.client.HTTPResponse(FakeSocket(self.received))
        response.begin()
        is_framed = response.chunked or response.length is not None
        try:
            response.read()
        except http.client.IncompleteRead:
            return False
        return is_framed or self.ending == 'an orderly close'

    def __str__(self):
        return f'{self.path} {self.ending} {self.seconds:.2f} s ' + repr(
            self.received[:300]
        )


@dataclasses.dataclass(frozen=True)
class FakeSocket:
    content: bytes

    def makefile(self, mode):
        return io.BytesIO(self.content)


@behave.given(
    'entry VMs with {memory:d} MB whose backend servers misbehave, but one'
)
def given_vms(context, memory):
    crowds.start_vms(context, ForeignVms, memory, 4100)


@behave.when(
    'a client of HTTP/{version} sends each server requests at the {vm} VM'
)
def when_each(context, version, vm):
    host = VM_HOSTS[vm]

    async def run():
        return await asyncio.gather(
            *(
                context.vms.request(
                    host,
                    version,
                    method,
                    f'/{kind}/{name}/x',
                )
                for name in context.vms.servers
                for method, kind in METHODS.items()
            )
        )

    context.vms.are_sound = False
    context.results = call(context, run)


@behave.then('no client gets a whole response of a server that misbehaves')
def then_none_whole(context):
    assert len(context.results) == 36
    for one in context.results:
        assert one.status != 200 or not one.is_whole, str(one)


@behave.then('each gets an error or a cut response before its deadline')
def then_error_or_cut(context):
    for one in context.results:
        assert one.ending != 'the deadline', str(one)
        # A status that says not run would be wrong: the server ran it.
        is_error = one.status in (500, 502, 504) and one.is_whole
        assert is_error or one.status == 200, str(one)


@behave.then('each server is used again once it is sound')
def then_used_again(context):
    call(context, crowd_world.wait_until, context.vms.are_all_ready)


@behave.when(
    '{count:d} clients of HTTP/{version} that {reading} send requests to each'
    ' server without end at the {vm} VM'
)
def when_endless_crowd(context, count, version, reading, vm):
    vms = context.vms
    vms.are_sound = False
    context.target = {'home': vms.entry, 'forwarding': vms.far}[vm]
    address = (VM_HOSTS[vm], crowd_world.PORT)

    async def run():
        crowd = crowd_world.Crowd()
        context.crowds.append(crowd)
        for name in vms.servers:
            for at in range(count if name.startswith('endless') else 0):
                method, kind = list(METHODS.items())[at % 2]
                content = vms.make_request(
                    version, method, f'/{kind}/{name}/x'
                )
                crowd.add(address, [content], reading == 'read', True)
        await crowd.settle(context.target, crowd_world.RECONNECT_SECONDS)

    call(context, run)


@behave.then('no process has used more than its memory and descriptors')
def then_all_bounded(context):
    for context.target in context.vms.processes:
        crowds.then_bounded(context)


@behave.when('the list of instances is a {what} without end for {seconds:g} s')
def when_endless_list(context, what, seconds):
    vms = context.vms
    vms.list_start, vms.list_part, _ = connections.ENDLESS_PARTS[what]
    call(context, anyio.sleep, seconds)
    assert vms.list_reads > 1, vms.list_reads


@behave.then('the instances known before are used')
def then_known_used(context):
    call(context, crowd_world.wait_until, context.vms.are_all_ready)
