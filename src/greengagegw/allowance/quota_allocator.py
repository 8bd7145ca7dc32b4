"""Grants a region's tokens, on the VM that holds the region's lease."""

import collections.abc

from .. import errors
from .. import table as tables
from .. import timers as timer_service
from ..control import view as views
from . import lease as leases
from ..ports import peers
from . import token_bucket

GRANT_SECONDS = 1.5
MIN_GRANT_TOKENS = 1.0


class QuotaAllocator:
    """Grants tokens from the token buckets of one region.

    A new lease holder starts with empty buckets, which stay empty until
    every grant of the previous holder has expired.

    :param region_share: returns a region's share of an organisation's
        allowance, between 0 and 1.
    """

    def __init__(
        self,
        lease: leases.RegionLease,
        view: views.ConfigurationView,
        timers: timer_service.Timers,
        region_share: collections.abc.Callable[[tables.Table, str], float],
    ) -> None:
        self.lease = lease
        self.view = view
        self.timers = timers
        self.region_share = region_share
        self.buckets: dict[str, token_bucket.TokenBucket] = {}
        self.held_since = -1.0
        self.revision = -1

    def handlers(self) -> dict[str, peers.Handler]:
        return {f'allowance.{self.lease.region}': self.on_exchange}

    def require_lease(self) -> None:
        """Checks that this VM may grant tokens now.

        Buckets of an earlier lease are dropped.

        :raises NotLeaderError: if this VM does not hold the lease.
        """
        if not self.lease.is_held:
            self.buckets.clear()
            holder = self.lease.last_holder
            is_other = holder and holder != self.lease.vm
            raise errors.NotLeaderError(
                f'{self.lease.vm} does not hold the lease of'
                f' {self.lease.region}',
                holder if is_other else None,
            )
        if self.held_since != self.lease.held_since:
            self.buckets.clear()
            self.held_since = self.lease.held_since

    def find_bucket(self, organisation: str) -> token_bucket.TokenBucket:
        """Returns an organisation's bucket, created on first use.

        Rate and burst are those of the current table.

        :raises NotLeaderError: if this VM does not hold the lease.
        :raises PermissionDeniedError: if the table has no row for it.
        """
        self.require_lease()
        self.apply_table()
        bucket = self.buckets.get(organisation)
        if bucket is not None:
            return bucket
        row = self.view.configuration.table.organisation(organisation)
        if row is None:
            raise errors.PermissionDeniedError(
                f'the table has no row for organisation {organisation!r}'
            )
        share = self.region_share(
            self.view.configuration.table, self.lease.region
        )
        # Tokens accrue from the expiry of the previous holder's grants on,
        # not only from the first request.
        starts_at = (
            self.held_since + GRANT_SECONDS * leases.MAX_CLOCK_RATE_RATIO
        )
        bucket = token_bucket.TokenBucket(
            row.rate * share, row.burst * share, starts_at
        )
        self.buckets[organisation] = bucket
        return bucket

    def apply_table(self) -> None:
        """Applies the rates and bursts of a new table to the buckets."""
        revision = self.view.configuration.table_revision
        if revision == self.revision:
            return
        self.revision = revision
        table = self.view.configuration.table
        share = self.region_share(table, self.lease.region)
        for name, bucket in list(self.buckets.items()):
            row = table.organisation(name)
            if row is None:
                # Keeps the bucket: if the row is added again, a new bucket
                # would not count the tokens that are still outstanding.
                bucket.reconfigure(0.0, 0.0, self.timers.now())
                continue
            bucket.reconfigure(
                row.rate * share, row.burst * share, self.timers.now()
            )

    async def on_exchange(self, peer: str, message: list) -> list[list]:
        """Processes a VM's report and grants the tokens that it requests.

        :returns: for each request the grant id (0 for none), the granted
            tokens, and the tokens that are left in the bucket.
        """
        settled, refunded, requested = message
        self.require_lease()
        self.settle(settled, refunded)
        return [self.grant(*request) for request in requested]

    def settle(self, settled: list, refunded: list) -> None:
        """Settles ended grants and refunds unused reserved tokens."""
        for organisation, grant_id, spent in settled:
            if organisation in self.buckets:
                self.buckets[organisation].settle(grant_id, spent)
        for organisation, tokens in refunded:
            if organisation in self.buckets:
                self.buckets[organisation].refill(self.timers.now())
                self.buckets[organisation].refund(tokens)

    def grant(self, organisation: str, tokens: float) -> list:
        try:
            bucket = self.find_bucket(organisation)
        except errors.PermissionDeniedError:
            # The row was removed; the other requests of the message
            # still get replies.
            return [0, 0, 0]
        grant = bucket.issue_grant(
            MIN_GRANT_TOKENS,
            tokens,
            self.timers.now(),
            GRANT_SECONDS * leases.MAX_CLOCK_RATE_RATIO,
        )
        if grant is None:
            return [0, 0, int(bucket.available)]
        return [grant.grant_id, grant.tokens, int(bucket.available)]


def make_share(
    regions: tuple[str, ...],
) -> collections.abc.Callable[[tables.Table, str], float]:
    """Returns a function for a region's share, by the regions' weights."""

    def weight(table: tables.Table, region: str) -> float:
        row = table.region(region)
        return row.weight if row else 1.0

    def share(table: tables.Table, region: str) -> float:
        total = sum(weight(table, one) for one in regions)
        return weight(table, region) / total

    return share
