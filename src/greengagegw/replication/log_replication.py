"""Brings the members of a group up to date, on their leader."""

import dataclasses
import typing

from .. import errors

if typing.TYPE_CHECKING:
    from . import replica as replicas

BATCH_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
# A group of so many voters survives the loss of one without copies.
VOTERS_WITHOUT_COPIES = 3


async def replicate(replica: 'replicas.Replica', vm: str) -> None:
    """Brings one member up to date, and keeps it so."""
    following = replica.storage.last_index + 1
    while replica.is_leader and replica.members.get(vm) is not None:
        try:
            if following <= replica.storage.base_index:
                following = await send_snapshot(replica, vm)
            following = await send_entries(replica, vm, following)
            await promote_when_ready(replica, vm)
        except errors.GatewayError:
            await replica.timers.sleep(replica.timeouts.heartbeat_seconds)
            continue
        is_told = replica.told.get(vm) == replica.commit_index
        if following > replica.storage.last_index and is_told:
            appended = replica.appended
            with replica.timers.limit(replica.timeouts.heartbeat_seconds):
                await appended.wait()


async def send_entries(
    replica: 'replicas.Replica', vm: str, following: int
) -> int:
    """Sends entries, and returns the index that the member needs."""
    before = following - 1
    sent = replica.storage.get(following, BATCH_BYTES)
    message = [
        replica.term,
        replica.vm,
        before,
        replica.storage.term_at(before),
        [entry.pack() for entry in sent],
        replica.commit_index,
    ]
    asked_at = replica.timers.now()
    term, accepted, held, incarnation = await replica.ask(
        vm, 'append', message
    )
    if term > replica.term:
        async with replica.exclusive():
            await replica.see_term(term)
        return following
    if not replica.has_incarnation(vm, incarnation):
        return following
    replica.note_contact(vm, asked_at)
    replica.told[vm] = message[-1]
    if not accepted:
        # What it held before it lost its disk counts no more.
        replica.match[vm] = 0
        return max(1, min(following - 1, held + 1))
    replica.match[vm] = before + len(sent)
    replica.advance_commit()
    return replica.match[vm] + 1


async def send_snapshot(replica: 'replicas.Replica', vm: str) -> int:
    snapshot = replica.storage.snapshot
    size = len(snapshot.state)
    for start in range(0, max(size, 1), SNAPSHOT_CHUNK_BYTES):
        end = start + SNAPSHOT_CHUNK_BYTES
        message = [
            replica.term,
            replica.vm,
            snapshot.index,
            snapshot.term,
            snapshot.members.pack(),
            start,
            snapshot.state[start:end],
            end >= size,
        ]
        term, accepted = await replica.ask(vm, 'snapshot', message)
        if term > replica.term:
            async with replica.exclusive():
                await replica.see_term(term)
        if not accepted:
            raise errors.ReplicationError(f'{vm} took no snapshot')
    return snapshot.index + 1


async def promote_when_ready(replica: 'replicas.Replica', vm: str) -> None:
    """Makes a learner a voter when it holds what is committed."""
    member = replica.members.get(vm)
    if member is None or member.is_voter or not replica.is_leader:
        return
    if vm in replica.memory_replicas:
        return
    if replica.match.get(vm, 0) >= replica.commit_index > 0:
        voter = dataclasses.replace(member, is_voter=True)
        await replica.change_members(replica.members.with_member(voter))


def held_by_copies(replica: 'replicas.Replica') -> int:
    """Returns up to where the living copies hold the log."""
    last = replica.storage.last_index
    if len(replica.members.voters) >= VOTERS_WITHOUT_COPIES:
        return last
    now = replica.timers.now()
    living = [
        replica.match.get(vm, 0)
        for vm in replica.memory_replicas
        if now
        - replica.contacts.get(vm, -replica.timeouts.election_seconds * 2)
        < replica.timeouts.election_seconds
    ]
    return min(living, default=last)
