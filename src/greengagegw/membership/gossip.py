"""Spreads by gossip which VMs are alive, and the load of each region.

Within a region, VMs exchange heartbeat counters (van Renesse, Minsky and
Hayden, "A Gossip-Style Failure Detection Service", 1998). Between regions
only a summary of each region is exchanged, so that the cost per VM grows with
the size of its region and the number of regions, not with the fleet.
"""

import collections.abc
import contextlib
import dataclasses
import random

import anyio
import eliot

from .. import errors
from .. import settings as settings_module
from .. import timers as timer_service
from . import failure_detector
from ..ports import peers

GOSSIP_INTERVAL_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 2.0
# A region's summary is also renewed when its set of alive VMs changes.
SUMMARY_INTERVAL_SECONDS = 3.0
MAX_SUMMARY_AGE_SECONDS = 15.0
# After the start, VMs not heard of yet count as alive for this long.
STARTUP_GRACE_SECONDS = 6.0
# Made by all VMs of a region together.
CROSS_REGION_EXCHANGES_PER_SECOND = 3.0
ROUND_TRIP_SMOOTHING = 0.2


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """The latest heartbeat of a VM of the own region.

    :ivar incarnation: start of the process in ms since the epoch.
    :ivar counter: rises with every heartbeat of the process.
    :ivar is_leaving: whether the VM accepts no new clients.
    """

    incarnation: int
    counter: int
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of a service's backend servers in one region, in requests.

    :ivar slots: requests that the backend servers may process at a time.
    :ivar running: requests in progress.
    :ivar waiting: requests in the queue.
    """

    slots: int
    running: int
    waiting: int

    @property
    def free(self) -> int:
        return max(0, self.slots - self.running - self.waiting)


@dataclasses.dataclass(frozen=True, slots=True)
class RegionSummary:
    """Summary of a region, made by one of its VMs.

    :ivar version: rises with every summary of the region.
    :ivar created_at: monotonic seconds on this VM's clock.
    :ivar alive_vms: VMs that are alive and accept clients.
    :ivar services: load by service.
    :ivar revision: revision of the configuration on the VM that made it.
    """

    region: str
    version: int
    created_at: float
    alive_vms: tuple[str, ...]
    services: dict[str, ServiceLoad]
    revision: int


class Gossip:
    """The membership of the fleet as seen by one VM.

    :param service_loads: returns the load of the services in this region.
    :param revision: returns the revision of the configuration on this VM.
    :param pending_withdrawals: returns the ids of withdrawn keys that other
        VMs may not know yet.
    :param on_withdrawals: called with the ids that another VM sent.
    :ivar round_trip_seconds: moving mean by region.
    :ivar exchange_queue: VMs of this region still to contact in this round.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        mesh: peers.PeerPort,
        timers: timer_service.Timers,
        rng: random.Random,
        service_loads: collections.abc.Callable[[], dict[str, ServiceLoad]],
        revision: collections.abc.Callable[[], int],
        pending_withdrawals: collections.abc.Callable[[], set[str]],
        on_withdrawals: collections.abc.Callable[
            [set[str]], collections.abc.Awaitable[None]
        ],
    ) -> None:
        self.settings = settings
        self.mesh = mesh
        self.timers = timers
        self.rng = rng
        self.service_loads = service_loads
        self.revision = revision
        self.pending_withdrawals = pending_withdrawals
        self.on_withdrawals = on_withdrawals
        self.vm = settings.vm
        self.region = settings.region
        self.started_at = timers.now()
        self.region_vms = set(settings.vms_by_region[self.region])
        self.region_by_vm = {peer.vm: peer.region for peer in settings.peers}
        self.heartbeats = {
            self.vm: Heartbeat(int(timers.wall_time() * 1000), 0, False)
        }
        self.detectors: dict[str, failure_detector.FailureDetector] = {}
        self.summaries: dict[str, RegionSummary] = {}
        self.round_trip_seconds: dict[str, float] = {}
        self.exchange_queue: list[str] = []

    def handlers(self) -> dict[str, peers.Handler]:
        return {
            'gossip.exchange': self.on_exchange,
            'gossip.push': self.on_push,
        }

    @property
    def is_leaving(self) -> bool:
        return self.heartbeats[self.vm].is_leaving

    async def leave(self) -> None:
        """Tells the region's VMs that this VM accepts no new clients."""
        own_heartbeat = self.heartbeats[self.vm]
        own_heartbeat.is_leaving = True
        own_heartbeat.counter += 1
        for vm in sorted(self.region_vms - {self.vm}):
            await self.exchange(vm)

    def is_alive(self, vm: str) -> bool:
        """Returns whether a VM is thought to be alive."""
        if vm == self.vm:
            return True
        now = self.timers.now()
        is_in_grace_period = now - self.started_at < STARTUP_GRACE_SECONDS
        if vm in self.region_vms:
            detector = self.detectors.get(vm)
            return (
                is_in_grace_period
                if detector is None
                else not detector.has_timed_out(now)
            )
        summary = self.summaries.get(self.region_by_vm.get(vm, ''))
        if summary is None:
            return is_in_grace_period
        if now - summary.created_at > MAX_SUMMARY_AGE_SECONDS:
            return False
        return vm in summary.alive_vms

    def alive_region_vms(self) -> list[str]:
        """Returns the alive VMs of this region, including this one."""
        return [vm for vm in sorted(self.region_vms) if self.is_alive(vm)]

    def accepts_clients(self, vm: str) -> bool:
        """Returns whether new clients may be sent to a VM."""
        heartbeat = self.heartbeats.get(vm)
        if heartbeat is not None and heartbeat.is_leaving:
            return False
        return self.is_alive(vm)

    def current_summary(self, region: str) -> RegionSummary | None:
        """Returns the latest summary of a region, or None if it is too old."""
        summary = self.summaries.get(region)
        if summary is None:
            return None
        age = self.timers.now() - summary.created_at
        return summary if age <= MAX_SUMMARY_AGE_SECONDS else None

    async def run(self) -> None:
        """Gossips until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self.heartbeats[self.vm].counter += 1
                self.refresh_summary()
                for vm in self.choose_targets():
                    # In the background: waiting for a VM that does not
                    # reply would delay the next heartbeat, and this VM
                    # would be considered failed.
                    tasks.start_soon(self.exchange, vm)
                pause = GOSSIP_INTERVAL_SECONDS * (
                    0.8 + 0.4 * self.rng.random()
                )
                await self.timers.sleep(pause)

    def choose_targets(self) -> list[str]:
        """Returns a VM of this region and sometimes one of another region.

        The VMs of this region are contacted in rounds, each in a new random
        order, which bounds the time between two exchanges with the same VM
        (Das, Gupta and Motivala, "SWIM", 2002).
        """
        chosen = []
        if not self.exchange_queue:
            self.exchange_queue = sorted(self.region_vms - {self.vm})
            self.rng.shuffle(self.exchange_queue)
        if self.exchange_queue:
            chosen.append(self.exchange_queue.pop())
        others = [one for one in self.settings.regions if one != self.region]
        probability = CROSS_REGION_EXCHANGES_PER_SECOND / len(self.region_vms)
        if others and self.rng.random() < probability:
            region = self.rng.choice(others)
            vms = [
                vm
                for vm, vm_region in self.region_by_vm.items()
                if vm_region == region
            ]
            live_vms = [vm for vm in vms if self.is_alive(vm)]
            chosen.append(self.rng.choice(live_vms or vms))
        return chosen

    async def exchange(self, vm: str) -> None:
        """Exchanges state with a VM; summaries that it has are not sent."""
        sent_at = self.timers.now()
        is_in_region = vm in self.region_vms
        with contextlib.suppress(errors.GatewayError):
            reply = await self.mesh.call(
                vm,
                'gossip.exchange',
                self.build_message(is_in_region),
                CALL_TIMEOUT_SECONDS,
            )
            self.record_round_trip(vm, self.timers.now() - sent_at)
            newer_summaries = self.summaries_newer_than(reply[1])
            await self.merge_message(reply)
            if newer_summaries:
                await self.mesh.call(
                    vm, 'gossip.push', newer_summaries, CALL_TIMEOUT_SECONDS
                )

    def record_round_trip(self, vm: str, seconds: float) -> None:
        region = self.region_by_vm[vm]
        known = self.round_trip_seconds.get(region, seconds)
        change = ROUND_TRIP_SMOOTHING * (seconds - known)
        self.round_trip_seconds[region] = known + change

    async def on_exchange(self, peer: str, message: list) -> list:
        reply = self.build_message(peer in self.region_vms)
        reply[2] = self.summaries_newer_than(message[1])
        await self.merge_message(message)
        return reply

    async def on_push(self, peer: str, message: list) -> None:
        self.merge_summaries(message)

    def build_message(self, is_in_region: bool) -> list:
        """Returns a message with heartbeats, summary versions and withdrawals.

        Its list of summaries is empty.

        :param is_in_region: whether the receiver is in this region; only then
            heartbeats are included.
        """
        heartbeats = []
        if is_in_region:
            heartbeats = [
                [vm, one.incarnation, one.counter, one.is_leaving]
                for vm, one in self.heartbeats.items()
            ]
        versions = {name: one.version for name, one in self.summaries.items()}
        return [heartbeats, versions, [], sorted(self.pending_withdrawals())]

    def summaries_newer_than(self, versions: dict[str, int]) -> list[list]:
        """Returns the encoded summaries that are newer than the versions.

        :param versions: the receiver's versions by region.
        """
        now = self.timers.now()
        return [
            [
                one.region,
                one.version,
                round(now - one.created_at, 3),
                one.alive_vms,
                {
                    name: [load.slots, load.running, load.waiting]
                    for name, load in one.services.items()
                },
                one.revision,
            ]
            for one in self.summaries.values()
            if one.version > versions.get(one.region, 0)
        ]

    async def merge_message(self, message: list) -> None:
        """Merges a message of another VM into the membership."""
        heartbeats, _, summaries, pending = message
        for vm, incarnation, counter, is_leaving in heartbeats:
            if vm == self.vm:
                self.refute(incarnation)
            elif vm in self.region_vms:
                self.merge_heartbeat(
                    vm, Heartbeat(incarnation, counter, is_leaving)
                )
        self.merge_summaries(summaries)
        if pending:
            await self.on_withdrawals(set(pending))

    def merge_summaries(self, summaries: list[list]) -> None:
        now = self.timers.now()
        for region, version, age, alive, services, revision in summaries:
            known = self.summaries.get(region)
            if known is None or version > known.version:
                loads = {
                    name: ServiceLoad(*load) for name, load in services.items()
                }
                self.summaries[region] = RegionSummary(
                    region, version, now - age, tuple(alive), loads, revision
                )

    def refute(self, incarnation: int) -> None:
        """Raises the incarnation above that of an earlier process.

        Its clock may have been ahead of this process's clock, in which case
        other VMs would ignore the heartbeats of this process.
        """
        own_heartbeat = self.heartbeats[self.vm]
        if incarnation > own_heartbeat.incarnation:
            own_heartbeat.incarnation = incarnation + 1

    def merge_heartbeat(self, vm: str, new: Heartbeat) -> None:
        now = self.timers.now()
        known = self.heartbeats.get(vm)
        if known is None or new.incarnation > known.incarnation:
            eliot.log_message('gossip:joined', vm=vm)
            self.heartbeats[vm] = new
            self.detectors[vm] = failure_detector.FailureDetector(
                now, GOSSIP_INTERVAL_SECONDS
            )
        elif (
            new.incarnation == known.incarnation
            and new.counter > known.counter
        ):
            self.heartbeats[vm] = new
            self.detectors[vm].record_heartbeat(now)

    def refresh_summary(self) -> None:
        """Renews the region's summary if it is due.

        Only the first VM of the region that is alive does so.
        """
        live_vms = self.alive_region_vms()
        if live_vms[0] != self.vm and self.is_known(live_vms[0]):
            return
        known = self.summaries.get(self.region)
        alive_vms = tuple(vm for vm in live_vms if self.accepts_clients(vm))
        now = self.timers.now()
        if known is not None and known.alive_vms == alive_vms:
            if now - known.created_at < SUMMARY_INTERVAL_SECONDS:
                return
        self.summaries[self.region] = RegionSummary(
            self.region,
            known.version + 1 if known else 1,
            now,
            alive_vms,
            self.service_loads(),
            self.revision(),
        )

    def is_known(self, vm: str) -> bool:
        return vm in self.heartbeats
