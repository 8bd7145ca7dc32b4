"""Steps for the command-line interface."""

import functools
import json
import pathlib

import behave
import click.testing

from features.steps.callers import bearer
from features.steps.callers import call
from features import world as worlds
from greengagegw.cli import main
from greengagegw.report import burn
from standins import deployment as deployments

ROOT = pathlib.Path(__file__).parent.parent.parent
METRICS = """# TYPE greengagegw_requests counter
greengagegw_requests_total{{organisation="a",service="s",code="ok",run="ran"}} {a}
greengagegw_requests_total{{organisation="a",service="s",code="overloaded",run="not_run"}} {bad}
greengagegw_requests_total{{organisation="a",service="s",code="bad_request",run="not_run"}} 500
greengagegw_requests_total{{organisation="b",service="s",code="ok",run="ran"}} {b}
# TYPE greengagegw_slow counter
greengagegw_slow_total{{organisation="b",service="s",objective="first_token"}} {slow}
# TYPE greengagegw_first_token_seconds histogram
greengagegw_first_token_seconds_count{{organisation="b",service="s"}} {b}
"""  # noqa: E501


def invoke(*arguments):
    """Runs the command in this process and returns its result."""
    runner = click.testing.CliRunner()
    return runner.invoke(main.main, arguments, catch_exceptions=False)


def invoke_on_vm(context, *arguments):
    """Runs the command with the URL and the token of an operator interface."""
    url = context.world.deployment.operator_url('coastal-1')
    named = ('--url', url, '--token', deployments.OPERATOR_TOKEN)
    return invoke(*arguments, *named)


@behave.when('greengagegw is called with {arguments}')
def call_command(context, arguments):
    arguments = arguments.replace('examples/', f'{ROOT}/examples/')
    context.result = invoke(*arguments.split())


@behave.then('it exits with {code:d} and prints {text}')
def check_result(context, code, text):
    assert context.result.exit_code == code, context.result.output
    assert text in context.result.output, context.result.output


@behave.then(
    'table get, diff and put work, and put rejects an invalid file with 3'
)
def check_table_commands(context):
    folder = context.world.deployment.folder
    file = folder / 'table.csv'
    assert (
        invoke_on_vm(context, 'table', 'get', '--file', str(file)).exit_code
        == 0
    )
    text = file.read_text()
    file.write_text(text + 'region,salalah,3,,,,,,\n')
    difference = invoke_on_vm(context, 'table', 'diff', str(file))
    assert '+region,salalah,3' in difference.output, difference.output
    done = invoke_on_vm(context, 'table', 'put', str(file), '--output', 'json')
    assert json.loads(done.stdout)['rows_set'] == 1, done.output
    again = invoke_on_vm(context, 'table', 'diff', str(file))
    file.write_text(text.replace('1000000', 'many'))
    wrong = invoke_on_vm(context, 'table', 'put', str(file))
    assert wrong.exit_code == 3 and 'rate' in wrong.output, wrong.output
    assert again.exit_code == 0
    file.write_text(text)


@behave.then('put with an old revision exits with {code:d}')
def check_conflict(context, code):
    file = context.world.deployment.folder / 'table.csv'
    result = invoke_on_vm(
        context, 'table', 'put', str(file), '--revision', '1'
    )
    assert result.exit_code == code, result.output


@behave.then(
    'an issued key is accepted and listed, and rejected once withdrawn'
)
def check_key_commands(context):
    world = context.world
    key = invoke_on_vm(context, 'keys', 'give', 'press').stdout.strip()
    assert key.startswith('gg-'), key
    ask = functools.partial(
        world.send, headers=bearer(key), json=worlds.chat_body()
    )
    vm = world.deployment.vms[worlds.ENTRY_VM]
    key_id = key.split('-')[1]
    call(
        context,
        world.wait_until,
        lambda: key_id in vm.view.configuration.keys,
    )
    assert call(context, ask).status_code == 200
    assert key_id in invoke_on_vm(context, 'keys', 'list').output
    done = invoke_on_vm(context, 'keys', 'withdraw', key)
    assert done.exit_code == 0, done.output
    call(
        context,
        world.wait_until,
        lambda: key_id in vm.view.configuration.withdrawn,
    )
    assert call(context, ask).status_code == 401
    listed = json.loads(
        invoke_on_vm(context, 'keys', 'list', '--output', 'json').stdout
    )
    found = [one for one in listed if one['id'] == key_id]
    assert found[0]['withdrawn'] and key not in str(listed)


@behave.then('status lists every VM')
def check_status(context):
    result = invoke_on_vm(context, 'status')
    for vm in context.world.deployment.vm_names():
        assert vm in result.output, result.output


@behave.then('report burn prints text and JSON, and writes samples and a page')
def check_burn(context):
    page = context.world.deployment.folder / 'burn.html'
    samples = context.world.deployment.folder / 'burn.jsonl'
    call(context, context.world.send, via='coastal-1', json=worlds.chat_body())
    for _ in range(2):
        result = invoke_on_vm(
            context,
            'report',
            'burn',
            '--html',
            str(page),
            '--samples',
            str(samples),
        )
        assert result.exit_code == 0, result.output
    assert '<svg' in page.read_text()
    assert len(samples.read_text().splitlines()) == 2
    as_json = invoke(
        'report', 'burn', '--samples', str(samples), '--output', 'json'
    )
    assert isinstance(json.loads(as_json.stdout), list)


@behave.given('samples of two VMs over two hours, one of which was restarted')
def make_samples(context):
    def sample(source, at, **values):
        text = METRICS.format(**values)
        return burn.read_metrics(source, text, at)

    context.history = [
        sample('one', 0, a=1000, bad=0, b=1000, slow=0),
        sample('one', 3600, a=2000, bad=0, b=2000, slow=0),
        sample('one', 7200, a=2990, bad=10, b=3000, slow=100),
        # This VM was restarted before its second sample.
        sample('two', 3600, a=5000, bad=0, b=5000, slow=0),
        sample('two', 7200, a=1000, bad=0, b=1000, slow=0),
    ]


@behave.then(
    'the highest burn rate comes first, with its values in both windows'
)
def check_rows(context):
    rows = burn.compute_rows(
        context.history, burn.Objectives(0.999, 0.95), (3600.0, 7200.0)
    )
    assert [row.organisation for row in rows] == ['a', 'b']
    short, long = rows[0].windows
    # 1 of 1000 requests may fail; 10 of 2000 failed in the short window and
    # 10 of 8000 in the long one.
    assert abs(short.success_burn - 5.0) < 1e-9, short
    assert short.counts.requests == 2000, short
    assert abs(long.success_burn - 10 / 8000 / 0.001) < 1e-9, long
    # 1 of 20 responses may be slow; 100 of 2000 were.
    assert abs(rows[1].windows[0].latency_burn - 1.0) < 1e-9, rows[1]
