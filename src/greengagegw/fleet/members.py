"""Entry VMs of a deployment, as control VMs know them from heartbeats."""

import collections.abc
import dataclasses
import enum

import msgpack
import xxhash


class EntryState(enum.Enum):
    """Lifecycle state that an entry VM reports."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVm:
    """An entry VM.

    :ivar vm: address for connections from other VMs.
    :ivar public_address: address for connections from clients.
    :ivar domain: its failure domain.
    """

    vm: str
    public_address: str
    region: str
    domain: str
    state: EntryState

    def pack(self) -> list:
        return [
            self.vm,
            self.public_address,
            self.region,
            self.domain,
            self.state.value,
        ]

    @classmethod
    def unpack(cls, values: list) -> 'EntryVm':
        *names, state = values
        return cls(*names, EntryState(state))


def usable(entries: collections.abc.Sequence[EntryVm]) -> list[EntryVm]:
    """Returns the VMs of a region that other regions may forward requests to.

    Leaving VMs are returned only if no VM is serving: a rolling restart can
    stop all VMs of a small region at the same time, and other regions would
    lose its backend servers with them.
    """
    for state in (EntryState.SERVING, EntryState.LEAVING):
        found = [one for one in entries if one.state is state]
        if found:
            return found
    return []


class EntryVmRegistry:
    """Entry VMs with a recent heartbeat.

    :param timeout_seconds: time without a heartbeat after which a VM is
        considered dead.
    :ivar last_heartbeats: each VM, and when its last heartbeat was received.
    """

    def __init__(self, timeout_seconds: float) -> None:
        self.timeout_seconds = timeout_seconds
        self.last_heartbeats: dict[str, tuple[EntryVm, float]] = {}

    def record_heartbeat(self, entry: EntryVm, now: float) -> bool:
        """Records a heartbeat; returns whether the VM is new or changed."""
        known = self.last_heartbeats.get(entry.vm)
        self.last_heartbeats[entry.vm] = (entry, now)
        return known is None or known[0] != entry

    def remove_expired(self, now: float) -> list[EntryVm]:
        """Removes the VMs whose heartbeats timed out, and returns them."""
        expired = [
            entry
            for entry, received_at in self.last_heartbeats.values()
            if now - received_at > self.timeout_seconds
        ]
        for entry in expired:
            del self.last_heartbeats[entry.vm]
        return expired

    def live_entry_vms(self, now: float) -> list[EntryVm]:
        """Returns the VMs whose heartbeats are recent, sorted by ``vm``."""
        return sorted(
            (
                entry
                for entry, received_at in self.last_heartbeats.values()
                if now - received_at <= self.timeout_seconds
            ),
            key=lambda entry: entry.vm,
        )


def choose_entry_vm_addresses(
    entries: list[EntryVm],
    region: str,
    domain: str,
    home_regions: frozenset[str],
    max_addresses: int,
) -> list[str]:
    """Returns the addresses that a client should connect to.

    Serving VMs of the client's own region are preferred, from all of its
    failure domains, so that a burst from one domain spreads over the region.
    If there are none, VMs of the home regions are returned. Requests with
    home regions are not directed elsewhere while the VMs there are leaving:
    a leaving VM serves for some more seconds, by which time the first VM of
    a rolling restart is back.

    :param home_regions: the only regions that may run the client's requests;
        empty for all.
    :param max_addresses: upper bound on the number of addresses.
    """
    serving = [one for one in entries if one.state is EntryState.SERVING]
    near = [one for one in serving if one.region == region]
    if not near and home_regions:
        near = [one for one in serving if one.region in home_regions]
        near = near or [
            one
            for one in entries
            if one.state is EntryState.LEAVING
            and (one.region == region or one.region in home_regions)
        ]
    near = near or serving
    near.sort(key=lambda one: (one.domain != domain, one.vm))
    return [one.public_address for one in near[:max_addresses]]


def digest(values: object) -> int:
    """Returns a 64-bit hash, to compare lists without sending them."""
    return xxhash.xxh3_64_intdigest(msgpack.packb(values))
