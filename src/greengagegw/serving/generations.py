"""Predicts how long a generation takes after its first event.

The load pattern behind it: an engine that generates many answers at once
takes longer for each event. The longest answers then run out of their
callers' time, after they have taken more of the engine than any other.
"""

import math

from . import prompts

# What an event takes on an engine with some load, before anything is seen.
USUAL_EVENT_SECONDS = 0.05
# Some fifty events show how fast an engine is; a stream has as many.
EVENT_SMOOTHING = 0.02
# An engine that generates nothing for so long is as fast as any.
EVENT_MEMORY_SECONDS = 2.0
LENGTH_SMOOTHING = 0.05
# Tokens of one event before any answer was whole: engines send some tokens
# together.
FIRST_EVENT_TOKENS = 8
# Callers' estimates are half too short and half too long, by a factor of 1.6
# mostly. An answer that should take so many times what is left will more
# probably fail than be whole.
END_SHARE = 1.1


class EventPace:
    """The seconds between events of one server's streams.

    :param now: timer seconds.
    """

    def __init__(self, now: float) -> None:
        self.learned = USUAL_EVENT_SECONDS
        self.at = now

    def learn(self, count: int, seconds: float, now: float) -> None:
        """Takes in that some events of a stream took some seconds."""
        share = 1 - (1 - EVENT_SMOOTHING) ** count
        known = self.seconds(now)
        self.learned = known + share * (seconds / count - known)
        self.at = now

    def seconds(self, now: float) -> float:
        """Returns the seconds that an event takes now."""
        kept = math.exp((self.at - now) / EVENT_MEMORY_SECONDS)
        return USUAL_EVENT_SECONDS + kept * (
            self.learned - USUAL_EVENT_SECONDS
        )


class UsualLengths:
    """How many events the answers on a route have.

    :ivar events: on average, by route.
    :ivar tokens: that callers expected for these answers, on average.
    """

    def __init__(self) -> None:
        self.events: dict[str, float] = {}
        self.tokens: dict[str, float] = {}

    def learn(self, route: str, prompt: prompts.Prompt, events: int) -> None:
        """Takes in how long a whole answer was."""
        for known, value in (
            (self.events, float(events)),
            (self.tokens, float(prompt.expected_output_tokens)),
        ):
            usual = known.get(route, value)
            known[route] = usual + LENGTH_SMOOTHING * (value - usual)

    def expect(self, route: str, prompt: prompts.Prompt) -> float:
        """Returns the events of an answer to come; 0 if nothing is known."""
        if route not in self.events:
            return prompt.expected_output_tokens / FIRST_EVENT_TOKENS
        usual = self.events[route]
        tokens = self.tokens[route]
        if not tokens or not prompt.expected_output_tokens:
            return usual
        return usual * prompt.expected_output_tokens / tokens


def fits(first: float, ending: float, left: float) -> bool:
    """Returns whether a generation will probably be whole in time.

    :param first: seconds until its first event.
    :param ending: seconds from then to its end.
    :param left: seconds until its caller gives up.
    """
    return first + ending <= left * END_SHARE
