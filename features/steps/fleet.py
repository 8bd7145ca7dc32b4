"""Steps for the membership and configuration of a simulated fleet."""

import functools

import behave
import orjson

from features import fleet_world
from greengagegw import errors
from greengagegw.fleet import fleet_summary
from greengagegw.fleet import members
from greengagegw.fleet import store as stores
from greengagegw.fleet import timing


def in_fleet(step):
    """Runs a step in the event loop of the simulated fleet."""

    @functools.wraps(step)
    def wrapped(context, *arguments, **values):
        return context.portal.call(
            functools.partial(step, context, *arguments, **values)
        )

    return wrapped


@behave.given('a fleet of {controls:d} control VMs and {entries:d} entry VMs')
def given_fleet(context, controls, entries):
    world = fleet_world.FleetWorld(controls, entries)
    manager = context.portal.wrap_async_context_manager(world.running())
    context.fleet = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.portal.call(context.fleet.timers.advance, 8.0)


@behave.given('the fleet holds version {version:d}')
@in_fleet
async def given_version(context, version):
    assert await context.fleet.put(version) == [True, version]
    await context.fleet.timers.advance(1.0)


async def do_nothing(fleet):
    pass


async def kill_control_vms(fleet):
    for vm in fleet.control_vms:
        fleet.crash(vm)
    await fleet.timers.advance(0.5)
    for vm in fleet.control_vms:
        fleet.start(vm)


async def lose_disks(fleet, vms=('a', 'd')):
    for vm in vms:
        fleet.crash(vm, loses_disk=True)
    await fleet.timers.advance(1.0)
    for vm in vms:
        fleet.start(vm)


async def replace_vm(fleet):
    fleet.crash('e', loses_disk=True)
    fleet.control_vms.append('f')
    fleet.started_before.add('f')
    await fleet.timers.advance(1.0)
    fleet.start('f')


async def change_seeds(fleet):
    fleet.seeds = ('d', 'e', 'b')
    fleet.crash('e')
    await fleet.timers.advance(1.0)
    fleet.start('e')


async def leave_last_entry_vm(fleet):
    fleet.entry_states['e1'] = members.EntryState.LEAVING


async def hang_disk(fleet):
    leader = fleet.leader()
    lock = leader.storage_lock
    await lock.acquire()
    leader.storage_held_since = fleet.timers.now()
    await fleet.timers.advance(5.0)
    assert not leader.is_leader
    leader.storage_held_since = None
    lock.release()


async def send(fleet, version, **changes):
    outcome = await fleet.put(version, **changes)
    assert not isinstance(outcome, errors.GatewayError), outcome


async def send_other_content(fleet):
    other = [fleet_world.route(pathPrefix='/other/')]
    await send(fleet, 5, routes=other)


async def send_concurrently(fleet):
    for version, vm in ((8, 'a'), (9, 'b')):
        command = stores.put_command(
            version, orjson.dumps(fleet_world.document(version))
        )
        fleet.tasks.start_soon(fleet.controls[vm].submit, command)
    await fleet.timers.advance(1.0)


async def send_and_lose_reply(fleet):
    for _ in range(3):
        await send(fleet, 9)


async def send_and_kill(fleet):
    await send(fleet, 9)
    await kill_control_vms(fleet)


async def send_and_lose_disks(fleet):
    await send(fleet, 9)
    await lose_disks(fleet, tuple(fleet.control_vms[:2]))


async def cut_off_entry_vm(fleet):
    fleet.network.cut(['e1'], fleet.control_vms)


async def freeze_entry_vm(fleet):
    # The timers of a frozen VM stop, but its boot clock goes on.
    fleet.network.cut(['e1'], fleet.control_vms)
    fleet.boot_offset += 4.0


async def cut_off_with_control_vm(fleet):
    fleet.agents['e1'].preferred_control_vm = 'e'
    fleet.network.cut(['e'], ['a', 'b', 'c', 'd'])
    fleet.network.cut(['e1'], ['a', 'b', 'c', 'd'])


async def kill_entry_vm(fleet):
    fleet.crash('e2')


async def leave_entry_vm(fleet):
    fleet.entry_states['e2'] = members.EntryState.LEAVING


EVENTS = {
    'nothing happens': do_nothing,
    'the only entry VM of a region leaves': leave_last_entry_vm,
    'all control VMs are killed at once': kill_control_vms,
    'two control VMs lose their disks': lose_disks,
    'e is gone for good and f comes for it': replace_vm,
    'the seeds are exchanged and e restarts': change_seeds,
    "the leader's disk hangs": hang_disk,
    'version 9 is sent': functools.partial(send, version=9),
    'version 3 is sent': functools.partial(send, version=3),
    'version 5 is sent with other content': send_other_content,
    'versions 8 and 9 are sent to two VMs': send_concurrently,
    'version 9 is sent and its answer is lost': send_and_lose_reply,
    'version 9 is sent and all are killed': send_and_kill,
    'version 9 is sent and two disks are lost': send_and_lose_disks,
    'entry VM e1 is cut off': cut_off_entry_vm,
    'entry VM e1 is frozen': freeze_entry_vm,
    'entry VM e1 is near a cut off control VM': cut_off_with_control_vm,
    'entry VM e2 is killed': kill_entry_vm,
    'entry VM e2 leaves': leave_entry_vm,
}


