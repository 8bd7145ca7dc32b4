"""In-memory network and disk, and replica groups that run on them."""

import collections
import contextlib
import math
import random

import anyio
import msgpack

from greengagegw import errors
from greengagegw import intake
from greengagegw import machine
from greengagegw.replication import replica as replicas
from greengagegw.replication import storage as log_storage
from greengagegw import timers as timer_service

DELAY_SECONDS = 0.005


def limit_clients(timers):
    """Returns a limit that no few clients meet."""
    limits = machine.MachineLimits(300_000_000, 4096)
    return intake.Intake(limits, timers).limit_clients()


class NetworkFaults:
    """Faults that a network injects; the rates are probabilities.

    :ivar max_delay_seconds: upper bound of the delay of a delayed message.
    """

    def __init__(self):
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.delay_rate = 0.0
        self.max_delay_seconds = 3.0


class FakeNetwork:
    """Carries calls between VMs in simulated time."""

    def __init__(self, timers, rng):
        self.timers = timers
        self.rng = rng
        self.faults = NetworkFaults()
        self.delay_seconds = DELAY_SECONDS
        self.handlers = collections.defaultdict(dict)
        self.cut_links = set()
        self.tasks = None
        self.calls = collections.Counter()

    def mesh(self, vm):
        return FakeMesh(self, vm)

    def cut(self, senders, receivers, one_way=False):
        for sender in senders:
            for receiver in receivers:
                self.cut_links.add((sender, receiver))
                if not one_way:
                    self.cut_links.add((receiver, sender))

    def heal(self):
        self.cut_links.clear()

    def is_lost(self, sender, receiver):
        return (
            sender,
            receiver,
        ) in self.cut_links or self.rng.random() < self.faults.loss_rate

    def random_delay(self):
        if self.rng.random() < self.faults.delay_rate:
            return self.rng.random() * self.faults.max_delay_seconds
        return self.delay_seconds * (0.5 + self.rng.random())

    async def deliver(self, sender, receiver, method, message, reply):
        """Passes a message to its handler and the result to ``reply``.

        The result is dropped if the network loses the response.
        """
        await self.timers.sleep(self.random_delay())
        handler = self.handlers[receiver].get(method)
        if handler is None:
            reply.fail(errors.PeerUnreachableError(f'{receiver} is down'))
            return
        try:
            value, error = await handler(sender, message), None
        except errors.GatewayError as failure:
            value, error = None, failure
        if self.is_lost(receiver, sender):
            return
        await self.timers.sleep(self.random_delay())
        if error is not None:
            reply.fail(error)
        else:
            reply.succeed(_copy(value))


class PendingReply:
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
    """The peer port of one VM on a :class:`FakeNetwork`."""

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
        reply = PendingReply()
        self.send(vm, method, message, reply)
        with network.timers.move_on_after(timeout or 3.0):
            await reply.done.wait()
        if reply.error is not None:
            raise reply.error
        if not reply.done.is_set():
            raise errors.PeerTimeoutError(f'{vm} did not respond')
        return reply.value

    async def notify(self, vm, method, message):
        self.network.calls[method] += 1
        self.send(vm, method, message, PendingReply())

    def post(self, vm, method, message):
        self.network.calls[method] += 1
        self.send(vm, method, message, PendingReply())

    def send(self, vm, method, message, reply):
        network = self.network
        deliveries = (
            2 if network.rng.random() < network.faults.duplicate_rate else 1
        )
        for _ in range(deliveries):
            if not network.is_lost(self.vm, vm):
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
    """The power was cut in the middle of a write step."""


