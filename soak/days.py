"""Plays a day in the bench's format with real processes.

The kinds and words that are known here are in KINDS. A VM that loses power
is killed, and loses what its disk had not synced.
"""

import collections.abc
import dataclasses
import pathlib
import re
import signal
import time
import tomllib

import anyio
import httpx

from . import disk
from . import durable
from . import faults as fault_schedules
from . import record as records
from . import traffic

DEFAULT_SECONDS = 5.0
DEFAULT_GAP_SECONDS = 1.0
RESTART_SECONDS = 0.3
LEAVE_MS = 500.0
# A usual sync of the bench's disks, which `disk_slow` multiplies.
SYNC_SECONDS = 0.002
LEADER_ATTEMPTS = 3
LEADER_PATTERN = re.compile(rb'^greengagegw_replica_leads 1', re.MULTILINE)
# Traffic that is sent after the time that a deployment has to recover.
LAST_TRAFFIC_SECONDS = 8.0
# A change is on its way that long when a fault begins, and reads follow each
# other in half of that when it ends.
RACE_SECONDS = 0.1
RACE_READS = 30
TARGET_WORDS = frozenset({'leader', 'renewed', 'follower', 'oldest'})


class DayError(Exception):
    """The file of a day is not valid, or has what cannot be played."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An entry of a day; times are in seconds.

    :ivar words: the words of ``how``.
    """

    at: float
    kind: str
    seconds: float
    gap: float
    count: int | None
    share: float | None
    strength: float | None
    on: str
    domain: str | None
    words: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """A day: planned work, faults and the final fault."""

    name: str
    length: float
    events: tuple[Event, ...]
    closing: Event | None

    @property
    def keys(self) -> list[str]:
        """Returns the keys that it takes away."""
        counts = (
            one.count or 1 for one in self.events if one.kind == 'revoke'
        )
        return [f'revoked-key-{one}' for one in range(sum(counts))]


def read_day(path: pathlib.Path) -> Day:
    """Reads a day from a TOML file with one ``[[day]]``.

    :raises DayError: if the file is not valid, or names what cannot be
        played.
    """
    try:
        with open(path, 'rb') as file:
            days = tomllib.load(file)['day']
    except (OSError, KeyError, tomllib.TOMLDecodeError) as error:
        raise DayError(f'{path}: {type(error).__name__}: {error}') from error
    if len(days) != 1:
        raise DayError(f'{path} has {len(days)} days instead of one')
    day = days[0]
    events = [
        decode_event(one)
        for one in [*day.get('plan', []), *day.get('faults', [])]
    ]
    closing = day.get('closing')
    if closing is not None:
        closing = decode_event({'at': day['length_s'], **closing})
    unknown = sorted(
        {
            name
            for known, found in ((KINDS, events), (CLOSINGS, [closing]))
            for one in found
            if one is not None
            for name in unknown_names(known, one)
        }
    )
    if unknown:
        raise DayError(f'{path}: cannot be played: {", ".join(unknown)}')
    events.sort(key=lambda one: one.at)
    return Day(day['name'], day['length_s'], tuple(events), closing)


def decode_event(values: dict) -> Event:
    return Event(
        values['at'],
        values['kind'],
        values.get('for_s', values.get('down_s', DEFAULT_SECONDS)),
        values.get('gap_s', DEFAULT_GAP_SECONDS),
        values.get('count'),
        values.get('share'),
        values.get('x'),
        values.get('on', 'front'),
        values.get('zone'),
        frozenset(values.get('how', '').split()),
    )


def unknown_names(kinds: dict, event: Event) -> list[str]:
    """Returns the kind of an event, or its words, that are not known."""
    if event.kind not in kinds:
        return [event.kind]
    _, words = kinds[event.kind]
    return [f'{event.kind} how {one}' for one in event.words - words]


