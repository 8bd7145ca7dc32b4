"""Steps for regions and network partitions between them."""

import contextlib
import dataclasses
import functools
import uuid

import anyio
import behave

from features.steps.callers import bearer
from features.steps.callers import call
from features.steps.callers import PLAIN_SERVICE_PATH
from features.steps.operators import put_table
from features import world as worlds
from greengagegw import errors

from greengagegw import local_execution
from greengagegw.ports import backends


@behave.when('{organisation} sends a chat request through {vm}')
def send_as(context, organisation, vm):
    context.world.notes['received'] = len(context.world.received_requests())
    call(
        context,
        context.world.send,
        organisation=organisation,
        via=vm,
        json=worlds.chat_body(),
    )


@behave.when('{organisation} sends a streamed chat request through {vm}')
def stream_as(context, organisation, vm):
    call(
        context,
        context.world.send,
        organisation=organisation,
        via=vm,
        json=worlds.chat_body(stream=True),
    )


def engines_used(world):
    engines = world.deployment.engines.items()
    return {name for name, engine in engines if engine.started_request_ids}


@behave.then('it is answered with {status:d} and was run in {region}')
def check_region(context, status, region):
    response = context.world.responses[-1]
    assert response.status_code == status, response.text
    check_run_in(context, region)


@behave.then('it was run in {region}')
def check_run_in(context, region):
    names = engines_used(context.world)
    assert names and all(region in name for name in names), names


@behave.given('{region} has no usable engine')
def no_engine(context, region):
    for vm in context.world.deployment.vms.values():
        service = vm.backend_pool.services.get('judge-assist')
        if vm.settings.region != region or service is None:
            continue
        servers = service.servers
        service.servers = []

        def restore(service=service, servers=servers):
            service.servers = servers

        context.add_cleanup(restore)


def make_spec(organisation, repeatable=True):
    service = 'judge-assist' if repeatable else 'entry-desk'
    path = '/v1/chat/completions' if repeatable else '/entries'
    kind = 'model' if repeatable else 'plain'
    return local_execution.CallSpec(
        backends.Call(
            uuid.uuid4().hex,
            organisation,
            service,
            kind,
            'POST',
            path,
            (),
            b'{}',
            repeatable,
            False,
            10,
        ),
        1.0,
        1.0,
    )


async def forward(world, organisation, region, revision=0, repeatable=True):
    """Forwards a request from blue-ridge-1 and returns its error, if any.

    :param revision: added to the table revision that the VM refers to.
    """
    vm = world.deployment.vms['blue-ridge-1']
    spec = make_spec(organisation, repeatable)
    table_revision = vm.view.configuration.table_revision
    vm.view.configuration.table_revision = table_revision + revision
    try:
        async with vm.forwarder.run(spec, region):
            return None
    except errors.GatewayError as error:
        return error
    finally:
        vm.view.configuration.table_revision = table_revision


@behave.when('a VM forwards a request of {organisation} to {region}')
def forward_to(context, organisation, region):
    context.error = call(context, forward, context.world, organisation, region)


@behave.given('the VMs of {region} have no memory for requests')
def fill_memory(context, region):
    for vm in context.world.deployment.vms.values():
        if vm.settings.region == region:
            memory = vm.intake.memory
            limits = memory.limits
            memory.limits = dataclasses.replace(limits, request_bytes=0)
            context.add_cleanup(setattr, memory, 'limits', limits)


@behave.when('a VM forwards a registration of {organisation} to {region}')
def forward_registration(context, organisation, region):
    context.error = call(
        context, forward, context.world, organisation, region, 0, False
    )


@behave.given('{vm} has just become unresponsive')
def make_unresponsive(context, vm):
    """Cuts a VM off right after it responded to a call."""
    world = context.world
    others = [name for name in world.deployment.vm_names() if name != vm]
    mesh = world.deployment.vms['blue-ridge-1'].mesh

    async def use_connection():
        """Returns once the VM has responded on a connection."""
        while True:
            with contextlib.suppress(errors.PeerUnreachableError):
                try:
                    await mesh.call(vm, 'nothing', None)
                except errors.PeerLostError:
                    continue
                except errors.PeerProtocolError:
                    return
            await anyio.sleep(0.05)

    call(context, use_connection)
    forwarder = world.deployment.vms['blue-ridge-1'].forwarder
    forwarder.suspicions.record_response(vm)
    world.deployment.network.cut([vm], others)
    context.add_cleanup(lambda: heal(context))


