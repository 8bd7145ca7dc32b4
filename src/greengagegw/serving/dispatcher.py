"""Dispatches clients' requests to a region and returns the responses.

The planner makes the decisions; the dispatcher carries them out.
"""

import collections.abc
import contextlib
import dataclasses
import math
import random
import typing

import anyio
import eliot

from .. import errors
from .. import logs
from .. import peer_exchange
from .. import request_memory
from .. import supervision
from .. import timers as timer_service
from . import backlog_exchange as backlog_exchange_module
from . import control_origins
from . import departures
from . import end_reports
from . import execution as execution_module
from ..fleet import agent as agents
from ..fleet import configuration as configurations
from ..fleet import loads
from ..fleet import members
from ..fleet import origin_table
from . import jobs
from . import links
from . import planner as planner_module
from . import ports
from ..ports import peers
from . import prompts
from . import request_cost
from . import request_limits
from . import retry_budget
from . import server_ends
from . import servers as server_pool
from . import stopping
from . import stream_origins

SERVE_METHOD = 'fleet.serve'
# VMs of a region that are asked to run a request.
MAX_VMS_PER_REGION = 3
# The wait for a server, apart from the prefill of a request's own prompt.
NO_PROMPT = prompts.Prompt('', 0, 0, ())
MAX_LOGGED_AGES = 50


