"""Keeps the history of origins current on one control VM.

The leader writes what is new in the instance list or the configuration. A
snapshot that an earlier release wrote has no history, or one that is out of
date, so a new leader first asks the other control VMs for theirs, and the
others compare theirs with the leader's before they send it to entry VMs.
"""

import dataclasses
import typing

import anyio
import eliot

from .. import errors
from .. import timers as timer_service
from . import configuration as configurations
from . import instances as instance_list
from . import origin_history
from ..ports import peers
from ..replication import replica as replicas
from . import store as stores
from . import timing

HISTORY_METHOD = 'fleet.origin_history'
# Shorter than a poll of an entry VM, so that a new version is recorded before
# many VMs have it in their list.
INTERVAL_SECONDS = 0.1
# At which a control VM compares its history again after it differed.
COMPARISON_INTERVAL_SECONDS = 1.0


class ControlState(typing.Protocol):
    """The part of a control VM that its history is made of."""

    @property
    def configuration(self) -> configurations.Configuration | None:
        """The newest configuration that this replica has applied."""

    @property
    def listed_instances(self) -> list[instance_list.Instance]:
        """The backend servers of the newest instance list."""

    @property
    def list_read_at(self) -> float:
        """Timer seconds at which the newest instance list was requested."""

    async def submit(self, command: bytes) -> list:
        """Returns the outcome of a command once it is committed."""

    async def wait_until_current(self) -> None:
        """Waits until all commands committed before the call are applied."""


