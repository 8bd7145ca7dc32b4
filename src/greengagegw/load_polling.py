"""Polls the load of a region's backend servers, divided among its VMs.

If the region has few backend servers, each VM polls all of them. If it has
many, each is polled by one VM, chosen by rendezvous hashing (Thaler and
Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), which
sends the reports to the other VMs of the region.
"""

import collections.abc
import contextlib

import anyio
import eliot
import xxhash

from . import backend_pool
from . import errors
from . import settings as settings_module
from . import timers as timer_service
from .ports import backends
from .ports import peers

METHOD = 'load.report'
# With more backend servers in a region, its VMs divide the polls.
MAX_SERVERS_POLLED_BY_ALL = 32
# The poll interval is longer by this factor when the polls are divided.
SHARED_INTERVAL_FACTOR = 2.0
SEND_INTERVAL_SECONDS = 1.0
# Without a report for this long, a VM polls a backend server itself.
STALE_AFTER_SECONDS = 4.0


class LoadPoller:
    """Keeps the load reports of this region's backend servers current.

    :param alive_region_vms: returns the live VMs of this region, this one
        included.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        pool: backend_pool.BackendPool,
        mesh: peers.PeerPort,
        timers: timer_service.Timers,
        alive_region_vms: collections.abc.Callable[[], list[str]],
    ) -> None:
        self.settings = settings
        self.pool = pool
        self.mesh = mesh
        self.timers = timers
        self.alive_region_vms = alive_region_vms
        self.vm = settings.vm
        self.is_shared = len(pool.by_name) > MAX_SERVERS_POLLED_BY_ALL
        self.name_by_digest = {
            name_digest(name): name for name in pool.by_name
        }
        self.service_by_server = {
            server.name: service
            for service in pool.services.values()
            for server in service.servers
        }
        self.polling_vms: frozenset[str] = frozenset()
        self.assigned: set[str] = set()
        self.unsent: set[str] = set()
        self.send_now = anyio.Event()
        self.started_at = timers.now()
        self.poll_count = 0

    def handlers(self) -> dict[str, peers.Handler]:
        return {METHOD: self.on_reports}

    async def run(self) -> None:
        """Polls in one task per backend server, and sends the reports."""
        self.update_assignment()
        async with anyio.create_task_group() as tasks:
            for name in self.pool.by_name:
                tasks.start_soon(self.poll_repeatedly, name)
            if self.is_shared:
                await self.send_reports()

    @property
    def interval(self) -> float:
        seconds = self.settings.timeouts.load_poll_seconds
        return seconds * SHARED_INTERVAL_FACTOR if self.is_shared else seconds

    async def poll_repeatedly(self, name: str) -> None:
        """Polls one backend server at the interval, if this VM should."""
        while True:
            if not self.is_shared or self.should_poll(name):
                await self.poll(name)
            await self.timers.sleep(self.interval)

    def should_poll(self, name: str) -> bool:
        """Returns whether this VM polls a backend server.

        It does if the server is assigned to it or the last report is stale.
        """
        report = self.pool.by_name[name].report
        last_report_at = report.received_at if report else self.started_at
        if self.timers.now() - last_report_at > STALE_AFTER_SECONDS:
            return True
        return name in self.assigned

    def update_assignment(self) -> None:
        """Recomputes what this VM polls after a change of the live VMs."""
        alive_vms = frozenset({self.vm, *self.alive_region_vms()})
        if alive_vms == self.polling_vms:
            return
        self.polling_vms = alive_vms
        self.assigned = {
            name
            for name in self.pool.by_name
            if assigned_vm(name, alive_vms) == self.vm
        }

    async def poll(self, name: str) -> None:
        server = self.pool.by_name[name]
        seconds = self.settings.timeouts.load_poll_timeout_seconds
        self.poll_count += 1
        with contextlib.suppress(errors.BackendError):
            with self.timers.move_on_after(seconds):
                report = await server.port.fetch_load()
                if report.leaving != server.is_leaving:
                    self.send_now.set()
                self.unsent.add(name)
                self.store_report(name, report)

    def store_report(self, name: str, report: backends.LoadReport) -> None:
        self.pool.by_name[name].record_report(report)
        self.service_by_server[name].notify_listeners()

    async def send_reports(self) -> None:
        """Sends new reports each second, or at once if a server leaves."""
        async with anyio.create_task_group() as tasks:
            while True:
                with self.timers.move_on_after(SEND_INTERVAL_SECONDS):
                    await self.send_now.wait()
                self.send_now = anyio.Event()
                self.update_assignment()
                rows = self.pack_unsent_reports()
                if not rows:
                    continue
                for vm in sorted(self.polling_vms):
                    if vm != self.vm:
                        tasks.start_soon(self.send_to, vm, rows)

    def pack_unsent_reports(self) -> list[list]:
        """Returns the reports not sent yet, with their age in milliseconds."""
        now = self.timers.now()
        rows = []
        for name in sorted(self.unsent):
            report = self.pool.by_name[name].report
            rows.append(
                [
                    name_digest(name),
                    report.running,
                    report.waiting,
                    report.leaving,
                    round(1000 * (now - report.received_at)),
                ]
            )
        self.unsent.clear()
        return rows

    async def send_to(self, vm: str, rows: list[list]) -> None:
        with contextlib.suppress(errors.GatewayError):
            await self.mesh.notify(vm, METHOD, rows)

    def unpack_report(
        self, row: list, now: float
    ) -> tuple[str | None, backends.LoadReport]:
        """Returns the name of a server, None if it is unknown, and its report.

        :raises ValueError: or ``TypeError``, if the row is malformed.
        """
        hashed_name, running, waiting, is_leaving, age_ms = row
        age = peers.check_seconds(age_ms) / 1000
        report = backends.LoadReport(
            now - age,
            backends.check_count(running),
            backends.check_count(waiting),
            bool(is_leaving),
        )
        return self.name_by_digest.get(hashed_name), report

    @peers.never_waits
    async def on_reports(self, peer: str, message: list) -> None:
        """Stores the reports of another VM that are newer than those here."""
        if not isinstance(message, list):
            raise errors.PeerProtocolError(
                f'{peer} sent load reports that are not a list'
            )
        now = self.timers.now()
        for row in message:
            try:
                name, report = self.unpack_report(row, now)
            except (TypeError, ValueError, OverflowError) as error:
                eliot.log_message(
                    'load:bad_report', peer=peer, reason=str(error)[:200]
                )
                continue
            if name is None:
                continue
            known = self.pool.by_name[name].report
            if known is None or report.received_at > known.received_at:
                self.store_report(name, report)


def name_digest(name: str) -> int:
    """Returns the 32-bit hash by which reports identify a server."""
    return xxhash.xxh32_intdigest(name.encode())


def assigned_vm(name: str, vms: collections.abc.Iterable[str]) -> str:
    """Returns the VM to which the polls of a backend server fall."""
    return max(
        sorted(vms),
        key=lambda vm: xxhash.xxh64_intdigest(f'{vm}/{name}'.encode()),
    )
