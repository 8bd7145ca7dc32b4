"""Entry VMs of several regions before emulated engines, in fake time.

The dispatchers, pools, budgets and decisions are the product's; engines,
the network and the control VMs are emulated.
"""

import collections
import contextlib
import copy
import dataclasses
import heapq
import itertools
import random

import anyio
import orjson

from features import fleet_world
from greengagegw import errors
from greengagegw.fleet import agent as agents
from greengagegw.fleet import loads as region_loads
from greengagegw.fleet import members
from greengagegw.platform import documents
from greengagegw.serving import dispatcher as dispatchers
from greengagegw.serving import planner
from greengagegw.serving import ports
from greengagegw.serving import prompts
from greengagegw.serving import servers as server_pool
from greengagegw import timers as timer_service

ONE_WAY_SECONDS = 0.055
NEAR_SECONDS = 0.0014
READ_RATE = 55_000.0
STEP_SECONDS = 0.01
CALL_SECONDS = 0.09
EVENT_TOKENS = 8
ENGINE_MEMORY = 400_000
# How often control VMs are polled, and how old what they tell may be.
POLL_SECONDS = 0.5


class ReadingOrder:
    """Lets prompts be read one by one, the more urgent ones first."""

    def __init__(self):
        self.is_busy = False
        self.waiting = []
        self.numbers = itertools.count()

    @contextlib.asynccontextmanager
    async def turn(self, priority):
        if self.is_busy:
            turn = anyio.Event()
            entry = (priority, next(self.numbers), turn)
            heapq.heappush(self.waiting, entry)
            try:
                await turn.wait()
            except BaseException:
                if turn.is_set():
                    self.pass_on()
                else:
                    self.waiting.remove(entry)
                    heapq.heapify(self.waiting)
                raise
        self.is_busy = True
        try:
            yield
        finally:
            self.pass_on()

    def pass_on(self):
        self.is_busy = bool(self.waiting)
        if self.waiting:
            heapq.heappop(self.waiting)[2].set()


