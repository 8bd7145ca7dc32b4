"""Steps for the messages of backlogs between releases."""

import functools
import types

import behave

from greengagegw import errors
from greengagegw.fleet import members
from greengagegw.serving import backlog_exchange
from greengagegw.serving import region_relays
from greengagegw.serving import region_reports
from greengagegw import timers

NO_REPORT = region_reports.Report()
BACKLOG = {'s1': [100, 2]}


def run(coroutine):
    """Runs a handler, which never waits."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError('the handler waits')


def make_entries(count):
    return tuple(
        members.EntryVm(
            f'v{at}', f'v{at}:80', 'a', 'a-1', members.EntryState.SERVING
        )
        for at in range(count)
    )


@behave.given('an entry VM in a region of {count:d} without requests')
def given_idle_exchange(context, count):
    given_exchange(context, count)
    exchange = context.exchange
    exchange.local_backlog = dict
    context.steps = 0
    send_reports = exchange.send_reports

    def count_step(now):
        context.steps += 1
        send_reports(now)

    exchange.send_reports = count_step
    exchange.is_running = True
    exchange.wake()


@behave.when('its region grows to {count:d} VMs')
def when_grown(context, count):
    exchange = context.exchange
    advance(context, 0.5)
    exchange.view.entry_vms = make_entries(count)
    for callback in exchange.view.update_callbacks:
        callback()


@behave.when('10 seconds pass without a request')
def when_idle(context):
    advance(context, 10.0)


def advance(context, seconds):
    """Advances time and calls what is due, without an event loop."""
    manual = context.exchange.timers
    until = manual.time + seconds
    while manual.next_due() <= until:
        manual.time = max(manual.time, manual.next_due())
        manual.run_due_callbacks()
    manual.time = until


@behave.then('it has sent nothing, and run the exchange at most 3 times')
def then_idle(context):
    assert not context.posted, context.posted
    assert context.steps <= 3, context.steps


@behave.then(
    'it exchanges what it learns with {count:d} others at regular intervals'
)
def then_partners(context, count):
    partners = context.exchange.region_partners()
    assert len(partners) == count and 'v0' not in partners, partners


@behave.when('a request begins')
def when_begins(context):
    context.exchange.local_backlog = lambda: BACKLOG
    context.exchange.on_request_start()


@behave.then('it reports its backlog within {seconds:g} seconds')
def then_reported(context, seconds):
    advance(context, seconds)
    assert any(one[1] == 'serving.report' for one in context.posted)


@behave.given('an entry VM in a region of {count:d}')
def given_exchange(context, count):
    entries = make_entries(count)
    context.posted = []
    mesh = types.SimpleNamespace(
        post=lambda *message: context.posted.append(message)
    )
    context.exchange = backlog_exchange.BacklogExchange(
        'v0',
        'a',
        timers.ManualTimers(),
        mesh,
        types.SimpleNamespace(entry_vms=entries, update_callbacks=[]),
        lambda: BACKLOG,
    )
    context.receive = lambda method, message: run(
        context.exchange.handlers()[method]('v1', message)
    )


@behave.when('a VM of an earlier release reports')
def when_earlier(context):
    context.receive('serving.backlog', ['v1', {'s1': [50, 1]}])
    context.exchange.send_reports(context.exchange.timers.now())


@behave.then('its backlog counts once, and it is sent the former message')
def then_earlier(context):
    assert context.exchange.peer_totals('s1') == [50.0, 1.0]
    sent = [one for one in context.posted if one[1] == 'serving.backlog']
    assert sent == [('v1', 'serving.backlog', ['v0', BACKLOG])], sent


@behave.when('a VM of a later release reports further numbers')
def when_later(context):
    report = [
        ['requests', 'tokens', 'work'],
        {'s1': [1, 50, 2.5]},
        {'share': 3},
        'later',
    ]
    context.receive('serving.report', ['v1', -1, 0, report, 0.0, 'later'])


@behave.then('they are summed by name')
def then_later(context):
    exchange = context.exchange
    assert exchange.peer_totals('s1') == [50.0, 1.0]
    assert exchange.peer_server_sums('s1')['work'] == 2.5
    assert exchange.peer_sums() == {'share': 3.0}


@behave.then('each message keeps its values on the wire')
def then_codec(context):
    report = region_reports.Report(
        {'s1': {'tokens': 5.0, 'requests': 1.0}}, {'share': 1.5}
    )
    relays = context.exchange.relays
    for message, is_stored in (
        (
            region_relays.MemberReport('v1', 1, 7, report),
            lambda: relays.relays[1].reports['v1'].message,
        ),
        (
            region_relays.Sum('v1', 0, 0.01, 0.02, 0.03, 4, report),
            lambda: relays.relays[0].sums['v1'].message,
        ),
    ):
        context.receive(*backlog_exchange.encode(message, {}))
        stored = is_stored()
        assert stored.report.pack() == report.pack()
        assert type(stored) is type(message)
        assert backlog_exchange.encode(stored, {}) == backlog_exchange.encode(
            message, {}
        )


@behave.then('a VM of the previous release gets totals without its own part')
def then_previous_total(context):
    given_exchange(context, 20)
    exchange = context.exchange
    previous, current = (
        [vm, 0, 1, [['requests', 'tokens'], {'s1': [2, 50]}, {}], *rest]
        for vm, rest in (('v1', ()), ('v2', (0.0,)))
    )
    for seconds in (0.0, 0.2, 0.2):
        advance(context, seconds)
        context.receive('serving.report', previous)
        context.receive('serving.report', current)
        messages = dict(exchange.relays.tick(NO_REPORT, exchange.timers.now()))
    requests = {
        vm: messages[vm].report.servers['s1']['requests']
        for vm in ('v1', 'v2')
    }
    assert requests == {'v1': 2, 'v2': 4}, requests
    assert messages['v2'].has_own and not messages['v1'].has_own


@behave.then('a malformed message of each method is rejected')
def then_malformed(context):
    for method in context.exchange.handlers():
        for message in (None, [], ['v1', 9, 0, None], ['v1', 0, 0, 'x'], 7):
            try:
                functools.partial(context.receive, method, message)()
            except errors.PeerProtocolError:
                continue
            raise AssertionError((method, message))


@behave.then('it withdraws its reports when it leaves')
def then_withdrawn(context):
    exchange = context.exchange
    exchange.send_reports(exchange.timers.now())
    context.posted.clear()
    exchange.leave()
    assert context.posted
    assert all(message[-1] is None for *_, message in context.posted)
