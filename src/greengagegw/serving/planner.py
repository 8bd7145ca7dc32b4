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
        backlogs: backlog_exchange_module.BacklogExchange,
        retries: RetrySettings,
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.timers = timers
        self.agent = agent
        self.view = agent.view
        self.pool = pool
        self.backlog_exchange = backlogs
        self.retry_settings = retries
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
        name = route.choose_service(self.rng)
        service = configuration.services[name]
        patience = request.timeout_seconds
        if patience is None:
            patience = DEFAULT_CLIENT_TIMEOUT_SECONDS
        elapsed = self.client_retries.estimate_elapsed(route.name, patience)
        patience = min(patience, route.timeout) - RESPONSE_MARGIN_SECONDS
        organisation_name = None if organisation is None else organisation.name
        return jobs.Job(
            request,
            route,
            service,
            organisation_name,
            configuration.version,
            now + patience,
            route.latency_objective - elapsed,
            configuration.priority_rank(route, name),
            configuration.organisation_priority_rank(organisation_name),
            elapsed > 0,
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
        is_keyed = job.organisation is not None
        if is_keyed and not self.agent.has_lease:
            raise errors.LeaseError(
                'the keys cannot be confirmed',
                retry_after=self.add_jitter(OUTAGE_SECONDS),
            )
        configuration = self.view.configuration
        if configuration.version == job.version:
            return
        request = job.request
        if is_keyed and request.key:
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
        here = self.pool.region
        offers = self.estimate_remote_regions(job, now)
        here_wait = None
        if allowed is None or here in allowed:
            here_wait = self.predict_local_wait(job, now)
        if here_wait is not None:
            pace, speed = self.local_speeds(job, now)
            offers[here] = self.estimate_region(
                job, here_wait, pace, speed, now
            )
        regions = placement.rank_regions(here, offers, allowed)
        if not regions:
            return []
        best = offers[regions[0]]
        self.prefill_times.update(job.route.name, best.prefill_seconds)
        verdict = self.decide_admission(
            job, best.wait, best.prefill_seconds, now
        )
        self.log(
            'request:planned',
            job,
            organisation=job.organisation,
            left=round(job.deadline - now, 3),
            objective=round(job.objective_left, 3),
            tokens=job.request.prompt and job.request.prompt.total_tokens,
            regions=regions,
            here=round(-1.0 if here_wait is None else here_wait, 3),
            waits={name: round(one.wait, 3) for name, one in offers.items()},
            endings={
                name: round(one.ending, 3) for name, one in offers.items()
            },
            loads_age=round(now - self.view.loads_requested_at, 3),
            taken=verdict.is_admitted,
        )
        if not verdict.is_admitted:
            raise errors.OverloadedError(
                f'{job.service.name} would begin to answer in'
                f' {best.wait:.2f} s',
                retry_after=verdict.retry_after,
            )
        # A refusal waits for a second round trip only where this region can
        # run nothing itself.
        if here_wait is None:
            return regions[:2]
        return [one for one in regions[:2] if one in (regions[0], here)]

    def estimate_remote_regions(
        self, job: jobs.Job, now: float
    ) -> dict[str, placement.RegionEstimate]:
        """Returns what the other regions would do with a request."""
        offers = {}
        for region, by_service in self.view.loads.items():
            load = by_service.get(job.service.name)
            if load is None or region == self.pool.region:
                continue
            if not self.view.usable_entry_vms(region):
                continue
            # What was sent there lately is not in what the region told.
            sent = self.forwarded_tokens.get((job.service.name, region), 0.0)
            wait = load.wait + sent / load.total_speed
            wait += self.prefill_seconds(job, load.speed)
            offers[region] = self.estimate_region(
                job, wait, load.pace, load.speed, now
            )
        return offers

    def estimate_region(
        self,
        job: jobs.Job,
        wait: float,
        pace: float,
        speed: float,
        now: float,
    ) -> placement.RegionEstimate:
        reading = self.prefill_seconds(job, speed)
        return placement.RegionEstimate(
            wait,
            reading,
            self.generation_seconds(job, pace),
            self.exceeds_wait_limit(job, wait, reading, now),
        )

    def prefill_seconds(self, job: jobs.Job, speed: float) -> float:
        """Returns the seconds in which a prompt is read, if none is cached.

        :param speed: tokens a second.
        """
        prompt = job.request.prompt
        if not job.service.is_engine or prompt is None:
            return 0.0
        return prompt.tokens / speed

    def decide_admission(
        self, job: jobs.Job, predicted: float, reading: float, now: float
    ) -> admission.AdmissionDecision:
        """Decides whether a request is taken, and notes it.

        :param reading: seconds of the prediction in which its own prompt is
            read.
        """
        excess = self.prefill_times.excess_seconds(job.route.name, reading)
        pressure = self.rejection_rate_of(job, now)
        verdict = admission.decide(
            predicted,
            excess,
            job.admission_request(now),
            pressure.current_rate(now),
            self.rng,
        )
        pressure.record(not verdict.is_admitted, now)
        return verdict

    def exceeds_wait_limit(
        self, job: jobs.Job, predicted: float, reading: float, now: float
    ) -> bool:
        """Returns whether a request would not be taken."""
        excess = self.prefill_times.excess_seconds(job.route.name, reading)
        return not admission.is_admissible(
            predicted, excess, job.admission_request(now)
        )

    def rejection_rate_of(
        self, job: jobs.Job, now: float
    ) -> admission.RejectionRate:
        pressure = self.rejection_rates.get(job.service.name)
        if pressure is None:
            pressure = admission.RejectionRate(now)
            self.rejection_rates[job.service.name] = pressure
        return pressure

    def rejected_retry_after(self, job: jobs.Job) -> float:
        """Returns when a request that nothing can run may come back."""
        now = self.timers.now()
        pressure = self.rejection_rate_of(job, now)
        pressure.record(True, now)
        return admission.compute_retry_after(
            MIN_RETRY_AFTER_SECONDS, pressure.current_rate(now), self.rng
        )

    def predict_wait(
        self, job: jobs.Job, server: server_pool.Server, now: float
    ) -> tuple[float, float]:
        """Returns seconds until the answer begins, and tokens to read."""
        others = self.backlog_exchange.peer_totals(server.instance.name)
        load = server.estimate_load(others, now)
        prompt = job.request.prompt
        if not job.service.is_engine or prompt is None:
            return engine_model.response_seconds(load), 0.0
        unread = prompt.tokens - server.prefix_cache.cached_tokens(prompt)
        return engine_model.first_event_seconds(load, unread), float(unread)

    def generation_seconds(self, job: jobs.Job, pace: float) -> float:
        """Returns the seconds from the first event of an answer to its end.

        :param pace: seconds between events.
        """
        prompt = job.request.prompt
        if not job.service.is_engine or prompt is None:
            return 0.0
        return (
            self.response_lengths.predict_events(job.route.name, prompt) * pace
        )

    def local_speeds(self, job: jobs.Job, now: float) -> tuple[float, float]:
        """Returns the best event pace and reading speed of this region."""
        usable = self.pool.usable_servers(job.service, now)
        return (
            min(one.event_interval.current_seconds(now) for one in usable),
            max(one.prefill_rate for one in usable),
        )

    def is_too_slow(
        self,
        job: jobs.Job,
        server: server_pool.Server,
        first: float,
        now: float,
    ) -> bool:
        """Returns whether a server would not complete a new answer in time.

        :param first: predicted seconds until its first event.
        """
        ending = self.generation_seconds(
            job, server.event_interval.current_seconds(now)
        )
        if not ending or job.attempts.count:
            return False
        return not generations.fits_deadline(first, ending, job.deadline - now)

    def predict_local_wait(self, job: jobs.Job, now: float) -> float | None:
        """Returns the least predicted seconds in this region."""
        usable = self.pool.usable_servers(job.service, now)
        return min(
            (
                self.predict_wait(job, server, now)[0]
                for server in usable
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
        entries = [
            one.vm for one in self.view.usable_entry_vms(self.pool.region)
        ]
        rate = job.service.cold_start_rate
        sharing = cold_pacing.count_sharing_vms(
            self.vm, entries, server.instance.name, rate
        )
        return rate / sharing if sharing else 0.0

    def choose_server(
        self, job: jobs.Job, excluded: set[str]
    ) -> jobs.ServerChoice:
        """Returns the server for a request.

        :raises UnavailableError: if nothing may run it.
        :raises OverloadedError: if it would be late.
        """
        now = self.timers.now()
        usable = {
            one.instance.name: one
            for one in self.pool.usable_servers(job.service, now, excluded)
            if self.may_send(job, one, now)
        }
        prompt = job.request.prompt
        head = prompt.segments[0].name if prompt and prompt.segments else ''
        candidates = []
        for name, one in usable.items():
            wait, unread = self.predict_wait(job, one, now)
            candidates.append(
                placement.Candidate(
                    name,
                    wait,
                    self.generation_seconds(
                        job, one.event_interval.current_seconds(now)
                    ),
                    self.exceeds_wait_limit(
                        job, wait, unread / one.prefill_rate, now
                    ),
                    one.current_failure_rate(now),
                    self.is_too_slow(job, one, wait, now),
                    bool(head) and head in one.prefix_cache.segments,
                )
            )
        chosen = placement.choose_server(candidates, head)
        if chosen is None:
            raise errors.UnavailableError(
                f'no backend server of {job.service.name} is usable here',
                retry_after=self.rejected_retry_after(job),
            )
        server = usable[chosen.name]
        unread = self.predict_wait(job, server, now)[1]
        reading = unread / server.prefill_rate
        self.prefill_times.update(job.route.name, reading)
        verdict = self.decide_admission(job, chosen.wait_seconds, reading, now)
        self.log(
            'request:placed',
            job,
            server=chosen.name,
            of=len(candidates),
            predicted=round(chosen.wait_seconds, 3),
            unread=unread,
            failures=round(chosen.failure_rate, 2),
            event_pace=round(server.event_interval.current_seconds(now), 3),
            too_slow=chosen.is_too_slow,
            list_age=round(now - self.view.instance_list_read_at, 3),
            backlog_age=round(self.backlog_exchange.max_age_seconds(now), 3),
            taken=verdict.is_admitted,
        )
        if not verdict.is_admitted:
            raise errors.OverloadedError(
                f'{job.service.name} would begin to answer in'
                f' {chosen.wait_seconds:.2f} s',
                retry_after=verdict.retry_after,
            )
        if chosen.is_too_slow:
            raise errors.OverloadedError(
                f'{job.service.name} would not complete the answer in time',
                retry_after=self.rejected_retry_after(job),
            )
        return jobs.ServerChoice(server, chosen.wait_seconds, unread)

    def log(self, name: str, job: jobs.Job, **fields: typing.Any) -> None:
        eliot.log_message(
            name,
            request=job.request.request_id,
            route=job.route.name,
            service=job.service.name,
            version=job.version,
            **fields,
        )
