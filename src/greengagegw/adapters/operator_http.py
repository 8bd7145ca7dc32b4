"""ASGI application that serves the operators of a VM."""

import collections.abc
import hashlib
import hmac
import re
import typing

import eliot
import orjson

from .. import crash_guard
from .. import errors
from .. import metrics as metric_sets
from .. import settings as settings_module
from .. import table as tables
from .. import timers as timer_service
from . import asgi
from . import client_http
from ..control import operations as operation_sets
from ..control import view as views
from . import error_codec

MAX_BODY_BYTES = tables.MAX_TABLE_BYTES + 65536
ETAG_PATTERN = re.compile(r'"(\d+)"\Z')
HOLD_PATH_PATTERN = re.compile(r'/admin/held-prompts/([0-9a-f]{16})\Z')
KEY_PATH_PATTERN = re.compile(r'/admin/keys/([0-9a-f]{12})\Z')
EDIT_ID_PATTERN = re.compile(r'[\x21-\x7e]{1,128}\Z')


class Response(typing.NamedTuple):
    """A response to an operator."""

    status: int
    content_type: str
    body: bytes
    headers: tuple = ()


class OperatorApplication:
    """Serves the operators' API and the metrics on one VM.

    :param describe_status: returns the status of the VM as a dictionary.
    :param update_gauges: sets the gauges to their current values.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        operations: operation_sets.Operations,
        view: views.ConfigurationView,
        guard: crash_guard.CrashGuard,
        metrics: metric_sets.Metrics,
        describe_status: collections.abc.Callable[[], dict],
        update_gauges: collections.abc.Callable[[], None],
        timers: timer_service.Timers,
    ) -> None:
        self.settings = settings
        self.timers = timers
        self.operations = operations
        self.view = view
        self.guard = guard
        self.metrics = metrics
        self.describe_status = describe_status
        self.update_gauges = update_gauges
        self.routes = {
            ('GET', '/admin/table'): self.get_table,
            ('PUT', '/admin/table'): self.put_table,
            ('GET', '/admin/held-prompts'): self.list_holds,
            ('GET', '/admin/keys'): self.list_keys,
            ('POST', '/admin/keys'): self.give_key,
            ('GET', '/admin/status'): self.get_status,
            ('GET', '/metrics'): self.get_metrics,
        }

    async def __call__(
        self, scope: dict, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope['type'] == 'lifespan':
            await asgi.serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            try:
                response = await self.process_request(scope, receive)
            except errors.GatewayError as error:
                response = make_error_response(error)
            except Exception:
                eliot.write_traceback()
                failure = errors.GatewayError('an internal error occurred')
                response = make_error_response(failure)
            headers = [(b'content-type', response.content_type.encode())]
            headers += response.headers
            await asgi.send_response(
                send, response.status, headers, response.body
            )

    async def process_request(
        self, scope: dict, receive: asgi.Receive
    ) -> Response:
        method, path = scope['method'], scope['path']
        if path in client_http.HEALTH_PATHS:
            return self.make_health_response(path)
        headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in scope['headers']
        }
        self.authenticate(headers)
        body = await self.read_body(scope, receive)
        match = KEY_PATH_PATTERN.match(path)
        if match and method == 'DELETE':
            # Nothing undoes a withdrawal, so that it may come late.
            return make_json_response(
                await self.operations.withdraw_key(match[1])
            )
        if method != 'GET':
            await require_waiting_caller(receive, f'{method} {path}')
        hold_match = HOLD_PATH_PATTERN.match(path)
        if hold_match and method == 'DELETE':
            return self.lift_hold(hold_match[1])
        route = self.routes.get((method, path))
        if route is not None:
            return await route(headers, body)
        if any(path == route_path for _, route_path in self.routes) or (
            match or hold_match
        ):
            raise errors.MethodNotAllowedError(
                f'{path} does not support the method {method}'
            )
        raise errors.NotFoundError(f'unknown path {path}')

    async def read_body(self, scope: dict, receive: asgi.Receive) -> bytes:
        try:
            return await asgi.read_body(
                scope,
                receive,
                MAX_BODY_BYTES,
                self.timers,
                self.settings.timeouts.body_seconds,
            )
        except asgi.ClientDisconnected as error:
            raise errors.BadRequestError(
                'the connection closed before the end of the body'
            ) from error

    def authenticate(self, headers: dict[str, str]) -> None:
        """Checks the operator's token.

        :raises AuthenticationError: if the settings do not have its digest.
        """
        scheme, _, token = headers.get('authorization', '').partition(' ')
        token_digest = hashlib.sha256(token.strip().encode()).hexdigest()
        matches = [
            hmac.compare_digest(token_digest, digest)
            for digest in self.settings.operator_token_sha256
        ]
        if scheme.lower() != 'bearer' or not any(matches):
            raise errors.AuthenticationError(
                'the operator token is missing or unknown'
            )

    def make_health_response(self, path: str) -> Response:
        is_ok = path == '/healthz' or self.view.ready.is_set()
        text = b'ok\n' if is_ok else b'not ready\n'
        return Response(200 if is_ok else 503, 'text/plain', text)

    async def get_table(self, headers: dict, body: bytes) -> Response:
        if not self.view.ready.is_set():
            raise errors.NotReadyError(
                'this VM has not received the table yet', retry_after=1
            )
        configuration = self.view.configuration
        etag = f'"{configuration.table_revision}"'.encode()
        text = tables.format(configuration.table).encode()
        return Response(200, 'text/csv', text, ((b'etag', etag),))

    async def put_table(self, headers: dict, body: bytes) -> Response:
        if_match = headers.get('if-match')
        if if_match is None:
            raise errors.PreconditionRequiredError(
                'If-Match must contain the revision that was edited'
            )
        match = ETAG_PATTERN.match(if_match.strip())
        if match is None:
            raise errors.BadRequestError('If-Match must be "<revision>"')
        outcome = await self.operations.put_table(
            _decode_table(body), int(match[1]), read_edit_id(headers)
        )
        etag = f'"{outcome["revision"]}"'.encode()
        return make_json_response(outcome, ((b'etag', etag),))

    async def list_holds(self, headers: dict, body: bytes) -> Response:
        return make_json_response({'held': self.guard.describe_holds()})

    def lift_hold(self, hold_id: str) -> Response:
        if not self.guard.lift(hold_id):
            raise errors.NotFoundError(f'there is no hold {hold_id}')
        return make_json_response({'id': hold_id, 'lifted': True})

    async def list_keys(self, headers: dict, body: bytes) -> Response:
        return make_json_response(self.operations.list_keys())

    async def give_key(self, headers: dict, body: bytes) -> Response:
        fields = _parse_strings(body, ('organisation',), ('id', 'digest'))
        if bool(fields['id']) != bool(fields['digest']):
            raise errors.BadRequestError(
                'id and digest must both be given or both be left out'
            )
        if fields['id'] and not (
            re.fullmatch('[0-9a-f]{12}', fields['id'])
            and re.fullmatch('[0-9a-f]{64}', fields['digest'])
        ):
            raise errors.BadRequestError(
                'id must be 12 and digest 64 lower-case hexadecimal digits'
            )
        return make_json_response(
            await self.operations.give_key(
                fields['organisation'],
                read_edit_id(headers),
                fields['id'],
                fields['digest'],
            )
        )

    async def get_status(self, headers: dict, body: bytes) -> Response:
        return make_json_response(self.describe_status())

    async def get_metrics(self, headers: dict, body: bytes) -> Response:
        self.update_gauges()
        return Response(
            200, 'text/plain; version=0.0.4', self.metrics.render()
        )


async def require_waiting_caller(receive: asgi.Receive, name: str) -> None:
    """Checks that the operator waits, after the body was read.

    A VM that was suspended may read an edit that was given up long ago.

    :raises OrderAbandonedError: if the operator has closed the connection.
    """
    with asgi.CallerWatch(receive) as caller:
        if await caller.is_waiting():
            return
    eliot.log_message(
        'order:abandoned', order=name, reason='the caller has gone'
    )
    raise errors.OrderAbandonedError(
        f'the caller of {name} has gone', run=errors.NOT_RUN
    )


def read_edit_id(headers: dict[str, str]) -> str:
    """Returns the ID that identifies a resent edit, or an empty string.

    :raises BadRequestError: if the ID is malformed.
    """
    edit_id = headers.get('x-edit-id', '')
    if edit_id and not EDIT_ID_PATTERN.match(edit_id):
        raise errors.BadRequestError(
            'X-Edit-Id must be 1 to 128 visible ASCII characters'
        )
    return edit_id


def make_json_response(content: typing.Any, headers: tuple = ()) -> Response:
    return Response(200, 'application/json', orjson.dumps(content), headers)


def make_error_response(error: errors.GatewayError) -> Response:
    body = orjson.dumps({'error': error_codec.pack(error)})
    headers = tuple(
        pair
        for pair in client_http.error_headers(error)
        if pair[0] != b'content-type'
    )
    return Response(error.status, 'application/json', body, headers)


def _decode_table(body: bytes) -> str:
    try:
        return body.decode('utf-8-sig')
    except UnicodeDecodeError as error:
        raise errors.BadRequestError('the table is not UTF-8') from error


def _parse_strings(
    body: bytes, required: tuple[str, ...], optional: tuple[str, ...]
) -> dict[str, str]:
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise errors.BadRequestError('the body is not JSON') from error
    if not isinstance(content, dict):
        raise errors.BadRequestError('the body must be a JSON object')
    unknown = set(content) - {*required, *optional}
    missing = set(required) - set(content)
    if unknown or missing:
        names = ', '.join(sorted(unknown | missing))
        raise errors.BadRequestError(f'unknown or missing fields: {names}')
    if not all(isinstance(value, str) for value in content.values()):
        raise errors.BadRequestError('all values must be strings')
    return {name: content.get(name, '') for name in (*required, *optional)}
