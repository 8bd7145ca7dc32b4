"""Predicts the cost of requests: output lengths and service times.

Requests that look alike differ much in cost, and long ones are few, so means
say little about them. Distributions are learned as histograms with
logarithmic buckets, by classes of requests from the whole route to the shared
prefix of a prompt. A class with few samples is completed by the wider one.
"""

import array
import collections
import collections.abc
import dataclasses
import math

from . import jobs

BUCKETS = 64
# Ratio of adjacent bucket limits; 64 buckets span a factor of 1.6 million.
BUCKET_RATIO = 1.25
SMALLEST_VALUE = 0.001
# Samples lose half of their weight in this time.
HALF_LIFE_SECONDS = 60.0
DECAY_INTERVAL_SECONDS = 2.0
# Bounds the weight of a class, so that changes of a busy class show soon.
MAX_WEIGHT = 500.0
# Weight of the wider class in samples of the narrower one. An outlier among
# few samples therefore moves a quantile little.
PRIOR_WEIGHT = 20.0
# About 700 bytes each, so 1.4 MB.
MAX_CLASSES = 2000
CACHE_SECONDS = 0.5
EVENTS = 'events'
# Events for each token that the client expects.
HINTED_EVENTS = 'hinted events'
SECONDS = 'seconds'

ClassKey = tuple[str, ...]
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


class RequestCosts:
    """Distributions of the costs of requests, learned by class.

    :ivar histograms: by class, least recently updated first.
    :ivar cache: distributions and the time of their computation, by class.
    """

    def __init__(self) -> None:
        self.histograms: collections.OrderedDict[ClassKey, Histogram] = (
            collections.OrderedDict()
        )
        self.cache: dict[ClassKey, tuple[float, Distribution]] = {}

    def record(self, job: jobs.Job, value: float, now: float) -> None:
        """Adds the cost of a complete response.

        :param value: its events, or the seconds of a plain call.
        """
        kind, scale = cost_unit(job)
        for key in class_keys(job, kind):
            histogram = self.histograms.get(key)
            if histogram is None:
                histogram = self.histograms[key] = Histogram(now)
            histogram.add(value / scale, now)
            self.histograms.move_to_end(key)
        while len(self.histograms) > MAX_CLASSES:
            self.histograms.popitem(last=False)

    def predict(self, job: jobs.Job, now: float) -> Distribution | None:
        """Returns the distribution of a request's cost.

        :returns: None if its route has no history.
        """
        kind, scale = cost_unit(job)
        keys = class_keys(job, kind)
        computed_at, distribution = self.cache.get(keys[-1], (-math.inf, None))
        if distribution is None or now - computed_at >= CACHE_SECONDS:
            distribution = self.combine(keys, now)
            if distribution is None:
                return None
            if len(self.cache) >= MAX_CLASSES:
                self.cache.clear()
            self.cache[keys[-1]] = (now, distribution)
        return dataclasses.replace(distribution, scale=scale)

    def combine(
        self, keys: collections.abc.Iterable[ClassKey], now: float
    ) -> Distribution | None:
        """Returns the distribution of the narrowest class, completed.

        :param keys: classes, the widest one first.
        """
        shares: list[float] | None = None
        for key in keys:
            histogram = self.histograms.get(key)
            if histogram is None:
                continue
            histogram.decay(now)
            if shares is None:
                if histogram.total > 0:
                    shares = [
                        one / histogram.total for one in histogram.weights
                    ]
                continue
            total = histogram.total + PRIOR_WEIGHT
            shares = [
                (one + PRIOR_WEIGHT * wider) / total
                for one, wider in zip(histogram.weights, shares, strict=True)
            ]
        return None if shares is None else Distribution(tuple(shares))


def cost_unit(job: jobs.Job) -> tuple[str, float]:
    """Returns the kind of a request's cost, and the scale of its values."""
    prompt = job.generation_prompt
    if prompt is None:
        return SECONDS, 1.0
    if prompt.expected_output_tokens:
        return HINTED_EVENTS, float(prompt.expected_output_tokens)
    return EVENTS, 1.0


def class_keys(job: jobs.Job, kind: str) -> list[ClassKey]:
    """Returns the classes of a request, the widest one first."""
    route, path = job.route.name, job.request.path
    organisation = job.organisation or ''
    keys = [(kind, route), (kind, route, path)]
    keys.append((kind, route, path, organisation))
    prompt = job.generation_prompt
    if prompt is not None and prompt.shared_prefix:
        keys.append((kind, route, path, organisation, prompt.shared_prefix))
    return keys
