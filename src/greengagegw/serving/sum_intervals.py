"""Sends the sums of reports less often than their backlogs.

Reports go out up to 20 times a second and relays send them to many VMs, so the
sums of competing organisations would take more bandwidth than the backlogs.
They change over seconds: most messages only say that the last ones still hold.
"""

import collections.abc
import math

from . import region_reports

# Promised returns are known to other VMs before the clients return.
SUMS_SECONDS = 0.2
# Reports are due every 0.1 s, give or take this.
MARGIN_SECONDS = 0.02
# Sums are not used for longer, as reports are not.
SUMS_EXPIRY_SECONDS = 2.5
# Fourth element of a packed report whose sums are those of an earlier one.
# Releases that do not know it see a report without sums.
UNCHANGED = True

Key = collections.abc.Hashable


class SentSums:
    """When sums were last sent, by recipient and kind of message."""

    def __init__(self) -> None:
        self.sent_at: dict[Key, float] = {}

    def is_due(
        self, key: Key, report: region_reports.Report | None, now: float
    ) -> bool:
        """Returns whether a message is to contain its sums.

        An empty report always does, since it ends those before it.
        """
        if not report or not report.sums:
            self.sent_at.pop(key, None)
            return True
        elapsed = now - self.sent_at.get(key, -math.inf)
        if elapsed < SUMS_SECONDS - MARGIN_SECONDS:
            return False
        self.sent_at[key] = now
        return True

    def remove_expired(self, now: float) -> None:
        for key, at in list(self.sent_at.items()):
            if now - at > SUMS_EXPIRY_SECONDS:
                del self.sent_at[key]


class ReceivedSums:
    """The last sums that were received, by sender and kind of message."""

    def __init__(self) -> None:
        self.known: dict[Key, tuple[float, dict[str, float]]] = {}

    def complete(
        self,
        key: Key,
        report: region_reports.Report | None,
        is_unchanged: bool,
        now: float,
    ) -> None:
        """Adds the sums to a report that does not repeat them."""
        if report is None:
            self.known.pop(key, None)
        elif not is_unchanged:
            self.known[key] = (now, report.sums)
        else:
            at, sums = self.known.get(key, (-math.inf, {}))
            if now - at <= SUMS_EXPIRY_SECONDS:
                report.sums = dict(sums)

    def remove_expired(self, now: float) -> None:
        for key, (at, _) in list(self.known.items()):
            if now - at > SUMS_EXPIRY_SECONDS:
                del self.known[key]
