"""Entry VMs of a deployment, as control VMs know them from heartbeats."""

import collections.abc
import dataclasses
import enum
import math
import typing

import msgpack
import xxhash

from ..ports import peers

# Event loop lag from which on a VM is overloaded. Below it, lag is noise.
OVERLOAD_LAG_SECONDS = 0.05
# An overloaded VM keeps this part of its weight: it is not left out for long,
# and its last reported lag may be outdated.
MIN_LAG_FACTOR = 0.25
# The addresses change with this period, so that in a region with more VMs than
# addresses each is returned within a few seconds.
ROTATION_SECONDS = 1.0
# Multiples of it, modulo 1, cover the interval evenly (low discrepancy).
GOLDEN_RATIO = (math.sqrt(5) - 1) / 2


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
        """Returns a VM from its ``pack`` form.

        :raises ValueError: or ``TypeError``, if it is malformed.
        """
        vm, public_address, region, domain, state = values
        return cls(
            peers.check_text(vm),
            peers.check_text(public_address),
            peers.check_text(region),
            peers.check_text(domain),
            EntryState(state),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """The size and overload of an entry VM.

    :ivar cores: 0 if it is unknown.
    :ivar lag: delay of its event loop, in seconds.
    """

    cores: float = 0.0
    lag: float = 0.0

    def pack(self) -> dict[str, float]:
        return {'cores': self.cores, 'lag': self.lag}

    @classmethod
    def unpack(cls, values: typing.Any) -> 'Capacity':
        """Returns a capacity without what is missing or invalid."""
        if not isinstance(values, dict):
            return cls()
        return cls(
            non_negative(values.get('cores')), non_negative(values.get('lag'))
        )


def non_negative(value: typing.Any) -> float:
    """Returns a finite number above 0, or 0."""
    if isinstance(value, int | float) and 0 < value < math.inf:
        return float(value)
    return 0.0


UNKNOWN_CAPACITY = Capacity()


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
    :ivar capacities: by VM.
    """

    def __init__(self, timeout_seconds: float) -> None:
        self.timeout_seconds = timeout_seconds
        self.last_heartbeats: dict[str, tuple[EntryVm, float]] = {}
        self.capacities: dict[str, Capacity] = {}

    def record_heartbeat(
        self,
        entry: EntryVm,
        now: float,
        capacity: Capacity = UNKNOWN_CAPACITY,
    ) -> bool:
        """Records a heartbeat; returns whether the VM is new or changed."""
        self.capacities[entry.vm] = capacity
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
            self.capacities.pop(entry.vm, None)
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
    capacities: collections.abc.Mapping[str, Capacity] | None = None,
    now: float = 0.0,
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
    :param capacities: by VM. If the VMs differ, addresses are repeated in
        proportion to them.
    :param now: timer seconds, by which the addresses rotate.
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
    weights = capacity_weights(near, capacities or {})
    if len(set(weights)) <= 1:
        return [one.public_address for one in near[:max_addresses]]
    return [
        one.public_address
        for one, count in zip(
            near,
            sample_counts(weights, max_addresses, now),
            strict=True,
        )
        for _ in range(count)
    ]


def capacity_weights(
    entries: list[EntryVm], capacities: collections.abc.Mapping[str, Capacity]
) -> list[float]:
    """Returns the weights of VMs; those of unknown size count as average."""
    known = [capacities.get(one.vm, UNKNOWN_CAPACITY) for one in entries]
    sizes = [one.cores for one in known if one.cores]
    average = sum(sizes) / len(sizes) if sizes else 1.0
    return [
        (one.cores or average)
        * max(
            MIN_LAG_FACTOR,
            OVERLOAD_LAG_SECONDS / max(OVERLOAD_LAG_SECONDS, one.lag),
        )
        for one in known
    ]


def sample_counts(weights: list[float], count: int, now: float) -> list[int]:
    """Returns how often each of several items is sampled.

    Systematic sampling: each item gets its part of the samples, rounded up or
    down, and over time its exact part.

    :param count: number of samples.
    """
    offset = math.floor(now / ROTATION_SECONDS) * GOLDEN_RATIO % 1.0
    scale = count / sum(weights)
    counts = []
    cumulative = 0.0
    for weight in weights:
        begin = math.floor(cumulative * scale + offset)
        cumulative += weight
        counts.append(math.floor(cumulative * scale + offset) - begin)
    return counts


def digest(values: object) -> int:
    """Returns a 64-bit hash, to compare lists without sending them."""
    return xxhash.xxh3_64_intdigest(msgpack.packb(values))
