"""Exchanges backlogs at backend servers between the entry VMs of a region.

A burst reaches all entry VMs of a region at once. If each of them saw an idle
server and filled it, the server would get several times the work that it can
finish in time. Each VM therefore reports its requests in flight to the others.
"""

import collections.abc
import dataclasses
import typing

import anyio
import anyio.abc
import eliot

from .. import errors
from .. import timers as timer_service
from ..fleet import agent as agents
from ..ports import peers

BACKLOG_METHOD = 'serving.backlog'
# Shorter than the wait of a typical prompt under load.
SEND_INTERVAL_SECONDS = 0.1
# Limits what one VM receives: at 150 bytes a message, the budget is 9 KB and
# a hundredth of a core a second. In large regions each VM sends less often.
MAX_MESSAGES_PER_SECOND = 40.0
# An unchanged backlog is sent again, since a message may be lost.
RESEND_SECONDS = 1.0
STALE_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class PeerBacklog:
    """The backlog that another entry VM reported.

    :ivar received_at: timer seconds.
    :ivar by_server: queued tokens and requests in flight, by server.
    """

    received_at: float
    by_server: dict[str, list[float]]


class BacklogExchange:
    """Sums up the backlogs of the region's other entry VMs by server.

    :param local_backlog: returns the backlog of this VM, by server.
    """

    def __init__(
        self,
        vm: str,
        region: str,
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
        view: agents.FleetView,
        local_backlog: collections.abc.Callable[[], dict[str, list[float]]],
    ) -> None:
        self.vm = vm
        self.region = region
        self.timers = timers
        self.mesh = mesh
        self.view = view
        self.local_backlog = local_backlog
        self.peer_backlogs: dict[str, PeerBacklog] = {}
        self.totals: dict[str, list[float]] = {}

    def handlers(self) -> dict[str, peers.Handler]:
        return {BACKLOG_METHOD: self.on_backlog}

    def peer_totals(self, server_name: str) -> list[float]:
        """Returns the peers' queued tokens and requests at a server."""
        return self.totals.get(server_name, [0.0, 0.0])

    def max_age_seconds(self, now: float) -> float:
        """Returns the age in seconds of the oldest report; 0 for none."""
        return max(
            (now - one.received_at for one in self.peer_backlogs.values()),
            default=0.0,
        )

    async def on_backlog(self, peer: str, message: list) -> None:
        vm, by_server = decode_backlog(peer, message)
        self.remove_peer(vm)
        self.peer_backlogs[vm] = PeerBacklog(self.timers.now(), by_server)
        for server, values in by_server.items():
            total = self.totals.setdefault(server, [0.0, 0.0])
            for index, value in enumerate(values):
                total[index] += value

    def remove_peer(self, vm: str) -> None:
        """Subtracts the backlog of a VM from the totals."""
        backlog = self.peer_backlogs.pop(vm, None)
        if backlog is None:
            return
        for server, values in backlog.by_server.items():
            total = self.totals[server]
            for index, value in enumerate(values):
                total[index] = max(0.0, total[index] - value)
            if total[1] < 1:
                del self.totals[server]

    def region_peers(self) -> list[str]:
        """Returns the other entry VMs of this region."""
        return [
            one.vm
            for one in self.view.entry_vms
            if one.region == self.region and one.vm != self.vm
        ]

    async def run(self) -> None:
        """Sends the backlog of this VM to the others until cancelled."""
        last_sent: dict[str, list[float]] = {}
        sent_at = -RESEND_SECONDS
        async with anyio.create_task_group() as tasks:
            while True:
                region_peers = self.region_peers()
                pause = len(region_peers) / MAX_MESSAGES_PER_SECOND
                await self.timers.sleep(max(SEND_INTERVAL_SECONDS, pause))
                now = self.timers.now()
                for vm, backlog in list(self.peer_backlogs.items()):
                    if now - backlog.received_at > STALE_SECONDS:
                        self.remove_peer(vm)
                current = self.local_backlog()
                is_due = bool(current) and now - sent_at >= RESEND_SECONDS
                if current == last_sent and not is_due:
                    continue
                last_sent, sent_at = current, now
                for vm in region_peers:
                    tasks.start_soon(self.send_backlog, vm, current)

    async def send_backlog(
        self, vm: str, by_server: dict[str, list[float]]
    ) -> None:
        code = 'not_in_time'
        try:
            with self.timers.move_on_after(RESEND_SECONDS):
                await self.mesh.notify(
                    vm, BACKLOG_METHOD, [self.vm, by_server]
                )
                return
        except errors.GatewayError as error:
            code = error.code
        eliot.log_message('backlog:not_told', vm=vm, code=code)


def decode_backlog(
    peer: str, message: typing.Any
) -> tuple[str, dict[str, list[float]]]:
    """Returns the VM of a message, and its backlog by server.

    :raises PeerProtocolError: if the message is malformed.
    """
    try:
        vm, by_server = message
        return str(vm), {
            str(server): [float(tokens), float(requests)]
            for server, (tokens, requests) in by_server.items()
        }
    except (TypeError, ValueError, AttributeError) as error:
        raise errors.PeerProtocolError(
            f'{peer} sent a malformed backlog'
        ) from error
