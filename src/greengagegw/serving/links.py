"""Connections of an entry VM to those that may run its requests.

These are the entry VMs of the other regions, and those of its own region if it
has lost its servers.
"""

import collections.abc
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
# A VM that had no usable server of a service is not asked again for this time.
UNABLE_SECONDS = 1.0
LINKS_PER_REGION = 2
LINK_POLL_SECONDS = 1.0
RETRY_AFTER_SECONDS = 0.3


class RegionLinks:
    """Selects peers in other regions and keeps connections to a few.

    :ivar suspect_until: timer seconds until which a VM that failed is not
        selected, by VM.
    :ivar unable_until: timer seconds until which a VM that had no usable
        server is not selected, by VM and service.
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
        self.unable_until: dict[tuple[str, str], float] = {}

    def choose_entry_vm(
        self,
        region: str,
        service: str | None = None,
        excluded: collections.abc.Container[str] = (),
    ) -> members.EntryVm:
        """Returns an entry VM of a region that has not failed recently.

        Prefers VMs to which this one keeps a connection.

        :param service: that has to have a usable server; None for any.
        :param excluded: VMs to leave out.
        :raises PeerUnreachableError: if there is none.
        """
        for entry_vms in (
            self.linked_entry_vms(region),
            self.other_entry_vms(region),
        ):
            candidates = [
                one
                for one in entry_vms
                if one.vm not in excluded and self.is_able(one.vm, service)
            ]
            if candidates:
                return self.rng.choice(candidates)
        raise errors.PeerUnreachableError(
            f'no entry VM of region {region} is reachable and has a backend'
            f' server of {service or "any service"}',
            retry_after=RETRY_AFTER_SECONDS,
        )

    def is_able(self, vm: str, service: str | None) -> bool:
        """Returns whether a VM is believed to run requests of a service."""
        now = self.timers.now()
        unable_until = 0.0
        if service is not None:
            unable_until = self.unable_until.get((vm, service), 0.0)
        return max(unable_until, self.suspect_until.get(vm, 0.0)) <= now

    def can_forward(self, region: str, service: str) -> bool:
        """Returns whether a VM of a region may run requests of a service."""
        return any(
            one.vm != self.vm and self.is_able(one.vm, service)
            for one in self.view.usable_entry_vms(region)
        )

    def record_unable(self, vm: str, service: str) -> None:
        """Records that a VM had no usable server of a service."""
        now = self.timers.now()
        self.unable_until = {
            key: until
            for key, until in self.unable_until.items()
            if until > now
        }
        self.unable_until[vm, service] = now + UNABLE_SECONDS

    def other_entry_vms(self, region: str) -> list[members.EntryVm]:
        """Returns the entry VMs of a region without this one."""
        return [
            one
            for one in self.view.usable_entry_vms(region)
            if one.vm != self.vm
        ]

    def linked_entry_vms(self, region: str) -> list[members.EntryVm]:
        """Returns the entry VMs of a region to keep connections to.

        Opening a connection takes three round trips. Rendezvous hashing
        spreads the connections of all VMs evenly.
        """
        return sorted(
            self.other_entry_vms(region),
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