class HistoryKeeper:
    """Writes the history on the leader, and compares it on the others.

    :ivar led_term: term in which this VM has asked the others as the leader.
    :ivar led_since: timer seconds at which it began to write in that term.
    :ivar recorded_list_at: timer seconds of the last list that it recorded.
    :ivar recorded_term: term in which this VM has written, as the leader,
        what its instance list and configuration show.
    :ivar is_compared: whether the history is known to be that of the group.
    :ivar must_rewrite: whether another control VM lacks the history.
    """

    def __init__(
        self,
        vm: str,
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
        replica: replicas.Replica,
        store: stores.Store,
        control: ControlState,
    ) -> None:
        self.vm = vm
        self.timers = timers
        self.mesh = mesh
        self.replica = replica
        self.store = store
        self.control = control
        self.recorder = origin_history.HistoryRecorder()
        self.led_term: int | None = None
        self.led_since = 0.0
        self.recorded_list_at: float | None = None
        self.recorded_term: int | None = None
        self.lead_lock = anyio.Lock()
        self.is_compared = False
        self.must_rewrite = False
        self.newest_number = -1
        self.compare_at = 0.0

    def handlers(self) -> dict[str, peers.Handler]:
        return {
            HISTORY_METHOD: self.on_history,
            origin_history.CURRENT_METHOD: self.on_current_history,
        }

    @property
    def current_history(self) -> origin_history.OriginHistory | None:
        """The history of the group, None if this VM may not have it."""
        history = self.store.history
        if not self.is_compared or history is None:
            return None
        if history.number < self.newest_number:
            # A snapshot of an earlier release has replaced it.
            self.is_compared = False
            return None
        self.newest_number = history.number
        return history

    async def on_history(self, peer: str, message: typing.Any) -> list | None:
        """Returns this VM's history.

        :param message: number of the sender's history.
        """
        history = self.store.history
        if history is None:
            return None
        if self.replica.is_leader and message != history.number:
            self.must_rewrite = True
        return history.pack()

    async def on_current_history(
        self, peer: str, message: typing.Any
    ) -> list | None:
        """Returns the history of the group, None if this VM does not lead.

        It has all that was committed before the call, and all that the list
        of this VM shows, since a version may serve streams shortly before it
        is recorded. Other VMs, and a new leader that has not read the list
        yet, may not know versions that served streams while nobody led.

        :raises ReplicationError: if no majority confirms it.
        """
        term = self.replica.term
        if not self.replica.is_leader:
            return None
        await self.control.wait_until_current()
        if (
            self.replica.is_leader
            and self.replica.is_caught_up
            and self.control.list_read_at != self.recorded_list_at
        ):
            await self.lead()
        history = self.store.history
        is_current = (
            self.replica.is_leader
            and self.replica.term == term == self.recorded_term
        )
        return history.pack() if is_current and history is not None else None

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await self.timers.sleep(INTERVAL_SECONDS)
            try:
                await self.update()
            except errors.GatewayError as error:
                eliot.log_message(
                    'origin_history:not_updated',
                    code=error.code,
                    reason=error.message,
                )

    async def update(self) -> None:
        """Writes what has changed, or compares the history once.

        :raises GatewayError: if it could not be written or compared.
        """
        replica = self.replica
        if self.store.history is None:
            self.is_compared = False
        if replica.is_leader:
            if replica.is_caught_up:
                await self.lead()
            return
        self.recorder.reset()
        self.led_term = self.recorded_term = None
        now = self.timers.now()
        if not self.is_compared and now >= self.compare_at:
            self.compare_at = now + COMPARISON_INTERVAL_SECONDS
            await self.compare()

    async def lead(self) -> None:
        """Writes what has changed, as the leader.

        :raises GatewayError: if it could not be written.
        """
        async with self.lead_lock:
            await self.record_changes()

    async def record_changes(self) -> None:
        if not self.replica.is_leader:
            return
        recorded = self.store.history
        if self.led_term != self.replica.term:
            term = self.replica.term
            newest = await self.ask_others()
            if newest is not None and (
                recorded is None or newest.number > recorded.number
            ):
                recorded = newest
                self.must_rewrite = True
            if self.replica.term != term or not self.replica.is_leader:
                return
            self.recorder.reset()
            self.led_term = term
            self.led_since = self.timers.now()
        # Each history takes an entry of the log, so its number is at most the
        # index of that entry, and that of a later leader is greater.
        number = self.replica.applied_index + 1
        list_read_at = self.control.list_read_at
        history = self.recorder.update(
            recorded,
            self.control.listed_instances,
            self.control.configuration,
            number,
            self.timers.now(),
        )
        if history is None and self.must_rewrite and recorded is not None:
            history = dataclasses.replace(recorded, number=number)
        if history is not None:
            self.must_rewrite = False
            await self.control.submit(stores.history_command(history))
            eliot.log_message(
                'origin_history:written',
                number=number,
                is_complete=history.is_complete,
                versions=sorted(history.version_entries),
            )
        self.is_compared = True
        is_leading = (
            self.replica.is_leader and self.replica.term == self.led_term
        )
        self.recorded_list_at = list_read_at
        if is_leading and list_read_at >= self.led_since:
            self.recorded_term = self.led_term

    async def ask_others(self) -> origin_history.OriginHistory | None:
        """Returns the newest history of the other control VMs."""
        found: list[origin_history.OriginHistory] = []

        async def ask(vm: str) -> None:
            try:
                history = await self.ask(vm)
                if history is not None:
                    found.append(history)
            except errors.GatewayError as error:
                eliot.log_message(
                    'origin_history:not_asked', vm=vm, code=error.code
                )

        async with anyio.create_task_group() as tasks:
            for member in self.replica.members.members:
                if member.vm != self.vm:
                    tasks.start_soon(ask, member.vm)
        return max(found, key=lambda one: one.number, default=None)

    async def compare(self) -> None:
        """Compares the history with the leader's, which may write it again.

        :raises GatewayError: if the leader does not reply.
        """
        leader = self.replica.leader
        if leader is None:
            return
        await self.control.wait_until_current()
        history = await self.ask(leader)
        own = self.store.history
        self.is_compared = (
            history is not None
            and own is not None
            and own.number >= history.number
        )

    async def ask(self, vm: str) -> origin_history.OriginHistory | None:
        own = self.store.history
        reply = await self.mesh.call(
            vm,
            HISTORY_METHOD,
            None if own is None else own.number,
            timing.CONTROL_CALL_TIMEOUT_SECONDS,
        )
        try:
            return origin_history.unpack_if_present(reply)
        except (TypeError, ValueError) as error:
            raise errors.PeerProtocolError(
                f'{vm} sent a malformed history of origins'
            ) from error
