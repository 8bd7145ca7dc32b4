"""Steps for the checks and schedules of the soak."""

import dataclasses
import errno
import os
import pathlib
import random
import re
import tempfile
import time
import types

import anyio
import behave

from soak import backends
from soak import checks
from soak import days
from soak import deployment as deployments
from soak import disk
from soak import durable
from soak import faults
from soak import layout as layouts
from soak import record as records
from standins import loopback_blocks

END = 60.0


def request(
    status=200, is_own=True, kind='safe', attempt='r', at=30.0, version=0
):
    return records.Request(
        attempt, 'front', kind, at, at + 0.1, status, is_own, version
    )


def run(at=30.0, attempt='r', domain='piedmont-a'):
    return records.Run(attempt, 'server', domain, at)


def order(name, subject, at, acknowledged_at=None):
    return records.Order(name, subject, at, acknowledged_at, END)


def read(version, at, has_sent_content=True):
    return records.Read('core', at, version, has_sent_content)


def evacuated(*runs, until=END):
    return [
        order('evacuate', 'piedmont-a', 20.0, 20.2),
        order('readmit', 'piedmont-a', until, until + 0.2),
        *runs,
    ]


def unanswered():
    return [read(None, 30.0 + number) for number in range(7)]


def unserved():
    return [
        records.Disturbance('kill', 10.0, 12.0),
        *(request(503, False, at=25.0 + n / 10) for n in range(40)),
    ]


def cut(sent_at, ended_at, run_ended_at=None, has_run=True, vm='front'):
    """Returns a request that was cut, and a stop from 20 to 27.7 s."""
    exchange = records.Exchange(
        'r', vm, 'stream', 'long', sent_at, ended_at, 0, False
    )
    ends = [] if run_ended_at is None else [{'r': run_ended_at}]
    runs = [run(sent_at)] if has_run else []
    return [records.Stop('front', 20.0, 27.7), exchange, *runs, *ends]


def left(count, run_after=-0.4, ended_after=0.4):
    """Returns requests that their clients left at 30 s, and their runs."""
    names = [f'left-{number}-{ended_after}' for number in range(count)]
    return [
        *(
            dataclasses.replace(request(0, False, attempt=one), left_at=30.0)
            for one in names
        ),
        *(run(30.0 + run_after, one) for one in names),
        dict.fromkeys(names, 30.0 + ended_after),
    ]


def keyed(at, status=401, count=1):
    """Returns requests with a key that was taken away at 20.0 to 20.2 s."""
    one = dataclasses.replace(request(status, status == 200, at=at), key='k')
    runs = [run(at)] if status == 200 else []
    return [{'k': 5}, order('put', '5', 20.0, 20.2), *runs, *count * [one]]


def left_beside(entry_vm):
    """Returns requests that clients left beside a disturbance."""
    disturbance = records.Disturbance('roll_term', 25.0, 25.1, entry_vm)
    return [disturbance, *left(2), *left(2, ended_after=0.6)]


