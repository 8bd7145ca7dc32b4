"""What an entry VM knows of the backend servers of its region."""

import collections.abc
import dataclasses
import math

import anyio
import eliot

from . import cold_pacing
from . import engine_model
from ..fleet import agent as agents
from ..fleet import configuration as configurations
from ..fleet import instances
from . import generations
from . import ports
from . import prompts

FAILURE_SMOOTHING = 0.25
FAILURE_DECAY_SECONDS = 5.0
FIRST_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
# The instance list may lag by its own delay, a read and a poll.
MAX_LIST_LAG_SECONDS = 2.5
MAX_REPORT_AGE_SECONDS = 1.0
# Beyond what was predicted, after which a server that sends nothing on any
# connection is left: over the pauses of 0.6 s that callers count as late.
SILENCE_TIMEOUT_SECONDS = 0.75
# Plain calls differ in how long they take, and send nothing meanwhile.
SILENCE_SERVICE_TIME_FACTOR = 4.0
SILENCE_CHECK_SECONDS = 0.1


@dataclasses.dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request of this VM at a server.

    :ivar tokens_before: tokens that must be read before its first event.
    :ivar awaited_since: timer seconds from which the server owes something:
        an answer from when it was predicted, a chunk from when the last one
        was passed on. None while the caller does not read.
    :ivar waiting: ended when the request is to go elsewhere.
    :ivar may_move: takes a repeat, and returns whether there is one.
    """

    sent_at: float
    uncached_tokens: float
    prefill_tokens: float
    waiting_since: float | None
    acquire_reroute: collections.abc.Callable[[], bool]
    response_scope: anyio.CancelScope | None = None
    has_response: bool = False


class Server:
    """One instance, as this VM sees it."""

    def __init__(
        self, instance: instances.Instance, memory_tokens: int, now: float
    ) -> None:
        self.instance = instance
        self.queued_tokens = 0.0
        self.in_flight: set[InFlightRequest] = set()
        self.last_activity_at = now
        self.event_interval = generations.EventInterval(now)
        self.prefill_rate = engine_model.INITIAL_PREFILL_RATE
        self.service_seconds = engine_model.INITIAL_SERVICE_SECONDS
        self.has_service_time = False
        self.failure_rate = 0.0
        self.failure_rate_at = now
        self.ejected_until = 0.0
        self.ejections = 0
        self.cold_until = 0.0
        self.cold_pacer = cold_pacing.SendPacer(now)
        self.prefix_cache = prompts.PrefixCacheModel(memory_tokens)
        self.reported_load: ports.ReportedLoad | None = None
        self.reported_at = -1e9

    @property
    def in_flight_count(self) -> int:
        return len(self.in_flight)

    def update(
        self, instance: instances.Instance, memory_tokens: int, now: float
    ) -> None:
        """Takes over what the list says of it."""
        if instance.born != self.instance.born:
            self.prefix_cache = prompts.PrefixCacheModel(memory_tokens)
            self.ejected_until = 0.0
            self.cold_until = now + MAX_LIST_LAG_SECONDS
        self.instance = instance

    def is_cold(self, now: float) -> bool:
        return self.instance.is_cold or now < self.cold_until

    def estimate_load(
        self, peer_totals: list[float], now: float
    ) -> engine_model.EngineLoad:
        """Returns what is thought to be at the server.

        :param others: waiting tokens and requests of other entry VMs.
        """
        peer_tokens, peer_requests = peer_totals
        running = self.in_flight_count + peer_requests
        if (
            self.reported_load is not None
            and now - self.reported_at < MAX_REPORT_AGE_SECONDS
        ):
            reported = self.reported_load.running + self.reported_load.waiting
            running = max(running, float(reported))
        return engine_model.EngineLoad(
            self.queued_tokens + peer_tokens,
            running,
            max(1, self.instance.slots),
            self.prefill_rate,
            self.service_seconds,
        )

    def record_start(self, request: InFlightRequest) -> None:
        """Takes in that a request is sent."""
        self.in_flight.add(request)
        self.queued_tokens += request.uncached_tokens

    def silent_seconds(self, now: float) -> float:
        """Returns for how long it has owed this VM a sign of life."""
        waiting_since = [
            one.waiting_since
            for one in self.in_flight
            if one.waiting_since is not None
        ]
        if not waiting_since:
            return 0.0
        return max(0.0, now - max(self.last_activity_at, min(waiting_since)))

    @property
    def silence_timeout(self) -> float:
        """Seconds of silence after which this server is left."""
        if self.prefix_cache.capacity:
            return SILENCE_TIMEOUT_SECONDS
        if not self.has_service_time:
            return math.inf
        return max(
            SILENCE_TIMEOUT_SECONDS,
            SILENCE_SERVICE_TIME_FACTOR * self.service_seconds,
        )

    def eject_silent(self, now: float) -> None:
        """Gives a silent server nothing new, and sends elsewhere what may."""
        eliot.log_message(
            'server:silent',
            server=self.instance.name,
            silence=round(self.silent_seconds(now), 3),
            running=self.in_flight_count,
        )
        # Its silence begins anew.
        self.last_activity_at = now
        self.record_outcome(True, now)
        self.eject(now)
        for one in self.in_flight:
            waiting = one.response_scope
            if (
                waiting is not None
                and not one.has_response
                and one.acquire_reroute()
            ):
                waiting.cancel()

    def record_first_byte(self, request: InFlightRequest, now: float) -> None:
        """Takes in that a request's first bytes have arrived."""
        if request.has_response:
            return
        request.has_response = True
        request.waiting_since = None
        self.last_activity_at = now
        self.queued_tokens = max(
            0.0, self.queued_tokens - request.uncached_tokens
        )
        if request.prefill_tokens:
            self.prefill_rate = engine_model.update_prefill_rate(
                self.prefill_rate,
                request.prefill_tokens,
                now - request.sent_at,
            )

    def record_end(
        self, request: InFlightRequest, now: float, is_complete: bool
    ) -> None:
        """Takes in that a request is over."""
        self.in_flight.discard(request)
        if not request.has_response:
            self.queued_tokens = max(
                0.0, self.queued_tokens - request.uncached_tokens
            )
        if is_complete:
            smoothing = (
                engine_model.SERVICE_SMOOTHING
                if self.has_service_time
                else 1.0
            )
            self.has_service_time = True
            self.service_seconds += smoothing * (
                now - request.sent_at - self.service_seconds
            )

    def current_failure_rate(self, now: float) -> float:
        elapsed = now - self.failure_rate_at
        return self.failure_rate * math.exp(-elapsed / FAILURE_DECAY_SECONDS)

    def record_outcome(self, has_failed: bool, now: float) -> None:
        rate = self.current_failure_rate(now)
        self.failure_rate = rate + FAILURE_SMOOTHING * (has_failed - rate)
        self.failure_rate_at = now
        if not has_failed:
            self.ejections = 0

    def eject(self, now: float) -> None:
        """Leaves out a server that cannot be reached."""
        pause = FIRST_EJECTION_SECONDS * 2**self.ejections
        self.ejections = min(self.ejections + 1, 8)
        self.ejected_until = now + min(MAX_EJECTION_SECONDS, pause)
        # What comes back at the address may have just started.
        self.cold_until = self.ejected_until + MAX_LIST_LAG_SECONDS


