"""Return of a replica whose disk has failed.

A failed write makes the role FAILED. The replica then tries its disk again
until it takes bytes, and takes part again without a restart.
"""

import typing

import anyio
import eliot

from .. import errors
from . import roles

if typing.TYPE_CHECKING:
    from . import replica as replicas

FIRST_RETRY_SECONDS = 0.1
RETRY_FACTOR = 2.0
# With an election after it, less than the 5 s within which a group must be
# writable again once a majority of the disks is sound.
MAX_RETRY_SECONDS = 1.0
# A disk that fails again within this time is retried with longer pauses.
SOUND_SECONDS = 10.0


async def run_disk_recovery(replica: 'replicas.Replica') -> None:
    """Tries a failed disk again with increasing pauses, until cancelled."""
    pause = FIRST_RETRY_SECONDS
    sound_since = replica.timers.now()
    while True:
        while replica.failure is None:
            replica.disk_failed = anyio.Event()
            await replica.disk_failed.wait()
        failed_at = replica.timers.now()
        if failed_at - sound_since >= SOUND_SECONDS:
            pause = FIRST_RETRY_SECONDS
        reason = replica.failure.message
        while replica.failure is not None:
            await replica.timers.sleep(pause)
            pause = min(pause * RETRY_FACTOR, MAX_RETRY_SECONDS)
            try:
                await recover_disk(replica)
            except errors.StorageError as error:
                if error.message != reason:
                    reason = error.message
                    eliot.log_message(
                        'replica:disk_still_fails',
                        group=replica.group,
                        reason=reason,
                    )
                replica.failure = error
        sound_since = replica.disk_fault_at = replica.timers.now()
        eliot.log_message(
            'replica:disk_recovered',
            group=replica.group,
            seconds=round(sound_since - failed_at, 3),
            last=replica.storage.last_index,
        )


async def recover_disk(replica: 'replicas.Replica') -> None:
    """Makes the storage usable and lets the replica take part again.

    It returns as a follower, or to its start if that had not ended. It votes
    only with what is durable: its term and vote in memory are those of the
    last successful write.

    :raises StorageError: if the disk still fails or content is damaged.
    """
    async with replica.storage_lock:
        with anyio.CancelScope(shield=True):
            if replica.is_loaded:
                await replica.storage.recover()
                replica.align_applied_state()
            else:
                await replica.load()
            replica.failure = None
            replica.role = roles.Role.STARTING
            if replica.has_started:
                replica.become_follower()
