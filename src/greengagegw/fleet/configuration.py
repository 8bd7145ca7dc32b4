"""Configuration of a deployment: routes, services, organisations."""

import dataclasses
import enum
import random
import types


class CallKind(enum.Enum):
    """Kind of the calls of a route, which decides what may be retried."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficShare:
    """Relative weight of one service in the traffic split of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Maps the paths of a host with a common prefix to services.

    :ivar timeout: seconds until a client must have the complete response.
    :ivar latency_objective: seconds until the response, or its first event.
    :ivar event_gap_objective: maximum seconds between events of a stream.
    :ivar priority: 0 is the most urgent.
    :ivar max_attempts: backend servers that one request may be sent to.
    :ivar is_public: whether clients need no key.
    :ivar is_resumable: whether another backend server can continue a stream.
    :ivar home_regions: the only regions that may run the requests; empty for
        all.
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
        """Returns whether the route sends any requests to a service."""
        return any(
            one.service == service and one.weight > 0 for one in self.shares
        )

    def choose_service(self, rng: random.Random) -> str:
        """Returns a random service, chosen by the weights of the shares."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [one.weight for one in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Settings that all backend servers of a service share.

    :ivar cold_start_seconds: how long a backend server is slow after a start.
    :ivar cold_start_rate: requests a second that it sustains during that time;
        0 for no limit.
    :ivar kv_cache_tokens: capacity of an inference engine's KV cache in
        tokens; 0 for a service that is no engine.
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

    :ivar priority: compared before the priority of the route; 0 is the most
        urgent, None if the organisation has no priority.
    :ivar counts_tokens: whether rate and burst count tokens, not requests.
    :ivar default_cost: tokens charged for a request without a token count.
    :ivar rate: tokens or requests a second; 0 for no limit.
    :ivar home_regions: the only regions that may run its requests; empty for
        all.
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
    """Limits on requests of clients; times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration, which takes effect as a whole.

    :ivar keys: name of the organisation by API key.
    :ivar routes_by_host: routes by host, then by path prefix.
    :ivar priorities_by_service: the distinct priorities of the routes to each
        service.
    :ivar organisation_priorities: the distinct priorities of organisations.
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
        """Returns the route with the longest matching path prefix, if any."""
        routes_by_prefix = self.routes_by_host.get(host)
        if routes_by_prefix is None:
            return None
        end = len(path)
        while True:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route

    def priority_rank(self, route: Route, service: str) -> int:
        """Returns how many priorities of a service are more urgent."""
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

    def has_competition(self, service: str) -> bool:
        """Returns whether classes or organisations compete for a service."""
        return (
            len(self.organisations) > 1
            or len(self.priorities_by_service.get(service, ())) > 1
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
    """Returns a configuration with its lookup tables."""
    routes_by_host: dict[str, dict[str, Route]] = {}
    priorities_by_service: dict[str, set[int]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, {})[route.prefix] = route
        for share in route.shares:
            priorities_by_service.setdefault(share.service, set()).add(
                route.priority
            )
    return Configuration(
        version,
        routes,
        types.MappingProxyType(services),
        types.MappingProxyType(organisations),
        types.MappingProxyType(keys),
        limits,
        types.MappingProxyType(routes_by_host),
        types.MappingProxyType(priorities_by_service),
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
    regions = route.home_regions
    if organisation is not None and organisation.home_regions:
        regions = (
            organisation.home_regions & regions
            if regions
            else organisation.home_regions
        )
        return regions
    return regions or None
