"""Stand-ins for backend servers and the platform's list of them."""

import dataclasses
import json
import random
import socket
import struct

import anyio
import anyio.abc
import anyio.streams.buffered

from . import record as records

SERVICE = 'entry-desk'
SLOTS = 8
MAX_HEAD_BYTES = 65536
STUTTER_SHARE = 0.03
STUTTER_SECONDS = 0.4
# What was sent before a reset arrives first.
RESET_SECONDS = 0.02
REJECTED_SHARE = 0.02
RESET_SHARE = 0.01
# How long a request runs that does not name a time.
USUAL_SECONDS = (0.01, 0.06)
# Entries of another writer, as the platform's protocol allows them.
FOREIGN_ENTRIES = (
    b'{"id":"odd-1","slots":1e30,"service":"other","address":"127.0.0.1:1",'
    b'"zone":"piedmont-a","state":"ready"}',
    b'{"id":"odd-2","slots":4,"service":"other","address":"127.0.0.1:99999",'
    b'"zone":"piedmont-a","state":"ready"}',
    b'{"id":"\xff\xfe","slots":4}',
    b'{"id":"odd-4","models":' + b'[' * 3000 + b']' * 3000 + b'}',
    b'7',
)


async def serve(
    host: str, port: int, answer, *, task_status=anyio.TASK_STATUS_IGNORED
) -> None:
    """Serves HTTP/1.1; ``answer`` writes each response to the stream."""

    async def serve_connection(stream: anyio.abc.SocketStream) -> None:
        buffered = anyio.streams.buffered.BufferedByteReceiveStream(stream)
        try:
            async with stream:
                while True:
                    head = await buffered.receive_until(
                        b'\r\n\r\n', MAX_HEAD_BYTES
                    )
                    first, *lines = head.decode('latin-1').split('\r\n')
                    headers = {}
                    for line in lines:
                        name, _, value = line.partition(':')
                        headers[name.strip().lower()] = value.strip()
                    size = int(headers.get('content-length', 0))
                    if size:
                        await buffered.receive_exactly(size)
                    method, path, _ = first.split()
                    await answer(method, path, headers, stream)
        except (
            anyio.BrokenResourceError,
            anyio.BusyResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            anyio.IncompleteRead,
            anyio.DelimiterNotFound,
        ):
            # The gateway's VMs are killed and close connections at any time,
            # and a late second response may still be on its way.
            return

    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=port
    )
    async with listener:
        task_status.started()
        await listener.serve(serve_connection)


def encode_response(status: int, headers: dict, body: bytes) -> bytes:
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


