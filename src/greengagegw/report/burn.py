"""Error-budget burn from the counters that VMs expose.

The burn rate is the share of bad requests over the share that the objective
allows; a rate of 1 spends the budget exactly over the objective's period
(Beyer and others, "The Site Reliability Workbook", 2018, chapter 5).
"""

import collections
import dataclasses
import pathlib
import time
import typing

import orjson
from prometheus_client import parser

from .. import errors

REQUESTS = 'greengagegw_requests_total'
SLOW = 'greengagegw_slow_total'
FIRST_TOKENS = 'greengagegw_first_token_seconds_count'
BETWEEN_TOKENS = 'greengagegw_between_tokens_seconds_count'
# What is the caller's own doing does not burn the budget.
CALLERS_CODES = frozenset(
    {
        'bad_request',
        'body_too_large',
        'caller_gone',
        'idempotency_key_reused',
        'in_progress',
        'invalid_key',
        'key_in_request',
        'key_withdrawn',
        'loop_detected',
        'method_not_allowed',
        'model_not_found',
        'not_found',
        'over_burst',
        'permission_denied',
        'rate_limit_exceeded',
        'request_timeout',
        'service_ended',
        'unknown_service',
    }
)


class SamplesError(errors.GatewayError):
    """A file of samples cannot be read."""

    code = 'bad_samples'
    exit_code = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Objectives:
    """Shares of requests that are to be good."""

    success_share: float = 0.999
    latency_share: float = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Counters of one organisation and service."""

    requests: float = 0.0
    failed: float = 0.0
    streams: float = 0.0
    slow: float = 0.0

    def minus(self, other: 'Counts') -> 'Counts':
        """Returns what was counted since other counts.

        Counters that are lower than before belong to a process that has
        started anew, so all that they hold is since then.
        """
        if self.requests < other.requests or self.streams < other.streams:
            return self
        return Counts(
            self.requests - other.requests,
            max(0.0, self.failed - other.failed),
            self.streams - other.streams,
            max(0.0, self.slow - other.slow),
        )

    def plus(self, other: 'Counts') -> 'Counts':
        return Counts(
            self.requests + other.requests,
            self.failed + other.failed,
            self.streams + other.streams,
            self.slow + other.slow,
        )


Pair = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The counters of one VM at one moment.

    :ivar at: seconds since the epoch.
    """

    source: str
    at: float
    counts: dict[Pair, Counts]


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """What happened in a window of time."""

    seconds: float
    counts: Counts
    success_burn: float
    latency_burn: float

    @property
    def burn(self) -> float:
        return max(self.success_burn, self.latency_burn)


@dataclasses.dataclass(frozen=True, slots=True)
class BurnRow:
    """The burn of one organisation and service, short window first."""

    organisation: str
    service: str
    windows: tuple[Window, ...]

    @property
    def worst(self) -> float:
        return max(window.burn for window in self.windows)


def read_metrics(source: str, text: str, at: float | None = None) -> Sample:
    """Returns the counters of a VM's metrics."""
    found: dict[Pair, dict[str, float]] = collections.defaultdict(
        lambda: collections.defaultdict(float)
    )
    for family in parser.text_string_to_metric_families(text):
        for one in family.samples:
            labels = one.labels
            pair = (labels.get('organisation', ''), labels.get('service', ''))
            counts = found[pair]
            if one.name == REQUESTS and labels['code'] not in CALLERS_CODES:
                counts['requests'] += one.value
                if labels['code'] != 'ok':
                    counts['failed'] += one.value
            elif one.name in (FIRST_TOKENS, BETWEEN_TOKENS):
                counts['streams'] += one.value
            elif one.name == SLOW:
                counts['slow'] += one.value
    return Sample(
        source,
        time.time() if at is None else at,
        {
            pair: Counts(**counts)
            for pair, counts in found.items()
            if counts and pair != ('', '')
        },
    )


