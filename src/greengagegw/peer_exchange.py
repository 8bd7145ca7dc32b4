"""Exchanges what VMs learn from backend servers."""

import collections.abc
import random
import typing

import anyio
import anyio.abc
import eliot

from . import errors
from . import timers as timer_service
from .ports import peers

EXCHANGE_INTERVAL_SECONDS = 5.0
CALL_TIMEOUT_SECONDS = 1.0


class Facts(typing.Protocol):
    """What a VM knows of the backend servers, to be exchanged.

    :ivar has_news: set when there is something that this VM has learned
        itself and not announced yet.
    """

    has_news: anyio.Event

    def take_news(self, now: float) -> list:
        """Returns what to announce as a message, and clears it."""

    def pack(self, now: float) -> list:
        """Returns all that is known as a message."""

    def merge_message(
        self, peer: str, message: typing.Any, now: float
    ) -> None:
        """Merges what another VM knows.

        :raises PeerProtocolError: if the message is malformed.
        """


class PeerExchange:
    """Exchanges facts with other VMs.

    News is sent to all of them at once. Besides, each VM exchanges what it
    knows with one other VM at its start and at regular intervals, so a lost
    message or a restart delays it only.

    :param event: name of the log line for a VM that was not told.
    :param list_peers: returns the other VMs.
    :param list_partners: returns those with which facts are exchanged at
        regular intervals; by default all.
    """

    def __init__(
        self,
        method: str,
        event: str,
        facts: Facts,
        list_peers: collections.abc.Callable[[], list[str]],
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
        rng: random.Random,
        list_partners: collections.abc.Callable[[], list[str]] | None = None,
    ) -> None:
        self.method = method
        self.event = event
        self.facts = facts
        self.list_peers = list_peers
        self.list_partners = list_partners or list_peers
        self.timers = timers
        self.mesh = mesh
        self.rng = rng

    def handlers(self) -> dict[str, peers.Handler]:
        return {self.method: self.on_message}

    async def on_message(self, peer: str, message: typing.Any) -> list:
        """Merges the facts of a peer and returns those of this VM."""
        now = self.timers.now()
        known = self.facts.pack(now)
        self.facts.merge_message(peer, message, now)
        return known

    async def run(self) -> None:
        """Exchanges facts until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.exchange_periodically)
            while True:
                await self.facts.has_news.wait()
                news = self.facts.take_news(self.timers.now())
                for vm in self.list_peers():
                    tasks.start_soon(self.exchange, vm, news)

    async def exchange_periodically(self) -> None:
        while True:
            peer_vms = self.list_partners()
            if peer_vms:
                vm = self.rng.choice(peer_vms)
                await self.exchange(vm, self.facts.pack(self.timers.now()))
                await self.timers.sleep(EXCHANGE_INTERVAL_SECONDS)
            else:
                await self.timers.sleep(CALL_TIMEOUT_SECONDS)

    async def exchange(self, vm: str, message: list) -> None:
        """Sends facts to a VM and merges those that it knows."""
        try:
            reply = await self.mesh.call(
                vm, self.method, message, CALL_TIMEOUT_SECONDS
            )
            self.facts.merge_message(vm, reply, self.timers.now())
        except errors.GatewayError as error:
            eliot.log_message(
                self.event, vm=vm, code=error.code, count=len(message)
            )