@behave.when(
    'a VM sends a request of {organisation} to {first} or else {second}'
)
def forward_to_either(context, organisation, first, second):
    forwarder = context.world.deployment.vms['blue-ridge-1'].forwarder
    forwarder.choose_vms = lambda region: [first, second]
    context.add_cleanup(lambda: delattr(forwarder, 'choose_vms'))
    context.unresponsive = first
    forward_to(context, organisation, first.rpartition('-')[0])


@behave.then('the forwarded request is answered through another VM')
def check_response(context):
    assert context.error is None, context.error


@behave.then('the connection to the unresponsive VM is still open')
def check_still_open(context):
    mesh = context.world.deployment.vms['blue-ridge-1'].mesh
    assert not mesh.dialled[context.unresponsive].is_closed


@behave.then('the forwarded request is rejected as {code} and unknown')
def check_forward_unknown(context, code):
    assert context.error is not None
    assert (context.error.code, context.error.run) == (code, 'unknown')


@behave.then('it is rejected again and certainly not run')
def check_again(context):
    assert context.error is not None
    assert context.error.run == 'not_run', context.error.code
    assert context.world.received_requests() == []


def plan_regions(context):
    vm = context.world.deployment.vms['blue-ridge-1']
    row = vm.view.configuration.table.organisation('press')
    return vm.gateway.router.plan_regions(make_spec('press'), row)


@behave.then('coastal is tried last')
def check_coastal_last(context):
    planned = plan_regions(context)
    assert planned[0] == 'piedmont', planned


@behave.then('coastal is no longer suspected')
def check_not_suspected(context):
    forwarder = context.world.deployment.vms['blue-ridge-1'].forwarder
    call(
        context,
        context.world.wait_until,
        lambda: not forwarder.is_suspected('coastal'),
    )


@behave.when('a VM forwards a request with a future table revision')
def forward_future_revision(context):
    context.error = call(
        context, forward, context.world, 'orchard', 'piedmont', 5
    )


@behave.then('the forwarded request is rejected as {code} and not_run')
def check_forward(context, code):
    assert context.error is not None
    assert (context.error.code, context.error.run) == (code, 'not_run')
    assert context.world.received_requests() == []


def cut(context, region):
    deployment = context.world.deployment
    inside = [vm for vm in deployment.vm_names() if vm.startswith(region)]
    outside = [vm for vm in deployment.vm_names() if vm not in inside]
    deployment.network.cut(inside, outside)
    context.add_cleanup(lambda: heal(context))


def heal(context):
    """Heals the network and waits until all VMs agree again."""
    world = context.world
    world.deployment.network.heal()

    def is_healed():
        vms = world.deployment.vms.values()
        revisions = {vm.view.revision for vm in vms}
        pending = any(vm.view.uncommitted for vm in vms)
        leaders = sum(
            replica.is_leader for vm in vms for replica in vm.replicas.values()
        )
        all_alive = all(
            vm.membership.is_alive(peer)
            for vm in vms
            for peer in world.deployment.vm_names()
        )
        return (
            len(revisions) == 1 and not pending and leaders == 4 and all_alive
        )

    call(context, world.wait_until, is_healed)


@behave.given('{region} is cut off from the other regions')
def cut_off(context, region):
    cut(context, region)


@behave.when('the partition heals')
def heal_partition(context):
    heal(context)


@behave.when("each region's clients send chat requests")
def send_each(context):
    for organisation, vm in (
        ('cidery', 'coastal-1'),
        ('orchard', 'piedmont-1'),
        ('orchard', 'piedmont-2'),
        ('press', 'blue-ridge-1'),
        ('press', 'coastal-1'),
    ):
        send_as(context, organisation, vm)


@behave.then('{organisation} is served through {vm} as well')
def check_served(context, organisation, vm):
    send_as(context, organisation, vm)
    assert context.world.responses[-1].status_code == 200


@behave.then('{organisation} is rejected through {vm} and not run')
def check_not_served(context, organisation, vm):
    before = len(context.world.received_requests())
    send_as(context, organisation, vm)
    response = context.world.responses[-1]
    assert response.status_code == 503, response.text
    assert response.json()['error']['run'] == 'not_run'
    assert len(context.world.received_requests()) == before


@behave.then(
    'it is rejected with status {status:d} and received by no backend server'
)
def check_refused(context, status):
    world = context.world
    response = world.responses[-1]
    assert response.status_code == status, response.text
    assert len(world.received_requests()) == world.notes['received'], (
        response.text
    )


@behave.then('an edit through {vm} is not accepted')
def check_edit_rejected(context, vm):
    text = worlds.TABLE + f'region,{uuid.uuid4().hex},1,,,,,,\n'
    response = call(context, put_table, context.world, text, None, vm)
    assert response.status_code == 503, response.text


