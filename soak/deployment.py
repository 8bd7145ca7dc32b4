"""Processes of a small deployment of the platform, on loopback."""

import json
import os
import pathlib
import shutil
import signal
import struct
import subprocess
import sys
import time

import anyio

from . import backends
from . import durable
from . import layout as layouts
from . import record as records

CLIENT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT = 8221, 8224, 8229, 8230
LIST_PORT, SERVER_PORT = 8225, 8080
LINK_SECONDS = 0.055
HOST_NAME = 'entries.example'
KEY = 'key-of-the-tenant'
# A route of a version exists in as many later versions.
KEPT_VERSION_ROUTES = 2
ROOT = pathlib.Path(__file__).parent.parent
CONTROL_METRICS_PORT = 9465
# Bounds that no check uses, and that are the same for all deployments.
OTHER_BOUNDS = """\
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.lossSlackMs=200
bounds.rollbackSlackMs=250
bounds.strictRevoke=true
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retrySlack=54
bounds.quotaWindowS=8
bounds.quotaOverage=0.1
bounds.quotaSlack=140000
bounds.coldOverage=1.5
bounds.coldSlack=3
bounds.passMs=600
bounds.reuseWindowS=10
bounds.ttl_max_s=5
"""


def encode_bounds(bounds: layouts.Bounds) -> list[str]:
    """Returns the lines of a settings file for the bounds of checks."""
    milliseconds = {
        'contactMs': bounds.contact,
        'ackTimeoutMs': bounds.acknowledge,
        'drainMs': bounds.drain,
        'configApplyMs': bounds.apply,
        'maxStretchMs': bounds.stretch,
        'evacuateMs': bounds.evacuate,
        'revokeMs': bounds.revoke,
    }
    seconds = {
        'catchUpS': bounds.catch_up,
        'graceS': bounds.stop,
        'recoveryS': bounds.recovery,
    }
    return [
        *(
            f'bounds.{name}={one * 1000:.0f}'
            for name, one in milliseconds.items()
        ),
        *(f'bounds.{name}={one:g}' for name, one in seconds.items()),
    ]


# All processes of this run, which have to end with it however it ends.
started_processes: list[subprocess.Popen] = []


