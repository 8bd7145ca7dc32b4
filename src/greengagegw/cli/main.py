"""The ``greengagegw`` command."""

import typing

import click
import orjson

from .. import __version__
from .. import errors
from . import keys
from . import report
from . import serve
from . import status
from . import table


class Group(click.Group):
    """A group that turns the gateway's errors into exit codes."""

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


main.add_command(serve.serve)
main.add_command(serve.check)
main.add_command(table.table)
main.add_command(keys.keys)
main.add_command(status.status)
main.add_command(report.report)

if __name__ == '__main__':
    main()
