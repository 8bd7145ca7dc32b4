"""Steps for requests of clients."""

import functools
import json
import time

import anyio
import behave
import httpx

from features import world as worlds

CHAT_PATH = '/v1/chat/completions'
PLAIN_SERVICE_PATH = '/services/entry-desk/entries'
# An iteration of the event loop takes under a millisecond on an idle machine.
STALL_STEP_SECONDS = 0.01


def call(context, function, *arguments, **named):
    """Runs an async function on the deployment's event loop."""
    return context.portal.call(
        functools.partial(function, *arguments, **named)
    )


# Arguments with which each kind of valid request is sent.
VALID_REQUESTS = {
    'chat': {'json': worlds.chat_body()},
    'streamed chat': {'json': worlds.chat_body(stream=True)},
    'completion': {
        'path': '/v1/completions',
        'json': {'model': 'judge-assist', 'prompt': 'x', 'max_tokens': 5},
    },
    'streamed completion': {
        'path': '/v1/completions',
        'json': {
            'model': 'judge-assist',
            'prompt': 'x',
            'max_tokens': 5,
            'stream': True,
        },
    },
    'plain': {'path': PLAIN_SERVICE_PATH, 'json': {'cider': 'x'}},
}


async def send_chunked(world):
    async def body():
        for _ in range(40):
            yield b' ' * 10000

    return await world.send(content=body())


def invalid_requests(world):
    """Returns a function for each kind of invalid request, which sends it."""
    key = world.keys['orchard']
    send = world.send
    message = {'role': 'user', 'content': f'my key is {key}'}
    escaped = json.dumps(worlds.chat_body(messages=[message])).replace(
        'gg-', '\\u0067g-'
    )
    requests = {
        'malformed JSON': {'content': b'{"model": '},
        'a body that is a list': {'json': []},
        'no messages': {'json': worlds.chat_body(messages=[])},
        'messages of text': {'json': worlds.chat_body(messages=['x'])},
        'no model': {'json': worlds.chat_body(model=None)},
        'an unknown model': {'json': worlds.chat_body(model='none')},
        'max_tokens of 0': {'json': worlds.chat_body(max_tokens=0)},
        'max_tokens of text': {'json': worlds.chat_body(max_tokens='x')},
        'max_tokens over the limit': {
            'json': worlds.chat_body(max_tokens=10**9)
        },
        'stream of text': {'json': worlds.chat_body(stream='yes')},
        'a body over the limit': {'content': b' ' * 300000},
        'tokens over the burst': {
            'json': worlds.chat_body(max_tokens=9000),
            'organisation': 'tiny',
        },
        'no key': {'organisation': None},
        'a wrong key': {'headers': bearer(key[:-4] + '0000')},
        'a key of wrong form': {'headers': bearer('hello')},
        'two different keys': {'headers': {'x-api-key': 'other'}},
        'its key in the body': {'json': worlds.chat_body(messages=[message])},
        'its key escaped in JSON': {'content': escaped.encode()},
        'its key in the query': {
            'path': PLAIN_SERVICE_PATH,
            'params': {'k': key},
        },
        'its key in the path': {'path': f'{PLAIN_SERVICE_PATH}/{key}'},
        'an unknown path': {'path': '/v2/chat'},
        'an unknown service': {'path': '/services/none/x'},
        'a model as a service': {'path': '/services/judge-assist/x'},
        'a wrong method': {'method': 'GET'},
        'Via of this deployment': {'headers': {'via': '1.1 a, 1.1 small'}},
        'a service that has ended': {
            'json': worlds.chat_body(model='old-assist')
        },
        'a bad idempotency key': {
            'path': PLAIN_SERVICE_PATH,
            'headers': {'idempotency-key': 'with space'},
        },
    }
    senders = {
        name: functools.partial(
            send, **{'json': worlds.chat_body(), **arguments}
        )
        if 'content' not in arguments
        else functools.partial(send, **arguments)
        for name, arguments in requests.items()
    }
    senders['a chunked body too long'] = functools.partial(send_chunked, world)
    senders['a withdrawn key'] = functools.partial(send_withdrawn, world)
    return senders


def bearer(key):
    return {'authorization': f'Bearer {key}'}


async def withdraw(world, organisation):
    key_id = world.keys[organisation].split('-')[1]
    url = world.deployment.operator_url('piedmont-1')
    await world.operator.delete(f'{url}/admin/keys/{key_id}')
    await world.wait_until(
        lambda: all(
            key_id in vm.view.configuration.withdrawn
            for vm in world.deployment.vms.values()
        )
    )


async def send_withdrawn(world):
    key = await world.give_key('press')
    await withdraw(world, 'press')
    await world.send(headers=bearer(key), json=worlds.chat_body())
    await world.give_key('press')


