"""Planned stops of entry VMs under requests of different lengths.

Clients keep using a VM until its process is gone: on connections that are
kept or new, with bodies that arrive slowly, for calls and streams.
"""

import random
import signal
import ssl

import anyio
import anyio.abc
import h11

from . import deployment as deployments
from . import record as records

# Seconds that a server works on a request, by the path of the request.
WORK_SECONDS = {
    'instant': 0.05,
    'short': 0.6,
    'long': 2.5,
    'longer': 4.5,
    'longest': 6.5,
}
# No request is too long for its objective.
OBJECTIVE_MS = 8000
EVENT_GAP_SECONDS = 0.1
CLIENTS_PER_ENTRY = 8
# Share of the clients that prefer a VM which is being stopped.
LATE_SHARE = 0.5
SLOW_BODY_SHARE = 0.3
NEW_CONNECTION_SHARE = 0.4
CONNECT_SECONDS = 1.0
REQUEST_SECONDS = 8.0
SILENCE_SECONDS = 12.0
BODY = b'entry of a client'
MAX_CHUNK_BYTES = 65536
POLL_SECONDS = 0.05
EXTRA_STOP_SECONDS = 1.0
CLOSED_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
    ssl.SSLError,
)


class Client:
    """One client, which sends one request at a time.

    :ivar stream: its connection, kept from one request to the next.
    """

    def __init__(self, player: 'Player', rng: random.Random) -> None:
        self.player = player
        self.rng = rng
        self.machine = None
        self.stream: anyio.abc.SocketStream | None = None
        self.http = h11.Connection(h11.CLIENT)

    async def run(self) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(0.0, 0.2))
            if self.stream is None or (
                self.rng.random() < NEW_CONNECTION_SHARE
            ):
                await self.reconnect()
            if self.stream is not None:
                await self.send_request()

    async def reconnect(self) -> None:
        await self.close()
        player = self.player
        machines = player.deployment.entries
        if player.stopping and self.rng.random() < LATE_SHARE:
            machines = player.stopping
        self.machine = self.rng.choice(list(machines))
        with anyio.move_on_after(CONNECT_SECONDS):
            try:
                self.stream = await anyio.connect_tcp(
                    self.machine.host, deployments.CLIENT_PORT
                )
            except OSError:
                # The VM does not listen any more, or not yet.
                return
        self.http = h11.Connection(h11.CLIENT)

    async def close(self) -> None:
        stream, self.stream = self.stream, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)

    async def send_request(self) -> None:
        """Sends a request and records what became of it."""
        record = self.player.record
        kind = self.rng.choice(['safe', 'unsafe', 'stream', 'home'])
        work = self.rng.choice(list(WORK_SECONDS))
        attempt = f'{self.rng.getrandbits(64):016x}'
        content = self.encode(kind, work, attempt)
        sent_at, status, is_whole = None, 0, False
        try:
            if kind == 'unsafe' and self.rng.random() < SLOW_BODY_SHARE:
                await self.stream.send(content[: -len(BODY) // 2])
                await anyio.sleep(self.rng.uniform(0.1, 2.0))
                content = content[-len(BODY) // 2 :]
            await self.stream.send(content)
            sent_at = record.now()
            status, is_whole = await self.read_response()
        except CLOSED_ERRORS + (h11.RemoteProtocolError,):
            await self.close()
        record.exchanges.append(
            records.Exchange(
                attempt,
                self.machine.name,
                kind,
                work,
                sent_at,
                record.now(),
                status,
                is_whole,
            )
        )
        if self.stream is None:
            return
        if status == 503:
            # Another VM takes the request.
            await self.close()
        elif (
            is_whole
            and self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
        ):
            self.http.start_next_cycle()
        else:
            await self.close()

    def encode(self, kind: str, work: str, attempt: str) -> bytes:
        """Returns the bytes of a request."""
        seconds = WORK_SECONDS[work]
        prefix = {
            'safe': 'lookup',
            'unsafe': 'submit',
            'stream': 'stream',
            'home': 'home',
        }[kind]
        headers = [
            ('Host', deployments.HOST_NAME),
            ('Greengagegw-Attempt-Id', attempt),
            ('Greengagegw-Deadline-Ms', str(int(REQUEST_SECONDS * 1000))),
            ('Greengagegw-Credential', deployments.KEY),
            ('Work-Seconds', str(seconds)),
        ]
        method = 'GET'
        if kind in ('unsafe', 'stream'):
            method = 'POST'
            headers.append(('Content-Length', str(len(BODY))))
        if kind == 'stream':
            events = max(1, round(seconds / EVENT_GAP_SECONDS))
            headers += [
                ('Greengagegw-Model', 'm'),
                ('Greengagegw-Token-Count', f'100,{events}'),
                ('Events', str(events)),
            ]
        request = h11.Request(
            method=method, target=f'/{prefix}/{work}', headers=headers
        )
        content = self.http.send(request)
        if method == 'POST':
            content += self.http.send(h11.Data(data=BODY))
        return content + self.http.send(h11.EndOfMessage())

    async def read_response(self) -> tuple[int, bool]:
        """Returns the status, 0 without one, and whether it was whole."""
        status = 0
        with anyio.move_on_after(SILENCE_SECONDS):
            try:
                while True:
                    event = self.http.next_event()
                    if event is h11.NEED_DATA:
                        self.http.receive_data(
                            await self.stream.receive(MAX_CHUNK_BYTES)
                        )
                    elif isinstance(event, h11.Response):
                        status = event.status_code
                    elif isinstance(event, h11.EndOfMessage):
                        return status, True
            except CLOSED_ERRORS + (h11.RemoteProtocolError,):
                await self.close()
        return status, False


class Player:
    """Stops entry VMs while clients use them.

    :ivar stopping: the VMs that are being stopped.
    """

    def __init__(self, deployment, record, rng, tasks, log) -> None:
        self.deployment = deployment
        self.record = record
        self.rng = rng
        self.log = log
        self.stopping: list = []
        for server in deployment.platform.servers:
            server.is_faulty = False
        count = CLIENTS_PER_ENTRY * len(deployment.entries)
        for _ in range(count):
            client = Client(self, random.Random(rng.getrandbits(64)))
            tasks.start_soon(client.run)

    async def play_round(self) -> None:
        """Stops one or two entry VMs, and starts them again."""
        await anyio.sleep(self.record.bounds.contact)
        count = self.rng.choice([1, 1, 2])
        async with anyio.create_task_group() as tasks:
            for machine in self.rng.sample(self.deployment.entries, count):
                tasks.start_soon(
                    self.stop, machine, self.rng.uniform(0.0, 2.0)
                )

    async def stop(self, machine, delay: float) -> None:
        await anyio.sleep(delay)
        began_at = self.record.now()
        self.log(f'stops {machine.name}')
        self.stopping.append(machine)
        machine.is_expected_to_end = True
        machine.send(signal.SIGTERM)
        stop_seconds = self.record.bounds.stop
        with anyio.move_on_after(stop_seconds + EXTRA_STOP_SECONDS):
            while machine.is_running:
                await anyio.sleep(POLL_SECONDS)
        self.stopping.remove(machine)
        self.record.stops.append(
            records.Stop(machine.name, began_at, self.record.now())
        )
        if self.record.now() - began_at > stop_seconds:
            machine.kill()
        machine.start()
        await anyio.sleep(self.record.bounds.contact)


def count_outcomes(record: records.Record) -> dict[str, int]:
    """Returns what became of the requests that were sent during stops."""
    ran = {one.attempt for one in record.runs}
    counts: dict[str, int] = {}
    for one in record.exchanges:
        if one.sent_at is None or find_stop(record, one) is None:
            continue
        name = str(one.status) if one.is_whole else 'cut'
        name += ' run' if one.attempt in ran else ' not run'
        counts[name] = counts.get(name, 0) + 1
    return dict(sorted(counts.items()))


def find_stop(
    record: records.Record, exchange: records.Exchange
) -> records.Stop | None:
    """Returns the stop of its VM during which a request ended."""
    for one in record.stops:
        if one.entry_vm == exchange.entry_vm and covers(record, one, exchange):
            return one
    return None


def covers(
    record: records.Record, stop: records.Stop, exchange: records.Exchange
) -> bool:
    """Returns whether a request ended during a stop, or right after it."""
    end = stop.began_at + record.bounds.stop + EXTRA_STOP_SECONDS
    return stop.began_at <= exchange.ended_at <= end