class ServerPool:
    """The servers of this region, kept up to date with the fleet's view.

    :param regions: the region of each failure domain.
    """

    def __init__(
        self, view: agents.FleetView, region: str, regions: dict[str, str]
    ) -> None:
        self.view = view
        self.region = region
        self.region_by_domain = regions
        self.servers: dict[str, Server] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.moved: set[str] = set()

    def update(self, now: float) -> None:
        """Takes over the instance list and the evacuations."""
        view = self.view
        configuration = view.configuration
        readmitted = self.evacuated - view.evacuated_domains
        self.evacuated = view.evacuated_domains
        here = {
            name: one
            for name, one in view.instances.items()
            if self.region_by_domain.get(one.domain) == self.region
        }
        self.moved &= set(here)
        for name in set(self.servers) - set(here):
            del self.servers[name]
        for name, one in here.items():
            cache_tokens = 0
            if configuration is not None:
                service = configuration.services.get(one.service)
                cache_tokens = service.kv_cache_tokens if service else 0
            if name in self.servers:
                self.servers[name].update(one, cache_tokens, now)
            else:
                self.servers[name] = Server(one, cache_tokens, now)
            if one.domain in readmitted:
                self.servers[name].cold_until = now + MAX_LIST_LAG_SECONDS

    def local_backlog(self) -> dict[str, list[float]]:
        """Returns tokens to be read and requests that this VM has at each."""
        return {
            name: [round(one.queued_tokens), one.in_flight_count]
            for name, one in self.servers.items()
            if one.in_flight_count
        }

    def eject_silent_servers(self, now: float) -> None:
        """Finds the servers that have fallen silent."""
        for server in self.servers.values():
            if server.silent_seconds(now) > server.silence_timeout:
                server.eject_silent(now)

    def mark_moved(self, name: str) -> None:
        """Leaves out an instance that is not at its address any more."""
        self.moved.add(name)

    def usable_servers(
        self,
        service: configurations.Service,
        now: float,
        excluded: frozenset[str] | set[str] = frozenset(),
    ) -> list[Server]:
        """Returns the servers that may get a request now."""
        listed = instances.usable(
            self.view.instances,
            service.name,
            self.region,
            self.region_by_domain,
            self.view.evacuated_domains,
        )
        return [
            self.servers[one.name]
            for one in listed
            if one.name in self.servers
            and one.name not in excluded
            and one.name not in self.moved
            and self.servers[one.name].ejected_until <= now
        ]
