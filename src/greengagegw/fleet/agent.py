"""Polls control VMs from an entry VM, and keeps the state they send."""

import collections.abc
import dataclasses
import random
import time
import typing

import anyio
import eliot

from .. import errors
from .. import held_requests
from .. import supervision
from .. import timers as timer_service
from . import configuration as configurations
from . import instances as instance_list
from . import loads
from . import members
from . import origin_history
from . import poll_reply
from ..ports import peers
from . import quota
from . import retry_records
from . import server_notices
from . import timing


Decode = collections.abc.Callable[[bytes], configurations.Configuration]


def boot_seconds() -> float:
    """Returns seconds since boot, including time when the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FleetView:
    """An entry VM's view of its deployment.

    :ivar changes: number of effective commands in the control group's state
        that the view reflects.
    :ivar evacuations_applied_at: timer seconds when the last reply whose
        evacuations are in force arrived.
    :ivar orders: index of the last order, by failure domain.
    :ivar newest_order: the highest of them.
    :ivar retained_domains: failure domains whose evacuation the control group
        has lost, with the index of their last order at that time.
    :ivar hold_changes: number of commands that ``holds`` reflects.
    :ivar holds: requests that are held back.
    :ivar asked_holds: IDs of the holds that have rejected requests since the
        leader was told.
    :ivar history: what may have begun a stream; None if it is not known.
    :ivar past_retries: retries before this VM started; None if not known.
    :ivar notices: what servers asked for before it started; None if that is
        not known, or was applied.
    :ivar lease_expires_at: boot clock seconds until which keys may be
        accepted.
    :ivar instance_list_read_at: timer seconds when the instance list was
        read from the platform.
    :ivar loads: loads of backend servers by region and service.
    :ivar loads_requested_at: timer seconds when the loads were requested.
    :ivar update_callbacks: called after each reply that was applied.
    :ivar usable_by_region: usable entry VMs among ``filtered_entry_vms``.
    """

    def __init__(self) -> None:
        self.configuration: configurations.Configuration | None = None
        self.changes = -1
        self.evacuated_domains: frozenset[str] = frozenset()
        self.evacuations_applied_at = -1e9
        self.orders: dict[str, int] = {}
        self.newest_order = -1
        self.retained_domains: dict[str, int] = {}
        self.hold_changes = -1
        self.holds = held_requests.HoldIndex()
        self.asked_holds: set[str] = set()
        self.history: origin_history.OriginHistory | None = None
        self.past_retries: retry_records.PastRetries | None = None
        self.notices: server_notices.ServerNotices | None = None
        self.lease_expires_at = 0.0
        self.instances: dict[str, instance_list.Instance] = {}
        self.instance_list_digest = 0
        self.instance_list_read_at = -1e9
        self.entry_vms: tuple[members.EntryVm, ...] = ()
        self.entry_vms_digest = 0
        self.control_vms: tuple[str, ...] = ()
        self.leader: str | None = None
        self.loads: dict[str, dict[str, loads.RegionLoad]] = {}
        self.loads_requested_at = -1e9
        self.update_callbacks: list[collections.abc.Callable[[], None]] = []
        self.usable_by_region: dict[str, list[members.EntryVm]] = {}
        self.filtered_entry_vms: tuple[members.EntryVm, ...] = ()

    @property
    def version(self) -> int:
        return -1 if self.configuration is None else self.configuration.version

    def usable_entry_vms(self, region: str) -> list[members.EntryVm]:
        """Returns the entry VMs of a region that may run requests.

        They are computed once for each list of entry VMs, which is replaced
        as a whole when it changes.
        """
        if self.filtered_entry_vms is not self.entry_vms:
            self.filtered_entry_vms = self.entry_vms
            self.usable_by_region.clear()
        usable = self.usable_by_region.get(region)
        if usable is None:
            usable = self.usable_by_region[region] = members.usable(
                [one for one in self.entry_vms if one.region == region]
            )
        return usable


class Agent:
    """Polls one control VM, and sends heartbeats to all others.

    :param seeds: returns the control VMs to contact first; called for each
        poll, since reloaded settings may name others.
    :param describe: returns this VM and its region's loads by service.
    :param lease_seconds: how long keys may be accepted after the request of
        a poll whose reply was confirmed.
    :ivar capacity: returns the size and overload of this VM.
    :ivar report_notices: returns what servers asked for.
    :ivar report_retries: returns the retries of this VM for control VMs.
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
        decode: Decode,
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
        self.was_connected = False
        self.announced: members.EntryVm | None = None
        self.heartbeat_sent_at = -1e9
        self.quota_client = quota.QuotaClient(
            timers, self.request_grants, self.fair_rate
        )
        self.tasks: anyio.abc.TaskGroup | None = None
        self.capacity: collections.abc.Callable[[], members.Capacity] = (
            members.Capacity
        )
        self.report_notices: collections.abc.Callable[[], list | None] = (
            lambda: None
        )
        self.report_retries: collections.abc.Callable[[], list | None] = (
            lambda: None
        )
        self.is_report_due = anyio.Event()

    @property
    def has_lease(self) -> bool:
        """Whether keys may be accepted, so that revocations apply in time."""
        return self.boot_clock() < self.view.lease_expires_at

    async def run(self) -> None:
        """Runs until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for name, function in (
                ('quotas', self.quota_client.run),
                ('polls', self.poll_periodically),
                ('retries', self.send_retries),
            ):
                tasks.start_soon(
                    supervision.run_supervised, self.timers, name, function
                )

    async def poll_periodically(self) -> None:
        while True:
            started_at = self.timers.now()
            await self.poll()
            elapsed = self.timers.now() - started_at
            await self.timers.sleep(timing.POLL_INTERVAL_SECONDS - elapsed)

    def report_retries_soon(self) -> None:
        self.is_report_due.set()

    async def send_retries(self) -> None:
        """Reports retries between polls, which may come too late."""
        while True:
            await self.is_report_due.wait()
            self.is_report_due = anyio.Event()
            report = self.report_retries()
            # Control VMs of an earlier release accept no reports, and send
            # no record.
            if self.view.past_retries is not None:
                for vm in self.known_control_vms():
                    self.mesh.post(vm, 'fleet.retries', [report])
            await self.timers.sleep(timing.RETRY_REPORT_INTERVAL_SECONDS)

    def known_control_vms(self) -> list[str]:
        """Returns the known control VMs, the preferred one first."""
        known = list(dict.fromkeys([*self.view.control_vms, *self.seeds()]))
        if self.preferred_control_vm in known:
            known.remove(self.preferred_control_vm)
            known.insert(0, self.preferred_control_vm)
        return known

    async def poll(self) -> None:
        """Polls the preferred control VM, or all if it does not confirm."""
        known = self.known_control_vms()
        if not known:
            return
        entry, by_service = self.describe()
        packed_loads = {name: one.pack() for name, one in by_service.items()}
        # The capacity is not a part of the packed VM, of which an earlier
        # release expects exactly five values.
        capacity = self.capacity().pack()
        retries = self.report_retries()
        notices = self.report_notices()
        message = [
            entry.pack(),
            packed_loads,
            self.held_versions(),
            capacity,
            retries,
            notices,
        ]
        if self.preferred_control_vm is not None:
            now = self.timers.now()
            # Without a change, the other control VMs need a heartbeat only
            # once an interval.
            is_due = (
                now - self.heartbeat_sent_at
                >= timing.HEARTBEAT_INTERVAL_SECONDS
            )
            if is_due or entry != self.announced:
                self.announced, self.heartbeat_sent_at = entry, now
                for vm in known[1:]:
                    self.mesh.post(
                        vm,
                        'fleet.beat',
                        [*message[:2], None, *message[3:]],
                    )
            if await self.poll_control_vm(known[0], message):
                return
        self.preferred_control_vm = None
        await self.poll_all(known, message)
        is_connected = self.preferred_control_vm is not None
        if is_connected != self.was_connected:
            self.was_connected = is_connected
            eliot.log_message(
                'control:regained' if is_connected else 'control:lost',
                control=self.preferred_control_vm,
                version=self.view.version,
            )

    async def poll_all(self, known: list[str], message: list) -> None:
        confirmed = anyio.Event()

        async def poll_and_prefer(vm: str) -> None:
            if (
                await self.poll_control_vm(vm, message)
                and self.preferred_control_vm is None
            ):
                self.preferred_control_vm = vm
                confirmed.set()

        async with anyio.create_task_group() as tasks:
            for vm in known:
                tasks.start_soon(poll_and_prefer, vm)
            with self.timers.move_on_after(timing.POLL_TIMEOUT_SECONDS):
                await confirmed.wait()
                tasks.cancel_scope.cancel()

    def held_versions(self) -> dict:
        return {
            'version': self.view.version,
            'list_digest': self.view.instance_list_digest,
            'entries_digest': self.view.entry_vms_digest,
            'hold_changes': self.view.hold_changes,
            'newest_order': self.view.newest_order,
            'history': (
                -1 if self.view.history is None else self.view.history.number
            ),
            'needs_retries': self.view.past_retries is None,
        }

    async def poll_control_vm(self, vm: str, message: list) -> bool:
        """Polls a control VM, and returns whether it confirmed its reply."""
        requested_at = self.timers.now()
        boot_requested_at = self.boot_clock()
        try:
            reply = await self.mesh.call(
                vm, 'fleet.poll', message, timing.POLL_TIMEOUT_SECONDS
            )
        except errors.GatewayError as error:
            eliot.log_message('poll:failed', vm=vm, code=error.code)
            return False
        try:
            decoded = poll_reply.decode(reply, self.view.version, self.decode)
        except errors.GatewayError as error:
            eliot.log_message(
                'poll:bad_reply', vm=vm, code=error.code, reason=error.message
            )
            self.apply_evacuations_alone(vm, reply, requested_at)
            return False
        self.apply_reply(decoded, requested_at)
        is_current = self.view.version >= decoded.version
        if decoded.is_confirmed and is_current:
            expires_at = boot_requested_at + self.lease_seconds
            self.view.lease_expires_at = max(
                self.view.lease_expires_at, expires_at
            )
        return decoded.is_confirmed

    def apply_evacuations_alone(
        self, vm: str, reply: typing.Any, requested_at: float
    ) -> None:
        """Applies the evacuations of a reply that is malformed otherwise.

        What another VM or a newer document has put into each reply must not
        keep evacuations out.
        """
        try:
            decoded = poll_reply.decode_evacuations(reply)
        except errors.GatewayError as error:
            eliot.log_message(
                'poll:bad_evacuations',
                vm=vm,
                code=error.code,
                reason=error.message,
            )
            return
        # A VM without a configuration serves nothing.
        is_usable = decoded.is_confirmed or decoded.is_caught_up
        if self.view.configuration is not None and is_usable:
            self.apply_evacuations(decoded, requested_at)
            for callback in self.view.update_callbacks:
                callback()

    def apply_reply(
        self, reply: poll_reply.PollReply, requested_at: float
    ) -> None:
        """Updates the view from a reply, without yielding to other tasks."""
        view = self.view
        if reply.is_confirmed or reply.is_caught_up:
            self.apply_state(reply, requested_at)
        else:
            eliot.log_message(
                'poll:state_not_used',
                version=reply.version,
                changes=reply.changes,
                reason=(
                    'the control VM has just started and lacks what its group'
                    ' has committed since its last snapshot'
                ),
            )
        if view.past_retries is None:
            if reply.past_retries is not None:
                view.past_retries = dataclasses.replace(
                    reply.past_retries, received_at=self.timers.now()
                )
            view.notices = reply.notices
        self.apply_instance_list(reply, requested_at)
        if reply.entry_vms is not None:
            view.entry_vms = reply.entry_vms
            view.entry_vms_digest = reply.entry_vms_digest
        if reply.is_confirmed or not view.control_vms:
            view.control_vms = reply.control_vms or view.control_vms
            view.leader = reply.leader
        view.loads = reply.loads
        view.loads_requested_at = requested_at
        for callback in view.update_callbacks:
            callback()

    def apply_state(
        self, reply: poll_reply.PollReply, requested_at: float
    ) -> None:
        """Updates what the control group replicates."""
        view = self.view
        configuration = reply.configuration
        if configuration is not None and configuration.version > view.version:
            view.configuration = configuration
            self.quota_client.register(
                one.name
                for one in configuration.organisations.values()
                if one.is_limited
            )
            eliot.log_message('configuration:in_force', version=view.version)
        self.apply_evacuations(reply, requested_at)
        self.apply_holds(reply)
        if reply.history is not None and (
            view.history is None or reply.history.number > view.history.number
        ):
            view.history = reply.history

    def apply_evacuations(
        self, reply: poll_reply.PollReply, requested_at: float
    ) -> None:
        """Updates the evacuations from a reply that is not older.

        The state of a confirmed reply is at least as new as that of any reply
        which arrived before it was requested. If it reflects fewer changes
        nevertheless, the group has lost some. The evacuations in force are
        kept then until the operator's next order on their failure domains.
        """
        view = self.view
        is_later = (
            reply.is_confirmed and requested_at >= view.evacuations_applied_at
        )
        is_newer = (
            reply.changes >= view.changes
            if reply.is_confirmed
            else reply.changes > view.changes
        )
        if not is_later and not is_newer:
            return
        orders = view.orders if reply.orders is None else reply.orders
        for domain, index in list(view.retained_domains.items()):
            if orders.get(domain, 0) != index:
                del view.retained_domains[domain]
        if reply.changes < view.changes:
            lost = view.evacuated_domains - reply.evacuated_domains
            view.retained_domains |= {
                domain: orders.get(domain, 0) for domain in lost
            }
            eliot.log_message(
                'evacuation:group_went_back',
                changes=reply.changes,
                before=view.changes,
                retained=sorted(lost),
            )
        view.evacuations_applied_at = self.timers.now()
        view.changes = reply.changes
        view.orders = orders
        view.newest_order = reply.newest_order
        domains = reply.evacuated_domains.union(view.retained_domains)
        if domains != view.evacuated_domains:
            eliot.log_message(
                'evacuation:in_force',
                domains=sorted(domains),
                before=sorted(view.evacuated_domains),
                retained=sorted(view.retained_domains),
                changes=reply.changes,
                confirmed=reply.is_confirmed,
            )
        view.evacuated_domains = domains

    def apply_holds(self, reply: poll_reply.PollReply) -> None:
        view = self.view
        if reply.holds is None or reply.hold_changes < view.hold_changes:
            return
        before = {one.hold_id for one in view.holds.holds}
        after = {one.hold_id for one in reply.holds}
        view.hold_changes = reply.hold_changes
        view.holds = held_requests.HoldIndex(reply.holds)
        if before != after:
            eliot.log_message(
                'hold:in_force',
                held=sorted(after - before),
                lifted=sorted(before - after),
                count=len(after),
            )

    def apply_instance_list(
        self, reply: poll_reply.PollReply, requested_at: float
    ) -> None:
        view = self.view
        read_at = requested_at - reply.list_age
        if read_at < view.instance_list_read_at:
            return
        if reply.instances is not None:
            view.instances = reply.instances
            view.instance_list_digest = reply.list_digest
            view.instance_list_read_at = read_at
        elif reply.list_digest == view.instance_list_digest:
            view.instance_list_read_at = read_at

    def fair_rate(self, name: str) -> float:
        """Returns an equal share, per entry VM, of an organisation's rate."""
        configuration = self.view.configuration
        if configuration is None:
            return 0.0
        organisation = configuration.organisations.get(name)
        if organisation is None:
            return 0.0
        return organisation.rate / max(1, len(self.view.entry_vms))

    async def request_grants(
        self, wanted: dict[str, list], returned: list[list]
    ) -> tuple[int, dict[str, typing.Any]]:
        """Requests grants of tokens from the leader.

        :param wanted: minimum and maximum tokens by organisation.
        :param returned: usage reports for earlier grants.
        :returns: the leader's epoch, and grants by organisation.
        :raises NotLeaderError: if no leader is known.
        """
        if self.view.leader is None:
            raise errors.NotLeaderError('no leader of the control group', None)
        return await self.mesh.call(
            self.view.leader,
            'fleet.take',
            [wanted, returned],
            timing.GRANT_REQUEST_TIMEOUT_SECONDS,
        )
