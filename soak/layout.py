"""Size and time bounds of the deployment that a soak starts."""

import collections
import dataclasses
import pathlib
import tomllib

from standins import loopback_blocks

DOMAINS = {
    'piedmont-a': 'piedmont',
    'blue-ridge-a': 'blue-ridge',
    'coastal-a': 'coastal',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the platform's rules, in seconds.

    :ivar lead: from the start of the processes to that of the traffic.
    """

    contact: float = 5.0
    acknowledge: float = 6.0
    apply: float = 3.0
    evacuate: float = 5.0
    drain: float = 5.0
    revoke: float = 5.0
    stop: float = 8.0
    stretch: float = 8.0
    recovery: float = 12.0
    catch_up: float = 4.0
    lead: float = 12.0


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Where the VMs of a deployment are.

    :ivar regions: region by failure domain.
    :ivar controls: failure domain of each control VM.
    :ivar entries: failure domain of each entry VM.
    :ivar lost_machines: control VMs that may be lost at the same time.
    """

    regions: dict[str, str]
    controls: tuple[str, ...]
    entries: tuple[str, ...]
    bounds: Bounds = Bounds()
    lost_machines: int = 2

    @property
    def domains(self) -> list[str]:
        return list(self.regions)

    @property
    def home_regions(self) -> list[str]:
        """Regions that serve the route with homes: all but the last."""
        found = list(dict.fromkeys(self.regions.values()))
        return found[:-1] or found

    def address(self, block: str, domain: str, number: int) -> str:
        """Returns a loopback address; its third part stands for the region."""
        regions = list(dict.fromkeys(self.regions.values()))
        region = 1 + regions.index(self.regions[domain])
        return f'{block}.{region}.{number}'


def make(control_count: int, entry_count: int) -> Layout:
    """Returns a layout that spreads VMs over three failure domains."""
    domains = list(DOMAINS)
    return Layout(
        DOMAINS,
        tuple(domains[number % 3] for number in range(control_count)),
        tuple(domains[number % 3] for number in range(entry_count)),
    )


def read_site(path: pathlib.Path) -> Layout:
    """Reads the layout of a deployment from a file in the bench's format.

    :raises OSError: if the file cannot be read.
    :raises ValueError: if it is not valid TOML.
    :raises KeyError: if a required field is missing.
    """
    with open(path, 'rb') as file:
        site = tomllib.load(file)
    machines: dict[str, list[str]] = collections.defaultdict(list)
    for one in site['machines']:
        machines[one['class']] += [one['zone']] * one['count']
    limits = site['bounds']
    bounds = Bounds(
        contact=limits['touch_ms'] / 1000,
        acknowledge=limits['ack_ms'] / 1000,
        apply=limits['config_ms'] / 1000,
        # The bench has one bound for both.
        evacuate=limits['drain_ms'] / 1000,
        drain=limits['drain_ms'] / 1000,
        stop=limits['grace_s'],
        stretch=limits['outer_ms'] / 1000,
        recovery=limits['recover_s'],
        catch_up=site['timing']['catch_up_s'],
        lead=site['lead_s'],
    )
    return Layout(
        {one['name']: one['region'] for one in site['zones']},
        tuple(machines['core']),
        tuple(machines['front']),
        bounds,
        site['tolerate']['machines'],
    )


def reserve_block() -> str:
    """Returns the first two parts of loopback addresses of this run."""
    return f'127.{loopback_blocks.reserve_block()}'
