"""An entry VM's link to the control VMs, and what it learns from them."""

import collections.abc
import random
import time
import typing
import zlib

import anyio
import eliot

from .. import errors
from .. import timers as timer_service
from . import configuration as configurations
from . import instances as instance_list
from . import loads
from . import members
from ..ports import peers
from . import quota
from . import timing


def boot_seconds() -> float:
    """Returns a clock that counts the time in which the VM was frozen."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FleetView:
    """What an entry VM believes of its deployment.

    :ivar lease_until: boot seconds until which keys may be accepted.
    :ivar list_read_at: timer seconds when the instance list was read.
    :ivar loads: of backend servers, by region and service.
    :ivar loads_at: timer seconds when they were asked for.
    """

    def __init__(self) -> None:
        self.configuration: configurations.Configuration | None = None
        self.changes = -1
        self.evacuated_domains: frozenset[str] = frozenset()
        self.lease_expires_at = 0.0
        self.instances: dict[str, instance_list.Instance] = {}
        self.list_digest = 0
        self.instance_list_read_at = -1e9
        self.entry_vms: tuple[members.EntryVm, ...] = ()
        self.entry_vms_digest = 0
        self.control_vms: tuple[str, ...] = ()
        self.leader: str | None = None
        self.loads: dict[str, dict[str, loads.RegionLoad]] = {}
        self.loads_requested_at = -1e9
        self.update_callbacks: list[collections.abc.Callable[[], None]] = []

    @property
    def version(self) -> int:
        return -1 if self.configuration is None else self.configuration.version

    def usable_entry_vms(self, region: str) -> list[members.EntryVm]:
        return members.usable(
            [one for one in self.entry_vms if one.region == region]
        )


class Agent:
    """Polls a control VM, and shows signs of life to all of them.

    :param seeds: control VMs to begin with; called for each poll, since
        the settings may name others later.
    :param describe: returns this VM and its region's loads by service.
    :param lease_seconds: how long a confirmed answer lets keys be accepted,
        counted from when it was asked for.
    """

    def __init__(
        self,
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
        view: FleetView,
        seeds: collections.abc.Callable[[], tuple[str, ...]],
        describe: collections.abc.Callable[
            [], tuple[members.EntryVm, dict[str, loads.RegionLoad]]
        ],
        decode: collections.abc.Callable[
            [bytes], configurations.Configuration
        ],
        lease_seconds: float,
        rng: random.Random,
        boot_clock: collections.abc.Callable[[], float] = boot_seconds,
    ) -> None:
        self.timers = timers
        self.mesh = mesh
        self.view = view
        self.seeds = seeds
        self.describe = describe
        self.decode = decode
        self.lease_seconds = lease_seconds
        self.rng = rng
        self.boot_clock = boot_clock
        self.preferred_control_vm: str | None = None
        self.was_in_touch = False
        self.told: members.EntryVm | None = None
        self.beat_at = -1e9
        self.quota_client = quota.QuotaClient(
            timers, self.take_tokens, self.fair_share
        )
        self.tasks: anyio.abc.TaskGroup | None = None

    @property
    def has_lease(self) -> bool:
        """Whether no key can have been revoked too long ago."""
        return self.boot_clock() < self.view.lease_expires_at

    async def run(self) -> None:
        """Runs until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.quota_client.run)
            while True:
                began_at = self.timers.now()
                await self.poll()
                took = self.timers.now() - began_at
                await self.timers.sleep(timing.POLL_INTERVAL_SECONDS - took)

    def known_controls(self) -> list[str]:
        """Returns the control VMs, the nearest that answered first."""
        known = list(dict.fromkeys([*self.view.control_vms, *self.seeds()]))
        if self.preferred_control_vm in known:
            known.remove(self.preferred_control_vm)
            known.insert(0, self.preferred_control_vm)
        return known

    async def poll(self) -> None:
        """Asks the preferred control VM, or all when it does not confirm."""
        known = self.known_controls()
        if not known:
            return
        entry, by_service = self.describe()
        packed = {name: one.pack() for name, one in by_service.items()}
        message = [entry.pack(), packed, self.held()]
        if self.preferred_control_vm is not None:
            now = self.timers.now()
            # The others need not know more often that all is as it was.
            is_due = now - self.beat_at >= timing.HEARTBEAT_INTERVAL_SECONDS
            if is_due or entry != self.told:
                self.told, self.beat_at = entry, now
                for vm in known[1:]:
                    self.tasks.start_soon(self.beat, vm, message[:2])
            if await self.poll_one(known[0], message):
                return
        self.preferred_control_vm = None
        await self.poll_all(known, message)
        is_in_touch = self.preferred_control_vm is not None
        if is_in_touch != self.was_in_touch:
            self.was_in_touch = is_in_touch
            eliot.log_message(
                'control:regained' if is_in_touch else 'control:lost',
                control=self.preferred_control_vm,
                version=self.view.version,
            )

    async def poll_all(self, known: list[str], message: list) -> None:
        answered = anyio.Event()

        async def try_one(vm: str) -> None:
            if (
                await self.poll_one(vm, message)
                and self.preferred_control_vm is None
            ):
                self.preferred_control_vm = vm
                answered.set()

        async with anyio.create_task_group() as tasks:
            for vm in known:
                tasks.start_soon(try_one, vm)
            with self.timers.limit(timing.POLL_TIMEOUT_SECONDS):
                await answered.wait()
                tasks.cancel_scope.cancel()

    async def beat(self, vm: str, message: list) -> None:
        try:
            with self.timers.limit(timing.POLL_TIMEOUT_SECONDS):
                await self.mesh.notify(vm, 'fleet.beat', message)
        except errors.GatewayError as error:
            eliot.log_message('beat:failed', vm=vm, code=error.code)

    def held(self) -> dict:
        return {
            'version': self.view.version,
            'list_digest': self.view.list_digest,
            'entries_digest': self.view.entry_vms_digest,
        }

    async def poll_one(self, vm: str, message: list) -> bool:
        """Asks one control VM, and returns whether it could confirm."""
        asked_at = self.timers.now()
        boot_asked_at = self.boot_clock()
        try:
            reply = await self.mesh.call(
                vm, 'fleet.poll', message, timing.POLL_TIMEOUT_SECONDS
            )
        except errors.GatewayError as error:
            eliot.log_message('poll:failed', vm=vm, code=error.code)
            return False
        try:
            self.take_in(reply, asked_at)
        except errors.GatewayError as error:
            eliot.log_message(
                'poll:bad_reply', vm=vm, code=error.code, reason=error.message
            )
            return False
        is_current = self.view.version >= reply['version']
        if reply['is_confirmed'] and is_current:
            until = boot_asked_at + self.lease_seconds
            self.view.lease_expires_at = max(self.view.lease_expires_at, until)
        return reply['is_confirmed']

    def take_in(self, reply: dict, asked_at: float) -> None:
        """Brings the view up to date, in one step."""
        view = self.view
        document = reply.get('document')
        if document is not None and reply['version'] > view.version:
            view.configuration = self.decode(zlib.decompress(document))
            self.quota_client.register(
                one.name
                for one in view.configuration.organisations.values()
                if one.is_limited
            )
            eliot.log_message('configuration:in_force', version=view.version)
        if reply['changes'] >= view.changes:
            view.changes = reply['changes']
            evacuated = frozenset(reply['evacuated'])
            if evacuated != view.evacuated_domains:
                eliot.log_message(
                    'evacuation:in_force', domains=reply['evacuated']
                )
            view.evacuated_domains = evacuated
        self.take_in_list(reply, asked_at)
        if 'entries' in reply:
            view.entry_vms = tuple(
                members.EntryVm.unpack(one) for one in reply['entries']
            )
            view.entry_vms_digest = reply['entries_digest']
        if reply['is_confirmed'] or not view.control_vms:
            view.control_vms = tuple(reply['controls']) or view.control_vms
            view.leader = reply['leader']
        view.loads = {
            region: loads.unpack(one) for region, one in reply['loads'].items()
        }
        view.loads_requested_at = asked_at
        for notify in view.update_callbacks:
            notify()

    def take_in_list(self, reply: dict, asked_at: float) -> None:
        view = self.view
        read_at = asked_at - reply['list_age']
        if read_at < view.instance_list_read_at:
            return
        if 'instances' in reply:
            view.instances = {
                one[0]: instance_list.Instance.unpack(one)
                for one in reply['instances']
            }
            view.list_digest = reply['list_digest']
            view.instance_list_read_at = read_at
        elif reply['list_digest'] == view.list_digest:
            view.instance_list_read_at = read_at

    def fair_share(self, name: str) -> float:
        """Returns an organisation's rate over the number of entry VMs."""
        configuration = self.view.configuration
        if configuration is None:
            return 0.0
        organisation = configuration.organisations.get(name)
        if organisation is None:
            return 0.0
        return organisation.rate / max(1, len(self.view.entry_vms))

    async def take_tokens(
        self, wanted: dict[str, list], returned: list[list]
    ) -> tuple[int, dict[str, typing.Any]]:
        """Asks the leader for tokens.

        :raises ReplicationError: if no leader is known.
        """
        if self.view.leader is None:
            raise errors.NotLeaderError('no leader', None)
        epoch, granted = await self.mesh.call(
            self.view.leader,
            'fleet.take',
            [wanted, returned],
            timing.GRANT_REQUEST_TIMEOUT_SECONDS,
        )
        return epoch, granted
