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
FAILURE_MEMORY_SECONDS = 5.0
FIRST_EJECTION_SECONDS = 0.5
LONGEST_EJECTION_SECONDS = 4.0
# The instance list may lag by its own delay, a read and a poll.
LIST_LAG_SECONDS = 2.5
REPORT_FRESH_SECONDS = 1.0
# Beyond what was predicted, after which a server that sends nothing on any
# connection is left: over the pauses of 0.6 s that callers count as late.
SILENT_SECONDS = 0.75
# Plain calls differ in how long they take, and send nothing meanwhile.
SILENT_SERVICE_TIMES = 4.0
WATCH_SECONDS = 0.1


@dataclasses.dataclass(slots=True, eq=False)
class Running:
    """A request of this VM at a server.

    :ivar tokens_before: tokens that must be read before its first event.
    :ivar awaited_since: timer seconds from which the server owes something:
        an answer from when it was predicted, a chunk from when the last one
        was passed on. None while the caller does not read.
    :ivar waiting: ended when the request is to go elsewhere.
    :ivar may_move: takes a repeat, and returns whether there is one.
    """

    sent_at: float
    unread_tokens: float
    tokens_before: float
    awaited_since: float | None
    may_move: collections.abc.Callable[[], bool]
    waiting: anyio.CancelScope | None = None
    has_begun: bool = False


class Server:
    """One instance, as this VM sees it."""

    def __init__(
        self, instance: instances.Instance, memory_tokens: int, now: float
    ) -> None:
        self.instance = instance
        self.waiting_tokens = 0.0
        self.runs: set[Running] = set()
        self.heard_at = now
        self.event_pace = generations.EventPace(now)
        self.read_rate = engine_model.FIRST_READ_RATE
        self.service_seconds = engine_model.FIRST_SERVICE_SECONDS
        self.is_measured = False
        self.failures = 0.0
        self.failed_at = now
        self.ejected_until = 0.0
        self.ejections = 0
        self.cold_until = 0.0
        self.pace = cold_pacing.Pace(now)
        self.cache = prompts.PrefixCacheModel(memory_tokens)
        self.report: ports.ReportedLoad | None = None
        self.report_at = -1e9

    @property
    def in_flight(self) -> int:
        return len(self.runs)

    def update(
        self, instance: instances.Instance, memory_tokens: int, now: float
    ) -> None:
        """Takes over what the list says of it."""
        if instance.born != self.instance.born:
            self.cache = prompts.PrefixCacheModel(memory_tokens)
            self.ejected_until = 0.0
            self.cold_until = now + LIST_LAG_SECONDS
        self.instance = instance

    def is_cold(self, now: float) -> bool:
        return self.instance.is_cold or now < self.cold_until

    def load(self, others: list[float], now: float) -> engine_model.EngineLoad:
        """Returns what is thought to be at the server.

        :param others: waiting tokens and requests of other entry VMs.
        """
        others_tokens, others_running = others
        running = self.in_flight + others_running
        if (
            self.report is not None
            and now - self.report_at < REPORT_FRESH_SECONDS
        ):
            reported = self.report.running + self.report.waiting
            running = max(running, float(reported))
        return engine_model.EngineLoad(
            self.waiting_tokens + others_tokens,
            running,
            max(1, self.instance.slots),
            self.read_rate,
            self.service_seconds,
        )

    def begin(self, one: Running) -> None:
        """Takes in that a request is sent."""
        self.runs.add(one)
        self.waiting_tokens += one.unread_tokens

    def silence(self, now: float) -> float:
        """Returns for how long it has owed this VM a sign of life."""
        awaited_since = [
            one.awaited_since
            for one in self.runs
            if one.awaited_since is not None
        ]
        if not awaited_since:
            return 0.0
        return max(0.0, now - max(self.heard_at, min(awaited_since)))

    @property
    def longest_silence(self) -> float:
        """Seconds of silence after which this server is left."""
        if self.cache.capacity:
            return SILENT_SECONDS
        if not self.is_measured:
            return math.inf
        return max(SILENT_SECONDS, SILENT_SERVICE_TIMES * self.service_seconds)

    def eject_silent(self, now: float) -> None:
        """Gives a silent server nothing new, and sends elsewhere what may."""
        eliot.log_message(
            'server:silent',
            server=self.instance.name,
            silence=round(self.silence(now), 3),
            running=self.in_flight,
        )
        # Its silence begins anew.
        self.heard_at = now
        self.note_outcome(True, now)
        self.eject(now)
        for one in self.runs:
            waiting = one.waiting
            if waiting is not None and not one.has_begun and one.may_move():
                waiting.cancel()

    def note_first(self, one: Running, now: float) -> None:
        """Takes in that a request's first bytes have arrived."""
        if one.has_begun:
            return
        one.has_begun = True
        one.awaited_since = None
        self.heard_at = now
        self.waiting_tokens = max(0.0, self.waiting_tokens - one.unread_tokens)
        if one.tokens_before:
            self.read_rate = engine_model.learn_read_rate(
                self.read_rate, one.tokens_before, now - one.sent_at
            )

    def end(self, one: Running, now: float, is_whole: bool) -> None:
        """Takes in that a request is over."""
        self.runs.discard(one)
        if not one.has_begun:
            self.waiting_tokens = max(
                0.0, self.waiting_tokens - one.unread_tokens
            )
        if is_whole:
            share = engine_model.SERVICE_SMOOTHING if self.is_measured else 1.0
            self.is_measured = True
            self.service_seconds += share * (
                now - one.sent_at - self.service_seconds
            )

    def failure_share(self, now: float) -> float:
        elapsed = now - self.failed_at
        return self.failures * math.exp(-elapsed / FAILURE_MEMORY_SECONDS)

    def note_outcome(self, has_failed: bool, now: float) -> None:
        share = self.failure_share(now)
        self.failures = share + FAILURE_SMOOTHING * (has_failed - share)
        self.failed_at = now
        if not has_failed:
            self.ejections = 0

    def eject(self, now: float) -> None:
        """Leaves out a server that cannot be reached."""
        pause = FIRST_EJECTION_SECONDS * 2**self.ejections
        self.ejections = min(self.ejections + 1, 8)
        self.ejected_until = now + min(LONGEST_EJECTION_SECONDS, pause)
        # What comes back at the address may have just started.
        self.cold_until = self.ejected_until + LIST_LAG_SECONDS


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
        self.forgotten: set[str] = set()

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
        self.forgotten &= set(here)
        for name in set(self.servers) - set(here):
            del self.servers[name]
        for name, one in here.items():
            memory = 0
            if configuration is not None:
                service = configuration.services.get(one.service)
                memory = service.kv_cache_tokens if service else 0
            if name in self.servers:
                self.servers[name].update(one, memory, now)
            else:
                self.servers[name] = Server(one, memory, now)
            if one.domain in readmitted:
                self.servers[name].cold_until = now + LIST_LAG_SECONDS

    def local_backlog(self) -> dict[str, list[float]]:
        """Returns tokens to be read and requests that this VM has at each."""
        return {
            name: [round(one.waiting_tokens), one.in_flight]
            for name, one in self.servers.items()
            if one.in_flight
        }

    def eject_silent_servers(self, now: float) -> None:
        """Finds the servers that have fallen silent."""
        for server in self.servers.values():
            if server.silence(now) > server.longest_silence:
                server.eject_silent(now)

    def mark_moved(self, name: str) -> None:
        """Leaves out an instance that is not at its address any more."""
        self.forgotten.add(name)

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
            and one.name not in self.forgotten
            and self.servers[one.name].ejected_until <= now
        ]
