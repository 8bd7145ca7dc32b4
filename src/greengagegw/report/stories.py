"""Tells from the logs of several VMs what became of requests."""

import collections
import collections.abc
import dataclasses
import re
import typing

import orjson

# What a VM came to believe within so many seconds before a request's first
# line may have decided it: a lease lasts 4.5 s.
BELIEF_SECONDS = 5.0
NUMBER = re.compile(r'\d+(\.\d+)?')
# Lines that tell of beliefs, not of one request or one poll.
BELIEFS = (
    'backlog:not_told',
    'configuration:in_force',
    'control:lost',
    'control:regained',
    'evacuation:in_force',
    'instances:not_read',
    'process:started',
    'process:stopped',
    'quota:no_leader',
    'replica:lead',
    'replica:step_down',
    'server:silent',
    'settings:reloaded',
    'signal:received',
)
HIDDEN_FIELDS = frozenset({'message_type', 'request', 'timestamp'})


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    :ivar source: the file, or what stands before the line.
    :ivar at: seconds since the epoch, by the clock of the VM.
    """

    source: str
    at: float
    kind: str
    request: str | None
    fields: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Refusals:
    """Requests that failed for the same reason.

    :ivar first_at: seconds since the epoch.
    :ivar example: the id of the first one.
    """

    code: str
    reason: str
    count: int
    first_at: float
    last_at: float
    example: str


@dataclasses.dataclass(frozen=True, slots=True)
class Slow:
    """A request whose answer began late.

    :ivar objective: seconds within which it should have begun.
    :ivar predicted: seconds that were expected at its server.
    :ivar begun: seconds after which it began there.
    """

    request: str
    objective: float
    predicted: float
    begun: float
    server: str


def read(
    source: str, content: collections.abc.Iterable[str]
) -> tuple[list[Line], int]:
    """Returns the lines of a log, and how many could not be read.

    What stands before the JSON object of a line, as a collector adds it,
    names the source if it does not look like a time.
    """
    found = []
    unreadable = 0
    for text in content:
        if not text.strip():
            continue
        prefix, brace, rest = text.partition('{')
        try:
            fields = orjson.loads(brace + rest)
            line = make_line(source, prefix, fields)
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            unreadable += 1
            continue
        found.append(line)
    return found, unreadable


def make_line(source: str, prefix: str, fields: dict[str, typing.Any]) -> Line:
    words = [one for one in prefix.split() if not NUMBER.fullmatch(one)]
    return Line(
        words[-1] if words else source,
        float(fields['timestamp']),
        str(fields['message_type']),
        fields.get('request'),
        fields,
    )


def tell(lines: collections.abc.Iterable[Line], request: str) -> list[Line]:
    """Returns a request's lines and what its VMs came to believe, in order.

    Empty if no line names the request. Clocks of VMs differ, so lines of
    different VMs may be out of order by as much.
    """
    known = list(lines)
    own = [line for line in known if line.request == request]
    if not own:
        return []
    sources = {line.source for line in own}
    begin = min(line.at for line in own) - BELIEF_SECONDS
    end = max(line.at for line in own)
    around = [
        line
        for line in known
        if line.kind in BELIEFS
        and line.source in sources
        and begin <= line.at <= end
    ]
    return sorted([*own, *around], key=lambda line: line.at)


def group_refusals(lines: collections.abc.Iterable[Line]) -> list[Refusals]:
    """Returns why requests failed, the most frequent reason first."""
    groups: dict[tuple[str, str], list[Line]] = collections.defaultdict(list)
    for line in lines:
        if line.kind == 'request:failed':
            reason = NUMBER.sub('N', str(line.fields.get('reason', '')))
            groups[line.fields.get('code', ''), reason].append(line)
    found = [
        Refusals(
            code,
            reason,
            len(some),
            min(line.at for line in some),
            max(line.at for line in some),
            min(some, key=lambda line: line.at).request or '',
        )
        for (code, reason), some in groups.items()
    ]
    return sorted(found, key=lambda one: (-one.count, one.code, one.reason))


def find_slow(lines: collections.abc.Iterable[Line]) -> list[Slow]:
    """Returns the requests that began late, the latest first."""
    planned: dict[str, float] = {}
    found = {}
    for line in sorted(lines, key=lambda line: line.at):
        if line.request is None:
            continue
        if line.kind == 'request:planned':
            planned[line.request] = float(line.fields['objective'])
        elif line.kind == 'request:begun' and line.request in planned:
            fields = line.fields
            found[line.request] = Slow(
                line.request,
                planned[line.request],
                float(fields['predicted']),
                float(fields['seconds']),
                str(fields['server']),
            )
    late = [one for one in found.values() if one.begun > one.objective]
    return sorted(late, key=lambda one: one.objective - one.begun)


def format_story(story: list[Line], width: int) -> str:
    """Returns a story as text, with a time line of so many columns."""
    own = [line for line in story if line.request is not None]
    first = min(line.at for line in own)
    last = max(line.at for line in own)
    source_width = max(len(line.source) for line in story)
    rows = []
    for line in story:
        mark = '.'
        at = 0
        if line.at >= first:
            mark = '*' if line.request is not None else '!'
            at = round((line.at - first) / max(last - first, 1e-9) * width)
        picture = mark.rjust(at + 1).ljust(width + 1)
        values = ' '.join(
            f'{name}={format_value(value)}'
            for name, value in line.fields.items()
            if name not in HIDDEN_FIELDS
        )
        rows.append(
            f'{line.at - first:+8.3f} |{picture}|'
            f' {line.source.ljust(source_width)} {line.kind} {values}'
        )
    return '\n'.join(rows)


def format_value(value: typing.Any) -> str:
    if isinstance(value, dict):
        pairs = (f'{name}:{one}' for name, one in value.items())
        return '{' + ','.join(pairs) + '}'
    if isinstance(value, list):
        return '[' + ','.join(str(one) for one in value) + ']'
    return str(value)


def format_refusals(found: list[Refusals]) -> str:
    """Returns one row for each reason."""
    return '\n'.join(
        f'{one.count:6d}  {one.code:16s} {one.reason}'
        f'  ({one.last_at - one.first_at:.1f} s, for one {one.example})'
        for one in found
    )


def format_slow(found: list[Slow], most: int) -> str:
    """Returns one row for each of the latest requests."""
    rows = [
        f'{one.begun:8.3f} s  objective {one.objective:.3f}'
        f'  predicted {one.predicted:.3f}  {one.server}  {one.request}'
        for one in found[:most]
    ]
    return '\n'.join([f'{len(found)} began late', *rows])
