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

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.requests: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        self.requests.append(now)
        self.trim(now)

    def take(self, now: float, entries: int) -> bool:
        """Takes one repeat, if the budget has one.

        :param entries: entry VMs that share the slack.
        """
        self.trim(now)
        most = self.ratio * len(self.requests) + self.slack / max(1, entries)
        if len(self.repeats) + 1 > most:
            return False
        self.repeats.append(now)
        return True

    def trim(self, now: float) -> None:
        for queue in (self.requests, self.repeats):
            while queue and queue[0] <= now - self.window:
                queue.popleft()
