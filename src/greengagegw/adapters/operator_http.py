"""The operators' side over HTTP, as an ASGI application."""

import collections.abc
import hashlib
import hmac
import re
import typing

import eliot
import orjson

from .. import errors
from .. import metrics as metric_sets
from .. import settings as settings_module
from .. import table as tables
from . import asgi
from ..control import operations as operation_sets
from ..control import view as views
from . import entry
from . import error_codec

MAX_BODY_BYTES = tables.MAX_TABLE_BYTES + 65536
ETAG = re.compile(r'"(\d+)"\Z')
KEY_PATH = re.compile(r'/admin/keys/([0-9a-f]{12})\Z')
EDIT_ID = re.compile(r'[\x21-\x7e]{1,128}\Z')


class Response(typing.NamedTuple):
    """An answer to an operator."""

    status: int
    content_type: str
    body: bytes
    headers: tuple = ()


class OperatorApplication:
    """Answers operators on one VM.

    :param describe: gives the status of the VM as a map.
    :param refresh: brings the gauges of the metrics up to date.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        operations: operation_sets.Operations,
        view: views.ConfigurationView,
        metrics: metric_sets.Metrics,
        describe: collections.abc.Callable[[], dict],
        refresh: collections.abc.Callable[[], None],
    ) -> None:
        self.settings = settings
        self.operations = operations
        self.view = view
        self.metrics = metrics
        self.describe = describe
        self.refresh = refresh
        self.routes = {
            ('GET', '/admin/table'): self.get_table,
            ('PUT', '/admin/table'): self.put_table,
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
                response = await self.answer(scope, receive)
            except errors.GatewayError as error:
                response = describe_error(error)
            except Exception:
                eliot.write_traceback()
                failure = errors.GatewayError('an internal error occurred')
                response = describe_error(failure)
            headers = [(b'content-type', response.content_type.encode())]
            headers += response.headers
            await asgi.send_response(
                send, response.status, headers, response.body
            )

    async def answer(self, scope: dict, receive: asgi.Receive) -> Response:
        method, path = scope['method'], scope['path']
        if path in entry.HEALTH_PATHS:
            return self.answer_health(path)
        headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in scope['headers']
        }
        self.authenticate(headers)
        body = await read_body(receive)
        match = KEY_PATH.match(path)
        if match and method == 'DELETE':
            return make_json(await self.operations.withdraw_key(match[1]))
        route = self.routes.get((method, path))
        if route is not None:
            return await route(headers, body)
        if any(path == known for _, known in self.routes) or match:
            raise errors.MethodNotAllowedError(f'{method} is not for {path}')
        raise errors.NotFoundError('there is nothing at this path')

    def authenticate(self, headers: dict[str, str]) -> None:
        """Checks the operator's token.

        :raises AuthenticationError: if it is not one of the settings'.
        """
        scheme, _, token = headers.get('authorization', '').partition(' ')
        found = hashlib.sha256(token.strip().encode()).hexdigest()
        known = [
            hmac.compare_digest(found, digest)
            for digest in self.settings.operator_token_sha256
        ]
        if scheme.lower() != 'bearer' or not any(known):
            raise errors.AuthenticationError('the token is not known')

    def answer_health(self, path: str) -> Response:
        is_good = path == '/healthz' or self.view.ready.is_set()
        text = b'ok\n' if is_good else b'not ready\n'
        return Response(200 if is_good else 503, 'text/plain', text)

    async def get_table(self, headers: dict, body: bytes) -> Response:
        if not self.view.ready.is_set():
            raise errors.NotReadyError('no table yet', retry_after=1)
        configuration = self.view.configuration
        etag = f'"{configuration.table_revision}"'.encode()
        text = tables.format(configuration.table).encode()
        return Response(200, 'text/csv', text, ((b'etag', etag),))

    async def put_table(self, headers: dict, body: bytes) -> Response:
        based_on = headers.get('if-match')
        if based_on is None:
            raise errors.PreconditionRequiredError(
                'If-Match must name the revision that was edited'
            )
        match = ETAG.match(based_on.strip())
        if match is None:
            raise errors.BadRequestError('If-Match must be "<revision>"')
        outcome = await self.operations.put_table(
            _decode(body), int(match[1]), read_edit_id(headers)
        )
        etag = f'"{outcome["revision"]}"'.encode()
        return make_json(outcome, ((b'etag', etag),))

    async def list_keys(self, headers: dict, body: bytes) -> Response:
        return make_json(self.operations.list_keys())

    async def give_key(self, headers: dict, body: bytes) -> Response:
        wanted = _read_texts(body, ('organisation',), ('id', 'digest'))
        if bool(wanted['id']) != bool(wanted['digest']):
            raise errors.BadRequestError('id and digest go together')
        if wanted['id'] and not (
            re.fullmatch('[0-9a-f]{12}', wanted['id'])
            and re.fullmatch('[0-9a-f]{64}', wanted['digest'])
        ):
            raise errors.BadRequestError('id or digest is of wrong form')
        return make_json(
            await self.operations.give_key(
                wanted['organisation'],
                read_edit_id(headers),
                wanted['id'],
                wanted['digest'],
            )
        )

    async def get_status(self, headers: dict, body: bytes) -> Response:
        return make_json(self.describe())

    async def get_metrics(self, headers: dict, body: bytes) -> Response:
        self.refresh()
        return Response(
            200, 'text/plain; version=0.0.4', self.metrics.render()
        )


async def read_body(receive: asgi.Receive) -> bytes:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise errors.BadRequestError('the body is not whole')
        parts.append(message.get('body', b''))
        size += len(parts[-1])
        if size > MAX_BODY_BYTES:
            raise errors.BodyTooLargeError(f'over {MAX_BODY_BYTES} bytes')
        if not message.get('more_body', False):
            return b''.join(parts)


def read_edit_id(headers: dict[str, str]) -> str:
    """Returns the edit's id, by which a resend is known, or nothing."""
    edit_id = headers.get('x-edit-id', '')
    if edit_id and not EDIT_ID.match(edit_id):
        raise errors.BadRequestError(
            'X-Edit-Id must be 1 to 128 visible ASCII characters'
        )
    return edit_id


def make_json(content: typing.Any, headers: tuple = ()) -> Response:
    return Response(200, 'application/json', orjson.dumps(content), headers)


def describe_error(error: errors.GatewayError) -> Response:
    body = orjson.dumps({'error': error_codec.pack(error)})
    headers = tuple(
        pair
        for pair in entry.error_headers(error)
        if pair[0] != b'content-type'
    )
    return Response(error.status, 'application/json', body, headers)


def _decode(body: bytes) -> str:
    try:
        return body.decode('utf-8-sig')
    except UnicodeDecodeError as error:
        raise errors.BadRequestError('the table is not UTF-8') from error


def _read_texts(
    body: bytes, needed: tuple[str, ...], allowed: tuple[str, ...]
) -> dict[str, str]:
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise errors.BadRequestError('the body is not JSON') from error
    if not isinstance(content, dict):
        raise errors.BadRequestError('the body must be an object')
    unknown = set(content) - {*needed, *allowed}
    missing = set(needed) - set(content)
    if unknown or missing:
        names = ', '.join(sorted(unknown | missing))
        raise errors.BadRequestError(f'unknown or missing: {names}')
    if not all(isinstance(value, str) for value in content.values()):
        raise errors.BadRequestError('all values must be texts')
    return {name: content.get(name, '') for name in (*needed, *allowed)}
