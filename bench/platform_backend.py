"""A stand-in for the instance list and the backend servers of the platform.

It answers each request at once, and streams events at a fixed interval. It
runs in the process of the benchmark, whose CPU time is not measured.
"""

import asyncio
import contextlib
import json
import typing

STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'transfer-encoding: chunked\r\n'
)
PLAIN_HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 20\r\n'
OWN_HEADERS = (
    b'greengagegw-server-stamp: signed\r\n'
    b'greengagegw-instance-load: 3,0,64\r\ngreengagegw-attempt-id: %s\r\n\r\n'
)


class Backend(asyncio.Protocol):
    """One connection to a backend server.

    :param state: shared by all connections.
    """

    def __init__(self, state: 'State') -> None:
        self.state = state
        self.received = b''
        self.transport: typing.Any = None

    def connection_made(self, transport: typing.Any) -> None:
        self.transport = transport
        self.state.connections += 1

    def data_received(self, data: bytes) -> None:
        self.received += data
        while True:
            head, separator, rest = self.received.partition(b'\r\n\r\n')
            if not separator:
                return
            lines = head.split(b'\r\n')
            headers = dict(
                line.lower().split(b': ', 1)
                if line.lower().startswith(b'content-length')
                else (
                    line.partition(b': ')[0].lower(),
                    line[line.find(b': ') + 2 :],
                )
                for line in lines[1:]
            )
            length = int(headers.get(b'content-length', b'0'))
            if len(rest) < length:
                return
            self.received = rest[length:]
            self.respond(lines[0], headers)

    def respond(self, line: bytes, headers: dict[bytes, bytes]) -> None:
        if b'/instances' in line:
            body = json.dumps(self.state.instance_list).encode()
            self.transport.write(
                b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s'
                % (len(body), body)
            )
            return
        own = OWN_HEADERS % headers.get(b'greengagegw-attempt-id', b'')
        if b'/chat/' not in line:
            self.transport.write(PLAIN_HEAD + own + b'x' * 20)
            return
        self.transport.write(STREAM_HEAD + own)
        self.send_event(0)

    def send_event(self, number: int) -> None:
        if self.transport.is_closing():
            return
        if number == self.state.events:
            self.transport.write(b'e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n')
            return
        event = b'id: %06d\ndata: {"delta": "some words"}\n\n' % number
        self.transport.write(b'%x\r\n%s\r\n' % (len(event), event))
        asyncio.get_running_loop().call_later(
            self.state.interval_seconds, self.send_event, number + 1
        )


class State:
    """What the stand-in serves, and what it has counted.

    :ivar instance_list: content of the instance list.
    :ivar events: number of events of a stream.
    :ivar connections: number of connections accepted so far.
    """

    def __init__(self, events: int, interval_seconds: float) -> None:
        self.instance_list: dict = {'instances': [], 'nextToken': None}
        self.events = events
        self.interval_seconds = interval_seconds
        self.connections = 0


@contextlib.asynccontextmanager
async def serving(state: State, hosts: list[str], port: int):
    """Serves on all hosts for the duration of the context."""
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(lambda: Backend(state), host, port)
        for host in hosts
    ]
    try:
        yield
    finally:
        for one in servers:
            one.close()
