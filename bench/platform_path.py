"""Compares the cost of requests through entry VMs of two commits.

``python -m bench.platform_path BASE`` runs the platform's code of the commit
``BASE`` and of the working tree side by side: for each a control VM, and an
entry VM in each of two regions. All backend servers are in the second region,
so the entry VM of the first one forwards its requests. Rounds of both
alternate, so that other load of the machine affects both alike.
"""

import contextlib
import functools
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import anyio
import httpx

from . import load_client
from . import platform_backend

ROOT = pathlib.Path(__file__).parents[1]
CLOCK_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
PORT = 8080
READY_PORT = 8081
INTERNAL_PORT = 7600
SERVERS = 20
ROUNDS = 3
CONNECTIONS = 8
PLAIN_REQUESTS = 400
FORWARDED_REQUESTS = 250
STREAMS = 40
EVENTS = 40
EVENT_SECONDS = 0.05
WAIT_SECONDS = 30.0
BODY = b'{"message": "Which class is it?"}'


class PlatformClient(load_client.Client):
    """Sends the requests of a client of the platform."""

    sent = 0

    async def post(self, path: str, body: bytes) -> load_client.Timing:
        if self.stream is None:
            self.stream = await anyio.connect_tcp(self.host, self.port)
        PlatformClient.sent += 1
        head = (
            f'POST {path} HTTP/1.1\r\nhost: h.example\r\n'
            f'greengagegw-attempt-id: r-{PlatformClient.sent}\r\n'
            'greengagegw-deadline-ms: 20000\r\n'
            f'greengagegw-credential: {self.key}\r\n'
            f'content-length: {len(body)}\r\n'
        )
        if path.startswith('/chat/'):
            head += (
                'greengagegw-token-count: 1800,200\r\n'
                'greengagegw-prompt-prefix: '
                f's-{PlatformClient.sent % 20}:1500,own:300\r\n'
            )
        started = time.perf_counter()
        await self.stream.send(f'{head}\r\n'.encode() + body)
        return await self.read_response(started)


def make_route(name: str, prefix: str, kind: str, service: str) -> dict:
    return {
        'name': name,
        'host': 'h.example',
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 20000,
        'targetLatencyMs': 5000,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        'sticky': True,
        'resumable': kind == 'streaming',
        'gapTargetMs': 600,
        'homeRegions': [],
    }


def make_document() -> dict:
    service = {
        'healthPath': '/healthz',
        'maxConns': 1000,
        'coldStartS': 0.0,
        'coldPerS': 0.0,
    }
    return {
        'version': 1,
        'routes': [
            make_route('chat', '/chat/', 'streaming', 'engine'),
            make_route('book', '/book/', 'unsafe', 'desk'),
            make_route('look', '/look/', 'safe', 'desk'),
        ],
        'services': [
            {
                'name': 'engine',
                **service,
                'engine': {'slots': 64, 'kvCapacity': 400000},
            },
            {'name': 'desk', **service},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': 'org',
                'apiKeys': ['key-1'],
                'priority': 1,
                'unit': 'token_stream',
                'plainTokens': 200,
                'ratePerS': 0,
                'burst': 0,
                'homeRegions': [],
            }
        ],
    }


