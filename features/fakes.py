"""Small fakes at the ports: a network, a disk, and groups upon them."""

import collections
import contextlib
import random

import anyio
import msgpack

from greengagegw import errors
from greengagegw.replication import replica as replicas
from greengagegw.replication import storage as log_storage
from greengagegw import timers as timer_service

DELAY_SECONDS = 0.005


class Faults:
    """How a network treats messages; all shares are of 1."""

    def __init__(self):
        self.lost = 0.0
        self.doubled = 0.0
        self.late = 0.0
        self.late_seconds = 3.0


class FakeNetwork:
    """Carries calls between VMs, in fake time."""

    def __init__(self, timers, rng):
        self.timers = timers
        self.rng = rng
        self.faults = Faults()
        self.delay_seconds = DELAY_SECONDS
        self.handlers = collections.defaultdict(dict)
        self.cut_links = set()
        self.tasks = None
        self.calls = collections.Counter()

    def mesh(self, vm):
        return FakeMesh(self, vm)

    def cut(self, ones, others, one_way=False):
        for one in ones:
            for other in others:
                self.cut_links.add((one, other))
                if not one_way:
                    self.cut_links.add((other, one))

    def heal(self):
        self.cut_links.clear()

    def loses(self, sender, receiver):
        return (
            sender,
            receiver,
        ) in self.cut_links or self.rng.random() < self.faults.lost

    def delay(self):
        if self.rng.random() < self.faults.late:
            return self.rng.random() * self.faults.late_seconds
        return self.delay_seconds * (0.5 + self.rng.random())

    async def deliver(self, sender, receiver, method, message, reply):
        """Hands a message over, and its answer back unless it is lost."""
        await self.timers.sleep(self.delay())
        handler = self.handlers[receiver].get(method)
        if handler is None:
            reply.fail(errors.PeerUnreachableError(f'{receiver} is down'))
            return
        try:
            value, error = await handler(sender, message), None
        except errors.GatewayError as failure:
            value, error = None, failure
        if self.loses(receiver, sender):
            return
        await self.timers.sleep(self.delay())
        if error is not None:
            reply.fail(error)
        else:
            reply.succeed(_copy(value))


class Reply:
    def __init__(self):
        self.done = anyio.Event()
        self.value = None
        self.error = None

    def succeed(self, value):
        self.value = value
        self.done.set()

    def fail(self, error):
        self.error = error
        self.done.set()


class FakeMesh:
    """The peer port of one VM upon a fake network."""

    def __init__(self, network, vm):
        self.network = network
        self.vm = vm

    async def call(self, vm, method, message, timeout=None):
        network = self.network
        network.calls[method] += 1
        if vm == self.vm:
            handler = network.handlers[vm].get(method)
            if handler is None:
                raise errors.PeerUnreachableError(f'{vm} is down')
            return await handler(vm, message)
        reply = Reply()
        self.post(vm, method, message, reply)
        with network.timers.move_on_after(timeout or 3.0):
            await reply.done.wait()
        if reply.error is not None:
            raise reply.error
        if not reply.done.is_set():
            raise errors.PeerTimeoutError(f'{vm} did not answer')
        return reply.value

    async def notify(self, vm, method, message):
        self.network.calls[method] += 1
        self.post(vm, method, message, Reply())

    def post(self, vm, method, message, reply):
        network = self.network
        copies = 2 if network.rng.random() < network.faults.doubled else 1
        for _ in range(copies):
            if not network.loses(self.vm, vm):
                network.tasks.start_soon(
                    network.deliver,
                    self.vm,
                    vm,
                    method,
                    _copy(message),
                    reply,
                )


def _copy(message):
    return msgpack.unpackb(
        msgpack.packb(message, use_bin_type=True), raw=False
    )


class PowerCutError(Exception):
    """The machine lost its power in the middle of a step."""


