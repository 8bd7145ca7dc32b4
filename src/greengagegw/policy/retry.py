"""Retry policy: which failures are retried, how often and when."""

import random

from .. import errors
from ..ports import backends

MAX_ATTEMPTS = 3
BASE_BACKOFF_SECONDS = 0.02
MAX_RETRY_BALANCE = 10.0


class RetryBudget:
    """Limits retries to a percentage of the requests.

    :param percent: retries per hundred requests.
    """

    def __init__(self, percent: int) -> None:
        self.retries_per_request = percent / 100
        self.balance = MAX_RETRY_BALANCE

    def record_request(self) -> None:
        self.balance = min(
            MAX_RETRY_BALANCE, self.balance + self.retries_per_request
        )

    def try_spend(self) -> bool:
        """Counts a retry and returns True if the budget allows it."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


def is_retryable(error: errors.GatewayError, call: backends.Call) -> bool:
    """Returns whether a call may be retried after a failure.

    The failure must have occurred before the first byte of the response.
    """
    if error.run == errors.NOT_RUN:
        return True
    return call.repeatable and isinstance(
        error, errors.BackendError | errors.PeerError
    )


def backoff_seconds(attempts: int, rng: random.Random) -> float:
    """Returns the seconds to wait before the next attempt, with full jitter.

    :param attempts: number of failed attempts; each doubles the upper bound.
    """
    return BASE_BACKOFF_SECONDS * 2**attempts * rng.random()
