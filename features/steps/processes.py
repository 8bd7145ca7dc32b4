"""Steps for VMs that run as separate processes."""

import signal
import subprocess

import anyio
import behave

from features import processes
from features.steps.callers import call
from features.steps.callers import CHAT_PATH
from features.steps.callers import PLAIN_SERVICE_PATH


@behave.then('no VM has a child process')
def check_children(context):
    for name in context.processes.running:
        assert context.processes.child_pids(name) == []


@behave.when('a client sends a chat request to each process')
def send_each(context):
    context.responses = [
        call(
            context,
            context.processes.send,
            vm,
            CHAT_PATH,
            processes.chat_body(),
        )
        for vm in context.processes.running
    ]


@behave.then('every process responds with {status:d}')
def check_each(context, status):
    statuses = [one.status_code for one in context.responses]
    assert set(statuses) == {status}, [one.text for one in context.responses]


@behave.given('an edit was accepted')
def accept_edit(context):
    context.edits = [call(context, context.processes.edit)]


@behave.when('the leader of the control group is killed')
def kill_leader(context):
    context.affected_vm = call(context, context.processes.find_leader)
    context.processes.kill(context.affected_vm)


@behave.then('another edit is accepted by the other processes')
def accept_other(context):
    context.edits.append(call(context, context.processes.edit))


@behave.when('the killed process is restarted')
def start_again(context):
    context.processes.start(context.affected_vm)
    call(context, context.processes.wait_ready)


@behave.then('it has both edits')
@behave.then('it has the edit')
def check_edits(context):
    for edit in context.edits:
        has = call(
            context, context.processes.has_edit, context.affected_vm, edit
        )
        assert has, edit


@behave.given('an edit was accepted and a registration request was run')
def edit_and_register(context):
    accept_edit(context)
    context.responses = [register(context, 'piedmont-1')]
    assert context.responses[0].status_code == 201


def register(context, vm):
    send = context.processes.send
    headers = {'idempotency-key': 'once-for-all'}

    async def send_request():
        return await send(vm, PLAIN_SERVICE_PATH, {'cider': 'x'}, **headers)

    return call(context, send_request)


@behave.when('all processes are killed and restarted')
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
        context.affected_vm = name
        check_edits(context)


@behave.then(
    'the repeated registration gets the stored response and is not run'
)
def check_registration(context):
    servers = context.processes.deployment.plain_services.values()
    runs = sum(len(one.executed_bodies) for one in servers)
    for vm in context.processes.running:
        response = register(context, vm)
        assert response.content == context.responses[0].content, response.text
    assert sum(len(one.executed_bodies) for one in servers) == runs


@behave.when(
    'the only process with a disk in its region is killed and its disk lost'
)
def lose_only_disk_of_region(context):
    lose_disk(context, 'piedmont-1')


@behave.when('a process is killed and its disk is lost')
def lose_disk(context, vm='coastal-1'):
    context.affected_vm = vm
    context.processes.kill(context.affected_vm)
    context.processes.lose_disk(context.affected_vm)


@behave.then('it has the edit and becomes a voter again')
def check_voter(context):
    async def is_voter():
        return await context.processes.is_voter(context.affected_vm)

    call(context, context.processes.wait_until, is_voter)
    check_edits(context)


@behave.when('the disk of a process is backed up before an edit is accepted')
def back_up_and_edit(context):
    context.affected_vm = 'blue-ridge-1'
    context.processes.kill(context.affected_vm)
    context.processes.back_up_disk(context.affected_vm)
    context.processes.start(context.affected_vm)
    call(context, context.processes.wait_ready)
    context.edits = [call(context, context.processes.edit)]


@behave.when('the process is restarted with the backup of its disk')
def restart_with_backup(context):
    context.processes.kill(context.affected_vm)
    context.processes.restore_disk(context.affected_vm)
    context.processes.start(context.affected_vm)
    call(context, context.processes.wait_ready)


@behave.when('the leader of the control group is frozen')
def freeze(context):
    context.affected_vm = call(context, context.processes.find_leader)
    context.frozen_process = context.processes.running.pop(context.affected_vm)
    context.frozen_process.send_signal(signal.SIGSTOP)


@behave.when('the frozen process is resumed')
def resume(context):
    context.processes.running[context.affected_vm] = context.frozen_process
    context.frozen_process.send_signal(signal.SIGCONT)

    async def has_edits():
        has_each = [
            await context.processes.has_edit(context.affected_vm, edit)
            for edit in context.edits
        ]
        return all(has_each)

    call(context, context.processes.wait_until, has_edits)
    call(context, context.processes.wait_ready)


@behave.then('there is one leader')
def check_one_leader(context):
    roles = []
    for name in context.processes.running:
        status = call(context, context.processes.fetch_status, name)
        control = status['replicas'].get('control')
        if control is not None:
            roles.append(control['role'])
    assert roles.count('leader') == 1, roles


@behave.when('a process receives SIGTERM during {count:d} streamed responses')
def terminate(context, count):
    name = 'piedmont-1'
    process = context.processes.running[name]
    content = processes.chat_body(stream=True, max_tokens=150, stop_at=150)
    context.responses = []

    async def send_request():
        response = await context.processes.send(name, CHAT_PATH, content)
        context.responses.append(response)

    async def run():
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(send_request)
            await anyio.sleep(0.1)
            process.send_signal(signal.SIGTERM)

    call(context, run)
    try:
        context.exit_code = process.wait(timeout=30)
    except subprocess.TimeoutExpired:
        context.exit_code = None
    del context.processes.running[name]


@behave.then('every stream is complete and the process exits with {code:d}')
def check_streams(context, code):
    assert len(context.responses) == 6
    for response in context.responses:
        assert response.text.endswith('data: [DONE]\n\n'), response.text[-200:]
    assert context.exit_code == code, context.exit_code
