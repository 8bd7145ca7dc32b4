"""Predicts when a backend server will begin to answer.

The load pattern behind it: prompts of very different lengths share an
engine, which reads them one chunk after the other, so a count of requests
says little and the tokens that wait to be read say most.
"""

import dataclasses

# Tokens read a second before anything was measured: mid-range for engines
# that take prompts of some thousand tokens in a tenth of a second.
INITIAL_PREFILL_RATE = 50_000.0
MIN_PREFILL_RATE = 2_000.0
MAX_PREFILL_RATE = 1_000_000.0
# Weight of a new measurement; a dozen of them replace a wrong first guess.
PREFILL_RATE_SMOOTHING = 0.1
# What an idle engine takes for a short prompt, in seconds.
BASE_LATENCY_SECONDS = 0.03
# Seconds of service of a plain call before anything was measured.
INITIAL_SERVICE_SECONDS = 0.1
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

    queued_tokens: float
    running: float
    slots: int
    prefill_rate: float
    service_seconds: float


def first_event_seconds(load: EngineLoad, uncached_tokens: float) -> float:
    """Returns the seconds until the first event of a new generation.

    :param unread_tokens: tokens of its prompt that are not cached there.
    """
    prefill_seconds = (
        load.queued_tokens + uncached_tokens
    ) / load.prefill_rate
    return BASE_LATENCY_SECONDS + prefill_seconds + slot_wait_seconds(load)


def response_seconds(load: EngineLoad) -> float:
    """Returns the seconds until the answer to a new plain call."""
    return slot_wait_seconds(load) + load.service_seconds


def slot_wait_seconds(load: EngineLoad) -> float:
    """Returns how long a new request waits for a slot."""
    ahead = load.running + 1 - load.slots
    if ahead <= 0:
        return 0.0
    return ahead * load.service_seconds / max(1, load.slots)


def update_prefill_rate(
    rate: float, prefilled_tokens: float, seconds: float
) -> float:
    """Returns the reading rate after a first event was seen.

    :param tokens_before: tokens that were read until then, its own included.
    """
    prefill_seconds = seconds - BASE_LATENCY_SECONDS
    # Short prompts measure the base, not the rate.
    if prefill_seconds <= BASE_LATENCY_SECONDS or prefilled_tokens < 1000:
        return rate
    measured = prefilled_tokens / prefill_seconds
    smoothed = rate + PREFILL_RATE_SMOOTHING * (measured - rate)
    return min(MAX_PREFILL_RATE, max(MIN_PREFILL_RATE, smoothed))
