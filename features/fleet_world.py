"""A simulated fleet of control VMs and entry VMs, in simulated time."""

import random

import anyio
import orjson

from features import fakes
from greengagegw import errors
from greengagegw.fleet import agent as agents
from greengagegw.fleet import control as controls
from greengagegw.fleet import instances
from greengagegw.fleet import loads
from greengagegw.fleet import members
from greengagegw.fleet import store as stores
from greengagegw.fleet import timing
from greengagegw.platform import documents
from greengagegw.replication import replica as replicas
from greengagegw.replication import storage as log_storage
from greengagegw.serving import end_reports
from greengagegw.serving import retry_budget
from greengagegw import timers as timer_service

REGIONS = {'a-1': 'a', 'b-1': 'b', 'c-1': 'c'}
LEASE_SECONDS = 4.5
RETRIES = retry_budget.RetrySettings(0.2, 50, 10.0)
ENGINE_LOAD = loads.RegionLoad(0.1, 0.05, 50_000.0, 100_000.0)


def route(**changes):
    values = {
        'name': 'r1',
        'host': 'h.example',
        'pathPrefix': '/chat/',
        'kind': 'streaming',
        'timeoutMs': 12000,
        'targetLatencyMs': 1000,
        'priority': 1,
        'service': 'engine',
        'maxAttempts': 2,
        'public': False,
        'sticky': True,
        'resumable': True,
        'gapTargetMs': 600,
        'homeRegions': [],
    }
    return values | changes


