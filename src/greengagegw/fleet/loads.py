"""Load of the backend servers of a region, as its entry VMs report it."""

import collections.abc
import dataclasses
import typing

from ..ports import peers


@dataclasses.dataclass(frozen=True, slots=True)
class RegionLoad:
    """Load of the backend servers of one service in one region.

    :ivar wait: seconds until the least loaded server starts a response.
    :ivar pace: seconds between the response events of the fastest server.
    :ivar speed: prompt tokens that the fastest server prefills in a second.
    :ivar total_speed: prompt tokens that all servers prefill in a second.
    """

    wait: float
    pace: float
    speed: float
    total_speed: float

    def pack(self) -> list[float]:
        return [self.wait, self.pace, self.speed, self.total_speed]


def unpack(packed: dict[str, typing.Any]) -> dict[str, RegionLoad]:
    """Returns the loads by name, each unpacked from its ``pack`` form.

    A region without speed is left out, since nothing can be predicted of it.

    :raises ValueError: or ``TypeError``, if a load is malformed.
    """
    unpacked = {
        peers.check_text(name): RegionLoad(
            *(peers.check_number(one) for one in row)
        )
        for name, row in packed.items()
    }
    return {name: one for name, one in unpacked.items() if one.total_speed > 0}


def combine(
    reports: collections.abc.Iterable[dict[str, RegionLoad]],
) -> dict[str, RegionLoad]:
    """Returns the loads by service, combined from the VMs of a region.

    Each VM learns of the other VMs' requests with some delay, so the highest
    value that any of them reports is the best estimate.
    """
    highest: dict[str, list[float]] = {}
    for loads in reports:
        for service, load in loads.items():
            known = highest.get(service)
            if known is None:
                highest[service] = load.pack()
                continue
            if load.wait > known[0]:
                known[0] = load.wait
            if load.pace > known[1]:
                known[1] = load.pace
            if load.speed > known[2]:
                known[2] = load.speed
            if load.total_speed > known[3]:
                known[3] = load.total_speed
    return {name: RegionLoad(*one) for name, one in highest.items()}
