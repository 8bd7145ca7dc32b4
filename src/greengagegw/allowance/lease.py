"""A lease that at most one VM of a region holds at a time.

A majority of voters grants it (Gray and Cheriton, "Leases", 1989). Voters
persist nothing: a voter that has just started grants nothing until every
lease that it may have granted before the restart has expired.
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
# The clocks of two VMs are assumed to differ in rate by at most this factor.
MAX_CLOCK_RATE_RATIO = 1.05


@dataclasses.dataclass(slots=True)
class Vote:
    """The last lease that a voter granted."""

    holder: str = ''
    ballot: int = 0
    expires_at: float = 0.0


class RegionLease:
    """Acquires and renews the lease of a region, and votes on it.

    :param candidates: VMs of the region, which may hold the lease. The
        later a VM comes in the list, the longer it waits before it asks.
    :param voters: VMs that grant the lease, an odd number unless no other
        region has a VM.
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
            f'{prefix}.ask': self.on_request,
            f'{prefix}.release': self.on_release,
        }

    async def run(self) -> None:
        """Acquires and renews the lease until cancelled."""
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
        """Asks the voters once to grant or renew the lease."""
        was_held = self.is_held
        asked_at = self.timers.now()
        self.ballot += 1
        ballot = self.ballot
        granted: set[str] = set()
        has_majority = anyio.Event()

        async def request_vote(vm: str) -> None:
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
                has_majority.set()

        async with anyio.create_task_group() as tasks:
            for vm in self.voters:
                tasks.start_soon(request_vote, vm)
            with self.timers.move_on_after(CALL_TIMEOUT_SECONDS):
                await has_majority.wait()
            tasks.cancel_scope.cancel()
        if has_majority.is_set():
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
        """Releases the lease for good, so that another VM can acquire it."""
        self.has_resigned = True
        self.held_until = 0.0
        await self.release(self.ballot)

    async def release(self, ballot: int) -> None:
        """Tells the voters to drop a vote for this VM."""

        async def send_release(vm: str) -> None:
            with contextlib.suppress(errors.GatewayError):
                await self.mesh.call(
                    vm,
                    f'lease.{self.region}.release',
                    [self.vm, ballot],
                    CALL_TIMEOUT_SECONDS,
                )

        async with anyio.create_task_group() as tasks:
            for vm in self.voters:
                tasks.start_soon(send_release, vm)

    async def on_request(self, peer: str, message: list) -> list:
        """Votes on a request for the lease.

        :returns: whether the vote is granted, and the holder that this
            voter knows (empty if none).
        """
        vm, ballot = message
        now = self.timers.now()
        if (
            now - self.started_at
            < LEASE_DURATION_SECONDS * MAX_CLOCK_RATE_RATIO
        ):
            return [False, '']
        is_expired = now >= self.vote.expires_at
        if not is_expired and self.vote.holder != vm:
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

    They are the VMs of the region. If their number is even, a VM of another
    region is added, so that a region of two VMs tolerates the loss of one.
    """
    own_vms = sorted(vms_by_region[region])
    if len(own_vms) % 2 == 1:
        return tuple(own_vms)
    regions = sorted(vms_by_region)
    position = regions.index(region)
    for other in regions[position + 1 :] + regions[:position]:
        if vms_by_region[other]:
            return (*own_vms, sorted(vms_by_region[other])[0])
    return tuple(own_vms)
