"""Commands on the table."""

import difflib
import uuid

import click

from .. import errors
from .. import table as tables
from . import remote as remotes


@click.group()
def table() -> None:
    """Reads and edits the table."""


@table.command()
@remotes.with_remote
@click.option('--file', type=click.Path(dir_okay=False), help='Write here.')
def get(remote: remotes.Remote, file: str | None) -> None:
    """Prints the table as CSV; its revision goes to standard error."""
    response = remote.ask('GET', '/admin/table')
    click.echo(f'revision {read_revision(response)}', err=True)
    if file is None:
        click.echo(response.text, nl=False)
    else:
        with open(file, 'w', encoding='utf-8') as out:
            out.write(response.text)


@table.command()
@remotes.with_remote
@remotes.output_option
@click.argument('file', type=click.Path(exists=True, dir_okay=False))
@click.option('--revision', type=int, help='Revision that was edited.')
@click.option(
    '--edit-id', default='', help='Names the edit, to repeat it safely.'
)
def put(
    remote: remotes.Remote,
    output: str,
    file: str,
    revision: int | None,
    edit_id: str,
) -> None:
    """Replaces the table by a CSV file.

    Without --revision the table is replaced whatever it is now.
    """
    text = read_table(file)
    tables.parse(text)
    if revision is None:
        revision = read_revision(remote.ask('GET', '/admin/table'))
    edit_id = edit_id or uuid.uuid4().hex
    headers = {'if-match': f'"{revision}"', 'x-edit-id': edit_id}
    try:
        response = remote.ask('PUT', '/admin/table', text.encode(), headers)
    except errors.PeerError:
        click.echo(f'repeat with --edit-id {edit_id}', err=True)
        raise
    outcome = response.json()
    remotes.show(
        outcome,
        output,
        f'revision {outcome["revision"]}: {outcome["rows_set"]} rows set,'
        f' {outcome["rows_removed"]} removed',
    )


@table.command()
@remotes.with_remote
@click.argument('file', type=click.Path(exists=True, dir_okay=False))
def diff(remote: remotes.Remote, file: str) -> None:
    """Shows how a CSV file differs from the table in force."""
    response = remote.ask('GET', '/admin/table')
    new = tables.parse(read_table(file))
    lines = difflib.unified_diff(
        sorted(response.text.splitlines()),
        sorted(tables.format(new).splitlines()),
        f'revision {read_revision(response)}',
        file,
        lineterm='',
    )
    for line in lines:
        click.echo(line)


def read_table(file: str) -> str:
    """Returns the text of a table file."""
    try:
        with open(file, encoding='utf-8-sig', newline='') as content:
            return content.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UsageError(f'{file}: {error}') from error


def read_revision(response: object) -> int:
    """Returns the revision that an answer's ETag names."""
    return int(response.headers['etag'].strip('"'))
