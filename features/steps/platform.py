"""Steps for the adapter to the platform."""

import math
import types

import behave
import orjson

from features import fleet_world
from greengagegw import errors
from greengagegw.platform import backend_client
from greengagegw.platform import client_application
from greengagegw.platform import documents
from greengagegw.platform import instance_list
from greengagegw.platform import settings
from greengagegw.serving import ports

SETTINGS = """nodeName=front-1
role=entry
ip=10.1.0.14
zone=a-1
region=a
zones.a-1=a
listen.front=10.1.0.14:8221
listen.ready=10.1.0.14:8224
internalPortRange=7600,7615
seeds=10.1.0.17:8229,10.2.0.6:8229
bootstrap=true
cloud.address=10.200.0.35:8225
bounds.revokeMs=5000
"""


def wrong_document(part, value):
    """Returns a JSON configuration with one wrong part."""
    document = fleet_world.document()
    route = document['routes'][0]
    if part == 'text':
        text = orjson.dumps(document)
        return text[:-9] if value == 'cut short' else b'[1]'
    if value == 'missing':
        del document[part]
    elif part == 'version':
        document['version'] = 'seven'
    elif part == 'service':
        route['service'] = 'nowhere'
    elif part == 'split':
        name = 'nowhere' if value == 'to unknown' else 'engine'
        weight = 1 if value == 'to unknown' else 0
        route['trafficSplit'] = [{'service': name, 'weight': weight}]
    elif part == 'timeout':
        route['timeoutMs'] = 0 if value == '0' else 'long'
    elif part == 'kind':
        route['kind'] = 'odd'
    elif part == 'prefix':
        route['pathPrefix'] = '/chat'
    elif part == 'route':
        document['routes'].append(fleet_world.route(name='r2'))
    elif part == 'key':
        document['tenants'].append(fleet_world.tenant(name='other'))
    elif part == 'tenant':
        document['tenants'].append(fleet_world.tenant(apiKeys=['key-2']))
    elif part == 'limits':
        document['limits'] = 'none'
    return orjson.dumps(document)


@behave.when('a configuration is decoded whose {part} is {value}')
def when_wrong_configuration(context, part, value):
    context.problems = ()
    try:
        documents.decode(wrong_document(part, value))
    except errors.ConfigurationError as error:
        context.problems = error.problems
        assert error.status == 400


@behave.then('it is rejected with {count:d} problems, one of them at "{path}"')
def then_rejected(context, count, path):
    assert len(context.problems) == count, context.problems
    assert any(one.startswith(path) for one in context.problems)


@behave.given('routes for /a/, /a/b/ and /c/d/ of host h.example')
def given_routes(context):
    routes = [
        fleet_world.route(name=one, pathPrefix=one)
        for one in ('/a/', '/a/b/', '/c/d/')
    ]
    document = orjson.dumps(fleet_world.document(routes=routes))
    context.configuration = documents.decode(document)


@behave.then('host {host} and path {path} select {route}')
def then_route_selected(context, host, path, route):
    found = context.configuration.find_route(host, path)
    assert (found.name if found else 'none') == route, found


@behave.when('an instance list with valid and invalid entries is decoded')
def when_instance_list(context):
    valid = {
        'id': 'i-1',
        'service': 'engine',
        'address': '10.0.0.1:80',
        'zone': 'a-1',
        'slots': 64,
        'state': 'ready',
        'coldLeftMs': 0,
    }
    listed = {}
    dropped = instance_list.decode_entries(
        [
            valid,
            valid | {'id': 'i-2', 'state': 'draining', 'version': 'v1.1'},
            valid | {'id': 'i-3', 'remainingMs': 900},
            valid | {'id': 'i-4', 'coldLeftMs': 2000},
            valid | {'id': 7},
            valid | {'state': 'odd'},
            valid | {'slots': 'many'},
            valid | {'slots': True},
            valid | {'address': 'nowhere'},
            valid | {'address': '10.0.0.1:x'},
            {'id': 'i-5'},
            'text',
            None,
        ],
        listed,
    )
    assert len(dropped) == 9, dropped
    context.instances = list(listed)


@behave.then(
    'it has the valid instances, with the right ones leaving and cold'
)
def then_valid_instances(context):
    found = {one.name: one for one in context.instances}
    assert sorted(found) == ['i-1', 'i-2', 'i-3', 'i-4'], found
    versions = [one.software_version for one in context.instances]
    assert versions == ['', 'v1.1', '', ''], versions
    leaving = [name for name, one in found.items() if one.is_leaving]
    assert leaving == ['i-2', 'i-3'], leaving
    assert [name for name, one in found.items() if one.is_cold] == ['i-4']


@behave.when("the platform's settings have 3 wrong values")
def when_wrong_settings(context):
    text = SETTINGS.replace('7600,7615', '7615').replace('true', 'yes')
    context.problems = ()
    try:
        settings.decode(text.replace('ip=10.1.0.14\n', ''))
    except errors.SettingsError as error:
        context.problems = error.problems


@behave.then('all 3 are reported with their names and valid values')
def then_reported(context):
    text = '\n'.join(context.problems)
    assert len(context.problems) == 3, text
    assert "'7615' is not two ports, the lower one first" in text
    assert "'yes' is not true or false" in text
    assert 'ip: missing' in text


