"""Load patterns, and simulated clients that replay them in fake time."""

import dataclasses
import math

from features import fleet_world
from features import serving_world
from greengagegw.serving import prompts

LAYOUT = {'a': (3, 3), 'b': (1, 2), 'c': (1, 2)}
# Organisations of three priorities, which take precedence over the routes'.
KEYS = ('key-0', 'key-1', 'key-2')
TENANTS = [
    fleet_world.tenant(name=f'org-{at}', apiKeys=[key], priority=at)
    for at, key in enumerate(KEYS)
]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProfile:
    """A class of generation requests.

    :ivar rate: requests a second in all regions, on average.
    :ivar prefix_tokens: length of a shared prompt prefix.
    :ivar suffix_tokens: typical length of the rest of the prompt.
    :ivar output_tokens: typical length of a response.
    :ivar prefix_count: number of different shared prefixes.
    :ivar value: value of a response on time, relative to other classes.
    """

    name: str
    rate: float
    prefix_tokens: int
    suffix_tokens: int
    output_tokens: int
    prefix_count: int
    latency_objective: float
    timeout_seconds: float
    value: float


def make_routes(profiles):
    """Returns a route for each profile; the last one is the most urgent."""
    return [
        fleet_world.route(
            name=one.name,
            pathPrefix=f'/{one.name}/',
            targetLatencyMs=1000 * one.latency_objective,
            timeoutMs=round(1000 * one.timeout_seconds),
            priority=len(profiles) - 1 - at,
            maxAttempts=2 if at else 1,
        )
        for at, one in enumerate(profiles)
    ]


PROFILES = (
    RequestProfile('long', 12.0, 5382, 6610, 384, 50, 1.2, 12.0, 6.0),
    RequestProfile('short', 46.0, 568, 1800, 24, 127, 0.8, 3.0, 1.9),
)
# Certificate drafts: each refers to one of a few long documents, all of which
# together fill the memory of one server.
DRAFT_PROFILES = (
    RequestProfile('draft', 9.0, 13_300, 3720, 120, 29, 1.2, 10.0, 19.0),
    RequestProfile('query', 60.0, 92, 291, 44, 961, 0.8, 5.0, 1.9),
)
# Value of a late response and cost of a second rejection, as shares of the
# value of a response on time.
LATE_VALUE = 0.1
SECOND_REJECTION_COST = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPattern:
    """How a load differs from the normal, even load.

    :ivar rate_factor: multiple of the normal request rate.
    :ivar region_shares: share of the clients in each region.
    :ivar failed_engines: engines that become unreachable after three seconds.
    :ivar slowdown: factor by which one engine is slower.
    :ivar clients_retry: whether rejected clients retry once, after the pause
        that the rejection names.
    :ivar output_factor: multiple of the normal response length.
    :ivar event_delay: seconds by which an event is delayed while its engine
        prefills prompts, which it does in chunks between events.
    :ivar layout: engines and entry VMs by region.
    :ivar burst: multiple of the request rate, and the seconds from the start
        between which it applies.
    :ivar key_shares: relative rates of the organisations.
    :ivar clients_give_up: whether clients do not return after a pause that
        exceeds a third of their time left, rather than after the third.
    :ivar moves_returns: whether clients choose another entry VM of their
        region at random when they return.
    """

    rate_factor: float = 1.0
    region_shares: tuple[float, float, float] = (1 / 3, 1 / 3, 1 / 3)
    failed_engines: tuple[str, ...] = ()
    slowdown: float = 1.0
    clients_retry: bool = True
    output_factor: float = 1.0
    event_delay: float = 0.0
    profiles: tuple[RequestProfile, ...] = PROFILES
    layout: tuple[tuple[str, tuple[int, int]], ...] = tuple(LAYOUT.items())
    burst: tuple[float, float, float] = (1.0, 0.0, 0.0)
    key_shares: tuple[float, float, float] = (1.0, 1.0, 1.0)
    clients_give_up: bool = False
    moves_returns: bool = False