def raw_requests(world):
    """Returns the bytes of each kind of malformed HTTP request."""
    body = json.dumps(worlds.chat_body()).encode()
    head = (
        f'POST {CHAT_PATH} HTTP/1.1\r\nhost: x\r\n'
        f'authorization: Bearer {world.keys["orchard"]}\r\n'
    ).encode()
    length = f'content-length: {len(body)}\r\n'.encode()
    chunked = b'transfer-encoding: chunked\r\n'
    hidden = head + b'content-length: 0\r\n\r\n'
    return {
        'two different lengths': head
        + length
        + b'content-length: 3\r\n\r\n'
        + body,
        'a length and chunked encoding': head
        + b'content-length: 5\r\n'
        + chunked
        + b'\r\n0\r\n\r\n'
        + hidden,
        'a length of text': head + b'content-length: ten\r\n\r\n' + body,
        'an unknown transfer encoding': head
        + b'transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
        'a chunk size that is no number': head
        + chunked
        + b'\r\nzz\r\nhello\r\n',
        'a header line without a name': head + b': x\r\n\r\n',
        'a head over the limit': head + b'x: ' + b'a' * 20000 + b'\r\n\r\n',
        'a head that never ends': head + b'x: ',
        'a body that never ends': head + length + b'\r\n' + body[:10],
        'bytes that are not HTTP': b'\x16\x03\x01\x02\x00\x01\x00\r\n\r\n',
    }


@behave.when('a caller sends a {kind} request through {vm}')
def send_valid(context, kind, vm):
    call(context, context.world.send, via=vm, **VALID_REQUESTS[kind])


@behave.then('each of its choices has a text and no message')
def check_text(context):
    response = context.world.responses[-1]
    bodies = [response.text]
    if response.headers['content-type'] == 'text/event-stream':
        bodies = [
            event.removeprefix('data: ')
            for event in response.text.split('\n\n')
            if event and event != 'data: [DONE]'
        ]
    assert bodies
    for body in bodies:
        for choice in json.loads(body)['choices']:
            assert choice['text'] and 'message' not in choice, choice


@behave.when('a caller sends a request with {fault}')
def send_invalid(context, fault):
    call(context, invalid_requests(context.world)[fault])


@behave.when('a caller sends the bytes of {content}')
def send_bytes(context, content):
    raw = raw_requests(context.world)[content]
    received = call(context, context.world.send_raw, raw)
    context.world.notes['raw'] = received


@behave.then('the connection is answered with {status} or closed')
def check_raw(context, status):
    received = context.world.notes['raw']
    assert received == b'' or status.encode() in received.split(b'\r\n')[0], (
        received
    )


@behave.then('the answer is whole and has status {status:d}')
def check_whole(context, status):
    response = context.world.responses[-1]
    assert response.status_code == status, response.text
    if response.headers['content-type'].startswith('text/event-stream'):
        assert response.text.endswith('data: [DONE]\n\n'), response.text
        assert '"usage"' not in response.text
    else:
        assert isinstance(response.json(), dict)


@behave.then('the backend servers received it once')
def check_once(context):
    assert len(context.world.received_requests()) == 1, (
        context.world.received_requests()
    )


@behave.then('the backend servers received nothing')
def check_nothing(context):
    assert context.world.received_requests() == [], (
        context.world.received_requests()
    )


@behave.then('the error is {code} with status {status:d} and run {run}')
def check_error(context, code, status, run):
    response = context.world.responses[-1]
    found = response.json()['error']
    assert (found['code'], response.status_code, found['run']) == (
        code,
        status,
        run,
    ), response.text
    assert found['request_id'] and found['message']


@behave.then('another caller is served')
def check_other_client(context):
    response = call(
        context,
        context.world.send,
        organisation='press',
        via='piedmont-1',
        json=worlds.chat_body(),
    )
    assert response.status_code == 200, response.text


@behave.when('a caller sends its key in headers that are forwarded')
def send_key_headers(context):
    key = context.world.keys['orchard']
    call(
        context,
        context.world.send,
        path=PLAIN_SERVICE_PATH + '?a=b',
        json={'cider': 'x'},
        headers={
            'x-api-key': key,
            'traceparent': key,
            'tracestate': f'k={key}',
            'cookie': f'key={key}',
            'accept-language': key,
            'x-other': key,
        },
    )


@behave.then('no backend server received a key')
def check_no_key(context):
    received = context.world.received_requests()
    assert received
    for key in context.world.keys.values():
        assert key not in repr(received)


@behave.given('a caller with an open connection that served a request')
def open_connection(context):
    world = context.world

    async def use():
        await world.give_key('press')
        client = httpx.AsyncClient(
            headers=bearer(world.keys['press']), trust_env=False
        )
        response = await client.get(
            world.deployment.client_url('coastal-1') + '/v1/models'
        )
        assert response.status_code == 200
        return client

    context.client = call(context, use)


@behave.when('its key is withdrawn')
def withdraw_key(context):
    call(context, withdraw, context.world, 'press')


@behave.then('its next request on that connection is rejected as {code}')
def check_open_connection(context, code):
    world = context.world

    async def use():
        response = await context.client.get(
            world.deployment.client_url('coastal-1') + '/v1/models'
        )
        await context.client.aclose()
        await world.give_key('press')
        return response

    response = call(context, use)
    assert response.json()['error']['code'] == code, response.text


