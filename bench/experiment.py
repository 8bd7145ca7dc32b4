"""Compares the product's policies with plain ones under the same load.

It runs the product's own code on loopback with small stand-in engines. Each
scenario is played twice with the same seeded arrivals: with the product's
policies, and with a baseline (round robin, home region only, retries without
a budget). It prints a table and writes JSON. Regions are not apart by any
delay here.
"""

import argparse
import dataclasses
import itertools
import json
import pathlib
import random
import tempfile
import time

import anyio
from hdrh import histogram
import prometheus_client
import yaml

from greengagegw.policy import retry
from greengagegw import vm as vms
from standins import deployment as deployments

from . import client

FOLDER = pathlib.Path(__file__).parent / 'scenarios'
LONGEST_MS = 120000
DIGITS = 3
SETTLE_SECONDS = 2.5
DRAIN_SECONDS = 8.0


@dataclasses.dataclass(frozen=True)
class Load:
    """What one organisation sends; rates are requests a second.

    :ivar peak: how many times its rate it sends in the middle third.
    """

    organisation: str
    home: str
    rate: float
    tokens: int = 20
    peak: float = 1.0
    allowance: float = 1e6
    bound: bool = False


@dataclasses.dataclass(frozen=True)
class Event:
    """Something that happens ``at`` seconds after the start."""

    at: float
    action: str
    target: str = ''


@dataclasses.dataclass(frozen=True)
class Scenario:
    name: str
    seconds: float
    loads: tuple[Load, ...]
    events: tuple[Event, ...] = ()
    slots: int = 4
    token_ms: float = 10.0
    vms: dict = dataclasses.field(default_factory=dict)
    engines: dict = dataclasses.field(default_factory=dict)


def load_scenario(file: pathlib.Path) -> Scenario:
    content = yaml.safe_load(file.read_text())
    content['loads'] = tuple(Load(**one) for one in content['loads'])
    events = content.get('events', ())
    content['events'] = tuple(Event(**one) for one in events)
    return Scenario(name=file.stem, **content)


class Results:
    """What became of an organisation's requests."""

    def __init__(self) -> None:
        self.first = histogram.HdrHistogram(1, LONGEST_MS, DIGITS)
        self.gaps = histogram.HdrHistogram(1, LONGEST_MS, DIGITS)
        self.good = 0
        self.bad: dict[str, int] = {}

    @property
    def total(self) -> int:
        return self.good + sum(self.bad.values())

    def describe(self) -> dict:
        return {
            'requests': self.total,
            'success': self.good / max(1, self.total),
            'failures': self.bad,
            'first_ms': percentiles(self.first),
            'gap_tenth_ms': percentiles(self.gaps),
        }


def percentiles(found: histogram.HdrHistogram) -> dict:
    return {
        f'p{share}': found.get_value_at_percentile(share)
        for share in (50, 95, 99)
    }


def use_baseline(vm: vms.Vm) -> None:
    """Gives a VM the plain policies."""
    for queue in vm.queues.values():
        turns = itertools.count()

        def choose(prefix, excluded, queue=queue, turns=turns):
            usable = [
                one
                for one in queue.service.usable_servers(queue.timers.now())
                if one.name not in excluded
                and one.in_flight < one.settings.slots
            ]
            return usable[next(turns) % len(usable)] if usable else None

        queue.choose_server = choose
    plan = vm.gateway.router.plan_regions

    def plan_home(spec, row):
        return (
            plan(spec, row)[:1]
            if row.bound
            else [row.home or vm.settings.region]
        )

    vm.gateway.router.plan_regions = plan_home
    vm.executor.retry_budget.try_spend = always
    retry.MAX_ATTEMPTS = 10


def always() -> bool:
    return True


