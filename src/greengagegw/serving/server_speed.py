"""Estimates how fast a backend server works, for long and at present.

Servers of one service may differ permanently, and a server that shares its
machine with others slows down and recovers many times a second. The two are
kept apart: a measurement is divided by the slowdown at that time before it
counts for the long-term speed.

The slowdown of a server that reports none shows only in the averages of its
prefill rate, event interval and service time, which follow it.

All averages are of logarithms, so that half and twice the speed have the same
weight. A sample moves an average by at most MAX_SAMPLE_DEVIATION times its
weight.
"""

import math

EVENT = 'event'
CALL = 'call'
MIN_SPEED = 0.25
MAX_SPEED = 4.0
MIN_SLOWDOWN = 0.25
MAX_SLOWDOWN = 8.0
# The first samples have a larger weight, 1 / (number + 1).
SPEED_SMOOTHING = 0.05
# Deviation of a sample from the average that counts; a factor of 2.
MAX_SAMPLE_DEVIATION = math.log(2)
# Speeds return to that of the service by this time constant, since a machine
# may have been replaced while no requests were sent to it.
SPEED_DECAY_SECONDS = 300.0
# Fewer samples of a server do not show that its speed differs.
MIN_SPEED_SAMPLES = 8
# Measured speeds of equal servers differ by up to 14 percent under load.
MIN_SPEED_RATIO = 1.3
MIN_LOG_RATIO = math.log(MIN_SPEED_RATIO)
# A reported slowdown changes many times a second.
REPORT_SECONDS = 0.5
# A server that has not reported for this time counts as one that does not.
REPORTING_SECONDS = 30.0
# Time constant of the typical slowdown, which is assumed between reports.
TYPICAL_SMOOTHING = 0.1
TYPICAL_DECAY_SECONDS = 30.0
# Of work that takes longer than this, only the first part runs at the present
# slowdown and the rest at the typical one.
PRESENT_SECONDS = 0.25
REFERENCE_SMOOTHING = 0.02
# Durations are compared between servers with about the same share of busy
# slots, since events follow more slowly the more requests run. With 8 buckets,
# equal servers of 64 slots differed by up to 20 percent.
LOAD_BUCKETS = 33


def clamp(value: float, lowest: float, highest: float) -> float:
    return min(highest, max(lowest, value))


class LogAverage:
    """An average of logarithms that decays to 0, the logarithm of 1.

    :param limits: smallest and largest factor.
    """

    def __init__(
        self,
        now: float,
        smoothing: float,
        decay_seconds: float,
        limits: tuple[float, float],
    ) -> None:
        self.smoothing = smoothing
        self.decay_seconds = decay_seconds
        self.limits = (math.log(limits[0]), math.log(limits[1]))
        self.average = 0.0
        self.updated_at = now
        self.count = 0

    def current(self, now: float) -> float:
        """Returns the logarithm, decayed since the last sample."""
        elapsed = max(0.0, now - self.updated_at)
        return self.average * math.exp(-elapsed / self.decay_seconds)

    def update(self, sample: float, now: float) -> None:
        """Adds the logarithm of a factor."""
        current = self.current(now)
        weight = max(self.smoothing, 1 / (self.count + 2))
        deviation = clamp(
            sample - current, -MAX_SAMPLE_DEVIATION, MAX_SAMPLE_DEVIATION
        )
        self.average = clamp(current + weight * deviation, *self.limits)
        self.updated_at = now
        self.count += 1


class ServiceDurations:
    """Typical durations of one service at the normal speed.

    :ivar averages: logarithm of the seconds, by kind and load bucket.
    """

    def __init__(self) -> None:
        self.averages: dict[tuple[str, int], float] = {}

    def update(self, kind: str, busy_share: float, seconds: float) -> float:
        """Adds a duration, and returns the typical one before it.

        :param busy_share: share of the server's slots that were busy.
        :param seconds: as long as it would have taken at the normal speed.
        """
        bucket = int(clamp(busy_share, 0.0, 1.0) * (LOAD_BUCKETS - 1))
        sample = math.log(seconds)
        average = self.averages.get((kind, bucket), sample)
        deviation = clamp(
            sample - average, -MAX_SAMPLE_DEVIATION, MAX_SAMPLE_DEVIATION
        )
        self.averages[kind, bucket] = average + REFERENCE_SMOOTHING * deviation
        return math.exp(average)


