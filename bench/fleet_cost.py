"""Measures what an entry VM costs beside many other VMs of its region.

``python -m bench.fleet_cost [--base COMMIT] [VMS ...]`` runs one entry VM as a
process, a control VM, and the given numbers of other entry VMs (12, 30, 67 and
120 by default) that have no servers for clients. The first VM is measured idle
and with requests, while the others report changing backlogs. With ``--base``,
the measured VM also runs the code of that commit.

The CPU time is measured without instruments, the counts and the division of
the CPU time by component afterwards. CPU time of the log writer's thread is
part of the component that the main thread executes at that moment.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import functools
import itertools
import json
import os
import pathlib
import random
import resource
import signal
import subprocess
import sys
import tempfile
import time
import typing

import anyio

from . import platform_backend
from . import platform_path

BLOCK = 83
REGION = 'b'
VMS = (12, 30, 67, 120)
# Keeps the number of processes low without one of them being busy.
PEERS_PER_PROCESS = 30
# An unused connection is closed after 10 s.
SETTLE_SECONDS = 14.0
CPU_SECONDS = 8.0
COUNT_SECONDS = 4.0
SAMPLE_SECONDS = 8.0
SAMPLE_INTERVAL_SECONDS = 0.001
REQUEST_CONNECTIONS = 5
REQUESTS_PER_SECOND = 50.0
BACKLOG_CHANGE_SECONDS = 0.1
COMPONENTS = (
    'heartbeats',
    'backlogs',
    'polls',
    'quotas',
    'requests',
    'logs',
    'frames',
    'other',
)
METHODS = {
    'fleet.poll': 'polls',
    'fleet.beat': 'polls',
    'fleet.take': 'quotas',
    'serving.backlog': 'backlogs',
    'serving.report': 'backlogs',
    'serving.report_sum': 'backlogs',
    'serving.report_total': 'backlogs',
}
# Parts of the names of modules, the first that matches is taken.
MODULES = (
    ('/eliot/', 'logs'),
    ('greengagegw/logs.py', 'logs'),
    ('serving/backlog_exchange.py', 'backlogs'),
    ('serving/region_re', 'backlogs'),
    ('fleet/quota.py', 'quotas'),
    ('fleet/agent.py', 'polls'),
    ('fleet/poll_reply.py', 'polls'),
    ('/hypercorn/', 'requests'),
    ('greengagegw/serving/', 'requests'),
    ('platform/client_application.py', 'requests'),
    ('platform/backend_client.py', 'requests'),
    ('adapters/backend_', 'requests'),
)
HEARTBEAT_FUNCTIONS = (
    'check',
    'check_connections',
    'is_unused',
    'on_ping',
    'on_pong',
    'send_heartbeats',
)


class Counter:
    """Counts frames, bytes and tasks by component while it is active.

    A reply counts for the component of the latest call with its ID, whichever
    connection that was on.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter = collections.Counter()
        self.components: dict[tuple[str, int], str] = {}

    def count_frame(self, way: str, body: bytes) -> None:
        import msgpack

        from greengagegw.adapters import frames

        kind, *values = msgpack.unpackb(body, raw=False)
        kind = frames.Kind(kind)
        component = 'requests'
        if kind in (frames.Kind.PING, frames.Kind.PONG):
            component = 'heartbeats'
        elif kind is frames.Kind.CALL:
            component = METHODS.get(values[1], 'requests')
            if values[0]:
                self.components[way, values[0]] = component
        elif kind is frames.Kind.REPLY:
            opposite = {'sent': 'received', 'received': 'sent'}[way]
            component = self.components.pop((opposite, values[0]), 'other')
        self.counts[f'{way} {component}'] += 1
        self.counts[f'{way} bytes'] += len(body) + 4

    @contextlib.contextmanager
    def active(self) -> collections.abc.Iterator[None]:
        from greengagegw.adapters import frames
        from greengagegw.adapters import peer_connection
        from greengagegw import timers

        connection_class = peer_connection.Connection
        append, decode = connection_class.append, frames.decode
        wake = timers.Timers.wake
        loop = asyncio.get_running_loop()

        def count_sent(connection, data):
            self.count_frame('sent', data[4:])
            append(connection, data)

        def count_received(body):
            self.count_frame('received', body)
            return decode(body)

        def count_wake(service):
            self.counts['timer wake-ups'] += 1
            wake(service)

        def make_task(loop, coroutine, **options):
            self.counts['tasks started'] += 1
            return asyncio.Task(coroutine, loop=loop, **options)

        connection_class.append = count_sent
        frames.decode = count_received
        timers.Timers.wake = count_wake
        loop.set_task_factory(make_task)
        try:
            yield
        finally:
            connection_class.append = append
            frames.decode = decode
            timers.Timers.wake = wake
            loop.set_task_factory(None)


