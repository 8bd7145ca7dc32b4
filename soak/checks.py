"""The promises of the platform's rules, checked on a record.

Each check returns a line for each violation. The bounds are those of the
deployment's settings. Checks that hold only for VMs in touch leave out all
that happened beside a disturbance of any VM, or shortly after it.
"""

import collections
import itertools
import math

from . import deployment as deployments
from . import record as records
from . import stops

MIN_SERVED_SHARE = 0.25
# Requests with a key in force that may be answered 401.
MAX_DENIED, MAX_DENIED_SHARE = 5, 1 / 500
LOSS_SLACK_SECONDS = 0.2
# Until nothing is done any more for a client that has left.
LEFT_SECONDS = 0.5
MAX_RUNS_AFTER_LEAVING = 3
MAX_SHARE_AT_WORK = 0.25
# A request sent in the first seconds of a stop may be cut if its server is
# still at work in the last sixth of it.
EARLY_SECONDS_OF_STOP = 3.0
LAST_PART_OF_STOP = 5 / 6
MAX_CUTS_WITHOUT_STOP = 3
NOT_RUN_STATUSES = (408, 421, 429, 503)
MAX_LINES = 5


def check(record: records.Record) -> list[str]:
    """Returns the violations of all promises."""
    found = []
    for one in CHECKS:
        lines = one(record)
        found += lines[:MAX_LINES]
        if len(lines) > MAX_LINES:
            found.append(f'({len(lines) - MAX_LINES} more of the last kind)')
    return found


def is_calm(
    record: records.Record, begin: float, end: float, entry_vm=None
) -> bool:
    """Returns whether nothing was disturbed in a span of time.

    :param entry_vm: leaves out what concerns another entry VM alone.
    """
    return all(
        one.ended_at < begin or one.began_at > end
        for one in record.disturbances
        if entry_vm is None or one.entry_vm in ('', entry_vm)
    )


def check_responses(record: records.Record) -> list[str]:
    return [
        f'MIXED: {one.attempt} got the response to another request, or a part'
        f' of one, from {one.entry_vm} at {one.sent_at:.2f}'
        for one in record.requests
        if 200 <= one.status < 300 and not one.is_own
    ]


def check_runs(record: records.Record) -> list[str]:
    runs = collections.Counter(one.attempt for one in record.runs)
    found = []
    for one in record.requests:
        if one.kind != 'unsafe':
            continue
        count = runs[one.attempt]
        if count > 1:
            found.append(f'TWICE: {one.attempt} ran {count} times')
        if count and one.status in NOT_RUN_STATUSES:
            found.append(
                f'REFUSED: {one.attempt} ran and was answered {one.status} by'
                f' {one.entry_vm} at {one.ended_at:.2f}'
            )
    return found


def acknowledged_version(record: records.Record, before: float) -> int:
    """Returns the newest version acknowledged before a time."""
    return max(
        (
            int(one.subject)
            for one in record.orders
            if one.name == 'put'
            and one.acknowledged_at is not None
            and one.acknowledged_at < before
        ),
        default=0,
    )


def check_reads(record: records.Record) -> list[str]:
    found = []
    for one in record.reads:
        if one.version is None:
            continue
        bound = one.sent_at - record.bounds.apply
        newest = acknowledged_version(record, bound)
        if one.version < newest:
            found.append(
                f'CONFIG: {one.control_vm} answered version {one.version} at'
                f' {one.sent_at:.2f}, after {newest} was acknowledged'
            )
        if not one.has_sent_content:
            found.append(
                f'CONFIG: {one.control_vm} answered other content for version'
                f' {one.version}'
            )
    return found


def check_answers(record: records.Record) -> list[str]:
    """Checks that some control VM answers reads in calm times."""
    found = []
    silent_since = None
    for one in sorted(record.reads, key=lambda read: read.sent_at):
        begin = one.sent_at - record.bounds.contact
        if one.version is not None or not is_calm(record, begin, one.sent_at):
            silent_since = None
            continue
        if silent_since is None:
            silent_since = one.sent_at
        if one.sent_at - silent_since >= record.bounds.contact:
            found.append(
                f'CONFIG: the configuration did not come from any control VM'
                f' between {silent_since:.2f} and {one.sent_at:.2f}, in calm'
                ' times'
            )
            silent_since = None
    return found


def check_acknowledgements(record: records.Record) -> list[str]:
    found = []
    for one in record.orders:
        end = one.acknowledged_at or one.gave_up_at or record.now()
        seconds = max(
            longest_calm_seconds(record, *span)
            for span in itertools.pairwise((one.sent_at, *one.lost_at, end))
        )
        if seconds > record.bounds.acknowledge:
            found.append(
                f'ACKS: {one.name} {one.subject}, sent at {one.sent_at:.2f},'
                f' had no acknowledgement in {seconds:.2f} s of calm times'
            )
    return found


