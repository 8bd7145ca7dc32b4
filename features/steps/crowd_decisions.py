"""Steps for the decisions on memory and connections."""

import anyio
import behave

from features import fleet_world
from features import serving_world
from features.steps import settings as settings_steps
from greengagegw import connection_limit
from greengagegw import errors
from greengagegw import machine
from greengagegw import request_memory
from greengagegw.serving import prompts
from greengagegw import settings
from greengagegw import timers as timer_service

MEGABYTE = 1_000_000
PACKET_BYTES = 8192
SMALL_BYTES = 4000


class Client:
    """A client whose request may be told to give way."""

    def __init__(self, context, origin='a'):
        self.context = context
        self.is_rejected = False
        self.holding = context.memory.open(origin, self.reject)
        self.holding.phase = request_memory.Phase.ARRIVING

    def reject(self):
        self.is_rejected = True
        self.context.rejected.append(self)

    def send(self, size):
        """Sends a body in packets, until it is rejected."""
        memory = self.context.memory
        while size > 0 and not self.is_rejected:
            memory.add(self.holding, min(size, PACKET_BYTES))
            size -= PACKET_BYTES
            self.context.most_held = max(
                self.context.most_held, memory.held_bytes
            )

    def run(self, size):
        return self.context.memory.begin_running(self.holding, size)

    def end(self):
        self.context.memory.close(self.holding)


def make_memory(request_bytes, timers):
    limits = request_memory.MemoryLimits(
        request_bytes, int(request_bytes * request_memory.LARGE_SHARE), 0
    )
    return request_memory.RequestMemory(limits, timers.now)


@behave.given('an account of {megabytes:d} MB for requests')
def given_account(context, megabytes):
    context.timers = timer_service.ManualTimers()
    context.memory = make_memory(megabytes * MEGABYTE, context.timers)
    context.rejected = []
    context.most_held = 0


@behave.when(
    '{count:d} clients at {addresses:d} addresses send bodies of 1 MB that do'
    ' not end'
)
def when_large_crowd(context, count, addresses):
    context.crowd = [
        Client(context, str(at % addresses)) for at in range(count)
    ]


