"""The leader's side of log replication: entries, snapshots, promotion."""

import contextlib
import typing

import eliot

from .. import errors
from . import entries as log_entries
from . import replies
from . import timing

if typing.TYPE_CHECKING:
    from . import replica as replicas

# Sizes of the entries in a message and of a chunk of a snapshot. A slow link
# must carry the smallest one, and a heartbeat, within the time of a call.
FIRST_MESSAGE_BYTES = 64 * 1024
MIN_MESSAGE_BYTES = 4 * 1024
MAX_MESSAGE_BYTES = 256 * 1024
# An entry that is longer than these messages is sent as a whole. While it may
# still be on its way at this rate, its silent receiver is not taken for lost.
MIN_LINK_BYTES_PER_SECOND = 16 * 1024
# Parts of the time of a call below which messages grow, and above which they
# shrink.
FAST_CALL_RATIO = 0.4
SLOW_CALL_RATIO = 0.6
# Heartbeat intervals without contact after which a member gets a heartbeat
# beside a call in progress. An idle link between regions stays below it.
QUIET_HEARTBEATS = 2
# Bounds the wake-ups if rounding ends a pause before its time.
MIN_PAUSE_SECONDS = 0.02
# With this many voters, a group survives the loss of one disk without memory
# replicas.
MIN_VOTERS_WITHOUT_MEMORY_REPLICAS = 3