PATTERNS = {
    'an even load': LoadPattern(),
    'a peak in the smallest region': LoadPattern(
        region_shares=(0.1, 0.1, 0.8)
    ),
    'twice the capacity': LoadPattern(rate_factor=2.4),
    'half of the servers unreachable': LoadPattern(
        failed_engines=('i-a0', 'i-b0')
    ),
    'one server five times slower': LoadPattern(slowdown=5.0),
    'responses eight times as long': LoadPattern(output_factor=8.0),
    'few long prefixes': LoadPattern(
        profiles=DRAFT_PROFILES,
        layout=(('a', (2, 3)), ('b', (2, 3)), ('c', (1, 2))),
        region_shares=(0.4, 0.4, 0.2),
    ),
    'few long prefixes at twice the load': LoadPattern(
        rate_factor=2.0,
        profiles=DRAFT_PROFILES,
        layout=(('a', (2, 3)), ('b', (2, 3)), ('c', (1, 2))),
        region_shares=(0.4, 0.4, 0.2),
    ),
    'a peak that slows the smallest region': LoadPattern(
        rate_factor=0.6, region_shares=(0.1, 0.1, 0.8), event_delay=0.2
    ),
    'a burst of twice the capacity': LoadPattern(
        burst=(2.4, 4.0, 8.0), clients_give_up=True
    ),
    'a lasting load of twice the capacity': LoadPattern(
        rate_factor=2.4, clients_give_up=True
    ),
    'a lasting load of four times the capacity': LoadPattern(
        rate_factor=4.8, clients_give_up=True
    ),
    'an organisation with twenty times its load': LoadPattern(
        rate_factor=2.4, key_shares=(20.0, 1.0, 1.0), clients_give_up=True
    ),
    'an organisation with twenty times its load, returns to any VM': (
        LoadPattern(
            rate_factor=2.4,
            key_shares=(20.0, 1.0, 1.0),
            clients_give_up=True,
            moves_returns=True,
        )
    ),
    'a lasting load of twice the capacity, returns to any VM': LoadPattern(
        rate_factor=2.4, clients_give_up=True, moves_returns=True
    ),
    'a load that fits': LoadPattern(rate_factor=0.5, clients_give_up=True),
}


