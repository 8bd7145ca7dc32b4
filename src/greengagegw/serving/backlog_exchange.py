"""Exchanges backlogs at backend servers between the entry VMs of a region.

A burst reaches all entry VMs of a region at once. If each of them saw an idle
server and filled it, the server would get several times the work that it can
finish in time. Each VM therefore reports its requests in flight to the others,
in large regions through relays.
"""

import collections.abc
import dataclasses
import math
import typing

import anyio

from .. import errors
from .. import timers as timer_service
from ..fleet import agent as agents
from ..fleet import members
from ..ports import peers
from . import region_relays
from . import region_reports
from . import sum_intervals

# VMs of earlier releases send and understand only these messages.
BACKLOG_METHOD = 'serving.backlog'
REPORT_METHOD = 'serving.report'
SUM_METHOD = 'serving.report_sum'
TOTAL_METHOD = 'serving.report_total'
# Limits the messages to VMs of earlier releases: in large regions each VM
# sends to them less often.
MAX_MESSAGES_PER_SECOND = 40.0
# An unchanged backlog is sent again, since a message may be lost.
RESEND_SECONDS = 1.0
# Time from the first request to the report, which then contains those that
# begin just after it, as in a burst. The next report follows after 0.1 s.
FIRST_REPORT_SECONDS = 0.025
PARTNER_COUNT = 2
# Interval after a step that failed unexpectedly.
RETRY_SECONDS = 0.5
# A report that is to be removed has expired by then.
MARGIN_SECONDS = 0.01
STALE_SECONDS = region_relays.REPORT_EXPIRY_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """The report that another entry VM sent to this one.

    :ivar received_at: timer seconds.
    """

    received_at: float
    report: region_reports.Report


# When nothing was sent directly, to no VM.
NOT_SENT: tuple[float, region_reports.Report | None, list[str]] = (
    -math.inf,
    None,
    [],
)


