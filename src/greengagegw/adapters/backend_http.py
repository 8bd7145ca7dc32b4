"""Implements the backend port over HTTP."""

import collections
import collections.abc
import contextlib
import math
import ssl
import typing

import eliot
import httpx
import orjson

from .. import errors
from .. import settings as settings_module
from .. import timers as timer_service
from . import backend_httpx
from . import backend_transport
from ..ports import backends

# Shorter than the usual keep-alive timeout of backend servers, so that no
# request is written to a connection that the server is just closing.
KEEP_ALIVE_SECONDS = 3.0
# A server that has sent a response twice gets each call on a connection of its
# own for this long, so that a copy meets no later call.
SINGLE_USE_SECONDS = 60.0
# Recent calls whose IDs are remembered, about 2 MB for each server.
MAX_RECENT_CALLS = 10_000
LOAD_PATH = '/load'
MAX_LOAD_REPORT_BYTES = 64 * 1024
# Limits of a retry time; more digits need not be read.
MAX_SECONDS = 1e6
MAX_SECONDS_DIGITS = 7
RESUME_HEADER = 'x-resume-offset'
RUN_HEADER = 'x-run'
REQUEST_ID_HEADER = 'x-request-id'
SOFTWARE_VERSION_HEADER = 'x-software-version'
MODEL_REJECTION_STATUSES = (429, 503)
RESPONSE_HEADERS = frozenset(
    {
        'cache-control',
        'content-disposition',
        'content-language',
        'content-type',
        'etag',
        'last-modified',
        'location',
        'retry-after',
    }
)