def document(version=1, routes=None, tenants=None, **changes):
    values = {
        'version': version,
        'routes': [route()] if routes is None else routes,
        'services': [
            {
                'name': 'engine',
                'healthPath': '/healthz',
                'maxConns': 100,
                'coldStartS': 3.0,
                'coldPerS': 4.0,
                'engine': {'slots': 64, 'kvCapacity': 400000},
            },
            {
                'name': 'desk',
                'healthPath': '/healthz',
                'maxConns': 100,
                'coldStartS': 0.0,
                'coldPerS': 0.0,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [tenant()] if tenants is None else tenants,
    }
    return values | changes


def tenant(**changes):
    values = {
        'name': 'org',
        'apiKeys': ['key-1'],
        'priority': 1,
        'unit': 'token_stream',
        'plainTokens': 200,
        'ratePerS': 0,
        'burst': 0,
        'homeRegions': [],
    }
    return values | changes


def instance(name='i-1', **changes):
    values = {
        'name': name,
        'service': 'engine',
        'address': f'10.0.0.{name[2:]}:80',
        'domain': 'a-1',
        'slots': 64,
        'is_leaving': False,
        'is_cold': False,
        'born': 0,
    }
    return instances.Instance(**(values | changes))


class FleetWorld(fakes.Fleet):
    """Control VMs ``a``, ``b`` ..., and entry VMs ``e1``, ``e2`` ...

    :ivar started_before: VMs that may not bootstrap a group, since this is
        not their first start.
    """

    def __init__(self, control_count=3, entry_count=3, seed=1):
        self.timers = timer_service.ManualTimers()
        self.rng = random.Random(seed)
        self.network = fakes.FakeNetwork(self.timers, self.rng)
        self.founders = ('a', 'b', 'c')
        self.control_vms = [chr(97 + at) for at in range(control_count)]
        self.entry_vms = [f'e{at}' for at in range(1, entry_count + 1)]
        self.vms = [*self.control_vms, *self.entry_vms]
        self.seeds = self.founders
        self.disks = {vm: fakes.FakeDisk(self.rng) for vm in self.control_vms}
        self.started_before = set()
        self.replicas = {}
        self.controls = {}
        self.agents = {}
        self.reporters = {}
        self.retry_budgets = {}
        self.entry_states = dict.fromkeys(
            self.entry_vms, members.EntryState.SERVING
        )
        self.scopes = {}
        self.instance_list = [instance()]
        self.list_reads = 0
        self.is_list_readable = True
        self.boot_offset = 0.0
        self.quota_debt = 0.0
        self.make_store = lambda vm: stores.Store()

    def start(self, vm):
        if vm in self.entry_vms:
            self.start_entry(vm)
        else:
            self.start_control(vm)

    def start_control(self, vm):
        disk = self.disks.setdefault(vm, fakes.FakeDisk(self.rng))
        store = self.make_store(vm)
        replica = replicas.Replica(
            'control',
            vm,
            self.seeds,
            log_storage.Storage(disk),
            replicas.StateMachine(
                store.apply, store.save, store.restore, stores.unpack_command
            ),
            self.network.mesh(vm),
            self.timers,
            self.rng,
            may_bootstrap=vm not in self.started_before,
            min_voters=5,
            timeouts=timing.CONTROL_TIMEOUTS,
            max_lost_disks=2,
        )
        control = controls.ControlServer(
            vm,
            self.timers,
            self.network.mesh(vm),
            replica,
            store,
            self.read_list,
            documents.decode,
            self.quota_debt,
            lambda: self.timers.now() + self.boot_offset,
        )
        self.replicas[vm] = replica
        self.controls[vm] = control
        self.network.handlers[vm] = replica.handlers() | control.handlers()
        self.tasks.start_soon(self.run, vm, replica.run, control.run)

    async def read_list(self):
        self.list_reads += 1
        if not self.is_list_readable:
            raise errors.BackendError('the instance list is not readable')
        return tuple(self.instance_list)

    def start_entry(self, vm):
        def describe():
            entry = members.EntryVm(
                vm, f'{vm}:80', 'a', 'a-1', self.entry_states[vm]
            )
            return entry, {'engine': ENGINE_LOAD}

        agent = agents.Agent(
            self.timers,
            self.network.mesh(vm),
            agents.FleetView(),
            lambda: self.seeds,
            describe,
            documents.decode,
            LEASE_SECONDS,
            self.rng,
            lambda: self.timers.now() + self.boot_offset,
        )
        self.agents[vm] = agent
        budgets = retry_budget.RetryBudgets(RETRIES, self.timers.now())
        budgets.report_soon = agent.report_retries_soon
        agent.report_retries = budgets.report
        self.retry_budgets[vm] = budgets
        reporter = end_reports.EndReporter(
            agent.view, self.timers, self.network.mesh(vm)
        )
        self.reporters[vm] = reporter
        self.network.handlers[vm] = reporter.handlers()
        self.tasks.start_soon(self.run, vm, agent.run, reporter.run)

    async def run(self, vm, *actions):
        with anyio.CancelScope() as scope:
            self.scopes[vm] = scope
            async with anyio.create_task_group() as tasks:
                for action in actions:
                    tasks.start_soon(action)

    def crash(self, vm, loses_disk=False):
        if vm in self.scopes:
            self.scopes.pop(vm).cancel()
        self.network.handlers[vm] = {}
        self.replicas.pop(vm, None)
        self.controls.pop(vm, None)
        self.agents.pop(vm, None)
        self.reporters.pop(vm, None)
        if vm in self.disks:
            self.disks[vm].cut_power()
            if loses_disk:
                self.disks[vm] = fakes.FakeDisk(self.rng)
        self.started_before.add(vm)

    def leader(self):
        leading = [one for one in self.replicas.values() if one.is_leader]
        return max(leading, key=lambda one: one.term, default=None)

    async def put(self, version=1, vm=None, seconds=10.0, **changes):
        """Submits a configuration, and returns its outcome."""
        return await self.submit(
            stores.put_command(
                version, orjson.dumps(document(version, **changes))
            ),
            vm,
            seconds,
        )

    async def submit(self, command, vm=None, seconds=10.0):
        control = self.controls[vm or next(iter(self.controls))]
        return await self.wait_for(lambda: control.submit(command), seconds)

    async def wait_for(self, action, seconds):
        """Advances time until an action ends; returns its result or error."""
        outcome = []

        async def run():
            try:
                outcome.append(await action())
            except errors.GatewayError as error:
                outcome.append(error)

        self.tasks.start_soon(run)
        waited = 0.0
        while not outcome and waited < seconds:
            await self.timers.advance(0.05)
            waited += 0.05
        return outcome[0] if outcome else None
