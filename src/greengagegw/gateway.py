"""Handles callers' requests: whose they are, and where they are run."""

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
from . import errors
from . import keys
from . import local_execution
from . import metrics as metric_sets
from . import region_routing
from . import request_parsing
from . import settings as settings_module
from . import table as tables
from . import timers as timer_service
from .allowance import quota_client as quota_clients
from .control import view as views
from .ledger import client as ledger_client
from .membership import gossip
from .ports import backends
from .ports import clients

SERVICE_PATH = re.compile(r'/services/([a-z0-9][a-z0-9.-]*)(/.*)?\Z')
# How long a request may wait for tokens of its organisation's rate.
TOKEN_WAIT_SECONDS = 2.0
UNKNOWN = '-'


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of a request, for logs and metrics."""

    organisation: str = UNKNOWN
    service: str = UNKNOWN
    region: str = ''
    backend_server: str = ''
    tokens: int = 0
    started_at: float = 0.0
    first_byte_at: float = 0.0
    chunks: int = 0
    is_stream: bool = False


Handler = collections.abc.Callable[
    [clients.ClientRequest, tables.Row, Outcome],
    contextlib.AbstractAsyncContextManager[backends.Response],
]


class Gateway:
    """The path of a request through one VM."""

    def __init__(
        self,
        settings: settings_module.Settings,
        timers: timer_service.Timers,
        view: views.ConfigurationView,
        known: backend_pool.BackendPool,
        placement: region_routing.RegionRouter,
        wallet: quota_clients.QuotaClient,
        ledger: ledger_client.LedgerClient,
        membership: gossip.Gossip,
        metrics: metric_sets.Metrics,
    ) -> None:
        self.settings = settings
        self.timers = timers
        self.view = view
        self.pool = known
        self.router = placement
        self.quota_client = wallet
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
        """Handles a request and enters its answer.

        :raises GatewayError: if there is no answer.
        """
        outcome = Outcome(started_at=self.timers.now())
        action = eliot.start_action(
            action_type='request', request_id=request.request_id
        )
        self.total_in_flight += 1
        failure: BaseException | None = None
        try:
            async with self.answer(request, outcome) as answer:
                chunks = self.observe(answer.chunks, outcome)
                yield dataclasses.replace(answer, chunks=chunks)
        except BaseException as error:
            failure = error
            raise
        finally:
            self.total_in_flight -= 1
            self.record(outcome, failure, action)

    @contextlib.asynccontextmanager
    async def answer(
        self, request: clients.ClientRequest, outcome: Outcome
    ) -> collections.abc.AsyncIterator[backends.Response]:
        if self.total_in_flight > self.settings.limits.requests_in_flight:
            raise errors.OverloadedError(
                f'{self.settings.vm} has its hands full', retry_after=1
            )
        self.check_loop(request)
        row = self.authenticate(request)
        outcome.organisation = row.name
        handler = self.find_handler(request)
        with self.count(row):
            async with handler(request, row, outcome) as answer:
                yield answer

    def check_loop(self, request: clients.ClientRequest) -> None:
        """Refuses a request that has been through this deployment.

        :raises LoopDetectedError: if ``Via`` names the deployment.
        """
        for name, value in request.headers:
            if name != 'via':
                continue
            names = [
                one.split()[-1] for one in value.split(',') if one.split()
            ]
            if self.settings.deployment in names:
                raise errors.LoopDetectedError(
                    'the request came through here before'
                )

    def authenticate(self, request: clients.ClientRequest) -> tables.Row:
        """Returns the row of the organisation whose key was presented.

        :raises AuthenticationError: if the key may not be used.
        """
        if not self.view.ready.is_set():
            raise errors.NotReadyError(
                'this VM has no configuration yet', retry_after=1
            )
        if not request.key:
            raise errors.AuthenticationError('no key was presented')
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
    def count(self, row: tables.Row) -> collections.abc.Iterator[None]:
        """Counts an organisation's requests against its limit."""
        if (
            row.limit is not None
            and self.in_flight_by_organisation[row.name] >= row.limit
        ):
            raise errors.RateLimitError(
                f'{row.name} has {row.limit} requests in flight',
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
        """Returns what handles a path.

        :raises NotFoundError: if nothing does.
        :raises MethodNotAllowedError: if the method is not for this path.
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
        raise errors.NotFoundError('there is nothing at this path')

    # Inference.

    @contextlib.asynccontextmanager
    async def run_model(
        self,
        request: clients.ClientRequest,
        row: tables.Row,
        outcome: Outcome,
    ) -> collections.abc.AsyncIterator[backends.Response]:
        request_parsing.check_key_disclosure(request)
        wanted = request_parsing.read_model_request(
            request, self.settings.limits
        )
        service = self.pool.service_by_model.get(wanted.model)
        if service is None:
            raise errors.UnknownModelError('there is no such model')
        outcome.service = service
        outcome.is_stream = wanted.stream
        self.check_end(service)
        call = request_parsing.make_model_call(
            request, wanted, row.name, service
        )
        order = local_execution.CallSpec(
            call,
            row.weight,
            self.settings.timeouts.queue_seconds,
            wanted.prefix,
            wanted.adds_usage,
        )
        async with self.spend(row, call) as spending:
            async with self.router.route(order, row) as run:
                spending.usage = run.usage
                outcome.region = run.answer.region
                outcome.backend_server = run.answer.backend_server
                yield run.answer
            outcome.tokens = spending.used(call.tokens)

    @contextlib.asynccontextmanager
    async def spend(
        self, row: tables.Row, call: backends.Call
    ) -> collections.abc.AsyncIterator['Spending']:
        """Reserves a call's tokens and gives back what it did not use."""
        if call.tokens > row.burst:
            raise errors.BurstExceededError(
                f'the request may use {call.tokens} tokens, the burst of'
                f' {row.name} is {row.burst:g}'
            )
        reservation = await self.quota_client.reserve(
            row.name, call.tokens, row.rate, TOKEN_WAIT_SECONDS
        )
        spending = Spending()
        try:
            yield spending
        except errors.GatewayError as error:
            spending.is_not_run = error.run == errors.NOT_RUN
            raise
        finally:
            used = spending.used(call.tokens)
            self.quota_client.refund(reservation, used)
            self.metrics.tokens.labels(row.name, call.service).inc(used)

    # Plain services.

    @contextlib.asynccontextmanager
    async def run_plain(
        self,
        request: clients.ClientRequest,
        row: tables.Row,
        outcome: Outcome,
    ) -> collections.abc.AsyncIterator[backends.Response]:
        request_parsing.check_key_disclosure(request)
        service, path = SERVICE_PATH.match(request.path).groups()
        if self.pool.service_kinds.get(service) != 'plain':
            raise errors.UnknownServiceError('there is no such service')
        outcome.service = service
        self.check_end(service)
        call = request_parsing.make_plain_call(
            request, row.name, service, path or '/'
        )
        order = local_execution.CallSpec(
            call, row.weight, self.settings.timeouts.queue_seconds
        )
        key = (
            None
            if call.repeatable
            else request_parsing.read_idempotency_key(request)
        )
        async with self.spend(row, call) as spending:
            if key is not None:
                answer = await self.run_claimed(order, key, row, spending)
                yield answer
                return
            async with self.router.route(order, row) as run:
                spending.usage = run.usage
                outcome.region = run.answer.region
                outcome.backend_server = run.answer.backend_server
                yield run.answer

    async def run_claimed(
        self,
        order: local_execution.CallSpec,
        key: str,
        row: tables.Row,
        spending: 'Spending',
    ) -> backends.Response:
        """Runs a call at most once, or returns its stored answer."""
        call = order.call
        stored = await self.claim(call, key, row)
        if stored is not None:
            spending.is_not_run = True
            return make_answer(stored, (('idempotency-replayed', 'true'),))
        try:
            async with self.router.route(order, row) as run:
                body = await local_execution.read_body(run.answer.chunks)
                answer = ledger_client.StoredResponse(
                    run.answer.status, run.answer.headers, body
                )
        except errors.GatewayError as error:
            await self.settle_claim(call, key, row, error)
            raise
        except BaseException:
            # The caller is gone or the VM stops in the middle of the call.
            await self.settle_claim(call, key, row, None)
            raise
        await self.store(call, key, row, answer)
        return make_answer(answer)

    async def claim(
        self, call: backends.Call, key: str, row: tables.Row
    ) -> ledger_client.StoredResponse | None:
        try:
            return await self.ledger.claim(call, key, row.home)
        except errors.UnavailableError:
            # The claim may have been written all the same; it must not
            # keep the caller from trying again.
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
        """Records how a claimed call failed."""
        with self.timers.move_on_after(
            ledger_client.FINISH_TIMEOUT_SECONDS
        ) as scope:
            scope.shield = True
            with contextlib.suppress(errors.GatewayError):
                if error is not None and error.run == errors.NOT_RUN:
                    await self.ledger.release(call, key, row.home)
                else:
                    await self.ledger.finish(call, key, row.home, None)

    async def store(
        self,
        call: backends.Call,
        key: str,
        row: tables.Row,
        answer: ledger_client.StoredResponse,
    ) -> None:
        """Stores an answer for repeats, if it is not too large.

        The caller gets its answer even when it cannot be stored; then a
        repeat learns that the outcome is unknown.
        """
        most = self.settings.limits.answer_bytes_stored
        kept = answer if len(answer.body) <= most else None
        with self.timers.move_on_after(
            ledger_client.FINISH_TIMEOUT_SECONDS
        ) as scope:
            scope.shield = True
            with contextlib.suppress(errors.GatewayError):
                await self.ledger.finish(call, key, row.home, kept)

    # Where a call is run.

    def check_end(self, service: str) -> None:
        """Refuses new requests after a service's announced end.

        :raises ServiceEndedError: if the end has passed.
        """
        row = self.view.configuration.table.service(service)
        if row is None or row.end is None:
            return
        if self.timers.wall_time() >= row.end:
            raise errors.ServiceEndedError(f'{service} has reached its end')

    # What the gateway answers itself.

    @contextlib.asynccontextmanager
    async def list_models(
        self,
        request: clients.ClientRequest,
        row: tables.Row,
        outcome: Outcome,
    ) -> collections.abc.AsyncIterator[backends.Response]:
        models = [
            {'id': name, 'object': 'model', 'owned_by': service}
            for name, service in sorted(self.pool.service_by_model.items())
            if self.pool.service_kinds[service] == 'model'
        ]
        yield make_json_answer({'object': 'list', 'data': models})

    @contextlib.asynccontextmanager
    async def list_entries(
        self,
        request: clients.ClientRequest,
        row: tables.Row,
        outcome: Outcome,
    ) -> collections.abc.AsyncIterator[backends.Response]:
        """Answers with the VMs that the caller should use, best first."""
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
        yield make_json_answer(
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

    # Accounts.

    async def observe(
        self,
        chunks: collections.abc.AsyncIterator[bytes],
        outcome: Outcome,
    ) -> collections.abc.AsyncIterator[bytes]:
        """Passes an answer on, noting when its chunks came."""
        async for chunk in chunks:
            if not outcome.chunks:
                outcome.first_byte_at = self.timers.now()
            outcome.chunks += 1
            yield chunk

    def record(
        self,
        outcome: Outcome,
        failure: BaseException | None,
        action: eliot.Action,
    ) -> None:
        """Writes the log entry and the metrics of a request."""
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
        if outcome.chunks and outcome.service != UNKNOWN:
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
        # A refusal is an outcome too: all of them have the same fields.
        action.finish()

    def record_latency(self, outcome: Outcome, now: float) -> None:
        labels = (outcome.organisation, outcome.service)
        objective = self.settings.objective
        first = outcome.first_byte_at - outcome.started_at
        self.metrics.first_token_seconds.labels(*labels).observe(first)
        if first > objective.first_token_seconds:
            self.metrics.slow_responses.labels(*labels, 'first_token').inc()
        if outcome.is_stream and outcome.chunks > 1:
            gap = (now - outcome.first_byte_at) / (outcome.chunks - 1)
            self.metrics.between_tokens_seconds.labels(*labels).observe(gap)
            if gap > objective.between_tokens_seconds:
                self.metrics.slow_responses.labels(
                    *labels, 'between_tokens'
                ).inc()


@dataclasses.dataclass(slots=True)
class Spending:
    """What a reservation was used for."""

    usage: local_execution.Usage | None = None
    is_not_run: bool = False

    def used(self, reserved: int) -> int:
        """Returns the tokens used, which is all when it is not known."""
        if self.is_not_run:
            return 0
        if self.usage is None or self.usage.tokens is None:
            return reserved
        return min(reserved, self.usage.tokens)


def require_method(request: clients.ClientRequest, method: str) -> None:
    if request.method != method:
        raise errors.MethodNotAllowedError(f'only {method} is allowed here')


def make_answer(
    stored: ledger_client.StoredResponse,
    extra: tuple[tuple[str, str], ...] = (),
) -> backends.Response:
    return backends.Response(
        stored.status,
        (*stored.headers, *extra),
        local_execution.iterate_chunks([stored.body]),
    )


def make_json_answer(content: typing.Any) -> backends.Response:
    """Returns an answer that the gateway gives itself."""
    return backends.Response(
        200,
        (('content-type', 'application/json'),),
        local_execution.iterate_chunks([orjson.dumps(content)]),
    )
