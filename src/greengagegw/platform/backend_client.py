"""HTTP client for the platform's backend servers."""

import collections.abc
import contextlib
import math

import eliot

from .. import errors
from .. import timers as timer_service
from ..adapters import backend_connection
from ..adapters import backend_transport
from ..fleet import instances
from . import http_names
from ..serving import ports

# Connecting within a region takes under 5 ms. A lost first packet is sent
# again only after 1 s, and another server responds sooner than that.
CONNECT_TIMEOUT_SECONDS = 0.4
# Shorter than the servers' own keep-alive, so that the client closes first.
KEEP_ALIVE_SECONDS = 3.0
# Used while a server has not closed an idle connection before.
LONG_KEEP_ALIVE_SECONDS = 15.0
MAX_IDLE_CONNECTIONS = 32
WRONG_INSTANCE_STATUS = 421
OVERLOADED_STATUS = 503
# To a client these statuses mean that the request did not run. A backend
# server says so with NOT_EXECUTED, so without it they are not passed on.
NOT_RUN_STATUSES = (408, 429, 503)
BODILESS_STATUSES = (204, 304)
EVENT_STREAM_TYPE = b'text/event-stream'
# Far above the slots of any server; a larger number is an error of the server
# and would overflow in the predictions.
MAX_REPORTED_COUNT = 1_000_000
MIN_SLOWDOWN_PERCENT = 0.1
MAX_SLOWDOWN_PERCENT = 1e6
# Limits of seconds and of requests a second.
MAX_NUMBER = 1e6
MIN_NUMBER = 1e-6
# Engines schedule by priorities from 0 to 9; a request without one has 5.
RESUMPTION_PRIORITY = b'4'
DEFAULT_PRIORITY = b'5'


class BackendClient:
    """Implements the backend port over the platform's HTTP API.

    Each instance has a connection pool of its own, since another instance
    may get its address later.

    :ivar pools: connection pools with keep-alive by instance name.
    """

    def __init__(self, timers: timer_service.Timers) -> None:
        self.timers = timers
        self.pools: dict[str, backend_connection.ConnectionPool] = {}

    def prune_pools(self, instance_names: collections.abc.Container) -> None:
        """Closes connections that were idle for long or are not needed.

        :param instance_names: names of the instances that still exist.
        """
        for name in [one for one in self.pools if one not in instance_names]:
            self.pools.pop(name).close()
        for pool in self.pools.values():
            pool.close_expired()

    def find_pool(
        self, instance: instances.Instance
    ) -> backend_connection.ConnectionPool:
        pool = self.pools.get(instance.name)
        if pool is None:
            pool = self.pools[instance.name] = (
                backend_connection.ConnectionPool(
                    MAX_IDLE_CONNECTIONS,
                    KEEP_ALIVE_SECONDS,
                    LONG_KEEP_ALIVE_SECONDS,
                    self.timers,
                    instance.name,
                )
            )
        return pool

    @contextlib.asynccontextmanager
    async def send(
        self,
        instance: instances.Instance,
        backend_request: ports.BackendRequest,
        on_notice: collections.abc.Callable[[ports.ServerNotice], None],
    ) -> collections.abc.AsyncIterator[ports.Response]:
        """Sends a request to one instance and enters its response.

        :param on_notice: called with what the instance says of itself, also
            if its response is a rejection.
        :raises BackendConnectError: if nothing was sent.
        :raises BackendRefusedError: if the server did not run the request.
        :raises BackendError: if the request may have run.
        """
        request = make_request(instance, backend_request)
        # The server may close an idle connection just as a request is sent,
        # which leaves it unknown whether the request ran.
        needs_new_connection = not backend_request.is_retryable
        try:
            response = await self.find_pool(instance).send(
                request, needs_new_connection
            )
        except backend_transport.CONNECT_ERRORS as error:
            raise errors.BackendConnectError(
                f'connecting to {instance.name} failed'
            ) from error
        except backend_transport.HTTP_ERRORS as error:
            raise errors.BackendError(
                f'{instance.name} disconnected before it responded'
            ) from error
        try:
            headers = headers_by_name(response.headers)
            on_notice(decode_notice(backend_request, response, headers))
            check_response(instance, backend_request, response, headers)
            yield ports.Response(
                response.status,
                tuple(http_names.drop_hop_by_hop_headers(response.headers)),
                Body(instance, response),
                decode_load(headers.get(http_names.INSTANCE_LOAD)),
                ends_by_close(request.method, response, headers),
                abort=response.abort,
                is_event_stream=may_be_event_stream(headers),
            )
        finally:
            response.close()

    async def is_accepting_connections(
        self, instance: instances.Instance
    ) -> bool:
        host, _, port = instance.address.rpartition(':')
        return await backend_transport.is_accepting_connections(
            host, int(port), self.timers, CONNECT_TIMEOUT_SECONDS
        )

    async def is_refusing_connections(
        self, instance: instances.Instance
    ) -> bool:
        host, _, port = instance.address.rpartition(':')
        return await backend_transport.is_refusing_connections(
            host, int(port), self.timers, CONNECT_TIMEOUT_SECONDS
        )


