"""Runs a deployment as tasks of one process, on loopback addresses."""

import collections.abc
import contextlib
import dataclasses
import hashlib
import pathlib
import random

import anyio
import anyio.abc
import httpx

from greengagegw import settings as settings_module
from greengagegw import timers as timer_service
from greengagegw import vm as vms

from . import engine
from . import network
from . import plain_service

OPERATOR_TOKEN = 'operators-token-of-the-stand-in'  # noqa: S105
PEER_SECRET = 'peer-secret-of-the-stand-in'  # noqa: S105
CLIENT_PORT = 8080
OPERATOR_PORT = 8081
PEER_PORT = 8082
ENGINE_PORT = 9000


@dataclasses.dataclass(frozen=True)
class DeploymentSpec:
    """The VMs and backend servers of a deployment, with their settings.

    :ivar vms: number of VMs by region; the first of each has a disk.
    :ivar engines: number of engines by service and region.
    :ivar plain_services: number of plain services by service and region.
    :ivar model_backend_settings: further settings of each model backend
        server.
    :ivar slots: requests that one backend server may process at once.
    """

    name: str
    vms: dict[str, int]
    engines: dict[str, dict[str, int]]
    plain_services: dict[str, dict[str, int]]
    limits: dict = dataclasses.field(default_factory=dict)
    timeouts: dict = dataclasses.field(default_factory=dict)
    model_backend_settings: dict = dataclasses.field(default_factory=dict)
    slots: int = 8


GUILD_SPEC = DeploymentSpec(
    'guild',
    {'piedmont': 3, 'blue-ridge': 2, 'coastal': 2},
    {
        'judge-assist': {'piedmont': 2, 'blue-ridge': 2, 'coastal': 1},
    },
    {
        'entry-desk': {'piedmont': 1, 'blue-ridge': 1, 'coastal': 1},
    },
)


