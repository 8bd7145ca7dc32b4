"""Decides which VM of a large region reports to which, without I/O.

Each VM reports to one relay in each of two planes. The relays of a plane
exchange the sums of their members and send the total to them. A VM belongs to
one plane as a relay, so that a VM that fails breaks only one of the planes,
and every VM uses the better one of its two totals. While no VM of the region
has a backlog, nothing is sent.
"""

import collections
import collections.abc
import dataclasses
import functools
import math

import xxhash

from . import region_reports

PLANES = (0, 1)
# In regions up to this size each VM reports to all others.
MAX_DIRECT_VMS = 8
# The age of a backlog is at most the sum of these three intervals and the
# transit times. It must be less than 0.3 s.
REPORT_SECONDS = 0.1
SUM_SECONDS = 0.05
TOTAL_SECONDS = 0.1
# A total is not used beside another one if it is older: one missed total.
MAX_DELAY_SECONDS = 0.25
# Interval of the reports of a VM without a backlog while others have one, and
# of totals to VMs that report although there is no backlog, as those of the
# previous release do.
IDLE_SECONDS = 4.0
# Time without a total after which a member reports to another relay.
SILENCE_SECONDS = 0.3
# The same for a VM that receives nothing from any other: it is more likely cut
# off itself, and by changing its relays it would be missing in both planes.
# It moves in one plane at a time, after twice the time with each move.
CUT_OFF_SILENCE_SECONDS = 0.9
MAX_UNHEARD_MOVES = 5
# Time after which a VM that receives nothing counts as cut off: two totals.
HEARD_SECONDS = 0.2
# The sum of a silent relay is dropped before its members report to another
# one, since they would be counted twice. Its last total may be TOTAL_SECONDS
# older than its last sum.
SUM_EXPIRY_SECONDS = 0.2
REPORT_EXPIRY_SECONDS = 2.5
IDLE_EXPIRY_SECONDS = 12.0
# A VM counts as present if its last report, and the sum that contains it, are
# not older: two missed reports and one missed sum.
FRESH_SECONDS = 0.25
FRESH_SUM_SECONDS = 0.12
# A relay adds a new member only after this time, and a member uses the totals
# of a new relay only then. So a VM that moves is missing in the totals of one
# plane for a moment, but is never counted twice, and the total with more VMs
# is the better one. Covers SUM_EXPIRY_SECONDS.
HANDOVER_SECONDS = 0.25
# A relay that a VM has left tells for this time longer that it moves, until
# the sum of its new relay has arrived.
MOVED_SECONDS = 0.1
# VMs that fell silent, or whose relay did, report to another relay and are
# counted by it within this time.
LOST_SECONDS = 1.0
# A changed list of VMs reaches all of them within a poll of 0.5 s. The relays
# of the second plane change after the moves that it causes in the first one.
SECOND_PLANE_DELAY_SECONDS = 1.0
# Each plane has the square root of half the number of VMs as relays, which
# minimises the messages of a relay: it sends 10 totals a second to each of its
# members, and 20 sums a second to each other relay.
MIN_RELAYS = 2
# Reports of the last 1.6 s. A relay drops them after 2.5 s, but a total of one
# that has received no report for 1.6 s is of no use.
MAX_KEPT_REPORTS = 16
# Messages that arrive one after the other share a tick.
MIN_TICK_SECONDS = 0.005
# A total for a VM whose report the relay does not have.
NO_SEQUENCE = -1
# Scores are kept, since each VM needs those of its region for each choice.
MAX_KNOWN_SCORES = 16384
# A silent relay is avoided for this time, and for longer if it stays silent.
AVOID_SECONDS = 2.0
MAX_AVOID_SECONDS = 32.0


