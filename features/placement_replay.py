"""Replays a load on the servers of one region and compares placements.

No network and no event loop: time advances in steps. Each entry VM knows its
own requests at once and those of the others by reports. Servers of permanently
different speeds slow down and recover 20 times a second.
"""

import collections
import dataclasses
import math
import random
import types

from features import fleet_world
from greengagegw.serving import placement
from greengagegw.serving import ports
from greengagegw.serving import prompts
from greengagegw.serving import remaining_work
from greengagegw.serving import request_cost
from greengagegw.serving import server_speed
from greengagegw.serving import servers as server_pool
from greengagegw.serving import work_estimates

STEP_SECONDS = 0.01
PREFILL_RATE = 55_000.0
EVENT_SECONDS = 0.03
SLOWDOWN_SECONDS = 0.05
SPEEDS = (0.6, 1.0, 1.4)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of generations.

    :ivar rate: requests a second.
    :ivar events: typical length of a response; a tenth has five times it.
    """

    name: str
    rate: float
    tokens: int
    events: int
    objective: float


@dataclasses.dataclass(frozen=True, slots=True)
class Errors:
    """Injected errors of the predictions.

    :ivar factor: of all predicted lengths.
    :ivar deviation: standard deviation of the logarithm of a random factor.
    :ivar lag_seconds: age of what VMs report to each other.
    """

    factor: float = 1.0
    deviation: float = 0.0
    lag_seconds: float = 0.2


ERRORS = {
    'exact': Errors(),
    'twice': Errors(factor=2.0),
    'half': Errors(factor=0.5),
    'random': Errors(deviation=0.8),
    '1 s late': Errors(lag_seconds=1.0),
}
# The lengths and objectives of deployment Q of docs/design/uneven-load.md, at
# the rates that load nine engines of 12 slots to two thirds.
CLASSES = (
    RequestClass('long', 14.0, 6610, 25, 1.245),
    RequestClass('short', 80.0, 1800, 2, 0.522),
)

# Multiple of these rates that uses about four fifths of the servers.
FITTING_LOAD = 1.4


class Engine:
    """A server that prefills one prompt at a time and generates in slots."""

    def __init__(self, speed, slots, rng):
        self.speed = speed
        self.slots = slots
        self.rng = rng
        self.slowdown = 1.0
        self.next_change = 0.0
        self.waiting = collections.deque()
        self.prefilling = collections.deque()
        self.generating = []
        self.arrivals = self.rejections = 0
        self.work = 0.0

    @property
    def running(self):
        return len(self.prefilling) + len(self.generating)

    def offer(self, request):
        self.arrivals += 1
        if len(self.waiting) >= self.slots:
            self.rejections += 1
            return False
        self.waiting.append(request)
        return True

    def advance(self, now, replay):
        if now >= self.next_change:
            self.next_change = now + SLOWDOWN_SECONDS
            self.slowdown = min(4.0, self.rng.lognormvariate(0.1, 0.45))
        while self.waiting and self.running < self.slots:
            self.prefilling.append(self.waiting.popleft())
        pace = self.speed / self.slowdown
        budget = STEP_SECONDS * PREFILL_RATE * pace
        while self.prefilling and budget > 0:
            head = self.prefilling[0]
            used = min(budget, head.tokens_left)
            head.tokens_left -= used
            budget -= used
            if head.tokens_left <= 0:
                self.prefilling.popleft()
                self.generating.append(head)
                replay.on_first_event(head, self, now)
        if not self.generating:
            return
        interval = EVENT_SECONDS * (1 + self.running / 16)
        progress = STEP_SECONDS * pace / interval
        for one in list(self.generating):
            before = int(one.done)
            one.done += progress
            if int(one.done) > before:
                replay.on_event(one, self, now)
            if one.done >= one.events:
                self.generating.remove(one)
                replay.on_end(one, self, now)


class VmState:
    """What one entry VM knows: its servers, and the costs that it learned."""

    def __init__(self, count, slots):
        durations = server_speed.ServiceDurations()
        self.servers = [
            server_pool.Server(
                fleet_world.instance(f'i-{at}', slots=slots),
                100_000,
                durations,
                0.0,
            )
            for at in range(count)
        ]
        self.costs = request_cost.RequestCosts()


class Replay:
    """Replays one load with one placement policy.

    :param policy: one of ``POLICIES``.
    """

    def __init__(
        self, policy, errors=None, seconds=40.0, classes=CLASSES, seed=1,
        speeds=SPEEDS * 3, slots=12, vms=6, load=1.0,
    ):  # fmt: skip
        self.rng = random.Random(seed)
        self.policy = policy
        self.errors = errors or Errors()
        self.seconds = seconds
        self.classes = classes
        self.load = load
        self.slots = slots
        self.engines = [
            Engine(speed, slots, random.Random(seed + at))
            for at, speed in enumerate(speeds)
        ]
        self.vms = [VmState(len(speeds), slots) for _ in range(vms)]
        self.peer_work = [[(0.0, 0)] * len(speeds) for _ in range(vms)]
        self.history = collections.deque()
        self.now = 0.0
        self.queue = collections.deque()
        self.requests = []

    def run(self):
        next_arrivals = [
            self.rng.expovariate(one.rate * self.load) for one in self.classes
        ]
        next_report = 0.0
        for step in range(int(self.seconds / STEP_SECONDS)):
            now = self.now = step * STEP_SECONDS
            if now >= next_report:
                next_report = now + 0.1
                self.exchange(now)
            for at, one in enumerate(self.classes):
                while next_arrivals[at] <= now:
                    self.arrive(one, now)
                    next_arrivals[at] += self.rng.expovariate(
                        one.rate * self.load
                    )
            if self.policy == 'one queue':
                self.feed_from_queue(now)
            for engine in self.engines:
                engine.advance(now, self)
        return self

    def exchange(self, now):
        """Distributes the queued tokens and requests that VMs have."""
        self.history.append(
            (
                now,
                [
                    [
                        (one.queued_tokens, one.in_flight_count)
                        for one in vm.servers
                    ]
                    for vm in self.vms
                ],
            )
        )
        while (
            len(self.history) > 1
            and self.history[1][0] <= now - self.errors.lag_seconds
        ):
            self.history.popleft()
        backlogs = self.history[0][1]
        for at in range(len(self.vms)):
            self.peer_work[at] = [
                (
                    sum(
                        one[server][0]
                        for other, one in enumerate(backlogs)
                        if other != at
                    ),
                    sum(
                        one[server][1]
                        for other, one in enumerate(backlogs)
                        if other != at
                    ),
                )
                for server in range(len(self.engines))
            ]

    def arrive(self, request_class, now):
        events = request_class.events * self.rng.uniform(0.5, 1.5)
        if request_class.events > 5 and self.rng.random() < 0.1:
            events *= 4
        error = self.errors.factor * self.rng.lognormvariate(
            0.0, self.errors.deviation
        )
        tokens = round(
            request_class.tokens * self.rng.lognormvariate(-0.08, 0.4)
        )
        prompt = prompts.Prompt('m', tokens, 800, ())
        job = types.SimpleNamespace(
            route=types.SimpleNamespace(name=request_class.name),
            request=types.SimpleNamespace(path='/x'),
            organisation='',
            generation_prompt=prompt,
        )
        request = types.SimpleNamespace(
            request_class=request_class,
            job=job,
            number=len(self.requests),
            vm=self.rng.randrange(len(self.vms)),
            tokens=tokens,
            tokens_left=float(tokens),
            events=max(1.0, round(events)),
            error=error,
            done=0.0,
            sent_at=now,
            first_at=None,
            ended_at=None,
            is_rejected=False,
            server=None,
            last_event_at=0.0,
            max_pause=0.0,
        )
        self.requests.append(request)
        if self.policy == 'one queue':
            self.queue.append(request)
            return
        self.send(request, choose(self, request), now)

    def send(self, request, server, now):
        request.server = server
        state = self.vms[request.vm]
        known = state.servers[server]
        peers = self.peer_work[request.vm][server]
        queued = known.queued_tokens + peers[0] + request.tokens
        request.in_flight = server_pool.InFlightRequest(
            now, request.tokens, queued, None, None
        )
        cost = state.costs.predict(request.job, now)
        if cost is not None:
            cost = dataclasses.replace(cost, scale=cost.scale * request.error)
        request.in_flight.cost = cost
        known.record_start(request.in_flight)
        if not self.engines[server].offer(request):
            request.is_rejected = True
            known.record_end(request.in_flight, now, False)

    def feed_from_queue(self, now):
        """Sends the oldest request to each server with a free slot."""
        while self.queue:
            free = [
                at
                for at, one in enumerate(self.engines)
                if one.running + len(one.waiting) < one.slots
                and len(one.prefilling) + len(one.waiting) < 2
            ]
            if not free:
                return
            best = max(free, key=lambda at: self.engines[at].speed)
            self.send(self.queue.popleft(), best, now)

    def known_server(self, request):
        return self.vms[request.vm].servers[request.server]

    def on_first_event(self, request, engine, now):
        request.first_at = request.last_event_at = now
        known = self.known_server(request)
        reports = self.policy != 'before'
        known.record_load(
            ports.ReportedLoad(
                engine.running,
                len(engine.waiting),
                engine.slots,
                engine.slowdown if reports else None,
            ),
            now,
        )
        known.record_first_byte(request.in_flight, now)

    def on_event(self, request, engine, now):
        pause = now - request.last_event_at
        request.max_pause = max(request.max_pause, pause)
        known = self.known_server(request)
        known.record_events(request.in_flight, 1, pause, now)
        request.in_flight.event_count += 1
        request.last_event_at = now

    def on_end(self, request, engine, now):
        request.ended_at = now
        engine.work += (
            request.tokens / PREFILL_RATE + request.events * EVENT_SECONDS
        )
        self.known_server(request).record_end(request.in_flight, now, True)
        self.vms[request.vm].costs.record(request.job, request.events, now)

    # Figures of the second half, when speeds and costs are known.

    def counted(self, name=None):
        return [
            one
            for one in self.requests
            if self.seconds / 2 <= one.sent_at <= self.seconds - 4
            and name in (None, one.request_class.name)
        ]

    def on_time_share(self, name=None):
        asked = self.counted(name)
        on_time = [
            one
            for one in asked
            if one.first_at is not None
            and one.first_at - one.sent_at <= one.request_class.objective
        ]
        return len(on_time) / len(asked)

    def rejected_share(self):
        """Returns the largest share of arrivals that a server rejected."""
        return max(
            one.rejections / one.arrivals
            for one in self.engines
            if one.arrivals
        )

    def busiest_share(self):
        """Returns the work of the busiest server, relative to the mean.

        Work is divided by the speed of a server, which is the time that it
        takes.
        """
        works = [one.work / one.speed for one in self.engines]
        return max(works) * len(works) / sum(works)

    def seconds_to(self, what, name, percent):
        """Returns a percentile of the seconds to a time of requests.

        :param what: ``first_at`` or ``ended_at``.
        """
        found = sorted(
            (getattr(one, what) or math.inf) - one.sent_at
            for one in self.counted(name)
        )
        return found[len(found) * percent // 100]


def views(replay, request):
    """Yields each server's number, known state, queued tokens and requests."""
    state = replay.vms[request.vm]
    for at, known in enumerate(state.servers):
        tokens, count = replay.peer_work[request.vm][at]
        yield (
            at,
            known,
            known.queued_tokens + tokens,
            (known.in_flight_count + count),
        )