def make_request(
    instance: instances.Instance, backend_request: ports.BackendRequest
) -> backend_connection.Request:
    """Returns the HTTP request to a backend server."""
    request = backend_request.request
    host, _, port = instance.address.rpartition(':')
    headers = [
        *request.headers,
        (
            http_names.DEADLINE_MS,
            str(int(backend_request.timeout_seconds * 1000)).encode(),
        ),
        (http_names.EXPECTED_INSTANCE, instance.name.encode()),
    ]
    if request.prompt is not None:
        priority = (
            RESUMPTION_PRIORITY
            if backend_request.is_resumption
            else DEFAULT_PRIORITY
        )
        headers.append((http_names.PRIORITY, priority))
    if backend_request.organisation is not None:
        headers.append(
            (http_names.ORGANISATION, backend_request.organisation.encode())
        )
    if backend_request.resume_after is not None:
        headers.append(
            (http_names.RESUME_AFTER, backend_request.resume_after.encode())
        )
    has_body = request.body or request.method not in ('GET', 'HEAD', 'DELETE')
    if has_body:
        length = str(len(request.body)).encode()
        headers.append((b'content-length', length))
    return backend_connection.Request(
        request.method.encode(),
        host,
        int(port),
        request.target,
        headers,
        request.body if has_body else None,
        CONNECT_TIMEOUT_SECONDS,
        request.request_id.encode('latin-1'),
    )


