"""Gathers the inputs of the decisions on a request, and logs them.

The decisions themselves are plain functions of other modules.
"""

import dataclasses
import random
import typing

import eliot

from .. import errors
from .. import timers as timer_service
from . import admission
from . import backlog_exchange as backlog_exchange_module
from . import cold_pacing
from . import engine_model
from ..fleet import agent as agents
from . import generations
from . import jobs
from . import placement
from . import ports
from . import retry_budget
from . import servers as server_pool

DEFAULT_CLIENT_TIMEOUT_SECONDS = 30.0
# What is kept of a caller's patience for the way back of the answer.
RESPONSE_MARGIN_SECONDS = 0.01
MIN_RETRY_TIME_SECONDS = 0.02
MIN_RETRY_AFTER_SECONDS = 0.3
# From a VM's start until it serves, when the whole fleet has lost its power:
# a leader is elected in 1.2 s, and told a poll of 0.5 s later.
STARTUP_SECONDS = 2.0
# A lease outlives an election, so one that has ended tells of an outage.
OUTAGE_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """The budget of repeats of one service over all VMs."""

    ratio: float
    slack: float
    window_seconds: float


class RequestPlanner:
    """What one entry VM knows, and decides from it."""

    def __init__(
        self,
        vm: str,
        timers: timer_service.Timers,
        agent: agents.Agent,
        pool: server_pool.ServerPool,
        backlog_exchange: backlog_exchange_module.BacklogExchange,
        retry_settings: RetrySettings,
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.timers = timers
        self.agent = agent
        self.view = agent.view
        self.pool = pool
        self.backlog_exchange = backlog_exchange
        self.retry_settings = retry_settings
        self.rng = rng
        self.retry_budgets: dict[str, retry_budget.RetryBudget] = {}
        self.client_retries = admission.ClientRetryDetector()
        self.prefill_times = admission.TypicalPrefillTime()
        self.response_lengths = generations.ResponseLengths()
        self.rejection_rates: dict[str, admission.RejectionRate] = {}
        self.forwarded_tokens: dict[tuple[str, str], float] = {}
        self.started_at = timers.now()

    def create_job(self, request: ports.Request, now: float) -> jobs.Job:
        """Returns what the configuration in force says of a request.

        :raises NotRunError: if it may not be run.
        """
        configuration = self.view.configuration
        if configuration is None:
            left = self.started_at + STARTUP_SECONDS - now
            raise errors.NotReadyError(
                'no configuration',
                retry_after=self.add_jitter(
                    max(MIN_RETRY_AFTER_SECONDS, left)
                ),
            )
        route = configuration.find_route(request.host, request.path)
        if route is None:
            raise errors.NotFoundError('no route matches')
        organisation = None
        if configuration.needs_keys and not route.is_public:
            if not self.agent.has_lease:
                raise errors.LeaseError(
                    'the keys cannot be confirmed',
                    retry_after=self.add_jitter(OUTAGE_SECONDS),
                )
            organisation = configuration.find_organisation(request.key)
            if organisation is None:
                raise errors.AuthenticationError('the key is not known')
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
        return jobs.Job(
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
        )

    def add_jitter(self, seconds: float) -> float:
        """Returns a pause that differs, so that callers do not come as one."""
        return seconds * (1 + admission.RETRY_AFTER_JITTER * self.rng.random())

    def recheck_authorization(self, job: jobs.Job) -> None:
        """Checks a decision again, right before a request is sent.

        A VM may have been frozen, or have waited for tokens, since then.

        :raises NotRunError: if the request may not be sent any more.
        """
        needs_key = job.organisation is not None
        if needs_key and not self.agent.has_lease:
            raise errors.LeaseError(
                'the keys cannot be confirmed',
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
            raise errors.NotFoundError('no route matches any more')
        if not route.serves(job.service.name):
            raise errors.UnavailableError(
                'the route has changed', retry_after=0.0
            )

    def retry_budget_of(self, service: str) -> retry_budget.RetryBudget:
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(
                self.retry_settings.ratio,
                self.retry_settings.slack,
                self.retry_settings.window_seconds,
            )
            self.retry_budgets[service] = budget
        return budget

    def acquire_retry(
        self, job: jobs.Job, error: errors.GatewayError | None
    ) -> bool:
        """Returns whether another server may get a request that failed."""
        now = self.timers.now()
        if job.deadline - now < MIN_RETRY_TIME_SECONDS:
            return False
        if isinstance(error, errors.BackendConnectError):
            # Nothing was sent, so it is no repeat.
            return True
        is_not_run = error is not None and error.run == errors.NOT_RUN
        if not is_not_run and not job.route.is_retryable:
            return False
        if not job.has_attempts_left:
            return False
        budget = self.retry_budget_of(job.service.name)
        has_budget = budget.try_acquire(now, len(self.view.entry_vms))
        self.log(
            'request:repeated' if has_budget else 'request:no_budget',
            job,
            sends=job.attempts.count,
            code=None if error is None else error.code,
        )
        return has_budget

    def plan_regions(
        self, job: jobs.Job, allowed: frozenset[str] | None
    ) -> list[str]:
        """Returns the regions to try, best first.

        :raises OverloadedError: if none would serve the request in time.
        """
        now = self.timers.now()
        local_region = self.pool.region
        estimates = self.estimate_remote_regions(job, now)
        local_wait = None
        if allowed is None or local_region in allowed:
            local_wait = self.predict_local_wait(job, now)
        if local_wait is not None:
            interval, rate = self.local_speeds(job, now)
            estimates[local_region] = self.estimate_region(
                job, local_wait, interval, rate, now
            )
        regions = placement.rank_regions(local_region, estimates, allowed)
        if not regions:
            return []
        best = estimates[regions[0]]
        self.prefill_times.update(job.route.name, best.prefill_seconds)
        decision = self.decide_admission(
            job, best.wait_seconds, best.prefill_seconds, now
        )
        self.log(
            'request:planned',
            job,
            organisation=job.organisation,
            left=round(job.deadline - now, 3),
            objective=round(job.objective_left, 3),
            tokens=job.request.prompt and job.request.prompt.total_tokens,
            regions=regions,
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
        # A refusal waits for a second round trip only where this region can
        # run nothing itself.
        if local_wait is None:
            return regions[:2]
        return [
            one for one in regions[:2] if one in (regions[0], local_region)
        ]

    def estimate_remote_regions(
        self, job: jobs.Job, now: float
    ) -> dict[str, placement.RegionEstimate]:
        """Returns what the other regions would do with a request."""
        estimates = {}
        for region, by_service in self.view.loads.items():
            load = by_service.get(job.service.name)
            if load is None or region == self.pool.region:
                continue
            if not self.view.usable_entry_vms(region):
                continue
            # What was sent there lately is not in what the region told.
            forwarded = self.forwarded_tokens.get(
                (job.service.name, region), 0.0
            )
            wait = load.wait + forwarded / load.total_speed
            wait += self.prefill_seconds(job, load.speed)
            estimates[region] = self.estimate_region(
                job, wait, load.pace, load.speed, now
            )
        return estimates

    def estimate_region(
        self,
        job: jobs.Job,
        wait_seconds: float,
        interval: float,
        rate: float,
        now: float,
    ) -> placement.RegionEstimate:
        prefill_seconds = self.prefill_seconds(job, rate)
        return placement.RegionEstimate(
            wait_seconds,
            prefill_seconds,
            self.generation_seconds(job, interval),
            self.exceeds_wait_limit(job, wait_seconds, prefill_seconds, now),
        )

    def prefill_seconds(self, job: jobs.Job, rate: float) -> float:
        """Returns the seconds in which a prompt is read, if none is cached.

        :param speed: tokens a second.
        """
        prompt = job.request.prompt
        if not job.service.is_engine or prompt is None:
            return 0.0
        return prompt.tokens / rate

    def decide_admission(
        self,
        job: jobs.Job,
        predicted_seconds: float,
        prefill_seconds: float,
        now: float,
    ) -> admission.AdmissionDecision:
        """Decides whether a request is taken, and notes it.

        :param reading: seconds of the prediction in which its own prompt is
            read.
        """
        excess_seconds = self.prefill_times.excess_seconds(
            job.route.name, prefill_seconds
        )
        rejection_rate = self.rejection_rate_of(job, now)
        decision = admission.decide(
            predicted_seconds,
            excess_seconds,
            job.admission_request(now),
            rejection_rate.current_rate(now),
            self.rng,
        )
        rejection_rate.record(not decision.is_admitted, now)
        return decision

    def exceeds_wait_limit(
        self,
        job: jobs.Job,
        predicted_seconds: float,
        prefill_seconds: float,
        now: float,
    ) -> bool:
        """Returns whether a request would not be taken."""
        excess_seconds = self.prefill_times.excess_seconds(
            job.route.name, prefill_seconds
        )
        return not admission.is_admissible(
            predicted_seconds, excess_seconds, job.admission_request(now)
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
        """Returns when a request that nothing can run may come back."""
        now = self.timers.now()
        rejection_rate = self.rejection_rate_of(job, now)
        rejection_rate.record(True, now)
        return admission.compute_retry_after(
            MIN_RETRY_AFTER_SECONDS, rejection_rate.current_rate(now), self.rng
        )

    def predict_wait(
        self, job: jobs.Job, server: server_pool.Server, now: float
    ) -> tuple[float, float]:
        """Returns seconds until the answer begins, and tokens to read."""
        peer_totals = self.backlog_exchange.peer_totals(server.instance.name)
        load = server.estimate_load(peer_totals, now)
        prompt = job.request.prompt
        if not job.service.is_engine or prompt is None:
            return engine_model.response_seconds(load), 0.0
        uncached_tokens = prompt.tokens - server.prefix_cache.cached_tokens(
            prompt
        )
        return engine_model.first_event_seconds(load, uncached_tokens), float(
            uncached_tokens
        )

    def generation_seconds(self, job: jobs.Job, interval: float) -> float:
        """Returns the seconds from the first event of an answer to its end.

        :param pace: seconds between events.
        """
        prompt = job.request.prompt
        if not job.service.is_engine or prompt is None:
            return 0.0
        return (
            self.response_lengths.predict_events(job.route.name, prompt)
            * interval
        )

    def local_speeds(self, job: jobs.Job, now: float) -> tuple[float, float]:
        """Returns the best event pace and reading speed of this region."""
        servers = self.pool.usable_servers(job.service, now)
        return (
            min(one.event_interval.current_seconds(now) for one in servers),
            max(one.prefill_rate for one in servers),
        )

    def is_too_slow(
        self,
        job: jobs.Job,
        server: server_pool.Server,
        first_event_wait: float,
        now: float,
    ) -> bool:
        """Returns whether a server would not complete a new answer in time.

        :param first: predicted seconds until its first event.
        """
        generation_seconds = self.generation_seconds(
            job, server.event_interval.current_seconds(now)
        )
        if not generation_seconds or job.attempts.count:
            return False
        return not generations.fits_deadline(
            first_event_wait, generation_seconds, job.deadline - now
        )

    def predict_local_wait(self, job: jobs.Job, now: float) -> float | None:
        """Returns the least predicted seconds in this region."""
        servers = self.pool.usable_servers(job.service, now)
        return min(
            (
                self.predict_wait(job, server, now)[0]
                for server in servers
                if self.may_send(job, server, now)
            ),
            default=None,
        )

    def may_send(
        self, job: jobs.Job, server: server_pool.Server, now: float
    ) -> bool:
        """Returns whether a server is warm, or a cold one bears one more."""
        rate = job.service.cold_start_rate
        if rate <= 0 or not server.is_cold(now):
            return True
        return (
            self.cold_share(job, server) > 0
            and now >= server.cold_pacer.next_at
        )

    def cold_share(self, job: jobs.Job, server: server_pool.Server) -> float:
        entry_vms = [
            one.vm for one in self.view.usable_entry_vms(self.pool.region)
        ]
        rate = job.service.cold_start_rate
        sharing_count = cold_pacing.count_sharing_vms(
            self.vm, entry_vms, server.instance.name, rate
        )
        return rate / sharing_count if sharing_count else 0.0

    def choose_server(
        self, job: jobs.Job, excluded: set[str]
    ) -> jobs.ServerChoice:
        """Returns the server for a request.

        :raises UnavailableError: if nothing may run it.
        :raises OverloadedError: if it would be late.
        """
        now = self.timers.now()
        servers = {
            one.instance.name: one
            for one in self.pool.usable_servers(job.service, now, excluded)
            if self.may_send(job, one, now)
        }
        prompt = job.request.prompt
        prefix = prompt.segments[0].name if prompt and prompt.segments else ''
        candidates = []
        for name, one in servers.items():
            wait_seconds, uncached_tokens = self.predict_wait(job, one, now)
            candidates.append(
                placement.Candidate(
                    name,
                    wait_seconds,
                    self.generation_seconds(
                        job, one.event_interval.current_seconds(now)
                    ),
                    self.exceeds_wait_limit(
                        job,
                        wait_seconds,
                        uncached_tokens / one.prefill_rate,
                        now,
                    ),
                    one.current_failure_rate(now),
                    self.is_too_slow(job, one, wait_seconds, now),
                    bool(prefix)
                    and prefix in one.prefix_cache.cached_segments,
                )
            )
        chosen = placement.choose_server(candidates, prefix)
        if chosen is None:
            raise errors.UnavailableError(
                f'no backend server of {job.service.name} is usable here',
                retry_after=self.rejected_retry_after(job),
            )
        server = servers[chosen.name]
        uncached_tokens = self.predict_wait(job, server, now)[1]
        prefill_seconds = uncached_tokens / server.prefill_rate
        self.prefill_times.update(job.route.name, prefill_seconds)
        decision = self.decide_admission(
            job, chosen.wait_seconds, prefill_seconds, now
        )
        self.log(
            'request:placed',
            job,
            server=chosen.name,
            of=len(candidates),
            predicted=round(chosen.wait_seconds, 3),
            unread=uncached_tokens,
            failures=round(chosen.failure_rate, 2),
            event_pace=round(server.event_interval.current_seconds(now), 3),
            too_slow=chosen.is_too_slow,
            list_age=round(now - self.view.instance_list_read_at, 3),
            backlog_age=round(self.backlog_exchange.max_age_seconds(now), 3),
            taken=decision.is_admitted,
        )
        if not decision.is_admitted:
            raise errors.OverloadedError(
                f'{job.service.name} would begin to answer in'
                f' {chosen.wait_seconds:.2f} s',
                retry_after=decision.retry_after,
            )
        if chosen.is_too_slow:
            raise errors.OverloadedError(
                f'{job.service.name} would not complete the answer in time',
                retry_after=self.rejected_retry_after(job),
            )
        return jobs.ServerChoice(server, chosen.wait_seconds, uncached_tokens)

    def log(self, name: str, job: jobs.Job, **fields: typing.Any) -> None:
        eliot.log_message(
            name,
            request=job.request.request_id,
            route=job.route.name,
            service=job.service.name,
            version=job.version,
            **fields,
        )
