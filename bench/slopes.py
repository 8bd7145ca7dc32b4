"""Measures how what a VM spends grows with the size of the deployment.

Each function returns points of size and cost. The product's own code runs
over the fakes of the tests in fake time, or over loopback where it says so.
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
    """Counts the bytes of calls and answers."""

    def __init__(self, network, vm):
        super().__init__(network, vm)
        network.bytes = 0

    async def call(self, vm, method, message, timeout=None):
        answer = await super().call(vm, method, message, timeout)
        size = len(msgpack.packb(message)) + len(msgpack.packb(answer))
        self.network.bytes += size + 2 * (len(method) + 12)
        return answer


def gossip_cost(regions: int, count: int) -> tuple[float, float]:
    """Returns bytes a second and the share of a core of one VM."""

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
            vms = len(fleet.vms) * GOSSIP_SECONDS
            return fleet.network.bytes / vms, cpu / vms

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
    made = state.Configuration()
    made.table = make_table(organisations)
    made.keys = {
        f'{at:012x}': keys.KeyRecord(
            f'{at:012x}', 'd' * 64, f'organisation-{at % 530}', 1.7e9
        )
        for at in range(key_count)
    }
    return made


def configuration_cost(organisations: int, key_count: int) -> dict:
    """Returns bytes on the wire and in memory, and seconds of a change."""
    tracemalloc.start()
    made = make_configuration(organisations, key_count)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    row = tables.Row('organisation', 'organisation-1', 2.0, 5.0, 5.0)
    event = state.Event(1, put=(row,))
    started = time.process_time()
    for _ in range(50):
        made.apply(event)
    seconds = (time.process_time() - started) / 50
    return {
        'list_bytes': len(msgpack.packb(made.pack())),
        'event_bytes': len(msgpack.packb(event.pack())),
        'memory_bytes': memory,
        'change_seconds': seconds,
    }


def bucket_cost(organisations: int) -> float:
    """Returns the processor seconds of one grant and its settling."""
    buckets = [
        token_bucket.TokenBucket(1e6, 1e7, 0.0) for _ in range(organisations)
    ]
    rounds = 20000
    started = time.process_time()
    for at in range(rounds):
        one = buckets[at % organisations]
        grant = one.issue_grant(1.0, 100.0, 10 + at * 1e-4, 1.5)
        one.settle(grant.grant_id, 90.0)
    return (time.process_time() - started) / rounds


def claim_cost(count: int) -> tuple[float, float]:
    """Returns bytes and processor seconds of one claim with its answer."""
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
    """Returns the seconds in which a real log of entries is read."""

    async def run():
        with tempfile.TemporaryDirectory() as path:
            folder = files.Folder(pathlib.Path(path) / 'g')
            storage = log_storage.Storage(folder)
            await storage.load()
            made = [
                entries.Entry(at, 1, entries.EntryKind.COMMAND, b'x' * 200)
                for at in range(1, count + 1)
            ]
            for start in range(0, count, 500):
                await storage.append(made[start : start + 500])
            await storage.close()
            again = log_storage.Storage(folder)
            started = time.perf_counter()
            await again.load()
            seconds = time.perf_counter() - started
            assert again.last_index == count
            await again.close()
            folder.close()
            return seconds

    return anyio.run(run)


def commit_cost(replicas: int, commits: int = 200) -> dict:
    """Returns latencies of commits on real files, calls being in process.

    The network is the tests' fake one with no delay, in real time.
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
                    elected = time.perf_counter() - started
                    leader = group.leader()
                    found = []
                    cpu = time.process_time()
                    for at in range(commits):
                        before = time.perf_counter()
                        await leader.propose(b'x' * 200)
                        found.append(time.perf_counter() - before)
                    cpu = time.process_time() - cpu
                    started = time.perf_counter()
                    async with anyio.create_task_group() as many:
                        for at in range(commits * 5):
                            many.start_soon(leader.propose, b'y' * 200)
                    rate = commits * 5 / (time.perf_counter() - started)
                    lost = time.perf_counter()
                    term = leader.term
                    scope = group.scopes.pop(leader.vm)
                    scope.cancel()
                    group.network.handlers[leader.vm] = {}
                    group.replicas.pop(leader.vm)
                    while replicas > 2 and (
                        group.leader() is None or group.leader().term <= term
                    ):
                        await anyio.sleep(0.02)
                    again = time.perf_counter() - lost
                tasks.cancel_scope.cancel()
        found.sort()
        return {
            'p50_ms': statistics.median(found) * 1000,
            'p99_ms': found[int(len(found) * 0.99)] * 1000,
            'cpu_ms': cpu / commits * 1000,
            'together_per_second': rate,
            'elected_seconds': elected,
            'new_leader_seconds': again if replicas > 2 else 0.0,
        }

    return anyio.run(run)


def fit(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Returns slope, intercept and the share of variance explained."""
    xs, ys = zip(*points, strict=True)
    line = statistics.linear_regression(xs, ys)
    quality = statistics.correlation(xs, ys) ** 2 if len(set(ys)) > 1 else 1
    return line.slope, line.intercept, quality
