"""Standing for election."""

import contextlib
import typing

import anyio
import eliot

from .. import errors
from . import roles

if typing.TYPE_CHECKING:
    from . import replica as replicas

VOTE_SECONDS = 1.0
# Beyond a rank, the order of voters is left to chance.
MOST_RANKED = 5


def patience_seconds(replica: 'replicas.Replica', jitter: float) -> float:
    """Returns after which silence a replica stands for election.

    Voters stand one after the other, each when the election of the one
    before it would be over, so that their candidacies do not meet. Where no
    leader is known, as after a restart, a heartbeat will do: a living leader
    would be heard by then, and voters that hear it refuse.

    :param jitter: 0 to 1, drawn anew for each election.
    """
    pace = replica.timeouts
    seconds = pace.election_seconds
    if replica.leader is None:
        seconds = pace.heartbeat_seconds
    voters = sorted(replica.members.voters)
    rank = voters.index(replica.vm) if replica.vm in voters else 0
    return seconds + pace.stagger_seconds * (
        min(rank, MOST_RANKED) + jitter / 2
    )


async def stand(replica: 'replicas.Replica') -> None:
    """Asks for votes, after asking whether they would be given."""
    replica.stood_at = replica.timers.now()
    term = replica.term
    has_support = await collect_votes(replica, replica.term + 1, is_trial=True)
    eliot.log_message(
        'replica:stands',
        group=replica.group,
        term=replica.term + 1,
        silence=round(replica.timers.now() - replica.last_contact_at, 3),
        supported=has_support,
    )
    # It may have voted for another or heard a leader in the meantime.
    is_late = (
        replica.term != term or replica.last_contact_at > replica.stood_at
    )
    if not has_support or is_late:
        return
    async with replica.exclusive():
        await replica.storage.save_meta(
            term=replica.term + 1, voted_for=replica.vm
        )
    replica.role = roles.Role.CANDIDATE
    replica.leader = None
    term = replica.term
    won = await collect_votes(replica, term, is_trial=False)
    if won and replica.term == term and replica.role is roles.Role.CANDIDATE:
        await replica.become_leader()


async def collect_votes(
    replica: 'replicas.Replica', term: int, is_trial: bool
) -> bool:
    last = replica.storage.last_index
    message = [
        term,
        replica.vm,
        replica.incarnation,
        last,
        replica.storage.term_at(last),
        is_trial,
    ]
    votes = {replica.vm}
    others = set(replica.members.voters) - votes
    unheard = set(others)
    is_over = anyio.Event()

    async def ask_one(vm: str) -> None:
        with contextlib.suppress(errors.GatewayError):
            their_term, granted, incarnation = await replica.ask(
                vm, 'vote', message
            )
            if granted and replica.has_incarnation(vm, incarnation):
                votes.add(vm)
            elif their_term > replica.term:
                async with replica.exclusive():
                    await replica.see_term(their_term)
        unheard.discard(vm)
        if not unheard or replica.members.is_majority(votes):
            is_over.set()

    async with anyio.create_task_group() as tasks:
        for vm in sorted(others):
            tasks.start_soon(ask_one, vm)
        if replica.members.is_majority(votes):
            return True
        with replica.timers.limit(VOTE_SECONDS):
            await is_over.wait()
        tasks.cancel_scope.cancel()
    return replica.members.is_majority(votes)
