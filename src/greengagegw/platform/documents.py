"""Decodes the configuration that operators send."""

import typing

import orjson

from .. import errors
from ..fleet import configuration

CALL_KINDS = {
    'safe': configuration.CallKind.SAFE,
    'unsafe': configuration.CallKind.UNSAFE,
    'streaming': configuration.CallKind.STREAM,
}
TOKEN_UNIT = 'token_stream'
LOWEST_PRIORITY = 9
DEFAULT_TIMEOUT_SECONDS = 30.0
DEFAULT_EVENT_GAP_SECONDS = 2.0


class FieldReader:
    """Takes fields out of a document and collects what is wrong."""

    def __init__(self) -> None:
        self.problems: list[str] = []

    def add_problem(self, path: str, allowed: str) -> None:
        self.problems.append(f'{path}: must be {allowed}')

    def number(
        self, holder: dict, name: str, path: str, default: float
    ) -> float:
        """Returns a number that is not negative."""
        value = holder.get(name, default)
        is_number = isinstance(value, int | float)
        if isinstance(value, bool) or not is_number or value < 0:
            self.add_problem(f'{path}.{name}', 'a number, 0 or more')
            return default
        return value

    def string(self, holder: dict, name: str, path: str) -> str:
        value = holder.get(name)
        if not isinstance(value, str) or not value:
            self.add_problem(f'{path}.{name}', 'a text')
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
            self.add_problem(f'{path}.{name}', 'a list of texts')
            return []
        return value


def decode(document: bytes) -> configuration.Configuration:
    """Returns the configuration of a document.

    :raises ConfigurationError: with everything that is wrong.
    """
    try:
        values = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        raise errors.ConfigurationError((f'not JSON: {error}',)) from error
    if not isinstance(values, dict):
        raise errors.ConfigurationError(('not an object',))
    reader = FieldReader()
    version = values.get('version')
    if isinstance(version, bool) or not isinstance(version, int):
        reader.add_problem('version', 'a whole number')
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
    for number, one in enumerate(reader.objects(values, 'services', '')):
        path = f'services[{number}]'
        name = reader.string(one, 'name', path)
        engine = one.get('engine') or {}
        if not isinstance(engine, dict):
            reader.add_problem(f'{path}.engine', 'an object')
            engine = {}
        if name in services:
            reader.add_problem(f'{path}.name', 'used once')
        services[name] = configuration.Service(
            name=name,
            health_path=one.get('healthPath') or '/healthz',
            max_connections=int(reader.number(one, 'maxConns', path, 0)),
            cold_start_seconds=reader.number(one, 'coldStartS', path, 0),
            cold_start_rate=reader.number(one, 'coldPerS', path, 0),
            kv_cache_tokens=int(reader.number(engine, 'kvCapacity', path, 0)),
        )
    return services


def decode_routes(
    values: dict,
    services: dict[str, configuration.Service],
    reader: FieldReader,
) -> tuple[configuration.Route, ...]:
    routes = []
    places: set[tuple[str, str]] = set()
    for number, one in enumerate(reader.objects(values, 'routes', '')):
        path = f'routes[{number}]'
        host = reader.string(one, 'host', path).lower()
        prefix = reader.string(one, 'pathPrefix', path)
        if not (prefix.startswith('/') and prefix.endswith('/')):
            reader.add_problem(f'{path}.pathPrefix', 'between slashes')
        if (host, prefix) in places:
            reader.add_problem(path, 'the only route of its host and prefix')
        places.add((host, prefix))
        kind = CALL_KINDS.get(one.get('kind'))
        if kind is None:
            reader.add_problem(f'{path}.kind', ', '.join(CALL_KINDS))
            kind = configuration.CallKind.UNSAFE
        timeout = reader.number(one, 'timeoutMs', path, 0)
        if 'timeoutMs' not in one:
            timeout = DEFAULT_TIMEOUT_SECONDS * 1000
        elif timeout <= 0:
            reader.add_problem(f'{path}.timeoutMs', 'over 0')
        objective = reader.number(one, 'targetLatencyMs', path, timeout)
        gap = reader.number(
            one, 'gapTargetMs', path, DEFAULT_EVENT_GAP_SECONDS * 1000
        )
        routes.append(
            configuration.Route(
                name=reader.string(one, 'name', path),
                host=host,
                prefix=prefix,
                kind=kind,
                shares=decode_shares(one, path, services, reader),
                timeout=timeout / 1000,
                latency_objective=(objective or timeout) / 1000,
                event_gap_objective=(gap / 1000) or DEFAULT_EVENT_GAP_SECONDS,
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
            reader.add_problem(f'{path}.service', 'one of the services')
        weight = reader.number(one, 'weight', path, 0)
        shares.append(configuration.TrafficShare(str(name), weight))
    if sum(one.weight for one in shares) <= 0:
        reader.add_problem(f'{path}.trafficSplit', 'of weights over 0 in all')
    return tuple(shares)


def decode_organisations(
    values: dict, reader: FieldReader
) -> tuple[dict[str, configuration.Organisation], dict[str, str]]:
    organisations = {}
    keys: dict[str, str] = {}
    for number, one in enumerate(reader.objects(values, 'tenants', '')):
        path = f'tenants[{number}]'
        name = reader.string(one, 'name', path)
        if name in organisations:
            reader.add_problem(f'{path}.name', 'used once')
        for key in reader.strings(one, 'apiKeys', path):
            if keys.setdefault(key, name) != name:
                reader.add_problem(
                    f'{path}.apiKeys', 'keys of no other tenant'
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
    usual = configuration.RequestLimits()

    def take(name: str, default: float) -> float:
        return reader.number(limits, name, 'limits', default) or default

    return configuration.RequestLimits(
        header_bytes=int(take('maxHeaderBytes', usual.header_bytes)),
        body_bytes=int(take('maxBodyBytes', usual.body_bytes)),
        header_timeout=take('headerTimeoutMs', usual.header_timeout * 1000)
        / 1000,
        idle_timeout=take('idleTimeoutMs', usual.idle_timeout * 1000) / 1000,
    )
