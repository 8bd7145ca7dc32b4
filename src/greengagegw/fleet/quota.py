"""What an entry VM holds of organisations' rates, and how it gets more."""

import collections.abc
import dataclasses
import typing

import anyio
import anyio.abc
import eliot

from .. import errors
from .. import timers as timer_service
from ..allowance import token_pool
from . import timing

# Retry-After of a refusal when nothing is known of the bucket.
DEFAULT_RETRY_SECONDS = 1.0
LONGEST_RETRY_SECONDS = 4.0
# How long a request may wait for a grant: a small part of the shortest
# latency objectives in use, 0.45 s, with a round trip between regions.
WAIT_SECONDS = 0.3
# Tokens that each VM keeps of every organisation, in seconds of its fair
# share: a first burst comes before any demand is known, and an answer of the
# leader takes 0.11 s. All VMs together keep less than half a usual burst.
STOCK_SECONDS = 0.4
# Requests that may wait however few tokens have come lately.
SHORTEST_QUEUE = 6
# A pause that a request sits out rather than being refused.
SOON_SECONDS = 0.12
# Without a leader a VM goes on at the rate at which it was granted tokens,
# so that all VMs together stay at what the bucket had allowed.
# Two reports and a round trip are well under the second of rate that a burst
# usually holds.
REPORT_SECONDS = 0.25
SILENT_LEADER_SECONDS = 2 * timing.GRANT_REQUEST_TIMEOUT_SECONDS
OUTAGE_SECONDS = 6.0
# A VM that had few of an organisation's callers may spend this share of its
# fair share besides; all VMs together then stay within the quota's slack.
OUTAGE_SHARE = 0.25


class Ticket:
    """A request that waits for tokens.

    :ivar outcome: whether it got them; None if that could not be told.
    """

    __slots__ = ('decided', 'outcome', 'tokens')

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens
        self.decided = anyio.Event()
        self.outcome: bool | None = None

    def decide(self, outcome: bool | None) -> None:
        self.outcome = outcome
        self.decided.set()


@dataclasses.dataclass(slots=True)
class Account:
    """What an entry VM holds of one organisation's tokens.

    :ivar waiting: the requests that wait for a grant, the first one first.
    :ivar granted_rate: tokens a second spent lately.
    :ivar reserve: tokens that may be spent while no leader answers.
    """

    purse: token_pool.TokenPool
    waiting: list['Ticket'] = dataclasses.field(default_factory=list)
    fetching: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)
    is_served: bool = False
    granted_rate: float = 0.0
    reserve: float = 0.0
    updated_at: float = 0.0


Ask = collections.abc.Callable[
    [dict[str, list], list[list]],
    collections.abc.Awaitable[tuple[int, dict[str, list]]],
]