class Deployment:
    """VMs and fake backend servers in one process.

    :param folder: where the VMs with a disk keep their data.
    :param block: second octet of the loopback addresses, so that deployments
        can run in parallel.
    """

    def __init__(
        self,
        spec: DeploymentSpec,
        folder: pathlib.Path,
        block: int = 77,
        seed: int = 1,
    ) -> None:
        self.spec = spec
        self.folder = folder
        self.block = block
        self.seed = seed
        self.timers = timer_service.Timers()
        self.engines: dict[str, engine.Engine] = {}
        self.plain_services: dict[str, plain_service.PlainService] = {}
        self.vms: dict[str, vms.Vm] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.network = network.Network()
        self.tasks: anyio.abc.TaskGroup | None = None
        self.peers: list[dict] = []
        self.backends: list[dict] = []
        self.add_peers()
        self.add_backends()

    def add_peers(self) -> None:
        for at, (region, count) in enumerate(self.spec.vms.items(), 1):
            for number in range(1, count + 1):
                host = f'127.{self.block}.{at}.{number}'
                self.peers.append(
                    {
                        'vm': f'{region}-{number}',
                        'region': region,
                        'failure_domain': f'{region}-{number % 2}',
                        'host': host,
                        'port': PEER_PORT,
                        'callers_url': f'http://{host}:{CLIENT_PORT}',
                        'disk': number == 1,
                    }
                )

    def add_backends(self) -> None:
        number = 0
        kinds = (
            ('model', self.spec.engines),
            ('plain', self.spec.plain_services),
        )
        for kind, services in kinds:
            for service, counts in services.items():
                for region, count in counts.items():
                    for at in range(1, count + 1):
                        number += 1
                        self.add_backend(kind, service, region, at, number)

    def add_backend(
        self, kind: str, service: str, region: str, at: int, number: int
    ) -> None:
        name = f'{service}-{region}-{at}'
        host = f'127.{self.block}.100.{number}'
        if kind == 'model':
            settings = engine.EngineSettings(slots=self.spec.slots)
            self.engines[name] = engine.Engine(
                name, host, ENGINE_PORT, settings
            )
        else:
            self.plain_services[name] = plain_service.PlainService(
                name, host, ENGINE_PORT
            )
        self.backends.append(
            {
                'name': name,
                'service': service,
                'region': region,
                'kind': kind,
                'url': f'http://{host}:{ENGINE_PORT}',
                'slots': self.spec.slots,
                'resumes': kind == 'model',
                **(
                    self.spec.model_backend_settings if kind == 'model' else {}
                ),
            }
        )

    def make_settings(self, vm: str) -> settings_module.Settings:
        """Returns the validated settings of a VM."""
        return settings_module.check(self.settings_content(vm), vm)

    def settings_content(self, vm: str) -> dict:
        """Returns the settings of a VM as the content of its settings file."""
        own_peer = next(peer for peer in self.peers if peer['vm'] == vm)
        content = {
            'deployment': self.spec.name,
            'vm': vm,
            'callers': {'host': own_peer['host'], 'port': CLIENT_PORT},
            'operators': {'host': own_peer['host'], 'port': OPERATOR_PORT},
            'peers': self.peers,
            'peer_secret': PEER_SECRET,
            'operator_token_sha256': [
                hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
            ],
            'backend_servers': self.backends,
            'limits': self.spec.limits,
            'timeouts': self.spec.timeouts,
        }
        if own_peer['disk']:
            content['data_folder'] = str(self.folder / vm)
        return content

    def client_url(self, vm: str) -> str:
        found = next(peer for peer in self.peers if peer['vm'] == vm)
        return found['callers_url']

    def operator_url(self, vm: str) -> str:
        found = next(peer for peer in self.peers if peer['vm'] == vm)
        return f'http://{found["host"]}:{OPERATOR_PORT}'

    def vm_names(self) -> list[str]:
        return [peer['vm'] for peer in self.peers]

    async def start_vm(self, name: str) -> vms.Vm:
        """Starts a VM as a task."""
        rng = random.Random(f'{self.seed}/{name}')
        vm = vms.Vm(self.make_settings(name), self.timers, rng)
        self.network.attach(vm.mesh)
        self.vms[name] = vm
        self.tasks.start_soon(self.run_vm, name, vm)
        return vm

    async def run_vm(self, name: str, vm: vms.Vm) -> None:
        with anyio.CancelScope() as scope:
            self.scopes[name] = scope
            await vm.run()

    async def kill_vm(self, name: str) -> None:
        """Ends a VM abruptly, like a killed process."""
        self.scopes.pop(name).cancel()
        vm = self.vms.pop(name)
        await vm.stopped.wait()
        # The listeners close shortly after the VM has stopped.
        await anyio.sleep(0.05)

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Waits until all VMs are ready and all roles are held.

        :raises TimeoutError: if that takes more than ``seconds``.
        """
        with anyio.fail_after(seconds):
            while not all(self.is_ready(vm) for vm in self.vms.values()):
                await anyio.sleep(0.05)

    def is_ready(self, vm: vms.Vm) -> bool:
        """Returns whether a VM is ready and all roles are held.

        The roles are the lease of each region, and the leader of the control
        group and of each region's ledger.
        """
        regions = {one.lease.region for one in self.vms.values()}
        regions_with_lease = {
            one.lease.region for one in self.vms.values() if one.lease.is_held
        }
        groups_with_leader = {
            group
            for one in self.vms.values()
            for group, replica in one.replicas.items()
            if replica.is_leader
        }
        return (
            vm.is_ready()
            and regions_with_lease == regions
            and len(groups_with_leader) == 1 + len(regions)
        )

    @contextlib.asynccontextmanager
    async def running(
        self,
    ) -> collections.abc.AsyncIterator['Deployment']:
        """Runs all VMs and backend servers for the duration of the context."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.timers.run)
            for one in [*self.engines.values(), *self.plain_services.values()]:
                await tasks.start(one.run)
            for name in self.vm_names():
                await self.start_vm(name)
            try:
                yield self
            finally:
                tasks.cancel_scope.cancel()

    def operator_client(self) -> httpx.AsyncClient:
        """Returns an HTTP client that sends the operator token."""
        return httpx.AsyncClient(
            headers={'authorization': f'Bearer {OPERATOR_TOKEN}'},
            timeout=15,
            trust_env=False,
        )
