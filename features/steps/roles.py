"""Steps for the platform's roles, which run as processes."""

import contextlib
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

import anyio
import behave
import httpx
import orjson

from features import fleet_world
from standins import http_server
from standins import loopback_blocks

ROOT = pathlib.Path(__file__).parents[2]
# A block of loopback addresses that no other test uses.
BLOCK = loopback_blocks.reserve_block()
CONTROL_HOSTS = tuple(f'127.{BLOCK}.{at}.1' for at in range(3))
ENTRY_HOST = f'127.{BLOCK}.0.9'
LIST_HOST = f'127.{BLOCK}.0.7'
BACKEND_HOST = f'127.{BLOCK}.0.8'
PORT = 8080
READY_PORT = 8081
FIRST_INTERNAL_PORT = 7600
TIMEOUT_SECONDS = 40.0
REGIONS = ('a', 'b', 'c')
# Without SIGHUP the settings are read once in this time.
SETTINGS_POLL_SECONDS = 1.0


def make_settings(name, host, region, listeners, folder=''):
    seeds = ','.join(f'{one}:{PORT}' for one in CONTROL_HOSTS)
    lines = [
        f'nodeName={name}',
        f'ip={host}',
        f'zone={region}-1',
        f'region={region}',
        *(f'zones.{one}-1={one}' for one in REGIONS),
        f'internalPortRange={FIRST_INTERNAL_PORT},{FIRST_INTERNAL_PORT + 15}',
        f'seeds={seeds}',
        'bootstrap=true',
        f'cloud.address={LIST_HOST}:{PORT}',
        *(f'listen.{one}={host}:{port}' for one, port in listeners.items()),
    ]
    if folder:
        lines.append(f'dataDir={folder}')
    return '\n'.join(lines) + '\n'


async def serve_list(request, reply):
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


async def serve_backend(request, reply):
    headers = request.headers
    response_headers = (
        ('Greengagegw-Attempt-Id', headers['greengagegw-attempt-id']),
        ('Greengagegw-Server-Stamp', 'signed'),
        ('X-Organisation', headers['greengagegw-tenant']),
        ('X-Key', headers.get('greengagegw-credential', 'none')),
    )
    await reply.send_response(200, request.body, response_headers)


@contextlib.asynccontextmanager
async def run_standins():
    async with anyio.create_task_group() as tasks:
        for host, handler in (
            (LIST_HOST, serve_list),
            (BACKEND_HOST, serve_backend),
        ):
            await tasks.start(http_server.Server(host, PORT, handler).run)
        yield
        tasks.cancel_scope.cancel()


def wait_until(check):
    """Returns once a check holds.

    :raises AssertionError: if it does not hold within TIMEOUT_SECONDS.
    :raises httpx.HTTPError: if its last request failed.
    """
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while True:
        try:
            assert check()
            return
        except (AssertionError, httpx.HTTPError):
            if time.monotonic() > deadline:
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
    context.settings_files = []
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
    file.write_text(make_settings(role, host, region, listeners, data))
    context.settings_files.append(file)
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
        response = httpx.put(
            f'http://{CONTROL_HOSTS[1]}:{PORT}/-/config', content=document
        )
        return response.status_code == 200

    wait_until(is_accepted)
    for host in CONTROL_HOSTS:
        response = httpx.get(f'http://{host}:{PORT}/-/config')
        assert (response.status_code, response.content) == (200, document)


def is_ready():
    url = f'http://{ENTRY_HOST}:{READY_PORT}/-/readyz'
    return httpx.get(url).status_code == 200


@behave.then('the entry VM is ready, and lookups return it')
def then_ready(context):
    wait_until(is_ready)

    def is_returned():
        response = httpx.get(
            f'http://{CONTROL_HOSTS[0]}:{READY_PORT}/-/resolve',
            params={'name': 'h.example', 'region': 'a', 'zone': 'a-1'},
        )
        return response.json().get('addresses') == [f'{ENTRY_HOST}:{PORT}']

    wait_until(is_returned)