class Player:
    """Plays a day against a deployment.

    :ivar taken: lists of control VMs, one for each fault that counts, or of
        placeholders for those that are not chosen yet.
    :ivar waiting_faults: number of faults that wait for their turn.
    :ivar tasks: those of the day, None before it is played.
    :ivar acknowledgers: control VMs of the last change that was sent by
        :meth:`acknowledge_change`, those that took part in it first.
    """

    def __init__(
        self, deployment, operator, injector, record, rng, log, clients
    ) -> None:
        self.clients = clients
        self.deployment = deployment
        self.operator = operator
        self.injector = injector
        self.record = record
        self.rng = rng
        self.log = log
        self.taken: list[list] = []
        self.waiting_faults = 0
        self.acknowledgers: list = []
        self.tasks = None

    @property
    def lost(self) -> set:
        """Control VMs that count as lost."""
        taken = {one for machines in self.taken for one in machines}
        return taken | self.injector.find_lost_disks()

    async def play(self, day: Day) -> None:
        """Plays the events and the final fault, and reads back.

        Orders that have no outcome by then are given up.
        """
        bounds = self.record.bounds
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for event in day.events:
                tasks.start_soon(self.play_event, event)
            await anyio.sleep(day.length)
            if day.closing is None:
                await anyio.sleep(bounds.contact)
            else:
                self.log(f'final fault {day.closing}')
                # Faults that still wait for their turn come before it.
                while self.waiting_faults:
                    await anyio.sleep(fault_schedules.POLL_SECONDS)
                # It loses as many disks as may be lost, none beside it.
                places = await self.reserve(
                    self.deployment.layout.lost_machines
                )
                with anyio.move_on_after(bounds.acknowledge):
                    await self.acknowledge_change(day.closing)
                await CLOSINGS[day.closing.kind][0](self, day.closing)
                self.taken.remove(places)
                await anyio.sleep(bounds.recovery + LAST_TRAFFIC_SECONDS)
            await self.operator.read_back()
            tasks.cancel_scope.cancel()

    async def play_event(self, event: Event) -> None:
        await anyio.sleep(event.at)
        self.log(f'begin {event}')
        await KINDS[event.kind][0](self, event)
        self.log(f'end {event}')

    def disturbed(self, kind: str, began_at: float, entry_vm='') -> None:
        self.record.disturbances.append(
            records.Disturbance(kind, began_at, self.record.now(), entry_vm)
        )

    async def find_leader(self):
        """Returns the control VM that seems to lead, or None."""
        for _ in range(LEADER_ATTEMPTS):
            for machine in list(self.deployment.controls):
                try:
                    text = await traffic.read_metrics(machine)
                except httpx.HTTPError:
                    # It is down or frozen, so it does not seem to lead.
                    continue
                if LEADER_PATTERN.search(text):
                    return machine
        return None

    async def acknowledge_change(self, event: Event) -> None:
        """Sends a change and finds the VMs that took part in it.

        Those of which the disk synced come first, in the order of the syncs,
        or, without the word ``synced``, the VM that answered and the leader.
        """
        self.acknowledgers = []
        leader = await self.find_leader()
        sent_at = time.time()
        await self.operator.put()

        def position(machine) -> tuple:
            synced_at = durable.first_sync(machine.copies, sent_at)
            if 'synced' in event.words:
                return (synced_at,)
            is_other = machine is not self.operator.acknowledged_by
            return is_other, machine is not leader, synced_at

        self.acknowledgers = sorted(self.deployment.controls, key=position)
        names = [one.name for one in self.acknowledgers]
        self.log(f'acknowledged in this order: {names}')

    async def begin_race(self, event: Event) -> None:
        """With the word ``race``, has a change on its way at the fault."""
        if 'race' in event.words:
            self.tasks.start_soon(self.operator.put)
            await anyio.sleep(self.rng.uniform(0, RACE_SECONDS))

    async def follow_race(self, event: Event, machines: list) -> None:
        """Lets a fault last; with ``race``, changes and reads meet it.

        The VMs are read from just before the end of the fault until it must
        have reached them.
        """
        if 'race' in event.words:
            self.tasks.start_soon(self.operator.put)
            self.tasks.start_soon(self.read_until_known, event, machines)
        await anyio.sleep(event.seconds)

    async def read_until_known(self, event: Event, machines: list) -> None:
        await anyio.sleep(event.seconds - RACE_SECONDS)
        async with anyio.create_task_group() as tasks:
            for _ in range(RACE_READS):
                for one in machines:
                    tasks.start_soon(self.operator.read, one)
                await anyio.sleep(RACE_SECONDS / 2)

    async def choose(self, event: Event) -> list:
        """Returns the VMs that an event is for, and waits its turn.

        No more control VMs are taken at once than the deployment may lose.
        """
        if event.on == 'front':
            entries = self.deployment.entries
            return self.rng.sample(entries, event_count(event, entries))
        limit = self.deployment.layout.lost_machines
        count = min(limit, event_count(event, self.deployment.controls))
        self.waiting_faults += 1
        places = await self.reserve(count)
        self.waiting_faults -= 1
        try:
            return await self.choose_controls(event, count)
        finally:
            self.taken.remove(places)

    async def reserve(self, count: int) -> list:
        """Waits until so many more may be lost; returns their places."""
        limit = self.deployment.layout.lost_machines
        while len(self.lost) + count > limit:
            await anyio.sleep(fault_schedules.POLL_SECONDS)
        places = [object() for _ in range(count)]
        self.taken.append(places)
        return places

    async def choose_controls(self, event: Event, count: int) -> list:
        leader = None
        if event.words & {'leader', 'renewed', 'follower'}:
            leader = await self.find_leader()
        candidates = [
            one for one in self.deployment.controls if one not in self.lost
        ]
        if 'follower' in event.words and leader in candidates:
            candidates.remove(leader)
        if 'oldest' not in event.words:
            self.rng.shuffle(candidates)
        if 'aimed' in event.words:
            await self.acknowledge_change(event)
            candidates = [
                one for one in self.acknowledgers if one not in self.lost
            ]
        if event.words & {'leader', 'renewed'} and leader in candidates:
            candidates.remove(leader)
            candidates.insert(0, leader)
        chosen = candidates[:count]
        self.log(
            f'{event.kind} of {[one.name for one in chosen]}, leader'
            f' {leader and leader.name}'
        )
        return chosen

    async def disturb(
        self,
        event: Event,
        apply: collections.abc.Callable[
            [list], collections.abc.Awaitable[None]
        ],
    ) -> None:
        """Applies a fault to its VMs, which are lost until they caught up."""
        chosen = await self.choose(event)
        is_counted = event.on == 'core'
        if is_counted:
            self.taken.append(chosen)
        began_at = self.record.now()
        try:
            await apply(chosen)
        finally:
            self.disturbed(event.kind, began_at)
        if is_counted:
            await anyio.sleep(self.record.bounds.catch_up)
            self.taken.remove(chosen)


