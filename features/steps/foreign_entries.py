"""Steps for foreign entries of the instance list."""

import contextlib
import ssl

import anyio
import behave
import eliot
import msgpack
import orjson

from greengagegw import errors
from greengagegw.fleet import control
from greengagegw.fleet import instances
from greengagegw.platform import instance_list
from greengagegw.platform import process
from greengagegw.platform import settings as platform_settings
from greengagegw import timers as timer_service
from standins import loopback_blocks

HOST = f'127.{loopback_blocks.reserve_block()}.1.1'
PORT = 8080
SOUND = [
    {
        'id': name,
        'service': 'engine',
        'address': f'10.0.0.{at}:80',
        'zone': 'a-1',
        'version': 'v1',
        'slots': 64,
        'state': 'ready',
        'coldLeftMs': 0,
        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    }
    for at, name in enumerate(('i-1', 'i-2'), 1)
]
FOREIGN = SOUND[0] | {'id': 'x-1', 'address': '10.9.9.9:80'}


def with_field(name, raw):
    """Returns a foreign entry with the bytes of one field."""
    return orjson.dumps(FOREIGN | {name: 'PLACE'}).replace(b'"PLACE"', raw)


def with_address(address):
    return with_field('address', orjson.dumps(address))


def nested(depth):
    return with_field('extra', b'[' * depth + b']' * depth)


WITH_NUMBERS = {
    '1e30': b'1e30',
    '1e308': b'1e308',
    '1e999': b'1e999',
    'NaN': b'NaN',
    '2**63': str(2**63).encode(),
    '2**64': str(2**64).encode(),
    '-1': b'-1',
    '0.5': b'0.5',
    'true': b'true',
    'a list': b'[]',
    'a string': b'"1"',
}
RAW = orjson.dumps(FOREIGN)
ENTRIES = {
    'with port 0': with_address('10.9.9.9:0'),
    'with port 99999': with_address('10.9.9.9:99999'),
    'with port +80': with_address('10.9.9.9:+80'),
    'with port -80': with_address('10.9.9.9:-80'),
    'with port 8_0': with_address('10.9.9.9:8_0'),
    'with a space in its port': with_address('10.9.9.9: 80'),
    'with Arabic digits in its port': with_address('10.9.9.9:\u0668\u0660'),
    'with a port of 5,000 digits': with_address('10.9.9.9:' + '1' * 5000),
    'with no host': with_address(':80'),
    'with a host of two lines': with_address('10.9.9.9\r\nx: y:80'),
    'with a host with empty labels': with_address('a..b:80'),
    'with an id of two lines': with_field('id', rb'"x\r\ny: z"'),
    'with an id of 100,000 letters': with_field(
        'id', b'"%s"' % (b'x' * 10**5)
    ),
    'with an id that is not UTF-8': b'{"id":"\xff\xfe\x80","service":7}',
    'with an id with half a surrogate': with_field('id', rb'"\ud800"'),
    'with an id with a raw line feed': with_field('id', b'"x\ny"'),
    'with fields that are not UTF-8': with_field('zone', b'"\xc3\x28"'),
    'nested 200 levels deep': with_field('id', b'[' * 200 + b']' * 200),
    'nested 1,000 levels deep': with_field('id', b'[' * 1000 + b']' * 1000),
    'nested 1,200 levels deep': nested(1200),
    'nested 100,000 levels deep': nested(100_000),
    'nested 1,000 levels deep in a list': b'[' * 1000 + b']' * 1000,
    'without end': RAW[:-20],
    'with a string without end': b'{"id":"x-1',
    'with brackets of the wrong kind': RAW[:-1] + b']',
    'with a comma too many': RAW[:-1] + b',}',
    'that is null': b'null',
    'that is a number out of range': b'1e999',
    'that is a string with brackets': rb'"]}\"[{,"',
    'that copies a sound one within it': (
        b'{"id":"\xff","copy":[%s],"other":%s}' % (RAW, RAW)
    ),
    **{
        f'with {field} of {name}': with_field(field, raw)
        for field in ('slots', 'born', 'coldLeftMs', 'remainingMs')
        for name, raw in WITH_NUMBERS.items()
    },
}
SOUND_RAW = b'%s' % orjson.dumps(SOUND)
PAGES = {
    'empty': b'',
    'not JSON': b'<html>',
    'a list': b'[1]',
    'nested 100,000 levels deep': b'[' * 100_000 + b']' * 100_000,
    'without instances': b'{"nextToken":null}',
    'with instances in an object': b'{"instances":{},"nextToken":null}',
    'with a number as next token': b'{"instances":[],"nextToken":7}',
    'with a list as next token': b'{"instances":[],"nextToken":[]}',
    'cut short': b'{"instances":%s' % SOUND_RAW[:-20],
}


def make_page(entries):
    return b'{"instances":[%s],"nextToken":null}' % b','.join(entries)


async def read_page(page, timers, count=1):
    """Returns what a client reads from a server that sends a page."""

    async def serve(stream):
        async with stream:
            received = b''
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    received += await stream.receive()
                    if received.endswith(b'\r\n\r\n'):
                        received = b''
                        await stream.send(
                            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
                            % len(page)
                        )
                        await stream.send(page)

    async with await anyio.create_tcp_listener(
        local_host=HOST, local_port=PORT
    ) as listener:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            client = instance_list.InstanceListClient(
                platform_settings.Endpoint(HOST, PORT),
                timers,
                ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT),
            )
            listed = error = None
            try:
                for _ in range(count):
                    listed = await client.read()
            except errors.GatewayError as caught:
                error = caught
            await client.pool.aclose()
            tasks.cancel_scope.cancel()
    # An error that leaves a task group is wrapped in an exception group.
    return listed, error


