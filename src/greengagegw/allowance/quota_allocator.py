"""Hands out a region's tokens, on the VM that holds the region's lease."""

import collections.abc

from .. import errors
from .. import table as tables
from .. import timers as timer_service
from ..control import view as views
from . import lease as leases
from ..ports import peers
from . import token_bucket

GRANT_SECONDS = 1.5
# Fewer tokens than this are not handed out.
MIN_GRANT_TOKENS = 1.0


class QuotaAllocator:
    """The buckets of one region.

    A new holder of the lease starts with empty buckets, and they stay
    empty until every grant of the last holder has ended.

    :param share: gives a region's share of an organisation's allowance.
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
        """Checks that this VM may hand out tokens now.

        :raises NotLeaderError: if another VM holds the lease.
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
        """Returns the bucket of an organisation at the table in force."""
        self.require_lease()
        self.apply_table()
        bucket = self.buckets.get(organisation)
        if bucket is not None:
            return bucket
        row = self.view.configuration.table.organisation(organisation)
        if row is None:
            raise errors.PermissionDeniedError(f'no row for {organisation!r}')
        share = self.region_share(
            self.view.configuration.table, self.lease.region
        )
        # The bucket has been filling since the last holder's grants ended,
        # whether or not anyone has asked for it.
        starts_at = (
            self.held_since + GRANT_SECONDS * leases.MAX_CLOCK_RATE_RATIO
        )
        bucket = token_bucket.TokenBucket(
            row.rate * share, row.burst * share, starts_at
        )
        self.buckets[organisation] = bucket
        return bucket

    def apply_table(self) -> None:
        """Takes over the rates and bursts of a new table."""
        revision = self.view.configuration.table_revision
        if revision == self.revision:
            return
        self.revision = revision
        table = self.view.configuration.table
        share = self.region_share(table, self.lease.region)
        for name, bucket in list(self.buckets.items()):
            row = table.organisation(name)
            if row is None:
                # The bucket stays, so that a row that comes back does not
                # start a second one beside the tokens handed out.
                bucket.reconfigure(0.0, 0.0, self.timers.now())
                continue
            bucket.reconfigure(
                row.rate * share, row.burst * share, self.timers.now()
            )

    async def on_exchange(self, peer: str, message: list) -> list[list]:
        """Takes in a VM's report, and hands out the tokens that it wants.

        :returns: for each want the number of the grant (0 for none), its
            tokens, and the tokens that are left.
        """
        settled, returned, wanted = message
        self.require_lease()
        self.settle(settled, returned)
        return [self.grant(*want) for want in wanted]

    def settle(self, settled: list, returned: list) -> None:
        """Takes reports of ended grants, and unused reservations."""
        for organisation, number, spent in settled:
            if organisation in self.buckets:
                self.buckets[organisation].settle(number, spent)
        for organisation, tokens in returned:
            if organisation in self.buckets:
                self.buckets[organisation].refill(self.timers.now())
                self.buckets[organisation].refund(tokens)

    def grant(self, organisation: str, tokens: float) -> list:
        try:
            bucket = self.find_bucket(organisation)
        except errors.PermissionDeniedError:
            # The row went away; the others' wants are not to suffer.
            return [0, 0, 0]
        grant = bucket.grant(
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
    """Returns a function that splits allowances by the regions' weights."""

    def weight(table: tables.Table, region: str) -> float:
        row = table.region(region)
        return row.weight if row else 1.0

    def share(table: tables.Table, region: str) -> float:
        total = sum(weight(table, one) for one in regions)
        return weight(table, region) / total

    return share