def event_count(event: Event, machines: list) -> int:
    """Returns the number of machines that an event is for."""
    if event.count is not None:
        return min(event.count, len(machines))
    share = 0.1 if event.share is None else event.share
    return max(1, round(share * len(machines)))


def choose_domain(player: Player, event: Event) -> str:
    domains = player.deployment.layout.domains
    domain = event.domain or player.rng.choice(domains)
    if domain not in domains:
        raise DayError(f'{event.kind}: {domain} is no failure domain')
    return domain


def on_core(event: Event) -> Event:
    """Returns an event of a kind that is always for one control VM."""
    count = 1 if event.count is None else event.count
    return dataclasses.replace(event, on='core', count=count)


# Planned work.


async def change_configuration(player: Player, event: Event) -> None:
    await player.operator.put(added_routes=event.count or 0)


async def change_repeatedly(player: Player, event: Event) -> None:
    """Sends versions, in a race two at the same time."""
    is_race = event.kind == 'config_race'
    count = 1 if is_race else round(event.seconds / event.gap)
    async with anyio.create_task_group() as tasks:
        for _ in range(event.count or count):
            for _ in range(1 + is_race):
                tasks.start_soon(player.operator.put)
            await anyio.sleep(event.gap)


async def send_invalid(player: Player, event: Event) -> None:
    for _ in range(event.count or 1):
        await player.operator.put_invalid(event.words)
        await anyio.sleep(event.gap)


async def revoke_keys(player: Player, event: Event) -> None:
    async with anyio.create_task_group() as tasks:
        for _ in range(event.count or 1):
            tasks.start_soon(player.operator.revoke)
            await anyio.sleep(event.gap)


