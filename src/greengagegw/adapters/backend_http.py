"""The backend port over HTTP."""

import collections.abc
import contextlib
import ssl
import typing

import httpx
import orjson

from .. import errors
from .. import settings as settings_module
from .. import timers as timer_service
from . import backend_transport
from ..ports import backends

# Shorter than the idle life that backend servers usually give, so that a
# request is not written to a connection that is just being closed.
POOL_IDLE_SECONDS = 3.0
LOAD_PATH = '/load'
RESUME_HEADER = 'x-resume-offset'
RUN_HEADER = 'x-run'
MODEL_REFUSALS = (429, 503)
ANSWER_HEADERS = frozenset(
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
    """One backend server with a small pool of connections of its own.

    Calls that may not be repeated each get a fresh connection, since the
    other end may have just closed a pooled one.
    """

    def __init__(
        self,
        settings: settings_module.BackendServer,
        timeouts: settings_module.Timeouts,
        timers: timer_service.Timers,
        deployment: str,
        context: ssl.SSLContext,
    ) -> None:
        self.settings = settings
        self.name = settings.name
        self.timeouts = timeouts
        self.timers = timers
        self.url = str(settings.url).rstrip('/')
        self.via = f'1.1 {deployment}'
        self.pooled = self.make_client(context, settings.slots)
        self.fresh = self.make_client(context, 0)
        # Polls go past the client, whose parts they need none of.
        self.probe = self.make_transport(context, 1)
        self.poll = httpx.Request('GET', self.url + LOAD_PATH)

    def make_client(
        self, context: ssl.SSLContext, kept: int
    ) -> httpx.AsyncClient:
        # Time limits are the timer service's; only the connecting is
        # limited here, so that it can be told from the rest.
        return httpx.AsyncClient(
            transport=self.make_transport(context, kept),
            trust_env=False,
            timeout=httpx.Timeout(None, connect=self.timeouts.connect_seconds),
        )

    def make_transport(
        self, context: ssl.SSLContext, kept: int
    ) -> backend_transport.Transport:
        return backend_transport.Transport(context, kept, POOL_IDLE_SECONDS)

    async def close(self) -> None:
        for client in (self.pooled, self.fresh, self.probe):
            await client.aclose()

    @contextlib.asynccontextmanager
    async def send(
        self, call: backends.Call, offset: int | None = None
    ) -> collections.abc.AsyncIterator[backends.Response]:
        """Sends a call and enters its answer.

        :param offset: bytes of the answer that are not to be sent again.
        :raises BackendError: if there is no answer to give.
        """
        client = self.pooled if call.repeatable else self.fresh
        if offset is not None:
            client = self.fresh
        request = client.build_request(
            call.method,
            self.url + call.path,
            headers=self.make_headers(call, offset),
            content=call.body,
        )
        response = await self.start(client, request)
        try:
            self.check_identity(call, response)
            await self.check_refusal(call, response)
            yield backends.Response(
                response.status_code,
                pick_headers(response.headers),
                self.read(response),
                self.name,
                self.settings.region,
            )
        finally:
            await response.aclose()

    def make_headers(
        self, call: backends.Call, offset: int | None
    ) -> list[tuple[str, str]]:
        headers = [
            *call.headers,
            ('accept-encoding', 'identity'),
            ('x-request-id', call.request_id),
            ('x-organisation', call.organisation),
            ('via', self.via),
        ]
        if offset is not None:
            headers.append((RESUME_HEADER, str(offset)))
        return headers

    async def start(
        self, client: httpx.AsyncClient, request: httpx.Request
    ) -> httpx.Response:
        """Returns the response once its head has arrived."""
        response = None
        try:
            with self.timers.move_on_after(self.timeouts.first_byte_seconds):
                response = await client.send(request, stream=True)
        except backend_transport.CONNECT_ERRORS as error:
            raise errors.BackendConnectError(
                f'{self.name} cannot be reached', retry_after=1
            ) from error
        except backend_transport.HTTP_ERRORS as error:
            raise errors.BackendError(
                f'{self.name} broke the connection before it answered'
            ) from error
        if response is None:
            raise errors.BackendTimeoutError(f'{self.name} did not answer')
        return response

    def check_identity(
        self, call: backends.Call, response: httpx.Response
    ) -> None:
        """Checks that the answer is the answer to this request."""
        found = response.headers.get('x-request-id')
        if found is not None and found != call.request_id:
            raise errors.BackendError(f'{self.name} answered another request')

    async def check_refusal(
        self, call: backends.Call, response: httpx.Response
    ) -> None:
        """Turns a refusal or failure of an engine into an error.

        An engine says with 429 or 503 that it did not run the request. A
        plain service says so with a header; all else it says is its answer.
        """
        status = response.status_code
        says_not_run = response.headers.get(RUN_HEADER) == errors.NOT_RUN
        is_refusal = call.kind == 'model' and status in MODEL_REFUSALS
        if says_not_run or is_refusal:
            raise errors.BackendRefusedError(
                f'{self.name} refused with {status}',
                retry_after=_seconds(response.headers.get('retry-after')),
            )
        if call.kind == 'model' and status >= 500:
            raise errors.BackendStatusError(
                f'{self.name} failed with {status}', status
            )

    async def read(
        self, response: httpx.Response
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields the body as it arrives.

        :raises BrokenStreamError: if it ends too early.
        :raises BackendTimeoutError: if it goes silent.
        """
        watch = IdleTimeout(
            self.timers,
            self.timeouts.between_bytes_seconds,
            response.extensions['network_stream'].get_extra_info('break'),
        )
        try:
            async for chunk in response.aiter_raw():
                watch.pause()
                yield chunk
                watch.resume()
        except backend_transport.HTTP_ERRORS as error:
            if not watch.has_expired:
                raise errors.BrokenStreamError(
                    f'the answer of {self.name} broke off'
                ) from error
        finally:
            watch.stop()
        # A body without a length ends like this too when it is broken off.
        if watch.has_expired:
            raise errors.BackendTimeoutError(f'{self.name} went silent')

    async def fetch_load(self) -> backends.LoadReport:
        """Asks for the load on a connection that nothing else uses.

        :raises BackendError: if there is no usable report.
        """
        try:
            response = await self.probe.handle_async_request(self.poll)
            try:
                report = orjson.loads(await response.aread())
            finally:
                await response.aclose()
            return backends.LoadReport(
                self.timers.now(),
                int(report['running']),
                int(report['waiting']),
                bool(report.get('leaving', False)),
            )
        except backend_transport.HTTP_ERRORS + (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
        ) as error:
            raise errors.BackendError(
                f'{self.name} gives no load report'
            ) from error


class IdleTimeout:
    """Breaks a connection off when it was silent for too long.

    One subscription follows the connection, in place of a time limit on
    each read. The time that the caller takes with a chunk does not count.

    :param break_off: ends the connection.
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
        self.heard_at = timers.now()
        self.is_paused = False
        self.has_expired = False
        self.subscription = timers.call_later(timeout_seconds, self.check)

    def check(self) -> None:
        left = self.heard_at + self.timeout_seconds - self.timers.now()
        if self.is_paused:
            left = self.timeout_seconds
        if left > 0:
            self.subscription = self.timers.call_later(left, self.check)
            return
        self.has_expired = True
        self.abort()

    def pause(self) -> None:
        self.is_paused = True

    def resume(self) -> None:
        self.is_paused = False
        self.heard_at = self.timers.now()

    def stop(self) -> None:
        self.subscription.cancel()


def make_ssl_context() -> ssl.SSLContext:
    """Returns the TLS context that all clients share."""
    return httpx.create_ssl_context(trust_env=False)


def pick_headers(
    headers: typing.Mapping[str, str],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers of an answer that the caller gets."""
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() in ANSWER_HEADERS
    )


def _seconds(value: str | None) -> float | None:
    return float(value) if value and value.isdigit() else None
