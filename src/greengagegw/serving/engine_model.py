"""Predicts when a backend server will begin to answer.

The load pattern behind it: prompts of very different lengths share an
engine, which reads them one chunk after the other, so a count of requests
says little and the tokens that wait to be read say most.
"""

import dataclasses

# Tokens read a second before anything was measured: mid-range for engines
# that take prompts of some thousand tokens in a tenth of a second.
FIRST_READ_RATE = 50_000.0
SLOWEST_READ_RATE = 2_000.0
FASTEST_READ_RATE = 1_000_000.0
# Weight of a new measurement; a dozen of them replace a wrong first guess.
RATE_SMOOTHING = 0.1
# What an idle engine takes for a short prompt, in seconds.
BASE_SECONDS = 0.03
# Seconds of service of a plain call before anything was measured.
FIRST_SERVICE_SECONDS = 0.1
SERVICE_SMOOTHING = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """What is thought to be at a backend server now.

    :ivar waiting_tokens: prompt tokens that are not read yet.
    :ivar running: requests that have a slot, or wait for one.
    :ivar slots: requests that it runs at once.
    :ivar read_rate: prompt tokens a second.
    :ivar service_seconds: mean time that a plain call takes.
    """

    waiting_tokens: float
    running: float
    slots: int
    read_rate: float
    service_seconds: float


def first_event_seconds(load: EngineLoad, unread_tokens: float) -> float:
    """Returns the seconds until the first event of a new generation.

    :param unread_tokens: tokens of its prompt that are not cached there.
    """
    reading = (load.waiting_tokens + unread_tokens) / load.read_rate
    return BASE_SECONDS + reading + slot_wait_seconds(load)


def answer_seconds(load: EngineLoad) -> float:
    """Returns the seconds until the answer to a new plain call."""
    return slot_wait_seconds(load) + load.service_seconds


def slot_wait_seconds(load: EngineLoad) -> float:
    """Returns how long a new request waits for a slot."""
    ahead = load.running + 1 - load.slots
    if ahead <= 0:
        return 0.0
    return ahead * load.service_seconds / max(1, load.slots)


def learn_read_rate(
    rate: float, tokens_before: float, seconds: float
) -> float:
    """Returns the reading rate after a first event was seen.

    :param tokens_before: tokens that were read until then, its own included.
    """
    reading = seconds - BASE_SECONDS
    # Short prompts measure the base, not the rate.
    if reading <= BASE_SECONDS or tokens_before < 1000:
        return rate
    seen = tokens_before / reading
    learned = rate + RATE_SMOOTHING * (seen - rate)
    return min(FASTEST_READ_RATE, max(SLOWEST_READ_RATE, learned))
