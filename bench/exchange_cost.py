"""Measures the CPU time that the exchange of backlogs takes on an entry VM.

All VMs of a region run in this process and in simulated time. Messages are
packed and unpacked as on the wire, without sockets. The figures are messages
and parts of a core per VM, for the mean VM.
"""

import asyncio
import random
import sys
import time
import types

import anyio
import msgpack

from greengagegw.fleet import agent as agents
from greengagegw.fleet import members
from greengagegw.serving import backlog_exchange
from greengagegw import timers as timer_service

COUNTS = (12, 30, 67, 120)
SERVERS = 29
# Servers at which a VM has requests at a time.
BUSY_SERVERS = 10
WARM_UP_SECONDS = 2.0
SECONDS = 4.0


class Region:
    """The exchanges of a region, connected by a mesh without latency."""

    def __init__(self, count: int, is_busy: bool) -> None:
        self.timers = timer_service.ManualTimers()
        self.timers.settle_rounds = 1
        self.rng = random.Random(1)
        self.is_busy = is_busy
        self.sent = 0
        self.wire: list[tuple[str, str, bytes]] = []
        self.handlers = {}
        entries = tuple(
            members.EntryVm(
                f'v{at}', f'v{at}:80', 'a', 'a-1', members.EntryState.SERVING
            )
            for at in range(count)
        )
        self.exchanges = []
        for one in entries:
            view = agents.FleetView()
            view.entry_vms = entries
            exchange = backlog_exchange.BacklogExchange(
                one.vm,
                'a',
                self.timers,
                types.SimpleNamespace(post=self.post),
                view,
                self.backlog,
            )
            self.handlers[one.vm] = exchange.handlers()
            self.exchanges.append(exchange)

    def backlog(self) -> dict[str, list[float]]:
        if not self.is_busy:
            return {}
        names = self.rng.sample(range(SERVERS), BUSY_SERVERS)
        return {
            f'10.0.0.{at}:8000': [self.rng.randrange(9999), 2] for at in names
        }

    def post(self, vm: str, method: str, message: list) -> None:
        self.sent += 1
        self.wire.append((vm, method, msgpack.packb(message)))

    def deliver(self) -> None:
        wire, self.wire = self.wire, []
        for vm, method, data in wire:
            handler = self.handlers[vm][method]('peer', msgpack.unpackb(data))
            try:
                handler.send(None)
            except StopIteration:
                continue

    async def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.001)):
            await self.timers.advance(0.001)
            while self.wire:
                self.deliver()


async def measure(count: int, is_busy: bool) -> tuple[float, float]:
    """Returns messages a second and the part of a core of the mean VM."""
    region = Region(count, is_busy)
    async with anyio.create_task_group() as tasks:
        for one in region.exchanges:
            tasks.start_soon(one.run)
        await region.advance(WARM_UP_SECONDS)
        region.sent = 0
        started_at = time.process_time()
        await region.advance(SECONDS)
        elapsed = time.process_time() - started_at
        tasks.cancel_scope.cancel()
    return region.sent / count / SECONDS, elapsed / count / SECONDS


async def main() -> None:
    counts = [int(one) for one in sys.argv[1:]] or COUNTS
    for count in counts:
        for is_busy in (False, True):
            messages, cores = await measure(count, is_busy)
            print(
                f'{count:4} VMs {"loaded" if is_busy else "idle  "}'
                f' {messages:7.1f} messages/s {cores:.5f} cores',
                flush=True,
            )


if __name__ == '__main__':
    asyncio.run(main())
