"""Steps for streams of backend servers with several software versions."""

import collections
import dataclasses
import random
import re

import behave
import eliot
import orjson

from features import fleet_world
from features import serving_world
from features.steps.fleet import in_fleet
from greengagegw import errors
from greengagegw.fleet import origin_table
from greengagegw.platform import documents
from greengagegw.serving import prompts
from greengagegw.serving import stream_origins
from greengagegw import timers as timer_service

PROMPT = prompts.Prompt('m', 100, 80, (prompts.Segment('own', 100),))
EVENT_COUNT = 10
EVENT = re.compile(rb'id: (\d+)\ndata: (\S+) \d+\n\n')


@dataclasses.dataclass(slots=True)
class Stream:
    """A stream as its client received it, over all of its requests.

    :ivar vm: entry VM of its first request.
    """

    vm: str
    outcome: serving_world.Outcome
    resumed: serving_world.Outcome | None = None

    @property
    def events(self):
        body = self.outcome.body
        if self.resumed is not None:
            body += self.resumed.body
        return EVENT.findall(body)

    @property
    def writers(self):
        return {writer for _, writer in self.events}

    @property
    def is_complete(self):
        last = self.resumed or self.outcome
        ids = [int(one) for one, _ in self.events]
        return last.error is None and ids == list(range(1, EVENT_COUNT + 1))


@behave.given(
    'region {region} with {vms:d} entry VMs and engines of {versions}'
)
@in_fleet
async def given_versions(context, region, vms, versions):
    layouts = getattr(context, 'layouts', {})
    layouts[region] = (vms, versions.split(', '))
    context.layouts = layouts


async def start(context, **changes):
    layout = {
        region: (len(versions), vms)
        for region, (vms, versions) in context.layouts.items()
    }
    routes = [fleet_world.route(resumable=True, **changes)]
    tenants = [
        fleet_world.tenant(),
        fleet_world.tenant(name='other', apiKeys=['key-2']),
    ]
    world = serving_world.ServingWorld(layout, routes=routes, tenants=tenants)
    for region, (_, versions) in context.layouts.items():
        for at, version in enumerate(versions):
            world.set_version(f'i-{region}{at}', version)
    context.serving = world
    context.streams = []


def enter(context):
    manager = context.portal.wrap_async_context_manager(
        context.serving.running()
    )
    manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)


@behave.given('a route with {attempts:d} attempts')
def given_attempts(context, attempts):
    context.portal.call(start_with, context, {'maxAttempts': attempts})
    enter(context)


@behave.given('a route with 1 attempt and home regions {regions}')
def given_homes(context, regions):
    changes = {'maxAttempts': 1, 'homeRegions': regions.split(', ')}
    context.portal.call(start_with, context, changes)
    enter(context)


@behave.given('a route that shares its requests between two services')
def given_shares(context):
    context.portal.call(start_with, context, {'maxAttempts': 1})
    world = context.serving
    world.add_engine('i-other0', 'a-1', 'other')
    world.set_version('i-other0', 'other')
    document = fleet_world.document(
        routes=[
            fleet_world.route(
                resumable=True,
                maxAttempts=1,
                service=None,
                trafficSplit=[
                    {'service': 'engine', 'weight': 50},
                    {'service': 'other', 'weight': 50},
                ],
            )
        ]
    )
    del document['routes'][0]['service']
    add_other_service(document)
    world.configuration = documents.decode(orjson.dumps(document))
    enter(context)


def add_other_service(document):
    engine = next(
        one for one in document['services'] if one['name'] == 'engine'
    )
    document['services'].append(engine | {'name': 'other'})


async def start_with(context, changes):
    await start(context, **changes)


@behave.when('{count:d} streams break off after 2 events')
@in_fleet
async def when_break_off(context, count):
    await send_streams(context, count, 'disconnects after 2 events')


@behave.when('{count:d} streams meet an engine that {fault}')
@in_fleet
async def when_meet_fault(context, count, fault):
    await send_streams(context, count, fault)


