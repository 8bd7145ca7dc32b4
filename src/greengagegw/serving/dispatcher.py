"""Takes a caller's request through the decisions, to an answer.

The decisions are plain functions of other modules; here their inputs are
gathered, logged, and what they decide is done.
"""

import collections.abc
import contextlib
import dataclasses
import random
import typing

import anyio
import eliot

from .. import errors
from .. import timers as timer_service
from . import admission
from . import cold_pacing
from . import engine_model
from . import events
from ..fleet import agent as agents
from ..fleet import configuration as configurations
from ..fleet import members
from . import placement
from . import ports
from ..ports import peers
from . import retry_budget
from . import servers as server_pool

SERVE_METHOD = 'fleet.serve'
DEFAULT_PATIENCE_SECONDS = 30.0
# What is kept of a caller's patience for the way back of the answer.
WAY_BACK_SECONDS = 0.01
# Three round trips between regions, in which another VM takes a request.
ACCEPT_SECONDS = 0.4
SUSPECT_SECONDS = 1.0
LINKS_TO_REGION = 2
LINK_POLL_SECONDS = 1.0
# Waiting less than this says nothing on a server, since a route's time may
# be short.
LEAST_FAILURE_SECONDS = 1.0
# A stream that pauses for so many of its objectives is gone on with
# elsewhere; callers leave it at eight.
PAUSES_BEFORE_RESUME = 3
SHORTEST_SILENCE_SECONDS = 1.5
RETRY_STATUSES = frozenset({500, 502, 503, 504})
LEAST_TIME_SECONDS = 0.02
SOON_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request with what was decided on it.

    :ivar until: timer seconds at which the caller must have all of it.
    :ivar objective: seconds that are left until the answer counts as late.
    :ivar rank: how many classes of its service are more urgent.
    :ivar has_returned: whether its caller was refused before.
    :ivar sends: counts the backend servers that it was sent to.
    """

    request: ports.Request
    route: configurations.Route
    service: configurations.Service
    organisation: str | None
    priority: int
    version: int
    until: float
    objective: float
    rank: int
    has_returned: bool
    sends: 'Sends'

    @property
    def may_be_sent(self) -> bool:
        """Whether the operator allows one more backend server."""
        return self.sends.count < self.sends.most


class Sends:
    """How many backend servers one request was sent to, in all regions."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """The budget of repeats of one service over all VMs."""

    ratio: float
    slack: float
    window: float


class Dispatcher:
    """Serves requests on one entry VM."""

    def __init__(
        self,
        vm: str,
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
        agent: agents.Agent,
        pool: server_pool.ServerPool,
        backend: ports.BackendPort,
        retries: RetrySettings,
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.timers = timers
        self.mesh = mesh
        self.agent = agent
        self.view = agent.view
        self.pool = pool
        self.backend = backend
        self.retries = retries
        self.rng = rng
        self.budgets: dict[str, retry_budget.RetryBudget] = {}
        self.patience = admission.Patience()
        self.sizes = admission.UsualSize()
        self.pressures: dict[str, admission.Pressure] = {}
        self.suspects: dict[str, float] = {}
        self.sent_away: dict[tuple[str, str], float] = {}
        self.in_flight = 0

    def stream_handlers(self) -> dict[str, peers.StreamHandler]:
        return {SERVE_METHOD: self.serve_for_peer}

    @contextlib.asynccontextmanager
    async def handle(
        self, request: ports.Request
    ) -> collections.abc.AsyncIterator[ports.Answer]:
        """Enters the answer to a caller's request.

        :raises GatewayError: if there is none; its ``run`` says whether the
            request ran.
        """
        arrived_at = self.timers.now()
        self.in_flight += 1
        try:
            job = self.decide(request, arrived_at)
            cost = await self.charge(job)
            try:
                async with self.dispatch(job) as answer:
                    yield answer
            except errors.GatewayError as error:
                if error.run == errors.NOT_RUN and cost:
                    self.agent.wallet.give_back(job.organisation, cost)
                raise
        finally:
            self.in_flight -= 1

    def decide(self, request: ports.Request, now: float) -> Job:
        """Returns what the configuration in force says of a request.

        :raises NotRunError: if it may not be run.
        """
        configuration = self.view.configuration
        if configuration is None:
            raise errors.NotReadyError('no configuration', retry_after=0.5)
        route = configuration.find_route(request.host, request.path)
        if route is None:
            raise errors.NotFoundError('no route matches')
        organisation = None
        if configuration.needs_keys and not route.is_public:
            if not self.agent.has_lease:
                raise errors.LeaseError(
                    'the keys cannot be confirmed', retry_after=0.5
                )
            organisation = configuration.find_organisation(request.key)
            if organisation is None:
                raise errors.AuthenticationError('the key is not known')
        name = route.choose_service(self.rng)
        service = configuration.services[name]
        patience = request.patience
        if patience is None:
            patience = DEFAULT_PATIENCE_SECONDS
        elapsed = self.patience.elapsed(route.name, patience)
        patience = min(patience, route.timeout) - WAY_BACK_SECONDS
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return Job(
            request,
            route,
            service,
            None if organisation is None else organisation.name,
            priority,
            configuration.version,
            now + patience,
            route.objective - elapsed,
            configuration.rank(route, name),
            elapsed > 0,
            Sends(route.most_sends),
        )

    def check_still_allowed(self, job: Job) -> None:
        """Checks a decision again, right before a request is sent.

        A VM may have been frozen, or have waited for tokens, since then.

        :raises NotRunError: if the request may not be sent any more.
        """
        is_keyed = job.organisation is not None
        if is_keyed and not self.agent.has_lease:
            raise errors.LeaseError(
                'the keys cannot be confirmed', retry_after=0.5
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

    async def charge(self, job: Job) -> float:
        """Takes the request's cost from its organisation's allowance.

        :returns: what was taken.
        """
        if job.organisation is None:
            return 0.0
        organisation = self.view.configuration.organisations.get(
            job.organisation
        )
        if organisation is None or not organisation.is_limited:
            return 0.0
        cost = 1.0
        if organisation.counts_tokens:
            prompt = job.request.prompt
            cost = organisation.plain_cost if prompt is None else prompt.cost
        await self.agent.wallet.spend(job.organisation, cost)
        return cost

    # Regions.

    def budget(self, service: str) -> retry_budget.RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(
                self.retries.ratio, self.retries.slack, self.retries.window
            )
            self.budgets[service] = budget
        return budget

    @contextlib.asynccontextmanager
    async def dispatch(
        self, job: Job
    ) -> collections.abc.AsyncIterator[ports.Answer]:
        """Enters the answer of this region or another one."""
        self.budget(job.service.name).note_request(self.timers.now())
        organisation = None
        if job.organisation is not None:
            organisation = self.view.configuration.organisations.get(
                job.organisation
            )
        allowed = configurations.allowed_regions(job.route, organisation)
        regions = self.plan_regions(job, allowed)
        failure: errors.GatewayError | None = None
        async with contextlib.AsyncExitStack() as stack:
            answer = None
            for region in regions:
                is_here = region == self.pool.region
                entered = self.run_here if is_here else self.run_there
                try:
                    answer = await stack.enter_async_context(
                        entered(job, region)
                    )
                    break
                except errors.GatewayError as error:
                    failure = self.worse(failure, error)
                    is_over = not job.may_be_sent
                    if error.run != errors.NOT_RUN and not is_over:
                        is_over = not self.may_repeat(job, error)
                    if is_over:
                        break
            if answer is None:
                raise failure or errors.UnavailableError(
                    f'nothing can run {job.service.name}',
                    retry_after=self.retry_after(job),
                )
            yield answer

    def may_repeat(self, job: Job, error: errors.GatewayError | None) -> bool:
        """Returns whether another server may get a request that failed."""
        now = self.timers.now()
        if job.until - now < LEAST_TIME_SECONDS:
            return False
        if isinstance(error, errors.BackendConnectError):
            # Nothing was sent, so it is no repeat.
            return True
        is_not_run = error is not None and error.run == errors.NOT_RUN
        if not is_not_run and not job.route.is_repeatable:
            return False
        if not job.may_be_sent:
            return False
        budget = self.budget(job.service.name)
        has_budget = budget.take(now, len(self.view.entries))
        self.log(
            'request:repeated' if has_budget else 'request:no_budget',
            job,
            sends=job.sends.count,
            code=None if error is None else error.code,
        )
        return has_budget

    @staticmethod
    def worse(
        known: errors.GatewayError | None, new: errors.GatewayError
    ) -> errors.GatewayError:
        """Returns which of two failures the caller should hear of."""
        if known is None or new.run != errors.NOT_RUN:
            return new
        if new.retry_after is None:
            return known
        if known.retry_after is None or new.retry_after < known.retry_after:
            return new
        return known

    def plan_regions(
        self, job: Job, allowed: frozenset[str] | None
    ) -> list[str]:
        """Returns the regions to try, best first.

        :raises OverloadedError: if none would serve the request in time.
        """
        now = self.timers.now()
        here = self.pool.region
        here_wait = None
        if allowed is None or here in allowed:
            here_wait = self.predict_here(job, now)
        reading = 0.0
        if job.service.is_engine and job.request.prompt is not None:
            reading = job.request.prompt.tokens / engine_model.FIRST_READ_RATE
        waits = {}
        for region, wait in self.view.waits.get(job.service.name, {}).items():
            if region == here or not self.view.entries_of(region):
                continue
            away = self.sent_away.get((job.service.name, region), 0.0)
            away /= engine_model.FIRST_READ_RATE
            waits[region] = wait + reading + away
        regions = placement.choose_region(here, here_wait, waits, allowed)
        if not regions:
            return []
        best = here_wait if regions[0] == here else waits[regions[0]]
        verdict = self.judge(job, best, reading, now)
        self.log(
            'request:planned',
            job,
            regions=regions,
            here=round(-1.0 if here_wait is None else here_wait, 3),
            waits={name: round(wait, 3) for name, wait in waits.items()},
            age=round(now - self.view.backlogs_at, 3),
            taken=verdict.is_taken,
        )
        if not verdict.is_taken:
            raise errors.OverloadedError(
                f'{job.service.name} would begin to answer in {best:.2f} s',
                retry_after=verdict.retry_after,
            )
        # A refusal waits for a second round trip only where this region can
        # run nothing itself.
        if here_wait is None:
            return regions[:2]
        return [one for one in regions[:2] if one in (regions[0], here)]

    def judge(
        self, job: Job, predicted: float, reading: float, now: float
    ) -> admission.Verdict:
        """Decides whether a request is taken, and notes it.

        :param reading: seconds of the prediction in which its own prompt is
            read.
        """
        excess = self.sizes.excess(job.route.name, reading)
        pressure = self.find_pressure(job, now)
        claim = admission.Claim(
            job.objective, job.until - now, job.rank, job.has_returned
        )
        verdict = admission.judge(
            predicted,
            excess,
            claim,
            pressure.refused_share(now),
            self.rng,
        )
        pressure.note(not verdict.is_taken, now)
        return verdict

    def find_pressure(self, job: Job, now: float) -> admission.Pressure:
        pressure = self.pressures.get(job.service.name)
        if pressure is None:
            pressure = admission.Pressure(now)
            self.pressures[job.service.name] = pressure
        return pressure

    def retry_after(self, job: Job) -> float:
        """Returns when a request that nothing can run may come back."""
        now = self.timers.now()
        pressure = self.find_pressure(job, now)
        pressure.note(True, now)
        return admission.retry_after(
            SOON_SECONDS, pressure.refused_share(now), self.rng
        )

    @contextlib.asynccontextmanager
    async def run_there(
        self, job: Job, region: str
    ) -> collections.abc.AsyncIterator[ports.Answer]:
        """Enters the answer of another region's entry VM.

        :raises PeerError: if no VM of the region takes the request.
        """
        self.check_still_allowed(job)
        entry = self.choose_entry(region)
        place = (job.service.name, region)
        tokens = 0.0
        if job.request.prompt is not None and job.service.is_engine:
            tokens = float(job.request.prompt.tokens)
        self.log('request:forwarded', job, region=region, vm=entry.vm)
        job.sends.count += 1
        self.sent_away[place] = self.sent_away.get(place, 0.0) + tokens
        is_counted = True

        def uncount() -> None:
            nonlocal is_counted
            if is_counted:
                is_counted = False
                self.sent_away[place] -= tokens

        message = [
            job.request.pack(),
            job.organisation,
            job.service.name,
            job.route.name,
            job.version,
            job.priority,
            job.until - self.timers.now(),
            job.objective,
            job.has_returned,
            job.sends.most - job.sends.count,
        ]
        try:
            async with self.mesh.open(
                entry.vm, SERVE_METHOD, message
            ) as stream:
                await self.await_acceptance(entry, stream)
                head = await self.in_time(job, stream.receive())
                uncount()
                status, headers = head
                pairs = tuple((name, value) for name, value in headers)
                yield ports.Answer(
                    status, pairs, self.peer_chunks(job, stream)
                )
        except anyio.EndOfStream as error:
            raise errors.PeerLostError('the answer of a VM ended') from error
        except (errors.PeerUnreachableError, errors.NotRunError):
            # No backend server was asked.
            job.sends.count -= 1
            raise
        finally:
            uncount()

    def choose_entry(self, region: str) -> members.EntryVm:
        """Returns an entry VM of a region that did not fail lately.

        :raises PeerUnreachableError: if there is none.
        """
        now = self.timers.now()
        sound = [
            one
            for one in self.linked_entries(region)
            if self.suspects.get(one.vm, 0.0) <= now
        ] or [
            one
            for one in self.view.entries_of(region)
            if self.suspects.get(one.vm, 0.0) <= now
        ]
        if not sound:
            raise errors.PeerUnreachableError(
                f'no VM of {region} answers', retry_after=SOON_SECONDS
            )
        return self.rng.choice(sound)

    def linked_entries(self, region: str) -> list[members.EntryVm]:
        """Returns the few VMs of a region that this one keeps links to.

        A first connection takes three round trips. Hashing spreads the
        links of all VMs evenly.
        """
        entries = self.view.entries_of(region)
        return sorted(
            entries, key=lambda one: placement.rank(self.vm, one.vm)
        )[:LINKS_TO_REGION]

    async def keep_links(self) -> None:
        """Keeps links to VMs of the other regions, until it is cancelled."""
        while True:
            regions = {one.region for one in self.view.entries}
            for region in sorted(regions - {self.pool.region}):
                for entry in self.linked_entries(region):
                    await self.keep_link(entry.vm)
            await self.timers.sleep(LINK_POLL_SECONDS)

    async def keep_link(self, vm: str) -> None:
        try:
            await self.mesh.connect(vm)
        except errors.PeerError as error:
            self.suspects[vm] = self.timers.now() + SUSPECT_SECONDS
            eliot.log_message('link:failed', vm=vm, code=error.code)

    async def await_acceptance(
        self, entry: members.EntryVm, stream: typing.Any
    ) -> None:
        """Returns when a VM has taken a request.

        :raises PeerSilentError: if it does not say so; it may have run.
        """
        accepted = False
        try:
            with self.timers.limit(ACCEPT_SECONDS):
                await stream.receive()
                accepted = True
        except errors.PeerError:
            self.suspects[entry.vm] = self.timers.now() + SUSPECT_SECONDS
            raise
        if not accepted:
            self.suspects[entry.vm] = self.timers.now() + SUSPECT_SECONDS
            raise errors.PeerSilentError(f'{entry.vm} is silent')

    async def peer_chunks(
        self, job: Job, stream: typing.Any
    ) -> collections.abc.AsyncIterator[bytes]:
        while True:
            try:
                yield await self.in_time(job, stream.receive())
            except anyio.EndOfStream:
                return

    async def in_time(
        self, job: Job, waited: collections.abc.Awaitable
    ) -> typing.Any:
        """Returns what is awaited, if it comes while the caller waits.

        :raises BackendTimeoutError: if it does not.
        """
        left = max(0.0, job.until - self.timers.now())
        with self.timers.limit(left):
            return await waited
        raise errors.BackendTimeoutError('the time for the answer is over')

    async def serve_for_peer(
        self, peer: str, message: list, stream: peers.PeerStream
    ) -> None:
        """Runs a request of another region's entry VM."""
        packed, *decided = message
        await stream.send('accepted')
        job = self.adopt(ports.Request.unpack(packed), *decided)
        self.in_flight += 1
        try:
            async with self.run_here(job, self.pool.region) as answer:
                await stream.send([answer.status, list(answer.headers)])
                async for chunk in answer.chunks:
                    await stream.send(chunk)
        finally:
            self.in_flight -= 1

    def adopt(
        self,
        request: ports.Request,
        organisation: str | None,
        service_name: str,
        route_name: str,
        version: int,
        priority: int,
        left: float,
        objective: float,
        has_returned: bool,
        sends_left: int,
    ) -> Job:
        """Returns another VM's decision, unless a newer one forbids it.

        :raises UnavailableError: if the configurations do not agree.
        """
        configuration = self.view.configuration
        if configuration is None:
            raise errors.NotReadyError('no configuration', retry_after=0.5)
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
                f'version {configuration.version} here does not agree with'
                f' {version}',
                retry_after=SOON_SECONDS,
            )
        return Job(
            request,
            route,
            service,
            organisation,
            priority,
            configuration.version,
            self.timers.now() + left,
            objective,
            configuration.rank(route, service_name),
            has_returned,
            Sends(sends_left),
        )

    # Servers of this region.

    def predict(
        self, job: Job, server: server_pool.Server, now: float
    ) -> tuple[float, float]:
        """Returns seconds until the answer begins, and tokens to read."""
        others = self.view.backlogs.get(server.instance.name)
        load = server.load(others, now)
        prompt = job.request.prompt
        if not job.service.is_engine or prompt is None:
            return engine_model.answer_seconds(load), 0.0
        unread = prompt.tokens - server.cache.cached_tokens(prompt)
        return engine_model.first_event_seconds(load, unread), float(unread)

    def predict_here(self, job: Job, now: float) -> float | None:
        """Returns the least predicted seconds in this region."""
        usable = self.pool.usable(job.service, now)
        return min(
            (
                self.predict(job, server, now)[0]
                for server in usable
                if self.may_send(job, server, now)
            ),
            default=None,
        )

    def may_send(
        self, job: Job, server: server_pool.Server, now: float
    ) -> bool:
        """Returns whether a server is warm, or a cold one bears one more."""
        rate = job.service.cold_rate
        if rate <= 0 or not server.is_cold(now):
            return True
        return self.cold_share(job, server) > 0 and now >= server.pace.next_at

    def cold_share(self, job: Job, server: server_pool.Server) -> float:
        entries = [one.vm for one in self.view.entries_of(self.pool.region)]
        rate = job.service.cold_rate
        sharing = cold_pacing.may_send(
            self.vm, entries, server.instance.name, rate
        )
        return rate / sharing if sharing else 0.0

    def choose(self, job: Job, excluded: set[str]) -> 'Choice':
        """Returns the server for a request.

        :raises UnavailableError: if nothing may run it.
        :raises OverloadedError: if it would be late.
        """
        now = self.timers.now()
        usable = {
            one.instance.name: one
            for one in self.pool.usable(job.service, now, excluded)
            if self.may_send(job, one, now)
        }
        prompt = job.request.prompt
        head = prompt.parts[0].name if prompt and prompt.parts else ''
        candidates = [
            placement.Candidate(
                name,
                self.predict(job, one, now)[0],
                one.failure_share(now),
                bool(head) and head in one.cache.held,
            )
            for name, one in usable.items()
        ]
        chosen = placement.choose(candidates, head)
        if chosen is None:
            raise errors.UnavailableError(
                f'no backend server of {job.service.name} is usable here',
                retry_after=self.retry_after(job),
            )
        server = usable[chosen.name]
        unread = self.predict(job, server, now)[1]
        verdict = self.judge(job, chosen.wait, unread / server.read_rate, now)
        self.log(
            'request:placed',
            job,
            server=chosen.name,
            of=len(candidates),
            predicted=round(chosen.wait, 3),
            unread=unread,
            failures=round(chosen.failures, 2),
            list_age=round(now - self.view.list_read_at, 3),
            taken=verdict.is_taken,
        )
        if not verdict.is_taken:
            raise errors.OverloadedError(
                f'{job.service.name} would begin to answer in'
                f' {chosen.wait:.2f} s',
                retry_after=verdict.retry_after,
            )
        return Choice(server, chosen.wait, unread)

    @contextlib.asynccontextmanager
    async def run_here(
        self, job: Job, region: str
    ) -> collections.abc.AsyncIterator[ports.Answer]:
        """Enters the answer of a server of this region."""
        run = Run(self, job)
        try:
            answer = await run.first_answer()
            if job.route.is_stream and job.route.is_resumable:
                chunks = run.resumed_chunks(answer)
            else:
                chunks = run.chunks(answer)
            yield ports.Answer(answer.status, answer.headers, chunks)
        finally:
            await run.close()

    def log(self, name: str, job: Job, **fields: typing.Any) -> None:
        eliot.log_message(
            name,
            request=job.request.request_id,
            route=job.route.name,
            service=job.service.name,
            version=job.version,
            **fields,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A server for a request.

    :ivar predicted: seconds until the answer begins.
    :ivar unread: tokens of the prompt that are not cached there.
    """

    server: server_pool.Server
    predicted: float
    unread: float


class Run:
    """One request at the servers of this region, with its repeats."""

    def __init__(self, dispatcher: Dispatcher, job: Job) -> None:
        self.dispatcher = dispatcher
        self.timers = dispatcher.timers
        self.job = job
        self.excluded: set[str] = set()
        self.stack = contextlib.AsyncExitStack()
        self.server: server_pool.Server | None = None
        self.running: server_pool.Running | None = None

    async def close(self, is_whole: bool = False) -> None:
        """Ends what runs at a server, if anything does."""
        server, running = self.server, self.running
        self.server = self.running = None
        if server is not None and running is not None:
            server.end(running, self.timers.now(), is_whole)
        await self.stack.aclose()

    async def first_answer(self) -> ports.Answer:
        """Returns the answer of the first server that gives one.

        :raises GatewayError: if none does.
        """
        failure: errors.GatewayError | None = None
        while True:
            try:
                choice = self.dispatcher.choose(self.job, self.excluded)
            except errors.NotRunError as error:
                if failure is None or failure.run == errors.NOT_RUN:
                    raise
                raise failure from error
            try:
                answer = await self.send(choice, None)
            except errors.GatewayError as error:
                failure = error
                await self.close()
                if not self.dispatcher.may_repeat(self.job, error):
                    raise
                continue
            if answer.status in RETRY_STATUSES and self.has_others():
                if self.dispatcher.may_repeat(self.job, None):
                    await self.close()
                    failure = errors.BackendStatusError(
                        f'{choice.server.instance.name} failed',
                        answer.status,
                    )
                    continue
            return answer

    def has_others(self) -> bool:
        """Returns whether another server could give a better answer."""
        dispatcher, job = self.dispatcher, self.job
        if not job.route.is_repeatable or not job.may_be_sent:
            return False
        now = self.timers.now()
        return any(
            dispatcher.may_send(job, one, now)
            for one in dispatcher.pool.usable(job.service, now, self.excluded)
        )

    async def send(
        self,
        choice: 'Choice',
        resume_after: str | None,
    ) -> ports.Answer:
        """Returns the answer of one server, once its head has come."""
        job = self.job
        self.dispatcher.check_still_allowed(job)
        now = self.timers.now()
        server, unread = choice.server, choice.unread
        name = server.instance.name
        self.excluded.add(name)
        rate = job.service.cold_rate
        if rate > 0 and server.is_cold(now):
            share = self.dispatcher.cold_share(job, server)
            server.pace.take(now, share)
        before = server.waiting_tokens
        self.server = server
        self.running = server.begin(unread, before if unread else 0.0, now)
        if job.request.prompt is not None and job.service.is_engine:
            server.cache.use(job.request.prompt)
        order = ports.Order(
            job.request,
            job.organisation,
            job.until - now,
            job.priority,
            resume_after or job.request.resume_after,
            job.route.is_repeatable,
        )
        job.sends.count += 1
        try:
            answer = await self.dispatcher.in_time(
                job,
                self.stack.enter_async_context(
                    self.dispatcher.backend.send(server.instance, order)
                ),
            )
        except errors.BackendConnectError:
            job.sends.count -= 1
            server.note_outcome(True, self.timers.now())
            server.eject(self.timers.now())
            self.log_failure(server, 'connect')
            raise
        except errors.WrongInstanceError:
            self.dispatcher.pool.forget(name)
            self.log_failure(server, 'wrong_instance')
            raise
        except errors.BackendRefusedError:
            self.log_failure(server, 'refused')
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
        self.dispatcher.log(
            'request:begun',
            job,
            server=name,
            status=answer.status,
            predicted=round(choice.predicted, 3),
            seconds=round(seconds, 3),
        )
        return answer

    def log_failure(self, server: server_pool.Server, code: str) -> None:
        self.dispatcher.log(
            'request:send_failed',
            self.job,
            server=server.instance.name,
            code=code,
            failures=round(server.failures, 2),
        )

    async def chunks(
        self, answer: ports.Answer
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        while True:
            try:
                chunk = await self.dispatcher.in_time(
                    self.job, anext(answer.chunks)
                )
            except StopAsyncIteration:
                break
            except errors.BackendError as error:
                self.note_failure(error)
                raise
            yield chunk
        await self.close(is_whole=True)

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
        self, answer: ports.Answer
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
        await self.close(is_whole=True)

    async def steady_chunks(
        self, answer: ports.Answer
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields chunks, and fails when a pause is too long."""
        job = self.job
        silence = max(
            SHORTEST_SILENCE_SECONDS,
            PAUSES_BEFORE_RESUME * job.route.gap_objective,
        )
        while True:
            left = job.until - self.timers.now()
            if not job.may_be_sent:
                silence = left
            chunk = None
            try:
                with self.timers.limit(max(0.0, min(silence, left))):
                    chunk = await anext(answer.chunks)
            except StopAsyncIteration:
                return
            if chunk is None:
                raise errors.BackendTimeoutError('a stream went silent')
            yield chunk

    async def resume(
        self, last_id: str | None, error: errors.GatewayError
    ) -> ports.Answer:
        """Returns the rest of a stream from another server.

        :raises BackendError: what broke it, if it cannot go on.
        """
        while self.dispatcher.may_repeat(self.job, error):
            try:
                choice = self.dispatcher.choose(self.job, self.excluded)
            except errors.NotRunError:
                break
            try:
                answer = await self.send(choice, last_id)
            except errors.GatewayError as failure:
                error = failure
                await self.close()
                continue
            if answer.status == 200:
                self.dispatcher.log(
                    'request:resumed',
                    self.job,
                    server=choice.server.instance.name,
                    last_id=last_id,
                )
                return answer
            await self.close()
        raise errors.BrokenStreamError('the stream broke off') from error


def describe_load(dispatcher: Dispatcher) -> dict:
    """Returns the load of this VM's region for the control VMs."""
    now = dispatcher.timers.now()
    configuration = dispatcher.view.configuration
    waits = {}
    if configuration is not None:
        for service in configuration.services.values():
            found = [
                engine_model.first_event_seconds(load, 0.0)
                if service.is_engine
                else engine_model.answer_seconds(load)
                for load in (
                    one.load(
                        dispatcher.view.backlogs.get(one.instance.name), now
                    )
                    for one in dispatcher.pool.usable(service, now)
                    if not one.is_cold(now)
                )
            ]
            if found:
                waits[service.name] = min(found)
    backlogs = {
        name: [one.waiting_tokens, float(one.in_flight)]
        for name, one in dispatcher.pool.servers.items()
        if one.in_flight
    }
    return {'waits': waits, 'backlogs': backlogs}
