"""Measures what the gateway adds to a request and to a streamed chunk.

All figures of a row come from one run: the same requests go to the engine
directly and through the gateway, one after the other.
"""

import functools
import json
import time

import anyio

from . import client
from . import system as systems

PATH = '/v1/chat/completions'
CONNECTIONS = 16
REQUESTS = 3000
STREAMS = 100
STREAM_TOKENS = 200
OPEN_STREAMS = 400


def body(tokens: int, stream: bool) -> bytes:
    content = {
        'model': 'assist',
        'messages': [{'role': 'user', 'content': 'Which class is it?'}],
        'max_tokens': tokens,
        'stop_at': tokens,
        'stream': stream,
    }
    return json.dumps(content).encode()


def makers(system: systems.System) -> dict:
    return {
        'direct': functools.partial(
            client.Client, systems.ENGINE_HOST, systems.ENGINE_PORT, 'none'
        ),
        'gateway': functools.partial(
            client.Client, systems.HOST, systems.CALLERS_PORT, system.key
        ),
    }


async def measure(
    system: systems.System,
    connections: int,
    requests: int,
    content: bytes,
) -> dict[str, dict[str, float]]:
    """Returns the figures of the direct and of the gateway's way."""
    found = {}
    for name, make in makers(system).items():
        await client.run_closed(make, connections, connections, PATH, content)
        before = system.cpu_seconds('gateway')
        started = time.perf_counter()
        timings = await client.run_closed(
            make, connections, requests, PATH, content
        )
        seconds = time.perf_counter() - started
        cpu = system.cpu_seconds('gateway') - before
        first = [one.first * 1000 for one in timings]
        found[name] = {
            'seconds': seconds,
            'cpu': cpu,
            'p50_ms': client.percentile(first, 0.5),
            'p99_ms': client.percentile(first, 0.99),
        }
    return found


def show(title: str, found: dict, units: int, unit: str) -> None:
    """Prints the figures of one kind of load."""
    direct, gateway = found['direct'], found['gateway']
    micros = gateway['cpu'] / units * 1e6
    print(
        f'{title}: {micros:.0f} us of processor time a {unit},'
        f' {units / gateway["cpu"]:.0f} {unit}s a core and second;'
        f' first byte p50 {direct["p50_ms"]:.2f} -> {gateway["p50_ms"]:.2f}'
        f' ms, p99 {direct["p99_ms"]:.2f} -> {gateway["p99_ms"]:.2f} ms'
        ' (direct -> gateway)',
        flush=True,
    )


async def measure_memory(system: systems.System) -> float:
    """Returns the bytes that an open stream takes in the gateway."""
    before = system.rss_bytes('gateway')
    make = makers(system)['gateway']
    content = body(2000, True)
    async with anyio.create_task_group() as tasks:
        for _ in range(OPEN_STREAMS):
            tasks.start_soon(make().post, PATH, content)
            await anyio.sleep(0.01)
        await anyio.sleep(1)
        after = system.rss_bytes('gateway')
        tasks.cancel_scope.cancel()
    return (after - before) / OPEN_STREAMS


async def main() -> None:
    with systems.started(0) as system:
        found = await measure(system, 1, 300, body(1, False))
        show('one plain request at a time', found, 300, 'request')
        found = await measure(system, CONNECTIONS, REQUESTS, body(1, False))
        show(f'plain, {CONNECTIONS} connections', found, REQUESTS, 'request')
        chunks = STREAMS * STREAM_TOKENS
        found = await measure(
            system, STREAMS, STREAMS, body(STREAM_TOKENS, True)
        )
        show('chunks that arrive together', found, chunks, 'chunk')
    with systems.started(50) as system:
        found = await measure(
            system, STREAMS, STREAMS, body(STREAM_TOKENS, True)
        )
        show('chunks one by one', found, chunks, 'chunk')
        print(f'{await measure_memory(system) / 1024:.0f} KiB an open stream')


if __name__ == '__main__':
    anyio.run(main, backend_options={'use_uvloop': True})
