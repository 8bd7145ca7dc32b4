"""Sends the origins of streams to control VMs while they are ambiguous.

While a route has one possible origin, a restart of all entry VMs costs no
stream, and nothing is sent. While it has several, such as during a release,
each entry VM sends the origins of its streams to two control VMs.

A VM that finds no origin elsewhere asks all control VMs. It then asks for the
history as well: its own may be out of date, so that the only version that it
knows is not the only one.
"""

import functools

import anyio
import eliot

from .. import errors
from .. import timers as timer_service
from ..fleet import agent as agents
from ..fleet import configuration as configurations
from ..fleet import origin_history
from ..fleet import origin_table
from ..fleet import timing
from . import placement
from ..ports import peers
from . import stream_origins

HOLDERS_PER_VM = 2
# A message takes a frame of its own, so origins of a burst share one.
SEND_INTERVAL_SECONDS = 0.05
# Bounds the size of a message when a release begins.
MAX_ORIGINS_PER_MESSAGE = 1000
FIND_TIMEOUT_SECONDS = stream_origins.OTHER_REGION_TIMEOUT_SECONDS


class ControlOrigins:
    """Sends the origins of one entry VM to control VMs, and asks for them.

    :param known_versions: software versions that this VM has seen.
    :ivar waiting: origins of this VM's streams that were not ambiguous yet,
        with their route and the time of their first event, the oldest first.
    :ivar unsent: ambiguous origins that are to be sent.
    """

    def __init__(
        self,
        vm: str,
        view: agents.FleetView,
        known_versions: stream_origins.SoftwareVersions,
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
    ) -> None:
        self.vm = vm
        self.view = view
        self.known_versions = known_versions
        self.timers = timers
        self.mesh = mesh
        self.waiting: dict[
            origin_table.StreamKey,
            tuple[origin_table.StreamOrigin, configurations.Route, float],
        ] = {}
        self.unsent: dict[
            origin_table.StreamKey, origin_table.StreamOrigin
        ] = {}
        self.ambiguous_routes: dict[tuple[str, str], bool] = {}
        self.has_work = anyio.Event()
        view.update_callbacks.append(self.on_view_update)

    def on_view_update(self) -> None:
        self.ambiguous_routes.clear()
        if self.waiting:
            self.has_work.set()

    def is_ambiguous(self, route: configurations.Route) -> bool:
        """Returns whether several origins are possible for a stream.

        Control VMs of an earlier release accept no origins.
        """
        history = self.view.history
        if history is None:
            return False
        key = (route.host, route.prefix)
        known = self.ambiguous_routes.get(key)
        if known is None:
            possible = stream_origins.find_possible_origins(
                route, history, self.known_versions
            )
            known = not history.is_complete or len(possible) != 1
            self.ambiguous_routes[key] = known
        return known

    def record(
        self,
        key: origin_table.StreamKey,
        origin: origin_table.StreamOrigin,
        route: configurations.Route,
        now: float,
    ) -> None:
        """Records the origin of a stream that this VM serves."""
        if self.is_ambiguous(route):
            self.unsent[key] = origin
            self.has_work.set()
            return
        self.waiting[key] = (origin, route, now)
        self.remove_expired(now)

    def remove_expired(self, now: float) -> None:
        while self.waiting:
            oldest = next(iter(self.waiting))
            age_seconds = now - self.waiting[oldest][2]
            if (
                age_seconds <= origin_table.RETENTION_SECONDS
                and len(self.waiting) <= stream_origins.MAX_ORIGINS
            ):
                return
            del self.waiting[oldest]

    async def run(self) -> None:
        """Sends ambiguous origins until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self.has_work.wait()
                self.has_work = anyio.Event()
                message = self.take_message()
                if message:
                    for vm in self.choose_holders():
                        tasks.start_soon(
                            stream_origins.send_origins,
                            self.timers,
                            self.mesh,
                            vm,
                            origin_table.RECORD_METHOD,
                            message,
                            timing.CONTROL_CALL_TIMEOUT_SECONDS,
                        )
                await self.timers.sleep(SEND_INTERVAL_SECONDS)

    def take_message(self) -> list:
        """Returns the packed origins to send now."""
        self.remove_expired(self.timers.now())
        for key, (origin, route, _) in list(self.waiting.items()):
            if self.is_ambiguous(route):
                del self.waiting[key]
                self.unsent[key] = origin
        keys = list(self.unsent)[:MAX_ORIGINS_PER_MESSAGE]
        message = [[one.pack(), self.unsent.pop(one).pack()] for one in keys]
        if self.unsent:
            self.has_work.set()
        return message

    def choose_holders(self) -> list[str]:
        """Returns the control VMs that get the origins of this VM."""
        return sorted(
            self.view.control_vms,
            key=lambda one: placement.rendezvous_score(self.vm, one),
        )[:HOLDERS_PER_VM]

    def questions(
        self, key: origin_table.StreamKey
    ) -> list[stream_origins.Question]:
        """Returns the queries to control VMs.

        Whether a route has several possible origins may be known to others,
        and not to this VM.
        """
        return [
            functools.partial(
                stream_origins.ask,
                self.mesh,
                vm,
                origin_table.FIND_METHOD,
                key.pack(),
                FIND_TIMEOUT_SECONDS,
            )
            for vm in self.view.control_vms
        ]

    async def fetch_history(self) -> origin_history.OriginHistory | None:
        """Returns the current history of the control group.

        It has all that was committed before the call.

        :returns: None if no control VM confirms one in time.
        """
        return await stream_origins.ask_first(
            [
                functools.partial(self.ask_for_history, vm)
                for vm in self.view.control_vms
            ]
        )

    async def ask_for_history(
        self, vm: str
    ) -> origin_history.OriginHistory | None:
        try:
            reply = await self.mesh.call(
                vm,
                origin_history.CURRENT_METHOD,
                None,
                FIND_TIMEOUT_SECONDS,
            )
            return origin_history.unpack_if_present(reply)
        except errors.GatewayError as error:
            code = error.code
        except (TypeError, ValueError):
            code = errors.PeerProtocolError.code
        eliot.log_message('origin_history:not_confirmed', vm=vm, code=code)
        return None
