"""Clients that do not behave, at any listener of the platform's programs.

They send bodies of legal size that do not end, in parts of any size, heads
that do not end, and requests behind others, and stay connected until their
process is gone or the round ends.
"""

import pathlib
import random
import re
import signal

import anyio

from . import deployment as deployments
from . import record as records

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_MISSING_BYTES = 2048
HEAD_BYTES = 15000
CROWD_SECONDS = (3.0, 9.0)
COUNTS = (20, 60, 120)
MANY_COUNTS = (200, 500)
MAX_DELAY_SECONDS = 2.0
SAMPLE_SECONDS = 0.2
SETTLE_SECONDS = 3.0
# As in the settings of the machines.
MEMORY_BYTES = 296_000_000
DESCRIPTORS = 4096
INTERNAL_PORT = 7600
LISTENERS = {
    'entry': {
        'clients': deployments.CLIENT_PORT,
        'readiness': deployments.READY_PORT,
        'peers': INTERNAL_PORT + 1,
    },
    'control': {
        'operators': deployments.CONTROL_PORT,
        'lookups': deployments.DIRECTORY_PORT,
        'peers': INTERNAL_PORT,
    },
}
SIGNALS = (
    None,
    None,
    signal.SIGHUP,
    signal.SIGTERM,
    signal.SIGKILL,
)
CLOSED_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


def draw_parts(rng: random.Random) -> tuple[str, list[bytes]]:
    """Returns a kind of request, and what its clients send in order."""
    key = rng.choice([deployments.KEY, deployments.KEY, 'unknown'])
    path = rng.choice(['/submit/x', '/lookup/x', '/-/config', '/-/resolve'])
    method = rng.choice(['POST', 'PUT', 'GET'])
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {deployments.HOST_NAME}\r\n'
        f'Greengagegw-Attempt-Id: crowd\r\nGreengagegw-Credential: {key}\r\n'
    ).encode()
    size = rng.choice([65536, 1024 * 1024, MAX_BODY_BYTES])
    sent = size - rng.choice([0, 1, MAX_MISSING_BYTES])
    kind = rng.choice(['length', 'chunks', 'head', 'silent', 'pipeline'])
    if kind == 'length':
        lines = b'Content-Length: %d\r\n\r\n' % size
        part = rng.choice([4096, 65536, size])
        body = b'x' * sent
        pieces = [body[at : at + part] for at in range(0, sent, part)]
        return f'{kind} {sent} of {size} by {part}', [head + lines, *pieces]
    if kind == 'chunks':
        chunk = rng.choice([1, 16, 65536])
        count = min(sent // chunk, 100_000)
        piece = b'%x\r\n' % chunk + b'x' * chunk + b'\r\n'
        lines = b'Transfer-Encoding: chunked\r\n\r\n'
        return f'{kind} {count} of {chunk}', [head + lines, piece * count]
    if kind == 'head':
        return kind, [head + b'X-Padding: ' + b'x' * HEAD_BYTES]
    if kind == 'silent':
        return kind, []
    return kind, [(head + b'Content-Length: 1\r\n\r\nx') * 200]


class Player:
    """Draws rounds of crowds with signals in their middle."""

    def __init__(self, deployment, record, rng, log) -> None:
        self.deployment = deployment
        self.record = record
        self.rng = rng
        self.log = log

    async def play_round(self) -> None:
        """Plays up to three crowds that overlap."""
        await anyio.sleep(self.record.bounds.contact)
        began_at = self.record.now()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch)
            async with anyio.create_task_group() as crowds:
                for _ in range(self.rng.choice([1, 2, 3])):
                    machine = self.rng.choice(self.deployment.machines)
                    crowds.start_soon(self.play_crowd, machine, began_at)
            await anyio.sleep(SETTLE_SECONDS)
            tasks.cancel_scope.cancel()
        self.record.disturbances.append(
            records.Disturbance('crowds', began_at, self.record.now())
        )

    async def watch(self) -> None:
        """Records machines whose process is over its memory or descriptors."""
        while True:
            for one in self.deployment.machines:
                self.check_machine(one)
            await anyio.sleep(SAMPLE_SECONDS)

    def check_machine(self, machine) -> None:
        if not machine.is_running:
            return
        folder = pathlib.Path(f'/proc/{machine.process.pid}')
        try:
            status = (folder / 'status').read_text()
            descriptors = len(list((folder / 'fd').iterdir()))
        except OSError:
            # It has just ended.
            return
        found = re.search(r'VmHWM:\s+(\d+) kB', status)
        peak = int(found[1]) * 1024 if found else 0
        if peak > MEMORY_BYTES or descriptors > DESCRIPTORS:
            self.record.excesses[machine.name] = (
                f'{machine.name} used {peak} of {MEMORY_BYTES} bytes and'
                f' {descriptors} of {DESCRIPTORS} descriptors at'
                f' {self.record.now():.2f}'
            )

    async def play_crowd(self, machine, began_at: float) -> None:
        await anyio.sleep(self.rng.uniform(0.0, MAX_DELAY_SECONDS))
        name, port = self.rng.choice(list(LISTENERS[machine.role].items()))
        kind, parts = draw_parts(self.rng)
        is_small = sum(map(len, parts)) < MAX_BODY_BYTES // 16
        count = self.rng.choice(MANY_COUNTS if is_small else COUNTS)
        number = self.rng.choice(SIGNALS)
        seconds = self.rng.uniform(*CROWD_SECONDS)
        self.log(
            f'{count} clients send {kind} to {name} of {machine.name} for'
            f' {seconds:.1f} s, signal {number}'
        )
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tasks:
                for _ in range(count):
                    tasks.start_soon(self.run_client, machine, port, parts)
                await anyio.sleep(seconds / 2)
                await self.send_signal(machine, number)
                await anyio.sleep(seconds)

    async def send_signal(self, machine, number) -> None:
        """Sends a signal to a process, which is started again if it ends."""
        if number is None or not machine.is_running:
            return
        if number == signal.SIGHUP:
            machine.send(number)
            return
        machine.is_expected_to_end = True
        machine.send(number)
        with anyio.move_on_after(self.record.bounds.stop, shield=True):
            while machine.is_running:
                await anyio.sleep(SAMPLE_SECONDS)
        machine.kill()
        machine.start()

    async def run_client(self, machine, port: int, parts: list) -> None:
        """Sends and stays connected, and connects again when it is closed."""
        while True:
            try:
                async with await anyio.connect_tcp(machine.host, port) as one:
                    for part in parts:
                        await one.send(part)
                    while True:
                        await one.receive()
            except CLOSED_ERRORS:
                await anyio.sleep(SAMPLE_SECONDS)