async def evacuate(player: Player, event: Event) -> None:
    domain = choose_domain(player, event)
    await player.operator.order('evacuate', domain)
    await anyio.sleep(event.seconds)
    await player.operator.order('readmit', domain)


# Faults.


async def fail_disks(player: Player, event: Event) -> None:
    kind = player.rng.choice(disk.FULL_DISK_KINDS)
    fault = {
        'disk_full': {'full_disk': kind},
        'disk_slow': {'sync_seconds': SYNC_SECONDS * (event.strength or 30)},
        'disk_stall': {'is_disk_stalled': True},
    }[event.kind]
    player.log(f'{event.kind}: {fault}')

    async def apply(chosen: list) -> None:
        for one in chosen:
            one.set_faults(**fault)
        await anyio.sleep(event.seconds)
        for one in chosen:
            one.set_faults(**dict.fromkeys(fault))

    await player.disturb(on_core(event), apply)


async def kill(player: Player, event: Event) -> None:
    has_power = not event.words & {'power'} and event.kind != 'power_off'
    pause = RESTART_SECONDS if has_power else event.seconds

    async def apply(chosen: list) -> None:
        player.injector.end(chosen, has_power)
        if 'wipe' in event.words and event.on == 'core':
            player.injector.wipe(chosen)
        await player.injector.restart(chosen, pause)

    await player.disturb(event, apply)


async def kill_many(player: Player, event: Event) -> None:
    """Kills many entry VMs, or all control VMs, at once."""
    machines = list(player.deployment.controls)
    if event.on == 'front':
        entries = player.deployment.entries
        share = 0.6 if event.share is None else event.share
        machines = player.rng.sample(entries, round(share * len(entries)))
    has_power = 'power' not in event.words
    began_at = player.record.now()
    player.injector.end(machines, has_power)
    await player.injector.restart(
        machines, RESTART_SECONDS if has_power else event.seconds
    )
    player.disturbed(event.kind, began_at)


async def freeze(player: Player, event: Event) -> None:
    """Freezes VMs; with ``hard``, their steady clocks stand still too."""

    async def apply(chosen: list) -> None:
        await player.begin_race(event)
        for one in chosen:
            one.send(signal.SIGSTOP)
        stopped_at = time.monotonic()
        await player.follow_race(event, chosen)
        is_hard = 'hard' in event.words
        for one in chosen:
            one.resume((time.monotonic() - stopped_at) * is_hard)

    await player.disturb(event, apply)


async def stop_in_turn(player: Player, event: Event) -> None:
    """Stops machines as planned and starts them again, one at a time."""
    machines = (
        player.deployment.controls
        if event.on == 'core'
        else player.deployment.entries
    )
    share = 1.0 if event.share is None else event.share
    chosen = player.rng.sample(machines, round(share * len(machines)))
    for one in chosen:
        began_at = player.record.now()
        await player.injector.stop(one)
        one.start()
        await anyio.sleep(event.gap)
        entry_vm = one.name if one.role == 'entry' else ''
        player.disturbed(event.kind, began_at, entry_vm)


async def reload_settings(player: Player, event: Event) -> None:
    machines = player.deployment.machines
    share = 0.3 if event.share is None else event.share
    for one in player.rng.sample(machines, round(share * len(machines))):
        one.send(signal.SIGHUP)
        await anyio.sleep(event.gap / len(machines))


async def replace_control(player: Player, event: Event) -> None:
    event = on_core(event)

    async def apply(chosen: list) -> None:
        # The successor takes the place of the VM in the list of what counts.
        if 'planned' in event.words:
            await player.injector.replace_as_planned(chosen, 0)
        else:
            pause = 1.0 if event.strength is None else event.strength
            await player.injector.replace(chosen, 0, pause)

    await player.disturb(event, apply)


