"""Entry VMs of several regions with emulated engines, in fake time.

Dispatchers, server pools, retry budgets and planners are the real ones;
engines, the network and the control VMs are emulated.
"""

import collections
import contextlib
import copy
import dataclasses
import heapq
import itertools
import math
import random

import anyio
import anyio.lowlevel
import orjson

from features import fleet_world
from greengagegw import errors
from greengagegw.fleet import agent as agents
from greengagegw.fleet import crash_watch
from greengagegw.fleet import loads as region_loads
from greengagegw.fleet import members
from greengagegw.fleet import origin_history
from greengagegw.fleet import origin_table
from greengagegw.fleet import retry_records
from greengagegw.fleet import server_notices
from greengagegw.fleet import store as stores
from greengagegw import held_requests
from greengagegw.platform import documents
from greengagegw.serving import dispatcher as dispatchers
from greengagegw.serving import ports
from greengagegw.serving import prompts
from greengagegw.serving import retry_budget
from greengagegw.serving import servers as server_pool
from greengagegw import timers as timer_service

INTER_REGION_SECONDS = 0.055
INTRA_REGION_SECONDS = 0.0014
PREFILL_RATE = 55_000.0
STEP_SECONDS = 0.01
CALL_SECONDS = 0.09
EVENT_TOKENS = 8
CACHE_CAPACITY_TOKENS = 400_000
# Interval between polls of the control VMs, and the age of their reports.
POLL_SECONDS = 0.5
CONNECT_TIMEOUT_SECONDS = 0.4
KEPT_CONNECTIONS = 4
CONTROL_VM = 'control'
CONTROL_VMS = tuple(f'{CONTROL_VM}-vm{at}' for at in range(3))
# From the crash of an engine until another instance starts.
RESTART_SECONDS = 3.0
ENDLESS_CHUNK = b'x' * (256 * 1024)
ERROR_FAULTS = ('responds with an error', 'responds with an error page')
# Faults of a response without a length that ends with its connection.
CLOSE_FAULTS = (
    'closes before the first event',
    'closes within the third event',
)
# Paragraphs as the end of an event is one, but no part of a stream.
ERROR_HEAD = (
    b'HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json'
    b'\r\n\r\n{"error": "out of memory"}\n\n'
)
ERROR_JSON = b'{\n\n"error": "out of memory"\n\n}'


class PrefillQueue:
    """Serializes prefills, the more urgent ones first."""

    def __init__(self):
        self.is_busy = False
        self.waiting = []
        self.numbers = itertools.count()

    @contextlib.asynccontextmanager
    async def slot(self, priority):
        if self.is_busy:
            is_next = anyio.Event()
            entry = (priority, next(self.numbers), is_next)
            heapq.heappush(self.waiting, entry)
            try:
                await is_next.wait()
            except BaseException:
                if is_next.is_set():
                    self.release()
                else:
                    self.waiting.remove(entry)
                    heapq.heapify(self.waiting)
                raise
        self.is_busy = True
        try:
            yield
        finally:
            self.release()

    def release(self):
        self.is_busy = bool(self.waiting)
        if self.waiting:
            heapq.heappop(self.waiting)[2].set()


