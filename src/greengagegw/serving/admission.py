"""Decides whether a request is taken, and when a refused one may return.

The load patterns behind it:

- More arrives than can be served in time. Taking all of it makes every
  answer late, so what would be late is refused at once.
- Requests that servers read by urgency are overtaken by later ones, so that
  what was promised to them does not hold and many run out of time. Servers
  read all that was taken in its order; urgency decides who is taken.
- Long, less urgent prompts fill the time in which short, urgent ones would
  begin, so they are taken up to a smaller share of their objective.
- Long prompts of a class take longer to be read than short ones. Judged by
  that, the longest would never be served when much waits, so they are taken,
  late, where a usual one would be well in time.
- What was refused comes back while it is still too much, and is refused
  again. A service under pressure names a time at which the pressure will
  have passed, and what does come back goes before new work.
"""

import dataclasses
import random

# Share of the objective up to which a request is taken, by how many classes
# of the service are more urgent: the rest is left to those. More work that
# waits serves nobody sooner while servers are busy, and three tenths are left
# for the prediction's error.
ADMISSION_SHARES = (0.7, 0.5)
# The same for each priority of organisations that is more urgent.
ORGANISATION_PRIORITY_SHARE = 0.93
MAX_ORGANISATION_PRIORITY_RANK = 3
# What is late already is taken where there is room, up to this share of
# the time that is left, so that it makes little else late.
LATE_ADMISSION_SHARE = 0.05
# New callers' patience differs by some 15 percent on the platform. One with
# less than this share of the longest was refused before.
FIRST_ATTEMPT_TIMEOUT_SHARE = 0.8
TYPICAL_TIMEOUT_SHARE = 0.92
PREFILL_SMOOTHING = 0.05
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 8.0
# Refused requests come back spread over this share of their pause more.
RETRY_AFTER_JITTER = 0.5
# How long a service that refuses everything is thought to go on so: bursts
# and the loss of backend servers last 3 to 10 s. Shorter pauses bring callers
# back to be refused again.
OVERLOAD_SECONDS = 10.0
REJECTION_WINDOW_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether to take a request.

    :ivar retry_after: seconds, if it is refused.
    """

    is_admitted: bool
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """What a request may ask for.

    :ivar objective: seconds from now within which an answer is on time;
        0 or less if it is late already.
    :ivar time_left: seconds until the caller gives up.
    :ivar rank: how many classes of the service are more urgent.
    :ivar organisation_rank: how many priorities of organisations are.
    :ivar has_returned: whether it was refused before.
    """

    objective_left: float
    time_left: float
    priority_rank: int
    organisation_priority_rank: int
    is_client_retry: bool


class ClientRetryDetector:
    """Tells from how long callers wait whether they were here before.

    Callers that were refused come back with what is left of their time.
    """

    def __init__(self) -> None:
        self.max_timeouts: dict[str, float] = {}

    def estimate_elapsed(self, route: str, timeout_seconds: float) -> float:
        """Returns how long a caller has been waiting, in seconds."""
        max_timeout = max(timeout_seconds, self.max_timeouts.get(route, 0.0))
        self.max_timeouts[route] = max_timeout
        if timeout_seconds >= max_timeout * FIRST_ATTEMPT_TIMEOUT_SHARE:
            return 0.0
        return max_timeout * TYPICAL_TIMEOUT_SHARE - timeout_seconds


class TypicalPrefillTime:
    """The seconds that prompts of a route usually take to be read."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = {}

    def update(self, route: str, seconds: float) -> None:
        average = self.seconds.get(route, seconds)
        self.seconds[route] = average + PREFILL_SMOOTHING * (seconds - average)

    def excess_seconds(self, route: str, seconds: float) -> float:
        """Returns by how many seconds a prompt takes longer than usual."""
        return max(0.0, seconds - self.seconds.get(route, seconds))


class RejectionRate:
    """The share of a service's requests that were refused lately."""

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.updated_at = now
        self.weight = 0.0

    def record(self, is_rejected: bool, now: float) -> None:
        self.decay(now)
        self.weight += 1.0
        self.rate += (is_rejected - self.rate) / self.weight

    def decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.weight *= max(0.0, 1.0 - elapsed / REJECTION_WINDOW_SECONDS)

    def current_rate(self, now: float) -> float:
        self.decay(now)
        # One refusal among a few requests is no pressure yet.
        return self.rate * self.weight / (self.weight + 2.0)


def max_wait_seconds(request: AdmissionRequest) -> float:
    """Returns up to which predicted wait a request is taken, in seconds."""
    late_limit = request.time_left * LATE_ADMISSION_SHARE
    share = 1.0
    if not request.is_client_retry:
        share = ADMISSION_SHARES[
            min(request.priority_rank, len(ADMISSION_SHARES) - 1)
        ]
        share *= ORGANISATION_PRIORITY_SHARE ** min(
            request.organisation_priority_rank, MAX_ORGANISATION_PRIORITY_RANK
        )
    return min(
        request.time_left, max(request.objective_left * share, late_limit)
    )


def is_admissible(
    wait_seconds: float, excess_seconds: float, request: AdmissionRequest
) -> bool:
    """Decides on a request.

    :param predicted: seconds from now until it begins to be answered.
    :param excess: seconds of that in which its prompt is longer than usual.
    """
    return wait_seconds - excess_seconds <= max_wait_seconds(request)


def decide(
    wait_seconds: float,
    excess_seconds: float,
    request: AdmissionRequest,
    rejection_rate: float,
    rng: random.Random,
) -> AdmissionDecision:
    """Decides on a request, and when it may return if it is refused.

    :param pressure: share of the service's requests refused lately.
    """
    if is_admissible(wait_seconds, excess_seconds, request):
        return AdmissionDecision(True)
    overload_seconds = wait_seconds - max_wait_seconds(request)
    return AdmissionDecision(
        False, compute_retry_after(overload_seconds, rejection_rate, rng)
    )


def compute_retry_after(
    excess_seconds: float, rejection_rate: float, rng: random.Random
) -> float:
    """Returns when there will be room again, spread over callers.

    :param excess: seconds of work beyond what can be taken.
    """
    pause = max(excess_seconds, rejection_rate * OVERLOAD_SECONDS)
    pause = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, pause))
    return pause * (1 + RETRY_AFTER_JITTER * rng.random())
