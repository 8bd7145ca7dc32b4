"""Tells from the rhythm of heartbeats when a VM has gone silent."""

# A VM is thought dead after the mean interval and this many deviations.
DEVIATIONS = 6.0
SHORTEST_SILENCE_SECONDS = 5.0
LONGEST_SILENCE_SECONDS = 12.0
SMOOTHING = 0.1


class SilenceDetector:
    """Adapts to the intervals at which heartbeats arrive.

    It keeps a moving mean and deviation of the intervals, as TCP does for
    round trips (Jacobson, "Congestion Avoidance and Control", 1988).

    :param now: monotonic seconds.
    :param interval: expected seconds between heartbeats.
    """

    def __init__(self, now: float, interval: float) -> None:
        self.heard_at = now
        self.mean = interval
        self.deviation = interval / 2

    def hear(self, now: float) -> None:
        """Takes in a heartbeat."""
        interval = now - self.heard_at
        self.heard_at = now
        if interval > LONGEST_SILENCE_SECONDS:
            return
        error = interval - self.mean
        self.mean += SMOOTHING * error
        self.deviation += SMOOTHING * (abs(error) - self.deviation)

    @property
    def patience(self) -> float:
        """Seconds of silence after which the VM is thought dead."""
        wanted = self.mean + DEVIATIONS * self.deviation
        return min(
            LONGEST_SILENCE_SECONDS, max(SHORTEST_SILENCE_SECONDS, wanted)
        )

    def is_silent(self, now: float) -> bool:
        return now - self.heard_at > self.patience
