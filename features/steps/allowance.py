"""Steps for the allowance."""

import functools

import anyio
import behave
import hypothesis.strategies

from features import allowance_world
from features import schedules
from greengagegw.allowance import quota_allocator
from greengagegw.allowance import token_bucket
from greengagegw import table as tables

START_SECONDS = 8.0
SECONDS = 30.0
REQUEST_TOKENS = 50


def run(function, *arguments):
    return anyio.run(
        functools.partial(function, *arguments),
        backend_options={'use_uvloop': True},
    )


@behave.given('a fleet of 7 VMs in 3 regions')
def plan_fleet(context):
    context.plan = []
    context.load = 0.0


@behave.given('a fleet of 7 VMs in 3 regions that ask for four times the rate')
def plan_busy_fleet(context):
    context.plan = []
    context.load = 4.0


async def apply_load(fleet, load, seconds):
    """Requests tokens through random VMs.

    :param load: requested tokens as a multiple of the rate.
    """
    per_step = fleet.rate * load * 0.05 / REQUEST_TOKENS
    due = 0.0
    while seconds > 1e-9:
        due += per_step
        while due >= 1:
            due -= 1
            fleet.ask(fleet.rng.choice(fleet.vms), REQUEST_TOKENS, wait=0.5)
        await fleet.advance(0.05)
        seconds -= 0.05


async def every(fleet, load, action, times, pause):
    for at in range(times):
        await action(at)
        await apply_load(fleet, load, pause)


async def crash_holders(fleet, load):
    for _ in range(3):
        down = [fleet.holder(region) for region in fleet.by_region]
        for vm in down:
            if vm is not None:
                fleet.crash(vm)
        await apply_load(fleet, load, 1)
        for vm in down:
            if vm is not None:
                fleet.start(vm)
        await apply_load(fleet, load, 9)


async def restart_each(fleet, load):
    for vm in fleet.vms:
        fleet.crash(vm)
        await apply_load(fleet, load, 0.5)
        fleet.start(vm)
        await apply_load(fleet, load, SECONDS / 7 - 0.5)


async def restart_region(fleet, load):
    await apply_load(fleet, load, 5)
    for vm in fleet.by_region['piedmont']:
        fleet.crash(vm)
        fleet.start(vm)
    await apply_load(fleet, load, 25)


async def cut_region(fleet, load):
    inside = fleet.by_region['coastal']
    outside = [vm for vm in fleet.vms if vm not in inside]
    fleet.network.cut(inside, outside)
    await apply_load(fleet, load, 20)
    fleet.network.heal()
    await apply_load(fleet, load, 10)


async def cut_all_regions(fleet, load):
    for vms in fleet.by_region.values():
        others = [vm for vm in fleet.vms if vm not in vms]
        fleet.network.cut(vms, others)
    await apply_load(fleet, load, 20)
    fleet.network.heal()
    await apply_load(fleet, load, 10)


async def cut_vm(fleet, load):
    vm = fleet.holder('coastal')
    fleet.network.cut([vm], [one for one in fleet.vms if one != vm])
    await apply_load(fleet, load, 20)
    fleet.network.heal()
    await apply_load(fleet, load, 10)


async def block_receiving(fleet, load):
    vm = fleet.holder('coastal')
    others = [one for one in fleet.vms if one != vm]
    fleet.network.cut(others, [vm], one_way=True)
    await apply_load(fleet, load, 20)
    fleet.network.heal()
    await apply_load(fleet, load, 10)


def set_fault(name):
    async def apply(fleet, load):
        setattr(fleet.network.faults, name, 0.2)
        await apply_load(fleet, load, SECONDS)

    return apply


async def freeze_holders(fleet, load):
    for _ in range(2):
        await apply_load(fleet, load, 5)
        # While VMs are frozen no task runs, but their clocks advance.
        fleet.timers.time += 10
    await apply_load(fleet, load, 10)


async def run_without_failure(fleet, load):
    await apply_load(fleet, load, SECONDS)


