"""Decisions for services that classes or organisations compete for.

Keeps the state of one entry VM, by service. Services with a single class and
organisation have none, and their requests are admitted as without it.
"""

import collections
import collections.abc
import dataclasses
import functools
import math
import typing

import xxhash

from . import admission
from . import fair_shares
from . import retry_schedule
from . import urgency
from . import wait_queue


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """A request on which this VM has decided.

    :ivar route: its class.
    :ivar organisation: empty if it has none.
    :ivar organisation_rank: number of more urgent organisation priorities.
    :ivar work: server seconds that it needs.
    :ivar capacity: server seconds a second that this VM may use, 0 if it has
        no server.
    :ivar client_seconds_left: until the client gives up.
    :ivar is_forwarded: whether another VM received it from the client.
    """

    route: str
    organisation: str
    organisation_rank: int
    admission_request: admission.AdmissionRequest
    is_client_retry: bool
    work: float
    capacity: float
    drain_seconds: float
    detection_seconds: float
    client_seconds_left: float
    is_forwarded: bool = False


# Kinds of the sums that VMs exchange: work asked for and served, by
# organisation; requests asked for and admitted, by class; and promised and
# admitted returns, by route. The names of the sums are short, since relays
# send them to many VMs, on links of 5 Mbit/s for example.
ORGANISATION = 'o'
CLASS = 'c'
RETURNS = 'r'
SERVICE_DIGEST_CHARACTERS = 4
MAX_KNOWN_SERVICES = 256
SUMS_PER_UNIT = 1000
# Rejected work, in decaying server seconds, above which VMs exchange sums.
MIN_REJECTED_WORK = 0.02
# The sums of the others are read again after this time, since VMs report that
# often.
REFRESH_SECONDS = 0.1
# A VM without requests for this time reports no sums; they are small by then.
MAX_IDLE_SECONDS = 10.0
# Decimals of the numbers in the log.
DECIMALS = 3
# Times between two summaries of a service in the log.
SUMMARY_SECONDS = 10.0
SHORTAGE_SUMMARY_SECONDS = 1.0
# A shortage has ended when this VM has rejected nothing for this time. The
# sums of work show it several times as late.
SHORTAGE_END_SECONDS = 3.0


