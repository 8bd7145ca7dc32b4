"""Steps for crowds of clients that do not behave."""

import pathlib
import tempfile

import behave

from features import crowd_world
from features.steps.callers import call
from standins import deployment as deployments


def start_vms(context, vms_class, memory, descriptors):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    machine = crowd_world.Machine(memory, descriptors)
    context.vms = vms_class(pathlib.Path(folder.name), machine)
    manager = context.portal.wrap_async_context_manager(context.vms.started())
    manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.crowds = []


@behave.given(
    'VMs of the platform with {memory:d} MB and {descriptors:d} descriptors'
)
def given_platform(context, memory, descriptors):
    start_vms(context, crowd_world.PlatformVms, memory, descriptors)


@behave.given(
    'a VM of its own interface with {memory:d} MB and {descriptors:d}'
    ' descriptors'
)
def given_own(context, memory, descriptors):
    start_vms(context, crowd_world.OwnVm, memory, descriptors)


@behave.given('a backend server that keeps large requests waiting')
def given_waiting_backend(context):
    context.vms.backend.is_open = crowd_world.anyio.Event()


@behave.given('a backend server with responses of {size:d} bytes')
def given_large_responses(context, size):
    context.vms.backend.answer = b'y' * size


@behave.given('ordinary requests that go to another backend server')
def given_other_backend(context):
    context.vms.ordinary_path = '/other/x'


@behave.given('a configuration of many routes')
def given_large_configuration(context):
    content = crowd_world.make_configuration(padding=1500)
    content = content.replace(b'"version":1', b'"version":2')
    call(context, context.vms.put_configuration, content)


def target_of(context, listener):
    """Returns the process and address of a listener, and a head for it."""
    vms = context.vms
    entry = crowd_world.ENTRY_HOST
    control = crowd_world.CONTROL_HOST
    if isinstance(vms, crowd_world.OwnVm):
        token = f'Authorization: Bearer {deployments.OPERATOR_TOKEN}\r\n'
        put = f'PUT /admin/table HTTP/1.1\r\nHost: x\r\n{token}'
        return {
            'its clients': (vms.entry, vms.address, vms.head),
            'its clients without a key': (
                vms.entry,
                vms.address,
                lambda: vms.head(key='unknown'),
            ),
            'its operators': (
                vms.entry,
                vms.operator_address,
                lambda: put.encode(),
            ),
            'its operators without a token': (
                vms.entry,
                vms.operator_address,
                lambda: b'PUT /admin/table HTTP/1.1\r\nHost: x\r\n',
            ),
        }[listener]
    port, second_port = crowd_world.PORT, crowd_world.SECOND_PORT
    put = b'PUT /-/config HTTP/1.1\r\nHost: x\r\n'
    get = b'GET /-/config HTTP/1.1\r\nHost: x\r\n'
    lookup = b'GET /-/resolve?name=x HTTP/1.1\r\nHost: x\r\n'
    ready = b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n'
    metrics = b'GET /metrics HTTP/1.1\r\nHost: x\r\n'
    return {
        'the clients': (vms.entry, (entry, port), vms.head),
        'the clients without a key': (
            vms.entry,
            (entry, port),
            lambda: vms.head(key='unknown'),
        ),
        'the clients in HTTP/1.0': (
            vms.entry,
            (entry, port),
            lambda: vms.head().replace(b'HTTP/1.1', b'HTTP/1.0'),
        ),
        "the entry VM's peers": (
            vms.entry,
            (entry, crowd_world.INTERNAL_PORTS[0] + 1),
            lambda: b'',
        ),
        "the control VM's peers": (
            vms.control,
            (control, crowd_world.INTERNAL_PORTS[0]),
            lambda: b'',
        ),
        'the readiness probe': (
            vms.entry,
            (entry, second_port),
            lambda: ready,
        ),
        'the metrics': (
            vms.entry,
            (entry, crowd_world.METRICS_PORT),
            lambda: metrics,
        ),
        'the operators': (vms.control, (control, port), lambda: put),
        'the readers of the configuration': (
            vms.control,
            (control, port),
            lambda: get,
        ),
        'the lookups': (vms.control, (control, second_port), lambda: lookup),
    }[listener]


@behave.when('{count:d} clients send {kind} to {listener}')
def when_crowd(context, count, kind, listener):
    send_crowd(context, [(count, kind)], listener)


@behave.when(
    'at once {count:d} clients send {kind} and {others:d} send {other_kind}'
    ' to {listener}'
)
def when_mixed_crowd(context, count, kind, others, other_kind, listener):
    send_crowd(context, [(count, kind), (others, other_kind)], listener)


