"""Decodes the configuration that operators send."""

import typing
import zlib

import orjson

from .. import errors
from ..fleet import configuration

CALL_KINDS = {
    'safe': configuration.CallKind.SAFE,
    'unsafe': configuration.CallKind.UNSAFE,
    'streaming': configuration.CallKind.STREAM,
}
DEFAULT_HEALTH_PATH = '/healthz'
TOKEN_UNIT = 'token_stream'
LOWEST_PRIORITY = 9
DEFAULT_TIMEOUT_SECONDS = 30.0
DEFAULT_EVENT_GAP_SECONDS = 2.0
# As seconds, some hundred years, the most that a timer takes.
MAX_NUMBER = 1e10
MIN_NUMBER = 1e-6
# The limit of the formats in which a version is stored and sent.
MAX_VERSION = 2**63 - 1
# A compressed document has to fit into a message between VMs together with
# the other parts of the message.
MAX_PACKED_BYTES = 8 * 1024 * 1024


class FieldReader:
    """Reads typed fields of a JSON document and collects the problems.

    A field that is missing or invalid is read as a default.

    :ivar problems: a message for each invalid field, with its path.
    """

    def __init__(self) -> None:
        self.problems: list[str] = []

    def add_problem(self, path: str, allowed: str) -> None:
        self.problems.append(f'{path}: must be {allowed}')

    def number(
        self, holder: dict, name: str, path: str, default: float
    ) -> float:
        """Returns a non-negative number, within limits that differ little.

        A number beyond them is valid, but would overflow in timers and in
        messages between VMs.
        """
        value = holder.get(name, default)
        is_number = isinstance(value, int | float)
        if isinstance(value, bool) or not is_number or value < 0:
            self.add_problem(f'{path}.{name}', 'a number, 0 or more')
            return default
        if value == 0:
            return value
        return min(max(value, MIN_NUMBER), MAX_NUMBER)

    def string(self, holder: dict, name: str, path: str) -> str:
        value = holder.get(name)
        if not isinstance(value, str) or not value:
            self.add_problem(f'{path}.{name}', 'a non-empty string')
            return ''
        return value

    def boolean(self, holder: dict, name: str, path: str) -> bool:
        value = holder.get(name, False)
        if not isinstance(value, bool):
            self.add_problem(f'{path}.{name}', 'true or false')
            return False
        return value

    def objects(self, holder: dict, name: str, path: str) -> list[dict]:
        """Returns a list of objects."""
        value = holder.get(name, [])
        if not isinstance(value, list) or not all(
            isinstance(one, dict) for one in value
        ):
            self.add_problem(f'{path}{name}', 'a list of objects')
            return []
        return value

    def strings(self, holder: dict, name: str, path: str) -> list[str]:
        value = holder.get(name) or []
        if not isinstance(value, list) or not all(
            isinstance(one, str) for one in value
        ):
            self.add_problem(f'{path}.{name}', 'a list of strings')
            return []
        return value


def decode(document: bytes) -> configuration.Configuration:
    """Returns the configuration in a JSON document.

    :raises ConfigurationError: with all problems of the document.
    """
    try:
        values = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        raise errors.ConfigurationError((f'not JSON: {error}',)) from error
    if not isinstance(values, dict):
        raise errors.ConfigurationError(('not an object',))
    if (
        len(document) > MAX_PACKED_BYTES
        and len(zlib.compress(document)) > MAX_PACKED_BYTES
    ):
        raise errors.ConfigurationError(
            (f'over {MAX_PACKED_BYTES} bytes in compressed form',)
        )
    reader = FieldReader()
    version = values.get('version')
    if isinstance(version, bool) or not isinstance(version, int):
        reader.add_problem('version', 'an integer')
        version = 0
    elif abs(version) > MAX_VERSION:
        reader.add_problem('version', f'at most {MAX_VERSION}')
        version = 0
    for name in ('routes', 'services'):
        if name not in values:
            reader.add_problem(name, 'present')
    services = decode_services(values, reader)
    routes = decode_routes(values, services, reader)
    organisations, keys = decode_organisations(values, reader)
    limits = decode_limits(values, reader)
    if reader.problems:
        raise errors.ConfigurationError(tuple(reader.problems))
    return configuration.build(
        version, routes, services, organisations, keys, limits
    )


def decode_services(
    values: dict, reader: FieldReader
) -> dict[str, configuration.Service]:
    services = {}
    for index, one in enumerate(reader.objects(values, 'services', '')):
        path = f'services[{index}]'
        name = reader.string(one, 'name', path)
        engine = one.get('engine') or {}
        if not isinstance(engine, dict):
            reader.add_problem(f'{path}.engine', 'an object')
            engine = {}
        if name in services:
            reader.add_problem(f'{path}.name', 'unique')
        services[name] = configuration.Service(
            name=name,
            health_path=decode_health_path(one),
            max_connections=int(reader.number(one, 'maxConns', path, 0)),
            cold_start_seconds=reader.number(one, 'coldStartS', path, 0),
            cold_start_rate=reader.number(one, 'coldPerS', path, 0),
            kv_cache_tokens=int(reader.number(engine, 'kvCapacity', path, 0)),
        )
    return services


def decode_health_path(service: dict) -> str:
    """Returns a path, the default one in place of an unreadable one."""
    path = service.get('healthPath')
    return path if isinstance(path, str) and path else DEFAULT_HEALTH_PATH


