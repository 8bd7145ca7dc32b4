"""Steps for late responses of backend servers of our own interface."""

import collections
import contextlib
import dataclasses
import re
import ssl

import anyio
import behave
import eliot
import orjson

from features.steps.fleet import in_fleet
from features.steps import late_responses
from greengagegw.adapters import backend_http
from greengagegw import errors
from greengagegw.ports import backends
from greengagegw import settings as settings_module
from greengagegw import timers as timer_service
from standins import loopback_blocks

HOST = f'127.{loopback_blocks.reserve_block()}.1.1'
PORT = 8080
REQUEST_ID = re.compile(rb'x-request-id: (\S+)')


def make_response(status, name, body, extra=b''):
    id_header = b'X-Request-Id: %s\r\n' % name if name else b''
    return b'HTTP/1.1 %d Status\r\n%s%sContent-Length: %d\r\n\r\n%s' % (
        status,
        id_header,
        extra,
        len(body),
        body,
    )


COPIES = {
    'the earlier response': lambda response: response,
    'a rejection without an ID': lambda response: make_response(429, b'', b''),
    'a mark of not run without an ID': lambda response: make_response(
        400, b'', b'', b'X-Run: not_run\r\n'
    ),
    'a response without an ID': lambda response: make_response(
        200, b'', b'late'
    ),
    'no IDs': lambda response: b'',
    'reports without IDs': lambda response: response,
}


class Engine(late_responses.LateServer):
    """An engine that responds with the ID and body of the request."""

    def __init__(self, copy, moment):
        super().__init__(moment)
        self.copy = copy
        self.make_copy = lambda name, response: COPIES[copy](response)
        self.rejects_all = False
        self.poll_count = 0

    def find_id(self, head):
        found = REQUEST_ID.search(head.lower())
        return found[1] if found else b''

    def respond(self, head, name, body):
        if self.rejects_all:
            return make_response(429, b'', b'')
        is_silent = self.copy in ('no IDs', 'reports without IDs')
        returned = b'' if is_silent else name
        if head.startswith(b'GET /load'):
            self.poll_count += 1
            report = {'running': self.poll_count, 'waiting': 0}
            return make_response(200, returned, orjson.dumps(report))
        return make_response(200, returned, name + b'-' + body)


@behave.given('an engine that writes {copy}, {moment}')
def given_engine(context, copy, moment):
    context.engine = Engine(copy, moment)


@behave.given('an engine that rejects all calls without an ID')
def given_rejecting(context):
    context.engine = Engine('no IDs', 'never')
    context.engine.rejects_all = True


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A call as its sender saw it.

    :ivar received: the body, or the error.
    """

    expected: bytes
    received: bytes | errors.GatewayError


def make_call(name, body, is_repeatable):
    return backends.Call(
        name,
        'o',
        's',
        'model',
        'POST',
        '/x',
        (),
        body,
        is_repeatable,
        False,
        1,
    )


@contextlib.asynccontextmanager
async def connected_backend(context):
    """Enters the client of the engine of the scenario."""
    timers = timer_service.Timers()
    server = settings_module.BackendServer(
        name='i-1', service='s', region='a', url=f'http://{HOST}:{PORT}'
    )
    context.foreign = collections.Counter()
    context.sent, context.logged = [], []
    context.engine.connections.clear()
    listener = await anyio.create_tcp_listener(
        local_host=HOST, local_port=PORT
    )
    eliot.add_destinations(context.logged.append)
    context.logged.clear()
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run)
        tasks.start_soon(listener.serve, context.engine.serve)
        backend = backend_http.HttpBackend(
            server,
            settings_module.Timeouts(),
            timers,
            'd',
            ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT),
        )
        backend.on_foreign_response = lambda: context.foreign.update(['i-1'])
        try:
            yield backend
        finally:
            eliot.remove_destination(context.logged.append)
            await backend.close()
            tasks.cancel_scope.cancel()


async def run_calls(context, calls):
    """Sends calls one after another."""
    async with connected_backend(context) as backend:
        for call in calls:
            context.sent.append(await send(backend, call))
            await anyio.sleep(late_responses.LATE_SECONDS)


async def send(backend, call):
    expected = call.request_id.encode() + b'-' + call.body
    try:
        with anyio.fail_after(late_responses.REQUEST_TIMEOUT_SECONDS):
            async with backend.send(call) as response:
                received = b''.join([one async for one in response.chunks])
    except errors.BackendError as error:
        received = error
    return Sent(expected, received)


@behave.when('repeatable and other calls follow one another there')
@in_fleet
async def when_both(context):
    await run_calls(
        context,
        [
            make_call(f'r-{at}', b'body %d' % at, at % 4 != 3)
            for at in range(12)
        ],
    )


@behave.when('{count:d} repeatable calls follow one another there')
@in_fleet
async def when_repeatable(context, count):
    calls = [make_call(f'r-{at}', b'body', True) for at in range(count)]
    await run_calls(context, calls)


@behave.when(
    '{count:d} calls with the same ID and other bodies follow one another'
    ' there'
)
@in_fleet
async def when_same_id(context, count):
    calls = [make_call('r-0', b'body %d' % at, True) for at in range(count)]
    # The first call of a server has a connection of its own.
    await run_calls(context, [make_call('first', b'', True), *calls])


@behave.when(
    '{count:d} calls that may not be repeated follow one another there'
)
@in_fleet
async def when_once(context, count):
    calls = [make_call(f'r-{at}', b'body', False) for at in range(count)]
    await run_calls(context, calls)


def failed(context):
    return [
        one
        for one in context.sent
        if isinstance(one.received, errors.GatewayError)
    ]


@behave.then('each call gets its own response, or an error of unknown outcome')
def then_own(context):
    assert context.sent
    for one in context.sent:
        if isinstance(one.received, errors.GatewayError):
            assert one.received.run == errors.UNKNOWN, one
        else:
            assert one.received == one.expected, one
    # A copy costs at most the call that meets it.
    assert len(failed(context)) <= 1, context.sent


@behave.then('the dropped responses are logged and counted if any call failed')
def then_logged(context):
    logged = [
        one['server']
        for one in context.logged
        if one.get('message_type') == 'backend:foreign_response'
    ]
    assert logged == ['i-1'] * len(failed(context)), logged
    assert context.foreign.total() == len(logged), context.foreign


@behave.then('no call failed')
def then_none_failed(context):
    assert context.sent and not failed(context), context.sent


@behave.then('the engine accepted {count:d} connections')
def then_accepted(context, count):
    assert len(context.engine.connections) == count


@behave.then('each call is reported as not run')
def then_not_run(context):
    assert len(failed(context)) == len(context.sent)
    assert {one.received.run for one in context.sent} == {errors.NOT_RUN}


@behave.when('its load is polled {count:d} times')
@in_fleet
async def when_polled(context, count):
    context.polls = []
    async with connected_backend(context) as backend:
        for _ in range(count):
            before = context.engine.poll_count
            try:
                with anyio.fail_after(late_responses.REQUEST_TIMEOUT_SECONDS):
                    report = await backend.fetch_load()
                received = report.running
            except errors.BackendError as error:
                received = error
            context.polls.append((before + 1, received))
            await anyio.sleep(late_responses.LATE_SECONDS)


@behave.then('each poll gets its own report, or fails')
def then_own_reports(context):
    for expected, received in context.polls:
        if not isinstance(received, errors.GatewayError):
            assert received == expected, context.polls


@behave.then('at most {count:d} poll fails')
def then_polls_fail(context, count):
    failures = [one for one in context.polls if one[0] != one[1]]
    assert len(failures) <= count, context.polls
