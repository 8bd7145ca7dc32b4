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

    grant_id: int
    tokens: float
    expires_at: float


class TokenBucket:
    """One organisation's bucket, which starts empty.

    :param rate: tokens a second.
    :param burst: tokens.
    :param now: monotonic seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.available = 0.0
        self.outstanding = 0.0
        self.grants: dict[int, Grant] = {}
        self.grant_ids = itertools.count(1)
        self.refilled_at = now

    def reconfigure(self, rate: float, burst: float, now: float) -> None:
        """Takes over a new rate and burst."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.available = min(
            self.available, max(0.0, burst - self.outstanding)
        )

    def refill(self, now: float) -> None:
        """Adds what has come in, and expires old grants as spent."""
        for grant in [g for g in self.grants.values() if g.expires_at <= now]:
            self.settle(grant.grant_id, grant.tokens)
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = max(self.refilled_at, now)
        room = max(0.0, self.burst - self.outstanding)
        self.available = min(room, self.available + self.rate * elapsed)

    def grant(
        self,
        min_tokens: float,
        max_tokens: float,
        now: float,
        validity_seconds: float,
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
        level = self.available
        if 0 < level < min_tokens <= level + debt:
            level = min_tokens
        tokens = math.floor(min(level, max_tokens))
        if tokens < min_tokens or tokens <= 0:
            return None
        self.available -= tokens
        self.outstanding += tokens
        grant = Grant(next(self.grant_ids), tokens, now + validity_seconds)
        self.grants[grant.grant_id] = grant
        return grant

    def settle(self, number: int, spent: float) -> None:
        """Ends a grant; what was not spent comes back."""
        grant = self.grants.pop(number, None)
        if grant is None:
            return
        self.outstanding -= grant.tokens
        spent = min(max(spent, 0.0), grant.tokens)
        self.refund(grant.tokens - spent)

    def record_spent(self, number: int, spent: float) -> None:
        """Takes in that a part of a grant was spent, and the rest goes on.

        What is known to be spent counts against the burst no longer.
        """
        grant = self.grants.get(number)
        if grant is None:
            return
        spent = min(max(spent, 0.0), grant.tokens)
        self.outstanding -= spent
        self.grants[number] = dataclasses.replace(
            grant, tokens=grant.tokens - spent
        )

    def refund(self, tokens: float) -> None:
        """Takes back tokens that were reserved and not used."""
        room = max(0.0, self.burst - self.outstanding)
        self.available = min(room, self.available + max(tokens, 0.0))