class BacklogExchange:
    """Sums up the backlogs of the region's other entry VMs by server.

    :param local_backlog: returns the backlog of this VM, by server.
    :ivar report_extensions: functions that add further numbers to each report
        of this VM.
    """

    def __init__(
        self,
        vm: str,
        region: str,
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
        view: agents.FleetView,
        local_backlog: collections.abc.Callable[[], dict[str, list[float]]],
    ) -> None:
        self.vm = vm
        self.region = region
        self.timers = timers
        self.mesh = mesh
        self.view = view
        self.local_backlog = local_backlog
        self.report_extensions: list[
            collections.abc.Callable[[region_reports.Report], None]
        ] = []
        self.relays = region_relays.RegionRelays(
            vm, round(1000 * timers.wall_time())
        )
        self.view_entries: tuple | None = None
        self.uses_relays = False
        self.has_left = False
        self.direct_reports: dict[str, PeerReport] = {}
        self.direct_total = region_reports.Report()
        self.earlier_releases: dict[str, float] = {}
        self.last_direct = NOT_SENT
        self.last_backlog: tuple[float, dict] = (-math.inf, {})
        self.sent_sums = sum_intervals.SentSums()
        self.received_sums = sum_intervals.ReceivedSums()
        self.has_backlog = False
        self.is_running = False
        self.step_at = math.inf
        self.step_timer: timer_service.Timer | None = None
        view.update_callbacks.append(self.on_view_update)

    def handlers(self) -> dict[str, peers.Handler]:
        return {
            BACKLOG_METHOD: self.on_backlog,
            REPORT_METHOD: self.on_report,
            SUM_METHOD: self.on_sum,
            TOTAL_METHOD: self.on_total,
        }

    # What the other VMs reported.

    def peer_totals(self, server_name: str) -> list[float]:
        """Returns the peers' queued tokens and requests at a server."""
        total = self.relays.total
        direct = self.direct_total.servers.get(server_name)
        if total is None or not total.message.report.servers:
            values = direct
        else:
            values = self.peer_server_sums(server_name)
        if not values:
            return [0.0, 0.0]
        return [
            values.get(region_reports.TOKENS, 0.0),
            values.get(region_reports.REQUESTS, 0.0),
        ]

    def peer_server_sums(self, server_name: str) -> dict[str, float]:
        """Returns the sums of the peers' numbers for a server, by name."""
        direct = self.direct_total.servers.get(server_name, {})
        relayed = self.relayed_report.servers.get(server_name)
        if relayed is None:
            return direct
        return region_reports.add_values(relayed, direct, 1)

    def peer_sums(self) -> dict[str, float]:
        """Returns the sums of the peers' numbers for no server, by name."""
        return region_reports.add_values(
            self.relayed_report.sums, self.direct_total.sums, 1
        )

    @property
    def relayed_report(self) -> region_reports.Report:
        total = self.relays.total
        return NO_REPORT if total is None else total.message.report

    def max_age_seconds(self, now: float) -> float:
        """Returns the age in seconds of the oldest report; 0 for none."""
        ages = [now - one.received_at for one in self.direct_reports.values()]
        if self.relays.total is not None:
            ages.append(self.relays.total.oldest_age(now))
        return max(ages, default=0.0)

    @peers.never_waits
    async def on_backlog(self, peer: str, message: list) -> None:
        """Stores the backlog of a VM of an earlier release."""
        vm, by_server = decode_backlog(peer, message)
        self.earlier_releases[vm] = self.timers.now()
        self.store_direct(vm, make_report(by_server))
        self.schedule_step(self.timers.now() + region_relays.REPORT_SECONDS)

    @peers.never_waits
    async def on_report(self, peer: str, message: list) -> None:
        """Stores a report for this VM alone, or as the sender's relay."""
        vm, plane, sequence, report, *wait = self.decode(
            peer, REPORT_METHOD, message, REPORT_TYPES, REPORT_EXTENSIONS
        )
        if not wait:
            # Of the previous release.
            wait = [region_relays.HANDOVER_SECONDS if report else 0.0, False]
        if plane == DIRECT:
            self.earlier_releases.pop(vm, None)
            self.store_direct(vm, report)
        else:
            self.relays.on_report(
                region_relays.MemberReport(vm, plane, sequence, report, *wait),
                self.timers.now(),
            )
            self.schedule_relay(plane)

    @peers.never_waits
    async def on_sum(self, peer: str, message: list) -> None:
        received = region_relays.Sum(
            *self.decode(peer, SUM_METHOD, message, SUM_TYPES, SUM_EXTENSIONS)
        )
        self.relays.on_sum(received, self.timers.now())
        self.schedule_relay(received.plane)

    @peers.never_waits
    async def on_total(self, peer: str, message: list) -> None:
        received = region_relays.Total(
            *self.decode(
                peer, TOTAL_METHOD, message, SUM_TYPES, TOTAL_EXTENSIONS
            )
        )
        was_busy = self.relays.is_region_busy
        self.relays.on_total(received, self.timers.now())
        if self.relays.is_region_busy and not was_busy:
            self.wake()

    def decode(
        self,
        peer: str,
        method: str,
        message: typing.Any,
        types: tuple[type, ...],
        extensions: tuple[type, ...],
    ) -> list:
        """Returns the values of a message, whose report has its sums.

        :raises PeerProtocolError: if the message is malformed.
        """
        values = decode(peer, message, types, extensions)
        vm, plane, report = values[0], values[1], values[len(types)]
        packed = message[len(types)]
        self.received_sums.complete(
            (vm, method, plane),
            report,
            packed is not None and packed[3:4] == [sum_intervals.UNCHANGED],
            self.timers.now(),
        )
        return values

    def schedule_relay(self, plane: int) -> None:
        """Schedules what is due after a message to this VM as a relay."""
        due_at = self.relays.relays[plane].due_at
        if self.uses_relays and due_at < self.step_at:
            earliest = self.timers.now() + region_relays.MIN_TICK_SECONDS
            self.schedule_step(max(due_at, earliest))

    def store_direct(
        self, vm: str, report: region_reports.Report | None
    ) -> None:
        self.remove_peer(vm)
        if report:
            now = self.timers.now()
            self.direct_reports[vm] = PeerReport(now, report)
            self.direct_total.add(report)
            self.schedule_step(now + STALE_SECONDS + MARGIN_SECONDS)

    def remove_peer(self, vm: str) -> None:
        """Subtracts the report of a VM from the total."""
        known = self.direct_reports.pop(vm, None)
        if not self.direct_reports:
            self.direct_total = region_reports.Report()
        elif known is not None:
            self.direct_total.subtract(known.report)

    # What this VM reports.

    def region_peers(self) -> list[str]:
        """Returns the other entry VMs of this region."""
        return [
            one.vm
            for one in self.view.entry_vms
            if one.region == self.region and one.vm != self.vm
        ]

    def region_partners(self) -> list[str]:
        """Returns a few other entry VMs of this region, always the same.

        Exchanges at regular intervals keep connections open, which cost
        heartbeats. If each VM has two partners, news of one reaches all.
        """
        vms = self.region_peers()
        vms.sort(key=lambda vm: region_relays.score(self.vm, vm))
        return vms[-PARTNER_COUNT:]

    async def run(self) -> None:
        """Reports the backlog of this VM to the others until cancelled."""
        self.is_running = True
        self.wake()
        try:
            await anyio.sleep_forever()
        finally:
            self.is_running = False
            self.cancel_step()

    def wake(self) -> None:
        """Has the next messages sent soon.

        Called when a message arrives or the list of VMs changes, since
        nothing is scheduled without a backlog.
        """
        self.schedule_step(self.timers.now() + region_relays.MIN_TICK_SECONDS)

    def on_request_start(self) -> None:
        """Reports a request that begins, unless a report is due anyway."""
        if not self.has_backlog:
            self.schedule_step(self.timers.now() + FIRST_REPORT_SECONDS)

    def schedule_step(self, due_at: float) -> None:
        if not self.is_running or self.has_left or due_at >= self.step_at:
            return
        self.cancel_step()
        self.step_at = due_at
        self.step_timer = self.timers.call_later(
            due_at - self.timers.now(), self.step
        )

    def cancel_step(self) -> None:
        self.step_at = math.inf
        if self.step_timer is not None:
            self.step_timer.cancel()

    def step(self) -> None:
        """Sends the messages that are due, and schedules the next ones."""
        now = self.timers.now()
        due_at = now + RETRY_SECONDS
        self.step_at = math.inf
        if self.has_left:
            return
        try:
            self.send_reports(now)
            due_at = self.next_due(now)
        finally:
            if due_at < math.inf:
                self.schedule_step(due_at)

    def next_due(self, now: float) -> float:
        """Returns when the next message is due; infinity if none is."""
        due = math.inf
        if self.uses_relays:
            due = self.relays.due_at
        elif self.last_direct[1]:
            due = now + region_relays.REPORT_SECONDS
        if self.earlier_releases:
            due = min(due, now + region_relays.REPORT_SECONDS)
        for one in self.direct_reports.values():
            due = min(due, one.received_at + STALE_SECONDS + MARGIN_SECONDS)
        return due

    def on_view_update(self) -> None:
        if self.view.entry_vms is not self.view_entries:
            self.wake()

    def send_reports(self, now: float) -> None:
        """Sends the messages that are due."""
        for vm, known in list(self.direct_reports.items()):
            if now - known.received_at > STALE_SECONDS:
                self.remove_peer(vm)
        self.sent_sums.remove_expired(now)
        self.received_sums.remove_expired(now)
        backlog = self.local_backlog()
        own = make_report(backlog)
        for extend in self.report_extensions:
            extend(own)
        self.has_backlog = bool(own)
        self.update_region()
        if self.uses_relays:
            self.post_all(self.relays.tick(own, now))
        else:
            self.send_directly(own, now)
        self.send_to_earlier_releases(backlog, now)

    def leave(self) -> None:
        """Withdraws the report of this VM, which is about to stop."""
        self.has_left = True
        self.post_all(self.relays.leave())
        if not self.uses_relays:
            self.withdraw_directly()

    def withdraw_directly(self) -> None:
        """Withdraws the reports that were sent to single VMs."""
        _, report, recipients = self.last_direct
        self.last_direct = NOT_SENT
        if not report:
            return
        for vm in recipients:
            self.mesh.post(vm, REPORT_METHOD, [self.vm, DIRECT, 0, None])

    def update_region(self) -> None:
        """Chooses how to report when the list of entry VMs has changed."""
        if self.view.entry_vms is self.view_entries:
            return
        self.view_entries = self.view.entry_vms
        entries = [
            one for one in self.view.entry_vms if one.region == self.region
        ]
        vms = sorted({self.vm, *(one.vm for one in entries)})
        uses_relays = len(vms) > region_relays.MAX_DIRECT_VMS
        if uses_relays and not self.uses_relays:
            self.withdraw_directly()
        if self.uses_relays and not uses_relays:
            self.post_all(self.relays.leave())
        self.uses_relays = uses_relays
        serving = [one.vm for one in members.usable(entries)]
        self.relays.update_vms(vms, serving or vms)

    def post_all(
        self, messages: list[tuple[str, region_relays.Message]]
    ) -> None:
        now = self.timers.now()
        packed: dict[tuple[int, bool], list] = {}
        for vm, message in messages:
            has_sums = self.sent_sums.is_due(
                (vm, type(message), message.plane), message.report, now
            )
            self.mesh.post(vm, *encode(message, packed, has_sums))

    def send_directly(self, own: region_reports.Report, now: float) -> None:
        """Reports to all VMs of a small region, unless there is no backlog."""
        if not own and not self.last_direct[1]:
            return
        recipients = self.region_peers()
        self.last_direct = (now, own, recipients)
        for vm in recipients:
            has_sums = self.sent_sums.is_due((vm, DIRECT), own, now)
            message = [self.vm, DIRECT, 0, own.pack(has_sums)]
            self.mesh.post(vm, REPORT_METHOD, message)

    def send_to_earlier_releases(self, backlog: dict, now: float) -> None:
        """Sends the backlog to VMs that report in the former way."""
        if not self.earlier_releases:
            return
        for vm, received_at in list(self.earlier_releases.items()):
            if now - received_at > STALE_SECONDS:
                del self.earlier_releases[vm]
        sent_at, last = self.last_backlog
        pause = len(self.earlier_releases) / MAX_MESSAGES_PER_SECOND
        if now - sent_at < max(region_relays.REPORT_SECONDS, pause):
            return
        is_due = bool(backlog) and now - sent_at >= RESEND_SECONDS
        if backlog == last and not is_due:
            return
        self.last_backlog = (now, backlog)
        for vm in self.earlier_releases:
            self.mesh.post(vm, BACKLOG_METHOD, [self.vm, backlog])


