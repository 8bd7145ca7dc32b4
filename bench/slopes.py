"""Measures the costs of a VM, which grow with the size of a deployment.

The functions return the cost at one size; :func:`fit` fits a line to several.
The gateway's code runs on the fakes of the tests in simulated time, except
where a docstring says otherwise.
"""

import contextlib
import pathlib
import statistics
import tempfile
import time
import tracemalloc

import anyio
import msgpack

from features import fakes
from features.steps import membership
from greengagegw.adapters import files
from greengagegw.allowance import token_bucket
from greengagegw.control import state
from greengagegw import keys
from greengagegw.ledger import claims
from greengagegw.membership import gossip
from greengagegw.replication import entries
from greengagegw.replication import storage as log_storage
from greengagegw import table as tables
from greengagegw import timers as timer_service

GOSSIP_SECONDS = 30
SERVICES = 33


class CountingMesh(fakes.FakeMesh):
    """Counts the bytes of calls and responses."""

    def __init__(self, network, vm):
        super().__init__(network, vm)
        network.bytes = 0

    async def call(self, vm, method, message, timeout=None):
        response = await super().call(vm, method, message, timeout)
        size = len(msgpack.packb(message)) + len(msgpack.packb(response))
        self.network.bytes += size + 2 * (len(method) + 12)
        return response


def gossip_cost(regions: int, count: int) -> tuple[float, float]:
    """Returns bytes a second and CPU seconds a second of one VM."""

    async def run():
        names = [f'r{at}' for at in range(regions)]
        fleet = membership.Fleet(names, count)
        fleet.network.mesh = lambda vm: CountingMesh(fleet.network, vm)
        loads = {
            f'model-{at}': gossip.ServiceLoad(480, 300, 20)
            for at in range(SERVICES)
        }
        async with fleet.running():
            for member in fleet.members.values():
                member.service_loads = lambda: loads
            await fleet.timers.advance(10)
            fleet.network.bytes = 0
            started = time.process_time()
            await fleet.timers.advance(GOSSIP_SECONDS)
            cpu = time.process_time() - started
            vm_seconds = len(fleet.vms) * GOSSIP_SECONDS
            return fleet.network.bytes / vm_seconds, cpu / vm_seconds

    return anyio.run(run)


def make_table(organisations: int) -> tables.Table:
    rows = [
        tables.Row(
            'organisation', f'organisation-{at}', 1.0, 1e6, 1e7, None, 'r1'
        )
        for at in range(organisations)
    ]
    return tables.Table(tuple(rows))


def make_configuration(
    organisations: int, key_count: int
) -> state.Configuration:
    configuration = state.Configuration()
    configuration.table = make_table(organisations)
    configuration.keys = {
        f'{at:012x}': keys.KeyRecord(
            f'{at:012x}', 'd' * 64, f'organisation-{at % 530}', 1.7e9
        )
        for at in range(key_count)
    }
    return configuration


def configuration_cost(organisations: int, key_count: int) -> dict:
    """Returns bytes sent and in memory, and the CPU seconds of a change."""
    tracemalloc.start()
    configuration = make_configuration(organisations, key_count)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    row = tables.Row('organisation', 'organisation-1', 2.0, 5.0, 5.0)
    event = state.Event(1, put=(row,))
    started = time.process_time()
    for _ in range(50):
        configuration.apply(event)
    seconds = (time.process_time() - started) / 50
    return {
        'list_bytes': len(msgpack.packb(configuration.pack())),
        'event_bytes': len(msgpack.packb(event.pack())),
        'memory_bytes': memory,
        'change_seconds': seconds,
    }


def bucket_cost(organisations: int) -> float:
    """Returns the CPU seconds of issuing and settling one grant."""
    buckets = [
        token_bucket.TokenBucket(1e6, 1e7, 0.0) for _ in range(organisations)
    ]
    rounds = 20000
    started = time.process_time()
    for at in range(rounds):
        bucket = buckets[at % organisations]
        grant = bucket.issue_grant(1.0, 100.0, 10 + at * 1e-4, 1.5)
        bucket.settle(grant.grant_id, 90.0)
    return (time.process_time() - started) / rounds


