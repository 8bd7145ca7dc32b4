"""The configuration of a deployment: routes, services, organisations."""

import dataclasses
import enum
import random
import types


class CallKind(enum.Enum):
    """What may be repeated."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficShare:
    """The part of a route's requests that a service gets."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which service answers the paths of a host that begin with a prefix.

    :ivar timeout: seconds until a caller must have the final answer.
    :ivar objective: seconds until the answer, or its first event.
    :ivar gap_objective: longest seconds between events of a stream.
    :ivar priority: 0 is the most urgent.
    :ivar most_sends: backend servers that one request may be sent to.
    :ivar is_public: whether callers need no key.
    :ivar homes: the only regions that may run the requests; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[TrafficShare, ...]
    timeout: float
    latency_objective: float
    event_gap_objective: float
    priority: int
    max_attempts: int
    is_public: bool
    is_resumable: bool
    home_regions: frozenset[str]

    @property
    def is_retryable(self) -> bool:
        if self.kind is CallKind.STREAM:
            return self.is_resumable
        return self.kind is CallKind.SAFE

    @property
    def is_stream(self) -> bool:
        return self.kind is CallKind.STREAM

    def serves(self, service: str) -> bool:
        """Returns whether the route sends anything to a service."""
        return any(
            one.service == service and one.weight > 0 for one in self.shares
        )

    def choose_service(self, rng: random.Random) -> str:
        """Returns a service, each with the probability of its share."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [one.weight for one in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """What backend servers of a service have in common.

    :ivar cold_seconds: how long a backend server is slow after its start.
    :ivar cold_rate: requests a second that it bears meanwhile, 0 for any.
    :ivar memory_tokens: tokens that an engine holds; 0 for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_seconds: float
    cold_start_rate: float
    kv_cache_tokens: int

    @property
    def is_engine(self) -> bool:
        return self.kv_cache_tokens > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer.

    :ivar priority: goes before the route's, if there is one; 0 is the most
        urgent.
    :ivar counts_tokens: whether rate and burst are tokens, not requests.
    :ivar plain_cost: tokens of a request that names none.
    :ivar rate: a second; 0 for no limit.
    :ivar homes: the only regions that may run its requests; empty for all.
    """

    name: str
    priority: int | None
    counts_tokens: bool
    default_cost: float
    rate: float
    burst: float
    home_regions: frozenset[str]

    @property
    def is_limited(self) -> bool:
        return self.rate > 0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """What callers may send; times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version, which is in force as a whole.

    :ivar keys: the organisation of each key.
    :ivar places: the routes of each host by their prefix.
    :ivar priorities: the priorities of the routes to each service.
    :ivar organisation_priorities: those that organisations have.
    """

    version: int
    routes: tuple[Route, ...]
    services: types.MappingProxyType
    organisations: types.MappingProxyType
    keys: types.MappingProxyType
    limits: RequestLimits
    routes_by_host: types.MappingProxyType
    priorities_by_service: types.MappingProxyType
    organisation_priorities: frozenset[int]

    @property
    def needs_keys(self) -> bool:
        return bool(self.organisations)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins a path."""
        place = self.routes_by_host.get(host)
        if place is None:
            return None
        end = len(path)
        while True:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = place.get(path[: end + 1])
            if route is not None:
                return route

    def priority_rank(self, route: Route, service: str) -> int:
        """Returns how many classes of a service are more urgent."""
        return sum(
            priority < route.priority
            for priority in self.priorities_by_service.get(service, ())
        )

    def organisation_priority_rank(self, name: str | None) -> int:
        """Returns how many priorities of organisations are more urgent."""
        organisation = self.organisations.get(name)
        if organisation is None or organisation.priority is None:
            return 0
        return sum(
            priority < organisation.priority
            for priority in self.organisation_priorities
        )

    def find_organisation(self, key: str) -> Organisation | None:
        name = self.keys.get(key)
        return None if name is None else self.organisations[name]


def build(
    version: int,
    routes: tuple[Route, ...],
    services: dict[str, Service],
    organisations: dict[str, Organisation],
    keys: dict[str, str],
    limits: RequestLimits,
) -> Configuration:
    """Returns a configuration with its lookups."""
    places: dict[str, dict[str, Route]] = {}
    priorities: dict[str, set[int]] = {}
    for route in routes:
        places.setdefault(route.host, {})[route.prefix] = route
        for share in route.shares:
            priorities.setdefault(share.service, set()).add(route.priority)
    return Configuration(
        version,
        routes,
        types.MappingProxyType(services),
        types.MappingProxyType(organisations),
        types.MappingProxyType(keys),
        limits,
        types.MappingProxyType(places),
        types.MappingProxyType(priorities),
        frozenset(
            one.priority
            for one in organisations.values()
            if one.priority is not None
        ),
    )


def allowed_regions(
    route: Route, organisation: Organisation | None
) -> frozenset[str] | None:
    """Returns the regions that may run a request; None for all."""
    homes = route.home_regions
    if organisation is not None and organisation.home_regions:
        homes = (
            organisation.home_regions & homes
            if homes
            else organisation.home_regions
        )
        return homes
    return homes or None
