"""Steps for the admin API."""

import functools

import anyio
import behave
import httpx

from features.steps.callers import bearer
from features.steps.callers import call
from features import world as worlds
from greengagegw import table as tables

HEAD = 'kind,name,weight,rate,burst,limit,home,bound,end\n'
TABLES = {
    'an unknown column': 'kind,name,colour\nservice,a,red\n',
    'a column twice': 'kind,name,name\nservice,a,b\n',
    'no name column': 'kind\nservice\n',
    'an unknown kind': HEAD + 'orchard,a,1,1,1,,,,\n',
    'a rate of text': HEAD + 'organisation,a,1,x,1,,,,\n',
    'a negative burst': HEAD + 'organisation,a,1,1,-1,,,,\n',
    'a rate of nan': HEAD + 'organisation,a,1,nan,1,,,,\n',
    'a weight of 0': HEAD + 'organisation,a,0,1,1,,,,\n',
    'a limit of 1.5': HEAD + 'organisation,a,1,1,1,1.5,,,\n',
    'an unknown home': HEAD + 'organisation,a,1,1,1,,atlantis,,\n',
    'bound without a home': HEAD + 'organisation,a,1,1,1,,,yes,\n',
    'bound as maybe': HEAD + 'organisation,a,1,1,1,,piedmont,maybe,\n',
    'an end without an offset': HEAD
    + 'service,a,1,,,,,,2027-01-01T00:00:00\n',
    'an end of text': HEAD + 'service,a,1,,,,,,soon\n',
    'a row twice': HEAD + 'service,a,1,,,,,,\nservice,a,2,,,,,,\n',
    'too few cells': HEAD + 'service,a\n',
    'three wrong cells': HEAD
    + 'organisation,a,1,x,1,,,,\norganisation,b,z,1,1,,/,,\n',
    'an open quote': HEAD + 'service,"a,1,,,,,,\n',
    'bytes that are not text': b'\xff\xfe\x00',
}


async def put_table(
    world, content, based_on=None, via=worlds.ENTRY_VM, **headers
):
    """Sends a table through a VM.

    :param based_on: value of If-Match. If None, the current revision is
        used; if empty, the header is left out.
    """
    url = world.deployment.operator_url(via) + '/admin/table'
    if based_on is None:
        based_on = (await world.operator.get(url)).headers['etag']
    if based_on:
        headers.setdefault('if-match', based_on)
    response = await world.operator.put(url, content=content, headers=headers)
    world.responses.append(response)
    return response


def save_table(context):
    view = context.world.deployment.vms['piedmont-1'].view
    context.world.notes['table'] = (
        view.configuration.table_revision,
        tables.format(view.configuration.table),
    )


@behave.when('an operator puts a table with {fault}')
def put_invalid_table(context, fault):
    save_table(context)
    call(context, put_table, context.world, TABLES[fault])


@behave.then('the edit is refused with {status:d} as {code}')
def check_refused(context, status, code):
    response = context.world.responses[-1]
    assert response.status_code == status, response.text
    assert response.json()['error']['code'] == code, response.text


@behave.then('the error names the cells {cells}')
def check_cells(context, cells):
    reported_cells = (
        context.world.responses[-1].json()['error'].get('cells', [])
    )
    reported = {f'{line}:{column}' for line, column, _, _ in reported_cells}
    expected = set() if cells == '-' else set(cells.split())
    assert expected <= reported, reported


@behave.then('the table is unchanged')
def check_unchanged(context):
    before = context.world.notes['table']
    save_table(context)
    assert before == context.world.notes['table']


@behave.when('an operator puts a valid table with {condition}')
def put_with_condition(context, condition):
    save_table(context)
    world = context.world
    revision = world.notes['table'][0]
    options = {
        'no If-Match': {'based_on': ''},
        'an If-Match that is bad': {'based_on': 'seven'},
        'an older revision': {'based_on': f'"{revision - 1}"'},
        'a future revision': {'based_on': f'"{revision + 1}"'},
        'a wrong token': {'authorization': 'Bearer no'},
        'no token': {'authorization': ''},
    }
    call(
        context,
        put_table,
        world,
        worlds.TABLE + 'region,x,1,,,,,,\n',
        **options[condition],
    )


@behave.when(
    '{count:d} operators put different tables based on the same revision'
)
def put_concurrently(context, count):
    world = context.world
    revision = world.deployment.vms[worlds.ENTRY_VM].view.configuration
    etag = f'"{revision.table_revision}"'
    vms = list(world.deployment.vms)

    async def put_all():
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(
                    functools.partial(
                        put_table,
                        world,
                        f'{worlds.TABLE}region,race{number},1,,,,,,\n',
                        etag,
                        vms[number % len(vms)],
                    )
                )

    call(context, put_all)


@behave.then('exactly one is accepted and the others get the current revision')
def check_one_accepted(context):
    responses = context.world.responses
    accepted = [one for one in responses if one.status_code == 200]
    rejected = [one for one in responses if one.status_code == 412]
    assert len(accepted) == 1 and len(rejected) == len(responses) - 1, (
        responses
    )
    current = accepted[0].json()['revision']
    assert {one.json()['error']['current'] for one in rejected} == {current}


