"""Steps for backend servers that fail."""

import behave

from features.steps.callers import call
from features.steps.callers import PLAIN_SERVICE_PATH
from features import world as worlds


def engines(context, region=''):
    found = context.world.deployment.engines.items()
    return [one for name, one in found if region in name]


@behave.given('one engine of {region} fails with {fault}')
def fail_one(context, region, fault):
    engines(context, region)[0].fault = fault


@behave.given('every engine fails with {fault}')
def fail_all(context, fault):
    for one in engines(context):
        one.fault = fault


@behave.given('every engine breaks its next stream with {fault}')
def break_next(context, fault):
    for one in engines(context):
        one.fault, one.fault_count = fault, 1


@behave.when('the engines work again')
def clear_faults(context):
    for one in engines(context):
        one.fault = ''


@behave.given('the engines do not support resuming')
def disable_resuming(context):
    servers = [
        server
        for vm in context.world.deployment.vms.values()
        for server in vm.backend_pool.by_name.values()
    ]
    saved_settings = [server.settings for server in servers]
    for server in servers:
        changed = dict(vars(server.settings), resumes=False)
        server.settings = type(server.settings)(**changed)

    def restore():
        for server, settings in zip(servers, saved_settings, strict=True):
            server.settings = settings

    context.add_cleanup(restore)


@behave.given('every plain service fails with {fault}')
def fail_plain(context, fault):
    for one in context.world.deployment.plain_services.values():
        one.fault = fault


@behave.given('one engine of {region} reports that it is leaving')
def leave(context, region):
    world = context.world
    leaving = engines(context, region)[0]
    leaving.is_leaving = True
    context.leaving = leaving
    vms = [
        vm
        for vm in world.deployment.vms.values()
        if vm.settings.region == region
    ]
    call(
        context,
        world.wait_until,
        lambda: all(
            vm.backend_pool.by_name[leaving.name].is_leaving for vm in vms
        ),
    )


@behave.when('a caller sends {count:d} chat requests')
def send_many(context, count):
    for _ in range(count):
        call(context, context.world.send, json=worlds.chat_body())


@behave.when('a caller sends {count:d} chat requests through {vm}')
def send_many_through(context, count, vm):
    for _ in range(count):
        call(context, context.world.send, via=vm, json=worlds.chat_body())


@behave.when('a caller sends a registration')
def send_registration(context):
    call(
        context,
        context.world.send,
        path=PLAIN_SERVICE_PATH,
        json={'cider': 'x'},
    )


@behave.when('a caller sends a chat request')
def send_one(context):
    call(context, context.world.send, json=worlds.chat_body())


@behave.when('a caller sends a streamed chat request')
def send_stream(context):
    call(context, context.world.send, json=worlds.chat_body(stream=True))


@behave.then('all are answered with {status:d}')
def check_all(context, status):
    found = [one.status_code for one in context.world.responses]
    assert set(found) == {status}, [
        one.text for one in context.world.responses
    ]


@behave.then('the last {count:d} are answered with {status:d}')
def check_last(context, count, status):
    found = [one.status_code for one in context.world.responses[-count:]]
    assert set(found) == {status}, found


@behave.then('the leaving engine received none of them')
def check_leaving_engine(context):
    assert context.leaving.received_requests == []


@behave.then('the streamed response is the same as an uninterrupted one')
def check_resumed(context):
    resumed = context.world.responses[-1].text
    for one in engines(context):
        one.fault = ''
    started = sum(len(one.started_request_ids) for one in engines(context))
    context.world.notes['started'] = started
    send_stream(context)
    assert resumed == context.world.responses[-1].text, resumed


@behave.then('no engine started the request twice')
def check_started(context):
    assert context.world.notes['started'] == 1


@behave.then('the stream ends with an error event {code} and run {run}')
def check_error_event(context, code, run):
    text = context.world.responses[-1].text
    last = text.rstrip('\n').split('\n\n')[-1]
    assert last.startswith('event: error\ndata: '), text
    assert f'"code":"{code}"' in last and f'"run":"{run}"' in last, last
    assert 'data: [DONE]' not in text.split('\n\n'), text


@behave.then("the stream has nothing of the server's error")
def check_no_error(context):
    text = context.world.responses[-1].text
    assert 'out of memory' not in text and 'HTTP/1.1' not in text, text


@behave.then('the error of the registration is {code} with run {run}')
def check_registration(context, code, run):
    found = context.world.responses[-1].json()['error']
    assert (found['code'], found['run']) == (code, run), found


@behave.then('the registration ran {times:d} times')
def check_runs(context, times):
    plain = context.world.deployment.plain_services.values()
    assert sum(len(one.executed_bodies) for one in plain) == times


def load_pollers(context):
    return [vm.load_poller for vm in context.world.deployment.vms.values()]


@behave.when(
    'each VM has polled each backend server {count:d} times without success'
)
def wait_polls(context, count):
    min_polls = {
        poller: poller.poll_count + (count + 1) * len(poller.pool.by_name)
        for poller in load_pollers(context)
    }
    call(
        context,
        context.world.wait_until,
        lambda: all(
            poller.poll_count >= min_count
            for poller, min_count in min_polls.items()
        ),
    )


@behave.then('every VM has a new load report of each backend server')
def check_new_reports(context):
    servers = [
        server
        for poller in load_pollers(context)
        for server in poller.pool.by_name.values()
    ]
    now = context.world.deployment.vms['piedmont-1'].timers.now()

    def is_new():
        # Reports from before the fault do not count.
        return all(
            server.report is not None and server.report.received_at > now
            for server in servers
        )

    call(context, context.world.wait_until, is_new)


@behave.then('it has at most one polling connection to each backend server')
def check_polling_connections(context):
    for poller in load_pollers(context):
        for server in poller.pool.by_name.values():
            pool = server.port.load_transport.pool
            assert len(pool.connections) <= 1, pool.connections
