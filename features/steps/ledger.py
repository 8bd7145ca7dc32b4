"""Steps for the ledger."""

import behave

from greengagegw.ledger import claims

KEEP_SECONDS = 1000.0
RUN_SECONDS = 60.0
MAX_CLAIMS = 3
CALL = {
    'organisation': 'o',
    'key': 'k',
    'digest': 'd',
    'request_id': 'first',
    'vm': 'a',
    'session': 's1',
    'seconds': RUN_SECONDS,
}
OWN = {'organisation': 'o', 'key': 'k', 'request_id': 'first'}
ANSWER = [201, [['content-type', 'application/json']], b'{}']


def apply(context, name, **arguments):
    content = claims.encode_command(name, context.now, arguments)
    return context.ledger.apply(content)


def claim(context, **changes):
    return apply(context, 'claim', **{**CALL, **changes})


HISTORIES = {
    'the call is running': [],
    'the call is running and its VM restarted': [
        ('abandon', {'vm': 'a', 'session': 's2'})
    ],
    'the call is done': [('finish', {**OWN, 'answer': ANSWER})],
    'the call is done and its VM restarted': [
        ('finish', {**OWN, 'answer': ANSWER}),
        ('abandon', {'vm': 'a', 'session': 's2'}),
    ],
    'the call failed, unknown': [('finish', {**OWN, 'answer': None})],
    'the call was not run': [('release', OWN)],
    'the call is done and then released': [
        ('finish', {**OWN, 'answer': ANSWER}),
        ('release', OWN),
    ],
    'the call was released by another request': [
        ('release', {**OWN, 'request_id': 'other'})
    ],
}


@behave.given('a ledger in which {history}')
def make_ledger(context, history):
    context.ledger = claims.LedgerState(KEEP_SECONDS, MAX_CLAIMS)
    context.now = 5000.0
    if history == 'the ledger is full':
        for number in range(MAX_CLAIMS):
            claim(context, key=f'other {number}', request_id=f'{number}')
    if history not in HISTORIES:
        return
    assert claim(context)['value'] == {'is_new': True}
    for name, arguments in HISTORIES[history]:
        assert 'value' in apply(context, name, **arguments)


@behave.when('the call is claimed again {how}')
def claim_again(context, how):
    changes = {'request_id': 'second', 'vm': 'b', 'session': 's9'}
    if how == 'by the same request':
        changes = {}
    elif how == 'with another body':
        changes['digest'] = 'other'
    elif how == 'by another organisation':
        changes['organisation'] = 'p'
    elif how == 'after its time to run':
        context.now += RUN_SECONDS + 1
    elif how == 'after its time to be kept':
        context.now += KEEP_SECONDS + 1
    elif how == 'by a leader whose clock is behind':
        context.now -= KEEP_SECONDS * 2
    context.outcome = claim(context, **changes)


@behave.when('it is saved and restored')
def restore(context):
    content = context.ledger.save()
    context.ledger = claims.LedgerState(KEEP_SECONDS, MAX_CLAIMS)
    context.ledger.restore(content)
    assert context.ledger.save() == content


@behave.then('the claim is {expected}')
def check_claim(context, expected):
    outcome = context.outcome
    if 'error' in outcome:
        assert outcome['error']['code'] == expected, outcome
        return
    value = outcome['value']
    found = 'new' if value['is_new'] else value['state']
    assert found == expected, value
    if found == 'done':
        status, headers, body = value['answer']
        assert [status, body] == [ANSWER[0], ANSWER[2]], value