def headers_by_name(headers: list[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    return {name.lower(): value for name, value in headers}


def decode_notice(
    backend_request: ports.BackendRequest,
    response: backend_connection.Response,
    headers: dict[bytes, bytes] | None = None,
) -> ports.ServerNotice:
    """Returns what the backend server says of itself in a response.

    A response of another instance or to another request says nothing of it.

    :param headers: of the response, by name; None if they are to be read.
    """
    if headers is None:
        headers = headers_by_name(response.headers)
    request_id = backend_request.request.request_id.encode('latin-1')
    echoed = headers.get(http_names.REQUEST_ID)
    is_own = echoed == request_id or (not echoed and response.is_first)
    if response.status == WRONG_INSTANCE_STATUS or not is_own:
        return ports.ServerNotice()
    pause_seconds = None
    if response.status == OVERLOADED_STATUS:
        pause_seconds = decode_retry_after(headers.get(http_names.RETRY_AFTER))
    return ports.ServerNotice(
        headers.get(http_names.SERVER_LEAVING) == b'1',
        pause_seconds or 0.0,
        decode_limit(headers, http_names.SERVER_LIMIT),
        decode_limit(headers, http_names.SERVER_BRITTLE),
    )


def check_response(
    instance: instances.Instance,
    backend_request: ports.BackendRequest,
    response: backend_connection.Response,
    headers: dict[bytes, bytes] | None = None,
) -> None:
    """Checks that a response is the backend server's own and to this request.

    :param headers: of the response, by name; None if they are to be read.
    :raises WrongInstanceError: if another instance has the address now.
    :raises BackendRefusedError: if the server did not run the request.
    :raises BackendError: if the response cannot be passed on.
    """
    if headers is None:
        headers = headers_by_name(response.headers)
    status = response.status
    reason = find_foreign_reason(backend_request, response, headers)
    if reason is not None:
        log_foreign_response(
            instance, backend_request.request.request_id, response, reason
        )
        response.drop_as_foreign()
        raise errors.BackendError(
            f'{instance.name} sent a response to another request: {reason}'
        )
    is_marked = http_names.NOT_EXECUTED in headers
    if status == WRONG_INSTANCE_STATUS:
        raise errors.WrongInstanceError(
            f'another instance has the address of {instance.name}',
            run=errors.NOT_RUN if is_marked else errors.UNKNOWN,
        )
    if is_marked:
        raise errors.BackendRefusedError(
            f'{instance.name} rejected the request with status {status}',
            retry_after=decode_retry_after(
                headers.get(http_names.RETRY_AFTER)
            ),
        )
    if http_names.SERVER_STAMP not in headers or status in NOT_RUN_STATUSES:
        raise errors.BackendStatusError(
            f'{instance.name} responded with status {status}, without a server'
            ' stamp or without the not-executed header that the status needs',
            status,
        )


def find_foreign_reason(
    backend_request: ports.BackendRequest,
    response: backend_connection.Response,
    headers: dict[bytes, bytes],
) -> str | None:
    """Returns why a response may be to another request, None if it is not.

    A server may reject a request before it has read its ID. On a connection
    that had earlier requests, a rejection without an ID may be a late second
    copy of the response to one of these.
    """
    request_id = backend_request.request.request_id.encode('latin-1')
    echoed = headers.get(http_names.REQUEST_ID)
    if echoed:
        return None if echoed == request_id else 'another ID'
    is_rejection = (
        http_names.NOT_EXECUTED in headers
        or response.status == WRONG_INSTANCE_STATUS
    )
    return None if is_rejection and response.is_first else 'no ID'


def log_foreign_response(
    instance: instances.Instance,
    request_id: str,
    response: backend_connection.Response,
    reason: str,
) -> None:
    eliot.log_message(
        'backend:foreign_response',
        request=request_id,
        server=instance.name,
        status=response.status,
        reason=reason,
    )


def ends_by_close(
    method: bytes,
    response: backend_connection.Response,
    headers: dict[bytes, bytes],
) -> bool:
    """Returns whether the body of a response ends with its connection.

    (RFC 9112, section 6.3.)
    """
    if method == b'HEAD' or response.status in BODILESS_STATUSES:
        return False
    return (
        b'transfer-encoding' not in headers
        and b'content-length' not in headers
    )


def may_be_event_stream(headers: dict[bytes, bytes]) -> bool:
    """Returns whether the media type is that of a stream, or missing."""
    media_type = headers.get(b'content-type', EVENT_STREAM_TYPE)
    return media_type.partition(b';')[0].strip().lower() == EVENT_STREAM_TYPE


class Body:
    """The chunks of a body as they arrive.

    An iterator, since a generator takes longer for each chunk.
    """

    def __init__(
        self,
        instance: instances.Instance,
        response: backend_connection.Response,
    ) -> None:
        self.instance = instance
        self.response = response

    def __aiter__(self) -> 'Body':
        return self

    async def __anext__(self) -> bytes:
        """Returns the next chunk.

        :raises BrokenStreamError: if the connection is lost before the end.
        """
        try:
            chunk = await self.response.read()
        except backend_transport.HTTP_ERRORS as error:
            raise errors.BrokenStreamError(
                f'the response of {self.instance.name} ended early'
            ) from error
        if chunk is None:
            raise StopAsyncIteration
        return chunk


def decode_load(value: bytes | None) -> ports.ReportedLoad | None:
    """Returns the load in a header value, None if it is missing or invalid.

    The value contains running requests, waiting requests and slots, and from
    some servers the time that work takes, in percent of the normal time.
    Further numbers are ignored.
    """
    if value is None:
        return None
    try:
        running, waiting, slots = (int(one) for one in value.split(b',')[:3])
        percents = [float(one) for one in value.split(b',')[3:4]]
    except ValueError:
        log_bad_load(value)
        return None
    counts = (running, waiting, slots)
    has_valid_counts = 0 <= min(counts) and max(counts) <= MAX_REPORTED_COUNT
    if not has_valid_counts or not all(
        MIN_SLOWDOWN_PERCENT <= one <= MAX_SLOWDOWN_PERCENT for one in percents
    ):
        log_bad_load(value)
        return None
    slowdown = percents[0] / 100 if percents else None
    return ports.ReportedLoad(*counts, slowdown)


def log_bad_load(value: bytes) -> None:
    eliot.log_message('backend:bad_load', value=repr(value)[:50])


def decode_retry_after(value: bytes | None) -> float | None:
    """Returns seconds, None if the value is missing or invalid."""
    if value is None:
        return None
    seconds = decode_number(value)
    if seconds is None:
        eliot.log_message('backend:bad_retry_after', value=repr(value)[:50])
    return seconds


def decode_limit(headers: dict[bytes, bytes], name: bytes) -> float | None:
    """Returns a limit by second, infinite if the header is missing.

    :returns: None if the value is invalid.
    """
    value = headers.get(name)
    if value is None:
        return math.inf
    limit = decode_number(value)
    if limit is None:
        eliot.log_message(
            f'backend:bad_{name.decode().replace("-", "_")}',
            value=repr(value)[:50],
        )
    return limit


def decode_number(value: bytes) -> float | None:
    """Returns a finite number that is not negative, None for any other.

    Numbers beyond what any server means are cut off, since their sums and
    reciprocals would overflow.
    """
    try:
        number = float(value)
    except ValueError:
        return None
    if not math.isfinite(number) or number < 0:
        return None
    return min(number, MAX_NUMBER) if number >= MIN_NUMBER else 0.0
