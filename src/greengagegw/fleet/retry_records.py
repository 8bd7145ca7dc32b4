"""Retries of the last seconds, as control VMs record them for entry VMs.

Entry VMs report how many requests and retries they have counted, so that the
retry budgets of services hold after a restart of entry VMs.
"""

import dataclasses
import math
import typing

from ..ports import peers

# Time resolution of a record. Retries are kept up to this much too long, and
# requests this much too short, so that a record never allows too much.
BUCKET_SECONDS = 0.5
WINDOW_SECONDS = 10.0

# Requests and retries since the start of a VM, by service.
Totals = dict[str, tuple[int, int]]
# Age in seconds, requests and retries.
Bucket = tuple[float, int, int]


class WindowCounts:
    """Requests and retries by service and time."""

    def __init__(self, window_seconds: float) -> None:
        self.window_seconds = window_seconds
        self.counts: dict[tuple[str, int], list[int]] = {}

    def add(
        self,
        service: str,
        requests: int,
        retries: int,
        began_at: float,
        ended_at: float,
    ) -> None:
        """Adds what a VM counted between two of its reports."""
        for at, index, count in (
            (math.floor(began_at / BUCKET_SECONDS), 0, requests),
            (math.ceil(ended_at / BUCKET_SECONDS), 1, retries),
        ):
            if count > 0:
                self.counts.setdefault((service, at), [0, 0])[index] += count

    def merge(self, other: 'WindowCounts') -> None:
        for key, counts in other.counts.items():
            known = self.counts.setdefault(key, [0, 0])
            known[0] += counts[0]
            known[1] += counts[1]

    def pack(self, now: float) -> dict[str, list[Bucket]]:
        """Removes what is older than the window, and returns the rest."""
        packed: dict[str, list[Bucket]] = {}
        for key, (requests, retries) in list(self.counts.items()):
            service, at = key
            age_seconds = now - at * BUCKET_SECONDS
            if age_seconds >= self.window_seconds:
                del self.counts[key]
            else:
                packed.setdefault(service, []).append(
                    (age_seconds, requests, retries)
                )
        return packed


class VmRecord:
    """What one entry VM reported.

    :ivar run_id: identifies the process that reported last.
    :ivar previous: counts of earlier processes of the VM.
    """

    def __init__(self, window_seconds: float) -> None:
        self.run_id = ''
        self.totals: Totals = {}
        self.reported_at = -math.inf
        self.current = WindowCounts(window_seconds)
        self.previous = WindowCounts(window_seconds)


class RetryRecords:
    """The reports of all entry VMs, on one control VM.

    :ivar complete_from: timer seconds from which on the record covers the
        whole window.
    """

    def __init__(
        self, now: float, window_seconds: float = WINDOW_SECONDS
    ) -> None:
        self.window_seconds = window_seconds
        self.complete_from = now + window_seconds
        self.vms: dict[str, VmRecord] = {}
        self.cleaned_at = now
        self.fleet = WindowCounts(window_seconds)

    def record(self, vm: str, report: typing.Any, now: float) -> None:
        """Records a report of an entry VM.

        :param report: as :func:`pack_report` returns it.
        :raises ValueError: or ``TypeError``, if it is malformed.
        """
        run_id, packed = report
        peers.check_text(run_id)
        if not isinstance(packed, dict):
            raise TypeError('the totals are not a map')
        totals = {
            peers.check_text(service): (
                peers.check_count(requests),
                peers.check_count(retries),
            )
            for service, (requests, retries) in packed.items()
        }
        known = self.vms.get(vm)
        if known is None:
            known = self.vms[vm] = VmRecord(self.window_seconds)
        is_new_run = known.run_id != run_id
        if is_new_run:
            known.previous.merge(known.current)
            known.current = WindowCounts(self.window_seconds)
            known.run_id, known.totals = run_id, {}
        began_at = known.reported_at
        known.reported_at = max(now, began_at)
        for service, (requests, retries) in totals.items():
            before = known.totals.get(service)
            if before is not None and sum(before) > requests + retries:
                # A report that was overtaken by a later one.
                continue
            known.totals[service] = (requests, retries)
            # It is not known when the requests before the first report of a
            # process arrived, so they allow no retries.
            added = 0 if is_new_run else requests - (before or (0, 0))[0]
            repeated = retries - (before or (0, 0))[1]
            for counts in (known.current, self.fleet):
                counts.add(service, added, repeated, max(began_at, 0.0), now)

    def remove_expired(self, now: float) -> None:
        """Bounds the memory of the record; called often, works rarely."""
        if now - self.cleaned_at < self.window_seconds / 2:
            return
        self.cleaned_at = now
        self.fleet.pack(now)
        for vm, record in list(self.vms.items()):
            record.previous.pack(now)
            record.current.pack(now)
            if now - record.reported_at > self.window_seconds:
                del self.vms[vm]

    def pack(self, vm: str, now: float) -> list | None:
        """Returns the record for a VM that has just started.

        :returns: counts of earlier processes of the VM, and of all VMs; None
            if the record does not cover the window yet.
        """
        if now < self.complete_from:
            return None
        known = self.vms.get(vm)
        previous = {} if known is None else known.previous.pack(now)
        return [previous, self.fleet.pack(now)]


def pack_report(run_id: str, totals: Totals) -> list:
    return [run_id, {name: list(one) for name, one in totals.items()}]


@dataclasses.dataclass(frozen=True, slots=True)
class PastRetries:
    """Requests and retries before the start of a VM.

    :ivar previous: of earlier processes of the VM, by service.
    :ivar fleet: of all VMs.
    :ivar received_at: timer seconds to which the ages refer.
    """

    previous: dict[str, tuple[Bucket, ...]]
    fleet: dict[str, tuple[Bucket, ...]]
    received_at: float = 0.0

    @classmethod
    def unpack(cls, values: list) -> 'PastRetries':
        """Returns a record; fields of later releases are ignored."""
        previous, fleet = values[:2]
        return cls(unpack_counts(previous), unpack_counts(fleet))


def unpack_counts(packed: dict) -> dict[str, tuple[Bucket, ...]]:
    return {
        peers.check_text(service): tuple(
            (
                peers.check_seconds(age),
                peers.check_count(requests),
                peers.check_count(retries),
            )
            for age, requests, retries in buckets
        )
        for service, buckets in packed.items()
    }


def unpack_if_present(values: typing.Any) -> PastRetries | None:
    return None if values is None else PastRetries.unpack(values)
