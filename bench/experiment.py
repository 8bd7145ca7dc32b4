"""Compares the gateway's policies with a baseline under the same load.

It runs the gateway on loopback addresses with fake engines. Each scenario
runs twice with the same seeded arrivals: with the gateway's policies, and
with a baseline (round robin, home region only, retries without a budget). It
prints a table and can write JSON. There is no network delay between regions.
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

from . import load_client

SCENARIOS_FOLDER = pathlib.Path(__file__).parent / 'scenarios'
MAX_LATENCY_MS = 120000
SIGNIFICANT_DIGITS = 3
SETTLE_SECONDS = 2.5
DRAIN_SECONDS = 8.0


@dataclasses.dataclass(frozen=True)
class Load:
    """The load of one organisation.

    :ivar rate: mean requests a second.
    :ivar tokens: tokens to generate for each request.
    :ivar peak: factor by which the rate rises in the middle third.
    :ivar allowance: tokens a second that the organisation may use.
    :ivar bound: whether its requests have to stay in its home region.
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
    """A fault or operation, ``at`` seconds after the start."""

    at: float
    action: str
    target: str = ''


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A scenario, as its YAML file describes it."""

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
    """The results of one organisation's requests."""

    def __init__(self) -> None:
        self.first_byte_ms = histogram.HdrHistogram(
            1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
        )
        self.gap_tenth_ms = histogram.HdrHistogram(
            1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
        )
        self.success_count = 0
        self.failure_counts: dict[str, int] = {}

    @property
    def total(self) -> int:
        return self.success_count + sum(self.failure_counts.values())

    def describe(self) -> dict:
        return {
            'requests': self.total,
            'success': self.success_count / max(1, self.total),
            'failures': self.failure_counts,
            'first_ms': percentiles(self.first_byte_ms),
            'gap_tenth_ms': percentiles(self.gap_tenth_ms),
        }


def percentiles(latencies: histogram.HdrHistogram) -> dict:
    return {
        f'p{percent}': latencies.get_value_at_percentile(percent)
        for percent in (50, 95, 99)
    }


def use_baseline(vm: vms.Vm) -> None:
    """Replaces the policies of a VM by the baseline."""
    for queue in vm.queues.values():
        sequence = itertools.count()

        def choose_round_robin(
            prefix, excluded, queue=queue, sequence=sequence
        ):
            usable = [
                one
                for one in queue.service.usable_servers(queue.timers.now())
                if one.name not in excluded
                and one.in_flight < one.settings.slots
            ]
            return usable[next(sequence) % len(usable)] if usable else None

        queue.choose_server = choose_round_robin
    plan_regions = vm.gateway.router.plan_regions

    def plan_home_region(spec, row):
        return (
            plan_regions(spec, row)[:1]
            if row.bound
            else [row.home or vm.settings.region]
        )

    vm.gateway.router.plan_regions = plan_home_region
    vm.executor.retry_budget.try_spend = always_true
    retry.MAX_ATTEMPTS = 10


def always_true() -> bool:
    return True


