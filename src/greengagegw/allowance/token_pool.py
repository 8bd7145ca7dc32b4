"""The tokens of one organisation that a VM holds."""

import dataclasses
import math

import anyio

DEMAND_WINDOW_SECONDS = 2.0
SMOOTHING_FACTOR = 0.05
PREFETCH_SECONDS = 0.6


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """A grant that this VM holds."""

    region: str
    organisation: str
    grant_id: int
    tokens: float
    remaining: float
    requested_at: float
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReservationPart:
    """Tokens of a reservation that come from one grant."""

    grant: HeldGrant
    tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens reserved for one request."""

    organisation: str
    tokens: float
    parts: tuple[ReservationPart, ...]


class TokenPool:
    """One organisation's tokens on this VM."""

    def __init__(self, now: float) -> None:
        self.grants: list[HeldGrant] = []
        self.lock = anyio.Lock(fast_acquire=True)
        self.waiting_tokens = 0.0
        self.demand_rate = 0.0
        self.demand_updated_at = now
        self.mean_request_tokens = 0.0
        self.is_prefetching = False
        self.pending_regions: set[str] = set()
        self.used_fraction = 1.0
        self.usage_samples = 0

    def available(self, now: float) -> float:
        return sum(
            one.remaining for one in self.grants if one.expires_at > now
        )

    def take(
        self, tokens: float, now: float
    ) -> tuple[ReservationPart, ...] | None:
        """Spends tokens if there are enough of them."""
        if self.available(now) < tokens:
            return None
        parts = []
        for one in self.grants:
            if one.expires_at > now and one.remaining > 0 and tokens > 0:
                part = min(one.remaining, tokens)
                one.remaining -= part
                tokens -= part
                parts.append(ReservationPart(one, part))
        return tuple(parts)

    @property
    def prefetch_target(self) -> float:
        """Tokens worth holding for the requests of the next moments.

        Where these are less than a request, they would wait for nothing.
        """
        wanted = self.demand_rate * self.used_fraction * PREFETCH_SECONDS
        return wanted if wanted >= self.mean_request_tokens else 0.0

    def record_usage(self, share: float) -> None:
        """Keeps a moving mean of the share of reservations that is used."""
        self.usage_samples += 1
        smoothing = max(SMOOTHING_FACTOR, 1 / self.usage_samples)
        self.used_fraction += smoothing * (share - self.used_fraction)

    def record_demand(self, tokens: float, now: float) -> None:
        """Keeps a decaying average of the tokens asked for a second."""
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
