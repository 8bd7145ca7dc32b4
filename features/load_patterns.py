"""Load patterns as data, and callers that follow them in fake time."""

import dataclasses
import math

from features import fleet_world
from features import serving_world
from greengagegw.serving import prompts

LAYOUT = {'a': (3, 3), 'b': (1, 2), 'c': (1, 2)}
ROUTES = [
    fleet_world.route(
        name='long',
        pathPrefix='/long/',
        targetLatencyMs=1200,
        priority=1,
        maxAttempts=1,
    ),
    fleet_world.route(
        name='short',
        pathPrefix='/short/',
        targetLatencyMs=800,
        timeoutMs=3000,
        priority=0,
    ),
]
# Organisations of three priorities, which go before those of the routes.
KEYS = ('key-0', 'key-1', 'key-2')
TENANTS = [
    fleet_world.tenant(name=f'org-{at}', apiKeys=[key], priority=at)
    for at, key in enumerate(KEYS)
]


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of generation.

    :ivar rate: requests a second of all regions, on average.
    :ivar heads: how many shared heads there are.
    """

    name: str
    rate: float
    shared: int
    own: int
    output: int
    heads: int
    objective: float
    patience: float
    worth: float


KINDS = (
    Kind('long', 12.0, 5382, 6610, 384, 50, 1.2, 12.0, 6.0),
    Kind('short', 46.0, 568, 1800, 24, 127, 0.8, 3.0, 1.9),
)
# What a late answer is worth, and what a second refusal costs, as shares.
LATE_WORTH = 0.1
SECOND_REFUSAL_COST = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """How load departs from an even one.

    :ivar rate: times the usual rate.
    :ivar region_shares: part of the callers in each region.
    :ivar lost: engines that are gone after three seconds.
    :ivar slow: times as long that one engine takes.
    :ivar output: times as long as usual that answers are.
    :ivar event_delay: seconds by which an event comes later while its engine
        reads prompts, which it does in chunks between the events.
    :ivar returns: whether refused callers come back once, when told.
    """

    rate: float = 1.0
    region_shares: tuple[float, float, float] = (1 / 3, 1 / 3, 1 / 3)
    lost: tuple[str, ...] = ()
    slow: float = 1.0
    returns: bool = True
    output: float = 1.0
    event_delay: float = 0.0


PATTERNS = {
    'an even load': Pattern(),
    'a peak in the smallest region': Pattern(region_shares=(0.1, 0.1, 0.8)),
    'twice what can be served': Pattern(rate=2.4),
    'half of the servers gone': Pattern(lost=('i-a0', 'i-b0')),
    'one server five times slower': Pattern(slow=5.0),
    'answers eight times as long': Pattern(output=8.0),
    'a peak that slows the smallest region': Pattern(
        rate=0.6, region_shares=(0.1, 0.1, 0.8), event_delay=0.2
    ),
}


class Replay:
    """Drives a pattern through the product's dispatchers."""

    def __init__(self, pattern, seconds, seed=3):
        self.pattern = pattern
        self.seconds = seconds
        self.world = serving_world.ServingWorld(LAYOUT, seed, ROUTES, TENANTS)
        self.number = 0

    async def run(self):
        world = self.world
        async with world.running():
            await world.timers.advance(1.0)
            self.begin = world.timers.now()
            if self.pattern.slow > 1:
                world.engines['i-a0'].slow = self.pattern.slow
            for engine in world.engines.values():
                engine.event_delay = self.pattern.event_delay
            for kind in KINDS:
                world.tasks.start_soon(self.send_all, kind)
            await world.timers.advance(3.0)
            for name in self.pattern.lost:
                world.engines[name].behaviour = ['unreachable'] * 100000
            await world.timers.advance(self.seconds - 3.0 + 6.0)
        return self

    async def send_all(self, kind):
        world = self.world
        rate = kind.rate * self.pattern.rate
        names = list(LAYOUT)
        while world.timers.now() < self.begin + self.seconds:
            pause = -math.log(1 - world.rng.random()) / rate
            await world.timers.sleep(pause)
            region = world.rng.choices(names, self.pattern.region_shares)[0]
            entries = [one for one in world.entries if one.region == region]
            vm = world.rng.choice(entries).vm
            self.number += 1
            world.tasks.start_soon(self.send_one, kind, vm, self.number)

    async def send_one(self, kind, vm, number):
        world = self.world
        # Sizes are spread like those of real prompts: a few are much longer.
        own = round(kind.own * world.rng.lognormvariate(-0.32, 0.8))
        head = f'{kind.name}-{world.rng.randrange(kind.heads)}'
        output = round(
            kind.output * self.pattern.output * world.rng.uniform(0.5, 1.5)
        )
        prompt = prompts.Prompt(
            'm',
            kind.shared + own,
            output,
            (
                prompts.Segment(head, kind.shared),
                prompts.Segment(f'own-{number}', own),
            ),
            # Callers' estimates are often far off.
            max(1, round(output * world.rng.lognormvariate(0.0, 0.5))),
        )
        path = f'/{kind.name}/x'
        began_at = world.timers.now()
        # Callers differ in how long they wait.
        patience = kind.patience * world.rng.uniform(0.85, 1.0)
        key = world.rng.choice(KEYS)
        request = world.request(number, path, prompt, patience, key)
        outcome = await world.call(vm, request, kind.objective, kind.name)
        outcome.size = own
        error = outcome.error
        if error is None or error.run != 'not_run' or not self.pattern.returns:
            return
        # Callers come back once, at the latest after a third of their time.
        left = patience - (world.timers.now() - began_at)
        pause = min(error.retry_after or 0.1, left / 3)
        await world.timers.sleep(pause)
        world.outcomes.remove(outcome)
        left = patience - (world.timers.now() - began_at)
        request = world.request(f'{number}b', path, prompt, left, key)
        again = await world.call(vm, request, kind.objective, kind.name)
        again.sent_at = began_at
        again.size = own

    def share(self, is_counted=lambda one: True):
        """Returns the share of requests whose answer began in time."""
        asked = [one for one in self.world.outcomes if is_counted(one)]
        return sum(one.is_on_time for one in asked) / len(asked)

    def worth_share(self):
        """Returns the worth earned of what was owed."""
        worths = {one.name: one.worth for one in KINDS}
        earned = owed = 0.0
        for one in self.world.outcomes:
            worth = worths[one.kind]
            owed += worth
            if one.is_on_time:
                earned += worth
            elif one.error is None:
                earned += worth * LATE_WORTH
            elif one.request_id.endswith('b'):
                earned -= worth * SECOND_REFUSAL_COST
        return earned / owed

    def work_share(self):
        """Returns work done for answers on time, of what engines can do."""
        sizes = {one.name: one.shared + one.own for one in KINDS}
        done = sum(
            sizes[one.kind] for one in self.world.outcomes if one.is_on_time
        )
        engines = sum(count for count, _ in LAYOUT.values())
        return done / (engines * serving_world.READ_RATE * self.seconds)

    def spoilt_share(self):
        """Returns the share of what servers took that came late or never."""
        taken = [
            one
            for one in self.world.outcomes
            if one.error is None or one.error.run != 'not_run'
        ]
        return sum(not one.is_on_time for one in taken) / len(taken)

    def served_by_size(self, kind):
        """Returns the served share of a class's largest tenth, and of all."""
        asked = sorted(
            (one for one in self.world.outcomes if one.kind == kind),
            key=lambda one: one.size,
        )
        largest = asked[-len(asked) // 10 :]

        def share(some):
            return sum(one.error is None for one in some) / len(some)

        return share(largest), share(asked)

    def whole_seconds(self, kind, percent):
        """Returns how long answers that were begun took, at a percentile."""
        taken = sorted(
            (one.ended_at or math.inf) - one.sent_at
            for one in self.world.outcomes
            if one.kind == kind and (one.error is None or one.first_at)
        )
        return taken[len(taken) * percent // 100]

    def told_seconds(self):
        """Returns how long the slowest refusal took to be told."""
        return max(
            (
                one.ended_at - one.sent_at
                for one in self.world.outcomes
                if one.error is not None
                and one.error.run == 'not_run'
                and not one.request_id.endswith('b')
            ),
            default=0.0,
        )
