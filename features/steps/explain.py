"""Steps on what logs tell of a request."""

import pathlib

import behave
import click.testing

from features.steps.program import invoke
from greengagegw.cli import main

LOGS = pathlib.Path(__file__).parent.parent / 'program' / 'logs'
REQUEST = '23e231effd384193'


@behave.when('the recorded logs are explained with {options}')
def when_explained(context, options):
    files = [str(one) for one in sorted(LOGS.glob('*.log'))]
    context.result = invoke('explain', *options.split(), *files)


@behave.when(
    "the recorded logs come on standard input behind their VMs' names"
)
def when_piped(context):
    content = ''.join(
        f'  12.3456 {file.stem} {line}\n'
        for file in LOGS.glob('*.log')
        for line in file.read_text().splitlines()
    )
    context.result = click.testing.CliRunner().invoke(
        main.main,
        ('explain', '--request', REQUEST),
        input=content,
        catch_exceptions=False,
    )


def rows(context):
    """Returns the story's rows as seconds, VM and line."""
    found = []
    for row in context.result.stdout.splitlines():
        seconds, _, rest = row.split('|', 2)
        source, kind = rest.split()[:2]
        found.append((float(seconds), source, kind))
    return found


@behave.then('its rows are in this order')
def then_rows(context):
    expected = [(one['source'], one['line']) for one in context.table]
    found = [
        (source, kind)
        for _, source, kind in rows(context)
        if kind.startswith('request:')
    ]
    assert found == expected, found


@behave.then('no row is more than {seconds:g} seconds before the request')
def then_recent(context, seconds):
    assert min(at for at, _, _ in rows(context)) >= -seconds