# The plane of a report that its recipient does not pass on.
DIRECT = -1
NO_REPORT = region_reports.Report()
REPORT_TYPES = (str, int, int)
# After the report: the time until it counts.
REPORT_EXTENSIONS = (float,)
# After a sum: the number of missing VMs; after a total also the sequence of
# the recipient's last report, and whether that is a part of the total.
SUM_EXTENSIONS = (int,)
TOTAL_EXTENSIONS = (int, int, bool)
# Sender, plane, delay, age, oldest age and number of VMs.
SUM_TYPES = (str, int, float, float, float, int)


def make_report(by_server: dict[str, list[float]]) -> region_reports.Report:
    """Returns the report of a backlog by server."""
    return region_reports.Report(
        {
            server: {
                region_reports.TOKENS: tokens,
                region_reports.REQUESTS: requests,
            }
            for server, (tokens, requests) in by_server.items()
        }
    )


def encode(
    message: region_relays.Message,
    packed_reports: dict[tuple[int, bool], list],
    has_sums: bool = True,
) -> tuple[str, list]:
    """Returns the method and the content for a message.

    :param packed_reports: packed reports by object and whether they have
        their sums, which messages share.
    """
    packed = None
    if message.report is not None:
        key = (id(message.report), has_sums)
        packed = packed_reports.get(key)
        if packed is None:
            packed = packed_reports[key] = message.report.pack(has_sums)
    if isinstance(message, region_relays.MemberReport):
        content = [message.vm, message.plane, message.sequence, packed]
        if packed is not None or message.wait:
            content.append(round(message.wait, 3))
        return REPORT_METHOD, content
    content = [
        message.vm,
        message.plane,
        round(message.delay, 3),
        round(message.age, 3),
        round(message.oldest_age, 3),
        message.vm_count,
        packed,
        message.missing,
    ]
    if isinstance(message, region_relays.Total):
        content += [message.sequence, message.has_own]
        return TOTAL_METHOD, content
    return SUM_METHOD, content