FAILURES = {
    'nothing fails': run_without_failure,
    'every holder of a lease crashes and restarts': crash_holders,
    'every VM is restarted one after the other': restart_each,
    'all VMs of a region are restarted at once': restart_region,
    'one region is cut off': cut_region,
    'all regions are cut off from each other': cut_all_regions,
    'one VM is cut off': cut_vm,
    'a holder can send but not hear': block_receiving,
    'a fifth of the messages is lost': set_fault('loss_rate'),
    'a fifth of the messages is doubled': set_fault('duplicate_rate'),
    'a fifth of the messages is late': set_fault('delay_rate'),
    'holders are frozen for 10 seconds': freeze_holders,
}


@behave.when('through 30 seconds {failure}')
def plan_failure(context, failure):
    context.plan.append(lambda fleet: FAILURES[failure](fleet, context.load))


async def run_plan(context, final_check, *parts):
    fleet = allowance_world.Fleet()
    async with fleet.running():
        await fleet.advance(START_SECONDS)
        context.started_at = fleet.timers.now()
        for part in (*context.plan, *parts):
            await part(fleet)
        await fleet.advance(3)
        final_check(fleet)


@behave.then('no window of what was spent holds more than allowed')
def check_windows(context):
    def check(fleet):
        fleet.check_windows()
        assert fleet.spent
        context.fleet = fleet

    run(run_plan, context, check)


@behave.then('at least {share:d} percent of the rate was spent')
def check_share(context, share):
    fleet = context.fleet
    seconds = fleet.timers.now() - 3 - context.started_at
    spent = fleet.total(context.started_at) / (fleet.rate * seconds)
    assert spent * 100 >= share, spent


def choose_vm(fleet, how, at):
    if 'one VM' in how:
        return 'ridge-0'
    if 'one region' in how:
        return fleet.rng.choice(fleet.by_region['ridge'])
    if 'a VM that' in how:
        return fleet.vms[int(at / 5) % len(fleet.vms)]
    if 'a region that' in how:
        regions = list(fleet.by_region)
        region = regions[int(at / 5) % len(regions)]
        return fleet.rng.choice(fleet.by_region[region])
    return fleet.rng.choice(fleet.vms)


@behave.when('an organisation sends 80 percent of its rate {how}')
def plan_within_rate(context, how):
    async def send(fleet):
        tokens, used = REQUEST_TOKENS, None
        if 'half the burst' in how:
            tokens = fleet.burst / 2
        elif 'refunded' in how:
            tokens, used = REQUEST_TOKENS * 10, REQUEST_TOKENS
        due = 0.0
        for step in range(800):
            due += fleet.rate * 0.8 * 0.05
            if due >= (used or tokens):
                due -= used or tokens
                at = step * 0.05
                fleet.ask(choose_vm(fleet, how, at), tokens, used)
            await fleet.advance(0.05)

    context.plan.append(send)


async def restart_ridge(fleet):
    """Restarts the VMs of a region and waits for a new lease holder."""
    for vm in fleet.by_region['ridge']:
        fleet.crash(vm)
        fleet.start(vm)
    while fleet.holder('ridge') is None:
        await fleet.advance(0.05)


async def drain_ridge(fleet):
    """Spends all tokens of the region."""
    for _ in range(int(fleet.burst / REQUEST_TOKENS)):
        fleet.ask('ridge-0', REQUEST_TOKENS)
    await fleet.advance(2)
    fleet.spent.clear()
    fleet.rejected.clear()


async def do_nothing(fleet):
    pass


MOMENTS = {
    'with full buckets': do_nothing,
    'right after a restart': restart_ridge,
    'when its tokens are spent': drain_ridge,
}


@behave.when(
    'ridge is cut off {moment}, and asks for {percent:d} percent of the rate'
)
def plan_cut_off(context, moment, percent):
    async def send(fleet):
        await MOMENTS[moment](fleet)
        inside = fleet.by_region['ridge']
        outside = [vm for vm in fleet.vms if vm not in inside]
        fleet.network.cut(inside, outside)
        due = 0.0
        for _ in range(400):
            due += fleet.rate * percent / 100 * 0.05
            while due >= REQUEST_TOKENS:
                due -= REQUEST_TOKENS
                fleet.ask(fleet.rng.choice(inside), REQUEST_TOKENS)
            await fleet.advance(0.05)

    context.plan.append(send)