@behave.when('an operator puts a table and retries it through another VM')
def put_and_retry(context):
    world = context.world
    view = world.deployment.vms['piedmont-1'].view

    async def put_both():
        # The view of a VM follows an accepted edit within seconds, and an
        # edit based on an older revision is rejected.
        await world.wait_for_revision(world.newest_revision())
        world.notes['before'] = view.configuration.table_revision
        etag = f'"{view.configuration.table_revision}"'
        text = f'{worlds.TABLE}region,again{view.revision},1,,,,,,\n'
        headers = {'x-edit-id': f'edit-{view.revision}'}
        first = await put_table(world, text, etag, 'piedmont-1', **headers)
        await put_table(world, text, etag, 'coastal-1', **headers)
        await world.wait_for_revision(first.json()['revision'])

    call(context, put_both)


@behave.then('both have the same outcome and the revision increased once')
def check_same_outcome(context):
    first, second = context.world.responses[-2:]
    assert first.status_code == 200, first.text
    assert first.json() == second.json(), second.text
    view = context.world.deployment.vms['piedmont-1'].view
    assert view.configuration.table_revision == first.json()['revision']
    assert first.json()['revision'] == context.world.notes['before'] + 1


@behave.when('an operator changes a rate')
def change_rate(context):
    world = context.world

    async def change():
        view = world.deployment.vms['piedmont-1'].view
        rate = 1000000 + view.revision
        text = worlds.TABLE.replace('press,1,1000000', f'press,1,{rate}')
        response = await put_table(world, text)
        await world.wait_for_revision(response.json()['revision'])
        world.notes['rate'] = rate

    call(context, change)


@behave.then('every VM has the new rate')
def check_rate(context):
    for vm in context.world.deployment.vms.values():
        row = vm.view.configuration.table.organisation('press')
        assert row.rate == context.world.notes['rate'], vm.settings.vm


@behave.when('an operator asks for a key with {fault}')
def request_invalid_key(context, fault):
    bodies = {
        'an unknown organisation': b'{"organisation":"none"}',
        'no organisation': b'{}',
        'an unknown field': b'{"organisation":"press","colour":"red"}',
        'a digest without an id': b'{"organisation":"press","digest":"00"}',
        'a digest of wrong form': b'{"organisation":"press","id":"0",'
        b'"digest":"00"}',
        'a body that is not JSON': b'{',
    }
    world = context.world

    async def ask():
        url = world.deployment.operator_url(worlds.ENTRY_VM) + '/admin/keys'
        response = await world.operator.post(url, content=bodies[fault])
        world.responses.append(response)

    call(context, ask)


@behave.when('an operator creates a key for press')
def create_key(context):
    context.world.notes['key'] = call(context, context.world.give_key, 'press')


@behave.then('the key is in no later answer and in no file')
def check_key_hidden(context):
    world = context.world
    key = world.notes['key']

    async def ask(path):
        url = world.deployment.operator_url(worlds.ENTRY_VM)
        return (await world.operator.get(url + path)).text

    for path in ('/admin/keys', '/admin/status', '/metrics', '/admin/table'):
        assert key not in call(context, ask, path), path
    files = [
        one for one in world.deployment.folder.rglob('*') if one.is_file()
    ]
    assert files
    secret = key.split('-')[2].encode()
    for file in files:
        assert secret not in file.read_bytes(), file


@behave.when('an operator issues, withdraws and again issues a key for press')
def issue_twice(context):
    world = context.world

    async def issue_both():
        first = await world.give_key('press')
        url = world.deployment.operator_url('coastal-1')
        await world.operator.delete(f'{url}/admin/keys/{first.split("-")[1]}')
        second = await world.give_key('press')
        for key in (first, second):
            await world.send(headers=bearer(key), json=worlds.chat_body())

    call(context, issue_both)


@behave.then(
    'a request with the first key is refused and one with the second is served'
)
def check_second_key(context):
    statuses = [one.status_code for one in context.world.responses]
    assert statuses == [401, 200], statuses


@behave.then('the metrics count it with bounded labels and without keys')
def check_metrics(context):
    world = context.world

    async def ask():
        url = world.deployment.operator_url(worlds.ENTRY_VM)
        async with httpx.AsyncClient(trust_env=False) as client:
            rejected = await client.get(url + '/metrics')
        return rejected, await world.operator.get(url + '/metrics')

    rejected, response = call(context, ask)
    assert rejected.status_code == 401
    for name in (
        'greengagegw_tokens_total{organisation="orchard"',
        'greengagegw_runner_seconds_total',
        'greengagegw_first_token_seconds_bucket',
        'greengagegw_requests_total{code="ok"',
        'greengagegw_revision',
    ):
        assert name in response.text, name
    for key in world.keys.values():
        assert key not in response.text