class Deployment:
    """A control VM and two entry VMs that run the code of one commit.

    :param sources: folder with the sources.
    :param block: second byte of its loopback addresses.
    :ivar figures: CPU microseconds of each round, by kind of load.
    """

    def __init__(self, name: str, sources: pathlib.Path, block: int) -> None:
        self.name = name
        self.sources = sources
        self.control = f'127.{block}.0.1'
        self.entries = {'a': f'127.{block}.1.1', 'b': f'127.{block}.1.2'}
        self.backend = f'127.{block}.2.1'
        self.processes: dict[str, subprocess.Popen] = {}
        self.state = platform_backend.State(EVENTS, EVENT_SECONDS)
        self.state.instance_list['instances'] = [
            {
                'id': f'{service}-{number}',
                'service': service,
                'address': f'{self.backend}:{PORT + number}',
                'zone': 'b-1',
                'slots': 64,
                'state': 'ready',
                'coldLeftMs': 0,
                'version': 'v1',
            }
            for first, service in ((0, 'engine'), (SERVERS, 'desk'))
            for number in range(first, first + SERVERS)
        ]
        self.figures: dict[str, list[float]] = {}

    def settings(self, role: str, host: str, region: str, data: str) -> str:
        listeners = {'front': PORT, 'ready': READY_PORT}
        if role == 'control':
            listeners = {'control': PORT, 'directory': READY_PORT}
        lines = [
            f'nodeName={role}-{region}',
            f'ip={host}',
            f'zone={region}-1',
            f'region={region}',
            'zones.a-1=a',
            'zones.b-1=b',
            f'internalPortRange={INTERNAL_PORT},{INTERNAL_PORT + 15}',
            f'seeds={self.control}:{PORT}',
            'bootstrap=true',
            f'cloud.address={self.backend}:{PORT}',
            *(
                f'listen.{one}={host}:{port}'
                for one, port in listeners.items()
            ),
        ]
        if data:
            lines.append(f'dataDir={data}')
        return '\n'.join(lines) + '\n'

    def start(self, folder: pathlib.Path) -> None:
        data = folder / f'{self.name}-data'
        data.mkdir()
        for role, host, region, path in (
            ('control', self.control, 'a', str(data)),
            ('entry', self.entries['a'], 'a', ''),
            ('entry', self.entries['b'], 'b', ''),
        ):
            file = folder / f'{self.name}-{role}-{region}.conf'
            file.write_text(self.settings(role, host, region, path))
            with open(file.with_suffix('.log'), 'w') as log:
                self.processes[f'{role}-{region}'] = subprocess.Popen(
                    [
                        sys.executable,
                        str(self.sources / 'deploy' / 'greengagegw.py'),
                        'platform',
                        role,
                        '--settings',
                        str(file),
                    ],
                    stdout=log,
                    stderr=subprocess.STDOUT,
                    cwd=folder,
                    env={**os.environ, 'PYTHONPATH': ''},
                )

    def stop(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()

    def cpu_seconds(self) -> float:
        """Returns the CPU time that both entry VMs have used so far."""
        total = 0
        for name in ('entry-a', 'entry-b'):
            pid = self.processes[name].pid
            stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
            fields = stat.rpartition(')')[2].split()
            total += int(fields[11]) + int(fields[12])
        return total / CLOCK_TICKS_PER_SECOND

    async def configure(self) -> None:
        """Sends the configuration and waits until both entry VMs serve."""
        content = json.dumps(make_document()).encode()
        async with httpx.AsyncClient(trust_env=False) as client:
            with anyio.fail_after(WAIT_SECONDS):
                while True:
                    with contextlib.suppress(httpx.HTTPError):
                        response = await client.put(
                            f'http://{self.control}:{PORT}/-/config',
                            content=content,
                        )
                        if response.status_code == 200:
                            break
                    await anyio.sleep(0.2)
                for region in self.entries:
                    for path in ('/book/x', '/look/x', '/chat/x'):
                        await self.wait_served(region, path)

    async def wait_served(self, region: str, path: str) -> None:
        while True:
            client = PlatformClient(self.entries[region], PORT, 'key-1')
            try:
                await client.post(path, BODY)
                return
            except (RuntimeError, OSError, anyio.EndOfStream):
                await anyio.sleep(0.3)
            finally:
                await client.close()

    async def measure(
        self, region: str, path: str, connections: int, requests: int
    ) -> tuple[float, float]:
        """Returns the CPU seconds and connections of one round of load."""
        make_client = functools.partial(
            PlatformClient, self.entries[region], PORT, 'key-1'
        )
        connected = self.state.connections
        before, began_at = self.cpu_seconds(), time.monotonic()
        await load_client.run_closed_loop(
            make_client, connections, requests, path, BODY
        )
        cpu = self.cpu_seconds() - before
        idle = self.idle_cpu * (time.monotonic() - began_at)
        return max(0.0, cpu - idle), self.state.connections - connected

    async def measure_idle(self) -> None:
        """Measures the CPU time that an idle deployment uses a second."""
        before = self.cpu_seconds()
        await anyio.sleep(2)
        self.idle_cpu = (self.cpu_seconds() - before) / 2


# Name, region, path, connections, requests, and units of a request.
LOADS = (
    ('plain request', 'b', '/book/x', CONNECTIONS, PLAIN_REQUESTS, 1),
    ('idempotent request', 'b', '/look/x', CONNECTIONS, PLAIN_REQUESTS, 1),
    ('stream event', 'b', '/chat/x', STREAMS, STREAMS, EVENTS),
    ('forwarded request', 'a', '/book/x', CONNECTIONS, FORWARDED_REQUESTS, 1),
    ('forwarded stream event', 'a', '/chat/x', STREAMS, STREAMS, EVENTS),
)


def extract(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Extracts the sources of a commit and returns their folder."""
    target = folder / 'sources'
    target.mkdir()
    archive = subprocess.run(
        ['git', 'archive', commit, 'src', 'deploy'],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    subprocess.run(
        ['tar', '-x', '-C', str(target)], input=archive.stdout, check=True
    )
    return target


async def compare(deployments: list[Deployment]) -> None:
    for one in deployments:
        await one.configure()
    for one in deployments:
        await one.measure_idle()
    for name, region, path, connections, requests, units in LOADS:
        opened = dict.fromkeys(deployments, 0.0)
        for number in range(ROUNDS + 1):
            for one in deployments:
                seconds, connected = await one.measure(
                    region, path, connections, requests
                )
                # The first round fills the caches and pools.
                if number:
                    one.figures.setdefault(name, []).append(
                        seconds / requests / units * 1e6
                    )
                    opened[one] += connected
        parts = []
        for one in deployments:
            median = statistics.median(one.figures[name])
            per_hundred = opened[one] / ROUNDS / requests * 100
            parts.append(
                f'{one.name} {median:.0f} us (connections for 100 requests:'
                f' {per_hundred:.1f})'
            )
        ratio = statistics.median(
            deployments[-1].figures[name]
        ) / statistics.median(deployments[0].figures[name])
        print(f'{name}: {"; ".join(parts)}; ratio {ratio:.2f}', flush=True)


async def main() -> None:
    commit = sys.argv[1] if len(sys.argv) > 1 else '7249eb6'
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        deployments = [
            Deployment(commit, extract(commit, folder), 81),
            Deployment('now', ROOT, 82),
        ]
        async with contextlib.AsyncExitStack() as stack:
            for one in deployments:
                for number in range(2 * SERVERS):
                    await stack.enter_async_context(
                        platform_backend.serving(
                            one.state, [one.backend], PORT + number
                        )
                    )
            try:
                for one in deployments:
                    one.start(folder)
                await compare(deployments)
            finally:
                for one in deployments:
                    one.stop()


if __name__ == '__main__':
    anyio.run(main, backend_options={'use_uvloop': True})
