"""Steps for load polling that is divided among the VMs of a region."""

import functools
import random

import anyio
import behave

from features import fakes
from greengagegw import backend_pool
from greengagegw import errors
from greengagegw import load_polling
from greengagegw.ports import backends
from greengagegw import settings as settings_module
from greengagegw import timers as timer_service

FAILURE_DETECTION_SECONDS = 5.0


class FakeServer:
    """A backend server that counts its polls.

    :ivar unreachable_from: VMs whose polls fail.
    """

    def __init__(self):
        self.polls = 0
        self.is_leaving = False
        self.unreachable_from = set()


class FakePort:
    """The connection of one VM to a backend server."""

    def __init__(self, vm, server, timers):
        self.vm = vm
        self.server = server
        self.timers = timers

    async def fetch_load(self):
        await self.timers.sleep(0.01)
        if self.vm in self.server.unreachable_from:
            raise errors.BackendError('unreachable')
        self.server.polls += 1
        return backends.LoadReport(
            self.timers.now(), 3, 1, self.server.is_leaving
        )


class Region(fakes.Fleet):
    """The VMs of one region, with its backend servers."""

    def __init__(self, count, servers):
        self.rng = random.Random(7)
        self.timers = timer_service.ManualTimers()
        self.network = fakes.FakeNetwork(self.timers, self.rng)
        self.vms = [f'vm-{index}' for index in range(count)]
        self.servers = {
            f'runner-{index}': FakeServer() for index in range(servers)
        }
        self.pollers = {}
        self.scopes = {}
        self.unavailable_since = {}

    def start(self, vm):
        settings = make_settings(vm, self.vms, self.servers)
        known = backend_pool.BackendPool(
            settings,
            self.timers,
            lambda one: FakePort(vm, self.servers[one.name], self.timers),
        )
        poller = load_polling.LoadPoller(
            settings,
            known,
            self.network.mesh(vm),
            self.timers,
            functools.partial(self.alive_vms, vm),
        )
        self.pollers[vm] = poller
        self.network.handlers[vm] = poller.handlers()
        self.tasks.start_soon(self.run, vm, poller)

    async def run(self, vm, poller):
        with anyio.CancelScope() as scope:
            self.scopes[vm] = scope
            await poller.run()

    def alive_vms(self, vm):
        """Returns the VMs that one considers alive, with a detection delay."""
        now = self.timers.now()
        if (
            now - self.unavailable_since.get(vm, now)
            > FAILURE_DETECTION_SECONDS
        ):
            return [vm]
        return [
            one
            for one in self.vms
            if now - self.unavailable_since.get(one, now)
            <= FAILURE_DETECTION_SECONDS
        ]

    def reports(self, name):
        return {
            vm: self.pollers[vm].pool.by_name[name]
            for vm in self.vms
            if not self.scopes[vm].cancel_called
        }


def make_settings(vm, vms, servers):
    def listener(port):
        return {'host': '127.0.0.1', 'port': port}

    return settings_module.check(
        {
            'deployment': 'guild',
            'vm': vm,
            'callers': listener(0),
            'operators': listener(0),
            'peer_secret': 'a secret of the tests',
            'data_folder': 'unused',
            'peers': [
                {
                    'vm': one,
                    'region': 'coastal',
                    'failure_domain': 'a',
                    'disk': True,
                    'host': '127.0.0.1',
                    'port': 1 + index,
                    'callers_url': 'http://127.0.0.1:1',
                }
                for index, one in enumerate(vms)
            ],
            'backend_servers': [
                {
                    'name': name,
                    'service': 'judge-assist',
                    'kind': 'model',
                    'region': 'coastal',
                    'url': 'http://127.0.0.1:2',
                    'slots': 8,
                }
                for name in servers
            ],
        },
        vm,
    )


@behave.given(
    '{count:d} VMs with {servers:d} backend servers that ran for'
    ' {seconds:d} seconds'
)
def configure_region(context, count, servers, seconds):
    context.region_size = (count, servers)
    context.seconds = seconds
    context.events = []


def run_region(context, check):
    async def run():
        region = Region(*context.region_size)
        async with region.running():
            await region.timers.advance(context.seconds)
            for event in context.events:
                await event(region)
            await check(region)

    anyio.run(run)


@behave.then(
    'each backend server was polled at most {max_rate:g} times a second'
)
def check_polls(context, max_rate):
    async def check(region):
        for server in region.servers.values():
            rate = server.polls / context.seconds
            assert 0 < rate <= max_rate, rate

    run_region(context, check)


@behave.then('no load report on any VM is older than {seconds:d} seconds')
def check_report_ages(context, seconds):
    async def check(region):
        now = region.timers.now()
        for name in region.servers:
            for vm, server in region.reports(name).items():
                assert server.report is not None, (vm, name)
                assert now - server.report.received_at <= seconds, (vm, name)
                assert server.report.running == 3

    run_region(context, check)


def assigned_poller(region, name='runner-7'):
    return load_polling.assigned_vm(name, region.vms)


async def leave(region):
    region.servers['runner-7'].is_leaving = True


async def crash_poller(region):
    vm = assigned_poller(region)
    region.scopes[vm].cancel()
    region.network.handlers[vm] = {}
    region.unavailable_since[vm] = region.timers.now()


async def cut_poller(region):
    vm = assigned_poller(region)
    region.network.cut([vm], [one for one in region.vms if one != vm])
    region.unavailable_since[vm] = region.timers.now()


async def disconnect_poller(region):
    region.servers['runner-7'].unreachable_from.add(assigned_poller(region))


async def lose_messages(region):
    region.network.faults.loss_rate = 0.33


EVENTS = {
    'runner-7': [leave],
    'the poller of runner-7 crashes, and it': [crash_poller, leave],
    'the poller of runner-7 is cut off, and it': [cut_poller, leave],
    'the poller cannot reach runner-7, and it': [disconnect_poller, leave],
    'a third of the messages is lost, and it': [lose_messages, leave],
}


@behave.when('{who} leaves')
def plan_event(context, who):
    context.events += EVENTS[who]


@behave.when(
    'runner-7 leaves and an older report that it does not is delivered late'
)
def plan_late_report(context):
    async def deliver_late(region):
        await leave(region)
        await region.timers.advance(2)
        row = [load_polling.name_digest('runner-7'), 3, 1, False, 5000]
        for poller in region.pollers.values():
            await poller.on_reports('vm-0', [row])

    context.events.append(deliver_late)


@behave.when('the poller of runner-7 crashed {seconds:d} seconds ago')
def plan_crash(context, seconds):
    async def wait(region):
        await region.timers.advance(seconds)

    context.events += [crash_poller, wait]


@behave.then(
    'runner-7 is polled at most {max_rate:g} times a second from then on'
)
def check_polled_later(context, max_rate):
    async def check(region):
        server = region.servers['runner-7']
        before = server.polls
        await region.timers.advance(10)
        assert 0 < (server.polls - before) / 10 <= max_rate, server.polls

    run_region(context, check)


@behave.when(
    'a VM receives a report of a backend server that it does not have'
)
def plan_unknown_report(context):
    async def deliver(region):
        row = [load_polling.name_digest('runner-x'), 9, 9, True, 0]
        await region.pollers['vm-0'].on_reports('vm-1', [row])

    context.events.append(deliver)


@behave.then(
    'within {seconds:d} seconds every VM sees that runner-7 is leaving'
)
def check_leaving(context, seconds):
    async def check(region):
        await region.timers.advance(seconds)
        for vm, server in region.reports('runner-7').items():
            assert server.is_leaving, vm

    run_region(context, check)
