"""Starts a gateway of one VM and an engine, each as a process."""

import contextlib
import hashlib
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import httpx
import yaml

TOKEN = 'token-of-the-bench'  # noqa: S105
HOST = '127.80.1.1'
ENGINE_HOST = '127.80.2.1'
ENGINE_PORT = 9000
CALLERS_PORT = 8080
OPERATORS_PORT = 8081
TABLE = 'kind,name,rate,burst\norganisation,o,1000000000,1000000000\n'
TICKS = os.sysconf('SC_CLK_TCK')


class System:
    """The processes, and what they have used."""

    def __init__(self) -> None:
        self.processes: dict[str, subprocess.Popen] = {}
        self.key = ''

    def cpu_seconds(self, name: str) -> float:
        """Returns the processor time of a process so far."""
        pid = self.processes[name].pid
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def rss_bytes(self, name: str) -> int:
        pid = self.processes[name].pid
        fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
        return int(fields[1]) * os.sysconf('SC_PAGE_SIZE')


def settings(folder: str, slots: int) -> dict:
    return {
        'deployment': 'bench',
        'vm': 'vm-1',
        'callers': {'host': HOST, 'port': CALLERS_PORT},
        'operators': {'host': HOST, 'port': OPERATORS_PORT},
        'peers': [
            {
                'vm': 'vm-1',
                'region': 'here',
                'failure_domain': 'a',
                'host': HOST,
                'port': 8082,
                'callers_url': f'http://{HOST}:{CALLERS_PORT}',
                'disk': True,
            }
        ],
        'peer_secret': 'a-secret-of-the-bench',
        'operator_token_sha256': [hashlib.sha256(TOKEN.encode()).hexdigest()],
        'data_folder': f'{folder}/data',
        'limits': {'requests_in_flight': 10000},
        'backend_servers': [
            {
                'name': 'engine-1',
                'service': 'assist',
                'region': 'here',
                'url': f'http://{ENGINE_HOST}:{ENGINE_PORT}',
                'slots': slots,
            }
        ],
    }


@contextlib.contextmanager
def started(token_ms: float, slots: int = 2000):
    """Runs an engine and a gateway while the context is entered."""
    system = System()
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / 'vm.yaml'
        file.write_text(yaml.safe_dump(settings(folder, slots)))
        commands = {
            'engine': [
                '-m',
                'bench.engine_process',
                ENGINE_HOST,
                str(ENGINE_PORT),
                str(token_ms),
                str(slots),
            ],
            'gateway': [
                '-m',
                'greengagegw.cli.main',
                'serve',
                '--settings',
                str(file),
                '--log',
                f'{folder}/log',
            ],
        }
        try:
            for name, arguments in commands.items():
                system.processes[name] = subprocess.Popen(
                    [sys.executable, *arguments]
                )
            set_up(system)
            yield system
        finally:
            for process in system.processes.values():
                process.kill()
                process.wait()


def set_up(system: System) -> None:
    """Waits for the gateway, and gives a key."""
    url = f'http://{HOST}:{OPERATORS_PORT}'
    with httpx.Client(
        headers={'authorization': f'Bearer {TOKEN}'}, trust_env=False
    ) as client:
        for _ in range(200):
            with contextlib.suppress(httpx.HTTPError):
                status = client.get(f'{url}/admin/status').json()
                if status['ready'] and status['holds_region_lease']:
                    break
            time.sleep(0.1)
        client.put(
            f'{url}/admin/table', content=TABLE, headers={'if-match': '"0"'}
        )
        answer = client.post(f'{url}/admin/keys', json={'organisation': 'o'})
        system.key = answer.json()['key']
    time.sleep(3)