@dataclasses.dataclass
class Server:
    """A backend server that stutters, rejects and resets at times.

    A request names how long it takes to run, and how many events its stream
    has.

    :ivar is_faulty: whether it does so.
    :ivar faults: shares of requests that have a fault of a day, by its kind.
    """

    name: str
    host: str
    port: int
    domain: str
    record: records.Record
    rng: random.Random
    tasks: anyio.abc.TaskGroup
    state: str = 'ready'
    running: int = 0
    is_faulty: bool = True
    faults: dict[str, float] = dataclasses.field(default_factory=dict)

    def entry(self) -> dict:
        """Returns its entry in the platform's list."""
        return {
            'service': SERVICE,
            'address': f'{self.host}:{self.port}',
            'zone': self.domain,
            'version': 'v1',
            'slots': SLOTS,
            'state': self.state,
            'coldLeftMs': 0,
            'phase': 'mixed',
            'models': [],
            'id': self.name,
        }

    async def answer(self, method, path, headers, stream) -> None:
        load = {'Greengagegw-Instance-Load': f'{self.running},0,{SLOTS}'}
        if self.has_fault(self.faults.get('srv_crash', 0.0)):
            await anyio.aclose_forcefully(stream)
            return
        if path == '/healthz':
            own = {'Greengagegw-Instance-Id': self.name, **load}
            await stream.send(encode_response(200, own, b''))
            return
        attempt = headers.get('greengagegw-attempt-id', '')
        own = {'Greengagegw-Attempt-Id': attempt, **load}
        rejected = {**own, 'Greengagegw-Not-Executed': '1'}
        expected = headers.get('greengagegw-expect-instance', self.name)
        if expected != self.name:
            await stream.send(encode_response(421, rejected, b''))
            return
        if self.has_fault(REJECTED_SHARE):
            response = encode_response(503, rejected, b'')
        else:
            self.record.runs.append(
                records.Run(attempt, self.name, self.domain, self.record.now())
            )
            own['Greengagegw-Server-Stamp'] = f'stamp-{self.name}-{attempt}'
            self.running += 1
            try:
                if 'events' in headers:
                    await self.send_events(headers, own, stream)
                    return
                with anyio.move_on_after(
                    float(headers.get('work-seconds', 0))
                    or self.rng.uniform(*USUAL_SECONDS)
                ):
                    # The end of the connection ends the work.
                    await stream.receive()
            finally:
                self.running -= 1
                self.record.run_ends[attempt] = self.record.now()
            failed = self.has_fault(self.faults.get('srv_grey', 0.0))
            response = encode_response(
                500 if failed else 200,
                own,
                b'response to ' + attempt.encode(),
            )
            if self.has_fault(self.faults.get('garble', 0.0)):
                noise = self.rng.randbytes(99), response + b'HTTP/1.1 200'
                response = self.rng.choice(noise)
            if self.has_fault(self.faults.get('unframed', 0.0)):
                await self.send_unframed(response, stream)
                return
            is_lost = self.has_fault(self.faults.get('answer_lost', 0.0))
            if is_lost or self.has_fault(RESET_SHARE):
                response = b'' if is_lost else response[: len(response) // 2]
                await stream.send(response)
                await anyio.aclose_forcefully(stream)
                return
            self.record.run_ends[attempt] = self.record.now()
        stutters = self.has_fault(STUTTER_SHARE)
        if stutters and self.rng.random() < 0.5:
            response += response
            stutters = False
        await stream.send(response)
        if stutters:
            self.tasks.start_soon(self.send_again, stream, response)

    def has_fault(self, share: float) -> bool:
        return self.is_faulty and self.rng.random() < share

    async def send_events(self, headers: dict, own: dict, stream) -> None:
        """Sends a stream of events over the time that the request names."""
        count = int(headers['events'])
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {value}' for name, value in own.items()]
        lines += ['Transfer-Encoding: chunked', '', '']
        await stream.send('\r\n'.join(lines).encode('latin-1'))
        for number in range(1, count + 1):
            await anyio.sleep(float(headers['work-seconds']) / count)
            event = f'id: {number}\ndata: {number}\n\n'.encode()
            await stream.send(b'%x\r\n%s\r\n' % (len(event), event))
        await stream.send(b'0\r\n\r\n')

    async def send_unframed(self, response: bytes, stream) -> None:
        """Sends a response without a length; half of them are reset."""
        head, _, body = response.partition(b'\r\n\r\n')
        head = head[: head.index(b'\r\nContent-Length')] + b'\r\n\r\n'
        is_reset = self.rng.random() < 0.5
        if is_reset:
            body = body[: self.rng.randrange(len(body))]
            stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        await stream.send(head + body)
        await anyio.sleep(RESET_SECONDS * is_reset)
        await stream.aclose()

    async def send_again(self, stream, response: bytes) -> None:
        await anyio.sleep(self.rng.uniform(0, STUTTER_SECONDS))
        try:
            await stream.send(response)
        except (
            anyio.BrokenResourceError,
            anyio.BusyResourceError,
            anyio.ClosedResourceError,
        ):
            # The connection has ended, or its next response is being sent.
            return


class Platform:
    """The platform's list of backend servers."""

    def __init__(self) -> None:
        self.servers: list[Server] = []
        self.foreign: list[bytes] = []

    async def answer(self, method, path, headers, stream) -> None:
        entries = [json.dumps(one.entry()).encode() for one in self.servers]
        content = b','.join([*self.foreign, *entries])
        body = b'{"instances":[' + content + b'],"nextToken":null}'
        own = {'Content-Type': 'application/json'}
        await stream.send(encode_response(200, own, body))