class HttpBackend:
    """A backend server with a small connection pool of its own.

    Each call that may not be retried gets a new connection, since the server
    may have just closed a pooled one. So does each call whose response could
    not be told from a late response to an earlier call: a call with the ID of
    an earlier one, and all calls while the server returns no IDs.

    :ivar returns_ids: whether the last response had a request ID.
    :ivar single_use_until: timer seconds until which no pooled connection is
        used.
    :ivar recent_ids: request IDs of recent calls, the oldest first.
    :ivar on_foreign_response: called for each dropped response.
    """

    def __init__(
        self,
        settings: settings_module.BackendServer,
        timeouts: settings_module.Timeouts,
        timers: timer_service.Timers,
        deployment: str,
        ssl_context: ssl.SSLContext,
    ) -> None:
        self.settings = settings
        self.name = settings.name
        self.timeouts = timeouts
        self.timers = timers
        self.url = str(settings.url).rstrip('/')
        self.via = f'1.1 {deployment}'
        self.pooled_client = self.make_client(ssl_context, settings.slots)
        self.single_use_client = self.make_client(ssl_context, 0)
        # Load polls need no client features, so they use a transport.
        self.load_transport = self.make_transport(ssl_context, 1)
        self.poll_count = 0
        self.returns_ids = False
        self.single_use_until = -math.inf
        self.recent_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.on_foreign_response: collections.abc.Callable[[], None] = (
            ignore_foreign_response
        )

    def make_client(
        self, ssl_context: ssl.SSLContext, max_idle: int
    ) -> httpx.AsyncClient:
        # The timer service sets the other time limits. The client limits
        # only connecting, to distinguish it from a late response.
        return httpx.AsyncClient(
            transport=self.make_transport(ssl_context, max_idle),
            trust_env=False,
            timeout=httpx.Timeout(None, connect=self.timeouts.connect_seconds),
        )

    def make_transport(
        self, ssl_context: ssl.SSLContext, max_idle: int
    ) -> backend_httpx.Transport:
        return backend_httpx.Transport(
            ssl_context, max_idle, KEEP_ALIVE_SECONDS
        )

    async def close(self) -> None:
        for client in (
            self.pooled_client,
            self.single_use_client,
            self.load_transport,
        ):
            await client.aclose()

    @contextlib.asynccontextmanager
    async def send(
        self, call: backends.Call, offset: int | None = None
    ) -> collections.abc.AsyncIterator[backends.Response]:
        """Sends a call and yields the response.

        :param offset: bytes at the beginning of the response that the
            server should skip, to resume a broken stream.
        :raises BackendError: if there is no response to pass on.
        """
        client = self.choose_client(call, offset)
        request = client.build_request(
            call.method,
            self.url + call.path,
            headers=self.make_headers(call, offset),
            content=call.body,
        )
        response = await self.send_request(client, request)
        try:
            self.check_request_id(call, response)
            await self.check_rejection(call, response)
            yield backends.Response(
                response.status_code,
                filter_headers(response.headers),
                self.read_body(response),
                self.name,
                self.settings.region,
                response.headers.get(SOFTWARE_VERSION_HEADER, ''),
            )
        finally:
            await response.aclose()

    def choose_client(
        self, call: backends.Call, offset: int | None
    ) -> httpx.AsyncClient:
        """Returns the client of a call, and remembers its request ID."""
        is_repeated = call.request_id in self.recent_ids
        self.recent_ids[call.request_id] = None
        if len(self.recent_ids) > MAX_RECENT_CALLS:
            self.recent_ids.popitem(last=False)
        if (
            call.repeatable
            and offset is None
            and not is_repeated
            and self.returns_ids
            and self.timers.now() >= self.single_use_until
        ):
            return self.pooled_client
        return self.single_use_client

    def make_headers(
        self, call: backends.Call, offset: int | None
    ) -> list[tuple[str, str]]:
        headers = [
            *call.headers,
            ('accept-encoding', 'identity'),
            (REQUEST_ID_HEADER, call.request_id),
            ('x-organisation', call.organisation),
            ('via', self.via),
        ]
        if offset is not None:
            headers.append((RESUME_HEADER, str(offset)))
        return headers

    async def send_request(
        self, client: httpx.AsyncClient, request: httpx.Request
    ) -> httpx.Response:
        """Sends a request and returns once the response headers arrive.

        :raises BackendConnectError: if no connection can be made.
        :raises BackendError: if the connection fails before that.
        :raises BackendTimeoutError: if they do not arrive in time.
        """
        response = None
        try:
            with self.timers.move_on_after(self.timeouts.first_byte_seconds):
                response = await client.send(request, stream=True)
        except backend_transport.CONNECT_ERRORS as error:
            raise errors.BackendConnectError(
                f'cannot connect to {self.name}', retry_after=1
            ) from error
        except backend_httpx.HTTP_ERRORS as error:
            raise errors.BackendError(
                f'connection to {self.name} failed before its response'
            ) from error
        if response is None:
            raise errors.BackendTimeoutError(
                f'{self.name} sent no response within first_byte_seconds'
            )
        return response

    def check_request_id(
        self, call: backends.Call, response: httpx.Response
    ) -> None:
        """Checks that the response belongs to this request.

        :raises BackendError: if it may belong to another request.
        """
        self.returns_ids = self.has_own_id(call.request_id, response)

    def has_own_id(self, request_id: str, response: httpx.Response) -> bool:
        """Returns whether a response has the ID of its request.

        A response without an ID may be to an earlier request, if its
        connection had one.

        :raises BackendError: if it may belong to another request.
        """
        response_id = response.headers.get(REQUEST_ID_HEADER)
        connection = find_connection(response)
        is_first = connection.response_count == 0
        connection.response_count += 1
        if response_id == request_id:
            return True
        if response_id is None and is_first:
            return False
        reason = 'no ID' if response_id is None else 'another ID'
        eliot.log_message(
            'backend:foreign_response',
            request=request_id,
            server=self.name,
            status=response.status_code,
            reason=reason,
        )
        self.on_foreign_response()
        self.single_use_until = self.timers.now() + SINGLE_USE_SECONDS
        raise errors.BackendError(
            f'{self.name} sent a response to another request: {reason}'
        )

    async def check_rejection(
        self, call: backends.Call, response: httpx.Response
    ) -> None:
        """Raises an error if the server rejected or failed the request.

        Status 429 or 503 of a model service means that the request was not
        run. Any service can say so in the ``x-run`` header. Every other
        response of a plain service goes to the client.

        :raises BackendRefusedError: if the server did not run the request.
        :raises BackendStatusError: for other 5xx of a model service.
        """
        status = response.status_code
        is_marked_not_run = response.headers.get(RUN_HEADER) == errors.NOT_RUN
        is_rejection = (
            call.kind == 'model' and status in MODEL_REJECTION_STATUSES
        )
        if is_marked_not_run or is_rejection:
            raise errors.BackendRefusedError(
                f'{self.name} rejected the request with status {status}',
                retry_after=_parse_seconds(
                    response.headers.get('retry-after')
                ),
            )
        if call.kind == 'model' and status >= 500:
            raise errors.BackendStatusError(
                f'{self.name} failed with status {status}', status
            )

    async def read_body(
        self, response: httpx.Response
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields the body as it arrives.

        :raises BrokenStreamError: if the connection fails early.
        :raises BackendTimeoutError: if no bytes arrive for too long.
        """
        idle_timeout = IdleTimeout(
            self.timers,
            self.timeouts.between_bytes_seconds,
            response.extensions['network_stream'].get_extra_info('break'),
        )
        try:
            async for chunk in response.aiter_raw():
                idle_timeout.pause()
                yield chunk
                idle_timeout.resume()
        except backend_httpx.HTTP_ERRORS as error:
            if not idle_timeout.has_expired:
                raise errors.BrokenStreamError(
                    f'connection to {self.name} failed during its response'
                ) from error
        finally:
            idle_timeout.stop()
        # A body of unknown length ends without an error on an abort.
        if idle_timeout.has_expired:
            raise errors.BackendTimeoutError(
                f'{self.name} sent nothing for '
                f'{idle_timeout.timeout_seconds:g} s'
            )

    async def is_refusing_connections(self) -> bool:
        url = self.settings.url
        return await backend_transport.is_refusing_connections(
            str(url.host),
            int(url.port or 0),
            self.timers,
            self.timeouts.connect_seconds,
        )

    async def fetch_load(self) -> backends.LoadReport:
        """Returns the server's load, fetched on a separate connection.

        :raises BackendError: if there is no valid report.
        """
        self.poll_count += 1
        request_id = f'load-{self.poll_count}'
        request = httpx.Request(
            'GET',
            self.url + LOAD_PATH,
            headers={REQUEST_ID_HEADER: request_id},
        )
        try:
            response = await self.load_transport.handle_async_request(request)
            try:
                has_own_id = self.has_own_id(request_id, response)
                report = orjson.loads(
                    await backend_transport.read_limited(
                        response.aiter_raw(), MAX_LOAD_REPORT_BYTES
                    )
                )
                if not has_own_id or self.timers.now() < self.single_use_until:
                    # The next report could not be told from a copy of this.
                    find_connection(response).abort()
            finally:
                await response.aclose()
            return backends.LoadReport(
                self.timers.now(),
                backends.check_count(int(report['running'])),
                backends.check_count(int(report['waiting'])),
                bool(report.get('leaving', False)),
            )
        except backend_httpx.HTTP_ERRORS + (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            OverflowError,
        ) as error:
            raise errors.BackendError(
                f'no valid load report from {self.name}: {error!r}'
            ) from error


class IdleTimeout:
    """Aborts a connection on which nothing arrives for too long.

    One timer per connection replaces a time limit on each read. The time
    that the client takes to read a chunk does not count.

    :param abort: closes the connection.
    """

    def __init__(
        self,
        timers: timer_service.Timers,
        timeout_seconds: float,
        abort: collections.abc.Callable[[], None],
    ) -> None:
        self.timers = timers
        self.timeout_seconds = timeout_seconds
        self.abort = abort
        self.last_activity_at = timers.now()
        self.is_paused = False
        self.has_expired = False
        self.timer = timers.call_later(timeout_seconds, self.abort_if_idle)

    def abort_if_idle(self) -> None:
        seconds_left = (
            self.last_activity_at + self.timeout_seconds - self.timers.now()
        )
        if self.is_paused:
            seconds_left = self.timeout_seconds
        if seconds_left > 0:
            self.timer = self.timers.call_later(
                seconds_left, self.abort_if_idle
            )
            return
        self.has_expired = True
        self.abort()

    def pause(self) -> None:
        self.is_paused = True

    def resume(self) -> None:
        self.is_paused = False
        self.last_activity_at = self.timers.now()

    def stop(self) -> None:
        self.timer.cancel()


def find_connection(
    response: httpx.Response,
) -> backend_transport.NetworkStream:
    return response.extensions['network_stream'].get_extra_info('connection')


def ignore_foreign_response() -> None:
    """Counts nothing; the response is logged in any case."""


def make_ssl_context() -> ssl.SSLContext:
    """Returns the TLS context for all backend connections."""
    return httpx.create_ssl_context(trust_env=False)


def filter_headers(
    headers: typing.Mapping[str, str],
) -> tuple[tuple[str, str], ...]:
    """Returns the response headers that are passed on to the client."""
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() in RESPONSE_HEADERS
    )


def _parse_seconds(value: str | None) -> float | None:
    """Returns seconds, None for a date or an invalid value."""
    # Digits of other scripts are digits to Python, too.
    if not value or not (value.isascii() and value.isdigit()):
        return None
    return min(float(value[:MAX_SECONDS_DIGITS]), MAX_SECONDS)
