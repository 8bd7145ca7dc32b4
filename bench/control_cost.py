"""What control messages cost: processor time of each end, and bytes.

The two ends run in two threads with an event loop each, so that each one's
processor time is known.
"""

import contextlib
import dataclasses
import threading
import time
import typing

import anyio

from features.steps import peers as peer_steps
from features.steps import polling as polling_steps
from greengagegw.adapters import backend_http
from greengagegw.adapters import peer_mesh
from greengagegw import timers as timer_service
from standins import engine

from . import allowance_cost

ENGINE_PORT = 9000
COUNT = 2000
PAUSE_SECONDS = 0.001
POLLED_SECONDS = 10.0
WARM_SECONDS = 6.0


@dataclasses.dataclass(frozen=True)
class Cost:
    """Seconds of processor time for one message at each end."""

    sender: float
    receiver: float


class Other:
    """A thread with its own event loop that serves until it is stopped."""

    def __init__(self, serve: typing.Callable) -> None:
        self.serve = serve
        self.started = threading.Event()
        self.finished = threading.Event()
        self.seconds = 0.0
        self.thread = threading.Thread(target=self.run)

    def run(self) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.serve)
                await anyio.sleep(0.2)
                self.started.set()
                before = time.thread_time()
                while not self.finished.is_set():
                    await anyio.sleep(0.05)
                self.seconds = time.thread_time() - before
                tasks.cancel_scope.cancel()

        anyio.run(main, backend_options={'use_uvloop': True})

    def __enter__(self) -> 'Other':
        self.thread.start()
        self.started.wait()
        return self

    def __exit__(self, *failure: object) -> None:
        self.finished.set()
        self.thread.join()


@contextlib.asynccontextmanager
async def running_mesh(vm: str, host: str):
    """Runs the mesh of one VM, which answers ``echo``."""
    timers = timer_service.Timers()
    mesh = peer_mesh.PeerMesh(peer_steps.make_settings(vm), timers)

    async def echo(peer, message):
        return message

    mesh.handlers.calls['echo'] = echo
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=peer_steps.PORT
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run)
        tasks.start_soon(mesh.run, listener.listeners[0])
        await anyio.sleep(0.05)
        yield mesh
        tasks.cancel_scope.cancel()


def message_cost(rows: int, is_answered: bool = True) -> Cost:
    """Measures messages of some rows, one after the other."""
    message = [[123456789, 300, 20, False, 250]] * rows

    async def serve():
        async with running_mesh('listener', peer_steps.HOST):
            await anyio.sleep_forever()

    async def send() -> float:
        async with running_mesh('dialler', peer_steps.DIALLER_HOST) as mesh:
            await mesh.call('listener', 'echo', message)
            before = time.thread_time()
            for _ in range(COUNT):
                if is_answered:
                    await mesh.call('listener', 'echo', message)
                else:
                    await mesh.notify('listener', 'echo', message)
                    # Each one is to be read by itself, as in use.
                    await anyio.sleep(PAUSE_SECONDS)
            return time.thread_time() - before

    with Other(serve) as other:
        sender = anyio.run(send, backend_options={'use_uvloop': True})
    return Cost(sender / COUNT, other.seconds / COUNT)


def poll_cost() -> Cost:
    """Measures polls of a backend server's load."""

    async def serve():
        await engine.Engine('engine', peer_steps.HOST, ENGINE_PORT).run()

    async def send() -> float:
        server = {
            'name': 'engine',
            'service': 'model',
            'region': 'piedmont',
            'url': f'http://{peer_steps.HOST}:{ENGINE_PORT}',
        }
        settings = peer_steps.make_settings(
            'dialler', backend_servers=[server]
        )
        timers = timer_service.Timers()
        port = backend_http.HttpBackend(
            settings.backend_servers[0],
            settings.timeouts,
            timers,
            'bench',
            backend_http.make_ssl_context(),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(timers.run)
            await port.fetch_load()
            before = time.thread_time()
            for _ in range(COUNT):
                await port.fetch_load()
            seconds = time.thread_time() - before
            await port.close()
            tasks.cancel_scope.cancel()
        return seconds

    with Other(serve) as other:
        sender = anyio.run(send, backend_options={'use_uvloop': True})
    return Cost(sender / COUNT, other.seconds / COUNT)


@dataclasses.dataclass(frozen=True)
class Polls:
    """What polling costs one VM, in fake time.

    :ivar polls: requests to backend servers a second.
    :ivar messages: calls to other VMs a second.
    :ivar size: bytes a second of these calls and their answers.
    """

    polls: float
    messages: float
    size: float


class CountingMesh(allowance_cost.CountingMesh):
    counted = 'load'


def share_polls(vms: int, runners: int) -> Polls:
    """Measures what the VMs of one region send to know all loads."""

    async def run() -> Polls:
        region = polling_steps.Region(vms, runners)
        region.network.mesh = lambda vm: CountingMesh(region.network, vm)
        region.network.bytes = region.network.messages = 0
        async with region.running():
            await region.timers.advance(WARM_SECONDS)
            region.network.bytes = region.network.messages = 0
            before = sum(one.poll_count for one in region.pollers.values())
            await region.timers.advance(POLLED_SECONDS)
            polls = sum(one.poll_count for one in region.pollers.values())
            per_vm = vms * POLLED_SECONDS
            return Polls(
                (polls - before) / per_vm,
                region.network.messages / per_vm,
                region.network.bytes / per_vm,
            )

    return anyio.run(run)


def main() -> None:
    """Prints the costs."""
    for rows in (1, 8, 32):
        for is_answered in (True, False):
            cost = message_cost(rows, is_answered)
            print(
                f'message of {rows:2} rows, answered {is_answered}:'
                f' {1e6 * cost.sender:.0f} us sender,'
                f' {1e6 * cost.receiver:.0f} us receiver'
            )
    cost = poll_cost()
    print(f'poll: {1e6 * cost.sender:.0f} us in the VM')
    for vms, runners in ((3, 8), (8, 64), (16, 128), (28, 224)):
        found = share_polls(vms, runners)
        print(
            f'{vms} VMs, {runners} runners: {found.polls:.1f} polls/s,'
            f' {found.messages:.1f} messages/s, {found.size:.0f} bytes/s'
        )


if __name__ == '__main__':
    main()