@behave.given('the engines are slow')
def slow_engines(context):
    engines = context.world.deployment.engines.values()
    saved = [one.settings.token_seconds for one in engines]
    for one in engines:
        one.settings.token_seconds = 0.1

    def restore():
        for one, seconds in zip(engines, saved, strict=True):
            one.settings.token_seconds = seconds

    context.add_cleanup(restore)


@behave.when('a caller disconnects in the middle of a stream')
def disconnect(context):
    world = context.world

    async def read_first_chunk():
        async with httpx.AsyncClient(trust_env=False) as client:
            async with client.stream(
                'POST',
                world.deployment.client_url('piedmont-2') + CHAT_PATH,
                json=worlds.chat_body(
                    stream=True, max_tokens=2000, stop_at=2000
                ),
                headers=bearer(world.keys['orchard']),
            ) as response:
                async for _ in response.aiter_raw():
                    return

    call(context, read_first_chunk)


@behave.then('the engine stops the request and its slot is free')
def check_cancelled(context):
    world = context.world
    engines = world.deployment.engines.values()
    vm = world.deployment.vms['piedmont-2']
    call(
        context,
        world.wait_until,
        lambda: (
            sum(one.running_count for one in engines) == 0
            and all(
                one.in_flight == 0 for one in vm.backend_pool.by_name.values()
            )
        ),
    )
    assert sum(len(one.started_request_ids) for one in engines) == 1


@behave.when('a caller requests a long stream and does not read it')
def request_without_reading(context):
    world = context.world
    content = json.dumps(
        worlds.chat_body(stream=True, max_tokens=30000, stop_at=30000)
    ).encode()
    head = (
        f'POST {CHAT_PATH} HTTP/1.1\r\nhost: x\r\n'
        f'authorization: Bearer {world.keys["orchard"]}\r\n'
        f'content-length: {len(content)}\r\n\r\n'
    ).encode()
    host = world.deployment.client_url('piedmont-1').removeprefix('http://')

    async def send():
        stream = await anyio.connect_tcp(*host.split(':'))
        await stream.send(head + content)
        return stream

    stream = call(context, send)
    context.add_cleanup(lambda: call(context, stream.aclose))


@behave.when('a caller of {region} requests the entry list from {vm}')
def request_entries(context, region, vm):
    call(
        context,
        context.world.send,
        'GET',
        '/v1/entries',
        organisation='cidery',
        via=vm,
    )


@behave.then('the first of the {count:d} entries is in {region}')
def check_entries(context, region, count):
    content = context.world.responses[-1].json()
    assert content['ttl_seconds'] > 0
    assert content['entries'][0]['region'] == region, content
    assert len(content['entries']) == count, content


@behave.when('an organisation with a limit of 1 sends 2 requests at once')
def send_two(context):
    world = context.world

    async def send():
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(
                    functools.partial(
                        world.send,
                        organisation='narrow',
                        json=worlds.chat_body(),
                    )
                )

    call(context, send)


@behave.then('one is served and the other is rejected as {code}')
def check_one_rejected(context, code):
    responses = sorted(
        context.world.responses, key=lambda one: one.status_code
    )
    assert [one.status_code for one in responses] == [200, 429], responses
    assert responses[1].json()['error']['code'] == code


@behave.when(
    'an organisation of 30 tokens a second sends {count:d} concurrent requests'
    ' for 2000 tokens'
)
def send_over_rate(context, count):
    world = context.world
    stalled_seconds = 0.0
    world.notes['rejection_times'] = []

    async def watch_loop():
        # Clients, VMs and engines share this event loop, so nothing can be
        # rejected while the machine does not schedule it.
        nonlocal stalled_seconds
        while True:
            began_at = time.monotonic()
            await anyio.sleep(STALL_STEP_SECONDS)
            late = time.monotonic() - began_at - STALL_STEP_SECONDS
            if late > STALL_STEP_SECONDS:
                stalled_seconds += late

    async def send_one():
        # Eight tokens take the slow engines 0.9 s, which is below the limit
        # of 1.5 s on the first byte of a response.
        response = await world.send(
            organisation='tiny',
            json=worlds.chat_body(max_tokens=2000, stop_at=8),
        )
        if response.status_code != 200:
            seconds = response.elapsed.total_seconds()
            world.notes['rejection_times'].append((seconds, stalled_seconds))

    async def send_all():
        # Concurrently, since tokens that a response did not use are refunded
        # when it ends.
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(send_one)

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_loop)
            await send_all()
            tasks.cancel_scope.cancel()

    call(context, run)


@behave.then(
    'at most {max_served:d} is served, and the others are rejected as {code}'
    ' with Retry-After'
)
def check_retry_after(context, max_served, code):
    rejected = [
        one for one in context.world.responses if one.status_code != 200
    ]
    assert len(context.world.responses) - len(rejected) <= max_served
    for response in rejected:
        assert response.json()['error']['code'] == code, response.text
        assert int(response.headers['retry-after']) >= 1


@behave.then('the rejections took less than {seconds:g} second')
def check_rejection_times(context, seconds):
    # Only the stalls before a rejection can have delayed it.
    found = context.world.notes['rejection_times']
    assert max(taken - stalled for taken, stalled in found) < seconds, found
