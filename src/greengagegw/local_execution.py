"""Runs calls on the backend servers of this region."""

import collections.abc
import contextlib
import dataclasses
import functools
import random

import eliot

from . import backend_pool
from . import crash_guard
from . import errors
from . import fair_queue
from . import metrics as metric_sets
from . import streams
from . import timers as timer_service
from .policy import crash_attribution
from .policy import retry
from .ports import backends

MAX_RESUMES_PER_RESPONSE = 3
# Servers beside one that refuses connections that are asked for one.
MAX_SERVERS_TO_ASK = 3


@dataclasses.dataclass(slots=True)
class Usage:
    """Resources that a call used, updated while its response is read.

    :ivar tokens: tokens reported by the engine, or None.
    :ivar slot_seconds: seconds for which it held a slot.
    """

    tokens: int | None = None
    slot_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveCall:
    """A call whose response has begun."""

    response: backends.Response
    usage: Usage


@dataclasses.dataclass(frozen=True, slots=True)
class CallSpec:
    """A call with the parameters of its admission.

    :ivar weight: share of its organisation in the fair queue.
    :ivar max_wait_seconds: how long it may wait for a slot.
    :ivar prefix: beginning of the prompt, for prefix cache affinity.
    :ivar removes_usage: drops the usage from a stream, since the client did
        not ask for it.
    :ivar segments: digests of the prompt's messages.
    :ivar traits: what the call may have in common with others of its service:
        the segments, and the digest of its path, caller and body.
    """

    call: backends.Call
    weight: float
    max_wait_seconds: float
    prefix: bytes = b''
    removes_usage: bool = False
    segments: tuple[str, ...] = ()
    traits: tuple[str, ...] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        call = self.call
        digest = crash_attribution.digest_request(
            call.organisation, call.path.encode(), call.body
        )
        object.__setattr__(self, 'traits', (*self.segments, digest))