@behave.when('in the fleet {event}')
@in_fleet
async def when_event(context, event):
    await EVENTS[event](context.fleet)


@behave.then('within {seconds:g} seconds the fleet has {vms} voters')
@in_fleet
async def then_voters(context, seconds, vms):
    fleet = context.fleet
    found = None
    for _ in range(int(seconds / 0.25)):
        leader = fleet.leader()
        found = None if leader is None else sorted(leader.members.voters)
        if found == vms.split() and leader.is_caught_up:
            return
        await fleet.timers.advance(0.25)
    raise AssertionError(f'the voters are {found}')


@behave.then('the fleet accepts a configuration')
@in_fleet
async def then_accepts(context):
    outcome = await context.fleet.put(7)
    assert outcome == [True, 7], outcome


@behave.when(
    'all control VMs but one are down and come back without their disks'
)
@in_fleet
async def when_disks_lost(context):
    fleet = context.fleet
    for vm in ('a', 'b', 'c'):
        fleet.crash(vm, loses_disk=vm != 'c')
    await fleet.timers.advance(1.0)
    for vm in ('a', 'b', 'c'):
        fleet.start(vm)


@behave.when('the seeds come back without their disks and the others are down')
@in_fleet
async def when_seeds_lost(context):
    fleet = context.fleet
    for vm in fleet.control_vms:
        fleet.crash(vm, loses_disk=vm in fleet.seeds)
    await fleet.timers.advance(1.0)
    for vm in fleet.seeds:
        fleet.start(vm)


@behave.then('for {seconds:d} seconds no control VM of the fleet leads')
@in_fleet
async def then_none_leads(context, seconds):
    for _ in range(seconds * 4):
        await context.fleet.timers.advance(0.25)
        assert context.fleet.leader() is None


@behave.then('no control VM of the fleet confirms a read')
@in_fleet
async def then_no_read(context):
    for control in context.fleet.controls.values():
        outcome = await context.fleet.wait_for(control.read, 5.0)
        assert isinstance(outcome, errors.GatewayError), outcome


@behave.then(
    'within {seconds:g} seconds every entry VM has version {version:d}'
)
@in_fleet
async def then_version(context, seconds, version):
    fleet = context.fleet
    highest = dict.fromkeys(fleet.agents, -1)
    for _ in range(int(seconds / 0.05)):
        await fleet.timers.advance(0.05)
        for vm, agent in fleet.agents.items():
            assert agent.view.version >= highest[vm], 'a version went back'
            highest[vm] = agent.view.version
    assert set(highest.values()) == {version}, highest


@behave.when('control VMs d and e of the fleet are cut off')
@in_fleet
async def when_cut(context):
    context.fleet.network.cut(['d', 'e'], ['a', 'b', 'c'])
    await context.fleet.timers.advance(6.0)


@behave.when('version {version:d} is sent to the fleet')
@in_fleet
async def when_sent(context, version):
    await send(context.fleet, version, vm='a')


@behave.then('control VM {vm} of the fleet does not confirm a read')
@in_fleet
async def then_not_confirmed(context, vm):
    control = context.fleet.controls[vm]
    outcome = await context.fleet.wait_for(control.read, 5.0)
    assert isinstance(outcome, errors.GatewayError), outcome


@behave.when('control VM {vm} of the fleet has just restarted')
@in_fleet
async def when_just_restarted(context, vm):
    fleet = context.fleet
    fleet.crash(vm)
    await fleet.timers.advance(1.0)
    fleet.start(vm)
    await fleet.timers.advance(0.05)


@behave.when('control VM {vm} of the fleet takes a follower for the leader')
@in_fleet
async def when_leader_is_stale(context, vm):
    fleet = context.fleet
    follower = next(
        one
        for one in fleet.control_vms
        if one != vm and not fleet.replicas[one].is_leader
    )
    fleet.replicas[vm].leader = follower


@behave.then('control VM {vm} of the fleet reads version {version:d}')
@in_fleet
async def then_reads(context, vm, version):
    control = context.fleet.controls[vm]
    store = await context.fleet.wait_for(control.read, 5.0)
    assert store.version == version, store


