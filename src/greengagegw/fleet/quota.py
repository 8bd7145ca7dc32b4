"""Client of the quota allocator on an entry VM."""

import collections.abc
import dataclasses
import typing

import anyio
import anyio.abc
import eliot

from .. import errors
from .. import timers as timer_service
from ..allowance import token_pool
from ..ports import peers
from . import timing

# Retry-After of a rejection when the state of the bucket is unknown.
DEFAULT_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 4.0
# How long a request may wait for a grant. This covers a round trip between
# regions, and is a small part of the shortest latency objective, 0.45 s.
MAX_WAIT_SECONDS = 0.3
# Tokens that each VM holds of every organisation, in seconds of its fair
# rate: the first burst comes before any demand is known, and a reply of the
# leader takes 0.11 s. All VMs together hold less than half of a usual burst.
MIN_PREFETCH_SECONDS = 0.4
# Requests that may wait regardless of the recent rate of grants.
MIN_QUEUE_LENGTH = 6
# A waiting request is rejected if tokens are available only later than this.
MAX_PAUSE_SECONDS = 0.12
# Two reports and a round trip take well under the second of rate that a burst
# usually holds.
REPORT_INTERVAL_SECONDS = 0.25
LEADER_TIMEOUT_SECONDS = 2 * timing.GRANT_REQUEST_TIMEOUT_SECONDS
# Without a leader, a VM continues at the rate of its recent grants for this
# long, so that all VMs together stay within what the bucket allowed.
MAX_OUTAGE_SECONDS = 6.0
# Minimum rate of a VM during an outage, as a share of its fair rate, for an
# organisation with few recent requests there. All VMs together then stay
# within the slack of the quota.
MIN_OUTAGE_SHARE = 0.25


class Waiter:
    """A request that waits for tokens.

    :ivar outcome: whether it got the tokens; None if the leader did not
        reply.
    """

    __slots__ = ('done', 'outcome', 'tokens')

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens
        self.done = anyio.Event()
        self.outcome: bool | None = None

    def resolve(self, outcome: bool | None) -> None:
        self.outcome = outcome
        self.done.set()


@dataclasses.dataclass(slots=True)
class OrganisationQuota:
    """State of one organisation's quota on an entry VM.

    :ivar waiting: the requests that wait for a grant, in order of arrival.
    :ivar is_served: whether a task requests grants for the waiting requests.
    :ivar granted_rate: moving average of granted tokens spent a second.
    :ivar reserve: tokens that may be spent while no leader replies.
    """

    pool: token_pool.TokenPool
    waiting: list['Waiter'] = dataclasses.field(default_factory=list)
    fetch_lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)
    is_served: bool = False
    granted_rate: float = 0.0
    reserve: float = 0.0
    updated_at: float = 0.0


RequestGrants = collections.abc.Callable[
    [dict[str, list], list[list]],
    collections.abc.Awaitable[tuple[int, dict[str, list]]],
]


