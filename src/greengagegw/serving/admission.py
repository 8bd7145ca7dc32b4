"""Decides whether a request is taken, and when a refused one may return.

The load pattern behind it: more arrives than can be served in time. Taking
all of it makes every answer late, so what would be late is refused at once,
and told to come back when the work ahead of it will be done.
"""

import dataclasses
import random

# Share of the objective up to which a request is taken: the prediction's
# own error needs the rest.
TAKEN_SHARE = 1.0
SHORTEST_RETRY_SECONDS = 0.2
LONGEST_RETRY_SECONDS = 3.0
# Refused requests come back spread over this share of their pause more.
RETRY_SPREAD = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether to take a request.

    :ivar retry_after: seconds, if it is refused.
    """

    is_taken: bool
    retry_after: float = 0.0


def judge(
    predicted: float,
    objective: float,
    time_left: float,
    rng: random.Random,
) -> Verdict:
    """Decides on a request.

    :param predicted: seconds from now until it begins to be answered.
    :param objective: seconds within which an answer counts as on time.
    :param time_left: seconds until the caller gives up.
    """
    limit = min(objective * TAKEN_SHARE, time_left)
    if predicted <= limit:
        return Verdict(True)
    return Verdict(False, retry_after(predicted - limit, rng))


def retry_after(excess: float, rng: random.Random) -> float:
    """Returns when there will be room again, spread over callers.

    :param excess: seconds of work beyond what can be taken.
    """
    pause = min(LONGEST_RETRY_SECONDS, max(SHORTEST_RETRY_SECONDS, excess))
    return pause * (1 + RETRY_SPREAD * rng.random())
