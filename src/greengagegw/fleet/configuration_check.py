"""Finds what is valid in a configuration but probably not intended."""

import collections.abc
import dataclasses
import typing

from . import configuration as configurations

# Tokens of the smallest request that states its token count.
MIN_REQUEST_COST = 1.0
# Request paths and hosts are compared without these, so that a route whose
# prefix or host contains one never matches.
QUERY_CHARACTERS = '?#'
PORT_SEPARATOR = ':'


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A part of a configuration and what is wrong with it."""

    place: str
    reason: str

    def __str__(self) -> str:
        return f'{self.place}: {self.reason}'


def find_all(
    configuration: configurations.Configuration,
) -> list[Finding]:
    """Returns what can never take effect, and limits that contradict."""
    return [
        *find_in_routes(configuration),
        *find_in_services(configuration),
        *find_in_organisations(configuration),
    ]


def find_in_routes(
    configuration: configurations.Configuration,
) -> collections.abc.Iterator[Finding]:
    for route in configuration.routes:
        place = f'route {route.name}'
        if any(one in route.prefix for one in QUERY_CHARACTERS):
            yield Finding(
                place,
                f'never matches, since paths are compared without the query'
                f' and the prefix is {route.prefix}',
            )
        if PORT_SEPARATOR in route.host:
            yield Finding(
                place,
                f'never matches, since hosts are compared without the port'
                f' that {route.host} has',
            )
        for share in route.shares:
            if share.weight == 0:
                yield Finding(
                    place,
                    f'sends nothing to service {share.service}, whose weight'
                    ' is 0',
                )
        if route.latency_objective > route.timeout:
            yield Finding(
                place,
                f'the latency objective of {route.latency_objective:g} s'
                f' exceeds the timeout of {route.timeout:g} s',
            )
        if route.is_resumable and not route.is_stream:
            yield Finding(place, 'is resumable, but only streams are resumed')
        if route.max_attempts > 1 and not route.is_retryable:
            yield Finding(
                place,
                f'allows {route.max_attempts} attempts, but its requests may'
                ' run only once',
            )


def find_in_services(
    configuration: configurations.Configuration,
) -> collections.abc.Iterator[Finding]:
    for name, service in configuration.services.items():
        place = f'service {name}'
        if not any(one.serves(name) for one in configuration.routes):
            yield Finding(place, 'gets no requests, since no route uses it')
        if service.cold_start_rate > 0 and service.cold_start_seconds == 0:
            yield Finding(
                place,
                f'limits cold servers to {service.cold_start_rate:g} requests'
                ' a second for 0 s',
            )


def find_in_organisations(
    configuration: configurations.Configuration,
) -> collections.abc.Iterator[Finding]:
    with_keys = set(configuration.keys.values())
    for name, organisation in configuration.organisations.items():
        place = f'organisation {name}'
        if name not in with_keys:
            yield Finding(place, 'has no key, so none of its requests runs')
        cost, unit = MIN_REQUEST_COST, 'request'
        if organisation.counts_tokens:
            cost = max(cost, organisation.default_cost)
            unit = 'request without a token count'
        if organisation.is_limited and organisation.burst < cost:
            yield Finding(
                place,
                f'the burst of {organisation.burst:g} is less than the'
                f' {cost:g} that a {unit} costs',
            )
        for route in configuration.routes:
            regions = configurations.allowed_regions(route, organisation)
            if regions is not None and not regions and not route.is_public:
                yield Finding(
                    place,
                    f'has no home region in common with route {route.name}',
                )


def find_changes(
    old: configurations.Configuration, new: configurations.Configuration
) -> list[str]:
    """Returns a line for each difference between two configurations.

    Keys are counted and not shown.
    """
    return [
        *compare(
            'route',
            {one.host + one.prefix: one for one in old.routes},
            {one.host + one.prefix: one for one in new.routes},
        ),
        *compare('service', old.services, new.services),
        *compare('organisation', old.organisations, new.organisations),
        *compare_keys(old, new),
        *compare('limits', {'': old.limits}, {'': new.limits}),
    ]


def compare(
    kind: str,
    old: collections.abc.Mapping[str, typing.Any],
    new: collections.abc.Mapping[str, typing.Any],
) -> collections.abc.Iterator[str]:
    """Yields the differences between two sets of data classes by name."""
    for name in sorted(old.keys() | new.keys()):
        label = f'{kind} {name}'.strip()
        if name not in new:
            yield f'- {label}'
        elif name not in old:
            yield f'+ {label}'
        else:
            for field in dataclasses.fields(new[name]):
                before = describe(getattr(old[name], field.name))
                after = describe(getattr(new[name], field.name))
                if before != after:
                    yield f'~ {label}: {field.name} {before} -> {after}'


def compare_keys(
    old: configurations.Configuration, new: configurations.Configuration
) -> collections.abc.Iterator[str]:
    for name in sorted({*old.keys.values(), *new.keys.values()}):
        before = {key for key, owner in old.keys.items() if owner == name}
        after = {key for key, owner in new.keys.items() if owner == name}
        if before != after:
            yield (
                f'~ organisation {name}: keys {len(after - before)} added,'
                f' {len(before - after)} removed'
            )


def describe(value: typing.Any) -> str:
    if isinstance(value, frozenset):
        return ','.join(sorted(value)) or 'all'
    if isinstance(value, tuple):
        return ','.join(f'{one.service}:{one.weight:g}' for one in value)
    return str(getattr(value, 'value', value))