class Engine:
    """One backend server: reads prompts one by one, then generates."""

    def __init__(self, world, instance):
        self.world = world
        self.instance = instance
        self.reading = ReadingOrder()
        self.running = 0
        self.waiting_tokens = 0.0
        self.cache = prompts.PrefixCacheModel(ENGINE_MEMORY)
        self.behaviour = []
        self.arrivals = []
        self.closed = []
        self.tokens_read = 0
        self.slow = 1.0
        self.event_delay = 0.0

    @contextlib.asynccontextmanager
    async def serve(self, backend_request):
        timers = self.world.timers
        self.arrivals.append((timers.now(), backend_request))
        fault = self.behaviour.pop(0) if self.behaviour else None
        if fault == 'unreachable':
            raise errors.BackendConnectError('down')
        if fault == 'full':
            raise errors.BackendRefusedError('full')
        if fault == 'other instance':
            raise errors.WrongInstanceError('other')
        if fault == 'breaks before the answer':
            raise errors.BackendError('broke')
        if fault == 'silent':
            await timers.sleep(1000)
        if self.running >= self.instance.slots + 30:
            raise errors.BackendRefusedError('full')
        self.running += 1
        try:
            await self.read_prompt(backend_request)
            status = 500 if fault == 'fails' else 200
            load = ports.ReportedLoad(self.running, 0, self.instance.slots)
            yield ports.Response(
                status, (), self.generate(backend_request, fault), load
            )
        finally:
            self.running -= 1
            self.closed.append(
                (timers.now(), backend_request.request.request_id)
            )

    async def read_prompt(self, backend_request):
        timers = self.world.timers
        prompt = backend_request.request.prompt
        if prompt is None:
            await timers.sleep(CALL_SECONDS * self.slow)
            return
        async with self.reading.turn(
            0 if backend_request.is_resumption else 1
        ):
            unread = prompt.tokens - self.cache.cached_tokens(prompt)
            await timers.sleep(unread / READ_RATE * self.slow)
            self.cache.record_prompt(prompt)
            self.tokens_read += unread

    async def generate(self, backend_request, fault):
        prompt = backend_request.request.prompt
        if prompt is None:
            yield b'whole'
            return
        count = max(1, prompt.max_output_tokens // EVENT_TOKENS)
        first = int(backend_request.resume_after or 0) + 1
        for number in range(first, count + 1):
            event = f'id: {number}\ndata: {number}\n\n'.encode()
            if fault == 'breaks after 2 events' and number == 3:
                yield event[:7]
                raise errors.BrokenStreamError('broke')
            if fault == 'goes silent after 2 events' and number == 3:
                await self.world.timers.sleep(1000)
            yield event
            # A step takes longer the more requests share it.
            pause = STEP_SECONDS * (1 + self.running / 16) * self.slow
            if self.reading.is_busy:
                pause += self.event_delay
            await self.world.timers.sleep(pause)


class LoopStream:
    """One end of a stream between two VMs."""

    def __init__(self, world, sending, receiving):
        self.world = world
        self.sending = sending
        self.receiving = receiving

    async def send(self, message):
        await self.sending.send((self.world.timers.now(), message))

    async def receive(self):
        sent_at, message = await self.receiving.receive()
        await self.world.timers.sleep(
            sent_at + ONE_WAY_SECONDS - self.world.timers.now()
        )
        if isinstance(message, errors.GatewayError):
            raise message
        return message


class LoopMesh:
    """The peer port for streams and notices, without a network."""

    def __init__(self, world):
        self.world = world

    async def connect(self, vm):
        if vm in self.world.dark:
            raise errors.PeerUnreachableError(f'{vm} is dark')

    async def notify(self, vm, method, message):
        if vm in self.world.dark:
            raise errors.PeerUnreachableError(f'{vm} is dark')
        await self.world.timers.sleep(NEAR_SECONDS)
        handler = self.world.dispatchers[vm].handlers()[method]
        await handler('peer', copy.deepcopy(message))

    @contextlib.asynccontextmanager
    async def open(self, vm, method, message):
        world = self.world
        if vm in world.dark:
            raise errors.PeerUnreachableError(f'{vm} is dark')
        world.forwarded[vm] += 1
        there, here = [
            anyio.create_memory_object_stream(100) for _ in range(2)
        ]
        far = LoopStream(world, here[0], there[1])
        near = LoopStream(world, there[0], here[1])
        with anyio.CancelScope() as scope:
            world.tasks.start_soon(self.serve, vm, message, far, scope)
        try:
            yield near
        finally:
            far.cancelled.cancel()

    async def serve(self, vm, message, far, _):
        with anyio.CancelScope() as scope:
            far.cancelled = scope
            await self.world.timers.sleep(ONE_WAY_SECONDS)
            try:
                await self.world.dispatchers[vm].serve_for_peer(
                    'peer', message, far
                )
            except errors.GatewayError as error:
                await far.send(error)
            far.sending.close()


class StubQuotaClient:
    def __init__(self):
        self.spent = 0.0

    async def acquire(self, name, tokens):
        self.spent += tokens

    def refund(self, name, tokens):
        self.spent -= tokens


class StubAgent:
    """What a dispatcher asks of its agent."""

    def __init__(self):
        self.view = agents.FleetView()
        self.has_lease = True
        self.quota_client = StubQuotaClient()


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a caller saw."""

    request_id: str
    kind: str
    region: str
    sent_at: float
    objective: float
    status: int = 0
    body: bytes = b''
    first_at: float | None = None
    ended_at: float | None = None
    error: errors.GatewayError | None = None
    size: int = 0
    key: str = ''

    @property
    def is_on_time(self):
        return (
            self.error is None
            and self.first_at is not None
            and self.first_at - self.sent_at <= self.objective
        )


class ServingWorld:
    """Entry VMs and engines of regions, with callers to drive them.

    :param layout: engines and entry VMs by region.
    """

    def __init__(self, layout, seed=1, routes=None, tenants=None):
        self.timers = timer_service.ManualTimers()
        self.timers.settle_rounds = 12
        self.rng = random.Random(seed)
        self.regions = {f'{name}-1': name for name in layout}
        self.engines = {}
        self.dispatchers = {}
        self.entries = []
        self.forwarded = collections.Counter()
        self.dark = set()
        self.tasks = None
        self.outcomes = []
        self.agents = {}
        self.loads = {}
        routes = routes or [fleet_world.route()]
        self.configuration = documents.decode(
            orjson.dumps(fleet_world.document(routes=routes, tenants=tenants))
        )
        for name, (engines, entries) in layout.items():
            for at in range(engines):
                self.add_engine(f'i-{name}{at}', f'{name}-1')
            self.add_engine(f'i-{name}desk', f'{name}-1', 'desk', 6)
            for at in range(entries):
                vm = f'{name}{at}'
                self.entries.append(
                    members.EntryVm(
                        vm,
                        f'{vm}:80',
                        name,
                        f'{name}-1',
                        members.EntryState.SERVING,
                    )
                )
        for entry in self.entries:
            self.add_dispatcher(entry)

    def add_engine(self, name, domain, service='engine', slots=64):
        instance = fleet_world.instance(
            name, domain=domain, service=service, slots=slots
        )
        self.engines[name] = Engine(self, instance)

    def add_dispatcher(self, entry):
        agent = StubAgent()
        self.agents[entry.vm] = agent
        pool = server_pool.ServerPool(agent.view, entry.region, self.regions)
        self.dispatchers[entry.vm] = dispatchers.Dispatcher(
            entry.vm,
            self.timers,
            LoopMesh(self),
            agent,
            pool,
            self,
            planner.RetrySettings(0.2, 50, 10.0),
            random.Random(self.rng.random()),
        )

    def send(self, instance, backend_request):
        return self.engines[instance.name].serve(backend_request)

    @contextlib.asynccontextmanager
    async def running(self):
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            # The first makes the servers known whose loads the next tells.
            self.refresh()
            self.refresh()
            tasks.start_soon(self.keep_views)
            for dispatcher in self.dispatchers.values():
                tasks.start_soon(dispatcher.run)
            yield self
            tasks.cancel_scope.cancel()

    async def keep_views(self):
        while True:
            await self.timers.sleep(POLL_SECONDS)
            self.refresh()

    def refresh(self):
        """Gives each entry VM what its control VM would tell it."""
        # What the other control VMs heard is a poll older.
        loads, self.loads = (
            self.loads,
            {
                entry.vm: dispatchers.estimate_region_loads(
                    self.dispatchers[entry.vm]
                )
                for entry in self.entries
            },
        )
        loads = loads or self.loads
        told = {
            region: region_loads.combine(
                loads[entry.vm]
                for entry in self.entries
                if entry.region == region
            )
            for region in self.regions.values()
        }
        for entry in self.entries:
            view = self.agents[entry.vm].view
            view.configuration = self.configuration
            view.entry_vms = tuple(
                one for one in self.entries if one.vm not in self.dark
            )
            view.instances = {
                name: engine.instance for name, engine in self.engines.items()
            }
            view.instance_list_read_at = view.loads_requested_at = (
                self.timers.now()
            )
            view.loads = told
            self.dispatchers[entry.vm].pool.update(self.timers.now())

    def request(
        self,
        number,
        path='/chat/x',
        prompt=None,
        timeout_seconds=12.0,
        key='key-1',
    ):
        return ports.Request(
            request_id=f'r-{number}',
            method='POST',
            target=path.encode(),
            host='h.example',
            path=path,
            headers=(),
            body=b'{}',
            key=key,
            client_timeout_seconds=timeout_seconds,
            prompt=prompt,
            resume_after=None,
        )

    async def call(self, vm, request, objective=1.0, kind=''):
        """Sends a request to an entry VM, and keeps what came back."""
        region = next(one.region for one in self.entries if one.vm == vm)
        outcome = Outcome(
            request.request_id,
            kind,
            region,
            self.timers.now(),
            objective,
            key=request.key,
        )
        self.outcomes.append(outcome)
        try:
            async with self.dispatchers[vm].handle(request) as answer:
                outcome.status = answer.status
                async for chunk in answer.chunks:
                    if outcome.first_at is None:
                        outcome.first_at = self.timers.now()
                    outcome.body += chunk
        except errors.GatewayError as error:
            outcome.error = error
        outcome.ended_at = self.timers.now()
        return outcome

    def post(self, vm, request, objective=1.0, kind=''):
        self.tasks.start_soon(self.call, vm, request, objective, kind)