class ServerSpeed:
    """The long-term speed and the present slowdown of one server.

    :param durations: of its service.
    :ivar reported: last reported slowdown; None if there was none.
    """

    def __init__(self, durations: ServiceDurations, now: float) -> None:
        self.durations = durations
        limits = (MIN_SLOWDOWN, MAX_SLOWDOWN)
        self.long_term = LogAverage(
            now, SPEED_SMOOTHING, SPEED_DECAY_SECONDS, (MIN_SPEED, MAX_SPEED)
        )
        self.typical = LogAverage(
            now, TYPICAL_SMOOTHING, TYPICAL_DECAY_SECONDS, limits
        )
        self.reported: float | None = None
        self.reported_at = -math.inf

    def record_report(self, slowdown: float, now: float) -> None:
        """Records a slowdown that the server reported."""
        self.reported = clamp(slowdown, MIN_SLOWDOWN, MAX_SLOWDOWN)
        self.reported_at = now
        self.typical.update(math.log(self.reported), now)

    def record_duration(
        self, kind: str, busy_share: float, seconds: float, now: float
    ) -> None:
        """Records how long an event or a call took.

        :param busy_share: share of the server's slots that were busy.
        """
        if seconds <= 0:
            return
        speed = self.speed(now)
        normal_seconds = seconds / self.slowdown(now)
        service_seconds = self.durations.update(
            kind, busy_share, normal_seconds * speed
        )
        self.long_term.update(math.log(service_seconds / normal_seconds), now)

    def speed(self, now: float) -> float:
        """Returns the long-term speed; 1.0 is that of the service."""
        return math.exp(self.long_term.current(now))

    def distinct_speed(self, now: float) -> float:
        """Returns the speed if it certainly differs from 1.0, else 1.0."""
        if not self.has_known_speed():
            return 1.0
        speed = self.speed(now)
        ratio = max(speed, 1 / speed)
        return speed if ratio**2 >= MIN_SPEED_RATIO else 1.0

    def has_known_speed(self) -> bool:
        return self.long_term.count >= MIN_SPEED_SAMPLES

    def is_reporting(self, now: float) -> bool:
        """Returns whether the server reports its slowdown."""
        return now - self.reported_at < REPORTING_SECONDS

    def slowdown(self, now: float, seconds: float = 0.0) -> float:
        """Returns the factor by which work takes longer than normal.

        Always 1.0 for a server that does not report it: the averages of its
        durations contain its slowdown already.

        :param seconds: how long the work would take at the normal speed.
        """
        if self.reported is None or not self.is_reporting(now):
            return 1.0
        usual = math.exp(self.typical.current(now))
        weight = max(0.0, 1 - (now - self.reported_at) / REPORT_SECONDS)
        if seconds > PRESENT_SECONDS:
            weight *= PRESENT_SECONDS / seconds
        return usual + weight * (self.reported - usual)


def speeds_differ(speeds: list[ServerSpeed], now: float) -> bool:
    """Returns whether the measured speeds of some servers differ."""
    known = [
        one.long_term
        for one in speeds
        if one.long_term.count >= MIN_SPEED_SAMPLES
    ]
    if len(known) < 2:
        return False
    # Decay only brings averages closer to 0, and is slower to compute.
    averages = [one.average for one in known]
    if max(*averages, 0.0) - min(*averages, 0.0) < MIN_LOG_RATIO:
        return False
    current = [one.current(now) for one in known]
    return max(current) - min(current) >= MIN_LOG_RATIO
