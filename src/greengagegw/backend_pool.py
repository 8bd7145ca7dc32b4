"""Load and health of the backend servers in this VM's region."""

import collections.abc

import eliot

from . import settings as settings_module
from . import timers as timer_service
from .policy import routing
from .ports import backends

FAILURES_BEFORE_EJECTION = 5
FIRST_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
# Below this share of healthy backend servers, ejections are ignored.
MIN_HEALTHY_SHARE = 0.5
SERVICE_TIME_SMOOTHING = 0.1
# The capacity of a backend server that comes back into use grows linearly
# from the initial share to all of it within this time.
WARM_UP_SECONDS = 10.0
WARM_UP_INITIAL_SHARE = 0.25
# Additive increase and multiplicative decrease of the concurrency limit.
LIMIT_INCREASE = 0.5
LIMIT_DECREASE_FACTOR = 0.8
MIN_LIMIT = 1.0


class ServerState:
    """Load, health and concurrency limit of one backend server.

    :ivar in_flight: requests that this VM has in flight there.
    :ivar in_flight_at_report: the same when the last report arrived.
    :ivar is_leaving: it drains and gets no new requests.
    :ivar failures: consecutive failures since the last success or ejection.
    :ivar limit: requests that it may hold, adapted to its rejections.
    """

    def __init__(
        self,
        settings: settings_module.BackendServer,
        port: backends.BackendPort,
        now: float,
    ) -> None:
        self.settings = settings
        self.port = port
        self.in_flight = 0
        self.in_flight_at_report = 0
        self.report: backends.LoadReport | None = None
        self.is_leaving = False
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.limit = float(settings.slots)
        self.warm_up_started_at = now - WARM_UP_SECONDS

    @property
    def name(self) -> str:
        return self.settings.name

    def load(self, now: float) -> float:
        """Returns the estimated requests it holds, from all VMs."""
        if self.report is None:
            return self.in_flight
        return routing.estimate_load(
            self.in_flight,
            self.report.running + self.report.waiting,
            self.in_flight_at_report,
            now - self.report.received_at,
        )

    def capacity(self, now: float) -> float:
        """Returns how many requests it may hold, reduced while it warms up."""
        progress = (now - self.warm_up_started_at) / WARM_UP_SECONDS
        share = min(
            1.0, WARM_UP_INITIAL_SHARE + (1 - WARM_UP_INITIAL_SHARE) * progress
        )
        return max(MIN_LIMIT, min(self.limit, self.settings.slots) * share)

    def record_report(self, report: backends.LoadReport) -> None:
        self.report = report
        self.in_flight_at_report = self.in_flight
        if self.is_leaving and not report.leaving:
            self.warm_up_started_at = report.received_at
        self.is_leaving = report.leaving

    def record_success(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.limit = min(
            self.settings.slots,
            self.limit + LIMIT_INCREASE / max(1.0, self.limit),
        )

    def record_rejection(self) -> None:
        """Lowers the concurrency limit after a rejection for overload."""
        self.limit = max(MIN_LIMIT, self.limit * LIMIT_DECREASE_FACTOR)


class ServicePool:
    """The backend servers of one service in this region.

    :ivar mean_seconds: smoothed duration of a request.
    :ivar waiting: requests in this VM's queue for the service.
    :ivar listeners: called after each load report.
    """

    def __init__(self, name: str, kind: str) -> None:
        self.name = name
        self.kind = kind
        self.servers: list[ServerState] = []
        self.models: set[str] = set()
        self.mean_seconds = 1.0
        self.waiting = 0
        self.listeners: list[collections.abc.Callable[[], None]] = []

    def usable_servers(self, now: float) -> list[ServerState]:
        """Returns the backend servers that may get new requests.

        Ejected ones are included when too few healthy ones are left.
        """
        active = [one for one in self.servers if not one.is_leaving]
        healthy = [one for one in active if one.ejected_until <= now]
        min_healthy = MIN_HEALTHY_SHARE * len(active)
        return healthy if len(healthy) >= min_healthy else active

    def candidates(
        self, now: float, excluded: frozenset[str] = frozenset()
    ) -> list[routing.Candidate]:
        return [
            routing.Candidate(one.name, one.load(now), one.capacity(now))
            for one in self.usable_servers(now)
            if one.name not in excluded
        ]

    def record_duration(self, seconds: float) -> None:
        change = SERVICE_TIME_SMOOTHING * (seconds - self.mean_seconds)
        self.mean_seconds += change

    def record_failure(self, server: ServerState, now: float) -> None:
        """Counts a failure; ejects the server after several in a row."""
        server.failures += 1
        if server.failures < FAILURES_BEFORE_EJECTION:
            return
        server.failures = 0
        server.ejections += 1
        seconds = FIRST_EJECTION_SECONDS * 2 ** (server.ejections - 1)
        seconds = min(MAX_EJECTION_SECONDS, seconds)
        server.ejected_until = now + seconds
        server.warm_up_started_at = server.ejected_until
        eliot.log_message(
            'backend_server:ejected',
            backend_server=server.name,
            seconds=seconds,
        )

    def notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()


class BackendPool:
    """The backend servers of this region, by service and by name.

    :ivar service_kinds: kind of each service of any region.
    :ivar service_by_model: service of each model of any region.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        timers: timer_service.Timers,
        make_port: collections.abc.Callable[
            [settings_module.BackendServer], backends.BackendPort
        ],
    ) -> None:
        self.settings = settings
        self.timers = timers
        self.services: dict[str, ServicePool] = {}
        self.by_name: dict[str, ServerState] = {}
        self.service_kinds: dict[str, str] = {}
        self.service_by_model: dict[str, str] = {}
        for one in settings.backend_servers:
            self.service_kinds[one.service] = one.kind
            for model in one.models or (one.service,):
                self.service_by_model.setdefault(model, one.service)
            if one.region == settings.region:
                self.add(one, make_port(one))

    def add(
        self,
        settings: settings_module.BackendServer,
        port: backends.BackendPort,
    ) -> None:
        service = self.services.setdefault(
            settings.service, ServicePool(settings.service, settings.kind)
        )
        server = ServerState(settings, port, self.timers.now())
        service.servers.append(server)
        service.models |= set(settings.models or (settings.service,))
        self.by_name[server.name] = server
