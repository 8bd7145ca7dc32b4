"""Token buckets whose tokens are granted to holders before they are spent.

Granted tokens count against the burst until they are reported as spent or
are refunded. Over any window of T seconds all holders together can thus
spend at most burst + rate * T tokens.
"""

import dataclasses
import itertools
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tokens granted to a holder for a limited time.

    :ivar expires_at: seconds on the bucket's clock by which the holder has
        stopped spending the tokens.
    """

    grant_id: int
    tokens: float
    expires_at: float


class TokenBucket:
    """The token bucket of one organisation; it starts empty.

    :param rate: tokens per second.
    :param burst: capacity in tokens.
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
        """Applies a new rate and burst."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.available = min(
            self.available, max(0.0, burst - self.outstanding)
        )

    def refill(self, now: float) -> None:
        """Expires grants as fully spent and adds the accrued tokens."""
        for grant in [g for g in self.grants.values() if g.expires_at <= now]:
            self.settle(grant.grant_id, grant.tokens)
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = max(self.refilled_at, now)
        capacity = max(0.0, self.burst - self.outstanding)
        self.available = min(capacity, self.available + self.rate * elapsed)

    def issue_grant(
        self,
        min_tokens: float,
        max_tokens: float,
        now: float,
        validity_seconds: float,
        debt: float = 0.0,
    ) -> Grant | None:
        """Grants a whole number of tokens, which encodes compactly.

        :param min_tokens: grants nothing if fewer than this are available.
        :param max_tokens: upper bound of the grant.
        :param validity_seconds: time until the grant expires.
        :param debt: tokens that may be granted before they have accrued, to
            reach ``min_tokens``, as long as any are available. Without it,
            frequent small requests would starve large ones.
        :returns: the grant, or None if too few tokens are available.
        """
        self.refill(now)
        available = self.available
        if 0 < available < min_tokens <= available + debt:
            available = min_tokens
        tokens = math.floor(min(available, max_tokens))
        if tokens < min_tokens or tokens <= 0:
            return None
        self.available -= tokens
        self.outstanding += tokens
        grant = Grant(next(self.grant_ids), tokens, now + validity_seconds)
        self.grants[grant.grant_id] = grant
        return grant

    def settle(self, grant_id: int, spent: float) -> None:
        """Ends a grant and refunds the tokens that were not spent."""
        grant = self.grants.pop(grant_id, None)
        if grant is None:
            return
        self.outstanding -= grant.tokens
        spent = min(max(spent, 0.0), grant.tokens)
        self.refund(grant.tokens - spent)

    def record_spent(self, grant_id: int, spent: float) -> None:
        """Records that part of a grant was spent; the rest stays valid.

        Tokens reported as spent no longer count against the burst.
        """
        grant = self.grants.get(grant_id)
        if grant is None:
            return
        spent = min(max(spent, 0.0), grant.tokens)
        self.outstanding -= spent
        self.grants[grant_id] = dataclasses.replace(
            grant, tokens=grant.tokens - spent
        )

    def refund(self, tokens: float) -> None:
        """Returns unused tokens to the bucket."""
        capacity = max(0.0, self.burst - self.outstanding)
        self.available = min(capacity, self.available + max(tokens, 0.0))