class MessageSize:
    """The size of messages to a member, fitted to what its link carries.

    A message that takes longer than its call is sent in vain: without smaller
    ones, a member behind a slow link would never catch up.
    """

    def __init__(self) -> None:
        self.bytes = FIRST_MESSAGE_BYTES

    def reset(self) -> None:
        """Forgets the link, as after the loss of a connection."""
        self.bytes = FIRST_MESSAGE_BYTES

    def shrink(self) -> None:
        self.bytes = max(MIN_MESSAGE_BYTES, self.bytes // 2)

    def fit(self, seconds: float, timeout: float) -> None:
        """Fits the size to the time that a full message has taken."""
        if seconds < timeout * FAST_CALL_RATIO:
            self.bytes = min(MAX_MESSAGE_BYTES, self.bytes * 2)
        elif seconds > timeout * SLOW_CALL_RATIO:
            self.shrink()


class SentEntries:
    """The last entries that were sent to a member.

    :ivar last_index: index of the last one, or of the one before if the
        message had none.
    :ivar is_probe_due: whether the next message is to ask without entries
        whether the member holds them.
    """

    def __init__(self, last_index: int) -> None:
        self.last_index = last_index
        self.is_probe_due = False


class SnapshotTransfer:
    """How much of which snapshot a member has accepted."""

    def __init__(self) -> None:
        self.index = 0
        self.offset = 0


def other_members(
    replica: 'replicas.Replica',
) -> set[log_entries.MemberId]:
    return {
        (member.vm, member.incarnation)
        for member in replica.members.members
        if member.vm != replica.vm
    }


async def replicate(
    replica: 'replicas.Replica', vm: str, incarnation: str
) -> None:
    """Replicates the log to one member while this replica leads."""
    next_index = replica.storage.last_index + 1
    size = MessageSize()
    sent = SentEntries(replica.storage.last_index)
    transfer = SnapshotTransfer()
    while replica.is_leader and replica.is_current_member(vm, incarnation):
        try:
            has_sent_snapshot = False
            # The log may be compacted again while a snapshot is sent.
            while next_index <= replica.storage.base_index:
                next_index = await send_snapshot(replica, vm, size, transfer)
                has_sent_snapshot = True
            first_index = next_index
            next_index = await send_entries(
                replica, vm, first_index, size, sent
            )
            if has_sent_snapshot and next_index < first_index:
                # A member that accepts a snapshot without storing it, such as
                # one of an earlier release, would get it again at once.
                eliot.log_message(
                    'replica:snapshot_not_stored',
                    group=replica.group,
                    member=vm,
                    index=first_index - 1,
                )
                await replica.timers.sleep(replica.timeouts.heartbeat_seconds)
            if vm in ready_learners(replica):
                replica.members_check_wanted.set()
        except errors.PeerTimeoutError:
            # The message may arrive, or be stored, later. An empty one that
            # follows it tells whether it was, so that it is not sent again.
            size.shrink()
            next_index = 1 + max(sent.last_index, replica.storage.base_index)
            sent.is_probe_due = True
            await replica.timers.sleep(replica.timeouts.heartbeat_seconds)
            continue
        except errors.GatewayError:
            size.reset()
            replica.unanswered_bytes.pop(vm, None)
            await replica.timers.sleep(replica.timeouts.heartbeat_seconds)
            continue
        knows_commit_index = (
            replica.sent_commit_index.get(vm) == replica.commit_index
        )
        if next_index > replica.storage.last_index and knows_commit_index:
            replication_wanted = replica.replication_wanted
            with replica.timers.move_on_after(
                replica.timeouts.heartbeat_seconds
            ):
                await replication_wanted.wait()


async def send_entries(
    replica: 'replicas.Replica',
    vm: str,
    next_index: int,
    size: MessageSize,
    sent: SentEntries,
) -> int:
    """Sends a batch of entries or, if there are none, a heartbeat.

    :returns: the index of the next entry to send to the member.
    """
    previous_index = next_index - 1
    batch = replica.storage.entries_from(next_index, size.bytes)
    if sent.is_probe_due:
        batch = []
    sent.last_index = previous_index + len(batch)
    commit_index = replica.commit_index
    sent_at = replica.timers.now()
    if batch:
        # Set again by the reply; a late one must not leave an old time.
        replica.append_seconds.pop(vm, None)
        replica.unanswered_bytes[vm] = sum(len(one.content) for one in batch)
    reply = await call_append(replica, vm, previous_index, batch)
    if reply is None:
        return next_index
    accepted, peer_index_hint = reply
    sent.is_probe_due = False
    replica.unanswered_bytes.pop(vm, None)
    replica.sent_commit_index[vm] = commit_index
    if not accepted:
        # The member may have lost its disk, so what it acknowledged before
        # must not count towards a majority.
        replica.match_index[vm] = 0
        return max(1, min(next_index - 1, peer_index_hint + 1))
    if batch:
        replica.append_seconds[vm] = replica.timers.now() - sent_at
        size.fit(replica.append_seconds[vm], timing.CALL_TIMEOUT_SECONDS)
    replica.match_index[vm] = previous_index + len(batch)
    replica.advance_commit_index()
    return replica.match_index[vm] + 1


async def call_append(
    replica: 'replicas.Replica',
    vm: str,
    previous_index: int,
    batch: list[log_entries.Entry],
) -> tuple[bool, int] | None:
    """Sends entries, or none as a heartbeat, and records the contact.

    :returns: whether the member accepts them and its index hint, or None if
        it is not a member any more or knows a higher term.
    """
    message = [
        replica.term,
        replica.vm,
        previous_index,
        replica.storage.term_at(previous_index),
        [entry.pack() for entry in batch],
        replica.commit_index,
    ]
    sent_at = replica.timers.now()
    term, accepted, peer_index_hint, incarnation = await replica.call_peer(
        vm, 'append', message, replies.check_append
    )
    if term > replica.term:
        async with replica.lock_storage():
            await replica.adopt_term(term)
        return None
    if not replica.is_current_member(vm, incarnation):
        return None
    replica.replied_at[vm] = replica.timers.now()
    replica.record_contact(vm, sent_at)
    return accepted, peer_index_hint


async def send_heartbeats(
    replica: 'replicas.Replica', vm: str, incarnation: str
) -> None:
    """Sends heartbeats to a member while a longer call to it is answered.

    The reply to entries waits for their sync. Without other contact, a leader
    would step down because a disk that its majority needs is slow.
    """
    timeouts = replica.timeouts
    while replica.is_leader and replica.is_current_member(vm, incarnation):
        contact_at = replica.contact_times.get(vm, replica.led_since)
        due_at = contact_at + QUIET_HEARTBEATS * timeouts.heartbeat_seconds
        remaining = due_at - replica.timers.now()
        if remaining > 0:
            await replica.timers.sleep(max(MIN_PAUSE_SECONDS, remaining))
            continue
        # What the member holds: it can confirm it without a write.
        match_index = replica.match_index.get(vm, 0)
        # The calls that replicate entries meet the same failure, and handle
        # it. A failure of the own disk is logged where it is found.
        with contextlib.suppress(errors.GatewayError):
            await call_append(replica, vm, match_index, [])
        await replica.timers.sleep(timeouts.heartbeat_seconds)


async def send_snapshot(
    replica: 'replicas.Replica',
    vm: str,
    size: MessageSize,
    transfer: SnapshotTransfer,
) -> int:
    """Sends the snapshot in chunks.

    It goes on where an earlier call ended, unless the log has been compacted
    since, or the member rejects the chunk.

    :returns: the index of the next entry to send to the member.
    :raises ReplicationError: if the member rejects a chunk.
    :raises PeerProtocolError: if its reply is malformed.
    """
    snapshot = replica.storage.snapshot
    total = len(snapshot.state)
    if transfer.index != snapshot.index:
        transfer.index, transfer.offset = snapshot.index, 0
    while True:
        offset = transfer.offset
        end = offset + size.bytes
        message = [
            replica.term,
            replica.vm,
            snapshot.index,
            snapshot.term,
            snapshot.members.pack(),
            offset,
            snapshot.state[offset:end],
            end >= total,
        ]
        sent_at = replica.timers.now()
        term, accepted = await replica.call_peer(
            vm, 'snapshot', message, replies.check_snapshot
        )
        if term > replica.term:
            async with replica.lock_storage():
                await replica.adopt_term(term)
        if not accepted:
            transfer.offset = 0
            raise errors.ReplicationError(
                f'{vm} rejected the snapshot at byte {offset} of {total}'
            )
        if end >= total:
            transfer.offset = 0
            return snapshot.index + 1
        replica.replied_at[vm] = replica.timers.now()
        transfer.offset = end
        size.fit(replica.timers.now() - sent_at, timing.CALL_TIMEOUT_SECONDS)


def ready_learners(replica: 'replicas.Replica') -> frozenset[str]:
    """Returns the learners that reply and may become voters.

    Such a learner holds what was committed when the last message to it was
    sent, the entry that made it a member, and an entry of this leader's term.
    Memory replicas are never promoted.
    """
    now = replica.timers.now()
    return frozenset(
        member.vm
        for member in replica.members.members
        if not member.is_voter
        and member.vm not in replica.memory_replicas
        and promotion_obstacle(replica, member.vm, now) is None
    )


def promotion_obstacle(
    replica: 'replicas.Replica', vm: str, now: float
) -> str | None:
    """Returns why a learner may not become a voter yet, None if it may."""
    contact_at = replica.contact_times.get(vm)
    match_index = replica.match_index.get(vm, 0)
    known_index = max(
        replica.members_index, replica.sent_commit_index.get(vm, 0)
    )
    if contact_at is None:
        return 'has not replied to this leader'
    silence = now - contact_at
    if silence >= replica.timeouts.election_seconds:
        return f'silent for {silence:.1f} s'
    if not match_index >= known_index > 0:
        return f'holds {match_index} of {known_index} entries'
    if replica.storage.term_at(match_index) != replica.term:
        return f'holds no entry of term {replica.term}'
    return None


def memory_replicated_index(replica: 'replicas.Replica') -> int:
    """Returns the last index that all reachable memory replicas hold.

    It does not limit the commit index if no memory replica is reachable, or
    if the group has enough voters.
    """
    last = replica.storage.last_index
    if len(replica.members.voters) >= MIN_VOTERS_WITHOUT_MEMORY_REPLICAS:
        return last
    now = replica.timers.now()
    match_indexes = [
        replica.match_index.get(vm, 0)
        for vm in replica.memory_replicas
        if now
        - replica.contact_times.get(vm, -replica.timeouts.election_seconds * 2)
        < replica.timeouts.election_seconds
    ]
    return min(match_indexes, default=last)