@behave.then(
    '{seconds:g} seconds later entry VM {vm} of the fleet accepts no keys'
)
@in_fleet
async def then_no_keys(context, seconds, vm):
    fleet = context.fleet
    assert fleet.agents[vm].view.version == 5
    await fleet.timers.advance(seconds)
    assert not fleet.agents[vm].has_lease
    other = fleet.agents['e2']
    assert other.has_lease and other.view.version == 9


@behave.when('the leader of the fleet is killed')
@in_fleet
async def when_leader_killed(context):
    context.fleet.crash(context.fleet.leader().vm)


@behave.then('for {seconds:d} seconds the entry VMs of the fleet accept keys')
@in_fleet
async def then_keys(context, seconds):
    for _ in range(seconds * 10):
        await context.fleet.timers.advance(0.1)
        for agent in context.fleet.agents.values():
            assert agent.has_lease


@behave.then('within {seconds:g} seconds every look-up returns {entries}')
@in_fleet
async def then_look_up(context, seconds, entries):
    fleet = context.fleet
    await fleet.timers.advance(seconds)
    expected = [f'{vm}:80' for vm in entries.split()]
    for control in fleet.controls.values():
        found = members.choose_entry_vm_addresses(
            control.registry.live_entry_vms(fleet.timers.now()),
            'a',
            'a-1',
            frozenset(),
            64,
        )
        assert found == expected, found


@behave.when('{seconds:d} seconds pass in the fleet')
@in_fleet
async def when_time_passes(context, seconds):
    fleet = context.fleet
    fleet.list_reads = 0
    fleet.network.calls.clear()
    await fleet.timers.advance(seconds)


@behave.then('the instance list was read at most {max_reads:d} times')
def then_reads_bounded(context, max_reads):
    assert 0 < context.fleet.list_reads <= max_reads, context.fleet.list_reads


@behave.then('every entry VM of the fleet knows instance {name}')
def then_instance_known(context, name):
    for agent in context.fleet.agents.values():
        assert name in agent.view.instances


@behave.then(
    'each entry VM of the fleet sent at most {max_messages:d} messages'
)
def then_messages(context, max_messages):
    calls = context.fleet.network.calls
    sent = calls['fleet.poll'] + calls['fleet.beat'] + calls['fleet.take']
    mean = sent / len(context.fleet.agents)
    assert 0 < mean <= max_messages, mean


@behave.given(
    'an organisation of {rate:d} tokens a second with a burst of {burst:d}'
)
@in_fleet
async def given_rate(context, rate, burst):
    limited = fleet_world.tenant(ratePerS=rate, burst=burst)
    assert await context.fleet.put(6, tenants=[limited]) == [True, 6]
    await context.fleet.timers.advance(3.0)
    context.rate, context.burst = rate, burst


def make_requester(context):
    """Returns a function that requests tokens and records the outcome."""
    fleet = context.fleet
    context.granted_tokens = []
    context.requested_sizes = []
    context.rejection_seconds = []

    async def request(agent, size):
        requested_at = fleet.timers.now()
        context.requested_sizes.append(size)
        try:
            await agent.quota_client.acquire('org', size)
        except errors.GatewayError:
            context.rejection_seconds.append(fleet.timers.now() - requested_at)
            return
        context.granted_tokens.append((fleet.timers.now(), size))

    return request


@behave.when(
    'for {seconds:d} seconds {demand:d} tokens a second are requested at'
    ' {count:d} VMs'
)
@in_fleet
async def when_requested(context, seconds, demand, count):
    fleet = context.fleet
    request = make_requester(context)
    size = 500

    pause = size * count / demand
    for _ in range(int(seconds / pause)):
        for agent in fleet.agents.values():
            fleet.tasks.start_soon(request, agent, size)
        await fleet.timers.advance(pause)
    context.seconds = seconds


@behave.then(
    'in every {window:d} seconds at most {max_tokens:d} tokens were granted'
)
def then_bounded(context, window, max_tokens):
    granted = context.granted_tokens
    for at, _ in granted:
        total = sum(one for when, one in granted if at <= when < at + window)
        assert total <= max_tokens, total


@behave.then('at least {share:d} percent of the tokens due were granted')
def then_due(context, share):
    due = min(sum(context.requested_sizes), context.rate * context.seconds)
    total = sum(one for _, one in context.granted_tokens)
    assert total * 100 >= due * share, (total, due)


@behave.given('its quota allows a debt of {tokens:d} tokens')
def given_max_debt(context, tokens):
    for control in context.fleet.controls.values():
        control.quota_allocator.max_debt = tokens


@behave.when(
    'for {seconds:d} seconds requests of {small:d} and of {large:d} tokens'
    ' need {times:d} times the rate'
)
@in_fleet
async def when_sizes(context, seconds, small, large, times):
    fleet = context.fleet
    request = make_requester(context)

    # One large request for every nine small ones.
    pause = (small * 9 + large) / 10 / (context.rate * times)
    agents = list(fleet.agents.values())
    for _ in range(int(seconds / pause)):
        size = large if fleet.rng.random() < 0.1 else small
        fleet.tasks.start_soon(request, fleet.rng.choice(agents), size)
        await fleet.timers.advance(pause)
    context.sizes = (small, large)