class Sampler:
    """Divides the CPU time by component, from samples of the stack."""

    def __init__(self) -> None:
        self.samples: collections.Counter = collections.Counter()

    @contextlib.contextmanager
    def active(self) -> collections.abc.Iterator[None]:
        signal.signal(signal.SIGPROF, self.sample)
        signal.setitimer(
            signal.ITIMER_PROF,
            SAMPLE_INTERVAL_SECONDS,
            SAMPLE_INTERVAL_SECONDS,
        )
        try:
            yield
        finally:
            signal.setitimer(signal.ITIMER_PROF, 0)

    def sample(self, number: int, frame: typing.Any) -> None:
        self.samples[find_component(frame)] += 1


def find_component(frame: typing.Any) -> str:
    """Returns the component of the innermost frame that belongs to one."""
    fallback = 'other'
    while frame is not None:
        file = frame.f_code.co_filename
        if 'adapters/peer_' in file:
            if frame.f_code.co_name in HEARTBEAT_FUNCTIONS:
                return 'heartbeats'
            fallback = 'frames'
        for part, component in MODULES:
            if part in file:
                return component
        frame = frame.f_back
    return fallback


async def measure() -> dict[str, float]:
    """Returns the figures of this process a second."""
    cpu, began_at = time.process_time(), time.monotonic()
    switches = resource.getrusage(resource.RUSAGE_SELF).ru_nvcsw
    await asyncio.sleep(CPU_SECONDS)
    seconds = time.monotonic() - began_at
    cpu = time.process_time() - cpu
    switches = resource.getrusage(resource.RUSAGE_SELF).ru_nvcsw - switches
    figures = {
        'cores': cpu / seconds,
        'wake-ups': switches / seconds,
        'tasks': len(asyncio.all_tasks()),
    }
    counter = Counter()
    with counter.active():
        await asyncio.sleep(COUNT_SECONDS)
    for name, count in counter.counts.items():
        figures[name] = count / COUNT_SECONDS
    sampler = Sampler()
    with sampler.active():
        await asyncio.sleep(SAMPLE_SECONDS)
    total = sum(sampler.samples.values()) or 1
    figures['samples'] = total
    for name, count in sampler.samples.items():
        figures[f'cores {name}'] = figures['cores'] * count / total
    return figures


async def run_measured(file: str) -> None:
    """Runs the measured VM; each line of standard input asks for figures.

    The code of an earlier commit is imported if PYTHONPATH names it.
    """
    from greengagegw import logs
    from greengagegw.platform import roles
    from greengagegw.platform import settings as platform_settings

    writer = logs.start_logging(time.monotonic)
    loop = asyncio.get_running_loop()
    lines: asyncio.Queue = asyncio.Queue()
    loop.add_reader(
        sys.stdin.fileno(),
        lambda: lines.put_nowait(os.read(sys.stdin.fileno(), 100)),
    )
    task = asyncio.create_task(
        roles.run_entry(platform_settings.read(file), file)
    )
    output = pathlib.Path(file).with_suffix('.json')
    while await lines.get():
        figures = await measure()
        temporary = output.with_suffix('.tmp')
        temporary.write_text(json.dumps(figures))
        temporary.rename(output)
    task.cancel()
    writer.stop()


class Backlog:
    """The backlog of a VM, which changes while there is load."""

    def __init__(self, load_file: pathlib.Path) -> None:
        self.load_file = load_file
        self.changes_at = 0.0
        self.value: dict[str, list[float]] = {}

    def __call__(self) -> dict[str, list[float]]:
        now = time.monotonic()
        if now >= self.changes_at:
            self.changes_at = now + BACKLOG_CHANGE_SECONDS
            self.value = {}
            if self.load_file.exists():
                self.value = {
                    f'{kind}-{number}': [
                        float(random.randrange(9000)),  # noqa: S311
                        float(random.randrange(8)),  # noqa: S311
                    ]
                    for kind, first in (('engine', 0), ('desk', 20))
                    for number in range(first, first + 20)
                }
        return self.value