@behave.when("the platform's settings have an unknown field")
def when_unknown_setting(context):
    context.settings = settings.decode(SETTINGS + 'new.field=1\n')


@behave.then('the other settings are read')
def then_settings_read(context):
    assert context.settings.seeds == ('10.1.0.17', '10.2.0.6')
    assert context.settings.is_first_start
    assert context.settings.bounds.revoke_seconds == 5.0


@behave.then('a {name} with run {run} is sent with status {status:d}')
def then_status(context, name, run, status):
    error = getattr(errors, name)('failed')
    assert error.run == run
    assert client_application.encode_status(error) == status


def make_scope(headers):
    return {
        'method': 'POST',
        'path': '/chat/x',
        'raw_path': b'/chat/x',
        'query_string': b'a=%2F',
        'headers': headers,
    }


@behave.when('a client sends headers of the gateway and hop-by-hop headers')
def when_client_headers(context):
    request = client_application.decode_request(
        make_scope(
            [
                (b'host', b'h.example'),
                (b'greengagegw-attempt-id', b'r-1'),
                (b'greengagegw-credential', b'key-1'),
                (b'greengagegw-tenant', b'forged'),
                (b'greengagegw-hold', b'h'),
                (b'greengagegw-pin-ms', b'4000'),
                (b'greengagegw-kv-backup', b'1.2.3.4:5'),
                (b'kv-from', b'1.2.3.4:5/h'),
                (b'greengagegw-expect-instance', b'i-9'),
                (b'greengagegw-deadline-ms', b'9000'),
                (b'greengagegw-length-hint', b'40'),
                (b'connection', b'close, x-hop'),
                (b'x-hop', b'1'),
                (b'transfer-encoding', b'chunked'),
            ]
        ),
        b'body',
    )
    backend_request = ports.BackendRequest(request, 'org', 3.0, 1, None, True)
    context.sent = backend_client.make_request(
        fleet_world.instance(), backend_request
    )


@behave.then("the backend server gets only the gateway's values of them")
def then_gateway_headers(context):
    headers = [(name.lower(), value) for name, value in context.sent.headers]
    assert sorted(headers) == [
        (b'content-length', b'4'),
        (b'greengagegw-attempt-id', b'r-1'),
        (b'greengagegw-deadline-ms', b'3000'),
        (b'greengagegw-expect-instance', b'i-1'),
        (b'greengagegw-length-hint', b'40'),
        (b'greengagegw-tenant', b'org'),
        (b'host', b'h.example'),
    ], headers
    assert context.sent.target == b'/chat/x?a=%2F'


@behave.when(
    'a backend server responds with status {status:d}, id {name} and {headers}'
)
def when_notice(context, status, name, headers):
    pairs = [tuple(one.split(': ')) for one in headers.split(', ')]
    if name != '-':
        pairs.append(('Greengagegw-Attempt-Id', name))
    request = client_application.decode_request(
        make_scope([(b'greengagegw-attempt-id', b'r-1')]), b''
    )
    context.notice = backend_client.decode_notice(
        ports.BackendRequest(request, None, 3.0, 1, None, True),
        types.SimpleNamespace(
            status=status,
            headers=[(one.encode(), two.encode()) for one, two in pairs],
            is_first=True,
        ),
    )


@behave.then('it is {state}, and wants no requests for {seconds:g} seconds')
def then_notice(context, state, seconds):
    notice = context.notice
    expected = (state == 'leaving', seconds)
    assert (notice.is_leaving, notice.pause_seconds) == expected, notice


@behave.then('its request limit is {limit}')
def then_limit(context, limit):
    expected = {'not known': None, 'none': math.inf}.get(limit)
    if limit not in ('not known', 'none'):
        expected = float(limit)
    assert context.notice.request_limit == expected, context.notice


@behave.when('a backend server responds with status {status:d} and {headers}')
def when_response(context, status, headers):
    response_headers = {
        'id and stamp': [
            (b'Greengagegw-Attempt-Id', b'r-1'),
            (b'Greengagegw-Server-Stamp', b's'),
        ],
        'another id': [
            (b'Greengagegw-Attempt-Id', b'r-2'),
            (b'Greengagegw-Server-Stamp', b's'),
        ],
        'no stamp': [(b'Greengagegw-Attempt-Id', b'r-1')],
        'a rejection of another id': [
            (b'Greengagegw-Attempt-Id', b'r-2'),
            (b'Greengagegw-Not-Executed', b'full'),
        ],
        'a not-executed header': [(b'Greengagegw-Not-Executed', b'full')],
    }[headers]
    request = client_application.decode_request(
        make_scope([(b'greengagegw-attempt-id', b'r-1')]), b''
    )
    backend_request = ports.BackendRequest(request, None, 3.0, 1, None, True)
    response = types.SimpleNamespace(
        status=status,
        headers=response_headers,
        is_first=True,
        drop_as_foreign=lambda: None,
    )
    context.result = 'passed on'
    try:
        backend_client.check_response(
            fleet_world.instance(), backend_request, response
        )
    except errors.BackendError as error:
        context.result = type(error).__name__


@behave.then('the result is {result}')
def then_result(context, result):
    assert context.result == result, context.result
