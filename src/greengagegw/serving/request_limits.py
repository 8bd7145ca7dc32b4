"""Limits that backend servers in need name to all entry VMs.

A server names in its responses, for as long as they hold, how many requests a
second it takes, or how many it can reject a second without crashing. The entry
VMs of its region tell each other, and share the limit.
"""

import collections
import collections.abc
import dataclasses
import math
import typing

import anyio
import eliot

from .. import errors
from . import departures
from ..fleet import instances
from . import placement

LIMITS_METHOD = 'serving.request_limits'
REJECTION_LIMITS_METHOD = 'serving.rejection_limits'
MAX_RUNS = 500
# Each VM may send its request at any moment of its interval, so a server may
# get one request for each of them beyond its limit in a short time.
MAX_SHARING_VMS = 4
# A server that takes no requests is asked this often, since only a response
# tells that it takes some again.
MIN_RATE = 0.1
# A run that is not listed for this time has ended.
RETENTION_SECONDS = 60.0
# Lists of servers and VMs reach all VMs within a poll of 0.5 s. Until
# then, the VM that had a slot before may still use it.
SLOT_SETTLE_SECONDS = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class LimitEvents:
    """The log messages for one kind of limit."""

    named: str
    withdrawn: str
    heard: str


REQUEST_LIMIT_EVENTS = LimitEvents(
    'server:limited', 'server:unlimited', 'server:limit_heard'
)
REJECTION_LIMIT_EVENTS = LimitEvents(
    'server:brittle', 'server:not_brittle', 'server:brittle_heard'
)


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """What a server last said of its limit.

    :ivar rate: requests a second, from all VMs together; infinite if it took
        its limit back.
    :ivar named_at: timer seconds.
    """

    rate: float
    named_at: float


class NamedLimits:
    """The limits of the runs of backend servers, as far as they are known.

    :param events: log messages for this kind of limit.
    :ivar by_run: the run that named its limit first comes first.
    :ivar changes: number of changes of the limits.
    :ivar new_runs: runs of which this VM has learned another limit itself.
    :ivar listed_at: timer seconds at which each run was last listed.
    """

    def __init__(self, events: LimitEvents = REQUEST_LIMIT_EVENTS) -> None:
        self.events = events
        self.by_run: dict[departures.Run, NamedLimit] = {}
        self.changes = 0
        self.new_runs: set[departures.Run] = set()
        self.has_news = anyio.Event()
        self.listed_at: dict[departures.Run, float] = {}

    def rate_of(self, instance: instances.Instance) -> float:
        """Returns the requests a second that a server takes from all VMs."""
        if not self.by_run:
            return math.inf
        limit = self.by_run.get(departures.run_of(instance))
        return math.inf if limit is None else limit.rate

    def is_known(self, instance: instances.Instance) -> bool:
        """Returns whether a server has said whether it has a limit."""
        return departures.run_of(instance) in self.by_run

    def record(
        self,
        run: departures.Run,
        rate: float,
        asked_at: float,
        now: float,
    ) -> None:
        """Records what a server says in a response to this VM.

        :param rate: infinite if it names no limit.
        :param asked_at: timer seconds when the request was sent. The response
            to an earlier request than the one that named a limit does not
            take that limit back.
        """
        known = self.by_run.get(run)
        if math.isinf(rate):
            if known is None or asked_at <= known.named_at:
                return
            now = asked_at
        has_changed = self.merge(run, NamedLimit(rate, now))
        if has_changed:
            eliot.log_message(
                self.events.named
                if rate < math.inf
                else self.events.withdrawn,
                server=run[0],
                born=run[1],
                limit=encode_rate(rate),
                before=encode_rate(known.rate if known else math.inf),
            )
            self.new_runs.add(run)
            self.has_news.set()

    def merge(self, run: departures.Run, limit: NamedLimit) -> bool:
        """Keeps the newer one of two limits.

        :returns: whether the limit has changed.
        """
        known = self.by_run.get(run)
        if known is not None and limit.named_at <= known.named_at:
            return False
        if known is None and math.isinf(limit.rate):
            return False
        self.by_run[run] = limit
        while len(self.by_run) > MAX_RUNS:
            del self.by_run[next(iter(self.by_run))]
        self.listed_at.setdefault(run, limit.named_at)
        has_changed = known is None or known.rate != limit.rate
        self.changes += has_changed
        return has_changed

    def update(
        self, listed: collections.abc.Iterable[instances.Instance], now: float
    ) -> None:
        """Forgets the runs that were not listed for long."""
        if not self.by_run:
            return
        for one in listed:
            run = departures.run_of(one)
            if run in self.by_run:
                self.listed_at[run] = now
        for run, listed_at in list(self.listed_at.items()):
            if now - listed_at > RETENTION_SECONDS or run not in self.by_run:
                del self.listed_at[run]
                self.by_run.pop(run, None)
                self.changes += 1

    def take_news(self, now: float) -> list:
        runs, self.new_runs = self.new_runs, set()
        self.has_news = anyio.Event()
        return self.pack_runs(runs, now)

    def pack(self, now: float) -> list:
        return self.pack_runs(self.by_run, now)

    def pack_runs(
        self, runs: collections.abc.Iterable[departures.Run], now: float
    ) -> list:
        return [
            [
                *run,
                encode_rate(self.by_run[run].rate),
                now - self.by_run[run].named_at,
            ]
            for run in runs
            if run in self.by_run
        ]

    def merge_message(
        self, peer: str, message: typing.Any, now: float
    ) -> None:
        """Merges the limits that another VM knows.

        :raises PeerProtocolError: if the message is malformed.
        """
        for run, limit in decode_limits(peer, message, now):
            if self.merge(run, limit):
                eliot.log_message(
                    self.events.heard,
                    peer=peer,
                    server=run[0],
                    limit=encode_rate(limit.rate),
                    age=round(now - limit.named_at, 3),
                )