class ServiceCompetition:
    """The requests that compete for one service on one entry VM.

    :param service: its name.
    :param peer_sums: returns the sums that the other entry VMs of the region
        reported. VMs of the previous release report none.
    :ivar broken_count: returns that were rejected again.
    :ivar is_short: whether the service is short of capacity, for the log.
    """

    def __init__(
        self,
        service: str,
        now: float,
        peer_sums: collections.abc.Callable[[], dict[str, float]],
    ) -> None:
        self.service = service
        self.peer_sums = peer_sums
        self.peer_pairs: dict[str, dict[str, tuple[float, float]]] = {}
        self.refreshed_at = now - REFRESH_SECONDS
        self.recorded_at = now
        self.shares = fair_shares.FairShares(
            now, lambda: self.peer_pairs.get(ORGANISATION, {})
        )
        self.balance = urgency.UrgencyBalance(now)
        self.schedule = retry_schedule.RetrySchedule()
        self.schedule.peer_balance = self.peer_return_balance
        self.queue = wait_queue.WaitQueue()
        self.broken_count = 0
        self.is_short = False
        self.rejected_at = -math.inf
        self.summary_at = now
        self.summarized_counts = dict.fromkeys(self.counts(), 0)

    def peer_return_balance(self, route: str) -> float:
        due, used = self.peer_pairs.get(RETURNS, {}).get(route, (0.0, 0.0))
        return due - used

    def refresh(self, now: float) -> None:
        """Reads the sums of the other VMs."""
        if now - self.refreshed_at < REFRESH_SECONDS:
            return
        self.refreshed_at = now
        self.peer_pairs = unpack_sums(self.peer_sums(), self.service)
        self.balance.peer_counts = {
            int(rank): pair
            for rank, pair in self.peer_pairs.get(CLASS, {}).items()
            if rank.isdecimal()
        }

    def local_sums(self, now: float) -> dict[str, float]:
        """Returns the sums of this VM for the other ones, by name.

        There are none unless this VM or another one rejects requests, or has
        promised returns: otherwise nobody divides the capacity.
        """
        if now - self.recorded_at > MAX_IDLE_SECONDS:
            return {}
        self.refresh(now)
        organisations = self.shares.local_sums(now)
        returns = self.schedule.local_returns(now)
        if not (
            returns
            or has_rejections(organisations)
            or has_rejections(self.peer_pairs.get(ORGANISATION, {}))
        ):
            return {}
        return pack_sums(
            self.service,
            {
                ORGANISATION: organisations,
                CLASS: {
                    str(rank): counts
                    for rank, counts in self.balance.local_counts(now).items()
                },
                RETURNS: returns,
            },
        )

    def counts(self) -> dict[str, int]:
        """Returns the numbers of returns since the start."""
        return {
            'promised': self.schedule.promised_count,
            'kept': self.schedule.kept_count,
            'broken': self.broken_count,
        }

    def update_shortage(self, now: float) -> bool | None:
        """Returns whether a shortage has begun or ended, None if neither."""
        is_short = (
            self.shares.is_short
            and now - self.rejected_at < SHORTAGE_END_SECONDS
        )
        if is_short == self.is_short:
            return None
        self.is_short = is_short
        return is_short

    def summarize(self, now: float) -> dict[str, typing.Any] | None:
        """Returns the content of a log line, None if it is not due.

        It contains what changed since the last one. One is due more often
        during a shortage, and none without requests.
        """
        pause = SUMMARY_SECONDS
        if self.is_short:
            pause = SHORTAGE_SUMMARY_SECONDS
        if now - self.summary_at < pause or self.summary_at > self.recorded_at:
            return None
        self.summary_at = now
        counts = self.counts()
        last, self.summarized_counts = self.summarized_counts, counts
        return {
            'work': {
                name: round(work, DECIMALS)
                for name, work in self.shares.take_work().items()
            },
            'factors': {
                name: round(factor, DECIMALS)
                for name, factor in self.shares.factors.items()
            },
            'waiting': len(self.queue.entries),
            **{name: counts[name] - last[name] for name in counts},
        }

    def make_waiting(
        self,
        route: str,
        organisation: str,
        request: admission.AdmissionRequest,
        objective: float,
        now: float,
    ) -> wait_queue.Waiting:
        """Returns a request that has arrived and may wait.

        :param objective: latency objective of the class, in seconds.
        """
        is_promised = request.is_client_retry and self.schedule.may_precede(
            route, now
        )
        class_rank = request.priority_rank
        if is_promised:
            class_rank = wait_queue.PROMISED
        elif self.balance.is_starved(class_rank):
            class_rank = 0
        return wait_queue.make_waiting(
            class_rank,
            self.shares.factor(organisation) < 1,
            request.organisation_priority_rank,
            objective,
            now,
        )

    def adjust(
        self,
        route: str,
        organisation: str,
        request: admission.AdmissionRequest,
        objective: float,
        now: float,
        is_forwarded: bool = False,
    ) -> admission.AdmissionRequest:
        """Returns the input of the admission decision, with its limits.

        :param objective: latency objective of the class, in seconds.
        :param is_forwarded: whether another VM received the request from the
            client. That VM has compared it with the promises of its region.
        """
        self.refresh(now)
        rank = request.priority_rank
        has_precedence = request.is_client_retry and (
            is_forwarded or self.schedule.may_precede(route, now)
        )
        return dataclasses.replace(
            request,
            # Other returns have no precedence: they would displace requests
            # that are on time.
            is_client_retry=False,
            # While shares apply, they are weighted by this priority already.
            organisation_priority_rank=(
                0
                if self.shares.factors
                else request.organisation_priority_rank
            ),
            limit_factor=self.balance.factor(rank)
            * self.shares.factor(organisation),
            return_objective=objective if has_precedence else 0.0,
        )

    def record(self, decided: Decided, is_served: bool, now: float) -> None:
        self.recorded_at = now
        request = decided.admission_request
        self.balance.record(request.priority_rank, is_served, now)
        self.shares.record(
            decided.organisation,
            decided.organisation_rank,
            decided.work,
            is_served,
            now,
        )

    def record_admission(self, decided: Decided, now: float) -> None:
        self.record(decided, True, now)
        if decided.is_client_retry:
            self.schedule.record_return(
                decided.route, decided.work, now, decided.is_forwarded
            )
        else:
            self.schedule.record_new_request(
                decided.route, decided.work, True, now
            )

    def record_rejection(
        self, decided: Decided, jitter: float, now: float
    ) -> float:
        """Records a rejection, and returns its Retry-After in seconds.

        :param jitter: random number from 0 to 1.
        """
        self.record(decided, False, now)
        self.rejected_at = now
        refusal = retry_schedule.refusal_seconds(decided.client_seconds_left)
        if decided.is_client_retry:
            self.broken_count += not decided.is_forwarded
            return refusal
        self.schedule.capacity = decided.capacity
        self.schedule.record_new_request(
            decided.route, decided.work, False, now
        )
        pause = self.schedule.plan_return(
            decided.route,
            retry_schedule.ReturnRequest(
                decided.work,
                decided.drain_seconds,
                decided.detection_seconds,
                decided.admission_request.time_left,
                decided.is_forwarded,
            ),
            jitter,
            now,
        )
        return refusal if pause is None else pause


def has_rejections(organisations: fair_shares.Sums) -> bool:
    """Returns whether organisations asked for more work than was served."""
    return any(
        asked - served > MIN_REJECTED_WORK
        for asked, served in organisations.values()
    )


@functools.lru_cache(MAX_KNOWN_SERVICES)
def service_digest(service: str) -> str:
    """Returns a short name of a service, the same on all VMs."""
    digest = xxhash.xxh32_hexdigest(service.encode())
    return digest[:SERVICE_DIGEST_CHARACTERS]


def sum_name(kind: str, at: int, service: str, name: str) -> str:
    """Returns the name of one number of a pair in a report."""
    return f'{kind}{at}{service_digest(service)}{name}'


def pack_sums(
    service: str, pairs: dict[str, dict[str, tuple[float, float]]]
) -> dict[str, float]:
    """Returns pairs of sums, by kind and name, as numbers by a single name.

    Numbers are integers, which take less bytes, and those of 0 are left out.
    """
    return {
        sum_name(kind, at, service, name): number
        for kind, by_name in pairs.items()
        for name, pair in by_name.items()
        for at, value in enumerate(pair)
        if (number := round(value * SUMS_PER_UNIT))
    }


def unpack_sums(
    sums: dict[str, float], service: str
) -> dict[str, dict[str, tuple[float, float]]]:
    """Returns the pairs of sums of a service; other numbers are ignored."""
    pairs: dict[str, dict[str, tuple[float, float]]] = collections.defaultdict(
        dict
    )
    digest = service_digest(service)
    begin = 2 + SERVICE_DIGEST_CHARACTERS
    for key, number in sums.items():
        kind, at, name = key[:1], key[1:2], key[begin:]
        if at not in ('0', '1') or key[2:begin] != digest or not name:
            continue
        value = number / SUMS_PER_UNIT
        first, second = pairs[kind].get(name, (0.0, 0.0))
        pairs[kind][name] = (value, second) if at == '0' else (first, value)
    return pairs
