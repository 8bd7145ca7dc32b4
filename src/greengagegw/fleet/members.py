"""The VMs of a deployment, as control VMs hear of them."""

import collections.abc
import dataclasses
import enum

import msgpack
import xxhash


class EntryState(enum.Enum):
    """What an entry VM says of itself."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVm:
    """An entry VM.

    :ivar vm: its address for other VMs.
    :ivar callers_address: where callers connect.
    """

    vm: str
    callers_address: str
    region: str
    domain: str
    state: EntryState

    def pack(self) -> list:
        return [
            self.vm,
            self.callers_address,
            self.region,
            self.domain,
            self.state.value,
        ]

    @classmethod
    def unpack(cls, values: list) -> 'EntryVm':
        *names, state = values
        return cls(*names, EntryState(state))


def usable(entries: collections.abc.Sequence[EntryVm]) -> list[EntryVm]:
    """Returns the VMs of a region that other regions may send requests to.

    Those that leave are among them only where all do: a rolling stop takes
    the VMs of a small region out together, and its backend servers with them.
    """
    for state in (EntryState.SERVING, EntryState.LEAVING):
        found = [one for one in entries if one.state is state]
        if found:
            return found
    return []


class EntryVmRegistry:
    """The entry VMs that have been heard of lately.

    :param silence: seconds after which a VM is thought gone.
    """

    def __init__(self, silence: float) -> None:
        self.silence = silence
        self.last_heartbeats: dict[str, tuple[EntryVm, float]] = {}

    def hear(self, entry: EntryVm, now: float) -> bool:
        """Takes in a sign of life, and returns whether it is news."""
        known = self.last_heartbeats.get(entry.vm)
        self.last_heartbeats[entry.vm] = (entry, now)
        return known is None or known[0] != entry

    def forget_silent(self, now: float) -> list[EntryVm]:
        """Drops the VMs that have gone silent, and returns them."""
        silent = [
            entry
            for entry, at in self.last_heartbeats.values()
            if now - at > self.silence
        ]
        for entry in silent:
            del self.last_heartbeats[entry.vm]
        return silent

    def live_entry_vms(self, now: float) -> list[EntryVm]:
        """Returns the VMs that live, in the order of their names."""
        return sorted(
            (
                entry
                for entry, at in self.last_heartbeats.values()
                if now - at <= self.silence
            ),
            key=lambda entry: entry.vm,
        )


def choose_entry_vm_addresses(
    entries: list[EntryVm],
    region: str,
    domain: str,
    homes: frozenset[str],
    most: int,
) -> list[str]:
    """Returns the addresses that a caller should use.

    Those of the caller's own region come first, whatever its failure
    domain, so that one domain's burst spreads over the region. Without
    any, those of the homes of what it asks for are named. What has homes is
    not led elsewhere while VMs leave there: these serve for some seconds, in
    which the first of a rolling stop is back.
    """
    serving = [one for one in entries if one.state is EntryState.SERVING]
    near = [one for one in serving if one.region == region]
    if not near and homes:
        near = [one for one in serving if one.region in homes]
        near = near or [
            one
            for one in entries
            if one.state is EntryState.LEAVING
            and (one.region == region or one.region in homes)
        ]
    near = near or serving
    near.sort(key=lambda one: (one.domain != domain, one.vm))
    return [one.callers_address for one in near[:most]]


def digest(values: object) -> int:
    """Returns a number that tells whether a list is the one held."""
    return xxhash.xxh3_64_intdigest(msgpack.packb(values))