@behave.when('{count:d} small requests arrive, run and end meanwhile')
def when_small_requests(context, count):
    context.small = []
    for at in range(count):
        # Each client of the crowd sends a fifth of its body at a time.
        context.crowd[at % len(context.crowd)].send(MEGABYTE // 5)
        client = Client(context, 'ordinary')
        client.send(SMALL_BYTES)
        context.small.append(
            not client.is_rejected and client.run(SMALL_BYTES)
        )
        client.end()
        context.timers.time += 0.01


@behave.then('at no time more than {megabytes:d} MB were held')
def then_held(context, megabytes):
    assert context.rejected
    assert context.most_held <= megabytes * MEGABYTE, context.most_held


@behave.then('no small request was rejected')
def then_small_served(context):
    assert all(context.small), context.small.count(False)


@behave.when(
    'responses to {count:d} requests grow until there is no room for them'
)
def when_responses_grow(context, count):
    for one in getattr(context, 'crowd', ()):
        one.send(MEGABYTE // 2)
    growing = [Client(context, 'growing') for _ in range(count)]
    for one in growing:
        assert one.run(0)
    while any(
        [context.memory.extend(one.holding, PACKET_BYTES) for one in growing]
    ):
        pass


@behave.then('more than {megabytes:d} MB are held')
def then_much_held(context, megabytes):
    assert context.memory.held_bytes > megabytes * MEGABYTE


@behave.then('{count:d} requests of 10 kB arrive, and none has to give way')
def then_arrive(context, count):
    clients = [Client(context, 'arriving') for _ in range(count)]
    for one in clients:
        one.send(10_000)
    assert not any(one.is_rejected for one in clients)


@behave.when(
    '{count:d} clients hold 1 MB each, and one of them has stalled for'
    ' {seconds:d} seconds'
)
def when_stalled(context, count, seconds):
    context.clients = [Client(context) for _ in range(count)]
    context.clients[3].send(MEGABYTE)
    context.timers.time += seconds
    for client in context.clients:
        if client is not context.clients[3]:
            client.send(MEGABYTE)


@behave.when('another client sends 2 MB')
def when_another(context):
    Client(context, 'c').send(2 * MEGABYTE)


@behave.then('the stalled client was rejected first')
def then_stalled_first(context):
    assert context.rejected[0] is context.clients[3]


@behave.when(
    'address a holds {count:d} bodies of 1 MB, and address b one of 1.5 MB'
)
def when_addresses(context, count):
    for _ in range(count):
        Client(context, 'a').send(MEGABYTE)
    Client(context, 'b').send(3 * MEGABYTE // 2)


@behave.then('only clients at address a were rejected')
def then_only_a(context):
    origins = {one.holding.origin for one in context.rejected}
    assert origins == {'a'}, origins


@behave.when('{count:d} requests of 1 MB have arrived completely')
def when_complete(context, count):
    context.outcomes = []
    for _ in range(count):
        client = Client(context)
        client.send(MEGABYTE)
        context.outcomes.append(
            not client.is_rejected and client.run(MEGABYTE)
        )
        if not context.outcomes[-1]:
            client.end()


@behave.then('{count:d} of them run, and the others are rejected')
def then_run(context, count):
    assert context.outcomes.count(True) == count, context.outcomes


@behave.then('a request of 10 kB runs')
def then_small_runs(context):
    client = Client(context)
    client.send(10000)
    assert client.run(10000)


@behave.when(
    '{count:d} requests of 1 MB arrive, run and end one after another'
)
def when_in_turn(context, count):
    context.outcomes = []
    for _ in range(count):
        client = Client(context)
        client.send(MEGABYTE)
        context.outcomes.append(client.run(MEGABYTE))
        client.end()


@behave.then('all of them ran, and nothing is held')
def then_nothing_held(context):
    assert all(context.outcomes)
    memory = context.memory
    assert (memory.held_bytes, memory.large_bytes) == (0, 0)


# Connections.


class Peer:
    """A connection that notes whether it was closed."""

    def __init__(self, context):
        self.is_closed = False
        holding = context.memory.open('a', self.close)
        self.entry = connection_limit.Connection(holding, self.close)
        self.is_admitted = context.limit.admit(self.entry)

    def close(self):
        self.is_closed = True


@behave.given('a limit of {count:d} connections')
def given_limit(context, count):
    context.timers = timer_service.ManualTimers()
    context.memory = make_memory(MEGABYTE, context.timers)
    context.limit = connection_limit.ConnectionLimit(count, context.memory)
    context.peers = []


def begin_body(context, peer):
    context.limit.stop_waiting(peer.entry)
    peer.entry.holding.phase = request_memory.Phase.ARRIVING
    context.memory.add(peer.entry.holding, 1)


@behave.when(
    '{count:d} connections have served a request, and 1 new one has not'
)
def when_served(context, count):
    context.peers = [Peer(context) for _ in range(count + 1)]
    for one in context.peers[:count]:
        context.limit.stop_waiting(one.entry)
        one.entry.has_served = True
        context.limit.start_waiting(one.entry)


@behave.when('another connection comes')
def when_another_connection(context):
    context.peers.append(Peer(context))


@behave.then('the new one was closed')
def then_new_closed(context):
    assert [one.is_closed for one in context.peers] == [
        False,
        False,
        True,
        False,
    ]


@behave.then('the second new one was closed')
def then_second_closed(context):
    assert context.peers[3].is_closed
    assert not any(one.is_closed for one in context.peers[:2])


@behave.when('{count:d} connections serve requests')
def when_serving(context, count):
    context.peers = [Peer(context) for _ in range(count)]
    for one in context.peers:
        context.limit.stop_waiting(one.entry)
        one.entry.holding.phase = request_memory.Phase.RUNNING


@behave.when('all {count:d} connections {have} for {seconds:g} seconds')
def when_connected(context, count, have, seconds):
    if have == 'serve requests':
        when_serving(context, count)
    else:
        context.peers = [Peer(context) for _ in range(count)]
    if have == 'have served one':
        for one in context.peers:
            context.limit.stop_waiting(one.entry)
            one.entry.has_served = True
            context.limit.start_waiting(one.entry)
    context.timers.time += seconds


@behave.when(
    'after {seconds:g} seconds the new one is closed and another comes'
)
def when_new_again(context, seconds):
    context.timers.time += seconds
    context.limit.remove(context.peers[-1].entry)
    context.peers.append(Peer(context))


@behave.then('the next one is accepted in {seconds:g} seconds')
def then_accepted_in(context, seconds):
    found = context.limit.seconds_until_room()
    assert abs(found - seconds) < 1e-9, found


@behave.then('it is refused')
def then_refused(context):
    assert not context.peers[-1].is_admitted
    assert not any(one.is_closed for one in context.peers)


@behave.when(
    '{count:d} connections wait for bodies, one of them for {seconds:d}'
    ' seconds'
)
def when_bodies(context, count, seconds):
    context.peers = [Peer(context) for _ in range(count)]
    begin_body(context, context.peers[1])
    context.timers.time += seconds
    for at in (0, 2):
        begin_body(context, context.peers[at])


@behave.then('the stalled one was closed')
def then_stalled_closed(context):
    closed = [one.is_closed for one in context.peers]
    assert closed == [False, True, False, False], closed
    assert context.peers[-1].is_admitted


# Limits.


@behave.given('a machine with {memory:d} MB and {descriptors:d} descriptors')
def given_machine(context, memory, descriptors):
    context.machine = machine.MachineLimits(memory * MEGABYTE, descriptors)


@behave.then('requests may hold {megabytes:d} MB')
def then_requests(context, megabytes):
    limits = request_memory.divide(context.machine)
    assert limits.request_bytes == megabytes * MEGABYTE, limits


@behave.then('clients may have {count:d} connections')
def then_connections(context, count):
    limits = connection_limit.find_limits(context.machine)
    assert limits.clients == count, limits


@behave.when(
    'settings have {memory:d} MB of memory and bodies of {body:d} bytes'
)
def when_settings(context, memory, body):
    content = settings_steps.valid_settings()
    content['limits'] = {'memory_megabytes': memory, 'body_bytes': body}
    context.problems = []
    try:
        settings.check(content, 'vm.yaml')
    except errors.SettingsError as error:
        context.problems = [str(one) for one in error.problems]


@behave.then('the settings are valid')
def then_valid(context):
    assert not context.problems, context.problems


@behave.then('the settings are rejected with {path}')
def then_rejected(context, path):
    assert any(path in one for one in context.problems), context.problems


# Forwarded requests.


@behave.given(
    'entry VMs in regions a and b, and requests that run in region b only'
)
def given_regions(context):
    route = fleet_world.route(homeRegions=['b'])
    context.fleet = serving_world.ServingWorld(
        {'a': (1, 1), 'b': (1, 1)}, routes=[route]
    )


def forward(context, body):
    world = context.fleet

    async def send():
        async with world.running():
            world.dispatchers['b0'].memory = context.memory
            prompt = prompts.Prompt('m', 10, 8, ())
            request = world.request(1, prompt=prompt, body=body)
            await world.timers.advance(1.0)
            await world.send_and_wait('a0', request, 5.0)

    anyio.run(send)
    return world.outcomes[-1]


@behave.when(
    'the VM of region b has no room, and one of region a forwards 1 MB'
)
def when_forwarded(context):
    context.memory = make_memory(MEGABYTE, context.fleet.timers)
    context.outcome = forward(context, b'x' * MEGABYTE)


@behave.then('the request was rejected as not run, and no engine got it')
def then_not_run(context):
    error = context.outcome.error
    assert isinstance(error, errors.OverloadedError), error
    assert error.run == errors.NOT_RUN and error.retry_after
    assert not context.fleet.direct_sends, context.fleet.direct_sends


@behave.when('a small request is forwarded')
def when_small_forwarded(context):
    given_regions(context)
    context.outcome = forward(context, b'{}')


@behave.then('it is answered, and the VM of region b holds nothing')
def then_forwarded(context):
    assert context.outcome.error is None, context.outcome.error
    assert context.outcome.status == 200
    assert context.memory.held_bytes == 0


# Lost connections.


@behave.when('a client sends 1 MB, its connection is lost, and then {what}')
def when_lost(context, what):
    client = Client(context)
    client.send(MEGABYTE)
    client.end()
    memory, holding = context.memory, client.holding
    context.has_room = False
    if what == 'its request is to run':
        context.has_room = memory.begin_running(holding, MEGABYTE)
    elif what == 'its response needs 1 MB':
        context.has_room = memory.extend(holding, MEGABYTE)
    elif what == 'its size is set':
        memory.set_size(holding, MEGABYTE)
    else:
        memory.add(holding, PACKET_BYTES)


@behave.then('nothing is held, and the request was rejected')
def then_lost(context):
    assert not context.has_room
    memory = context.memory
    assert (memory.held_bytes, memory.large_bytes) == (0, 0), memory.held_bytes
