"""Which VMs carry the replicas of a group."""

import collections.abc
import itertools

from . import settings as settings_module

MOST_VOTERS = 5
MOST_COPIES = 2
VOTERS_WITHOUT_COPIES = 3


def choose_voters(
    peers: collections.abc.Iterable[settings_module.Peer],
    region: str | None = None,
) -> tuple[str, ...]:
    """Returns the VMs that form a group at its first start.

    They are VMs with a disk, taken from one region after the other and
    within a region from one failure domain after the other. Above two their
    number is odd, since an even one more adds nothing to what may be lost.

    :param region: takes VMs of this region only, if it has any.
    """
    with_disk = [peer for peer in peers if peer.disk]
    local = [peer for peer in with_disk if peer.region == region]
    spread = _spread(
        [_spread_domains(group) for group in _by(local or with_disk, _region)]
    )
    count = min(MOST_VOTERS, len(spread))
    if count > 2 and count % 2 == 0:
        count -= 1
    return tuple(sorted(peer.vm for peer in spread[:count]))


def choose_copies(
    peers: collections.abc.Iterable[settings_module.Peer],
    region: str,
    voters: tuple[str, ...],
) -> tuple[str, ...]:
    """Returns the VMs that hold copies for a group of few voters.

    A group of fewer than three voters would lose what it acknowledged with
    a disk; other VMs of its region hold it in memory as well.
    """
    if len(voters) >= VOTERS_WITHOUT_COPIES:
        return ()
    others = [
        peer
        for peer in peers
        if peer.region == region and peer.vm not in voters
    ]
    spread = _spread_domains(others)
    return tuple(sorted(peer.vm for peer in spread[:MOST_COPIES]))


def _spread_domains(
    peers: list[settings_module.Peer],
) -> list[settings_module.Peer]:
    return _spread(_by(peers, _failure_domain))


def _spread(groups: list[list]) -> list:
    """Returns the items of groups, taking one of each group in turn."""
    rounds = itertools.zip_longest(*groups)
    return [item for turn in rounds for item in turn if item is not None]


def _by(
    peers: list[settings_module.Peer], key: collections.abc.Callable
) -> list[list[settings_module.Peer]]:
    ordered = sorted(peers, key=lambda peer: (key(peer), peer.vm))
    return [list(group) for _, group in itertools.groupby(ordered, key)]


def _region(peer: settings_module.Peer) -> str:
    return peer.region


def _failure_domain(peer: settings_module.Peer) -> str:
    return peer.failure_domain
