"""Decides whether to admit a request, and when a rejected one may be retried.

- Under overload, admitting every request would make all responses late.
  Requests that would be late are rejected at once.
- If servers ordered their queues by urgency, later requests would overtake
  admitted ones, whose predicted wait would then be wrong, and many would time
  out. Servers process admitted requests in order of arrival; urgency only
  decides which requests are admitted.
- Long, less urgent prompts would use up the time in which short, urgent ones
  could begin, so while urgent ones are rejected, they are admitted up to a
  smaller share of their objective.
- Long prompts of a class take longer to prefill than short ones. By the same
  limit, the longest would never be served under load, so they are admitted,
  late, where a typical prompt would be well in time.
- Rejected requests that are retried during the overload would be rejected
  again. An overloaded service names a time by which the overload should have
  passed, and retries have precedence over new requests. If classes or
  organisations compete for a service, ``retry_schedule`` promises returns and
  ``urgency`` adjusts the limits of its less urgent classes.
"""

import dataclasses
import random

# Share of the latency objective up to which a request is admitted, by the
# number of more urgent classes of the service; the rest is left to those. A
# longer queue serves nobody sooner while servers are busy, and three tenths
# are kept for the error of the prediction.
ADMISSION_SHARES = (0.7, 0.5)
# Share of rejected urgent requests from which on the smaller share applies.
# Below it, the share decreases linearly from that of the most urgent class.
URGENT_REJECTION_LIMIT = 0.05
# Factor on that share for each more urgent organisation priority.
ORGANISATION_PRIORITY_SHARE = 0.93
MAX_ORGANISATION_PRIORITY_RANK = 3
# Requests that are late already are admitted up to this share of the time
# left, so that they delay few others.
LATE_ADMISSION_SHARE = 0.05
# Client timeouts of first attempts differ by some 15 percent on the platform.
# A timeout below this share of the longest one belongs to a retry.
FIRST_ATTEMPT_TIMEOUT_SHARE = 0.8
TYPICAL_TIMEOUT_SHARE = 0.92
# The longest timeouts that VMs have seen differ by less than this share.
DETECTION_MARGIN_SHARE = 0.02
PREFILL_SMOOTHING = 0.05
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 8.0
# Retries are spread over this additional share of their pause.
RETRY_AFTER_JITTER = 0.5
# Expected duration of the overload of a service that rejects every request:
# bursts and losses of backend servers last 3 to 10 s. With shorter pauses
# retries are rejected again.
OVERLOAD_SECONDS = 10.0
REJECTION_WINDOW_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether to admit a request.

    :ivar retry_after: seconds after which a rejected one may be retried.
    """

    is_admitted: bool
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """The deadline and priority of a request to be admitted.

    :ivar objective_left: seconds within which a response is on time; 0 or
        less if it is late already.
    :ivar time_left: seconds until the client's deadline.
    :ivar priority_rank: number of more urgent classes of the service.
    :ivar organisation_priority_rank: number of more urgent organisation
        priorities.
    :ivar is_client_retry: whether the request was rejected before.
    :ivar urgent_rejection_rate: share of the recent requests of the service's
        most urgent class that were rejected.
    :ivar limit_factor: on the share of the objective that the class may wait.
    :ivar return_objective: the whole objective in seconds if the request is a
        promised return, else 0. New requests are admitted only up to a share
        of it, so the return comes before them.
    """

    objective_left: float
    time_left: float
    priority_rank: int
    organisation_priority_rank: int
    is_client_retry: bool
    urgent_rejection_rate: float = 0.0
    limit_factor: float = 1.0
    return_objective: float = 0.0


class ClientRetryDetector:
    """Detects retries of rejected requests by their shorter timeouts.

    Clients retry a rejected request with the rest of their timeout.

    :ivar max_timeouts: longest client timeout in seconds, by route.
    """

    def __init__(self) -> None:
        self.max_timeouts: dict[str, float] = {}

    def estimate_elapsed(self, route: str, timeout_seconds: float) -> float:
        """Returns for how many seconds a client has waited; 0 if it is new."""
        max_timeout = max(timeout_seconds, self.max_timeouts.get(route, 0.0))
        self.max_timeouts[route] = max_timeout
        if timeout_seconds >= max_timeout * FIRST_ATTEMPT_TIMEOUT_SHARE:
            return 0.0
        return max_timeout * TYPICAL_TIMEOUT_SHARE - timeout_seconds

    def detection_seconds(self, route: str, timeout_seconds: float) -> float:
        """Returns the pause after which a retry is told from a new request."""
        max_timeout = self.max_timeouts.get(route, timeout_seconds)
        share = FIRST_ATTEMPT_TIMEOUT_SHARE - DETECTION_MARGIN_SHARE
        return max(0.0, timeout_seconds - max_timeout * share)


class TypicalPrefillTime:
    """The average prefill time of prompts, in seconds by route."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = {}

    def update(self, route: str, seconds: float) -> None:
        average = self.seconds.get(route, seconds)
        self.seconds[route] = average + PREFILL_SMOOTHING * (seconds - average)

    def excess_seconds(self, route: str, seconds: float) -> float:
        """Returns the seconds by which a prefill exceeds the average."""
        return max(0.0, seconds - self.seconds.get(route, seconds))


class RejectionRate:
    """The share of a service's recent requests that were rejected."""

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
        # One rejection among a few requests is no overload.
        return self.rate * self.weight / (self.weight + 2.0)


def max_wait_seconds(request: AdmissionRequest) -> float:
    """Returns the longest predicted wait for which a request is admitted."""
    late_limit = request.time_left * LATE_ADMISSION_SHARE
    late_limit *= request.limit_factor
    share = 1.0
    if not request.is_client_retry:
        share = admission_share(request)
        share *= ORGANISATION_PRIORITY_SHARE ** min(
            request.organisation_priority_rank, MAX_ORGANISATION_PRIORITY_RANK
        )
    return min(
        request.time_left,
        max(
            request.objective_left * share,
            late_limit,
            request.return_objective,
        ),
    )


def admission_share(request: AdmissionRequest) -> float:
    """Returns the share of the objective that the class may wait."""
    rank = min(request.priority_rank, len(ADMISSION_SHARES) - 1)
    pressure = min(1.0, request.urgent_rejection_rate / URGENT_REJECTION_LIMIT)
    reserved = ADMISSION_SHARES[0] - ADMISSION_SHARES[rank]
    return request.limit_factor * (ADMISSION_SHARES[0] - pressure * reserved)


def is_admissible(
    wait_seconds: float, excess_seconds: float, request: AdmissionRequest
) -> bool:
    """Returns whether a request is admitted.

    :param wait_seconds: predicted seconds until the response begins.
    :param excess_seconds: part of the wait by which the prompt's prefill
        exceeds the average.
    """
    return wait_seconds - excess_seconds <= max_wait_seconds(request)


def decide(
    wait_seconds: float,
    excess_seconds: float,
    request: AdmissionRequest,
    rejection_rate: float,
    rng: random.Random,
) -> AdmissionDecision:
    """Decides whether to admit a request, or when it may be retried.

    :param rejection_rate: share of the service's recent requests that were
        rejected.
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
    """Returns the seconds until there is capacity again, with jitter.

    :param excess_seconds: predicted wait beyond the admission limit.
    :param rejection_rate: share of recent requests that were rejected.
    """
    pause = max(excess_seconds, rejection_rate * OVERLOAD_SECONDS)
    pause = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, pause))
    return pause * (1 + RETRY_AFTER_JITTER * rng.random())
