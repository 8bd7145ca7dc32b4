"""Steps for orders of operators over real connections."""

import socket
import struct
import threading
import time

import anyio
import behave

from features import fakes
from features.steps.fleet import in_fleet
from greengagegw.adapters import servers
from greengagegw import errors
from greengagegw.platform import operator_application
from greengagegw import timers as timer_service
from standins import loopback_blocks

HOST = f'127.{loopback_blocks.reserve_block()}.1.1'
PORT = 8080
NO_LINGER = struct.pack('ii', 1, 0)
# A suspension in which the operator gives up.
SUSPENDED_SECONDS = 0.5
RESPONSE_SECONDS = 5.0


async def always():
    return True


class RecordingControl:
    """Records the orders that a control VM would propose.

    :ivar orders: what was to be carried out.
    """

    def __init__(self):
        self.orders = []

    async def submit(self, command, is_wanted=always):
        await self.order(command, is_wanted)
        return [True, 1]

    async def order(self, name, is_wanted):
        # As the read that an order is based on.
        await anyio.sleep(0.01)
        if not await is_wanted():
            raise errors.OrderAbandonedError('the caller has gone')
        self.orders.append(name)
        return True

    async def order_evacuation(self, domain, is_evacuated, is_wanted):
        return await self.order(domain, is_wanted)

    async def order_lift(self, hold_id, is_wanted):
        return await self.order(hold_id, is_wanted)


@behave.given('the HTTP application of a control VM')
def given_application(context):
    context.control = RecordingControl()


def send_order(method, path, ending, statuses):
    """Sends an order on a connection of its own."""
    with socket.create_connection((HOST, PORT)) as connection:
        head = f'{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n'
        connection.sendall(head.encode())
        if ending == 'resets':
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
        if ending == 'waits':
            connection.settimeout(RESPONSE_SECONDS)
            statuses.append(connection.recv(4096).split()[1])


@behave.when(
    'an operator sends {method} {path} while the process is suspended, and'
    ' {ending}'
)
@in_fleet
async def when_sent(context, method, path, ending):
    timers = timer_service.Timers()
    application = operator_application.OperatorApplication(
        timers, context.control
    )
    stopped = anyio.Event()
    context.statuses = []
    operator = threading.Thread(
        target=send_order, args=(method, path, ending, context.statuses)
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            servers.serve,
            application,
            (HOST, PORT),
            servers.ServerSettings(65536, 20.0, 0.1),
            stopped.wait,
            fakes.limit_clients(timers),
            timers,
        )
        await wait_for_server()
        operator.start()
        # Stops the event loop as a suspension does.
        time.sleep(SUSPENDED_SECONDS)  # noqa: ASYNC251
        await anyio.sleep(0.3)
        await anyio.to_thread.run_sync(operator.join)
        stopped.set()


async def wait_for_server():
    for _ in range(100):
        try:
            async with await anyio.connect_tcp(HOST, PORT):
                return
        except OSError:
            await anyio.sleep(0.02)
    raise AssertionError('the server does not listen')


@behave.then('the order is {outcome}')
def then_outcome(context, outcome):
    if outcome == 'carried out':
        assert len(context.control.orders) == 1, context.control.orders
        assert context.statuses == [b'200'], context.statuses
    else:
        assert not context.control.orders, context.control.orders
