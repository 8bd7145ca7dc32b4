"""What the allowance sends, in bytes and messages a second for each VM."""

import dataclasses

import anyio
import msgpack

from features import allowance_world
from features import fakes
from greengagegw import errors
from greengagegw import table as tables

VMS = 4
START_SECONDS = 12.0
MEASURED_SECONDS = 10.0
STEP_SECONDS = 0.05
TOKENS = 800
USED = 400
# Frame head, kind and number of a call and of its answer.
FRAME_BYTES = 12


@dataclasses.dataclass(frozen=True)
class Cost:
    """Measured in fake time, on VMs that do not hold the lease.

    :ivar bytes_a_second: bytes of calls and answers of one VM.
    :ivar messages_a_second: calls of one VM.
    :ivar refused: share of the requests.
    """

    bytes_a_second: float
    messages_a_second: float
    refused: float


class CountingMesh(fakes.FakeMesh):
    """Counts the calls on one matter that leave a VM."""

    counted = 'allowance'

    async def call(self, vm, method, message, timeout=None):
        answer = await super().call(vm, method, message, timeout)
        if vm != self.vm and method.startswith(self.counted):
            size = len(msgpack.packb(message)) + len(msgpack.packb(answer))
            self.network.bytes += size + len(method) + 2 * FRAME_BYTES
            self.network.messages += 1
        return answer

    async def notify(self, vm, method, message):
        await super().notify(vm, method, message)
        if method.startswith(self.counted):
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
                rate * TOKENS * VMS,
                rate * TOKENS * VMS * 10 + 10 * TOKENS,
                None,
                'coastal',
            )
            for at in range(organisations)
        )
    )


def measure(active: int, requests: float) -> Cost:
    """Returns what one VM sends.

    :param active: organisations whose requests come to each VM.
    :param requests: a second on each VM, of all of them together.
    """

    async def run() -> Cost:
        fleet = allowance_world.Fleet(shape=(VMS,))
        fleet.network.mesh = lambda vm: CountingMesh(fleet.network, vm)
        fleet.network.bytes = fleet.network.messages = 0
        rate = requests / active
        table = make_table(active, rate)
        counts = {'asked': 0, 'refused': 0}

        async def ask(member, organisation):
            counts['asked'] += 1
            try:
                reservation = await member.quota_client.reserve(
                    organisation, TOKENS, rate * TOKENS * VMS, 2.0
                )
            except errors.RateLimitError:
                counts['refused'] += 1
                return
            await fleet.timers.sleep(1.0)
            member.quota_client.refund(reservation, USED)

        async def send(seconds):
            due = 0.0
            for _ in range(round(seconds / STEP_SECONDS)):
                due += requests * STEP_SECONDS
                while due >= 1:
                    due -= 1
                    for member in fleet.members.values():
                        at = fleet.rng.randrange(active)
                        fleet.tasks.start_soon(
                            ask, member, f'organisation-{at}'
                        )
                await fleet.advance(STEP_SECONDS)

        async with fleet.running():
            for member in fleet.members.values():
                member.view.configuration.table = table
            await send(START_SECONDS)
            fleet.network.bytes = fleet.network.messages = 0
            counts.update(asked=0, refused=0)
            await send(MEASURED_SECONDS)
            per_vm = (VMS - 1) * MEASURED_SECONDS
            return Cost(
                fleet.network.bytes / per_vm,
                fleet.network.messages / per_vm,
                counts['refused'] / counts['asked'],
            )

    return anyio.run(run)


def main() -> None:
    """Prints the cost for several spreads of 92 requests a second."""
    for active in (1, 5, 20, 92, 530):
        cost = measure(active, 92)
        print(
            f'{active:4} organisations: {cost.bytes_a_second:7.0f} bytes/s,'
            f' {cost.messages_a_second:6.1f} messages/s,'
            f' {100 * cost.refused:.2f} % refused'
        )


if __name__ == '__main__':
    main()