class SlotShares:
    """The slots of the brittle servers of a service that one VM may use.

    :ivar source: what the shares were computed from.
    :ivar shares: slots by run.
    :ivar gains: for slots that the VM has gained lately, the number without
        them and the timer seconds until which it holds, by run.
    """

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.source: tuple = ()
        self.shares: dict[departures.Run, int] = {}
        self.gains: dict[departures.Run, tuple[int, float]] = {}

    def update(
        self,
        source: tuple,
        slots_by_run: dict[departures.Run, int],
        entry_vms: collections.abc.Collection[str],
        now: float,
    ) -> None:
        before = {run: self.share_of(run, now) for run in self.shares}
        self.source = source
        self.shares = {
            run: counts[self.vm]
            for run, counts in divide_slots(slots_by_run, entry_vms).items()
        }
        pending = {
            run: until for run, (_, until) in self.gains.items() if until > now
        }
        self.gains = {
            run: (before[run], pending.get(run, now + SLOT_SETTLE_SECONDS))
            for run, share in self.shares.items()
            if share > before.get(run, share)
        }

    def share_of(self, run: departures.Run, now: float) -> int:
        """Returns the slots of a server that this VM may use now."""
        count, until = self.gains.get(run, (0, -math.inf))
        return count if now < until else self.shares.get(run, 0)


def divide_slots(
    slots_by_run: dict[departures.Run, int],
    entry_vms: collections.abc.Collection[str],
) -> dict[departures.Run, collections.Counter[str]]:
    """Divides the slots of servers among entry VMs, almost evenly.

    All VMs compute the same division. Rendezvous hashing alone leaves some VMs
    without any slot; a completely even division changes everywhere when one
    server ends. So slots are first divided by hashing, and some of them are
    then moved from the VMs with the most to those with the fewest.

    :returns: slots by server and VM; the slots of each server add up to its
        number, if there is any VM.
    """
    totals: collections.Counter[str] = collections.Counter()
    divided = {}
    scores = {}
    for run in sorted(slots_by_run):
        scores[run] = {
            vm: placement.rendezvous_score(run[0], vm) for vm in entry_vms
        }
        ranked = sorted(entry_vms, key=scores[run].__getitem__)
        counts = divided[run] = collections.Counter(
            ranked[at % len(ranked)]
            for at in range(slots_by_run[run] if ranked else 0)
        )
        totals.update(counts)
    while True:
        lowest = min(entry_vms, key=lambda vm: (totals[vm], vm), default=None)
        highest = max(totals.values(), default=0)
        if lowest is None or highest < totals[lowest] + 2:
            return divided
        run, holder = min(
            (
                (run, vm)
                for run, counts in divided.items()
                for vm, count in counts.items()
                if count and totals[vm] == highest
            ),
            key=lambda one: (scores[one[0]][lowest], one),
        )
        divided[run][holder] -= 1
        divided[run][lowest] += 1
        totals[holder] -= 1
        totals[lowest] += 1


def share_of_vm(rate: float, sharing_count: int) -> float:
    """Returns the requests a second that one VM may send to a server.

    :param rate: limit of the server.
    :param sharing_count: VMs that share it; 0 if this VM is not one of them.
    """
    if math.isinf(rate):
        return math.inf
    return max(rate, MIN_RATE) / sharing_count if sharing_count else 0.0


def rejection_pause(limit: float, sharing_count: int) -> float:
    """Returns how long a VM pauses after a brittle server has rejected it.

    Each of the VMs that send to the server may be rejected once in this time,
    so all of them together stay within the limit.

    :param limit: rejections a second that the server can take.
    :param sharing_count: VMs that send to the server.
    """
    return sharing_count / max(limit, MIN_RATE)


def decode_limits(
    peer: str, message: typing.Any, now: float
) -> list[tuple[departures.Run, NamedLimit]]:
    """Returns the limits in a message.

    :param now: timer seconds, to which the ages in the message relate.
    :raises PeerProtocolError: if it is malformed.
    """
    try:
        limits = [
            (
                (str(name), int(born)),
                NamedLimit(
                    math.inf if rate is None else float(rate),
                    now - float(age),
                ),
            )
            for name, born, rate, age in message
        ]
    except (TypeError, ValueError) as error:
        raise errors.PeerProtocolError(
            f'{peer} sent malformed request limits: {error}'
        ) from error
    for (name, _), limit in limits:
        if not limit.rate >= 0 or not limit.named_at <= now:
            raise errors.PeerProtocolError(
                f'{peer} sent the request limit {limit.rate} of {name}'
            )
    return limits


def encode_rate(rate: float) -> float | None:
    """Returns a rate for a log line or message, None if it is infinite."""
    return None if math.isinf(rate) else round(rate, 3)
