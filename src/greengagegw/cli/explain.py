"""The explain command."""

import pathlib
import sys

import click

from .. import errors
from ..report import stories

PICTURE_COLUMNS = 24


@click.command()
@click.argument(
    'files',
    nargs=-1,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option('--request', help="A request's id: what became of it.")
@click.option(
    '--refused', is_flag=True, help='Why requests failed, by reason.'
)
@click.option('--slow', is_flag=True, help='Requests that began late.')
@click.option(
    '--most',
    type=click.IntRange(1),
    default=20,
    show_default=True,
    help='Rows of --slow.',
)
def explain(
    files: tuple[pathlib.Path, ...],
    request: str | None,
    refused: bool,
    slow: bool,
    most: int,
) -> None:
    """Tells from logs what became of requests.

    FILES are logs of VMs, one for each; without any, standard input is read,
    where each line may begin with the VM's name.
    """
    if sum((request is not None, refused, slow)) != 1:
        raise errors.UsageError('give one of --request, --refused and --slow')
    lines, unreadable = read_all(files)
    if unreadable:
        click.echo(f'{unreadable} lines could not be read', err=True)
    if refused:
        click.echo(stories.format_refusals(stories.group_refusals(lines)))
    elif slow:
        click.echo(stories.format_slow(stories.find_slow(lines), most))
    else:
        story = stories.tell(lines, request)
        if not story:
            raise errors.UnknownRequestError(
                f'no line names the request {request}'
            )
        click.echo(stories.format_story(story, PICTURE_COLUMNS))


def read_all(
    files: tuple[pathlib.Path, ...],
) -> tuple[list[stories.Line], int]:
    """Returns the lines of all files, and how many could not be read."""
    if not files:
        return stories.read('-', sys.stdin)
    lines = []
    unreadable = 0
    for file in files:
        with open(file, encoding='utf-8', errors='replace') as content:
            found, lost = stories.read(file.stem, content)
        lines += found
        unreadable += lost
    return lines, unreadable
