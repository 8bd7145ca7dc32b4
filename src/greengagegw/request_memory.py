"""The memory that clients' requests hold, and who gives way when it is short.

All connections of a process draw on one account. What counts is what has
arrived, with its copies, not what a head declares.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import enum
import heapq
import itertools

from . import errors
from . import machine

# Memory of the program, its libraries and its state.
PROGRAM_BYTES = 80_000_000
# A small machine gives requests at least this part of its memory.
MIN_USABLE_SHARE = 0.25
# Parts of the memory that the program leaves. The rest is for responses and
# for the connections to backend servers and peers.
REQUEST_SHARE = 0.5
CONNECTION_SHARE = 0.25
# A connection with its tasks and its buffers, without content.
CONNECTION_BYTES = 24 * 1024
# What a connection to a backend server keeps of a response while the client
# does not read.
RESPONSE_BUFFER_BYTES = 64 * 1024
# What the kernel may have received on a connection that is not read.
KERNEL_BUFFER_BYTES = 64 * 1024
# A request that runs is kept for retries while a copy of it is sent.
RUNNING_COPIES = 2
# Requests up to this size can use all of the account, larger ones a part.
SMALL_BYTES = 64 * 1024
LARGE_SHARE = 0.75
# Part of the account that is freed at once, so that a crowd does not cause a
# search for each of its packets.
RECLAIM_SHARE = 0.1
# Part of the account that running requests may grow to. It lies below what a
# reclaim leaves, so that small requests that arrive stay.
GROWTH_SHARE = 0.8
# Another VM may have room at once, and this one when others have given way.
RETRY_AFTER_SECONDS = 1.0


# Why a request or connection gives way: there is no memory, no descriptor is
# left, or the client does not read.
REASONS = ('memory', 'connections', 'unread')


class Phase(enum.Enum):
    """What a connection does with the memory that it holds."""

    IDLE = 'idle'
    ARRIVING = 'arriving'
    RUNNING = 'running'
    # Waits for a client that does not read, or sends ahead of its responses.
    STALLED = 'stalled'
    # Told to give way; what it held no longer counts.
    REJECTED = 'rejected'


RECLAIMABLE = (Phase.ARRIVING, Phase.STALLED)


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryLimits:
    """How the memory of a machine is divided; in bytes.

    :ivar request_bytes: of all requests.
    :ivar large_bytes: of the running requests that are large.
    :ivar connection_bytes: of all connections, without content.
    """

    request_bytes: int
    large_bytes: int
    connection_bytes: int

    @property
    def connections(self) -> int:
        """How many connections the memory is enough for."""
        return self.connection_bytes // CONNECTION_BYTES


def divide(limits: machine.MachineLimits) -> MemoryLimits:
    """Divides the memory of a machine."""
    usable = max(
        limits.memory_bytes - PROGRAM_BYTES,
        MIN_USABLE_SHARE * limits.memory_bytes,
    )
    request_bytes = int(usable * REQUEST_SHARE)
    return MemoryLimits(
        request_bytes,
        int(request_bytes * LARGE_SHARE),
        int(usable * CONNECTION_SHARE),
    )


class Holding:
    """What one connection holds.

    :param origin: address of the client.
    :param reject: called once if the connection has to give way.
    :ivar size: bytes that count.
    :ivar large_size: part of it that counts as large and running.
    :ivar progressed_at: monotonic seconds at which bytes arrived last.
    """

    __slots__ = (
        'large_size',
        'origin',
        'phase',
        'progressed_at',
        'reject',
        'size',
    )

    def __init__(
        self, origin: str, reject: collections.abc.Callable[[], None]
    ) -> None:
        self.origin = origin
        self.reject = reject
        self.phase = Phase.IDLE
        self.size = 0
        self.large_size = 0
        self.progressed_at = 0.0


class RequestMemory:
    """The account of the memory of all requests of a process.

    :ivar held_bytes: what all holdings hold together.
    :ivar large_bytes: part of it that large running requests hold.
    :ivar rejections: how often a reason led to a rejection.
    """

    def __init__(
        self,
        limits: MemoryLimits,
        now: collections.abc.Callable[[], float],
    ) -> None:
        self.limits = limits
        self.now = now
        self.holdings: set[Holding] = set()
        self.held_bytes = 0
        self.large_bytes = 0
        self.rejections: collections.Counter[str] = collections.Counter()

    def open(
        self, origin: str, reject: collections.abc.Callable[[], None]
    ) -> Holding:
        """Returns the holding of a new connection."""
        holding = Holding(origin, reject)
        self.holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Ends a holding."""
        self.set_size(holding, 0)
        self.holdings.discard(holding)

    def set_size(self, holding: Holding, size: int) -> None:
        """Sets what a holding holds, and no longer counts it as large."""
        if holding not in self.holdings:
            return
        self.held_bytes += size - holding.size
        holding.size = size
        self.large_bytes -= holding.large_size
        holding.large_size = 0

    def add(self, holding: Holding, count: int) -> None:
        """Counts bytes that have arrived, and makes room if it is short."""
        holding.progressed_at = self.now()
        if holding.phase is Phase.REJECTED or holding not in self.holdings:
            return
        holding.size += count
        self.held_bytes += count
        if self.held_bytes > self.limits.request_bytes:
            self.reclaim()

    def reclaim(self) -> None:
        """Makes requests give way that have not arrived completely."""
        allowed = self.limits.request_bytes * (1 - RECLAIM_SHARE)
        victims = choose_victims(
            [one for one in self.holdings if one.phase in RECLAIMABLE],
            self.held_bytes - allowed,
            self.now(),
        )
        for one in victims:
            self.reject(one, 'memory')

    def reject(self, holding: Holding, reason: str) -> None:
        """Makes a holding give way."""
        if holding.phase is Phase.REJECTED:
            return
        self.rejections[reason] += 1
        holding.phase = Phase.REJECTED
        self.set_size(holding, 0)
        holding.reject()

    @contextlib.contextmanager
    def hold_forwarded(
        self, peer: str, size: int
    ) -> collections.abc.Iterator[None]:
        """Counts a request that another VM has forwarded.

        :raises OverloadedError: if there is no room for it.
        """
        holding = self.open(peer, lambda: None)
        try:
            if not self.begin_running(holding, size):
                raise make_error()
            yield
        finally:
            self.close(holding)

    def begin_running(self, holding: Holding, size: int) -> bool:
        """Counts a complete request of a size with its copies.

        :returns: False if there is no room for it.
        """
        if holding not in self.holdings:
            # The client has gone.
            return False
        held = RUNNING_COPIES * size
        if not self.has_room(held - holding.size, held):
            self.rejections['memory'] += 1
            return False
        self.set_size(holding, held)
        holding.phase = Phase.RUNNING
        self.count_large(holding)
        return True

    def extend(self, holding: Holding, count: int) -> bool:
        """Counts further bytes that a running request needs.

        :returns: False if there is no room for them.
        """
        if holding not in self.holdings:
            return False
        held = holding.size + count
        if not self.can_grow(count) or not self.has_room(
            count, held - holding.large_size
        ):
            self.rejections['memory'] += 1
            return False
        holding.size = held
        self.held_bytes += count
        self.count_large(holding)
        return True

    def can_grow(self, count: int) -> bool:
        """Returns whether running requests may need further bytes.

        They leave a part of the account to requests that arrive, which would
        have to give way to them otherwise, and would get no response.
        """
        allowed = self.limits.request_bytes * GROWTH_SHARE
        if self.held_bytes + count <= allowed:
            return True
        reclaimable = sum(
            one.size for one in self.holdings if one.phase in RECLAIMABLE
        )
        return self.held_bytes - reclaimable + count <= allowed

    def has_room(self, count: int, large_count: int) -> bool:
        """Returns whether further bytes fit, after others have given way.

        :param large_count: bytes that would count as large, if they are more
            than a small request has.
        """
        if (
            large_count > RUNNING_COPIES * SMALL_BYTES
            and self.large_bytes + large_count > self.limits.large_bytes
        ):
            return False
        if self.held_bytes + count > self.limits.request_bytes:
            self.reclaim()
        return self.held_bytes + count <= self.limits.request_bytes

    def count_large(self, holding: Holding) -> None:
        self.large_bytes -= holding.large_size
        is_large = holding.size > RUNNING_COPIES * SMALL_BYTES
        holding.large_size = holding.size if is_large else 0
        self.large_bytes += holding.large_size


