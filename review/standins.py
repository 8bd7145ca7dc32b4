"""Stand-ins and processes that the scripts of the review share.

A small deployment in three regions of one zone each: control VMs, entry VMs,
plain runners, the platform's list of runners and an operator. Only the
programs of the deploy file run as processes of their own. Every address is a
loopback address.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = {'piedmont-a': 'piedmont', 'blue-ridge-a': 'blue-ridge'}
ZONES['coastal-a'] = 'coastal'
ZONE_NAMES = list(ZONES)
FRONT_PORT, READY_PORT, CONTROL_PORT = 8221, 8224, 8229
CLOUD_PORT, RUNNER_PORT, DIRECTORY_PORT = 8225, 8080, 8230
CONTROL_METRICS_PORT = 9465
INTERNAL_PORTS = (7600, 7615)
HOST = 'entries.example'
KEY = 'key-of-the-tenant'
SERVICE = 'entry-desk'
DRAIN_SECONDS, EVACUATE_SECONDS, STRETCH_SECONDS = 5.0, 5.0, 8.0
CONTACT_SECONDS = 5.0
BOUNDS = """\
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=5000
bounds.ackTimeoutMs=6000
bounds.catchUpS=4
bounds.drainMs=5000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=8000
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retrySlack=54
bounds.quotaWindowS=8
bounds.quotaOverage=0.1
bounds.quotaSlack=140000
bounds.coldOverage=1.5
bounds.coldSlack=3
bounds.evacuateMs=5000
bounds.recoveryS=12
bounds.passMs=600
bounds.reuseWindowS=10
bounds.ttl_max_s=5
"""


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = open(path, 'w', encoding='utf-8')
        self.began_at = time.monotonic()

    def write(self, text: str, echo: bool = False) -> None:
        line = f'{time.monotonic() - self.began_at:9.3f} {text}'
        self.file.write(line + '\n')
        self.file.flush()
        if echo:
            print(line, flush=True)


# HTTP.


async def read_message(reader: asyncio.StreamReader):
    """Returns first line, headers and body of an HTTP message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    elif headers.get('transfer-encoding') == 'chunked':
        while size := int(await reader.readuntil(b'\r\n'), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b'\r\n')
    return first, headers, body


def write_message(first: str, headers: dict, body: bytes) -> bytes:
    headers = {**headers, 'Content-Length': len(body)}
    lines = [first, *(f'{name}: {value}' for name, value in headers.items())]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict | None = None,
    body: bytes = b'',
    seconds: float = 1.0,
):
    """Sends a request on a new channel.

    :returns: status, headers and body; status 0 if there is no answer.
    """
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            first = f'{method} {path} HTTP/1.1'
            host = {'Host': f'{address[0]}:{address[1]}'}
            writer.write(write_message(first, host | (headers or {}), body))
            first, answer, content = await read_message(reader)
            return int(first.split()[1]), answer, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()


class Server:
    """An HTTP server that keeps channels open."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, *self.address)

    def stop(self) -> None:
        """Closes the listener and all channels."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split()
                status, answer, content = await self.answer(
                    method, path, headers, body
                )
                first = f'HTTP/1.1 {status} Status'
                writer.write(write_message(first, answer, content))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, path, headers, body):
        raise NotImplementedError


