"""Fair queue of requests for the backend servers of a service.

Requests are ordered by start-time fair queueing (Goyal, Vin and Cheng,
1996): in virtual time, an organisation's requests are spaced by their cost
over its weight, so that one that sends many requests does not delay another
that sends few.
"""

import collections.abc
import heapq
import itertools
import random

import anyio

from . import backend_pool
from . import errors
from . import timers as timer_service
from .policy import routing


class QueuedRequest:
    """A request in the queue.

    :ivar start_tag: virtual time that orders the queue.
    :ivar server: backend server whose slot it got.
    :ivar done: set once it has a slot or no longer waits.
    """

    __slots__ = ('done', 'excluded', 'prefix', 'server', 'start_tag')

    def __init__(
        self, start_tag: float, prefix: bytes, excluded: frozenset[str]
    ) -> None:
        self.start_tag = start_tag
        self.prefix = prefix
        self.excluded = excluded
        self.server: backend_pool.ServerState | None = None
        self.done = anyio.Event()


class ServiceQueue:
    """The requests that wait for one service on this VM.

    :param max_length: requests that may wait.
    """

    def __init__(
        self,
        service: backend_pool.ServicePool,
        timers: timer_service.Timers,
        rng: random.Random,
        max_length: int,
    ) -> None:
        self.service = service
        self.timers = timers
        self.rng = rng
        self.max_length = max_length
        self.heap: list[tuple[float, int, QueuedRequest]] = []
        self.sequence = itertools.count()
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}
        service.listeners.append(self.dispatch)

    def expected_wait(self) -> float:
        """Returns the estimated wait of a new request in seconds."""
        now = self.timers.now()
        candidates = self.service.candidates(now)
        capacity = sum(one.capacity for one in candidates)
        free = sum(max(0.0, one.capacity - one.load) for one in candidates)
        if self.service.waiting:
            free = 0.0
        return routing.expected_wait_seconds(
            free, self.service.waiting, capacity, self.service.mean_seconds
        )

    async def acquire(
        self,
        organisation: str,
        weight: float,
        cost: float,
        max_wait_seconds: float,
        prefix: bytes = b'',
        excluded: frozenset[str] = frozenset(),
    ) -> backend_pool.ServerState:
        """Returns a backend server with a slot reserved for the request.

        :param cost: tokens, or 1 for a plain service.
        :param max_wait_seconds: how long the request may wait.
        :param excluded: backend servers on which the request has failed.
        :raises UnavailableError: if no backend server is usable.
        :raises OverloadedError: immediately if the queue is full or the
            estimated wait too long, otherwise when the wait runs out.
        """
        now = self.timers.now()
        if not self.service.candidates(now, excluded):
            raise errors.UnavailableError(
                f'service {self.service.name} has no usable backend server',
                retry_after=1,
            )
        if not self.heap:
            server = self.choose_server(prefix, excluded)
            if server is not None:
                return self.take_slot(server)
        self.check_expected_wait(max_wait_seconds)
        queued = self.enqueue(organisation, weight, cost, prefix, excluded)
        try:
            with self.timers.move_on_after(max_wait_seconds):
                await queued.done.wait()
        except BaseException:
            if queued.server is not None:
                self.release(queued.server)
            raise
        finally:
            self.service.waiting -= 1
            if queued.server is None:
                queued.done.set()
        if queued.server is None:
            raise errors.OverloadedError(
                f'no backend server of {self.service.name} had a free slot'
                f' within {max_wait_seconds:g} s',
                retry_after=1,
            )
        return queued.server

    def check_expected_wait(self, max_wait_seconds: float) -> None:
        expected = self.expected_wait()
        if (
            expected > max_wait_seconds
            or self.service.waiting >= self.max_length
        ):
            raise errors.OverloadedError(
                f'a request to {self.service.name} would wait'
                f' {expected:.1f} s (limit {max_wait_seconds:g} s) behind'
                f' {self.service.waiting} others (limit {self.max_length})',
                retry_after=max(1.0, min(60.0, expected)),
            )

    def enqueue(
        self,
        organisation: str,
        weight: float,
        cost: float,
        prefix: bytes,
        excluded: frozenset[str],
    ) -> QueuedRequest:
        last_finish_tag = self.finish_tags.get(organisation, 0.0)
        start = max(self.virtual_time, last_finish_tag)
        self.finish_tags[organisation] = start + cost / weight
        queued = QueuedRequest(start, prefix, excluded)
        heapq.heappush(self.heap, (start, next(self.sequence), queued))
        self.service.waiting += 1
        return queued

    def choose_server(
        self, prefix: bytes, excluded: frozenset[str]
    ) -> backend_pool.ServerState | None:
        candidates = self.service.candidates(self.timers.now(), excluded)
        chosen = routing.choose_backend(candidates, prefix, self.rng)
        if chosen is None:
            return None
        return next(
            one for one in self.service.servers if one.name == chosen.name
        )

    def take_slot(
        self, server: backend_pool.ServerState
    ) -> backend_pool.ServerState:
        server.in_flight += 1
        return server

    def release(self, server: backend_pool.ServerState) -> None:
        """Frees the slot of a request that has ended."""
        server.in_flight -= 1
        self.dispatch()

    def dispatch(self) -> None:
        """Gives free slots to the requests at the head of the queue.

        Virtual time starts again at 0 when the queue is empty.
        """
        while self.heap:
            queued = self.heap[0][2]
            if queued.done.is_set():
                heapq.heappop(self.heap)
                continue
            server = self.choose_server(queued.prefix, queued.excluded)
            if server is None:
                return
            heapq.heappop(self.heap)
            self.virtual_time = max(self.virtual_time, queued.start_tag)
            queued.server = self.take_slot(server)
            queued.done.set()
        self.finish_tags.clear()
        self.virtual_time = 0.0


def make_queues(
    services: collections.abc.Iterable[backend_pool.ServicePool],
    timers: timer_service.Timers,
    rng: random.Random,
    max_length: int,
) -> dict[str, ServiceQueue]:
    """Returns a queue for each service, by the name of the service."""
    return {
        service.name: ServiceQueue(service, timers, rng, max_length)
        for service in services
    }
