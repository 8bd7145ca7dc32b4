"""Queues requests for a service's backend servers, fair to organisations.

Requests are ordered by start-time fair queueing (Goyal, Vin and Cheng,
1996): an organisation's requests follow each other at a distance that is
their cost over its weight, so that one that sends much does not hold up
another that sends little.
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
    """A request in the queue."""

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

    :param longest: number of requests that may wait.
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
        """Returns the seconds that a new request is thought to wait."""
        now = self.timers.now()
        candidates = self.service.candidates(now)
        room = sum(one.capacity for one in candidates)
        free = sum(max(0.0, one.capacity - one.load) for one in candidates)
        if self.service.waiting:
            free = 0.0
        return routing.expected_wait_seconds(
            free, self.service.waiting, room, self.service.mean_seconds
        )

    async def acquire(
        self,
        organisation: str,
        weight: float,
        cost: float,
        wait: float,
        prefix: bytes = b'',
        excluded: frozenset[str] = frozenset(),
    ) -> backend_pool.ServerState:
        """Returns a backend server with a slot taken for the request.

        :param cost: tokens, or 1 for a plain call.
        :param wait: seconds that the request may wait.
        :param excluded: backend servers that have failed the request.
        :raises UnavailableError: if no backend server is usable.
        :raises OverloadedError: at once if the wait would be too long.
        """
        now = self.timers.now()
        if not self.service.candidates(now, excluded):
            raise errors.UnavailableError(
                f'no backend server of {self.service.name} is usable',
                retry_after=1,
            )
        if not self.heap:
            runner = self.choose_server(prefix, excluded)
            if runner is not None:
                return self.take_slot(runner)
        self.check_expected_wait(wait)
        waiting = self.enqueue(organisation, weight, cost, prefix, excluded)
        try:
            with self.timers.limit(wait):
                await waiting.done.wait()
        except BaseException:
            if waiting.server is not None:
                self.release(waiting.server)
            raise
        finally:
            self.service.waiting -= 1
            if waiting.server is None:
                waiting.done.set()
        if waiting.server is None:
            raise errors.OverloadedError(
                f'{self.service.name} is full', retry_after=1
            )
        return waiting.server

    def check_expected_wait(self, wait: float) -> None:
        expected = self.expected_wait()
        if expected > wait or self.service.waiting >= self.max_length:
            raise errors.OverloadedError(
                f'{self.service.name} would keep the request waiting for'
                f' {expected:.1f} s',
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
        last = self.finish_tags.get(organisation, 0.0)
        start = max(self.virtual_time, last)
        self.finish_tags[organisation] = start + cost / weight
        waiting = QueuedRequest(start, prefix, excluded)
        heapq.heappush(self.heap, (start, next(self.sequence), waiting))
        self.service.waiting += 1
        return waiting

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
        self, runner: backend_pool.ServerState
    ) -> backend_pool.ServerState:
        runner.in_flight += 1
        return runner

    def release(self, runner: backend_pool.ServerState) -> None:
        """Gives back the slot of a request that has ended."""
        runner.in_flight -= 1
        self.dispatch()

    def dispatch(self) -> None:
        """Gives free slots to the requests at the head of the queue."""
        while self.heap:
            waiting = self.heap[0][2]
            if waiting.done.is_set():
                heapq.heappop(self.heap)
                continue
            runner = self.choose_server(waiting.prefix, waiting.excluded)
            if runner is None:
                return
            heapq.heappop(self.heap)
            self.virtual_time = max(self.virtual_time, waiting.start_tag)
            waiting.server = self.take_slot(runner)
            waiting.done.set()
        self.finish_tags.clear()
        self.virtual_time = 0.0


def make_queues(
    services: collections.abc.Iterable[backend_pool.ServicePool],
    timers: timer_service.Timers,
    rng: random.Random,
    longest: int,
) -> dict[str, ServiceQueue]:
    """Returns a queue for each service, by the service's name."""
    return {
        service.name: ServiceQueue(service, timers, rng, longest)
        for service in services
    }
