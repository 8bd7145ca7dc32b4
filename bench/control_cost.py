"""Measures the CPU time of control messages and load polls.

Sender and receiver run in separate threads, each with its own event loop, so
that the CPU time of each can be measured.
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
MESSAGES = 2000
PAUSE_SECONDS = 0.001
MEASURED_SECONDS = 10.0
WARM_UP_SECONDS = 6.0


@dataclasses.dataclass(frozen=True)
class Cost:
    """Seconds of CPU time for one message."""

    sender: float
    receiver: float


class ReceiverThread:
    """Runs a function in a thread with its own event loop.

    :ivar cpu_seconds: CPU time that the thread used.
    """

    def __init__(self, serve: typing.Callable) -> None:
        self.serve = serve
        self.started = threading.Event()
        self.stopping = threading.Event()
        self.cpu_seconds = 0.0
        self.thread = threading.Thread(target=self.run)

    def run(self) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.serve)
                await anyio.sleep(0.2)
                self.started.set()
                before = time.thread_time()
                while not self.stopping.is_set():
                    await anyio.sleep(0.05)
                self.cpu_seconds = time.thread_time() - before
                tasks.cancel_scope.cancel()

        anyio.run(main, backend_options={'use_uvloop': True})

    def __enter__(self) -> 'ReceiverThread':
        self.thread.start()
        self.started.wait()
        return self

    def __exit__(self, *failure: object) -> None:
        self.stopping.set()
        self.thread.join()


@contextlib.asynccontextmanager
async def running_mesh(vm: str, host: str):
    """Runs the peer mesh of a VM, with the method ``echo``."""
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


def message_cost(rows: int, has_response: bool = True) -> Cost:
    """Measures sequential messages between two VMs.

    :param rows: rows of load in each message.
    """
    message = [[123456789, 300, 20, False, 250]] * rows

    async def serve():
        async with running_mesh('listener', peer_steps.HOST):
            await anyio.sleep_forever()

    async def send() -> float:
        async with running_mesh('dialler', peer_steps.DIALLER_HOST) as mesh:
            await mesh.call('listener', 'echo', message)
            before = time.thread_time()
            for _ in range(MESSAGES):
                if has_response:
                    await mesh.call('listener', 'echo', message)
                else:
                    await mesh.notify('listener', 'echo', message)
                    # Makes the receiver read each message separately, as in
                    # production.
                    await anyio.sleep(PAUSE_SECONDS)
            return time.thread_time() - before

    with ReceiverThread(serve) as receiver_thread:
        sender = anyio.run(send, backend_options={'use_uvloop': True})
    return Cost(sender / MESSAGES, receiver_thread.cpu_seconds / MESSAGES)


def poll_cost() -> Cost:
    """Measures load polls of a backend server."""

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
            for _ in range(MESSAGES):
                await port.fetch_load()
            seconds = time.thread_time() - before
            await port.close()
            tasks.cancel_scope.cancel()
        return seconds

    with ReceiverThread(serve) as receiver_thread:
        sender = anyio.run(send, backend_options={'use_uvloop': True})
    return Cost(sender / MESSAGES, receiver_thread.cpu_seconds / MESSAGES)


@dataclasses.dataclass(frozen=True)
class PollingRates:
    """The polling of one VM, in simulated time.

    :ivar polls: load polls a second.
    :ivar messages: messages to other VMs a second.
    :ivar size: bytes a second of these messages and their responses.
    """

    polls: float
    messages: float
    size: float


class CountingMesh(allowance_cost.CountingMesh):
    method_prefix = 'load'


def polling_rates(vms: int, servers: int) -> PollingRates:
    """Measures how the VMs of a region poll and exchange loads."""

    async def run() -> PollingRates:
        region = polling_steps.Region(vms, servers)
        region.network.mesh = lambda vm: CountingMesh(region.network, vm)
        region.network.bytes = region.network.messages = 0
        async with region.running():
            await region.timers.advance(WARM_UP_SECONDS)
            region.network.bytes = region.network.messages = 0
            before = sum(one.poll_count for one in region.pollers.values())
            await region.timers.advance(MEASURED_SECONDS)
            polls = sum(one.poll_count for one in region.pollers.values())
            vm_seconds = vms * MEASURED_SECONDS
            return PollingRates(
                (polls - before) / vm_seconds,
                region.network.messages / vm_seconds,
                region.network.bytes / vm_seconds,
            )

    return anyio.run(run)


def main() -> None:
    """Prints all costs."""
    for rows in (1, 8, 32):
        for has_response in (True, False):
            cost = message_cost(rows, has_response)
            print(
                f'message of {rows:2} rows, response {has_response}:'
                f' {1e6 * cost.sender:.0f} us sender,'
                f' {1e6 * cost.receiver:.0f} us receiver'
            )
    cost = poll_cost()
    print(f'poll: {1e6 * cost.sender:.0f} us in the VM')
    for vms, servers in ((3, 8), (8, 64), (16, 128), (28, 224)):
        rates = polling_rates(vms, servers)
        print(
            f'{vms} VMs, {servers} backend servers: {rates.polls:.1f} polls/s,'
            f' {rates.messages:.1f} messages/s, {rates.size:.0f} bytes/s'
        )


if __name__ == '__main__':
    main()