class FakeDisk:
    """A folder whose unsynced content is lost when the power is cut.

    :ivar steps_left: steps of writing until the power is cut, or None.
    :ivar fails: names the step that fails with an error: append or sync.
    """

    def __init__(self, rng):
        self.rng = rng
        self.files = {}
        self.synced = {}
        self.steps_left = None
        self.fails = ''
        self.steps = 0

    def step(self, name):
        self.steps += 1
        if self.steps_left is not None:
            self.steps_left -= 1
            if self.steps_left < 0:
                raise PowerCutError
        if name == self.fails:
            raise errors.DiskFailedError(f'{name} failed on purpose')

    def cut_power(self):
        """Forgets what was not synced, but for a torn part of it."""
        for name in list(self.files):
            if name not in self.synced:
                del self.files[name]
                continue
            safe = self.synced[name]
            extra = self.files[name][len(safe) :]
            keep = self.rng.randrange(len(extra) + 1) if extra else 0
            if not self.files[name].startswith(safe):
                keep = 0
            self.files[name] = safe + bytes(extra[:keep])
        self.synced = {k: bytes(v) for k, v in self.files.items()}
        self.steps_left = None
        self.fails = ''

    async def names(self):
        return sorted(self.files)

    async def read(self, name):
        return bytes(self.files[name])

    async def open(self, name):
        if name not in self.files:
            self.step('open')
            self.files[name] = b''
            self.synced[name] = b''
        return FakeFile(self, name)

    async def replace(self, name, content):
        self.step('replace')
        # The new content is synced before the rename, and then the folder.
        self.files[name] = self.synced[name] = bytes(content)
        self.step('replaced')

    async def remove(self, name):
        self.step('remove')
        self.files.pop(name, None)
        self.synced.pop(name, None)


class FakeFile:
    def __init__(self, disk, name):
        self.disk = disk
        self.name = name
        self.has_failed = False

    def guard(self, step):
        if self.has_failed:
            raise errors.DiskFailedError('failed before')
        try:
            self.disk.step(step)
        except errors.DiskFailedError:
            self.has_failed = True
            raise

    async def append(self, content):
        half = len(content) // 2
        self.disk.files[self.name] += content[:half]
        self.guard('append')
        self.disk.files[self.name] += content[half:]

    async def sync(self):
        self.guard('sync')
        self.disk.synced[self.name] = self.disk.files[self.name]

    async def truncate(self, size):
        self.guard('truncate')
        self.disk.files[self.name] = self.disk.files[self.name][:size]
        self.disk.synced[self.name] = self.disk.files[self.name]

    async def close(self):
        pass


class Machine:
    """A state machine that remembers what was applied to it."""

    def __init__(self):
        self.applied = []

    def apply(self, content):
        self.applied.append(content)
        return len(self.applied)

    def save(self):
        return msgpack.packb(self.applied)

    def restore(self, content):
        self.applied = list(msgpack.unpackb(content, raw=False))

    def functions(self):
        return replicas.StateMachine(self.apply, self.save, self.restore)


class Fleet:
    """VMs that run as tasks upon a fake network."""

    @contextlib.asynccontextmanager
    async def running(self):
        """Starts every VM, and ends them all at the end."""
        async with anyio.create_task_group() as tasks:
            self.tasks = self.network.tasks = tasks
            for vm in self.vms:
                self.start(vm)
            yield self
            tasks.cancel_scope.cancel()


