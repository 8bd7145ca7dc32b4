"""Clients that do not behave, and the processes that they connect to.

The processes run on loopback addresses, on machines whose memory and
descriptors their settings state. A crowd stays connected until it is ended.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import re
import socket
import subprocess
import sys
import time

import anyio
import httpx
import orjson
import yaml

from features import fleet_world
from standins import deployment as deployments
from standins import http_server
from standins import loopback_blocks

ROOT = pathlib.Path(__file__).parent.parent
BLOCK = loopback_blocks.reserve_block()
CONTROL_HOST = f'127.{BLOCK}.0.1'
ENTRY_HOST = f'127.{BLOCK}.0.9'
LIST_HOST = f'127.{BLOCK}.0.7'
BACKEND_HOST = f'127.{BLOCK}.0.8'
OTHER_BACKEND_HOST = f'127.{BLOCK}.0.6'
PORT, SECOND_PORT, METRICS_PORT = 8080, 8081, 9464
INTERNAL_PORTS = (7600, 7615)
BYTES_PER_MEGABYTE = 1_000_000
BODY_BYTES = 1024 * 1024
TIMEOUT_SECONDS = 60.0
# A crowd that neither sends nor receives for so long has settled.
QUIET_SECONDS = 2.0
SETTLE_TIMEOUT_SECONDS = 45.0
# Clients that connect again never settle.
RECONNECT_SECONDS = 3.0
STATUS_LINE = re.compile(rb'HTTP/1\.[01] (\d{3}) ')
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True)
class Machine:
    """What a process may use, as its settings state it."""

    memory_megabytes: int
    descriptors: int


class Backend:
    """A plain backend server that may keep its requests waiting.

    :ivar executed_ids: IDs of the requests that it ran.
    :ivar answer: body of its responses.
    """

    def __init__(self) -> None:
        self.executed_ids: list[str] = []
        self.answer = b'done'
        self.is_open = anyio.Event()
        self.is_open.set()

    async def serve(self, request, reply):
        headers = request.headers
        request_id = headers.get('greengagegw-attempt-id', '')
        self.executed_ids.append(request_id)
        if len(request.body) > BODY_BYTES // 2:
            await self.is_open.wait()
        pairs = (
            ('Greengagegw-Attempt-Id', request_id),
            ('Greengagegw-Server-Stamp', 'signed'),
        )
        await reply.send_response(200, self.answer, pairs)


def make_configuration(version: int = 1, padding: int = 0) -> bytes:
    """Returns a configuration; padding adds so many routes."""
    routes = [
        fleet_world.route(
            name=f'r-{at}',
            kind='unsafe',
            service='desk',
            pathPrefix='/book/' if at == 0 else f'/route-{at}/',
            timeoutMs=30000,
            homeRegions=[],
        )
        for at in range(1 + padding)
    ]
    routes.append(
        routes[0]
        | {'name': 'r-other', 'pathPrefix': '/other/', 'service': 'other'}
    )
    document = fleet_world.document(version, routes=routes)
    desk = document['services'][-1]
    document['services'].append(desk | {'name': 'other'})
    document['limits']['maxBodyBytes'] = BODY_BYTES
    for one in document['services']:
        one['maxConns'] = 400
    return orjson.dumps(document)


class Process:
    """A process whose memory and descriptors are watched.

    :ivar peak_descriptors: the most that were seen open.
    """

    def __init__(self, machine, arguments, log) -> None:
        self.machine = machine
        self.log = log
        with open(log, 'w') as output:
            self.process = subprocess.Popen(
                arguments, stdout=output, stderr=subprocess.STDOUT
            )
        self.folder = pathlib.Path(f'/proc/{self.process.pid}')
        self.peak_descriptors = 0

    @property
    def is_alive(self) -> bool:
        return self.process.poll() is None

    def count_descriptors(self) -> int:
        count = len(list((self.folder / 'fd').iterdir()))
        self.peak_descriptors = max(self.peak_descriptors, count)
        return count

    @property
    def peak_bytes(self) -> int:
        """The highest resident memory since the start."""
        status = (self.folder / 'status').read_text()
        return int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) * 1024

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()


class PlatformVms:
    """A control VM and an entry VM of the platform."""

    def __init__(self, folder: pathlib.Path, machine: Machine) -> None:
        self.folder = folder
        self.machine = machine
        self.services = {'desk': BACKEND_HOST, 'other': OTHER_BACKEND_HOST}
        self.backend = Backend()
        self.other_backend = Backend()
        self.ordinary_path = '/book/seat'
        self.request_count = 0

    @contextlib.asynccontextmanager
    async def started(self):
        async with anyio.create_task_group() as tasks:
            for host, handler in (
                (LIST_HOST, self.serve_list),
                (BACKEND_HOST, self.backend.serve),
                (OTHER_BACKEND_HOST, self.other_backend.serve),
            ):
                await tasks.start(http_server.Server(host, PORT, handler).run)
            self.control = self.start('control', CONTROL_HOST)
            self.entry = self.start('entry', ENTRY_HOST)
            try:
                await self.put_configuration(make_configuration())
                await wait_until(self.answers)
                yield self
            finally:
                self.entry.kill()
                self.control.kill()
                tasks.cancel_scope.cancel()

    async def serve_list(self, request, reply):
        entries = [
            {
                'id': f'i-{service}',
                'service': service,
                'address': f'{host}:{PORT}',
                'zone': 'a-1',
                'slots': 400,
                'state': 'ready',
                'coldLeftMs': 0,
            }
            for service, host in self.services.items()
        ]
        content = {'instances': entries, 'nextToken': None}
        await reply.send_response(200, orjson.dumps(content))

    def start(self, role: str, host: str, region: str = 'a') -> Process:
        file = self.folder / f'{role}-{region}.conf'
        file.write_text(self.make_settings(role, host, region))
        program = str(ROOT / 'deploy' / 'greengagegw.py')
        return Process(
            self.machine,
            [sys.executable, program, 'platform', role]
            + ['--settings', str(file)],
            file.with_suffix('.log'),
        )

    def make_settings(self, role: str, host: str, region: str) -> str:
        names = ('front', 'ready')
        if role == 'control':
            names = ('control', 'directory')
        lines = [
            f'nodeName={role}-{region}',
            f'ip={host}',
            f'zone={region}-1',
            f'region={region}',
            'zones.a-1=a',
            'zones.b-1=b',
            f'internalPortRange={INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}',
            f'seeds={CONTROL_HOST}:{PORT}',
            'bootstrap=true',
            'faultTolerance.machines=0',
            f'cloud.address={LIST_HOST}:{PORT}',
            f'listen.{names[0]}={host}:{PORT}',
            f'listen.{names[1]}={host}:{SECOND_PORT}',
            f'limits.memoryMb={self.machine.memory_megabytes}',
            f'limits.maxFds={self.machine.descriptors}',
        ]
        if role == 'control':
            lines.append(f'dataDir={self.folder / "data"}')
        return '\n'.join(lines) + '\n'

    async def put_configuration(self, content: bytes) -> None:
        async def is_accepted():
            response = await request(
                'PUT', f'http://{CONTROL_HOST}:{PORT}/-/config', content
            )
            return response.status_code == 200

        await wait_until(is_accepted)

    def head(self, host: str = ENTRY_HOST, key: str = 'key-1') -> bytes:
        """Returns the first lines of a request, with an ID of its own."""
        self.request_count += 1
        lines = [
            'POST /book/seat HTTP/1.1',
            'Host: h.example',
            f'Greengagegw-Attempt-Id: r-{self.request_count}',
            'Greengagegw-Deadline-Ms: 30000',
            f'Greengagegw-Credential: {key}',
        ]
        return '\r\n'.join(lines).encode() + b'\r\n'

    async def answers(self) -> bool:
        """Returns whether an ordinary request is answered."""
        self.request_count += 1
        headers = {
            'Host': 'h.example',
            'Greengagegw-Attempt-Id': f'ordinary-{self.request_count}',
            'Greengagegw-Deadline-Ms': '30000',
            'Greengagegw-Credential': 'key-1',
        }
        response = await request(
            'POST',
            f'http://{ENTRY_HOST}:{PORT}{self.ordinary_path}',
            b'x',
            headers,
        )
        return response.status_code == 200

    async def answers_operators(self) -> bool:
        """Returns whether an order and a lookup are answered."""
        url = f'http://{CONTROL_HOST}:{PORT}/-/config'
        accepted = await request('PUT', url, make_configuration(2))
        read = await request('GET', url)
        found = await request(
            'GET',
            f'http://{CONTROL_HOST}:{SECOND_PORT}/-/resolve?name=h.example'
            '&region=a&zone=a-1',
        )
        statuses = [one.status_code for one in (accepted, read, found)]
        return statuses == [200, 200, 200]

    async def is_ready(self) -> bool:
        """Returns whether readiness and metrics are answered."""
        for port, path in ((SECOND_PORT, '/-/readyz'), (9464, '/metrics')):
            url = f'http://{ENTRY_HOST}:{port}{path}'
            if (await request('GET', url)).status_code != 200:
                return False
        return True


OWN_SPEC = deployments.DeploymentSpec(
    'crowd',
    {'piedmont': 1},
    {},
    {'entry-desk': {'piedmont': 1}},
    slots=400,
)
TABLE = """kind,name,weight,rate,burst,limit,home,bound,end
organisation,orchard,1,1000000000,1000000000,,piedmont,,
service,entry-desk,1,,,,,,
"""


class OwnVm:
    """A VM that serves the gateway's own interface."""

    def __init__(self, folder: pathlib.Path, machine: Machine) -> None:
        self.folder = folder
        self.machine = machine
        limits = {
            'body_bytes': BODY_BYTES,
            'memory_megabytes': machine.memory_megabytes,
            'descriptors': machine.descriptors,
        }
        self.deployment = deployments.Deployment(
            dataclasses.replace(OWN_SPEC, limits=limits),
            folder,
            block=loopback_blocks.reserve_block(),
        )
        self.name = 'piedmont-1'
        self.key = ''

    @contextlib.asynccontextmanager
    async def started(self):
        async with anyio.create_task_group() as tasks:
            for one in self.deployment.plain_services.values():
                await tasks.start(one.run)
            file = self.folder / 'vm.yaml'
            file.write_text(
                yaml.safe_dump(self.deployment.settings_content(self.name))
            )
            self.entry = Process(
                self.machine,
                [sys.executable, str(ROOT / 'deploy' / 'greengagegw.py')]
                + ['serve', '--settings', str(file)],
                self.folder / 'vm.log',
            )
            try:
                await self.configure()
                yield self
            finally:
                self.entry.kill()
                tasks.cancel_scope.cancel()

    async def configure(self) -> None:
        url = self.deployment.operator_url(self.name) + '/admin'
        token = f'Bearer {deployments.OPERATOR_TOKEN}'
        headers = {'authorization': token, 'if-match': '"0"'}

        async def is_accepted():
            response = await request(
                'PUT', f'{url}/table', TABLE.encode(), headers
            )
            return response.status_code == 200

        await wait_until(is_accepted)
        response = await request(
            'POST', f'{url}/keys', b'{"organisation":"orchard"}', headers
        )
        self.key = response.json()['key']
        await wait_until(self.answers)

    @property
    def address(self) -> tuple[str, int]:
        host = self.deployment.client_url(self.name).removeprefix('http://')
        return host.partition(':')[0], deployments.CLIENT_PORT

    @property
    def operator_address(self) -> tuple[str, int]:
        return self.address[0], deployments.OPERATOR_PORT

    def head(self, host: str = '', key: str = 'key-1') -> bytes:
        key = self.key if key == 'key-1' else key
        lines = [
            'POST /services/entry-desk/entries HTTP/1.1',
            'Host: h.example',
            f'Authorization: Bearer {key}',
        ]
        return '\r\n'.join(lines).encode() + b'\r\n'

    async def answers(self) -> bool:
        response = await request(
            'POST',
            self.deployment.client_url(self.name)
            + '/services/entry-desk/entries',
            b'{}',
            {'authorization': f'Bearer {self.key}'},
        )
        return response.status_code == 201

    async def answers_operators(self) -> bool:
        token = f'Bearer {deployments.OPERATOR_TOKEN}'
        response = await request(
            'GET',
            self.deployment.operator_url(self.name) + '/admin/table',
            headers={'authorization': token},
        )
        return response.status_code == 200