class Trial:
    """One scenario under one set of policies."""

    def __init__(self, scenario: Scenario, is_baseline: bool) -> None:
        self.scenario = scenario
        self.is_baseline = is_baseline
        self.results = {one.organisation: Results() for one in scenario.loads}
        self.keys: dict[str, str] = {}

    def shape(self) -> deployments.DeploymentSpec:
        return deployments.DeploymentSpec(
            'experiment',
            self.scenario.vms,
            {'judge-assist': self.scenario.engines},
            {},
            timeouts={
                'entries_ttl_seconds': 1.0,
                'between_bytes_seconds': 1.0,
                'first_byte_seconds': 5.0,
                'queue_seconds': 5.0,
            },
            slots=self.scenario.slots,
        )

    async def run(self) -> dict:
        with tempfile.TemporaryDirectory() as folder:
            made = deployments.Deployment(
                self.shape(), pathlib.Path(folder), block=81
            )
            for one in made.engines.values():
                one.settings.token_seconds = self.scenario.token_ms / 1000
                one.settings.first_token_seconds = 0.06
                one.settings.cached_first_token_seconds = 0.02
            async with made.running():
                await made.wait_ready(30)
                if self.is_baseline:
                    for vm in made.vms.values():
                        use_baseline(vm)
                await self.set_up(made)
                await self.play(made)
                found = self.describe(made)
        retry.MAX_ATTEMPTS = 3
        return found

    async def set_up(self, made: deployments.Deployment) -> None:
        lines = ['kind,name,rate,burst,home,bound']
        for one in self.scenario.loads:
            bound = 'yes' if one.bound else ''
            lines.append(
                f'organisation,{one.organisation},{one.allowance},'
                f'{one.allowance * 2},{one.home},{bound}'
            )
        operator = made.operator_client()
        url = made.operator_url(made.vm_names()[0])
        await operator.put(
            url + '/admin/table',
            content='\n'.join(lines) + '\n',
            headers={'if-match': '"0"'},
        )
        for one in self.scenario.loads:
            answer = await operator.post(
                url + '/admin/keys', json={'organisation': one.organisation}
            )
            self.keys[one.organisation] = answer.json()['key']
        await operator.aclose()
        await anyio.sleep(SETTLE_SECONDS)

    async def play(self, made: deployments.Deployment) -> None:
        with anyio.move_on_after(self.scenario.seconds + DRAIN_SECONDS):
            async with anyio.create_task_group() as tasks:
                for event in self.scenario.events:
                    tasks.start_soon(self.happen, made, event)
                for load in self.scenario.loads:
                    tasks.start_soon(self.send_all, made, load, tasks)

    async def happen(self, made: deployments.Deployment, event: Event) -> None:
        await anyio.sleep(event.at)
        engines = [
            one
            for name, one in made.engines.items()
            if event.target and event.target in name
        ]
        if event.action in ('500', 'silent', 'reset', 'cut', 'hang'):
            for one in engines:
                one.fault = event.action
        elif event.action == 'leave':
            for one in engines:
                one.is_leaving = True
        elif event.action == 'heal':
            for one in made.engines.values():
                one.fault = ''
        elif event.action == 'restart':
            await self.restart_all(made)

    async def restart_all(self, made: deployments.Deployment) -> None:
        """Stops and starts every VM, one after the other."""
        for name in made.vm_names():
            vm = made.vms[name]
            vm.stop()
            await vm.stopped.wait()
            await anyio.sleep(0.3)
            again = await made.start_vm(name)
            if self.is_baseline:
                use_baseline(again)
            while not again.is_ready():
                await anyio.sleep(0.05)
            await anyio.sleep(1.5)

    async def send_all(self, made, load: Load, tasks) -> None:
        """Sends an organisation's requests at seeded random times."""
        rng = random.Random(f'{self.scenario.name}/{load.organisation}')
        started = time.monotonic()
        due = 0.0
        third = self.scenario.seconds / 3
        while due < self.scenario.seconds:
            rate = load.rate * (load.peak if third < due < 2 * third else 1)
            due += rng.expovariate(rate)
            await anyio.sleep(max(0, started + due - time.monotonic()))
            tasks.start_soon(self.send_one, made, load, rng.random())

    def choose_entry(self, made, load: Load, share: float) -> str:
        """Returns the entry that the directory would give."""
        serving = [
            vm.settings.own_peer for vm in made.vms.values() if vm.is_ready()
        ]
        home = [one for one in serving if one.region == load.home]
        return (home or serving)[int(share * len(home or serving))].vm

    async def send_one(self, made, load: Load, share: float) -> None:
        results = self.results[load.organisation]
        host, port = (
            made.client_url(self.choose_entry(made, load, share))
            .removeprefix('http://')
            .split(':')
        )
        body = json.dumps(
            {
                'model': 'judge-assist',
                'messages': [
                    {'role': 'user', 'content': f'{load.organisation}'}
                ],
                'max_tokens': load.tokens,
                'stop_at': load.tokens,
                'stream': True,
            }
        )
        one = client.Client(host, int(port), self.keys[load.organisation])
        try:
            timing = await one.post('/v1/chat/completions', body.encode())
        except (RuntimeError, OSError, anyio.EndOfStream) as error:
            name = find_code(str(error))
            results.bad[name] = results.bad.get(name, 0) + 1
            return
        finally:
            await one.close()
        if not timing.is_finished:
            results.bad['broken'] = results.bad.get('broken', 0) + 1
            return
        results.good += 1
        results.first.record_value(max(1, int(timing.first * 1000)))
        gap = (timing.last - timing.first) / max(1, load.tokens - 1)
        results.gaps.record_value(max(1, int(gap * 10000)))

    def describe(self, made: deployments.Deployment) -> dict:
        rows = {name: one.describe() for name, one in self.results.items()}
        total = sum(one.total for one in self.results.values())
        first = histogram.HdrHistogram(1, LONGEST_MS, DIGITS)
        for one in self.results.values():
            first.add(one.first)
        counters = [vm.metrics for vm in made.vms.values()]
        forwarded = sum(count(one.forwarded) for one in counters)
        seconds = sum(count(one.backend_server_seconds) for one in counters)
        worst = min(rows, key=lambda name: rows[name]['success'])
        return {
            'requests': total,
            'success': sum(one.good for one in self.results.values())
            / max(1, total),
            'first_ms': percentiles(first),
            'elsewhere': forwarded / max(1, total),
            'runner_seconds_a_request': seconds / max(1, total),
            'worst': worst,
            'worst_success': rows[worst]['success'],
            'worst_p99_ms': max(
                one['first_ms']['p99'] for one in rows.values()
            ),
            'organisations': rows,
        }


