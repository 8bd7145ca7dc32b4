"""Steps on the platform's roles, run as processes on loopback."""

import contextlib
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import anyio
import behave
import httpx
import orjson

from features import fleet_world
from standins import http_server
from standins import loopback_blocks

ROOT = pathlib.Path(__file__).parents[2]
# Addresses of the loopback network that no other test uses.
BLOCK = loopback_blocks.reserve_block()
CONTROL_HOSTS = tuple(f'127.{BLOCK}.{at}.1' for at in range(3))
ENTRY_HOST = f'127.{BLOCK}.0.9'
LIST_HOST = f'127.{BLOCK}.0.7'
BACKEND_HOST = f'127.{BLOCK}.0.8'
PORT = 8080
READY_PORT = 8081
FIRST_PORT = 7600
DEADLINE_SECONDS = 40.0
REGIONS = ('a', 'b', 'c')


def settings_text(name, host, region, listeners, folder=''):
    seeds = ','.join(f'{one}:{PORT}' for one in CONTROL_HOSTS)
    lines = [
        f'nodeName={name}',
        f'ip={host}',
        f'zone={region}-1',
        f'region={region}',
        *(f'zones.{one}-1={one}' for one in REGIONS),
        f'internalPortRange={FIRST_PORT},{FIRST_PORT + 15}',
        f'seeds={seeds}',
        'bootstrap=true',
        f'cloud.address={LIST_HOST}:{PORT}',
        *(f'listen.{one}={host}:{port}' for one, port in listeners.items()),
    ]
    if folder:
        lines.append(f'dataDir={folder}')
    return '\n'.join(lines) + '\n'


async def answer_list(request, reply):
    entry = {
        'id': 'i-1',
        'service': 'desk',
        'address': f'{BACKEND_HOST}:{PORT}',
        'zone': 'a-1',
        'slots': 6,
        'state': 'ready',
        'coldLeftMs': 0,
    }
    content = {'instances': [entry], 'nextToken': None}
    await reply.send_response(200, orjson.dumps(content))


async def answer_backend(request, reply):
    headers = request.headers
    found = (
        ('Greengagegw-Attempt-Id', headers['greengagegw-attempt-id']),
        ('Greengagegw-Server-Stamp', 'signed'),
        ('X-Organisation', headers['greengagegw-tenant']),
        ('X-Key', headers.get('greengagegw-credential', 'none')),
    )
    await reply.send_response(200, request.body, found)


@contextlib.asynccontextmanager
async def run_standins():
    async with anyio.create_task_group() as tasks:
        for host, handler in (
            (LIST_HOST, answer_list),
            (BACKEND_HOST, answer_backend),
        ):
            await tasks.start(http_server.Server(host, PORT, handler).run)
        yield
        tasks.cancel_scope.cancel()


def wait_until(check):
    """Returns once a check holds; its last failure is raised."""
    give_up_at = time.monotonic() + DEADLINE_SECONDS
    while True:
        try:
            assert check()
            return
        except (AssertionError, httpx.HTTPError):
            if time.monotonic() > give_up_at:
                raise
        time.sleep(0.1)


@behave.given('3 control VMs and an entry VM run as processes')
def given_processes(context):
    manager = context.portal.wrap_async_context_manager(run_standins())
    manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.processes_started = []
    context.add_cleanup(stop_all, context.processes_started)
    listeners = {'control': PORT, 'directory': READY_PORT}
    for host, region in zip(CONTROL_HOSTS, REGIONS, strict=True):
        data = pathlib.Path(folder.name) / region
        start(context, folder, 'control', host, region, listeners, data)
    listeners = {'front': PORT, 'ready': READY_PORT}
    start(context, folder, 'entry', ENTRY_HOST, 'a', listeners, '')
    context.entry = context.processes_started[-1]


def start(context, folder, role, host, region, listeners, data):
    file = pathlib.Path(folder.name) / f'{role}-{region}.conf'
    file.write_text(settings_text(role, host, region, listeners, data))
    log = open(file.with_suffix('.log'), 'w')  # noqa: SIM115
    context.add_cleanup(log.close)
    program = str(ROOT / 'deploy' / 'greengagegw.py')
    context.processes_started.append(
        subprocess.Popen(
            [sys.executable, program, 'platform', role]
            + ['--settings', str(file)],
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    )


def stop_all(started):
    for process in started:
        process.kill()
    for process in started:
        process.wait()


@behave.when('an operator sends a configuration')
def when_configured(context):
    route = fleet_world.route(
        kind='unsafe', service='desk', pathPrefix='/book/', homeRegions=[]
    )
    document = orjson.dumps(fleet_world.document(3, routes=[route]))

    def is_accepted():
        answer = httpx.put(
            f'http://{CONTROL_HOSTS[1]}:{PORT}/-/config', content=document
        )
        return answer.status_code == 200

    wait_until(is_accepted)
    for host in CONTROL_HOSTS:
        found = httpx.get(f'http://{host}:{PORT}/-/config')
        assert (found.status_code, found.content) == (200, document)


def is_ready():
    url = f'http://{ENTRY_HOST}:{READY_PORT}/-/readyz'
    return httpx.get(url).status_code == 200


@behave.then('the entry VM is ready, and look-ups name it')
def then_ready(context):
    wait_until(is_ready)

    def is_named():
        found = httpx.get(
            f'http://{CONTROL_HOSTS[0]}:{READY_PORT}/-/resolve',
            params={'name': 'h.example', 'region': 'a', 'zone': 'a-1'},
        )
        return found.json().get('addresses') == [f'{ENTRY_HOST}:{PORT}']

    wait_until(is_named)


def call(key):
    headers = {
        'Host': 'h.example',
        'Greengagegw-Attempt-Id': 'r-1',
        'Greengagegw-Deadline-Ms': '9000',
        'Greengagegw-Credential': key,
    }
    return httpx.post(
        f'http://{ENTRY_HOST}:{PORT}/book/seat',
        content=b'a seat',
        headers=headers,
    )


@behave.then(
    'a request through the entry VM is answered by the backend server'
)
def then_answered(context):
    wait_until(lambda: call('key-1').status_code == 200)
    answer = call('key-1')
    assert answer.content == b'a seat'
    found = (answer.headers['x-organisation'], answer.headers['x-key'])
    assert found == ('org', 'none'), found


@behave.then('a request without a key is refused with 401')
def then_refused_key(context):
    assert call('other').status_code == 401


@behave.then('the metrics of both roles are served')
def then_metrics(context):
    for host, port, name in (
        (ENTRY_HOST, 9464, 'greengagegw_requests_total{outcome="answered"}'),
        (CONTROL_HOSTS[0], 9465, 'greengagegw_configuration_version 3.0'),
    ):
        found = httpx.get(f'http://{host}:{port}/metrics')
        assert name in found.text, found.text


@behave.when('the entry VM gets SIGTERM')
def when_stopped(context):
    context.entry.send_signal(signal.SIGTERM)


@behave.then('it is not ready any more, and ends with code 0')
def then_stopped(context):
    wait_until(lambda: not is_ready_or_gone())
    assert context.entry.wait(DEADLINE_SECONDS) == 0


def is_ready_or_gone():
    try:
        return is_ready()
    except httpx.HTTPError:
        return False