def decode(
    peer: str,
    message: typing.Any,
    types: tuple[type, ...],
    extensions: tuple[type, ...] = (),
) -> list:
    """Returns the values of a message, its report and what follows it.

    :param types: of the values before the report.
    :param extensions: types of the values after it, which the previous
        release does not send. Further values are ignored.
    :raises PeerProtocolError: if the message is malformed.
    """
    try:
        values = [
            convert(value)
            for convert, value in zip(types, message, strict=False)
        ]
        packed = message[len(types)]
        rest = [
            convert(value)
            for convert, value in zip(
                extensions, message[len(types) + 1 :], strict=False
            )
        ]
        if values[1] not in (DIRECT, *region_relays.PLANES):
            raise ValueError(values[1])
        report = None
        if packed is not None or types is SUM_TYPES:
            report = region_reports.Report.unpack(packed)
    except (TypeError, ValueError, LookupError, AttributeError) as error:
        raise errors.PeerProtocolError(
            f'{peer} sent a malformed report'
        ) from error
    return [*values, report, *rest]


def decode_backlog(
    peer: str, message: typing.Any
) -> tuple[str, dict[str, list[float]]]:
    """Returns the VM of a message, and its backlog by server.

    :raises PeerProtocolError: if the message is malformed.
    """
    try:
        vm, by_server = message
        return str(vm), {
            str(server): [
                float(peers.check_number(tokens)),
                float(peers.check_number(requests)),
            ]
            for server, (tokens, requests) in by_server.items()
        }
    except (TypeError, ValueError, AttributeError) as error:
        raise errors.PeerProtocolError(
            f'{peer} sent a malformed backlog'
        ) from error