@behave.when('{count:d} more streams break off after 2 events')
@in_fleet
async def when_more_break_off(context, count):
    await send_streams(context, count, 'disconnects after 2 events')


@behave.given('all control VMs are reachable')
def given_reachable(context):
    assert not context.serving.unreachable_vms


@behave.given('one control VM is unreachable')
def given_one_unreachable(context):
    context.serving.unreachable_vms.add(serving_world.CONTROL_VMS[0])


@behave.given('all control VMs are unreachable')
def given_unreachable(context):
    context.serving.unreachable_vms.update(serving_world.CONTROL_VMS)


@behave.given('the log lines of entry VMs are recorded')
def given_logged(context):
    context.logged = []
    eliot.add_destinations(context.logged.append)
    # The first destination gets what was logged before.
    context.logged.clear()
    context.add_cleanup(eliot.remove_destination, context.logged.append)


@behave.when('no control VM leads')
def when_none_leads(context):
    context.serving.has_leader = False


@behave.when('a control VM leads again')
def when_leads(context):
    context.serving.has_leader = True


@behave.then('they were begun by {version}')
def then_begun_by(context, version):
    writers = set().union(*(one.writers for one in context.streams))
    assert writers == {version.encode()}, writers


@behave.then('engines of {version} have begun some of them')
def then_begun_some(context, version):
    count = context.sent_count
    bodies = [one.body for one in context.serving.outcomes[-count:]]
    writers = {EVENT.findall(one)[0][1].decode() for one in bodies if one}
    assert version in writers, writers


def unrecorded_uses(context):
    return [
        (one['request'], one['software'])
        for one in context.logged
        if one.get('message_type') == 'request:unrecorded_version'
    ]


@behave.then('no use of an unrecorded version is logged')
def then_none_logged(context):
    assert not unrecorded_uses(context)


@behave.then('each use of the unrecorded version {version} is logged')
def then_logged(context, version):
    assert unrecorded_uses(context) == [
        (one.outcome.request_id, version) for one in context.streams
    ]


@behave.then('no VM has sent origins to control VMs')
def then_none_sent(context):
    assert not context.serving.origin_messages


@behave.then('each VM has sent them to two control VMs, each in 1 message')
def then_sent_once(context):
    messages = context.serving.origin_messages
    senders = collections.Counter(vm for vm, _ in messages)
    assert senders == {'a0': 2, 'a1': 2, 'a2': 2}, messages
    assert set(messages.values()) == {1}, messages
    for stream in context.streams:
        key = origin_table.StreamKey('org', stream.outcome.request_id)
        holders = [
            one
            for one in context.serving.origin_servers.values()
            if one.table.find(key)
        ]
        assert len(holders) == 2, stream


@behave.when('{count:d} streams are sent within 1 second')
@in_fleet
async def when_many_sent(context, count):
    world = context.serving
    world.origin_messages.clear()
    context.sent_count = count
    vms = [one.vm for one in world.entries]
    for number in range(count):
        request = world.request(f'many-{number}', prompt=PROMPT)
        world.start_request(vms[number % len(vms)], request)
        await world.timers.advance(1 / count)


@behave.then(
    'each VM has sent at most 20 messages a second to each control VM'
)
def then_bounded(context):
    messages = context.serving.origin_messages
    assert len(messages) == 6, messages
    assert 5 < max(messages.values()) <= 20, messages


@behave.when('a control VM gets {count:d} origins within 1 second')
def when_gets_many(context, count):
    context.timers = timer_service.ManualTimers()
    context.server = origin_table.OriginServer(context.timers)
    for number in range(count):
        context.server.table.add(
            origin_table.StreamKey('org', f'r-{number}'),
            origin_table.StreamOrigin('engine', 'v1'),
            context.timers.now() + number / count,
        )
    context.count = count


@behave.then('it has the newest {count:d} of them')
def then_newest_origins(context, count):
    table = context.server.table
    assert len(table.known) == count
    for number, is_known in ((context.count - count, True), (0, False)):
        key = origin_table.StreamKey('org', f'r-{number}')
        assert (table.find(key) is not None) == is_known