PLANTED = {
    'a request runs 5.3 s after its key was taken away': lambda: (
        [records.Disturbance('kill', 19.0, 27.0)] + keyed(25.5, 200)
    ),
    'a request runs 4.9 s after its key was taken away': lambda: keyed(
        25.1, 200
    ),
    'six requests are refused after their key was taken away': lambda: keyed(
        20.0, count=6
    ),
    'six requests are refused before their key was taken away': lambda: keyed(
        19.8, count=6
    ),
    'servers work for two of four callers that left': lambda: (
        left(2) + left(2, ended_after=0.6)
    ),
    'servers work for two of four callers that left beside a fault': lambda: (
        left_beside('')
    ),
    'servers work for two of four callers that left beside the stop of their'
    ' VM': lambda: left_beside('front'),
    'servers work for two of four callers that left beside the stop of another'
    ' VM': lambda: left_beside('other'),
    'servers work for one of four callers that left': lambda: (
        left(3) + left(1, ended_after=0.6)
    ),
    'four requests reach a server after their callers left': lambda: left(
        4, run_after=0.6
    ),
    'three requests reach a server after their callers left': lambda: left(
        3, run_after=0.6
    ),
    'a call that ran is cut during a stop': lambda: cut(22.0, 27.6, 26.0),
    'a late call that runs to the end of a stop is cut': lambda: cut(
        23.1, 27.6
    ),
    'a call that did not run is cut 0.3 s after it was sent': lambda: cut(
        27.2, 27.5, has_run=False
    ),
    'four calls that ran are cut without a stop': lambda: (
        4 * cut(40.0, 41.0, 40.5)
    ),
    'three calls that ran are cut without a stop': lambda: (
        3 * cut(40.0, 41.0, 40.5)
    ),
    'an early call that runs to the end of a stop is cut': lambda: cut(
        22.9, 27.6
    ),
    'four streams are cut by the stop of a VM that runs them': lambda: (
        4 * cut(19.0, 27.6, vm='other')
    ),
    'four late streams are cut by the stop of a VM that runs them': lambda: (
        4 * cut(23.1, 27.6, vm='other')
    ),
    'a call that crosses the close of its connection': lambda: cut(
        27.4, 27.5, has_run=False
    ),
    'a success with the response to another request': lambda: [
        request(is_own=False)
    ],
    'an unsafe request that ran twice': lambda: [
        request(kind='unsafe'),
        run(),
        run(),
    ],
    'a safe request that ran twice': lambda: [request(), run(), run()],
    'an unsafe request that ran and was answered 503': lambda: [
        request(503, False, 'unsafe'),
        run(),
    ],
    'a read that is older than what was acknowledged': lambda: [
        order('put', '5', 20.0, 20.2),
        read(4, 23.3),
    ],
    'a read with other content than was sent': lambda: [
        order('put', '5', 20.0, 20.2),
        read(5, 23.3, False),
    ],
    'no answer to any read for 6 s in calm times': unanswered,
    'no answer to any read for 6 s beside a fault': lambda: [
        records.Disturbance('kill', 27.0, 32.0),
        *unanswered(),
    ],
    'a route that was added is not served': lambda: [
        order('put', '5', 20.0, 20.2),
        request(404, False, 'added', at=23.3, version=5),
    ],
    'a route that was added is not served within 3 s': lambda: [
        order('put', '5', 20.0, 20.2),
        request(404, False, 'added', at=23.1, version=5),
    ],
    'a route that was added is not served beside a fault': lambda: [
        records.Disturbance('kill', 19.0, 22.0),
        order('put', '5', 20.0, 20.2),
        request(404, False, 'added', at=23.3, version=5),
    ],
    'a route that a later version dropped is not served': lambda: [
        order('put', '5', 20.0, 20.2),
        order('put', '9', 22.0, 22.2),
        request(404, False, 'added', at=23.3, version=5),
    ],
    'a route that a later version dropped is served': lambda: [
        order('put', '5', 20.0, 20.2),
        order('put', '9', 22.0, 22.2),
        request(kind='added', at=25.3, version=5),
        run(25.35),
    ],
    'a request with homes in another region': lambda: [
        request(kind='home'),
        run(domain='coastal-a'),
    ],
    'a request with homes in a home region': lambda: [
        request(kind='home'),
        run(domain='blue-ridge-a'),
    ],
    'the operator gets no configuration at the end': lambda: [False],
    'the operator gets the configuration at the end': lambda: [True],
    'an order without an acknowledgement after a fault': lambda: [
        records.Disturbance('kill', 27.0, 32.0),
        order('put', '5', 30.0, 43.1),
    ],
    'an order without an acknowledgement in calm times': lambda: [
        order('put', '5', 30.0, 36.1)
    ],
    'an order of which the soak lost the acknowledgements': lambda: [
        dataclasses.replace(order('put', '5', 30.0, 41.9), lost_at=[30.2, 36])
    ],
    'an order without an answer since a lost acknowledgement': lambda: [
        dataclasses.replace(order('put', '5', 30.0, 36.4), lost_at=[30.3])
    ],
    'an order without an acknowledgement beside the stop of an entry'
    ' VM': lambda: [
        records.Disturbance('roll_term', 27.0, 32.0, 'front'),
        order('put', '5', 30.0, 36.1),
    ],
    'an order without an acknowledgement beside a fault': lambda: [
        records.Disturbance('kill', 27.0, 32.0),
        order('put', '5', 30.0, 36.1),
    ],
    'a run in an evacuated failure domain': lambda: evacuated(run(25.3)),
    'a run in an evacuated failure domain within 5 s': lambda: evacuated(
        run(25.1)
    ),
    'a run in an evacuated failure domain after its readmission': lambda: (
        evacuated(run(31.0), until=30.0)
    ),
    'no request served 13 s after a fault': unserved,
}


@behave.given('the record of a soak')
def make_record(context):
    context.record = records.Record(
        home_domains=frozenset({'piedmont-a', 'blue-ridge-a'})
    )
    context.record.now = lambda: END


