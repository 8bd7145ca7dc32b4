"""Steps for the start of a process of the platform."""

import os
import pathlib
import subprocess
import sys
import tempfile

import behave

from greengagegw.platform import settings as platform_settings
from standins import loopback_blocks

HOST = f'127.{loopback_blocks.reserve_block()}.0.1'
IMPORT = """
import gc, sys
from greengagegw.cli import main
command = main.main.get_command(None, 'platform')
sys.modules['greengagegw.cli.platform'].import_role({role!r})
"""
LIST_MODULES = 'print(gc.isenabled(), gc.get_freeze_count() > 0, *sys.modules)'
SERVE = """
import anyio
from greengagegw.adapters import asgi
from greengagegw.adapters import servers
from greengagegw import intake, machine, timers as timer_service

timers = timer_service.Timers()
limits = machine.MachineLimits(300_000_000, 4096)
limit = intake.Intake(limits, timers).limit_clients()

async def application(scope, receive, send):
    if scope['type'] == 'lifespan':
        return await asgi.serve_lifespan(receive, send)
    await asgi.send_response(send, 404, [], b'')

async def main():
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(servers.serve, application, ({host!r}, 8080),
            servers.ServerSettings(65536, 20.0, 0.1), anyio.sleep_forever,
            limit, timers)
        with anyio.fail_after(20):
            while True:
                try:
                    stream = await anyio.connect_tcp({host!r}, 8080)
                    break
                except OSError:
                    await anyio.sleep(0.05)
            await stream.send({request!r})
            answer = await stream.receive()
        print(answer[:12].decode())
        sys.stdout.flush()
        import os
        os._exit(0)

anyio.run(main, backend_options={{'use_uvloop': True}})
"""
REQUESTS = {
    'HTTP/2': b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0',
    'an upgrade to h2c': b'GET / HTTP/1.1\r\nhost: h\r\n'
    b'connection: upgrade\r\nupgrade: h2c\r\n\r\n',
    'WebSocket': b'GET / HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\n'
    b'upgrade: websocket\r\nsec-websocket-version: 13\r\n'
    b'sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n',
}


def run_python(text):
    return subprocess.run(
        [sys.executable, '-c', text],
        check=True,
        capture_output=True,
        text=True,
        timeout=60,
    ).stdout.strip()


@behave.when('the role {role} is imported')
def when_imported(context, role):
    output = run_python(IMPORT.format(role=role) + LIST_MODULES)
    context.is_collecting, context.is_frozen, *context.modules = output.split()


@behave.then('{unused} are not imported')
def then_not_imported(context, unused):
    imported = set(unused.split()) & set(context.modules)
    assert not imported, imported


@behave.then('garbage is collected again, but not that of the imports')
def then_collecting(context):
    assert (context.is_collecting, context.is_frozen) == ('True', 'True')


@behave.when('a client of an imported role uses {protocol}')
def when_protocol(context, protocol):
    serve = SERVE.format(host=HOST, request=REQUESTS[protocol])
    context.answer = run_python(IMPORT.format(role='entry') + serve)


@behave.then('the server answers with {answer}')
def then_answer(context, answer):
    assert context.answer == answer, context.answer


@behave.given('a settings file of the platform')
def given_file(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = pathlib.Path(folder.name) / 'local.conf'
    context.file.write_text(
        'nodeName=vm-1\nip=127.0.0.1\nregion=a\nzone=a-1\n'
        'internalPortRange=7600,7615\ncloud.address=127.0.0.1:8080\n'
        'seeds=127.0.0.2:8080\n'
    )


@behave.when(
    'it is read 3 times, changed without changing its length, and read'
)
def when_read(context):
    decode = platform_settings.decode
    context.decoded = 0

    def count(text):
        context.decoded += 1
        return decode(text)

    platform_settings.decode = count
    try:
        file = platform_settings.SettingsFile(str(context.file))
        for _ in range(3):
            file.read()
        times = os.stat(context.file)
        text = context.file.read_text().replace('127.0.0.2', '127.0.0.3')
        context.file.write_text(text)
        os.utime(context.file, ns=(times.st_atime_ns, times.st_mtime_ns))
        context.settings = file.read()
    finally:
        platform_settings.decode = decode


@behave.then('it was decoded {count:d} times and the change is in force')
def then_decoded(context, count):
    assert context.decoded == count, context.decoded
    assert context.settings.seeds == ('127.0.0.3',)
