"""Polls the load of a region's backend servers, shared out among its VMs.

Where there are few backend servers, each VM polls all of them. Where there
are many, each is polled by one VM, chosen by rendezvous hashing (Thaler and
Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), which
tells the other VMs of the region.
"""

import collections.abc
import contextlib

import anyio
import xxhash

from . import backend_pool
from . import errors
from . import settings as settings_module
from . import timers as timer_service
from .ports import backends
from .ports import peers

METHOD = 'load.report'
# Up to so many backend servers of a region are polled by each of its VMs.
POLLED_BY_EACH = 32
# Shared polls are this much rarer than those of a VM that polls for itself.
SHARED_INTERVALS = 2.0
TELL_SECONDS = 1.0
# Without news for so long, a VM asks a backend server itself.
STALE_SECONDS = 4.0


class Polling:
    """Keeps the load of this region's backend servers known on this VM.

    :param mates: gives the VMs of this region that are alive, this one
        included.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        known: backend_pool.BackendPool,
        mesh: peers.PeerPort,
        timers: timer_service.Timers,
        mates: collections.abc.Callable[[], list[str]],
    ) -> None:
        self.settings = settings
        self.known = known
        self.mesh = mesh
        self.timers = timers
        self.mates = mates
        self.vm = settings.vm
        self.is_shared = len(known.by_name) > POLLED_BY_EACH
        self.by_digest = {digest(name): name for name in known.by_name}
        self.service_of = {
            runner.name: service
            for service in known.services.values()
            for runner in service.servers
        }
        self.sharers: frozenset[str] = frozenset()
        self.mine: set[str] = set()
        self.fresh: set[str] = set()
        self.urgent = anyio.Event()
        self.started_at = timers.now()
        self.polls = 0

    def handlers(self) -> dict[str, peers.Handler]:
        return {METHOD: self.on_report}

    async def run(self) -> None:
        """Polls, one task for each backend server, and tells the others."""
        self.share_out()
        async with anyio.create_task_group() as tasks:
            for name in self.known.by_name:
                tasks.start_soon(self.follow, name)
            if self.is_shared:
                await self.tell_often()

    @property
    def interval(self) -> float:
        seconds = self.settings.timeouts.load_poll_seconds
        return seconds * SHARED_INTERVALS if self.is_shared else seconds

    async def follow(self, name: str) -> None:
        """Polls one backend server whenever it is this VM's turn."""
        while True:
            if not self.is_shared or self.is_mine(name):
                await self.poll(name)
            await self.timers.sleep(self.interval)

    def is_mine(self, name: str) -> bool:
        """Returns whether this VM is to poll a backend server."""
        report = self.known.by_name[name].report
        heard_at = report.at if report else self.started_at
        if self.timers.now() - heard_at > STALE_SECONDS:
            return True
        return name in self.mine

    def share_out(self) -> None:
        """Chooses anew what this VM polls, when VMs came or went."""
        sharers = frozenset({self.vm, *self.mates()})
        if sharers == self.sharers:
            return
        self.sharers = sharers
        self.mine = {
            name
            for name in self.known.by_name
            if choose_poller(name, sharers) == self.vm
        }

    async def poll(self, name: str) -> None:
        runner = self.known.by_name[name]
        seconds = self.settings.timeouts.load_poll_timeout_seconds
        self.polls += 1
        with contextlib.suppress(errors.BackendError):
            with self.timers.limit(seconds):
                report = await runner.port.report_load()
                if report.leaving != runner.is_leaving:
                    self.urgent.set()
                self.fresh.add(name)
                self.take(name, report)

    def take(self, name: str, report: backends.LoadReport) -> None:
        self.known.by_name[name].record_report(report)
        self.service_of[name].notify_listeners()

    async def tell_often(self) -> None:
        """Tells the others what was polled; at once that one leaves."""
        async with anyio.create_task_group() as tasks:
            while True:
                with self.timers.limit(TELL_SECONDS):
                    await self.urgent.wait()
                self.urgent = anyio.Event()
                self.share_out()
                rows = self.describe()
                if not rows:
                    continue
                for vm in sorted(self.sharers):
                    if vm != self.vm:
                        tasks.start_soon(self.tell, vm, rows)

    def describe(self) -> list[list]:
        """Returns the reports since the last time, with their age in ms."""
        now = self.timers.now()
        rows = []
        for name in sorted(self.fresh):
            report = self.known.by_name[name].report
            rows.append(
                [
                    digest(name),
                    report.running,
                    report.waiting,
                    report.leaving,
                    round(1000 * (now - report.at)),
                ]
            )
        self.fresh.clear()
        return rows

    async def tell(self, vm: str, rows: list[list]) -> None:
        with contextlib.suppress(errors.GatewayError):
            await self.mesh.notify(vm, METHOD, rows)

    async def on_report(self, peer: str, message: list) -> None:
        """Takes in what another VM has polled, unless it knows better."""
        now = self.timers.now()
        for number, running, waiting, leaving, age in message:
            name = self.by_digest.get(number)
            if name is None:
                continue
            report = backends.LoadReport(
                now - age / 1000, running, waiting, leaving
            )
            known = self.known.by_name[name].report
            if known is None or report.at > known.at:
                self.take(name, report)


def digest(name: str) -> int:
    """Returns a short number for a name, the same on every VM."""
    return xxhash.xxh32_intdigest(name.encode())


def choose_poller(name: str, vms: collections.abc.Iterable[str]) -> str:
    """Returns the VM that polls a backend server."""
    return max(
        sorted(vms),
        key=lambda vm: xxhash.xxh64_intdigest(f'{vm}/{name}'.encode()),
    )
