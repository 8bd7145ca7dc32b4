"""Reconstructs the timelines of requests from the logs of several VMs."""

import collections
import collections.abc
import dataclasses
import re
import typing

import orjson

# A change of a VM's state may affect requests that arrive up to this long
# after it, since a lease lasts 4.5 s.
STATE_WINDOW_SECONDS = 5.0
NUMBER_PATTERN = re.compile(r'\d+(\.\d+)?')
# Events that change what a VM assumes about the deployment or itself. Events
# of single requests and polls are not among them.
STATE_EVENTS = (
    'backlog:not_told',
    'peer:not_sent',
    'configuration:in_force',
    'control:lost',
    'control:regained',
    'evacuation:in_force',
    'instances:not_read',
    'process:started',
    'process:stopped',
    'quota:no_leader',
    'replica:lead',
    'replica:status',
    'replica:step_down',
    'replica:vote_refused',
    'server:silent',
    'settings:reloaded',
    'signal:received',
)
HIDDEN_FIELDS = frozenset({'message_type', 'request', 'timestamp'})


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    :ivar source: name of the VM or of the log file.
    :ivar logged_at: seconds since the epoch, by the clock of the VM.
    :ivar event: name of the log event.
    :ivar request: id of the request, if the line belongs to one.
    """

    source: str
    logged_at: float
    event: str
    request: str | None
    fields: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class FailureGroup:
    """Requests that failed for the same reason.

    :ivar reason: the message, with each number replaced by N.
    :ivar first_at: seconds since the epoch, as ``last_at``.
    :ivar example: id of the first request.
    """

    code: str
    reason: str
    count: int
    first_at: float
    last_at: float
    example: str


@dataclasses.dataclass(frozen=True, slots=True)
class SlowRequest:
    """A request whose response started later than its latency objective.

    :ivar predicted_seconds: predicted time at the backend server until the
        start of the response.
    :ivar response_start_seconds: the measured time.
    """

    request: str
    objective_seconds: float
    predicted_seconds: float
    response_start_seconds: float
    server: str


def read_log(
    source: str, content: collections.abc.Iterable[str]
) -> tuple[list[LogLine], int]:
    """Returns the lines of a log and the number of unreadable lines.

    A log collector may put a prefix before the JSON object of a line. The
    last word of the prefix that is not a number names the source.

    :param source: name of the source of lines without such a prefix.
    """
    found = []
    unreadable = 0
    for text in content:
        if not text.strip():
            continue
        prefix, brace, rest = text.partition('{')
        try:
            fields = orjson.loads(brace + rest)
            line = make_log_line(source, prefix, fields)
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            unreadable += 1
            continue
        found.append(line)
    return found, unreadable


def make_log_line(
    source: str, prefix: str, fields: dict[str, typing.Any]
) -> LogLine:
    words = [
        one for one in prefix.split() if not NUMBER_PATTERN.fullmatch(one)
    ]
    return LogLine(
        words[-1] if words else source,
        float(fields['timestamp']),
        str(fields['message_type']),
        fields.get('request'),
        fields,
    )


def build_timeline(
    lines: collections.abc.Iterable[LogLine], request: str
) -> list[LogLine]:
    """Returns the lines of a request and the state changes of its VMs.

    The lines are sorted by time; the list is empty if no line has the id of
    the request. Lines of different VMs may be out of order by the
    difference between their clocks.

    :param request: id of the request.
    """
    all_lines = list(lines)
    own = [line for line in all_lines if line.request == request]
    if not own:
        return []
    sources = {line.source for line in own}
    start = min(line.logged_at for line in own) - STATE_WINDOW_SECONDS
    end = max(line.logged_at for line in own)
    state_changes = [
        line
        for line in all_lines
        if line.event in STATE_EVENTS
        and line.source in sources
        and start <= line.logged_at <= end
    ]
    return sorted([*own, *state_changes], key=lambda line: line.logged_at)


def group_failures(
    lines: collections.abc.Iterable[LogLine],
) -> list[FailureGroup]:
    """Returns failed requests by code and reason, largest group first."""
    groups: dict[tuple[str, str], list[LogLine]] = collections.defaultdict(
        list
    )
    for line in lines:
        if line.event == 'request:failed':
            reason = NUMBER_PATTERN.sub(
                'N', str(line.fields.get('reason', ''))
            )
            groups[line.fields.get('code', ''), reason].append(line)
    found = [
        FailureGroup(
            code,
            reason,
            len(group),
            min(line.logged_at for line in group),
            max(line.logged_at for line in group),
            min(group, key=lambda line: line.logged_at).request or '',
        )
        for (code, reason), group in groups.items()
    ]
    return sorted(found, key=lambda one: (-one.count, one.code, one.reason))


def find_slow_requests(
    lines: collections.abc.Iterable[LogLine],
) -> list[SlowRequest]:
    """Returns the requests that missed their objective, slowest first.

    The slowest is the one that missed it by most.
    """
    objectives: dict[str, float] = {}
    found = {}
    for line in sorted(lines, key=lambda line: line.logged_at):
        if line.request is None:
            continue
        if line.event == 'request:planned':
            objectives[line.request] = float(line.fields['objective'])
        elif line.event == 'request:begun' and line.request in objectives:
            fields = line.fields
            found[line.request] = SlowRequest(
                line.request,
                objectives[line.request],
                float(fields['predicted']),
                float(fields['seconds']),
                str(fields['server']),
            )
    late = [
        one
        for one in found.values()
        if one.response_start_seconds > one.objective_seconds
    ]
    return sorted(
        late,
        key=lambda one: one.objective_seconds - one.response_start_seconds,
    )


def format_timeline(timeline: list[LogLine], width: int) -> str:
    """Returns a timeline as text, one row for each line.

    On the time axis, ``*`` marks a line of the request, ``!`` a change of
    state, and ``.`` what was logged before the request.

    :param width: columns of the time axis.
    """
    own = [line for line in timeline if line.request is not None]
    first = min(line.logged_at for line in own)
    last = max(line.logged_at for line in own)
    source_width = max(len(line.source) for line in timeline)
    rows = []
    for line in timeline:
        mark = '.'
        column = 0
        if line.logged_at >= first:
            mark = '*' if line.request is not None else '!'
            column = round(
                (line.logged_at - first) / max(last - first, 1e-9) * width
            )
        axis = mark.rjust(column + 1).ljust(width + 1)
        values = ' '.join(
            f'{name}={format_value(value)}'
            for name, value in line.fields.items()
            if name not in HIDDEN_FIELDS
        )
        rows.append(
            f'{line.logged_at - first:+8.3f} |{axis}|'
            f' {line.source.ljust(source_width)} {line.event} {values}'
        )
    return '\n'.join(rows)


def format_value(value: typing.Any) -> str:
    if isinstance(value, dict):
        pairs = (f'{name}:{one}' for name, one in value.items())
        return '{' + ','.join(pairs) + '}'
    if isinstance(value, list):
        return '[' + ','.join(str(one) for one in value) + ']'
    return str(value)


def format_failures(groups: list[FailureGroup]) -> str:
    """Returns one row for each group."""
    return '\n'.join(
        f'{one.count:6d}  {one.code:16s} {one.reason}'
        f'  ({one.last_at - one.first_at:.1f} s, for one {one.example})'
        for one in groups
    )


def format_slow_requests(requests: list[SlowRequest], max_rows: int) -> str:
    """Returns a count and a row for each of the first requests."""
    rows = [
        f'{one.response_start_seconds:8.3f} s'
        f'  objective {one.objective_seconds:.3f}'
        f'  predicted {one.predicted_seconds:.3f}  {one.server}  {one.request}'
        for one in requests[:max_rows]
    ]
    return '\n'.join([f'{len(requests)} began late', *rows])
