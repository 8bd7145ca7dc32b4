"""Keeps repeats to a share of the requests, over all entry VMs.

The load pattern behind it: when many backend servers fail at once, repeats
of everything double the load on those that are left.
"""

import collections


class RetryBudget:
    """One service's repeats on one VM, in a sliding window.

    :param ratio: repeats that are allowed for each request.
    :param slack: repeats that all VMs together may make beyond that.
    :param window: seconds.
    """

    def __init__(
        self, ratio: float, slack: float, window_seconds: float
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_seconds = window_seconds
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        self.requests.append(now)
        self.discard_expired(now)

    def try_acquire(self, now: float, entry_vms: int) -> bool:
        """Takes one repeat, if the budget has one.

        :param entries: entry VMs that share the slack.
        """
        self.discard_expired(now)
        max_retries = self.ratio * len(self.requests) + self.slack / max(
            1, entry_vms
        )
        if len(self.retries) + 1 > max_retries:
            return False
        self.retries.append(now)
        return True

    def discard_expired(self, now: float) -> None:
        for queue in (self.requests, self.retries):
            while queue and queue[0] <= now - self.window_seconds:
                queue.popleft()
