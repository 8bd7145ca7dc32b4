"""Measures the messages that quota grants cost a VM, in simulated time."""

import dataclasses

import anyio
import msgpack

from features import allowance_world
from features import fakes
from greengagegw import errors
from greengagegw import table as tables

VMS = 4
WARM_UP_SECONDS = 12.0
MEASURED_SECONDS = 10.0
STEP_SECONDS = 0.05
RESERVED_TOKENS = 800
USED_TOKENS = 400
# Frame header, kind and number of a message between VMs.
FRAME_BYTES = 12


@dataclasses.dataclass(frozen=True)
class Cost:
    """The cost for one VM that does not hold the region's lease.

    :ivar bytes_a_second: bytes of its calls and their responses.
    :ivar messages_a_second: its calls.
    :ivar rejected_share: the share of requests that were rejected.
    """

    bytes_a_second: float
    messages_a_second: float
    rejected_share: float


class CountingMesh(fakes.FakeMesh):
    """Counts the messages that a VM sends to others.

    :cvar method_prefix: the start of the methods that are counted.
    """

    method_prefix = 'allowance'

    async def call(self, vm, method, message, timeout=None):
        response = await super().call(vm, method, message, timeout)
        if vm != self.vm and method.startswith(self.method_prefix):
            size = len(msgpack.packb(message)) + len(msgpack.packb(response))
            self.network.bytes += size + len(method) + 2 * FRAME_BYTES
            self.network.messages += 1
        return response

    async def notify(self, vm, method, message):
        self.post(vm, method, message)

    def post(self, vm, method, message):
        super().post(vm, method, message)
        if method.startswith(self.method_prefix):
            size = len(msgpack.packb(message)) + len(method)
            self.network.bytes += size + FRAME_BYTES
            self.network.messages += 1


def make_table(organisations: int, rate: float) -> tables.Table:
    return tables.Table(
        tuple(
            tables.Row(
                'organisation',
                f'organisation-{at}',
                1.0,
                rate * RESERVED_TOKENS * VMS,
                rate * RESERVED_TOKENS * VMS * 10 + 10 * RESERVED_TOKENS,
                None,
                'coastal',
            )
            for at in range(organisations)
        )
    )


def measure(active: int, requests: float) -> Cost:
    """Returns the cost for one VM.

    :param active: number of organisations that send requests to each VM.
    :param requests: requests a second to each VM, of all organisations.
    """

    async def run() -> Cost:
        fleet = allowance_world.Fleet(vm_counts=(VMS,))
        fleet.network.mesh = lambda vm: CountingMesh(fleet.network, vm)
        fleet.network.bytes = fleet.network.messages = 0
        rate = requests / active
        table = make_table(active, rate)
        counts = {'sent': 0, 'rejected': 0}

        async def send_request(member, organisation):
            counts['sent'] += 1
            try:
                reservation = await member.quota_client.reserve(
                    organisation,
                    RESERVED_TOKENS,
                    rate * RESERVED_TOKENS * VMS,
                    2.0,
                )
            except errors.RateLimitError:
                counts['rejected'] += 1
                return
            await fleet.timers.sleep(1.0)
            member.quota_client.refund(reservation, USED_TOKENS)

        async def send_load(seconds):
            due = 0.0
            for _ in range(round(seconds / STEP_SECONDS)):
                due += requests * STEP_SECONDS
                while due >= 1:
                    due -= 1
                    for member in fleet.members.values():
                        at = fleet.rng.randrange(active)
                        fleet.tasks.start_soon(
                            send_request, member, f'organisation-{at}'
                        )
                await fleet.advance(STEP_SECONDS)

        async with fleet.running():
            for member in fleet.members.values():
                member.view.configuration.table = table
            await send_load(WARM_UP_SECONDS)
            fleet.network.bytes = fleet.network.messages = 0
            counts.update(sent=0, rejected=0)
            await send_load(MEASURED_SECONDS)
            vm_seconds = (VMS - 1) * MEASURED_SECONDS
            return Cost(
                fleet.network.bytes / vm_seconds,
                fleet.network.messages / vm_seconds,
                counts['rejected'] / counts['sent'],
            )

    return anyio.run(run)


def main() -> None:
    """Prints the cost of 92 requests a second by number of organisations."""
    for active in (1, 5, 20, 92, 530):
        cost = measure(active, 92)
        print(
            f'{active:4} organisations: {cost.bytes_a_second:7.0f} bytes/s,'
            f' {cost.messages_a_second:6.1f} messages/s,'
            f' {100 * cost.rejected_share:.2f} % rejected'
        )


if __name__ == '__main__':
    main()