async def request(method, url, content=b'', headers=None):
    """Sends a request on a connection of its own.

    :returns: the response, with status 0 if there is none.
    """
    try:
        async with httpx.AsyncClient(
            trust_env=False, timeout=TIMEOUT_SECONDS
        ) as client:
            return await client.request(
                method, url, content=content, headers=headers
            )
    except httpx.HTTPError as error:
        return httpx.Response(
            0, text=repr(error), request=httpx.Request(method, url)
        )


async def wait_until(condition) -> None:
    with anyio.fail_after(TIMEOUT_SECONDS):
        while not await condition():
            await anyio.sleep(0.1)


class Crowd:
    """Clients that stay connected until they are ended.

    :ivar statuses: status of the response of each client that got one, by
        the text that it sent first.
    :ivar closed: clients whose connection was closed or reset.
    """

    def __init__(self) -> None:
        self.tasks: list[asyncio.Task] = []
        self.statuses: dict[bytes, int] = {}
        self.closed = 0
        self.progressed_at = time.monotonic()

    def add(self, address, parts, reads=True, reconnects=False) -> None:
        """Adds a client.

        :param parts: what it sends, in order.
        :param reads: whether it reads responses.
        :param reconnects: whether it connects again when it is closed.
        """
        run = self.run_again if reconnects else self.run_client
        self.tasks.append(
            asyncio.get_running_loop().create_task(run(address, parts, reads))
        )

    async def run_again(self, address, parts, reads) -> None:
        while True:
            await self.run_client(address, parts, reads)

    async def run_client(self, address, parts, reads) -> None:
        connection = socket.socket()
        connection.setblocking(False)
        if not reads:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        loop = asyncio.get_running_loop()
        with contextlib.closing(connection):
            try:
                await loop.sock_connect(connection, address)
                reader = loop.create_task(
                    self.read(connection, b''.join(parts[:1]), reads)
                )
                try:
                    for part in parts:
                        await loop.sock_sendall(connection, part)
                        self.progressed_at = time.monotonic()
                except OSError:
                    # The response may have arrived nevertheless.
                    pass
                await reader
            except OSError:
                self.closed += 1

    async def read(self, connection, first_part, reads) -> None:
        if not reads:
            await asyncio.sleep(3600)
        received = b''
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await loop.sock_recv(connection, 65536)
            except OSError:
                data = b''
            self.progressed_at = time.monotonic()
            if not data:
                self.closed += 1
                return
            if len(received) < 65536:
                received += data
            found = STATUS_LINE.findall(received)
            if found:
                self.statuses[first_part] = int(found[-1])

    async def settle(self, process: Process, seconds: float) -> None:
        """Waits until no client makes progress.

        :param seconds: for which it waits at most.
        """
        self.progressed_at = time.monotonic()
        with anyio.move_on_after(seconds):
            while time.monotonic() - self.progressed_at < QUIET_SECONDS:
                await asyncio.sleep(0.05)
                if process.is_alive:
                    process.count_descriptors()

    async def end(self) -> None:
        for one in self.tasks:
            one.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


