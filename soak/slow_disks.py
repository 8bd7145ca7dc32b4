"""The disks of all control VMs are slow while their leader is killed.

A vote or an entry is then stored later than a call to a peer is answered.
"""

import anyio

from . import days

# The metadata take two syncs.
SYNC_SECONDS = (0.3, 0.6, 0.9)
RESTART_SECONDS = 1.0
RETRY_SECONDS = 0.3


class SlowDiskError(Exception):
    """No change was acknowledged while the disks were slow."""


async def play_round(player: days.Player) -> None:
    """Kills the leader, and waits for a change before the disks are sound.

    :raises SlowDiskError: if none is acknowledged in time.
    """
    controls = player.deployment.controls
    seconds = player.rng.choice(SYNC_SECONDS)
    leader = await player.find_leader()
    began_at = player.record.now()
    for one in controls:
        one.set_faults(sync_seconds=seconds)
    lost = [one for one in controls if one is leader]
    player.log(f'syncs take {seconds} s, killed {[one.name for one in lost]}')
    player.injector.end(lost, has_power=True)
    await player.injector.restart(lost, RESTART_SECONDS)
    limit = player.record.bounds.recovery
    with anyio.move_on_after(limit) as scope:
        while not await player.operator.put():
            await anyio.sleep(RETRY_SECONDS)
    player.log(f'a change was acknowledged: {not scope.cancelled_caught}')
    for one in controls:
        one.set_faults(sync_seconds=None)
    player.disturbed('slow disks', began_at)
    if scope.cancelled_caught:
        raise SlowDiskError(
            f'no change was acknowledged within {limit} s of the kill, with'
            f' syncs of {seconds} s'
        )
    await anyio.sleep(limit)
