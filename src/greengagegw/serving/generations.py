"""Predicts how long a generation takes after its first event.

An engine that runs many generations at once takes longer for each event. The
longest responses then exceed their clients' deadlines, after using more of the
engine than any others.
"""

import math

from . import prompts

# Event interval of a moderately loaded engine, assumed before measurements.
DEFAULT_EVENT_INTERVAL_SECONDS = 0.05
# The average adapts within some fifty events, about the length of a stream.
EVENT_INTERVAL_SMOOTHING = 0.02
# Measurements lose their weight by this time constant, since an engine that
# has been idle is as fast as any other.
EVENT_INTERVAL_DECAY_SECONDS = 2.0
LENGTH_SMOOTHING = 0.05
# Engines send several tokens in one event. Used until a response is complete.
DEFAULT_TOKENS_PER_EVENT = 8
# Half of the clients' length estimates are too short and half too long, mostly
# by a factor of 1.6. A generation predicted to take this multiple of the
# time left is more likely to time out than to complete.
DEADLINE_FACTOR = 1.1


class EventInterval:
    """The average interval between events in one server's streams.

    :param now: timer seconds.
    """

    def __init__(self, now: float) -> None:
        self.average = DEFAULT_EVENT_INTERVAL_SECONDS
        self.updated_at = now

    def update(self, count: int, seconds: float, now: float) -> None:
        """Adds a measurement of ``count`` events that took ``seconds``."""
        smoothing = 1 - (1 - EVENT_INTERVAL_SMOOTHING) ** count
        current = self.current_seconds(now)
        self.average = current + smoothing * (seconds / count - current)
        self.updated_at = now

    def current_seconds(
        self,
        now: float,
        default_seconds: float = DEFAULT_EVENT_INTERVAL_SECONDS,
    ) -> float:
        """Returns the event interval in seconds, decayed to the default."""
        if self.average == DEFAULT_EVENT_INTERVAL_SECONDS:
            return DEFAULT_EVENT_INTERVAL_SECONDS
        decay = math.exp(
            (self.updated_at - now) / EVENT_INTERVAL_DECAY_SECONDS
        )
        return default_seconds + decay * (self.average - default_seconds)


class ResponseLengths:
    """The average response length of each route.

    :ivar mean_events: events of a response, by route.
    :ivar mean_expected_tokens: the clients' estimates for these responses, by
        route.
    """

    def __init__(self) -> None:
        self.mean_events: dict[str, float] = {}
        self.mean_expected_tokens: dict[str, float] = {}

    def update(self, route: str, prompt: prompts.Prompt, events: int) -> None:
        """Adds the length of a complete response."""
        for known, value in (
            (self.mean_events, float(events)),
            (self.mean_expected_tokens, float(prompt.expected_output_tokens)),
        ):
            usual = known.get(route, value)
            known[route] = usual + LENGTH_SMOOTHING * (value - usual)

    def predict_events(self, route: str, prompt: prompts.Prompt) -> float:
        """Returns the predicted number of events; 0 if nothing is known."""
        if route not in self.mean_events:
            return prompt.expected_output_tokens / DEFAULT_TOKENS_PER_EVENT
        route_mean = self.mean_events[route]
        tokens = self.mean_expected_tokens[route]
        if not tokens or not prompt.expected_output_tokens:
            return route_mean
        return route_mean * prompt.expected_output_tokens / tokens


def max_seconds(seconds_left: float) -> float:
    """Returns how long a generation may be predicted to take.

    One that is predicted to take longer would probably not complete in time.

    :param seconds_left: seconds until its client's deadline.
    """
    return seconds_left * DEADLINE_FACTOR
