"""Sends requests to backend servers in the platform's form."""

import collections.abc
import contextlib
import ssl

import httpcore

from .. import errors
from .. import timers as timer_service
from ..adapters import backend_transport
from ..fleet import instances
from . import http_names
from ..serving import ports

# A connection within a region takes under 5 ms; a lost first packet is sent
# again after a second, when another server does better.
CONNECT_TIMEOUT_SECONDS = 0.4
# Idle connections are kept for less than servers keep them.
KEEP_ALIVE_SECONDS = 3.0
MAX_IDLE_CONNECTIONS = 32
WRONG_INSTANCE_STATUS = 421
# Their senders promise that the request did not run, which a backend server
# promises by a header of its own.
NOT_RUN_STATUSES = (408, 429, 503)
# An engine's order, 0 to 9; 5 is what it takes a request without one for.
RESUMPTION_PRIORITY = b'4'
DEFAULT_PRIORITY = b'5'


class BackendClient:
    """The backend port on the platform.

    Each instance has its own connections, since its address may become
    another one's.
    """

    def __init__(
        self, timers: timer_service.Timers, context: ssl.SSLContext
    ) -> None:
        self.timers = timers
        self.context = context
        self.transports: dict[str, backend_transport.Transport] = {}
        self.single_use_transport = backend_transport.Transport(
            context, 0, 0.0
        )

    async def prune_transports(
        self, instance_names: collections.abc.Container
    ) -> None:
        """Closes the idle connections of instances that are gone."""
        for name in [
            one for one in self.transports if one not in instance_names
        ]:
            await self.transports.pop(name).aclose()

    def select_transport(
        self,
        instance: instances.Instance,
        backend_request: ports.BackendRequest,
    ) -> backend_transport.Transport:
        # The other end may have just closed a kept connection, and then it
        # cannot be told whether a request has run.
        if not backend_request.is_retryable:
            return self.single_use_transport
        kept = self.transports.get(instance.name)
        if kept is None:
            kept = backend_transport.Transport(
                self.context, MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS
            )
            self.transports[instance.name] = kept
        return kept

    @contextlib.asynccontextmanager
    async def send(
        self,
        instance: instances.Instance,
        backend_request: ports.BackendRequest,
    ) -> collections.abc.AsyncIterator[ports.Response]:
        """Sends a request to one instance and enters its answer."""
        request = make_request(instance, backend_request)
        pool = self.select_transport(instance, backend_request).pool
        try:
            response = await pool.handle_async_request(request)
        except backend_transport.CONNECT_ERRORS as error:
            raise errors.BackendConnectError(
                f'{instance.name} cannot be reached'
            ) from error
        except backend_transport.HTTP_ERRORS as error:
            raise errors.BackendError(
                f'{instance.name} broke the connection before it answered'
            ) from error
        try:
            check_response(instance, backend_request, response)
            yield ports.Response(
                response.status,
                tuple(http_names.drop_hop_by_hop_headers(response.headers)),
                iterate_body(instance, response),
                decode_load(
                    headers_by_name(response.headers).get(
                        http_names.INSTANCE_LOAD
                    )
                ),
            )
        finally:
            await response.aclose()


def make_request(
    instance: instances.Instance, backend_request: ports.BackendRequest
) -> httpcore.Request:
    """Returns a request as the backend server expects it."""
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
    return httpcore.Request(
        request.method,
        httpcore.URL(
            scheme=b'http',
            host=host.encode(),
            port=int(port),
            target=request.target,
        ),
        headers=headers,
        content=request.body if has_body else None,
        extensions={'timeout': {'connect': CONNECT_TIMEOUT_SECONDS}},
    )


def headers_by_name(headers: list[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    return {name.lower(): value for name, value in headers}


def check_response(
    instance: instances.Instance,
    backend_request: ports.BackendRequest,
    response: httpcore.Response,
) -> None:
    """Checks that an answer belongs to the request and is the server's own.

    :raises BackendError: if it cannot be passed on.
    """
    headers = headers_by_name(response.headers)
    status = response.status
    if status == WRONG_INSTANCE_STATUS:
        raise errors.WrongInstanceError(
            f'another server is at the address of {instance.name}'
        )
    if http_names.NOT_EXECUTED in headers:
        raise errors.BackendRefusedError(
            f'{instance.name} refused with {status}',
            retry_after=decode_retry_after(
                headers.get(http_names.RETRY_AFTER)
            ),
        )
    echoed = headers.get(http_names.REQUEST_ID, b'').decode('latin-1')
    if echoed != backend_request.request.request_id:
        raise errors.BackendError(f'{instance.name} answered another request')
    if http_names.SERVER_STAMP not in headers or status in NOT_RUN_STATUSES:
        raise errors.BackendStatusError(
            f'{instance.name} answered {status} without its signature'
            ' or with a promise that it does not make',
            status,
        )


async def iterate_body(
    instance: instances.Instance, response: httpcore.Response
) -> collections.abc.AsyncIterator[bytes]:
    """Yields the body as it arrives.

    :raises BrokenStreamError: if it ends too early.
    """
    try:
        async for chunk in response.stream:
            yield chunk
    except backend_transport.HTTP_ERRORS as error:
        raise errors.BrokenStreamError(
            f'the answer of {instance.name} broke off'
        ) from error


def decode_load(value: bytes | None) -> ports.ReportedLoad | None:
    """Returns the load that an answer tells, None if it tells none."""
    if value is None:
        return None
    try:
        running, waiting, slots = (int(one) for one in value.split(b','))
    except ValueError:
        return None
    return ports.ReportedLoad(running, waiting, slots)


def decode_retry_after(value: bytes | None) -> float | None:
    try:
        return None if value is None else float(value)
    except ValueError:
        return None