# What each client of a kind sends, after the first lines of the head.


def make_whole_body(size: int = BODY_BYTES) -> list[bytes]:
    return [b'Content-Length: %d\r\n\r\n' % size, b'x' * size]


def make_unfinished_body() -> list[bytes]:
    head, body = make_whole_body()
    return [head, body[:-1024]]


def make_pieces() -> list[bytes]:
    head, body = make_unfinished_body()
    size = 4096
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return [head, *pieces]


def make_chunks(chunk_bytes: int, total_bytes: int) -> list[bytes]:
    """Returns a chunked body that lacks its last chunk."""
    chunk = b'%x\r\n' % chunk_bytes + b'x' * chunk_bytes + b'\r\n'
    count = total_bytes // chunk_bytes
    return [b'Transfer-Encoding: chunked\r\n\r\n', chunk * count]


def make_unfinished_head() -> list[bytes]:
    return [b'X-Padding: ' + b'x' * 15000]


def make_nothing() -> list[bytes]:
    return []


def make_pipeline() -> list[bytes]:
    """Returns the rest of one request, and more that follow it."""
    follower = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 8192\r\n\r\n'
    follower += b'x' * 8192
    return [b'Content-Length: 1\r\n\r\nx', follower * 64]


def make_values() -> list[bytes]:
    """Returns a JSON body whose values take many times its size."""
    body = (
        b'{"version":9,"routes":[' + b'[],' * (BODY_BYTES // 3 - 10) + b'1]}'
    )
    return [b'Content-Length: %d\r\n\r\n' % len(body), body]


def make_unfinished_frame() -> list[bytes]:
    """Returns a frame between VMs that lacks its end."""
    return [(16 * 1024 * 1024 - 1).to_bytes(4, 'big'), b'x' * 4 * BODY_BYTES]


LARGE_CHUNK_BYTES = 65536
KINDS = {
    'unfinished bodies': make_unfinished_body,
    'unfinished bodies in pieces': make_pieces,
    'unfinished bodies in large chunks': lambda: make_chunks(
        LARGE_CHUNK_BYTES, BODY_BYTES - LARGE_CHUNK_BYTES
    ),
    'unfinished bodies in chunks of a byte': lambda: make_chunks(1, 160000),
    'whole bodies': make_whole_body,
    'whole small bodies': lambda: [b'Content-Length: 1\r\n\r\nx'],
    'no bodies': lambda: [b'\r\n'],
    'whole bodies in large chunks': lambda: [
        *make_chunks(LARGE_CHUNK_BYTES, BODY_BYTES),
        b'0\r\n\r\n',
    ],
    'unfinished heads': make_unfinished_head,
    'no requests': make_nothing,
    'whole bodies of many values': make_values,
    'unfinished frames': make_unfinished_frame,
    'further requests behind the first': make_pipeline,
}
