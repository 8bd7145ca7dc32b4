"""The tokens that one VM may spend, fetched ahead of demand."""

import collections
import collections.abc
import contextlib
import dataclasses
import math

import anyio
import anyio.abc

from .. import errors
from .. import timers as timer_service
from . import grantor as grantors
from ..ports import peers

FLUSH_SECONDS = 0.25
DEMAND_SECONDS = 2.0
USE_SMOOTHING = 0.05
PREFETCH_SECONDS = 0.4
LOW_WATER_SHARE = 0.4
# More than this many times what is wanted ahead goes back to the region.
IDLE_FACTOR = 2.0
RETRY_SECONDS = 0.1
CALL_SECONDS = 1.0
REGIONS_ASKED = 3


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


class Purse:
    """One organisation's tokens on this VM."""

    def __init__(self, now: float) -> None:
        self.held: list[Held] = []
        self.lock = anyio.Lock()
        self.waiting_tokens = 0.0
        self.demand = 0.0
        self.demand_at = now
        self.is_fetching = False
        self.used_share = 1.0
        self.uses = 0

    def available(self, now: float) -> float:
        return sum(one.left for one in self.held if one.until > now)

    def spend(self, tokens: float, now: float) -> tuple['Part', ...] | None:
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
        """Tokens worth holding for the requests of the next moments."""
        return self.demand * self.used_share * PREFETCH_SECONDS

    def note_use(self, share: float) -> None:
        """Keeps a moving mean of the share of reservations that is used."""
        self.uses += 1
        smoothing = max(USE_SMOOTHING, 1 / self.uses)
        self.used_share += smoothing * (share - self.used_share)

    def note_demand(self, tokens: float, now: float) -> None:
        """Keeps a decaying average of the tokens asked for a second."""
        self.decay(now)
        self.demand += tokens / DEMAND_SECONDS

    def decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.demand_at)
        self.demand *= math.exp(-elapsed / DEMAND_SECONDS)
        self.demand_at = now


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