class EmulatedEngine:
    """A backend server that prefills prompts one by one, then generates."""

    def __init__(self, world, instance):
        self.world = world
        self.instance = instance
        self.prefill_queue = PrefillQueue()
        self.running = 0
        self.waiting_tokens = 0.0
        self.cache = prompts.PrefixCacheModel(CACHE_CAPACITY_TOKENS)
        self.pending_faults = []
        self.arrivals = []
        self.closed = []
        self.prefilled_tokens = 0
        self.endless_bytes = 0
        self.slowdown = 1.0
        # Whether it reports how slow its machine is at present.
        self.reports_slowdown = False
        self.event_delay = 0.0
        self.is_leaving = False
        # Until then, it sends nothing, but accepts requests.
        self.silent_until = 0.0
        self.pause_seconds = 0.0
        # Requests a second that it names as its limit.
        self.request_limit = math.inf
        # Requests that it can reject in a second without crashing.
        self.rejection_limit = math.inf
        self.rejected_at = []
        self.queue_size = 30
        self.status = 200
        # When it crashed, None while it runs.
        self.crashed_at = None
        self.crashed = anyio.Event()
        # Whether its responses have no length and end with the connection.
        self.closes_orderly = False

    def crash(self):
        """Ends the engine; another instance starts some seconds later."""
        if self.crashed_at is None:
            self.crashed_at = self.world.timers.now()
            self.crashed.set()
            self.world.crashes.append(self.crashed_at)
            self.world.tasks.start_soon(self.world.replace_engine, self)

    @contextlib.asynccontextmanager
    async def serve(self, backend_request, on_notice):
        timers = self.world.timers
        if self.crashed_at is not None:
            if self.world.has_stale_connections:
                await timers.sleep(2 * INTRA_REGION_SECONDS)
                raise errors.BackendError('a kept connection was closed')
            raise errors.BackendConnectError('the engine has crashed')
        self.arrivals.append((timers.now(), backend_request))
        if self.pause_seconds:
            on_notice(ports.ServerNotice(self.is_leaving, self.pause_seconds))
            raise errors.BackendRefusedError(
                'the engine is full', retry_after=self.pause_seconds
            )
        fault = self.pending_faults.pop(0) if self.pending_faults else None
        if fault == 'unreachable':
            raise errors.BackendConnectError('the engine is unreachable')
        if fault == 'full':
            raise errors.BackendRefusedError('the engine is full')
        if fault == 'other instance':
            raise errors.WrongInstanceError('another instance has the address')
        if fault == 'disconnects before responding':
            raise errors.BackendError(
                'the connection broke before the response'
            )
        if fault == 'silent':
            await timers.sleep(1000)
        if self.running >= self.instance.slots + self.queue_size:
            self.record_rejection()
            on_notice(ports.ServerNotice(rejection_limit=self.rejection_limit))
            raise errors.BackendRefusedError('the engine is full')
        self.running += 1
        try:
            await self.prefill(backend_request)
            await self.end_silence()
            status = 500 if fault in ERROR_FAULTS else self.status
            on_notice(
                ports.ServerNotice(
                    self.is_leaving,
                    request_limit=self.request_limit,
                    rejection_limit=self.rejection_limit,
                )
            )
            load = ports.ReportedLoad(
                self.running,
                0,
                self.instance.slots,
                self.slowdown if self.reports_slowdown else None,
            )
            yield ports.Response(
                status,
                ((b'stamp', self.instance.software_version.encode()),),
                self.generate(backend_request, fault),
                load,
                fault in CLOSE_FAULTS or self.closes_orderly,
                is_event_stream=fault != 'responds with JSON and status 200',
            )
        finally:
            self.running -= 1
            self.closed.append(
                (timers.now(), backend_request.request.request_id)
            )

    def record_rejection(self):
        """Crashes a brittle engine that has rejected too many requests."""
        now = self.world.timers.now()
        self.rejected_at.append(now)
        recent = sum(now - at < 1.0 for at in self.rejected_at)
        if recent > self.rejection_limit:
            self.crash()

    async def end_silence(self):
        timers = self.world.timers
        await timers.sleep(self.silent_until - timers.now())

    async def prefill(self, backend_request):
        timers = self.world.timers
        await self.end_silence()
        prompt = backend_request.request.prompt
        is_crashing = (
            backend_request.request.body in self.world.crashing_bodies
        )
        if prompt is None:
            await self.run_call(CALL_SECONDS * self.slowdown, is_crashing)
            return
        async with self.prefill_queue.slot(
            0 if backend_request.is_resumption else 1
        ):
            unread = prompt.tokens - self.cache.cached_tokens(prompt)
            self.world.count_shared_tokens(self, prompt)
            await timers.sleep(unread / PREFILL_RATE * self.slowdown)
            if self.crashed_at is not None:
                raise errors.BackendError('the engine crashed')
            self.cache.record_prompt(prompt)
            self.prefilled_tokens += unread

    async def run_call(self, seconds, is_crashing):
        with self.world.timers.move_on_after(seconds):
            await self.crashed.wait()
        if is_crashing:
            self.crash()
        if self.crashed_at is not None:
            raise errors.BackendError('the server crashed')

    async def generate(self, backend_request, fault):
        prompt = backend_request.request.prompt
        if prompt is None:
            yield b'whole'
            return
        if fault == 'closes before the first event':
            return
        if fault == 'disconnects before the first event':
            raise errors.BrokenStreamError(
                'the connection broke before the first event'
            )
        if fault == 'responds with an error page':
            yield b'an error page'
            return
        if fault == 'responds with JSON and status 200':
            yield ERROR_JSON
            return
        if fault == 'sends the head of an error as an event':
            yield ERROR_HEAD
            return
        names = {one.name for one in prompt.segments}
        if (
            names & self.world.crashing_segments
            or backend_request.request.body in self.world.crashing_bodies
        ):
            self.crash()
        count = max(1, prompt.max_output_tokens // EVENT_TOKENS)
        first = int(backend_request.resume_after or 0) + 1
        if fault == 'begins anew':
            first = 1
        for number in range(first, count + 1):
            await self.end_silence()
            if self.crashed_at is not None:
                if self.closes_orderly:
                    return
                raise errors.BrokenStreamError('the engine crashed')
            writer = self.instance.software_version
            data = f'{writer} {number}' if writer else number
            event = f'id: {number}\ndata: {data}\n\n'.encode()
            if fault == 'sends a head after its first event' and (
                number == first + 1
            ):
                yield ERROR_HEAD
                return
            if fault == 'disconnects after 2 events' and number == 3:
                yield event[:7]
                raise errors.BrokenStreamError(
                    'the connection broke after 2 events'
                )
            if fault == 'closes within the third event' and number == 3:
                yield event[:7]
                return
            if fault == 'sends an endless event' and number == 3:
                while True:
                    self.endless_bytes += len(ENDLESS_CHUNK)
                    yield ENDLESS_CHUNK
                    await self.world.timers.sleep(0.05)
            if fault == 'goes silent after 2 events' and number == 3:
                await self.world.timers.sleep(1000)
            if fault == 'sends single bytes after 2 events' and number == 3:
                for byte in event[:-1]:
                    yield bytes([byte])
                    await self.world.timers.sleep(1.0)
            if fault == 'is slow after 2 events' and number > 2:
                await self.world.timers.sleep(1.0)
            yield event
            # A step takes longer the more requests are batched in it.
            pause = STEP_SECONDS * (1 + self.running / 16) * self.slowdown
            if self.prefill_queue.is_busy:
                pause += self.event_delay
            await self.world.timers.sleep(pause)


class InMemoryStream:
    """One end of an in-memory stream between two VMs, with network delay."""

    def __init__(self, world, sending, receiving, delay):
        self.world = world
        self.delay = delay
        self.sending = sending
        self.receiving = receiving
        self.error = None
        self.receive_scope = None

    async def send(self, message):
        await self.sending.send((self.world.timers.now(), message))

    async def receive(self):
        if self.error is not None:
            raise self.error
        with anyio.CancelScope() as self.receive_scope:
            sent_at, message = await self.receiving.receive()
            await self.world.timers.sleep(
                sent_at + self.delay - self.world.timers.now()
            )
            if isinstance(message, errors.GatewayError):
                raise message
            return message
        raise self.error

    def fail(self, error):
        self.error = error
        if self.receive_scope is not None:
            self.receive_scope.cancel()


class InMemoryMesh:
    """A peer port without a network."""

    def __init__(self, world, vm=None):
        self.world = world
        self.vm = vm

    def delay_to(self, vm):
        regions = {one.vm: one.region for one in self.world.entries}
        if regions.get(self.vm) == regions[vm]:
            return INTRA_REGION_SECONDS
        return INTER_REGION_SECONDS

    def check_reachable(self, vm):
        is_cut = frozenset((self.vm, vm)) in self.world.cut_pairs
        if is_cut or vm in self.world.unreachable_vms:
            raise errors.PeerUnreachableError(f'{vm} is unreachable')

    async def connect(self, vm):
        self.check_reachable(vm)

    async def notify(self, vm, method, message):
        self.check_reachable(vm)
        await self.world.timers.sleep(INTRA_REGION_SECONDS)
        if vm in CONTROL_VMS:
            self.world.origin_messages[self.vm, vm] += 1
            handlers = self.world.origin_servers[vm].handlers()
        else:
            handlers = self.world.dispatchers[vm].handlers()
        await handlers[method]('peer', copy.deepcopy(message))

    def post(self, vm, method, message):
        async def deliver():
            with contextlib.suppress(errors.GatewayError):
                await self.notify(vm, method, message)

        self.world.tasks.start_soon(deliver)

    async def call(self, vm, method, message, timeout_seconds):
        if vm in CONTROL_VMS:
            self.check_reachable(vm)
            await self.world.timers.sleep(2 * INTER_REGION_SECONDS)
            if method == origin_history.CURRENT_METHOD:
                return self.world.current_history(vm)
            handler = self.world.origin_servers[vm].handlers()[method]
            return await handler('peer', copy.deepcopy(message))
        if vm.startswith(CONTROL_VM):
            await self.world.timers.sleep(2 * INTER_REGION_SECONDS)
            return self.world.crash_watch.record(
                'peer', copy.deepcopy(message)
            )
        self.check_reachable(vm)
        await self.world.timers.sleep(2 * INTRA_REGION_SECONDS)
        handler = self.world.dispatchers[vm].handlers()[method]
        return copy.deepcopy(await handler('peer', copy.deepcopy(message)))

    @contextlib.asynccontextmanager
    async def open(self, vm, method, message):
        world = self.world
        self.check_reachable(vm)
        world.forwarded[vm] += 1
        there, here = [
            anyio.create_memory_object_stream(100) for _ in range(2)
        ]
        delay = self.delay_to(vm)
        far = InMemoryStream(world, here[0], there[1], delay)
        near = InMemoryStream(world, there[0], here[1], delay)
        with anyio.CancelScope() as scope:
            world.tasks.start_soon(self.serve, vm, message, far, scope)
        try:
            yield near
        finally:
            far.cancelled.cancel()

    async def serve(self, vm, message, far, _):
        with anyio.CancelScope() as scope:
            far.cancelled = scope
            await self.world.timers.sleep(self.delay_to(vm))
            try:
                await self.world.dispatchers[vm].serve_for_peer(
                    'peer', message, far
                )
            except errors.GatewayError as error:
                await far.send(error)
            far.sending.close()


class BackendPort:
    """The connections of one entry VM to the servers of its region."""

    def __init__(self, world, vm):
        self.world = world
        self.vm = vm
        # Kept connections, which look sound until a request is sent.
        self.kept_count = KEPT_CONNECTIONS

    @property
    def fault(self):
        return self.world.partitioned_vms.get(self.vm)

    @contextlib.asynccontextmanager
    async def send(self, instance, backend_request, on_notice):
        if self.fault is not None:
            await self.fail()
        self.world.direct_sends.append(
            (self.vm, backend_request.request.request_id)
        )
        engine = self.world.engines.get(instance.name)
        if engine is None:
            raise errors.BackendConnectError('the engine is gone')
        async with contextlib.AsyncExitStack() as stack:
            response = await self.until_partitioned(
                stack.enter_async_context(
                    engine.serve(backend_request, on_notice)
                )
            )
            yield dataclasses.replace(
                response, chunks=self.pass_chunks(response.chunks)
            )

    async def fail(self):
        if self.fault == 'hang':
            self.kept_count -= 1
            if self.kept_count >= 0:
                await self.world.timers.sleep(1000)
            await self.world.timers.sleep(CONNECT_TIMEOUT_SECONDS)
        raise errors.BackendConnectError('the connection failed')

    async def pass_chunks(self, chunks):
        while True:
            try:
                yield await self.until_partitioned(anext(chunks))
            except StopAsyncIteration:
                return

    async def until_partitioned(self, awaitable):
        """Returns the result unless a partition begins before."""
        result = []
        failure = None
        async with anyio.create_task_group() as tasks:

            async def watch():
                while self.fault not in ('hang', 'are reset'):
                    await self.world.partitioned.wait()
                    await anyio.lowlevel.checkpoint()
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            try:
                result.append(await awaitable)
            except (errors.GatewayError, StopAsyncIteration) as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if result:
            return result[0]
        if self.fault == 'hang':
            await self.world.timers.sleep(1000)
        raise errors.BrokenStreamError('the connection was reset')

    async def is_accepting_connections(self, instance):
        if self.fault == 'hang':
            await self.world.timers.sleep(CONNECT_TIMEOUT_SECONDS)
        return self.fault is None and not self.has_ended(instance)

    async def is_refusing_connections(self, instance):
        if self.fault == 'hang':
            await self.world.timers.sleep(CONNECT_TIMEOUT_SECONDS)
            return False
        return self.fault is not None or self.has_ended(instance)

    def has_ended(self, instance):
        engine = self.world.engines.get(instance.name)
        return engine is None or engine.crashed_at is not None


class StubQuotaClient:
    def __init__(self):
        self.spent = 0.0

    async def acquire(self, name, tokens):
        self.spent += tokens

    def refund(self, name, tokens):
        self.spent -= tokens


class StubAgent:
    """The part of an agent that a dispatcher uses."""

    def __init__(self):
        self.view = agents.FleetView()
        self.has_lease = True
        self.quota_client = StubQuotaClient()


@dataclasses.dataclass(slots=True)
class Outcome:
    """The outcome of a request as its client saw it."""

    request_id: str
    profile: str
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
    headers: tuple = ()
    vm: str = ''

    @property
    def is_on_time(self):
        return (
            self.error is None
            and self.first_at is not None
            and self.first_at - self.sent_at <= self.objective
        )


class ServingWorld:
    """Entry VMs and engines of several regions, with simulated clients.

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
        self.unreachable_vms = set()
        # Pairs of VMs whose messages to each other are lost.
        self.cut_pairs = set()
        # VMs that keep an old view of the deployment.
        self.out_of_step = set()
        # Faults of connections to servers, by VM.
        self.partitioned_vms = {}
        self.partitioned = anyio.Event()
        # VMs with the requests that they sent to their own servers.
        self.direct_sends = []
        self.tasks = None
        self.outcomes = []
        self.agents = {}
        self.loads = {}
        self.asked_shared_tokens = 0
        self.reread_tokens = collections.Counter()
        self.read_segments = set()
        # A prompt with one of these segments crashes each engine that begins
        # to generate from it.
        self.crashing_segments = set()
        # A request with one of these bodies crashes each server that runs it.
        self.crashing_bodies = set()
        self.crashes = []
        # Whether requests still go out on kept connections to crashed engines.
        self.has_stale_connections = False
        self.ended_engines = []
        # Versions that the instance list shows, None for all.
        self.listed_versions = None
        # Whether the control VMs send the history of versions.
        self.has_origin_history = True
        # Whether the control VMs send the record of retries.
        self.has_retry_records = True
        self.retry_records = retry_records.RetryRecords(self.timers.now())
        self.notice_records = server_notices.NoticeRecords()
        # Nothing was served before the world began.
        self.retry_records.complete_from = self.timers.now()
        self.has_leader = True
        self.leader_count = 0
        self.store = stores.Store()
        # The configuration is stored only in a snapshot of the state.
        self.store.apply(stores.put_command(1, b'{}'))
        self.start_origin_servers()
        # Messages with origins by sender and control VM.
        self.origin_messages = collections.Counter()
        self.history_recorder = origin_history.HistoryRecorder()
        self.has_configuration = False
        self.history_number = 1
        self.crash_watch = self.make_crash_watch()
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
        self.engines[name] = EmulatedEngine(self, instance)

    async def replace_engine(self, crashed):
        """Starts another instance in place of a crashed one."""
        await self.timers.sleep(RESTART_SECONDS)
        name = crashed.instance.name
        del self.engines[name]
        self.ended_engines.append(crashed)
        number = len(self.ended_engines)
        replacement = EmulatedEngine(
            self,
            dataclasses.replace(
                crashed.instance,
                name=f'{name.partition("-r")[0]}-r{number}',
                born=int(self.timers.now() * 1000),
                is_leaving=False,
            ),
        )
        replacement.closes_orderly = crashed.closes_orderly
        replacement.slowdown = crashed.slowdown
        replacement.status = crashed.status
        replacement.rejection_limit = crashed.rejection_limit
        replacement.queue_size = crashed.queue_size
        self.engines[replacement.instance.name] = replacement

    def set_version(self, name, version):
        engine = self.engines[name]
        engine.instance = dataclasses.replace(
            engine.instance, software_version=version
        )

    def add_dispatcher(self, entry):
        agent = StubAgent()
        self.agents[entry.vm] = agent
        pool = server_pool.ServerPool(agent.view, entry.region, self.regions)
        self.dispatchers[entry.vm] = dispatchers.Dispatcher(
            entry.vm,
            self.timers,
            InMemoryMesh(self, entry.vm),
            agent,
            pool,
            BackendPort(self, entry.vm),
            retry_budget.RetrySettings(0.2, 50, 10.0),
            random.Random(self.rng.random()),
        )
        budgets = self.dispatchers[entry.vm].planner.retry_budgets
        budgets.report_soon = lambda: self.retry_records.record(
            entry.vm, budgets.report(), self.timers.now()
        )

    def restart_control_vms(self):
        """Restarts all control VMs, which keep their replicated state."""
        content = self.store.save()
        self.store = stores.Store()
        self.store.restore(content)
        self.history_recorder = origin_history.HistoryRecorder()
        self.start_origin_servers()
        self.retry_records = retry_records.RetryRecords(self.timers.now())
        self.change_leader()

    def start_origin_servers(self):
        self.origin_servers = {
            vm: origin_table.OriginServer(self.timers) for vm in CONTROL_VMS
        }

    def current_history(self, vm):
        """Returns what a control VM replies that is asked for the history.

        Only the leader knows that its history is current.
        """
        is_leader = self.has_leader and vm == CONTROL_VMS[-1]
        history = self.store.history
        if not is_leader or not self.has_origin_history or history is None:
            return None
        return history.pack()

    def set_divides_capacity(self, divides_capacity):
        for one in self.dispatchers.values():
            one.planner.divides_capacity = divides_capacity

    def make_crash_watch(self):
        return crash_watch.CrashWatch(
            self.timers,
            self.ask_sound_traits,
            self.submit_hold,
            lambda: tuple(self.store.holds.values()),
        )

    def change_leader(self):
        """Has a control VM lead that knows only the replicated state."""
        self.crash_watch = self.make_crash_watch()
        self.tasks.start_soon(self.crash_watch.run)
        self.leader_count += 1
        self.refresh()

    async def ask_sound_traits(self, service, segments):
        ages = {}
        for entry in self.entries:
            if entry.vm not in self.unreachable_vms:
                handlers = self.dispatchers[entry.vm].handlers()
                reply = await handlers[crash_watch.SOUND_METHOD](
                    CONTROL_VM, [service, segments]
                )
                for name, age in reply.items():
                    ages[name] = min(age, ages.get(name, age))
        return ages

    async def submit_hold(self, hold):
        await self.timers.sleep(2 * INTER_REGION_SECONDS)
        self.store.apply(stores.hold_command(hold))

    def count_shared_tokens(self, engine, prompt):
        """Counts the shared tokens that are prefilled once more."""
        region = self.regions[engine.instance.domain]
        for segment in prompt.segments[:-1]:
            self.asked_shared_tokens += segment.tokens
            is_known = segment.name in self.read_segments
            if is_known and segment.name not in engine.cache.cached_segments:
                self.reread_tokens[region] += segment.tokens
            self.read_segments.add(segment.name)

    def restart(self, entry):
        """Replaces the dispatcher of an entry VM by one that knows nothing."""
        self.add_dispatcher(entry)
        self.tasks.start_soon(self.dispatchers[entry.vm].run)

    def find_retries(self):
        """Returns when requests were sent to another server."""
        arrivals = sorted(
            (at, backend_request.request.request_id)
            for engine in self.engines.values()
            for at, backend_request in engine.arrivals
        )
        seen = set()
        retries = []
        for at, name in arrivals:
            if name in seen:
                retries.append(at)
            seen.add(name)
        return retries

    def partition(self, vms, fault):
        """Partitions VMs from all servers.

        :param fault: what connections do: ``hang``, ``are reset``, or ``are
            refused``, while those in use go on.
        """
        self.partitioned_vms = dict.fromkeys(vms, fault)
        self.partitioned.set()
        self.partitioned = anyio.Event()

    @contextlib.asynccontextmanager
    async def running(self):
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            # The first refresh adds the servers; the second reports loads.
            self.refresh()
            self.refresh()
            tasks.start_soon(self.refresh_views)
            tasks.start_soon(self.crash_watch.run)
            for dispatcher in self.dispatchers.values():
                tasks.start_soon(dispatcher.run)
            yield self
            tasks.cancel_scope.cancel()

    async def refresh_views(self):
        while True:
            await self.timers.sleep(POLL_SECONDS)
            self.refresh()

    def refresh(self):
        """Updates each entry VM's view as its control VM would."""
        # The loads that other control VMs report are one poll older.
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
        instances = {
            name: engine.instance for name, engine in self.engines.items()
        }
        self.record_history(instances.values())
        reported = {
            region: region_loads.combine(
                loads[entry.vm]
                for entry in self.entries
                if entry.region == region
            )
            for region in self.regions.values()
        }
        for entry in self.entries:
            if entry.vm in self.out_of_step:
                continue
            view = self.agents[entry.vm].view
            view.configuration = self.configuration
            view.entry_vms = tuple(
                one
                for one in self.entries
                if one.vm not in self.unreachable_vms
            )
            view.instances = {
                name: one
                for name, one in instances.items()
                if self.listed_versions is None
                or one.software_version in self.listed_versions
            }
            self.exchange_retries(entry.vm)
            if self.has_origin_history:
                view.history = self.store.history
            view.instance_list_read_at = view.loads_requested_at = (
                self.timers.now()
            )
            view.loads = reported
            view.leader = (
                f'{CONTROL_VM}{self.leader_count}' if self.has_leader else None
            )
            view.holds = held_requests.HoldIndex(self.store.holds.values())
            view.control_vms = CONTROL_VMS
            for callback in view.update_callbacks:
                callback()
            self.dispatchers[entry.vm].pool.update(self.timers.now())

    def exchange_retries(self, vm):
        if not self.has_retry_records:
            return
        now = self.timers.now()
        report = self.dispatchers[vm].planner.retry_budgets.report()
        self.retry_records.record(vm, report, now)
        view = self.agents[vm].view
        notices = self.dispatchers[vm].pool.report_notices(now)
        if notices is not None:
            self.notice_records.record(vm, notices, now)
        if view.past_retries is None:
            view.notices = self.notice_records.find(vm, now)
            packed = self.retry_records.pack(vm, now)
            if packed is not None:
                view.past_retries = dataclasses.replace(
                    retry_records.PastRetries.unpack(packed), received_at=now
                )

    def record_history(self, listed):
        """Writes the history as the leading control VM would."""
        if not self.has_leader:
            return
        history = self.history_recorder.update(
            self.store.history,
            listed,
            self.configuration if self.has_configuration else None,
            self.history_number,
            self.timers.now(),
        )
        # No configuration is stored when the control group starts.
        self.has_configuration = True
        if history is not None:
            self.history_number += 1
            self.store.apply(stores.history_command(history))

    def request(
        self,
        number,
        path='/chat/x',
        prompt=None,
        timeout_seconds=12.0,
        key='key-1',
        body=b'{}',
    ):
        return ports.Request(
            request_id=f'r-{number}',
            method='POST',
            target=path.encode(),
            host='h.example',
            path=path,
            headers=(),
            body=body,
            key=key,
            client_timeout_seconds=timeout_seconds,
            prompt=prompt,
            resume_after=None,
        )

    async def send_request(self, vm, request, objective=1.0, profile=''):
        """Sends a request to an entry VM and records the outcome."""
        region = next(one.region for one in self.entries if one.vm == vm)
        outcome = Outcome(
            request.request_id,
            profile,
            region,
            self.timers.now(),
            objective,
            key=request.key,
            vm=vm,
        )
        self.outcomes.append(outcome)
        try:
            async with self.dispatchers[vm].handle(request) as response:
                async for chunk in response.chunks:
                    if outcome.first_at is None:
                        outcome.first_at = self.timers.now()
                        # The status is sent with the first chunk.
                        outcome.status = response.status
                        outcome.headers = response.headers
                    outcome.body += chunk
                outcome.status = response.status
        except errors.GatewayError as error:
            outcome.error = error
        outcome.ended_at = self.timers.now()
        return outcome

    async def send_and_wait(self, vm, request, seconds=1.5):
        """Sends a request; returns its outcome after some seconds."""
        self.start_request(vm, request)
        await self.timers.advance(seconds)
        outcome = self.outcomes[-1]
        assert outcome.request_id == request.request_id, outcome
        return outcome

    def start_request(self, vm, request, objective=1.0, profile=''):
        self.tasks.start_soon(
            self.send_request, vm, request, objective, profile
        )
