"""Steps for the validation of a configuration."""

import json
import pathlib
import tempfile

import behave

from features import fleet_world
from features.steps import program


def make_document(part='', change=None):
    """Returns a document without findings, with one part changed."""
    changes = {
        one: change if part == one else {}
        for one in ('route', 'service', 'organisation')
    }
    routes = [
        fleet_world.route(homeRegions=['a', 'b'], **changes['route']),
        fleet_world.route(
            name='desk', pathPrefix='/desk/', service='desk', maxAttempts=1
        ),
    ]
    document = fleet_world.document(
        routes=routes,
        tenants=[fleet_world.tenant(**changes['organisation'])],
    )
    document['services'][0] |= changes['service']
    return document


def write(context, name, text):
    if 'folder' not in context:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = pathlib.Path(folder.name)
    file = context.folder / name
    file.write_text(text)
    return str(file)


@behave.given('a configuration of the platform')
def given_sound(context):
    context.file = write(context, 'new.json', json.dumps(make_document()))


@behave.given('a configuration of the platform whose {part} is {value}')
def given_changed(context, part, value):
    if part == 'file':
        context.file = write(context, 'new.json', '{"version": 1')
        if value == 'missing':
            context.file += '.missing'
        return
    document = make_document(part, json.loads(value))
    context.file = write(context, 'new.json', json.dumps(document))


@behave.given('another one in force, with other keys, routes and timeouts')
def given_in_force(context):
    document = make_document('organisation', {'apiKeys': ['key-1', 'key-2']})
    document['version'] = 2
    document['routes'][0]['timeoutMs'] = 7000
    document['routes'].append(
        fleet_world.route(name='old', pathPrefix='/old/')
    )
    del document['routes'][1]
    context.in_force = write(context, 'old.json', json.dumps(document))


@behave.when('it is checked')
def when_checked(context):
    context.result = program.invoke('check-configuration', context.file)


@behave.when('it is checked against that one')
def when_compared(context):
    context.result = program.invoke(
        'check-configuration', context.file, '--in-force', context.in_force
    )


@behave.then('nothing is printed, with exit code 0')
def then_nothing(context):
    assert context.result.exit_code == 0, context.result.output
    assert not context.result.output, context.result.output


@behave.then('each difference is printed, but no key')
def then_differences(context):
    lines = context.result.output.splitlines()
    for expected in (
        '+ route h.example/desk/',
        '- route h.example/old/',
        '~ route h.example/chat/: timeout 7.0 -> ',
        '~ organisation org: keys 0 added, 1 removed',
    ):
        assert any(one.startswith(expected) for one in lines), lines
    assert 'key-' not in context.result.output, lines