@behave.then('large requests were served at least half as often as small ones')
def then_large_not_starved(context):
    granted = [size for _, size in context.granted_tokens]
    small, large = (
        granted.count(size) / context.requested_sizes.count(size)
        for size in context.sizes
    )
    assert large >= small / 2, (small, large)


@behave.given('messages of the fleet take {seconds:g} seconds')
def given_delay(context, seconds):
    context.fleet.network.delay_seconds = seconds


@behave.when(
    'for {seconds:d} seconds bursts of {count:d} requests of {size:d} tokens'
    ' need half the rate'
)
@in_fleet
async def when_bursts(context, seconds, count, size):
    fleet = context.fleet
    request = make_requester(context)
    context.seconds = seconds

    agents = list(fleet.agents.values())
    pause = count * size / (context.rate / 2)
    for _ in range(int(seconds / pause)):
        agent = fleet.rng.choice(agents)
        for _ in range(count):
            fleet.tasks.start_soon(request, agent, size)
        await fleet.timers.advance(pause)
    await fleet.timers.advance(1.0)


@behave.then(
    'at least half of the rejections took less than {seconds:g} seconds'
)
def then_rejected_soon(context, seconds):
    rejection_seconds = sorted(context.rejection_seconds)
    assert rejection_seconds[len(rejection_seconds) // 2] < seconds, (
        rejection_seconds[::50]
    )


@behave.when(
    '{count:d} requests of {size:d} tokens arrive at each entry VM at once'
)
@in_fleet
async def when_first_burst(context, count, size):
    fleet = context.fleet
    await fleet.timers.advance(2.0)
    request = make_requester(context)

    for agent in fleet.agents.values():
        for _ in range(count):
            fleet.tasks.start_soon(request, agent, size)
    await fleet.timers.advance(1.0)


@behave.then('every request got its tokens')
def then_all_granted(context):
    assert not context.rejection_seconds, context.rejection_seconds


@behave.when(
    'for {seconds:d} seconds requests of {small:d} and of {large:d} tokens'
    ' need half the rate'
)
@in_fleet
async def when_mixed(context, seconds, small, large):
    fleet = context.fleet
    request = make_requester(context)
    context.seconds = seconds

    agents = list(fleet.agents.values())
    spent = 0
    while spent < context.rate / 2 * seconds:
        size = large if fleet.rng.random() < 0.25 else small
        fleet.tasks.start_soon(request, fleet.rng.choice(agents), size)
        spent += size
        await fleet.timers.advance(size / (context.rate / 2))
    await fleet.timers.advance(1.0)


@behave.then(
    'the loads of its servers are reported within {seconds:g} seconds'
)
@in_fleet
async def then_region_loads(context, seconds):
    fleet = context.fleet
    await fleet.timers.advance(seconds)
    for control in fleet.controls.values():
        reported = control.region_loads()
        assert reported == {'a': {'engine': fleet_world.ENGINE_LOAD}}, reported


@behave.when(
    'the entry VMs of home regions a and b are {homes} and those of c {others}'
)
def when_states(context, homes, others):
    context.entries = [
        members.EntryVm(
            region, region, region, f'{region}-1', members.EntryState(state)
        )
        for region, state in (('a', homes), ('b', homes), ('c', others))
    ]


@behave.then(
    'a look-up from {region} for these home regions returns those of {named}'
)
def then_look_up_homes(context, region, named):
    found = members.choose_entry_vm_addresses(
        context.entries, region, f'{region}-1', frozenset({'a', 'b'}), 64
    )
    assert found == named.split(), found


@behave.given('a control VM with {count:d} entry VMs')
def given_summaries(context, count):
    context.registry = members.EntryVmRegistry(timing.ENTRY_VM_TIMEOUT_SECONDS)
    context.computed = 0

    def combine():
        context.computed += 1
        return {}

    context.summary_cache = fleet_summary.SummaryCache(
        context.registry, combine
    )
    context.entries = [
        members.EntryVm(
            f'e{at}', f'e{at}:80', 'a', 'a-1', members.EntryState.SERVING
        )
        for at in range(count)
    ]
    for entry in context.entries:
        context.registry.record_heartbeat(entry, 0.0)


@behave.then('their polls of {seconds:d} seconds compute {count:d} summaries')
def then_summaries(context, seconds, count):
    polls = 2 * seconds * len(context.entries)
    for at in range(polls):
        now = seconds * at / polls
        entry = context.entries[at % len(context.entries)]
        assert not context.registry.record_heartbeat(entry, now)
        context.summary_cache.get(now)
    assert context.computed <= count, context.computed