@behave.then('at most {percent:d} percent of its requests are refused')
def check_refused(context, percent):
    def check(fleet):
        fleet.check_windows()
        total = len(fleet.spent) + len(fleet.rejected)
        assert total > 15
        rejected = 100 * len(fleet.rejected) / total
        assert rejected <= percent, (rejected, total)

    run(run_plan, context, check)


@behave.when(
    "all buckets are full and a VM is granted a region's tokens, unspent"
)
def plan_held(context):
    async def take(fleet):
        # The first request creates a bucket, which then fills.
        for vms in fleet.by_region.values():
            fleet.ask(vms[0], 1)
        await fleet.advance(10)
        vm = (
            'coastal-1'
            if fleet.holder('coastal') != 'coastal-1'
            else ('coastal-2')
        )
        quota_client = fleet.members[vm].quota_client
        found = []

        async def take_all():
            found.append(
                await quota_client.request_grant('o', 'coastal', fleet.burst)
            )

        fleet.tasks.start_soon(take_all)
        await fleet.advance(0.05)
        assert found[0].tokens > fleet.burst / 3 - 10, found
        quota_client.find_pool('o').grants.append(found[0])
        context.vm = vm
        fleet.spent.clear()

    context.plan.append(take)


async def resign_holder(fleet, vm):
    holder = fleet.holder('coastal')
    fleet.tasks.start_soon(fleet.members[holder].lease.resign)
    for _ in range(13):
        await fleet.advance(0.05)
        fleet.members[vm].quota_client.settled.clear()


async def freeze_vm(fleet, vm):
    # Cancelling its tasks stands for the freeze; the other VMs go on.
    fleet.scopes[vm].cancel()
    await fleet.advance(10)


async def cut_holding_vm(fleet, vm):
    fleet.network.cut([vm], [one for one in fleet.vms if one != vm])
    await fleet.advance(1)


async def wait_half(fleet, vm):
    await fleet.advance(0.5)


EVENTS = {
    'half a second passes': wait_half,
    'the holder of the region resigns': resign_holder,
    'the VM alone is frozen for 10 seconds': freeze_vm,
    'the VM is cut off for a second': cut_holding_vm,
}


@behave.when('{event}, and then everything is spent at once')
def plan_event(context, event):
    async def spend(fleet):
        await EVENTS[event](fleet, context.vm)
        quota_client = fleet.members[context.vm].quota_client
        held = quota_client.find_pool('o').available(fleet.timers.now())
        for _ in range(int(held / 20)):
            fleet.ask(context.vm, 20)
        await fleet.timers.settle()
        for _ in range(60):
            for vm in fleet.vms:
                fleet.ask(vm, 20, wait=1.0)
        await fleet.advance(1.2)

    context.plan.append(spend)


@behave.then('at least {share:d} percent of the burst was spent')
def check_burst(context, share):
    spent = context.fleet.total() / context.fleet.burst
    assert spent * 100 >= share, spent


def set_table(fleet, text, revision):
    for member in fleet.members.values():
        member.view.configuration.table = tables.parse(text)
        member.view.configuration.table_revision = revision


@behave.when('the rate is lowered to a tenth while they ask')
def plan_lower(context):
    async def lower(fleet):
        await apply_load(fleet, 4.0, 5)
        text = 'kind,name,rate,burst\norganisation,o,100,300\n'
        set_table(fleet, text, 2)
        fleet.rate, fleet.burst = 100.0, 300.0
        # Tokens granted at the old rate are spent or returned by then.
        await apply_load(fleet, 40.0, 2)
        fleet.spent.clear()
        await apply_load(fleet, 40.0, 20)

    context.plan.append(lower)


@behave.then('no window after that holds more than the new rate allows')
def check_lowered(context):
    def check(fleet):
        fleet.check_windows()
        assert fleet.total() > 1000

    run(run_plan, context, check)


