"""Computes error-budget burn rates from the counters that VMs export.

The burn rate is the share of bad requests divided by the share that the
objective allows. At a rate of 1, the budget is spent exactly over the period
of the objective (Beyer et al., "The Site Reliability Workbook", 2018,
chapter 5).
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
SLOW_RESPONSES = 'greengagegw_slow_total'
FIRST_TOKENS = 'greengagegw_first_token_seconds_count'
BETWEEN_TOKENS = 'greengagegw_between_tokens_seconds_count'
# Requests that failed with these codes are errors of the client and don't
# count against the error budget.
CLIENT_ERROR_CODES = frozenset(
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
    """A file of samples cannot be read or decoded."""

    code = 'bad_samples'
    exit_code = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives.

    :ivar success_share: share of requests that are to succeed.
    :ivar latency_share: share of responses that are to be fast enough.
    """

    success_share: float = 0.999
    latency_share: float = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Counters of one organisation and service.

    :ivar slow: responses that missed a latency objective.
    """

    requests: float = 0.0
    failed: float = 0.0
    streams: float = 0.0
    slow: float = 0.0

    def minus(self, other: 'Counts') -> 'Counts':
        """Returns the increase since earlier counts.

        Counters that are lower than before were reset by a restart of the
        process, so their whole values are the increase.
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


ServiceKey = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The counters of one VM at one time.

    :ivar source: the VM, by the URL of its operator interface.
    :ivar sampled_at: seconds since the epoch.
    """

    source: str
    sampled_at: float
    counts: dict[ServiceKey, Counts]


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Counts and burn rates over a time window.

    :ivar seconds: length of the window.
    """

    seconds: float
    counts: Counts
    success_burn: float
    latency_burn: float

    @property
    def max_burn(self) -> float:
        return max(self.success_burn, self.latency_burn)


@dataclasses.dataclass(frozen=True, slots=True)
class BurnRow:
    """Burn rates of one organisation and service.

    :ivar windows: in the order they were asked for.
    """

    organisation: str
    service: str
    windows: tuple[Window, ...]

    @property
    def max_burn(self) -> float:
        return max(window.max_burn for window in self.windows)


def read_metrics(
    source: str, text: str, sampled_at: float | None = None
) -> Sample:
    """Returns a sample of the counters in the Prometheus text of a VM.

    :param sampled_at: seconds since the epoch; by default, now.
    """
    found: dict[ServiceKey, dict[str, float]] = collections.defaultdict(
        lambda: collections.defaultdict(float)
    )
    for family in parser.text_string_to_metric_families(text):
        for one in family.samples:
            labels = one.labels
            key = (labels.get('organisation', ''), labels.get('service', ''))
            counts = found[key]
            if (
                one.name == REQUESTS
                and labels['code'] not in CLIENT_ERROR_CODES
            ):
                counts['requests'] += one.value
                if labels['code'] != 'ok':
                    counts['failed'] += one.value
            elif one.name in (FIRST_TOKENS, BETWEEN_TOKENS):
                counts['streams'] += one.value
            elif one.name == SLOW_RESPONSES:
                counts['slow'] += one.value
    return Sample(
        source,
        time.time() if sampled_at is None else sampled_at,
        {
            key: Counts(**counts)
            for key, counts in found.items()
            if counts and key != ('', '')
        },
    )


def compute_rows(
    history: list[Sample],
    objectives: Objectives,
    windows: tuple[float, ...],
) -> list[BurnRow]:
    """Returns the burn rates by organisation and service, highest first.

    :param windows: lengths in seconds; all windows end at the last sample.
    """
    if not history:
        return []
    last = max(sample.sampled_at for sample in history)
    totals = [sum_since(history, last - seconds) for seconds in windows]
    keys = {key for total in totals for key in total}
    rows = [
        BurnRow(
            *key,
            tuple(
                compute_window(seconds, total.get(key, Counts()), objectives)
                for seconds, total in zip(windows, totals, strict=True)
            ),
        )
        for key in keys
    ]
    rows.sort(key=lambda row: (-row.max_burn, row.organisation, row.service))
    return rows


def sum_since(history: list[Sample], start: float) -> dict[ServiceKey, Counts]:
    """Returns the increase of all counters since a time, over all VMs."""
    totals: dict[ServiceKey, Counts] = collections.defaultdict(Counts)
    for source in {sample.source for sample in history}:
        samples = sorted(
            (one for one in history if one.source == source),
            key=lambda one: one.sampled_at,
        )
        before = [one for one in samples if one.sampled_at <= start]
        steps = [
            *before[-1:],
            *(one for one in samples if one.sampled_at > start),
        ]
        if not before:
            steps.insert(0, Sample(source, start, {}))
        for old, new in zip(steps, steps[1:], strict=False):
            for key, counts in new.counts.items():
                step = counts.minus(old.counts.get(key, Counts()))
                totals[key] = totals[key].plus(step)
    return totals


def compute_window(
    seconds: float, counts: Counts, objectives: Objectives
) -> Window:
    return Window(
        seconds,
        counts,
        burn_rate(counts.failed, counts.requests, objectives.success_share),
        burn_rate(counts.slow, counts.streams, objectives.latency_share),
    )


def burn_rate(bad: float, total: float, share: float) -> float:
    """Returns a burn rate.

    :param share: share of good events that the objective demands.
    """
    return bad / total / (1 - share) if total else 0.0


def to_dict(row: BurnRow) -> dict[str, typing.Any]:
    """Returns a row in the form of the JSON output."""
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
    """Returns the samples of a file, or none if it does not exist.

    :raises SamplesError: if the file is not a valid file of samples.
    """
    if not file.exists():
        return []
    try:
        lines = file.read_bytes().splitlines()
        return [_unpack(orjson.loads(line)) for line in lines if line]
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise SamplesError(f'{file}: {error}') from error


def save_samples(file: pathlib.Path, history: list[Sample]) -> None:
    """Writes samples to a file, one JSON object per line."""
    lines = [orjson.dumps(_pack(sample)) + b'\n' for sample in history]
    file.write_bytes(b''.join(lines))


def _pack(sample: Sample) -> dict[str, typing.Any]:
    return {
        'source': sample.source,
        'at': sample.sampled_at,
        'counts': [
            [*key, *dataclasses.astuple(counts)]
            for key, counts in sample.counts.items()
        ],
    }


def _unpack(content: dict[str, typing.Any]) -> Sample:
    return Sample(
        content['source'],
        content['at'],
        {(one[0], one[1]): Counts(*one[2:]) for one in content['counts']},
    )
