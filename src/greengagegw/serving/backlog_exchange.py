"""What the entry VMs of a region have at its backend servers.

The load pattern behind it: a burst reaches all entry VMs of a region at
once. Each sees a server that is idle and sends what would fill it, so the
server gets several times what it can do in time. The VMs tell each other what
they have sent while it still waits there.
"""

import collections.abc
import dataclasses

import anyio
import anyio.abc
import eliot

from .. import errors
from .. import timers as timer_service
from ..fleet import agent as agents
from ..ports import peers

BACKLOG_METHOD = 'serving.backlog'
# A tenth of a second is under what a prompt of usual size waits under load.
SEND_INTERVAL_SECONDS = 0.1
# Messages of 150 bytes that one VM gets, for a budget of 9 KB and a hundredth
# of a core a second; in large regions each VM tells less often.
MAX_MESSAGES_PER_SECOND = 40.0
# What has not changed is told again, since a message may be lost.
RESEND_SECONDS = 1.0
STALE_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class PeerBacklog:
    """What another VM said it has.

    :ivar at: timer seconds.
    :ivar loads: tokens to be read and requests in flight by server.
    """

    received_at: float
    by_server: dict[str, list[float]]


class BacklogExchange:
    """Sums up what the other VMs of a region have at its servers.

    :param describe: returns what this VM has.
    """

    def __init__(
        self,
        vm: str,
        region: str,
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
        view: agents.FleetView,
        describe: collections.abc.Callable[[], dict[str, list[float]]],
    ) -> None:
        self.vm = vm
        self.region = region
        self.timers = timers
        self.mesh = mesh
        self.view = view
        self.local_backlog = describe
        self.peer_backlogs: dict[str, PeerBacklog] = {}
        self.totals: dict[str, list[float]] = {}

    def handlers(self) -> dict[str, peers.Handler]:
        return {BACKLOG_METHOD: self.on_backlog}

    def peer_totals(self, server_name: str) -> list[float]:
        """Returns tokens and requests of the other VMs at a server."""
        return self.totals.get(server_name, [0.0, 0.0])

    def max_age_seconds(self, now: float) -> float:
        """Returns the age of the oldest figures, in seconds; 0 for none."""
        return max(
            (now - one.received_at for one in self.peer_backlogs.values()),
            default=0.0,
        )

    async def on_backlog(self, peer: str, message: list) -> None:
        vm, by_server = message
        self.remove_peer(vm)
        self.peer_backlogs[vm] = PeerBacklog(self.timers.now(), by_server)
        for server, values in by_server.items():
            total = self.totals.setdefault(server, [0.0, 0.0])
            for index, value in enumerate(values):
                total[index] += value

    def remove_peer(self, vm: str) -> None:
        """Takes what a VM had out of the totals."""
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
        """Returns the other VMs of this region."""
        return [
            one.vm
            for one in self.view.entry_vms
            if one.region == self.region and one.vm != self.vm
        ]

    async def run(self) -> None:
        """Tells the others what changes, until it is cancelled."""
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
            with self.timers.limit(RESEND_SECONDS):
                await self.mesh.notify(
                    vm, BACKLOG_METHOD, [self.vm, by_server]
                )
                return
        except errors.GatewayError as error:
            code = error.code
        eliot.log_message('backlog:not_told', vm=vm, code=code)
