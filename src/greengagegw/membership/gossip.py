"""Which VMs are alive, and what each region can take, spread by gossip.

Within a region VMs exchange heartbeat counters (van Renesse, Minsky and
Hayden, "A Gossip-Style Failure Detection Service", 1998). Between regions
only a summary of each region travels, so that what a VM spends grows with
its region and the number of regions, not with the fleet.
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
# A summary is renewed this often, and when a VM comes or goes.
SUMMARY_INTERVAL_SECONDS = 3.0
MAX_SUMMARY_AGE_SECONDS = 15.0
# Until something was heard, VMs count as alive for this long.
STARTUP_GRACE_SECONDS = 6.0
# Exchanges with other regions a second that all VMs of a region make.
CROSS_REGION_EXCHANGES_PER_SECOND = 3.0
ROUND_TRIP_SMOOTHING = 0.2


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """The newest sign of life of a VM of the own region.

    :ivar incarnation: start of the process in ms since the epoch.
    """

    incarnation: int
    counter: int
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """What a region's backend servers of one service are doing."""

    slots: int
    running: int
    waiting: int

    @property
    def free(self) -> int:
        return max(0, self.slots - self.running - self.waiting)


@dataclasses.dataclass(frozen=True, slots=True)
class RegionSummary:
    """What the VMs of a region say of it.

    :ivar version: rises with every summary of the region.
    :ivar made_at: monotonic seconds, on this VM's clock.
    """

    region: str
    version: int
    created_at: float
    alive_vms: tuple[str, ...]
    services: dict[str, ServiceLoad]
    revision: int


