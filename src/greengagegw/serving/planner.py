"""Plans how a request is executed: its route, region and backend server.

Gathers and logs the inputs of each decision. The decisions themselves are
plain functions in other modules.
"""

import dataclasses
import itertools
import math
import random
import typing

import anyio

from .. import errors
from .. import logs
from .. import timers as timer_service
from . import admission
from . import backlog_exchange as backlog_exchange_module
from . import competition as competition_module
from . import cost_distribution
from . import departures
from ..fleet import agent as agents
from ..fleet import configuration as configurations
from ..fleet import instances
from ..fleet import members
from ..fleet import origin_history
from ..fleet import origin_table
from . import generations
from . import jobs
from . import links
from . import placement
from . import ports
from . import prefixes
from . import region_reports
from . import request_cost
from . import request_limits
from . import retry_budget
from . import send_pacing
from . import servers as server_pool
from . import stream_origins
from . import wait_queue
from . import work_estimates

DEFAULT_CLIENT_TIMEOUT_SECONDS = 30.0
# Part of the client timeout reserved for returning the response.
RESPONSE_MARGIN_SECONDS = 0.01
MIN_RETRY_TIME_SECONDS = 0.02
MIN_RETRY_AFTER_SECONDS = 0.3
# A hold lasts until an operator lifts it.
HELD_RETRY_AFTER_SECONDS = 60.0
# Time from a VM's start until it serves after a power loss of the whole fleet:
# a leader is elected in 1.2 s, and the VM learns of it a poll of 0.5 s later.
STARTUP_SECONDS = 2.0
# A lease outlasts an election, so an expired one indicates an outage.
OUTAGE_SECONDS = 1.5
# No other task runs between the choice of the region and that of the server,
# which takes well under this time. Later, servers may have other requests.
MAX_FORECAST_AGE_SECONDS = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class LocalForecast:
    """What is predicted for a new request on the usable servers of a region.

    The lists are parallel, since one object for each server and request would
    take longer to build than the prediction.

    :ivar attempts: identifies the job.
    :ivar made_at: timer seconds.
    :ivar may_send: whether the limits of each server allow a request now.
    :ivar waits: seconds until the response begins.
    :ivar uncached_tokens: prompt tokens that each server has not cached.
    :ivar prefill_rates: prompt tokens a second.
    :ivar event_intervals: seconds between events.
    """

    attempts: jobs.Attempts
    made_at: float
    servers: list[server_pool.Server]
    may_send: list[bool]
    waits: list[float]
    uncached_tokens: list[int]
    prefill_rates: list[float]
    event_intervals: list[float]


class RequestTerms(typing.NamedTuple):
    """What the comparison of servers depends on, besides the servers.

    :ivar own_tokens: prompt tokens that no other request shares.
    :ivar event_count: predicted number of events.
    :ivar mean_events: mean of their predicted distribution, if it is known.
    :ivar max_seconds: time by which the response has to be complete.
    :ivar max_wait: admission limit of the wait.
    :ivar typical_prefill_seconds: of the route; a longer prefill than this
        does not count for the admission limit.
    """

    own_tokens: int
    event_count: float
    mean_events: float
    max_seconds: float
    max_wait: float
    typical_prefill_seconds: float


