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
TAKEN_SHARES = (0.7, 0.5)
# The same for each priority of organisations that is more urgent.
ORGANISATION_SHARE = 0.93
MOST_RANKED_ORGANISATIONS = 3
# What is late already is taken where there is room, up to this share of
# the time that is left, so that it makes little else late.
LATE_SHARE = 0.05
# New callers' patience differs by some 15 percent on the platform. One with
# less than this share of the longest was refused before.
NEW_PATIENCE_SHARE = 0.8
USUAL_PATIENCE_SHARE = 0.92
SIZE_SMOOTHING = 0.05
SHORTEST_RETRY_SECONDS = 0.2
LONGEST_RETRY_SECONDS = 8.0
# Refused requests come back spread over this share of their pause more.
RETRY_SPREAD = 0.5
# How long a service that refuses everything is thought to go on so: bursts
# and the loss of backend servers last 3 to 10 s. Shorter pauses bring callers
# back to be refused again.
PRESSURE_SECONDS = 10.0
PRESSURE_WINDOW_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether to take a request.

    :ivar retry_after: seconds, if it is refused.
    """

    is_taken: bool
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What a request may ask for.

    :ivar objective: seconds from now within which an answer is on time;
        0 or less if it is late already.
    :ivar time_left: seconds until the caller gives up.
    :ivar rank: how many classes of the service are more urgent.
    :ivar organisation_rank: how many priorities of organisations are.
    :ivar has_returned: whether it was refused before.
    """

    objective: float
    time_left: float
    rank: int
    organisation_rank: int
    has_returned: bool


class Patience:
    """Tells from how long callers wait whether they were here before.

    Callers that were refused come back with what is left of their time.
    """

    def __init__(self) -> None:
        self.longest: dict[str, float] = {}

    def elapsed(self, route: str, patience: float) -> float:
        """Returns how long a caller has been waiting, in seconds."""
        longest = max(patience, self.longest.get(route, 0.0))
        self.longest[route] = longest
        if patience >= longest * NEW_PATIENCE_SHARE:
            return 0.0
        return longest * USUAL_PATIENCE_SHARE - patience


class UsualSize:
    """The seconds that prompts of a route usually take to be read."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = {}

    def learn(self, route: str, seconds: float) -> None:
        usual = self.seconds.get(route, seconds)
        self.seconds[route] = usual + SIZE_SMOOTHING * (seconds - usual)

    def excess(self, route: str, seconds: float) -> float:
        """Returns by how many seconds a prompt takes longer than usual."""
        return max(0.0, seconds - self.seconds.get(route, seconds))


class Pressure:
    """The share of a service's requests that were refused lately."""

    def __init__(self, now: float) -> None:
        self.share = 0.0
        self.at = now
        self.count = 0.0

    def note(self, is_refused: bool, now: float) -> None:
        self.decay(now)
        self.count += 1.0
        self.share += (is_refused - self.share) / self.count

    def decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.at)
        self.at = now
        self.count *= max(0.0, 1.0 - elapsed / PRESSURE_WINDOW_SECONDS)

    def refused_share(self, now: float) -> float:
        self.decay(now)
        # One refusal among a few requests is no pressure yet.
        return self.share * self.count / (self.count + 2.0)


def limit_of(claim: Claim) -> float:
    """Returns up to which predicted wait a request is taken, in seconds."""
    late_limit = claim.time_left * LATE_SHARE
    share = 1.0
    if not claim.has_returned:
        share = TAKEN_SHARES[min(claim.rank, len(TAKEN_SHARES) - 1)]
        share *= ORGANISATION_SHARE ** min(
            claim.organisation_rank, MOST_RANKED_ORGANISATIONS
        )
    return min(claim.time_left, max(claim.objective * share, late_limit))


def is_taken(predicted: float, excess: float, claim: Claim) -> bool:
    """Decides on a request.

    :param predicted: seconds from now until it begins to be answered.
    :param excess: seconds of that in which its prompt is longer than usual.
    """
    return predicted - excess <= limit_of(claim)


def judge(
    predicted: float,
    excess: float,
    claim: Claim,
    pressure: float,
    rng: random.Random,
) -> Verdict:
    """Decides on a request, and when it may return if it is refused.

    :param pressure: share of the service's requests refused lately.
    """
    if is_taken(predicted, excess, claim):
        return Verdict(True)
    pause = predicted - limit_of(claim)
    return Verdict(False, retry_after(pause, pressure, rng))


def retry_after(excess: float, pressure: float, rng: random.Random) -> float:
    """Returns when there will be room again, spread over callers.

    :param excess: seconds of work beyond what can be taken.
    """
    pause = max(excess, pressure * PRESSURE_SECONDS)
    pause = min(LONGEST_RETRY_SECONDS, max(SHORTEST_RETRY_SECONDS, pause))
    return pause * (1 + RETRY_SPREAD * rng.random())