@dataclasses.dataclass(frozen=True, slots=True)
class MemberReport:
    """The last report of a member.

    :ivar report: None if the VM now reports elsewhere.
    :ivar wait: seconds until the report counts, since the VM may still be
        counted by the relay to which it reported before. Without a report,
        seconds until it counts elsewhere; 0 if the VM leaves.
    :ivar can_subtract: whether the VM removes its own part from totals, which
        those of the previous release do not.
    """

    vm: str
    plane: int
    sequence: int
    report: region_reports.Report | None
    wait: float = HANDOVER_SECONDS
    can_subtract: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Sum:
    """The sum of the reports of several VMs.

    :ivar delay: seconds for which the oldest of the sums that it was made of,
        without those of silent relays, had been received.
    :ivar age: seconds since the oldest report was received, without those of
        VMs that fell silent. Empty reports have no age.
    :ivar oldest_age: the same with those of VMs that fell silent.
    :ivar vm_count: VMs whose reports are recent.
    :ivar missing: VMs that are known to be missing or outdated, since they
        move from one relay to another, or they or their relay fell silent.
    """

    vm: str
    plane: int
    delay: float
    age: float
    oldest_age: float
    vm_count: int
    report: region_reports.Report
    missing: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Total(Sum):
    """The sum of all reports of a region.

    :ivar sequence: that of the recipient's last report to the relay, or
        NO_SEQUENCE if there is none.
    :ivar has_own: whether the recipient's report of that sequence is a part
        of the sum.
    """

    sequence: int = 0
    has_own: bool = False


Message = MemberReport | Sum


@dataclasses.dataclass(slots=True)
class Received:
    """A message and the timer seconds at which it was received.

    :ivar counted_at: timer seconds from which on it counts, here or, if it is
        withdrawn, elsewhere.
    """

    message: Message
    received_at: float
    counted_at: float = -math.inf

    def delay(self, now: float) -> float:
        """Returns the delay of a sum until now."""
        return now - self.received_at + getattr(self.message, 'delay', 0.0)

    def age(self, now: float) -> float:
        """Returns seconds since the oldest recent part was reported."""
        return now - self.received_at + getattr(self.message, 'age', 0.0)

    def oldest_age(self, now: float) -> float:
        """Returns seconds since any part was reported; 0 if all are empty."""
        if not self.message.report:
            return 0.0
        elapsed = now - self.received_at
        return elapsed + getattr(self.message, 'oldest_age', 0.0)


class PlaneMember:
    """What a VM knows in a plane as a member of it.

    :ivar relay: VM to which this one reports, if any.
    :ivar wait_started_at: since when a total of the relay is awaited.
    :ivar moved_at: when this VM withdrew its report from another relay.
    :ivar sent_report: the last report to the relay; None if there is none.
    :ivar sent_reports: the last reports with their sequences, of which one is
        a part of the next total.
    :ivar total: the last total of the relay, without the part of this VM.
    """

    def __init__(self) -> None:
        self.relay: str | None = None
        self.wait_started_at = 0.0
        self.moved_at = -math.inf
        self.sent_at = -math.inf
        self.sent_report: region_reports.Report | None = None
        self.sent_reports: collections.deque[
            tuple[int, region_reports.Report]
        ] = collections.deque(maxlen=MAX_KEPT_REPORTS)
        self.total: Received | None = None

    @property
    def has_backlog(self) -> bool:
        """Whether the region had a backlog according to the last total."""
        return self.total is not None and bool(self.total.message.report)


class PlaneRelay:
    """What a VM knows in a plane as a relay of it.

    :ivar withdrawn: the last messages of VMs that have withdrawn their reports
        or fell silent.
    :ivar lost: relays that fell silent, with the number of VMs in their last
        sums, and until when these may be missing.
    :ivar due_at: timer seconds at which the next sum or total is due.
    """

    def __init__(self) -> None:
        self.reports: dict[str, Received] = {}
        self.sums: dict[str, Received] = {}
        self.withdrawn: dict[str, Received] = {}
        self.lost: dict[str, tuple[int, float]] = {}
        self.sums_sent_at = -math.inf
        self.totals_sent_at = -math.inf
        self.was_sum_empty = True
        self.was_total_empty = True
        self.due_at = math.inf

    def wake(self, now: float) -> None:
        """Has a sum and a total sent, unless they were sent just now."""
        if self.due_at > now + TOTAL_SECONDS:
            self.due_at = now