def choose(replay, request):
    """Returns the number of the server that the policy selects."""
    policy = replay.policy
    rng = replay.rng
    if policy in ('before', 'now'):
        return choose_by_placement(replay, request, policy == 'now')
    candidates = list(views(replay, request))
    if policy == 'size classes':
        # Long requests go to one half of the servers, short ones elsewhere.
        is_long = request.request_class.events > 5
        count = len(candidates)
        candidates = (
            candidates[: count // 2] if is_long else candidates[count // 2 :]
        )
    if policy == 'power of two':
        candidates = rng.sample(candidates, 2)

    def cost(view):
        at, known, tokens, count = view
        if policy == 'least tokens':
            return tokens, rng.random()
        if policy in ('least requests', 'power of two', 'size classes'):
            return count, rng.random()
        work = remaining_work.add_peers(
            remaining_work.sum_up(known.in_flight),
            *replay.peer_work[request.vm][at],
        )
        seconds = tokens / known.current_prefill_rate(replay.now)
        interval = known.current_event_interval(replay.now)
        return seconds + work.events * interval / replay.slots, rng.random()

    return min(candidates, key=cost)[0]


def choose_by_placement(replay, request, uses_work):
    now = replay.now
    state = replay.vms[request.vm]
    servers = {str(at): one for at, one in enumerate(state.servers)}
    peers = replay.peer_work[request.vm]
    cost = state.costs.predict(request.job, now)
    if cost is not None:
        cost = dataclasses.replace(cost, scale=cost.scale * request.error)
    works = {}
    if uses_work and work_estimates.are_uneven(servers.values(), now):
        works = work_estimates.estimate(
            servers,
            cost,
            dict.fromkeys(servers, float(request.tokens)),
            now,
        )
    prompt = prompts.Prompt('m', request.tokens, 0, ())
    candidates = []
    for name, known in servers.items():
        wait_seconds, _ = known.predict_wait(
            prompt, list(peers[int(name)]), now
        )
        interval = known.current_event_interval(now)
        candidates.append(
            placement.Candidate(
                name,
                wait_seconds,
                0.0 if cost is None else cost.mean * interval,
                False,
                0.0,
                False,
                request.tokens / known.current_prefill_rate(now),
                0.0,
                works.get(name),
            )
        )
    chosen = placement.choose_server(candidates, '', str(request.number))
    if chosen.work is not None:
        servers[chosen.name].recent_work.add(chosen.work.own_seconds, now)
    return int(chosen.name)


POLICIES = (
    'before', 'now', 'least requests', 'least tokens', 'power of two',
    'shortest work', 'one queue', 'size classes',
)  # fmt: skip


def main():
    """Prints the figures of all policies, as a table."""
    print(
        '| policy | errors | short on time | long on time |'
        ' worst server rejects | busiest / mean | long ends p95 s |'
    )
    print('|---|---|---|---|---|---|---|')
    for policy in POLICIES:
        for name, errors in ERRORS.items():
            replay = Replay(policy, errors, load=FITTING_LOAD).run()
            print(
                f'| {policy} | {name}'
                f' | {replay.on_time_share("short"):.3f}'
                f' | {replay.on_time_share("long"):.3f}'
                f' | {replay.rejected_share():.4f}'
                f' | {replay.busiest_share():.2f}'
                f' | {replay.seconds_to("ended_at", "long", 95):.2f} |'
            )


if __name__ == '__main__':
    main()