def count(counter: prometheus_client.Counter) -> float:
    """Returns the sum of a counter over all its labels."""
    return sum(
        sample.value
        for family in counter.collect()
        for sample in family.samples
        if sample.name.endswith('_total')
    )


def find_code(text: str) -> str:
    _, _, rest = text.partition('"code":"')
    return rest.partition('"')[0] or 'connection'


def show(name: str, found: dict) -> None:
    print(f'{name}')
    print(
        f'  {"":10}{"success":>9}{"p50":>7}{"p95":>7}{"p99":>7}'
        f'{"elsewhere":>11}{"slot s":>8}{"worst":>9}{"its p99":>9}'
    )
    for policy, one in found.items():
        first = one['first_ms']
        print(
            f'  {policy:10}{one["success"]:9.4f}{first["p50"]:7}'
            f'{first["p95"]:7}{first["p99"]:7}{one["elsewhere"]:11.3f}'
            f'{one["runner_seconds_a_request"]:8.3f}'
            f'{one["worst_success"]:9.4f}{one["worst_p99_ms"]:9}',
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('scenarios', nargs='*', help='names; all by default')
    parser.add_argument('--json', type=pathlib.Path)
    arguments = parser.parse_args()
    names = arguments.scenarios or sorted(
        file.stem for file in FOLDER.glob('*.yaml')
    )
    everything = {}
    for name in names:
        scenario = load_scenario(FOLDER / f'{name}.yaml')
        found = {}
        for policy in ('baseline', 'product'):
            trial = Trial(scenario, policy == 'baseline')
            found[policy] = anyio.run(
                trial.run, backend_options={'use_uvloop': True}
            )
        show(name, found)
        everything[name] = found
    if arguments.json:
        arguments.json.write_text(json.dumps(everything, indent=2))


if __name__ == '__main__':
    main()
