"""The tokens of one organisation that a VM holds."""

import dataclasses
import math

import anyio

DEMAND_SECONDS = 2.0
USE_SMOOTHING = 0.05
PREFETCH_SECONDS = 0.6


@dataclasses.dataclass(slots=True)
class Held:
    """A grant that this VM holds."""

    region: str
    organisation: str
    number: int
    tokens: float
    left: float
    taken_at: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Tokens of a reservation that come from one grant."""

    held: Held
    tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens reserved for one request."""

    organisation: str
    tokens: float
    parts: tuple[Part, ...]


class Purse:
    """One organisation's tokens on this VM."""

    def __init__(self, now: float) -> None:
        self.held: list[Held] = []
        self.lock = anyio.Lock(fast_acquire=True)
        self.waiting_tokens = 0.0
        self.demand = 0.0
        self.demand_at = now
        self.usual_tokens = 0.0
        self.is_fetching = False
        self.asked: set[str] = set()
        self.used_share = 1.0
        self.uses = 0

    def available(self, now: float) -> float:
        return sum(one.left for one in self.held if one.until > now)

    def spend(self, tokens: float, now: float) -> tuple[Part, ...] | None:
        """Spends tokens if there are enough of them."""
        if self.available(now) < tokens:
            return None
        parts = []
        for one in self.held:
            if one.until > now and one.left > 0 and tokens > 0:
                part = min(one.left, tokens)
                one.left -= part
                tokens -= part
                parts.append(Part(one, part))
        return tuple(parts)

    @property
    def wanted_ahead(self) -> float:
        """Tokens worth holding for the requests of the next moments.

        Where these are less than a request, they would wait for nothing.
        """
        wanted = self.demand * self.used_share * PREFETCH_SECONDS
        return wanted if wanted >= self.usual_tokens else 0.0

    def note_use(self, share: float) -> None:
        """Keeps a moving mean of the share of reservations that is used."""
        self.uses += 1
        smoothing = max(USE_SMOOTHING, 1 / self.uses)
        self.used_share += smoothing * (share - self.used_share)

    def note_demand(self, tokens: float, now: float) -> None:
        """Keeps a decaying average of the tokens asked for a second."""
        self.decay(now)
        self.demand += tokens / DEMAND_SECONDS
        if not self.usual_tokens:
            self.usual_tokens = tokens
        self.usual_tokens += USE_SMOOTHING * (tokens - self.usual_tokens)

    def decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.demand_at)
        self.demand *= math.exp(-elapsed / DEMAND_SECONDS)
        self.demand_at = now
