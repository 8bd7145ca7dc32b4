"""Runs the VMs of a deployment as processes of the built binary."""

import contextlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import time

import anyio
import httpx
import yaml

from features import world as worlds
from standins import deployment as deployments
from standins import loopback_blocks

ROOT = pathlib.Path(__file__).parent.parent
BINARY = ROOT / 'dist' / 'greengagegw'
DEPLOYMENT_SPEC = deployments.DeploymentSpec(
    'processes',
    {'piedmont': 2, 'coastal': 1, 'blue-ridge': 1},
    {'judge-assist': {'piedmont': 1, 'coastal': 1}},
    {'entry-desk': {'piedmont': 1}},
    timeouts={'entries_ttl_seconds': 0.5},
)
WAIT_SECONDS = 60.0


class ProcessDeployment:
    """A deployment whose VMs are processes, with stand-in backend servers.

    :ivar running: the process of each VM that has not been killed.
    :ivar keys: API key of each organisation.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.deployment = deployments.Deployment(
            DEPLOYMENT_SPEC, folder, block=loopback_blocks.reserve_block()
        )
        self.running: dict[str, subprocess.Popen] = {}
        self.keys: dict[str, str] = {}
        self.notes: dict = {}

    @contextlib.asynccontextmanager
    async def started(self):
        async with anyio.create_task_group() as tasks:
            for one in [
                *self.deployment.engines.values(),
                *self.deployment.plain_services.values(),
            ]:
                await tasks.start(one.run)
            self.client = self.deployment.operator_client()
            try:
                for name in self.deployment.vm_names():
                    self.start(name)
                await self.wait_ready()
                await self.put_table(0, worlds.TABLE)
                await self.give_key('orchard')
                yield self
            finally:
                for name in list(self.running):
                    self.kill(name)
                tasks.cancel_scope.cancel()

    def start(self, name: str) -> None:
        """Starts the process of a VM, which appends to its old log."""
        file = self.folder / f'{name}.yaml'
        file.write_text(yaml.safe_dump(self.deployment.settings_content(name)))
        log = (self.folder / f'{name}.log').open('a')
        self.running[name] = subprocess.Popen(
            [str(BINARY), 'serve', '--settings', str(file)],
            stdout=log,
            stderr=log,
        )
        log.close()

    def kill(self, name: str) -> None:
        process = self.running.pop(name)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()

    def child_pids(self, name: str) -> list[str]:
        pid = self.running[name].pid
        pids = []
        for task in pathlib.Path(f'/proc/{pid}/task').iterdir():
            pids += (task / 'children').read_text().split()
        return pids

    async def fetch_status(self, name: str) -> dict:
        """Returns the status of a VM; empty if it does not respond."""
        url = self.deployment.operator_url(name) + '/admin/status'
        with contextlib.suppress(httpx.HTTPError):
            return (await self.client.get(url, timeout=2)).json()
        return {}

    async def wait_ready(self) -> None:
        await self.wait_until(self.is_ready)

    async def wait_until(self, condition) -> None:
        with anyio.fail_after(WAIT_SECONDS):
            while not await condition():
                await anyio.sleep(0.1)

    async def is_ready(self) -> bool:
        statuses = [await self.fetch_status(name) for name in self.running]
        lease_holders = [
            one for one in statuses if one.get('holds_region_lease')
        ]
        regions = {one.get('region') for one in statuses}
        return len(lease_holders) == len(regions) and all(
            one.get('ready')
            and all(group['leader'] for group in one['replicas'].values())
            and all(vm['alive'] for vm in one['vms'].values())
            for one in statuses
        )

    async def fetch_table(self, name: str) -> httpx.Response:
        url = self.deployment.operator_url(name) + '/admin/table'
        return await self.client.get(url)

    async def put_table(self, revision: int, text: str, via='') -> int:
        via = via or next(iter(self.running))
        response = await self.client.put(
            self.deployment.operator_url(via) + '/admin/table',
            content=text,
            headers={'if-match': f'"{revision}"'},
        )
        assert response.status_code == 200, response.text
        return response.json()['revision']

    async def edit(self, via: str = '') -> str:
        """Adds a region to the table and returns its name."""
        via = via or next(iter(self.running))
        response = await self.fetch_table(via)
        name = f'edit-{time.monotonic_ns()}'
        text = response.text + f'region,{name},1,,,,,,\n'
        revision = int(response.headers['etag'].strip('"'))
        await self.put_table(revision, text, via)
        return name

    async def has_edit(self, vm: str, edit: str) -> bool:
        with contextlib.suppress(httpx.HTTPError):
            return edit in (await self.fetch_table(vm)).text
        return False

    async def give_key(self, organisation: str) -> None:
        url = self.deployment.operator_url(next(iter(self.running)))
        response = await self.client.post(
            url + '/admin/keys', json={'organisation': organisation}
        )
        self.keys[organisation] = response.json()['key']

        async def has_revision():
            statuses = [await self.fetch_status(name) for name in self.running]
            return all(
                one.get('revision') == response.json()['revision']
                for one in statuses
            )

        await self.wait_until(has_revision)

    async def send(self, vm: str, path: str, content: dict, **headers):
        headers['authorization'] = f'Bearer {self.keys["orchard"]}'
        async with httpx.AsyncClient(
            trust_env=False, timeout=WAIT_SECONDS
        ) as client:
            return await client.post(
                self.deployment.client_url(vm) + path,
                json=content,
                headers=headers,
            )

    async def find_leader(self) -> str:
        for name in self.running:
            status = await self.fetch_status(name)
            replicas = status.get('replicas', {})
            if replicas.get('control', {}).get('role') == 'leader':
                return name
        raise AssertionError('no leader')

    def lose_disk(self, name: str) -> None:
        shutil.rmtree(self.folder / name)

    def back_up_disk(self, name: str) -> None:
        shutil.copytree(self.folder / name, self.folder / f'{name}.old')

    def restore_disk(self, name: str) -> None:
        self.lose_disk(name)
        os.rename(self.folder / f'{name}.old', self.folder / name)

    async def is_voter(self, name: str) -> bool:
        others = [one for one in self.running if one != name]
        for one in [name, *others]:
            status = await self.fetch_status(one)
            if not status:
                return False
            control = status['replicas'].get('control')
            if control is None:
                # A VM without a disk, which only has a memory replica of a
                # ledger.
                continue
            voters = [m['vm'] for m in control['members'] if m['votes']]
            if name not in voters or control['role'] == 'starting':
                return False
        return True


def read_log(folder: pathlib.Path, name: str) -> list[dict]:
    """Returns the messages in the log of a VM."""
    lines = (folder / f'{name}.log').read_text().splitlines()
    return [json.loads(line) for line in lines if line.startswith('{')]


def chat_body(**changes) -> dict:
    return worlds.chat_body(**changes)