@behave.then('an edit through {vm} is accepted')
def check_edit_accepted(context, vm):
    world = context.world
    rate = 2000000 + world.deployment.vms[vm].view.revision
    text = worlds.TABLE.replace('press,1,1000000', f'press,1,{rate}')
    response = call(context, put_table, world, text, None, vm)
    assert response.status_code == 200, response.text
    world.notes['rate'] = rate


@behave.when('the key of press is withdrawn through {vm}')
def withdraw_through(context, vm):
    world = context.world
    key = world.keys['press']

    async def withdraw():
        url = world.deployment.operator_url(vm)
        return await world.operator.delete(
            f'{url}/admin/keys/{key.split("-")[1]}'
        )

    context.key = key
    context.add_cleanup(lambda: call(context, world.give_key, 'press'))
    response = call(context, withdraw)
    assert response.json()['in_force'], response.text


def check_key_rejected(context, vms):
    world = context.world

    async def send_with_key(vm):
        response = await world.send(
            'GET', '/v1/models', via=vm, headers=bearer(context.key)
        )
        return response.status_code

    for vm in vms:
        status = call(context, send_with_key, vm)
        assert status == 401, (vm, status)


@behave.then('the key is rejected by the VMs of {side}')
def check_side(context, side):
    names = context.world.deployment.vm_names()
    check_key_rejected(context, [vm for vm in names if vm.startswith(side)])


@behave.then('the key is rejected by every VM')
def check_everywhere(context):
    check_key_rejected(context, context.world.deployment.vm_names())


@behave.then('the withdrawal is durable')
def check_durable(context):
    key_id = context.key.split('-')[1]
    for vm in context.world.deployment.vms.values():
        assert key_id in vm.view.configuration.withdrawn
        assert not vm.view.uncommitted


async def register(world, key, via, content=None):
    return await world.send(
        path=PLAIN_SERVICE_PATH,
        via=via,
        headers={'idempotency-key': key},
        json=content or {'cider': 'Russet'},
    )


def total_runs(world):
    return sum(
        len(service.executed_bodies)
        for service in world.deployment.plain_services.values()
    )


@behave.when(
    'orchard registers with one idempotency key through {first} and {second}'
)
def register_both(context, first, second):
    context.idempotency_key = uuid.uuid4().hex
    for vm in (first, second):
        call(context, register, context.world, context.idempotency_key, vm)


@behave.then('it was run once, and rejected as {code} through {vm}')
def check_one_side(context, code, vm):
    first, second = context.world.responses[-2:]
    assert first.status_code == 201, first.text
    assert total_runs(context.world) == 1
    error = second.json()['error']
    assert (error['code'], error['run']) == (code, 'not_run'), error


@behave.then('the same registration through {vm} gets the stored response')
def check_stored(context, vm):
    world = context.world
    first = world.responses[0]
    retry = call(context, register, world, context.idempotency_key, vm)
    assert retry.content == first.content, retry.text
    assert total_runs(world) == 1


@behave.when('orchard registers with an idempotency key')
def register_once(context):
    context.idempotency_key = uuid.uuid4().hex
    call(
        context,
        register,
        context.world,
        context.idempotency_key,
        'piedmont-1',
    )


@behave.when('the plain services work again')
def clear_plain_faults(context):
    for service in context.world.deployment.plain_services.values():
        service.fault = ''


@behave.when('orchard registers again through another VM')
def register_again(context):
    call(
        context,
        register,
        context.world,
        context.idempotency_key,
        'blue-ridge-1',
    )


@behave.when('orchard registers something else with the same key')
def register_other(context):
    call(
        context,
        register,
        context.world,
        context.idempotency_key,
        'piedmont-2',
        {'cider': 'Kingston Black'},
    )


@behave.then('the retry is answered with {expected}')
def check_retry(context, expected):
    response = context.world.responses[-1]
    if expected.isdigit():
        assert response.status_code == int(expected), response.text
    else:
        assert response.json()['error']['code'] == expected, response.text


@behave.when(
    'orchard sends {count:d} concurrent registrations with one idempotency key'
)
def register_at_once(context, count):
    world = context.world
    key = uuid.uuid4().hex
    vms = world.deployment.vm_names()

    async def send_all():
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                via = vms[number % len(vms)]
                tasks.start_soon(functools.partial(register, world, key, via))

    call(context, send_all)


@behave.then('each was answered with {status:d} or {code}')
def check_each(context, status, code):
    for response in context.world.responses:
        if response.status_code != status:
            assert response.json()['error']['code'] == code, response.text
    assert any(
        response.status_code == status for response in context.world.responses
    )