class Machine:
    """A process of one role, with its settings and faults.

    :ivar started_at: when the process started, in monotonic seconds.
    """

    def __init__(self, deployment, name, role, host, domain) -> None:
        self.deployment = deployment
        self.name = name
        self.role = role
        self.host = host
        self.domain = domain
        self.root = deployment.root
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0
        self.is_expected_to_end = False
        self.faults: dict = {}
        self.suspended_seconds = 0.0
        self.stepped_seconds = 0.0

    @property
    def folder(self) -> pathlib.Path:
        return self.deployment.folder / self.name

    @property
    def copies(self) -> pathlib.Path:
        """Where what is durable of its folder is kept."""
        return self.deployment.folder / f'durable-{self.name}'

    @property
    def clocks(self) -> pathlib.Path:
        return self.deployment.folder / f'{self.name}.clocks'

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def has_run(self, seconds: float) -> bool:
        """Returns whether its process has run that long."""
        has_run_seconds = time.monotonic() - self.started_at
        return self.is_running and has_run_seconds >= seconds

    def settings(self, is_first_start: bool) -> str:
        machine_class = 'front' if self.role == 'entry' else 'core'
        layout = self.deployment.layout
        lines = [
            f'nodeName={self.name}',
            f'role={self.role}',
            f'machineClass={machine_class}',
            f'ip={self.host}',
            f'zone={self.domain}',
            f'region={layout.regions[self.domain]}',
            *(
                f'zones.{name}={region}'
                for name, region in layout.regions.items()
            ),
            'internalPortRange=7600,7615',
            f'seeds={self.deployment.seeds()}',
            f'bootstrap={str(is_first_start).lower()}',
            f'inFaultBudget={str(self.role == "control").lower()}',
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
            f'faultTolerance.machines={layout.lost_machines}',
            'faultTolerance.zones=1',
            'faultTolerance.regions=1',
            'configMode=highest',
            f'cloud.address={self.deployment.list_host}:{LIST_PORT}',
            'cloud.ratePerS=42.0',
            'cloud.duties=',
            'cloud.maxLagMs=800',
            *encode_bounds(layout.bounds),
        ]
        if self.role == 'entry':
            lines += [
                'serves=front',
                f'listen.front={self.host}:{CLIENT_PORT}',
                f'listen.ready={self.host}:{READY_PORT}',
            ]
        else:
            lines += [
                'serves=control,directory',
                f'listen.control={self.host}:{CONTROL_PORT}',
                f'listen.directory={self.host}:{DIRECTORY_PORT}',
                f'dataDir={self.folder}',
                'limits.diskMb=128',
            ]
        return '\n'.join(lines) + '\n' + OTHER_BOUNDS

    def set_faults(self, **faults) -> None:
        """Changes faults of the running process; None ends one."""
        self.faults |= faults
        self.faults = {
            name: value
            for name, value in self.faults.items()
            if value is not None
        }
        file = self.deployment.folder / f'{self.name}.faults.json'
        content = {'link_seconds': LINK_SECONDS, **self.faults}
        temporary = file.with_suffix('.new')
        temporary.write_text(json.dumps(content))
        temporary.rename(file)

    def set_clocks(self) -> None:
        """Writes in place, since the process has mapped the file."""
        self.clocks.touch()
        with open(self.clocks, 'r+b') as file:
            content = self.suspended_seconds, self.stepped_seconds
            file.write(struct.pack('dd', *content))

    def resume(self, suspended_seconds: float = 0.0) -> None:
        """Resumes the process; its steady clock stood still that long."""
        self.suspended_seconds += suspended_seconds
        self.set_clocks()
        self.send(signal.SIGCONT)

    def start(self, is_first_start: bool = False) -> None:
        """Starts the process, unless an overlapping fault has done so."""
        if self.is_running:
            return
        folder = self.deployment.folder
        file = folder / f'{self.name}.conf'
        file.write_text(self.settings(is_first_start))
        self.set_faults()
        self.set_clocks()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'GREENGAGEGW_SETTINGS': str(file),
            'SOAK_ROOT': str(self.root),
            'SOAK_FAULTS': str(folder / f'{self.name}.faults.json'),
            'SOAK_HOST': self.host,
            'SOAK_DATA': str(self.folder),
            'SOAK_CLOCKS': str(self.clocks),
        }
        if self.role == 'control':
            environment['SOAK_COPIES'] = str(self.copies)
        self.is_expected_to_end = False
        with open(folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    str(ROOT / 'soak' / 'process.py'),
                    'platform',
                    self.role,
                ],
                cwd=self.root,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started_at = time.monotonic()
        started_processes.append(self.process)

    def send(self, number: signal.Signals) -> None:
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.is_expected_to_end = True
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def lose_power(self, rng) -> dict[str, str]:
        """Ends the process and drops what was not synced.

        :returns: what happened to the files with unsynced changes.
        """
        self.kill()
        return durable.lose_power(self.folder, self.copies, rng)

    def wipe(self) -> None:
        """Removes all files of its disk."""
        shutil.rmtree(self.copies, ignore_errors=True)
        for path in self.folder.glob('*'):
            path.unlink()