class Runner(Server):
    """A plain runner.

    :ivar runs: time and attempt ID of each request that it ran.
    :ivar seconds: how long it works on a request.
    """

    def __init__(
        self, name: str, zone: str, address, record: Record, slots: int = 6
    ) -> None:
        super().__init__(address)
        self.name = name
        self.zone = zone
        self.record = record
        self.slots = slots
        self.state = 'ready'
        self.seconds = 0.02
        self.running = 0
        self.runs: list[tuple[float, str]] = []

    def entry(self) -> dict:
        """Returns its entry in the platform's list."""
        return {
            'service': SERVICE,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'phase': 'mixed',
            'models': [],
            'id': self.name,
        }

    def load(self) -> dict:
        waiting = max(0, self.running - self.slots)
        running = self.running - waiting
        return {'Greengagegw-Instance-Load': f'{running},{waiting},6'}

    async def answer(self, method, path, headers, body):
        if path == '/healthz':
            is_good = self.state == 'ready'
            return (
                200 if is_good else 503,
                {'Greengagegw-Instance-Id': self.name, **self.load()},
                b'',
            )
        attempt = headers.get('greengagegw-attempt-id', '')
        own = {'Greengagegw-Attempt-Id': attempt, **self.load()}
        if headers.get('greengagegw-expect-instance', self.name) != self.name:
            self.record.write(f'runner {self.name} answers 421 to {attempt}')
            return 421, {**own, 'Greengagegw-Not-Executed': '1'}, b''
        self.runs.append((time.monotonic(), attempt))
        self.record.write(f'runner {self.name} runs {method} {attempt}')
        self.running += 1
        try:
            await asyncio.sleep(self.seconds)
        finally:
            self.running -= 1
        own['Greengagegw-Server-Stamp'] = f'stamp-{self.name}-{attempt}'
        return 200, own, b'answer to ' + attempt.encode()


class Platform(Server):
    """The platform's list of runners.

    :ivar extra: further entries, as they stand in the list.
    """

    def __init__(self, address) -> None:
        super().__init__(address)
        self.runners: list[Runner] = []
        self.extra: list[bytes] = []

    async def answer(self, method, path, headers, body):
        if path.partition('?')[0] != '/instances':
            return 404, {}, b''
        entries = [json.dumps(one.entry()).encode() for one in self.runners]
        content = b','.join([*self.extra, *entries])
        content = b'{"instances":[' + content + b'],"nextToken":null}'
        return 200, {'Content-Type': 'application/json'}, content


# Processes.


def roles() -> dict[str, list[str]]:
    """Returns the command of each role of the deploy file."""
    with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
        deploy = tomllib.load(file)
    return {
        name: shlex.split(one['run']) for name, one in deploy['roles'].items()
    }