async def run_peer(file: str) -> None:
    """Runs what communicates with other VMs of one entry VM."""
    from greengagegw.fleet import agent as agents
    from greengagegw.fleet import members
    from greengagegw.platform import documents
    from greengagegw.platform import process as processes
    from greengagegw.platform import settings as platform_settings
    from greengagegw.serving import backlog_exchange

    settings = platform_settings.read(file)
    process = processes.Process(
        settings, file, settings.internal_port_range[0] + 1
    )
    view = agents.FleetView()
    entry = members.EntryVm(
        process.vm,
        str(settings.client_endpoint),
        settings.region,
        settings.domain,
        members.EntryState.SERVING,
    )
    agent = agents.Agent(
        process.timers,
        process.mesh,
        view,
        process.seeds,
        lambda: (entry, {}),
        documents.decode,
        5.0,
        process.rng,
    )
    exchange = backlog_exchange.BacklogExchange(
        process.vm,
        settings.region,
        process.timers,
        process.mesh,
        view,
        Backlog(pathlib.Path(file).parent / 'load'),
    )
    process.mesh.handlers.calls.update(exchange.handlers())
    listener = await anyio.create_tcp_listener(
        local_host=settings.host, local_port=process.port
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(process.timers.run)
        tasks.start_soon(process.mesh.run, listener)
        # VMs of a deployment do not start in the same millisecond.
        await anyio.sleep(process.rng.random())
        tasks.start_soon(agent.run)
        tasks.start_soon(exchange.run)


async def run_peers(files: list[str]) -> None:
    import eliot

    eliot.add_destinations(lambda message: None)
    async with anyio.create_task_group() as tasks:
        for file in files:
            tasks.start_soon(run_peer, file)


@dataclasses.dataclass(frozen=True)
class Measurement:
    """The figures of one VM a second, idle and with requests."""

    idle: dict[str, float]
    loaded: dict[str, float]


class Fleet:
    """A control VM, the measured entry VM and its peers.

    :param sources: folder with the code of the measured VM.
    """

    def __init__(
        self, sources: pathlib.Path, folder: pathlib.Path, vms: int
    ) -> None:
        self.sources = sources
        self.folder = folder
        self.vms = vms
        self.deployment = platform_path.Deployment('fleet', sources, BLOCK)
        self.host = f'127.{BLOCK}.1.1'
        self.deployment.entries = {REGION: self.host}
        self.started: list[subprocess.Popen] = []

    def start_process(
        self, name: str, arguments: list[str], sources: pathlib.Path
    ) -> subprocess.Popen:
        with open(self.folder / f'{name}.log', 'w') as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=platform_path.ROOT,
                env={**os.environ, 'PYTHONPATH': str(sources / 'src')},
            )
        self.started.append(process)
        return process

    def write_settings(self, role: str, host: str, data: str = '') -> str:
        file = self.folder / f'{role}-{host}.conf'
        file.write_text(self.deployment.settings(role, host, REGION, data))
        return str(file)

    def start(self) -> None:
        control = self.write_settings(
            'control', self.deployment.control, str(self.folder)
        )
        program = str(platform_path.ROOT / 'deploy' / 'greengagegw.py')
        arguments = ['platform', 'control', '--settings', control]
        self.start_process(
            'control', [program, *arguments], platform_path.ROOT
        )
        self.file = self.write_settings('entry', self.host)
        self.measured = self.start_process(
            'entry',
            ['-m', 'bench.fleet_cost', '--measured', self.file],
            self.sources,
        )
        files = [
            self.write_settings(
                'entry', f'127.{BLOCK}.{3 + at // 200}.{1 + at % 200}'
            )
            for at in range(self.vms)
        ]
        for at in range(0, self.vms, PEERS_PER_PROCESS):
            ones = files[at : at + PEERS_PER_PROCESS]
            self.start_process(
                f'peers-{at}',
                ['-m', 'bench.fleet_cost', '--peers', *ones],
                platform_path.ROOT,
            )

    def stop(self) -> None:
        for process in self.started:
            process.kill()
            process.wait()

    async def figures(self) -> dict[str, float]:
        """Returns the figures of the measured VM."""
        output = pathlib.Path(self.file).with_suffix('.json')
        output.unlink(missing_ok=True)
        self.measured.stdin.write(b'measure\n')
        self.measured.stdin.flush()
        while not output.exists():
            if self.measured.poll() is not None:
                raise RuntimeError((self.folder / 'entry.log').read_text())
            await anyio.sleep(0.1)
        return json.loads(output.read_text())

    async def send_requests(self) -> None:
        """Sends requests at a constant rate."""
        client = platform_path.PlatformClient(
            self.host, platform_path.PORT, 'key-1'
        )
        pause = REQUEST_CONNECTIONS / REQUESTS_PER_SECOND
        for path in itertools.cycle(('/book/x', '/look/x')):
            due_at = time.monotonic() + pause
            try:
                await client.post(path, platform_path.BODY)
            except (RuntimeError, OSError, anyio.EndOfStream):
                await client.close()
                client.stream = None
            await anyio.sleep(max(0.0, due_at - time.monotonic()))

    async def run(self) -> Measurement:
        async with contextlib.AsyncExitStack() as stack:
            for number in range(2 * platform_path.SERVERS):
                await stack.enter_async_context(
                    platform_backend.serving(
                        self.deployment.state,
                        [self.deployment.backend],
                        platform_path.PORT + number,
                    )
                )
            try:
                self.start()
                await self.deployment.configure()
                await anyio.sleep(SETTLE_SECONDS)
                idle = await self.figures()
                (self.folder / 'load').touch()
                async with anyio.create_task_group() as tasks:
                    for _ in range(REQUEST_CONNECTIONS):
                        tasks.start_soon(self.send_requests)
                    await anyio.sleep(2)
                    loaded = await self.figures()
                    tasks.cancel_scope.cancel()
                return Measurement(idle, loaded)
            finally:
                self.stop()


