"""Which service and software version began each stream.

What two software versions generate does not fit together, so a stream goes on
only at the version that began it. A client may resume a stream at any entry
VM, and the VM that served it may be gone by then. Each VM therefore sends the
origins of its streams to two VMs of its region, chosen by rendezvous hashing.
A VM that is to resume a stream asks those two, and then the other regions.
"""

import collections.abc
import functools
import typing

import anyio
import anyio.abc
import eliot

from .. import errors
from .. import timers as timer_service
from ..fleet import configuration as configurations
from ..fleet import instances
from ..fleet import origin_history
from ..fleet import origin_table
from . import links as region_links
from . import placement
from ..ports import peers

RECORD_METHOD = 'serving.stream_origins'
FIND_METHOD = 'serving.find_stream_origin'
MAX_ORIGINS = 20_000
HOLDERS_PER_ORIGIN = 2
# Groups the origins of a burst into one message.
SEND_INTERVAL_SECONDS = 0.01
REGION_TIMEOUT_SECONDS = 0.15
# Allows for a round trip between regions beyond the one within the region.
OTHER_REGION_TIMEOUT_SECONDS = 0.4

Reply = typing.TypeVar('Reply')
Question = collections.abc.Callable[
    [], collections.abc.Awaitable[origin_table.StreamOrigin | None]
]


class StreamOrigins(origin_table.OriginTable):
    """The origins that one entry VM knows.

    :ivar new_origins: origins of this VM's own streams that are not sent yet.
    """

    def __init__(self) -> None:
        super().__init__(MAX_ORIGINS)
        self.new_origins: dict[
            origin_table.StreamKey, origin_table.StreamOrigin
        ] = {}
        self.has_new_origins = anyio.Event()

    def record(
        self,
        key: origin_table.StreamKey,
        origin: origin_table.StreamOrigin,
        now: float,
    ) -> None:
        """Records the origin of a stream that this VM serves."""
        self.add(key, origin, now)
        self.new_origins[key] = origin
        self.has_new_origins.set()

    def take_new_origins(
        self,
    ) -> dict[origin_table.StreamKey, origin_table.StreamOrigin]:
        origins, self.new_origins = self.new_origins, {}
        self.has_new_origins = anyio.Event()
        return origins


class SoftwareVersions:
    """The software versions of each service that were listed lately."""

    def __init__(self) -> None:
        self.listed_at: dict[tuple[str, str], float] = {}

    def update(
        self, listed: collections.abc.Iterable[instances.Instance], now: float
    ) -> None:
        """Adds the versions in an instance list, and forgets old ones."""
        for one in listed:
            self.listed_at[one.service, one.software_version] = now
        for version, listed_at in list(self.listed_at.items()):
            if now - listed_at > origin_table.RETENTION_SECONDS:
                del self.listed_at[version]

    def of_service(self, service: str) -> set[str]:
        return {version for name, version in self.listed_at if name == service}


def find_possible_origins(
    route: configurations.Route,
    history: origin_history.OriginHistory,
    known_versions: SoftwareVersions,
) -> list[origin_table.StreamOrigin]:
    """Returns what may have begun a stream of a route.

    :param history: of the control group.
    :param known_versions: that this VM has seen itself.
    """
    services = {one.service for one in route.shares if one.weight > 0}
    services |= history.services.get((route.host, route.prefix), frozenset())
    return [
        origin_table.StreamOrigin(service, version)
        for service in sorted(services)
        for version in sorted(
            known_versions.of_service(service)
            | history.versions.get(service, frozenset())
        )
    ]


