"""Steps for prompts that crash backend servers."""

import dataclasses

import behave

from features import fleet_world
from features import serving_world
from features.steps.fleet import in_fleet
from features.steps.server_ends import prompt
from greengagegw import errors
from greengagegw.fleet import store as stores
from greengagegw.policy import crash_attribution

LAYOUT = {'a': (3, 3), 'b': (1, 2), 'c': (1, 2)}
CRASHING = 'crashing'
SOUND_PER_SECOND = 8
CLIENT_TIMEOUT_SECONDS = 3.0


@behave.given('the engines of three regions')
def given_engines(context):
    world = serving_world.ServingWorld(
        LAYOUT, routes=[fleet_world.route(maxAttempts=2)]
    )
    world.crashing_segments = {CRASHING}
    manager = context.portal.wrap_async_context_manager(world.running())
    context.serving = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.number = 0
    # Until the loads of the other regions are known.
    context.portal.call(world.timers.advance, 1.0)


@behave.given(
    'the engines of three regions, whose responses end with their connection'
)
def given_unframed(context):
    given_engines(context)
    for engine in context.serving.engines.values():
        engine.closes_orderly = True


@behave.given(
    'sound requests with the segments {segments} every {seconds:g} seconds'
)
def given_rare(context, segments, seconds):
    context.rare = ([*segments.split(', ')], seconds)


@behave.given(
    'the engines of three regions, which need {slowdown:g} times as long'
)
def given_slow(context, slowdown):
    given_engines(context)
    for engine in context.serving.engines.values():
        engine.slowdown = slowdown


@behave.given('kept connections to crashed engines')
def given_kept(context):
    context.serving.has_stale_connections = True


@behave.given('crashing requests whose first segment no other request has')
def given_own_head(context):
    context.crashing_head = 'seldom'


def send(context, profile, *names, has_own=True):
    """Sends a request to the next entry VM."""
    world = context.serving
    number = context.number = context.number + 1
    vm = world.entries[number % len(world.entries)].vm
    if has_own:
        names = (*names, f'own{number}')
    request = world.request(
        number,
        prompt=prompt(*names, output_tokens=24),
        timeout_seconds=CLIENT_TIMEOUT_SECONDS,
    )
    world.start_request(vm, request, objective=0.8, profile=profile)


async def replay(context, rate, seconds, sound_segments=None):
    """Sends crashing requests, and sound ones beside.

    The sound ones have the first segment of the crashing ones, unless that
    is the crashing ones' own.
    """
    world = context.serving
    head = getattr(context, 'crashing_head', 'head')
    rare_segments, rare_interval = getattr(context, 'rare', ((), 1e9))
    counts = dict.fromkeys(('sound', 'crashing', 'rare'), 0)
    rates = {
        'sound': SOUND_PER_SECOND,
        'crashing': rate,
        'rare': 1 / rare_interval,
    }
    start = world.timers.now()
    while (elapsed := world.timers.now() - start) < seconds:
        for kind, per_second in rates.items():
            # The first request comes after an interval.
            if counts[kind] + 1 >= elapsed * per_second:
                continue
            counts[kind] += 1
            if kind == 'crashing':
                send(context, kind, head, CRASHING)
            elif kind == 'rare':
                send(context, kind, *rare_segments, has_own=False)
            else:
                topic = f'topic{counts[kind] % 5}'
                send(context, kind, *(sound_segments or ('head', topic)))
        await world.timers.advance(0.02)


@behave.when(
    'requests with a crashing segment come {rate:g} times a second for'
    ' {seconds:g} seconds'
)
@in_fleet
async def when_come(context, rate, seconds):
    await replay(context, rate, seconds)


def crashing_arrivals(world):
    engines = [*world.engines.values(), *world.ended_engines]
    return sorted(
        at
        for engine in engines
        for at, one in engine.arrivals
        if one.request.prompt is not None
        and CRASHING in {part.name for part in one.request.prompt.segments}
    )


@behave.then(
    'at most {count:d} of them reach an engine later than {seconds:g} seconds'
    ' after the fifth crash'
)
def then_few(context, count, seconds):
    world = context.serving
    assert world.crashes, 'no engine has crashed'
    if len(world.crashes) < 5:
        return
    fifth = sorted(world.crashes)[4]
    late = [at for at in crashing_arrivals(world) if at > fifth + seconds]
    assert len(late) <= count, (len(late), len(world.crashes), fifth)


