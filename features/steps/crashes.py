"""Steps for prompts under which engines end."""

import contextlib
import functools
import random

import anyio
import behave
import orjson

from features import fakes
from features.steps.callers import call
from features.steps.callers import PLAIN_SERVICE_PATH
from features.steps.fleet import in_fleet
from features import world as worlds
from greengagegw import crash_guard
from greengagegw import errors
from greengagegw import forwarding
from greengagegw import held_requests
from greengagegw import peer_exchange
from greengagegw.policy import crash_attribution
from greengagegw import request_parsing
from greengagegw import timers as timer_service

SERVICE = 'judge-assist'
MAX_PROMPTS = 40


def prompt_with(text, number):
    return worlds.chat_body(
        messages=[
            {'role': 'system', 'content': 'You judge cider.'},
            {'role': 'user', 'content': f'What of {text}?'},
            {'role': 'user', 'content': f'Question {number}'},
        ]
    )


def all_engines(context):
    return list(context.world.deployment.engines.values())


def all_vms(context):
    return context.world.deployment.vms


@behave.given('each engine crashes on a message with {text}')
def given_crashing(context, text):
    for one in all_engines(context):
        one.crashing_text = text.encode()

    def restore():
        for one in all_engines(context):
            one.crashing_text = b''
        for vm in all_vms(context).values():
            for hold_id in list(vm.guard.states):
                vm.guard.lift(hold_id)

    context.add_cleanup(restore)


def send(context, text, number, vm=worlds.ENTRY_VM):
    call(context, context.world.send, via=vm, json=prompt_with(text, number))
    return context.world.responses[-1]


@behave.when('callers send prompts with {text} until one is held back')
def when_until_held(context, text):
    # Sound responses show that the first message is sound.
    assert send(context, 'pear', 0).status_code == 200
    for number in range(MAX_PROMPTS):
        response = send(context, text, number)
        if response.json().get('error', {}).get('code') == 'prompt_held':
            return
        call(context, anyio.sleep, 0.4)
    raise AssertionError(context.world.responses[-1].text)


def count_crashing(context, text='melon'):
    return sum(
        text.encode() in request.body
        for engine in all_engines(context)
        for request in engine.received_requests
    )


@behave.then('at most {count:d} of them have reached an engine')
def then_reached(context, count):
    assert 3 <= count_crashing(context) <= count, count_crashing(context)
    call(context, anyio.sleep, 1.2)


@behave.then(
    'through every VM a prompt with {text} is rejected as prompt_held'
)
def then_rejected(context, text):
    before = count_crashing(context)
    for vm in all_vms(context):
        response = send(context, text, 99, vm)
        error = response.json()['error']
        assert (response.status_code, error['code']) == (503, 'prompt_held')
        assert error['run'] == 'not_run', error
        assert float(response.headers['retry-after']) >= 30
    assert count_crashing(context) == before


@behave.then('through every VM a prompt without it is answered')
def then_answered(context):
    for vm in all_vms(context):
        response = send(context, 'pear', 100, vm)
        assert response.status_code == 200, response.text


async def operate(context, method, vm, path):
    world = context.world
    url = world.deployment.operator_url(vm) + path
    response = await world.operator.request(method, url)
    assert response.status_code == 200, response.text
    return response.json()


@behave.then(
    'an operator of every VM sees what is held back, since when and why'
)
def then_seen(context):
    for vm in all_vms(context):
        held = call(
            context, operate, context, 'GET', vm, '/admin/held-prompts'
        )
        [one] = held['held']
        assert len(one['segments']) == 1, one
        assert len(one['servers']) >= 3, one
        assert one['since'] and 'ended under' in one['reason'], one
        context.hold_id = one['id']


def all_plain_services(context):
    return list(context.world.deployment.plain_services.values())


@behave.given('each plain service crashes on an entry with {text}')
def given_crashing_plain(context, text):
    run_seconds = {}
    for one in all_plain_services(context):
        run_seconds[one] = one.run_seconds
        one.run_seconds = 0.02
        one.crashing_text = text.encode()

    def restore():
        for one in all_plain_services(context):
            one.crashing_text = b''
            one.run_seconds = run_seconds[one]
        for vm in all_vms(context).values():
            for hold_id in list(vm.guard.states):
                vm.guard.lift(hold_id)

    context.add_cleanup(restore)


def register(context, text, vm=worlds.ENTRY_VM):
    call(
        context,
        context.world.send,
        path=PLAIN_SERVICE_PATH,
        via=vm,
        json={'entry': text},
    )
    return context.world.responses[-1]


@behave.when('a caller sends the entry with {text} until it is held back')
def when_entry_held(context, text):
    for _ in range(MAX_PROMPTS):
        response = register(context, text)
        if response.json().get('error', {}).get('code') == 'request_held':
            return
        call(context, anyio.sleep, 0.4)
    raise AssertionError(context.world.responses[-1].text)