class RequestPlanner:
    """Decides on requests from the state that one entry VM has.

    :ivar divides_capacity: whether an overloaded service is divided among its
        classes and organisations, and rejected clients are promised returns.
    :ivar forwarded_tokens: prompt tokens forwarded to another region without a
        response yet, by service and region.
    :ivar forecast: for the job planned last, until its server is chosen.
    :ivar sharing_counts: number of VMs that share the limit of a server, by
        server and maximum number, for the entry VMs ``sharing_vms``.
    """

    def __init__(
        self,
        vm: str,
        timers: timer_service.Timers,
        agent: agents.Agent,
        pool: server_pool.ServerPool,
        backlog_exchange: backlog_exchange_module.BacklogExchange,
        region_links: links.RegionLinks,
        retry_settings: retry_budget.RetrySettings,
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.timers = timers
        self.agent = agent
        self.view = agent.view
        self.pool = pool
        self.backlog_exchange = backlog_exchange
        self.links = region_links
        self.rng = rng
        self.retry_budgets = retry_budget.RetryBudgets(
            retry_settings, timers.now()
        )
        self.client_retries = admission.ClientRetryDetector()
        self.prefill_times = admission.TypicalPrefillTime()
        self.response_lengths = generations.ResponseLengths()
        self.costs = request_cost.RequestCosts()
        self.rejection_rates: dict[str, admission.RejectionRate] = {}
        self.urgent_rejection_rates: dict[str, admission.RejectionRate] = {}
        self.divides_capacity = False
        self.competitions: dict[
            str, competition_module.ServiceCompetition
        ] = {}
        self.forwarded_tokens: dict[tuple[str, str], float] = {}
        self.region_prefixes = prefixes.RegionPrefixes(
            self.view, pool.region_by_domain
        )
        self.started_at = timers.now()
        self.forecast: LocalForecast | None = None
        self.slot_shares: dict[str, request_limits.SlotShares] = {}
        self.sharing_counts: dict[tuple[str, int], int] = {}
        self.sharing_vms: list[members.EntryVm] | None = None
        backlog_exchange.report_extensions.append(self.add_competition_sums)

    def add_competition_sums(self, report: region_reports.Report) -> None:
        """Adds the sums of this VM to its report to the other entry VMs."""
        now = self.timers.now()
        for one in self.competitions.values():
            report.sums.update(one.local_sums(now))
            self.log_competition(one, now)

    @staticmethod
    def log_competition(
        competition: competition_module.ServiceCompetition, now: float
    ) -> None:
        """Logs the begin and end of a shortage, and how it is divided."""
        changed = competition.update_shortage(now)
        if changed is not None:
            logs.log_message(
                'service:short' if changed else 'service:sufficient',
                service=competition.service,
            )
        summary = competition.summarize(now)
        if summary is not None:
            logs.log_message(
                'service:shares', service=competition.service, **summary
            )

    def create_job(self, request: ports.Request, now: float) -> jobs.Job:
        """Returns a request with the route of the configuration in force.

        :param now: timer seconds at which the request arrived.
        :raises NotRunError: if the request may not be run.
        """
        configuration, route, organisation = self.authorize(request, now)
        service_name = route.choose_service(self.rng)
        service = configuration.services[service_name]
        timeout_seconds = request.client_timeout_seconds
        if timeout_seconds is None:
            timeout_seconds = DEFAULT_CLIENT_TIMEOUT_SECONDS
        elapsed_seconds = self.client_retries.estimate_elapsed(
            route.name, timeout_seconds
        )
        timeout_seconds = (
            min(timeout_seconds, route.timeout) - RESPONSE_MARGIN_SECONDS
        )
        organisation_name = None if organisation is None else organisation.name
        job = jobs.Job(
            request,
            route,
            service,
            organisation_name,
            configuration.version,
            now + timeout_seconds,
            route.latency_objective - elapsed_seconds,
            configuration.priority_rank(route, service_name),
            configuration.organisation_priority_rank(organisation_name),
            elapsed_seconds > 0,
            jobs.Attempts(route.max_attempts),
            digest=jobs.digest_request(organisation_name, request),
        )
        self.check_held(job)
        return job

    def authorize(
        self, request: ports.Request, now: float
    ) -> tuple[
        configurations.Configuration,
        configurations.Route,
        configurations.Organisation | None,
    ]:
        """Returns the configuration in force, and who may use which route.

        :returns: no organisation for a route that needs no key.
        :raises NotRunError: if the request may not be run.
        """
        configuration = self.view.configuration
        if configuration is None:
            left = self.started_at + STARTUP_SECONDS - now
            raise errors.NotReadyError(
                'this VM has no configuration yet',
                retry_after=self.add_jitter(
                    max(MIN_RETRY_AFTER_SECONDS, left)
                ),
            )
        route = configuration.find_route(request.host, request.path)
        if route is None:
            raise errors.NotFoundError('no route matches the host and path')
        organisation = None
        if configuration.needs_keys and not route.is_public:
            if not self.agent.has_lease:
                raise errors.LeaseError(
                    'the key cannot be verified: this VM has no lease',
                    retry_after=self.add_jitter(OUTAGE_SECONDS),
                )
            organisation = configuration.find_organisation(request.key)
            if organisation is None:
                raise errors.AuthenticationError('the API key is unknown')
        return configuration, route, organisation

    def check_held(self, job: jobs.Job) -> None:
        """Checks that a request is not held back.

        :raises HeldRequestError: if it is.
        """
        hold = self.view.holds.find(job.service.name, job.traits)
        if hold is None:
            return
        self.view.asked_holds.add(hold.hold_id)
        self.log(
            'request:held',
            job,
            hold=hold.hold_id,
            traits=list(hold.traits),
            since=round(hold.since, 3),
        )
        raise hold.make_error(
            retry_after=self.add_jitter(HELD_RETRY_AFTER_SECONDS)
        )

    def restrict_to_origin(
        self,
        job: jobs.Job,
        origin: origin_table.StreamOrigin | None,
        history: origin_history.OriginHistory | None,
    ) -> jobs.Job:
        """Returns a job that resumes a stream where it began.

        :param origin: what began the stream; None if no VM knows it.
        :param history: that the control group has confirmed since the request
            arrived; None if it has not.
        :raises UnavailableError: if the stream cannot be resumed.
        """
        request = job.request
        if origin is None:
            origin = self.find_only_origin(job, history)
        configuration = self.view.configuration
        service = configuration.services.get(origin.service)
        if service is None or not job.route.serves(origin.service):
            raise errors.UnavailableError(
                f'the route no longer serves {origin.service}, which began'
                f' the stream of request {request.resumed_request}',
                retry_after=self.rejected_retry_after(job),
            )
        return dataclasses.replace(
            job,
            service=service,
            priority_rank=configuration.priority_rank(
                job.route, origin.service
            ),
            software_version=origin.software_version,
        )

    def find_only_origin(
        self, job: jobs.Job, history: origin_history.OriginHistory | None
    ) -> origin_table.StreamOrigin:
        """Returns the only possible origin of a stream.

        :param history: that was confirmed since the request arrived; None if
            there is none.
        :raises UnavailableError: if there is none, or more than one.
        """
        possible: list[origin_table.StreamOrigin] = []
        if history is None:
            unknown = 'no history'
            if self.view.history is not None:
                unknown = 'unconfirmed history'
        elif not history.is_complete:
            unknown = 'incomplete history'
        else:
            possible = stream_origins.find_possible_origins(
                job.route, history, self.pool.software_versions
            )
            if len(possible) == 1:
                return possible[0]
            unknown = 'several origins' if possible else 'no origin'
        self.log(
            'request:origin_unknown',
            job,
            resumes=job.request.resumed_request,
            unknown=unknown,
            possible=[one.pack() for one in possible],
            history=None if history is None else history.number,
        )
        named = ', '.join(
            f'{one.service} {one.software_version or "without a version"}'
            for one in possible
        )
        raise errors.UnavailableError(
            'it is not known which backend servers began the stream of request'
            f' {job.request.resumed_request or "(not named)"}; possible:'
            f' {named or "unknown"}. The request has to be started anew,'
            ' without Last-Event-Id',
            retry_after=self.rejected_retry_after(job),
        )

    def add_jitter(self, seconds: float) -> float:
        """Adds jitter to a pause, so that clients do not retry at once."""
        return seconds * (1 + admission.RETRY_AFTER_JITTER * self.rng.random())

    def recheck_authorization(self, job: jobs.Job) -> None:
        """Checks key and route again, right before a request is sent.

        The VM may have been suspended, or have waited for quota tokens, since
        the job was created.

        :raises NotRunError: if the request may no longer be sent.
        """
        self.check_held(job)
        needs_key = job.organisation is not None
        if needs_key and not self.agent.has_lease:
            raise errors.LeaseError(
                'the key cannot be verified: this VM has no lease',
                retry_after=self.add_jitter(OUTAGE_SECONDS),
            )
        configuration = self.view.configuration
        if configuration.version == job.version:
            return
        request = job.request
        if needs_key and request.key:
            organisation = configuration.find_organisation(request.key)
            if organisation is None or organisation.name != job.organisation:
                raise errors.WithdrawnKeyError('the key was withdrawn')
        route = configuration.find_route(request.host, request.path)
        if route is None:
            raise errors.NotFoundError(
                'no route matches the host and path any more'
            )
        if not route.serves(job.service.name):
            raise errors.UnavailableError(
                f'the route no longer serves {job.service.name}',
                retry_after=0.0,
            )

    def acquire_retry(
        self, job: jobs.Job, error: errors.GatewayError | None
    ) -> bool:
        """Acquires a retry for a request that failed.

        :param error: the failure; None if the server responded with an error
            or is to be replaced.
        :returns: whether the request may be sent to another server.
        """
        now = self.timers.now()
        if job.deadline - now < MIN_RETRY_TIME_SECONDS:
            return False
        if isinstance(error, errors.BackendConnectError):
            # Nothing was sent, so this does not count as a retry.
            return True
        is_not_run = error is not None and error.run == errors.NOT_RUN
        if not is_not_run and not job.route.is_retryable:
            return False
        if not job.has_attempts_left:
            return False
        has_budget = self.retry_budgets.try_acquire(
            job.service.name,
            now,
            len(self.view.entry_vms),
            self.view.past_retries,
        )
        self.log(
            'request:repeated' if has_budget else 'request:no_budget',
            job,
            sends=job.attempts.count,
            code=None if error is None else error.code,
        )
        return has_budget

    async def plan_when_free(
        self, job: jobs.Job, allowed: frozenset[str] | None
    ) -> list[str]:
        """Returns the regions to try, after a wait if the queue allows it.

        :param allowed: regions that may run the request; None for all.
        :raises OverloadedError: if no region would serve it in time.
        """
        now = self.timers.now()
        competition = self.competition_of(job, now)
        if competition is None:
            return self.plan_regions(job, allowed)
        waiting = competition.make_waiting(
            job.route.name,
            job.organisation or '',
            job.admission_request(0.0, now),
            job.route.latency_objective,
            now,
        )
        queue = competition.queue
        is_admitted = False
        try:
            while True:
                regions = self.plan_regions(job, allowed, waiting)
                if regions is not None:
                    is_admitted = True
                    return regions
                waiting.turn = anyio.Event()
                pause = queue.pause_seconds(waiting, self.timers.now())
                with self.timers.move_on_after(pause):
                    await waiting.turn.wait()
        finally:
            queue.remove(waiting, is_admitted, self.timers.now())
            if waiting.began_at is not None:
                self.log(
                    'request:waited',
                    job,
                    seconds=round(self.timers.now() - waiting.began_at, 3),
                    taken=is_admitted,
                )

    def plan_regions(
        self,
        job: jobs.Job,
        allowed: frozenset[str] | None,
        waiting: wait_queue.Waiting | None = None,
    ) -> list[str] | None:
        """Returns the regions to try, best first.

        :param allowed: regions that may run the request; None for all.
        :param waiting: None if the request may not wait.
        :returns: None if it waits.
        :raises OverloadedError: if no region would serve it in time.
        """
        now = self.timers.now()
        local_region = self.pool.region
        home_region = self.region_prefixes.find_home(job, allowed)
        forecast = self.forecast = self.forecast_servers(job, now)
        estimates = self.estimate_remote_regions(
            job, home_region, bool(forecast.servers), now
        )
        local_wait = None
        if allowed is None or local_region in allowed:
            local_wait = min(
                itertools.compress(forecast.waits, forecast.may_send),
                default=None,
            )
        if local_wait is not None:
            interval, tokens_per_second = self.local_speeds(forecast)
            estimates[local_region] = self.estimate_region(
                job,
                local_wait,
                self.local_prompt_tokens(job, home_region, forecast),
                interval,
                tokens_per_second,
                now,
            )
        regions = placement.rank_regions(local_region, estimates, allowed)
        if not regions:
            return []
        best = estimates[regions[0]]
        turn = wait_queue.ADMIT
        if waiting is not None:
            turn = self.decide_turn(job, best, waiting, now)
            if turn == wait_queue.WAIT:
                return None
        self.prefill_times.update(job.route.name, best.prefill_seconds)
        decision = self.decide_admission(
            job, best.wait_seconds, best.prefill_seconds, now
        )
        if turn == wait_queue.REJECT:
            decision = dataclasses.replace(decision, is_admitted=False)
        if not decision.is_admitted or regions[0] != local_region:
            decision = self.apply_competition(
                job,
                decision,
                best.wait_seconds,
                best.uncached_seconds,
                best.generation_seconds,
                now,
            )
        self.log(
            'request:planned',
            job,
            organisation=job.organisation,
            resumes=job.request.resumed_request,
            left=round(job.deadline - now, 3),
            objective=round(job.objective_left, 3),
            tokens=job.request.prompt and job.request.prompt.total_tokens,
            regions=regions,
            home=home_region,
            here=round(-1.0 if local_wait is None else local_wait, 3),
            waits={
                name: round(one.wait_seconds, 3)
                for name, one in estimates.items()
            },
            endings={
                name: round(one.generation_seconds, 3)
                for name, one in estimates.items()
            },
            loads_age=round(now - self.view.loads_requested_at, 3),
            taken=decision.is_admitted,
        )
        if not decision.is_admitted:
            raise errors.OverloadedError(
                f'{job.service.name} would begin to answer in'
                f' {best.wait_seconds:.2f} s',
                retry_after=decision.retry_after,
            )
        # Tries a second remote region only if this one has no usable server,
        # so that a rejection otherwise takes a single round trip.
        if local_wait is None:
            return regions[:2]
        return [
            one for one in regions[:2] if one in (regions[0], local_region)
        ]

    def decide_turn(
        self,
        job: jobs.Job,
        best: placement.RegionEstimate,
        waiting: wait_queue.Waiting,
        now: float,
    ) -> str:
        """Returns whether a request waits, is admitted or is rejected."""
        competition = self.competition_of(job, now)
        servers = self.usable_servers(job, now)
        if competition is None or not servers:
            return wait_queue.ADMIT
        excess_seconds = self.prefill_times.excess_seconds(
            job.route.name, best.prefill_seconds
        )
        work = self.server_seconds(
            job, best.uncached_seconds, best.generation_seconds, now
        )
        vm_count = len(self.view.usable_entry_vms(self.pool.region))
        return competition.queue.decide(
            waiting,
            best.wait_seconds
            - excess_seconds
            - admission.max_wait_seconds(self.admission_request(job, now)),
            work * max(1, vm_count) / len(servers),
            now,
        )

    def rank_other_regions(
        self, job: jobs.Job, allowed: frozenset[str] | None
    ) -> list[str]:
        """Returns the regions beside this one that may run a request."""
        estimates = self.estimate_remote_regions(
            job,
            self.region_prefixes.find_home(job, allowed),
            True,
            self.timers.now(),
        )
        return placement.rank_regions(self.pool.region, estimates, allowed)

    def local_prompt_tokens(
        self, job: jobs.Job, home_region: str, forecast: LocalForecast
    ) -> prefixes.PromptTokens:
        """Returns what this region would prefill of a prompt."""
        prompt = job.generation_prompt
        if prompt is None:
            return prefixes.NO_TOKENS
        cached_tokens = prompt.tokens - min(forecast.uncached_tokens)
        return prefixes.tokens_to_prefill(
            prompt, cached_tokens, home_region == self.pool.region
        )

    def estimate_remote_regions(
        self,
        job: jobs.Job,
        home_region: str,
        reaches_servers: bool,
        now: float,
    ) -> dict[str, placement.RegionEstimate]:
        """Returns the predicted latency of a request through other VMs.

        Those of this region are included if it has no usable server.

        :param reaches_servers: whether this VM has a usable server.
        """
        estimates = {}
        for region, by_service in self.view.loads.items():
            load = by_service.get(job.service.name)
            if load is None:
                continue
            if region == self.pool.region and reaches_servers:
                continue
            if not self.links.can_forward(region, job.service.name):
                continue
            if not self.has_software_version(job, region):
                continue
            # Reported loads do not include requests forwarded since.
            forwarded = self.forwarded_tokens.get(
                (job.service.name, region), 0.0
            )
            wait = load.wait + forwarded / load.total_speed
            tokens = self.region_prefixes.remote_prompt_tokens(
                job, region, home_region, now
            )
            wait += tokens.uncached / load.speed
            estimates[region] = self.estimate_region(
                job, wait, tokens, load.pace, load.speed, now
            )
        return estimates

    def estimate_region(
        self,
        job: jobs.Job,
        wait_seconds: float,
        tokens: prefixes.PromptTokens,
        interval: float,
        tokens_per_second: float,
        now: float,
    ) -> placement.RegionEstimate:
        prefill_seconds = self.prefill_seconds(job, tokens_per_second)
        return placement.RegionEstimate(
            wait_seconds,
            prefill_seconds,
            tokens.uncached / tokens_per_second,
            tokens.uncached_prefix / tokens_per_second,
            self.generation_seconds(job, interval),
            self.exceeds_wait_limit(job, wait_seconds, prefill_seconds, now),
        )

    def prefill_seconds(
        self, job: jobs.Job, tokens_per_second: float
    ) -> float:
        """Returns the prefill time of a prompt if none of it is cached.

        :param tokens_per_second: prefill rate.
        """
        prompt = job.generation_prompt
        if prompt is None:
            return 0.0
        return prompt.tokens / tokens_per_second

    def decide_admission(
        self,
        job: jobs.Job,
        predicted_seconds: float,
        prefill_seconds: float,
        now: float,
    ) -> admission.AdmissionDecision:
        """Decides whether to admit a request, and records the decision.

        :param predicted_seconds: until the response begins.
        :param prefill_seconds: part of that in which its own prompt is
            prefilled.
        """
        excess_seconds = self.prefill_times.excess_seconds(
            job.route.name, prefill_seconds
        )
        rejection_rate = self.rejection_rate_of(job, now)
        decision = admission.decide(
            predicted_seconds,
            excess_seconds,
            self.admission_request(job, now),
            rejection_rate.current_rate(now),
            self.rng,
        )
        rejection_rate.record(not decision.is_admitted, now)
        if not job.priority_rank:
            self.urgent_rejection_rate_of(job, now).record(
                not decision.is_admitted, now
            )
        return decision

    def admission_request(
        self, job: jobs.Job, now: float
    ) -> admission.AdmissionRequest:
        rate = self.urgent_rejection_rate_of(job, now).current_rate(now)
        request = job.admission_request(rate, now)
        competition = self.competition_of(job, now)
        if competition is None:
            return request
        return competition.adjust(
            job.route.name,
            job.organisation or '',
            request,
            job.route.latency_objective,
            now,
            job.is_forwarded,
        )

    def competition_of(
        self, job: jobs.Job, now: float
    ) -> competition_module.ServiceCompetition | None:
        """Returns the competition for a service, None without any."""
        name = job.service.name
        configuration = self.view.configuration
        if (
            not self.divides_capacity
            or configuration is None
            or not configuration.has_competition(name)
        ):
            return None
        competition = self.competitions.get(name)
        if competition is None:
            competition = competition_module.ServiceCompetition(
                name, now, self.backlog_exchange.peer_sums
            )
            self.competitions[name] = competition
        return competition

    def apply_competition(
        self,
        job: jobs.Job,
        decision: admission.AdmissionDecision,
        wait_seconds: float,
        prefill_seconds: float,
        generation_seconds: float,
        now: float,
    ) -> admission.AdmissionDecision:
        """Records a final decision, and plans the return after a rejection.

        :param wait_seconds: predicted seconds until the response begins.
        :param prefill_seconds: part of that in which its own prompt is
            prefilled.
        :param generation_seconds: predicted seconds from then to its end.
        """
        competition = self.competition_of(job, now)
        if competition is None:
            return decision
        server_count = len(self.usable_servers(job, now))
        if not server_count:
            return decision
        server_seconds = self.server_seconds(
            job, prefill_seconds, generation_seconds, now
        )
        request = self.admission_request(job, now)
        client_timeout = job.request.client_timeout_seconds
        decided = competition_module.Decided(
            job.route.name,
            job.organisation or '',
            job.organisation_priority_rank,
            request,
            job.is_client_retry,
            server_seconds,
            server_count
            / max(1, len(self.view.usable_entry_vms(self.pool.region))),
            max(0.0, wait_seconds - admission.max_wait_seconds(request)),
            self.client_retries.detection_seconds(
                job.route.name, client_timeout or 0.0
            ),
            max(job.deadline - now, client_timeout or 0.0),
            job.is_forwarded,
        )
        if decision.is_admitted:
            competition.record_admission(decided, now)
            return decision
        retry_after = competition.record_rejection(
            decided, self.rng.random(), now
        )
        self.log(
            'request:not_admitted',
            job,
            organisation=job.organisation,
            is_return=job.is_client_retry,
            precedes=request.return_objective > 0,
            limit=round(admission.max_wait_seconds(request), 3),
            factor=round(request.limit_factor, 3),
            retry_after=round(retry_after, 3),
        )
        return dataclasses.replace(decision, retry_after=retry_after)

    def record_remote_rejection(
        self, job: jobs.Job, error: errors.GatewayError
    ) -> None:
        """Records when a request that another VM rejected may return."""
        now = self.timers.now()
        competition = self.competition_of(job, now)
        if competition is not None and error.retry_after is not None:
            competition.schedule.record_promise(
                job.route.name, error.retry_after, job.deadline - now, now
            )

    def server_seconds(
        self,
        job: jobs.Job,
        prefill_seconds: float,
        generation_seconds: float,
        now: float,
    ) -> float:
        """Returns the time for which a request occupies a whole server.

        An engine is limited by prefill or by its slots.
        """
        servers = self.usable_servers(job, now)
        if not servers:
            return 0.0
        slots = max(1, servers[0].instance.slots)
        if job.generation_prompt is None:
            return servers[0].service_seconds / slots
        return max(prefill_seconds, generation_seconds / slots)

    def urgent_rejection_rate_of(
        self, job: jobs.Job, now: float
    ) -> admission.RejectionRate:
        """Returns the rejection rate of the service's most urgent class."""
        return self.urgent_rejection_rates.setdefault(
            job.service.name, admission.RejectionRate(now)
        )

    def exceeds_wait_limit(
        self,
        job: jobs.Job,
        predicted_seconds: float,
        prefill_seconds: float,
        now: float,
    ) -> bool:
        """Returns whether the predicted wait would have a request rejected."""
        excess_seconds = self.prefill_times.excess_seconds(
            job.route.name, prefill_seconds
        )
        # Without the limits of the competition: a lower limit would have
        # prompts prefilled on other servers than those of their prefix.
        rate = self.urgent_rejection_rate_of(job, now).current_rate(now)
        return not admission.is_admissible(
            predicted_seconds, excess_seconds, job.admission_request(rate, now)
        )

    def rejection_rate_of(
        self, job: jobs.Job, now: float
    ) -> admission.RejectionRate:
        rejection_rate = self.rejection_rates.get(job.service.name)
        if rejection_rate is None:
            rejection_rate = admission.RejectionRate(now)
            self.rejection_rates[job.service.name] = rejection_rate
        return rejection_rate

    def rejected_retry_after(self, job: jobs.Job) -> float:
        """Returns the retry delay in seconds if no server can run a job."""
        now = self.timers.now()
        rejection_rate = self.rejection_rate_of(job, now)
        rejection_rate.record(True, now)
        seconds = max(
            MIN_RETRY_AFTER_SECONDS,
            self.seconds_until_usable(job, now),
        )
        return admission.compute_retry_after(
            seconds, rejection_rate.current_rate(now), self.rng
        )

    def forecast_servers(
        self,
        job: jobs.Job,
        now: float,
        excluded: frozenset[str] | set[str] = frozenset(),
    ) -> LocalForecast:
        """Returns the forecast for the usable servers of this region.

        :param excluded: names of servers to leave out.
        """
        prompt = job.generation_prompt
        peer_totals = self.backlog_exchange.peer_totals
        servers = self.usable_servers(job, now, excluded)
        has_limits = bool(
            self.pool.limits.by_run or self.pool.rejection_limits.by_run
        )
        is_limited = [
            has_limits or one.instance.is_cold or now < one.cold_until
            for one in servers
        ]
        may_send = [True] * len(servers)
        if (has_limits or job.service.cold_start_rate > 0) and any(is_limited):
            may_send = [
                not limited or self.may_send(job, one, now)
                for one, limited in zip(servers, is_limited)
            ]
        return LocalForecast(
            job.attempts,
            now,
            servers,
            may_send,
            *server_pool.predict_all(servers, prompt, peer_totals, now),
        )

    def known_forecast(
        self, job: jobs.Job, now: float
    ) -> LocalForecast | None:
        """Returns the forecast of a job that was planned just before."""
        known = self.forecast
        if (
            known is not None
            and known.attempts is job.attempts
            and now - known.made_at <= MAX_FORECAST_AGE_SECONDS
        ):
            return known
        return None

    def take_forecast(
        self, job: jobs.Job, excluded: set[str], now: float
    ) -> LocalForecast:
        """Returns the forecast made just before, or makes one.

        A forecast serves a single choice, since a failure to send changes the
        state of the servers.
        """
        known = None if excluded else self.known_forecast(job, now)
        self.forecast = None
        return known or self.forecast_servers(job, now, excluded)

    def generation_seconds(self, job: jobs.Job, interval: float) -> float:
        """Returns the seconds from a response's first event to its end.

        :param interval: seconds between events.
        """
        return self.predict_events(job) * interval

    def predict_events(self, job: jobs.Job) -> float:
        """Returns the predicted number of events, 0 if it is no generation."""
        prompt = job.generation_prompt
        if prompt is None:
            return 0.0
        return self.response_lengths.predict_events(job.route.name, prompt)

    @staticmethod
    def local_speeds(forecast: LocalForecast) -> tuple[float, float]:
        """Returns the best event interval and prefill rate of this region."""
        return min(forecast.event_intervals), max(forecast.prefill_rates)

    def estimate_works(
        self, job: jobs.Job, forecast: LocalForecast, now: float
    ) -> tuple[
        cost_distribution.Distribution | None,
        dict[str, placement.WorkEstimate],
    ]:
        """Returns the predicted cost of a request, and its work by server.

        :returns: None and nothing if the servers are alike.
        """
        if not work_estimates.are_uneven(forecast.servers, now):
            return None, {}
        cost = self.costs.predict(job, now)
        if job.generation_prompt is None:
            # The work of plain calls is not predicted.
            return cost, dict.fromkeys(
                [one.instance.name for one in forecast.servers],
                work_estimates.NO_WORK,
            )
        return cost, work_estimates.estimate(
            {one.instance.name: one for one in forecast.servers},
            cost,
            {
                one.instance.name: float(tokens)
                for one, tokens in zip(
                    forecast.servers, forecast.uncached_tokens
                )
            },
            now,
        )

    def make_terms(
        self,
        job: jobs.Job,
        cost: cost_distribution.Distribution | None,
        now: float,
    ) -> RequestTerms:
        """Returns what the comparison of servers depends on.

        :param cost: predicted distribution of the events; None if unknown.
        """
        prompt = job.generation_prompt
        own_tokens = 0
        if prompt is not None:
            own_tokens = prompt.tokens - prompt.shared_tokens
        event_count = mean_events = self.predict_events(job)
        if cost is not None and prompt is not None:
            mean_events = cost.mean
        max_seconds = math.inf
        if event_count and not job.attempts.count:
            max_seconds = generations.max_seconds(job.deadline - now)
        return RequestTerms(
            own_tokens,
            event_count,
            mean_events,
            max_seconds,
            admission.max_wait_seconds(self.admission_request(job, now)),
            self.prefill_times.seconds.get(job.route.name, math.inf),
        )

    def choose_candidate(
        self,
        job: jobs.Job,
        forecast: LocalForecast,
        cost: cost_distribution.Distribution | None,
        works: dict[str, placement.WorkEstimate],
        now: float,
    ) -> tuple[int, placement.Candidate] | None:
        """Returns the best server of a forecast and its index.

        :param cost: predicted distribution of the events; None if unknown.
        :param works: what the request would add to the work of each server.
        """
        terms = self.make_terms(job, cost, now)
        indices = [
            index
            for index, may_send in enumerate(forecast.may_send)
            if may_send
        ]
        if not indices:
            return None
        prompt = job.request.prompt
        names = [forecast.servers[index].instance.name for index in indices]
        home = placement.home_of(
            '' if prompt is None else prompt.shared_prefix, names
        )
        waits, intervals = forecast.waits, forecast.event_intervals
        # These cost the least most often, and the prediction of a server that
        # costs more by its wait alone is not needed.
        first = [min(indices, key=waits.__getitem__)]
        if home:
            first.append(indices[names.index(home)])
        found = {
            index: self.make_candidate(terms, forecast, index, works, now)
            for index in first
        }
        limit = min(placement.cost_of(one, home) for one in found.values())
        for index in indices:
            least = placement.least_seconds(
                waits[index], terms.mean_events * intervals[index]
            )
            if (False, False, least) <= limit and index not in found:
                found[index] = self.make_candidate(
                    terms, forecast, index, works, now
                )
        chosen = placement.choose_candidate(
            list(found.values()), home, job.request.request_id
        )
        return next(
            (index, one) for index, one in found.items() if one is chosen
        )

    @staticmethod
    def make_candidate(
        terms: RequestTerms,
        forecast: LocalForecast,
        index: int,
        works: dict[str, placement.WorkEstimate],
        now: float,
    ) -> placement.Candidate:
        """Returns a server of a forecast as a candidate for a request.

        :param works: what the request would add to the work of each server.
        """
        server = forecast.servers[index]
        wait = forecast.waits[index]
        prefill_rate = forecast.prefill_rates[index]
        interval = forecast.event_intervals[index]
        uncached_tokens = forecast.uncached_tokens[index]
        prefill_seconds = uncached_tokens / prefill_rate
        excess = prefill_seconds - terms.typical_prefill_seconds
        prefix_tokens = uncached_tokens - terms.own_tokens
        failure_rate = server.failure_rate
        return placement.Candidate(
            server.instance.name,
            wait,
            terms.mean_events * interval,
            (wait - excess if excess > 0 else wait) > terms.max_wait,
            failure_rate and server.current_failure_rate(now),
            wait + terms.event_count * interval > terms.max_seconds,
            prefill_seconds,
            prefix_tokens / prefill_rate if prefix_tokens > 0 else 0.0,
            works.get(server.instance.name),
        )

    def usable_servers(
        self,
        job: jobs.Job,
        now: float,
        excluded: frozenset[str] | set[str] = frozenset(),
    ) -> list[server_pool.Server]:
        """Returns the servers of this region that may get a request now.

        :param excluded: names of servers to leave out.
        """
        usable = self.pool.usable_servers(job.service, now, excluded)
        if job.software_version is not None:
            return [
                one
                for one in usable
                if one.instance.software_version == job.software_version
            ]
        if self.unrecorded_versions(job, usable):
            recorded = self.view.history.versions.get(
                job.service.name, frozenset()
            )
            return [
                one
                for one in usable
                if one.instance.software_version in recorded
            ] or usable
        return usable

    def unrecorded_versions(
        self, job: jobs.Job, servers: list[server_pool.Server]
    ) -> set[str]:
        """Returns the versions that the history lacks, for a new stream.

        A stream that they began could go on at another version after a
        restart of all entry VMs.
        """
        history = self.view.history
        if (
            history is None
            or not job.route.is_resumable
            or job.software_version is not None
        ):
            return set()
        versions = {one.instance.software_version for one in servers}
        return versions - history.versions.get(job.service.name, frozenset())

    def reaches_servers(self, job: jobs.Job) -> bool:
        """Returns whether this VM has a usable server of this region."""
        now = self.timers.now()
        known = self.known_forecast(job, now)
        if known is not None:
            return bool(known.servers)
        return bool(self.usable_servers(job, now))

    def has_software_version(self, job: jobs.Job, region: str) -> bool:
        """Returns whether another region has a server for a request."""
        if job.software_version is None:
            return True
        return any(
            one.software_version == job.software_version
            for one in instances.usable(
                self.view.instances,
                job.service.name,
                region,
                self.pool.region_by_domain,
                self.view.evacuated_domains,
            )
        )

    def may_send(
        self, job: jobs.Job, server: server_pool.Server, now: float
    ) -> bool:
        """Returns whether the limits of a server allow a request now.

        The slots of a brittle server are divided among the VMs, since it may
        crash if it has to reject requests: what the others run there is known
        a report later, in which all of them would fill the same free slot.
        """
        if self.pool.rejection_limits.by_run and self.pool.is_brittle(server):
            if server.in_flight_count >= self.slot_share(server, now):
                return False
        rate = self.send_rate(job, server, now)
        return rate == math.inf or now >= server.pacer.next_at(rate)

    def slot_share(self, server: server_pool.Server, now: float) -> int:
        """Returns the slots of a brittle server that this VM may use."""
        service = server.instance.service
        shares = self.slot_shares.get(service)
        if shares is None:
            shares = request_limits.SlotShares(self.vm)
            self.slot_shares[service] = shares
        entry_vms = self.view.usable_entry_vms(self.pool.region)
        changes = self.pool.rejection_limits.changes
        known = shares.source
        if (
            not known
            or known[0] is not self.view.instances
            or known[1] is not entry_vms
            or known[2] != changes
        ):
            shares.update(
                (self.view.instances, entry_vms, changes),
                self.pool.brittle_slots(service),
                [one.vm for one in entry_vms],
                now,
            )
        return shares.share_of(departures.run_of(server.instance), now)

    def send_rate(
        self, job: jobs.Job, server: server_pool.Server, now: float
    ) -> float:
        """Returns the requests a second that this VM may send to a server.

        :returns: infinity for a warm server that has named no limit.
        """
        rate = math.inf
        cold_rate = job.service.cold_start_rate
        if cold_rate > 0 and server.is_cold(now):
            sharing_count = self.count_sharing_vms(server, int(cold_rate))
            rate = cold_rate / sharing_count if sharing_count else 0.0
        limit = math.inf
        if self.pool.limits.by_run:
            limit = self.pool.limits.rate_of(server.instance)
        if limit < math.inf:
            sharing_count = self.count_sharing_vms(
                server, request_limits.MAX_SHARING_VMS
            )
            share = request_limits.share_of_vm(limit, sharing_count)
            rate = min(rate, share)
        return rate

    def record_rejection(self, server: server_pool.Server) -> None:
        """Records that a server rejected a request of this VM."""
        entry_vms = self.view.usable_entry_vms(self.pool.region)
        self.pool.record_rejection(
            server, max(1, len(entry_vms)), self.timers.now()
        )

    def count_sharing_vms(
        self, server: server_pool.Server, max_count: int
    ) -> int:
        """Returns how many VMs share a limit, 0 if this one does not."""
        entry_vms = self.view.usable_entry_vms(self.pool.region)
        if self.sharing_vms is not entry_vms:
            self.sharing_vms = entry_vms
            self.sharing_counts.clear()
        key = (server.instance.name, max_count)
        count = self.sharing_counts.get(key)
        if count is None:
            count = self.sharing_counts[key] = send_pacing.count_sharing_vms(
                self.vm,
                [one.vm for one in entry_vms],
                server.instance.name,
                max_count,
            )
        return count

    def seconds_until_usable(self, job: jobs.Job, now: float) -> float:
        """Returns the seconds until a paused or paced server is usable.

        :returns: 0 if there is none.
        """
        waits = self.pool.pauses(job.service, now)
        for server in self.usable_servers(job, now):
            seconds = (
                server.pacer.next_at(self.send_rate(job, server, now)) - now
            )
            if 0 < seconds < math.inf:
                waits.append(seconds)
        return min(waits, default=0.0)

    def choose_server(
        self, job: jobs.Job, excluded: set[str]
    ) -> jobs.ServerChoice:
        """Returns the server for a request.

        :param excluded: names of servers to leave out.
        :raises UnavailableError: if no server is usable.
        :raises OverloadedError: if it would be late on the best server.
        """
        now = self.timers.now()
        forecast = self.take_forecast(job, excluded, now)
        cost, works = self.estimate_works(job, forecast, now)
        best = self.choose_candidate(job, forecast, cost, works, now)
        if best is None:
            raise errors.NoServerError(
                f'no backend server of {job.service.name}'
                f'{describe_version(job)} is usable in region'
                f' {self.pool.region}',
                retry_after=self.rejected_retry_after(job),
            )
        index, chosen = best
        server = forecast.servers[index]
        uncached_tokens = float(forecast.uncached_tokens[index])
        prefill_seconds = chosen.prefill_seconds
        self.prefill_times.update(job.route.name, prefill_seconds)
        decision = self.decide_admission(
            job, chosen.wait_seconds, prefill_seconds, now
        )
        if not job.attempts.count:
            decision = self.apply_competition(
                job,
                decision,
                chosen.wait_seconds,
                prefill_seconds,
                chosen.generation_seconds,
                now,
            )
        self.log(
            'request:placed',
            job,
            server=chosen.name,
            software=server.instance.software_version,
            of=forecast.may_send.count(True),
            predicted=round(chosen.wait_seconds, 3),
            unread=uncached_tokens,
            failures=round(chosen.failure_rate, 2),
            event_pace=round(server.current_event_interval(now), 3),
            too_slow=chosen.is_too_slow,
            list_age=round(now - self.view.instance_list_read_at, 3),
            backlog_age=round(self.backlog_exchange.max_age_seconds(now), 3),
            taken=decision.is_admitted,
            **work_estimates.log_fields(chosen.work, cost, server, now),
        )
        if self.unrecorded_versions(job, [server]):
            self.log(
                'request:unrecorded_version',
                job,
                server=chosen.name,
                software=server.instance.software_version,
                history=self.view.history.number,
            )
        if not decision.is_admitted:
            raise errors.OverloadedError(
                f'{job.service.name} would begin to answer in'
                f' {chosen.wait_seconds:.2f} s',
                retry_after=decision.retry_after,
            )
        if chosen.is_too_slow:
            raise errors.OverloadedError(
                f'{job.service.name} would not complete the response before'
                ' the request deadline',
                retry_after=self.rejected_retry_after(job),
            )
        if chosen.work is not None:
            server.recent_work.add(chosen.work.own_seconds, now)
        return jobs.ServerChoice(
            server, chosen.wait_seconds, uncached_tokens, cost
        )

    def log(self, name: str, job: jobs.Job, **fields: typing.Any) -> None:
        logs.log_message(
            name,
            request=job.request.request_id,
            route=job.route.name,
            service=job.service.name,
            version=job.version,
            **fields,
        )


def describe_version(job: jobs.Job) -> str:
    """Returns which software version a request needs, for a message."""
    if job.software_version is None:
        return ''
    return f' with software version {job.software_version or "unknown"}'