@behave.when('a running request holds {tokens:d} of the 3000 tokens')
def plan_holding(context, tokens):
    async def hold(fleet):
        fleet.ask('piedmont-0', REQUEST_TOKENS)
        # All buckets are full before the request.
        await fleet.advance(5.0)
        fleet.spent.clear()
        fleet.tasks.start_soon(
            functools.partial(
                fleet.members['piedmont-0'].quota_client.reserve,
                'o',
                tokens,
                rate=fleet.rate,
                max_wait_seconds=2.0,
            )
        )
        await fleet.advance(1.0)

    context.plan.append(hold)


@behave.then('one for {tokens:d} more is refused within {seconds:g} seconds')
def check_rejected_early(context, tokens, seconds):
    async def ask(fleet):
        fleet.ask('piedmont-1', tokens)
        await fleet.advance(seconds)
        assert [size for _, size in fleet.rejected] == [tokens]

    run(run_plan, context, lambda fleet: None, ask)


@behave.then('one for {tokens:d} is served within its 2 seconds')
def check_waited_for(context, tokens):
    async def ask(fleet):
        fleet.ask('piedmont-1', tokens)
        await fleet.advance(2.0)
        assert [size for _, size in fleet.spent] == [tokens], fleet.rejected

    run(run_plan, context, lambda fleet: None, ask)


@behave.when('the organisation is removed for 1 second and added again')
def plan_removed(context):
    async def remove(fleet):
        await apply_load(fleet, 4.0, 5)
        set_table(fleet, 'kind,name\n', 2)
        await apply_load(fleet, 4.0, 1)
        set_table(fleet, allowance_world.TABLE, 3)
        await apply_load(fleet, 4.0, 10)

    context.plan.append(remove)


@behave.when('the holder of a region with two VMs crashes for good')
def plan_holder_crash(context):
    async def lose(fleet):
        context.lost = fleet.holder('ridge')
        fleet.crash(context.lost)
        await fleet.advance(10)

    context.plan.append(lose)


@behave.then('the other VM of the region holds the lease')
def check_other_holder(context):
    def check(fleet):
        holder = fleet.holder('ridge')
        assert holder is not None and holder != context.lost, holder

    run(run_plan, context, check)


@behave.when('the voters of a region are restarted within one lease')
def plan_voters(context):
    async def restart(fleet):
        # The holder cannot renew, and restarted voters have lost their
        # votes: without a delay they could grant a second lease.
        holder = fleet.holder('coastal')
        others = [vm for vm in fleet.vms if vm != holder]
        fleet.network.cut([holder], others)
        context.until = fleet.members[holder].lease.held_until
        for vm in others:
            fleet.crash(vm)
            fleet.start(vm)
        context.gained = None
        while context.gained is None and fleet.timers.now() < 1100:
            await fleet.advance(0.05)
            found = fleet.holder('coastal')
            if found not in (None, holder):
                context.gained = fleet.timers.now()

    context.plan.append(restart)


@behave.then('no second holder appears before the first lease has expired')
def check_no_second_holder(context):
    def check(fleet):
        assert context.gained is not None
        assert context.gained >= context.until

    run(run_plan, context, check)


@behave.when('the wall clocks step by an hour and back')
def plan_step(context):
    async def step(fleet):
        await apply_load(fleet, 4.0, 5)
        fleet.timers.step_wall_clock(3600)
        await apply_load(fleet, 4.0, 5)
        fleet.timers.step_wall_clock(-3600)
        await apply_load(fleet, 4.0, 5)

    context.plan.append(step)


@behave.when('the holder of a region resigns')
def plan_resign(context):
    async def resign(fleet):
        holder = context.lost = fleet.holder('coastal')
        await_resign = fleet.members[holder].lease.resign
        fleet.tasks.start_soon(await_resign)
        await fleet.advance(2)
        context.holder = fleet.holder('coastal')

    context.plan.append(resign)