@behave.then('{seconds:d} seconds later another origin is its only one')
def then_only_one(context, seconds):
    table = context.server.table
    key = origin_table.StreamKey('org', 'new')
    origin = origin_table.StreamOrigin('engine', 'v1')
    table.add(key, origin, context.timers.now() + 1 + seconds)
    assert list(table.known) == [key]


@behave.when('a control VM gets {message} as a {kind} of origins')
@in_fleet
async def when_control_malformed(context, message, kind):
    server = origin_table.OriginServer(timer_service.ManualTimers())
    handler = server.handlers()[
        {
            'list': origin_table.RECORD_METHOD,
            'query': origin_table.FIND_METHOD,
        }[kind]
    ]
    context.error = None
    try:
        await handler('a1', orjson.loads(message))
    except errors.GatewayError as error:
        context.error = error


async def send_streams(context, count, fault, vms=None):
    """Sends streams of which each has the fault at its first engine."""
    world = context.serving
    vms = vms or [one.vm for one in world.entries if one.region == 'a']
    # Until the loads of the other regions are known.
    await world.timers.advance(1.0)
    begun = len(context.streams)
    for number in range(begun, begun + count):
        faults = [fault]
        for engine in world.engines.values():
            engine.pending_faults = faults
        vm = vms[number % len(vms)]
        request = world.request(number, prompt=PROMPT)
        world.start_request(vm, request)
        await world.timers.advance(1.5)
        context.streams.append(Stream(vm, world.outcomes[-1]))
        assert not faults, world.outcomes[-1]


@behave.when('{seconds:g} seconds pass')
@in_fleet
async def when_pass(context, seconds):
    await context.serving.timers.advance(seconds)


@behave.when('the VMs that got them restart')
@in_fleet
async def when_restart(context):
    vms = {one.vm for one in context.streams}
    await restart(context.serving, vms - {min(vms)})


@behave.when('all VMs restart')
@in_fleet
async def when_all_restart(context):
    await restart(context.serving, {one.vm for one in context.serving.entries})


async def restart(world, vms):
    for entry in world.entries:
        if entry.vm in vms:
            world.restart(entry)
    # The third poll brings the loads that restarted VMs report.
    for _ in range(3):
        world.refresh()


@behave.when('all VMs and the control VMs restart')
@in_fleet
async def when_controls_restart(context):
    world = context.serving
    world.restart_control_vms()
    await restart(world, {one.vm for one in world.entries})


@behave.when('all VMs restart and poll a control VM of an earlier release')
@in_fleet
async def when_earlier_release(context):
    world = context.serving
    world.has_origin_history = False
    await restart(world, {one.vm for one in world.entries})


@behave.when('the version of {which} engines becomes {version}')
@in_fleet
async def when_get_version(context, which, version):
    change_versions(context.serving, which, version)


@behave.when('all VMs restart while {which} engines get version {version}')
@in_fleet
async def when_change_and_restart(context, which, version):
    world = context.serving
    change_versions(world, which, version)
    await restart(world, {one.vm for one in world.entries})


@behave.when('all VMs restart and know only the engines that get {version}')
@in_fleet
async def when_change_and_hide(context, version):
    world = context.serving
    change_versions(world, 'half of the', version)
    # The lists that the restarted VMs get first show one of two versions.
    world.listed_versions = {version}
    await restart(world, {one.vm for one in world.entries})


def change_versions(world, which, version):
    engines = [
        engine.instance.name
        for engine in world.engines.values()
        if engine.instance.service == 'engine'
    ]
    step = {'all': 1, 'half of the': 2}[which]
    for name in engines[::step]:
        world.set_version(name, version)


@behave.when('the route moves to another service')
@in_fleet
async def when_route_moves(context):
    world = context.serving
    world.add_engine('i-other0', 'a-1', 'other')
    world.set_version('i-other0', 'other')
    document = fleet_world.document(
        2,
        routes=[
            fleet_world.route(resumable=True, maxAttempts=1, service='other')
        ],
    )
    add_other_service(document)
    world.configuration = documents.decode(orjson.dumps(document))


