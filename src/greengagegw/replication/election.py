"""Standing for election."""

import contextlib
import typing

import anyio

from .. import errors
from . import roles

if typing.TYPE_CHECKING:
    from . import replica as replicas

VOTE_SECONDS = 1.0


async def stand(replica: 'replicas.Replica') -> None:
    """Asks for votes, after asking whether they would be given."""
    replica.heard_at = replica.timers.now()
    if not await collect_votes(replica, replica.term + 1, is_trial=True):
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
        await replica.lead()


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
    enough = anyio.Event()

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
        if replica.members.is_majority(votes):
            enough.set()

    async with anyio.create_task_group() as tasks:
        for vm in replica.members.voters:
            if vm != replica.vm:
                tasks.start_soon(ask_one, vm)
        if replica.members.is_majority(votes):
            return True
        with replica.timers.limit(VOTE_SECONDS):
            await enough.wait()
        tasks.cancel_scope.cancel()
    return replica.members.is_majority(votes)
