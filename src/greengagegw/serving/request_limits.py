"""Request rates to which backend servers in need limit all entry VMs.

A server names its limit in its responses for as long as it holds.
"""

import dataclasses
import math

import eliot

from . import departures
from ..fleet import instances

MAX_RUNS = 500


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

    :ivar by_run: the run that named its limit first comes first.
    """

    def __init__(self) -> None:
        self.by_run: dict[departures.Run, NamedLimit] = {}

    def rate_of(self, instance: instances.Instance) -> float:
        """Returns the requests a second that a server takes from all VMs."""
        if not self.by_run:
            return math.inf
        limit = self.by_run.get(departures.run_of(instance))
        return math.inf if limit is None else limit.rate

    def record(
        self,
        run: departures.Run,
        rate: float,
        asked_at: float,
        now: float,
    ) -> bool:
        """Records what a server says in a response to this VM.

        :param rate: infinite if it names no limit.
        :param asked_at: timer seconds when the request was sent. The response
            to an earlier request than the one that named a limit does not
            take that limit back.
        :returns: whether the limit has changed.
        """
        known = self.by_run.get(run)
        if math.isinf(rate):
            if known is None or asked_at <= known.named_at:
                return False
            now = asked_at
        has_changed = self.merge(run, NamedLimit(rate, now))
        if has_changed:
            eliot.log_message(
                'server:limited' if rate < math.inf else 'server:unlimited',
                server=run[0],
                born=run[1],
                limit=encode_rate(rate),
                before=encode_rate(known.rate if known else math.inf),
            )
        return has_changed

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
        return known is None or known.rate != limit.rate


def encode_rate(rate: float) -> float | None:
    """Returns a rate for a log line or message, None if it is infinite."""
    return None if math.isinf(rate) else round(rate, 3)
