"""Brings the configuration to every VM: list once, then watch.

A VM lists the whole configuration and then watches for changes from the
listed revision; when the changes are no longer held it lists again. This
is the Reflector idea of Kubernetes' client-go. Within a region one VM, the
relay, watches a control replica, and the others watch the relay, so that a
slow link carries each change once.
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

WATCH_SECONDS = 10.0
RETRY_SECONDS = 0.3
LIST_CHUNK_BYTES = 64 * 1024
# A cold VM takes the configuration of a region mate only after it has
# looked for one of a control replica for so long.
COLD_SECONDS = 3.0
FLOODED_PER_REGION = 2
FLOOD_CALL_SECONDS = 2.0


class Distribution:
    """Keeps the view of one VM up to date and serves other VMs' watches.

    :param is_alive: tells whether a VM may be worth asking.
    :param has_local_feed: tells whether a replica on this VM keeps the view
        up to date, being in touch with its leader.
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
        """Watches until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            while True:
                if self.has_current_replica():
                    self.make_ready(self.settings.vm)
                    await self.timers.sleep(RETRY_SECONDS)
                    continue
                for source in self.sources():
                    if await self.follow(source):
                        break
                else:
                    await self.timers.sleep(RETRY_SECONDS)

    def make_ready(self, source: str) -> None:
        self.source = source
        if not self.view.ready.is_set():
            eliot.log_message(
                'control:ready', source=source, revision=self.view.revision
            )
            self.view.ready.set()

    def sources(self) -> list[str]:
        """Returns the VMs to watch, best first.

        The relay of a region is its first living VM, those with a disk
        before the others. A cold VM asks control replicas before it, since
        they tell whether they are up to date.
        """
        me = self.settings.me
        mates = [
            peer
            for peer in self.settings.peers
            if peer.region == me.region and self.is_near(peer.vm)
        ]
        mates.sort(key=lambda peer: (not peer.disk, peer.vm))
        relay = mates[0].vm
        others = [peer.vm for peer in mates if peer.vm not in (relay, me.vm)]
        replicas = [
            peer.vm
            for peer in self.settings.peers
            if peer.disk and peer.vm != me.vm
        ]
        replicas.sort(key=lambda vm: not self.is_alive(vm))
        if relay == me.vm:
            return [*replicas, *others]
        if not self.view.ready.is_set():
            return [*replicas, relay, *others]
        return [relay, *replicas, *others]

    def is_near(self, vm: str) -> bool:
        return vm == self.settings.vm or self.is_alive(vm)

    async def follow(self, source: str) -> bool:
        """Watches one VM while it answers.

        :returns: whether it ever answered.
        """
        answered = False
        try:
            if not self.view.ready.is_set():
                await self.list_from(source)
                answered = True
            while True:
                await self.watch_from(source)
                answered = True
                if self.has_current_replica() or not self.is_best(source):
                    return True
        except errors.CompactedError:
            with contextlib.suppress(errors.GatewayError, anyio.EndOfStream):
                await self.list_from(source)
                return True
        except (errors.GatewayError, anyio.EndOfStream):
            pass
        return answered

    def is_best(self, source: str) -> bool:
        return source == self.sources()[0]

    async def watch_from(self, source: str) -> None:
        message = [self.view.revision, WATCH_SECONDS]
        timeout = WATCH_SECONDS + self.settings.timeouts.peer_call_seconds
        answer = await self.mesh.call(
            source, 'control.watch', message, timeout
        )
        self.source = source
        for packed in answer:
            self.view.apply(state.Event.unpack(packed))

    async def list_from(self, source: str) -> None:
        """Takes over the whole configuration of a VM."""
        parts = []
        async with self.mesh.open(source, 'control.list', None) as stream:
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    parts.append(await stream.receive())
        is_fresh, packed = msgpack.unpackb(
            b''.join(parts), raw=False, strict_map_key=False
        )
        waited = self.timers.now() - self.started_at
        is_cold = not self.view.ready.is_set()
        if is_cold and not is_fresh and waited < COLD_SECONDS:
            raise errors.UnavailableError(f'{source} may be behind')
        self.view.replace(packed)
        self.make_ready(source)

    # What this VM does for others.

    async def on_watch(self, peer: str, message: list) -> list:
        """Answers with the changes after a revision, once there are any."""
        revision, wait = message
        if not self.view.ready.is_set():
            raise errors.NotReadyError('no configuration yet')
        changed = self.view.changed
        events = self.view.events_since(revision)
        if not events:
            with self.timers.limit(min(wait, WATCH_SECONDS)):
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
        await send_in_parts(stream, content)

    # Withdrawals, which need no majority to be in force.

    async def withdraw(self, ids: set[str]) -> None:
        """Puts withdrawals in force here and floods them to all VMs."""
        new = self.view.withdraw(ids)
        if new and self.tasks is not None:
            self.tasks.start_soon(self.flood, new)

    async def on_withdraw(self, peer: str, message: list) -> None:
        """Takes in a flooded withdrawal, and passes it on in the region."""
        new = self.view.withdraw(set(message))
        if new and self.tasks is not None:
            self.tasks.start_soon(self.flood, new)

    async def flood(self, ids: set[str]) -> None:
        """Tells the own region's VMs and some of each other region.

        Each VM that hears something new does the same, so every VM is told
        along several ways.
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
                    targets = targets[:FLOODED_PER_REGION]
                for vm in targets:
                    tasks.start_soon(self.tell, vm, sorted(ids))

    async def tell(self, vm: str, ids: list[str]) -> None:
        with contextlib.suppress(errors.GatewayError):
            await self.mesh.call(
                vm, 'control.withdraw', ids, FLOOD_CALL_SECONDS
            )


async def send_in_parts(stream: peers.PeerStream, content: bytes) -> None:
    """Sends bytes as several messages of a stream."""
    for start in range(0, len(content), LIST_CHUNK_BYTES):
        await stream.send(content[start : start + LIST_CHUNK_BYTES])
