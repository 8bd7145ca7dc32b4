"""Executes a request on the backend servers of this region, with retries."""

import collections.abc
import contextlib
import dataclasses
import functools
import math

import anyio

from .. import errors
from .. import timers as timer_service
from . import end_reports
from . import events
from ..fleet import instances
from . import jobs
from . import planner as planner_module
from . import ports
from . import server_ends
from . import servers as server_pool

# A stream that pauses for this multiple of its event gap objective is resumed
# on another server; clients abandon it at a multiple of eight.
STALL_OBJECTIVE_FACTOR = 3
MIN_STALL_SECONDS = 1.5
RETRY_STATUSES = frozenset({500, 502, 503, 504})
EVENT_END = b'\n\n'
# A client that asks for the next chunk later than this after an event is slow.
SLOW_READ_SECONDS = 0.02
# A server that a request crashes ends sooner after the first event.
SOUND_AFTER_SECONDS = 0.5
# A timeout after a shorter wait is not held against the server, since a route
# may have a short timeout.
MIN_FAILURE_WAIT_SECONDS = 1.0


ResumeElsewhere = collections.abc.Callable[
    [contextlib.AsyncExitStack, jobs.Job],
    collections.abc.Awaitable[ports.Response],
]


class RequestExecution:
    """Executes one request on the servers of this region, with retries.

    :param resume_elsewhere: enters the rest of a stream from another VM; None
        if other VMs may not run the request.
    :ivar is_elsewhere: whether another VM runs the rest of the stream.
    :ivar excluded: names of the servers that were tried already.
    :ivar server: the server that runs the request now, if any.
    :ivar choice: the last choice of a server.
    :ivar last_event_at: timer seconds of the last event of a stream.
    """

    def __init__(
        self,
        planner: planner_module.RequestPlanner,
        backend: ports.BackendPort,
        end_detector: server_ends.EndDetector,
        end_reporter: end_reports.EndReporter,
        job: jobs.Job,
        resume_elsewhere: ResumeElsewhere | None,
    ) -> None:
        self.planner = planner
        self.resume_elsewhere = resume_elsewhere
        self.is_elsewhere = False
        self.backend = backend
        self.end_detector = end_detector
        self.end_reporter = end_reporter
        self.timers = planner.timers
        self.job = job
        self.excluded: set[str] = set()
        self.stack = contextlib.AsyncExitStack()
        self.server: server_pool.Server | None = None
        self.in_flight: server_pool.InFlightRequest | None = None
        self.choice: jobs.ServerChoice | None = None
        self.event_count = 0
        self.first_event_at = 0.0
        self.last_event_at = 0.0
        self.is_sound = False

    async def close(self, is_complete: bool = False) -> None:
        """Ends the request on the current server, if there is one."""
        server, in_flight = self.server, self.in_flight
        self.server = self.in_flight = None
        if server is not None and in_flight is not None:
            server.record_end(in_flight, self.timers.now(), is_complete)
        await self.stack.aclose()

    async def first_response(self) -> ports.Response:
        """Returns the response of the first server that gives one.

        :raises GatewayError: if no server does.
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
                if response.status == 200 and self.job.route.is_stream:
                    if self.job.request.resume_after is not None:
                        self.require_event_stream(response)
                    return await self.await_first_event(response)
            except errors.GatewayError as error:
                # Once the request may have run, it is not reported as not
                # run, whatever later servers say.
                if failure is None or failure.run == errors.NOT_RUN:
                    failure = error
                await self.close()
                # A retry was acquired when the silent server was ejected.
                is_rerouted = isinstance(
                    error, errors.BackendUnresponsiveError
                )
                if is_rerouted or self.planner.acquire_retry(self.job, error):
                    continue
                if isinstance(failure, errors.BackendUnresponsiveError):
                    # The retry that was acquired for it is used up.
                    failure = errors.BackendTimeoutError(failure.message)
                if failure is error:
                    raise
                raise failure from error
            if response.status in RETRY_STATUSES and self.has_alternative():
                if self.planner.acquire_retry(self.job, None):
                    await self.close()
                    failure = errors.BackendStatusError(
                        f'{choice.server.instance.name} returned status'
                        f' {response.status}',
                        response.status,
                    )
                    continue
            return dataclasses.replace(
                response, chunks=self.stream_chunks(response)
            )

    def require_event_stream(self, response: ports.Response) -> None:
        """Checks that a response can be the rest of a stream.

        :raises BackendError: if its media type is another one.
        """
        if response.is_event_stream or self.server is None:
            return
        error = errors.BackendError(
            f'{self.server.instance.name} resumed a stream with a response'
            ' that is no event stream'
        )
        self.server.record_outcome(True, self.timers.now())
        self.log_failure(self.server, 'no_event_stream')
        raise error

    async def await_first_event(
        self, response: ports.Response
    ) -> ports.Response:
        """Returns the response of a stream once its first event is there.

        Until then, another server may begin the stream anew.

        :raises BackendError: if the stream breaks off before that.
        """
        stream = self.stream_events(response)
        first = await anext(stream, b'')
        return dataclasses.replace(
            response,
            chunks=BegunStream(first, stream),
            software_version=self.job.software_version,
        )

    def fix_software_version(self) -> None:
        """Has the rest of a stream generated by the version that began it."""
        if self.server is not None:
            version = self.server.instance.software_version
            self.job = dataclasses.replace(self.job, software_version=version)

    def has_alternative(self) -> bool:
        """Returns whether the request may be sent to another server."""
        planner, job = self.planner, self.job
        if not job.route.is_retryable or not job.has_attempts_left:
            return False
        now = self.timers.now()
        return any(
            planner.may_send(job, one, now)
            for one in planner.usable_servers(job, now, self.excluded)
        )

    def acquire_reroute(self, may_leave: bool) -> bool:
        """Acquires a retry if another server may get the request.

        :param may_leave: whether it may be one that only other VMs reach.
        """
        has_alternative = self.has_alternative() or (
            may_leave
            and self.resume_elsewhere is not None
            and self.job.route.is_retryable
        )
        return has_alternative and self.planner.acquire_retry(self.job, None)

    async def send(
        self,
        choice: jobs.ServerChoice,
        resume_after: str | None,
    ) -> ports.Response:
        """Sends the request to one server.

        :param resume_after: ID of the event after which the server is to
            resume a stream; None for the first server.
        :returns: the response, once its headers have arrived.
        :raises GatewayError: if the server does not respond.
        """
        job = self.job
        self.planner.recheck_authorization(job)
        now = self.timers.now()
        server, uncached_tokens = choice.server, choice.uncached_tokens
        name = server.instance.name
        self.excluded.add(name)
        server.pacer.record_send(now)
        peer_totals = self.planner.backlog_exchange.peer_totals(name)
        tokens_ahead = server.queued_tokens + peer_totals[0]
        self.server = server
        self.choice = choice
        in_flight = self.in_flight = server_pool.InFlightRequest(
            now,
            uncached_tokens,
            tokens_ahead + uncached_tokens if uncached_tokens else 0.0,
            now + choice.predicted_seconds,
            self.acquire_reroute,
        )
        if job.generation_prompt is not None:
            in_flight.cost = choice.cost
        server.record_start(in_flight)
        self.planner.backlog_exchange.on_request_start()
        if job.generation_prompt is not None:
            server.prefix_cache.record_prompt(job.generation_prompt)
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
            response = None
            seconds_left = max(0.0, job.deadline - now)
            with self.timers.move_on_after(
                seconds_left
            ) as in_flight.response_scope:
                response = await self.stack.enter_async_context(
                    self.backend.send(
                        server.instance,
                        backend_request,
                        functools.partial(
                            self.record_notice, server.instance, now
                        ),
                    )
                )
            if response is None:
                if in_flight.is_rerouted:
                    raise errors.BackendUnresponsiveError(
                        f'{name} was ejected for silence before it responded'
                    )
                raise errors.BackendTimeoutError(
                    'the request deadline has passed'
                )
        except errors.BackendConnectError:
            job.attempts.count -= 1
            self.end_detector.check_again(server.instance)
            server.record_outcome(True, self.timers.now())
            server.eject(self.timers.now())
            self.log_failure(server, 'connect')
            raise
        except errors.WrongInstanceError:
            self.planner.pool.mark_moved(name)
            self.end_detector.record_end(
                server.instance, 'another instance has its address'
            )
            self.log_failure(server, 'wrong_instance')
            raise
        except errors.BackendRefusedError:
            self.planner.record_rejection(server)
            self.log_failure(server, 'refused')
            raise
        except errors.BackendUnresponsiveError as error:
            self.log_failure(server, error.code)
            raise
        except errors.BackendError as error:
            waited = self.timers.now() - now
            is_timeout = isinstance(error, errors.BackendTimeoutError)
            self.record_interruption(error)
            if not is_timeout or waited >= MIN_FAILURE_WAIT_SECONDS:
                server.record_outcome(True, self.timers.now())
            self.log_failure(server, error.code)
            raise
        if response.load is not None:
            server.record_load(response.load, self.timers.now())
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

    def record_notice(
        self,
        instance: instances.Instance,
        asked_at: float,
        notice: ports.ServerNotice,
    ) -> None:
        self.planner.pool.record_notice(
            instance, notice, asked_at, self.timers.now()
        )

    def record_interruption(self, error: errors.BackendError) -> None:
        """Records a failure that the end of the server may have caused."""
        has_responded = isinstance(
            error, errors.BackendTimeoutError | errors.BackendStatusError
        )
        if self.server is not None and not has_responded:
            now = self.timers.now()
            self.end_detector.record_interruption(
                self.server.instance,
                self.job,
                self.in_flight.sent_at,
                (lambda: self.record_soundness(now))
                if self.event_count
                else None,
            )

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
        """Yields the body of a response as it arrives."""
        stall_timer = StallTimer(self.timers, math.inf)
        deadline = self.job.deadline
        try:
            while True:
                self.record_chunk_wait(self.timers.now())
                try:
                    chunk = await stall_timer.read(response, deadline)
                except StopAsyncIteration:
                    break
                except errors.BackendError as error:
                    self.record_stream_failure(error)
                    raise
                if chunk is None:
                    error = errors.BackendTimeoutError(
                        'the request deadline has passed'
                    )
                    self.record_stream_failure(error)
                    raise error
                self.record_chunk(chunk, stall_timer.ended_at)
                yield chunk
        finally:
            stall_timer.cancel()
        if response.status < 500:
            self.record_sound_end(response)
        if response.status < 400:
            self.record_call_cost()
        await self.close(is_complete=True)

    def record_call_cost(self) -> None:
        """Adds the service time of a plain call, at the normal speed."""
        if self.server is None or self.job.generation_prompt is not None:
            return
        now = self.timers.now()
        seconds = now - self.in_flight.sent_at
        self.record_cost(seconds / self.server.speed.slowdown(now, seconds))

    def check_stream_end(
        self,
        response: ports.Response,
        splitter: events.EventSplitter,
        earlier_count: int,
    ) -> None:
        """Checks that a stream that ended without an error is complete.

        A body that ends with its connection does not show by its framing
        whether it is complete; its events do.

        :param earlier_count: events before this response.
        :raises BrokenStreamError: if it ended within an event, or without
            any event although nothing else marks its end.
        """
        if response.ends_by_close and self.server is not None:
            self.planner.log(
                'request:ended_by_close',
                self.job,
                server=self.server.instance.name,
                events=splitter.count,
                unfinished_bytes=len(splitter.buffer),
            )
        if splitter.buffer:
            raise errors.BrokenStreamError(
                'the stream ended in the middle of an event, after'
                f' {len(splitter.buffer)} of its bytes'
            )
        if response.ends_by_close and splitter.count == earlier_count:
            raise errors.BrokenStreamError(
                'the connection was closed before the first event of a'
                ' response without a length'
            )

    def record_chunk_wait(self, now: float) -> None:
        if self.in_flight is not None:
            self.in_flight.waiting_since = now

    def record_chunk(self, chunk: bytes, now: float) -> None:
        """Updates the server's event interval."""
        server, in_flight = self.server, self.in_flight
        if server is None:
            return
        server.last_activity_at = now
        waiting_since = in_flight.waiting_since
        in_flight.waiting_since = None
        count = chunk.count(EVENT_END) if self.job.route.is_stream else 0
        if not count:
            return
        if self.event_count:
            # A slow client delays the read, which does not measure the
            # server.
            if waiting_since - self.last_event_at <= SLOW_READ_SECONDS:
                server.record_events(
                    in_flight, count, now - self.last_event_at, now
                )
        else:
            self.first_event_at = now
        self.event_count += count
        in_flight.event_count += count
        self.last_event_at = now
        if (
            not self.is_sound
            and now - self.first_event_at >= SOUND_AFTER_SECONDS
        ):
            self.record_soundness(now)

    def record_soundness(self, at: float) -> None:
        """Records that the request did not end its server."""
        if self.is_sound:
            return
        self.is_sound = True
        self.end_reporter.sound_traits.record(
            self.job.service.name, self.job.traits, at
        )

    def record_completion(self) -> None:
        """Adds the length of a response that was read from its beginning."""
        job = self.job
        prompt = job.request.prompt
        if self.event_count and prompt and job.request.resume_after is None:
            self.planner.response_lengths.update(
                job.route.name, prompt, self.event_count
            )
            if job.generation_prompt is not None:
                self.record_cost(float(self.event_count))

    def record_cost(self, value: float) -> None:
        """Adds the cost of a complete response to the known ones.

        :param value: its events, or the seconds of a plain call.
        """
        if self.choice is None:
            return
        self.planner.costs.record(self.job, value, self.timers.now())
        cost = self.choice.cost
        if cost is not None:
            self.planner.log(
                'request:cost',
                self.job,
                predicted=round(cost.mean, 3),
                p90=round(cost.quantile(0.9), 3),
                observed=round(value, 3),
            )

    def record_stream_failure(self, error: errors.BackendError) -> None:
        """Records that a server failed in the middle of a response.

        Exceeding the client's deadline does not count as a failure.
        """
        if self.server is not None:
            is_over = self.timers.now() >= self.job.deadline
            if not is_over:
                self.server.record_outcome(True, self.timers.now())
            self.record_interruption(error)
            self.log_failure(self.server, error.code)

    async def stream_events(
        self, response: ports.Response
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields the complete events of a stream as they arrive.

        If the route allows it, a stream that breaks off is resumed on another
        server.

        :raises BackendError: if the stream breaks off for good, or before its
            first event.
        """
        splitter = events.EventSplitter(self.job.request.resume_after)
        has_begun = self.job.request.resume_after is not None
        deadline = self.job.deadline
        while True:
            earlier_count = splitter.count
            stall_timer = StallTimer(self.timers, self.stall_timeout)
            if self.in_flight is not None and self.job.route.is_resumable:
                self.in_flight.interrupt = stall_timer.interrupt
            try:
                while True:
                    self.record_chunk_wait(self.timers.now())
                    try:
                        chunk = await stall_timer.read(response, deadline)
                    except StopAsyncIteration:
                        break
                    if chunk is None:
                        raise errors.BackendTimeoutError(
                            'the backend server stopped sending its stream'
                        )
                    self.record_chunk(chunk, stall_timer.ended_at)
                    complete_events = splitter.feed(chunk)
                    if complete_events:
                        stall_timer.waited_seconds = 0.0
                        has_begun = True
                        if self.job.software_version is None:
                            self.fix_software_version()
                            stall_timer.timeout = self.stall_timeout
                        yield complete_events
                self.check_stream_end(response, splitter, earlier_count)
                break
            except (errors.BackendError, errors.PeerError) as error:
                stall_timer.cancel()
                instance = None
                if self.server is not None:
                    instance = self.server.instance
                    self.record_stream_failure(error)
                if not self.job.route.is_resumable or not has_begun:
                    raise
                splitter.begin_rest()
                await self.close()
                response = await self.resume(splitter.last_id, error, instance)
            finally:
                stall_timer.cancel()
        if not self.is_elsewhere:
            self.record_completion()
        self.record_sound_end(response)
        await self.close(is_complete=True)

    def record_sound_end(self, response: ports.Response) -> None:
        """Records that a stream is complete.

        One that ends with its connection looks complete as well if its
        server ended after an event.
        """
        now = self.timers.now()
        if not response.ends_by_close:
            self.record_soundness(now)
        elif self.server is not None and self.in_flight is not None:
            self.end_detector.record_close(
                self.server.instance,
                self.job,
                self.in_flight.sent_at,
                lambda: self.record_soundness(now),
            )

    @property
    def stall_timeout(self) -> float:
        """Seconds without a complete event after which a stream has stalled.

        Infinite if no other server may resume the stream.
        """
        if not self.has_alternative():
            return math.inf
        return max(
            MIN_STALL_SECONDS,
            STALL_OBJECTIVE_FACTOR * self.job.route.event_gap_objective,
        )

    async def resume(
        self,
        last_id: str | None,
        error: errors.GatewayError,
        instance: instances.Instance | None,
    ) -> ports.Response:
        """Returns the rest of a stream from another server.

        :param error: the failure that interrupted the stream.
        :param instance: that sent the stream; None if another VM did.
        :raises BackendError: if no server can resume it.
        """
        # A server that takes a request and then hangs would use up the last
        # attempt.
        is_lost = isinstance(
            error, errors.BackendTimeoutError
        ) and await self.has_lost_servers(instance)
        has_relay_stopped = self.resume_elsewhere is not None and isinstance(
            error, errors.StoppedError
        )
        while self.planner.acquire_retry(self.job, error):
            choice = None
            if not is_lost:
                with contextlib.suppress(errors.NotRunError):
                    choice = self.planner.choose_server(
                        self.job, self.excluded
                    )
            if choice is None:
                may_leave = is_lost or has_relay_stopped
                if not may_leave and not await self.has_lost_servers(instance):
                    break
                try:
                    return await self.enter_elsewhere(last_id)
                except errors.GatewayError as failure:
                    error = failure
                    break
            try:
                response = await self.send(choice, last_id)
                if response.status == 200:
                    self.require_event_stream(response)
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
        raise errors.BrokenStreamError(
            'the stream was interrupted and could not be resumed'
        ) from error

    async def has_lost_servers(
        self, instance: instances.Instance | None
    ) -> bool:
        """Returns whether other VMs may reach servers that this one does not.

        A stream whose server has ended for all VMs is not sent elsewhere, as
        it may have been the cause.

        :param instance: that sent the stream; None if another VM did.
        """
        return (
            self.resume_elsewhere is not None
            and instance is not None
            and not await self.end_detector.reaches_any(instance)
        )

    async def enter_elsewhere(self, last_id: str | None) -> ports.Response:
        """Returns the rest of a stream from another VM.

        :raises GatewayError: if no VM can resume it.
        """
        self.is_elsewhere = True
        request = dataclasses.replace(self.job.request, resume_after=last_id)
        response = await self.resume_elsewhere(
            self.stack, dataclasses.replace(self.job, request=request)
        )
        if response.status != 200:
            raise errors.BackendStatusError(
                f'another VM returned status {response.status}',
                response.status,
            )
        self.planner.log(
            'request:resumed', self.job, server='', last_id=last_id
        )
        return response


class BegunStream:
    """A stream whose first events were read already.

    Its further events take no step of this iterator's own.
    """

    def __init__(
        self, first: bytes, stream: collections.abc.AsyncIterator[bytes]
    ) -> None:
        self.first = first
        self.stream = stream

    def __aiter__(self) -> 'BegunStream':
        return self

    def __anext__(self) -> collections.abc.Awaitable[bytes]:
        return self.take_first() if self.first else self.stream.__anext__()

    async def take_first(self) -> bytes:
        first, self.first = self.first, b''
        return first


class StallTimer:
    """Measures how long a stream has been read without a complete event.

    A server that sends a byte now and then has stalled as one that sends
    nothing has. Time in which the client does not read does not count.

    One timer serves all reads of a response: it is scheduled again only when
    it is called while a read is not overdue.

    :param timeout: seconds after which the stream has stalled.
    :ivar waited_seconds: since the last complete event.
    :ivar ended_at: timer seconds at which the last read ended.
    :ivar due_at: timer seconds at which the read in progress is overdue;
        infinite if there is none.
    :ivar is_overdue: whether the read in progress was ended.
    """

    def __init__(self, timers: timer_service.Timers, timeout: float) -> None:
        self.timers = timers
        self.timeout = timeout
        self.waited_seconds = 0.0
        self.ended_at = 0.0
        self.due_at = math.inf
        self.is_overdue = False
        self.timer: timer_service.Timer | None = None
        self.end_read: collections.abc.Callable[[], None] | None = None

    async def read(
        self, response: ports.Response, deadline: float
    ) -> bytes | None:
        """Returns the next chunk of a response.

        :param deadline: timer seconds by which it has to be there.
        :returns: None if the stream has stalled or the deadline has passed.
        """
        began_at = self.timers.now()
        due_at = min(began_at + self.timeout - self.waited_seconds, deadline)
        self.due_at = due_at = max(began_at, due_at)
        if self.timer is None or self.timer.due_at > due_at:
            self.schedule(due_at)
        self.is_overdue = False
        try:
            if response.abort is not None:
                self.end_read = response.abort
                return await response.chunks.__anext__()
            with anyio.CancelScope() as scope:
                self.end_read = scope.cancel
                return await response.chunks.__anext__()
        except errors.BackendError:
            if not self.is_overdue:
                raise
        finally:
            self.due_at = math.inf
            self.ended_at = self.timers.now()
            self.waited_seconds += self.ended_at - began_at
        return None

    def schedule(self, due_at: float) -> None:
        self.cancel()
        self.timer = self.timers.call_later(
            due_at - self.timers.now(), self.check
        )

    def check(self) -> None:
        """Ends the read in progress if it is overdue."""
        self.timer = None
        if self.due_at == math.inf:
            return
        if self.due_at > self.timers.now():
            self.schedule(self.due_at)
            return
        self.is_overdue = True
        self.end_read()

    def interrupt(self) -> None:
        """Ends the read in progress, if there is one, as overdue."""
        if self.due_at != math.inf:
            self.is_overdue = True
            self.end_read()

    def cancel(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
