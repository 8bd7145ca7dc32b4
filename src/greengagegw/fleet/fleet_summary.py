"""What a control VM sends to every entry VM that polls it.

The cost of computing it grows with the fleet, and so does the number of polls.
It is therefore shared by the polls of a short time.
"""

import collections.abc
import dataclasses

from . import loads
from . import members

# Bounds the age of loads in replies; entry VMs poll every 0.5 s.
MAX_AGE_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSummary:
    """The live entry VMs and the loads of all regions at one time.

    :ivar computed_at: timer seconds.
    :ivar entries: the packed entry VMs, sorted by ``vm``.
    :ivar loads: packed loads by region and service.
    """

    computed_at: float
    entries: list[list]
    entries_digest: int
    loads: dict[str, dict[str, list[float]]]


class SummaryCache:
    """Computes the summary if an entry VM changed or it is too old.

    :param combine_loads: returns the loads by region and service.
    """

    def __init__(
        self,
        registry: members.EntryVmRegistry,
        combine_loads: collections.abc.Callable[
            [], dict[str, dict[str, loads.RegionLoad]]
        ],
    ) -> None:
        self.registry = registry
        self.combine_loads = combine_loads
        self.summary: FleetSummary | None = None

    def invalidate(self) -> None:
        """Has the next reply computed anew."""
        self.summary = None

    def get(self, now: float) -> FleetSummary:
        """Returns a summary that is at most MAX_AGE_SECONDS old."""
        summary = self.summary
        if summary is None or now - summary.computed_at >= MAX_AGE_SECONDS:
            summary = self.summary = self.compute(now)
        return summary

    def compute(self, now: float) -> FleetSummary:
        entries = [one.pack() for one in self.registry.live_entry_vms(now)]
        return FleetSummary(
            now,
            entries,
            members.digest(entries),
            {
                region: {name: one.pack() for name, one in by_service.items()}
                for region, by_service in self.combine_loads().items()
            },
        )
