"""The ``greengagegw`` command."""

import importlib
import typing

import click
import orjson

from .. import __version__
from .. import errors

# Modules by command. Only the one that runs is imported, since a VM's
# memory counts.
COMMANDS = {
    'check': 'serve',
    'explain': 'explain',
    'keys': 'keys',
    'platform': 'platform',
    'report': 'report',
    'serve': 'serve',
    'status': 'status',
    'table': 'table',
}


class Group(click.Group):
    """A group that turns the gateway's errors into exit codes."""

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted([*super().list_commands(context), *COMMANDS])

    def get_command(
        self, context: click.Context, name: str
    ) -> click.Command | None:
        if name not in COMMANDS:
            return super().get_command(context, name)
        module = importlib.import_module(f'.{COMMANDS[name]}', __package__)
        return getattr(module, name)

    def invoke(self, context: click.Context) -> typing.Any:
        try:
            return super().invoke(context)
        except errors.GatewayError as error:
            self.explain(error)
            context.exit(error.exit_code)

    def explain(self, error: errors.GatewayError) -> None:
        click.echo(f'error: {error.code}: {error.message}', err=True)
        if error.retry_after is not None:
            click.echo(
                f'try again in {error.retry_after:g} s; a repeated edit gets'
                ' the outcome of the first one',
                err=True,
            )


@click.group(
    cls=Group,
    context_settings={'help_option_names': ['-h', '--help']},
    epilog='Shell completion: eval "$(_GREENGAGEGW_COMPLETE=bash_source'
    ' greengagegw)"',
)
def main() -> None:
    """Runs and steers a multi-region inference gateway.

    Exit codes: 0 done, 1 failed, 2 wrong settings or usage, 3 wrong table,
    4 changed by somebody else, 5 not reachable, 6 disk.
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
