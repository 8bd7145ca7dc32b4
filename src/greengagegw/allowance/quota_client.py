"""Reserves an organisation's tokens for requests, fetched ahead of demand.

Between two flushes only a request that would wait asks for tokens; what is
wanted ahead, what was spent and what comes back travels for all
organisations in one message a flush to each region.
"""

import collections
import collections.abc
import contextlib
import math

import anyio
import anyio.abc

from .. import errors
from .. import timers as timer_service
from . import lease_holder_client
from ..ports import peers
from . import quota_allocator
from . import token_pool

FLUSH_SECONDS = 0.25
LOW_WATER_SHARE = 0.6
# More than this many times what is wanted ahead goes back to the region.
IDLE_FACTOR = 2.0
SHORTEST_RETRY_SECONDS = 0.02
LONGEST_RETRY_SECONDS = 0.1
REGIONS_ASKED = 3
# Tokens that other VMs do not use are back in the buckets by then: one flush
# to settle them and one to report what answers gave back.
GIVEN_BACK_SECONDS = 2 * FLUSH_SECONDS
# After this long the own region is asked again beside another one.
ABROAD_SECONDS = 0.25


class QuotaClient:
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
        self.timers = timers
        self.holders = lease_holder_client.LeaseHolderClient(
            vms_of, mesh, timers
        )
        self.pools: dict[str, token_pool.TokenPool] = {}
        self.levels: dict[tuple[str, str], float] = {}
        self.settled: dict[str, list[list]] = collections.defaultdict(list)
        self.returned: dict[tuple[str, str], float] = collections.defaultdict(
            float
        )
        self.tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Flushes until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = self.holders.tasks = tasks
            try:
                while True:
                    await self.timers.sleep(FLUSH_SECONDS)
                    tasks.start_soon(self.flush)
            finally:
                self.tasks = self.holders.tasks = None

    def find_pool(self, organisation: str) -> token_pool.TokenPool:
        purse = self.pools.get(organisation)
        if purse is None:
            purse = self.pools[organisation] = token_pool.TokenPool(
                self.timers.now()
            )
        return purse

    async def reserve(
        self,
        organisation: str,
        tokens: float,
        rate: float,
        max_wait_seconds: float,
    ) -> token_pool.Reservation:
        """Reserves tokens, waiting a little when they are short.

        :param tokens: upper bound of what the request may use.
        :param rate: the organisation's tokens a second in the whole fleet.
        :param wait: seconds that the request may wait for tokens.
        :raises RateLimitError: at once when waiting cannot help.
        """
        now = self.timers.now()
        purse = self.find_pool(organisation)
        purse.record_demand(tokens, now)
        if not purse.lock.locked():
            parts = purse.take(tokens, now)
            if parts is not None:
                return token_pool.Reservation(organisation, tokens, parts)
        self.reject_if_hopeless(purse, tokens, rate, max_wait_seconds)
        purse.waiting_tokens += tokens
        try:
            with self.timers.limit(max_wait_seconds):
                async with purse.lock:
                    parts = await self.gather(
                        organisation,
                        purse,
                        tokens,
                        rate,
                        now + max_wait_seconds,
                    )
                    return token_pool.Reservation(organisation, tokens, parts)
        finally:
            purse.waiting_tokens -= tokens
        raise errors.RateLimitError(
            f'{organisation} is at its rate',
            retry_after=self.retry_after(purse, tokens, rate),
        )

    def reject_if_hopeless(
        self,
        purse: token_pool.TokenPool,
        tokens: float,
        rate: float,
        wait: float,
    ) -> None:
        """Refuses a request whose tokens cannot come in time."""
        ahead = purse.waiting_tokens * purse.used_fraction
        if ahead > 0 and ahead + tokens > rate * wait:
            raise errors.RateLimitError(
                'requests of the organisation wait for its rate already',
                retry_after=self.retry_after(purse, tokens, rate),
            )

    def retry_after(
        self, purse: token_pool.TokenPool, tokens: float, rate: float
    ) -> float:
        missing = purse.waiting_tokens + tokens
        return min(60.0, max(1.0, missing / rate if rate > 0 else 60.0))

    def refund(self, reservation: token_pool.Reservation, used: float) -> None:
        """Returns the tokens of a reservation that were not used.

        They go back into their grants while this VM holds these, and else
        to the regions that granted them.
        """
        organisation = reservation.organisation
        purse = self.find_pool(organisation)
        if reservation.tokens > 0:
            purse.record_usage(min(1.0, used / reservation.tokens))
        unused = reservation.tokens - used
        for part in reversed(reservation.parts):
            tokens = min(part.tokens, unused)
            if tokens <= 0:
                return
            unused -= tokens
            if any(held is part.grant for held in purse.grants):
                part.grant.remaining += tokens
            else:
                self.returned[part.grant.region, organisation] += tokens

    async def gather(
        self,
        organisation: str,
        purse: token_pool.TokenPool,
        tokens: float,
        rate: float,
        until: float,
    ) -> tuple[token_pool.ReservationPart, ...]:
        """Fetches until a request's tokens can be spent.

        :param until: timer seconds at which the request stops waiting.
        :raises RateLimitError: once the rate alone cannot bring what is
            missing until then.
        """
        given_back_at = self.timers.now() + GIVEN_BACK_SECONDS
        while True:
            parts = purse.take(tokens, self.timers.now())
            if parts is not None:
                return parts
            missing = await self.fetch(organisation, purse, tokens)
            now = self.timers.now()
            if now >= given_back_at and missing > rate * (until - now):
                raise errors.RateLimitError(
                    f'{organisation} is over its rate',
                    retry_after=self.retry_after(purse, tokens, rate),
                )
            if missing > 0:
                # No sooner than the own region can have what is missing.
                share = rate / len(self.regions)
                pause = missing / share if share > 0 else LONGEST_RETRY_SECONDS
                pause = max(SHORTEST_RETRY_SECONDS, pause)
                await self.timers.sleep(min(LONGEST_RETRY_SECONDS, pause))

    async def fetch(
        self, organisation: str, purse: token_pool.TokenPool, tokens: float
    ) -> float:
        """Fetches tokens, from the own region first.

        What was fetched is given back when it does not suffice, so that
        two VMs never wait for what the other holds. Another region that is
        slow ends the round, since the own one fills in the meantime.

        :returns: tokens that are still missing.
        """
        purse.decay_demand(self.timers.now())
        ahead = purse.prefetch_target
        before = {id(one) for one in purse.grants}
        for region in self.order(organisation):
            missing = tokens - purse.available(self.timers.now())
            if missing <= 0:
                break
            asking = self.ask(organisation, purse, region, missing + ahead)
            if asking is None:
                continue
            seconds = ABROAD_SECONDS
            if region == self.region:
                seconds = lease_holder_client.ANSWER_SECONDS
            with self.timers.limit(seconds):
                await asking.wait()
            if not asking.is_set() and region != self.region:
                break
        fetched = [one for one in purse.grants if id(one) not in before]
        missing = tokens - purse.available(self.timers.now())
        if missing <= 0:
            return 0.0
        for held in fetched:
            # A flush may have settled it in the meantime.
            if any(one is held for one in purse.grants):
                purse.grants = [one for one in purse.grants if one is not held]
                self.note_settled(held)
        if fetched:
            await self.report()
        return missing

    def ask(
        self,
        organisation: str,
        purse: token_pool.TokenPool,
        region: str,
        tokens: float,
    ) -> anyio.Event | None:
        """Asks a region for tokens, which come into the purse.

        :returns: what is set when the answer is there, or None if the
            region is being asked already.
        """
        if region in purse.pending_regions or self.tasks is None:
            return None
        purse.pending_regions.add(region)
        answered = anyio.Event()

        async def take() -> None:
            try:
                with contextlib.suppress(errors.GatewayError):
                    held = await self.take(organisation, region, tokens)
                    if held is not None:
                        purse.grants.append(held)
            finally:
                purse.pending_regions.discard(region)
                answered.set()

        self.tasks.start_soon(take)
        return answered

    def order(self, organisation: str) -> list[str]:
        """Returns the regions to ask, those known to have tokens first.

        The own one comes first unless it has just been silent.
        """
        others = [
            one
            for one in self.regions
            if one != self.region and not self.holders.is_doubted(one)
        ]
        others.sort(
            key=lambda region: -self.levels.get((region, organisation), 1e9)
        )
        others = others[:REGIONS_ASKED]
        if self.holders.is_doubted(self.region):
            return [*others, self.region]
        return [self.region, *others]

    async def take(
        self, organisation: str, region: str, tokens: float
    ) -> token_pool.HeldGrant | None:
        asked_at = self.timers.now()
        number, granted, level = await self.holders.take(
            region, organisation, math.ceil(tokens)
        )
        self.levels[region, organisation] = level
        if not number:
            return None
        until = asked_at + quota_allocator.GRANT_SECONDS
        return token_pool.HeldGrant(
            region, organisation, number, granted, granted, asked_at, until
        )

    def prefetch(self) -> None:
        """Fetches for the organisations of which few tokens are left."""
        now = self.timers.now()
        for organisation, purse in self.pools.items():
            low = purse.prefetch_target * LOW_WATER_SHARE
            if purse.is_prefetching or self.tasks is None:
                continue
            if purse.available(now) < low:
                purse.is_prefetching = True
                self.tasks.start_soon(
                    self.fetch_ahead, organisation, purse, low
                )

    async def fetch_ahead(
        self, organisation: str, purse: token_pool.TokenPool, tokens: float
    ) -> None:
        try:
            async with purse.lock:
                await self.fetch(organisation, purse, tokens)
        finally:
            purse.is_prefetching = False

    def note_settled(self, held: token_pool.HeldGrant) -> None:
        self.settled[held.region].append(
            [
                held.organisation,
                held.grant_id,
                math.ceil(held.tokens - held.remaining),
            ]
        )

    async def flush(self) -> None:
        """Gives up old grants and idle ones, and fetches what is needed."""
        now = self.timers.now()
        half = quota_allocator.GRANT_SECONDS / 2
        for purse in self.pools.values():
            purse.decay_demand(now)
            idle = purse.available(now) - IDLE_FACTOR * purse.prefetch_target
            kept = []
            for held in purse.grants:
                is_idle = 0 < held.remaining <= idle
                if is_idle:
                    idle -= held.remaining
                is_old = now - held.requested_at > half
                if is_old or is_idle or held.remaining <= 0:
                    self.note_settled(held)
                else:
                    kept.append(held)
            purse.grants = kept
        # The fetches join the report in one message.
        self.prefetch()
        await self.report()

    async def report(self) -> None:
        """Reports spent grants and unused reservations."""
        returned = collections.defaultdict(list)
        for (region, organisation), tokens in self.returned.items():
            returned[region].append([organisation, math.floor(tokens)])
        self.returned.clear()
        settled, self.settled = self.settled, collections.defaultdict(list)
        async with anyio.create_task_group() as tasks:
            for region in sorted({*settled, *returned}):
                tasks.start_soon(
                    self.report_to, region, settled[region], returned[region]
                )

    async def report_to(
        self, region: str, settled: list, returned: list
    ) -> None:
        # A report that is lost counts as spent, which is on the safe side.
        with contextlib.suppress(errors.GatewayError):
            await self.holders.report(region, settled, returned)

    async def return_all(self) -> None:
        """Gives back everything that is held."""
        for purse in self.pools.values():
            for held in purse.grants:
                self.note_settled(held)
            purse.grants = []
        await self.report()