class Wallet:
    """Reserves tokens for requests.

    :param vms_of: gives the VMs of a region, likeliest to answer first.
    """

    def __init__(
        self,
        region: str,
        regions: tuple[str, ...],
        vms_of: collections.abc.Callable[[str], list[str]],
        mesh: peers.PeerPort,
        timers: timer_service.Timers,
    ) -> None:
        self.region = region
        self.regions = regions
        self.vms_of = vms_of
        self.mesh = mesh
        self.timers = timers
        self.purses: dict[str, Purse] = {}
        self.holders: dict[str, str] = {}
        self.levels: dict[tuple[str, str], float] = {}
        self.settled: dict[str, list[list]] = collections.defaultdict(list)
        self.returned: dict[tuple[str, str], float] = collections.defaultdict(
            float
        )
        self.tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Reports what was spent until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            while True:
                await self.timers.sleep(FLUSH_SECONDS)
                await self.flush()

    def purse(self, organisation: str) -> Purse:
        purse = self.purses.get(organisation)
        if purse is None:
            purse = self.purses[organisation] = Purse(self.timers.now())
        return purse

    async def reserve(
        self, organisation: str, tokens: float, rate: float, wait: float
    ) -> Reservation:
        """Reserves tokens, waiting a little when they are short.

        :param tokens: upper bound of what the request may use.
        :param rate: the organisation's tokens a second in the whole fleet.
        :param wait: seconds that the request may wait for tokens.
        :raises RateLimitError: at once when waiting cannot help.
        """
        now = self.timers.now()
        purse = self.purse(organisation)
        purse.note_demand(tokens, now)
        if not purse.lock.locked():
            parts = purse.spend(tokens, now)
            if parts is not None:
                self.prefetch(organisation, purse)
                return Reservation(organisation, tokens, parts)
        self.refuse_hopeless(purse, tokens, rate, wait)
        purse.waiting_tokens += tokens
        try:
            with self.timers.limit(wait):
                async with purse.lock:
                    parts = await self.gather(organisation, purse, tokens)
                    return Reservation(organisation, tokens, parts)
        finally:
            purse.waiting_tokens -= tokens
        raise errors.RateLimitError(
            f'{organisation} is at its rate',
            retry_after=self.retry_after(purse, tokens, rate),
        )

    def refuse_hopeless(
        self, purse: Purse, tokens: float, rate: float, wait: float
    ) -> None:
        """Refuses a request whose tokens cannot come in time."""
        ahead = purse.waiting_tokens * purse.used_share
        if ahead > 0 and ahead + tokens > rate * wait:
            raise errors.RateLimitError(
                'requests of the organisation wait for its rate already',
                retry_after=self.retry_after(purse, tokens, rate),
            )

    def retry_after(self, purse: Purse, tokens: float, rate: float) -> float:
        missing = purse.waiting_tokens + tokens
        return min(60.0, max(1.0, missing / rate if rate > 0 else 60.0))

    def give_back(self, reservation: Reservation, used: float) -> None:
        """Returns the tokens of a reservation that were not used.

        They go back into their grants while this VM holds these, and else
        to the regions that granted them.
        """
        organisation = reservation.organisation
        purse = self.purse(organisation)
        if reservation.tokens > 0:
            purse.note_use(min(1.0, used / reservation.tokens))
        unused = reservation.tokens - used
        for part in reversed(reservation.parts):
            tokens = min(part.tokens, unused)
            if tokens <= 0:
                return
            unused -= tokens
            if any(held is part.held for held in purse.held):
                part.held.left += tokens
            else:
                self.returned[part.held.region, organisation] += tokens

    async def gather(
        self, organisation: str, purse: Purse, tokens: float
    ) -> tuple[Part, ...]:
        """Fetches until a request's tokens can be spent."""
        while True:
            parts = purse.spend(tokens, self.timers.now())
            if parts is not None:
                return parts
            if not await self.fetch(organisation, purse, tokens):
                await self.timers.sleep(RETRY_SECONDS)

    async def fetch(
        self, organisation: str, purse: Purse, tokens: float
    ) -> bool:
        """Fetches tokens, from the own region first.

        What was fetched is given back when it does not suffice, so that
        two VMs never wait for what the other holds.
        """
        purse.decay(self.timers.now())
        ahead = purse.wanted_ahead
        fetched: list[Held] = []
        for region in self.order(organisation):
            missing = tokens - purse.available(self.timers.now())
            if missing <= 0:
                break
            with contextlib.suppress(errors.GatewayError):
                held = await self.take(organisation, region, missing + ahead)
                if held is not None:
                    fetched.append(held)
                    purse.held.append(held)
        if purse.available(self.timers.now()) >= tokens:
            return True
        for held in fetched:
            # A flush may have settled it in the meantime.
            if any(one is held for one in purse.held):
                purse.held = [one for one in purse.held if one is not held]
                self.note_settled(held)
        if fetched:
            await self.flush()
        return False

    def order(self, organisation: str) -> list[str]:
        """Returns the regions to ask, those known to have tokens first."""
        others = [one for one in self.regions if one != self.region]
        others.sort(
            key=lambda region: -self.levels.get((region, organisation), 1e9)
        )
        return [self.region, *others[:REGIONS_ASKED]]

    async def take(
        self, organisation: str, region: str, tokens: float
    ) -> Held | None:
        asked_at = self.timers.now()
        number, granted, level = await self.ask_holder(
            region, 'take', [organisation, 1.0, tokens]
        )
        self.levels[region, organisation] = level
        if not number:
            return None
        until = asked_at + grantors.VALIDITY_SECONDS
        return Held(
            region, organisation, number, granted, granted, asked_at, until
        )

    async def ask_holder(
        self, region: str, method: str, message: list
    ) -> list:
        """Asks the VM that holds a region's lease.

        :raises PeerError: if no holder was found.
        """
        candidates = self.vms_of(region)
        known = self.holders.get(region)
        if known in candidates:
            candidates = [known, *(vm for vm in candidates if vm != known)]
        tried: set[str] = set()
        while candidates:
            vm = candidates.pop(0)
            if vm in tried:
                continue
            tried.add(vm)
            try:
                answer = await self.mesh.call(
                    vm, f'allowance.{region}.{method}', message, CALL_SECONDS
                )
            except errors.NotLeaderError as error:
                if error.leader:
                    candidates.insert(0, error.leader)
                continue
            except errors.PeerError:
                continue
            self.holders[region] = vm
            return answer
        self.holders.pop(region, None)
        raise errors.PeerUnreachableError(f'{region} has no lease holder')

    def prefetch(self, organisation: str, purse: Purse) -> None:
        """Fetches in the background when few tokens are left."""
        now = self.timers.now()
        low = purse.wanted_ahead * LOW_WATER_SHARE
        if purse.is_fetching or self.tasks is None:
            return
        if purse.available(now) < low:
            purse.is_fetching = True
            self.tasks.start_soon(self.fetch_ahead, organisation, purse, low)

    async def fetch_ahead(
        self, organisation: str, purse: Purse, tokens: float
    ) -> None:
        try:
            async with purse.lock:
                await self.fetch(organisation, purse, tokens)
        finally:
            purse.is_fetching = False

    def note_settled(self, held: Held) -> None:
        self.settled[held.region].append(
            [held.organisation, held.number, held.tokens - held.left]
        )

    async def flush(self) -> None:
        """Reports spent grants and unused reservations."""
        now = self.timers.now()
        half = grantors.VALIDITY_SECONDS / 2
        for purse in self.purses.values():
            purse.decay(now)
            idle = purse.available(now) - IDLE_FACTOR * purse.wanted_ahead
            kept = []
            for held in purse.held:
                is_idle = 0 < held.left <= idle
                if is_idle:
                    idle -= held.left
                is_old = now - held.taken_at > half
                if is_old or is_idle or held.left <= 0:
                    self.note_settled(held)
                else:
                    kept.append(held)
            purse.held = kept
        returned = collections.defaultdict(list)
        for (region, organisation), tokens in self.returned.items():
            returned[region].append([organisation, tokens])
        self.returned.clear()
        settled, self.settled = self.settled, collections.defaultdict(list)
        async with anyio.create_task_group() as tasks:
            for region in sorted({*settled, *returned}):
                tasks.start_soon(
                    self.report, region, settled[region], returned[region]
                )

    async def hand_back(self) -> None:
        """Gives back everything that is held."""
        for purse in self.purses.values():
            for held in purse.held:
                self.note_settled(held)
            purse.held = []
        await self.flush()

    async def report(self, region: str, settled: list, returned: list) -> None:
        # A report that is lost counts as spent, which is on the safe side.
        with contextlib.suppress(errors.GatewayError):
            await self.ask_holder(region, 'settle', [settled, returned])
