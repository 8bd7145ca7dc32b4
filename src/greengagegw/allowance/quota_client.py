"""Reserves an organisation's tokens for requests and prefetches them.

Between two flushes only a request that would have to wait requests tokens.
Prefetches, reports of spent tokens and refunds of all organisations go in
one message per flush to each region.
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

FLUSH_INTERVAL_SECONDS = 0.25
LOW_WATER_FRACTION = 0.6
# Tokens beyond this multiple of the prefetch target return to the region.
MAX_IDLE_FACTOR = 2.0
MIN_RETRY_DELAY_SECONDS = 0.02
MAX_RETRY_DELAY_SECONDS = 0.1
MAX_REMOTE_REGIONS = 3
# Unused tokens of other VMs are back in the buckets after two flushes: one
# settles their grants and one reports the refunds of finished requests.
REFUND_DELAY_SECONDS = 2 * FLUSH_INTERVAL_SECONDS
# While another region does not reply for longer, the own one is asked again.
REMOTE_REPLY_TIMEOUT_SECONDS = 0.25


class QuotaClient:
    """Reserves tokens of organisations' allowances for requests on this VM.

    :param vms_of: returns the VMs of a region, likeliest to reply first.
    :ivar available_by_region: tokens that a region's bucket had left in its
        last reply, by region and organisation.
    :ivar settled: reports of ended grants to send, by region.
    :ivar refunded: unused tokens to return, by region and organisation.
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
        self.lease_holders = lease_holder_client.LeaseHolderClient(
            vms_of, mesh, timers
        )
        self.pools: dict[str, token_pool.TokenPool] = {}
        self.available_by_region: dict[tuple[str, str], float] = {}
        self.settled: dict[str, list[list]] = collections.defaultdict(list)
        self.refunded: dict[tuple[str, str], float] = collections.defaultdict(
            float
        )
        self.tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Flushes periodically until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = self.lease_holders.tasks = tasks
            try:
                while True:
                    await self.timers.sleep(FLUSH_INTERVAL_SECONDS)
                    tasks.start_soon(self.flush)
            finally:
                self.tasks = self.lease_holders.tasks = None

    def find_pool(self, organisation: str) -> token_pool.TokenPool:
        pool = self.pools.get(organisation)
        if pool is None:
            pool = self.pools[organisation] = token_pool.TokenPool(
                self.timers.now()
            )
        return pool

    async def reserve(
        self,
        organisation: str,
        tokens: float,
        rate: float,
        max_wait_seconds: float,
    ) -> token_pool.Reservation:
        """Reserves tokens, waiting for them if too few are available.

        :param tokens: upper bound of the tokens that the request uses.
        :param rate: the organisation's tokens per second in the whole fleet.
        :param max_wait_seconds: how long the request may wait for tokens.
        :raises RateLimitError: if the tokens do not become available in
            time; early, if the rate rules that out.
        """
        now = self.timers.now()
        pool = self.find_pool(organisation)
        pool.record_demand(tokens, now)
        if not pool.lock.locked():
            parts = pool.consume(tokens, now)
            if parts is not None:
                return token_pool.Reservation(organisation, tokens, parts)
        self.reject_if_hopeless(pool, tokens, rate, max_wait_seconds)
        pool.queued_tokens += tokens
        try:
            with self.timers.move_on_after(max_wait_seconds):
                async with pool.lock:
                    parts = await self.wait_for_tokens(
                        organisation,
                        pool,
                        tokens,
                        rate,
                        now + max_wait_seconds,
                    )
                    return token_pool.Reservation(organisation, tokens, parts)
        finally:
            pool.queued_tokens -= tokens
        raise errors.RateLimitError(
            f'organisation {organisation} is at its rate limit:'
            f' {tokens:.0f} tokens not available within'
            f' {max_wait_seconds:.2f} s',
            retry_after=self.retry_after(pool, tokens, rate),
        )

    def reject_if_hopeless(
        self,
        pool: token_pool.TokenPool,
        tokens: float,
        rate: float,
        max_wait_seconds: float,
    ) -> None:
        """Rejects a request that queued requests keep from being in time.

        :raises RateLimitError: if the rate does not cover the queued tokens
            and those of the request within the wait.
        """
        queued = pool.queued_tokens * pool.used_fraction
        if queued > 0 and queued + tokens > rate * max_wait_seconds:
            raise errors.RateLimitError(
                f'the rate limit of {rate:.0f} tokens/s does not cover'
                f' {queued:.0f} queued and {tokens:.0f} requested tokens'
                f' within {max_wait_seconds:.2f} s',
                retry_after=self.retry_after(pool, tokens, rate),
            )

    def retry_after(
        self, pool: token_pool.TokenPool, tokens: float, rate: float
    ) -> float:
        missing = pool.queued_tokens + tokens
        return min(60.0, max(1.0, missing / rate if rate > 0 else 60.0))

    def refund(self, reservation: token_pool.Reservation, used: float) -> None:
        """Refunds the tokens of a reservation that were not used.

        They go back into their grants if this VM still holds these, and
        otherwise to the regions that granted them.

        :param used: tokens that the request used.
        """
        organisation = reservation.organisation
        pool = self.find_pool(organisation)
        if reservation.tokens > 0:
            pool.record_usage(min(1.0, used / reservation.tokens))
        unused = reservation.tokens - used
        for part in reversed(reservation.parts):
            tokens = min(part.tokens, unused)
            if tokens <= 0:
                return
            unused -= tokens
            if any(grant is part.grant for grant in pool.grants):
                part.grant.remaining += tokens
            else:
                self.refunded[part.grant.region, organisation] += tokens

    async def wait_for_tokens(
        self,
        organisation: str,
        pool: token_pool.TokenPool,
        tokens: float,
        rate: float,
        deadline: float,
    ) -> tuple[token_pool.ReservationPart, ...]:
        """Fetches tokens until those of a request can be consumed.

        :param deadline: timer seconds at which the request stops waiting.
        :raises RateLimitError: if the missing tokens do not accrue before
            the deadline, once refunds of other VMs would have arrived.
        """
        refunds_settled_at = self.timers.now() + REFUND_DELAY_SECONDS
        while True:
            parts = pool.consume(tokens, self.timers.now())
            if parts is not None:
                return parts
            missing = await self.fetch(organisation, pool, tokens)
            now = self.timers.now()
            if now >= refunds_settled_at and missing > rate * (deadline - now):
                raise errors.RateLimitError(
                    f'organisation {organisation} is over its rate limit:'
                    f' {missing:.0f} tokens are missing at'
                    f' {rate:.0f} tokens/s',
                    retry_after=self.retry_after(pool, tokens, rate),
                )
            if missing > 0:
                # The own region needs this long to accrue the missing tokens.
                share = rate / len(self.regions)
                pause = (
                    missing / share if share > 0 else MAX_RETRY_DELAY_SECONDS
                )
                pause = max(MIN_RETRY_DELAY_SECONDS, pause)
                await self.timers.sleep(min(MAX_RETRY_DELAY_SECONDS, pause))

    async def fetch(
        self, organisation: str, pool: token_pool.TokenPool, tokens: float
    ) -> float:
        """Fetches tokens from the regions in turn, usually the own one first.

        If the fetched tokens do not suffice they are returned, so that two
        VMs never wait for tokens that the other holds. A slow reply of
        another region ends the round, since the own region's bucket refills
        in the meantime.

        :returns: tokens that are still missing.
        """
        pool.decay_demand(self.timers.now())
        prefetch_tokens = pool.prefetch_target
        before = {id(one) for one in pool.grants}
        for region in self.regions_by_availability(organisation):
            missing = tokens - pool.available(self.timers.now())
            if missing <= 0:
                break
            request_done = self.start_request(
                organisation, pool, region, missing + prefetch_tokens
            )
            if request_done is None:
                continue
            timeout_seconds = REMOTE_REPLY_TIMEOUT_SECONDS
            if region == self.region:
                timeout_seconds = lease_holder_client.REPLY_TIMEOUT_SECONDS
            with self.timers.move_on_after(timeout_seconds):
                await request_done.wait()
            if not request_done.is_set() and region != self.region:
                break
        fetched = [one for one in pool.grants if id(one) not in before]
        missing = tokens - pool.available(self.timers.now())
        if missing <= 0:
            return 0.0
        for grant in fetched:
            # A flush may have settled the grant in the meantime.
            if any(one is grant for one in pool.grants):
                pool.grants = [one for one in pool.grants if one is not grant]
                self.record_settled(grant)
        if fetched:
            await self.report()
        return missing

    def start_request(
        self,
        organisation: str,
        pool: token_pool.TokenPool,
        region: str,
        tokens: float,
    ) -> anyio.Event | None:
        """Starts to request tokens of a region for the pool.

        :returns: an event that is set when the request has ended, or None
            if one is already in flight or the client is stopped.
        """
        if region in pool.pending_regions or self.tasks is None:
            return None
        pool.pending_regions.add(region)
        request_done = anyio.Event()

        async def add_grant() -> None:
            try:
                with contextlib.suppress(errors.GatewayError):
                    grant = await self.request_grant(
                        organisation, region, tokens
                    )
                    if grant is not None:
                        pool.grants.append(grant)
            finally:
                pool.pending_regions.discard(region)
                request_done.set()

        self.tasks.start_soon(add_grant)
        return request_done

    def regions_by_availability(self, organisation: str) -> list[str]:
        """Returns the regions to ask, those with most tokens first.

        The own region comes first, or last while it is suspected.
        """
        others = [
            one
            for one in self.regions
            if one != self.region and not self.lease_holders.is_suspected(one)
        ]
        others.sort(
            key=lambda region: (
                -self.available_by_region.get((region, organisation), 1e9)
            )
        )
        others = others[:MAX_REMOTE_REGIONS]
        if self.lease_holders.is_suspected(self.region):
            return [*others, self.region]
        return [self.region, *others]

    async def request_grant(
        self, organisation: str, region: str, tokens: float
    ) -> token_pool.HeldGrant | None:
        sent_at = self.timers.now()
        (
            grant_id,
            granted,
            left_in_bucket,
        ) = await self.lease_holders.request_grant(
            region, organisation, math.ceil(tokens)
        )
        self.available_by_region[region, organisation] = left_in_bucket
        if not grant_id:
            return None
        expires_at = sent_at + quota_allocator.GRANT_SECONDS
        return token_pool.HeldGrant(
            region,
            organisation,
            grant_id,
            granted,
            granted,
            sent_at,
            expires_at,
        )

    def prefetch(self) -> None:
        """Starts to fetch tokens for pools below their low-water mark."""
        now = self.timers.now()
        for organisation, pool in self.pools.items():
            low_water = pool.prefetch_target * LOW_WATER_FRACTION
            if pool.is_prefetching or self.tasks is None:
                continue
            if pool.available(now) < low_water:
                pool.is_prefetching = True
                self.tasks.start_soon(
                    self.fill_pool, organisation, pool, low_water
                )

    async def fill_pool(
        self, organisation: str, pool: token_pool.TokenPool, tokens: float
    ) -> None:
        try:
            async with pool.lock:
                await self.fetch(organisation, pool, tokens)
        finally:
            pool.is_prefetching = False

    def record_settled(self, grant: token_pool.HeldGrant) -> None:
        self.settled[grant.region].append(
            [
                grant.organisation,
                grant.grant_id,
                math.ceil(grant.tokens - grant.remaining),
            ]
        )

    async def flush(self) -> None:
        """Settles old, idle and empty grants and starts prefetches."""
        now = self.timers.now()
        max_age_seconds = quota_allocator.GRANT_SECONDS / 2
        for pool in self.pools.values():
            pool.decay_demand(now)
            idle = pool.available(now) - MAX_IDLE_FACTOR * pool.prefetch_target
            kept = []
            for grant in pool.grants:
                is_idle = 0 < grant.remaining <= idle
                if is_idle:
                    idle -= grant.remaining
                is_old = now - grant.requested_at > max_age_seconds
                if is_old or is_idle or grant.remaining <= 0:
                    self.record_settled(grant)
                else:
                    kept.append(grant)
            pool.grants = kept
        # Started before the report, so that both share one message.
        self.prefetch()
        await self.report()

    async def report(self) -> None:
        """Reports settled grants and refunds to the regions."""
        refunds = collections.defaultdict(list)
        for (region, organisation), tokens in self.refunded.items():
            refunds[region].append([organisation, math.floor(tokens)])
        self.refunded.clear()
        settled, self.settled = self.settled, collections.defaultdict(list)
        async with anyio.create_task_group() as tasks:
            for region in sorted({*settled, *refunds}):
                tasks.start_soon(
                    self.report_to, region, settled[region], refunds[region]
                )

    async def report_to(
        self, region: str, settled: list, refunds: list
    ) -> None:
        # After a lost report the tokens count as spent: less is granted than
        # the rate allows, never more.
        with contextlib.suppress(errors.GatewayError):
            await self.lease_holders.report(region, settled, refunds)

    async def return_all(self) -> None:
        """Returns all tokens that this VM holds to their regions."""
        for pool in self.pools.values():
            for grant in pool.grants:
                self.record_settled(grant)
            pool.grants = []
        await self.report()
