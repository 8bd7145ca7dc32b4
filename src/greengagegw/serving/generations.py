"""Predicts how long a generation takes after its first event.

The load pattern behind it: an engine that generates many answers at once
takes longer for each event. The longest answers then run out of their
callers' time, after they have taken more of the engine than any other.
"""

import math

from . import prompts

# What an event takes on an engine with some load, before anything is seen.
DEFAULT_EVENT_INTERVAL_SECONDS = 0.05
# Some fifty events show how fast an engine is; a stream has as many.
EVENT_INTERVAL_SMOOTHING = 0.02
# An engine that generates nothing for so long is as fast as any.
EVENT_INTERVAL_DECAY_SECONDS = 2.0
LENGTH_SMOOTHING = 0.05
# Tokens of one event before any answer was whole: engines send some tokens
# together.
DEFAULT_TOKENS_PER_EVENT = 8
# Callers' estimates are half too short and half too long, by a factor of 1.6
# mostly. An answer that should take so many times what is left will more
# probably fail than be whole.
DEADLINE_FACTOR = 1.1


class EventInterval:
    """The seconds between events of one server's streams.

    :param now: timer seconds.
    """

    def __init__(self, now: float) -> None:
        self.average = DEFAULT_EVENT_INTERVAL_SECONDS
        self.updated_at = now

    def update(self, count: int, seconds: float, now: float) -> None:
        """Takes in that some events of a stream took some seconds."""
        smoothing = 1 - (1 - EVENT_INTERVAL_SMOOTHING) ** count
        current = self.current_seconds(now)
        self.average = current + smoothing * (seconds / count - current)
        self.updated_at = now

    def current_seconds(self, now: float) -> float:
        """Returns the seconds that an event takes now."""
        decay = math.exp(
            (self.updated_at - now) / EVENT_INTERVAL_DECAY_SECONDS
        )
        return DEFAULT_EVENT_INTERVAL_SECONDS + decay * (
            self.average - DEFAULT_EVENT_INTERVAL_SECONDS
        )


class ResponseLengths:
    """How many events the answers on a route have.

    :ivar events: on average, by route.
    :ivar tokens: that callers expected for these answers, on average.
    """

    def __init__(self) -> None:
        self.mean_events: dict[str, float] = {}
        self.mean_expected_tokens: dict[str, float] = {}

    def update(self, route: str, prompt: prompts.Prompt, events: int) -> None:
        """Takes in how long a whole answer was."""
        for known, value in (
            (self.mean_events, float(events)),
            (self.mean_expected_tokens, float(prompt.expected_output_tokens)),
        ):
            usual = known.get(route, value)
            known[route] = usual + LENGTH_SMOOTHING * (value - usual)

    def predict_events(self, route: str, prompt: prompts.Prompt) -> float:
        """Returns the events of an answer to come; 0 if nothing is known."""
        if route not in self.mean_events:
            return prompt.expected_output_tokens / DEFAULT_TOKENS_PER_EVENT
        route_mean = self.mean_events[route]
        tokens = self.mean_expected_tokens[route]
        if not tokens or not prompt.expected_output_tokens:
            return route_mean
        return route_mean * prompt.expected_output_tokens / tokens


def fits_deadline(
    first_event_seconds: float, generation_seconds: float, seconds_left: float
) -> bool:
    """Returns whether a generation will probably be whole in time.

    :param first: seconds until its first event.
    :param ending: seconds from then to its end.
    :param left: seconds until its caller gives up.
    """
    return (
        first_event_seconds + generation_seconds
        <= seconds_left * DEADLINE_FACTOR
    )
