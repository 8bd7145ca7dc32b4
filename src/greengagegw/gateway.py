"""Authenticates, limits and routes the requests of clients."""

import collections
import collections.abc
import contextlib
import dataclasses
import re
import typing

import eliot
import orjson
import xxhash

from . import backend_pool
from . import crash_guard
from . import errors
from . import keys
from . import local_execution
from . import metrics as metric_sets
from . import region_routing
from . import request_parsing
from . import settings as settings_module
from . import streams
from . import table as tables
from . import timers as timer_service
from .allowance import quota_client as quota_clients
from .control import view as views
from .ledger import client as ledger_client
from .membership import gossip
from .ports import backends
from .ports import clients

SERVICE_PATH = re.compile(r'/services/([a-z0-9][a-z0-9.-]*)(/.*)?\Z')
# How long a request may wait for tokens of its organisation.
MAX_TOKEN_WAIT_SECONDS = 2.0
# Label value of an organisation or service that is not known yet.
UNKNOWN_LABEL = '-'


@dataclasses.dataclass(slots=True)
class RequestOutcome:
    """Data on a request for its log entry and metrics.

    The times are seconds of the monotonic clock.
    """

    organisation: str = UNKNOWN_LABEL
    service: str = UNKNOWN_LABEL
    region: str = ''
    backend_server: str = ''
    tokens: int = 0
    started_at: float = 0.0
    first_byte_at: float = 0.0
    chunks: int = 0
    is_stream: bool = False


Handler = collections.abc.Callable[
    [clients.ClientRequest, tables.Row, RequestOutcome],
    contextlib.AbstractAsyncContextManager[backends.Response],
]