@behave.when('the engines of {version} leave')
@in_fleet
async def when_leave(context, version):
    world = context.serving
    for engine in world.engines.values():
        if engine.instance.software_version == version:
            engine.instance = dataclasses.replace(
                engine.instance, is_leaving=True
            )
    world.refresh()


@behave.when('entry VM {vm} falls behind, cut off from {others}')
@in_fleet
async def when_out_of_step(context, vm, others):
    cut_off(context.serving, vm, others)


@behave.when('entry VM {vm} falls behind, suspended')
@in_fleet
async def when_suspended(context, vm):
    cut_off(context.serving, vm, 'all VMs')


def cut_off(world, vm, others):
    """Cuts links of a VM, which keeps its view of the deployment."""
    entries = {one.vm for one in world.entries} - {vm}
    found = {
        'the control VMs': set(serving_world.CONTROL_VMS),
        'all VMs': entries | set(serving_world.CONTROL_VMS),
    }.get(others, {others.removeprefix('VM ')})
    world.cut_pairs |= {frozenset((vm, one)) for one in found}
    world.out_of_step.add(vm)


@behave.when('engines of {new} join and those of {old} leave')
@in_fleet
async def when_release(context, new, old):
    world = context.serving
    # Views are updated before the engines change.
    await world.timers.advance(1.0)
    for engine in list(world.engines.values()):
        instance = engine.instance
        if instance.software_version == old:
            name = f'{instance.name}0'
            world.add_engine(name, instance.domain, instance.service)
            world.set_version(name, new)
            engine.instance = dataclasses.replace(instance, is_leaving=True)
    await world.timers.advance(2.0)


@behave.when(
    '{count:d} streams of {version} break off after 2 events at VM {vm}'
)
@in_fleet
async def when_break_off_at(context, count, version, vm):
    world = context.serving
    await send_streams(context, count, 'disconnects after 2 events', [vm])
    writers = set().union(*(one.writers for one in context.streams))
    assert writers == {version.encode()}, writers
    assert world.out_of_step


@behave.when('then {event}')
@in_fleet
async def when_then(context, event):
    world = context.serving
    vms = {one.vm for one in world.entries}
    if event.startswith('a0 restarts'):
        await restart(world, {'a0'})
    elif event.startswith('all but a1 restart'):
        await restart(world, vms - {'a1'})
    if event.endswith('a1 wakes'):
        # Its view is still that from before.
        world.cut_pairs.clear()
    seconds = {'nothing happens': 0.2, 'time passes': 10.0}.get(event, 0.0)
    await world.timers.advance(seconds)


class RandomFaults:
    """Faults of entry and control VMs, and releases, at random."""

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.vms = [one.vm for one in world.entries]
        self.version = 1

    async def step(self):
        world, rng = self.world, self.rng
        vm = rng.choice(self.vms)
        draw = rng.random()
        if draw < 0.25:
            others = ['the control VMs', 'all VMs', rng.choice(self.vms)]
            cut_off(world, vm, rng.choice(others))
        elif draw < 0.45:
            # Woken, with the view from before.
            world.cut_pairs.clear()
        elif draw < 0.65:
            world.out_of_step.clear()
            world.cut_pairs.clear()
        elif draw < 0.75:
            await restart(world, {vm})
        elif draw < 0.8:
            world.has_leader = False
        else:
            world.has_leader = True
            # A leader records what is listed before it tells a history.
            world.refresh()
        await world.timers.advance(rng.choice((0.1, 0.3, 0.6)))

    def release(self):
        world = self.world
        old, self.version = f'v{self.version}', self.version + 1
        for engine in list(world.engines.values()):
            instance = engine.instance
            if instance.software_version == old:
                name = f'{instance.name}0'
                world.add_engine(name, instance.domain, instance.service)
                world.set_version(name, f'v{self.version}')
                engine.instance = dataclasses.replace(
                    instance, is_leaving=True
                )


