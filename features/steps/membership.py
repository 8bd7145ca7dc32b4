"""Steps for the membership."""

import functools
import random
import types

import anyio
import behave

from features import fakes
from greengagegw.membership import gossip
from greengagegw import timers as timer_service


class Fleet(fakes.Fleet):
    """A fleet of VMs that gossip in fake time."""

    def __init__(self, regions=('a', 'b', 'c'), count=3):
        self.rng = random.Random(7)
        self.timers = timer_service.ManualTimers()
        self.network = fakes.FakeNetwork(self.timers, self.rng)
        self.peers = [
            types.SimpleNamespace(vm=f'{region}-{at}', region=region)
            for region in regions
            for at in range(count)
        ]
        self.regions = tuple(regions)
        self.members = {}
        self.scopes = {}

    @property
    def vms(self):
        return [peer.vm for peer in self.peers]

    def region(self, name):
        return [vm for vm in self.vms if vm.startswith(name)]

    def start(self, vm):
        settings = types.SimpleNamespace(
            vm=vm,
            region=vm.split('-')[0],
            peers=self.peers,
            regions=self.regions,
            vms_by_region={
                name: [peer.vm for peer in self.peers if peer.region == name]
                for name in self.regions
            },
        )
        member = gossip.Gossip(
            settings,
            self.network.mesh(vm),
            self.timers,
            self.rng,
            service_loads=dict,
            revision=lambda: 1,
            pending_withdrawals=set,
            on_withdrawals=None,
        )
        self.members[vm] = member
        self.network.handlers[vm] = member.handlers()
        self.tasks.start_soon(self.run, vm, member)

    async def run(self, vm, member):
        with anyio.CancelScope() as scope:
            self.scopes[vm] = scope
            await member.run()

    def crash(self, vm):
        self.scopes.pop(vm).cancel()
        self.network.handlers[vm] = {}
        del self.members[vm]

    def state(self, observer, vm):
        member = self.members[observer]
        if not member.is_alive(vm):
            return 'silent'
        return 'alive' if member.accepts_clients(vm) else 'leaving'


async def crash(fleet, vm='a-1'):
    fleet.crash(vm)


async def leave(fleet):
    fleet.tasks.start_soon(fleet.members['a-1'].leave)
    await fleet.timers.advance(0.5)


async def restart(fleet):
    fleet.crash('a-1')
    await fleet.timers.advance(1)
    fleet.start('a-1')


async def leave_and_restart(fleet):
    await leave(fleet)
    await restart(fleet)


async def restart_with_clock_behind(fleet):
    fleet.crash('a-1')
    fleet.timers.step_wall_clock(-7200)
    fleet.start('a-1')


async def cut_region(fleet):
    inside = fleet.region('c')
    fleet.network.cut(inside, [vm for vm in fleet.vms if vm not in inside])


async def cut_and_heal(fleet):
    await cut_region(fleet)
    await fleet.timers.advance(60)
    fleet.network.heal()


async def block_sending(fleet):
    others = [vm for vm in fleet.vms if vm != 'a-1']
    fleet.network.cut(['a-1'], others, one_way=True)


async def restart_region(fleet):
    for vm in fleet.region('b'):
        fleet.crash(vm)
    for vm in fleet.region('b'):
        fleet.start(vm)


async def lose_messages(fleet, share):
    fleet.network.faults.loss_rate = share


async def do_nothing(fleet):
    pass


EVENTS = {
    'nothing happens': do_nothing,
    'a-1 crashes': crash,
    'a-0 crashes': functools.partial(crash, vm='a-0'),
    'a-1 leaves': leave,
    'a-1 crashes and starts again': restart,
    'a-1 leaves and starts again': leave_and_restart,
    'a-1 starts again with its clock behind': restart_with_clock_behind,
    'region c is cut off': cut_region,
    'region c is cut off and comes back': cut_and_heal,
    'a-1 can hear but not send': block_sending,
    'all of region b restarts at once': restart_region,
    'a third of the messages is lost': functools.partial(
        lose_messages, share=0.33
    ),
    'a tenth of the messages is lost': functools.partial(
        lose_messages, share=0.1
    ),
}


@behave.given('9 VMs in 3 regions that have gossiped for 20 seconds')
def plan_membership(context):
    context.event = do_nothing


@behave.when('in the membership {event}')
def plan_event(context, event):
    context.event = EVENTS[event]


async def run_event(context, check):
    fleet = Fleet()
    async with fleet.running():
        await fleet.timers.advance(20)
        await context.event(fleet)
        await check(fleet)


@behave.then(
    'within {seconds:d} seconds {observer} considers {vm} to be {state}'
)
def check_seen_state(context, seconds, observer, vm, state):
    async def check_state(fleet):
        await fleet.timers.advance(seconds)
        found = fleet.state(observer, vm)
        assert found == state, found

    anyio.run(run_event, context, check_state)


@behave.then('for 300 seconds every VM considers every other to be alive')
def check_all_alive(context):
    async def check_all(fleet):
        for _ in range(300):
            await fleet.timers.advance(1)
            for observer in fleet.vms:
                for vm in fleet.vms:
                    assert fleet.state(observer, vm) == 'alive', (
                        observer,
                        vm,
                    )

    anyio.run(run_event, context, check_all)


@behave.then('a VM of 12 regions makes no more exchanges than one of 3')
def check_exchanges(context):
    async def count(regions):
        fleet = Fleet(regions)
        async with fleet.running():
            await fleet.timers.advance(60)
            calls = fleet.network.calls
            exchanges = calls['gossip.exchange'] / len(fleet.vms)
            return exchanges, calls['gossip.push'] / len(fleet.vms)

    few, _ = anyio.run(count, 'abc')
    many, pushes = anyio.run(count, 'abcdefghijkl')
    assert few > 60
    assert many <= few * 1.1, (few, many)
    # At most one push follows an exchange.
    assert pushes <= many, (pushes, many)
