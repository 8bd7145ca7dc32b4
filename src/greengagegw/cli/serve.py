"""The serve and check commands, which read settings files."""

import functools
import signal
import sys

import anyio
import click
import eliot

from .. import allocator
from .. import errors
from .. import settings as settings_module
from .. import vm as vms
from . import operator_client


@click.command()
@click.option(
    '--settings',
    'file',
    required=True,
    type=click.Path(dir_okay=False),
    help='Settings file (YAML) of this VM.',
)
@click.option(
    '--log',
    type=click.File('a'),
    default='-',
    help='Log file, one JSON object per line; - is standard output.',
)
def serve(file: str, log: click.utils.LazyFile) -> None:
    """Runs one VM until SIGTERM or SIGINT, then drains it."""
    allocator.return_large_blocks()
    settings = settings_module.load(file)
    eliot.to_file(log)
    anyio.run(
        functools.partial(run, settings),
        backend_options={'use_uvloop': True},
    )


async def run(settings: settings_module.Settings) -> None:
    """Runs a VM; the first signal drains it, a second one exits at once."""
    async with anyio.create_task_group() as tasks:

        def watch_signals(vm: vms.Vm) -> None:
            tasks.start_soon(stop_on_signal, vm)

        await vms.run_vm(settings, watch_signals)
        tasks.cancel_scope.cancel()


async def stop_on_signal(vm: vms.Vm) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        count = 0
        async for _ in signals:
            count += 1
            if count > 1:
                eliot.log_message('stop:forced')
                sys.exit(1)
            vm.stop()


@click.command()
@click.argument('files', nargs=-1, required=True, type=click.Path())
@operator_client.output_option
def check(files: tuple[str, ...], output: str) -> None:
    """Validates settings files and lists all problems in them."""
    problems: list[settings_module.Problem] = []
    for file in files:
        try:
            settings_module.load(file)
        except errors.SettingsError as error:
            problems += error.problems
    content = {
        'files': list(files),
        'problems': [str(problem) for problem in problems],
    }
    if problems and output == 'text':
        raise errors.SettingsError(tuple(problems))
    operator_client.print_result(
        content, output, f'{len(files)} files are valid'
    )
    if problems:
        click.get_current_context().exit(errors.SettingsError.exit_code)
