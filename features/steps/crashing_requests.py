"""Steps for plain requests that crash backend servers."""

import dataclasses

import behave

from features import fleet_world
from features import serving_world
from features.steps import crashing_prompts
from features.steps.fleet import in_fleet
from features.steps.server_ends import prompt
from greengagegw import errors

CRASHING_BODY = b'crashing'
LOOKUP_BODY = b'lookup'
SOUND_PER_SECOND = 8
PATHS = {
    'safe': '/desk/x',
    'unsafe': '/book/x',
    'generation': '/chat/x',
}
TENANTS = [
    fleet_world.tenant(),
    fleet_world.tenant(name='other', apiKeys=['key-2']),
]


@behave.given('the servers of three regions')
def given_servers(context):
    routes = [
        fleet_world.route(),
        fleet_world.route(
            name='r2', pathPrefix='/desk/', kind='safe', service='desk'
        ),
        fleet_world.route(
            name='r3', pathPrefix='/book/', kind='unsafe', service='desk'
        ),
    ]
    world = serving_world.ServingWorld(
        crashing_prompts.LAYOUT, routes=routes, tenants=TENANTS
    )
    world.crashing_bodies = {CRASHING_BODY}
    manager = context.portal.wrap_async_context_manager(world.running())
    context.serving = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.number = 0
    # Until the loads of the other regions are known.
    context.portal.call(world.timers.advance, 1.0)


@behave.given(
    'the servers of three regions, which answer with status {status:d}'
)
def given_status(context, status):
    given_servers(context)
    for server in context.serving.engines.values():
        server.status = status


def send(context, kind, body, profile):
    """Sends a request to the next entry VM."""
    world = context.serving
    number = context.number = context.number + 1
    vm = world.entries[number % len(world.entries)].vm
    request = world.request(
        number,
        path=PATHS[kind],
        body=body,
        prompt=prompt(
            'head', *(f'own{number}-{at}' for at in range(9)), output_tokens=24
        )
        if kind == 'generation'
        else None,
        timeout_seconds=crashing_prompts.CLIENT_TIMEOUT_SECONDS,
    )
    world.start_request(vm, request, profile=profile)


async def replay(context, seconds, *streams):
    """Sends requests at even intervals.

    :param streams: kind, body (None for a new one each time), requests a
        second and profile.
    """
    world = context.serving
    counts = [0] * len(streams)
    start = world.timers.now()
    while (elapsed := world.timers.now() - start) < seconds:
        for at, (kind, body, rate, profile) in enumerate(streams):
            if counts[at] + 1 >= elapsed * rate:
                continue
            counts[at] += 1
            send(context, kind, body or b'%d' % context.number, profile)
        await world.timers.advance(0.02)


async def replay_crashing(context, kind, rate, seconds):
    await replay(
        context,
        seconds,
        (kind, CRASHING_BODY, rate, 'crashing'),
        ('safe', None, SOUND_PER_SECOND / 2, 'sound'),
        ('unsafe', None, SOUND_PER_SECOND / 2, 'sound'),
        ('generation', None, SOUND_PER_SECOND, 'sound'),
    )


@behave.when(
    'a crashing {kind} request comes {rate:g} times a second for'
    ' {seconds:g} seconds'
)
@in_fleet
async def when_come(context, kind, rate, seconds):
    await replay_crashing(context, kind, rate, seconds)


@behave.when(
    'a crashing {kind} request comes {rate:g} times a second until {count:d}'
    ' servers have crashed'
)
@in_fleet
async def when_until(context, kind, rate, count):
    world = context.serving
    for _ in range(round(20 * rate)):
        if len(world.crashes) >= count:
            break
        send(context, kind, CRASHING_BODY, 'crashing')
        until = world.timers.now() + 1 / rate
        while world.timers.now() < until and len(world.crashes) < count:
            await world.timers.advance(0.02)
    assert len(world.crashes) >= count, len(world.crashes)


@behave.when('the request no longer crashes servers')
def when_harmless(context):
    context.serving.crashing_bodies = set()


@behave.when('the request crashes servers again')
def when_crashing(context):
    context.serving.crashing_bodies = {CRASHING_BODY}


def crashing_arrivals(world):
    servers = [*world.engines.values(), *world.ended_engines]
    return sorted(
        at
        for server in servers
        for at, one in server.arrivals
        if one.request.body == CRASHING_BODY
    )


@behave.then(
    'at most {count:d} of them reach a server later than {seconds:g} seconds'
    ' after the third crash'
)
def then_few(context, count, seconds):
    world = context.serving
    assert len(world.crashes) >= 3, len(world.crashes)
    third = sorted(world.crashes)[2]
    late = [at for at in crashing_arrivals(world) if at > third + seconds]
    assert len(late) <= count, (len(late), len(world.crashes), third)


@behave.then('just the crashing request is held back')
def then_held(context):
    world = context.serving
    assert len(world.store.holds) == 1, list(world.store.holds.values())
    [hold] = world.store.holds.values()
    digests = {
        one.digest
        for end in context.serving.crash_watch.ends.get(
            hold.service, {}
        ).values()
        for one in end.interruptions.values()
        if one.request_id in hold.requests
    }
    assert digests and digests.issubset(hold.traits), hold
    outcomes = [one for one in world.outcomes if one.profile == 'sound']
    held = [
        one
        for one in outcomes
        if isinstance(one.error, errors.HeldRequestError)
    ]
    assert not held, held[:3]