class OriginExchange:
    """Exchanges the origins of streams with other entry VMs.

    :param region_peers: returns the other entry VMs of the region.
    :param regions: returns the regions that have entry VMs.
    """

    def __init__(
        self,
        region: str,
        region_peers: collections.abc.Callable[[], list[str]],
        regions: collections.abc.Callable[[], set[str]],
        links: region_links.RegionLinks,
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
    ) -> None:
        self.region = region
        self.region_peers = region_peers
        self.regions = regions
        self.links = links
        self.timers = timers
        self.mesh = mesh
        self.origins = StreamOrigins()

    def handlers(self) -> dict[str, peers.Handler]:
        return {RECORD_METHOD: self.on_record, FIND_METHOD: self.on_find}

    @peers.never_waits
    async def on_record(self, peer: str, message: typing.Any) -> None:
        now = self.timers.now()
        for key, origin in origin_table.decode_origins(peer, message):
            self.origins.add(key, origin, now)

    async def on_find(self, peer: str, message: typing.Any) -> list | None:
        """Returns an origin that this VM, or its region, knows."""
        is_for_region, key = decode_query(peer, message)
        origin = self.origins.find(key)
        if origin is None and is_for_region:
            origin = await self.find_in_region(key)
        return None if origin is None else origin.pack()

    def choose_holders(self, key: origin_table.StreamKey) -> list[str]:
        """Returns the other VMs of the region that hold an origin."""
        return sorted(
            self.region_peers(),
            key=lambda vm: placement.rendezvous_score(key.request_id, vm),
        )[:HOLDERS_PER_ORIGIN]

    async def run(self) -> None:
        """Sends the origins of this VM's streams until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self.origins.has_new_origins.wait()
                by_holder: dict[str, list] = {}
                for key, origin in self.origins.take_new_origins().items():
                    packed = [key.pack(), origin.pack()]
                    for vm in self.choose_holders(key):
                        by_holder.setdefault(vm, []).append(packed)
                for vm, message in by_holder.items():
                    tasks.start_soon(
                        send_origins,
                        self.timers,
                        self.mesh,
                        vm,
                        RECORD_METHOD,
                        message,
                        REGION_TIMEOUT_SECONDS,
                    )
                await self.timers.sleep(SEND_INTERVAL_SECONDS)

    async def find(
        self,
        key: origin_table.StreamKey,
        other_questions: collections.abc.Sequence[Question] = (),
    ) -> origin_table.StreamOrigin | None:
        """Returns the origin of a stream, None if no VM knows it.

        :param other_questions: to others than entry VMs.
        """
        origin = self.origins.find(key)
        if origin is None:
            origin = await self.find_in_region(key)
        if origin is None:
            origin = await ask_first(
                [*self.other_region_questions(key), *other_questions]
            )
        return origin

    async def find_in_region(
        self, key: origin_table.StreamKey
    ) -> origin_table.StreamOrigin | None:
        message = [False, key.pack()]
        return await ask_first(
            [
                functools.partial(
                    self.ask, vm, message, REGION_TIMEOUT_SECONDS
                )
                for vm in self.choose_holders(key)
            ]
        )

    def other_region_questions(
        self, key: origin_table.StreamKey
    ) -> list[Question]:
        message = [True, key.pack()]
        return [
            functools.partial(self.ask_region, region, message)
            for region in sorted(self.regions() - {self.region})
        ]

    async def ask_region(
        self, region: str, message: list
    ) -> origin_table.StreamOrigin | None:
        try:
            vm = self.links.choose_entry_vm(region).vm
        except errors.PeerUnreachableError as error:
            eliot.log_message(
                'stream_origins:not_asked', region=region, code=error.code
            )
            return None
        return await self.ask(vm, message, OTHER_REGION_TIMEOUT_SECONDS)

    async def ask(
        self, vm: str, message: list, timeout_seconds: float
    ) -> origin_table.StreamOrigin | None:
        return await ask(self.mesh, vm, FIND_METHOD, message, timeout_seconds)


async def ask(
    mesh: peers.PeerPort,
    vm: str,
    method: str,
    message: list,
    timeout_seconds: float,
) -> origin_table.StreamOrigin | None:
    """Returns the origin that a VM knows, None if it knows none."""
    try:
        reply = await mesh.call(vm, method, message, timeout_seconds)
        return None if reply is None else origin_table.decode_origin(vm, reply)
    except errors.GatewayError as error:
        eliot.log_message('stream_origins:not_asked', vm=vm, code=error.code)
        return None


async def ask_first(
    questions: collections.abc.Sequence[
        collections.abc.Callable[[], collections.abc.Awaitable[Reply | None]]
    ],
) -> Reply | None:
    """Returns the first reply that is not None, None if there is none."""
    found: Reply | None = None
    async with anyio.create_task_group() as tasks:

        async def ask_one(
            question: collections.abc.Callable[
                [], collections.abc.Awaitable[Reply | None]
            ],
        ) -> None:
            nonlocal found
            reply = await question()
            if reply is not None:
                found = reply
                tasks.cancel_scope.cancel()

        for question in questions:
            tasks.start_soon(ask_one, question)
    return found


async def send_origins(
    timers: timer_service.Timers,
    mesh: peers.PeerPort,
    vm: str,
    method: str,
    message: list,
    timeout_seconds: float,
) -> None:
    """Sends origins to a VM, which may be lost."""
    code = 'not_in_time'
    try:
        with timers.move_on_after(timeout_seconds):
            await mesh.notify(vm, method, message)
            return
    except errors.GatewayError as error:
        code = error.code
    eliot.log_message(
        'stream_origins:not_told', vm=vm, code=code, count=len(message)
    )


def decode_query(
    peer: str, message: typing.Any
) -> tuple[bool, origin_table.StreamKey]:
    """Returns whether to ask the region as well, and the stream.

    :raises PeerProtocolError: if the message is malformed.
    """
    try:
        is_for_region, key = message
    except (TypeError, ValueError) as error:
        raise errors.PeerProtocolError(
            f'{peer} sent a malformed query for a stream origin'
        ) from error
    return bool(is_for_region), origin_table.decode_key(peer, key)
