"""Half of four voters lose their disks while the fifth VM has no vote yet.

A control VM loses its disk, and its links are so slow that it stays a learner.
Then the leader and one more lose theirs, right after a change was
acknowledged.
"""

import re

import anyio
import httpx

from . import days
from . import traffic

LINK_BYTES_PER_SECOND = 2000
# Before the others know that the VM is admitted, three disks would be lost.
ADMISSION_SECONDS = 0.5
RESTART_SECONDS = 1.0
# For an election, the admission and a lost call each.
MEMBERS_SECONDS = 10.0
POLL_SECONDS = 0.05


class LearnerError(Exception):
    """The state that the scenario is for was not reached."""


async def play_round(player: days.Player) -> None:
    """Loses one disk, then two others and, in half of the rounds, all power.

    :raises LearnerError: if the first VM did not become a learner.
    """
    controls = player.deployment.controls
    leader = await player.find_leader()
    if leader is None:
        raise LearnerError('no control VM leads')
    await wait_for_metric(leader, b'voters', len(controls))
    others = [one for one in controls if one is not leader]
    learner, lost, *_ = player.rng.sample(others, len(others))
    player.log(f'learner {learner.name}, lost {leader.name}, {lost.name}')
    began_at = player.record.now()
    for one in controls:
        one.set_faults(slow_to={learner.host: LINK_BYTES_PER_SECOND})
    learner.kill()
    learner.wipe()
    await anyio.sleep(RESTART_SECONDS)
    learner.start()
    await wait_for_metric(leader, b'learners', 1)
    await anyio.sleep(ADMISSION_SECONDS)
    with anyio.move_on_after(player.record.bounds.acknowledge):
        await player.operator.put()
    await lose_half(player, [leader, lost])
    for one in controls:
        one.set_faults(slow_to=None)
    player.disturbed('half of the voters', began_at)
    await anyio.sleep(player.record.bounds.recovery)


async def wait_for_metric(leader, name: bytes, value: int) -> None:
    """Waits until a leader counts so many members of a kind.

    :raises LearnerError: if it does not in time, or cannot be asked.
    """
    pattern = re.compile(
        rb'^greengagegw_replica_%s %d(\.0)?$' % (name, value), re.MULTILINE
    )
    with anyio.move_on_after(MEMBERS_SECONDS):
        while True:
            try:
                text = await traffic.read_metrics(leader)
            except httpx.HTTPError as error:
                raise LearnerError(f'{leader.name}: {error!r}') from error
            if pattern.search(text):
                return
            await anyio.sleep(POLL_SECONDS)
    raise LearnerError(f'{leader.name} does not count {value} {name.decode()}')


async def lose_half(player: days.Player, lost: list) -> None:
    machines = lost
    if player.rng.random() < 0.5:
        machines = player.deployment.machines
        player.log('all lose power')
    player.injector.end(machines, has_power=False)
    for one in lost:
        one.wipe()
    await player.injector.restart(machines, RESTART_SECONDS)