def longest_calm_seconds(
    record: records.Record, begin: float, end: float
) -> float:
    """Returns the longest stretch without a disturbance in a span.

    A stretch begins when the last disturbance is ``contact`` seconds ago.
    Those of single entry VMs are left out, since they leave the core stable.
    """
    longest = 0.0
    for one in sorted(record.disturbances, key=lambda one: one.began_at):
        if one.began_at < end and not one.entry_vm:
            longest = max(longest, one.began_at - begin)
            begin = max(begin, one.ended_at + record.bounds.contact)
    return max(longest, end - begin)


def evacuated_spans(
    record: records.Record,
) -> list[tuple[str, float, float]]:
    """Returns failure domain, acknowledgement and withdrawal."""
    spans = []
    begun: dict[str, float] = {}
    for one in sorted(record.orders, key=lambda order: order.sent_at):
        if one.name == 'evacuate' and one.acknowledged_at is not None:
            begun.setdefault(one.subject, one.acknowledged_at)
        if one.name == 'readmit' and one.subject in begun:
            spans.append((one.subject, begun.pop(one.subject), one.sent_at))
    end = record.now()
    return spans + [(domain, at, end) for domain, at in begun.items()]


def check_evacuations(record: records.Record) -> list[str]:
    found = []
    for domain, since, until in evacuated_spans(record):
        for run in record.runs:
            if run.domain != domain:
                continue
            begin = run.at - record.bounds.contact
            is_late = since + record.bounds.evacuate < run.at < until
            if is_late and is_calm(record, begin, run.at):
                found.append(
                    f'EVAC: {run.attempt} reached {run.server} in {domain} at'
                    f' {run.at:.2f}, evacuated since {since:.2f}'
                )
    return found


def check_recovery(record: records.Record) -> list[str]:
    """Checks the requests sent long after the last disturbance."""
    begins = [one.ended_at for one in record.disturbances]
    found = []
    for begin in begins:
        since = begin + record.bounds.recovery
        until = min(
            (
                one.began_at
                for one in record.disturbances
                if one.began_at > begin
            ),
            default=record.now(),
        )
        sent = [
            one
            for one in record.requests
            if since < one.sent_at < until
            and one.left_at is None
            and one.key not in record.revoked
        ]
        served = [one for one in sent if 200 <= one.status < 300]
        if len(sent) >= 20 and len(served) < MIN_SERVED_SHARE * len(sent):
            found.append(
                f'RECOVER: {len(served)} of {len(sent)} requests served from'
                f' {since:.2f} to {until:.2f}'
            )
    return found


def check_left(record: records.Record) -> list[str]:
    """Checks that servers do nothing for clients that have left."""
    run_at = {one.attempt: one.at for one in record.runs}
    late, lasting, at_work = [], 0, []
    for one in record.requests:
        if one.left_at is None or one.attempt not in run_at:
            continue
        end = one.left_at + LEFT_SECONDS
        begin = one.left_at - record.bounds.contact
        if not is_calm(record, begin, end, one.entry_vm):
            continue
        if run_at[one.attempt] > end:
            late.append(
                f'GONE: {one.attempt} reached a server at'
                f' {run_at[one.attempt]:.2f}, its client left'
                f' {one.entry_vm} at {one.left_at:.2f}'
            )
        elif one.kind != 'unsafe':
            lasting += 1
            if record.run_ends.get(one.attempt, math.inf) > end:
                at_work.append(
                    f'GONE: a server worked on {one.attempt} that was left at'
                    f' {one.left_at:.2f} by a client of {one.entry_vm}'
                )
    return (late if len(late) > MAX_RUNS_AFTER_LEAVING else []) + (
        at_work if len(at_work) > MAX_SHARE_AT_WORK * lasting else []
    )


def check_stops(record: records.Record) -> list[str]:
    """Checks the requests without a whole answer around planned stops."""
    runs = {one.attempt for one in record.runs}
    found = []
    unexplained = []
    for one in record.exchanges:
        if one.is_whole or one.sent_at is None:
            continue
        stop = stops.find_stop(record, one)
        if one.attempt not in runs:
            is_lost = one.ended_at - one.sent_at > LOSS_SLACK_SECONDS
        elif stop is not None:
            is_lost = not lasts_too_long(record, one, stop)
        elif any(lasts_too_long(record, one, other) for other in record.stops):
            # It was forwarded to a VM that was stopped.
            is_lost = False
        else:
            unexplained.append(one)
            is_lost = len(unexplained) > MAX_CUTS_WITHOUT_STOP
        if is_lost:
            since = '' if stop is None else f', {stop.began_at:.2f} stopped'
            found.append(
                f'LOST: {one.kind} {one.work} {one.attempt}, sent to'
                f' {one.entry_vm} at {one.sent_at:.2f}{since}, was cut at'
                f' {one.ended_at:.2f}'
            )
    return found


