"""How loaded the backend servers of a region are, as its entry VMs tell."""

import collections.abc
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class RegionLoad:
    """What the backend servers of one service do in a region.

    :ivar wait: seconds until the least loaded one begins to answer.
    :ivar pace: seconds between the events of the fastest one's answers.
    :ivar speed: prompt tokens that the fastest one reads in a second.
    :ivar total_speed: prompt tokens that all of them read in a second.
    """

    wait: float
    pace: float
    speed: float
    total_speed: float

    def pack(self) -> list[float]:
        return [self.wait, self.pace, self.speed, self.total_speed]


def unpack(packed: dict[str, typing.Any]) -> dict[str, RegionLoad]:
    """Returns loads by a name, from what ``pack`` gave for each."""
    return {name: RegionLoad(*one) for name, one in packed.items()}


def combine(
    told: collections.abc.Iterable[dict[str, RegionLoad]],
) -> dict[str, RegionLoad]:
    """Returns the loads by service that several VMs of a region tell.

    Each knows of the others' requests with some delay, so the highest
    figure that one of them tells is the best guess.
    """
    highest: dict[str, RegionLoad] = {}
    for loads in told:
        for service, load in loads.items():
            known = highest.get(service, load)
            highest[service] = RegionLoad(
                max(known.wait, load.wait),
                max(known.pace, load.pace),
                max(known.speed, load.speed),
                max(known.total_speed, load.total_speed),
            )
    return highest
