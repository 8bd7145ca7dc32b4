"""Steps on the program as separate processes."""

import signal
import subprocess

import anyio
import behave

from features import processes
from features.steps.callers import call
from features.steps.callers import CHAT_PATH
from features.steps.callers import PLAIN_SERVICE_PATH


@behave.then("no VM's process has a child")
def check_children(context):
    for name in context.processes.running:
        assert context.processes.children(name) == []


@behave.when('a caller sends a chat request to each process')
def send_each(context):
    context.answers = [
        call(context, context.processes.send, vm, CHAT_PATH, processes.chat())
        for vm in context.processes.running
    ]


@behave.then('every process answers {status:d}')
def check_each(context, status):
    found = [one.status_code for one in context.answers]
    assert set(found) == {status}, [one.text for one in context.answers]


@behave.given('an edit was accepted')
def accept_edit(context):
    context.edits = [call(context, context.processes.edit)]


@behave.when('the leader of the control group is killed')
def kill_leader(context):
    context.killed = call(context, context.processes.leader)
    context.processes.kill(context.killed)


@behave.then('another edit is accepted through the others')
def accept_other(context):
    context.edits.append(call(context, context.processes.edit))


@behave.when('the killed process is started again')
def start_again(context):
    context.processes.start(context.killed)
    call(context, context.processes.wait_ready)


@behave.then('it has both edits')
@behave.then('it has the edit')
def check_edits(context):
    for edit in context.edits:
        has = call(context, context.processes.has_edit, context.killed, edit)
        assert has, edit


@behave.given('an edit was accepted and a registration was run')
def edit_and_register(context):
    accept_edit(context)
    context.answers = [register(context, 'piedmont-1')]
    assert context.answers[0].status_code == 201


def register(context, vm):
    send = context.processes.send
    headers = {'idempotency-key': 'once-for-all'}

    async def ask():
        return await send(vm, PLAIN_SERVICE_PATH, {'cider': 'x'}, **headers)

    return call(context, ask)


@behave.when('all processes are killed and started again')
def kill_all(context):
    names = list(context.processes.running)
    for name in names:
        context.processes.kill(name)
    for name in names:
        context.processes.start(name)
    call(context, context.processes.wait_ready)


@behave.then('every process has the edit')
def check_everywhere(context):
    for name in context.processes.running:
        context.killed = name
        check_edits(context)


@behave.then('the registration gets its stored answer and is not run again')
def check_registration(context):
    plain = context.processes.deployment.plain_services.values()
    runs = sum(len(one.executed_bodies) for one in plain)
    for vm in context.processes.running:
        answer = register(context, vm)
        assert answer.content == context.answers[0].content, answer.text
    assert sum(len(one.executed_bodies) for one in plain) == runs


@behave.when(
    "the process of the region's only disk is killed and its disk lost"
)
def lose_only_disk(context):
    lose_disk(context, 'piedmont-1')


@behave.when('a process is killed and its disk is lost')
def lose_disk(context, vm='coastal-1'):
    context.killed = vm
    context.processes.kill(context.killed)
    context.processes.lose_disk(context.killed)


@behave.then('it has the edit and becomes a voter again')
def check_voter(context):
    async def is_voter():
        return await context.processes.is_voter(context.killed)

    call(context, context.processes.wait_until, is_voter)
    check_edits(context)


@behave.when('a process is stopped, an edit accepted, and the process started')
def stop_edit_start(context):
    context.killed = 'blue-ridge-1'
    context.processes.kill(context.killed)
    context.processes.save_disk(context.killed)
    context.processes.start(context.killed)
    call(context, context.processes.wait_ready)
    context.edits = [call(context, context.processes.edit)]


@behave.when('a process comes back with its disk from before that edit')
def old_disk(context):
    context.processes.kill(context.killed)
    context.processes.restore_disk(context.killed)
    context.processes.start(context.killed)
    call(context, context.processes.wait_ready)


@behave.when('the leader of the control group is frozen')
def freeze(context):
    context.killed = call(context, context.processes.leader)
    context.frozen = context.processes.running.pop(context.killed)
    context.frozen.send_signal(signal.SIGSTOP)


@behave.when('the frozen process goes on')
def thaw(context):
    context.processes.running[context.killed] = context.frozen
    context.frozen.send_signal(signal.SIGCONT)

    async def has_edits():
        found = [
            await context.processes.has_edit(context.killed, edit)
            for edit in context.edits
        ]
        return all(found)

    call(context, context.processes.wait_until, has_edits)
    call(context, context.processes.wait_ready)


@behave.then('there is one leader')
def check_one_leader(context):
    roles = []
    for name in context.processes.running:
        status = call(context, context.processes.status, name)
        control = status['replicas'].get('control')
        if control is not None:
            roles.append(control['role'])
    assert roles.count('leader') == 1, roles


@behave.when('a process is sent SIGTERM in the middle of {count:d} streams')
def terminate(context, count):
    name = 'piedmont-1'
    process = context.processes.running[name]
    content = processes.chat(stream=True, max_tokens=150, stop_at=150)
    context.answers = []

    async def ask():
        answer = await context.processes.send(name, CHAT_PATH, content)
        context.answers.append(answer)

    async def run():
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(ask)
            await anyio.sleep(0.1)
            process.send_signal(signal.SIGTERM)

    call(context, run)
    try:
        context.exit_code = process.wait(timeout=30)
    except subprocess.TimeoutExpired:
        context.exit_code = None
    del context.processes.running[name]


@behave.then('every stream is whole and the process exits with {code:d}')
def check_streams(context, code):
    assert len(context.answers) == 6
    for answer in context.answers:
        assert answer.text.endswith('data: [DONE]\n\n'), answer.text[-200:]
    assert context.exit_code == code, context.exit_code