@behave.when(
    '{count:d} streams break off in random faults in each of {releases:d}'
    ' releases, with seed {seed:d}'
)
@in_fleet
async def when_random_faults(context, count, releases, seed):
    world, rng = context.serving, random.Random(seed)
    faults = RandomFaults(world, rng)
    for release in range(releases):
        # The versions of earlier releases are forgotten.
        await world.timers.advance(200.0)
        for vm in rng.sample(faults.vms, 2):
            cut_off(world, vm, rng.choice(('the control VMs', 'all VMs')))
        faults.release()
        await world.timers.advance(1.0)
        for number in range(count):
            name = f'{release}-{number}'
            await run_broken_stream(context, faults, name)
        world.has_leader = True
        world.out_of_step.clear()
        world.cut_pairs.clear()


async def run_broken_stream(context, faults, name):
    """Sends a stream that breaks off, and resumes it at a random VM."""
    world, rng = context.serving, faults.rng
    pending = ['disconnects after 2 events']
    for engine in world.engines.values():
        engine.pending_faults = pending
    vm = rng.choice(faults.vms)
    outcome = await world.send_and_wait(vm, world.request(name, prompt=PROMPT))
    stream = Stream(vm, outcome)
    context.streams.append(stream)
    for engine in world.engines.values():
        engine.pending_faults = []
    if not outcome.body:
        return
    for _ in range(rng.randrange(3)):
        await faults.step()
    request = dataclasses.replace(
        world.request(f'{name}-resumed', prompt=PROMPT),
        resume_after='2',
        resumed_request=rng.choice((outcome.request_id, None)),
    )
    stream.resumed = await world.send_and_wait(rng.choice(faults.vms), request)


@behave.then('each has events of one version only, or is rejected')
def then_never_mixed(context):
    mixed = [one for one in context.streams if len(one.writers) > 1]
    assert not mixed, (len(mixed), mixed[0])
    for one in context.streams:
        assert one.is_complete or one.outcome.error or one.resumed.error, one
    versions = set().union(*(one.writers for one in context.streams))
    assert len(versions) > 1, versions


@behave.then('at least {count:d} of them are complete')
def then_at_least_complete(context, count):
    complete = [one for one in context.streams if one.is_complete]
    print(len(complete), 'of', len(context.streams), 'streams complete')
    assert len(complete) >= count, len(complete)


@behave.then('their clients are told to start the requests anew, or later')
def then_told(context):
    for stream in context.streams:
        error = stream.resumed.error
        assert error.code in ('unavailable', 'no_server'), error.code
        assert 'started anew' in error.message or error.retry_after, error


@behave.when('their clients resume them at {place}')
@in_fleet
async def when_resume(context, place):
    world = context.serving
    place, *omitted = place.split(', without ')
    for number, stream in enumerate(context.streams):
        request = dataclasses.replace(
            world.request(f'{number}-resumed', prompt=PROMPT),
            resume_after='2',
            resumed_request=None if omitted else stream.outcome.request_id,
        )
        vm = choose_vm(world, stream, place)
        world.start_request(vm, request)
        await world.timers.advance(1.5)
        stream.resumed = world.outcomes[-1]


def choose_vm(world, stream, place):
    region = stream.vm[0]
    if place == 'the same VM':
        return stream.vm
    if place.startswith('entry VM '):
        return place.removeprefix('entry VM ')
    if place == 'a VM of another region':
        return next(one.vm for one in world.entries if one.region != region)
    vms = [one.vm for one in world.entries if one.region == region]
    return vms[(vms.index(stream.vm) + 1) % len(vms)]


@behave.then(
    '{count:d} of them are complete, and none has events of two {kind}'
)
def then_complete(context, count, kind):
    mixed = [one for one in context.streams if len(one.writers) > 1]
    assert not mixed, (len(mixed), mixed[0])
    for one in context.streams:
        if one.outcome.headers:
            # The head is of the server that began the stream.
            stamp = dict(one.outcome.headers)[b'stamp']
            assert stamp == one.events[0][1], one
    complete = [one for one in context.streams if one.is_complete]
    assert len(complete) == count, (len(complete), context.streams[0])
    assert len(set().union(*(one.writers for one in context.streams))) > (
        1 if count and len(context.serving.engines) > 4 else 0
    )