def show(name: str, vms: int, load: str, figures: dict[str, float]) -> None:
    """Prints the figures of one VM."""

    def total(way: str) -> float:
        return sum(figures.get(f'{way} {one}', 0.0) for one in COMPONENTS)

    def by_component(prefix: str, digits: int) -> str:
        return ', '.join(
            f'{one} {figures[f"{prefix} {one}"]:.{digits}f}'
            for one in COMPONENTS
            if f'{prefix} {one}' in figures
        )

    print(
        f'{name}, {vms} other VMs, {load}: {figures["cores"]:.4f} cores,'
        f' {figures["wake-ups"]:.0f} wake-ups/s'
        f' ({figures.get("timer wake-ups", 0):.0f} of timers),'
        f' {figures["tasks"]:.0f} tasks,'
        f' {figures.get("tasks started", 0):.0f} started/s'
    )
    for way in ('sent', 'received'):
        print(
            f'  {way}: {total(way):.1f} frames/s,'
            f' {figures.get(f"{way} bytes", 0):.0f} bytes/s'
            f' ({by_component(way, 1)})'
        )
    print(
        f'  cores by component, from {figures["samples"]:.0f} samples:'
        f' {by_component("cores", 4)}',
        flush=True,
    )


async def compare(base: str | None, sizes: list[int]) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        variants = {'now': platform_path.ROOT}
        if base is not None:
            variants = {base: platform_path.extract(base, folder), **variants}
        for vms in sizes:
            for variant, sources in variants.items():
                data = folder / f'{variant}-{vms}'
                data.mkdir()
                measurement = await Fleet(sources, data, vms).run()
                show(variant, vms, 'idle', measurement.idle)
                show(variant, vms, 'load', measurement.loaded)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--base', help='commit to compare with')
    parser.add_argument('--measured', help=argparse.SUPPRESS)
    parser.add_argument('--peers', nargs='+', help=argparse.SUPPRESS)
    parser.add_argument('vms', nargs='*', type=int, default=list(VMS))
    options = parser.parse_args()
    run = functools.partial(compare, options.base, options.vms)
    if options.measured:
        run = functools.partial(run_measured, options.measured)
    elif options.peers:
        run = functools.partial(run_peers, options.peers)
    anyio.run(run, backend_options={'use_uvloop': True})


if __name__ == '__main__':
    main()