def list_held(world):
    return [set(one.traits) for one in world.store.holds.values()]


@behave.then('just the crashing segment is held back')
def then_held(context):
    assert list_held(context.serving) == [{CRASHING}], list_held(
        context.serving
    )


@behave.then('nothing is held back')
def then_nothing_held(context):
    world = context.serving
    assert not list_held(world), list_held(world)


def assert_on_time(percent, outcomes):
    on_time = [one for one in outcomes if one.is_on_time]
    assert len(outcomes) >= 20, len(outcomes)
    assert 100 * len(on_time) >= percent * len(outcomes), (
        len(on_time),
        len(outcomes),
        {str(one.error) for one in outcomes if not one.is_on_time},
    )


@behave.then(
    '{percent:d} percent of the sound requests of the last {seconds:g}'
    ' seconds are on time'
)
def then_sound(context, percent, seconds):
    world = context.serving
    now = world.timers.now()
    assert_on_time(
        percent,
        [
            one
            for one in world.outcomes
            if one.profile != 'crashing'
            and now - seconds <= one.sent_at < now - 1.0
        ],
    )


@behave.when(
    'sound requests with that first segment come for {seconds:g} seconds'
)
@in_fleet
async def when_first_segment(context, seconds):
    context.before = len(context.serving.outcomes)
    await replay(context, 0.0, seconds, ('seldom', 'topic'))
    await context.serving.timers.advance(1.0)


@behave.then('{percent:d} percent of them are on time')
def then_on_time(context, percent):
    assert_on_time(percent, context.serving.outcomes[context.before :])


async def crash_all(world, gap_seconds=0.0):
    for engine in list(world.engines.values()):
        if engine.instance.service == 'engine':
            engine.crash()
            await world.timers.sleep(gap_seconds)


async def crash_region(world):
    for engine in list(world.engines.values()):
        instance = engine.instance
        if instance.service == 'engine' and instance.domain == 'a-1':
            engine.crash()


async def crash_one(world):
    engines = [
        one
        for one in world.engines.values()
        if one.instance.service == 'engine' and one.crashed_at is None
    ]
    if engines:
        world.rng.choice(engines).crash()


async def break_connection(world):
    for engine in world.engines.values():
        engine.pending_faults = ['disconnects after 2 events']


async def break_and_crash(world):
    await break_connection(world)
    if world.rng.random() < 0.1:
        await crash_one(world)


async def replace_one(world):
    engines = [
        one
        for one in world.engines.values()
        if one.instance.service == 'engine' and not one.instance.is_leaving
    ]
    engine = world.rng.choice(engines)
    engine.instance = dataclasses.replace(engine.instance, is_leaving=True)
    await world.timers.sleep(1.0)
    engine.crash()


CRASHES = {
    'an engine crashes every 2 seconds': (crash_one, 2.0),
    'all engines crash at once every 5 seconds': (crash_all, 5.0),
    'all engines of a region crash at once every 4 seconds': (
        crash_region,
        4.0,
    ),
    'all engines crash one after the other, 0.3 s apart': (
        lambda world: crash_all(world, 0.3),
        8.0,
    ),
    'connections break every 0.2 seconds': (break_connection, 0.2),
    'connections break and engines crash at times': (break_and_crash, 0.3),
    'engines are replaced every 2 seconds': (replace_one, 2.0),
}


@behave.when('sound requests come for {seconds:g} seconds while {crashes}')
@in_fleet
async def when_ordinary(context, seconds, crashes):
    world = context.serving
    action, interval = CRASHES[crashes]

    async def act():
        while True:
            await world.timers.sleep(interval)
            await action(world)

    world.tasks.start_soon(act)
    await replay(context, 0.0, seconds)
    is_breaking = action is break_connection
    assert is_breaking or len(world.crashes) >= 3, len(world.crashes)


@behave.when('another control VM leads')
@in_fleet
async def when_new_leader(context):
    context.serving.change_leader()


@behave.when('all VMs restart and another one leads')
@in_fleet
async def when_all_and_leader(context):
    world = context.serving
    for entry in world.entries:
        world.restart(entry)
    world.change_leader()
    world.refresh()


