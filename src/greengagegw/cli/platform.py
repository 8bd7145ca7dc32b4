"""The platform command, which runs a VM on the Guild's platform."""

import functools
import time

import anyio
import click

from .. import logs
from ..platform import roles
from ..platform import settings as platform_settings

ROLES = {'entry': roles.run_entry, 'control': roles.run_control}


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
    log_writer = logs.start_logging(time.monotonic)
    try:
        settings = platform_settings.read(file)
        anyio.run(
            functools.partial(ROLES[role], settings, file),
            backend_options={'use_uvloop': True},
        )
    finally:
        log_writer.stop()