@behave.then(
    '{percent:d} percent of the other requests of the last {seconds:g}'
    ' seconds are answered'
)
def then_answered(context, percent, seconds):
    world = context.serving
    now = world.timers.now()
    sent = [
        one
        for one in world.outcomes
        if one.profile == 'sound' and now - seconds <= one.sent_at < now - 1.0
    ]
    answered = [one for one in sent if one.error is None]
    assert len(sent) >= 20, len(sent)
    assert 100 * len(answered) >= percent * len(sent), (
        len(answered),
        len(sent),
        {str(one.error) for one in sent if one.error},
    )


async def crash(world, gap_seconds=0.0):
    for server in list(world.engines.values()):
        server.crash()
        await world.timers.sleep(gap_seconds)


async def crash_one(world):
    running = [
        one
        for one in world.engines.values()
        if one.instance.service == 'desk' and one.crashed_at is None
    ]
    if running:
        world.rng.choice(running).crash()


async def replace_one(world):
    running = [
        one
        for one in world.engines.values()
        if one.instance.service == 'desk' and not one.instance.is_leaving
    ]
    if running:
        server = world.rng.choice(running)
        server.instance = dataclasses.replace(server.instance, is_leaving=True)
        await world.timers.sleep(1.0)
        server.crash()


CRASHES = {
    'a server crashes every 2 seconds': (crash_one, 2.0),
    'all servers crash at once every 5 seconds': (crash, 5.0),
    'all servers crash one after the other, 0.3 s apart': (
        lambda world: crash(world, 0.3),
        8.0,
    ),
    'servers are replaced every 2 seconds': (replace_one, 2.0),
}


@behave.when(
    'the same lookup comes {rate:g} times a second for {seconds:g} seconds'
    ' while {crashes}'
)
@in_fleet
async def when_lookup(context, rate, seconds, crashes):
    world = context.serving
    action, interval = CRASHES[crashes]

    async def act():
        while True:
            await world.timers.sleep(interval)
            await action(world)

    world.tasks.start_soon(act)
    await replay(context, seconds, ('safe', LOOKUP_BODY, rate, 'lookup'))
    assert len(world.crashes) >= 3, len(world.crashes)


@behave.when('{event} after {count:d} crashes under a safe request')
@in_fleet
async def when_event(context, event, count):
    world = context.serving
    while len(world.crashes) < count:
        send(context, 'safe', CRASHING_BODY, 'crashing')
        await world.timers.advance(0.2)
    if event == 'another control VM leads':
        world.change_leader()
        return
    world.has_leader = False
    world.refresh()
    await replay_crashing(context, 'safe', 3.0, 1.0)
    world.has_leader = True
    world.change_leader()


@behave.then('at most {count:d} servers have crashed')
def then_crashes(context, count):
    crashes = context.serving.crashes
    assert len(crashes) <= count, len(crashes)


async def forward(context, organisation):
    """Forwards the crashing request as a VM of an earlier release does.

    :returns: the error, None if it was run.
    """
    world = context.serving
    request = world.request('old', path='/desk/x', body=CRASHING_BODY)
    message = [
        request.pack(), organisation, 'desk', 'r2', 1, 3.0, 0.8, False, 2,
    ]  # fmt: skip
    try:
        async with serving_world.InMemoryMesh(world).open(
            'b0', 'fleet.serve', message
        ) as stream:
            await crashing_prompts.receive(world, stream)
            await crashing_prompts.receive(world, stream)
    except errors.GatewayError as error:
        return error


@behave.when('a VM of an earlier release forwards the request')
@in_fleet
async def when_forwarded(context):
    context.arrivals = len(crashing_arrivals(context.serving))
    context.error = await forward(context, 'org')


@behave.then(
    'it is rejected as not run, and the hold tells neither its body nor its'
    ' key'
)
def then_rejected(context):
    world = context.serving
    error = context.error
    [hold] = world.store.holds.values()
    assert isinstance(error, errors.HeldRequestError), error
    assert (error.status, error.run) == (503, errors.NOT_RUN), error
    assert hold.hold_id in error.message, error
    told = f'{hold.describe()} {error.message}'
    for secret in (CRASHING_BODY.decode() + "'", 'key-1'):
        assert secret not in told, told
    assert len(crashing_arrivals(world)) == context.arrivals


@behave.then(
    'the same path and body of another organisation are not held back'
)
@in_fleet
async def then_other(context):
    world = context.serving
    world.crashing_bodies = set()
    assert await forward(context, 'other') is None


@behave.when('{count:d} different requests each end one server')
@in_fleet
async def when_many(context, count):
    watch = context.serving.crash_watch
    for number in range(count):
        digest = f'request:{number:024x}'
        watch.record(
            'peer',
            [
                'desk',
                f'i-{number}',
                number,
                [[f'r-{number}', [digest], 0.2, 0.1]],
            ],
        )
    await context.serving.timers.advance(1.0)


@behave.then('at most {count:d} ends are remembered and nothing is held back')
def then_bounded(context, count):
    world = context.serving
    assert len(world.crash_watch.ends['desk']) <= count
    assert 'i-9999' in {name for name, _ in world.crash_watch.ends['desk']}
    assert not world.store.holds
