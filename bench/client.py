"""A small load client: raw HTTP/1.1 over anyio sockets."""

import collections.abc
import dataclasses
import time

import anyio
import anyio.abc

READ_BYTES = 262144
LAST_CHUNK = b'0\r\n\r\n'
END_MARK = b'[DONE]'
TAIL_BYTES = 64


@dataclasses.dataclass(frozen=True)
class Timing:
    """Seconds to the first and to the last byte of one answer."""

    first: float
    last: float
    size: int
    is_finished: bool = True


class Client:
    """One connection that sends one request after the other."""

    def __init__(self, host: str, port: int, key: str) -> None:
        self.host = host
        self.port = port
        self.key = key
        self.stream: anyio.abc.SocketStream | None = None

    async def post(self, path: str, body: bytes) -> Timing:
        """Sends a request and reads its whole answer."""
        if self.stream is None:
            self.stream = await anyio.connect_tcp(self.host, self.port)
        head = (
            f'POST {path} HTTP/1.1\r\nhost: bench\r\n'
            f'authorization: Bearer {self.key}\r\n'
            'content-type: application/json\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        )
        started = time.perf_counter()
        await self.stream.send(head.encode() + body)
        return await self.read(started)

    async def read(self, started: float) -> Timing:
        received = await self.stream.receive(READ_BYTES)
        first = time.perf_counter() - started
        while b'\r\n\r\n' not in received:
            received += await self.stream.receive(READ_BYTES)
        head, _, rest = received.partition(b'\r\n\r\n')
        if not head.startswith(b'HTTP/1.1 200'):
            raise RuntimeError(received[:500])
        size = len(rest)
        length = find_length(head)
        tail = rest[-TAIL_BYTES:]
        while not is_whole(length, size, tail):
            chunk = await self.stream.receive(READ_BYTES)
            size += len(chunk)
            tail = (tail + chunk)[-TAIL_BYTES:]
        is_finished = length is not None or END_MARK in tail
        return Timing(first, time.perf_counter() - started, size, is_finished)

    async def close(self) -> None:
        if self.stream is not None:
            await self.stream.aclose()


def find_length(head: bytes) -> int | None:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.split(b':')[1])
    return None


def is_whole(length: int | None, size: int, tail: bytes) -> bool:
    if length is not None:
        return size >= length
    return tail.endswith(LAST_CHUNK)


async def run_closed(
    make: collections.abc.Callable[[], Client],
    connections: int,
    requests: int,
    path: str,
    body: bytes,
) -> list[Timing]:
    """Sends requests over connections that each wait for their answer."""
    timings: list[Timing] = []
    left = requests

    async def work() -> None:
        nonlocal left
        client = make()
        while left > 0:
            left -= 1
            timings.append(await client.post(path, body))
        await client.close()

    async with anyio.create_task_group() as tasks:
        for _ in range(connections):
            tasks.start_soon(work)
    return timings


def percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
