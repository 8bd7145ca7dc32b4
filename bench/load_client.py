"""A minimal HTTP/1.1 client for generating load."""

import collections.abc
import dataclasses
import time

import anyio
import anyio.abc

READ_BYTES = 262144
FINAL_CHUNK = b'0\r\n\r\n'
STREAM_END = b'[DONE]'
TAIL_BYTES = 64


@dataclasses.dataclass(frozen=True)
class Timing:
    """Seconds until the first and the last byte of a response.

    :ivar size: bytes of the body, as sent.
    :ivar is_complete: whether a stream ended with ``[DONE]``.
    """

    first_byte_seconds: float
    last_byte_seconds: float
    size: int
    is_complete: bool = True


class Client:
    """Sends requests one after another over one connection."""

    def __init__(self, host: str, port: int, key: str) -> None:
        self.host = host
        self.port = port
        self.key = key
        self.stream: anyio.abc.SocketStream | None = None

    async def post(self, path: str, body: bytes) -> Timing:
        """Sends a request and reads the complete response."""
        if self.stream is None:
            self.stream = await anyio.connect_tcp(self.host, self.port)
        request_head = (
            f'POST {path} HTTP/1.1\r\nhost: bench\r\n'
            f'authorization: Bearer {self.key}\r\n'
            'content-type: application/json\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        )
        started = time.perf_counter()
        await self.stream.send(request_head.encode() + body)
        return await self.read_response(started)

    async def read_response(self, started: float) -> Timing:
        received = await self.stream.receive(READ_BYTES)
        first = time.perf_counter() - started
        while b'\r\n\r\n' not in received:
            received += await self.stream.receive(READ_BYTES)
        head, _, rest = received.partition(b'\r\n\r\n')
        if not head.startswith(b'HTTP/1.1 200'):
            raise RuntimeError(received[:500])
        size = len(rest)
        length = content_length(head)
        tail = rest[-TAIL_BYTES:]
        while not has_whole_body(length, size, tail):
            chunk = await self.stream.receive(READ_BYTES)
            size += len(chunk)
            tail = (tail + chunk)[-TAIL_BYTES:]
        is_complete = length is not None or STREAM_END in tail
        return Timing(first, time.perf_counter() - started, size, is_complete)

    async def close(self) -> None:
        if self.stream is not None:
            await self.stream.aclose()


def content_length(head: bytes) -> int | None:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.split(b':')[1])
    return None


def has_whole_body(length: int | None, size: int, tail: bytes) -> bool:
    if length is not None:
        return size >= length
    return tail.endswith(FINAL_CHUNK)


async def run_closed_loop(
    make_client: collections.abc.Callable[[], Client],
    connections: int,
    requests: int,
    path: str,
    body: bytes,
) -> list[Timing]:
    """Sends requests in a closed loop.

    Each connection sends its next request after the previous response.
    """
    timings: list[Timing] = []
    remaining = requests

    async def send_requests() -> None:
        nonlocal remaining
        client = make_client()
        while remaining > 0:
            remaining -= 1
            timings.append(await client.post(path, body))
        await client.close()

    async with anyio.create_task_group() as tasks:
        for _ in range(connections):
            tasks.start_soon(send_requests)
    return timings


def percentile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