@behave.then('another VM of the region holds the lease within 2 seconds')
def check_resigned(context):
    def check(fleet):
        assert context.holder not in (None, context.lost), context.holder

    run(run_plan, context, check)


ACTIONS = ['ask', 'ask', 'big', 'crash', 'start', 'cut', 'one way', 'heal']
STEPS = hypothesis.strategies.tuples(
    hypothesis.strategies.sampled_from([*ACTIONS, 'lossy', 'freeze']),
    hypothesis.strategies.integers(0, 6),
    hypothesis.strategies.integers(0, 20),
)


async def play_schedule(seed, schedule):
    fleet = allowance_world.Fleet(seed=seed)
    async with fleet.running():
        await fleet.advance(6)
        for action, which, amount in schedule:
            act(fleet, action, fleet.vms[which], amount)
            await apply_load(fleet, 3.0, 0.1 + amount * 0.05)
        fleet.check_windows()


def act(fleet, action, vm, amount):
    others = [one for one in fleet.vms if one != vm]
    if action == 'ask':
        for _ in range(amount):
            fleet.ask(vm, 100, 10 * (amount % 11))
    elif action == 'big':
        fleet.ask(vm, fleet.burst * 0.9, wait=5.0)
    elif action == 'crash':
        fleet.crash(vm)
    elif action == 'start' and vm not in fleet.members:
        fleet.start(vm)
    elif action in ('cut', 'one way'):
        fleet.network.cut([vm], others, one_way=action == 'one way')
    elif action == 'heal':
        fleet.network.heal()
    elif action == 'lossy':
        faults = fleet.network.faults
        faults.loss_rate = faults.duplicate_rate = faults.delay_rate = (
            amount * 0.02
        )
    elif action == 'freeze':
        fleet.timers.time += amount * 0.2


@behave.then(
    '{examples:d} random schedules of {steps:d} steps of the allowance hold'
)
def check_schedules(context, examples, steps):
    def play_one(seed, schedule):
        run(play_schedule, seed, schedule)

    played = schedules.run_schedules(examples, steps, STEPS, play_one)
    assert played >= examples * steps


@behave.given('a full bucket whose tokens are all granted')
def make_bucket(context):
    context.bucket = token_bucket.TokenBucket(100.0, 1000.0, 0.0)
    context.grants = [
        context.bucket.issue_grant(1.0, 600.0, 20.0, 5.0),
        context.bucket.issue_grant(1.0, 600.0, 20.0, 50.0),
    ]
    assert [one.tokens for one in context.grants] == [600.0, 400.0]


@behave.then('it grants nothing while the grants are outstanding')
def check_handed_out(context):
    for now in (20.0, 22.0, 24.9):
        assert context.bucket.issue_grant(0.1, 100.0, now, 5.0) is None, now


@behave.then(
    'it grants refunded tokens, and those that accrue after a grant expired'
)
def check_given_back(context):
    # The first grant has expired and counts as spent.
    assert context.bucket.issue_grant(1.0, 1000.0, 26.0, 5.0).tokens < 111.0
    context.bucket.settle(context.grants[1].grant_id, 150.0)
    assert context.bucket.issue_grant(1.0, 250.0, 26.0, 5.0).tokens == 250.0


@behave.then(
    'the new holder grants nothing until the previous grants have expired'
)
def check_new_holder(context):
    async def check_later(fleet):
        holder = None
        while holder in (None, context.lost):
            await fleet.advance(0.05)
            holder = fleet.holder('coastal')
        new = fleet.members[holder]
        gained = new.lease.held_since
        while True:
            found = await new.quota_allocator.on_exchange(
                holder, [[], [], [['o', 100.0]]]
            )
            if found[0][0]:
                break
            await fleet.advance(0.05)
        waited = fleet.timers.now() - gained
        assert waited >= quota_allocator.GRANT_SECONDS, waited

    async def resign_only(fleet):
        context.lost = fleet.holder('coastal')
        fleet.tasks.start_soon(fleet.members[context.lost].lease.resign)

    context.plan[:] = [resign_only, check_later]
    run(run_plan, context, lambda fleet: None)
