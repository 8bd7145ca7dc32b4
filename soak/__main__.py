"""Command line of the soak."""

import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

import anyio
import click

from . import checks
from . import crowds
from . import days
from . import deployment as deployments
from . import disk_losses
from . import faults as fault_schedules
from . import layout as layouts
from . import learners
from . import record as records
from . import slow_disks
from . import stops
from . import traffic

CALM_SECONDS = 14.0
READY_SECONDS = 40.0
SERVERS_PER_DOMAIN = 2
SCENARIOS = (
    'mixed',
    'replacements',
    'stops',
    'crowds',
    'learners',
    'slow-disks',
    'disk-losses',
)


class SoakError(Exception):
    """The soak could not run."""


ROUND_PLAYERS = {
    'learners': learners.play_round,
    'slow-disks': slow_disks.play_round,
    'disk-losses': disk_losses.play_round,
}
FAULTS = (
    SoakError,
    learners.LearnerError,
    slow_disks.SlowDiskError,
    disk_losses.DiskLossError,
)


async def wait_ready(clients, operator, deployment, record) -> None:
    """Waits until a first configuration is stored and served.

    :raises SoakError: if it is not within READY_SECONDS.
    """
    with anyio.move_on_after(READY_SECONDS):
        await operator.put()
        for machine in deployment.entries:
            while await clients.send(machine, 'safe') != 200:
                await anyio.sleep(0.3)
        return
    raise SoakError('the deployment did not start')


async def stay_calm(operator, deployment, clients, record) -> None:
    """Lets the deployment settle, and reads everything back."""
    may_order = operator.may_order
    await anyio.sleep(CALM_SECONDS - record.bounds.apply)
    operator.may_order = False
    await anyio.sleep(record.bounds.apply)
    for machine in list(deployment.controls):
        await operator.read(machine)
    for machine in deployment.entries:
        await clients.send(machine, 'added')
    operator.may_order = may_order


async def play_rounds(
    options: dict, operator, injector, deployment, clients, record
) -> None:
    """Plays rounds of faults drawn from the seed, and a final fault."""
    rng = injector.rng
    for _ in range(options['rounds']):
        if options['scenario'] == 'replacements':
            await injector.replace_repeatedly(rng.randint(1, 3))
        else:
            schedule = fault_schedules.draw_round(rng)
            await injector.run_round(schedule)
        await stay_calm(operator, deployment, clients, record)
    if options['scenario'] == 'replacements':
        await injector.replace_repeatedly(rng.randint(1, 3))
    await injector.final_fault(rng.choice([1, 2, 2]))
    operator.may_order = False
    await stay_calm(operator, deployment, clients, record)
    await anyio.sleep(record.bounds.contact)


async def run_seed(seed: int, options: dict, folder: pathlib.Path) -> list:
    """Runs one seed and returns the violations."""
    rng = random.Random(seed)
    layout = options['layout']
    home_domains = [
        domain
        for domain, region in layout.regions.items()
        if region in layout.home_regions
    ]
    record = records.Record(layout.bounds, frozenset(home_domains))
    notes = open(folder / 'notes.txt', 'w', encoding='utf-8')

    def log(text: str) -> None:
        notes.write(f'{record.now():9.3f} {time.time():.3f} {text}\n')
        notes.flush()

    async with anyio.create_task_group() as tasks:
        deployment = deployments.Deployment(
            folder,
            pathlib.Path(options['root']).resolve(),
            record,
            random.Random(seed + 1),
            tasks,
            layout,
            options['other_root'],
        )
        has_stops = options['scenario'] == 'stops'
        operator = traffic.Operator(
            deployment,
            record,
            random.Random(seed),
            stops.OBJECTIVE_MS if has_stops else traffic.OBJECTIVE_MS,
        )
        clients = traffic.Clients(
            deployment,
            record,
            random.Random(seed + 2),
            tasks,
            options['per_second'],
            lambda: operator.version,
        )
        injector = fault_schedules.Injector(deployment, record, rng, log)
        day = options['day']
        if day is not None:
            clients.keys, operator.keys = day.keys, day.keys
        try:
            await deployment.start(SERVERS_PER_DOMAIN)
            tasks.start_soon(deployment.watch_processes)
            await wait_ready(clients, operator, deployment, record)
            if day is not None:
                lead = layout.bounds.lead - record.now()
                await anyio.sleep(max(0.0, lead))
            record.disturbances.append(
                records.Disturbance('start', 0.0, record.now())
            )
            for task in (
                clients.run,
                operator.follow_list,
                operator.read_at_random,
            ):
                tasks.start_soon(task)
            player = days.Player(
                deployment, operator, injector, record, rng, log, clients
            )
            if day is not None:
                await player.play(day)
            elif has_stops:
                player = stops.Player(deployment, record, rng, tasks, log)
                for _ in range(options['rounds']):
                    await player.play_round()
            elif options['scenario'] in ROUND_PLAYERS:
                tasks.start_soon(operator.run)
                for _ in range(options['rounds']):
                    await ROUND_PLAYERS[options['scenario']](player)
                    await stay_calm(operator, deployment, clients, record)
                operator.may_order = False
                await operator.read_back()
            elif options['scenario'] == 'crowds':
                tasks.start_soon(operator.run)
                player = crowds.Player(deployment, record, rng, log)
                for _ in range(options['rounds']):
                    await player.play_round()
                    await stay_calm(operator, deployment, clients, record)
            else:
                tasks.start_soon(operator.run)
                await play_rounds(
                    options, operator, injector, deployment, clients, record
                )
        finally:
            operator.record_pending()
            deployment.stop()
            tasks.cancel_scope.cancel()
    notes.close()
    found = checks.check(record)
    served = sum(200 <= one.status < 300 for one in record.requests)
    summary = {
        'seed': seed,
        'requests': len(record.requests),
        'served': served,
        'runs': len(record.runs),
        'orders': len(record.orders),
        'reads': len(record.reads),
        'disturbances': len(record.disturbances),
        'exchanges': len(record.exchanges),
        'sent during stops': stops.count_outcomes(record),
        'seconds': round(record.now(), 1),
        'violations': found,
    }
    (folder / 'summary.json').write_text(json.dumps(summary, indent=1))
    if record.stops:
        click.echo(json.dumps(summary['sent during stops']))
    return found