class RegionRelays:
    """One VM as a member, and if others choose it as a relay, of its region.

    :param first_sequence: greater than those of an earlier process of the VM.
    :ivar total: the sum of the reports of all other VMs, as far as known.
    :ivar unheard_moves: moves to another relay since the last message of any
        other VM.
    """

    def __init__(self, vm: str, first_sequence: int) -> None:
        self.vm = vm
        self.sequence = first_sequence
        self.members = tuple(PlaneMember() for _ in PLANES)
        self.relays = tuple(PlaneRelay() for _ in PLANES)
        self.vms: list[str] = []
        self.relay_names: list[tuple[str, ...]] = [(), ()]
        self.expected: list[tuple[str, ...] | None] = [None, None]
        self.next_relay_names: list[tuple[str, ...]] = [(), ()]
        self.names_changed_at: float | None = None
        self.total: Received | None = None
        self.was_busy = False
        self.avoided: dict[str, tuple[float, float]] = {}
        self.due_at = math.inf
        self.heard_at = -math.inf
        self.unheard_moves = 0

    def update_vms(self, vms: list[str], relay_candidates: list[str]) -> None:
        """Chooses the relays of the region, including this VM.

        :param vms: all VMs of the region that report here.
        :param relay_candidates: those that will remain for some seconds.
        """
        self.vms = vms
        self.expected = [None, None]
        count = max(MIN_RELAYS, math.ceil(math.sqrt(len(vms) / 2)))
        self.next_relay_names = [
            tuple(
                sorted(
                    (vm for vm in relay_candidates if plane_of(vm) == plane),
                    key=lambda vm: score('relay', vm),
                    reverse=True,
                )[:count]
            )
            for plane in PLANES
        ]

    def apply_relay_names(self, now: float) -> None:
        """Uses changed relays, those of the second plane after a delay."""
        first, second = PLANES
        self.use_relay_names(first)
        if self.relay_names[second] == self.next_relay_names[second]:
            self.names_changed_at = None
            return
        if self.names_changed_at is None:
            self.names_changed_at = now
        elapsed = now - self.names_changed_at
        if not self.relay_names[second] or (
            elapsed >= SECOND_PLANE_DELAY_SECONDS
        ):
            self.use_relay_names(second)
            self.names_changed_at = None

    def use_relay_names(self, plane: int) -> None:
        if self.relay_names[plane] != self.next_relay_names[plane]:
            self.relay_names[plane] = self.next_relay_names[plane]
            self.expected[plane] = None

    def expected_members(self, plane: int, now: float) -> tuple[str, ...]:
        """Returns the VMs whose relay this VM should be.

        They get totals without having reported, so that a VM without a
        backlog knows those of the others and need not send anything.
        """
        expected = self.expected[plane]
        if expected is None:
            withdrawn = self.relays[plane].withdrawn
            for vm, one in list(withdrawn.items()):
                if one.counted_at <= now:
                    del withdrawn[vm]
            names = self.relay_names[plane]
            expected = ()
            if self.vm in names:
                expected = tuple(
                    vm
                    for vm in self.vms
                    if vm != self.vm and preferred(vm, names) == self.vm
                )
            self.expected[plane] = expected
        return expected

    # Messages of other VMs.

    def on_report(self, message: MemberReport, now: float) -> None:
        self.hear(message, now)
        relay = self.relays[message.plane]
        known = relay.reports.get(message.vm)
        last = known or relay.withdrawn.get(message.vm)
        # An old message on another connection arrives soon after a newer one.
        # A sequence that starts again later is that of a new process.
        if (
            last is not None
            and message.sequence < last.message.sequence
            and now - last.received_at < FRESH_SECONDS
        ):
            return
        if message.report is None:
            relay.reports.pop(message.vm, None)
            until = now + message.wait + MOVED_SECONDS if message.wait else now
            relay.withdrawn[message.vm] = Received(message, now, until)
            return
        relay.withdrawn.pop(message.vm, None)
        counted_at = now + message.wait
        if known is not None:
            counted_at = known.counted_at
        relay.reports[message.vm] = Received(message, now, counted_at)
        if message.report or known is None:
            relay.wake(now)

    def on_sum(self, message: Sum, now: float) -> None:
        self.hear(message, now)
        relay = self.relays[message.plane]
        relay.lost.pop(message.vm, None)
        relay.sums[message.vm] = Received(message, now)
        if message.report:
            relay.wake(now)

    def on_total(self, message: Total, now: float) -> None:
        self.hear(message, now)
        member = self.members[message.plane]
        if member.sent_report and message.sequence == NO_SEQUENCE:
            # The relay does not know this VM's report, which may be lost, or
            # counted by the relay to which this VM reported before.
            return
        if message.has_own:
            own = dict(member.sent_reports).get(message.sequence)
            if own is None:
                return
            message = without_own(message, own)
        self.avoided.pop(message.vm, None)
        if message.vm != member.relay:
            return
        member.wait_started_at = now
        if now - member.moved_at >= HANDOVER_SECONDS:
            member.total = Received(message, now)
            self.choose_total(now)

    def hear(self, message: Message, now: float) -> None:
        if message.vm != self.vm:
            self.heard_at = now
            self.unheard_moves = 0

    def choose_total(self, now: float) -> None:
        """Uses the more complete total, or else the newer one.

        That is the one of which fewer VMs are known to be missing. The number
        of VMs alone would favour a plane to which new VMs have reported first.
        """
        candidates = [
            one.total for one in self.members if one.total is not None
        ]
        # No further total follows from a relay that this VM has left.
        current = [
            one.total
            for one in self.members
            if one.total is not None and one.total.message.vm == one.relay
        ]
        candidates = current or candidates
        recent = [
            one for one in candidates if one.delay(now) <= MAX_DELAY_SECONDS
        ]
        self.total = max(
            recent or candidates,
            key=lambda one: (
                -one.message.missing,
                one.message.vm_count,
                -one.age(now),
            ),
            default=None,
        )

    # Messages to other VMs.

    def tick(
        self, own: region_reports.Report, now: float
    ) -> list[tuple[str, Message]]:
        """Returns the messages that are due, with their recipients.

        Called when the messages are due, when a message has arrived, and when
        the backlog of this VM or the list of VMs has changed.

        :param own: the report of this VM.
        """
        if now - self.due_at > SILENCE_SECONDS:
            # This process was suspended, and its members have left it.
            self.relays = tuple(PlaneRelay() for _ in PLANES)
        self.apply_relay_names(now)
        is_busy = bool(own)
        messages: list[tuple[str, Message]] = []
        for plane in PLANES:
            if is_busy and not self.was_busy:
                self.members[plane].wait_started_at = max(
                    now, self.members[plane].wait_started_at
                )
            messages += self.report_messages(plane, own, now)
        self.was_busy = is_busy
        for plane in PLANES:
            messages += self.relay_messages(plane, now)
        self.drop_old_total(now)
        others = self.deliver_own(messages, now)
        self.due_at = self.next_due(now)
        return others

    def next_due(self, now: float) -> float:
        """Returns when the next message is due; infinity if none is."""
        due = math.inf
        if self.names_changed_at is not None:
            due = self.names_changed_at + SECOND_PLANE_DELAY_SECONDS
        for plane in PLANES:
            member = self.members[plane]
            if member.relay is not None and self.is_region_busy:
                due = min(
                    due,
                    member.sent_at + self.report_interval(member),
                    member.wait_started_at + self.silence_limit(now),
                )
            due = min(due, self.relays[plane].due_at)
        for until, _ in self.avoided.values():
            if until > now and self.is_region_busy:
                due = min(due, until)
        return max(due, now + MIN_TICK_SECONDS)

    @property
    def is_region_busy(self) -> bool:
        """Whether this VM or another one of the region has a backlog."""
        return self.was_busy or any(
            one.sent_report or one.has_backlog for one in self.members
        )

    def drop_old_total(self, now: float) -> None:
        for member in self.members:
            if (
                member.total is not None
                and now - member.total.received_at > expiry(member.total)
            ):
                member.total = None
        if self.total is not None and now - self.total.received_at > expiry(
            self.total
        ):
            self.total = None
            self.choose_total(now)

    def deliver_own(
        self, messages: list[tuple[str, Message]], now: float
    ) -> list[tuple[str, Message]]:
        """Handles the messages to this VM, and returns the others."""
        others = []
        for vm, message in messages:
            if vm != self.vm:
                others.append((vm, message))
            elif isinstance(message, MemberReport):
                self.on_report(message, now)
            elif isinstance(message, Total):
                self.on_total(message, now)
        return others

    def leave(self) -> list[tuple[str, Message]]:
        """Returns the messages after which no relay counts this VM."""
        messages = []
        for plane, member in enumerate(self.members):
            if member.relay is not None and member.sent_report:
                messages.append((member.relay, self.report(plane, None, 0.0)))
            member.relay = member.total = None
        self.total = None
        return [one for one in messages if one[0] != self.vm]

    def report(
        self, plane: int, report: region_reports.Report | None, wait: float
    ) -> MemberReport:
        self.sequence += 1
        return MemberReport(
            self.vm, plane, self.sequence, report, max(0.0, wait)
        )

    def silence_limit(self, now: float) -> float:
        """Returns the seconds without a total after which a VM moves."""
        if now - self.heard_at > HEARD_SECONDS:
            return CUT_OFF_SILENCE_SECONDS * 2**self.unheard_moves
        return SILENCE_SECONDS

    def report_interval(self, member: PlaneMember) -> float:
        if self.was_busy or member.sent_report:
            return REPORT_SECONDS
        return IDLE_SECONDS

    def report_messages(
        self, plane: int, own: region_reports.Report, now: float
    ) -> list[tuple[str, Message]]:
        member = self.members[plane]
        messages: list[tuple[str, Message]] = []
        is_busy = bool(own) or self.is_region_busy
        if (
            is_busy
            and member.relay is not None
            and now - member.wait_started_at >= self.silence_limit(now)
        ):
            if now - self.heard_at > HEARD_SECONDS:
                self.unheard_moves = min(
                    self.unheard_moves + 1, MAX_UNHEARD_MOVES
                )
            self.avoid(member.relay, now)
        relay = self.choose_relay(plane, now)
        if relay != member.relay:
            if member.relay is not None and member.sent_report is not None:
                wait = 0.0
                if member.sent_report:
                    member.moved_at = now
                    wait = HANDOVER_SECONDS
                messages.append((member.relay, self.report(plane, None, wait)))
            member.relay = relay
            self.choose_total(now)
            member.wait_started_at = now
            member.sent_at = -math.inf
            member.sent_report = None
        if relay is None or not is_busy:
            return messages
        interval = REPORT_SECONDS
        if not own and not member.sent_report:
            interval = IDLE_SECONDS
        if is_due(now, member.sent_at, interval):
            member.sent_at = now
            member.sent_report = own
            wait = member.moved_at + HANDOVER_SECONDS - now
            report = self.report(plane, own, wait)
            member.sent_reports.append((report.sequence, own))
            messages.append((relay, report))
        return messages

    def avoid(self, relay: str, now: float) -> None:
        _, seconds = self.avoided.get(relay, (0.0, AVOID_SECONDS / 2))
        seconds = min(2 * seconds, MAX_AVOID_SECONDS)
        self.avoided[relay] = (now + seconds, seconds)

    def choose_relay(self, plane: int, now: float) -> str | None:
        names = self.relay_names[plane]
        usable = [
            vm for vm in names if self.avoided.get(vm, (-math.inf,))[0] <= now
        ]
        return preferred(self.vm, usable or names)

    def relay_messages(
        self, plane: int, now: float
    ) -> list[tuple[str, Message]]:
        relay = self.relays[plane]
        if relay.due_at > now + SUM_SECONDS / 2:
            return []
        for vm, one in drop_expired(relay.reports, now, expiry).items():
            if one.message.report:
                one.counted_at = now + LOST_SECONDS
                relay.withdrawn[vm] = one
        for vm, one in drop_expired(relay.sums, now, sum_expiry).items():
            missing = one.message.vm_count + one.message.missing
            relay.lost[vm] = (missing, now + LOST_SECONDS)
        messages: list[tuple[str, Message]] = []
        counted = [
            one for one in relay.reports.values() if now >= one.counted_at
        ]
        missing = sum(one.counted_at > now for one in relay.withdrawn.values())
        missing += sum(
            one.counted_at > now and bool(one.message.report)
            for one in relay.reports.values()
        )
        group = sum_of(self.vm, plane, counted, now, missing)
        # After the last backlog, one empty sum and one empty total are sent.
        has_sum = bool(group.report or missing)
        if (has_sum or not relay.was_sum_empty) and is_due(
            now, relay.sums_sent_at, SUM_SECONDS
        ):
            relay.sums_sent_at = now
            relay.was_sum_empty = not has_sum
            for vm in {*self.relay_names[plane], *relay.sums}:
                if vm != self.vm:
                    messages.append((vm, group))
        has_total = has_sum or not relay.was_total_empty or bool(relay.sums)
        interval = TOTAL_SECONDS if has_total else IDLE_SECONDS
        if is_due(now, relay.totals_sent_at, interval):
            messages += self.total_messages(plane, group, now)
        relay.due_at = min(
            (
                one.counted_at
                for one in relay.reports.values()
                if one.counted_at > now
            ),
            default=math.inf,
        )
        if has_sum or not relay.was_sum_empty:
            relay.due_at = min(relay.due_at, relay.sums_sent_at + SUM_SECONDS)
        if has_sum or not relay.was_total_empty:
            relay.due_at = min(
                relay.due_at, relay.totals_sent_at + TOTAL_SECONDS
            )
        elif relay.reports:
            relay.due_at = min(
                relay.due_at, relay.totals_sent_at + IDLE_SECONDS
            )
        return messages

    def total_messages(
        self, plane: int, group: Sum, now: float
    ) -> list[tuple[str, Message]]:
        """Returns the total of the region for each member."""
        relay = self.relays[plane]
        lost = sum(
            count for count, until in relay.lost.values() if until > now
        )
        total = sum_of(
            self.vm,
            plane,
            [Received(group, now), *relay.sums.values()],
            now,
            lost,
        )
        has_backlog = bool(total.report) or not relay.was_total_empty
        relay.totals_sent_at = now
        relay.was_total_empty = not total.report
        messages: list[tuple[str, Message]] = [
            (vm, total_for(total, received, now))
            for vm, received in relay.reports.items()
        ]
        if has_backlog:
            unknown = make_total(total, NO_SEQUENCE, False)
            messages += [
                (vm, unknown)
                for vm in self.expected_members(plane, now)
                if vm not in relay.reports and vm not in relay.withdrawn
            ]
        return messages


