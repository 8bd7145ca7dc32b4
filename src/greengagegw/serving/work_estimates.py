"""Estimates what a request would add to the work of each server.

Used where servers report a slowdown or are known to differ in speed.
"""

import collections.abc

from . import cost_distribution
from . import placement
from . import remaining_work
from . import server_speed
from . import servers as server_pool

# A request whose own time exceeds this with this probability counts as long.
# Prompts and responses of unknown length may be among the few long ones.
LONG_SECONDS = 0.1
LONG_QUANTILE = 0.9
# Of a request whose work is not predicted.
NO_WORK = placement.WorkEstimate(0.0, False, 0.0)


def are_uneven(
    servers: collections.abc.Collection[server_pool.Server], now: float
) -> bool:
    """Returns whether placement needs estimates of work."""
    speeds = [one.speed for one in servers]
    reporting = [one for one in speeds if one.reported is not None]
    return any(
        one.is_reporting(now) for one in reporting
    ) or server_speed.speeds_differ(speeds, now)


def estimate(
    servers: collections.abc.Mapping[str, server_pool.Server],
    cost: cost_distribution.Distribution | None,
    uncached_tokens: collections.abc.Mapping[str, float],
    now: float,
) -> dict[str, placement.WorkEstimate]:
    """Returns the work that a request would add, by server.

    :param cost: distribution of the request's events; None if unknown.
    :param uncached_tokens: prompt tokens to be prefilled, by server.
    """
    mean_events = long_events = 0.0
    if cost is not None:
        mean_events, long_events = cost.mean, cost.quantile(LONG_QUANTILE)
    recent = {
        name: one.recent_work.current(now) for name, one in servers.items()
    }
    mean_recent = sum(recent.values()) / max(1, len(recent))
    estimates = {}
    for name, one in servers.items():
        event_share = one.current_event_interval(now) / max(
            1, one.instance.slots
        )
        prefill = uncached_tokens[name] / one.current_prefill_rate(now)
        estimates[name] = placement.WorkEstimate(
            prefill + mean_events * event_share,
            prefill + long_events * event_share > LONG_SECONDS,
            max(0.0, recent[name] / mean_recent - 1) if mean_recent else 0.0,
        )
    return estimates


def log_fields(
    work: placement.WorkEstimate | None,
    cost: cost_distribution.Distribution | None,
    server: server_pool.Server,
    now: float,
) -> dict[str, float | None]:
    """Returns the fields of a log line about a placement by work."""
    if work is None:
        return {}
    remaining = remaining_work.sum_up(server.in_flight)
    return {
        'slowdown': round(server.speed.slowdown(now), 2),
        'speed': round(server.speed.speed(now), 2),
        'own_work': round(work.own_seconds, 3),
        'excess': round(work.excess, 2),
        'events_left': round(remaining.events),
        'cost': None if cost is None else round(cost.mean, 3),
        'cost_p90': (
            None if cost is None else round(cost.quantile(LONG_QUANTILE), 3)
        ),
    }