async def cut_off(player: Player, event: Event) -> None:
    """Cuts VMs off, or halves; ``hard`` keeps operators from them too."""
    event = on_core(event)
    is_hard = 'hard' in event.words
    if 'split' in event.words:
        await player.begin_race(event)
        began_at = player.record.now()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(player.injector.split, event.seconds)
            await player.follow_race(event, player.deployment.controls)
        player.disturbed(event.kind, began_at)
        return

    async def apply(chosen: list) -> None:
        await player.begin_race(event)
        player.operator.unreachable |= set(chosen) if is_hard else set()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                player.injector.cut,
                chosen,
                event.seconds,
                'one_way' in event.words,
            )
            await player.follow_race(event, chosen)
        player.operator.unreachable -= set(chosen)

    await player.disturb(event, apply)


async def lose_packets(player: Player, event: Event) -> None:
    """Loses packets between the VMs of a failure domain and all others."""
    domain = choose_domain(player, event)
    share = 0.03 if event.strength is None else event.strength
    machines = player.deployment.machines
    inner = [one for one in machines if one.domain == domain]
    outer = [one for one in machines if one.domain != domain]
    began_at = player.record.now()
    for group, others in ((inner, outer), (outer, inner)):
        for one in group:
            one.set_faults(lossy_to={other.host: share for other in others})
    await anyio.sleep(event.seconds)
    for one in machines:
        one.set_faults(lossy_to=None)
    player.disturbed(event.kind, began_at)


async def disturb_region(player: Player, event: Event) -> None:
    """Cuts a region off, with ``pair`` from one other, or loses it."""
    regions = player.deployment.layout.regions
    machines = player.deployment.machines
    names = sorted(set(regions.values()))
    player.rng.shuffle(names)
    if event.domain:
        names.sort(key=lambda one: one != regions[event.domain])
    inner, pair = (
        [one for one in machines if regions[one.domain] == name]
        for name in names[:2]
    )
    began_at = player.record.now()
    if event.kind == 'region_loss':
        player.injector.end(inner, has_power=False)
        await player.injector.restart(inner, event.seconds)
    else:
        others = pair if 'pair' in event.words else None
        await player.injector.cut(inner, event.seconds, others=others)
    player.disturbed(event.kind, began_at)


async def step_clocks(player: Player, event: Event) -> None:
    """Steps the time of day on some VMs by ``x`` ms, and back again."""
    machines = player.deployment.machines
    share = 0.3 if event.share is None else event.share
    chosen = player.rng.sample(machines, round(share * len(machines)))
    leader = await player.find_leader()
    if 'leader' in event.words and leader and leader not in chosen:
        chosen.append(leader)
    step = (event.strength or 2000.0) / 1000
    began_at = player.record.now()
    for seconds in (-step if 'back' in event.words else step, 0.0):
        for one in chosen:
            one.stepped_seconds = seconds
            one.set_clocks()
        await anyio.sleep(event.seconds if seconds else 0.0)
    player.disturbed(event.kind, began_at)


async def disturb_servers(player: Player, event: Event) -> None:
    """Has servers fail the share ``x`` of their requests in one way."""
    kind = 'unframed' if 'unframed' in event.words else event.kind
    servers = player.deployment.platform.servers
    chosen = player.rng.sample(servers, event_count(event, servers))
    for one in chosen:
        one.faults[kind] = event.strength or 1.0
    await anyio.sleep(event.seconds)
    for one in chosen:
        one.faults.pop(kind, None)


async def send_more(player: Player, event: Event) -> None:
    factor = event.strength or 2.0
    player.clients.per_second *= factor
    await anyio.sleep(event.seconds)
    player.clients.per_second /= factor


async def leave_early(player: Player, event: Event) -> None:
    """Has clients leave a share of their requests after ``x`` ms."""
    share = 0.3 if event.share is None else event.share
    leaving = share, (event.strength or LEAVE_MS) / 1000
    player.clients.leaving.append(leaving)
    await anyio.sleep(event.seconds)
    player.clients.leaving.remove(leaving)


async def lose_acknowledgements(player: Player, event: Event) -> None:
    player.operator.lost_share = event.strength or 0.5
    await anyio.sleep(event.seconds)
    player.operator.lost_share = 0.0


async def wipe_after_change(player: Player, event: Event) -> None:
    """Wipes the disks of control VMs right after an acknowledged change."""
    words = event.words | {'aimed', 'wipe', 'power'}
    await kill(player, dataclasses.replace(on_core(event), words=words))


