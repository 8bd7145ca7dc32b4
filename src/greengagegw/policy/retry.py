"""Which failures are tried again, and how often."""

import random

from .. import errors
from ..ports import backends

LONGEST_TRIES = 3
FIRST_BACKOFF_SECONDS = 0.02
RETRIES_IN_RESERVE = 10.0


class RetryBudget:
    """Allows retries as a share of the requests.

    :param percent: retries for a hundred requests.
    """

    def __init__(self, percent: int) -> None:
        self.share = percent / 100
        self.balance = RETRIES_IN_RESERVE

    def note_request(self) -> None:
        self.balance = min(RETRIES_IN_RESERVE, self.balance + self.share)

    def spend(self) -> bool:
        """Returns whether a retry may be made, and counts it."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


def may_retry(error: errors.GatewayError, call: backends.Call) -> bool:
    """Returns whether a failure before the first byte allows a retry."""
    if error.run == errors.NOT_RUN:
        return True
    return call.repeatable and isinstance(
        error, errors.BackendError | errors.PeerError
    )


def backoff(tries: int, rng: random.Random) -> float:
    """Returns the jittered seconds to wait before the next try."""
    return FIRST_BACKOFF_SECONDS * 2**tries * rng.random()