def decode_routes(
    values: dict,
    services: dict[str, configuration.Service],
    reader: FieldReader,
) -> tuple[configuration.Route, ...]:
    routes = []
    host_prefixes: set[tuple[str, str]] = set()
    for index, one in enumerate(reader.objects(values, 'routes', '')):
        path = f'routes[{index}]'
        host = reader.string(one, 'host', path).lower()
        prefix = reader.string(one, 'pathPrefix', path)
        if not (prefix.startswith('/') and prefix.endswith('/')):
            reader.add_problem(
                f'{path}.pathPrefix',
                'a path that begins and ends with a slash',
            )
        if (host, prefix) in host_prefixes:
            reader.add_problem(
                path, 'the only route with its host and pathPrefix'
            )
        host_prefixes.add((host, prefix))
        kind_name = one.get('kind')
        kind = None
        if isinstance(kind_name, str):
            kind = CALL_KINDS.get(kind_name)
        if kind is None:
            reader.add_problem(f'{path}.kind', ' or '.join(CALL_KINDS))
            kind = configuration.CallKind.UNSAFE
        timeout_ms = reader.number(one, 'timeoutMs', path, 0)
        if 'timeoutMs' not in one:
            timeout_ms = DEFAULT_TIMEOUT_SECONDS * 1000
        elif timeout_ms <= 0:
            reader.add_problem(f'{path}.timeoutMs', 'greater than 0')
        latency_objective_ms = reader.number(
            one, 'targetLatencyMs', path, timeout_ms
        )
        event_gap_ms = reader.number(
            one, 'gapTargetMs', path, DEFAULT_EVENT_GAP_SECONDS * 1000
        )
        routes.append(
            configuration.Route(
                name=reader.string(one, 'name', path),
                host=host,
                prefix=prefix,
                kind=kind,
                shares=decode_shares(one, path, services, reader),
                timeout=timeout_ms / 1000,
                latency_objective=(latency_objective_ms or timeout_ms) / 1000,
                event_gap_objective=(event_gap_ms / 1000)
                or DEFAULT_EVENT_GAP_SECONDS,
                priority=int(reader.number(one, 'priority', path, 0)),
                max_attempts=max(
                    1, int(reader.number(one, 'maxAttempts', path, 1))
                ),
                is_public=reader.boolean(one, 'public', path),
                is_resumable=reader.boolean(one, 'resumable', path),
                home_regions=frozenset(
                    reader.strings(one, 'homeRegions', path)
                ),
            )
        )
    return tuple(routes)


def decode_shares(
    route: dict,
    path: str,
    services: dict[str, configuration.Service],
    reader: FieldReader,
) -> tuple[configuration.TrafficShare, ...]:
    split = reader.objects(route, 'trafficSplit', f'{path}.')
    if not split:
        split = [{'service': route.get('service'), 'weight': 1}]
    shares = []
    for one in split:
        name = one.get('service')
        if not isinstance(name, str) or name not in services:
            reader.add_problem(f'{path}.service', 'the name of a service')
            name = ''
        weight = reader.number(one, 'weight', path, 0)
        shares.append(configuration.TrafficShare(name, weight))
    if sum(one.weight for one in shares) <= 0:
        reader.add_problem(
            f'{path}.trafficSplit', 'weights with a sum greater than 0'
        )
    return tuple(shares)


def decode_organisations(
    values: dict, reader: FieldReader
) -> tuple[dict[str, configuration.Organisation], dict[str, str]]:
    organisations = {}
    keys: dict[str, str] = {}
    for index, one in enumerate(reader.objects(values, 'tenants', '')):
        path = f'tenants[{index}]'
        name = reader.string(one, 'name', path)
        if name in organisations:
            reader.add_problem(f'{path}.name', 'unique')
        for key in reader.strings(one, 'apiKeys', path):
            if keys.setdefault(key, name) != name:
                reader.add_problem(
                    f'{path}.apiKeys', 'keys that no other tenant has'
                )
        priority = one.get('priority')
        if priority is not None:
            priority = int(reader.number(one, 'priority', path, 0))
        organisations[name] = configuration.Organisation(
            name=name,
            priority=priority,
            counts_tokens=one.get('unit') == TOKEN_UNIT,
            default_cost=reader.number(one, 'plainTokens', path, 1),
            rate=reader.number(one, 'ratePerS', path, 0),
            burst=reader.number(one, 'burst', path, 0),
            home_regions=frozenset(reader.strings(one, 'homeRegions', path)),
        )
    return organisations, keys


def decode_limits(
    values: dict, reader: FieldReader
) -> configuration.RequestLimits:
    limits: typing.Any = values.get('limits') or {}
    if not isinstance(limits, dict):
        reader.add_problem('limits', 'an object')
        limits = {}
    defaults = configuration.RequestLimits()

    def limit(name: str, default: float) -> float:
        return reader.number(limits, name, 'limits', default) or default

    return configuration.RequestLimits(
        header_bytes=int(limit('maxHeaderBytes', defaults.header_bytes)),
        body_bytes=int(limit('maxBodyBytes', defaults.body_bytes)),
        header_timeout=limit('headerTimeoutMs', defaults.header_timeout * 1000)
        / 1000,
        idle_timeout=limit('idleTimeoutMs', defaults.idle_timeout * 1000)
        / 1000,
    )