class LocalExecutor:
    """Runs calls in this region, with retries until the first byte."""

    def __init__(
        self,
        pool: backend_pool.BackendPool,
        queues: dict[str, fair_queue.ServiceQueue],
        timers: timer_service.Timers,
        rng: random.Random,
        metrics: metric_sets.Metrics,
        retry_percent: int,
        guard: crash_guard.CrashGuard,
    ) -> None:
        self.guard = guard
        self.pool = pool
        self.queues = queues
        self.timers = timers
        self.rng = rng
        self.metrics = metrics
        self.retry_budget = retry.RetryBudget(retry_percent)

    @contextlib.asynccontextmanager
    async def run(
        self, spec: CallSpec
    ) -> collections.abc.AsyncIterator[ActiveCall]:
        """Runs a call and yields it with its response.

        :raises GatewayError: its ``run`` says whether the call was run.
        """
        queue = self.queues.get(spec.call.service)
        if queue is None:
            raise errors.UnavailableError(
                f'service {spec.call.service} has no backend server in this'
                ' region'
            )
        self.retry_budget.record_request()
        excluded: frozenset[str] = frozenset()
        attempts = 0
        run = errors.NOT_RUN
        while True:
            stack = contextlib.AsyncExitStack()
            async with stack:
                self.check_held(spec, run)
                server = await self.acquire(queue, spec, excluded, run)
                stack.callback(queue.release, server)
                # It may have been held back while it waited.
                self.check_held(spec, run)
                started_at = self.timers.now()
                try:
                    active_call = await self.start_call(stack, server, spec)
                except errors.GatewayError as error:
                    attempts += 1
                    excluded |= {server.name}
                    if error.run != errors.NOT_RUN:
                        run = errors.UNKNOWN
                    self.record_failure(queue.service, server, error)
                    self.record_interruption(spec, server, error, started_at)
                    self.check_retry(error, spec.call, attempts, run)
                else:
                    yield active_call
                    return
            await self.timers.sleep(retry.backoff_seconds(attempts, self.rng))
            excluded = self.usable_exclusions(queue, excluded)

    def check_held(self, spec: CallSpec, run: str) -> None:
        """Checks, right before a call is sent, that it is not held back.

        :param run: whether an earlier attempt of the call was run.
        :raises HeldRequestError: if it is.
        """
        try:
            self.guard.check(spec.call.service, spec.traits)
        except errors.HeldRequestError as error:
            error.run = run
            raise

    def record_interruption(
        self,
        spec: CallSpec,
        server: backend_pool.ServerState,
        error: errors.GatewayError,
        sent_at: float,
    ) -> None:
        """Records a failure that the end of the engine may have caused."""
        has_responded = isinstance(
            error,
            errors.BackendTimeoutError
            | errors.BackendStatusError
            | errors.BackendRefusedError
            | errors.BackendConnectError,
        )
        if has_responded or not isinstance(error, errors.BackendError):
            return
        self.guard.record_interruption(
            spec.call.service,
            server.name,
            crash_attribution.make_interruption(
                spec.call.request_id,
                spec.traits,
                sent_at,
                self.timers.now(),
            ),
            functools.partial(self.has_ended, server),
        )

    async def has_ended(self, server: backend_pool.ServerState) -> bool:
        """Returns whether a server refuses connections, but others do not.

        A VM that lost its servers would take all of them for ended. True if
        the region has no other server.
        """
        if not await server.port.is_refusing_connections():
            return False
        others = [one for one in self.pool.by_name.values() if one != server]
        for one in others[:MAX_SERVERS_TO_ASK]:
            if not await one.port.is_refusing_connections():
                return True
        if others:
            eliot.log_message(
                'engine:end_not_confirmed',
                backend_server=server.name,
                reason='this VM reaches no other server either',
            )
        return not others

    async def acquire(
        self,
        queue: fair_queue.ServiceQueue,
        spec: CallSpec,
        excluded: frozenset[str],
        run: str,
    ) -> backend_pool.ServerState:
        try:
            return await queue.acquire(
                spec.call.organisation,
                spec.weight,
                spec.call.tokens,
                spec.max_wait_seconds,
                spec.prefix,
                excluded,
            )
        except errors.GatewayError as error:
            # Covers earlier attempts too, one of which may have run.
            error.run = run
            raise

    def usable_exclusions(
        self, queue: fair_queue.ServiceQueue, excluded: frozenset[str]
    ) -> frozenset[str]:
        """Returns the excluded servers, or none if no other is usable."""
        if queue.service.candidates(self.timers.now(), excluded):
            return excluded
        return frozenset()

    def check_retry(
        self,
        error: errors.GatewayError,
        call: backends.Call,
        attempts: int,
        run: str,
    ) -> None:
        """Raises the error again unless the call may be retried."""
        if (
            attempts < retry.MAX_ATTEMPTS
            and retry.is_retryable(error, call)
            and self.retry_budget.try_spend()
        ):
            self.metrics.retries.labels(call.service).inc()
            return
        error.run = run
        raise error

    def record_failure(
        self,
        service: backend_pool.ServicePool,
        server: backend_pool.ServerState,
        error: errors.GatewayError,
    ) -> None:
        eliot.log_message(
            'call:failed', backend_server=server.name, code=error.code
        )
        if isinstance(error, errors.BackendRefusedError):
            server.record_rejection()
        else:
            service.record_failure(server, self.timers.now())

    async def start_call(
        self,
        stack: contextlib.AsyncExitStack,
        server: backend_pool.ServerState,
        spec: CallSpec,
    ) -> ActiveCall:
        """Returns the call once the first byte of its response is here."""
        started_at = self.timers.now()
        usage = Usage()
        response = await stack.enter_async_context(server.port.send(spec.call))
        if spec.call.stream and response.status < 400:
            first = await anext(response.chunks, b'')
            chunks = self.iterate_stream(
                server, spec, response, first, usage, started_at
            )
        elif spec.call.kind == 'model':
            body = await streams.read_body(response.chunks)
            if response.status < 400:
                usage.tokens = streams.read_body_usage(body)
                self.guard.record_sound(spec.call.service, spec.traits)
            else:
                usage.tokens = 0
            chunks = iterate_chunks([body])
        else:
            buffered = await read_prefix(response.chunks)
            chunks = self.iterate_plain(
                spec, response.status, buffered, response.chunks
            )
        server.record_success()
        stack.callback(self.record_end, server, spec, usage, started_at)
        return ActiveCall(dataclasses.replace(response, chunks=chunks), usage)

    def record_end(
        self,
        server: backend_pool.ServerState,
        spec: CallSpec,
        usage: Usage,
        started_at: float,
    ) -> None:
        seconds = self.timers.now() - started_at
        usage.slot_seconds += seconds
        self.queues[spec.call.service].service.record_duration(seconds)
        self.metrics.backend_server_seconds.labels(
            spec.call.service, spec.call.organisation
        ).inc(seconds)

    async def iterate_plain(
        self,
        spec: CallSpec,
        status: int,
        buffered: list[bytes],
        rest: collections.abc.AsyncIterator[bytes],
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields the body of a plain response."""
        async for chunk in iterate_chunks(buffered, rest):
            yield chunk
        if status < 500:
            self.guard.record_sound(spec.call.service, spec.traits)

    async def iterate_stream(
        self,
        server: backend_pool.ServerState,
        spec: CallSpec,
        response: backends.Response,
        first: bytes,
        usage: Usage,
        sent_at: float,
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields the events of a stream, which is resumed when it breaks.

        :raises BackendError: if it breaks and cannot be resumed.
        :raises BrokenStreamError: if it ends without its end marker.
        """
        stream_filter = streams.EventStreamFilter(spec.removes_usage)
        events = stream_filter.feed(first) if first else b''
        if events:
            yield events
        chunks = response.chunks
        resumes = 0
        async with contextlib.AsyncExitStack() as stack:
            while True:
                error: errors.BackendError | None = None
                try:
                    async for chunk in chunks:
                        events = stream_filter.feed(chunk)
                        usage.tokens = stream_filter.tokens
                        if events:
                            yield events
                except errors.BackendError as stream_error:
                    error = stream_error
                if stream_filter.is_complete:
                    self.guard.record_sound(spec.call.service, spec.traits)
                    return
                error = error or errors.BrokenStreamError(
                    f'the stream of {server.name} ended without its end marker'
                )
                error.run = errors.RAN
                self.record_interruption(spec, server, error, sent_at)
                resumes += 1
                # The offset of the rest is unknown behind foreign bytes.
                if (
                    isinstance(error, errors.ForeignBytesError)
                    or not server.settings.resumes
                    or resumes > MAX_RESUMES_PER_RESPONSE
                ):
                    raise error
                chunks = await self.resume(
                    stack, server, spec, response, stream_filter, error
                )

    async def resume(
        self,
        stack: contextlib.AsyncExitStack,
        server: backend_pool.ServerState,
        spec: CallSpec,
        begun: backends.Response,
        stream_filter: streams.EventStreamFilter,
        error: errors.BackendError,
    ) -> collections.abc.AsyncIterator[bytes]:
        """Requests the rest of a broken stream on a new connection.

        :param begun: the response that broke off.
        :raises BackendError: the error that broke the stream, if it cannot
            be resumed.
        """
        self.metrics.resumes.labels(spec.call.service).inc()
        try:
            self.guard.check(spec.call.service, spec.traits)
            response = await stack.enter_async_context(
                server.port.send(spec.call, stream_filter.bytes_received)
            )
        except (errors.BackendError, errors.HeldRequestError) as resume_error:
            raise error from resume_error
        if response.status != 206 or media_type(response) != media_type(begun):
            eliot.log_message(
                'call:not_resumed',
                backend_server=server.name,
                status=response.status,
                media_type=media_type(response),
            )
            raise error
        if response.software_version != begun.software_version:
            eliot.log_message(
                'call:not_resumed',
                backend_server=server.name,
                begun_by=begun.software_version,
                now=response.software_version,
            )
            raise error
        return response.chunks


def media_type(response: backends.Response) -> str:
    """Returns the content type without parameters, empty if missing."""
    value = dict(response.headers).get('content-type', '')
    return value.partition(';')[0].strip().lower()


async def read_prefix(
    chunks: collections.abc.AsyncIterator[bytes],
) -> list[bytes]:
    """Returns the chunks of a body, or the first ones if it is large."""
    parts = []
    size = 0
    async for chunk in chunks:
        parts.append(chunk)
        size += len(chunk)
        if size > streams.MAX_BUFFERED_BYTES:
            break
    return parts


async def iterate_chunks(
    buffered: list[bytes],
    rest: collections.abc.AsyncIterator[bytes] | None = None,
) -> collections.abc.AsyncIterator[bytes]:
    """Yields buffered chunks, and then those of the rest."""
    for part in buffered:
        yield part
    if rest is not None:
        async for chunk in rest:
            yield chunk