def count_entries(context, text='melon'):
    return sum(
        text.encode() in request.body
        for one in all_plain_services(context)
        for request in one.received_requests
    )


@behave.then('at most {count:d} of them have reached a plain service')
def then_reached_plain(context, count):
    assert 3 <= count_entries(context) <= count, count_entries(context)
    call(context, anyio.sleep, 1.2)


@behave.then('through every VM the entry is rejected as request_held')
def then_entry_rejected(context):
    before = count_entries(context)
    for vm in all_vms(context):
        response = register(context, 'melon', vm)
        error = response.json()['error']
        assert (response.status_code, error['code']) == (503, 'request_held')
        assert error['run'] == 'not_run', error
    assert count_entries(context) == before


@behave.then('through every VM an entry of pears is registered')
def then_registered(context):
    for vm in all_vms(context):
        response = register(context, 'pears', vm)
        assert response.status_code == 201, response.text


@behave.then(
    'an operator sees the digest of the entry, and neither its body nor its'
    ' key'
)
def then_digest(context):
    held = call(
        context,
        operate,
        context,
        'GET',
        worlds.ENTRY_VM,
        '/admin/held-prompts',
    )
    [one] = held['held']
    assert not one['segments'] and len(one['digests']) == 1, one
    assert len(one['servers']) >= 3, one
    for secret in ('melon', context.world.keys['orchard']):
        assert secret not in str(held), held


def piedmont_servers(context):
    deployment = context.world.deployment
    found = {**deployment.engines, **deployment.plain_services}
    return {name: one for name, one in found.items() if 'piedmont' in name}


@behave.given('{vm} reaches no engine')
def given_lost_engines(context, vm):
    @contextlib.asynccontextmanager
    async def fail(call):
        raise errors.BackendConnectError('no connection')
        yield

    for server in all_vms(context)[vm].backend_pool.by_name.values():
        port = server.port
        context.add_cleanup(setattr, port, 'send', port.send)
        port.send = fail


@behave.then('engines of piedmont alone have run them, each once')
def then_run_in_piedmont(context):
    started = [
        (name, one)
        for name, engine in context.world.deployment.engines.items()
        for one in engine.started_request_ids
    ]
    assert len(started) == len(context.world.responses), started
    assert all('piedmont' in name for name, _ in started), started


@behave.given('no VM has seen the end of an engine')
def given_no_ends(context):
    for vm in all_vms(context).values():
        vm.guard.ends.clear()


@behave.when(
    'a prompt runs in piedmont and all servers there reset and refuse'
    ' connections'
)
def when_all_refuse(context):
    servers = piedmont_servers(context)
    assert len(servers) >= 2, servers

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                functools.partial(
                    context.world.send,
                    via='piedmont-1',
                    json=prompt_with('pear', 1) | {'max_tokens': 400},
                )
            )
            await context.world.wait_until(
                lambda: any(one.running_count for one in servers.values())
            )
            for one in servers.values():
                one.server.crash()
        await anyio.sleep(1.0)

    call(context, run)


@behave.then('no VM knows of the end of an engine')
def then_no_ends(context):
    known = [one for vm in all_vms(context).values() for one in vm.guard.ends]
    assert not known, known


@behave.when('an operator lifts the hold at {vm}')
def when_lifted(context, vm):
    path = f'/admin/held-prompts/{context.hold_id}'
    assert call(context, operate, context, 'DELETE', vm, path)['lifted']
    call(context, anyio.sleep, 0.5)


@behave.then('a prompt with {text} reaches an engine through {vm}')
def then_reaches(context, text, vm):
    before = count_crashing(context, text)
    send(context, text, 101, vm)
    assert count_crashing(context, text) > before


class Guards:
    """Several VMs' guards, with their exchanges, in fake time."""

    def __init__(self, count):
        self.timers = timer_service.ManualTimers()
        self.network = fakes.FakeNetwork(self.timers, random.Random(1))
        self.vms = [f'{number}' for number in range(1, count + 1)]
        self.guards = {}
        self.scopes = {}
        self.tasks = None

    def start(self, vm):
        if vm in self.scopes:
            self.scopes[vm].cancel()
        guard = crash_guard.CrashGuard(self.timers)
        exchange = peer_exchange.PeerExchange(
            crash_guard.EXCHANGE_METHOD,
            'crash:not_told',
            guard,
            lambda: [one for one in self.vms if one != vm],
            self.timers,
            self.network.mesh(vm),
            random.Random(int(vm)),
        )
        self.guards[vm] = guard
        self.network.handlers[vm] = exchange.handlers()
        self.tasks.start_soon(self.run, vm, guard, exchange)

    async def run(self, vm, guard, exchange):
        with anyio.CancelScope() as scope:
            self.scopes[vm] = scope
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(guard.run)
                tasks.start_soon(exchange.run)

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        async with anyio.create_task_group() as tasks:
            self.tasks = self.network.tasks = tasks
            for vm in self.vms:
                self.start(vm)
            task_status.started()
            await anyio.sleep_forever()


