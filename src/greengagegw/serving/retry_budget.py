"""Limits retries to a share of the requests, over all entry VMs.

When many backend servers fail at once, retrying every request would double the
load on the remaining ones.
"""

import collections


class RetryBudget:
    """The retry budget of one service on one VM, in a sliding window.

    :param ratio: retries allowed for each request.
    :param slack: retries that all entry VMs together may make beyond that.
    :param window_seconds: length of the window.
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
        """Takes one retry from the budget.

        :param entry_vms: number of entry VMs that share the slack.
        :returns: whether the budget allowed it.
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