def compute(
    history: list[Sample],
    objectives: Objectives,
    windows: tuple[float, ...],
) -> list[BurnRow]:
    """Returns the burn of each organisation and service, worst first.

    :param windows: lengths in seconds, counted back from the last sample.
    """
    if not history:
        return []
    last = max(sample.at for sample in history)
    totals = [sum_since(history, last - seconds) for seconds in windows]
    pairs = {pair for total in totals for pair in total}
    rows = [
        BurnRow(
            *pair,
            tuple(
                make_window(seconds, total.get(pair, Counts()), objectives)
                for seconds, total in zip(windows, totals, strict=True)
            ),
        )
        for pair in pairs
    ]
    rows.sort(key=lambda row: (-row.worst, row.organisation, row.service))
    return rows


def sum_since(history: list[Sample], start: float) -> dict[Pair, Counts]:
    """Returns what all VMs counted since a moment."""
    totals: dict[Pair, Counts] = collections.defaultdict(Counts)
    for source in {sample.source for sample in history}:
        samples = sorted(
            (one for one in history if one.source == source),
            key=lambda one: one.at,
        )
        before = [one for one in samples if one.at <= start]
        steps = [*before[-1:], *(one for one in samples if one.at > start)]
        if not before:
            steps.insert(0, Sample(source, start, {}))
        for old, new in zip(steps, steps[1:], strict=False):
            for pair, counts in new.counts.items():
                step = counts.minus(old.counts.get(pair, Counts()))
                totals[pair] = totals[pair].plus(step)
    return totals


def make_window(
    seconds: float, counts: Counts, objectives: Objectives
) -> Window:
    return Window(
        seconds,
        counts,
        rate(counts.failed, counts.requests, objectives.success_share),
        rate(counts.slow, counts.streams, objectives.latency_share),
    )


def rate(bad: float, total: float, share: float) -> float:
    """Returns the burn rate of bad ones among a total."""
    return bad / total / (1 - share) if total else 0.0


def describe(row: BurnRow) -> dict[str, typing.Any]:
    """Returns a row as a map for JSON."""
    return {
        'organisation': row.organisation,
        'service': row.service,
        'windows': [
            {
                'seconds': window.seconds,
                'success_burn': round(window.success_burn, 4),
                'latency_burn': round(window.latency_burn, 4),
                **dataclasses.asdict(window.counts),
            }
            for window in row.windows
        ],
    }


def format_text(rows: list[BurnRow]) -> str:
    """Returns the rows as a text table."""
    lines = [
        f'{"organisation":24}{"service":20}'
        f'{"short: success":>15}{"latency":>9}'
        f'{"long: success":>15}{"latency":>9}{"requests":>10}'
    ]
    for row in rows:
        short, long = row.windows[0], row.windows[-1]
        lines.append(
            f'{row.organisation:24}{row.service:20}'
            f'{short.success_burn:15.2f}{short.latency_burn:9.2f}'
            f'{long.success_burn:15.2f}{long.latency_burn:9.2f}'
            f'{long.counts.requests:10.0f}'
        )
    return '\n'.join(lines)


def load_samples(file: pathlib.Path) -> list[Sample]:
    """Returns the samples of a file, none if there is no file yet.

    :raises SamplesError: if the file holds something else.
    """
    if not file.exists():
        return []
    try:
        lines = file.read_bytes().splitlines()
        return [_unpack(orjson.loads(line)) for line in lines if line]
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise SamplesError(f'{file}: {error}') from error


def save_samples(file: pathlib.Path, history: list[Sample]) -> None:
    """Writes samples, one JSON object a line."""
    lines = [orjson.dumps(_pack(sample)) + b'\n' for sample in history]
    file.write_bytes(b''.join(lines))


def _pack(sample: Sample) -> dict[str, typing.Any]:
    return {
        'source': sample.source,
        'at': sample.at,
        'counts': [
            [*pair, *dataclasses.astuple(counts)]
            for pair, counts in sample.counts.items()
        ],
    }


def _unpack(content: dict[str, typing.Any]) -> Sample:
    return Sample(
        content['source'],
        content['at'],
        {(one[0], one[1]): Counts(*one[2:]) for one in content['counts']},
    )
