"""Limits retries to a share of the requests, over all entry VMs.

When many backend servers fail at once, retrying every request would double the
load on the remaining ones.
"""

import collections
import collections.abc
import dataclasses
import uuid

from ..fleet import retry_records


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """The retry budget of each service.

    :ivar ratio: retries allowed for each request.
    :ivar slack: retries that all VMs together may make beyond that.
    :ivar window_seconds: length of the sliding window.
    """

    ratio: float
    slack: float
    window_seconds: float


class RetryBudget:
    """The retry budget of one service on one VM, in a sliding window.

    :ivar requests_total: requests since the start of the VM.
    :ivar retries_total: retries since then.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self.settings = settings
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()
        self.requests_total = 0
        self.retries_total = 0

    def record_request(self, now: float) -> None:
        self.requests_total += 1
        self.requests.append(now)
        self.discard_expired(now)

    def try_acquire(self, now: float, slack: float) -> bool:
        """Takes one retry from the budget.

        :param slack: retries that this VM may make beyond the ratio.
        :returns: whether the budget allowed it.
        """
        self.discard_expired(now)
        max_retries = self.settings.ratio * len(self.requests) + slack
        if len(self.retries) + 1 > max_retries:
            return False
        self.retries_total += 1
        self.retries.append(now)
        return True

    @property
    def uses_slack(self) -> bool:
        return len(self.retries) > self.settings.ratio * len(self.requests)

    def discard_expired(self, now: float) -> None:
        for queue in (self.requests, self.retries):
            while queue and queue[0] <= now - self.settings.window_seconds:
                queue.popleft()


class RetryBudgets:
    """The retry budgets of one VM.

    :param started_at: timer seconds at which the VM started.
    :ivar run_id: identifies this process in its reports.
    :ivar report_soon: called when a retry beyond the ratio was made, which
        other VMs must know if this one ends.
    """

    def __init__(self, settings: RetrySettings, started_at: float) -> None:
        self.settings = settings
        self.started_at = started_at
        self.run_id = uuid.uuid4().hex
        self.by_service: dict[str, RetryBudget] = {}
        self.report_soon: collections.abc.Callable[[], None] = lambda: None

    def find(self, service: str) -> RetryBudget:
        budget = self.by_service.get(service)
        if budget is None:
            budget = self.by_service[service] = RetryBudget(self.settings)
        return budget

    def try_acquire(
        self,
        service: str,
        now: float,
        entry_vms: int,
        past: retry_records.PastRetries | None,
    ) -> bool:
        """Takes one retry from the budget of a service.

        :param entry_vms: number of entry VMs that share the slack.
        :param past: retries before this VM started; None if not known.
        """
        budget = self.find(service)
        if not budget.try_acquire(
            now, self.own_slack(service, now, max(1, entry_vms), past)
        ):
            return False
        if budget.uses_slack:
            self.report_soon()
        return True

    def own_slack(
        self,
        service: str,
        now: float,
        entry_vms: int,
        past: retry_records.PastRetries | None,
    ) -> float:
        """Returns the retries that this VM may make beyond the ratio.

        For one window after its start, a VM may not exceed what its own
        earlier processes have left of their share, nor its share of what all
        VMs have left.
        """
        settings = self.settings
        share = settings.slack / entry_vms
        if now >= self.started_at + settings.window_seconds:
            return share
        if past is None:
            return 0.0
        since = now - settings.window_seconds
        previous = self.balance(past.previous.get(service, ()), past, since)
        fleet = settings.slack + self.balance(
            past.fleet.get(service, ()), past, since
        )
        if fleet < 0:
            # VMs that have ended, and came back with other addresses, are
            # still counted at first, so that up to half of the VMs share it.
            fleet *= 2
        return min(share, share + previous, fleet / entry_vms)

    def balance(
        self,
        buckets: tuple[retry_records.Bucket, ...],
        past: retry_records.PastRetries,
        since: float,
    ) -> float:
        """Returns the retries that the ratio allows, less those made."""
        return sum(
            self.settings.ratio * requests - retries
            for age, requests, retries in buckets
            if past.received_at - age > since
        )

    def report(self) -> list:
        """Returns what control VMs record of this VM."""
        return retry_records.pack_report(
            self.run_id,
            {
                name: (one.requests_total, one.retries_total)
                for name, one in self.by_service.items()
            },
        )