@behave.when('this is planted: {planted}')
def plant(context, planted):
    record = context.record
    if planted == 'a process that ended by itself':
        record.own_ends.append('front ended')
        return
    if planted == 'an invalid change that was acknowledged':
        record.accepted_invalid.append('core acknowledged')
        return
    if planted == 'a machine that used more memory than it has':
        record.excesses['front'] = 'front used too much'
        return
    lists = {
        records.Request: record.requests,
        records.Run: record.runs,
        records.Order: record.orders,
        records.Read: record.reads,
        records.Disturbance: record.disturbances,
        records.Exchange: record.exchanges,
        records.Stop: record.stops,
    }
    for one in PLANTED[planted]():
        if isinstance(one, bool):
            record.read_back = one
            continue
        if isinstance(one, dict):
            (record.revoked if 'k' in one else record.run_ends).update(one)
            continue
        lists[type(one)].append(one)
        if isinstance(one, records.Order) and one.name == 'put':
            record.sent_versions[int(one.subject)] = one.sent_at


@behave.then('the checks find nothing')
def check_nothing(context):
    found = checks.check(context.record)
    assert not found, found


@behave.then('the checks find {rule} and nothing else')
def check_found(context, rule):
    found = checks.check(context.record)
    assert found and all(one.startswith(f'{rule}:') for one in found), found


@behave.then(
    'the rounds of {count:d} seeds are drawn twice alike and lose at most two'
    ' disks'
)
def check_schedules(context, count):
    for seed in range(count):
        schedules = [faults.draw_round(random.Random(seed)) for _ in range(2)]
        assert schedules[0] == schedules[1], seed
        lost = [
            one.target
            for one in schedules[0]
            if one.kind in faults.DISK_LOSS_KINDS
        ]
        assert len(lost) <= 2 and len(set(lost)) == len(lost), schedules[0]


DAY = """
[[day]]
name = "a-day"
length_s = 20
closing = { kind = "wipe_after_ack", down_s = 1.5 }
plan = [{ at = 2.0, kind = "config_change", how = "idle" }]
faults = [
  { at = 1.0, kind = "disk_full", count = 2, for_s = 0.7, how = "renewed" },
  { at = 10.0, kind = "replace_core", x = 1.0 },
]
"""


def make_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return pathlib.Path(folder.name)


@behave.given('the file of a day')
def write_day(context):
    context.day_path = make_folder(context) / 'day.toml'
    context.day_text = DAY


@behave.given('in it, {old} is replaced by {new}')
def change_day(context, old, new):
    assert old in context.day_text
    context.day_text = context.day_text.replace(old, new)


@behave.then('its events are read in their order')
def check_events(context):
    context.day_path.write_text(context.day_text)
    day = days.read_day(context.day_path)
    read_events = [
        (one.at, one.kind, one.seconds, one.count, sorted(one.words))
        for one in day.events
    ]
    assert read_events == [
        (1.0, 'disk_full', 0.7, 2, ['renewed']),
        (2.0, 'config_change', 5.0, None, ['idle']),
        (10.0, 'replace_core', 5.0, None, []),
    ], read_events
    assert (day.name, day.length) == ('a-day', 20)
    assert (day.closing.at, day.closing.seconds) == (20, 1.5)


@behave.then('reading it fails with: {reason}')
def check_day_error(context, reason):
    context.day_path.write_text(context.day_text)
    try:
        days.read_day(context.day_path)
    except days.DayError as error:
        assert str(error).endswith(reason), error
    else:
        raise AssertionError('the day was read')


CATCH_UP_SECONDS = 0.5
WIPES = {
    'two events that wipe two disks each': [(0.0, 2), (0.1, 2)],
    'three events that wipe a disk each': [(0.0, 1), (0.1, 1), (0.2, 1)],
    'an event that wipes two disks after it': [(0.5, 2)],
}


class IdleMachine(deployments.Machine):
    """A control VM without a process, which notes lost disks and starts."""

    is_running = False

    def start(self, is_first_start=False):
        if not self.is_running:
            self.is_running = True
            self.started_at = time.monotonic()
            self.deployment.seen.append(('start', self, self.started_at))

    def kill(self):
        self.is_running = False

    def wipe(self):
        self.deployment.seen.append(('wipe', self, time.monotonic()))


async def lose_nothing(*_):
    return None