class Replay:
    """Replays a load pattern through real dispatchers."""

    def __init__(self, pattern, seconds, seed=3):
        self.pattern = pattern
        self.seconds = seconds
        self.world = serving_world.ServingWorld(
            dict(pattern.layout),
            seed,
            make_routes(pattern.profiles),
            TENANTS,
        )
        self.number = 0

    async def run(self):
        world = self.world
        async with world.running():
            await world.timers.advance(1.0)
            self.begin = world.timers.now()
            if self.pattern.slowdown > 1:
                world.engines['i-a0'].slowdown = self.pattern.slowdown
            for engine in world.engines.values():
                engine.event_delay = self.pattern.event_delay
            for profile in self.pattern.profiles:
                world.tasks.start_soon(self.send_all, profile)
            await world.timers.advance(3.0)
            for name in self.pattern.failed_engines:
                world.engines[name].pending_faults = ['unreachable'] * 100000
            await world.timers.advance(self.seconds - 3.0 + 6.0)
        return self

    async def send_all(self, profile):
        world = self.world
        rate = profile.rate * self.pattern.rate_factor
        names = [name for name, _ in self.pattern.layout]
        while world.timers.now() < self.begin + self.seconds:
            factor, begin, end = self.pattern.burst
            elapsed = world.timers.now() - self.begin
            factor = factor if begin <= elapsed < end else 1.0
            pause = -math.log(1 - world.rng.random()) / rate / factor
            await world.timers.sleep(pause)
            region = world.rng.choices(names, self.pattern.region_shares)[0]
            entries = [one for one in world.entries if one.region == region]
            vm = world.rng.choice(entries).vm
            self.number += 1
            world.tasks.start_soon(
                self.send_one, profile, region, vm, self.number
            )

    async def send_one(self, profile, region, vm, number):
        world = self.world
        # Like real prompts, a few are much longer than the others.
        suffix_tokens = round(
            profile.suffix_tokens * world.rng.lognormvariate(-0.32, 0.8)
        )
        prefix = f'{profile.name}-{world.rng.randrange(profile.prefix_count)}'
        output = round(
            profile.output_tokens
            * self.pattern.output_factor
            * world.rng.uniform(0.5, 1.5)
        )
        prompt = prompts.Prompt(
            'm',
            profile.prefix_tokens + suffix_tokens,
            output,
            (
                prompts.Segment(prefix, profile.prefix_tokens),
                prompts.Segment(f'own-{number}', suffix_tokens),
            ),
            # Estimates of the response length are often far off.
            max(1, round(output * world.rng.lognormvariate(0.0, 0.5))),
        )
        path = f'/{profile.name}/x'
        began_at = world.timers.now()
        # Client timeouts differ.
        timeout_seconds = profile.timeout_seconds * world.rng.uniform(
            0.85, 1.0
        )
        key = world.rng.choices(KEYS, self.pattern.key_shares)[0]
        request = world.request(number, path, prompt, timeout_seconds, key)
        outcome = await world.send_request(
            vm, request, profile.latency_objective, profile.name
        )
        outcome.size = suffix_tokens
        error = outcome.error
        if (
            error is None
            or error.run != 'not_run'
            or not self.pattern.clients_retry
        ):
            return
        # Clients retry once, at the latest after a third of the time left.
        left = timeout_seconds - (world.timers.now() - began_at)
        pause = error.retry_after or 0.1
        if pause > left / 3:
            if self.pattern.clients_give_up:
                return
            pause = left / 3
        await world.timers.sleep(pause)
        if self.pattern.moves_returns:
            vm = world.rng.choice(
                [one.vm for one in world.entries if one.region == region]
            )
        world.outcomes.remove(outcome)
        left = timeout_seconds - (world.timers.now() - began_at)
        request = world.request(f'{number}b', path, prompt, left, key)
        again = await world.send_request(
            vm, request, profile.latency_objective, profile.name
        )
        again.sent_at = began_at
        again.size = suffix_tokens

    def rejected_return_share(self):
        """Returns the share of the returned clients that were rejected."""
        returned = [
            one for one in self.world.outcomes if one.request_id.endswith('b')
        ]
        rejected = sum(one.error is not None for one in returned)
        return rejected / max(1, len(returned))

    def on_time_share(self, is_counted=lambda one: True):
        """Returns the share of requests whose response began on time."""
        asked = [one for one in self.world.outcomes if is_counted(one)]
        return sum(one.is_on_time for one in asked) / len(asked)

    def value_share(self):
        """Returns the achieved share of the total value."""
        class_values = {one.name: one.value for one in self.pattern.profiles}
        earned = owed = 0.0
        for one in self.world.outcomes:
            value = class_values[one.profile]
            owed += value
            if one.is_on_time:
                earned += value
            elif one.error is None:
                earned += value * LATE_VALUE
            elif one.request_id.endswith('b'):
                earned -= value * SECOND_REJECTION_COST
        return earned / owed

    def work_share(self):
        """Returns the share of engine capacity used for responses on time."""
        sizes = {
            one.name: one.prefix_tokens + one.suffix_tokens
            for one in self.pattern.profiles
        }
        done = sum(
            sizes[one.profile] for one in self.world.outcomes if one.is_on_time
        )
        engines = sum(count for _, (count, _) in self.pattern.layout)
        return done / (engines * serving_world.PREFILL_RATE * self.seconds)

    def reread_share(self):
        """Returns the share of shared tokens that are prefilled again."""
        world = self.world
        return sum(world.reread_tokens.values()) / world.asked_shared_tokens

    def late_or_failed_share(self):
        """Returns the share of admitted requests that were late or failed."""
        admitted = [
            one
            for one in self.world.outcomes
            if one.error is None or one.error.run != 'not_run'
        ]
        return sum(not one.is_on_time for one in admitted) / len(admitted)

    def served_by_size(self, profile):
        """Returns the served share of a class's largest tenth, and of all."""
        asked = sorted(
            (one for one in self.world.outcomes if one.profile == profile),
            key=lambda one: one.size,
        )
        largest = asked[-len(asked) // 10 :]

        def share(some):
            return sum(one.error is None for one in some) / len(some)

        return share(largest), share(asked)

    def completion_seconds(self, profile, percent):
        """Returns the seconds that started responses took, at a percentile."""
        durations = sorted(
            (one.ended_at or math.inf) - one.sent_at
            for one in self.world.outcomes
            if one.profile == profile and (one.error is None or one.first_at)
        )
        return durations[len(durations) * percent // 100]

    def max_rejection_seconds(self):
        """Returns the seconds that the slowest first rejection took."""
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