def read_options(
    day: str | None, site: str | None, controls: int, entries: int
) -> dict:
    """Returns the layout of the deployment and the day to play, if any.

    :raises click.ClickException: if a file cannot be used.
    """
    try:
        layout = layouts.make(controls, entries)
        if site:
            layout = layouts.read_site(pathlib.Path(site))
        return {
            'layout': layout,
            'day': days.read_day(pathlib.Path(day)) if day else None,
        }
    except days.DayError as error:
        raise click.ClickException(str(error)) from error
    except (OSError, ValueError, KeyError) as error:
        raise click.ClickException(
            f'{site}: {type(error).__name__}: {error}'
        ) from error


@click.command()
@click.option('--seed', default=1, help='First seed.')
@click.option('--seeds', default=1, help='Number of seeds.')
@click.option('--rounds', default=2, help='Rounds of faults in each run.')
@click.option('--controls', default=5, help='Number of control VMs.')
@click.option('--entries', default=4, help='Number of entry VMs.')
@click.option('--per-second', default=25.0, help='Requests per second.')
@click.option('--day', help='Day to play, in the format of the bench.')
@click.option('--site', help='Deployment in that format, for its size.')
@click.option('--scenario', type=click.Choice(SCENARIOS), default='mixed')
@click.option(
    '--root',
    default=str(deployments.ROOT),
    help='Checkout whose program is run.',
)
@click.option(
    '--other-root',
    type=click.Path(path_type=pathlib.Path, exists=True, resolve_path=True),
    help='Checkout that every second VM runs instead.',
)
@click.option('--keep', help='Folder for the logs of failed runs.')
@click.option('--keep-all', is_flag=True, help='Keeps those of others too.')
def main(
    seed: int,
    seeds: int,
    keep: str | None,
    keep_all: bool,
    day: str | None,
    site: str | None,
    controls: int,
    entries: int,
    **options,
) -> None:
    """Runs the platform's programs under faults and checks the promises."""
    options |= read_options(day, site, controls, entries)
    name = options['day'].name if day else options['scenario']
    # The processes have to end with this one.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    failed = 0
    for one in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
        try:
            found = anyio.run(run_seed, one, options, folder)
        except* FAULTS as group:
            found = [f'FAULT: {error}' for error in group.exceptions]
        finally:
            deployments.kill_started_processes()
        click.echo(f'seed {one}: {"failed" if found else "passed"}')
        for line in found:
            click.echo(f'  {line}')
        failed += bool(found)
        if keep and (found or keep_all):
            target = pathlib.Path(keep) / f'{name}-{one}'
            shutil.rmtree(target, ignore_errors=True)
            shutil.copytree(folder, target)
        shutil.rmtree(folder, ignore_errors=True)
    click.echo(f'{seeds - failed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
