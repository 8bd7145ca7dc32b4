"""A runner comes back under its id after its address was given to another."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

import small  # noqa: E402

REUSE_SECONDS = small.BOUNDS['addrReuseS'] + 0.2
CONTACT_SECONDS = small.BOUNDS['contactMs'] / 1000
APPLY_SECONDS = small.BOUNDS['configApplyMs'] / 1000
# How long a runner that has crashed stays in the list.
LISTED_SECONDS = 5.0
DOWN_SECONDS = 7.0
ARCHIVE = 'archive'
COUNT = 60
LEAST = 20


def make_state(version: int, later: bool) -> dict:
    state = small.make_state(version)
    state['services'].append(small.make_service(ARCHIVE))
    state['routes'].append(small.make_route('files', 'safe', service=ARCHIVE))
    if later:
        state['routes'].append(
            small.make_route('papers', 'safe', service=ARCHIVE)
        )
    return state


async def play(case: small.Case, deployment: small.Deployment) -> None:
    for zone in ('alpha-a', 'alpha-a', 'beta-a'):
        deployment.add_runner(zone)
    archive = deployment.add_runner('alpha-a', service=ARCHIVE)
    await deployment.start()
    await deployment.put(make_state(1, False))
    await deployment.wait_ready()
    await asyncio.sleep(3.0)
    numbers = iter(range(100000))
    served: dict[str, int] = {}
    asked: dict[str, int] = {}

    async def ask(route: str) -> None:
        identity = f'{route}-{next(numbers):05d}'
        front = deployment.entries[0]
        asked[route] = asked.get(route, 0) + 1
        status = 0
        try:
            response = await small.call(
                front.host,
                small.FRONT,
                'GET',
                f'/{route}/{identity}',
                small.client_headers(identity),
            )
            status = response.status if response is not None else 0
        except (OSError, TimeoutError):
            pass
        case.note(f'{identity} at {front.name}: {status}')
        served[route] = served.get(route, 0) + (status == 200)

    async def send_for(seconds: float, *routes: str) -> None:
        ends_at = case.now() + seconds
        tasks = []
        while case.now() < ends_at:
            tasks += [asyncio.create_task(ask(one)) for one in routes]
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    await send_for(2.0, 'lookup', 'files')
    if not served['files']:
        raise small.CannotRunError('the archive was not served before')
    if small.has_trouble:
        case.note(f'{archive.name} crashes')
        archive.crash()
        await send_for(REUSE_SECONDS, 'lookup', 'files')
        other = small.Runner(case, 'i-other', archive.host, 'alpha-a')
        await other.start()
        deployment.runners.append(other)
        case.note(f'{other.name} of another service starts at its address')
        await send_for(LISTED_SECONDS - REUSE_SECONDS, 'lookup', 'files')
        deployment.runners.remove(archive)
        case.note(f'the list shows {archive.name} no more')
        await send_for(DOWN_SECONDS - LISTED_SECONDS, 'lookup', 'files')
        archive.host = deployment.address(190)
        archive.entry['address'] = f'{archive.host}:{small.RUNNER}'
        await archive.start()
        deployment.runners.append(archive)
        case.note(f'{archive.name} starts again at {archive.host}')
    await send_for(CONTACT_SECONDS, 'lookup', 'files')
    await deployment.put(make_state(2, True))
    await send_for(APPLY_SECONDS, 'lookup')
    case.note('steady state from now on')
    served.clear()
    asked.clear()
    runs = len(archive.runs)
    for _ in range(COUNT):
        await asyncio.gather(ask('lookup'), ask('papers'))
        await asyncio.sleep(0.1)
    case.note(
        f'of {asked["lookup"]} requests on a first route'
        f' {served["lookup"]} were served, of {asked["papers"]} on the'
        f' later one {served["papers"]}; {archive.name} ran'
        f' {len(archive.runs) - runs}'
    )
    if asked['papers'] < LEAST or served['lookup'] < LEAST:
        raise small.CannotRunError('too few requests to tell')
    first = served['lookup'] / asked['lookup']
    later = served['papers'] / asked['papers']
    if later < first / 4:
        case.fail(
            f'CONFIG: {asked["papers"]} requests on a route that was added'
            f' later, {served["papers"]} served; on a first route'
            f' {served["lookup"]} of {asked["lookup"]}'
        )


small.run(play, HERE)
