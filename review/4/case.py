"""An order that its operator gave up is carried out after later orders."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

ZONE = 'coastal-a'
PATH = f'/-/evacuations/{ZONE}'
# The site's own days freeze one core machine for 4.0 to 7.8 s.
FREEZE_SECONDS = 7.8
# From the first sending of an order to that of the opposite one: longer than
# ackTimeoutMs, after which the first one is no longer sent.
ORDER_PAUSE_SECONDS = 6.3


async def run(deployment: standins.Deployment, has_trouble: bool) -> bool:
    runner = next(one for one in deployment.runners if one.zone == ZONE)
    leader = await deployment.find_leader()
    frozen, *others = [one for one in deployment.controls if one is not leader]
    others.append(leader)
    traffic = asyncio.create_task(deployment.send_steadily(30))
    await asyncio.sleep(1)
    await deployment.order('POST', PATH, machines=others)
    await asyncio.sleep(standins.EVACUATE_SECONDS + 1)
    if has_trouble:
        frozen.stop()
    frozen_at = time.monotonic()
    await asyncio.sleep(0.2)
    # The operator's first choice, which is silent for a second if frozen.
    await deployment.order('DELETE', PATH, machines=[frozen, *others])
    taken_back = 'taken back; the opposite order follows after 6.3 s in all'
    deployment.record.write(f'{ZONE} is {taken_back}', True)
    pause = frozen_at + 0.2 + ORDER_PAUSE_SECONDS - time.monotonic()
    await asyncio.sleep(pause)
    await deployment.order('POST', PATH, machines=others)
    evacuated_at = time.monotonic()
    deployment.record.write(f'{ZONE} is evacuated again', True)
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - evacuated_at))
    if has_trouble:
        frozen.go_on()
    # The bound with its longest stretch, and until all are in touch again.
    bound = max(
        evacuated_at + standins.EVACUATE_SECONDS + standins.STRETCH_SECONDS,
        frozen_at + FREEZE_SECONDS + standins.CONTACT_SECONDS,
    )
    await asyncio.sleep(bound + 12 - time.monotonic())
    traffic.cancel()
    deployment.check_served(bound)
    late = [at for at, _ in runner.runs if at > bound]
    deployment.record.write(
        f'{len(late)} requests reached the evacuated zone later than'
        f' {bound - evacuated_at:.1f} s after the acknowledgement',
        True,
    )
    return not late


sys.exit(standins.run_case(pathlib.Path(__file__).resolve().parent, run))
