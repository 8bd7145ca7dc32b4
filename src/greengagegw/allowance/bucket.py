"""Token buckets whose tokens are handed out before they are spent.

Tokens that were handed out count against the burst until they are reported
spent or given back. So what may be spent in any window of T seconds, over
all holders together, is at most burst + rate * T.
"""

import dataclasses
import itertools
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tokens handed to a holder for a short time.

    :ivar until: seconds of the bucket's clock after which the holder is
        sure to have stopped spending them.
    """

    number: int
    tokens: float
    until: float


class Bucket:
    """One organisation's bucket, which starts empty.

    :param rate: tokens a second.
    :param burst: tokens.
    :param now: monotonic seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = 0.0
        self.handed_out = 0.0
        self.grants: dict[int, Grant] = {}
        self.numbers = itertools.count(1)
        self.at = now

    def change(self, rate: float, burst: float, now: float) -> None:
        """Takes over a new rate and burst."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, max(0.0, burst - self.handed_out))

    def refill(self, now: float) -> None:
        """Adds what has come in, and expires old grants as spent."""
        for grant in [g for g in self.grants.values() if g.until <= now]:
            self.settle(grant.number, grant.tokens)
        elapsed = max(0.0, now - self.at)
        self.at = max(self.at, now)
        room = max(0.0, self.burst - self.handed_out)
        self.level = min(room, self.level + self.rate * elapsed)

    def take(
        self,
        least: float,
        most: float,
        now: float,
        validity: float,
        debt: float = 0.0,
    ) -> Grant | None:
        """Hands out whole tokens, which are short in messages.

        :param least: tokens below which nothing is handed out.
        :param most: tokens that the holder would like.
        :param validity: seconds until the grant ends.
        :param debt: tokens that may be handed out before they have come in,
            to fill ``least``, while any are there. Without it, what asks for
            much goes without whenever others ask for little.
        """
        self.refill(now)
        level = self.level
        if 0 < level < least <= level + debt:
            level = least
        tokens = math.floor(min(level, most))
        if tokens < least or tokens <= 0:
            return None
        self.level -= tokens
        self.handed_out += tokens
        grant = Grant(next(self.numbers), tokens, now + validity)
        self.grants[grant.number] = grant
        return grant

    def settle(self, number: int, spent: float) -> None:
        """Ends a grant; what was not spent comes back."""
        grant = self.grants.pop(number, None)
        if grant is None:
            return
        self.handed_out -= grant.tokens
        spent = min(max(spent, 0.0), grant.tokens)
        self.give_back(grant.tokens - spent)

    def note_spent(self, number: int, spent: float) -> None:
        """Takes in that a part of a grant was spent, and the rest goes on.

        What is known to be spent counts against the burst no longer.
        """
        grant = self.grants.get(number)
        if grant is None:
            return
        spent = min(max(spent, 0.0), grant.tokens)
        self.handed_out -= spent
        self.grants[number] = dataclasses.replace(
            grant, tokens=grant.tokens - spent
        )

    def give_back(self, tokens: float) -> None:
        """Takes back tokens that were reserved and not used."""
        room = max(0.0, self.burst - self.handed_out)
        self.level = min(room, self.level + max(tokens, 0.0))
