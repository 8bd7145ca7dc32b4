"""Choice of the VMs that hold the replicas of a group."""

import collections.abc
import itertools

from . import settings as settings_module

MAX_VOTERS = 5
MAX_MEMORY_REPLICAS = 2
MIN_VOTERS_WITHOUT_MEMORY_REPLICAS = 3


def choose_voters(
    peers: collections.abc.Iterable[settings_module.Peer],
    region: str | None = None,
) -> tuple[str, ...]:
    """Returns the initial voters of a group, by name.

    They are VMs with a disk, taken in turn from the regions, and within a
    region in turn from its failure domains. Above two their number is odd,
    since an even number of voters tolerates no more failures than the odd
    number below it.

    :param region: takes VMs of this region only, if it has any with a disk.
    """
    with_disk = [peer for peer in peers if peer.disk]
    local = [peer for peer in with_disk if peer.region == region]
    interleaved = _interleave(
        [
            _interleave_domains(group)
            for group in _group_by(local or with_disk, _region)
        ]
    )
    count = min(MAX_VOTERS, len(interleaved))
    if count > 2 and count % 2 == 0:
        count -= 1
    return tuple(sorted(peer.vm for peer in interleaved[:count]))


def choose_memory_replicas(
    peers: collections.abc.Iterable[settings_module.Peer],
    region: str,
    voters: tuple[str, ...],
) -> tuple[str, ...]:
    """Returns the VMs that replicate a group of few voters in memory.

    A group of fewer than three voters may lose acknowledged entries when
    one disk fails, so other VMs of its region keep them in memory as well.
    """
    if len(voters) >= MIN_VOTERS_WITHOUT_MEMORY_REPLICAS:
        return ()
    other_vms = [
        peer
        for peer in peers
        if peer.region == region and peer.vm not in voters
    ]
    interleaved = _interleave_domains(other_vms)
    return tuple(sorted(peer.vm for peer in interleaved[:MAX_MEMORY_REPLICAS]))


def _interleave_domains(
    peers: list[settings_module.Peer],
) -> list[settings_module.Peer]:
    return _interleave(_group_by(peers, _failure_domain))


def _interleave(groups: list[list]) -> list:
    """Returns the items of all groups, one of each group in turn."""
    rows = itertools.zip_longest(*groups)
    return [item for row in rows for item in row if item is not None]


def _group_by(
    peers: list[settings_module.Peer], key: collections.abc.Callable
) -> list[list[settings_module.Peer]]:
    ordered = sorted(peers, key=lambda peer: (key(peer), peer.vm))
    return [list(group) for _, group in itertools.groupby(ordered, key)]


def _region(peer: settings_module.Peer) -> str:
    return peer.region


def _failure_domain(peer: settings_module.Peer) -> str:
    return peer.failure_domain