def claim_cost(count: int) -> tuple[float, float]:
    """Returns the bytes in memory and the CPU seconds of one claim."""
    ledger = claims.LedgerState(86400.0, 10**7)
    tracemalloc.start()
    for at in range(count):
        ledger.apply(claims.encode_command('claim', 1e9, claim_arguments(at)))
    memory = tracemalloc.get_traced_memory()[0] / count
    tracemalloc.stop()
    started = time.process_time()
    for at in range(1000):
        ledger.apply(
            claims.encode_command('claim', 1e9, claim_arguments(count + at))
        )
    return memory, (time.process_time() - started) / 1000


def claim_arguments(at: int) -> dict:
    return {
        'organisation': f'organisation-{at % 530}',
        'key': f'key-{at}',
        'digest': f'{at:064x}',
        'request_id': f'{at:032x}',
        'vm': 'vm-1',
        'session': 's',
        'seconds': 60.0,
    }


def recovery_seconds(count: int) -> float:
    """Returns the seconds for reading a log of entries from disk."""

    async def run():
        with tempfile.TemporaryDirectory() as path:
            folder = files.Folder(pathlib.Path(path) / 'g')
            storage = log_storage.Storage(folder)
            await storage.load()
            log_entries = [
                entries.Entry(at, 1, entries.EntryKind.COMMAND, b'x' * 200)
                for at in range(1, count + 1)
            ]
            for start in range(0, count, 500):
                await storage.append(log_entries[start : start + 500])
            await storage.close()
            reopened = log_storage.Storage(folder)
            started = time.perf_counter()
            await reopened.load()
            seconds = time.perf_counter() - started
            assert reopened.last_index == count
            await reopened.close()
            folder.close()
            return seconds

    return anyio.run(run)


def commit_cost(replicas: int, commits: int = 200) -> dict:
    """Returns the latencies of commits on files, in real time.

    The replicas exchange messages over the fake network of the tests, with
    its default delay.
    """

    async def run():
        group = fakes.ReplicaGroup(tuple('abcdefg'[:replicas]))
        timers = timer_service.Timers()
        group.timers = group.network.timers = timers
        with tempfile.TemporaryDirectory() as path, contextlib.ExitStack():
            for vm in group.vms:
                group.disks[vm] = files.Folder(pathlib.Path(path) / vm)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(timers.run)
                async with group.running():
                    started = time.perf_counter()
                    while group.leader() is None or not (
                        group.leader().is_caught_up
                    ):
                        await anyio.sleep(0.05)
                    election_seconds = time.perf_counter() - started
                    leader = group.leader()
                    latencies = []
                    cpu = time.process_time()
                    for at in range(commits):
                        before = time.perf_counter()
                        await leader.propose(b'x' * 200)
                        latencies.append(time.perf_counter() - before)
                    cpu = time.process_time() - cpu
                    started = time.perf_counter()
                    async with anyio.create_task_group() as commit_tasks:
                        for at in range(commits * 5):
                            commit_tasks.start_soon(leader.propose, b'y' * 200)
                    rate = commits * 5 / (time.perf_counter() - started)
                    leader_lost_at = time.perf_counter()
                    term = leader.term
                    scope = group.scopes.pop(leader.vm)
                    scope.cancel()
                    group.network.handlers[leader.vm] = {}
                    group.replicas.pop(leader.vm)
                    while replicas > 2 and (
                        group.leader() is None or group.leader().term <= term
                    ):
                        await anyio.sleep(0.02)
                    new_leader_seconds = time.perf_counter() - leader_lost_at
                tasks.cancel_scope.cancel()
        latencies.sort()
        return {
            'p50_ms': statistics.median(latencies) * 1000,
            'p99_ms': latencies[int(len(latencies) * 0.99)] * 1000,
            'cpu_ms': cpu / commits * 1000,
            'together_per_second': rate,
            'elected_seconds': election_seconds,
            'new_leader_seconds': new_leader_seconds if replicas > 2 else 0.0,
        }

    return anyio.run(run)


def fit(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Returns the slope, the intercept and R² of a linear fit."""
    xs, ys = zip(*points, strict=True)
    line = statistics.linear_regression(xs, ys)
    r_squared = statistics.correlation(xs, ys) ** 2 if len(set(ys)) > 1 else 1
    return line.slope, line.intercept, r_squared