def send_request(key):
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
    "a request through the entry VM gets the backend server's response"
)
def then_response(context):
    wait_until(lambda: send_request('key-1').status_code == 200)
    response = send_request('key-1')
    assert response.content == b'a seat'
    headers = (response.headers['x-organisation'], response.headers['x-key'])
    assert headers == ('org', 'none'), headers


@behave.then('a request with an unknown key is rejected with 401')
def then_key_rejected(context):
    assert send_request('other').status_code == 401


@behave.then('the metrics of both roles are served')
def then_metrics(context):
    for host, port, name in (
        (ENTRY_HOST, 9464, 'greengagegw_requests_total{outcome="answered"}'),
        (CONTROL_HOSTS[0], 9465, 'greengagegw_configuration_version 3.0'),
    ):
        response = httpx.get(f'http://{host}:{port}/metrics')
        assert name in response.text, response.text


@behave.when('the entry VM gets SIGHUP under load and its settings change')
def when_reloaded(context):
    statuses = context.statuses = []
    is_done = threading.Event()

    def send_requests():
        while not is_done.is_set():
            statuses.append(send_request('key-1').status_code)

    senders = [threading.Thread(target=send_requests) for _ in range(4)]
    for one in senders:
        one.start()
    file = context.settings_files[-1]
    text = file.read_text()
    for _ in range(10):
        context.entry.send_signal(signal.SIGHUP)
        time.sleep(0.05)
    context.changed_at = time.monotonic()
    file.write_text(text.replace(f',{CONTROL_HOSTS[2]}:{PORT}\n', '\n'))
    context.entry.send_signal(signal.SIGHUP)
    log = file.with_suffix('.log')
    wait_until(lambda: 'settings:reloaded' in log.read_text())
    context.reload_seconds = time.monotonic() - context.changed_at
    is_done.set()
    for one in senders:
        one.join()


@behave.then(
    'every request got its response, and the settings were read at once'
)
def then_reloaded(context):
    assert context.statuses and set(context.statuses) == {200}
    assert context.reload_seconds < SETTINGS_POLL_SECONDS


@behave.when('each of them gets SIGHUP from its imports on')
def when_hangups(context):
    deadline = time.monotonic() + TIMEOUT_SECONDS
    for process in context.processes_started:
        while not is_importing(process) and time.monotonic() < deadline:
            time.sleep(0.001)
        process.send_signal(signal.SIGHUP)
    when_ready_under_hangups(context)


def is_importing(process):
    """Returns whether a process has imported the first extension module."""
    maps = pathlib.Path(f'/proc/{process.pid}/maps').read_text()
    return 'lib-dynload' in maps or 'site-packages' in maps


def when_ready_under_hangups(context):
    def is_up():
        for process in context.processes_started:
            process.send_signal(signal.SIGHUP)
        return is_running_and_ready()

    document = orjson.dumps(fleet_world.document(3))

    def is_accepted():
        response = httpx.put(
            f'http://{CONTROL_HOSTS[1]}:{PORT}/-/config', content=document
        )
        return response.status_code == 200

    wait_until(is_accepted)
    wait_until(is_up)


@behave.then('all of them are ready')
def then_all_ready(context):
    assert is_ready()
    assert all(one.poll() is None for one in context.processes_started)


@behave.when('the entry VM gets SIGTERM and then SIGHUP')
def when_stopped_and_reloaded(context):
    context.entry.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while context.entry.poll() is None and time.monotonic() < deadline:
        context.entry.send_signal(signal.SIGHUP)
        time.sleep(0.01)


@behave.when('the entry VM gets SIGTERM')
def when_stopped(context):
    context.entry.send_signal(signal.SIGTERM)


@behave.then('it is no longer ready and exits with code 0')
def then_exited(context):
    wait_until(lambda: not is_running_and_ready())
    assert context.entry.wait(TIMEOUT_SECONDS) == 0


def is_running_and_ready():
    try:
        return is_ready()
    except httpx.HTTPError:
        return False
