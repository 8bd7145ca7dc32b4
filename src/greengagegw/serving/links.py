"""Connections of an entry VM to entry VMs of the other regions."""

import random
import typing

import eliot

from .. import errors
from .. import timers as timer_service
from ..fleet import agent as agents
from ..fleet import members
from . import placement
from ..ports import peers

# Allows for three round trips between regions.
ACCEPT_TIMEOUT_SECONDS = 0.4
SUSPECT_SECONDS = 1.0
LINKS_PER_REGION = 2
LINK_POLL_SECONDS = 1.0
RETRY_AFTER_SECONDS = 0.3


class RegionLinks:
    """Selects peers in other regions and keeps connections to a few.

    :ivar suspect_until: timer seconds until which a VM that failed is not
        selected, by VM.
    """

    def __init__(
        self,
        vm: str,
        region: str,
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
        view: agents.FleetView,
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.region = region
        self.timers = timers
        self.mesh = mesh
        self.view = view
        self.rng = rng
        self.suspect_until: dict[str, float] = {}

    def choose_entry_vm(self, region: str) -> members.EntryVm:
        """Returns an entry VM of a region that has not failed recently.

        Prefers VMs to which this one keeps a connection.

        :raises PeerUnreachableError: if there is none.
        """
        now = self.timers.now()
        candidates = [
            one
            for one in self.linked_entry_vms(region)
            if self.suspect_until.get(one.vm, 0.0) <= now
        ] or [
            one
            for one in self.view.usable_entry_vms(region)
            if self.suspect_until.get(one.vm, 0.0) <= now
        ]
        if not candidates:
            raise errors.PeerUnreachableError(
                f'no entry VM of region {region} is reachable',
                retry_after=RETRY_AFTER_SECONDS,
            )
        return self.rng.choice(candidates)

    def linked_entry_vms(self, region: str) -> list[members.EntryVm]:
        """Returns the entry VMs of a region to keep connections to.

        Opening a connection takes three round trips. Rendezvous hashing
        spreads the connections of all VMs evenly.
        """
        entry_vms = self.view.usable_entry_vms(region)
        return sorted(
            entry_vms,
            key=lambda one: placement.rendezvous_score(self.vm, one.vm),
        )[:LINKS_PER_REGION]

    async def maintain_links(self) -> None:
        """Keeps connections to the other regions open until cancelled."""
        while True:
            regions = {one.region for one in self.view.entry_vms}
            for region in sorted(regions - {self.region}):
                for entry in self.linked_entry_vms(region):
                    await self.ensure_link(entry.vm)
            await self.timers.sleep(LINK_POLL_SECONDS)

    async def ensure_link(self, vm: str) -> None:
        try:
            await self.mesh.connect(vm)
        except errors.PeerError as error:
            self.suspect_until[vm] = self.timers.now() + SUSPECT_SECONDS
            eliot.log_message('link:failed', vm=vm, code=error.code)

    async def await_acceptance(
        self, entry_vm: members.EntryVm, stream: typing.Any
    ) -> None:
        """Waits until a peer confirms that it accepted a request.

        :raises PeerUnresponsiveError: if no confirmation arrives in time; the
            request may have run.
        """
        accepted = False
        try:
            with self.timers.move_on_after(ACCEPT_TIMEOUT_SECONDS):
                await stream.receive()
                accepted = True
        except errors.PeerError:
            self.suspect_until[entry_vm.vm] = (
                self.timers.now() + SUSPECT_SECONDS
            )
            raise
        if not accepted:
            self.suspect_until[entry_vm.vm] = (
                self.timers.now() + SUSPECT_SECONDS
            )
            raise errors.PeerUnresponsiveError(
                f'{entry_vm.vm} did not accept the request within'
                f' {ACCEPT_TIMEOUT_SECONDS} s'
            )