# Final faults.


async def lose_disks(player: Player, event: Event) -> None:
    """Loses as many disks as allowed, and may end all other processes."""
    controls = player.deployment.controls
    began_at = player.record.now()
    count = player.deployment.layout.lost_machines
    lost = player.rng.sample(controls, count)
    if 'aimed' in event.words and player.acknowledgers:
        lost = player.acknowledgers[:count]
    machines = lost
    if 'all' in event.words or player.rng.random() < 0.5:
        machines = player.deployment.machines
    player.log(
        f'final fault: {len(machines)} lose power, lost disks'
        f' {[one.name for one in lost]}'
    )
    player.injector.end(machines, has_power=False)
    player.injector.wipe(lost)
    await player.injector.restart(machines, event.seconds)
    settle = fault_schedules.SETTLE_SECONDS
    player.record.disturbances.append(
        records.Disturbance(event.kind, began_at, player.record.now() + settle)
    )


async def end_everything(player: Player, event: Event) -> None:
    began_at = player.record.now()
    player.injector.end(player.deployment.machines, event.kind == 'kill_all')
    await player.injector.restart(player.deployment.machines, event.seconds)
    player.disturbed(event.kind, began_at)


GARBLE_WORDS = frozenset({'extra', 'unframed'})
RACE_WORDS = frozenset({'hard', 'race'})
AIMED_WORDS = frozenset({'aimed', 'synced'})
NO_WORDS: frozenset[str] = frozenset()
# What a change of the configuration changes is not played: each version adds
# and drops routes.
CHANGE_WORDS = frozenset(
    {'down', 'idle', 'quota', 'route', 'tenant', 'timeout', 'weights'}
)
KINDS: dict[str, tuple] = {
    'config_change': (change_configuration, CHANGE_WORDS),
    'config_storm': (change_repeatedly, CHANGE_WORDS),
    'config_race': (change_repeatedly, NO_WORDS),
    'big_config': (change_configuration, NO_WORDS),
    'burst': (send_more, NO_WORDS),
    'bad_config': (send_invalid, frozenset({'old_version', 'same_version'})),
    'revoke': (revoke_keys, NO_WORDS),
    'evacuate': (evacuate, frozenset({'warm'})),
    'disk_full': (fail_disks, TARGET_WORDS),
    'disk_slow': (fail_disks, TARGET_WORDS),
    'disk_stall': (fail_disks, TARGET_WORDS),
    'node_kill': (kill, TARGET_WORDS | {'power', 'wipe'}),
    'power_off': (kill, TARGET_WORDS | {'wipe'}),
    'power_off_all': (end_everything, NO_WORDS),
    'herd_kill': (kill_many, frozenset({'power'})),
    'node_freeze': (freeze, TARGET_WORDS | RACE_WORDS),
    'roll_term': (stop_in_turn, NO_WORDS),
    'hup': (reload_settings, NO_WORDS),
    'replace_core': (replace_control, TARGET_WORDS | {'planned'}),
    'core_cut': (cut_off, TARGET_WORDS | RACE_WORDS | {'one_way', 'split'}),
    'lossy': (lose_packets, NO_WORDS),
    'region_cut': (disturb_region, frozenset({'pair'})),
    'region_loss': (disturb_region, NO_WORDS),
    'clock_step': (step_clocks, frozenset({'leader', 'back'})),
    'srv_crash': (disturb_servers, NO_WORDS),
    'srv_grey': (disturb_servers, frozenset({'all', 'errors'})),
    'answer_lost': (disturb_servers, frozenset({'reset'})),
    'garble': (disturb_servers, GARBLE_WORDS),
    'give_up': (leave_early, NO_WORDS),
    'ack_lost': (lose_acknowledgements, NO_WORDS),
    'after_ack_wipe': (wipe_after_change, TARGET_WORDS | AIMED_WORDS),
}
CLOSINGS: dict[str, tuple] = {
    'wipe_after_ack': (lose_disks, AIMED_WORDS | {'all'}),
    'power_off_all': (end_everything, NO_WORDS),
    'kill_all': (end_everything, NO_WORDS),
}