class QuotaClient:
    """Spends tokens on an entry VM, asking the leader for more.

    :param ask: hands wishes and ended grants to the leader, and returns its
        epoch and the grants.
    :param fair_share: returns the tokens a second that an organisation's
        rate gives each VM if all have the same.
    """

    def __init__(
        self,
        timers: timer_service.Timers,
        ask: Ask,
        fair_share: collections.abc.Callable[[str], float],
    ) -> None:
        self.timers = timers
        self.ask = ask
        self.fair_share = fair_share
        self.accounts: dict[str, Account] = {}
        self.retry_after: dict[str, float] = {}
        self.unanswered_since: float | None = None
        self.tasks: anyio.abc.TaskGroup | None = None
        self.answered_at = -OUTAGE_SECONDS

    def register(self, names: collections.abc.Iterable[str]) -> None:
        """Keeps tokens of organisations that may send requests."""
        for name in names:
            self.find_account(name)

    def find_account(self, name: str) -> Account:
        account = self.accounts.get(name)
        if account is None:
            now = self.timers.now()
            account = Account(token_pool.TokenPool(now), updated_at=now)
            self.accounts[name] = account
        return account

    async def acquire(self, name: str, tokens: float) -> None:
        """Takes the tokens of one request.

        :raises RateLimitError: if the organisation is over its rate.
        :raises UnavailableError: if no leader can tell.
        """
        account = self.find_account(name)
        now = self.timers.now()
        account.purse.record_demand(tokens, now)
        # Those that wait go first, or large requests never get enough.
        if not account.waiting and self.spend_held(account, tokens):
            return
        if self.is_leader_silent and self.spend_reserve(name, tokens):
            return
        self.refuse_hopeless(name, account, tokens)
        ticket = Ticket(tokens)
        account.waiting.append(ticket)
        if not account.is_served:
            account.is_served = True
            self.tasks.start_soon(self.serve, name, account)
        try:
            with self.timers.limit(WAIT_SECONDS):
                await ticket.decided.wait()
        finally:
            if ticket in account.waiting:
                account.waiting.remove(ticket)
        outcome = ticket.outcome
        if outcome is True:
            return
        if outcome is False or not self.is_leader_silent:
            seconds = self.retry_after.get(name, DEFAULT_RETRY_SECONDS)
            raise self.refusal(name, account, tokens, seconds)
        if self.spend_reserve(name, tokens):
            return
        raise errors.UnavailableError(
            'the rate cannot be checked', retry_after=DEFAULT_RETRY_SECONDS
        )

    def refusal(
        self, name: str, account: Account, tokens: float, seconds: float
    ) -> errors.RateLimitError:
        """Logs why a request gets no tokens, and returns the error."""
        now = self.timers.now()
        eliot.log_message(
            'quota:refused',
            organisation=name,
            tokens=tokens,
            held=round(account.purse.available(now)),
            waiting=len(account.waiting),
            waiting_tokens=round(sum(one.tokens for one in account.waiting)),
            granted_rate=round(account.granted_rate),
            answer_age=round(now - self.answered_at, 3),
        )
        return errors.RateLimitError(
            f'{name} is over its rate',
            retry_after=min(LONGEST_RETRY_SECONDS, max(0.1, seconds)),
        )

    def refuse_hopeless(
        self, name: str, account: Account, tokens: float
    ) -> None:
        """Refuses at once what those before it leave nothing for.

        :raises RateLimitError: if more waits than tokens come in that time.
        """
        if len(account.waiting) < SHORTEST_QUEUE:
            return
        ahead = sum(one.tokens for one in account.waiting)
        usual = account.purse.mean_request_tokens
        if ahead <= account.granted_rate * WAIT_SECONDS:
            return
        seconds = ahead / max(account.granted_rate, usual)
        raise self.refusal(name, account, tokens, seconds)

    @property
    def is_leader_silent(self) -> bool:
        """Whether the leader has left questions unanswered for a while."""
        if self.unanswered_since is None:
            return False
        silence = self.timers.now() - self.unanswered_since
        return silence >= SILENT_LEADER_SECONDS

    async def serve(self, name: str, account: Account) -> None:
        """Gets tokens for those that wait, in the order in which they came.

        This is a task of its own: a request that stops waiting must not
        lose an answer of the leader that is on its way.
        """
        while account.waiting:
            self.retry_after.pop(name, None)
            async with account.fetching:
                self.decide_waiting(account)
                if not account.waiting:
                    break
                is_answered = await self.fetch((name,))
            self.decide_waiting(account)
            if not account.waiting:
                break
            pause = self.retry_after.get(name)
            if not is_answered:
                account.waiting.pop(0).decide(None)
            elif pause is not None and pause > SOON_SECONDS:
                account.waiting.pop(0).decide(False)
            else:
                await self.timers.sleep(pause or 0.0)
        account.is_served = False

    def decide_waiting(self, account: Account) -> None:
        """Gives the tokens that are held to those that waited longest."""
        while account.waiting:
            if not self.spend_held(account, account.waiting[0].tokens):
                return
            account.waiting.pop(0).decide(True)

    def refund(self, name: str, tokens: float) -> None:
        """Returns the tokens of a request that was not sent."""
        purse = self.find_account(name).purse
        now = self.timers.now()
        for held in purse.grants:
            if held.expires_at > now:
                held.remaining = min(held.tokens, held.remaining + tokens)
                return

    def spend_held(self, account: Account, tokens: float) -> bool:
        now = self.timers.now()
        if account.purse.take(tokens, now) is None:
            return False
        elapsed = now - account.updated_at
        account.updated_at = now
        keep = max(0.0, 1.0 - elapsed / token_pool.DEMAND_WINDOW_SECONDS)
        account.granted_rate *= keep
        account.granted_rate += tokens / token_pool.DEMAND_WINDOW_SECONDS
        account.reserve = max(
            account.purse.mean_request_tokens, account.granted_rate
        )
        return True

    def spend_reserve(self, name: str, tokens: float) -> bool:
        """Spends at the rate granted before, while no leader answers."""
        account = self.find_account(name)
        now = self.timers.now()
        if now - self.answered_at > OUTAGE_SECONDS:
            return False
        elapsed = now - account.updated_at
        account.updated_at = now
        rate = max(account.granted_rate, self.fair_share(name) * OUTAGE_SHARE)
        account.reserve = min(
            max(account.purse.mean_request_tokens, rate),
            account.reserve + rate * elapsed,
        )
        if account.reserve < tokens:
            return False
        account.reserve -= tokens
        return True

    async def run(self) -> None:
        """Keeps tokens at hand for what usually comes."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            while True:
                await self.timers.sleep(REPORT_SECONDS)
                idle = tuple(
                    name
                    for name, account in self.accounts.items()
                    if not account.fetching.locked()
                )
                await self.fetch(idle)

    def list_wishes(
        self, names: tuple[str, ...], now: float
    ) -> dict[str, list]:
        """Returns the least and most tokens that are wanted of each."""
        wishes = {}
        for name in names:
            account = self.accounts[name]
            purse = account.purse
            purse.decay_demand(now)
            # What ends before an answer can come is no help.
            held = purse.available(now + WAIT_SECONDS)
            # The first that waits must not go without because there is not
            # enough for all.
            waiting = [one.tokens for one in account.waiting]
            least = max(0.0, waiting[0] - held) if waiting else 0.0
            stock = self.fair_share(name) * STOCK_SECONDS
            if stock < purse.mean_request_tokens:
                stock = 0.0
            ahead = max(purse.prefetch_target, stock) + sum(waiting)
            most = ahead - held
            if most > 0 and (least > 0 or most > ahead / 2):
                wishes[name] = [max(1.0, least), max(most, least, 1.0)]
        return wishes

    async def fetch(self, names: tuple[str, ...]) -> bool:
        """Asks the leader once, and returns whether it answered."""
        now = self.timers.now()
        wishes = self.list_wishes(names, now)
        returned = []
        for name in names:
            purse = self.accounts[name].purse
            returned += self.report_grants(name, purse, now)
        if not wishes and not returned:
            return True
        if self.unanswered_since is None:
            self.unanswered_since = now
        try:
            epoch, grants = await self.ask(wishes, returned)
        except errors.GatewayError as error:
            eliot.log_message('quota:no_leader', code=error.code)
            return False
        self.answered_at = self.timers.now()
        self.unanswered_since = None
        self.take_in(epoch, grants, now)
        return True

    def report_grants(
        self, name: str, purse: token_pool.TokenPool, now: float
    ) -> list[list]:
        """Returns what was spent of grants since the last report.

        The leader counts a grant against the burst until then, so a busy
        organisation's grants must not wait for their end.
        """
        reports = []
        for held in list(purse.grants):
            spent = held.tokens - held.remaining
            has_ended = held.expires_at <= now or held.remaining < 1
            if has_ended:
                purse.grants.remove(held)
            if has_ended or spent > 0:
                held.tokens = held.remaining
                reports.append(
                    [name, int(held.region), held.grant_id, spent, has_ended]
                )
        return reports

    def take_in(
        self, epoch: int, grants: dict[str, typing.Any], asked_at: float
    ) -> None:
        for name, (number, tokens) in grants.items():
            if not number:
                self.retry_after[name] = tokens
                continue
            # The grant ends here before the leader counts it as spent.
            until = asked_at + timing.GRANT_LIFETIME_SECONDS
            held = token_pool.HeldGrant(
                str(epoch), name, number, tokens, tokens, asked_at, until
            )
            self.find_account(name).purse.grants.append(held)
