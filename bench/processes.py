"""Runs a gateway of one VM and a fake engine as processes."""

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

OPERATOR_TOKEN = 'token-of-the-bench'  # noqa: S105
GATEWAY_HOST = '127.80.1.1'
ENGINE_HOST = '127.80.2.1'
ENGINE_PORT = 9000
CLIENT_PORT = 8080
OPERATOR_PORT = 8081
TABLE = 'kind,name,rate,burst\norganisation,o,1000000000,1000000000\n'
CLOCK_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


class Processes:
    """The running processes.

    :ivar key: an API key.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, subprocess.Popen] = {}
        self.key = ''

    def cpu_seconds(self, name: str) -> float:
        """Returns the CPU time that a process has used so far."""
        pid = self.by_name[name].pid
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND

    def rss_bytes(self, name: str) -> int:
        pid = self.by_name[name].pid
        fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
        return int(fields[1]) * os.sysconf('SC_PAGE_SIZE')


def make_settings(folder: str, slots: int) -> dict:
    return {
        'deployment': 'bench',
        'vm': 'vm-1',
        'callers': {'host': GATEWAY_HOST, 'port': CLIENT_PORT},
        'operators': {'host': GATEWAY_HOST, 'port': OPERATOR_PORT},
        'peers': [
            {
                'vm': 'vm-1',
                'region': 'here',
                'failure_domain': 'a',
                'host': GATEWAY_HOST,
                'port': 8082,
                'callers_url': f'http://{GATEWAY_HOST}:{CLIENT_PORT}',
                'disk': True,
            }
        ],
        'peer_secret': 'a-secret-of-the-bench',
        'operator_token_sha256': [
            hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        ],
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
def running(token_ms: float, slots: int = 2000):
    """Runs an engine and a gateway for the duration of the context."""
    processes = Processes()
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / 'vm.yaml'
        file.write_text(yaml.safe_dump(make_settings(folder, slots)))
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
                processes.by_name[name] = subprocess.Popen(
                    [sys.executable, *arguments]
                )
            set_up(processes)
            yield processes
        finally:
            for process in processes.by_name.values():
                process.kill()
                process.wait()


def set_up(processes: Processes) -> None:
    """Waits until the gateway is ready, puts the table and issues a key."""
    url = f'http://{GATEWAY_HOST}:{OPERATOR_PORT}'
    with httpx.Client(
        headers={'authorization': f'Bearer {OPERATOR_TOKEN}'}, trust_env=False
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
        response = client.post(f'{url}/admin/keys', json={'organisation': 'o'})
        processes.key = response.json()['key']
    time.sleep(3)
