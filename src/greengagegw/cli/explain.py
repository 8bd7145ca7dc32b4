"""The explain command, which analyses logs of requests."""

import pathlib
import sys

import click

from .. import errors
from ..report import request_timeline

TIMELINE_COLUMNS = 24


@click.command()
@click.argument(
    'files',
    nargs=-1,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    '--request', help='Show the timeline of the request with this id.'
)
@click.option(
    '--refused', is_flag=True, help='Count failed requests by reason.'
)
@click.option(
    '--slow',
    is_flag=True,
    help='List requests that missed their latency objective.',
)
@click.option(
    '--most',
    type=click.IntRange(1),
    default=20,
    show_default=True,
    help='Maximum number of rows of --slow.',
)
def explain(
    files: tuple[pathlib.Path, ...],
    request: str | None,
    refused: bool,
    slow: bool,
    most: int,
) -> None:
    """Explains from logs what happened to requests.

    FILES are logs, one file for each VM. Without FILES, standard input is
    read, where each line may begin with the name of its VM.
    """
    if sum((request is not None, refused, slow)) != 1:
        raise errors.UsageError(
            'give exactly one of --request, --refused and --slow'
        )
    lines, unreadable = read_logs(files)
    if unreadable:
        click.echo(f'{unreadable} lines could not be read', err=True)
    if refused:
        click.echo(
            request_timeline.format_failures(
                request_timeline.group_failures(lines)
            )
        )
    elif slow:
        click.echo(
            request_timeline.format_slow_requests(
                request_timeline.find_slow_requests(lines), most
            )
        )
    else:
        timeline = request_timeline.build_timeline(lines, request)
        if not timeline:
            raise errors.UnknownRequestError(
                f'no log line has the request id {request}'
            )
        click.echo(
            request_timeline.format_timeline(timeline, TIMELINE_COLUMNS)
        )


def read_logs(
    files: tuple[pathlib.Path, ...],
) -> tuple[list[request_timeline.LogLine], int]:
    """Returns the lines of all files and the number of unreadable lines."""
    if not files:
        return request_timeline.read_log('-', sys.stdin)
    lines = []
    unreadable = 0
    for file in files:
        with open(file, encoding='utf-8', errors='replace') as content:
            read_lines, skipped = request_timeline.read_log(file.stem, content)
        lines += read_lines
        unreadable += skipped
    return lines, unreadable
