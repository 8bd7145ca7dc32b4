"""Detects that a backend server has ended under requests of this VM.

A connection that breaks may have been reset while its server goes on. Only a
server that no longer accepts connections, or that another run has replaced,
has ended.
"""

import collections
import collections.abc
import dataclasses
import math

import anyio
import anyio.abc
import eliot

from .. import timers as timer_service
from . import departures
from ..fleet import instances
from . import jobs
from ..policy import crash_attribution
from . import ports
from . import servers as server_pool

# Connections to a server that ended break within this time of each other.
SETTLE_SECONDS = 0.05
# An interruption is related to an end of its server that is noticed within
# this time. A server that has crashed starts again after some seconds.
RELATED_SECONDS = 3.0
MAX_RUNS = 200
MAX_REQUESTS_PER_RUN = 64
# Servers beside one that refuses connections that are asked for one.
MAX_SERVERS_TO_ASK = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEnd:
    """The end of a server's run, as one VM noticed it.

    :ivar requests: requests of this VM that it interrupted.
    """

    service: str
    run: departures.Run
    requests: tuple[crash_attribution.Interruption, ...]


class EndDetector:
    """Relates interrupted requests to the ends of their servers.

    :param on_end: called with each end of a server that was running requests.
        Called again for requests whose interruption is noticed later.
    :ivar interrupted: recent interruptions by run, the oldest run first.
    :ivar ended: runs that have ended, the oldest first.
    :ivar on_sound: called for responses that broke off if their server is
        found to go on.
    """

    def __init__(
        self,
        timers: timer_service.Timers,
        pool: server_pool.ServerPool,
        backend: ports.BackendPort,
        on_end: collections.abc.Callable[[ServerEnd], None],
    ) -> None:
        self.timers = timers
        self.pool = pool
        self.backend = backend
        self.on_end = on_end
        self.interrupted: collections.OrderedDict[
            departures.Run, collections.deque[crash_attribution.Interruption]
        ] = collections.OrderedDict()
        self.ended: collections.OrderedDict[departures.Run, None] = (
            collections.OrderedDict()
        )
        self.on_sound: dict[
            departures.Run, list[collections.abc.Callable[[], None]]
        ] = {}
        self.unchecked: dict[departures.Run, instances.Instance] = {}
        self.has_unchecked = anyio.Event()

    def record_interruption(
        self,
        instance: instances.Instance,
        job: jobs.Job,
        sent_at: float,
        on_sound: collections.abc.Callable[[], None] | None = None,
    ) -> None:
        """Records that the connection broke before a response was complete.

        :param on_sound: called if the server goes on; None if the response
            had not begun.
        """
        self.add_request(instance, job, sent_at)
        run = departures.run_of(instance)
        if run in self.ended:
            self.report(instance, 'had ended already')
            return
        if on_sound is not None and run in self.interrupted:
            self.on_sound.setdefault(run, []).append(on_sound)
        self.check_again(instance)

    def record_close(
        self,
        instance: instances.Instance,
        job: jobs.Job,
        sent_at: float,
        on_sound: collections.abc.Callable[[], None],
    ) -> None:
        """Records that a response ended with its connection.

        :param on_sound: called if the server is not known to have ended some
            time later.
        """
        self.add_request(instance, job, sent_at)
        run = departures.run_of(instance)

        def check() -> None:
            if run not in self.ended:
                on_sound()

        self.timers.call_later(RELATED_SECONDS, check)

    def check_again(self, instance: instances.Instance) -> None:
        """Checks whether a server that interrupted requests has ended."""
        run = departures.run_of(instance)
        if run in self.interrupted:
            self.unchecked[run] = instance
            self.has_unchecked.set()

    def add_request(
        self, instance: instances.Instance, job: jobs.Job, sent_at: float
    ) -> None:
        """Adds a request that an end of the server may have interrupted."""
        prompt = job.generation_prompt
        segments = () if prompt is None else prompt.segments
        run = departures.run_of(instance)
        requests = self.interrupted.setdefault(
            run, collections.deque(maxlen=MAX_REQUESTS_PER_RUN)
        )
        requests.append(
            crash_attribution.Interruption(
                job.request.request_id,
                tuple(one.name for one in segments),
                sent_at,
                self.timers.now(),
                job.digest,
            )
        )
        while len(self.interrupted) > MAX_RUNS:
            self.interrupted.popitem(last=False)

    def record_end(self, instance: instances.Instance, reason: str) -> None:
        """Records that a run is known to have ended."""
        run = departures.run_of(instance)
        if run in self.ended:
            return
        self.ended[run] = None
        while len(self.ended) > MAX_RUNS:
            self.ended.popitem(last=False)
        self.report(instance, reason)

    def report(self, instance: instances.Instance, reason: str) -> None:
        """Reports the requests that the end of a run interrupted."""
        run = departures.run_of(instance)
        now = self.timers.now()
        server = self.pool.servers.get(instance.name)
        active_until = -math.inf if server is None else server.last_activity_at
        requests = tuple(
            one
            for one in self.interrupted.pop(run, ())
            if now - one.interrupted_at <= RELATED_SECONDS
            and active_until <= one.interrupted_at + SETTLE_SECONDS
        )
        if not requests:
            return
        # A server that leaves ends with whatever it still runs.
        is_leaving = self.pool.is_leaving(instance)
        eliot.log_message(
            'server:ended',
            server=run[0],
            born=run[1],
            service=instance.service,
            software=instance.software_version,
            reason=reason,
            leaving=is_leaving,
            requests=[
                [
                    one.request_id,
                    list(one.segments),
                    round(one.interrupted_at - one.sent_at, 3),
                    one.digest,
                ]
                for one in requests
            ],
        )
        if not is_leaving:
            self.on_end(ServerEnd(instance.service, run, requests))

    async def run(self) -> None:
        """Checks servers that interrupted requests, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self.has_unchecked.wait()
                self.has_unchecked = anyio.Event()
                unchecked, self.unchecked = self.unchecked, {}
                for instance in unchecked.values():
                    tasks.start_soon(self.check, instance)

    async def check(self, instance: instances.Instance) -> None:
        await self.timers.sleep(SETTLE_SECONDS)
        has_ended = await self.backend.is_refusing_connections(instance)
        on_sound = self.on_sound.pop(departures.run_of(instance), [])
        if has_ended:
            if await self.reaches_another(instance):
                self.record_end(instance, 'refuses connections')
            else:
                eliot.log_message(
                    'server:end_not_confirmed',
                    server=instance.name,
                    service=instance.service,
                    reason='this VM reaches no other server either',
                )
        else:
            for record_soundness in on_sound:
                record_soundness()
            eliot.log_message(
                'server:interrupted',
                server=instance.name,
                service=instance.service,
                requests=len(
                    self.interrupted.get(departures.run_of(instance), ())
                ),
            )

    async def reaches_another(self, instance: instances.Instance) -> bool:
        """Returns whether a server beside one that has ended is reached.

        A VM that lost its servers would take all of them for ended. True if
        the region has no other server.
        """
        others = self.other_instances(instance)
        return not others or await self.is_any_accepting(others)

    async def reaches_any(self, instance: instances.Instance) -> bool:
        """Returns whether a server or some of those beside it are reached."""
        return await self.is_any_accepting(
            [instance, *self.other_instances(instance)]
        )

    def other_instances(
        self, instance: instances.Instance
    ) -> list[instances.Instance]:
        """Returns the servers to ask beside one.

        Those that answered last are the most likely to be there.
        """
        others = [
            server.instance
            for name, server in self.pool.servers.items()
            if name != instance.name and self.pool.is_present(server.instance)
        ]
        others.sort(
            key=lambda one: self.pool.servers[one.name].last_activity_at,
            reverse=True,
        )
        return others[:MAX_SERVERS_TO_ASK]

    async def is_any_accepting(self, asked: list[instances.Instance]) -> bool:
        accepted: list[bool] = []

        async def ask(other: instances.Instance) -> None:
            accepted.append(await self.backend.is_accepting_connections(other))

        async with anyio.create_task_group() as tasks:
            for one in asked:
                tasks.start_soon(ask, one)
        return any(accepted)
