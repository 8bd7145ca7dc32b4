"""The table commands, which read and edit the configuration table."""

import difflib
import uuid

import click

from .. import errors
from .. import table as tables
from . import operator_client


@click.group()
def table() -> None:
    """Reads and edits the configuration table."""


@table.command()
@operator_client.with_client
@click.option(
    '--file',
    type=click.Path(dir_okay=False),
    help='Write the table to this file.',
)
def get(client: operator_client.OperatorClient, file: str | None) -> None:
    """Prints the table as CSV, and its revision to standard error."""
    response = client.request('GET', '/admin/table')
    click.echo(f'revision {read_revision(response)}', err=True)
    if file is None:
        click.echo(response.text, nl=False)
    else:
        with open(file, 'w', encoding='utf-8') as out:
            out.write(response.text)


@table.command()
@operator_client.with_client
@operator_client.output_option
@click.argument('file', type=click.Path(exists=True, dir_okay=False))
@click.option(
    '--revision', type=int, help='Revision that the edit is based on.'
)
@click.option(
    '--edit-id',
    default='',
    help='Idempotency key of the edit; makes a repetition safe.',
)
def put(
    client: operator_client.OperatorClient,
    output: str,
    file: str,
    revision: int | None,
    edit_id: str,
) -> None:
    """Replaces the table with the contents of a CSV file.

    Without --revision it replaces the table, whatever its revision is now.
    """
    text = read_table(file)
    tables.parse(text)
    if revision is None:
        revision = read_revision(client.request('GET', '/admin/table'))
    edit_id = edit_id or uuid.uuid4().hex
    headers = {'if-match': f'"{revision}"', 'x-edit-id': edit_id}
    try:
        response = client.request(
            'PUT', '/admin/table', text.encode(), headers
        )
    except errors.PeerError:
        click.echo(f'to retry safely, add --edit-id {edit_id}', err=True)
        raise
    outcome = response.json()
    operator_client.print_result(
        outcome,
        output,
        f'revision {outcome["revision"]}: {outcome["rows_set"]} rows set,'
        f' {outcome["rows_removed"]} removed',
    )


@table.command()
@operator_client.with_client
@click.argument('file', type=click.Path(exists=True, dir_okay=False))
def diff(client: operator_client.OperatorClient, file: str) -> None:
    """Shows the differences between a CSV file and the current table."""
    response = client.request('GET', '/admin/table')
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
    """Returns the text of a table file.

    :raises UsageError: if the file cannot be read or is not UTF-8.
    """
    try:
        with open(file, encoding='utf-8-sig', newline='') as content:
            return content.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UsageError(f'{file}: {error}') from error


def read_revision(response: object) -> int:
    """Returns the revision from the ETag of a response."""
    return int(response.headers['etag'].strip('"'))
