"""A lease that at most one VM of a region holds at a time.

A majority of voters grants it (Gray and Cheriton, "Leases", 1989). Voters
keep nothing on disk: a voter that has just started abstains until every
lease that it may have granted before has ended.
"""

import collections.abc
import contextlib
import dataclasses
import random

import anyio
import eliot

from .. import errors
from .. import timers as timer_service
from ..ports import peers

LEASE_DURATION_SECONDS = 3.0
RENEW_INTERVAL_SECONDS = 0.8
CALL_TIMEOUT_SECONDS = 0.8
# Clocks of two VMs may differ in speed by this factor at most.
MAX_CLOCK_RATE_RATIO = 1.05


@dataclasses.dataclass(slots=True)
class Vote:
    """What a voter has granted."""

    holder: str = ''
    ballot: int = 0
    until: float = 0.0


class RegionLease:
    """Competes for the lease of a region, and votes on it.

    :param candidates: the VMs of the region.
    :param voters: the VMs that grant the lease, an odd number of them.
    :param rank: position among the candidates; a higher one waits longer.
    """

    def __init__(
        self,
        region: str,
        vm: str,
        candidates: tuple[str, ...],
        voters: tuple[str, ...],
        mesh: peers.PeerPort,
        timers: timer_service.Timers,
        rng: random.Random,
    ) -> None:
        self.region = region
        self.vm = vm
        self.candidates = candidates
        self.voters = voters
        self.mesh = mesh
        self.timers = timers
        self.rng = rng
        self.vote = Vote()
        self.started_at = timers.now()
        self.ballot = 0
        self.held_until = 0.0
        self.held_since = 0.0
        self.last_holder = ''
        self.has_resigned = False

    @property
    def is_held(self) -> bool:
        """Whether this VM holds the lease now, by its own clock."""
        return self.timers.now() < self.held_until

    def handlers(self) -> dict[str, peers.Handler]:
        prefix = f'lease.{self.region}'
        return {
            f'{prefix}.ask': self.on_ask,
            f'{prefix}.release': self.on_release,
        }

    async def run(self) -> None:
        """Competes for the lease until it is cancelled."""
        if self.vm not in self.candidates:
            await anyio.sleep_forever()
        rank = self.candidates.index(self.vm)
        await self.timers.sleep(0.05 * rank)
        while True:
            if not self.has_resigned:
                await self.request_lease()
            pause = RENEW_INTERVAL_SECONDS
            if not self.is_held:
                pause *= 0.5 + rank * 0.5 + self.rng.random() * 0.5
            await self.timers.sleep(pause)

    async def request_lease(self) -> None:
        """Asks the voters once, to gain or to renew the lease."""
        was_held = self.is_held
        asked_at = self.timers.now()
        self.ballot += 1
        ballot = self.ballot
        granted: set[str] = set()
        enough = anyio.Event()

        async def ask(vm: str) -> None:
            message = [self.vm, ballot]
            with contextlib.suppress(errors.GatewayError):
                is_granted, holder = await self.mesh.call(
                    vm,
                    f'lease.{self.region}.ask',
                    message,
                    CALL_TIMEOUT_SECONDS,
                )
                if holder:
                    self.last_holder = holder
                if is_granted:
                    granted.add(vm)
            if 2 * len(granted) > len(self.voters):
                enough.set()

        async with anyio.create_task_group() as tasks:
            for vm in self.voters:
                tasks.start_soon(ask, vm)
            with self.timers.limit(CALL_TIMEOUT_SECONDS):
                await enough.wait()
            tasks.cancel_scope.cancel()
        if enough.is_set():
            self.accept_lease(asked_at, was_held)
        elif not self.is_held:
            await self.release(ballot)

    def accept_lease(self, asked_at: float, was_held: bool) -> None:
        if self.has_resigned:
            return
        if not was_held or not self.is_held:
            self.held_since = self.timers.now()
            eliot.log_message('lease:gained', region=self.region)
        self.held_until = asked_at + LEASE_DURATION_SECONDS
        self.last_holder = self.vm

    async def resign(self) -> None:
        """Gives the lease up, so that another VM can take it at once."""
        self.has_resigned = True
        self.held_until = 0.0
        await self.release(self.ballot)

    async def release(self, ballot: int) -> None:
        async def tell(vm: str) -> None:
            with contextlib.suppress(errors.GatewayError):
                await self.mesh.call(
                    vm,
                    f'lease.{self.region}.release',
                    [self.vm, ballot],
                    CALL_TIMEOUT_SECONDS,
                )

        async with anyio.create_task_group() as tasks:
            for vm in self.voters:
                tasks.start_soon(tell, vm)

    async def on_ask(self, peer: str, message: list) -> list:
        """Votes; the answer names the holder that this voter knows."""
        vm, ballot = message
        now = self.timers.now()
        if (
            now - self.started_at
            < LEASE_DURATION_SECONDS * MAX_CLOCK_RATE_RATIO
        ):
            return [False, '']
        is_free = now >= self.vote.until
        if not is_free and self.vote.holder != vm:
            return [False, self.vote.holder]
        self.vote = Vote(
            vm, ballot, now + LEASE_DURATION_SECONDS * MAX_CLOCK_RATE_RATIO
        )
        return [True, vm]

    async def on_release(self, peer: str, message: list) -> None:
        vm, ballot = message
        if (self.vote.holder, self.vote.ballot) == (vm, ballot):
            self.vote = Vote()


def choose_voters(
    region: str,
    vms_by_region: collections.abc.Mapping[str, collections.abc.Sequence],
) -> tuple[str, ...]:
    """Returns the voters of a region's lease.

    They are the VMs of the region. When their number is even, a VM of
    another region makes it odd, so that one VM of two can be lost.
    """
    mine = sorted(vms_by_region[region])
    if len(mine) % 2 == 1:
        return tuple(mine)
    regions = sorted(vms_by_region)
    at = regions.index(region)
    for other in regions[at + 1 :] + regions[:at]:
        if vms_by_region[other]:
            return (*mine, sorted(vms_by_region[other])[0])
    return tuple(mine)
