"""A small deployment for the scripts of this review, and its stand-ins.

The programs are started with the commands of the deploy file, on loopback
addresses. Clients, runners, the operator and the platform are tasks of the
script. Only the standard library is used.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
FRONT, READY, CONTROL, DIRECTORY = 8221, 8224, 8229, 8220
LIST, RUNNER = 8225, 8080
HOST = 'desk.example'
KEY = 'key-of-the-tenant'
SERVICE = 'desk'
REGIONS = {'alpha-a': 'alpha', 'beta-a': 'beta', 'gamma-a': 'gamma'}
BOUNDS = {
    'seedLagS': 3,
    'addrReuseS': 2,
    'contactMs': 5000,
    'ackTimeoutMs': 6000,
    'catchUpS': 4,
    'drainMs': 5000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 3000,
    'rollbackSlackMs': 250,
    'maxStretchMs': 8000,
    'strictRevoke': 'true',
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retrySlack': 54,
    'quotaWindowS': 8,
    'quotaOverage': 0.1,
    'quotaSlack': 140000,
    'coldOverage': 1.5,
    'coldSlack': 3,
    'evacuateMs': 5000,
    'recoveryS': 12,
    'passMs': 600,
    'reuseWindowS': 10,
    'ttl_max_s': 5,
}
has_trouble = os.environ.get('TROUBLE', '1') != '0'


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


@dataclasses.dataclass
class Message:
    """A request or a response as it was received.

    :ivar start: the words of its first line.
    :ivar headers: with lower-case names, in their order.
    """

    start: list[str]
    headers: list[tuple[str, str]]
    body: bytes = b''
    is_whole: bool = True

    def get(self, name: str) -> str:
        return dict(reversed(self.headers)).get(name, '')

    @property
    def status(self) -> int:
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = []
    for line in lines:
        name, _, value = line.partition(':')
        headers.append((name.lower(), value.strip()))
    return Message(first.split(' ', 2), headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, until_close: bool
) -> None:
    """Reads the body, and notes whether it is whole."""
    parts = []
    try:
        if 'chunked' in message.get('transfer-encoding'):
            while size := int(
                (await reader.readuntil(b'\r\n')).split(b';')[0], 16
            ):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            while await reader.readuntil(b'\r\n') != b'\r\n':
                pass
        elif message.get('content-length'):
            size = int(message.get('content-length'))
            parts.append(await reader.readexactly(size))
        elif until_close:
            parts.append(await reader.read(-1))
    except asyncio.IncompleteReadError as error:
        parts.append(error.partial)
        message.is_whole = False
    except (ConnectionError, ValueError):
        message.is_whole = False
    message.body = b''.join(parts)


class Case:
    """The record of a case, and its result."""

    def __init__(self) -> None:
        self.began_at = time.monotonic()
        self.lines: list[str] = []
        self.faults: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self.began_at

    def note(self, text: str) -> None:
        self.lines.append(f'{self.now():8.3f}  {text}')

    def fail(self, text: str) -> None:
        self.faults.append(text)
        self.note(f'BROKEN: {text}')


@dataclasses.dataclass
class Runner:
    """A runner of the stand-in platform.

    :ivar entry: what the platform lists of it.
    :ivar answer: sends the response to a request that it runs; None for a
        plain one.
    """

    case: Case
    name: str
    host: str
    zone: str
    service: str = SERVICE
    slots: int = 6
    work_seconds: float = 0.02
    answer: object = None
    runs: list = dataclasses.field(default_factory=list)
    entry: dict = dataclasses.field(default_factory=dict)
    writers: set = dataclasses.field(default_factory=set)

    def __post_init__(self) -> None:
        self.entry = {
            'service': self.service,
            'address': f'{self.host}:{RUNNER}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'coldLeftMs': 0,
            'id': self.name,
        }

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.host, RUNNER)
        self.entry['born'] = int(1000 * time.time())

    def crash(self) -> None:
        """Ends all channels, and accepts no more."""
        self.server.close()
        for one in list(self.writers):
            one.transport.abort()

    def stamp(self, request: Message) -> list[tuple[str, str]]:
        return [
            (
                'Greengagegw-Attempt-Id',
                request.get('greengagegw-attempt-id'),
            ),
            ('Greengagegw-Server-Stamp', f'{self.name}.{len(self.runs)}'),
        ]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request, False)
                if not request.is_whole:
                    break
                if not await self.handle(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            # The other end has gone, or the script ends.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        identity = request.get('greengagegw-attempt-id')
        expected = request.get('greengagegw-expect-instance')
        if expected and expected != self.name:
            self.case.note(f'{self.name} 421 to {identity}')
            headers = [
                ('Greengagegw-Attempt-Id', identity),
                ('Greengagegw-Not-Executed', '1'),
            ]
            writer.write(encode_response(421, headers, b''))
            await writer.drain()
            return True
        self.runs.append((self.case.now(), identity, request))
        self.case.note(f'{self.name} runs {identity}')
        if self.answer is not None:
            return await self.answer(self, request, writer)
        await asyncio.sleep(self.work_seconds)
        body = f'done by {self.name}: {identity}'.encode()
        writer.write(encode_response(200, self.stamp(request), body))
        await writer.drain()
        return True


def encode_response(
    status: int, headers: list[tuple[str, str]], body: bytes | None
) -> bytes:
    """Returns a response; without a body its framing is in the headers."""
    if body is not None:
        headers = [*headers, ('Content-Length', str(len(body)))]
    lines = [f'HTTP/1.1 {status} OK']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join([*lines, '', '']).encode() + (body or b'')


class Machine:
    """A process of the program."""

    def __init__(
        self, deployment: 'Deployment', name: str, role: str, host, zone
    ) -> None:
        self.deployment = deployment
        self.name, self.role, self.host, self.zone = name, role, host, zone
        self.process: subprocess.Popen | None = None

    def settings(self, is_first_start: bool) -> str:
        deployment = self.deployment
        is_entry = self.role == 'entry'
        values = {
            'nodeName': self.name,
            'role': self.role,
            'machineClass': 'front' if is_entry else 'core',
            'ip': self.host,
            'zone': self.zone,
            'region': REGIONS[self.zone],
            **{f'zones.{zone}': name for zone, name in REGIONS.items()},
            'internalPortRange': '7600,7615',
            'seeds': ','.join(
                f'{one.host}:{CONTROL}' for one in deployment.controls[:3]
            ),
            'bootstrap': str(is_first_start).lower(),
            'inFaultBudget': str(not is_entry).lower(),
            'limits.cpuShare': '0.86',
            'limits.cores': '3',
            'limits.memoryMb': '300',
            'limits.maxFds': '4096',
            'limits.linkMbps': '1000.0',
            'discovery': 'cloud_api',
            'entry': 'directory',
            'heartbeatMs': '1200',
            'contracts': 'base,drain,config,cost,retry,recover,engine,'
            'stream,places,tenants,quota',
            'faultTolerance.machines': '1',
            'faultTolerance.zones': '1',
            'faultTolerance.regions': '1',
            **{f'bounds.{name}': one for name, one in BOUNDS.items()},
            'configMode': 'highest',
            'cloud.address': f'{deployment.list_host}:{LIST}',
            'cloud.ratePerS': '42.0',
            'cloud.duties': '',
            'cloud.maxLagMs': '800',
        }
        if is_entry:
            values |= {
                'serves': 'front',
                'listen.front': f'{self.host}:{FRONT}',
                'listen.ready': f'{self.host}:{READY}',
                'limits.diskMb': '0',
            }
        else:
            values |= {
                'serves': 'control,directory',
                'listen.control': f'{self.host}:{CONTROL}',
                'listen.directory': f'{self.host}:{DIRECTORY}',
                'limits.diskMb': '128',
                'dataDir': str(deployment.folder / self.name),
            }
        return ''.join(f'{name}={one}\n' for name, one in values.items())

    def start(self, is_first_start: bool = False) -> None:
        folder = self.deployment.folder
        file = folder / f'{self.name}.conf'
        file.write_text(self.settings(is_first_start))
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as deploy_file:
            roles = tomllib.load(deploy_file)['roles']
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        } | {
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'GREENGAGEGW_SETTINGS': str(file),
        }
        with open(folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                roles[self.role]['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Deployment:
    """Three control VMs and some entry VMs, with runners and a platform.

    :ivar list_entries: returns the entries of the platform's list.
    :ivar list_page: returns its only page.
    """

    def __init__(
        self, case: Case, entries: tuple[str, ...] = ('alpha-a', 'beta-a')
    ) -> None:
        self.case = case
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-2-'))
        self.block = find_block()
        self.list_host = f'{self.block}.200'
        self.runners: list[Runner] = []
        self.controls = [
            Machine(self, f'core-{zone}', 'control', self.address(10 + at), z)
            for at, (zone, z) in enumerate(zip(REGIONS, REGIONS))
        ]
        self.entries = [
            Machine(self, f'front-{at}', 'entry', self.address(50 + at), zone)
            for at, zone in enumerate(entries)
        ]
        self.list_entries = lambda: [one.entry for one in self.runners]
        self.list_page = self.encode_list
        self.serves_list = True

    def encode_list(self) -> bytes:
        page = {'instances': self.list_entries(), 'nextToken': None}
        return json.dumps(page).encode()

    def address(self, number: int) -> str:
        return f'{self.block}.{number}'

    def add_runner(self, zone: str, **settings) -> Runner:
        number = len(self.runners)
        runner = Runner(
            self.case,
            f'i-{number:04d}',
            self.address(100 + number),
            zone,
            **settings,
        )
        self.runners.append(runner)
        return runner

    async def start(self) -> None:
        """Starts everything, and returns when the first state is held."""
        self.list_server = await asyncio.start_server(
            self.serve_list, self.list_host, LIST
        )
        for one in self.runners:
            await one.start()
        for one in [*self.controls, *self.entries]:
            one.start(is_first_start=True)

    async def serve_list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await read_head(reader) is not None:
                if not self.serves_list:
                    await asyncio.sleep(3600)
                headers = [('Content-Type', 'application/json')]
                body = self.list_page()
                writer.write(encode_response(200, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def order(
        self, method: str, path: str, body: bytes = b'', seconds=15.0
    ) -> float:
        """Gives an order as the operator does, until it is acknowledged.

        :returns: when that was.
        """
        ends_at = self.case.now() + seconds
        at = 0
        while self.case.now() < ends_at:
            control = self.controls[at % len(self.controls)]
            at += 1
            try:
                response = await call(
                    control.host, CONTROL, method, path, [], body, 1.5
                )
            except (OSError, TimeoutError):
                response = None
            status = response.status if response is not None else 0
            self.case.note(f'operator {method} {path}: {status}')
            if 200 <= status < 300:
                return self.case.now()
            await asyncio.sleep(0.2)
        raise CannotRunError(f'{method} {path} was not acknowledged')

    async def put(self, state: dict) -> float:
        body = json.dumps(state).encode()
        return await self.order('PUT', '/-/config', body)

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Waits until all entry VMs say that they are ready."""
        ends_at = self.case.now() + seconds
        for one in self.entries:
            while True:
                try:
                    answer = await call(
                        one.host, READY, 'GET', '/-/readyz', [], b'', 1.0
                    )
                    if answer is not None and answer.status == 200:
                        break
                except (OSError, TimeoutError):
                    pass
                if self.case.now() > ends_at:
                    raise CannotRunError(f'{one.name} did not get ready')
                await asyncio.sleep(0.1)

    def stop(self) -> None:
        for one in [*self.controls, *self.entries]:
            one.kill()
        keep = os.environ.get('KEEP')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def make_route(name: str, kind: str, **changes) -> dict:
    """Returns a route, whose prefix is its name."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 8000,
        'targetLatencyMs': 600,
        'priority': 1,
        'service': SERVICE,
        'maxAttempts': 2,
        'public': False,
        'sticky': False,
        'resumable': False,
        'gapTargetMs': 600,
        'homeRegions': [],
    } | changes


def make_service(name: str, **changes) -> dict:
    return {
        'name': name,
        'healthPath': '/healthz',
        'maxConns': 100,
        'protocol': 'h1',
        'tls': False,
        'coldStartS': 0.0,
        'coldPerS': 0.0,
    } | changes


def make_state(version: int) -> dict:
    """Returns a desired state with a route of each kind for plain calls."""
    return {
        'version': version,
        'routes': [
            make_route('lookup', 'safe'),
            make_route('submit', 'unsafe', maxAttempts=1),
        ],
        'services': [make_service(SERVICE)],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': 'tenant-1',
                'apiKeys': [KEY],
                'priority': 1,
                'unit': 'token_stream',
                'plainTokens': 200,
                'ratePerS': 0,
                'burst': 0,
                'homeRegions': [],
            }
        ],
    }


def find_block() -> str:
    """Returns the first three parts of loopback addresses that are free."""
    for _ in range(100):
        block = f'127.{random.randrange(20, 250)}.{random.randrange(1, 250)}'
        try:
            for host, port in (('200', LIST), ('10', CONTROL)):
                with socket.socket() as probe:
                    probe.bind((f'{block}.{host}', port))
            return block
        except OSError:
            continue
    raise CannotRunError('no free loopback addresses')


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b'',
    seconds: float = 10.0,
) -> Message | None:
    """Returns the response on a channel of its own, None without one.

    :raises TimeoutError: if it is not complete in time.
    :raises OSError: if there is no channel.
    """
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f'{method} {target} HTTP/1.1']
            names = {name.lower() for name, _ in headers}
            if 'host' not in names:
                lines.append(f'Host: {HOST}')
            lines += [f'{name}: {value}' for name, value in headers]
            if body or method in ('POST', 'PUT'):
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            response = await read_head(reader)
            if response is not None:
                await read_body(reader, response, True)
            return response
        except ConnectionError:
            return None
        finally:
            writer.close()


def client_headers(identity: str, **more: str) -> list[tuple[str, str]]:
    """Returns the headers of a client's request."""
    return [
        ('Greengagegw-Attempt-Id', identity),
        ('Greengagegw-Credential', KEY),
        ('Greengagegw-Deadline-Ms', '8000'),
        *((name.replace('_', '-'), value) for name, value in more.items()),
    ]


def run(play, folder: pathlib.Path, entries=('alpha-a', 'beta-a')) -> None:
    """Plays a case, writes its record and exits with its result.

    :param play: coroutine function that gets the case and the deployment.
    """
    case = Case()
    deployment = None
    result = NOT_RUN
    # The processes that were started end with the script.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRunError('target/deps is missing: build first')
        deployment = Deployment(case, entries)

        async def limited() -> None:
            async with asyncio.timeout(100.0):
                await play(case, deployment)

        asyncio.run(limited())
        result = BROKEN if case.faults else HELD
    except Exception as error:
        # A fault of the script says nothing about the rule either.
        case.note(f'the case could not run: {error!r}')
    finally:
        if deployment is not None:
            deployment.stop()
        words = {HELD: 'held', BROKEN: 'broken', NOT_RUN: 'did not run'}
        trouble = 'with' if has_trouble else 'without'
        case.note(f'{trouble} the disruption: {words[result]}')
        text = '\n'.join(case.lines) + '\n'
        (folder / 'record.txt').write_text(text)
        print(case.lines[-1])
        for fault in case.faults[:5]:
            print(fault)
    sys.exit(result)
