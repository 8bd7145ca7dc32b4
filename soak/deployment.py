"""Processes of a small deployment of the platform, on loopback."""

import json
import os
import pathlib
import signal
import subprocess
import sys

import anyio

from standins import loopback_blocks

from . import backends
from . import record as records

DOMAINS = {
    'piedmont-a': 'piedmont',
    'blue-ridge-a': 'blue-ridge',
    'coastal-a': 'coastal',
}
DOMAIN_NAMES = list(DOMAINS)
CLIENT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT = 8221, 8224, 8229, 8230
LIST_PORT, SERVER_PORT = 8225, 8080
LINK_SECONDS = 0.055
HOST_NAME = 'entries.example'
KEY = 'key-of-the-tenant'
ROOT = pathlib.Path(__file__).parent.parent
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


# All processes of this run, which have to end with it however it ends.
started_processes: list[subprocess.Popen] = []


class Machine:
    """A process of one role, with its settings and faults."""

    def __init__(self, deployment, name, role, host, domain) -> None:
        self.deployment = deployment
        self.name = name
        self.role = role
        self.host = host
        self.domain = domain
        self.process: subprocess.Popen | None = None
        self.is_expected_to_end = False
        self.faults: dict = {}

    @property
    def folder(self) -> pathlib.Path:
        return self.deployment.folder / self.name

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def settings(self, is_first_start: bool) -> str:
        machine_class = 'front' if self.role == 'entry' else 'core'
        lines = [
            f'nodeName={self.name}',
            f'role={self.role}',
            f'machineClass={machine_class}',
            f'ip={self.host}',
            f'zone={self.domain}',
            f'region={DOMAINS[self.domain]}',
            *(f'zones.{name}={region}' for name, region in DOMAINS.items()),
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
            'faultTolerance.machines=2',
            'faultTolerance.zones=1',
            'faultTolerance.regions=1',
            'configMode=highest',
            f'cloud.address={self.deployment.list_host}:{LIST_PORT}',
            'cloud.ratePerS=42.0',
            'cloud.duties=',
            'cloud.maxLagMs=800',
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
        return '\n'.join(lines) + '\n' + BOUNDS

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

    def start(self, is_first_start: bool = False) -> None:
        """Starts the process, unless an overlapping fault has done so."""
        if self.is_running:
            return
        folder = self.deployment.folder
        file = folder / f'{self.name}.conf'
        file.write_text(self.settings(is_first_start))
        self.set_faults()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'GREENGAGEGW_SETTINGS': str(file),
            'SOAK_ROOT': str(self.deployment.root),
            'SOAK_FAULTS': str(folder / f'{self.name}.faults.json'),
            'SOAK_HOST': self.host,
        }
        self.is_expected_to_end = False
        with open(folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    str(ROOT / 'soak' / 'process.py'),
                    'platform',
                    self.role,
                ],
                cwd=self.deployment.root,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        started_processes.append(self.process)

    def send(self, number: signal.Signals) -> None:
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.is_expected_to_end = True
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def wipe(self) -> None:
        """Removes all files of its disk."""
        for path in self.folder.glob('*'):
            path.unlink()


class Deployment:
    """All processes, stand-ins and addresses of one run.

    :param root: checkout whose program is run.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        root: pathlib.Path,
        record: records.Record,
        rng,
        tasks,
        control_count: int,
        entry_count: int,
    ) -> None:
        self.folder = folder
        self.root = root
        self.record = record
        self.rng = rng
        self.tasks = tasks
        self.block = f'127.{loopback_blocks.reserve_block()}'
        self.list_host = f'{self.block}.200.1'
        self.platform = backends.Platform()
        self.controls: list[Machine] = []
        self.entries: list[Machine] = []
        self.next_number = 1
        for number in range(control_count):
            self.add_control(DOMAIN_NAMES[number % 3])
        for number in range(entry_count):
            domain = DOMAIN_NAMES[number % 3]
            host = f'{self.block}.{1 + number % 3}.{150 + number}'
            name = f'front-{domain}-{number + 1}'
            self.entries.append(Machine(self, name, 'entry', host, domain))

    def add_control(self, domain: str) -> Machine:
        """Adds a control VM at an address that no other one had."""
        region = 1 + DOMAIN_NAMES.index(domain)
        number, self.next_number = self.next_number, self.next_number + 1
        host = f'{self.block}.{region}.{10 + number}'
        machine = Machine(
            self, f'core-{domain}-{number}', 'control', host, domain
        )
        self.controls.append(machine)
        return machine

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
        for number in range(3 * servers_per_domain):
            domain = DOMAIN_NAMES[number % 3]
            server = backends.Server(
                f'i-{number:04d}',
                f'{self.block}.{1 + number % 3}.{100 + number}',
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


def configuration(version: int) -> dict:
    """Returns the desired state of a version.

    The route ``/v/<version>/`` exists in this version and the next two.
    """
    route = {
        'host': HOST_NAME,
        'timeoutMs': 8000,
        'targetLatencyMs': 600,
        'priority': 2,
        'service': backends.SERVICE,
        'public': False,
        'sticky': False,
        'resumable': False,
        'homeRegions': [],
        'kind': 'safe',
        'maxAttempts': 2,
    }
    versions = range(max(1, version - 2), version + 1)
    return {
        'version': version,
        'routes': [
            route | {'name': 'r-lookup', 'pathPrefix': '/lookup/'},
            route
            | {'name': 'r-submit', 'pathPrefix': '/submit/', 'kind': 'unsafe'},
            *(
                route | {'name': f'r-{one}', 'pathPrefix': f'/v/{one}/'}
                for one in versions
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
