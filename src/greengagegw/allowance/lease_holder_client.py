"""Exchanges messages with the VMs that hold the regions' leases.

Requests to a region that arrive while a message to it is in flight are
batched into the next one, like group commits (DeWitt and others,
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

CALL_TIMEOUT_SECONDS = 1.0
# A region that does not reply within this time becomes suspected.
REPLY_TIMEOUT_SECONDS = 0.5


class Batch:
    """Requests and reports that go to a region in one message.

    :ivar requested: organisation and tokens of each requested grant.
    :ivar abandoned: indexes into ``requested`` whose requester has stopped
        waiting.
    :ivar settled: organisation, grant id and spent tokens of each ended
        grant.
    :ivar refunded: organisation and tokens of each refund.
    :ivar grants: the replies to ``requested``, in the same order.
    """

    def __init__(self) -> None:
        self.requested: list[list] = []
        self.abandoned: set[int] = set()
        self.settled: list[list] = []
        self.refunded: list[list] = []
        self.done = anyio.Event()
        self.grants: list[list] = []
        self.error: errors.GatewayError | None = errors.PeerUnreachableError(
            'the exchange with the lease holder was cancelled'
        )

    async def wait(self) -> None:
        """Waits until the reply to the message arrived.

        :raises GatewayError: if the exchange failed.
        """
        await self.done.wait()
        if self.error is not None:
            raise self.error


class LeaseHolderClient:
    """Sends requests for tokens and reports to the regions' lease holders.

    :param vms_of: returns the VMs of a region, likeliest to reply first.
    :ivar tasks: runs the exchanges; None while the client is stopped.
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
        self.holder_by_region: dict[str, str] = {}
        self.suspicions = suspicion.SuspicionTracker()
        self.batches: dict[str, Batch] = {}
        self.active_regions: set[str] = set()
        self.tasks: anyio.abc.TaskGroup | None = None

    def is_suspected(self, region: str) -> bool:
        return self.suspicions.is_suspected(region, self.timers.now())

    async def request_grant(
        self, region: str, organisation: str, tokens: float
    ) -> list:
        """Requests a grant.

        :returns: grant id (0 for none), granted tokens, and the tokens that
            are left in the region's bucket.
        :raises PeerUnresponsiveError: if the region did not reply in time.
        :raises GatewayError: if the exchange failed.
        """
        batch = self.next_batch(region)
        index = len(batch.requested)
        batch.requested.append([organisation, tokens])
        try:
            with self.timers.move_on_after(REPLY_TIMEOUT_SECONDS):
                await batch.wait()
        finally:
            if not batch.done.is_set():
                batch.abandoned.add(index)
        if not batch.done.is_set():
            self.suspicions.record_silence(region, self.timers.now())
            raise errors.PeerUnresponsiveError(
                f'region {region} did not reply within'
                f' {REPLY_TIMEOUT_SECONDS} s'
            )
        return batch.grants[index]

    async def report(self, region: str, settled: list, refunded: list) -> None:
        """Reports ended grants and refunds unused reserved tokens.

        :raises GatewayError: if the exchange failed.
        """
        batch = self.next_batch(region)
        batch.settled += settled
        batch.refunded += refunded
        await batch.wait()

    def next_batch(self, region: str) -> Batch:
        """Returns the batch that is sent to a region next.

        :raises PeerUnreachableError: if the client is stopped.
        """
        if self.tasks is None:
            raise errors.PeerUnreachableError(
                f'cannot reach region {region}: the quota client is stopped'
            )
        batch = self.batches.get(region)
        if batch is None:
            batch = self.batches[region] = Batch()
            if region not in self.active_regions:
                self.active_regions.add(region)
                self.tasks.start_soon(self.exchange, region)
        return batch

    async def exchange(self, region: str) -> None:
        """Sends batches to a region until none is pending."""
        try:
            # Lets other tasks that are ready to run join the batch.
            await anyio.lowlevel.checkpoint()
            while region in self.batches:
                await self.send(region, self.batches.pop(region))
        finally:
            self.active_regions.discard(region)
            if region in self.batches:
                self.batches.pop(region).done.set()

    async def send(self, region: str, batch: Batch) -> None:
        message = [batch.settled, batch.refunded, batch.requested]
        try:
            batch.grants = await self.call_holder(region, message)
            batch.error = None
            self.suspicions.record_response(region)
            self.settle_abandoned(region, batch)
        except errors.GatewayError as error:
            batch.error = error
        finally:
            batch.done.set()

    def settle_abandoned(self, region: str, batch: Batch) -> None:
        """Returns grants whose requester has stopped waiting, unspent."""
        late = [
            [batch.requested[index][0], batch.grants[index][0], 0]
            for index in sorted(batch.abandoned)
            if batch.grants[index][0]
        ]
        if late:
            self.next_batch(region).settled += late

    async def call_holder(self, region: str, message: list) -> typing.Any:
        """Sends a message to the VM that holds a region's lease.

        A VM that does not hold the lease names the holder that it knows.

        :raises PeerUnreachableError: if no VM of the region replied as its
            holder.
        """
        candidates = self.vms_of(region)
        holder = self.holder_by_region.get(region)
        if holder in candidates:
            candidates = [holder, *(vm for vm in candidates if vm != holder)]
        tried: set[str] = set()
        while candidates:
            vm = candidates.pop(0)
            if vm in tried:
                continue
            tried.add(vm)
            try:
                reply = await self.mesh.call(
                    vm, f'allowance.{region}', message, CALL_TIMEOUT_SECONDS
                )
            except errors.NotLeaderError as error:
                if error.leader:
                    candidates.insert(0, error.leader)
                continue
            except errors.PeerError:
                continue
            self.holder_by_region[region] = vm
            return reply
        self.holder_by_region.pop(region, None)
        raise errors.PeerUnreachableError(
            f'no VM of region {region} replied as its lease holder'
        )
