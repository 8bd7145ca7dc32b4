"""The state of the region's backend servers as one entry VM sees it."""

import collections
import collections.abc
import dataclasses
import math
import typing

import anyio
import eliot

from . import cost_distribution
from . import departures
from . import engine_model
from ..fleet import agent as agents
from ..fleet import configuration as configurations
from ..fleet import instances
from ..fleet import server_notices
from . import generations
from . import ports
from . import prompts
from . import remaining_work
from . import request_limits
from . import send_pacing
from . import server_speed
from . import stream_origins

FAILURE_SMOOTHING = 0.25
FAILURE_DECAY_SECONDS = 5.0
FIRST_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
# The instance list lags by at most its own delay, a read and a poll.
MAX_LIST_LAG_SECONDS = 2.5
MAX_REPORT_AGE_SECONDS = 1.0
# A server that sends nothing on any connection for this time beyond the
# predicted wait gets no new requests while there are others. Longer than the
# 0.6 s pauses that count as late.
SUSPECT_SECONDS = 0.75
# After this time, it is ejected and what it has not begun is sent elsewhere.
# Healthy servers may be silent for about one second.
SILENCE_TIMEOUT_SECONDS = 1.2
# Non-streaming calls vary in duration and send nothing until they respond.
SILENCE_SERVICE_TIME_FACTOR = 4.0
SILENCE_CHECK_SECONDS = 0.1
# Interval of the attempts to connect to an ejected server.
PROBE_SECONDS = 1.0
# Typical duration of a stream, over which a server's slowdown averages out.
STREAM_SECONDS = 1.0
# A server that the list has lost is remembered for this time, since a single
# unreadable entry makes a server disappear from one version of the list.
UNLISTED_RETENTION_SECONDS = 30.0


