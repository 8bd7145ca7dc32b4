"""Decisions for services that classes or organisations compete for.

Keeps the state of one entry VM, by service. Services with a single class and
organisation have none, and their requests are admitted as without it.
"""

import collections.abc
import dataclasses

from . import admission
from . import fair_shares
from . import retry_schedule
from . import urgency


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


class ServiceCompetition:
    """The requests that compete for one service on one entry VM.

    :param count_vms: returns the number of usable entry VMs of the region.
    """

    def __init__(
        self, now: float, count_vms: collections.abc.Callable[[], int]
    ) -> None:
        # Replaced when VMs exchange their sums; until then this VM's own
        # sums stand for those of the others.
        self.other_sums: collections.abc.Callable[[], fair_shares.Sums] = (
            lambda: fair_shares.scale(
                self.shares.local_sums(), max(0, count_vms() - 1)
            )
        )
        self.shares = fair_shares.FairShares(now, lambda: self.other_sums())
        self.balance = urgency.UrgencyBalance(now)
        self.schedule = retry_schedule.RetrySchedule()

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
        refusal = retry_schedule.refusal_seconds(decided.client_seconds_left)
        if decided.is_client_retry:
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
