"""Runs calls on the backend servers of this region."""

import collections.abc
import contextlib
import dataclasses
import random

import eliot

from . import backend_pool
from . import errors
from . import fair_queue
from . import metrics as metric_sets
from . import streams
from . import timers as timer_service
from .policy import retry
from .ports import backends

MAX_BUFFERED_BYTES = 16 * 1024 * 1024
MAX_RESUMES_PER_RESPONSE = 3


@dataclasses.dataclass(slots=True)
class Usage:
    """What a call used, filled in while its answer passes.

    :ivar tokens: as the engine reported them, or None.
    :ivar runner_seconds: seconds that a slot was taken.
    """

    tokens: int | None = None
    slot_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveCall:
    """A call that runs, with its answer."""

    answer: backends.Answer
    usage: Usage


@dataclasses.dataclass(frozen=True, slots=True)
class CallSpec:
    """A call with what admission must know of it.

    :ivar wait: seconds that it may wait for a slot.
    """

    call: backends.Call
    weight: float
    max_wait_seconds: float
    prefix: bytes = b''
    removes_usage: bool = False


class LocalExecutor:
    """Runs calls in this region, with retries before the first byte."""

    def __init__(
        self,
        known: backend_pool.BackendPool,
        queues: dict[str, fair_queue.ServiceQueue],
        timers: timer_service.Timers,
        rng: random.Random,
        metrics: metric_sets.Metrics,
        retry_percent: int,
    ) -> None:
        self.known = known
        self.queues = queues
        self.timers = timers
        self.rng = rng
        self.metrics = metrics
        self.retry_budget = retry.RetryBudget(retry_percent)

    @contextlib.asynccontextmanager
    async def run(
        self, order: CallSpec
    ) -> collections.abc.AsyncIterator[ActiveCall]:
        """Runs a call and enters its answer.

        :raises GatewayError: with ``run`` telling whether it was run.
        """
        queue = self.queues.get(order.call.service)
        if queue is None:
            raise errors.UnavailableError(
                f'{order.call.service} has no backend server here'
            )
        self.retry_budget.record_request()
        excluded: frozenset[str] = frozenset()
        tries = 0
        run = errors.NOT_RUN
        while True:
            stack = contextlib.AsyncExitStack()
            async with stack:
                runner = await self.acquire(queue, order, excluded, run)
                stack.callback(queue.release, runner)
                try:
                    running = await self.start(stack, runner, order)
                except errors.GatewayError as error:
                    tries += 1
                    excluded |= {runner.name}
                    if error.run != errors.NOT_RUN:
                        run = errors.UNKNOWN
                    self.note_failure(queue.service, runner, error)
                    self.check_retry(error, order.call, tries, run)
                else:
                    yield running
                    return
            await self.timers.sleep(retry.backoff_seconds(tries, self.rng))
            excluded = self.trim(queue, excluded)

    async def acquire(
        self,
        queue: fair_queue.ServiceQueue,
        order: CallSpec,
        excluded: frozenset[str],
        run: str,
    ) -> backend_pool.ServerState:
        try:
            return await queue.acquire(
                order.call.organisation,
                order.weight,
                order.call.tokens,
                order.max_wait_seconds,
                order.prefix,
                excluded,
            )
        except errors.GatewayError as error:
            # An earlier try may have run, whatever became of this one.
            error.run = run
            raise

    def trim(
        self, queue: fair_queue.ServiceQueue, excluded: frozenset[str]
    ) -> frozenset[str]:
        """Returns whom to leave out, which is nobody if all have failed."""
        if queue.service.candidates(self.timers.now(), excluded):
            return excluded
        return frozenset()

    def check_retry(
        self,
        error: errors.GatewayError,
        call: backends.Call,
        tries: int,
        run: str,
    ) -> None:
        """Raises a failure again unless it may be retried."""
        if (
            tries < retry.MAX_ATTEMPTS
            and retry.is_retryable(error, call)
            and self.retry_budget.try_spend()
        ):
            self.metrics.retries.labels(call.service).inc()
            return
        error.run = run
        raise error

    def note_failure(
        self,
        service: backend_pool.ServicePool,
        runner: backend_pool.ServerState,
        error: errors.GatewayError,
    ) -> None:
        eliot.log_message(
            'run:failed', backend_server=runner.name, code=error.code
        )
        if isinstance(error, errors.BackendRefusedError):
            runner.record_refusal()
        else:
            service.record_failure(runner, self.timers.now())

    async def start(
        self,
        stack: contextlib.AsyncExitStack,
        runner: backend_pool.ServerState,
        order: CallSpec,
    ) -> ActiveCall:
        """Returns a call's answer once its first byte is here."""
        started_at = self.timers.now()
        usage = Usage()
        answer = await stack.enter_async_context(runner.port.send(order.call))
        if order.call.stream and answer.status < 400:
            first = await anext(answer.chunks, b'')
            chunks = self.follow_stream(runner, order, answer, first, usage)
        elif order.call.kind == 'model':
            body = await read_body(answer.chunks)
            if answer.status < 400:
                usage.tokens = streams.read_plain_usage(body)
            else:
                usage.tokens = 0
            chunks = iterate_chunks([body])
        else:
            parts = await read_prefix(answer.chunks)
            chunks = iterate_chunks(parts, answer.chunks)
        runner.record_success()
        stack.callback(self.note_end, runner, order, usage, started_at)
        return ActiveCall(dataclasses.replace(answer, chunks=chunks), usage)

    def note_end(
        self,
        runner: backend_pool.ServerState,
        order: CallSpec,
        usage: Usage,
        started_at: float,
    ) -> None:
        seconds = self.timers.now() - started_at
        usage.slot_seconds += seconds
        self.queues[order.call.service].service.record_duration(seconds)
        self.metrics.runner_seconds.labels(
            order.call.service, order.call.organisation
        ).inc(seconds)

    async def follow_stream(
        self,
        runner: backend_pool.ServerState,
        order: CallSpec,
        answer: backends.Answer,
        first: bytes,
        usage: Usage,
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields the events of a stream, resuming it when it breaks.

        :raises BrokenStreamError: if it ends without its end mark.
        """
        check = streams.StreamCheck(order.removes_usage)
        events = check.take(first) if first else b''
        if events:
            yield events
        chunks = answer.chunks
        resumes = 0
        async with contextlib.AsyncExitStack() as stack:
            while True:
                error: errors.BackendError | None = None
                try:
                    async for chunk in chunks:
                        events = check.take(chunk)
                        usage.tokens = check.tokens
                        if events:
                            yield events
                except errors.BackendError as broken:
                    error = broken
                if check.is_whole:
                    return
                error = error or errors.BrokenStreamError(
                    f'the answer of {runner.name} has no end mark'
                )
                error.run = errors.RAN
                resumes += 1
                if not runner.settings.resumes or (
                    resumes > MAX_RESUMES_PER_RESPONSE
                ):
                    raise error
                chunks = await self.resume(stack, runner, order, check, error)

    async def resume(
        self,
        stack: contextlib.AsyncExitStack,
        runner: backend_pool.ServerState,
        order: CallSpec,
        check: streams.StreamCheck,
        error: errors.BackendError,
    ) -> collections.abc.AsyncIterator[bytes]:
        """Asks for the rest of a broken stream on a new connection.

        :raises BackendError: the error that broke the stream, if the rest
            cannot be had.
        """
        self.metrics.resumes.labels(order.call.service).inc()
        try:
            answer = await stack.enter_async_context(
                runner.port.send(order.call, check.size)
            )
        except errors.BackendError as second:
            raise error from second
        if answer.status != 206:
            raise error
        return answer.chunks


async def read_body(chunks: collections.abc.AsyncIterator[bytes]) -> bytes:
    """Returns a whole body.

    :raises BackendError: if it breaks off or is too large.
    """
    parts = []
    size = 0
    async for chunk in chunks:
        parts.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BYTES:
            raise errors.BackendError('the answer is too large')
    return b''.join(parts)


async def read_prefix(
    chunks: collections.abc.AsyncIterator[bytes],
) -> list[bytes]:
    """Returns a body, or the head of one that is large."""
    parts = []
    size = 0
    async for chunk in chunks:
        parts.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BYTES:
            break
    return parts


async def iterate_chunks(
    parts: list[bytes],
    rest: collections.abc.AsyncIterator[bytes] | None = None,
) -> collections.abc.AsyncIterator[bytes]:
    """Yields parts, and then what follows them."""
    for part in parts:
        yield part
    if rest is not None:
        async for chunk in rest:
            yield chunk