class Deployment:
    """All processes, stand-ins and addresses of one run.

    :param root: checkout whose program is run.
    :param other_root: checkout that every second VM runs instead; None for
        one release.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        root: pathlib.Path,
        record: records.Record,
        rng,
        tasks,
        layout: layouts.Layout,
        other_root: pathlib.Path | None = None,
    ) -> None:
        self.layout = layout
        self.other_root = other_root
        self.folder = folder
        self.root = root
        self.record = record
        self.rng = rng
        self.tasks = tasks
        self.block = layouts.reserve_block()
        self.list_host = f'{self.block}.200.1'
        self.platform = backends.Platform()
        self.controls: list[Machine] = []
        self.entries: list[Machine] = []
        self.next_number = 1
        for domain in layout.controls:
            self.add_control(domain)
        for number, domain in enumerate(layout.entries):
            host = layout.address(self.block, domain, 150 + number)
            name = f'front-{domain}-{number + 1}'
            machine = Machine(self, name, 'entry', host, domain)
            self.choose_release(machine, number)
            self.entries.append(machine)

    def add_control(self, domain: str) -> Machine:
        """Adds a control VM at an address that no other one had."""
        number, self.next_number = self.next_number, self.next_number + 1
        host = self.layout.address(self.block, domain, 10 + number)
        machine = Machine(
            self, f'core-{domain}-{number}', 'control', host, domain
        )
        self.choose_release(machine, number)
        self.controls.append(machine)
        return machine

    def choose_release(self, machine: Machine, number: int) -> None:
        if self.other_root is not None and number % 2:
            machine.root = self.other_root

    def seeds(self) -> str:
        return ','.join(
            f'{one.host}:{CONTROL_PORT}' for one in self.controls[:3]
        )

    @property
    def machines(self) -> list[Machine]:
        return [*self.controls, *self.entries]

    async def start(self, servers_per_domain: int) -> None:
        await self.tasks.start(
            backends.serve, self.list_host, LIST_PORT, self.platform.answer
        )
        domains = self.layout.domains * servers_per_domain
        for number, domain in enumerate(domains):
            server = backends.Server(
                f'i-{number:04d}',
                self.layout.address(self.block, domain, 100 + number),
                SERVER_PORT,
                domain,
                self.record,
                self.rng,
                self.tasks,
            )
            self.platform.servers.append(server)
            await self.tasks.start(
                backends.serve, server.host, server.port, server.answer
            )
        for machine in self.machines:
            machine.start(is_first_start=True)

    async def watch_processes(self) -> None:
        """Records processes that end although nothing ended them."""
        while True:
            await anyio.sleep(0.1)
            for one in self.machines:
                has_ended = one.process is not None and not one.is_running
                if has_ended and not one.is_expected_to_end:
                    self.record.own_ends.append(
                        f'{one.name} ended by itself with code'
                        f' {one.process.returncode} at'
                        f' {self.record.now():.2f}'
                    )
                    one.start()

    def stop(self) -> None:
        for one in self.machines:
            one.send(signal.SIGCONT)
            one.kill()


def kill_started_processes() -> None:
    for one in started_processes:
        if one.poll() is None:
            one.kill()
            one.wait()
    started_processes.clear()


def route_versions(version: int) -> range:
    """Returns the versions whose routes exist in a version."""
    return range(max(1, version - KEPT_VERSION_ROUTES), version + 1)


def configuration(
    version: int, home_regions: list[str], objective_ms: int, keys: list[str]
) -> dict:
    """Returns the desired state of a version, with keys beside the usual one.

    Each version adds a route ``/v/<version>/``, which later ones drop again.
    """
    route = {
        'host': HOST_NAME,
        'timeoutMs': 8000,
        'targetLatencyMs': objective_ms,
        'priority': 2,
        'service': backends.SERVICE,
        'public': False,
        'sticky': False,
        'resumable': False,
        'homeRegions': [],
        'kind': 'safe',
        'maxAttempts': 2,
    }
    return {
        'version': version,
        'routes': [
            route | {'name': 'r-lookup', 'pathPrefix': '/lookup/'},
            route
            | {'name': 'r-submit', 'pathPrefix': '/submit/', 'kind': 'unsafe'},
            route
            | {
                'name': 'r-stream',
                'pathPrefix': '/stream/',
                'kind': 'streaming',
                'gapTargetMs': 600,
                'maxAttempts': 1,
            },
            route
            | {
                'name': 'r-home',
                'pathPrefix': '/home/',
                'homeRegions': home_regions,
            },
            *(
                route | {'name': f'r-{one}', 'pathPrefix': f'/v/{one}/'}
                for one in route_versions(version)
            ),
        ],
        'services': [
            {
                'name': backends.SERVICE,
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
                'apiKeys': [KEY, *keys],
                'priority': 1,
                'unit': 'token_stream',
                'plainTokens': 200,
                'ratePerS': 0,
                'burst': 0,
                'homeRegions': [],
            }
        ],
    }
