"""The platform command, which runs a VM on the Guild's platform."""

import collections.abc
import functools
import importlib
import time

import anyio
import click

from .. import allocator
from .. import logs
from . import imports
from ..platform import settings as platform_settings

# Module and function of each role. Only the modules of the role in use are
# imported.
ROLES = {
    'control': ('control_role', 'run_control'),
    'entry': ('roles', 'run_entry'),
}


@click.command()
@click.argument('role', type=click.Choice(sorted(ROLES)))
@click.option(
    '--settings',
    'file',
    type=click.Path(dir_okay=False),
    help="The platform's settings file; by default $GREENGAGEGW_SETTINGS or"
    ' /etc/greengagegw/local.conf.',
)
def platform(role: str, file: str | None) -> None:
    """Runs an entry VM or a control VM on the Guild's platform."""
    allocator.return_large_blocks()
    run = import_role(role)
    log_writer = logs.start_logging(time.monotonic)
    try:
        settings = platform_settings.read(file)
        anyio.run(
            functools.partial(run, settings, file),
            backend_options={'use_uvloop': True},
        )
    finally:
        log_writer.stop()


def import_role(role: str) -> collections.abc.Callable:
    """Returns the function that runs a role."""
    module, function = ROLES[role]
    with imports.collection_paused():
        imports.defer_protocols()
        imported = importlib.import_module(f'...platform.{module}', __name__)
    return getattr(imported, function)