class Trial:
    """One run of a scenario.

    :param is_baseline: whether to use the baseline instead of the gateway's
        policies.
    """

    def __init__(self, scenario: Scenario, is_baseline: bool) -> None:
        self.scenario = scenario
        self.is_baseline = is_baseline
        self.results = {one.organisation: Results() for one in scenario.loads}
        self.keys: dict[str, str] = {}

    def deployment_spec(self) -> deployments.DeploymentSpec:
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
            deployment = deployments.Deployment(
                self.deployment_spec(), pathlib.Path(folder), block=81
            )
            for one in deployment.engines.values():
                one.settings.token_seconds = self.scenario.token_ms / 1000
                one.settings.first_token_seconds = 0.06
                one.settings.cached_first_token_seconds = 0.02
            async with deployment.running():
                await deployment.wait_ready(30)
                if self.is_baseline:
                    for vm in deployment.vms.values():
                        use_baseline(vm)
                await self.set_up(deployment)
                await self.run_load(deployment)
                found = self.describe(deployment)
        retry.MAX_ATTEMPTS = 3
        return found

    async def set_up(self, deployment: deployments.Deployment) -> None:
        lines = ['kind,name,rate,burst,home,bound']
        for one in self.scenario.loads:
            bound = 'yes' if one.bound else ''
            lines.append(
                f'organisation,{one.organisation},{one.allowance},'
                f'{one.allowance * 2},{one.home},{bound}'
            )
        operator = deployment.operator_client()
        url = deployment.operator_url(deployment.vm_names()[0])
        await operator.put(
            url + '/admin/table',
            content='\n'.join(lines) + '\n',
            headers={'if-match': '"0"'},
        )
        for one in self.scenario.loads:
            response = await operator.post(
                url + '/admin/keys', json={'organisation': one.organisation}
            )
            self.keys[one.organisation] = response.json()['key']
        await operator.aclose()
        await anyio.sleep(SETTLE_SECONDS)

    async def run_load(self, deployment: deployments.Deployment) -> None:
        with anyio.move_on_after(self.scenario.seconds + DRAIN_SECONDS):
            async with anyio.create_task_group() as tasks:
                for event in self.scenario.events:
                    tasks.start_soon(self.apply_event, deployment, event)
                for load in self.scenario.loads:
                    tasks.start_soon(self.send_all, deployment, load, tasks)

    async def apply_event(
        self, deployment: deployments.Deployment, event: Event
    ) -> None:
        await anyio.sleep(event.at)
        engines = [
            one
            for name, one in deployment.engines.items()
            if event.target and event.target in name
        ]
        if event.action in ('500', 'silent', 'reset', 'cut', 'hang'):
            for one in engines:
                one.fault = event.action
        elif event.action == 'leave':
            for one in engines:
                one.is_leaving = True
        elif event.action == 'heal':
            for one in deployment.engines.values():
                one.fault = ''
        elif event.action == 'restart':
            await self.restart_all(deployment)

    async def restart_all(self, deployment: deployments.Deployment) -> None:
        """Restarts all VMs, one after another."""
        for name in deployment.vm_names():
            vm = deployment.vms[name]
            vm.stop()
            await vm.stopped.wait()
            await anyio.sleep(0.3)
            restarted = await deployment.start_vm(name)
            if self.is_baseline:
                use_baseline(restarted)
            while not restarted.is_ready():
                await anyio.sleep(0.05)
            await anyio.sleep(1.5)

    async def send_all(self, deployment, load: Load, tasks) -> None:
        """Sends an organisation's requests at seeded random times."""
        rng = random.Random(f'{self.scenario.name}/{load.organisation}')
        started = time.monotonic()
        due = 0.0
        third = self.scenario.seconds / 3
        while due < self.scenario.seconds:
            rate = load.rate * (load.peak if third < due < 2 * third else 1)
            due += rng.expovariate(rate)
            await anyio.sleep(max(0, started + due - time.monotonic()))
            tasks.start_soon(self.send_one, deployment, load, rng.random())

    def choose_entry(self, deployment, load: Load, fraction: float) -> str:
        """Returns a ready VM, in the home region if there is one.

        :param fraction: which of these VMs to take, from 0 to less than 1.
        """
        ready_vms = [
            vm.settings.own_peer
            for vm in deployment.vms.values()
            if vm.is_ready()
        ]
        home = [one for one in ready_vms if one.region == load.home]
        return (home or ready_vms)[int(fraction * len(home or ready_vms))].vm

    async def send_one(self, deployment, load: Load, fraction: float) -> None:
        results = self.results[load.organisation]
        host, port = (
            deployment.client_url(
                self.choose_entry(deployment, load, fraction)
            )
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
        client = load_client.Client(
            host, int(port), self.keys[load.organisation]
        )
        try:
            timing = await client.post('/v1/chat/completions', body.encode())
        except (RuntimeError, OSError, anyio.EndOfStream) as error:
            code = error_code(str(error))
            results.failure_counts[code] = (
                results.failure_counts.get(code, 0) + 1
            )
            return
        finally:
            await client.close()
        if not timing.is_complete:
            results.failure_counts['broken'] = (
                results.failure_counts.get('broken', 0) + 1
            )
            return
        results.success_count += 1
        results.first_byte_ms.record_value(
            max(1, int(timing.first_byte_seconds * 1000))
        )
        gap = (timing.last_byte_seconds - timing.first_byte_seconds) / max(
            1, load.tokens - 1
        )
        results.gap_tenth_ms.record_value(max(1, int(gap * 10000)))

    def describe(self, deployment: deployments.Deployment) -> dict:
        rows = {name: one.describe() for name, one in self.results.items()}
        total = sum(one.total for one in self.results.values())
        first_byte_ms = histogram.HdrHistogram(
            1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
        )
        for one in self.results.values():
            first_byte_ms.add(one.first_byte_ms)
        vm_metrics = [vm.metrics for vm in deployment.vms.values()]
        forwarded = sum(counter_total(one.forwarded) for one in vm_metrics)
        seconds = sum(
            counter_total(one.backend_server_seconds) for one in vm_metrics
        )
        worst = min(rows, key=lambda name: rows[name]['success'])
        return {
            'requests': total,
            'success': sum(one.success_count for one in self.results.values())
            / max(1, total),
            'first_ms': percentiles(first_byte_ms),
            'elsewhere': forwarded / max(1, total),
            'runner_seconds_a_request': seconds / max(1, total),
            'worst': worst,
            'worst_success': rows[worst]['success'],
            'worst_p99_ms': max(
                one['first_ms']['p99'] for one in rows.values()
            ),
            'organisations': rows,
        }


def counter_total(counter: prometheus_client.Counter) -> float:
    """Returns the sum of a counter over all its labels."""
    return sum(
        sample.value
        for family in counter.collect()
        for sample in family.samples
        if sample.name.endswith('_total')
    )


def error_code(text: str) -> str:
    _, _, rest = text.partition('"code":"')
    return rest.partition('"')[0] or 'connection'


def print_results(name: str, by_policy: dict) -> None:
    print(f'{name}')
    print(
        f'  {"":10}{"success":>9}{"p50":>7}{"p95":>7}{"p99":>7}'
        f'{"elsewhere":>11}{"slot s":>8}{"worst":>9}{"its p99":>9}'
    )
    for policy, one in by_policy.items():
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
        file.stem for file in SCENARIOS_FOLDER.glob('*.yaml')
    )
    results_by_scenario = {}
    for name in names:
        scenario = load_scenario(SCENARIOS_FOLDER / f'{name}.yaml')
        found = {}
        for policy in ('baseline', 'product'):
            trial = Trial(scenario, policy == 'baseline')
            found[policy] = anyio.run(
                trial.run, backend_options={'use_uvloop': True}
            )
        print_results(name, found)
        results_by_scenario[name] = found
    if arguments.json:
        arguments.json.write_text(json.dumps(results_by_scenario, indent=2))


if __name__ == '__main__':
    main()
