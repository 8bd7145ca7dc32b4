"""The command that validates a configuration before it is sent."""

import click
import httpx

from .. import errors
from ..fleet import configuration as configurations
from ..fleet import configuration_check
from ..platform import documents

TIMEOUT_SECONDS = 20.0
WARNINGS_EXIT_CODE = 1
ERRORS_EXIT_CODE = 2


@click.command('check-configuration')
@click.argument('file', type=click.Path(exists=True, dir_okay=False))
@click.option(
    '--in-force',
    help='File or URL of the configuration in force, to show the differences.',
)
@click.pass_context
def check_configuration(
    context: click.Context, file: str, in_force: str | None
) -> None:
    """Validates a configuration of the Guild's platform.

    Prints errors, entries that can never take effect, limits that contradict
    each other, and what differs from the configuration in force.

    Exit codes: 0 nothing was found, 1 warnings, 2 errors.
    """
    new = read(context, file)
    findings = [str(one) for one in configuration_check.find_all(new)]
    if in_force is not None:
        old = read(context, in_force)
        if new.version <= old.version:
            findings.append(
                f'version: {new.version} is not higher than the'
                f' {old.version} in force, so nothing would change'
            )
        for line in configuration_check.find_changes(old, new):
            click.echo(line)
    for one in findings:
        click.echo(f'warning: {one}')
    if findings:
        context.exit(WARNINGS_EXIT_CODE)


def read(context: click.Context, source: str) -> configurations.Configuration:
    """Returns a configuration, or prints its errors and exits."""
    try:
        return documents.decode(load(source))
    except errors.ConfigurationError as error:
        problems = error.problems
    except (OSError, httpx.HTTPError) as error:
        problems = (f'cannot be read: {error}',)
    for one in problems:
        click.echo(f'error: {source}: {one}', err=True)
    context.exit(ERRORS_EXIT_CODE)


def load(source: str) -> bytes:
    """Returns the content of a file, or of a URL.

    :raises OSError: if the file cannot be read.
    :raises httpx.HTTPError: if the URL cannot be read.
    """
    if source.startswith(('http://', 'https://')):
        response = httpx.get(source, timeout=TIMEOUT_SECONDS, trust_env=False)
        response.raise_for_status()
        return response.content
    with open(source, 'rb') as content:
        return content.read()