class Gateway:
    """Handles the requests that clients send to one VM."""

    def __init__(
        self,
        settings: settings_module.Settings,
        timers: timer_service.Timers,
        view: views.ConfigurationView,
        pool: backend_pool.BackendPool,
        router: region_routing.RegionRouter,
        quota_client: quota_clients.QuotaClient,
        ledger: ledger_client.LedgerClient,
        membership: gossip.Gossip,
        metrics: metric_sets.Metrics,
        guard: crash_guard.CrashGuard,
    ) -> None:
        self.guard = guard
        self.settings = settings
        self.timers = timers
        self.view = view
        self.pool = pool
        self.router = router
        self.quota_client = quota_client
        self.ledger = ledger
        self.membership = membership
        self.metrics = metrics
        self.region = settings.region
        self.in_flight_by_organisation: collections.Counter[str] = (
            collections.Counter()
        )
        self.total_in_flight = 0

    @contextlib.asynccontextmanager
    async def handle(
        self, request: clients.ClientRequest
    ) -> collections.abc.AsyncIterator[backends.Response]:
        """Handles a request and yields its response.

        :raises GatewayError: if there is no response.
        """
        outcome = RequestOutcome(started_at=self.timers.now())
        action = eliot.start_action(
            action_type='request', request_id=request.request_id
        )
        self.total_in_flight += 1
        failure: BaseException | None = None
        try:
            async with self.respond(request, outcome) as response:
                chunks = self.measure_chunks(response.chunks, outcome)
                yield dataclasses.replace(response, chunks=chunks)
        except BaseException as error:
            failure = error
            raise
        finally:
            self.total_in_flight -= 1
            self.record_outcome(outcome, failure, action)

    @contextlib.asynccontextmanager
    async def respond(
        self, request: clients.ClientRequest, outcome: RequestOutcome
    ) -> collections.abc.AsyncIterator[backends.Response]:
        self.check_in_flight(self.total_in_flight)
        self.check_loop(request)
        row = self.authenticate(request)
        outcome.organisation = row.name
        handler = self.find_handler(request)
        with self.limit_concurrency(row):
            async with handler(request, row, outcome) as response:
                yield response

    def check_head(self, request: clients.ClientRequest) -> None:
        """Checks a request whose body has not arrived.

        :raises NotRunError: if the request will be rejected.
        """
        self.check_in_flight(self.total_in_flight + 1)
        self.check_loop(request)
        row = self.authenticate(request)
        self.find_handler(request)
        with self.limit_concurrency(row):
            pass

    def check_in_flight(self, count: int) -> None:
        """Checks a number of requests against the limit.

        :raises OverloadedError: if it is over the limit.
        """
        if count > self.settings.limits.requests_in_flight:
            raise errors.OverloadedError(
                f'{self.settings.vm} has reached its limit of requests in'
                ' flight',
                retry_after=1,
            )

    def check_loop(self, request: clients.ClientRequest) -> None:
        """Rejects a request that passed through this deployment before.

        :raises LoopDetectedError: if ``Via`` names the deployment.
        """
        for name, value in request.headers:
            if name != 'via':
                continue
            names = [
                entry.split()[-1]
                for entry in value.split(',')
                if entry.split()
            ]
            if self.settings.deployment in names:
                raise errors.LoopDetectedError(
                    'the request has passed through this deployment before'
                )

    def authenticate(self, request: clients.ClientRequest) -> tables.Row:
        """Returns the row of the organisation that the key belongs to.

        :raises NotReadyError: if there is no configuration yet.
        :raises AuthenticationError: if the key is missing, unknown or
            withdrawn.
        :raises PermissionDeniedError: if the table has no such organisation.
        """
        if not self.view.ready.is_set():
            raise errors.NotReadyError(
                'this VM has no configuration yet', retry_after=1
            )
        if not request.key:
            raise errors.AuthenticationError('the request has no API key')
        configuration = self.view.configuration
        record = keys.check_key(
            request.key, configuration.keys, configuration.withdrawn
        )
        row = configuration.table.organisation(record.organisation)
        if row is None:
            raise errors.PermissionDeniedError(
                f'the table has no organisation {record.organisation}'
            )
        return row

    @contextlib.contextmanager
    def limit_concurrency(
        self, row: tables.Row
    ) -> collections.abc.Iterator[None]:
        """Counts a request of an organisation as in flight.

        :raises RateLimitError: if the organisation has reached its limit of
            requests in flight.
        """
        if (
            row.limit is not None
            and self.in_flight_by_organisation[row.name] >= row.limit
        ):
            raise errors.RateLimitError(
                f'{row.name} has reached its limit of {row.limit} requests in'
                ' flight',
                retry_after=1,
            )
        self.in_flight_by_organisation[row.name] += 1
        try:
            yield
        finally:
            self.in_flight_by_organisation[row.name] -= 1
            if not self.in_flight_by_organisation[row.name]:
                del self.in_flight_by_organisation[row.name]

    def find_handler(self, request: clients.ClientRequest) -> Handler:
        """Returns the handler of a path.

        :raises NotFoundError: if there is none.
        :raises MethodNotAllowedError: if the path does not allow the method.
        """
        path = request.path
        if path in request_parsing.MODEL_PATHS:
            require_method(request, 'POST')
            return self.run_model
        if path == '/v1/models':
            require_method(request, 'GET')
            return self.list_models
        if path == '/v1/entries':
            require_method(request, 'GET')
            return self.list_entries
        if SERVICE_PATH.match(path):
            return self.run_plain
        raise errors.NotFoundError('there is no resource at this path')

    # Model services.

    @contextlib.asynccontextmanager
    async def run_model(
        self,
        request: clients.ClientRequest,
        row: tables.Row,
        outcome: RequestOutcome,
    ) -> collections.abc.AsyncIterator[backends.Response]:
        request_parsing.check_key_disclosure(request)
        model_request = request_parsing.read_model_request(
            request, self.settings.limits
        )
        service = self.pool.service_by_model.get(model_request.model)
        if service is None:
            raise errors.UnknownModelError(
                'the requested model does not exist'
            )
        outcome.service = service
        outcome.is_stream = model_request.stream
        self.check_service_end(service)
        call = request_parsing.make_model_call(
            request, model_request, row.name, service
        )
        spec = local_execution.CallSpec(
            call,
            row.weight,
            self.settings.timeouts.queue_seconds,
            model_request.prefix,
            model_request.adds_usage,
            model_request.segments,
        )
        self.guard.check(service, spec.traits)
        async with self.reserve_tokens(row, call) as token_usage:
            async with self.router.route(spec, row) as active_call:
                token_usage.usage = active_call.usage
                outcome.region = active_call.response.region
                outcome.backend_server = active_call.response.backend_server
                yield active_call.response
            outcome.tokens = token_usage.tokens_used(call.tokens)

    @contextlib.asynccontextmanager
    async def reserve_tokens(
        self, row: tables.Row, call: backends.Call
    ) -> collections.abc.AsyncIterator['TokenUsage']:
        """Reserves the tokens of a call and refunds the unused ones.

        :raises BurstExceededError: if they exceed the burst.
        :raises RateLimitError: if they do not become available in time.
        """
        if call.tokens > row.burst:
            raise errors.BurstExceededError(
                f'the request may use {call.tokens} tokens, but the burst of'
                f' {row.name} is {row.burst:g}'
            )
        reservation = await self.quota_client.reserve(
            row.name, call.tokens, row.rate, MAX_TOKEN_WAIT_SECONDS
        )
        token_usage = TokenUsage()
        try:
            yield token_usage
        except errors.GatewayError as error:
            token_usage.is_not_run = error.run == errors.NOT_RUN
            raise
        finally:
            tokens_used = token_usage.tokens_used(call.tokens)
            self.quota_client.refund(reservation, tokens_used)
            self.metrics.tokens.labels(row.name, call.service).inc(tokens_used)

    # Plain services.

    @contextlib.asynccontextmanager
    async def run_plain(
        self,
        request: clients.ClientRequest,
        row: tables.Row,
        outcome: RequestOutcome,
    ) -> collections.abc.AsyncIterator[backends.Response]:
        request_parsing.check_key_disclosure(request)
        service, path = SERVICE_PATH.match(request.path).groups()
        if self.pool.service_kinds.get(service) != 'plain':
            raise errors.UnknownServiceError(
                'the requested service does not exist'
            )
        outcome.service = service
        self.check_service_end(service)
        call = request_parsing.make_plain_call(
            request, row.name, service, path or '/'
        )
        spec = local_execution.CallSpec(
            call, row.weight, self.settings.timeouts.queue_seconds
        )
        key = (
            None
            if call.repeatable
            else request_parsing.read_idempotency_key(request)
        )
        async with self.reserve_tokens(row, call) as token_usage:
            if key is not None:
                response = await self.run_claimed(spec, key, row, token_usage)
                yield response
                return
            async with self.router.route(spec, row) as active_call:
                token_usage.usage = active_call.usage
                outcome.region = active_call.response.region
                outcome.backend_server = active_call.response.backend_server
                yield active_call.response

    async def run_claimed(
        self,
        spec: local_execution.CallSpec,
        key: str,
        row: tables.Row,
        token_usage: 'TokenUsage',
    ) -> backends.Response:
        """Runs a call at most once, or returns its stored response."""
        call = spec.call
        stored = await self.claim_call(call, key, row)
        if stored is not None:
            token_usage.is_not_run = True
            return make_stored_response(
                stored, (('idempotency-replayed', 'true'),)
            )
        try:
            async with self.router.route(spec, row) as active_call:
                body = await streams.read_body(active_call.response.chunks)
                response = ledger_client.StoredResponse(
                    active_call.response.status,
                    active_call.response.headers,
                    body,
                )
        except errors.GatewayError as error:
            await self.settle_claim(call, key, row, error)
            raise
        except BaseException:
            # The client disconnected or the VM stops during the call.
            await self.settle_claim(call, key, row, None)
            raise
        await self.store_response(call, key, row, response)
        return make_stored_response(response)

    async def claim_call(
        self, call: backends.Call, key: str, row: tables.Row
    ) -> ledger_client.StoredResponse | None:
        try:
            return await self.ledger.claim(call, key, row.home)
        except errors.UnavailableError:
            # The claim may have been written nevertheless; unless it is
            # released, a retry by the client would be rejected.
            with contextlib.suppress(errors.GatewayError):
                await self.ledger.release(call, key, row.home)
            raise

    async def settle_claim(
        self,
        call: backends.Call,
        key: str,
        row: tables.Row,
        error: errors.GatewayError | None,
    ) -> None:
        """Releases the claim of a call that failed without being run.

        If the call may have been run, its outcome is recorded as unknown.
        """
        with self.timers.move_on_after(
            ledger_client.FINISH_TIMEOUT_SECONDS
        ) as scope:
            scope.shield = True
            with contextlib.suppress(errors.GatewayError):
                if error is not None and error.run == errors.NOT_RUN:
                    await self.ledger.release(call, key, row.home)
                else:
                    await self.ledger.finish(call, key, row.home, None)

    async def store_response(
        self,
        call: backends.Call,
        key: str,
        row: tables.Row,
        response: ledger_client.StoredResponse,
    ) -> None:
        """Stores the response of a call for retries, unless it is too large.

        The client gets the response even if it cannot be stored; a retry
        then gets the error that the outcome is unknown.
        """
        max_bytes = self.settings.limits.answer_bytes_stored
        stored = response if len(response.body) <= max_bytes else None
        with self.timers.move_on_after(
            ledger_client.FINISH_TIMEOUT_SECONDS
        ) as scope:
            scope.shield = True
            with contextlib.suppress(errors.GatewayError):
                await self.ledger.finish(call, key, row.home, stored)

    # Service end.

    def check_service_end(self, service: str) -> None:
        """Rejects requests after the announced end of a service.

        :raises ServiceEndedError: if the end has passed.
        """
        row = self.view.configuration.table.service(service)
        if row is None or row.end is None:
            return
        if self.timers.wall_time() >= row.end:
            raise errors.ServiceEndedError(f'service {service} has ended')

    # Requests that the gateway serves itself.

    @contextlib.asynccontextmanager
    async def list_models(
        self,
        request: clients.ClientRequest,
        row: tables.Row,
        outcome: RequestOutcome,
    ) -> collections.abc.AsyncIterator[backends.Response]:
        models = [
            {'id': name, 'object': 'model', 'owned_by': service}
            for name, service in sorted(self.pool.service_by_model.items())
            if self.pool.service_kinds[service] == 'model'
        ]
        yield make_json_response({'object': 'list', 'data': models})

    @contextlib.asynccontextmanager
    async def list_entries(
        self,
        request: clients.ClientRequest,
        row: tables.Row,
        outcome: RequestOutcome,
    ) -> collections.abc.AsyncIterator[backends.Response]:
        """Lists the VMs that accept clients, in the order of preference.

        Those of the home region come first, then those of this region. The
        hash of the key distributes clients over the VMs of a region.
        """
        home = row.home or self.region
        entries = [
            peer
            for peer in self.settings.peers
            if self.membership.accepts_clients(peer.vm)
        ]
        entries.sort(
            key=lambda peer: (
                peer.region != home,
                peer.region != self.region,
                xxhash.xxh64_intdigest(f'{request.key}/{peer.vm}'.encode()),
            )
        )
        yield make_json_response(
            {
                'ttl_seconds': self.settings.timeouts.entries_ttl_seconds,
                'entries': [
                    {
                        'vm': peer.vm,
                        'region': peer.region,
                        'url': str(peer.callers_url).rstrip('/'),
                    }
                    for peer in entries
                ],
            }
        )

    # Logging and metrics.

    async def measure_chunks(
        self,
        chunks: collections.abc.AsyncIterator[bytes],
        outcome: RequestOutcome,
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields the chunks of a response, counting and timing them."""
        async for chunk in chunks:
            if not outcome.chunks:
                outcome.first_byte_at = self.timers.now()
            outcome.chunks += 1
            yield chunk

    def record_outcome(
        self,
        outcome: RequestOutcome,
        failure: BaseException | None,
        action: eliot.Action,
    ) -> None:
        """Updates the metrics and writes the log entry of a request."""
        now = self.timers.now()
        code, run = 'ok', errors.RAN
        if isinstance(failure, errors.GatewayError):
            code, run = failure.code, failure.run
        elif failure is not None:
            code, run = 'caller_gone', errors.UNKNOWN
        self.metrics.requests.labels(
            outcome.organisation, outcome.service, code, run
        ).inc()
        if run == errors.NOT_RUN and isinstance(
            failure, errors.UnavailableError | errors.OverloadedError
        ):
            self.metrics.rejected_within_rate.labels(
                outcome.organisation, code
            ).inc()
        if outcome.chunks and outcome.service != UNKNOWN_LABEL:
            self.record_latency(outcome, now)
        action.add_success_fields(
            organisation=outcome.organisation,
            service=outcome.service,
            region=outcome.region,
            backend_server=outcome.backend_server,
            code=code,
            run=run,
            tokens=outcome.tokens,
            seconds=round(now - outcome.started_at, 6),
            first_byte_seconds=round(
                max(0.0, outcome.first_byte_at - outcome.started_at), 6
            ),
        )
        # Failed requests end as successful actions too, so that all entries
        # have the same fields.
        action.finish()

    def record_latency(self, outcome: RequestOutcome, now: float) -> None:
        labels = (outcome.organisation, outcome.service)
        objective = self.settings.objective
        seconds_to_first_token = outcome.first_byte_at - outcome.started_at
        self.metrics.first_token_seconds.labels(*labels).observe(
            seconds_to_first_token
        )
        if seconds_to_first_token > objective.first_token_seconds:
            self.metrics.slow_responses.labels(*labels, 'first_token').inc()
        if outcome.is_stream and outcome.chunks > 1:
            mean_gap_seconds = (now - outcome.first_byte_at) / (
                outcome.chunks - 1
            )
            self.metrics.between_tokens_seconds.labels(*labels).observe(
                mean_gap_seconds
            )
            if mean_gap_seconds > objective.between_tokens_seconds:
                self.metrics.slow_responses.labels(
                    *labels, 'between_tokens'
                ).inc()


@dataclasses.dataclass(slots=True)
class TokenUsage:
    """How many of the tokens reserved for a call were used.

    :ivar usage: usage reported for the call, or None if unknown.
    :ivar is_not_run: whether the call was certainly not run.
    """

    usage: local_execution.Usage | None = None
    is_not_run: bool = False

    def tokens_used(self, reserved: int) -> int:
        """Returns the tokens used, or all reserved ones if unknown."""
        if self.is_not_run:
            return 0
        if self.usage is None or self.usage.tokens is None:
            return reserved
        return min(reserved, self.usage.tokens)


def require_method(request: clients.ClientRequest, method: str) -> None:
    if request.method != method:
        raise errors.MethodNotAllowedError(
            f'this path allows only the method {method}'
        )


def make_stored_response(
    stored: ledger_client.StoredResponse,
    extra: tuple[tuple[str, str], ...] = (),
) -> backends.Response:
    return backends.Response(
        stored.status,
        (*stored.headers, *extra),
        local_execution.iterate_chunks([stored.body]),
    )


def make_json_response(content: typing.Any) -> backends.Response:
    """Returns a successful response with a JSON body."""
    return backends.Response(
        200,
        (('content-type', 'application/json'),),
        local_execution.iterate_chunks([orjson.dumps(content)]),
    )