class Gossip:
    """The membership as one VM sees it.

    :param describe: gives the load of the services in this region.
    :param revision: gives the revision in force on this VM.
    :param pending: gives withdrawals that others may not have heard of.
    :param on_pending: takes withdrawals that another VM named.
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
            self.vm: Heartbeat(int(timers.wall() * 1000), 0, False)
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
        """Tells the others that this VM takes no new callers."""
        me = self.heartbeats[self.vm]
        me.is_leaving = True
        me.counter += 1
        for vm in sorted(self.region_vms - {self.vm}):
            await self.exchange(vm)

    def is_alive(self, vm: str) -> bool:
        """Returns whether a VM may be worth asking."""
        if vm == self.vm:
            return True
        now = self.timers.now()
        in_grace = now - self.started_at < STARTUP_GRACE_SECONDS
        if vm in self.region_vms:
            known = self.detectors.get(vm)
            return in_grace if known is None else not known.has_timed_out(now)
        summary = self.summaries.get(self.region_by_vm.get(vm, ''))
        if summary is None:
            return in_grace
        if now - summary.created_at > MAX_SUMMARY_AGE_SECONDS:
            return False
        return vm in summary.alive_vms

    def alive_region_vms(self) -> list[str]:
        """Returns the VMs of this region that are alive, this one too."""
        return [vm for vm in sorted(self.region_vms) if self.is_alive(vm)]

    def accepts_clients(self, vm: str) -> bool:
        """Returns whether callers may be sent to a VM."""
        heartbeat = self.heartbeats.get(vm)
        if heartbeat is not None and heartbeat.is_leaving:
            return False
        return self.is_alive(vm)

    def current_summary(self, region: str) -> RegionSummary | None:
        """Returns what is known of a region, unless it is too old."""
        summary = self.summaries.get(region)
        if summary is None:
            return None
        age = self.timers.now() - summary.created_at
        return summary if age <= MAX_SUMMARY_AGE_SECONDS else None

    async def run(self) -> None:
        """Gossips until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self.heartbeats[self.vm].counter += 1
                self.refresh_summary()
                for vm in self.choose_targets():
                    # A VM that does not answer must not delay the next
                    # heartbeat, or this VM would look dead itself.
                    tasks.start_soon(self.exchange, vm)
                pause = GOSSIP_INTERVAL_SECONDS * (
                    0.8 + 0.4 * self.rng.random()
                )
                await self.timers.sleep(pause)

    def choose_targets(self) -> list[str]:
        """Returns a mate, and now and then a VM of another region.

        Mates take turns in a new random order each time, so that none is
        left out for long (Das, Gupta and Motivala, "SWIM", 2002).
        """
        chosen = []
        if not self.exchange_queue:
            self.exchange_queue = sorted(self.region_vms - {self.vm})
            self.rng.shuffle(self.exchange_queue)
        if self.exchange_queue:
            chosen.append(self.exchange_queue.pop())
        others = [one for one in self.settings.regions if one != self.region]
        odds = CROSS_REGION_EXCHANGES_PER_SECOND / len(self.region_vms)
        if others and self.rng.random() < odds:
            region = self.rng.choice(others)
            vms = [
                vm
                for vm, where in self.region_by_vm.items()
                if where == region
            ]
            near = [vm for vm in vms if self.is_alive(vm)]
            chosen.append(self.rng.choice(near or vms))
        return chosen

    async def exchange(self, vm: str) -> None:
        """Exchanges news with a VM; only what the other lacks is sent."""
        asked_at = self.timers.now()
        is_mate = vm in self.region_vms
        with contextlib.suppress(errors.GatewayError):
            answer = await self.mesh.call(
                vm,
                'gossip.exchange',
                self.build_message(is_mate),
                CALL_TIMEOUT_SECONDS,
            )
            self.record_round_trip(vm, self.timers.now() - asked_at)
            lacking = self.summaries_newer_than(answer[1])
            await self.merge_message(answer)
            if lacking:
                await self.mesh.call(
                    vm, 'gossip.push', lacking, CALL_TIMEOUT_SECONDS
                )

    def record_round_trip(self, vm: str, seconds: float) -> None:
        region = self.region_by_vm[vm]
        known = self.round_trip_seconds.get(region, seconds)
        change = ROUND_TRIP_SMOOTHING * (seconds - known)
        self.round_trip_seconds[region] = known + change

    async def on_exchange(self, peer: str, message: list) -> list:
        answer = self.build_message(peer in self.region_vms)
        answer[2] = self.summaries_newer_than(message[1])
        await self.merge_message(message)
        return answer

    async def on_push(self, peer: str, message: list) -> None:
        self.merge_summaries(message)

    def build_message(self, is_mate: bool) -> list:
        """Returns heartbeats, versions of summaries, and withdrawals.

        The place of the summaries themselves is left empty.
        """
        heartbeats = []
        if is_mate:
            heartbeats = [
                [vm, one.incarnation, one.counter, one.is_leaving]
                for vm, one in self.heartbeats.items()
            ]
        versions = {name: one.version for name, one in self.summaries.items()}
        return [heartbeats, versions, [], sorted(self.pending_withdrawals())]

    def summaries_newer_than(self, versions: dict[str, int]) -> list[list]:
        """Returns the summaries that a VM with these versions lacks."""
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
        """Takes in what another VM tells."""
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
        """Outbids an earlier process whose clock was ahead of this one's."""
        me = self.heartbeats[self.vm]
        if incarnation > me.incarnation:
            me.incarnation = incarnation + 1

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
        """Writes the region's summary, on the first VM that is alive."""
        near = self.alive_region_vms()
        if near[0] != self.vm and self.is_known(near[0]):
            return
        known = self.summaries.get(self.region)
        alive = tuple(vm for vm in near if self.accepts_clients(vm))
        now = self.timers.now()
        if known is not None and known.alive_vms == alive:
            if now - known.created_at < SUMMARY_INTERVAL_SECONDS:
                return
        self.summaries[self.region] = RegionSummary(
            self.region,
            known.version + 1 if known else 1,
            now,
            alive,
            self.service_loads(),
            self.revision(),
        )

    def is_known(self, vm: str) -> bool:
        return vm in self.heartbeats
