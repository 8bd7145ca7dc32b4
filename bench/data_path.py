"""Measures the overhead of the gateway for each request and chunk.

All figures of a printed line come from one run, which sends the same
requests first to the engine directly and then through the gateway.
"""

import functools
import json
import time

import anyio

from . import load_client
from . import processes as bench_processes

PATH = '/v1/chat/completions'
CONNECTIONS = 16
REQUESTS = 3000
STREAMS = 100
STREAM_TOKENS = 200
OPEN_STREAMS = 400


def chat_body(tokens: int, stream: bool) -> bytes:
    content = {
        'model': 'assist',
        'messages': [{'role': 'user', 'content': 'Which class is it?'}],
        'max_tokens': tokens,
        'stop_at': tokens,
        'stream': stream,
    }
    return json.dumps(content).encode()


def client_factories(processes: bench_processes.Processes) -> dict:
    return {
        'direct': functools.partial(
            load_client.Client,
            bench_processes.ENGINE_HOST,
            bench_processes.ENGINE_PORT,
            'none',
        ),
        'gateway': functools.partial(
            load_client.Client,
            bench_processes.GATEWAY_HOST,
            bench_processes.CLIENT_PORT,
            processes.key,
        ),
    }


async def measure(
    processes: bench_processes.Processes,
    connections: int,
    requests: int,
    content: bytes,
) -> dict[str, dict[str, float]]:
    """Returns the figures of direct requests and of the gateway."""
    figures = {}
    for name, make_client in client_factories(processes).items():
        await load_client.run_closed_loop(
            make_client, connections, connections, PATH, content
        )
        before = processes.cpu_seconds('gateway')
        started = time.perf_counter()
        timings = await load_client.run_closed_loop(
            make_client, connections, requests, PATH, content
        )
        seconds = time.perf_counter() - started
        cpu = processes.cpu_seconds('gateway') - before
        first = [one.first_byte_seconds * 1000 for one in timings]
        figures[name] = {
            'seconds': seconds,
            'cpu': cpu,
            'p50_ms': load_client.percentile(first, 0.5),
            'p99_ms': load_client.percentile(first, 0.99),
        }
    return figures


def print_overhead(title: str, figures: dict, units: int, unit: str) -> None:
    """Prints the overhead of one kind of load."""
    direct, gateway = figures['direct'], figures['gateway']
    cpu_us = gateway['cpu'] / units * 1e6
    print(
        f'{title}: {cpu_us:.0f} us of CPU time per {unit},'
        f' {units / gateway["cpu"]:.0f} {unit}s per second on one core;'
        f' first byte p50 {direct["p50_ms"]:.2f} -> {gateway["p50_ms"]:.2f}'
        f' ms, p99 {direct["p99_ms"]:.2f} -> {gateway["p99_ms"]:.2f} ms'
        ' (direct -> gateway)',
        flush=True,
    )


async def measure_memory(processes: bench_processes.Processes) -> float:
    """Returns the bytes of memory that the gateway uses for each stream."""
    before = processes.rss_bytes('gateway')
    make_client = client_factories(processes)['gateway']
    content = chat_body(2000, True)
    async with anyio.create_task_group() as tasks:
        for _ in range(OPEN_STREAMS):
            tasks.start_soon(make_client().post, PATH, content)
            await anyio.sleep(0.01)
        await anyio.sleep(1)
        after = processes.rss_bytes('gateway')
        tasks.cancel_scope.cancel()
    return (after - before) / OPEN_STREAMS


async def main() -> None:
    with bench_processes.running(0) as processes:
        figures = await measure(processes, 1, 300, chat_body(1, False))
        print_overhead('one plain request at a time', figures, 300, 'request')
        figures = await measure(
            processes, CONNECTIONS, REQUESTS, chat_body(1, False)
        )
        print_overhead(
            f'plain, {CONNECTIONS} connections', figures, REQUESTS, 'request'
        )
        chunks = STREAMS * STREAM_TOKENS
        figures = await measure(
            processes, STREAMS, STREAMS, chat_body(STREAM_TOKENS, True)
        )
        print_overhead('chunks that arrive together', figures, chunks, 'chunk')
    with bench_processes.running(50) as processes:
        figures = await measure(
            processes, STREAMS, STREAMS, chat_body(STREAM_TOKENS, True)
        )
        print_overhead('chunks one by one', figures, chunks, 'chunk')
        print(f'{await measure_memory(processes) / 1024:.0f} KiB per stream')


if __name__ == '__main__':
    anyio.run(main, backend_options={'use_uvloop': True})