@contextlib.contextmanager
def collected_messages():
    messages = []
    eliot.add_destinations(messages.append)
    try:
        yield messages
    finally:
        eliot.remove_destination(messages.append)


@behave.given('an instance list with an entry {entry} between two sound ones')
def given_odd_entry(context, entry):
    first, second = (orjson.dumps(one) for one in SOUND)
    context.page = make_page([first, ENTRIES[entry], second])


@behave.given(
    'an instance list with an entry of the ID of a sound one that {difference}'
)
def given_repeated(context, difference):
    first, second = (orjson.dumps(one) for one in SOUND)
    repeated = FOREIGN | {'id': 'i-1'}
    if difference == 'follows it':
        context.page = make_page([first, orjson.dumps(repeated), second])
        return
    if difference == 'precedes it with another service':
        repeated['service'] = 'elsewhere'
    elif difference == 'precedes it with an earlier start':
        first = orjson.dumps(SOUND[0] | {'born': 2000})
        repeated['born'] = 1000
    context.page = make_page([orjson.dumps(repeated), first, second])


@behave.given('an instance list whose page is {page}')
def given_page(context, page):
    context.page = PAGES[page]


@behave.given('an instance list with 1,000 odd entries and two sound ones')
def given_many_odd(context):
    odd = [
        orjson.dumps(FOREIGN | {'id': f'x-{at}', 'slots': 0})
        for at in range(1000)
    ]
    context.page = make_page([*odd, *(orjson.dumps(one) for one in SOUND)])


@behave.given(
    'an instance list with 12,500 entries of another service before two'
    ' sound ones'
)
def given_many_foreign(context):
    foreign = [
        orjson.dumps(FOREIGN | {'id': f'a-{at}', 'service': 'elsewhere'})
        for at in range(12_500)
    ]
    context.page = make_page([*foreign, *(orjson.dumps(one) for one in SOUND)])


@behave.when('a control VM reads and stores it')
def when_read(context):
    read_and_store(context, 1)


@behave.when(
    'a control VM reads and stores it {count:d} times within a minute'
)
def when_read_often(context, count):
    read_and_store(context, count)


def read_and_store(context, count):
    with collected_messages() as context.messages:
        context.listed, context.error = context.portal.call(
            read_page, context.page, timer_service.Timers(), count
        )
        if context.error is None:
            context.packed = store_listed(context.listed)


def store_listed(listed):
    """Stores a list as a control VM does after it has read it."""
    cache = control.InstanceListCache()
    kept, _ = control.select_instances(listed, {'engine'})
    cache.update([one.pack() for one in kept], 0.0)
    return cache.packed


@behave.then('it stores the two sound entries')
def then_sound_stored(context):
    assert context.error is None, context.error
    found = {one[0]: one[2] for one in context.packed}
    expected = {one['id']: one['address'] for one in SOUND}
    assert found == expected, found


def dropped_lines(context):
    return [
        one
        for one in context.messages
        if one.get('message_type') == 'instances:unreadable'
    ]


@behave.then('the log names 1 dropped entry, with a reason')
def then_logged(context):
    lines = dropped_lines(context)
    assert lines and all(one['reason'] for one in lines), lines
    assert all(len(str(one['entry'])) <= 1000 for one in lines)
    assert len({one['reason'] for one in lines}) <= 3, lines


@behave.then('the read fails as a {code}')
def then_read_fails(context, code):
    assert context.error is not None
    assert context.error.code == code, context.error


@behave.then('the log has at most {count:d} lines of dropped entries')
def then_few_lines(context, count):
    assert 0 < len(dropped_lines(context)) <= count, len(
        dropped_lines(context)
    )


@behave.then(
    'the stored list has the two sound entries and fits into a message'
)
def then_list_fits(context):
    assert context.error is None, context.error
    kept, _ = control.select_instances(context.listed, {'engine'})
    names = {one.name for one in kept}
    assert {'i-1', 'i-2'} <= names
    assert len(kept) == instances.MAX_INSTANCES
    longest = instances.Instance(
        *['x' * instances.MAX_FIELD_BYTES] * 4,
        instances.MAX_SLOTS,
        True,
        True,
        instances.MAX_BORN_MS,
        'x' * instances.MAX_FIELD_BYTES,
    )
    packed = msgpack.packb([longest.pack()] * instances.MAX_INSTANCES)
    assert len(packed) < process.MAX_FRAME_BYTES * 0.9, len(packed)


@behave.given(
    'the list of another VM with an invalid entry between two sound ones'
)
def given_list_of_peer(context):
    listed = {}
    instance_list.decode_entries(SOUND, listed)
    first, second = (one.pack() for one in listed)
    odd = ['x-1', 's', '10.9.9.9:99999', 'z', 2**60, 'yes', 1.5, -1, None]
    context.packed_list = [first, odd, [], 'text', None, {}, 7, second]


@behave.when('an entry VM unpacks it')
def when_unpacked(context):
    context.unpacked = instances.unpack_valid(context.packed_list)


@behave.then('it has the two sound entries')
def then_has_sound(context):
    names = [one.name for one in context.unpacked]
    assert names == ['i-1', 'i-2'], names