async def play_wipes(folder, events, ended):
    """Plays a day with wipes and a final fault of two disks.

    :param ended: seconds after the start when all processes are killed and
        started again.
    :returns: the wipes and starts that its VMs saw.
    """
    deployment = types.SimpleNamespace(
        folder=folder, root=folder, layout=layouts.make(5, 0), seen=[]
    )
    deployment.controls = deployment.machines = [
        IdleMachine(deployment, f'core-{number}', 'control', 'host', 'domain')
        for number in range(5)
    ]
    for one in deployment.controls:
        one.start()
    bounds = layouts.Bounds(catch_up=CATCH_UP_SECONDS, recovery=1.0)
    record = records.Record(bounds)
    rng = random.Random(1)
    injector = faults.Injector(deployment, record, rng, lambda _: None)
    operator = types.SimpleNamespace(
        put=lose_nothing, read_back=lose_nothing, acknowledged_by=None
    )
    player = days.Player(
        deployment, operator, injector, record, rng, lambda _: None, None
    )
    player.find_leader = lose_nothing
    wipe = {'kind': 'power_off', 'on': 'core', 'how': 'wipe', 'down_s': 0.2}
    events = [
        days.decode_event({'at': at, 'count': count} | wipe)
        for at, count in events
    ]
    closing = {'at': 0.3, 'kind': 'wipe_after_ack', 'down_s': 0.1}
    day = days.Day('day', 0.3, tuple(events), days.decode_event(closing))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(end_all, injector, deployment.controls, ended)
        await player.play(day)
    return deployment.seen


async def end_all(injector, machines, seconds):
    await anyio.sleep(seconds)
    injector.end(machines, has_power=True)
    await injector.restart(machines, 0.1)


@behave.then(
    'with {events}, at most two disks of a day are lost at the same time'
)
def check_lost_disks(context, events):
    last_traffic = days.LAST_TRAFFIC_SECONDS
    days.LAST_TRAFFIC_SECONDS = 1.0
    try:
        seen = anyio.run(play_wipes, make_folder(context), WIPES[events], 0.45)
    finally:
        days.LAST_TRAFFIC_SECONDS = last_traffic
    # When each VM without its disk has to count again.
    counts_at = {}
    for kind, vm, at in seen:
        if kind == 'wipe':
            lost = {one for one, until in counts_at.items() if until > at}
            assert len(lost | {vm}) <= 2, [one.name for one in lost | {vm}]
            counts_at[vm] = float('inf')
        elif counts_at.get(vm, 0.0) > at:
            counts_at[vm] = at + CATCH_UP_SECONDS
    wiped = sum(kind == 'wipe' for kind, *_ in seen)
    assert wiped == 2 + sum(count for _, count in WIPES[events]), wiped


def make_disk(folder, fault_values):
    """Returns the disk of a process that starts with a folder."""
    state = durable.DurableState(folder / 'data', folder / 'copies')
    state.load()
    return disk.Disk(folder / 'data', fault_values.get, state)


class FullDisk:
    """A folder on a disk that is full in one way."""

    def __init__(self, folder, kind):
        self.faults = {}
        self.disk = make_disk(folder, self.faults)
        self.path = os.path.join(folder, 'data', 'log')
        self.descriptor = self.disk.open(self.path, os.O_CREAT | os.O_WRONLY)
        self.disk.write(self.descriptor, bytes(disk.BLOCK_BYTES - 10))
        self.disk.fsync(self.descriptor)
        self.faults['full_disk'] = kind


@behave.given('a disk that is full: {kind}')
def fill_disk(context, kind):
    context.full = FullDisk(make_folder(context), kind)


@behave.then('on it, {operation}: {outcome}')
def check_full_disk(context, operation, outcome):
    full = context.full
    new_path = full.path + '.new'

    def replace():
        full.disk.rename(full.path, new_path)

    def write_again_after_removal():
        full.disk.unlink(full.path)
        return full.disk.write(full.descriptor, bytes(disk.BLOCK_BYTES))

    operations = {
        'a write within the last block': lambda: full.disk.write(
            full.descriptor, bytes(10)
        ),
        'a write beyond the last block': lambda: full.disk.write(
            full.descriptor, bytes(11)
        ),
        'one more write': lambda: full.disk.write(full.descriptor, b'a'),
        'a sync': lambda: full.disk.fdatasync(full.descriptor),
        'a new file': lambda: full.disk.close(
            full.disk.open(new_path, os.O_CREAT | os.O_WRONLY)
        ),
        'a rename': replace,
        'a write after the removal of a block': write_again_after_removal,
    }
    try:
        found = operations[operation]()
    except OSError as error:
        assert error.errno == errno.ENOSPC, error
        assert outcome == 'fails', outcome
        return
    if outcome.startswith('writes'):
        assert found == int(outcome.split()[1]), found
    else:
        assert outcome == 'succeeds', outcome


