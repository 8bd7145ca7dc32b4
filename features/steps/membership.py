"""Steps on membership."""

import functools
import random
import types

import anyio
import behave

from features import fakes
from greengagegw.membership import gossip
from greengagegw import timers as timer_service


class Fleet(fakes.Fleet):
    """VMs that gossip in fake time."""

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


async def start_again(fleet):
    fleet.crash('a-1')
    await fleet.timers.advance(1)
    fleet.start('a-1')


async def leave_and_start(fleet):
    await leave(fleet)
    await start_again(fleet)


async def start_behind(fleet):
    fleet.crash('a-1')
    fleet.timers.step_wall(-7200)
    fleet.start('a-1')


async def cut(fleet):
    inside = fleet.region('c')
    fleet.network.cut(inside, [vm for vm in fleet.vms if vm not in inside])


async def cut_and_heal(fleet):
    await cut(fleet)
    await fleet.timers.advance(60)
    fleet.network.heal()


async def mute(fleet):
    others = [vm for vm in fleet.vms if vm != 'a-1']
    fleet.network.cut(['a-1'], others, one_way=True)


async def restart_region(fleet):
    for vm in fleet.region('b'):
        fleet.crash(vm)
    for vm in fleet.region('b'):
        fleet.start(vm)


async def lose(fleet, share):
    fleet.network.faults.lost = share


async def nothing(fleet):
    pass


EVENTS = {
    'nothing happens': nothing,
    'a-1 crashes': crash,
    'a-0 crashes': functools.partial(crash, vm='a-0'),
    'a-1 leaves': leave,
    'a-1 crashes and starts again': start_again,
    'a-1 leaves and starts again': leave_and_start,
    'a-1 starts again with its clock behind': start_behind,
    'region c is cut off': cut,
    'region c is cut off and comes back': cut_and_heal,
    'a-1 can hear but not send': mute,
    'all of region b restarts at once': restart_region,
    'a third of the messages is lost': functools.partial(lose, share=0.33),
    'a tenth of the messages is lost': functools.partial(lose, share=0.1),
}


@behave.given('9 VMs in 3 regions that have gossiped for 20 seconds')
def make(context):
    context.event = nothing


@behave.when('in the membership {event}')
def plan(context, event):
    context.event = EVENTS[event]


async def play(context, last):
    fleet = Fleet()
    async with fleet.running():
        await fleet.timers.advance(20)
        await context.event(fleet)
        await last(fleet)


@behave.then(
    'within {seconds:d} seconds {observer} thinks that {vm} is {state}'
)
def check(context, seconds, observer, vm, state):
    async def check_state(fleet):
        await fleet.timers.advance(seconds)
        found = fleet.state(observer, vm)
        assert found == state, found

    anyio.run(play, context, check_state)


@behave.then('for 300 seconds every VM thinks that every other is alive')
def check_steady(context):
    async def check_all(fleet):
        for _ in range(300):
            await fleet.timers.advance(1)
            for observer in fleet.vms:
                for vm in fleet.vms:
                    assert fleet.state(observer, vm) == 'alive', (
                        observer,
                        vm,
                    )

    anyio.run(play, context, check_all)


@behave.then('a VM of 12 regions makes no more exchanges than one of 3')
def check_cost(context):
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
    # An exchange is followed by one push at most.
    assert pushes <= many, (pushes, many)
