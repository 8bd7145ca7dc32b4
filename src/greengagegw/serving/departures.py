"""Backend servers that announced that they are leaving.

A server announces it in its responses, which may be long before the instance
list shows it. The entry VMs of a region exchange these announcements, so that
a VM that has restarted, or has sent nothing to the server, knows of them too.
"""

import collections.abc
import random
import typing

import anyio
import anyio.abc
import eliot

from .. import errors
from .. import timers as timer_service
from ..fleet import instances
from ..ports import peers

DEPARTURES_METHOD = 'serving.departures'
# An announcement is kept for this time after the instance was last listed,
# since the list may lag, and may show a removed instance once more.
RETENTION_SECONDS = 60.0
EXCHANGE_INTERVAL_SECONDS = 5.0
CALL_TIMEOUT_SECONDS = 1.0
# A server and the start time of its run, so that another run of the same name
# is not taken for the one that leaves.
Run = tuple[str, int]


def run_of(instance: instances.Instance) -> Run:
    return instance.name, instance.born


class LeavingServers:
    """The runs of backend servers that are known to be leaving.

    :ivar expiry: timer seconds until which each run is remembered.
    :ivar new_runs: runs to be announced to the other VMs.
    """

    def __init__(self) -> None:
        self.expiry: dict[Run, float] = {}
        self.new_runs: list[Run] = []
        self.has_new_runs = anyio.Event()

    def __contains__(self, instance: instances.Instance) -> bool:
        return run_of(instance) in self.expiry

    def record_announcement(
        self, instance: instances.Instance, now: float
    ) -> None:
        """Records what a server announced to this VM."""
        run = run_of(instance)
        if self.merge([run], now):
            eliot.log_message('server:leaving', server=run[0], born=run[1])
            self.new_runs.append(run)
            self.has_new_runs.set()

    def merge(
        self, runs: collections.abc.Iterable[Run], now: float
    ) -> list[Run]:
        """Adds runs, and returns those that were not known."""
        added = []
        for run in runs:
            if run not in self.expiry:
                added.append(run)
            self.expiry[run] = now + RETENTION_SECONDS
        return added

    def update(
        self, listed: collections.abc.Iterable[instances.Instance], now: float
    ) -> None:
        """Extends the listed runs, and forgets those not listed for long."""
        if not self.expiry:
            return
        for one in listed:
            run = (one.name, one.born)
            if run in self.expiry:
                self.expiry[run] = now + RETENTION_SECONDS
        for run in [one for one, at in self.expiry.items() if at < now]:
            del self.expiry[run]

    def take_new_runs(self) -> list[Run]:
        runs, self.new_runs = self.new_runs, []
        self.has_new_runs = anyio.Event()
        return runs


class DepartureExchange:
    """Exchanges leaving servers with the other entry VMs of the region.

    A new announcement is sent to all of them at once. Besides, each VM
    exchanges what it knows with one other VM at its start and at regular
    intervals, so a lost message or a restart delays it only.

    :param region_peers: returns the other entry VMs of the region.
    """

    def __init__(
        self,
        leaving: LeavingServers,
        region_peers: collections.abc.Callable[[], list[str]],
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
        rng: random.Random,
    ) -> None:
        self.leaving = leaving
        self.region_peers = region_peers
        self.timers = timers
        self.mesh = mesh
        self.rng = rng

    def handlers(self) -> dict[str, peers.Handler]:
        return {DEPARTURES_METHOD: self.on_departures}

    async def on_departures(self, peer: str, message: typing.Any) -> list:
        """Merges a peer's leaving servers and returns those of this VM."""
        known = [list(one) for one in self.leaving.expiry]
        self.merge_reply(peer, message)
        return known

    def merge_reply(self, peer: str, message: typing.Any) -> None:
        """Merges the leaving servers in a message.

        :raises PeerProtocolError: if the message is malformed.
        """
        added = self.leaving.merge(
            decode_runs(peer, message), self.timers.now()
        )
        if added:
            eliot.log_message(
                'server:leaving_heard',
                peer=peer,
                servers=[name for name, _ in added],
            )

    async def run(self) -> None:
        """Exchanges leaving servers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.exchange_periodically)
            while True:
                await self.leaving.has_new_runs.wait()
                runs = self.leaving.take_new_runs()
                for vm in self.region_peers():
                    tasks.start_soon(self.exchange, vm, runs)

    async def exchange_periodically(self) -> None:
        while True:
            region_peers = self.region_peers()
            if region_peers:
                vm = self.rng.choice(region_peers)
                await self.exchange(vm, list(self.leaving.expiry))
                await self.timers.sleep(EXCHANGE_INTERVAL_SECONDS)
            else:
                await self.timers.sleep(CALL_TIMEOUT_SECONDS)

    async def exchange(self, vm: str, runs: list[Run]) -> None:
        """Sends runs to a VM and merges those that it knows."""
        try:
            reply = await self.mesh.call(
                vm,
                DEPARTURES_METHOD,
                [list(one) for one in runs],
                CALL_TIMEOUT_SECONDS,
            )
            self.merge_reply(vm, reply)
        except errors.GatewayError as error:
            eliot.log_message(
                'server:leaving_not_told',
                vm=vm,
                code=error.code,
                count=len(runs),
            )


def decode_runs(peer: str, message: typing.Any) -> list[Run]:
    """Returns the runs in a message.

    :raises PeerProtocolError: if it is not a list of names and start times.
    """
    try:
        runs = [(name, born) for name, born in message]
    except (TypeError, ValueError) as error:
        raise errors.PeerProtocolError(
            f'{peer} sent leaving servers that are not pairs'
        ) from error
    for name, born in runs:
        if not isinstance(name, str) or not isinstance(born, int):
            raise errors.PeerProtocolError(
                f'{peer} sent a leaving server {name!r} started at {born!r}'
            )
    return runs
