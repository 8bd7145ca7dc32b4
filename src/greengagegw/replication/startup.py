"""How a replica starts: first formation, restart, and return without a disk.

A replica takes part only after it knows which of these it is. It asks all
founders and copies of the group; what they answer decides.
"""

import contextlib
import secrets
import typing

import anyio
import eliot

from .. import errors
from . import entries as log_entries

if typing.TYPE_CHECKING:
    from . import replica as replicas

RETRY_SECONDS = 0.3
# A group whose only disk was lost is filled from a copy, after the other
# copies have had this long to answer as well.
REBUILD_SECONDS = 3.0
REJOIN_SECONDS = 4.0


async def start_up(replica: 'replicas.Replica') -> None:
    """Returns when the replica may take part."""
    started_at = replica.timers.now()
    while replica.is_starting:
        answers = await identify_to_all(replica)
        async with replica.exclusive():
            formed = await judge(replica, answers)
        await ask_to_join(replica, formed)
        waited = replica.timers.now() - started_at
        if replica.is_starting and waited >= REBUILD_SECONDS:
            await rebuild(replica, answers)
        if replica.is_starting:
            await replica.timers.sleep(RETRY_SECONDS)


async def identify_to_all(
    replica: 'replicas.Replica',
) -> dict[str, dict]:
    """Names this replica to the others, and returns what they are."""
    message = [
        replica.vm,
        replica.incarnation,
        replica.storage.meta.boots,
        replica.session,
    ]
    answers: dict[str, dict] = {}

    async def identify_to(vm: str) -> None:
        with contextlib.suppress(errors.GatewayError):
            answers[vm] = await replica.ask(vm, 'identify', message)

    others = {
        *replica.founders,
        *replica.members.voters,
        *replica.memory_replicas,
    }
    async with anyio.create_task_group() as tasks:
        for vm in sorted(others - {replica.vm}):
            tasks.start_soon(identify_to, vm)
    return answers


async def judge(
    replica: 'replicas.Replica', answers: dict[str, dict]
) -> list[dict]:
    """Decides from the others' answers how this replica starts.

    :returns: the answers of a group that this replica must join.
    """
    if any(
        answer['is_stale'] or is_replaced(replica, answer)
        for answer in answers.values()
    ):
        await start_anew(replica)
        return []
    if replica.members.members:
        if replica.members.is_majority({replica.vm, *answers}):
            replica.become_follower()
        return []
    formed = [one for one in answers.values() if one['members']]
    for answer in formed:
        members = log_entries.Members.unpack(answer['members'])
        me = members.get(replica.vm)
        is_same = me is not None and me.incarnation == replica.incarnation
        if is_same and answer['founders']:
            await form(replica, log_entries.Members.unpack(answer['founders']))
            return []
    if formed:
        return formed
    # An empty disk may be a lost one, so no copy may be left unasked.
    others = {*replica.founders, *replica.memory_replicas} - {replica.vm}
    is_founder = replica.may_bootstrap and replica.vm in replica.founders
    if is_founder and others <= set(answers):
        await form(replica, make_founders(replica, answers))
    return []


def make_founders(
    replica: 'replicas.Replica', answers: dict[str, dict]
) -> log_entries.Members:
    """Returns the first members, all founders being there and empty."""
    incarnations = {
        vm: answer['incarnation'] for vm, answer in answers.items()
    }
    incarnations[replica.vm] = replica.incarnation
    return log_entries.Members(
        tuple(
            log_entries.Member(vm, incarnations[vm], True)
            for vm in sorted(replica.founders)
        )
    )


def is_replaced(replica: 'replicas.Replica', answer: dict) -> bool:
    """Returns whether a newer disk of this VM became a member."""
    if answer['members_index'] <= replica.members_index:
        return False
    members = log_entries.Members.unpack(answer['members'])
    me = members.get(replica.vm)
    return (
        bool(replica.members.members)
        and me is not None
        and me.incarnation != replica.incarnation
    )


async def form(
    replica: 'replicas.Replica', founders: log_entries.Members
) -> None:
    """Takes the founders of the group for its first members."""
    await replica.storage.save_meta(founders=founders.pack())
    replica.find_members()
    replica.become_follower()


async def start_anew(replica: 'replicas.Replica') -> None:
    """Drops a state that is older than what others have seen."""
    eliot.log_message('replica:old_disk', group=replica.group, vm=replica.vm)
    await replica.storage.wipe()
    await replica.storage.save_meta(incarnation=secrets.token_hex(8), boots=1)
    replica.members = log_entries.Members(())


async def ask_to_join(replica: 'replicas.Replica', formed: list[dict]) -> None:
    """Asks the leader to admit this replica as a learner."""
    leaders = {one['leader'] for one in formed if one['leader']}
    for leader in sorted(leaders):
        if leader == replica.vm:
            continue
        with contextlib.suppress(errors.GatewayError):
            message = [replica.vm, replica.incarnation]
            await replica.ask(leader, 'join', message)
            replica.become_follower()
            return


async def rebuild(
    replica: 'replicas.Replica', answers: dict[str, dict]
) -> None:
    """Fills a group of this one voter from the best of its copies.

    The group had a disk of this VM only, and it is lost. Everything that
    was committed while a copy lived is in the copy that holds the most.
    """
    if replica.founders != (replica.vm,):
        return
    best: list | None = None
    for vm in replica.memory_replicas:
        if vm not in answers or not answers[vm]['members']:
            continue
        with contextlib.suppress(errors.GatewayError):
            found = await replica.ask(vm, 'export', None)
            if best is None or found[:2] > best[:2]:
                best = found
    if best is None:
        return
    index, index_term, term, state = best
    async with replica.exclusive():
        founder = log_entries.Member(replica.vm, replica.incarnation, True)
        members = log_entries.Members((founder,))
        await replica.storage.install_snapshot(
            log_entries.Snapshot(index, index_term, members, state)
        )
        await replica.storage.save_meta(
            term=term + 1, voted_for='', founders=members.pack()
        )
        replica.restore(replica.storage.snapshot)
        replica.find_members()
        replica.become_follower()
    eliot.log_message(
        'replica:rebuilt', group=replica.group, vm=replica.vm, index=index
    )


async def rejoin_when_left_out(replica: 'replicas.Replica') -> None:
    """Joins again when the leader has no place for this replica.

    That is so when the entry that admitted it was lost with its leader, and
    for a copy whose group was rebuilt. A replica that finds no leader keeps
    what it holds, since the group may have to be filled from it.
    """
    waited = replica.timers.now() - replica.membership_checked_at
    if waited < REJOIN_SECONDS:
        return
    replica.membership_checked_at = replica.timers.now()
    answers = await identify_to_all(replica)
    leading = [
        answer
        for vm, answer in answers.items()
        if answer['leader'] == vm and answer['members']
    ]
    for answer in leading:
        members = log_entries.Members.unpack(answer['members'])
        me = members.get(replica.vm)
        if me is None or me.incarnation != replica.incarnation:
            async with replica.exclusive():
                await start_anew(replica)
                replica.forget()
            await ask_to_join(replica, [answer])
            return
