"""A fake fleet that shares an allowance in fake time, and what it spends."""

import random

import anyio

from features import fakes
from greengagegw.allowance import lease as leases
from greengagegw.allowance import quota_allocator
from greengagegw.allowance import quota_client
from greengagegw.control import view as views
from greengagegw import errors
from greengagegw import table as tables
from greengagegw import timers as timer_service

RATE = 1000.0
BURST = 3000.0
TABLE = f'kind,name,rate,burst\norganisation,o,{RATE},{BURST}\n'


class Member:
    """The lease, quota allocator and quota client of one VM."""

    def __init__(self, fleet, vm, region):
        self.vm = vm
        self.region = region
        self.mesh = fleet.network.mesh(vm)
        self.view = views.ConfigurationView()
        self.view.configuration.table = tables.parse(TABLE)
        self.view.configuration.table_revision = 1
        self.view.configuration.revision = 1
        by_region = fleet.by_region
        self.leases = []
        handlers = {}
        for one in by_region:
            voters = leases.choose_voters(one, by_region)
            if vm in (*voters, *by_region[one]):
                lease = leases.RegionLease(
                    one,
                    vm,
                    tuple(by_region[one]),
                    voters,
                    self.mesh,
                    fleet.timers,
                    fleet.rng,
                )
                handlers.update(lease.handlers())
                self.leases.append(lease)
                if one == region:
                    self.lease = lease
        regions = tuple(by_region)
        self.quota_allocator = quota_allocator.QuotaAllocator(
            self.lease,
            self.view,
            fleet.timers,
            quota_allocator.make_share(regions),
        )
        handlers.update(self.quota_allocator.handlers())
        self.quota_client = quota_client.QuotaClient(
            region,
            regions,
            lambda name: list(by_region[name]),
            self.mesh,
            fleet.timers,
        )
        self.handlers = handlers


class Fleet(fakes.Fleet):
    """VMs of several regions that share the allowance of one organisation.

    :ivar spent: time and tokens of each request that was served.
    :ivar rejected: time and tokens of each request that was rejected.
    """

    def __init__(self, vm_counts=(3, 2, 2), seed=1):
        self.rng = random.Random(seed)
        self.timers = timer_service.ManualTimers()
        self.network = fakes.FakeNetwork(self.timers, self.rng)
        names = ('coastal', 'piedmont', 'ridge', 'valley')
        self.by_region = {
            region: [f'{region}-{at}' for at in range(count)]
            for region, count in zip(names, vm_counts, strict=False)
        }
        self.members = {}
        self.scopes = {}
        self.spent = []
        self.rejected = []
        self.rate = RATE
        self.burst = BURST

    @property
    def vms(self):
        return [vm for vms in self.by_region.values() for vm in vms]

    def start(self, vm):
        region = vm.split('-')[0]
        member = self.members[vm] = Member(self, vm, region)
        self.network.handlers[vm] = member.handlers
        self.tasks.start_soon(self.run, vm, member)

    async def run(self, vm, member):
        with anyio.CancelScope() as scope:
            self.scopes[vm] = scope
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(member.lease.run)
                tasks.start_soon(member.quota_client.run)

    def crash(self, vm):
        self.network.handlers[vm] = {}
        if vm in self.scopes:
            self.scopes.pop(vm).cancel()
        self.members.pop(vm, None)

    def ask(self, vm, tokens, used=None, wait=2.0):
        """Starts a request for tokens in the background.

        :param used: tokens that the request uses; all if it is None.
        :param wait: seconds that the request may wait.
        """
        if vm in self.members:
            self.tasks.start_soon(self.ask_one, vm, tokens, used, wait)

    async def ask_one(self, vm, tokens, used, wait):
        member = self.members[vm]
        try:
            reservation = await member.quota_client.reserve(
                'o', tokens, self.rate, wait
            )
        except errors.RateLimitError:
            self.rejected.append((self.timers.now(), tokens))
            return
        used = tokens if used is None else used
        self.spent.append((self.timers.now(), used))
        member.quota_client.refund(reservation, used)

    async def advance(self, seconds):
        while seconds > 1e-9:
            step = min(seconds, 0.05)
            await self.timers.advance(step)
            seconds -= step
            self.check_holders()

    def check_holders(self):
        """Checks that no region has two lease holders."""
        for region in self.by_region:
            held = [
                one.vm
                for one in self.members.values()
                if one.region == region and one.lease.is_held
            ]
            assert len(held) <= 1, held

    def holder(self, region):
        for one in self.members.values():
            if one.region == region and one.lease.is_held:
                return one.vm
        return None

    def check_windows(self):
        """Checks that no window of the spent tokens exceeds rate and burst."""
        spent = sorted(self.spent)
        excess = 0.0
        last = None
        for at, tokens in spent:
            if last is not None:
                excess = max(0.0, excess - self.rate * (at - last))
            excess += tokens
            last = at
            assert excess <= self.burst + 1e-6, (at, excess)

    def total(self, since=0.0):
        return sum(tokens for at, tokens in self.spent if at >= since)
