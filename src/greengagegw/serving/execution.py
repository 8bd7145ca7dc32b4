"""One request at the backend servers of this region, with its repeats."""

import collections.abc
import contextlib

import anyio

from .. import errors
from . import events
from . import jobs
from . import planner as planner_module
from . import ports
from . import servers as server_pool

# A stream that pauses for so many of its objectives is gone on with
# elsewhere; callers leave it at eight.
STALL_OBJECTIVE_FACTOR = 3
MIN_STALL_SECONDS = 1.5
RETRY_STATUSES = frozenset({500, 502, 503, 504})
EVENT_END = b'\n\n'
# A caller that takes an event later than this after it came is a slow one.
SLOW_READ_SECONDS = 0.02
# Waiting less than this says nothing on a server, since a route's time may
# be short.
MIN_FAILURE_WAIT_SECONDS = 1.0


class RequestExecution:
    """One request at the servers of this region, with its repeats."""

    def __init__(
        self,
        planner: planner_module.RequestPlanner,
        backend: ports.BackendPort,
        job: jobs.Job,
    ) -> None:
        self.planner = planner
        self.backend = backend
        self.timers = planner.timers
        self.job = job
        self.excluded: set[str] = set()
        self.stack = contextlib.AsyncExitStack()
        self.server: server_pool.Server | None = None
        self.in_flight: server_pool.InFlightRequest | None = None
        self.event_count = 0
        self.last_event_at = 0.0

    async def close(self, is_complete: bool = False) -> None:
        """Ends what runs at a server, if anything does."""
        server, in_flight = self.server, self.in_flight
        self.server = self.in_flight = None
        if server is not None and in_flight is not None:
            server.record_end(in_flight, self.timers.now(), is_complete)
        await self.stack.aclose()

    async def first_response(self) -> ports.Response:
        """Returns the answer of the first server that gives one.

        :raises GatewayError: if none does.
        """
        failure: errors.GatewayError | None = None
        while True:
            try:
                choice = self.planner.choose_server(self.job, self.excluded)
            except errors.NotRunError as error:
                if failure is None or failure.run == errors.NOT_RUN:
                    raise
                raise failure from error
            try:
                response = await self.send(choice, None)
            except errors.GatewayError as error:
                failure = error
                await self.close()
                # The repeat of one that left a silent server was taken.
                is_rerouted = isinstance(error, errors.BackendSilentError)
                if is_rerouted or self.planner.acquire_retry(self.job, error):
                    continue
                raise
            if response.status in RETRY_STATUSES and self.has_alternative():
                if self.planner.acquire_retry(self.job, None):
                    await self.close()
                    failure = errors.BackendStatusError(
                        f'{choice.server.instance.name} failed',
                        response.status,
                    )
                    continue
            return response

    def has_alternative(self) -> bool:
        """Returns whether another server could give a better answer."""
        planner, job = self.planner, self.job
        if not job.route.is_retryable or not job.has_attempts_left:
            return False
        now = self.timers.now()
        return any(
            planner.may_send(job, one, now)
            for one in planner.pool.usable_servers(
                job.service, now, self.excluded
            )
        )

    def acquire_reroute(self) -> bool:
        """Takes a repeat if the request can and may go to another server."""
        return self.has_alternative() and self.planner.acquire_retry(
            self.job, None
        )

    async def send(
        self,
        choice: jobs.ServerChoice,
        resume_after: str | None,
    ) -> ports.Response:
        """Returns the answer of one server, once its head has come."""
        job = self.job
        self.planner.recheck_authorization(job)
        now = self.timers.now()
        server, uncached_tokens = choice.server, choice.uncached_tokens
        name = server.instance.name
        self.excluded.add(name)
        rate = job.service.cold_start_rate
        if rate > 0 and server.is_cold(now):
            share = self.planner.cold_share(job, server)
            server.cold_pacer.try_acquire(now, share)
        peer_totals = self.planner.backlog_exchange.peer_totals(name)
        tokens_ahead = server.queued_tokens + peer_totals[0]
        self.server = server
        in_flight = self.in_flight = server_pool.InFlightRequest(
            now,
            uncached_tokens,
            tokens_ahead + uncached_tokens if uncached_tokens else 0.0,
            now + choice.predicted_seconds,
            self.acquire_reroute,
        )
        server.record_start(in_flight)
        if job.request.prompt is not None and job.service.is_engine:
            server.prefix_cache.record_prompt(job.request.prompt)
        backend_request = ports.BackendRequest(
            job.request,
            job.organisation,
            job.deadline - now,
            resume_after is not None,
            resume_after or job.request.resume_after,
            job.route.is_retryable,
        )
        job.attempts.count += 1
        try:
            with anyio.CancelScope() as in_flight.response_scope:
                response = await jobs.await_until_deadline(
                    self.timers,
                    job,
                    self.stack.enter_async_context(
                        self.backend.send(server.instance, backend_request)
                    ),
                )
            if in_flight.response_scope.cancelled_caught:
                raise errors.BackendSilentError(f'{name} is silent')
        except errors.BackendConnectError:
            job.attempts.count -= 1
            server.record_outcome(True, self.timers.now())
            server.eject(self.timers.now())
            self.log_failure(server, 'connect')
            raise
        except errors.WrongInstanceError:
            self.planner.pool.mark_moved(name)
            self.log_failure(server, 'wrong_instance')
            raise
        except errors.BackendRefusedError:
            self.log_failure(server, 'refused')
            raise
        except errors.BackendSilentError as error:
            self.log_failure(server, error.code)
            raise
        except errors.BackendError as error:
            waited = self.timers.now() - now
            is_timeout = isinstance(error, errors.BackendTimeoutError)
            if not is_timeout or waited >= MIN_FAILURE_WAIT_SECONDS:
                server.record_outcome(True, self.timers.now())
            self.log_failure(server, error.code)
            raise
        if response.load is not None:
            server.reported_load = response.load
            server.reported_at = self.timers.now()
        server.record_outcome(response.status >= 500, self.timers.now())
        seconds = self.timers.now() - now
        server.record_first_byte(self.in_flight, self.timers.now())
        self.planner.log(
            'request:begun',
            job,
            server=name,
            status=response.status,
            predicted=round(choice.predicted_seconds, 3),
            seconds=round(seconds, 3),
        )
        return response

    def log_failure(self, server: server_pool.Server, code: str) -> None:
        self.planner.log(
            'request:send_failed',
            self.job,
            server=server.instance.name,
            code=code,
            failures=round(server.failure_rate, 2),
        )

    async def stream_chunks(
        self, response: ports.Response
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        while True:
            self.record_chunk_wait()
            try:
                chunk = await jobs.await_until_deadline(
                    self.timers, self.job, anext(response.chunks)
                )
            except StopAsyncIteration:
                break
            except errors.BackendError as error:
                self.record_stream_failure(error)
                raise
            self.record_chunk(chunk)
            yield chunk
        self.record_completion()
        await self.close(is_complete=True)

    def record_chunk_wait(self) -> None:
        if self.in_flight is not None:
            self.in_flight.waiting_since = self.timers.now()

    def record_chunk(self, chunk: bytes) -> None:
        """Takes in how fast the server generates."""
        if self.server is None:
            return
        now = self.server.last_activity_at = self.timers.now()
        waiting_since = self.in_flight.waiting_since
        self.in_flight.waiting_since = None
        count = chunk.count(EVENT_END) if self.job.route.is_stream else 0
        if not count:
            return
        # A caller that reads slowly says nothing of the server.
        is_reading = waiting_since - self.last_event_at <= SLOW_READ_SECONDS
        if self.event_count and is_reading:
            self.server.event_interval.update(
                count, now - self.last_event_at, now
            )
        self.event_count += count
        self.last_event_at = now

    def record_completion(self) -> None:
        """Takes in how long an answer was that came from its beginning."""
        job = self.job
        prompt = job.request.prompt
        if self.event_count and prompt and job.request.resume_after is None:
            self.planner.response_lengths.update(
                job.route.name, prompt, self.event_count
            )

    def record_stream_failure(self, error: errors.BackendError) -> None:
        """Takes in that a server broke an answer off.

        An answer that is merely longer than the caller waits is no fault.
        """
        if self.server is not None:
            is_over = self.timers.now() >= self.job.deadline
            if not is_over:
                self.server.record_outcome(True, self.timers.now())
            self.log_failure(self.server, error.code)

    async def resumed_chunks(
        self, response: ports.Response
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields whole events, going on at another server if one fails."""
        splitter = events.EventSplitter(self.job.request.resume_after)
        while True:
            try:
                async for chunk in self.chunks_before_stall(response):
                    complete_events = splitter.feed(chunk)
                    if complete_events:
                        yield complete_events
                if splitter.buffer:
                    raise errors.BrokenStreamError('an event is not whole')
                break
            except errors.BackendError as error:
                self.record_stream_failure(error)
                splitter.discard_partial_event()
                await self.close()
                response = await self.resume(splitter.last_id, error)
        self.record_completion()
        await self.close(is_complete=True)

    async def chunks_before_stall(
        self, response: ports.Response
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields chunks, and fails when a pause is too long."""
        job = self.job
        stall_timeout = max(
            MIN_STALL_SECONDS,
            STALL_OBJECTIVE_FACTOR * job.route.event_gap_objective,
        )
        while True:
            seconds_left = job.deadline - self.timers.now()
            if not job.has_attempts_left:
                stall_timeout = seconds_left
            chunk = None
            self.record_chunk_wait()
            try:
                with self.timers.limit(
                    max(0.0, min(stall_timeout, seconds_left))
                ):
                    chunk = await anext(response.chunks)
            except StopAsyncIteration:
                return
            if chunk is None:
                raise errors.BackendTimeoutError('a stream went silent')
            self.record_chunk(chunk)
            yield chunk

    async def resume(
        self, last_id: str | None, error: errors.GatewayError
    ) -> ports.Response:
        """Returns the rest of a stream from another server.

        :raises BackendError: what broke it, if it cannot go on.
        """
        while self.planner.acquire_retry(self.job, error):
            try:
                choice = self.planner.choose_server(self.job, self.excluded)
            except errors.NotRunError:
                break
            try:
                response = await self.send(choice, last_id)
            except errors.GatewayError as failure:
                error = failure
                await self.close()
                continue
            if response.status == 200:
                self.planner.log(
                    'request:resumed',
                    self.job,
                    server=choice.server.instance.name,
                    last_id=last_id,
                )
                return response
            await self.close()
        raise errors.BrokenStreamError('the stream broke off') from error