class Machine:
    """One process of the system, with its settings."""

    def __init__(self, deployment, name, role, host, zone) -> None:
        self.deployment = deployment
        self.name = name
        self.role = role
        self.host = host
        self.zone = zone
        self.process: subprocess.Popen | None = None
        self.is_stopped = False

    @property
    def address(self) -> tuple[str, int]:
        port = FRONT_PORT if self.role == 'entry' else CONTROL_PORT
        return self.host, port

    def settings(self, bootstrap: bool) -> str:
        machine_class = 'front' if self.role == 'entry' else 'core'
        lines = [
            f'nodeName={self.name}',
            f'role={self.role}',
            f'machineClass={machine_class}',
            f'ip={self.host}',
            f'zone={self.zone}',
            f'region={ZONES[self.zone]}',
            *(f'zones.{zone}={name}' for zone, name in ZONES.items()),
            f'internalPortRange={INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}',
            f'seeds={self.deployment.seeds}',
            f'bootstrap={"true" if bootstrap else "false"}',
            f'inFaultBudget={"false" if self.role == "entry" else "true"}',
            'limits.cpuShare=0.86',
            'limits.cores=3',
            'limits.memoryMb=296',
            'limits.maxFds=4096',
            'limits.linkMbps=1000.0',
            'discovery=cloud_api',
            'entry=directory',
            'heartbeatMs=1200',
            'contracts=base,drain,config,cost,retry,recover,engine,stream,'
            'places,tenants,quota',
            'faultTolerance.machines=2',
            'faultTolerance.zones=1',
            'faultTolerance.regions=1',
            'configMode=highest',
            f'cloud.address={self.deployment.cloud[0]}:{CLOUD_PORT}',
            'cloud.ratePerS=42.0',
            'cloud.duties=',
            'cloud.maxLagMs=800',
        ]
        if self.role == 'entry':
            lines += [
                'serves=front',
                f'listen.front={self.host}:{FRONT_PORT}',
                f'listen.ready={self.host}:{READY_PORT}',
            ]
        else:
            lines += [
                'serves=control,directory',
                f'listen.control={self.host}:{CONTROL_PORT}',
                f'listen.directory={self.host}:{DIRECTORY_PORT}',
                f'dataDir={self.deployment.folder / self.name}',
                'limits.diskMb=128',
            ]
        return '\n'.join(lines) + '\n' + BOUNDS

    def start(self, bootstrap: bool = False) -> None:
        folder = self.deployment.folder
        file = folder / f'{self.name}.conf'
        file.write_text(self.settings(bootstrap))
        names = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in names if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['GREENGAGEGW_SETTINGS'] = str(file)
        with open(folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                self.deployment.commands[self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.deployment.record.write(f'{self.name} is started')

    def stop(self) -> None:
        """Stops the process until :meth:`go_on`, as a freeze does."""
        self.process.send_signal(signal.SIGSTOP)
        self.deployment.record.write(f'{self.name} is frozen', True)

    def go_on(self) -> None:
        self.process.send_signal(signal.SIGCONT)
        self.deployment.record.write(f'{self.name} wakes', True)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """A small deployment on loopback addresses of a block of its own."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.commands = roles()
        self.block = free_block()
        self.cloud = (f'{self.block}.200.1', CLOUD_PORT)
        self.platform = Platform(self.cloud)
        self.controls: list[Machine] = []
        self.entries: list[Machine] = []
        self.runners: list[Runner] = []
        self.rng = random.Random(1)
        for at, zone in enumerate([*ZONE_NAMES, *ZONE_NAMES[:2]]):
            host = f'{self.block}.{at + 1}.35'
            name = f'core-{zone}-{1 + at // 3}'
            self.controls.append(Machine(self, name, 'control', host, zone))
        for at, zone in enumerate(ZONE_NAMES):
            host = f'{self.block}.{at + 1}.14'
            name = f'front-{zone}-1'
            self.entries.append(Machine(self, name, 'entry', host, zone))
        for zone in ZONE_NAMES:
            self.add_runner(zone)

    @property
    def seeds(self) -> str:
        return ','.join(
            f'{one.host}:{CONTROL_PORT}' for one in self.controls[:3]
        )

    def add_runner(self, zone: str) -> Runner:
        number = len(self.runners) + 1
        at = ZONE_NAMES.index(zone) + 1
        runner = Runner(
            f'i-{number:04d}',
            zone,
            (f'{self.block}.{at}.{100 + number}', RUNNER_PORT),
            self.record,
        )
        self.runners.append(runner)
        self.platform.runners.append(runner)
        return runner

    def desired_state(self, version: int, **changes) -> dict:
        route = {
            'host': HOST,
            'timeoutMs': 8000,
            'targetLatencyMs': 600,
            'priority': 2,
            'service': SERVICE,
            'public': False,
            'sticky': False,
            'resumable': False,
            'homeRegions': [],
        }
        safe = {'name': 'r-lookup', 'pathPrefix': '/lookup/', 'kind': 'safe'}
        unsafe = {'name': 'r-submit', 'pathPrefix': '/submit/'}
        unsafe |= {'kind': 'unsafe', 'maxAttempts': 2}
        return {
            'version': version,
            'routes': [
                route | safe | {'maxAttempts': 2},
                route | unsafe,
            ],
            'services': [
                {
                    'name': SERVICE,
                    'healthPath': '/healthz',
                    'maxConns': 100,
                    'protocol': 'h1',
                    'tls': False,
                    'coldStartS': 0.0,
                    'coldPerS': 0.0,
                }
            ],
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
            **changes,
        }

    async def start(self) -> None:
        """Starts all, and returns when the entry VMs serve.

        :raises CaseError: if they do not within 40 s.
        """
        await self.platform.start()
        for runner in self.runners:
            await runner.start()
        for machine in [*self.controls, *self.entries]:
            machine.start(bootstrap=True)
        async with limit(40, 'the deployment does not start'):
            body = json.dumps(self.desired_state(1)).encode()
            await self.order('PUT', '/-/config', body)
            for machine in self.entries:
                while (await self.request(machine, 'GET'))[0] != 200:
                    await asyncio.sleep(0.3)

    async def find_leader(self) -> Machine:
        for machine in self.controls:
            address = machine.host, CONTROL_METRICS_PORT
            _, _, text = await call(address, 'GET', '/metrics')
            if b'\ngreengagegw_replica_leads 1' in text:
                return machine
        raise CaseError('no control VM leads')

    async def order(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        machines: list[Machine] | None = None,
    ) -> int:
        """Sends an order as the operator does, until it is acknowledged.

        :param machines: the control VMs in the order in which they are tried;
            by default all in a random order.
        :returns: the status of the acknowledgement.
        """
        machines = machines or self.rng.sample(
            self.controls, len(self.controls)
        )
        pause = 0.1
        while True:
            for machine in machines:
                headers = {'Content-Type': 'application/json'} if body else {}
                what = f'{method} {path} to {machine.name}'
                self.record.write(f'operator sends {what}', True)
                status, _, _ = await call(
                    machine.address, method, path, headers, body
                )
                self.record.write(f'operator gets {status} for {what}', True)
                if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                    return status
                await asyncio.sleep(pause)
                pause = min(1.0, pause * 2)

    async def request(
        self,
        machine: Machine,
        method: str,
        prefix: str = '/lookup/',
        seconds: float = 8.0,
        attempt: str = '',
    ):
        """Sends a client's request; returns status, headers and body."""
        attempt = attempt or f'{self.rng.getrandbits(64):016x}'
        headers = {
            'Host': HOST,
            'Greengagegw-Attempt-Id': attempt,
            'Greengagegw-Deadline-Ms': int(seconds * 1000),
            'Greengagegw-Credential': KEY,
        }
        body = b'' if method == 'GET' else b'entry of ' + attempt.encode()
        self.record.write(f'client sends {method} {attempt} to {machine.name}')
        status, answer, content = await call(
            machine.address, method, prefix + 'one', headers, body, seconds
        )
        self.record.write(f'client gets {status} for {attempt}')
        return status, answer, content

    async def send_steadily(self, per_second: float) -> None:
        """Sends safe requests to all entry VMs in turn until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                for machine in self.entries:
                    tasks.create_task(self.request(machine, 'GET'))
                    await asyncio.sleep(1 / per_second)

    def check_served(self, since: float) -> None:
        """Checks that the clients were served at all.

        :raises CaseError: if they were not, so that nothing was tested.
        """
        served = sum(at > since for one in self.runners for at, _ in one.runs)
        if served < 50:
            raise CaseError(f'only {served} requests were run')

    def close(self) -> None:
        for machine in [*self.controls, *self.entries]:
            machine.kill()
        for one in [self.platform, *self.runners]:
            one.stop()


@contextlib.asynccontextmanager
async def limit(seconds: float, what: str):
    try:
        async with asyncio.timeout(seconds):
            yield
    except TimeoutError as error:
        raise CaseError(what) from error


def free_block() -> str:
    """Returns the first two bytes of unused loopback addresses."""
    for _ in range(50):
        block = f'127.{random.randint(10, 250)}'
        try:
            for last, port in (
                ('1.35', CONTROL_PORT),
                ('1.35', INTERNAL_PORTS[0]),
                ('1.14', FRONT_PORT),
                ('200.1', CLOUD_PORT),
            ):
                with socket.socket() as one:
                    one.bind((f'{block}.{last}', port))
        except OSError:
            continue
        return block
    raise CaseError('no free loopback addresses')


def run_case(folder: pathlib.Path, case) -> int:
    """Runs a case; returns the exit code of its script.

    :param case: coroutine function that gets the deployment and whether the
        disruption is to happen, and returns whether the rule held.
    """
    # The processes have to end with this one, also when it is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    data = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
    deployment = None

    async def run() -> bool:
        async with limit(115, 'the case took too long'):
            await deployment.start()
            return await case(deployment, has_trouble)

    try:
        deployment = Deployment(data, record)
        has_held = asyncio.run(run())
    except Exception as error:
        # Any other exit code would be taken for a result.
        record.write(f'the case could not run: {error!r}', True)
        return 2
    finally:
        if deployment is not None:
            deployment.close()
        if os.environ.get('KEEP'):
            print('kept', data)
        else:
            shutil.rmtree(data, ignore_errors=True)
    record.write('the rule held' if has_held else 'the rule was broken', True)
    return 0 if has_held else 1