def lasts_too_long(
    record: records.Record, exchange: records.Exchange, stop: records.Stop
) -> bool:
    """Returns whether a stop may cut a request that a server runs."""
    seconds = record.bounds.stop
    last_sixth = stop.began_at + seconds * LAST_PART_OF_STOP
    run_ended_at = record.run_ends.get(exchange.attempt, math.inf)
    return (
        stops.covers(record, stop, exchange)
        and run_ended_at >= last_sixth
        and exchange.sent_at <= stop.began_at + EARLY_SECONDS_OF_STOP
    )


def check_routes(record: records.Record) -> list[str]:
    """Checks the requests on routes that a version added or dropped."""
    found = []
    ran = {one.attempt for one in record.runs}
    for one in record.requests:
        begin = one.sent_at - record.bounds.contact
        if one.kind != 'added' or not is_calm(record, begin, one.ended_at):
            continue
        last_version = one.version + deployments.KEPT_VERSION_ROUTES
        in_force = acknowledged_version(
            record, one.sent_at - record.bounds.apply
        )
        may_be_dropped = any(
            version > last_version and at < one.ended_at
            for version, at in record.sent_versions.items()
        )
        where = f'by {one.entry_vm} at {one.ended_at:.2f}'
        is_added = in_force >= one.version and not may_be_dropped
        if is_added and one.status in (401, 403, 404):
            found.append(
                f'CONFIG: {one.attempt} on the route of version {one.version}'
                f' was answered {one.status} {where}, after {in_force} was'
                ' acknowledged'
            )
        if in_force > last_version and one.attempt in ran:
            found.append(
                f'CONFIG: {one.attempt} on the route of version {one.version}'
                f' ran {where}, after {in_force} was acknowledged'
            )
    return found


def check_keys(record: records.Record) -> list[str]:
    """Checks requests with a key that is revoked or in force, calm or not."""
    found, denied = [], []
    ran = {one.attempt for one in record.runs}
    for one in record.requests:
        where = f'by {one.entry_vm} at {one.ended_at:.2f}'
        revoked = record.revoked.get(one.key, math.inf)
        in_force = acknowledged_version(
            record, one.sent_at - record.bounds.revoke
        )
        if in_force >= revoked and one.attempt in ran:
            found.append(
                f'CONFIG: {one.attempt} with the key that version {revoked}'
                f' took away ran {where}, after {in_force} was acknowledged'
            )
        may_be_revoked = any(
            version >= revoked and at < one.ended_at
            for version, at in record.sent_versions.items()
        )
        if one.status == 401 and not may_be_revoked:
            denied.append(f'{one.attempt} {where}')
    if len(denied) > MAX_DENIED + MAX_DENIED_SHARE * len(record.requests):
        found.append(f'DENIED: 401 with a key in force: {", ".join(denied)}')
    return found


def check_invalid(record: records.Record) -> list[str]:
    return [f'CONFIG: {one}' for one in record.accepted_invalid]


def check_read_back(record: records.Record) -> list[str]:
    if record.read_back is not False:
        return []
    return [
        'CONFIG: the configuration did not come from any control VM at the end'
    ]


def check_homes(record: records.Record) -> list[str]:
    """Checks where requests on the route with homes ran, calm or not."""
    home = {one.attempt for one in record.requests if one.kind == 'home'}
    return [
        f'HOME: {one.attempt} ran on {one.server} in {one.domain} at'
        f' {one.at:.2f}, which is in no home region'
        for one in record.runs
        if one.attempt in home and one.domain not in record.home_domains
    ]


def check_processes(record: records.Record) -> list[str]:
    return [f'FAULT: {one}' for one in record.own_ends]


def check_machines(record: records.Record) -> list[str]:
    return [f'EXCESS: {one}' for one in record.excesses.values()]


CHECKS = (
    check_responses,
    check_runs,
    check_reads,
    check_answers,
    check_acknowledgements,
    check_evacuations,
    check_recovery,
    check_routes,
    check_read_back,
    check_invalid,
    check_homes,
    check_stops,
    check_left,
    check_keys,
    check_processes,
    check_machines,
)
