"""Faults of a soak: a schedule drawn from a seed, and how each is applied.

At most two control VMs are affected by faults that count against the
deployment's tolerance of two lost machines. All processes may be killed
beyond that, as long as their disks are kept.
"""

import dataclasses
import random
import signal

import anyio

from . import backends
from . import disk
from . import record as records

# The two kinds after which a machine counts as lost until it has caught up.
DISK_LOSS_KINDS = ('wipe', 'replace', 'replace_planned')
CONTROL_KINDS = (
    'kill',
    'freeze',
    'term',
    'disk_full',
    'slow_syncs',
    'cut',
    'cut_one_way',
    *DISK_LOSS_KINDS,
)
ENTRY_KINDS = ('kill', 'freeze', 'term', 'cut', 'reload')
GROUP_KINDS = ('kill_all_controls', 'kill_everything', 'split', 'none')
CATCH_UP_SECONDS = 4.0
STOP_SECONDS = 8.0
POLL_SECONDS = 0.1
# The rules give twice the usual time after most of the core was lost.
SETTLE_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a round.

    :ivar target: position among the round's control VMs or the entry VMs.
    :ivar delay: seconds after the round begins.
    :ivar seconds: how long it lasts.
    :ivar strength: seconds of a slow sync.
    """

    kind: str
    role: str
    target: int
    delay: float
    seconds: float
    strength: float = 0.0


def draw_round(rng: random.Random) -> list[Fault]:
    """Returns faults that come in series and overlap."""
    faults = []
    lost_disks = 0
    for _ in range(rng.randint(2, 4)):
        kind = rng.choice(CONTROL_KINDS)
        target = rng.randrange(2)
        if kind in DISK_LOSS_KINDS:
            # A second loss on the same position could hit a successor that
            # has not caught up, beside another machine that is lost.
            target = lost_disks
            lost_disks += 1
            if lost_disks > 2:
                continue
        faults.append(
            Fault(
                kind,
                'control',
                target,
                rng.uniform(0, 5),
                rng.choice([0.2, 0.7, 1.5, 3.0, 5.0, 7.8]),
                rng.choice([0.05, 0.3, 1.0, 2.0]),
            )
        )
    for _ in range(rng.randint(0, 2)):
        faults.append(
            Fault(
                rng.choice(ENTRY_KINDS),
                'entry',
                rng.randrange(4),
                rng.uniform(0, 6),
                rng.choice([0.7, 2.0, 4.0, 6.0]),
            )
        )
    kind = rng.choice(GROUP_KINDS)
    if kind != 'none' and not lost_disks:
        faults.append(
            Fault(
                kind, 'group', 0, rng.uniform(0, 6), rng.choice([0.3, 1.5, 5])
            )
        )
    if rng.random() < 0.3:
        faults.append(Fault('foreign_entry', 'list', 0, rng.uniform(0, 6), 8))
    return faults


class Injector:
    """Applies faults to a deployment and records when it is disturbed.

    :ivar wiped: control VMs whose disks were lost, or their successors, as
        :meth:`find_lost_disks` last found them.
    """

    def __init__(self, deployment, record, rng, log) -> None:
        self.deployment = deployment
        self.record = record
        self.rng = rng
        self.log = log
        self.wiped: set = set()

    def find_lost_disks(self) -> set:
        """Returns the VMs that have not run since as long as they may need.

        A later fault may have ended one in that time, so it counts anew from
        each start.
        """
        catch_up = self.record.bounds.catch_up
        self.wiped = {one for one in self.wiped if not one.has_run(catch_up)}
        return self.wiped

    async def wait_for_disks(self, machines: list) -> None:
        """Returns when the disks of machines may be lost."""
        limit = self.deployment.layout.lost_machines
        while len(self.find_lost_disks() | set(machines)) > limit:
            await anyio.sleep(POLL_SECONDS)

    def wipe(self, machines: list) -> None:
        for one in machines:
            one.wipe()
        self.wiped |= set(machines)

    def succeed(self, machine, successor) -> None:
        """Has a successor count as lost in place of a machine that does."""
        if machine in self.wiped:
            self.wiped = self.wiped - {machine} | {successor}

    def disturbed(self, name: str, began_at: float, settle=0.0) -> None:
        self.record.disturbances.append(
            records.Disturbance(name, began_at, self.record.now() + settle)
        )

    def end(self, machines: list, has_power: bool) -> None:
        """Ends processes; without power, unsynced bytes are lost."""
        for one in machines:
            one.kill()
        for one in [] if has_power else machines:
            changes = one.lose_power(self.rng)
            if changes:
                self.log(f'{one.name} lost power: {changes}')

    async def restart(self, machines: list, pause: float) -> None:
        await anyio.sleep(pause)
        for one in machines:
            one.start()

    async def run_round(self, faults: list[Fault]) -> None:
        """Applies the faults and returns when all have ended."""
        targets = self.rng.sample(self.deployment.controls, 2)
        began_at = self.record.now()
        async with anyio.create_task_group() as tasks:
            for fault in faults:
                tasks.start_soon(self.apply, fault, targets)
        self.disturbed('round', began_at)

    async def apply(self, fault: Fault, targets: list) -> None:
        await anyio.sleep(fault.delay)
        self.log(f'begin {fault}')
        if fault.role == 'control':
            await self.apply_to_control(fault, targets)
        elif fault.role == 'entry':
            entries = self.deployment.entries
            machine = entries[fault.target % len(entries)]
            await self.apply_to_machine(fault, machine)
        elif fault.kind == 'foreign_entry':
            self.deployment.platform.foreign = self.rng.sample(
                backends.FOREIGN_ENTRIES, 2
            )
            await anyio.sleep(fault.seconds)
            self.deployment.platform.foreign = []
        elif fault.kind == 'split':
            await self.split(fault.seconds)
        else:
            await self.kill_all(fault)
        self.log(f'end {fault}')

    async def apply_to_control(self, fault: Fault, targets: list) -> None:
        machine = targets[fault.target]
        if fault.kind == 'wipe':
            await self.wait_for_disks([machine])
            machine.kill()
            self.wipe([machine])
            await anyio.sleep(fault.seconds)
            machine.start()
            await anyio.sleep(CATCH_UP_SECONDS)
        elif fault.kind == 'replace':
            await self.replace(targets, fault.target, fault.seconds)
        elif fault.kind == 'replace_planned':
            await self.replace_as_planned(targets, fault.target)
        elif fault.kind == 'disk_full':
            kind = self.rng.choice(disk.FULL_DISK_KINDS)
            self.log(f'full disk of {machine.name}: {kind}')
            machine.set_faults(full_disk=kind)
            await anyio.sleep(fault.seconds)
            machine.set_faults(full_disk=None)
        elif fault.kind == 'slow_syncs':
            machine.set_faults(sync_seconds=fault.strength)
            await anyio.sleep(fault.seconds)
            machine.set_faults(sync_seconds=None)
        else:
            await self.apply_to_machine(fault, machine)

    async def replace(self, targets: list, at: int, pause: float) -> None:
        """Replaces a machine that is gone for good by an empty one."""
        machine = targets[at]
        await self.wait_for_disks([machine])
        machine.kill()
        self.wiped.add(machine)
        self.deployment.controls.remove(machine)
        await anyio.sleep(min(pause, 1.0))
        successor = self.deployment.add_control(machine.domain)
        self.succeed(machine, successor)
        targets[at] = successor
        successor.start()
        await anyio.sleep(CATCH_UP_SECONDS)

    async def replace_as_planned(self, targets: list, at: int) -> None:
        """Starts a successor before a machine is stopped for good."""
        machine = targets[at]
        successor = self.deployment.add_control(machine.domain)
        successor.start()
        await anyio.sleep(CATCH_UP_SECONDS)
        await self.stop(machine)
        self.deployment.controls.remove(machine)
        self.succeed(machine, successor)
        targets[at] = successor

    async def apply_to_machine(self, fault: Fault, machine) -> None:
        if fault.kind == 'kill':
            machine.kill()
            await anyio.sleep(min(fault.seconds, 3.0))
            machine.start()
        elif fault.kind == 'freeze':
            machine.send(signal.SIGSTOP)
            await anyio.sleep(fault.seconds)
            machine.send(signal.SIGCONT)
        elif fault.kind == 'term':
            await self.stop(machine)
            machine.start()
        elif fault.kind == 'reload':
            machine.send(signal.SIGHUP)
        else:
            await self.cut(
                [machine], fault.seconds, fault.kind == 'cut_one_way'
            )

    async def stop(self, machine) -> None:
        machine.is_expected_to_end = True
        machine.send(signal.SIGTERM)
        with anyio.move_on_after(STOP_SECONDS):
            while machine.is_running:
                await anyio.sleep(0.05)
        machine.kill()

    async def cut(
        self, machines, seconds: float, is_one_way=False, others=None
    ) -> None:
        """Makes the links between some machines and others silent."""
        others = others or [
            one for one in self.deployment.machines if one not in machines
        ]
        inner = [one.host for one in machines]
        outer = [one.host for one in others]
        for group, hosts, sends in (
            (machines, outer, True),
            (others, inner, not is_one_way),
        ):
            for one in group:
                receives = not is_one_way or not sends
                one.set_faults(
                    silent_to=hosts if sends else None,
                    silent_from=hosts if receives else None,
                )
        await anyio.sleep(seconds)
        for one in [*machines, *others]:
            one.set_faults(silent_to=None, silent_from=None)

    async def split(self, seconds: float) -> None:
        controls = self.deployment.controls
        half = self.rng.sample(controls, len(controls) // 2)
        others = [one for one in controls if one not in half]
        await self.cut(half, seconds, others=others)

    async def kill_all(self, fault: Fault) -> None:
        began_at = self.record.now()
        machines = (
            self.deployment.machines
            if fault.kind == 'kill_everything'
            else list(self.deployment.controls)
        )
        self.end(machines, has_power=True)
        await self.restart(machines, min(fault.seconds, 1.0))
        self.disturbed(fault.kind, began_at, SETTLE_SECONDS)

    async def final_fault(self, machines_lost: int) -> None:
        """All processes end or lose power; some disks are lost."""
        lost = self.rng.sample(self.deployment.controls, machines_lost)
        await self.wait_for_disks(lost)
        began_at = self.record.now()
        has_power = self.rng.random() < 0.5
        self.log(
            f'final fault {"with" if has_power else "without"} power, lost'
            f' disks: {[one.name for one in lost]}'
        )
        self.end(self.deployment.machines, has_power)
        self.wipe(lost)
        await self.restart(self.deployment.machines, 0.5)
        self.disturbed('final fault', began_at, SETTLE_SECONDS)

    async def replace_repeatedly(self, count: int) -> None:
        """Replaces control VMs one after the other, as planned or not."""
        began_at = self.record.now()
        for _ in range(count):
            targets = [self.rng.choice(self.deployment.controls)]
            self.log(f'replaces {targets[0].name}')
            if self.rng.random() < 0.5:
                await self.replace(targets, 0, 1.0)
            else:
                await self.replace_as_planned(targets, 0)
        self.disturbed('replacements', began_at)
