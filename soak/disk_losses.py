"""Two control VMs lose their disks, and two others once they must count again.

The second loss comes right after an acknowledged change. It is allowed, since
a machine with an empty disk counts again ``catch_up`` seconds after its start.
The syncs of all control VMs are as slow as the seed says until the run ends.
"""

import dataclasses
import random

import anyio

from . import days
from . import faults as fault_schedules
from . import learners

SYNC_SECONDS = (0.002, 0.3)
# Those whose processes end without power at the second loss.
POWER_LOSSES = ('none', 'controls', 'all')
RESTART_SECONDS = 1.1
RETRY_SECONDS = 0.1


class DiskLossError(Exception):
    """A change that the second loss should follow was not acknowledged."""


@dataclasses.dataclass(frozen=True, slots=True)
class Losses:
    """What a seed decides of a round.

    :ivar sync_seconds: how much longer each sync takes.
    :ivar power: one of POWER_LOSSES.
    :ivar first: control VMs whose disks are lost first.
    :ivar whole: the other control VMs.
    :ivar restarted: the one of them that is restarted as planned, or None.
    :ivar restart_delay: seconds from the start of the first ones to that.
    """

    sync_seconds: float
    power: str
    first: list
    whole: list
    restarted: object | None
    restart_delay: float


def draw(rng: random.Random, controls: list, catch_up: float) -> Losses:
    order = rng.sample(controls, len(controls))
    whole = order[2:]
    return Losses(
        round(rng.uniform(*SYNC_SECONDS), 3),
        rng.choice(POWER_LOSSES),
        order[:2],
        whole,
        rng.choice([None, rng.choice(whole)]),
        round(rng.uniform(0, catch_up), 1),
    )


async def play_round(player: days.Player) -> None:
    """Loses two disks, and two others when the first VMs must count again.

    :raises LearnerError: if not all control VMs have a vote before.
    :raises DiskLossError: if no change is acknowledged before a loss.
    """
    controls = player.deployment.controls
    leader = await player.find_leader()
    if leader is None:
        raise DiskLossError('no control VM leads')
    await learners.wait_for_metric(leader, b'voters', len(controls))
    catch_up = player.record.bounds.catch_up
    losses = draw(player.rng, controls, catch_up)
    restarted = losses.restarted and losses.restarted.name
    player.log(
        f'syncs take {losses.sync_seconds} s, power lost by {losses.power},'
        f' restarted {restarted} after {losses.restart_delay} s'
    )
    began_at = player.record.now()
    for one in controls:
        one.set_faults(sync_seconds=losses.sync_seconds)
    await put_change(player)
    await lose_disks(player, losses.first, losses.first, has_power=True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(anyio.sleep, catch_up)
        if losses.restarted:
            tasks.start_soon(restart_as_planned, player, losses)
    leader = await player.find_leader()
    await put_change(player)
    leader = leader or await player.find_leader()
    lost = [leader] if leader else []
    lost += [one for one in losses.whole if one is not leader]
    machines = {
        'none': lost[:2],
        'controls': list(controls),
        'all': player.deployment.machines,
    }[losses.power]
    has_power = losses.power == 'none'
    await lose_disks(player, lost[:2], machines, has_power)
    # Twice the usual time where most of the control VMs were down.
    settle = 0.0 if has_power else fault_schedules.SETTLE_SECONDS
    player.injector.disturbed('disk losses', began_at, settle)
    await anyio.sleep(player.record.bounds.recovery)


async def put_change(player: days.Player) -> None:
    """Puts changes until one is acknowledged.

    :raises DiskLossError: if none is in the time that a recovery may take.
    """
    limit = player.record.bounds.recovery
    with anyio.move_on_after(limit) as scope:
        while not await player.operator.put():
            await anyio.sleep(RETRY_SECONDS)
    if scope.cancelled_caught:
        raise DiskLossError(f'no change was acknowledged within {limit} s')
    player.log('a change was acknowledged')


async def lose_disks(
    player: days.Player, lost: list, machines: list, has_power: bool
) -> None:
    """Ends machines, wipes some of them, and starts all again."""
    player.log(f'lost disks: {[one.name for one in lost]}')
    player.injector.end(machines, has_power)
    player.injector.wipe(lost)
    await player.injector.restart(machines, RESTART_SECONDS)
    player.log(f'started {len(machines)} machines')


async def restart_as_planned(player: days.Player, losses: Losses) -> None:
    await anyio.sleep(losses.restart_delay)
    await player.injector.stop(losses.restarted)
    losses.restarted.start()
    player.log(f'restarted {losses.restarted.name}')
