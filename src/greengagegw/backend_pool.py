"""What this VM knows of the backend servers of its region."""

import collections.abc

import eliot

from . import settings as settings_module
from . import timers as timer_service
from .policy import routing
from .ports import backends

FAILURES_BEFORE_EJECTION = 5
EJECTION_SECONDS = 5.0
LONGEST_EJECTION_SECONDS = 60.0
# At least this share of a service's backend servers stays in use.
EJECTION_FLOOR = 0.5
SERVICE_TIME_SMOOTHING = 0.1
# A returning backend server gets its full share only after this time.
WARM_UP_SECONDS = 10.0
WARM_UP_SHARE = 0.25
LIMIT_INCREASE = 0.5
LIMIT_DECREASE = 0.8
LOWEST_LIMIT = 1.0


class ServerState:
    """One backend server, with what is known of its load."""

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
        if self.report is None:
            return self.in_flight
        return routing.estimate_load(
            self.in_flight,
            self.report.running + self.report.waiting,
            self.in_flight_at_report,
            now - self.report.at,
        )

    def capacity(self, now: float) -> float:
        warm = (now - self.warm_up_started_at) / WARM_UP_SECONDS
        share = min(1.0, WARM_UP_SHARE + (1 - WARM_UP_SHARE) * warm)
        return max(LOWEST_LIMIT, min(self.limit, self.settings.slots) * share)

    def record_report(self, report: backends.LoadReport) -> None:
        self.report = report
        self.in_flight_at_report = self.in_flight
        if self.is_leaving and not report.leaving:
            self.warm_up_started_at = report.at
        self.is_leaving = report.leaving

    def record_success(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.limit = min(
            self.settings.slots,
            self.limit + LIMIT_INCREASE / max(1.0, self.limit),
        )

    def record_refusal(self) -> None:
        """Lowers the limit on the work that is sent here at once."""
        self.limit = max(LOWEST_LIMIT, self.limit * LIMIT_DECREASE)


class ServicePool:
    """The backend servers of one service in this region."""

    def __init__(self, name: str, kind: str) -> None:
        self.name = name
        self.kind = kind
        self.servers: list[ServerState] = []
        self.models: set[str] = set()
        self.mean_seconds = 1.0
        self.waiting = 0
        self.listeners: list[collections.abc.Callable[[], None]] = []

    def usable_servers(self, now: float) -> list[ServerState]:
        """Returns the backend servers that may get new work."""
        staying = [one for one in self.servers if not one.is_leaving]
        healthy = [one for one in staying if one.ejected_until <= now]
        floor = EJECTION_FLOOR * len(staying)
        return healthy if len(healthy) >= floor else staying

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

    def record_failure(self, runner: ServerState, now: float) -> None:
        """Counts a failure, and ejects an outlier for a while."""
        runner.failures += 1
        if runner.failures < FAILURES_BEFORE_EJECTION:
            return
        runner.failures = 0
        runner.ejections += 1
        seconds = EJECTION_SECONDS * 2 ** (runner.ejections - 1)
        seconds = min(LONGEST_EJECTION_SECONDS, seconds)
        runner.ejected_until = now + seconds
        runner.warm_up_started_at = runner.ejected_until
        eliot.log_message(
            'runner:ejected', backend_server=runner.name, seconds=seconds
        )

    def notify_listeners(self) -> None:
        for action in self.listeners:
            action()


class BackendPool:
    """All services of this region."""

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
        runner = ServerState(settings, port, self.timers.now())
        service.servers.append(runner)
        service.models |= set(settings.models or (settings.service,))
        self.by_name[runner.name] = runner