@behave.then(
    'those of {version} are complete, and the others are rejected as not run'
)
def then_others_rejected(context, version):
    counts = {True: 0, False: 0}
    for one in context.streams:
        is_complete = one.writers == {version.encode()}
        counts[is_complete] += 1
        assert one.is_complete == is_complete, one
        if not is_complete:
            error = one.resumed.error
            assert (error.status, error.run) == (503, 'not_run'), error
    assert all(counts.values()), counts


@behave.then(
    'none has events of two {kind}, and the incomplete ones are rejected as'
    ' not run'
)
def then_rejected(context, kind):
    for one in context.streams:
        assert len(one.writers) == 1, one
        if not one.is_complete:
            error = one.resumed.error
            assert (error.status, error.run) == (503, 'not_run'), one


@behave.then('{count:d} of them are rejected as not run')
def then_count_rejected(context, count):
    rejected = [one for one in context.streams if one.resumed.error]
    assert len(rejected) == count, (len(rejected), context.streams[0])


@behave.when('another organisation sends requests with the same IDs')
@in_fleet
async def when_same_ids(context):
    world = context.serving
    for stream in context.streams:
        request = dataclasses.replace(
            world.request(0, prompt=PROMPT, key='key-2'),
            request_id=stream.outcome.request_id,
        )
        world.start_request('a2', request)
        await world.timers.advance(1.5)
        assert world.outcomes[-1].error is None, world.outcomes[-1]


@behave.when('VM {vm} gets {message} as a {kind} of origins')
@in_fleet
async def when_malformed(context, vm, message, kind):
    method = {
        'list': stream_origins.RECORD_METHOD,
        'query': stream_origins.FIND_METHOD,
    }[kind]
    handler = context.serving.dispatchers[vm].handlers()[method]
    context.error = None
    try:
        await handler('a1', orjson.loads(message))
    except errors.GatewayError as error:
        context.error = error


@behave.then('it is a protocol error of its sender')
def then_protocol_error(context):
    assert isinstance(context.error, errors.PeerProtocolError), context.error
    assert 'a1' in context.error.message


@behave.when(
    '{count:d} streams begin at VM {vm}, whose connections to servers {fault}'
    ' for {seconds:g} seconds'
)
@in_fleet
async def when_vm_loses_servers(context, count, vm, fault, seconds):
    world = context.serving
    # Other regions are used once they have reported their load.
    await world.timers.advance(3.0)
    for engine in world.engines.values():
        # A stream takes about a second.
        engine.slowdown = 8.0
        if fault == 'are refused':
            # Connections in use go on, so the streams break off by themselves.
            engine.pending_faults = ['disconnects after 2 events'] * count
    for number in range(count):
        request = world.request(number, prompt=PROMPT)
        world.start_request(vm, request)
    begun = 0
    while begun < count:
        await world.timers.advance(0.02)
        begun = sum(bool(one.body) for one in world.outcomes)
    for engine in world.engines.values():
        engine.pending_faults = []
    world.partition([vm], fault)
    context.cut_at = world.timers.now()
    await world.timers.advance(seconds)
    world.partition([], '')
    await world.timers.advance(15.0)
    context.streams = [Stream(vm, one) for one in world.outcomes]


@behave.then(
    'all of them are complete {seconds:g} seconds later, without a new request'
)
def then_complete_at_once(context, seconds):
    for one in context.streams:
        assert one.outcome.ended_at <= context.cut_at + seconds, one.outcome
        assert one.outcome.error is None, one.outcome.error
        assert one.is_complete, one.outcome.body


@behave.then('each stream was written by one version')
def then_one_writer(context):
    assert all(len(one.writers) == 1 for one in context.streams)