def is_due(now: float, sent_at: float, interval: float) -> bool:
    # Half of a tick covers its jitter.
    return now - sent_at >= interval - SUM_SECONDS / 2


def preferred(vm: str, relays: collections.abc.Sequence[str]) -> str | None:
    """Returns the relay of a VM by rendezvous hashing; None without any."""
    return max(relays, key=lambda relay: score(vm, relay), default=None)


def plane_of(vm: str) -> int:
    """Returns the plane in which a VM may be a relay."""
    return score('plane', vm) % len(PLANES)


@functools.lru_cache(maxsize=MAX_KNOWN_SCORES)
def score(key: str, vm: str) -> int:
    """Returns the score of a VM for rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f'{key}/{vm}'.encode())


def expiry(received: Received) -> float:
    if received.message.report:
        return REPORT_EXPIRY_SECONDS
    return IDLE_EXPIRY_SECONDS


def sum_expiry(received: Received) -> float:
    if received.message.report or received.message.missing:
        return SUM_EXPIRY_SECONDS
    return IDLE_EXPIRY_SECONDS


def drop_expired(
    by_vm: dict[str, Received], now: float, limit
) -> dict[str, Received]:
    """Removes what is older than its limit, and returns it."""
    expired = {
        vm: received
        for vm, received in by_vm.items()
        if now - received.received_at > limit(received)
    }
    for vm in expired:
        del by_vm[vm]
    return expired


def recent_vm_count(received: Received, now: float) -> int:
    if not received.message.report:
        return 0
    limit = FRESH_SECONDS
    if isinstance(received.message, Sum):
        limit = FRESH_SUM_SECONDS
    if now - received.received_at > limit:
        return 0
    return getattr(received.message, 'vm_count', 1)


def sum_of(vm: str, plane: int, parts, now: float, missing: int = 0) -> Sum:
    """Returns the sum of received reports or sums.

    :param missing: VMs that are missing besides those that fell silent.
    """
    reports = []
    delay = age = oldest_age = 0.0
    vm_count = 0
    for part in parts:
        recent_count = recent_vm_count(part, now)
        vm_count += recent_count
        missing += getattr(part.message, 'missing', 0)
        if part.message.report:
            reports.append(part.message.report)
            oldest_age = max(oldest_age, part.oldest_age(now))
            if recent_count:
                age = max(age, part.age(now))
            else:
                missing += getattr(part.message, 'vm_count', 1)
        if recent_count and isinstance(part.message, Sum):
            delay = max(delay, part.delay(now))
    report = region_reports.Report.sum(reports)
    return Sum(vm, plane, delay, age, oldest_age, vm_count, report, missing)


def make_total(total: Sum, sequence: int, has_own: bool) -> Total:
    return Total(
        total.vm,
        total.plane,
        total.delay,
        total.age,
        total.oldest_age,
        total.vm_count,
        total.report,
        total.missing,
        sequence,
        has_own,
    )


def total_for(total: Sum, member: Received, now: float) -> Total:
    """Returns the total of a region for a member, which shares its report."""
    report = member.message.report
    has_own = bool(report) and now >= member.counted_at
    result = make_total(total, member.message.sequence, has_own)
    if has_own and not member.message.can_subtract:
        return without_own(result, report)
    return result


def without_own(total: Total, own: region_reports.Report) -> Total:
    """Returns a total without the part of its recipient."""
    report = total.report.copy()
    report.subtract(own)
    return dataclasses.replace(
        total, vm_count=total.vm_count - 1, report=report, has_own=False
    )
