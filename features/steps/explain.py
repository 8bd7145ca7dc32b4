"""Steps for the explain command."""

import pathlib

import behave
import click.testing

from features.steps.program import invoke
from greengagegw.cli import main

LOGS = pathlib.Path(__file__).parent.parent / 'program' / 'logs'
REQUEST_ID = '23e231effd384193'


@behave.when('the recorded logs are explained with {options}')
def when_explained(context, options):
    files = [str(one) for one in sorted(LOGS.glob('*.log'))]
    context.result = invoke('explain', *options.split(), *files)


@behave.when('the recorded logs are piped in with names of VMs as prefixes')
def when_piped(context):
    content = ''.join(
        f'  12.3456 {file.stem} {line}\n'
        for file in LOGS.glob('*.log')
        for line in file.read_text().splitlines()
    )
    context.result = click.testing.CliRunner().invoke(
        main.main,
        ('explain', '--request', REQUEST_ID),
        input=content,
        catch_exceptions=False,
    )


def parse_rows(context):
    """Returns the rows of a timeline as seconds, VM and event."""
    parsed_rows = []
    for row in context.result.stdout.splitlines():
        seconds, _, rest = row.split('|', 2)
        source, event = rest.split()[:2]
        parsed_rows.append((float(seconds), source, event))
    return parsed_rows


@behave.then('its rows are in this order')
def then_rows(context):
    expected = [(one['source'], one['event']) for one in context.table]
    found = [
        (source, event)
        for _, source, event in parse_rows(context)
        if event.startswith('request:')
    ]
    assert found == expected, found


@behave.then('no row is more than {seconds:g} seconds before the request')
def then_recent(context, seconds):
    assert min(at for at, _, _ in parse_rows(context)) >= -seconds
