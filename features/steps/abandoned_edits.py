"""Steps for edits that are read when their operator has gone."""

import hashlib
import types

import anyio
import behave
import orjson

from features.steps.fleet import in_fleet
from greengagegw.adapters import operator_http
from greengagegw.control import state
from greengagegw import timers as timer_service

TOKEN = 'token'
BODIES = {
    'PUT': b'kind,name,weight,rate,burst,limit,home,bound,end\n',
    'POST': orjson.dumps({'organisation': 'org'}),
    'DELETE': b'',
}


class RecordingOperations:
    """Records the edits that would be submitted, as also the guard does."""

    def __init__(self):
        self.edits = []

    async def put_table(self, *arguments):
        self.edits.append(arguments)
        return {'revision': 1}

    async def give_key(self, *arguments):
        self.edits.append(arguments)
        return {'id': 'x'}

    async def withdraw_key(self, key_id):
        self.edits.append(key_id)
        return {'id': key_id}

    def lift(self, hold_id):
        self.edits.append(hold_id)
        return True


@behave.when('an operator who {state} sends {method} {path}')
@in_fleet
async def when_sent(context, state, method, path):
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    context.recorded = recorded = RecordingOperations()
    application = operator_http.OperatorApplication(
        types.SimpleNamespace(
            operator_token_sha256=[digest],
            timeouts=types.SimpleNamespace(body_seconds=30.0),
        ),
        recorded,
        None,
        recorded,
        None,
        dict,
        lambda: None,
        timer_service.Timers(),
    )
    messages = [{'type': 'http.request', 'body': BODIES[method]}]
    context.responses = []

    async def receive():
        if messages:
            return messages.pop()
        if state == 'waits':
            await anyio.sleep_forever()
        return {'type': 'http.disconnect'}

    async def send(message):
        context.responses.append(message)

    scope = {
        'type': 'http',
        'method': method,
        'path': path,
        'query_string': b'',
        'headers': [
            (b'authorization', f'Bearer {TOKEN}'.encode()),
            (b'if-match', b'"0"'),
        ],
    }
    await application(scope, receive, send)


@behave.then('the application has {outcome} it')
def then_outcome(context, outcome):
    expected = 1 if outcome == 'carried out' else 0
    edits = context.recorded.edits
    assert len(edits) == expected, (edits, context.responses)


def make_state():
    return state.ControlState(('piedmont',), lambda event: None)


def submit(control, name, **arguments):
    return control.apply(state.encode_command(name, '', arguments))


def make_table(*names):
    rows = [f'organisation,{name},1,1,1,,,,' for name in names]
    head = 'kind,name,weight,rate,burst,limit,home,bound,end'
    return '\n'.join([head, *rows, ''])


@behave.then('a table that is based on an earlier one is rejected')
def then_table_rejected(context):
    context.control = control = make_state()
    late = {'text': make_table('old'), 'based_on': 0}
    new = {'text': make_table('org'), 'based_on': 0}
    assert 'value' in submit(control, 'put_table', **new)
    assert 'error' in submit(control, 'put_table', **late)
    assert control.configuration.table.organisation('old') is None


@behave.then('a withdrawn key stays withdrawn, whatever is repeated')
def then_key_withdrawn(context):
    control = context.control
    given = {
        'id': '0123456789ab',
        'digest': 'd',
        'organisation': 'org',
        'at': 1.0,
    }
    submit(control, 'give_key', **given)
    submit(control, 'withdraw_key', id=given['id'])
    assert 'error' in submit(control, 'give_key', **given)
    restored = make_state()
    restored.restore(control.save())
    submit(restored, 'withdraw_key', id=given['id'])
    assert restored.configuration.withdrawn == {given['id']}
