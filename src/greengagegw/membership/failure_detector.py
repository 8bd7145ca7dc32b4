"""Detects failed VMs by the intervals between their heartbeats."""

# The timeout is the mean interval plus this many mean deviations.
TIMEOUT_DEVIATIONS = 6.0
MIN_TIMEOUT_SECONDS = 5.0
MAX_TIMEOUT_SECONDS = 12.0
SMOOTHING_FACTOR = 0.1


class FailureDetector:
    """Adapts its timeout to the intervals between a VM's heartbeats.

    It keeps a moving mean and mean deviation of the intervals, as TCP does
    for round trips (Jacobson, "Congestion Avoidance and Control", 1988).

    :param now: monotonic seconds.
    :param interval: expected seconds between heartbeats, used until they are
        measured.
    """

    def __init__(self, now: float, interval: float) -> None:
        self.last_heartbeat_at = now
        self.mean_interval = interval
        self.interval_deviation = interval / 2

    def record_heartbeat(self, now: float) -> None:
        """Updates the statistics of the intervals with a heartbeat.

        Intervals beyond the maximal timeout are outages and left out.
        """
        interval = now - self.last_heartbeat_at
        self.last_heartbeat_at = now
        if interval > MAX_TIMEOUT_SECONDS:
            return
        error = interval - self.mean_interval
        self.mean_interval += SMOOTHING_FACTOR * error
        self.interval_deviation += SMOOTHING_FACTOR * (
            abs(error) - self.interval_deviation
        )

    @property
    def timeout_seconds(self) -> float:
        """Seconds without a heartbeat after which a VM counts as failed."""
        seconds = (
            self.mean_interval + TIMEOUT_DEVIATIONS * self.interval_deviation
        )
        return min(MAX_TIMEOUT_SECONDS, max(MIN_TIMEOUT_SECONDS, seconds))

    def has_timed_out(self, now: float) -> bool:
        return now - self.last_heartbeat_at > self.timeout_seconds
