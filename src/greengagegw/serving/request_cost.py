"""Predicts the cost of requests: output lengths and service times.

Requests that look alike differ much in cost, and long ones are few, so means
say little about them. Distributions are learned by classes of requests, from
the whole route to the shared prefix of a prompt. A class with few samples is
completed by the wider one.
"""

import collections
import collections.abc
import dataclasses
import math

from . import cost_distribution
from . import jobs

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
DURATION = 'duration'

ClassKey = tuple[str, ...]


class RequestCosts:
    """Distributions of the costs of requests, learned by class.

    :param classify: returns the classes of a request, the widest one first,
        and the scale of its costs.
    :ivar histograms: by class, least recently updated first.
    :ivar cache: distributions and the time of their computation, by class.
    """

    def __init__(
        self,
        classify: collections.abc.Callable[
            [jobs.Job], tuple[list[ClassKey], float]
        ]
        | None = None,
    ) -> None:
        self.classify = classify or classify_cost
        self.histograms: collections.OrderedDict[
            ClassKey, cost_distribution.Histogram
        ] = collections.OrderedDict()
        self.cache: dict[
            ClassKey, tuple[float, cost_distribution.Distribution]
        ] = {}

    def record(self, job: jobs.Job, value: float, now: float) -> None:
        """Adds the cost of a complete response.

        :param value: its events, or the seconds of a plain call.
        """
        keys, scale = self.classify(job)
        for key in keys:
            histogram = self.histograms.get(key)
            if histogram is None:
                histogram = self.histograms[key] = cost_distribution.Histogram(
                    now
                )
            histogram.add(value / scale, now)
            self.histograms.move_to_end(key)
        while len(self.histograms) > MAX_CLASSES:
            self.histograms.popitem(last=False)

    def predict(
        self, job: jobs.Job, now: float
    ) -> cost_distribution.Distribution | None:
        """Returns the distribution of a request's cost.

        :returns: None if its route has no history.
        """
        keys, scale = self.classify(job)
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
    ) -> cost_distribution.Distribution | None:
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
        return (
            None
            if shares is None
            else cost_distribution.Distribution(tuple(shares))
        )


def classify_cost(job: jobs.Job) -> tuple[list[ClassKey], float]:
    kind, scale = cost_unit(job)
    return class_keys(job, kind), scale


def classify_duration(job: jobs.Job) -> tuple[list[ClassKey], float]:
    """Classifies a request for the time from its arrival to its end."""
    route, path = job.route.name, job.request.path
    return [(DURATION, route), (DURATION, route, path)], 1.0


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
