"""Rates and bursts of organisations over all entry VMs.

The leader of the control group holds one bucket for each organisation and
hands out short grants; what was handed out counts as spent until it comes
back, so no window holds more than the rate and the burst allow.
"""

from .. import timers as timer_service
from ..allowance import token_bucket
from . import configuration as configurations
from . import timing


class QuotaAllocator:
    """Hands out tokens while this VM leads the control group.

    :param debt: tokens that an organisation may get ahead of its rate, so
        that large requests are served as often as small ones.
    """

    def __init__(
        self, timers: timer_service.Timers, debt: float = 0.0
    ) -> None:
        self.timers = timers
        self.max_debt = debt
        self.buckets: dict[str, token_bucket.TokenBucket] = {}
        self.epoch = 0

    def update_buckets(
        self, epoch: int, configuration: configurations.Configuration
    ) -> None:
        """Takes over the configuration's rates and bursts.

        When leadership has changed the buckets are empty, since the grants
        of the leader before may still be spent. They fill from then on,
        not from the first request.
        """
        now = self.timers.now()
        if epoch != self.epoch:
            self.epoch = epoch
            self.buckets.clear()
        for organisation in configuration.organisations.values():
            if organisation.is_limited:
                self.find_bucket(organisation, now)

    def allocate(
        self,
        configuration: configurations.Configuration,
        wanted: dict[str, list],
        returned: list[list],
    ) -> dict[str, list]:
        """Returns a grant for each organisation that has enough.

        :param wanted: least and most tokens by organisation.
        :param returned: organisation, epoch, number, tokens spent and
            whether it has ended, of grants that were used.
        :returns: number and tokens; number 0 comes with the seconds until
            there will be enough.
        """
        now = self.timers.now()
        for name, epoch, number, spent, has_ended in returned:
            if epoch != self.epoch or name not in self.buckets:
                continue
            if has_ended:
                self.buckets[name].settle(number, spent)
            else:
                self.buckets[name].record_spent(number, spent)
        granted = {}
        for name, (least, most) in wanted.items():
            organisation = configuration.organisations.get(name)
            if organisation is None or not organisation.is_limited:
                continue
            bucket = self.find_bucket(organisation, now)
            debt = self.max_debt if organisation.counts_tokens else 0.0
            grant = bucket.grant(
                least, most, now, timing.GRANT_LIFETIME_SECONDS, debt
            )
            if grant is None:
                wanted_level = 1.0 if least <= debt else least
                lacking = max(0.0, wanted_level - bucket.available)
                granted[name] = [0, lacking / organisation.rate]
            else:
                granted[name] = [grant.grant_id, grant.tokens]
        return granted

    def find_bucket(
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