class Group(Fleet):
    """A replicated group in fake time, with what was acknowledged."""

    def __init__(self, vms=('a', 'b', 'c'), seed=1, copies=()):
        self.vms = (*vms, *copies)
        self.founders = tuple(vms)
        self.copies = tuple(copies)
        self.rng = random.Random(seed)
        self.timers = timer_service.ManualTimers()
        self.network = FakeNetwork(self.timers, self.rng)
        self.disks = {vm: FakeDisk(self.rng) for vm in self.vms}
        self.replicas = {}
        self.machines = {}
        self.scopes = {}
        self.acknowledged = []
        self.leaders = collections.defaultdict(set)
        self.histories = []
        self.failures = {}
        self.proposed = 0
        self.tasks = None

    def start(self, vm):
        self.machines[vm] = Machine()
        replica = replicas.Replica(
            'g',
            vm,
            self.founders,
            log_storage.Storage(self.disks[vm]),
            self.machines[vm].functions(),
            self.network.mesh(vm),
            self.timers,
            self.rng,
            self.copies,
        )
        self.replicas[vm] = replica
        self.network.handlers[vm] = {
            name: self.guard(vm, handler)
            for name, handler in replica.handlers().items()
        }
        self.tasks.start_soon(self.run, vm, replica)

    def guard(self, vm, handler):
        """Lets a power cut in a handler end the whole replica."""

        async def guarded(peer, message):
            try:
                return await handler(peer, message)
            except PowerCutError:
                self.crash(vm)
                raise errors.PeerLostError('power cut') from None

        return guarded

    async def run(self, vm, replica):
        with anyio.CancelScope() as scope:
            self.scopes[vm] = scope
            try:
                await replica.run()
            except* PowerCutError:
                if self.replicas.get(vm) is replica:
                    self.crash(vm)
            except* errors.StorageError as group:
                self.failures[vm] = group.exceptions[0]

    def crash(self, vm):
        """Ends a replica as a power cut does."""
        if vm in self.scopes:
            self.scopes.pop(vm).cancel()
        self.network.handlers[vm] = {}
        self.replicas.pop(vm, None)
        self.disks[vm].cut_power()
        if vm in self.copies:
            self.lose_disk(vm)

    def lose_disk(self, vm):
        self.disks[vm] = FakeDisk(self.rng)

    def leader(self):
        """Returns the leader of the highest term, if there is one."""
        found = [one for one in self.replicas.values() if one.is_leader]
        return max(found, key=lambda one: one.term, default=None)

    async def elect(self, seconds=20.0):
        """Advances time until there is a leader that has committed."""
        for _ in range(int(seconds / 0.25)):
            await self.advance(0.25)
            leader = self.leader()
            if leader is not None and leader.is_caught_up:
                return leader
        raise AssertionError('no leader')

    async def advance(self, seconds):
        while seconds > 0:
            await self.timers.advance(min(seconds, 0.25))
            seconds -= 0.25
            self.observe()

    def observe(self):
        """Checks what must hold at every moment."""
        for one in self.replicas.values():
            if one.is_leader:
                self.leaders[one.term].add(one.vm)
                assert len(self.leaders[one.term]) == 1, self.leaders
        logs = sorted(
            (self.machines[vm].applied for vm in self.replicas), key=len
        )
        for short, long in zip(logs, logs[1:], strict=False):
            assert long[: len(short)] == short, 'histories differ'

    def propose(self, vm):
        """Proposes a command at a replica, in the background."""
        replica = self.replicas.get(vm)
        if replica is None:
            return
        self.proposed += 1
        content = f'command {self.proposed}'.encode()
        self.tasks.start_soon(self.propose_one, vm, replica, content)

    async def propose_one(self, vm, replica, content):
        with anyio.CancelScope() as scope:
            try:
                await replica.propose(content)
            except (errors.GatewayError, PowerCutError):
                return
            finally:
                del scope
        if self.replicas.get(vm) is replica:
            self.acknowledged.append(content)

    async def propose_and_wait(self):
        """Proposes at the leader until it is acknowledged."""
        for _ in range(40):
            leader = self.leader()
            if leader is not None:
                before = len(self.acknowledged)
                self.propose(leader.vm)
                await self.advance(0.5)
                if len(self.acknowledged) > before:
                    return self.acknowledged[-1]
            await self.advance(0.5)
        raise AssertionError('nothing was acknowledged')

    async def settle(self):
        """Heals everything, and returns when all replicas are equal."""
        self.network.heal()
        self.network.faults = Faults()
        for vm in self.vms:
            self.disks[vm].steps_left = None
            if vm not in self.replicas:
                self.start(vm)
        for _ in range(240):
            await self.advance(0.5)
            leader = self.leader()
            lengths = {len(self.machines[vm].applied) for vm in self.vms}
            if leader is not None and len(lengths) == 1:
                if leader.applied_index == leader.storage.last_index:
                    return
        raise AssertionError('the replicas did not become equal')

    def check(self):
        """Checks that nothing acknowledged was lost or doubled."""
        for vm in self.vms:
            applied = self.machines[vm].applied
            assert len(set(applied)) == len(applied), f'doubled at {vm}'
            missing = set(self.acknowledged) - set(applied)
            assert not missing, f'{vm} lost {missing}'
