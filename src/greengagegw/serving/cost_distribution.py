"""Distributions of costs, as decayed histograms with logarithmic buckets."""

import array
import dataclasses
import math

BUCKETS = 64
# Ratio of adjacent bucket limits; 64 buckets span a factor of 1.6 million.
BUCKET_RATIO = 1.25
SMALLEST_VALUE = 0.001
# Samples lose half of their weight in this time.
HALF_LIFE_SECONDS = 60.0
DECAY_INTERVAL_SECONDS = 2.0
# Bounds the weight of a class, so that changes of a busy class show soon.
MAX_WEIGHT = 500.0

UPPER_LIMITS = [
    SMALLEST_VALUE * BUCKET_RATIO ** (at + 1) for at in range(BUCKETS)
]
# Geometric means of the limits.
VALUES = [one / math.sqrt(BUCKET_RATIO) for one in UPPER_LIMITS]


def bucket_of(value: float) -> int:
    """Returns the index of the bucket that contains a value."""
    if value <= SMALLEST_VALUE:
        return 0
    steps = math.log(value / SMALLEST_VALUE) / math.log(BUCKET_RATIO)
    return min(BUCKETS - 1, int(steps))


class Histogram:
    """Decayed weights of the samples of one class, by bucket."""

    def __init__(self, now: float) -> None:
        self.weights = array.array('d', bytes(8 * BUCKETS))
        self.total = 0.0
        self.decayed_at = now

    def add(self, value: float, now: float) -> None:
        self.decay(now)
        self.weights[bucket_of(value)] += 1.0
        self.total += 1.0
        if self.total > MAX_WEIGHT:
            self.scale(0.5)

    def decay(self, now: float) -> None:
        elapsed = now - self.decayed_at
        if elapsed >= DECAY_INTERVAL_SECONDS:
            self.scale(0.5 ** (elapsed / HALF_LIFE_SECONDS))
            self.decayed_at = now

    def scale(self, factor: float) -> None:
        for at, weight in enumerate(self.weights):
            self.weights[at] = weight * factor
        self.total *= factor


@dataclasses.dataclass(frozen=True, slots=True)
class Distribution:
    """A distribution of costs.

    :ivar shares: of each bucket; they add up to 1.
    :ivar scale: multiple of the buckets' values.
    """

    shares: tuple[float, ...]
    scale: float = 1.0

    @property
    def mean(self) -> float:
        return self.scale * sum(
            share * value
            for share, value in zip(self.shares, VALUES, strict=True)
        )

    def quantile(self, share: float) -> float:
        """Returns the cost that a share of the requests does not exceed."""
        left = share
        for one, value in zip(self.shares, VALUES, strict=True):
            left -= one
            if left <= 1e-9:
                return self.scale * value
        return self.scale * VALUES[-1]

    def mean_remaining(self, done: float) -> float:
        """Returns the mean cost that is left after a part of it.

        A response that is long already is likely to stay so. One that is
        longer than all known ones is assumed to be half done.

        :param done: cost so far.
        """
        total = left = 0.0
        for one, value in zip(self.shares, VALUES, strict=True):
            rest = self.scale * value - done
            if one and rest > 0:
                total += one
                left += one * rest
        return left / total if total > 1e-6 else done
