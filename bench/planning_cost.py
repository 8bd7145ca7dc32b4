"""Measures the time that one entry VM takes to plan a request.

Planning is the choice of the region and then of the backend server, with the
log lines of both, over 58 servers and 67 entry VMs of one region. The cases
are servers that are idle, servers that differ in their load, and servers that
have just started, whose request rate all entry VMs share.

Times are process time, so that other processes of the machine do not count.
"""

import dataclasses
import itertools
import os
import random
import statistics
import time

import anyio
import eliot

from greengagegw.fleet import agent as agents
from greengagegw.fleet import configuration as configurations
from greengagegw.fleet import instances
from greengagegw.fleet import loads
from greengagegw.fleet import members
from greengagegw import logs
from greengagegw.serving import backlog_exchange
from greengagegw.serving import links
from greengagegw.serving import planner as planner_module
from greengagegw.serving import ports
from greengagegw.serving import prompts
from greengagegw.serving import region_reports
from greengagegw.serving import retry_budget
from greengagegw.serving import servers as server_pool
from greengagegw import timers as timer_service

SERVERS = 58
ENTRY_VMS = 67
REGIONS = ('a', 'b', 'c')
REQUESTS = 2000
# Part of the requests that is not measured.
WARM_UP_REQUESTS = 200
CASES = ('idle', 'loaded', 'cold')


@dataclasses.dataclass
class StubAgent:
    """The part of an agent that the planner uses."""

    view: agents.FleetView
    has_lease: bool = True


def make_configuration() -> configurations.Configuration:
    route = configurations.Route(
        name='chat',
        host='h.example',
        prefix='/chat/',
        kind=configurations.CallKind.STREAM,
        shares=(configurations.TrafficShare('engine', 1.0),),
        timeout=10.0,
        latency_objective=1.0,
        event_gap_objective=0.3,
        priority=0,
        max_attempts=3,
        is_public=False,
        is_resumable=True,
        home_regions=frozenset(),
    )
    service = configurations.Service('engine', '/health', 64, 5.0, 8.0, 50_000)
    organisation = configurations.Organisation(
        'org', None, False, 0.0, 0.0, 0.0, frozenset()
    )
    return configurations.build(
        1,
        (route,),
        {'engine': service},
        {'org': organisation},
        {'key-1': 'org'},
        configurations.RequestLimits(),
    )


def make_planner(case: str) -> planner_module.RequestPlanner:
    """Returns the planner of an entry VM in region ``a``."""
    rng = random.Random(1)
    timers = timer_service.Timers()
    view = agents.FleetView()
    view.configuration = make_configuration()
    view.entry_vms = tuple(
        members.EntryVm(
            f'10.{index}.0.{number}:7000',
            f'10.{index}.1.{number}:8000',
            region,
            f'{region}-{number % 2}',
            members.EntryState.SERVING,
        )
        for index, region in enumerate(REGIONS)
        for number in range(ENTRY_VMS)
    )
    view.instances = {
        f'engine-{region}-{number}': instances.Instance(
            f'engine-{region}-{number}',
            'engine',
            f'10.9.{index}.{number}:9000',
            f'{region}-{number % 2}',
            12,
            False,
            case == 'cold',
            1,
            'v1',
        )
        for index, region in enumerate(REGIONS)
        for number in range(SERVERS)
    }
    view.loads = {
        region: {'engine': loads.RegionLoad(0.1, 0.05, 5e4, 2e6)}
        for region in REGIONS
    }
    regions = {
        f'{region}-{number}': region for region in REGIONS for number in (0, 1)
    }
    pool = server_pool.ServerPool(view, 'a', regions)
    pool.update(timers.now())
    vm = view.entry_vms[0].vm
    backlogs = backlog_exchange.BacklogExchange(
        vm, 'a', timers, None, view, pool.local_backlog
    )
    if case == 'loaded':
        for name in pool.servers:
            backlogs.direct_total.servers[name] = {
                region_reports.TOKENS: rng.random() * 2e4,
                region_reports.REQUESTS: rng.random() * 20,
            }
    return planner_module.RequestPlanner(
        vm,
        timers,
        StubAgent(view),
        pool,
        backlogs,
        links.RegionLinks(vm, 'a', timers, None, view, rng),
        retry_budget.RetrySettings(0.2, 50, 10.0),
        rng,
    )


def make_request(number: int) -> ports.Request:
    prefix = f's-{number % 40}'
    return ports.Request(
        request_id=f'r-{number}',
        method='POST',
        target=b'/chat/x',
        host='h.example',
        path='/chat/x',
        headers=(),
        body=b'{}',
        key='key-1',
        client_timeout_seconds=10.0,
        prompt=prompts.Prompt(
            'm',
            7000,
            200,
            (
                prompts.Segment(prefix, 5000),
                prompts.Segment(f'own-{number}', 2000),
            ),
            100,
        ),
        resume_after=None,
    )


def measure(case: str, writer: logs.LogWriter) -> list[float]:
    """Returns the seconds that each request took to plan."""
    planner = make_planner(case)
    seconds = []
    for number in range(REQUESTS):
        job = planner.create_job(make_request(number), planner.timers.now())
        began_at = time.process_time()
        planner.plan_regions(job, None)
        choice = planner.choose_server(job, set())
        if number >= WARM_UP_REQUESTS:
            seconds.append(time.process_time() - began_at)
        writer.lines.clear()
        choice.server.prefix_cache.record_prompt(job.request.prompt)
    return seconds


async def main() -> None:
    # A clock that advances by 1 s per line, so that no line is dropped.
    seconds = itertools.count()
    writer = logs.LogWriter(
        os.open(os.devnull, os.O_WRONLY), lambda: float(next(seconds))
    )
    eliot.add_destinations(writer)
    for case in CASES:
        seconds = measure(case, writer)
        median = statistics.median(seconds)
        high = statistics.quantiles(seconds, n=100)[98]
        print(
            f'planning over {SERVERS} {case} servers: median'
            f' {median * 1000:.3f} ms, p99 {high * 1000:.3f} ms',
            flush=True,
        )


if __name__ == '__main__':
    anyio.run(main)
