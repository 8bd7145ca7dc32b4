"""Pools of the tokens that a VM holds of an organisation's allowance."""

import dataclasses
import math

import anyio

DEMAND_WINDOW_SECONDS = 2.0
SMOOTHING_FACTOR = 0.05
PREFETCH_HORIZON_SECONDS = 0.6


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """A grant that this VM holds.

    :ivar tokens: granted tokens, less those already reported as spent.
    :ivar remaining: tokens that are not reserved yet.
    :ivar requested_at: timer seconds at which the grant was requested.
    :ivar expires_at: timer seconds after which it must not be spent.
    """

    region: str
    organisation: str
    grant_id: int
    tokens: float
    remaining: float
    requested_at: float
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReservationPart:
    """The tokens of a reservation that come from one grant."""

    grant: HeldGrant
    tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens reserved for one request."""

    organisation: str
    tokens: float
    parts: tuple[ReservationPart, ...]


class TokenPool:
    """One organisation's tokens on this VM, with its recent demand.

    :param now: timer seconds.
    :ivar queued_tokens: tokens of the requests that wait for tokens.
    :ivar demand_rate: decaying average of the tokens requested per second.
    :ivar pending_regions: regions with a request for tokens in flight.
    :ivar used_fraction: moving mean of the part of a reservation that its
        request uses.
    """

    def __init__(self, now: float) -> None:
        self.grants: list[HeldGrant] = []
        self.lock = anyio.Lock(fast_acquire=True)
        self.queued_tokens = 0.0
        self.demand_rate = 0.0
        self.demand_updated_at = now
        self.mean_request_tokens = 0.0
        self.is_prefetching = False
        self.pending_regions: set[str] = set()
        self.used_fraction = 1.0
        self.usage_samples = 0

    def available(self, now: float) -> float:
        return sum(
            grant.remaining for grant in self.grants if grant.expires_at > now
        )

    def consume(
        self, tokens: float, now: float
    ) -> tuple[ReservationPart, ...] | None:
        """Takes tokens from the grants; returns None if there are too few."""
        if self.available(now) < tokens:
            return None
        parts = []
        for grant in self.grants:
            if grant.expires_at > now and grant.remaining > 0 and tokens > 0:
                part = min(grant.remaining, tokens)
                grant.remaining -= part
                tokens -= part
                parts.append(ReservationPart(grant, part))
        return tuple(parts)

    @property
    def prefetch_target(self) -> float:
        """Tokens to hold in advance for the expected demand.

        It is 0 if they would not cover a request of mean size, since such
        tokens would sit unused.
        """
        expected = (
            self.demand_rate * self.used_fraction * PREFETCH_HORIZON_SECONDS
        )
        return expected if expected >= self.mean_request_tokens else 0.0

    def record_usage(self, fraction: float) -> None:
        """Updates the moving mean of the used part of reservations."""
        self.usage_samples += 1
        smoothing = max(SMOOTHING_FACTOR, 1 / self.usage_samples)
        self.used_fraction += smoothing * (fraction - self.used_fraction)

    def record_demand(self, tokens: float, now: float) -> None:
        """Updates the averages of demand and of request size."""
        self.decay_demand(now)
        self.demand_rate += tokens / DEMAND_WINDOW_SECONDS
        if not self.mean_request_tokens:
            self.mean_request_tokens = tokens
        self.mean_request_tokens += SMOOTHING_FACTOR * (
            tokens - self.mean_request_tokens
        )

    def decay_demand(self, now: float) -> None:
        elapsed = max(0.0, now - self.demand_updated_at)
        self.demand_rate *= math.exp(-elapsed / DEMAND_WINDOW_SECONDS)
        self.demand_updated_at = now
