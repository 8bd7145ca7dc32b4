"""Sends requests to backend servers in the platform's form."""

import collections.abc
import contextlib
import ssl

import httpcore

from .. import errors
from .. import timers as timer_service
from ..adapters import backend_transport
from ..fleet import instances
from . import names
from ..serving import ports

# A connection within a region takes under 5 ms; a lost first packet is sent
# again after a second, when another server does better.
CONNECT_SECONDS = 0.4
# Idle connections are kept for less than servers keep them.
KEEP_SECONDS = 3.0
KEPT_CONNECTIONS = 32
WRONG_INSTANCE = 421
# Their senders promise that the request did not run, which a backend server
# promises by a header of its own.
PROMISES = (408, 429, 503)
# An engine's order, 0 to 9; 5 is what it takes a request without one for.
RESUMED_PRIORITY = b'4'
USUAL_PRIORITY = b'5'


class BackendServers:
    """The backend port on the platform.

    Each instance has its own connections, since its address may become
    another one's.
    """

    def __init__(
        self, timers: timer_service.Timers, context: ssl.SSLContext
    ) -> None:
        self.timers = timers
        self.context = context
        self.kept: dict[str, backend_transport.Transport] = {}
        self.fresh = backend_transport.Transport(context, 0, 0.0)

    async def forget_others(self, known: collections.abc.Container) -> None:
        """Closes the idle connections of instances that are gone."""
        for name in [one for one in self.kept if one not in known]:
            await self.kept.pop(name).aclose()

    def transport(
        self, instance: instances.Instance, order: ports.BackendRequest
    ) -> backend_transport.Transport:
        # The other end may have just closed a kept connection, and then it
        # cannot be told whether a request has run.
        if not order.is_retryable:
            return self.fresh
        kept = self.kept.get(instance.name)
        if kept is None:
            kept = backend_transport.Transport(
                self.context, KEPT_CONNECTIONS, KEEP_SECONDS
            )
            self.kept[instance.name] = kept
        return kept

    @contextlib.asynccontextmanager
    async def send(
        self,
        instance: instances.Instance,
        backend_request: ports.BackendRequest,
    ) -> collections.abc.AsyncIterator[ports.Response]:
        """Sends a request to one instance and enters its answer."""
        request = make_request(instance, backend_request)
        pool = self.transport(instance, backend_request).pool
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
            check(instance, backend_request, response)
            yield ports.Response(
                response.status,
                tuple(names.drop_one_connection(response.headers)),
                read(instance, response),
                decode_load(dict_of(response.headers).get(names.LOAD)),
            )
        finally:
            await response.aclose()


def make_request(
    instance: instances.Instance, order: ports.BackendRequest
) -> httpcore.Request:
    """Returns a request as the backend server expects it."""
    request = order.request
    host, _, port = instance.address.rpartition(':')
    headers = [
        *request.headers,
        (names.TIME_LEFT, str(int(order.timeout_seconds * 1000)).encode()),
        (names.EXPECTED_INSTANCE, instance.name.encode()),
    ]
    if request.prompt is not None:
        priority = RESUMED_PRIORITY if order.is_resumption else USUAL_PRIORITY
        headers.append((names.PRIORITY, priority))
    if order.organisation is not None:
        headers.append((names.ORGANISATION, order.organisation.encode()))
    if order.resume_after is not None:
        headers.append((names.RESUME_AFTER, order.resume_after.encode()))
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
        extensions={'timeout': {'connect': CONNECT_SECONDS}},
    )


def dict_of(headers: list[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    return {name.lower(): value for name, value in headers}


def check(
    instance: instances.Instance,
    order: ports.BackendRequest,
    response: httpcore.Response,
) -> None:
    """Checks that an answer belongs to the request and is the server's own.

    :raises BackendError: if it cannot be passed on.
    """
    headers = dict_of(response.headers)
    status = response.status
    if status == WRONG_INSTANCE:
        raise errors.WrongInstanceError(
            f'another server is at the address of {instance.name}'
        )
    if names.NOT_RUN in headers:
        raise errors.BackendRefusedError(
            f'{instance.name} refused with {status}',
            retry_after=decode_seconds(headers.get(names.RETRY_AFTER)),
        )
    echoed = headers.get(names.REQUEST_ID, b'').decode('latin-1')
    if echoed != order.request.request_id:
        raise errors.BackendError(f'{instance.name} answered another request')
    if names.SIGNATURE not in headers or status in PROMISES:
        raise errors.BackendStatusError(
            f'{instance.name} answered {status} without its signature'
            ' or with a promise that it does not make',
            status,
        )


async def read(
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


def decode_seconds(value: bytes | None) -> float | None:
    try:
        return None if value is None else float(value)
    except ValueError:
        return None