class FakeDisk:
    """A folder that loses unsynced content when the power is cut.

    :ivar steps_left: write steps until the power is cut, or None.
    :ivar failing_step: the step that raises an error, such as ``append``
        or ``sync``; empty if none does.
    :ivar full_until: time until which every step that needs space fails.
    :ivar hangs_until: time until which writes and syncs wait.
    :ivar sync_seconds: duration of each write step.
    :ivar dropped: by file, the offset after which bytes can be read but are
        not on the disk, since a sync of them has failed. As with the page
        cache of a kernel, a later sync reports a success.
    """

    def __init__(self, rng, timers=None):
        self.rng = rng
        self.timers = timers
        self.files = {}
        self.synced = {}
        self.dropped = {}
        self.steps_left = None
        self.failing_step = ''
        self.full_until = self.hangs_until = -math.inf
        self.sync_seconds = 0.0
        self.power_cut = anyio.Event()
        self.steps = 0

    def fill(self, seconds):
        """Has the disk take no bytes for a time."""
        self.full_until = self.timers.now() + seconds

    def hang(self, seconds):
        """Has writes and syncs wait for a time."""
        self.hangs_until = self.timers.now() + seconds

    def end_faults(self):
        self.steps_left = None
        self.failing_step = ''
        self.full_until = self.hangs_until = -math.inf
        self.sync_seconds = 0.0

    async def wait(self):
        """Waits as long as a sync takes, or until the power is cut.

        Writes are shielded from cancellation, so that one that still waited
        would end after its process.
        """
        if self.timers is None:
            return
        delay = max(self.sync_seconds, self.hangs_until - self.timers.now())
        if delay <= 0:
            return
        power_cut = self.power_cut
        with self.timers.move_on_after(delay):
            await power_cut.wait()
        if power_cut.is_set():
            raise PowerCutError

    def step(self, name):
        self.steps += 1
        is_full = name in ('open', 'append', 'sync', 'replace') and (
            self.timers is not None and self.timers.now() < self.full_until
        )
        if is_full:
            raise errors.DiskFailedError(f'{name}: no space left')
        if self.steps_left is not None:
            self.steps_left -= 1
            if self.steps_left < 0:
                raise PowerCutError
        if name == self.failing_step:
            raise errors.DiskFailedError(f'injected failure of {name}')

    def cut_power(self):
        """Drops unsynced content except for a torn prefix of random size."""
        self.power_cut.set()
        self.power_cut = anyio.Event()
        for name in list(self.files):
            if name not in self.synced:
                del self.files[name]
                continue
            synced = self.synced[name]
            unsynced = self.files[name][len(synced) :]
            torn_size = (
                self.rng.randrange(len(unsynced) + 1) if unsynced else 0
            )
            if not self.files[name].startswith(synced) or (
                name in self.dropped
            ):
                torn_size = 0
            self.files[name] = synced + bytes(unsynced[:torn_size])
        self.synced = {k: bytes(v) for k, v in self.files.items()}
        self.dropped = {}
        self.steps_left = None
        self.failing_step = ''

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
        await self.wait()
        self.step('replace')
        # As in files.Folder: the content is synced before the rename, and
        # the folder after it.
        self.files[name] = self.synced[name] = bytes(content)
        self.step('replaced')

    async def remove(self, name):
        self.step('remove')
        self.files.pop(name, None)
        self.synced.pop(name, None)
        self.dropped.pop(name, None)


class FakeFile:
    def __init__(self, disk, name):
        self.disk = disk
        self.name = name
        self.has_failed = False

    def run_step(self, step):
        if self.has_failed:
            raise errors.DiskFailedError('an earlier step failed')
        try:
            self.disk.step(step)
        except errors.DiskFailedError:
            self.has_failed = True
            raise

    async def append(self, content):
        half = len(content) // 2
        self.disk.files[self.name] += content[:half]
        self.run_step('append')
        self.disk.files[self.name] += content[half:]

    async def sync(self):
        await self.disk.wait()
        content = self.disk.files[self.name]
        try:
            self.run_step('sync')
        except errors.DiskFailedError:
            end = len(self.disk.synced[self.name])
            self.disk.dropped.setdefault(self.name, end)
            raise
        kept = self.disk.dropped.get(self.name, len(content))
        lost = bytes(len(content) - kept)
        self.disk.synced[self.name] = content[:kept] + lost

    async def truncate(self, size):
        self.run_step('truncate')
        if size <= self.disk.dropped.get(self.name, size):
            self.disk.dropped.pop(self.name, None)
        content = self.disk.files[self.name][:size]
        self.disk.files[self.name] = content
        kept = self.disk.dropped.get(self.name, len(content))
        lost = bytes(len(content) - kept)
        self.disk.synced[self.name] = content[:kept] + lost

    async def close(self):
        pass