def make_error() -> errors.OverloadedError:
    """Returns the error of a request that there is no room for."""
    return errors.OverloadedError(
        'the requests of this VM need more memory than there is',
        retry_after=RETRY_AFTER_SECONDS,
    )


def choose_victims(
    candidates: collections.abc.Iterable[Holding],
    needed_bytes: float,
    now: float,
) -> list[Holding]:
    """Returns the holdings that have to give way, at least one if any can.

    Large ones go before small ones, and among these those of the client that
    holds most, beginning with what is largest and has waited longest.
    """
    victims: list[Holding] = []
    by_size: dict[bool, list[Holding]] = {True: [], False: []}
    for one in candidates:
        if one.size:
            by_size[one.size > SMALL_BYTES].append(one)
    for group in (by_size[True], by_size[False]):
        for one in order_victims(group, now):
            if needed_bytes <= 0 and victims:
                return victims
            victims.append(one)
            needed_bytes -= one.size
    return victims


def order_victims(
    candidates: list[Holding], now: float
) -> collections.abc.Iterator[Holding]:
    """Yields holdings, each time of the client that still holds most."""
    by_origin: dict[str, list[Holding]] = {}
    for one in candidates:
        by_origin.setdefault(one.origin, []).append(one)
    tie = itertools.count()
    heap = []
    for holdings in by_origin.values():
        holdings.sort(key=lambda one: one.size * (1 + now - one.progressed_at))
        total = sum(one.size for one in holdings)
        heap.append((-total, next(tie), holdings))
    heapq.heapify(heap)
    while heap:
        negative_total, _, holdings = heapq.heappop(heap)
        chosen = holdings.pop()
        if holdings:
            total = negative_total + chosen.size
            heapq.heappush(heap, (total, next(tie), holdings))
        yield chosen
