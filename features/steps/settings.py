"""Steps on settings files."""

import copy
import pathlib

import behave
import yaml

from greengagegw import errors
from greengagegw import settings
from greengagegw import table

ROOT = pathlib.Path(__file__).parent.parent.parent
SECRET = 'short'  # noqa: S105


def valid_settings():
    return {
        'deployment': 'guild',
        'vm': 'piedmont-1',
        'callers': {'host': '10.0.0.1', 'port': 8080},
        'operators': {'host': '10.0.0.1', 'port': 8081},
        'peers': [
            {
                'vm': 'piedmont-1',
                'region': 'piedmont',
                'failure_domain': 'a',
                'host': '10.0.0.1',
                'port': 8082,
                'callers_url': 'http://10.0.0.1:8080',
                'disk': True,
            }
        ],
        'peer_secret': 'sixteen-characters-or-more',
        'data_folder': '/var/lib/greengagegw',
        'backend_servers': [
            {
                'name': 'judge',
                'service': 'judge-assist',
                'region': 'piedmont',
                'url': 'http://10.0.1.1',
            }
        ],
    }


def change(path, value):
    """Returns a function that sets the value at a path, or deletes it."""

    def apply(content):
        container = content
        for key in path[:-1]:
            container = (
                container.setdefault(key, {})
                if isinstance(key, str)
                else container[key]
            )
        if value is None:
            del container[path[-1]]
        else:
            container[path[-1]] = value

    return apply


def duplicate_first(name):
    def apply(content):
        content[name].append(copy.deepcopy(content[name][0]))

    return apply


def make_four_problems(content):
    for apply_change in (
        change(('colour',), 'red'),
        change(('callers', 'port'), -1),
        change(('vm',), '?'),
        change(('peer_secret',), SECRET),
    ):
        apply_change(content)


CHANGES = {
    'an unknown key': change(('colour',), 'red'),
    'an unknown key in a section': change(('limits', 'colour'), 'red'),
    'no deployment': change(('deployment',), None),
    'no peers': change(('peers',), []),
    'a port of 70000': change(('callers', 'port'), 70000),
    'a host name for an address': change(('callers', 'host'), 'localhost'),
    'a VM that is not a peer': change(('vm',), 'piedmont-9'),
    'two peers with the same name': duplicate_first('peers'),
    'a disk without a data folder': change(('data_folder',), None),
    'a data folder without a disk': change(('peers', 0, 'disk'), False),
    'no disk at all': change(('peers', 0, 'disk'), False),
    'a server in an unknown region': change(
        ('backend_servers', 0, 'region'), 'atlantis'
    ),
    'two servers with the same name': duplicate_first('backend_servers'),
    'a URL without a scheme': change(('backend_servers', 0, 'url'), 'judge'),
    'a timeout of -1': change(('timeouts', 'body_seconds'), -1),
    'a timeout of text': change(('timeouts', 'body_seconds'), 'soon'),
    'a short secret': change(('peer_secret',), SECRET),
    'a token in place of its digest': change(
        ('operator_token_sha256',), ['token']
    ),
    'four problems': make_four_problems,
}
TEXTS = {
    'text that is not YAML': 'a: [1',
    'a list in place of a mapping': '- a',
    'nothing in it': '',
}


@behave.when('the settings file {file} is loaded')
def load_file(context, file):
    context.error = None
    try:
        context.settings = settings.load(ROOT / file)
    except errors.SettingsError as error:
        context.error = error


@behave.then('it has {vms:d} VMs and {backends:d} backend servers')
def check_sizes(context, vms, backends):
    assert context.error is None, context.error
    assert len(context.settings.peers) == vms
    assert len(context.settings.backend_servers) == backends


@behave.then("the table {file} is valid for the Guild's regions")
def check_table(context, file):
    regions = ('piedmont', 'blue-ridge', 'coastal')
    parsed = table.parse((ROOT / file).read_text(), regions)
    assert len(parsed.rows_of_kind('organisation')) == 5
    assert table.parse(table.format(parsed), regions).by_key == parsed.by_key


@behave.when('a settings file has {fault}')
def parse_invalid_settings(context, fault):
    text = TEXTS.get(fault)
    if text is None:
        content = valid_settings()
        CHANGES[fault](content)
        text = yaml.safe_dump(content)
    else:
        settings.parse(yaml.safe_dump(valid_settings()))
    context.error = None
    try:
        settings.parse(text, 'vm.yaml')
    except errors.SettingsError as error:
        context.error = error


@behave.then('it is rejected with an error that contains {expected}')
def check_error(context, expected):
    assert context.error is not None, 'the file was accepted'
    message = str(context.error)
    if expected.startswith(('is not', 'must be')):
        assert expected in message, message
        return
    for text in expected.split():
        assert text in message, message


@behave.then('the error does not contain the secret')
def check_secret(context):
    assert f"'{SECRET}'" not in str(context.error), str(context.error)
