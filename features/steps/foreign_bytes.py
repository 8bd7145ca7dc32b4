"""Steps for odd bytes and values of other systems."""

import contextlib
import math
import random
import types
import zlib

import anyio
import behave
import msgpack
import orjson

from features import fakes
from features import fleet_world
from features import odd_values
from features.steps import foreign_entries
from features.steps import peers as peer_steps
from features.steps import platform as platform_steps
from features.steps import settings as settings_steps
from greengagegw.adapters import asgi
from greengagegw.adapters import backend_http
from greengagegw.adapters import error_codec
from greengagegw.adapters import frames
from greengagegw.adapters import handshake
from greengagegw.adapters import peer_connection
from greengagegw.adapters import peer_mesh
from greengagegw.adapters import servers
from greengagegw import errors
from greengagegw.fleet import agent as agents
from greengagegw.fleet import control as controls
from greengagegw.fleet import crash_watch
from greengagegw.fleet import loads
from greengagegw.fleet import members
from greengagegw.fleet import poll_reply
from greengagegw.fleet import quota
from greengagegw.fleet import quota_allocator
from greengagegw.fleet import retry_records
from greengagegw.fleet import server_notices
from greengagegw.fleet import store as stores
from greengagegw import load_polling
from greengagegw.platform import backend_client
from greengagegw.platform import client_application
from greengagegw.platform import documents
from greengagegw.platform import http_names
from greengagegw.platform import instance_list
from greengagegw.platform import process
from greengagegw.platform import settings as platform_settings
from greengagegw.ports import clients
from greengagegw import request_parsing
from greengagegw.serving import ports
from greengagegw.serving import prompts
from greengagegw.serving import region_reports
from greengagegw.serving import stopping
from greengagegw import settings
from greengagegw import streams
from greengagegw import table
from greengagegw import timers as timer_service
from standins import loopback_blocks

# An event loop takes times of at most some hundred years.
MAX_SECONDS = 1e10
TABLE = """kind,name,weight,rate,burst,limit,home,bound,end
organisation,a,1,10,20,5,,no,
organisation,b,2.5,10,20,,east,yes,
service,s,1,,,,,,2027-03-31T18:00:00+00:00
"""