@behave.given('{count:d} VMs that exchange what they know of ends')
def given_guards(context, count):
    context.guards = Guards(count)
    future, _ = context.portal.start_task(context.guards.serve)
    context.add_cleanup(future.cancel)


async def refuse():
    return True


async def end_engines(guards, count=3):
    for number in range(count):
        guard = guards.guards[guards.vms[number % len(guards.vms)]]
        interruption = crash_attribution.Interruption(
            f'r-{number}',
            ('system', 'melon', f'q{number}'),
            guards.timers.now() - 0.1,
            guards.timers.now(),
        )
        guard.record_interruption(SERVICE, f'e{number}', interruption, refuse)
        guard.record_sound(SERVICE, ['system'])
        await guards.timers.advance(0.2)
    guard.record_sound(SERVICE, ['system'])


@behave.when(
    '3 engines end under prompts with a message, each seen by another VM'
)
@in_fleet
async def when_ends(context):
    await end_engines(context.guards)


async def do_nothing(guards):
    pass


async def restart(guards):
    await guards.timers.advance(0.3)
    guards.start('1')


async def cut(guards):
    guards.network.cut(['1'], ['2', '3'])
    await guards.timers.advance(3.0)
    guards.network.heal()


async def get_sound(guards):
    guards.guards['2'].record_sound(SERVICE, ['melon'])


async def lift(guards):
    await guards.timers.advance(1.5)
    guard = guards.guards['3']
    [hold] = guard.index.holds
    assert guard.lift(hold.hold_id)


async def lift_and_restart(guards):
    await lift(guards)
    guards.start('1')


EVENTS = {
    'nothing happens': do_nothing,
    'VM 1 restarts': restart,
    'VM 1 cannot be reached for 3 seconds': cut,
    'VM 2 has a sound response with the message': get_sound,
    'an operator lifts what is held back at VM 3': lift,
    'VM 1 restarts after an operator lifts it': lift_and_restart,
}


@behave.when('for the guards {event}')
@in_fleet
async def when_event(context, event):
    await EVENTS[event](context.guards)


@behave.then('all 3 VMs hold back {what} within {seconds:g} seconds')
@in_fleet
async def then_held(context, what, seconds):
    guards = context.guards
    await guards.timers.advance(seconds)
    expected = [('melon',)] if what == 'the message' else []
    for vm, guard in guards.guards.items():
        held = [one.traits for one in guard.index.holds]
        assert held == expected, (vm, held)


@behave.when('VM 1 gets {message} as facts on ends')
@in_fleet
async def when_malformed(context, message):
    guards = context.guards
    handler = guards.network.handlers['1'][crash_guard.EXCHANGE_METHOD]
    context.error = None
    try:
        await handler('2', orjson.loads(message))
    except errors.GatewayError as error:
        context.error = error


@behave.then('the facts are a protocol error of their sender')
def then_protocol_error(context):
    assert isinstance(context.error, errors.PeerProtocolError), context.error
    assert '2 sent' in context.error.message


@behave.when('VM 1 learns of 300 ends, 30000 sound messages and 300 holds')
@in_fleet
async def when_many(context):
    guard = context.guards.guards['1']
    now = context.guards.timers.now()
    for number in range(300):
        interruption = crash_attribution.Interruption(
            f'r-{number}', (f's{number}',), now, now
        )
        guard.add_end(SERVICE, f'e{number}', now, [interruption])
        hold = held_requests.Hold(SERVICE, (f'h{number}',), number, (), ())
        guard.apply(crash_guard.HoldState(hold, float(number)))
    for number in range(30_000):
        guard.record_sound(SERVICE, [f'm{number}'])


@behave.then(
    'it keeps {ends:d} ends, {sound:d} sound messages and {holds:d} holds'
)
def then_bounded(context, ends, sound, holds):
    guard = context.guards.guards['1']
    counts = (len(guard.ends), len(guard.sound_at), len(guard.states))
    assert counts == (ends, sound, holds), counts


@behave.when('a VM of an earlier release forwards a prompt of two messages')
def when_earlier(context):
    content = prompt_with('melon', 1)
    content['messages'] = content['messages'][:2]
    body = orjson.dumps(content)
    packed = {
        'call': {
            'request_id': 'r-1',
            'organisation': 'orchard',
            'service': SERVICE,
            'kind': 'model',
            'method': 'POST',
            'path': '/v1/chat/completions',
            'headers': [],
            'repeatable': True,
            'stream': False,
            'tokens': 10,
            'priority': 0,
        },
        'weight': 1.0,
        'prefix': b'',
        'removes_usage': False,
        'wait': 1.0,
    }
    context.spec = forwarding.unpack_spec(packed, body)
    context.expected = request_parsing.digest_segments(content['messages'])


@behave.then('the call has the segments of both')
def then_segments(context):
    assert len(context.expected) == 2
    assert context.spec.segments == context.expected
