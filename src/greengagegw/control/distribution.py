"""Distribution of the configuration to all VMs by list and watch.

A VM lists the whole configuration and then watches for changes after the
listed revision. If these changes are no longer kept, it lists again. This
is the Reflector pattern of Kubernetes' client-go. In each region, one VM (the
relay) watches a control replica and the others watch the relay, so that each
change crosses a slow link between regions once.
"""

import collections.abc
import contextlib
import typing

import anyio
import anyio.abc
import eliot
import msgpack

from .. import errors
from .. import settings as settings_module
from .. import timers as timer_service
from ..ports import peers
from . import state
from . import view as views

WATCH_TIMEOUT_SECONDS = 10.0
RETRY_DELAY_SECONDS = 0.3
LIST_CHUNK_BYTES = 64 * 1024
# A VM that has just started accepts a configuration that may be outdated
# only after it has looked for an up-to-date control replica this long.
UP_TO_DATE_SOURCE_WAIT_SECONDS = 3.0
FLOOD_TARGETS_PER_REGION = 2
FLOOD_CALL_TIMEOUT_SECONDS = 2.0


class Distribution:
    """Keeps the view of one VM up to date and serves watches of other VMs.

    :param is_alive: returns whether a VM is believed to be alive.
    :param has_current_replica: returns whether a control replica on this VM
        is up to date with its leader and so keeps the view up to date.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        view: views.ConfigurationView,
        mesh: peers.PeerPort,
        timers: timer_service.Timers,
        is_alive: collections.abc.Callable[[str], bool],
        has_current_replica: collections.abc.Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.view = view
        self.mesh = mesh
        self.timers = timers
        self.is_alive = is_alive
        self.started_at = timers.now()
        self.source = ''
        self.has_current_replica = has_current_replica
        self.tasks: anyio.abc.TaskGroup | None = None

    def handlers(self) -> dict[str, peers.Handler]:
        return {
            'control.watch': self.on_watch,
            'control.withdraw': self.on_withdraw,
        }

    def stream_handlers(self) -> dict[str, peers.StreamHandler]:
        return {'control.list': self.on_list}

    async def run(self) -> None:
        """Watches the preferred source until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            while True:
                if self.has_current_replica():
                    self.mark_ready(self.settings.vm)
                    await self.timers.sleep(RETRY_DELAY_SECONDS)
                    continue
                for source in self.ordered_sources():
                    if await self.watch_while_best(source):
                        break
                else:
                    await self.timers.sleep(RETRY_DELAY_SECONDS)

    def mark_ready(self, source: str) -> None:
        self.source = source
        if not self.view.ready.is_set():
            eliot.log_message(
                'control:ready', source=source, revision=self.view.revision
            )
            self.view.ready.set()

    def ordered_sources(self) -> list[str]:
        """Returns the VMs to watch, in order of preference.

        The relay of a region is its first live VM by name, where VMs with a
        disk come before the others. A VM that is not ready prefers control
        replicas to the relay, since they report whether they are up to date.
        """
        own_peer = self.settings.own_peer
        region_peers = [
            peer
            for peer in self.settings.peers
            if peer.region == own_peer.region and self.is_usable(peer.vm)
        ]
        region_peers.sort(key=lambda peer: (not peer.disk, peer.vm))
        relay = region_peers[0].vm
        others = [
            peer.vm
            for peer in region_peers
            if peer.vm not in (relay, own_peer.vm)
        ]
        replicas = [
            peer.vm
            for peer in self.settings.peers
            if peer.disk and peer.vm != own_peer.vm
        ]
        replicas.sort(key=lambda vm: not self.is_alive(vm))
        if relay == own_peer.vm:
            return [*replicas, *others]
        if not self.view.ready.is_set():
            return [*replicas, relay, *others]
        return [relay, *replicas, *others]

    def is_usable(self, vm: str) -> bool:
        return vm == self.settings.vm or self.is_alive(vm)

    async def watch_while_best(self, source: str) -> bool:
        """Watches a source until it fails or another one is preferred.

        :returns: whether the source replied at least once.
        """
        has_replied = False
        try:
            if not self.view.ready.is_set():
                await self.list_from(source)
                has_replied = True
            while True:
                await self.watch_from(source)
                has_replied = True
                if self.has_current_replica() or not self.is_preferred(source):
                    return True
        except errors.CompactedError:
            with contextlib.suppress(errors.GatewayError, anyio.EndOfStream):
                await self.list_from(source)
                return True
        except (errors.GatewayError, anyio.EndOfStream):
            pass
        return has_replied

    def is_preferred(self, source: str) -> bool:
        return source == self.ordered_sources()[0]

    async def watch_from(self, source: str) -> None:
        message = [self.view.revision, WATCH_TIMEOUT_SECONDS]
        timeout = (
            WATCH_TIMEOUT_SECONDS + self.settings.timeouts.peer_call_seconds
        )
        reply = await self.mesh.call(source, 'control.watch', message, timeout)
        self.source = source
        for packed in reply:
            self.view.apply(state.Event.unpack(packed))

    async def list_from(self, source: str) -> None:
        """Replaces the configuration by that of another VM.

        :raises UnavailableError: if it may be outdated and this VM has just
            started.
        """
        chunks = []
        async with self.mesh.open(source, 'control.list', None) as stream:
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    chunks.append(await stream.receive())
        is_up_to_date, packed = msgpack.unpackb(
            b''.join(chunks), raw=False, strict_map_key=False
        )
        waited = self.timers.now() - self.started_at
        is_first_list = not self.view.ready.is_set()
        if (
            is_first_list
            and not is_up_to_date
            and waited < UP_TO_DATE_SOURCE_WAIT_SECONDS
        ):
            raise errors.UnavailableError(
                f'the configuration of {source} may be outdated'
            )
        self.view.replace(packed)
        self.mark_ready(source)

    # Handlers of calls from other VMs.

    async def on_watch(self, peer: str, message: list) -> list:
        """Returns the changes after a revision, waiting until there are any.

        The reply is empty if there are none after the requested seconds.
        """
        revision, wait = message
        if not self.view.ready.is_set():
            raise errors.NotReadyError('no configuration yet')
        changed = self.view.changed
        events = self.view.events_since(revision)
        if not events:
            with self.timers.move_on_after(min(wait, WATCH_TIMEOUT_SECONDS)):
                await changed.wait()
            events = self.view.events_since(revision)
        return [event.pack() for event in events]

    async def on_list(
        self, peer: str, message: typing.Any, stream: peers.PeerStream
    ) -> None:
        if not self.view.ready.is_set():
            raise errors.NotReadyError('no configuration yet')
        content = msgpack.packb(
            [self.has_current_replica(), self.view.configuration.pack()],
            use_bin_type=True,
        )
        await send_in_chunks(stream, content)

    # Withdrawals of keys take effect without a majority.

    async def withdraw(self, ids: set[str]) -> None:
        """Puts withdrawals into effect here and floods them to all VMs."""
        new = self.view.withdraw(ids)
        if new and self.tasks is not None:
            self.tasks.start_soon(self.flood, new)

    async def on_withdraw(self, peer: str, message: list) -> None:
        """Puts received withdrawals into effect and forwards new ones."""
        new = self.view.withdraw(set(message))
        if new and self.tasks is not None:
            self.tasks.start_soon(self.flood, new)

    async def flood(self, ids: set[str]) -> None:
        """Sends withdrawals to all VMs of this region and a few of others.

        Each VM that receives a new withdrawal does the same, so that it
        reaches every VM along several paths.
        """
        async with anyio.create_task_group() as tasks:
            for region in self.settings.regions:
                targets = [
                    peer.vm
                    for peer in self.settings.peers
                    if peer.region == region and peer.vm != self.settings.vm
                ]
                targets.sort(key=lambda vm: not self.is_alive(vm))
                if region != self.settings.region:
                    targets = targets[:FLOOD_TARGETS_PER_REGION]
                for vm in targets:
                    tasks.start_soon(self.send_withdrawals, vm, sorted(ids))

    async def send_withdrawals(self, vm: str, ids: list[str]) -> None:
        with contextlib.suppress(errors.GatewayError):
            await self.mesh.call(
                vm, 'control.withdraw', ids, FLOOD_CALL_TIMEOUT_SECONDS
            )


async def send_in_chunks(stream: peers.PeerStream, content: bytes) -> None:
    """Sends bytes as a sequence of messages of limited size."""
    for start in range(0, len(content), LIST_CHUNK_BYTES):
        await stream.send(content[start : start + LIST_CHUNK_BYTES])