class RecordingMachine:
    """A state machine that records the commands applied to it."""

    def __init__(self):
        self.applied = []

    def apply(self, content):
        self.applied.append(content)
        return len(self.applied)

    def save(self):
        return msgpack.packb(self.applied)

    def restore(self, content):
        self.applied = list(msgpack.unpackb(content, raw=False))

    def as_state_machine(self):
        return replicas.StateMachine(self.apply, self.save, self.restore)


class Fleet:
    """VMs that run as tasks on a fake network."""

    @contextlib.asynccontextmanager
    async def running(self):
        """Starts every VM, and cancels them all on exit."""
        async with anyio.create_task_group() as tasks:
            self.tasks = self.network.tasks = tasks
            for vm in self.vms:
                self.start(vm)
            yield self
            tasks.cancel_scope.cancel()


class ReplicaGroup(Fleet):
    """A replicated group in simulated time.

    It records the commands that were acknowledged to a client.
    """

    def __init__(
        self,
        vms=('a', 'b', 'c'),
        seed=1,
        memory_replicas=(),
        min_voters=replicas.MAX_MEMBERS,
        timeouts=replicas.DEFAULT_TIMEOUTS,
    ):
        self.min_voters = min_voters
        self.max_lost_disks = None
        if min_voters < replicas.MAX_MEMBERS:
            self.max_lost_disks = (min_voters - 1) // 2
        self.may_bootstrap = True
        self.timeouts = timeouts
        self.vms = (*vms, *memory_replicas)
        self.founders = tuple(vms)
        self.memory_replicas = tuple(memory_replicas)
        self.rng = random.Random(seed)
        self.timers = timer_service.ManualTimers()
        self.network = FakeNetwork(self.timers, self.rng)
        self.disks = {vm: FakeDisk(self.rng, self.timers) for vm in self.vms}
        self.replicas = {}
        self.machines = {}
        self.scopes = {}
        self.acknowledged = []
        self.leaders = collections.defaultdict(set)
        self.histories = []
        self.failures = {}
        self.votes = collections.defaultdict(set)
        self.proposed = 0
        self.tasks = None

    @contextlib.asynccontextmanager
    async def running(self):
        """Starts every replica; on exit, ends writes and cancels them all."""
        async with super().running():
            yield self
            for disk in self.disks.values():
                disk.cut_power()

    def start(self, vm):
        self.machines[vm] = RecordingMachine()
        replica = replicas.Replica(
            'g',
            vm,
            self.founders,
            log_storage.Storage(self.disks[vm]),
            self.machines[vm].as_state_machine(),
            self.network.mesh(vm),
            self.timers,
            self.rng,
            self.memory_replicas,
            may_bootstrap=self.may_bootstrap,
            min_voters=self.min_voters,
            timeouts=self.timeouts,
            max_lost_disks=self.max_lost_disks,
        )
        self.replicas[vm] = replica
        self.network.handlers[vm] = {
            name: self.crash_on_power_cut(replica, name, handler)
            for name, handler in replica.handlers().items()
        }
        self.tasks.start_soon(self.run, vm, replica)

    def crash_on_power_cut(self, replica, name, handler):
        """Returns a handler whose power cut crashes the whole replica."""

        async def handle(peer, message):
            try:
                reply = await handler(peer, message)
                if name.endswith('.vote'):
                    self.record_vote(replica.vm, message, reply)
                return reply
            except PowerCutError:
                if self.replicas.get(replica.vm) is replica:
                    self.crash(replica.vm)
                raise errors.PeerLostError('power cut') from None

        return handle

    def record_vote(self, vm, message, reply):
        """Records who got the vote of a replica in a term."""
        term, candidate, *_, is_pre_vote = message
        _, is_granted, incarnation = reply
        if is_granted and not is_pre_vote:
            self.votes[vm, incarnation, term].add(candidate)

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
        """Stops a replica and drops its unsynced content."""
        if vm in self.scopes:
            self.scopes.pop(vm).cancel()
        self.network.handlers[vm] = {}
        replica = self.replicas.pop(vm, None)
        if replica is not None:
            # A handler that waits for the storage lock is not cancelled, and
            # would write to the disk of the next start.
            replica.failure = errors.DiskFailedError('the power was cut')
        self.disks[vm].cut_power()
        if vm in self.memory_replicas:
            self.lose_disk(vm)

    def lose_disk(self, vm):
        self.disks[vm] = FakeDisk(self.rng, self.timers)

    def add(self, vm):
        """Starts a VM with an empty disk at a new address."""
        self.vms = (*self.vms, vm)
        self.lose_disk(vm)
        self.start(vm)

    def retire(self, vm):
        """Stops a VM for good and returns its disk."""
        self.crash(vm)
        self.vms = tuple(one for one in self.vms if one != vm)
        return self.disks[vm]

    def leader(self):
        """Returns the leader of the highest term, or None."""
        leaders = [
            replica for replica in self.replicas.values() if replica.is_leader
        ]
        return max(leaders, key=lambda leader: leader.term, default=None)

    async def elect(self, seconds=20.0):
        """Advances time until a leader has caught up, and returns it.

        :raises AssertionError: after ``seconds`` without one.
        """
        for _ in range(int(seconds / 0.25)):
            await self.advance(0.25)
            leader = self.leader()
            if leader is not None and leader.is_caught_up:
                return leader
        raise AssertionError('no leader was elected in time')

    async def advance(self, seconds):
        while seconds > 0:
            await self.timers.advance(min(seconds, 0.25))
            seconds -= 0.25
            self.check_invariants()

    def check_invariants(self):
        """Checks that a term has one leader and that logs never diverge."""
        for replica in self.replicas.values():
            if replica.is_leader:
                self.leaders[replica.term].add(replica.vm)
                assert len(self.leaders[replica.term]) == 1, self.leaders
        for vote, candidates in self.votes.items():
            assert len(candidates) == 1, f'{vote} voted for {candidates}'
        logs = sorted(
            (self.machines[vm].applied for vm in self.replicas), key=len
        )
        for short, long in zip(logs, logs[1:], strict=False):
            assert long[: len(short)] == short, 'the applied logs diverge'

    def propose(self, vm):
        """Proposes a command at a replica in a background task."""
        replica = self.replicas.get(vm)
        if replica is None:
            return
        self.proposed += 1
        content = f'command {self.proposed}'.encode()
        self.tasks.start_soon(self.propose_content, vm, replica, content)

    async def propose_content(self, vm, replica, content):
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
        """Proposes at the leader until a command is acknowledged."""
        for _ in range(40):
            leader = self.leader()
            if leader is not None:
                before = len(self.acknowledged)
                self.propose(leader.vm)
                await self.advance(0.5)
                if len(self.acknowledged) > before:
                    return self.acknowledged[-1]
            await self.advance(0.5)
        raise AssertionError('no command was acknowledged')

    async def converge(self):
        """Ends all faults and waits until every replica is up to date."""
        self.network.heal()
        self.network.faults = NetworkFaults()
        for vm in self.vms:
            self.disks[vm].end_faults()
            if vm not in self.replicas:
                self.start(vm)
        for _ in range(240):
            await self.advance(0.5)
            leader = self.leader()
            lengths = {len(self.machines[vm].applied) for vm in self.vms}
            if leader is not None and len(lengths) == 1:
                if leader.applied_index == leader.storage.last_index:
                    return
        raise AssertionError('the replicas did not converge')

    def check_acknowledged(self):
        """Checks that every VM applied each acknowledged command once."""
        for vm in self.vms:
            applied = self.machines[vm].applied
            assert len(set(applied)) == len(applied), f'applied twice at {vm}'
            missing = set(self.acknowledged) - set(applied)
            assert not missing, f'{vm} lost {missing}'
