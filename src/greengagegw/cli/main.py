"""The ``greengagegw`` command."""

import importlib
import typing

import click
import orjson

from .. import __version__
from .. import errors
from . import imports

# Module of each command. Only the module of the command in use is imported,
# to save memory on the VMs.
COMMANDS = {
    'check': 'serve',
    'check-configuration': 'check_configuration',
    'explain': 'explain',
    'holds': 'holds',
    'keys': 'keys',
    'platform': 'platform',
    'report': 'report',
    'serve': 'serve',
    'status': 'status',
    'table': 'table',
}


class LazyGroup(click.Group):
    """A command group that imports commands lazily.

    It prints errors of the gateway and exits with their exit codes.
    """

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted([*super().list_commands(context), *COMMANDS])

    def get_command(
        self, context: click.Context, name: str
    ) -> click.Command | None:
        if name not in COMMANDS:
            return super().get_command(context, name)
        with imports.collection_paused():
            module = importlib.import_module(f'.{COMMANDS[name]}', __package__)
        return getattr(module, name.replace('-', '_'))

    def invoke(self, context: click.Context) -> typing.Any:
        try:
            return super().invoke(context)
        except errors.GatewayError as error:
            self.print_error(error)
            context.exit(error.exit_code)

    def print_error(self, error: errors.GatewayError) -> None:
        click.echo(f'error: {error.code}: {error.message}', err=True)
        if error.retry_after is not None:
            click.echo(
                f'retry after {error.retry_after:g} s; a repeated edit returns'
                ' the outcome of the first one',
                err=True,
            )


@click.group(
    cls=LazyGroup,
    context_settings={'help_option_names': ['-h', '--help']},
    epilog='Shell completion: eval "$(_GREENGAGEGW_COMPLETE=bash_source'
    ' greengagegw)"',
)
def main() -> None:
    """Runs and operates a multi-region inference gateway.

    Exit codes: 0 success, 1 other failure, 2 invalid settings or usage,
    3 invalid table, 4 conflict with another edit, 5 unreachable or
    unavailable, 6 storage failure.
    """


@main.command()
@click.option('--output', type=click.Choice(['text', 'json']), default='text')
def version(output: str) -> None:
    """Prints the version."""
    if output == 'json':
        click.echo(orjson.dumps({'version': __version__}).decode())
    else:
        click.echo(__version__)


if __name__ == '__main__':
    main()