class Dispatcher:
    """Serves requests on one entry VM.

    :ivar durations: of requests that this VM has handled.
    :ivar in_flight: the requests that are being handled.
    :ivar memory: the account of the requests' memory; None if it is not
        limited.
    :ivar stop: the planned stop of this VM, None before it begins.
    :ivar rejects_request: whether a new request is to be rejected before it
        is looked at further.
    """

    def __init__(
        self,
        vm: str,
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
        agent: agents.Agent,
        pool: server_pool.ServerPool,
        backend: ports.BackendPort,
        retry_settings: retry_budget.RetrySettings,
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.timers = timers
        self.mesh = mesh
        self.agent = agent
        self.view = agent.view
        self.pool = pool
        self.backend = backend
        self.backlog_exchange = backlog_exchange_module.BacklogExchange(
            vm, pool.region, timers, mesh, agent.view, pool.local_backlog
        )
        self.links = links.RegionLinks(
            vm, pool.region, timers, mesh, agent.view, rng
        )
        self.planner = planner_module.RequestPlanner(
            vm,
            timers,
            agent,
            pool,
            self.backlog_exchange,
            self.links,
            retry_settings,
            rng,
        )
        self.exchanges = [
            peer_exchange.PeerExchange(
                method,
                event,
                facts,
                self.backlog_exchange.region_peers,
                timers,
                mesh,
                rng,
                self.backlog_exchange.region_partners,
            )
            for method, event, facts in (
                (
                    departures.DEPARTURES_METHOD,
                    'server:leaving_not_told',
                    pool.leaving,
                ),
                (
                    request_limits.LIMITS_METHOD,
                    'server:limit_not_told',
                    pool.limits,
                ),
                (
                    request_limits.REJECTION_LIMITS_METHOD,
                    'server:brittle_not_told',
                    pool.rejection_limits,
                ),
            )
        ]
        self.origin_exchange = stream_origins.OriginExchange(
            pool.region,
            self.backlog_exchange.region_peers,
            lambda: {one.region for one in agent.view.entry_vms},
            self.links,
            timers,
            mesh,
        )
        self.control_origins = control_origins.ControlOrigins(
            vm, agent.view, pool.software_versions, timers, mesh
        )
        self.end_reporter = end_reports.EndReporter(agent.view, timers, mesh)
        self.end_detector = server_ends.EndDetector(
            timers, pool, backend, self.end_reporter.record
        )
        self.in_flight = stopping.InFlightRequests()
        self.durations = request_cost.RequestCosts(
            request_cost.classify_duration
        )
        self.stop: stopping.Stop | None = None
        self.memory: request_memory.RequestMemory | None = None
        self.rejects_request: collections.abc.Callable[
            [ports.Request], bool
        ] = self.is_late

    async def run(self) -> None:
        """Exchanges state with other entry VMs and checks servers for silence.

        Runs until cancelled.
        """
        async with anyio.create_task_group() as tasks:
            for name, function in (
                ('backlogs', self.backlog_exchange.run),
                *((one.method, one.run) for one in self.exchanges),
                ('links', self.links.maintain_links),
                ('stream origins', self.origin_exchange.run),
                ('origins to control VMs', self.control_origins.run),
                ('silence', self.check_silence),
                ('server ends', self.end_detector.run),
                ('server end reports', self.end_reporter.run),
            ):
                tasks.start_soon(
                    supervision.run_supervised, self.timers, name, function
                )

    async def check_silence(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                await self.timers.sleep(server_pool.SILENCE_CHECK_SECONDS)
                now = self.timers.now()
                self.pool.eject_silent_servers(now)
                for server in self.pool.start_probes(now):
                    tasks.start_soon(self.probe, server)

    async def probe(self, server: server_pool.Server) -> None:
        """Finds out whether an ejected server accepts connections again."""
        accepts = await self.backend.is_accepting_connections(server.instance)
        server.record_probe(accepts, self.timers.now())
        if not accepts:
            server.reroute_waiting(may_leave=True)
            server.interrupt_streams()

    def handlers(self) -> dict[str, peers.Handler]:
        exchanged = {
            method: handler
            for one in self.exchanges
            for method, handler in one.handlers().items()
        }
        return {
            **exchanged,
            **self.backlog_exchange.handlers(),
            **self.origin_exchange.handlers(),
            **self.end_reporter.handlers(),
        }

    def stream_handlers(self) -> dict[str, peers.StreamHandler]:
        return {SERVE_METHOD: self.serve_for_peer}

    @contextlib.asynccontextmanager
    async def handle(
        self, request: ports.Request
    ) -> collections.abc.AsyncIterator[ports.Response]:
        """Enters the response to a client's request.

        :raises GatewayError: if there is no response; its ``run`` says
            whether the request ran.
        """
        arrived_at = self.timers.now()
        with self.in_flight.enter(arrived_at) as entered:
            job = self.planner.create_job(request, arrived_at)
            entered.attempts = job.attempts
            self.check_stop(job)
            if job.resumes_stream:
                job = await self.restrict_to_origin(job)
            cost = await self.charge(job)
            try:
                async with self.dispatch(job) as response:
                    self.record_origin(job, response)
                    yield response
                    self.record_duration(job, response, arrived_at)
            except errors.GatewayError as error:
                if error.run == errors.NOT_RUN and cost:
                    self.agent.quota_client.refund(job.organisation, cost)
                raise

    def check_head(self, request: ports.Request) -> None:
        """Checks a request whose body has not arrived.

        :raises NotRunError: if the request will be rejected.
        """
        _, _, organisation = self.planner.authorize(request, self.timers.now())
        if organisation is not None and organisation.is_limited:
            self.agent.quota_client.check(
                organisation.name, find_cost(organisation, request)
            )

    def record_duration(
        self, job: jobs.Job, response: ports.Response, arrived_at: float
    ) -> None:
        """Adds the time from the arrival of a request to its end."""
        if response.status < 400:
            now = self.timers.now()
            self.durations.record(job, now - arrived_at, now)

    # Planned stop.

    def begin_stop(self, drain_seconds: float) -> None:
        """Begins a planned stop.

        :param drain_seconds: until the requests that are left are cut.
        """
        limits = stopping.make_limits(drain_seconds)
        self.stop = stopping.Stop(limits, self.timers.now())
        eliot.log_message(
            'stop:begun',
            running=len(self.in_flight.requests),
            **dataclasses.asdict(limits),
        )

    def end_stop(self) -> None:
        """Cuts the requests that are left, and logs what became of all."""
        if self.stop is None:
            return
        now = self.timers.now()
        left = self.in_flight.requests
        eliot.log_message(
            'stop:ended',
            seconds=round(now - self.stop.began_at, 3),
            taken=self.stop.taken,
            rejected=self.stop.rejected,
            cut=sum(one.may_have_run for one in left),
            cut_before_run=sum(not one.may_have_run for one in left),
            ages=sorted(round(now - one.arrived_at, 2) for one in left)[
                :MAX_LOGGED_AGES
            ],
        )
        self.in_flight.cut()

    def is_late(self, request: ports.Request) -> bool:
        """Returns whether a request comes too late in a planned stop."""
        if self.stop is None:
            return False
        reason = stopping.find_late_reason(
            self.stop.limits,
            self.timers.now() - self.stop.began_at,
            request.prompt is not None,
        )
        if reason is not None:
            self.log_stop_rejection(request, reason)
        return reason is not None

    def check_stop(self, job: jobs.Job) -> None:
        """Checks that a request should end before a planned stop does.

        :raises StoppingError: if it may not.
        """
        if self.stop is None:
            return
        now = self.timers.now()
        durations = self.durations.predict(job, now)
        reason = stopping.find_long_reason(
            self.stop.limits,
            now - self.stop.began_at,
            durations and durations.quantile(stopping.ENDING_SHARE),
        )
        if reason is not None:
            self.log_stop_rejection(job.request, reason)
            raise errors.StoppingError(
                reason, retry_after=stopping.RETRY_AFTER_SECONDS
            )
        self.stop.taken += 1

    def log_stop_rejection(self, request: ports.Request, reason: str) -> None:
        self.stop.rejected += 1
        logs.log_message(
            'stop:rejected', request=request.request_id, reason=reason
        )

    async def restrict_to_origin(self, job: jobs.Job) -> jobs.Job:
        """Returns a job that resumes a stream where it began.

        :raises UnavailableError: if the stream cannot be resumed.
        """
        origin = None
        if job.request.resumed_request is not None:
            key = stream_key(job, job.request.resumed_request)
            origin = await self.origin_exchange.find(
                key, self.control_origins.questions(key)
            )
        self.planner.log(
            'request:resumes',
            job,
            resumes=job.request.resumed_request,
            origin=None if origin is None else origin.pack(),
        )
        history = None
        if origin is None:
            # This VM's own history may be out of date, and it cannot know.
            history = await self.control_origins.fetch_history()
        return self.planner.restrict_to_origin(job, origin, history)

    def record_origin(self, job: jobs.Job, response: ports.Response) -> None:
        """Records what begins a stream, before the client gets any of it."""
        if job.route.is_resumable and response.software_version is not None:
            key = stream_key(job, job.request.request_id)
            origin = origin_table.StreamOrigin(
                job.service.name, response.software_version
            )
            now = self.timers.now()
            self.origin_exchange.origins.record(key, origin, now)
            self.control_origins.record(key, origin, job.route, now)

    async def charge(self, job: jobs.Job) -> float:
        """Acquires the cost of a request from its organisation's quota.

        :returns: the cost, in requests or tokens; 0 without a limit.
        """
        if job.organisation is None:
            return 0.0
        organisation = self.view.configuration.organisations.get(
            job.organisation
        )
        if organisation is None or not organisation.is_limited:
            return 0.0
        cost = find_cost(organisation, job.request)
        await self.agent.quota_client.acquire(job.organisation, cost)
        return cost

    # Regions.

    @contextlib.asynccontextmanager
    async def dispatch(
        self, job: jobs.Job
    ) -> collections.abc.AsyncIterator[ports.Response]:
        """Enters the response of this region or another one.

        :raises GatewayError: if no region responds.
        """
        self.planner.retry_budgets.find(job.service.name).record_request(
            self.timers.now()
        )
        allowed = self.allowed_regions(job)
        regions = await self.planner.plan_when_free(job, allowed)
        failure: errors.GatewayError | None = None
        failed_region = self.pool.region
        has_lost_servers = False
        async with contextlib.AsyncExitStack() as stack:
            response = None
            while regions and response is None:
                region, *regions = regions
                try:
                    response = await self.enter_region(stack, job, region)
                except errors.GatewayError as error:
                    failure = self.preferred_failure(failure, error)
                    if failure is error:
                        failed_region = region
                    is_final = not job.has_attempts_left
                    # A retry was acquired when the server was given up.
                    is_rerouted = region == self.pool.region and isinstance(
                        error, errors.BackendUnresponsiveError
                    )
                    is_unknown = error.run != errors.NOT_RUN
                    if is_unknown and not is_rerouted and not is_final:
                        is_final = not self.planner.acquire_retry(job, error)
                    if is_final:
                        break
                    if (
                        region == self.pool.region
                        and not has_lost_servers
                        and not self.planner.reaches_servers(job)
                    ):
                        has_lost_servers = True
                        regions, failure = self.plan_again(
                            job, allowed, failure
                        )
            if (
                response is None
                and isinstance(failure, errors.OverloadedError)
                and failed_region != self.pool.region
            ):
                self.planner.record_remote_rejection(job, failure)
            if response is None:
                raise failure or errors.UnavailableError(
                    f'no region can run {job.service.name}'
                    f'{planner_module.describe_version(job)} now',
                    retry_after=self.planner.rejected_retry_after(job),
                )
            yield response

    def plan_again(
        self,
        job: jobs.Job,
        allowed: frozenset[str] | None,
        failure: errors.GatewayError,
    ) -> tuple[list[str], errors.GatewayError]:
        """Plans a request again after this VM has lost its servers.

        :returns: the regions to try, and the failure to report if none of
            them responds.
        """
        try:
            return self.planner.plan_regions(job, allowed), failure
        except errors.OverloadedError as error:
            return [], self.preferred_failure(failure, error)

    async def enter_region(
        self, stack: contextlib.AsyncExitStack, job: jobs.Job, region: str
    ) -> ports.Response:
        """Enters the response of a region.

        Other VMs run the request if this one is not in the region, or has
        lost its servers.

        :raises GatewayError: if there is none.
        """
        if region == self.pool.region and self.planner.reaches_servers(job):
            return await stack.enter_async_context(
                self.run_locally(job, may_leave=True)
            )
        return await self.forward_to_region(stack, job, region)

    async def forward_to_region(
        self, stack: contextlib.AsyncExitStack, job: jobs.Job, region: str
    ) -> ports.Response:
        """Enters the response of another VM in a region.

        :raises GatewayError: if there is none.
        """
        service = job.service.name
        tried: set[str] = set()
        while True:
            self.planner.recheck_authorization(job)
            entry_vm = self.links.choose_entry_vm(region, service, tried)
            try:
                return await stack.enter_async_context(
                    self.run_on_peer(job, entry_vm)
                )
            except errors.HeldRequestError:
                raise
            except (
                errors.UnavailableError,
                errors.PeerUnreachableError,
            ) as error:
                # Not just NoServerError, which VMs of an earlier release do
                # not report.
                self.links.record_unable(entry_vm.vm, service)
                tried.add(entry_vm.vm)
                is_last = len(tried) >= MAX_VMS_PER_REGION
                if is_last or not self.links.can_forward(region, service):
                    raise
                self.planner.log(
                    'request:not_taken', job, vm=entry_vm.vm, code=error.code
                )

    async def resume_elsewhere(
        self, stack: contextlib.AsyncExitStack, job: jobs.Job
    ) -> ports.Response:
        """Enters the rest of a stream from a VM that reaches its servers.

        :param job: the stream after the events that the client has.
        :raises GatewayError: if no VM can resume it.
        """
        # The admission of the stream was decided when it began.
        regions = [
            self.pool.region,
            *self.planner.rank_other_regions(job, self.allowed_regions(job)),
        ]
        failure: errors.GatewayError | None = None
        for region in regions:
            try:
                return await self.forward_to_region(stack, job, region)
            except errors.GatewayError as error:
                failure = self.preferred_failure(failure, error)
                if error.run != errors.NOT_RUN:
                    break
        raise failure

    def allowed_regions(self, job: jobs.Job) -> frozenset[str] | None:
        """Returns the regions that may run a request; None for all."""
        organisation = None
        if job.organisation is not None:
            organisation = self.view.configuration.organisations.get(
                job.organisation
            )
        return configurations.allowed_regions(job.route, organisation)

    @staticmethod
    def preferred_failure(
        known: errors.GatewayError | None, new: errors.GatewayError
    ) -> errors.GatewayError:
        """Returns the one of two failures to report to the client.

        A request that may have run is not reported as not run.
        """
        if known is None or new.run != errors.NOT_RUN:
            return new
        if known.run != errors.NOT_RUN or new.retry_after is None:
            return known
        if known.retry_after is None or new.retry_after < known.retry_after:
            return new
        return known

    @contextlib.asynccontextmanager
    async def run_on_peer(
        self, job: jobs.Job, entry_vm: members.EntryVm
    ) -> collections.abc.AsyncIterator[ports.Response]:
        """Enters the response of another entry VM.

        :raises PeerError: if it does not accept the request.
        """
        region = entry_vm.region
        destination = (job.service.name, region)
        tokens = 0.0
        if job.generation_prompt is not None:
            tokens = float(job.generation_prompt.tokens)
        self.planner.log(
            'request:forwarded', job, region=region, vm=entry_vm.vm
        )
        job.attempts.count += 1
        self.planner.forwarded_tokens[destination] = (
            self.planner.forwarded_tokens.get(destination, 0.0) + tokens
        )
        is_counted = True

        def release_tokens() -> None:
            nonlocal is_counted
            if is_counted:
                is_counted = False
                self.planner.forwarded_tokens[destination] -= tokens

        message = [
            job.request.pack(),
            job.organisation,
            job.service.name,
            job.route.name,
            job.version,
            job.deadline - self.timers.now(),
            job.objective_left,
            job.is_client_retry,
            job.attempts.max_count - job.attempts.count,
        ]
        if job.software_version is not None:
            message.append(job.software_version)
        try:
            async with self.mesh.open(
                entry_vm.vm, SERVE_METHOD, message
            ) as stream:
                await self.links.await_acceptance(entry_vm, stream)
                response_head = await jobs.await_until_deadline(
                    self.timers, job, stream.receive()
                )
                release_tokens()
                self.planner.region_prefixes.record_response(
                    job, region, self.timers.now()
                )
                # A VM of an earlier release sends no software version.
                status, headers, *versions = response_head
                pairs = tuple((name, value) for name, value in headers)
                yield ports.Response(
                    status,
                    pairs,
                    self.receive_chunks(job, stream),
                    software_version=versions[0] if versions else None,
                )
        except anyio.EndOfStream as error:
            raise errors.PeerLostError(
                f'{entry_vm.vm} ended the stream before it responded'
            ) from error
        except (errors.PeerUnreachableError, errors.NotRunError):
            # No backend server got the request.
            job.attempts.count -= 1
            raise
        finally:
            release_tokens()

    async def receive_chunks(
        self, job: jobs.Job, stream: typing.Any
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields the body of a response, with one timer for its deadline."""
        timer = self.timers.call_later(
            job.deadline - self.timers.now(),
            lambda: stream.fail(
                errors.BackendTimeoutError('the request deadline has passed')
            ),
        )
        try:
            while True:
                yield await stream.receive()
        except anyio.EndOfStream:
            return
        finally:
            timer.cancel()

    async def serve_for_peer(
        self, peer: str, message: list, stream: peers.PeerStream
    ) -> None:
        """Runs a request that another entry VM forwarded, or rejects it."""
        packed, *decision = message
        await stream.send('accepted')
        request = ports.Request.unpack(packed)
        if self.rejects_request(request):
            raise errors.UnavailableError(
                f'{self.vm} is shutting down',
                retry_after=links.RETRY_AFTER_SECONDS,
            )
        job = self.create_forwarded_job(request, *decision)
        arrived_at = self.timers.now()
        held = contextlib.nullcontext()
        if self.memory is not None:
            held = self.memory.hold_forwarded(peer, len(request.body))
        with held, self.in_flight.enter(arrived_at) as entered:
            entered.attempts = job.attempts
            self.check_stop(job)
            async with self.run_locally(job, may_leave=False) as response:
                await stream.send(
                    [
                        response.status,
                        list(response.headers),
                        response.software_version,
                    ]
                )
                async for chunk in response.chunks:
                    await stream.send(chunk)
                self.record_duration(job, response, arrived_at)

    def create_forwarded_job(
        self,
        request: ports.Request,
        organisation: str | None,
        service_name: str,
        route_name: str,
        version: int,
        seconds_left: float,
        objective_left: float,
        is_client_retry: bool,
        attempts_left: int,
        software_version: str | None = None,
    ) -> jobs.Job:
        """Returns the job of a forwarded request.

        The positional parameters after the request are the message that the
        forwarding VM sends.

        :param version: version of the forwarding VM's configuration.
        :param seconds_left: until the request deadline.
        :raises NotReadyError: if this VM has no configuration.
        :raises UnavailableError: if the configurations do not agree.
        :raises HeldRequestError: if the request is held back, of which a VM
            of an earlier release does not know.
        """
        configuration = self.view.configuration
        if configuration is None:
            raise errors.NotReadyError(
                'this VM has no configuration yet', retry_after=0.5
            )
        route = configuration.find_route(request.host, request.path)
        service = configuration.services.get(service_name)
        agrees = (
            route is not None
            and service is not None
            and route.name == route_name
            and route.serves(service_name)
            and (
                organisation is None
                or organisation in configuration.organisations
            )
        )
        if not agrees:
            raise errors.UnavailableError(
                f'configuration version {configuration.version} of {self.vm}'
                f' does not agree with version {version} of the forwarding VM',
                retry_after=links.RETRY_AFTER_SECONDS,
            )
        job = jobs.Job(
            request,
            route,
            service,
            organisation,
            configuration.version,
            self.timers.now() + seconds_left,
            objective_left,
            configuration.priority_rank(route, service_name),
            configuration.organisation_priority_rank(organisation),
            is_client_retry,
            jobs.Attempts(attempts_left),
            software_version,
            jobs.digest_request(organisation, request),
            is_forwarded=True,
        )
        self.planner.check_held(job)
        return job

    # Servers of this region.

    @contextlib.asynccontextmanager
    async def run_locally(
        self, job: jobs.Job, may_leave: bool
    ) -> collections.abc.AsyncIterator[ports.Response]:
        """Enters the response of a server of this region.

        :param may_leave: whether other VMs may run the request.
        """
        execution = execution_module.RequestExecution(
            self.planner,
            self.backend,
            self.end_detector,
            self.end_reporter,
            job,
            self.resume_elsewhere if may_leave else None,
        )
        try:
            response = await execution.first_response()
            yield response
        finally:
            await execution.close()


def find_cost(
    organisation: configurations.Organisation, request: ports.Request
) -> float:
    """Returns what a request costs its organisation."""
    if not organisation.counts_tokens:
        return 1.0
    if request.prompt is None:
        return organisation.default_cost
    return request.prompt.total_tokens


def stream_key(job: jobs.Job, request_id: str) -> origin_table.StreamKey:
    return origin_table.StreamKey(job.organisation or '', request_id)


def estimate_region_loads(
    dispatcher: Dispatcher,
) -> dict[str, loads.RegionLoad]:
    """Returns the estimated load of this VM's region, by service.

    Cold servers, and those that limit their requests, do not count.
    """
    now = dispatcher.timers.now()
    configuration = dispatcher.view.configuration
    region_loads = {}
    services = {} if configuration is None else configuration.services
    for service in services.values():
        servers = [
            one
            for one in dispatcher.pool.usable_servers(service, now)
            if not one.is_cold(now)
            and math.isinf(dispatcher.pool.limits.rate_of(one.instance))
        ]
        if not servers:
            continue
        waits = []
        for one in servers:
            peer_totals = dispatcher.backlog_exchange.peer_totals(
                one.instance.name
            )
            prompt = NO_PROMPT if service.is_engine else None
            waits.append(one.predict_wait(prompt, peer_totals, now)[0])
        region_loads[service.name] = loads.RegionLoad(
            min(waits),
            min(one.current_event_interval(now) for one in servers),
            max(one.current_prefill_rate(now) for one in servers),
            sum(one.current_prefill_rate(now) for one in servers),
        )
    return region_loads
