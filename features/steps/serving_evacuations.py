"""Steps for the ways on which a request may reach a server."""

import dataclasses

import behave
import hypothesis
import hypothesis.strategies as strategies

from features import fleet_world
from features import serving_world
from features.steps.fleet import in_fleet
from greengagegw.serving import prompts

PROMPT = prompts.Prompt('m', 400, 160, (prompts.Segment('head', 100),))
DOMAINS = ('a-1', 'a-2', 'b-1', 'b-2')
FAULTS = (
    None,
    'unreachable',
    'full',
    'disconnects before responding',
    'disconnects before the first event',
    'disconnects after 2 events',
    'goes silent after 2 events',
)
REQUEST_COUNT = 30


class Sends:
    """Records what the VMs of a world send to servers.

    :ivar late: sends to servers that the VM knew to be evacuated.
    """

    def __init__(self, world):
        self.world = world
        self.count = 0
        self.late = []
        for vm, dispatcher in world.dispatchers.items():
            self.watch(vm, dispatcher.backend)

    def watch(self, vm, backend):
        send = backend.send

        def recorded(instance, backend_request, on_notice):
            self.count += 1
            view = self.world.agents[vm].view
            if instance.domain in view.evacuated_domains:
                self.late.append((vm, instance.name, instance.domain))
            return send(instance, backend_request, on_notice)

        backend.send = recorded


def make_world(is_small=False):
    """Returns a world whose regions have two failure domains each."""
    layout = {'a': (2, 2)} if is_small else {'a': (2, 2), 'b': (2, 2)}
    route = fleet_world.route(maxAttempts=3)
    world = serving_world.ServingWorld(layout, routes=[route])
    if not is_small:
        for region in layout:
            world.regions[f'{region}-2'] = region
            for at in range(2, 4):
                world.add_engine(f'i-{region}{at}', f'{region}-2')
    return world


def enter(context, world):
    manager = context.portal.wrap_async_context_manager(world.running())
    context.serving = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.sends = Sends(world)


@behave.given('a fleet of regions a and b with two failure domains each')
def given_regions(context):
    enter(context, make_world())


@behave.given('a fleet of region a with one failure domain')
def given_region(context):
    enter(context, make_world(is_small=True))


@behave.when('{domains} are evacuated {when}')
@in_fleet
async def when_evacuated(context, domains, when):
    context.domains = frozenset(domains.split())
    is_first = when == 'at first'
    context.evacuated_after = 0 if is_first else REQUEST_COUNT // 2
    context.vms = [
        vm
        for vm in context.serving.agents
        if 'on VM' not in when or when.endswith(vm)
    ]


def evacuate(world, vms, domains):
    for vm in vms:
        world.agents[vm].view.evacuated_domains = frozenset(domains)
    world.refresh()


def start(world, number, vm):
    prefix = prompts.Segment(f'head-{number}', 50)
    prompt = dataclasses.replace(PROMPT, segments=(prefix,))
    world.start_request(vm, world.request(number, prompt=prompt))


@behave.when('requests are served while servers {fault}')
@in_fleet
async def when_served(context, fault):
    world = context.serving
    vms = list(world.agents)
    for number in range(REQUEST_COUNT):
        if number == context.evacuated_after:
            evacuate(world, context.vms, context.domains)
        if number % 3 == 0 and fault != 'are healthy':
            for engine in world.engines.values():
                engine.pending_faults = [fault]
        start(world, number, vms[number % len(vms)])
        await world.timers.advance(0.1)
    await world.timers.advance(20.0)


@behave.then('no VM has sent a request to an evacuated server')
def then_none_late(context):
    assert not context.sends.late, context.sends.late


@behave.then('{count:d} requests or more were sent')
def then_sent(context, count):
    assert context.sends.count >= count, context.sends.count


@behave.then('no requests were sent')
def then_none_sent(context):
    assert not context.sends.count, context.sends.count


VMS = ('a0', 'a1', 'b0', 'b1')
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('evacuate'),
            strategies.lists(
                strategies.sampled_from(VMS), min_size=1, unique=True
            ),
            strategies.lists(strategies.sampled_from(DOMAINS), unique=True),
        ),
        strategies.tuples(
            strategies.just('request'),
            strategies.sampled_from(VMS),
            strategies.integers(1, 4),
        ),
        strategies.tuples(
            strategies.just('fault'),
            strategies.sampled_from(FAULTS),
            strategies.integers(0, 3),
        ),
        strategies.tuples(
            strategies.just('partition'),
            strategies.lists(strategies.sampled_from(VMS), unique=True),
            strategies.sampled_from(['are refused', 'hang', 'are reset']),
        ),
        strategies.tuples(
            strategies.just('wait'),
            strategies.sampled_from([0.01, 0.1, 0.6]),
            strategies.none(),
        ),
    ),
    min_size=5,
    max_size=30,
)


async def run_steps(world, steps):
    number = 0
    for name, value, detail in steps:
        if name == 'evacuate':
            evacuate(world, value, detail)
        elif name == 'request':
            for _ in range(detail):
                number += 1
                start(world, number, value)
            await world.timers.advance(0.01)
        elif name == 'fault':
            engines = sorted(world.engines)
            world.engines[engines[detail]].pending_faults = [value]
        elif name == 'partition':
            world.partition(value, detail)
        else:
            await world.timers.advance(value)
    await world.timers.advance(6.0)


@behave.then(
    'no VM sends a request to an evacuated server in {count:d} random runs'
)
def then_random_runs(context, count):
    sent = 0

    @hypothesis.settings(
        max_examples=count, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(STEPS)
    def check(steps):
        nonlocal sent
        world = make_world()
        manager = context.portal.wrap_async_context_manager(world.running())
        with manager:
            sends = Sends(world)
            context.portal.call(run_steps, world, steps)
        sent += sends.count
        assert not sends.late, sends.late

    check()
    # The runs would show nothing if hardly any request was sent.
    assert sent >= count, sent
