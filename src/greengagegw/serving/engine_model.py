"""Predicts when a backend server will begin to respond.

Prompts of very different lengths share an engine, which prefills them one
chunk after the other. The queued prompt tokens therefore predict the wait much
better than the number of requests.
"""

# Prompt tokens a second, assumed before the first measurement: mid-range for
# engines that prefill some thousand tokens in a tenth of a second.
INITIAL_PREFILL_RATE = 50_000.0
MIN_PREFILL_RATE = 2_000.0
MAX_PREFILL_RATE = 1_000_000.0
# Weight of a new measurement; a dozen of them correct a wrong initial rate.
PREFILL_RATE_SMOOTHING = 0.1
# Time to first event of a short prompt on an idle engine.
BASE_LATENCY_SECONDS = 0.03
# Service time of a non-streaming call, assumed before the first measurement.
INITIAL_SERVICE_SECONDS = 0.1
SERVICE_SMOOTHING = 0.1


def first_event_seconds(tokens: float, prefill_rate: float) -> float:
    """Returns the seconds until the first event of a generation with a slot.

    :param tokens: prompt tokens to be prefilled until then.
    :param prefill_rate: prompt tokens a second.
    """
    return BASE_LATENCY_SECONDS + tokens / prefill_rate


def slot_wait_seconds(
    running: float, slots: int, service_seconds: float
) -> float:
    """Returns the seconds for which a new request waits for a slot.

    :param running: requests that have a slot or wait for one.
    :param slots: requests that the server runs concurrently.
    :param service_seconds: mean service time of a non-streaming call.
    """
    slots = max(1, slots)
    ahead = running + 1 - slots
    return ahead * service_seconds / slots if ahead > 0 else 0.0


def update_prefill_rate(
    rate: float,
    prefilled_tokens: float,
    seconds: float,
    slowdown: float = 1.0,
) -> float:
    """Returns the prefill rate, updated by the time to a first event.

    :param rate: the known rate, in prompt tokens a second.
    :param prefilled_tokens: tokens that were prefilled until the event,
        including the request's own.
    :param seconds: from sending the request to its first event.
    :param slowdown: factor by which the server was slower than normal.
    """
    prefill_seconds = seconds - BASE_LATENCY_SECONDS
    # Short prompts measure the base latency rather than the rate.
    if prefill_seconds <= BASE_LATENCY_SECONDS or prefilled_tokens < 1000:
        return rate
    measured = prefilled_tokens * slowdown / prefill_seconds
    smoothed = rate + PREFILL_RATE_SMOOTHING * (measured - rate)
    return min(MAX_PREFILL_RATE, max(MIN_PREFILL_RATE, smoothed))
