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
PAUSES_BEFORE_RESUME = 3
SHORTEST_SILENCE_SECONDS = 1.5
RETRY_STATUSES = frozenset({500, 502, 503, 504})
EVENT_END = b'\n\n'
# A caller that takes an event later than this after it came is a slow one.
READ_SECONDS = 0.02
# Waiting less than this says nothing on a server, since a route's time may
# be short.
LEAST_FAILURE_SECONDS = 1.0


class Run:
    """One request at the servers of this region, with its repeats."""

    def __init__(
        self,
        decisions: planner_module.RequestPlanner,
        backend: ports.BackendPort,
        job: jobs.Job,
    ) -> None:
        self.decisions = decisions
        self.backend = backend
        self.timers = decisions.timers
        self.job = job
        self.excluded: set[str] = set()
        self.stack = contextlib.AsyncExitStack()
        self.server: server_pool.Server | None = None
        self.running: server_pool.Running | None = None
        self.events = 0
        self.event_at = 0.0

    async def close(self, is_whole: bool = False) -> None:
        """Ends what runs at a server, if anything does."""
        server, running = self.server, self.running
        self.server = self.running = None
        if server is not None and running is not None:
            server.end(running, self.timers.now(), is_whole)
        await self.stack.aclose()

    async def first_answer(self) -> ports.Response:
        """Returns the answer of the first server that gives one.

        :raises GatewayError: if none does.
        """
        failure: errors.GatewayError | None = None
        while True:
            try:
                choice = self.decisions.choose(self.job, self.excluded)
            except errors.NotRunError as error:
                if failure is None or failure.run == errors.NOT_RUN:
                    raise
                raise failure from error
            try:
                answer = await self.send(choice, None)
            except errors.GatewayError as error:
                failure = error
                await self.close()
                # The repeat of one that left a silent server was taken.
                is_moved = isinstance(error, errors.BackendSilentError)
                if is_moved or self.decisions.may_repeat(self.job, error):
                    continue
                raise
            if answer.status in RETRY_STATUSES and self.has_others():
                if self.decisions.may_repeat(self.job, None):
                    await self.close()
                    failure = errors.BackendStatusError(
                        f'{choice.server.instance.name} failed',
                        answer.status,
                    )
                    continue
            return answer

    def has_others(self) -> bool:
        """Returns whether another server could give a better answer."""
        decisions, job = self.decisions, self.job
        if not job.route.is_retryable or not job.may_be_sent:
            return False
        now = self.timers.now()
        return any(
            decisions.may_send(job, one, now)
            for one in decisions.pool.usable_servers(
                job.service, now, self.excluded
            )
        )

    def may_move(self) -> bool:
        """Takes a repeat if the request can and may go to another server."""
        return self.has_others() and self.decisions.may_repeat(self.job, None)

    async def send(
        self,
        choice: jobs.Choice,
        resume_after: str | None,
    ) -> ports.Response:
        """Returns the answer of one server, once its head has come."""
        job = self.job
        self.decisions.check_still_allowed(job)
        now = self.timers.now()
        server, unread = choice.server, choice.unread
        name = server.instance.name
        self.excluded.add(name)
        rate = job.service.cold_start_rate
        if rate > 0 and server.is_cold(now):
            share = self.decisions.cold_share(job, server)
            server.pace.take(now, share)
        others = self.decisions.backlogs.others(name)
        before = server.waiting_tokens + others[0]
        self.server = server
        running = self.running = server_pool.Running(
            now,
            unread,
            before + unread if unread else 0.0,
            now + choice.predicted,
            self.may_move,
        )
        server.begin(running)
        if job.request.prompt is not None and job.service.is_engine:
            server.cache.record_prompt(job.request.prompt)
        backend_request = ports.BackendRequest(
            job.request,
            job.organisation,
            job.until - now,
            resume_after is not None,
            resume_after or job.request.resume_after,
            job.route.is_retryable,
        )
        job.sends.count += 1
        try:
            with anyio.CancelScope() as running.waiting:
                answer = await jobs.in_time(
                    self.timers,
                    job,
                    self.stack.enter_async_context(
                        self.backend.send(server.instance, backend_request)
                    ),
                )
            if running.waiting.cancelled_caught:
                raise errors.BackendSilentError(f'{name} is silent')
        except errors.BackendConnectError:
            job.sends.count -= 1
            server.note_outcome(True, self.timers.now())
            server.eject(self.timers.now())
            self.log_failure(server, 'connect')
            raise
        except errors.WrongInstanceError:
            self.decisions.pool.mark_moved(name)
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
            if not is_timeout or waited >= LEAST_FAILURE_SECONDS:
                server.note_outcome(True, self.timers.now())
            self.log_failure(server, error.code)
            raise
        if answer.load is not None:
            server.report = answer.load
            server.report_at = self.timers.now()
        server.note_outcome(answer.status >= 500, self.timers.now())
        seconds = self.timers.now() - now
        server.note_first(self.running, self.timers.now())
        self.decisions.log(
            'request:begun',
            job,
            server=name,
            status=answer.status,
            predicted=round(choice.predicted, 3),
            seconds=round(seconds, 3),
        )
        return answer

    def log_failure(self, server: server_pool.Server, code: str) -> None:
        self.decisions.log(
            'request:send_failed',
            self.job,
            server=server.instance.name,
            code=code,
            failures=round(server.failures, 2),
        )

    async def chunks(
        self, answer: ports.Response
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        while True:
            self.await_chunk()
            try:
                chunk = await jobs.in_time(
                    self.timers, self.job, anext(answer.chunks)
                )
            except StopAsyncIteration:
                break
            except errors.BackendError as error:
                self.note_failure(error)
                raise
            self.note_chunk(chunk)
            yield chunk
        self.note_whole()
        await self.close(is_whole=True)

    def await_chunk(self) -> None:
        if self.running is not None:
            self.running.awaited_since = self.timers.now()

    def note_chunk(self, chunk: bytes) -> None:
        """Takes in how fast the server generates."""
        if self.server is None:
            return
        now = self.server.heard_at = self.timers.now()
        awaited_since = self.running.awaited_since
        self.running.awaited_since = None
        count = chunk.count(EVENT_END) if self.job.route.is_stream else 0
        if not count:
            return
        # A caller that reads slowly says nothing of the server.
        is_read = awaited_since - self.event_at <= READ_SECONDS
        if self.events and is_read:
            self.server.event_pace.learn(count, now - self.event_at, now)
        self.events += count
        self.event_at = now

    def note_whole(self) -> None:
        """Takes in how long an answer was that came from its beginning."""
        job = self.job
        prompt = job.request.prompt
        if self.events and prompt and job.request.resume_after is None:
            self.decisions.lengths.learn(job.route.name, prompt, self.events)

    def note_failure(self, error: errors.BackendError) -> None:
        """Takes in that a server broke an answer off.

        An answer that is merely longer than the caller waits is no fault.
        """
        if self.server is not None:
            is_over = self.timers.now() >= self.job.until
            if not is_over:
                self.server.note_outcome(True, self.timers.now())
            self.log_failure(self.server, error.code)

    async def resumed_chunks(
        self, answer: ports.Response
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields whole events, going on at another server if one fails."""
        splitter = events.EventSplitter(self.job.request.resume_after)
        while True:
            try:
                async for chunk in self.steady_chunks(answer):
                    whole = splitter.feed(chunk)
                    if whole:
                        yield whole
                if splitter.buffer:
                    raise errors.BrokenStreamError('an event is not whole')
                break
            except errors.BackendError as error:
                self.note_failure(error)
                splitter.drop_rest()
                await self.close()
                answer = await self.resume(splitter.last_id, error)
        self.note_whole()
        await self.close(is_whole=True)

    async def steady_chunks(
        self, answer: ports.Response
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields chunks, and fails when a pause is too long."""
        job = self.job
        silence = max(
            SHORTEST_SILENCE_SECONDS,
            PAUSES_BEFORE_RESUME * job.route.event_gap_objective,
        )
        while True:
            left = job.until - self.timers.now()
            if not job.may_be_sent:
                silence = left
            chunk = None
            self.await_chunk()
            try:
                with self.timers.limit(max(0.0, min(silence, left))):
                    chunk = await anext(answer.chunks)
            except StopAsyncIteration:
                return
            if chunk is None:
                raise errors.BackendTimeoutError('a stream went silent')
            self.note_chunk(chunk)
            yield chunk

    async def resume(
        self, last_id: str | None, error: errors.GatewayError
    ) -> ports.Response:
        """Returns the rest of a stream from another server.

        :raises BackendError: what broke it, if it cannot go on.
        """
        while self.decisions.may_repeat(self.job, error):
            try:
                choice = self.decisions.choose(self.job, self.excluded)
            except errors.NotRunError:
                break
            try:
                answer = await self.send(choice, last_id)
            except errors.GatewayError as failure:
                error = failure
                await self.close()
                continue
            if answer.status == 200:
                self.decisions.log(
                    'request:resumed',
                    self.job,
                    server=choice.server.instance.name,
                    last_id=last_id,
                )
                return answer
            await self.close()
        raise errors.BrokenStreamError('the stream broke off') from error
