"""Limits organisations' rates and bursts over all entry VMs.

The leader of the control group holds one token bucket for each organisation
and issues short-lived grants. A granted token counts as spent until it is
returned, so in no window of time more is spent than rate and burst allow.
"""

from .. import timers as timer_service
from ..allowance import token_bucket
from . import configuration as configurations
from . import timing


class QuotaAllocator:
    """Grants tokens while this VM leads the control group.

    :param max_debt: tokens that an organisation may get in advance of its
        rate, so that large requests are served as often as small ones.
    """

    def __init__(
        self, timers: timer_service.Timers, max_debt: float = 0.0
    ) -> None:
        self.timers = timers
        self.max_debt = max_debt
        self.buckets: dict[str, token_bucket.TokenBucket] = {}
        self.epoch = 0

    def update_buckets(
        self, epoch: int, configuration: configurations.Configuration
    ) -> None:
        """Applies the rates and bursts of a configuration.

        After a change of leader all buckets start empty, since grants of the
        previous leader may still be spent. They are created here, and not
        with the first request, so that they fill from the change on.

        :param epoch: the term in which this VM leads.
        """
        now = self.timers.now()
        if epoch != self.epoch:
            self.epoch = epoch
            self.buckets.clear()
        for organisation in configuration.organisations.values():
            if organisation.is_limited:
                self.update_bucket(organisation, now)

    def allocate(
        self,
        configuration: configurations.Configuration,
        wanted: dict[str, list],
        returned: list[list],
    ) -> dict[str, list]:
        """Returns a grant for each organisation with enough tokens.

        :param wanted: minimum and maximum tokens by organisation.
        :param returned: usage reports on earlier grants: organisation, epoch,
            grant ID, tokens spent and whether the grant has ended.
        :returns: grant ID and tokens by organisation; or 0 and the seconds
            until enough tokens are available.
        """
        now = self.timers.now()
        for name, epoch, grant_id, spent, has_ended in returned:
            if epoch != self.epoch or name not in self.buckets:
                continue
            if has_ended:
                self.buckets[name].settle(grant_id, spent)
            else:
                self.buckets[name].record_spent(grant_id, spent)
        granted = {}
        for name, (min_tokens, max_tokens) in wanted.items():
            organisation = configuration.organisations.get(name)
            if organisation is None or not organisation.is_limited:
                continue
            bucket = self.update_bucket(organisation, now)
            debt = self.max_debt if organisation.counts_tokens else 0.0
            grant = bucket.issue_grant(
                min_tokens,
                max_tokens,
                now,
                timing.GRANT_LIFETIME_SECONDS,
                debt,
            )
            if grant is None:
                needed = 1.0 if min_tokens <= debt else min_tokens
                missing = max(0.0, needed - bucket.available)
                granted[name] = [0, missing / organisation.rate]
            else:
                granted[name] = [grant.grant_id, grant.tokens]
        return granted

    def update_bucket(
        self, organisation: configurations.Organisation, now: float
    ) -> token_bucket.TokenBucket:
        rate = organisation.rate
        burst = organisation.burst or rate
        bucket = self.buckets.get(organisation.name)
        if bucket is None:
            bucket = token_bucket.TokenBucket(rate, burst, now)
            self.buckets[organisation.name] = bucket
        elif (bucket.rate, bucket.burst) != (rate, burst):
            bucket.reconfigure(rate, burst, now)
        return bucket