@behave.given('a process that {operation}')
def set_operation(context, operation):
    context.operation = operation


def sync_folder(one, path):
    descriptor = one.open(path, os.O_RDONLY | os.O_DIRECTORY)
    one.fsync(descriptor)
    one.close(descriptor)


def use_disk(folder, operation):
    """Has 100 synced bytes s in log, and u in new, before the operation."""
    one = make_disk(folder, {})
    data = folder / 'data'
    flags = os.O_CREAT | os.O_WRONLY | os.O_APPEND
    log = one.open(data / 'log', flags)
    one.write(log, b's' * 100)
    one.fsync(log)
    sync_folder(one, data)
    new = one.open(data / 'new', flags)
    one.write(new, b'u' * 100)
    if 'new file' in operation or 'replaces' in operation:
        one.fsync(new)
    if 'truncates' in operation:
        one.ftruncate(log, 30)
    if 'appends' in operation:
        one.write(log, b'a' * 50)
    if 'replaces' in operation:
        one.rename(data / 'new', data / 'log')
    if 'removes' in operation:
        one.unlink(data / 'log')
    if operation.endswith('and starts again'):
        make_disk(folder, {})
    elif operation.endswith('syncs the log'):
        one.fdatasync(log)
    elif operation.endswith('the folder'):
        sync_folder(one, data)
    one.close(log)
    one.close(new)


@behave.then(
    'after {count:d} losses of power, {name} is always {possible}, and once'
    ' {least}'
)
def check_power_loss(context, count, name, possible, least):
    found = set()
    for seed in range(count):
        folder = make_folder(context)
        use_disk(folder, context.operation)
        durable.lose_power(
            folder / 'data', folder / 'copies', random.Random(seed)
        )
        path = folder / 'data' / name
        content = path.read_bytes() if path.exists() else b'gone'
        found.add(content.replace(b'\0', b'0').decode())
    bad = [one for one in found if not re.fullmatch(possible, one)]
    assert not bad, bad
    assert any(re.fullmatch(least, one) for one in found), found


@behave.given('a backend server of the soak')
def make_backend_server(context):
    context.record = records.Record()
    context.server = backends.Server(
        'i-1',
        f'127.{loopback_blocks.reserve_block()}.1.1',
        8080,
        'piedmont-a',
        context.record,
        random.Random(1),
        None,
    )


async def call_server(server, count, headers, receive):
    """Returns what ``receive`` does for each of some connections."""
    request = 'GET /lookup/one HTTP/1.1\r\nGreengagegw-Attempt-Id: r\r\n'
    found = []
    async with anyio.create_task_group() as tasks:
        await tasks.start(
            backends.serve, server.host, server.port, server.answer
        )
        for _ in range(count):
            stream = await anyio.connect_tcp(server.host, server.port)
            async with stream:
                await stream.send(f'{request}{headers}\r\n'.encode())
                found.append(await receive(stream))
        tasks.cancel_scope.cancel()
    return found


async def receive_until_end(stream):
    """Returns all bytes, and whether a reset ended them."""
    content = b''
    while True:
        try:
            content += await stream.receive()
        except anyio.EndOfStream:
            return content, False
        except anyio.BrokenResourceError:
            return content, True


@behave.when('it sends {count:d} responses without a length')
def send_unframed(context, count):
    context.server.faults['unframed'] = 1.0
    context.responses = [
        one
        for one in anyio.run(
            call_server, context.server, count, '', receive_until_end
        )
        if b' 200 ' in one[0]
    ]


@behave.then('some are whole, and all others end with a reset')
def check_unframed(context):
    resets = set()
    for content, is_reset in context.responses:
        assert b'Content-Length' not in content, content
        assert content.endswith(b'response to r') != is_reset, content
        resets.add(is_reset)
    assert resets == {True, False}, resets


@behave.when(
    'a client closes its connection {delay:g} s after a request of {work:g} s'
)
def leave_server(context, delay, work):
    async def leave(stream):
        await anyio.sleep(delay)
        await stream.aclose()
        closed_at = context.record.now()
        await anyio.sleep(1.0)
        return closed_at

    headers = f'Work-Seconds: {work}\r\n'
    (context.closed_at,) = anyio.run(
        call_server, context.server, 1, headers, leave
    )


@behave.then('the server has ended its work within {bound:g} s')
def check_work_ended(context, bound):
    assert [one.attempt for one in context.record.runs] == ['r']
    seconds = context.record.run_ends['r'] - context.closed_at
    assert seconds < bound, seconds