@behave.when('{event} after {count:d} crashes')
@in_fleet
async def when_event(context, event, count):
    world = context.serving
    while len(world.crashes) < count:
        send(context, 'crashing', 'head', CRASHING)
        await world.timers.advance(0.2)
    if event == 'another control VM leads':
        world.change_leader()
    else:
        world.has_leader = False
        world.refresh()
        await replay(context, 3.0, 1.0)
        world.has_leader = True
        world.change_leader()


@behave.then('at most {count:d} engines have crashed')
def then_crashes(context, count):
    crashes = context.serving.crashes
    assert len(crashes) <= count, len(crashes)


@behave.when('a VM of an earlier release forwards one')
@in_fleet
async def when_forwarded(context):
    world = context.serving
    context.arrivals = len(crashing_arrivals(world))
    request = world.request('old', prompt=prompt('head', CRASHING, 'own'))
    message = [
        request.pack(), 'org', 'engine', 'r1', 1, 3.0, 0.8, False, 2,
    ]  # fmt: skip
    context.error = None
    try:
        async with serving_world.InMemoryMesh(world).open(
            'b0', 'fleet.serve', message
        ) as stream:
            assert await receive(world, stream) == 'accepted'
            await receive(world, stream)
    except errors.GatewayError as error:
        context.error = error


async def receive(world, stream):
    received = []

    async def run():
        try:
            received.append(await stream.receive())
        except errors.GatewayError as error:
            received.append(error)

    world.tasks.start_soon(run)
    await world.timers.advance(0.5)
    if isinstance(received[0], errors.GatewayError):
        raise received[0]
    return received[0]


@behave.then('it is rejected as not run, with the hold and when to come back')
def then_rejected(context):
    world = context.serving
    error = context.error
    [hold_id] = world.store.holds
    assert isinstance(error, errors.HeldPromptError), error
    assert (error.status, error.run) == (503, errors.NOT_RUN), error
    assert hold_id in error.message and error.retry_after >= 60, error
    assert len(crashing_arrivals(world)) == context.arrivals


@behave.when('the hold is lifted')
@in_fleet
async def when_lifted(context):
    world = context.serving
    [hold_id] = world.store.holds
    world.store.apply(stores.lift_command(hold_id))
    world.refresh()
    await world.timers.advance(1.0)


@behave.then('the next request with the segment reaches an engine')
@in_fleet
async def then_reaches(context):
    world = context.serving
    before = len(crashing_arrivals(world))
    context.crashes = len(world.crashes)
    send(context, 'crashing', 'head', CRASHING)
    await world.timers.advance(1.0)
    assert len(crashing_arrivals(world)) > before
    assert not world.store.holds


@behave.then('the segment is held back again after {count:d} more crashes')
@in_fleet
async def then_held_again(context, count):
    world = context.serving
    for _ in range(30):
        if world.store.holds:
            break
        await replay(context, 2.0, 1.0)
    assert list_held(world) == [{CRASHING}]
    assert len(world.crashes) - context.crashes >= count


@behave.when('servers end: {ends}')
def when_servers_end(context, ends):
    find_culprits(context, ends, {})


@behave.when('{traits} were sound at {at:g}, and servers end: {ends}')
def when_sound_before(context, traits, at, ends):
    find_culprits(context, ends, dict.fromkeys(traits.split('+'), at))


def find_culprits(context, ends, sound_at):
    parsed = []
    for number, end in enumerate(ends.split(', ')):
        server, at, *requests = end.split()
        at = float(at)
        parsed.append(
            crash_attribution.ServerEnd(
                (server, number),
                at,
                tuple(
                    crash_attribution.Interruption(
                        f'r-{number}-{index}',
                        tuple(segments.split('+')),
                        at - float(before),
                        at,
                    )
                    for index, (segments, before) in enumerate(
                        zip(requests[::2], requests[1::2], strict=True)
                    )
                ),
            )
        )
    context.culprits = crash_attribution.find_culprits(parsed, sound_at)


@behave.then('{culprits} is to blame')
def then_to_blame(context, culprits):
    expected = [] if culprits == 'nothing' else [set(culprits.split('+'))]
    found = [set(one.traits) for one in context.culprits]
    assert found == expected, found