def run_now(coroutine):
    """Returns what a coroutine returns that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as ended:
        return ended.value
    raise AssertionError('the coroutine waits')


def is_usable_number(value, maximum=2**63):
    return (
        isinstance(value, int | float)
        and math.isfinite(value)
        and abs(value) <= maximum
    )


def check_instance_list(raw):
    first, second = (orjson.dumps(one) for one in foreign_entries.SOUND)
    page = foreign_entries.make_page([first, raw, second])
    listed = {}
    try:
        entries, _ = instance_list.decode_page(page)
    except ValueError as error:
        try:
            entries, _ = instance_list.decode_broken_page(page, error)
        except errors.BackendError:
            # An entry can hide that the list of entries has ended.
            return
    dropped = instance_list.decode_entries(entries, listed)
    instance_list.DroppedEntries(timer_service.Timers()).log(dropped)
    kept, _ = controls.select_instances(listed, {'engine'})
    packed = [one.pack() for one in kept]
    cache = controls.InstanceListCache()
    cache.update(packed, 0.0)
    for one in kept:
        host, _, port = one.address.rpartition(':')
        assert host
        assert 0 < int(port) < 65536
    # Raw fragments with brackets or quotes of their own can change where the
    # entries end, but what is whole is found.
    assert {'i-1', 'i-2'} <= {one.name for one in kept}, page


def check_desired_state(raw):
    try:
        decoded = documents.decode(raw)
    except errors.ConfigurationError as error:
        assert error.status == 400
        assert error.problems
        return
    msgpack.packb([one.timeout for one in decoded.routes])
    command = stores.put_command(decoded.version, raw)
    store = stores.Store()
    store.apply(command)
    orjson.dumps({'version': decoded.version})
    assert documents.decode(store.document).version == decoded.version
    for one in decoded.routes:
        assert one.choose_service(random.Random(1)) in decoded.services
        for seconds in (
            one.timeout,
            one.latency_objective,
            one.event_gap_objective,
        ):
            assert 0 < seconds <= MAX_SECONDS, seconds
        assert is_usable_number(one.priority)
        assert is_usable_number(one.max_attempts)
        assert decoded.find_route(one.host, one.prefix) is not None
    for one in decoded.services.values():
        assert isinstance(one.health_path, str)
        assert is_usable_number(one.max_connections)
        assert is_usable_number(one.kv_cache_tokens)
        assert 0 <= one.cold_start_seconds <= MAX_SECONDS
        assert one.cold_start_rate == 0 or 1 / one.cold_start_rate < 1e10
    for one in decoded.organisations.values():
        assert is_usable_number(one.rate)
        assert is_usable_number(one.burst)
        assert one.rate == 0 or 1 / one.rate < 1e10
        msgpack.packb([one.rate, one.burst, one.default_cost])
    limits = decoded.limits
    assert 0 < limits.header_timeout <= MAX_SECONDS
    assert 0 < limits.idle_timeout <= MAX_SECONDS
    assert is_usable_number(limits.body_bytes)
    assert is_usable_number(limits.header_bytes)


def check_backend_headers(text):
    value = text.encode(errors='surrogatepass')
    load = backend_client.decode_load(value)
    if load is not None:
        msgpack.packb([load.running, load.waiting, load.slots])
        assert load.slowdown is None or 1e-4 < load.slowdown < 1e9
    seconds = backend_client.decode_retry_after(value)
    assert seconds is None or 0 <= seconds <= MAX_SECONDS
    limit = backend_client.decode_limit(
        {http_names.SERVER_LIMIT: value}, http_names.SERVER_LIMIT
    )
    assert limit is None or limit == 0 or 1 / limit < 1e10
    seconds = backend_http._parse_seconds(value.decode('latin-1'))
    assert seconds is None or 0 <= seconds <= MAX_SECONDS


class FakeLoadResponse:
    """Returns the ID of its request, so that its connection is kept."""

    def __init__(self, request, body):
        self.headers = request.headers
        self.body = body

    async def aiter_raw(self):
        yield self.body

    async def aclose(self):
        pass


def check_load_report(raw):
    async def respond(request):
        return FakeLoadResponse(request, raw)

    backend = backend_http.HttpBackend.__new__(backend_http.HttpBackend)
    backend.load_transport = types.SimpleNamespace(
        handle_async_request=respond
    )
    backend.url = 'http://10.0.0.1:9000'
    backend.poll_count = 0
    backend.returns_ids = True
    backend.single_use_until = -math.inf
    backend.timers = timer_service.Timers()
    backend.settings = types.SimpleNamespace(name='i-1')
    backend.name = 'i-1'
    try:
        report = run_now(backend.fetch_load())
    except errors.BackendError:
        return
    check_report(report)


def check_report(report):
    assert isinstance(report.running, int)
    assert isinstance(report.waiting, int)
    assert 0 <= report.running <= 10**9, report
    assert 0 <= report.waiting <= 10**9, report
    assert isinstance(report.leaving, bool)
    msgpack.packb([report.running, report.waiting, report.received_at])
    assert math.isfinite(report.received_at)


def check_load_reports(message):
    names = {load_polling.name_digest(one): one for one in ('i-1', 'i-2')}
    reports = {}
    poller = load_polling.LoadPoller.__new__(load_polling.LoadPoller)
    poller.timers = timer_service.Timers()
    poller.name_by_digest = names
    poller.pool = types.SimpleNamespace(
        by_name={
            one: types.SimpleNamespace(report=None) for one in names.values()
        }
    )
    poller.store_report = reports.__setitem__
    with contextlib.suppress(errors.PeerProtocolError):
        run_now(poller.on_reports('vm', message))
    for one in reports.values():
        check_report(one)
    # The last row of a list is sound in most examples.
    if isinstance(message, list) and message and message[-1] == SOUND_ROW:
        assert 'i-2' in reports, message


def load_row(name):
    return [load_polling.name_digest(name), 3, 0, False, 120]


SOUND_ROW = load_row('i-2')


def check_platform_settings(text):
    try:
        read = platform_settings.decode(text)
    except errors.SettingsError as error:
        assert error.problems
        return
    for endpoint in (read.client_endpoint, read.instance_list_endpoint):
        assert endpoint is None or 0 < endpoint.port < 65536
        assert endpoint is None or endpoint.host.isprintable()
    for seconds in (
        read.bounds.revoke_seconds,
        read.bounds.stop_seconds,
        read.bounds.silence_seconds,
        read.bounds.retry_window,
        read.bounds.directory_ttl_seconds,
    ):
        assert 0 <= seconds <= MAX_SECONDS, seconds
    assert is_usable_number(read.cores)
    assert 0 <= read.max_lost_disks < 10**6, read.max_lost_disks


def check_yaml(text):
    with contextlib.suppress(errors.SettingsError):
        settings.parse(text)


def check_table(text):
    try:
        parsed = table.parse(text, ('east',))
    except errors.TableError as error:
        assert error.cells
        str(error)
        return
    formatted = table.format(parsed)
    assert table.parse(formatted, ('east',)).by_key == parsed.by_key


REQUEST = {
    'model': 'm',
    'messages': [{'role': 'user', 'content': 'hello'}],
    'stream': True,
    'max_tokens': 10,
    'n': 1,
    'stream_options': {'include_usage': False},
    'tools': [{'type': 'function', 'function': {'name': 'f'}}],
}


def check_inference_request(raw):
    request = clients.ClientRequest(
        'r-1', 'POST', '/v1/chat/completions', '', (), 'k' * 32, raw
    )
    try:
        read = request_parsing.read_model_request(request, settings.Limits())
    except errors.BadRequestError:
        return
    assert 0 < read.tokens <= 2**53
    orjson.loads(read.body)
    request_parsing.read_segments(request.path, read.body)


HEADERS = [
    [http_names.REQUEST_ID.decode(), 'r-1'],
    ['host', 'h.example:80'],
    [http_names.API_KEY.decode(), 'key-1'],
    [http_names.DEADLINE_MS.decode(), '5000'],
    [http_names.TOKEN_COUNTS.decode(), '100,20'],
    [http_names.PROMPT_SEGMENTS.decode(), 's1:50,s2:50'],
    [http_names.MODEL.decode(), 'm'],
    [http_names.OUTPUT_LENGTH_HINT.decode(), '30'],
    ['content-length', '5'],
    ['connection', 'close'],
]
TARGET = '/chat/x?a=1&b=%20'


def check_client_head(drawn):
    pairs, target = drawn
    scope = {
        'type': 'http',
        'method': 'POST',
        'raw_path': to_header_bytes(target),
        'query_string': to_header_bytes(target).partition(b'?')[2],
        'headers': [
            (to_header_bytes(pair[0]), to_header_bytes(pair[1]))
            for pair in pairs
            if isinstance(pair, list) and len(pair) == 2
        ],
    }
    try:
        asgi.check_header_size(scope, 16384)
        asgi.check_content_length(scope, 10**6)
        request = client_application.decode_request(scope, b'')
    except errors.NotRunError as error:
        assert 400 <= error.status < 500
        return
    seconds = request.client_timeout_seconds
    assert seconds is None or 0 <= seconds <= MAX_SECONDS, seconds
    prompt = request.prompt
    if prompt is not None:
        numbers = [
            prompt.tokens,
            prompt.max_output_tokens,
            prompt.expected_output_tokens,
            *(one.tokens for one in prompt.segments),
        ]
        assert all(0 <= one <= 10**9 for one in numbers), numbers
        msgpack.packb(numbers)


def to_header_bytes(value):
    if isinstance(value, bytes):
        return value
    if not isinstance(value, str):
        value = repr(value)[:20] if isinstance(value, int | float) else ''
    return value.encode(errors='surrogatepass')


def make_connection(handler):
    handlers = peer_connection.Handlers()
    handlers.calls['echo'] = handler
    handlers.streams['echo'] = handler
    written = []
    socket = types.SimpleNamespace(
        is_writable=True, write=written.append, has_unsent=False
    )
    connection = peer_connection.Connection(
        socket,
        frames.FrameReader(None, process.MAX_FRAME_BYTES),
        'vm',
        handlers,
        timer_service.Timers(),
        1.0,
        5.0,
        False,
    )
    started = []
    connection.tasks = types.SimpleNamespace(
        start_soon=lambda *one: started.append(one)
    )
    return connection, started


def check_frame(drawn):
    raw, values = drawn

    async def echo(peer, message, stream=None):
        return message

    for body in (raw, pack_frame(values)):
        if body is None:
            continue
        with contextlib.suppress(errors.PeerProtocolError):
            frames.decode(body)
        connection, started = make_connection(echo)
        connection.on_data(frames.LENGTH_PREFIX.pack(len(body)) + body)
        for function, *arguments in started:
            run_now(function(*arguments))


def pack_frame(values):
    """Returns the body of a frame, None if it cannot be packed."""
    try:
        return msgpack.packb(values)
    except (ValueError, OverflowError, TypeError, RecursionError):
        return None


class OneFrameSocket:
    """A socket on which a fixed frame arrives."""

    def __init__(self, body):
        self.received = frames.LENGTH_PREFIX.pack(len(body)) + body

    async def receive(self, max_bytes):
        received, self.received = self.received, b''
        if not received:
            raise anyio.EndOfStream
        return received

    async def send(self, data):
        pass


def check_handshake(values, authenticate):
    body = pack_frame(values)
    if body is None:
        return
    socket = OneFrameSocket(body)
    reader = frames.FrameReader(socket, process.MAX_FRAME_BYTES)
    with contextlib.suppress(errors.PeerError, anyio.EndOfStream):
        run_now(authenticate(socket, reader))


def check_listening(values):
    check_handshake(
        values,
        lambda socket, reader: handshake.authenticate_as_listener(
            socket, reader, 'guild', 'b:1', 'secret'
        ),
    )


def check_dialling(values):
    check_handshake(
        values,
        lambda socket, reader: handshake.authenticate_as_dialler(
            socket, reader, 'guild', 'a:1', 'b:1', 'secret'
        ),
    )


def check_vm_name(text):
    address = peer_mesh.parse_address(text)
    assert address is None or address.port < 100_000


def check_error(packed):
    if not isinstance(packed, dict):
        return
    try:
        error = error_codec.unpack(packed)
    except errors.PeerProtocolError:
        return
    assert isinstance(error, errors.GatewayError)
    sent = []

    async def send(message):
        sent.append(message)

    scope = {'http_version': '1.1'}
    writer = client_application.ResponseWriter(scope, send, lambda: False)
    run_now(writer.send_error(error))
    assert 400 <= sent[0]['status'] <= 599, sent
    error_codec.unpack(error_codec.pack(error))


def make_entry(vm='10.0.0.1:7600'):
    return members.EntryVm(
        vm, '10.0.0.1:80', 'a', 'a-1', members.EntryState.SERVING
    )


LOADS = {'engine': loads.RegionLoad(0.1, 0.05, 5e4, 1e5).pack()}
RETRIES = ['run-1', {'engine': [100, 3]}]
NOTICES = [[['i-1', 5]], [['i-2', 5, 1.5]]]
HOLD = ['engine', ['s1', 's2'], 1.7e9, ['i-1'], ['r-1']]
REPLY = {
    'is_confirmed': True,
    'version': 3,
    'document': zlib.compress(orjson.dumps(fleet_world.document(version=3))),
    'changes': 4,
    'evacuated': ['a-1'],
    'list_digest': 2**63,
    'list_age': 0.5,
    'instances': [fleet_world.instance(one).pack() for one in ('i-1', 'i-2')],
    'entries_digest': 7,
    'entries': [make_entry().pack()],
    'controls': ['10.0.0.3:7600', '10.0.0.4:7600'],
    'leader': '10.0.0.3:7600',
    'loads': {'a': LOADS},
    'hold_changes': 2,
    'holds': [HOLD],
    'history': [1, True, [['engine', 'v1']], [['h', '/', 'engine']]],
    'retries': [{'engine': [[1.0, 5, 1]]}, {'engine': [[1.0, 5, 1]]}],
    'notices': NOTICES,
}


def check_poll_reply(reply):
    try:
        decoded = poll_reply.decode(reply, -1, documents.decode)
    except errors.PeerProtocolError as error:
        assert len(error.message) < 1000
        return
    timers = timer_service.Timers()
    view = agents.FleetView()
    view.instance_list_read_at = -math.inf
    agent = agents.Agent(
        timers,
        None,
        view,
        lambda: (),
        None,
        documents.decode,
        4.5,
        random.Random(1),
    )
    agent.apply_reply(decoded, timers.now())
    assert all(isinstance(one, str) for one in agent.known_control_vms())
    assert view.leader is None or isinstance(view.leader, str)
    view.usable_entry_vms('a')
    view.holds.find('engine', ['s1'])
    for one in view.holds.holds:
        one.describe()
        one.make_error(1.0)
    for one in view.instances.values():
        assert 0 < int(one.address.rpartition(':')[2]) < 65536
    check_loads(view.loads)
    # A reply without a list leaves the view as it was.
    if decoded.instances is not None:
        assert math.isfinite(view.instance_list_read_at)
    else:
        assert view.instance_list_read_at == -math.inf
    msgpack.packb(agent.held_versions())


def check_loads(by_region):
    for by_service in by_region.values():
        for one in by_service.values():
            assert all(
                isinstance(number, int | float) and not math.isnan(number)
                for number in one.pack()
            ), one
            # Predictions divide by it.
            assert one.total_speed > 0, one


def check_heartbeat(message):
    fleet = controls.ControlServer.__new__(controls.ControlServer)
    fleet.timers = timer_service.Timers()
    fleet.registry = members.EntryVmRegistry(10.0)
    fleet.summary_cache = types.SimpleNamespace(invalidate=lambda: None)
    fleet.loads = {}
    fleet.retry_records = retry_records.RetryRecords(0.0)
    fleet.notice_records = server_notices.NoticeRecords()
    fleet.polled_versions = {}
    sound = [make_entry('10.0.0.9:7600').pack(), LOADS, None]
    for one in (sound, message, sound):
        with contextlib.suppress(Exception):
            # The connection logs what a handler raises, and replies with it.
            fleet.record_heartbeat(one)
    live = fleet.registry.live_entry_vms(fleet.timers.now())
    assert '10.0.0.9:7600' in {one.vm for one in live}
    addresses = members.choose_entry_vm_addresses(
        live,
        'a',
        'a-1',
        frozenset(),
        8,
        fleet.registry.capacities,
        fleet.timers.now(),
    )
    assert addresses
    orjson.dumps(addresses)
    msgpack.packb([one.pack() for one in live])
    check_loads(fleet.region_loads())
    later = fleet.timers.now() + 1000.0
    fleet.notice_records.find('x', later)
    assert not fleet.notice_records.leaving_until
    assert not fleet.notice_records.paused_until


def check_retries(report):
    records = retry_records.RetryRecords(-100.0)
    with contextlib.suppress(ValueError, TypeError, AttributeError):
        records.record('vm-1', report, 50.0)
    records.record('vm-2', RETRIES, 50.0)
    records.record('vm-2', ['run-1', {'engine': [110, 4]}], 51.0)
    packed = records.pack('vm-1', 51.0)
    msgpack.packb(packed)
    retry_records.PastRetries.unpack(packed)


def check_notices(packed):
    records = server_notices.NoticeRecords()
    with contextlib.suppress(ValueError, TypeError):
        records.record('vm-1', packed, 50.0)
    records.record('vm-1', NOTICES, 50.0)
    found = records.find('vm-1', 51.0)
    msgpack.packb(found.pack())
    assert ('i-1', 5) in found.leaving
    records.find('vm-1', 1e5)
    assert not records.leaving_until
    assert not records.paused_until


GRANT_REQUEST = [{'org': [1.0, 20.0]}, [['org', 1, 1, 5.0, False]]]


def check_grant_request(message):
    configuration = documents.decode(
        orjson.dumps(
            fleet_world.document(
                tenants=[fleet_world.tenant(ratePerS=10, burst=100)]
            )
        )
    )
    allocator = quota_allocator.QuotaAllocator(timer_service.Timers(), 0.0)
    fleet = controls.ControlServer.__new__(controls.ControlServer)
    fleet.replica = types.SimpleNamespace(
        require_leader=lambda: None, is_caught_up=True, term=1
    )
    fleet.quota_allocator = allocator
    fleet.store = types.SimpleNamespace(packed=b'x', version=1)
    fleet.decoded_configuration = configuration
    with contextlib.suppress(errors.PeerProtocolError):
        msgpack.packb(run_now(fleet.on_grant_request('vm', message)))
    run_now(fleet.on_grant_request('vm', GRANT_REQUEST))
    for one in allocator.buckets.values():
        assert is_usable_number(one.available), one.available


def check_grants(reply):
    try:
        epoch, granted = quota.decode_grants(reply)
    except errors.PeerProtocolError:
        return
    client = quota.QuotaClient(timer_service.Timers(), None, lambda name: 1.0)
    client.add_grants(epoch, granted, client.timers.now())
    for name in granted:
        held = client.find_quota(name).pool.available(client.timers.now())
        assert is_usable_number(held, 1e309), held
    returned = [
        client.report_usage(name, client.find_quota(name).pool, 1e9)
        for name in granted
    ]
    msgpack.packb(returned)


def check_end_report(message):
    try:
        service, run, interruptions = crash_watch.decode_report(
            'vm', message, 50.0
        )
    except errors.PeerProtocolError:
        return
    msgpack.packb([service, run])
    for one in interruptions:
        assert all(isinstance(trait, str) for trait in one.traits)


BACKLOG = [['requests', 'tokens'], {'i-1': [1, 20.5]}, {'limit': 2.0}]


def check_backlogs(packed):
    try:
        report = region_reports.Report.unpack(packed)
    except (TypeError, ValueError, AttributeError):
        # The errors that the decoder of the message expects.
        return
    total = region_reports.Report.sum([report, report])
    total.subtract(report)
    for values in (*total.servers.values(), total.sums):
        assert not any(math.isnan(one) for one in values.values())
    msgpack.packb(total.pack())


FORWARDED = [
    'r-1',
    'POST',
    b'/chat/x',
    'h.example',
    '/chat/x',
    [[b'a', b'b']],
    b'{}',
    5.0,
    ['m', 100, 20, [['s1', 50], ['s2', 50]], 30],
    None,
]


def check_forwarded(values):
    try:
        request = ports.Request.unpack(values)
    except errors.PeerProtocolError as error:
        assert error.run == errors.NOT_RUN
        return
    prompt = request.prompt
    if prompt is None:
        return
    cache = prompts.PrefixCacheModel(400)
    cache.record_prompt(prompt)
    cache.cached_tokens(prompt)
    assert 0 <= cache.tokens <= 400, cache.tokens
    assert 0 <= prompt.total_tokens < 2**60


def check_usage(raw):
    try:
        tokens = streams.read_body_usage(raw)
    except errors.BrokenStreamError:
        return
    assert tokens is None or 0 <= tokens <= 10**9, tokens


def changed_pairs():
    return odd_values.strategies.tuples(
        odd_values.changed(HEADERS), odd_values.changed_text(TARGET)
    )


def changed_frames():
    sound = odd_values.strategies.sampled_from(
        [
            [3, 1, 'echo', ['x']],
            [4, 1, True, None],
            [4, 1, False, {'code': 'x', 'message': 'm'}],
            [5, 1, 'echo', None],
            [6, 1, b'\xc0'],
            [7, 1],
            [8, 1, {'code': 'x', 'message': 'm', 'run': 'ran'}],
            [9, 1, 5],
            [10],
        ]
    ).flatmap(odd_values.changed)
    return odd_values.strategies.tuples(
        odd_values.strategies.one_of(
            odd_values.strategies.binary(max_size=40),
            odd_values.strategies.sampled_from(
                [
                    b'\x91' * 2000 + b'\xc0',
                    b'\x91' * 900 + b'\xc0',
                    b'\x91' * 10**6,
                    b'\x81\xc0' * 900,
                    b'\xdd\xff\xff\xff\xff',
                    b'\xdf\xff\xff\xff\xff',
                    b'\xc6\xff\xff\xff\xff',
                    b'\x94\x03\x01\xa1\xff\xc0',
                    b'\xd7\xff' + b'\xff' * 8,
                    b'\x94\x03\x01\xa4echo\xc7\x0c\xff' + b'\xff' * 12,
                ]
            ),
        ),
        sound,
    )


READERS = {
    'the instance list': (
        odd_values.changed_json(foreign_entries.FOREIGN),
        check_instance_list,
    ),
    'the desired state': (
        odd_values.changed_json(fleet_world.document()),
        check_desired_state,
    ),
    'the headers of a backend server': (
        odd_values.strategies.one_of(
            odd_values.changed_text('3,0,64,100'),
            odd_values.changed_text('1.5'),
            odd_values.strategies.sampled_from(odd_values.TEXTS),
        ),
        check_backend_headers,
    ),
    'the load report of a backend server': (
        odd_values.changed_json({'running': 1, 'waiting': 2, 'leaving': 0}),
        check_load_report,
    ),
    'the load reports of another VM': (
        odd_values.changed([load_row('i-1'), SOUND_ROW]),
        check_load_reports,
    ),
    'the settings file of the platform': (
        odd_values.changed_text(
            platform_steps.SETTINGS
            + 'faultTolerance.machines=1\nlimits.cores=2\n'
        ),
        check_platform_settings,
    ),
    'the settings in YAML': (
        odd_values.strategies.deferred(
            lambda: odd_values.changed_text(
                settings_steps.yaml.safe_dump(settings_steps.valid_settings())
            )
        ),
        check_yaml,
    ),
    'the table in CSV': (odd_values.changed_text(TABLE), check_table),
    'an inference request': (
        odd_values.changed_json(REQUEST),
        check_inference_request,
    ),
    "the head of a client's request": (changed_pairs(), check_client_head),
    'the name of another VM': (
        odd_values.changed_text('10.0.0.1:7600')
        | odd_values.strategies.sampled_from(odd_values.TEXTS),
        check_vm_name,
    ),
    'a frame of another VM': (changed_frames(), check_frame),
    'the handshake of a VM that dials': (
        odd_values.changed([0, 2, 'guild', 'a:1', b'n' * 16]),
        check_listening,
    ),
    'the handshake of a VM that was dialled': (
        odd_values.changed([1, 2, 'b:1', b'n' * 16, b'p' * 32]),
        check_dialling,
    ),
    'an error of another VM': (
        odd_values.changed(
            error_codec.pack(errors.NotLeaderError('no', 'other'))
        )
        | odd_values.changed(error_codec.pack(errors.ConflictError('no', 7)))
        | odd_values.changed(
            error_codec.pack(errors.OverloadedError('no', retry_after=1))
        )
        | odd_values.changed(
            {'code': 'later', 'message': 'no', 'status': 503}
        ),
        check_error,
    ),
    'the reply to a poll': (
        odd_values.changed(REPLY),
        check_poll_reply,
    ),
    'a heartbeat': (
        odd_values.changed(
            [
                make_entry().pack(),
                LOADS,
                {'version': 1},
                {'cores': 2, 'lag': 0.1},
                RETRIES,
                NOTICES,
            ]
        ),
        check_heartbeat,
    ),
    'a report of retries': (odd_values.changed(RETRIES), check_retries),
    'the notices of servers': (odd_values.changed(NOTICES), check_notices),
    'a request for grants of tokens': (
        odd_values.changed(GRANT_REQUEST),
        check_grant_request,
    ),
    'grants of tokens': (
        odd_values.changed([5, {'org': [1, 20.0]}]),
        check_grants,
    ),
    'a report of the end of a server': (
        odd_values.changed(
            ['engine', 'i-1', 5, [['r-1', ['s1', 's2'], 1.5, 0.5]]]
        ),
        check_end_report,
    ),
    'a forwarded request': (odd_values.changed(FORWARDED), check_forwarded),
    'the usage of an engine': (
        odd_values.changed_json({'usage': {'total_tokens': 30}})
        | odd_values.strategies.sampled_from(odd_values.NUMBERS).map(
            lambda number: orjson.dumps({'usage': {'total_tokens': number}})
        ),
        check_usage,
    ),
    'a report of backlogs': (odd_values.changed(BACKLOG), check_backlogs),
}


@behave.when('{reader} gets odd values in many places')
def when_odd_values(context, reader):
    strategy, check = READERS[reader]
    # Events and futures need a running event loop.
    context.checked = context.portal.call(
        odd_values.check_each, strategy, check
    )


@behave.then('it raises no other error, and what it accepts can be used')
def then_no_other_error(context):
    assert context.checked >= odd_values.EXAMPLES * 0.9, context.checked


# Connections with odd bytes.

# The representation of such a value is beyond the recursion limit.
DEEP_BYTES = b'\x91' * 990 + b'\xc0'


def deep_hello(position):
    """Returns a first frame with a deeply nested value at one position."""
    values = [
        msgpack.packb(one)
        for one in (0, frames.PROTOCOL_VERSION, 'guild', 'dialler', b'n' * 16)
    ]
    values[position] = DEEP_BYTES
    return peer_steps.framed(b'\x95' + b''.join(values))


ODD_FRAMES = {
    'a version nested 990 levels deep': deep_hello(1),
    'a deployment nested 990 levels deep': deep_hello(2),
    'a frame nested 100,000 levels deep': peer_steps.framed(
        b'\x91' * 100_000 + b'\xc0'
    ),
    'a frame of 4 GiB': b'\xff\xff\xff\xff' + b'x' * 100,
    'a kind that is a map': peer_steps.framed(msgpack.packb([{}, 1])),
}


@behave.given('two connected VMs')
def given_connected(context):
    peer_steps.start_pair(context)
    context.portal.call(context.pair.call_echo)


@behave.when('a connection sends {name} to one of them')
def when_odd_bytes_sent(context, name):
    async def send_odd():
        stream = await anyio.connect_tcp(peer_steps.HOST, peer_steps.PORT)
        async with stream:
            await stream.send(ODD_FRAMES[name])
            with anyio.fail_after(peer_steps.TIMEOUT_SECONDS):
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError
                ):
                    while True:
                        await stream.receive()

    context.portal.call(send_odd)


@behave.when('one VM opens two streams with the same ID')
def when_stream_repeated(context):
    async def open_twice():
        connection = await context.pair.dialler.connect('listener')
        for _ in range(2):
            await connection.send(frames.Kind.OPEN, 77, 'flood', 'counted')
        with anyio.fail_after(peer_steps.TIMEOUT_SECONDS):
            await connection.ended.wait()

    context.portal.call(open_twice)


@behave.then('the other one is served as before')
def then_served(context):
    reply = context.portal.call(context.pair.call_echo)
    assert reply == ['dialler', 'hello'], reply


# Documents.

ODD_YAML = {
    'nested 100,000 levels deep': '[' * 100_000,
    'a date that does not exist': 'vm: 2001-99-99',
    'a million references': '\n'.join(
        [
            'a0: &a0 [x,x,x,x,x,x,x,x,x,x]',
            *(
                f'a{at}: &a{at} [{",".join([f"*a{at - 1}"] * 10)}]'
                for at in range(1, 7)
            ),
            'vm: *a6',
        ]
    ),
    'a key that is a list': '? [a]\n: 1',
}


@behave.when('settings in YAML are read that are {name}')
def when_odd_yaml(context, name):
    context.error = None
    try:
        settings.parse(ODD_YAML[name])
    except errors.SettingsError as error:
        context.error = error


@behave.then('they are rejected as settings')
def then_settings_rejected(context):
    assert context.error is not None
    assert len(str(context.error)) < 5000, len(str(context.error))


def make_odd_document(part, value):
    document = fleet_world.document()
    raw = orjson.dumps(document)
    if value == 'nested 2,000 levels deep':
        return raw[:-1] + b',"x":%s%s}' % (b'[' * 2000, b']' * 2000)
    if value == 'not UTF-8':
        return raw[:-1] + b',"x":"\xff"}'
    if part == 'version':
        number = {'2**63': 2**63, '2**64': 2**64}.get(value, value)
        return raw.replace(
            b'"version":1', b'"version":%b' % str(number).encode()
        )
    if part == 'size':
        noise = random.Random(1).randbytes(9 * 1024 * 1024).hex()
        return raw[:-1] + b',"x":"%s"}' % noise.encode()
    if part == 'kind':
        document['routes'][0]['kind'] = ['safe']
        return orjson.dumps(document)
    deep = b'[' * 900 + b']' * 900
    return raw.replace(b'"service":"engine"', b'"service":%s' % deep)


@behave.when('a desired state is sent whose {part} is {value}')
def when_odd_document(context, part, value):
    context.error = None
    try:
        documents.decode(make_odd_document(part, value))
    except errors.ConfigurationError as error:
        context.error = error


@behave.then("it is rejected with a status of a client's error")
def then_client_error(context):
    assert context.error is not None
    assert 400 <= context.error.status < 500
    assert len(context.error.message) < 5000


# Heads of clients.

CLIENT_ADDRESS = (f'127.{loopback_blocks.reserve_block()}.1.1', 8080)
GET = b'GET /chat/ HTTP/1.1\r\nHost: h.example\r\n'
POST = b'POST /chat/ HTTP/1.1\r\nHost: h.example\r\n'
ODD_HEADS = {
    'bytes that are not ASCII in its path': GET.replace(b'chat', b'\xff\xfe'),
    'escapes that are not UTF-8': GET.replace(b'chat', b'%ff%00%zz?%%%'),
    'a broken address as its target': GET.replace(b'/chat/', b'http://[::/'),
    'a content length of letters': POST + b'Content-Length: abc\r\n',
    'a negative content length': POST + b'Content-Length: -5\r\n',
    'a content length of 5,000 digits': (
        POST + b'Content-Length: ' + b'9' * 5000 + b'\r\n'
    ),
    'two content lengths': (
        POST + b'Content-Length: 5\r\nContent-Length: 6\r\n'
    ),
    'an unknown transfer encoding': POST + b'Transfer-Encoding: gzip\r\n',
    'a chunk of a size without limit': (
        POST + b'Transfer-Encoding: chunked\r\n\r\n' + b'f' * 30 + b'\r\nx'
    ),
    'bytes that are not UTF-8 in a header': GET + b'X-A: \xff\xfe\x80\r\n',
    'a null byte in a header': GET + b'X-A: a\x00b\r\n',
    'settings of HTTP/2 that are no base64': (
        GET + b'Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\n'
        b'HTTP2-Settings: !!!!\r\n'
    ),
    'a key of a web socket that is no text': (
        GET + b'Upgrade: websocket\r\nConnection: Upgrade\r\n'
        b'Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: \xff\r\n'
    ),
    'frames of HTTP/2 without sense': (
        b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
        b'\x00\x00\x00\x04\x00\x00\x00\x00\x00'
        b'\x00\x00\x05\x01\x05\x00\x00\x00\x01\xff\xff\xff\xff\xff'
    ),
    'no method': bytes(range(256)) * 20,
    'a record of TLS': b'\x16\x03\x01\x02\x00\x01' + b'\x00' * 200,
}
# The server answers within milliseconds, or waits for more bytes.
ODD_REPLY_SECONDS = 0.5


class Answering:
    """Answers each request of a client."""

    view = types.SimpleNamespace(configuration=None)
    in_flight = stopping.InFlightRequests()

    @contextlib.asynccontextmanager
    async def handle(self, request):
        async def send_chunks():
            yield b'served'

        yield ports.Response(200, (), send_chunks(), None, False)


@contextlib.asynccontextmanager
async def serving_clients():
    timers = timer_service.Timers()
    application = client_application.ClientApplication(
        timers, Answering(), lambda: False, lambda one: False
    )
    stopped = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            servers.serve,
            application,
            CLIENT_ADDRESS,
            servers.ServerSettings(16384, 5.0, 1.0),
            stopped.wait,
            fakes.limit_clients(timers),
            timers,
        )
        yield
        stopped.set()


async def exchange(request, seconds):
    """Returns what is received until the time or the connection ends."""
    received = b''
    with anyio.move_on_after(seconds):
        async with await anyio.connect_tcp(*CLIENT_ADDRESS) as stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                await stream.send(request)
                while b'served' not in received:
                    received += await stream.receive()
    return received


async def wait_until_served():
    with anyio.fail_after(peer_steps.TIMEOUT_SECONDS):
        while True:
            with contextlib.suppress(OSError):
                if b'served' in await exchange(GET + b'\r\n', 5.0):
                    return
            await anyio.sleep(0.02)


@behave.given('a server for clients')
def given_server(context):
    manager = context.portal.wrap_async_context_manager(serving_clients())
    manager.__enter__()
    context.add_cleanup(lambda: manager.__exit__(None, None, None))
    context.portal.call(wait_until_served)


@behave.when('a client sends a request with {name}')
def when_odd_head(context, name):
    context.portal.call(exchange, ODD_HEADS[name] + b'\r\n', ODD_REPLY_SECONDS)


@behave.then('the next request is served')
def then_next_served(context):
    reply = context.portal.call(
        exchange, GET + b'\r\n', peer_steps.TIMEOUT_SECONDS
    )
    assert b'served' in reply, reply