class QuotaClient:
    """Spends granted tokens on an entry VM, and requests more of them.

    :param request_grants: sends the wanted tokens and usage reports to the
        leader, and returns its epoch and the grants.
    :param fair_rate: returns the tokens a second of an organisation's rate
        that each VM has if all have the same.
    """

    def __init__(
        self,
        timers: timer_service.Timers,
        request_grants: RequestGrants,
        fair_rate: collections.abc.Callable[[str], float],
    ) -> None:
        self.timers = timers
        self.request_grants = request_grants
        self.fair_rate = fair_rate
        self.quotas: dict[str, OrganisationQuota] = {}
        self.retry_after: dict[str, float] = {}
        self.no_reply_since: float | None = None
        self.tasks: anyio.abc.TaskGroup | None = None
        self.replied_at = -MAX_OUTAGE_SECONDS

    def register(self, names: collections.abc.Iterable[str]) -> None:
        """Starts to hold tokens of organisations ahead of their requests."""
        for name in names:
            self.find_quota(name)

    def find_quota(self, name: str) -> OrganisationQuota:
        quota = self.quotas.get(name)
        if quota is None:
            now = self.timers.now()
            quota = OrganisationQuota(
                token_pool.TokenPool(now), updated_at=now
            )
            self.quotas[name] = quota
        return quota

    async def acquire(self, name: str, tokens: float) -> None:
        """Waits for the tokens of one request, and spends them.

        :raises RateLimitError: if the organisation is over its rate.
        :raises UnavailableError: if no leader replies, so that the rate is
            unknown.
        """
        quota = self.find_quota(name)
        now = self.timers.now()
        quota.pool.record_demand(tokens, now)
        # Waiting requests go first, or large ones would starve.
        if not quota.waiting and self.spend_granted(quota, tokens):
            return
        if self.is_leader_unresponsive and self.spend_reserve(name, tokens):
            return
        self.reject_if_queue_full(name, quota, tokens)
        waiter = Waiter(tokens)
        quota.waiting.append(waiter)
        if not quota.is_served:
            quota.is_served = True
            self.tasks.start_soon(self.serve_waiting, name, quota)
        try:
            with self.timers.move_on_after(MAX_WAIT_SECONDS):
                await waiter.done.wait()
        finally:
            if waiter in quota.waiting:
                quota.waiting.remove(waiter)
        outcome = waiter.outcome
        if outcome is True:
            return
        if outcome is False or not self.is_leader_unresponsive:
            seconds = self.retry_after.get(name, DEFAULT_RETRY_SECONDS)
            raise self.rate_limit_error(name, quota, tokens, seconds)
        if self.spend_reserve(name, tokens):
            return
        raise errors.UnavailableError(
            'the rate cannot be checked: no leader replied',
            retry_after=DEFAULT_RETRY_SECONDS,
        )

    def check(self, name: str, tokens: float) -> None:
        """Checks that a request may get its tokens, without spending them.

        :raises RateLimitError: if it would be rejected at once.
        """
        quota = self.find_quota(name)
        if quota.waiting:
            self.reject_if_queue_full(name, quota, tokens)

    def rate_limit_error(
        self,
        name: str,
        quota: OrganisationQuota,
        tokens: float,
        seconds: float,
    ) -> errors.RateLimitError:
        """Logs the rejection of a request, and returns its error."""
        now = self.timers.now()
        eliot.log_message(
            'quota:refused',
            organisation=name,
            tokens=tokens,
            held=round(quota.pool.available(now)),
            waiting=len(quota.waiting),
            waiting_tokens=round(sum(one.tokens for one in quota.waiting)),
            granted_rate=round(quota.granted_rate),
            answer_age=round(now - self.replied_at, 3),
        )
        return errors.RateLimitError(
            f'{name} is over its rate',
            retry_after=min(MAX_RETRY_SECONDS, max(0.1, seconds)),
        )

    def reject_if_queue_full(
        self, name: str, quota: OrganisationQuota, tokens: float
    ) -> None:
        """Rejects a request that cannot get tokens within its wait.

        :raises RateLimitError: if the requests ahead need more tokens than
            are granted in that time.
        """
        if len(quota.waiting) < MIN_QUEUE_LENGTH:
            return
        tokens_ahead = sum(one.tokens for one in quota.waiting)
        mean_tokens = quota.pool.mean_request_tokens
        if tokens_ahead <= quota.granted_rate * MAX_WAIT_SECONDS:
            return
        seconds = tokens_ahead / max(quota.granted_rate, mean_tokens)
        raise self.rate_limit_error(name, quota, tokens, seconds)

    @property
    def is_leader_unresponsive(self) -> bool:
        """Whether the leader has left requests without a reply for long."""
        if self.no_reply_since is None:
            return False
        waited = self.timers.now() - self.no_reply_since
        return waited >= LEADER_TIMEOUT_SECONDS

    async def serve_waiting(self, name: str, quota: OrganisationQuota) -> None:
        """Gets tokens for the waiting requests, in order of arrival.

        This runs as its own task, so that a reply of the leader is not lost
        when a request stops waiting.
        """
        while quota.waiting:
            self.retry_after.pop(name, None)
            async with quota.fetch_lock:
                self.grant_waiting(quota)
                if not quota.waiting:
                    break
                has_replied = await self.fetch((name,))
            self.grant_waiting(quota)
            if not quota.waiting:
                break
            pause = self.retry_after.get(name)
            if not has_replied:
                quota.waiting.pop(0).resolve(None)
            elif pause is not None and pause > MAX_PAUSE_SECONDS:
                quota.waiting.pop(0).resolve(False)
            else:
                await self.timers.sleep(pause or 0.0)
        quota.is_served = False

    def grant_waiting(self, quota: OrganisationQuota) -> None:
        """Gives the available tokens to requests, in order of arrival."""
        while quota.waiting:
            if not self.spend_granted(quota, quota.waiting[0].tokens):
                return
            quota.waiting.pop(0).resolve(True)

    def refund(self, name: str, tokens: float) -> None:
        """Returns the tokens of a request that was not sent."""
        pool = self.find_quota(name).pool
        now = self.timers.now()
        for grant in pool.grants:
            if grant.expires_at > now:
                grant.remaining = min(grant.tokens, grant.remaining + tokens)
                return

    def spend_granted(self, quota: OrganisationQuota, tokens: float) -> bool:
        now = self.timers.now()
        if quota.pool.consume(tokens, now) is None:
            return False
        elapsed = now - quota.updated_at
        quota.updated_at = now
        keep = max(0.0, 1.0 - elapsed / token_pool.DEMAND_WINDOW_SECONDS)
        quota.granted_rate *= keep
        quota.granted_rate += tokens / token_pool.DEMAND_WINDOW_SECONDS
        quota.reserve = max(quota.pool.mean_request_tokens, quota.granted_rate)
        return True

    def spend_reserve(self, name: str, tokens: float) -> bool:
        """Spends at the recent rate of grants, while no leader replies."""
        quota = self.find_quota(name)
        now = self.timers.now()
        if now - self.replied_at > MAX_OUTAGE_SECONDS:
            return False
        elapsed = now - quota.updated_at
        quota.updated_at = now
        rate = max(quota.granted_rate, self.fair_rate(name) * MIN_OUTAGE_SHARE)
        quota.reserve = min(
            max(quota.pool.mean_request_tokens, rate),
            quota.reserve + rate * elapsed,
        )
        if quota.reserve < tokens:
            return False
        quota.reserve -= tokens
        return True

    async def run(self) -> None:
        """Reports usage and prefetches tokens until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            while True:
                await self.timers.sleep(REPORT_INTERVAL_SECONDS)
                idle = tuple(
                    name
                    for name, quota in self.quotas.items()
                    if not quota.fetch_lock.locked()
                )
                await self.fetch(idle)

    def wanted_tokens(
        self, names: tuple[str, ...], now: float
    ) -> dict[str, list]:
        """Returns the minimum and maximum tokens wanted by organisation."""
        wanted = {}
        for name in names:
            quota = self.quotas[name]
            pool = quota.pool
            pool.decay_demand(now)
            # Grants that expire before a reply can arrive do not count.
            held = pool.available(now + MAX_WAIT_SECONDS)
            # The minimum covers the first waiting request only, so that it
            # is served even if there are not enough tokens for all.
            waiting = [one.tokens for one in quota.waiting]
            min_tokens = max(0.0, waiting[0] - held) if waiting else 0.0
            min_prefetch = self.fair_rate(name) * MIN_PREFETCH_SECONDS
            if min_prefetch < pool.mean_request_tokens:
                min_prefetch = 0.0
            target = max(pool.prefetch_target, min_prefetch) + sum(waiting)
            max_tokens = target - held
            if max_tokens > 0 and (min_tokens > 0 or max_tokens > target / 2):
                wanted[name] = [
                    max(1.0, min_tokens),
                    max(max_tokens, min_tokens, 1.0),
                ]
        return wanted

    async def fetch(self, names: tuple[str, ...]) -> bool:
        """Sends one request to the leader; returns whether it replied."""
        now = self.timers.now()
        wanted = self.wanted_tokens(names, now)
        returned = []
        for name in names:
            pool = self.quotas[name].pool
            returned += self.report_usage(name, pool, now)
        if not wanted and not returned:
            return True
        if self.no_reply_since is None:
            self.no_reply_since = now
        try:
            epoch, granted = decode_grants(
                await self.request_grants(wanted, returned)
            )
        except errors.GatewayError as error:
            eliot.log_message('quota:no_leader', code=error.code)
            return False
        self.replied_at = self.timers.now()
        self.no_reply_since = None
        self.add_grants(epoch, granted, now)
        return True

    def report_usage(
        self, name: str, pool: token_pool.TokenPool, now: float
    ) -> list[list]:
        """Returns the tokens spent of each grant since the last report.

        The leader counts spent tokens of a grant against the burst until they
        are reported, so reports must not wait for the end of the grant.
        """
        reports = []
        for grant in list(pool.grants):
            spent = grant.tokens - grant.remaining
            has_ended = grant.expires_at <= now or grant.remaining < 1
            if has_ended:
                pool.grants.remove(grant)
            if has_ended or spent > 0:
                grant.tokens = grant.remaining
                reports.append(
                    [name, int(grant.region), grant.grant_id, spent, has_ended]
                )
        return reports

    def add_grants(
        self, epoch: int, granted: dict[str, typing.Any], requested_at: float
    ) -> None:
        for name, (grant_id, tokens) in granted.items():
            if not grant_id:
                self.retry_after[name] = tokens
                continue
            # Counted from the request, so that the grant expires here before
            # the leader counts it as spent.
            expires_at = requested_at + timing.GRANT_LIFETIME_SECONDS
            grant = token_pool.HeldGrant(
                str(epoch),
                name,
                grant_id,
                tokens,
                tokens,
                requested_at,
                expires_at,
            )
            self.find_quota(name).pool.grants.append(grant)


def decode_grants(reply: typing.Any) -> tuple[int, dict[str, tuple]]:
    """Returns the leader's epoch, and grant ID and tokens by organisation.

    :raises PeerProtocolError: if the reply is malformed.
    """
    try:
        epoch, granted = reply
        return peers.check_count(epoch), {
            peers.check_text(name): (
                peers.check_count(grant_id),
                peers.check_seconds(tokens),
            )
            for name, (grant_id, tokens) in granted.items()
        }
    except (TypeError, ValueError, AttributeError) as error:
        raise errors.PeerProtocolError(
            'the leader sent malformed grants'
        ) from error
