"""Exchanges with the VMs that hold the regions' leases.

What is asked of a region while a message to it is on its way goes together
in the next one, as commits share a write to disk (DeWitt and others,
"Implementation Techniques for Main Memory Database Systems", 1984).
"""

import collections.abc
import typing

import anyio
import anyio.abc
import anyio.lowlevel

from .. import errors
from .. import timers as timer_service
from ..policy import suspicion
from ..ports import peers

CALL_SECONDS = 1.0
# A region that does not answer for this long is left alone for a moment.
ANSWER_SECONDS = 0.5


class Batch:
    """What goes to a region in one message.

    :ivar wanted: organisation and tokens, one for each grant.
    :ivar left: places in ``wanted`` that nobody waits for any more.
    :ivar grants: the answers to them, in their order.
    """

    def __init__(self) -> None:
        self.wanted: list[list] = []
        self.left: set[int] = set()
        self.settled: list[list] = []
        self.returned: list[list] = []
        self.done = anyio.Event()
        self.grants: list[list] = []
        self.error: errors.GatewayError | None = errors.PeerUnreachableError(
            'the exchange was broken off'
        )

    async def wait(self) -> None:
        """Waits for the answer.

        :raises GatewayError: if there is none.
        """
        await self.done.wait()
        if self.error is not None:
            raise self.error


class LeaseHolderClient:
    """The lease holders of all regions, as one VM reaches them.

    :param vms_of: gives the VMs of a region, likeliest to answer first.
    :ivar tasks: runs the exchanges while it is there.
    """

    def __init__(
        self,
        vms_of: collections.abc.Callable[[str], list[str]],
        mesh: peers.PeerPort,
        timers: timer_service.Timers,
    ) -> None:
        self.vms_of = vms_of
        self.mesh = mesh
        self.timers = timers
        self.known: dict[str, str] = {}
        self.doubts = suspicion.SuspicionTracker()
        self.batches: dict[str, Batch] = {}
        self.busy: set[str] = set()
        self.tasks: anyio.abc.TaskGroup | None = None

    def is_doubted(self, region: str) -> bool:
        return self.doubts.is_suspected(region, self.timers.now())

    async def take(
        self, region: str, organisation: str, tokens: float
    ) -> list:
        """Asks for a grant.

        :returns: number of the grant (0 for none), its tokens, and the
            tokens that are left.
        :raises PeerSilentError: if the region did not answer in time.
        """
        batch = self.next_batch(region)
        at = len(batch.wanted)
        batch.wanted.append([organisation, tokens])
        try:
            with self.timers.limit(ANSWER_SECONDS):
                await batch.wait()
        finally:
            if not batch.done.is_set():
                batch.left.add(at)
        if not batch.done.is_set():
            self.doubts.record_silence(region, self.timers.now())
            raise errors.PeerSilentError(f'{region} did not answer in time')
        return batch.grants[at]

    async def report(self, region: str, settled: list, returned: list) -> None:
        """Reports ended grants, and unused tokens of reservations."""
        batch = self.next_batch(region)
        batch.settled += settled
        batch.returned += returned
        await batch.wait()

    def next_batch(self, region: str) -> Batch:
        """Returns what goes to a region next."""
        if self.tasks is None:
            raise errors.PeerUnreachableError('the exchanges have ended')
        batch = self.batches.get(region)
        if batch is None:
            batch = self.batches[region] = Batch()
            if region not in self.busy:
                self.busy.add(region)
                self.tasks.start_soon(self.exchange, region)
        return batch

    async def exchange(self, region: str) -> None:
        """Sends what has gathered, until nothing more has."""
        try:
            # Whoever is about to ask in this moment may still join.
            await anyio.lowlevel.checkpoint()
            while region in self.batches:
                await self.send(region, self.batches.pop(region))
        finally:
            self.busy.discard(region)
            if region in self.batches:
                self.batches.pop(region).done.set()

    async def send(self, region: str, batch: Batch) -> None:
        message = [batch.settled, batch.returned, batch.wanted]
        try:
            batch.grants = await self.ask_holder(region, message)
            batch.error = None
            self.doubts.record_response(region)
            self.give_back_left(region, batch)
        except errors.GatewayError as error:
            batch.error = error
        finally:
            batch.done.set()

    def give_back_left(self, region: str, batch: Batch) -> None:
        """Ends the grants that came too late for whoever wanted them."""
        late = [
            [batch.wanted[at][0], batch.grants[at][0], 0]
            for at in sorted(batch.left)
            if batch.grants[at][0]
        ]
        if late:
            self.next_batch(region).settled += late

    async def ask_holder(self, region: str, message: list) -> typing.Any:
        """Asks the VM that holds a region's lease.

        :raises PeerError: if no holder was found.
        """
        candidates = self.vms_of(region)
        known = self.known.get(region)
        if known in candidates:
            candidates = [known, *(vm for vm in candidates if vm != known)]
        tried: set[str] = set()
        while candidates:
            vm = candidates.pop(0)
            if vm in tried:
                continue
            tried.add(vm)
            try:
                answer = await self.mesh.call(
                    vm, f'allowance.{region}', message, CALL_SECONDS
                )
            except errors.NotLeaderError as error:
                if error.leader:
                    candidates.insert(0, error.leader)
                continue
            except errors.PeerError:
                continue
            self.known[region] = vm
            return answer
        self.known.pop(region, None)
        raise errors.PeerUnreachableError(f'{region} has no lease holder')
