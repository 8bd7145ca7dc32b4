"""Steps for entry VMs of unequal size."""

import collections
import math

import behave

from features import fleet_world
from greengagegw.fleet import control as controls
from greengagegw.fleet import fleet_summary
from greengagegw.fleet import members
from greengagegw.platform import settings

FIELDS = {
    'no capacity': [],
    '1.29 cores': [{'cores': 1.29, 'lag': 0.0}],
    'an unknown other field': [{'cores': 1.29, 'disk': [1]}],
    'negative cores': [{'cores': -1}],
    'text': ['text'],
    'infinite cores': [{'cores': math.inf, 'lag': math.nan}],
}
CAPACITIES = {
    'no capacity': members.Capacity(),
    '1.29 cores': members.Capacity(1.29),
}
MAX_ADDRESSES = 64
SETTINGS = """nodeName=front-1
ip=10.1.0.14
region=a
zone=a-1
internalPortRange=7000,7100
cloud.address=10.1.0.2:80
"""


def set_capacities(context, sizes):
    context.capacities = {}
    context.entries = []
    for at, cores in enumerate(sizes):
        vm = f'vm-{at:02}'
        context.entries.append(
            members.EntryVm(vm, vm, 'a', 'a-1', members.EntryState.SERVING)
        )
        if cores is not None:
            context.capacities[vm] = members.Capacity(cores)


@behave.given('entry VMs with the capacities {sizes}')
def given_capacities(context, sizes):
    set_capacities(
        context,
        [None if one == 'unknown' else float(one) for one in sizes.split()],
    )


@behave.given('{count:d} entry VMs with capacities from {low:g} to {high:g}')
def given_many(context, count, low, high):
    step = (high - low) / (count - 1)
    set_capacities(context, [low + step * at for at in range(count)])


@behave.when('the event loop of the first one lags by {seconds:g} seconds')
def when_lagging(context, seconds):
    context.capacities['vm-00'] = members.Capacity(1.0, seconds)


def look_up(context, now):
    return members.choose_entry_vm_addresses(
        context.entries,
        'a',
        'a-1',
        frozenset(),
        MAX_ADDRESSES,
        context.capacities,
        now,
    )


@behave.when('clients look up entry VMs each second for {seconds:d} seconds')
def when_looked_up(context, seconds):
    context.found = [look_up(context, 100.0 + at) for at in range(seconds)]


@behave.then(
    'each VM has its part of the addresses within {percent:g} percent of all'
)
def then_in_proportion(context, percent):
    counts = collections.Counter(sum(context.found, []))
    known = [one.cores for one in context.capacities.values()]
    average = sum(known) / len(known)
    sizes = {
        one.vm: context.capacities.get(one.vm, members.Capacity(average)).cores
        for one in context.entries
    }
    for vm, size in sizes.items():
        part = counts[vm] / counts.total()
        expected = size / sum(sizes.values())
        assert abs(part - expected) <= percent / 100, (vm, part, expected)


@behave.then('each look-up returns at most {count:d} addresses')
def then_bounded(context, count):
    assert all(0 < len(one) <= count for one in context.found)


@behave.then('no VM is left out for more than {seconds:d} seconds')
def then_included(context, seconds):
    for entry in context.entries:
        missing = 0
        for found in context.found:
            missing = 0 if entry.vm in found else missing + 1
            assert missing <= seconds, entry.vm


@behave.then(
    'the first one has less than half of the addresses of the second one'
)
def then_first_has_less(context):
    counts = collections.Counter(sum(context.found, []))
    assert 0 < counts['vm-00'] < counts['vm-01'] / 2, counts


@behave.then('a look-up returns each VM once')
def then_once(context):
    expected = [one.vm for one in context.entries]
    assert look_up(context, 100.0) == expected


@behave.when('a control VM receives a heartbeat with {field}')
def when_heartbeat(context, field):
    entry = members.EntryVm('v', 'v', 'a', 'a-1', members.EntryState.SERVING)
    message = [entry.pack(), {}, None, *FIELDS[field]]
    world = fleet_world.FleetWorld(3, 1)
    context.registry = members.EntryVmRegistry(4.0)
    receiver = StubControl(context.registry, world.timers)
    controls.ControlServer.record_heartbeat(receiver, message)


class StubControl:
    """The part of a control VM that records heartbeats."""

    def __init__(self, registry, timers):
        self.registry = registry
        self.timers = timers
        self.loads = {}
        self.summary_cache = fleet_summary.SummaryCache(registry, dict)


@behave.then('it knows the VM with {capacity}')
def then_knows(context, capacity):
    assert context.registry.capacities['v'] == CAPACITIES[capacity]


@behave.then(
    'an earlier build decodes the VM of its heartbeat from five values'
)
def then_five_values(context):
    entry = context.fleet.agents['e1'].describe()[0]
    vm, public_address, region, domain, state = entry.pack()
    assert members.EntryState(state) is members.EntryState.SERVING


@behave.when('the limits in the settings file are {lines}')
def when_settings(context, lines):
    text = '' if lines == 'missing' else lines.replace(',', '\n') + '\n'
    context.settings = settings.decode(SETTINGS + text)


@behave.then('the capacity of the VM is {cores:g} cores')
def then_cores(context, cores):
    assert abs(context.settings.cores - cores) < 1e-9
