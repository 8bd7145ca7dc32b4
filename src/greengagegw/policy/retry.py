"""Which failures are tried again, and how often."""

import random

from .. import errors
from ..ports import backends

MAX_ATTEMPTS = 3
BASE_BACKOFF_SECONDS = 0.02
MAX_BALANCE = 10.0


class RetryBudget:
    """Allows retries as a share of the requests.

    :param percent: retries for a hundred requests.
    """

    def __init__(self, percent: int) -> None:
        self.retries_per_request = percent / 100
        self.balance = MAX_BALANCE

    def record_request(self) -> None:
        self.balance = min(
            MAX_BALANCE, self.balance + self.retries_per_request
        )

    def try_spend(self) -> bool:
        """Returns whether a retry may be made, and counts it."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


def is_retryable(error: errors.GatewayError, call: backends.Call) -> bool:
    """Returns whether a failure before the first byte allows a retry."""
    if error.run == errors.NOT_RUN:
        return True
    return call.repeatable and isinstance(
        error, errors.BackendError | errors.PeerError
    )


def backoff_seconds(attempt: int, rng: random.Random) -> float:
    """Returns the jittered seconds to wait before the next try."""
    return BASE_BACKOFF_SECONDS * 2**attempt * rng.random()