@dataclasses.dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request of this VM that runs on a server.

    :ivar uncached_tokens: prompt tokens that the server has not cached.
    :ivar prefill_tokens: tokens to be prefilled before its first event.
    :ivar waiting_since: timer seconds from which the server's silence counts:
        for a response the predicted time, for a chunk the time at which the
        previous one was passed on. None while the client does not read.
    :ivar acquire_reroute: acquires a retry on another server, and returns
        whether there was one; called with whether it may be a server that
        only other VMs reach.
    :ivar response_scope: cancelled to send the request to another server.
    :ivar interrupt: ends the read of a stream that is to be resumed elsewhere.
    :ivar timed_events: events after the first one that were read at once.
    :ivar timed_seconds: sum of the intervals before these.
    :ivar is_rerouted: whether it was cancelled for that.
    :ivar cost: predicted distribution of its events; None if unknown.
    :ivar event_count: events that were received.
    """

    sent_at: float
    uncached_tokens: float
    prefill_tokens: float
    waiting_since: float | None
    acquire_reroute: collections.abc.Callable[[bool], bool]
    response_scope: anyio.CancelScope | None = None
    interrupt: collections.abc.Callable[[], None] | None = None
    has_response: bool = False
    timed_events: int = 0
    timed_seconds: float = 0.0
    is_rerouted: bool = False
    cost: cost_distribution.Distribution | None = None
    event_count: int = 0


class Server:
    """The state of one instance as this VM sees it.

    :ivar last_activity_at: timer seconds at which it last sent anything.
    :ivar has_service_time: whether a service time was measured.
    :ivar failure_rate: average of recent outcomes as of ``failure_rate_at``.
    :ivar cold_until: timer seconds until which it counts as cold even if the
        instance list does not say so.
    :ivar needs_probe: whether it gets no requests until it accepts a
        connection, since it was ejected.
    :ivar paused_until: timer seconds until which it wants no requests from
        this VM.
    :ivar prefill_rate: prompt tokens a second when it is not slowed down.
    :ivar service_seconds: mean service time when it is not slowed down.

    :param durations: typical durations of its service.
    """

    def __init__(
        self,
        instance: instances.Instance,
        memory_tokens: int,
        durations: server_speed.ServiceDurations,
        now: float,
    ) -> None:
        self.instance = instance
        self.durations = durations
        self.speed = server_speed.ServerSpeed(durations, now)
        self.queued_tokens = 0.0
        self.in_flight: set[InFlightRequest] = set()
        self.last_activity_at = now
        self.event_interval = generations.EventInterval(now)
        self.recent_work = remaining_work.RecentWork(now)
        self.prefill_rate = engine_model.INITIAL_PREFILL_RATE
        self.service_seconds = engine_model.INITIAL_SERVICE_SECONDS
        self.has_service_time = False
        self.failure_rate = 0.0
        self.failure_rate_at = now
        self.ejected_until = 0.0
        self.ejections = 0
        self.needs_probe = False
        self.is_suspect = False
        self.cold_until = 0.0
        self.paused_until = 0.0
        self.pacer = send_pacing.SendPacer()
        self.prefix_cache = prompts.PrefixCacheModel(memory_tokens)
        self.reported_load: ports.ReportedLoad | None = None
        self.reported_at = -1e9

    @property
    def in_flight_count(self) -> int:
        return len(self.in_flight)

    def update(
        self, instance: instances.Instance, memory_tokens: int, now: float
    ) -> None:
        """Updates the server from its entry in the instance list."""
        if instance.born != self.instance.born:
            self.prefix_cache = prompts.PrefixCacheModel(memory_tokens)
            self.ejected_until = 0.0
            self.needs_probe = False
            self.paused_until = 0.0
            self.speed = server_speed.ServerSpeed(self.durations, now)
            self.recent_work = remaining_work.RecentWork(now)
            self.cold_until = now + MAX_LIST_LAG_SECONDS
        self.instance = instance

    def is_cold(self, now: float) -> bool:
        return self.instance.is_cold or now < self.cold_until

    def predict_wait(
        self,
        prompt: prompts.Prompt | None,
        peer_totals: collections.abc.Sequence[float],
        now: float,
    ) -> tuple[float, int]:
        """Returns seconds until the response begins, and uncached tokens.

        :param prompt: None for a request that is no generation.
        :param peer_totals: queued tokens and requests of other entry VMs.
        """
        predictions = predict_all([self], prompt, lambda _: peer_totals, now)
        return predictions.waits[0], predictions.uncached_tokens[0]

    def current_prefill_rate(
        self, now: float, queued_tokens: float = 0.0
    ) -> float:
        """Returns the prompt tokens a second at the present slowdown.

        :param queued_tokens: tokens that are prefilled at this rate.
        """
        seconds = queued_tokens / self.prefill_rate
        return self.prefill_rate / self.speed.slowdown(now, seconds)

    def current_event_interval(self, now: float) -> float:
        """Returns the predicted seconds between the events of a stream."""
        interval = generations.DEFAULT_EVENT_INTERVAL_SECONDS
        if self.event_interval.average != interval:
            interval = self.event_interval.current_seconds(
                now, interval / self.speed.distinct_speed(now)
            )
        if self.speed.reported is None:
            return interval
        return interval * self.speed.slowdown(now, STREAM_SECONDS)

    def busy_share(self, now: float) -> float:
        """Returns the share of its slots that are busy."""
        slots = max(1, self.instance.slots)
        if (
            self.reported_load is not None
            and now - self.reported_at < MAX_REPORT_AGE_SECONDS
        ):
            return self.reported_load.running / slots
        return self.in_flight_count / slots

    def record_load(self, load: ports.ReportedLoad, now: float) -> None:
        """Records the load that the server reported with a response."""
        self.reported_load = load
        self.reported_at = now
        if load.slowdown is not None:
            self.speed.record_report(load.slowdown, now)

    def record_events(
        self, request: InFlightRequest, count: int, seconds: float, now: float
    ) -> None:
        """Records that ``count`` events of a stream took some seconds."""
        request.timed_events += count
        request.timed_seconds += seconds
        self.event_interval.update(
            count, seconds / self.speed.slowdown(now), now
        )

    def record_start(self, request: InFlightRequest) -> None:
        """Records that a request is sent."""
        self.in_flight.add(request)
        self.queued_tokens += request.uncached_tokens

    def silent_seconds(self, now: float) -> float:
        """Returns the seconds for which an expected response is overdue."""
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
        """Seconds of silence after which the server is ejected."""
        if self.prefix_cache.capacity:
            return SILENCE_TIMEOUT_SECONDS
        if not self.has_service_time:
            return math.inf
        return max(
            SILENCE_TIMEOUT_SECONDS,
            SILENCE_SERVICE_TIME_FACTOR * self.service_seconds,
        )

    def eject_silent(self, now: float) -> None:
        """Ejects a silent server and reroutes its requests if possible."""
        eliot.log_message(
            'server:silent',
            server=self.instance.name,
            silence=round(self.silent_seconds(now), 3),
            running=self.in_flight_count,
        )
        # Restart the measurement of silence.
        self.last_activity_at = now
        self.record_outcome(True, now)
        self.eject(now)
        self.reroute_waiting(may_leave=False)

    def reroute_waiting(self, may_leave: bool) -> None:
        """Sends the requests without a response elsewhere, if possible.

        :param may_leave: whether other VMs may run them.
        """
        for one in self.in_flight:
            scope = one.response_scope
            if (
                scope is not None
                and not one.has_response
                and one.acquire_reroute(may_leave)
            ):
                one.is_rerouted = True
                scope.cancel()

    def interrupt_streams(self) -> None:
        """Has the streams that wait for a lost server resumed elsewhere."""
        for one in list(self.in_flight):
            if one.interrupt is not None and one.waiting_since is not None:
                one.interrupt()

    def record_first_byte(self, request: InFlightRequest, now: float) -> None:
        """Records that the response to a request has begun."""
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
                self.speed.slowdown(now, now - request.sent_at),
            )

    def record_end(
        self, request: InFlightRequest, now: float, is_complete: bool
    ) -> None:
        """Records that a request has ended.

        :param is_complete: whether the whole response was received.
        """
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
            self.record_duration(request, now)
            seconds = now - request.sent_at
            seconds /= self.speed.slowdown(now, seconds)
            self.service_seconds += smoothing * (
                seconds - self.service_seconds
            )

    def record_duration(self, request: InFlightRequest, now: float) -> None:
        """Records how long a complete response took, for the speed."""
        if request.timed_events:
            kind = server_speed.EVENT
            seconds = request.timed_seconds / request.timed_events
        elif not self.prefix_cache.capacity:
            kind, seconds = server_speed.CALL, now - request.sent_at
        else:
            # The first event alone measures the queue before the prompt.
            return
        self.speed.record_duration(kind, self.busy_share(now), seconds, now)

    def current_failure_rate(self, now: float) -> float:
        elapsed = now - self.failure_rate_at
        return self.failure_rate * math.exp(-elapsed / FAILURE_DECAY_SECONDS)

    def record_outcome(self, has_failed: bool, now: float) -> None:
        rate = self.current_failure_rate(now)
        self.failure_rate = rate + FAILURE_SMOOTHING * (has_failed - rate)
        self.failure_rate_at = now
        if not has_failed:
            self.ejections = 0

    def pause(self, seconds: float, now: float) -> None:
        """Excludes the server for as long as it wants no requests.

        It has no capacity, but has not failed, so the pause is not held
        against it. A shorter pause does not replace a longer one.
        """
        self.paused_until = max(self.paused_until, now + seconds)
        eliot.log_message(
            'server:paused',
            server=self.instance.name,
            seconds=round(seconds, 3),
        )

    def eject(self, now: float) -> None:
        """Excludes the server for a time that doubles with each ejection."""
        pause = FIRST_EJECTION_SECONDS * 2**self.ejections
        self.ejections = min(self.ejections + 1, 8)
        self.needs_probe = True
        self.ejected_until = now + min(MAX_EJECTION_SECONDS, pause)
        # The instance may have restarted by then.
        self.cold_until = self.ejected_until + MAX_LIST_LAG_SECONDS

    def record_probe(self, accepts: bool, now: float) -> None:
        """Records whether an ejected server accepts connections."""
        if accepts:
            self.needs_probe = False
            self.ejected_until = now
            eliot.log_message('server:reachable', server=self.instance.name)
        else:
            self.ejected_until = max(self.ejected_until, now + PROBE_SECONDS)
            self.cold_until = self.ejected_until + MAX_LIST_LAG_SECONDS


class Predictions(typing.NamedTuple):
    """What is predicted for a new request, in parallel lists by server.

    :ivar waits: seconds until the response begins.
    :ivar uncached_tokens: prompt tokens that the server has not cached.
    :ivar prefill_rates: prompt tokens a second; no meaning without a prompt.
    :ivar event_intervals: seconds between events; no meaning without one.
    """

    waits: list[float]
    uncached_tokens: list[int]
    prefill_rates: list[float]
    event_intervals: list[float]


def predict_all(
    servers: collections.abc.Iterable[Server],
    prompt: prompts.Prompt | None,
    peer_totals_of: collections.abc.Callable[
        [str], collections.abc.Sequence[float]
    ],
    now: float,
) -> Predictions:
    """Returns what is predicted for a new request at some servers.

    One loop without calls for a server in its usual state, since it runs for
    each server and request.

    :param prompt: None for a request that is no generation.
    :param peer_totals_of: returns queued tokens and requests of other entry
        VMs at a server.
    """
    predictions = Predictions([], [], [], [])
    add_wait, add_tokens, add_rate, add_interval = (
        one.append for one in predictions
    )
    first_segment = None
    if prompt is not None and prompt.segments:
        first_segment = prompt.segments[0].name
    oldest_report = now - MAX_REPORT_AGE_SECONDS
    default_interval = generations.DEFAULT_EVENT_INTERVAL_SECONDS
    for server in servers:
        instance = server.instance
        peer_tokens, peer_requests = peer_totals_of(instance.name)
        running = len(server.in_flight) + peer_requests
        if server.reported_at > oldest_report:
            load = server.reported_load
            running = max(running, float(load.running + load.waiting))
        slots = instance.slots
        is_steady = server.speed.reported is None
        wait = 0.0
        if prompt is None or running >= slots:
            service_seconds = server.service_seconds
            if not is_steady:
                service_seconds *= server.speed.slowdown(now, service_seconds)
            if running >= slots:
                wait = engine_model.slot_wait_seconds(
                    running, slots, service_seconds
                )
        rate = server.prefill_rate
        interval = default_interval
        uncached_tokens = 0
        if prompt is None:
            wait += service_seconds
        else:
            uncached_tokens = prompt.tokens
            if first_segment in server.prefix_cache.cached_segments:
                uncached_tokens -= server.prefix_cache.cached_tokens(prompt)
            queued_tokens = server.queued_tokens + peer_tokens
            present_rate = rate
            if not is_steady:
                rate = server.current_prefill_rate(now)
                present_rate = server.current_prefill_rate(now, queued_tokens)
            wait += engine_model.BASE_LATENCY_SECONDS + (
                (queued_tokens + uncached_tokens) / present_rate
            )
            if (
                not is_steady
                or server.event_interval.average != default_interval
            ):
                interval = server.current_event_interval(now)
        add_wait(wait)
        add_tokens(uncached_tokens)
        add_rate(rate)
        add_interval(interval)
    return predictions


class ServerPool:
    """The servers of this region, updated from the fleet view.

    :param region_by_domain: the region of each failure domain.
    :ivar servers: servers by name, including those lost from the list.
    :ivar has_suspects: whether any server has been silent for so long that
        it gets no new requests while there are others.
    :ivar listed_at: timer seconds at which each server was last listed.
    :ivar usable_instances: those of ``filtered_list`` in this region, by
        service.
    :ivar filtered_list: instance list and evacuated domains from which they
        were computed. Both are replaced as a whole when they change.
    :ivar known_servers: the servers of ``usable_instances``, by service.
    """

    def __init__(
        self,
        view: agents.FleetView,
        region: str,
        region_by_domain: dict[str, str],
    ) -> None:
        self.view = view
        self.region = region
        self.region_by_domain = region_by_domain
        self.servers: dict[str, Server] = {}
        self.has_suspects = False
        self.listed_at: dict[str, float] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.moved: set[str] = set()
        self.leaving = departures.LeavingServers()
        self.limits = request_limits.NamedLimits()
        self.rejection_limits = request_limits.NamedLimits(
            request_limits.REJECTION_LIMIT_EVENTS
        )
        self.software_versions = stream_origins.SoftwareVersions()
        self.usable_instances: dict[str, list[instances.Instance]] = {}
        self.filtered_list: tuple[dict, frozenset[str]] | None = None
        self.known_servers: dict[str, list[Server]] = {}
        self.durations: dict[str, server_speed.ServiceDurations] = (
            collections.defaultdict(server_speed.ServiceDurations)
        )

    def update(self, now: float) -> None:
        """Updates the servers from the instance list and the evacuations.

        :param now: timer seconds.
        """
        self.known_servers.clear()
        view = self.view
        configuration = view.configuration
        readmitted = self.evacuated - view.evacuated_domains
        self.evacuated = view.evacuated_domains
        local_instances = {
            name: one
            for name, one in view.instances.items()
            if self.region_by_domain.get(one.domain) == self.region
        }
        self.leaving.update(local_instances.values(), now)
        self.limits.update(local_instances.values(), now)
        self.rejection_limits.update(local_instances.values(), now)
        self.software_versions.update(view.instances.values(), now)
        self.listed_at.update(dict.fromkeys(local_instances, now))
        for name, listed_at in list(self.listed_at.items()):
            if now - listed_at > UNLISTED_RETENTION_SECONDS:
                del self.listed_at[name]
                self.servers.pop(name, None)
                self.moved.discard(name)
        for name, one in local_instances.items():
            cache_tokens = 0
            if configuration is not None:
                service = configuration.services.get(one.service)
                cache_tokens = service.kv_cache_tokens if service else 0
            if name in self.servers:
                self.servers[name].update(one, cache_tokens, now)
            else:
                self.servers[name] = Server(
                    one, cache_tokens, self.durations[one.service], now
                )
            if one.domain in readmitted:
                self.servers[name].cold_until = now + MAX_LIST_LAG_SECONDS
        if view.notices is not None and self.servers:
            self.apply_notices(view.notices, now)
            view.notices = None

    def report_notices(self, now: float) -> list | None:
        """Returns what servers have asked this VM for, for control VMs."""
        notices = server_notices.ServerNotices(
            tuple(self.leaving.expiry),
            {
                departures.run_of(one.instance): one.paused_until - now
                for one in self.servers.values()
                if one.paused_until > now
            },
        )
        if not notices.leaving and not notices.pauses:
            return None
        return notices.pack()

    def apply_notices(
        self, notices: server_notices.ServerNotices, now: float
    ) -> None:
        """Applies what servers asked for before this VM started."""
        self.leaving.merge(notices.leaving, now)
        for one in self.servers.values():
            seconds = notices.pauses.get(departures.run_of(one.instance))
            if seconds:
                one.pause(seconds, now)

    def local_backlog(self) -> dict[str, list[float]]:
        """Returns this VM's queued tokens and requests, by server."""
        return {
            name: [round(one.queued_tokens), one.in_flight_count]
            for name, one in self.servers.items()
            if one.in_flight_count
        }

    def eject_silent_servers(self, now: float) -> None:
        """Ejects the servers whose silence exceeds their timeout."""
        for server in self.servers.values():
            silent_seconds = server.silent_seconds(now)
            timeout = server.silence_timeout
            server.is_suspect = (
                silent_seconds
                > timeout - SILENCE_TIMEOUT_SECONDS + SUSPECT_SECONDS
            )
            if silent_seconds > timeout:
                server.eject_silent(now)
        self.has_suspects = any(
            one.is_suspect for one in self.servers.values()
        )

    def is_present(self, instance: instances.Instance) -> bool:
        """Returns whether a server is listed and is not known to leave."""
        return (
            instance.name in self.view.instances
            and instance.name not in self.moved
            and instance not in self.leaving
        )

    def start_probes(self, now: float) -> list[Server]:
        """Returns the servers to which a connection is to be opened now."""
        servers = [
            one
            for name, one in self.servers.items()
            if one.needs_probe
            and one.ejected_until <= now
            and name in self.view.instances
        ]
        for one in servers:
            # No other probe begins until this one has ended.
            one.ejected_until = now + PROBE_SECONDS
        return servers

    def mark_moved(self, name: str) -> None:
        """Excludes an instance that another one replaced at its address."""
        self.moved.add(name)

    def record_notice(
        self,
        instance: instances.Instance,
        notice: ports.ServerNotice,
        asked_at: float,
        now: float,
    ) -> None:
        """Records what a server said of itself in a response.

        :param instance: the server as it was when the request was sent; a
            later run of the same name is not affected.
        :param asked_at: timer seconds when the request was sent.
        """
        run = departures.run_of(instance)
        for limits, limit in (
            (self.limits, notice.request_limit),
            (self.rejection_limits, notice.rejection_limit),
        ):
            if limit is not None:
                limits.record(run, limit, asked_at, now)
        if notice.is_leaving:
            self.leaving.record_announcement(instance, now)
        server = self.servers.get(instance.name)
        if (
            notice.pause_seconds
            and server is not None
            and server.instance.born == instance.born
        ):
            server.pause(notice.pause_seconds, now)

    def is_brittle(self, server: Server) -> bool:
        """Returns whether a server crashes if it has to reject requests."""
        return math.isfinite(self.rejection_limit_of(server))

    def brittle_slots(self, service: str) -> dict[departures.Run, int]:
        """Returns the slots of the brittle servers of a service, by run."""
        return {
            departures.run_of(one.instance): max(1, one.instance.slots)
            for name, one in self.servers.items()
            if one.instance.service == service
            and name in self.view.instances
            and self.is_brittle(one)
        }

    def rejection_limit_of(self, server: Server) -> float:
        """Returns how many requests a second a server can reject.

        A run that has said nothing yet, such as one that has just started, is
        as brittle as the others of its service.

        :returns: infinity if it is not brittle.
        """
        limits = self.rejection_limits
        if not limits.by_run or limits.is_known(server.instance):
            return limits.rate_of(server.instance)
        return min(
            (
                limits.rate_of(one.instance)
                for name, one in self.servers.items()
                if one.instance.service == server.instance.service
                and name in self.view.instances
            ),
            default=math.inf,
        )

    def record_rejection(
        self, server: Server, sharing_count: int, now: float
    ) -> None:
        """Pauses a brittle server that rejected a request.

        :param sharing_count: entry VMs that send to the server.
        """
        limit = self.rejection_limit_of(server)
        if math.isfinite(limit):
            server.pause(
                request_limits.rejection_pause(limit, sharing_count), now
            )

    def is_leaving(self, instance: instances.Instance) -> bool:
        """Returns whether a run is known to be leaving or evacuated."""
        listed = self.view.instances.get(instance.name, instance)
        return (
            listed.is_leaving
            or instance in self.leaving
            or instance.domain in self.view.evacuated_domains
        )

    def pauses(
        self, service: configurations.Service, now: float
    ) -> list[float]:
        """Returns the seconds until each paused server is usable."""
        pauses = [
            self.servers[one.name].paused_until - now
            for one in self.listed_instances(service)
            if one.name in self.servers
        ]
        return [one for one in pauses if one > 0]

    def listed_instances(
        self, service: configurations.Service
    ) -> list[instances.Instance]:
        """Returns the instances that are not leaving, moved or evacuated."""
        listed = self.filter_instances(service.name)
        if not self.moved and not self.leaving.expiry:
            return listed
        return [
            one
            for one in listed
            if one.name not in self.moved and one not in self.leaving
        ]

    def filter_instances(self, service: str) -> list[instances.Instance]:
        """Returns the usable instances of a service in this region.

        They are computed once for each instance list.
        """
        source = (self.view.instances, self.view.evacuated_domains)
        known = self.filtered_list
        if (
            known is None
            or known[0] is not source[0]
            or known[1] is not source[1]
        ):
            self.filtered_list = source
            self.usable_instances.clear()
            self.known_servers.clear()
        listed = self.usable_instances.get(service)
        if listed is None:
            listed = self.usable_instances[service] = instances.usable(
                self.view.instances,
                service,
                self.region,
                self.region_by_domain,
                self.view.evacuated_domains,
            )
        return listed

    def usable_servers(
        self,
        service: configurations.Service,
        now: float,
        excluded: frozenset[str] | set[str] = frozenset(),
    ) -> list[Server]:
        """Returns the servers of a service that may get a request now.

        :param excluded: names of servers to leave out.
        """
        usable = [
            one
            for one in self.listed_servers(service)
            if one.ejected_until <= now
            and one.paused_until <= now
            and not one.needs_probe
        ]
        if excluded:
            usable = [
                one for one in usable if one.instance.name not in excluded
            ]
        if self.has_suspects:
            return [one for one in usable if not one.is_suspect] or usable
        return usable

    def listed_servers(self, service: configurations.Service) -> list[Server]:
        """Returns the servers of the listed instances.

        They are computed once for each instance list, unless a server is
        known to be leaving or to have moved.
        """
        listed = self.listed_instances(service)
        is_filtered = self.moved or self.leaving.expiry
        known = None if is_filtered else self.known_servers.get(service.name)
        if known is None:
            known = [
                self.servers[one.name]
                for one in listed
                if one.name in self.servers
            ]
            if not is_filtered:
                self.known_servers[service.name] = known
        return known