@behave.when('{count:d} clients that read nothing send {kind} to {listener}')
def when_unread(context, count, kind, listener):
    send_crowd(context, [(count, kind)], listener, reads=False)


@behave.when('{count:d} clients that connect again send {kind} to {listener}')
def when_reconnecting(context, count, kind, listener):
    send_crowd(context, [(count, kind)], listener, reconnects=True)


def send_crowd(context, groups, listener, reads=True, reconnects=False):
    context.target = target_of(context, listener)[0]

    async def send():
        crowd = crowd_world.Crowd()
        context.crowds.append(crowd)
        process, address, make_head = target_of(context, listener)
        for count, kind in groups:
            parts = crowd_world.KINDS[kind]()
            for _ in range(count):
                head = [make_head()] if parts else []
                crowd.add(address, [*head, *parts], reads, reconnects)
        await crowd.settle(
            process,
            crowd_world.RECONNECT_SECONDS
            if reconnects
            else crowd_world.SETTLE_TIMEOUT_SECONDS,
        )

    call(context, send)


@behave.when('the crowd leaves')
def when_crowd_left(context):
    async def end():
        for one in context.crowds:
            await one.end()

    call(context, end)


def check_answers(context):
    is_control = context.target is getattr(context.vms, 'control', None)
    if is_control or isinstance(context.vms, crowd_world.OwnVm):
        assert call(context, context.vms.answers_operators)
    assert call(context, context.vms.answers)
    if isinstance(context.vms, crowd_world.PlatformVms):
        assert call(context, context.vms.is_ready)


@behave.then('{count:d} ordinary requests are answered, while the crowd stays')
def then_all_answered(context, count):
    for _ in range(count):
        check_answers(context)


@behave.then(
    'an ordinary request is answered, while the crowd stays and after'
)
def then_answered(context):
    try:
        assert context.target.is_alive, context.target.log.read_text()[-2000:]
        check_answers(context)
    finally:
        when_crowd_left(context)
    assert context.target.is_alive, context.target.log.read_text()[-2000:]
    check_answers(context)


@behave.then('the process has stayed within its memory and descriptors')
def then_bounded(context):
    process = context.target
    process.count_descriptors()
    machine = process.machine
    allowed = machine.memory_megabytes * crowd_world.BYTES_PER_MEGABYTE
    peak = process.peak_bytes
    seen = f'{peak} of {allowed} bytes, {process.peak_descriptors}'
    print(seen)
    assert peak <= allowed, seen
    assert process.peak_descriptors <= machine.descriptors, seen


@behave.then('at most {count:d} descriptors are open')
def then_closed(context, count):
    async def are_closed():
        return context.target.count_descriptors() <= count

    call(context, crowd_world.wait_until, are_closed)


@behave.then('no request that was rejected as not run was run')
def then_promises_kept(context):
    executed = set(context.vms.backend.executed_ids)
    for crowd in context.crowds:
        for head, status in crowd.statuses.items():
            if status in crowd_world.NOT_RUN_STATUSES:
                name = head.partition(b'Attempt-Id: ')[2].partition(b'\r')[0]
                assert name.decode() not in executed, (name, status)


# Single calls in calm.


def make_slow_parts():
    """Returns a body of the greatest size in pieces for four seconds."""
    head, body = crowd_world.make_whole_body()
    size = len(body) // 16
    return [head, *[body[at : at + size] for at in range(0, len(body), size)]]


def make_ended_chunks(chunk_bytes, total_bytes):
    parts = crowd_world.make_chunks(chunk_bytes, total_bytes)
    return [*parts, b'0\r\n\r\n']


SINGLE_CALLS = {
    'the greatest size': (crowd_world.make_whole_body, 0.0),
    'the greatest size in chunks of 64 KiB': (
        lambda: make_ended_chunks(65536, crowd_world.BODY_BYTES),
        0.0,
    ),
    '64 KiB in chunks of a byte': (lambda: make_ended_chunks(1, 65536), 0.0),
    'the greatest size over four seconds': (make_slow_parts, 0.25),
}


@behave.when('a single client sends a body of {kind}')
def when_single(context, kind):
    make_parts, pause = SINGLE_CALLS[kind]
    vms = context.vms
    context.target = vms.entry
    own = isinstance(vms, crowd_world.OwnVm)
    listener = 'its clients' if own else 'the clients'
    _, address, make_head = target_of(context, listener)

    async def send():
        reader, writer = await crowd_world.asyncio.open_connection(*address)
        for part in [make_head(), *make_parts()]:
            writer.write(part)
            await writer.drain()
            await crowd_world.asyncio.sleep(pause)
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])

    context.status = call(context, send)


@behave.then('it is answered with {status:d}')
def then_status(context, status):
    assert context.status == status, context.status
