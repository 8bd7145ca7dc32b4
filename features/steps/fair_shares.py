"""Steps for the shares of organisations in an overloaded service."""

import collections
import copy
import types

import anyio
import behave
import eliot
import msgpack

from features import load_patterns
from greengagegw.fleet import agent as agents
from greengagegw.fleet import members
from greengagegw.fleet import metrics as fleet_metrics
from greengagegw.serving import backlog_exchange
from greengagegw.serving import competition
from greengagegw.serving import fair_shares

NAMES = ('first', 'second', 'third')
REPORTS = {
    'nothing': {},
    'negative work': {'first': (-100.0, -100.0), 'second': (-1.0, -5.0)},
    'unknown names': {'other': (5.0, 2.5)},
}


@behave.then(
    'each small organisation is served on time at least as often as the large'
    ' one'
)
def then_small_served(context):
    large, *small = [
        context.replay.on_time_share(lambda one, key=key: one.key == key)
        for key in load_patterns.KEYS
    ]
    assert min(small) >= large, (large, small)


def parse(text):
    return dict(zip(NAMES, map(float, text.split()), strict=False))


@behave.when(
    'a capacity of {capacity:g} is divided among {asked} with the weights'
    ' {weights}'
)
def when_divided(context, capacity, asked, weights):
    context.shares = fair_shares.divide(capacity, parse(asked), parse(weights))


@behave.then('the shares are {shares}')
def then_shares(context, shares):
    for name, share in parse(shares).items():
        assert abs(context.shares[name] - share) < 1e-9, context.shares


@behave.given(
    'organisations that ask for {first:g} and {second:g} server seconds,'
    ' {part} of which are served'
)
def given_organisations(context, first, second, part):
    context.reported = {}
    shares = fair_shares.FairShares(0.0, lambda: context.reported)
    for name, asked in (('first', first), ('second', second)):
        for at in range(10):
            is_served = part == 'all' or at % 2 == 0
            shares.record(name, 0, asked / 10, is_served, 0.0)
    context.fair_shares = shares


@behave.when('the other VMs report {report}')
def when_reported(context, report):
    context.reported = REPORTS[report]
    context.fair_shares.record('first', 0, 0.0, True, 0.0)


@behave.then('the factor of the {name} one is less than 1')
def then_factor_below(context, name):
    assert context.fair_shares.factor(name) < 1


@behave.then('the factor of the {name} one is 1')
def then_factor_one(context, name):
    assert context.fair_shares.factor(name) == 1


@behave.then('every factor is between {low:g} and 1')
def then_factors_bounded(context, low):
    factors = context.fair_shares.factors
    assert all(low <= one <= 1 for one in factors.values()), factors


@behave.given('{count:d} organisations with different work')
def given_many(context, count):
    context.fair_shares = fair_shares.FairShares(0.0, dict)
    for at in range(count):
        context.fair_shares.record(f'o-{at}', 0, at + 1.0, True, 0.0)


@behave.then('a VM reports the {count:d} with the most work')
def then_bounded_report(context, count):
    reported = set(context.fair_shares.local_sums(0.0))
    assert reported == {f'o-{at}' for at in range(100 - count, 100)}


class ExchangingVms:
    """The exchange and the competition of VMs of one region, in fake time."""

    def __init__(self, count):
        self.now = 0.0
        self.timers = types.SimpleNamespace(
            now=lambda: self.now, wall_time=lambda: self.now
        )
        self.names = [f'a{at}' for at in range(count)]
        entries = [
            members.EntryVm(
                vm, f'{vm}:80', 'a', 'a-1', members.EntryState.SERVING
            )
            for vm in self.names
        ]
        self.exchanges = {}
        self.competitions = {}
        # Seconds by which reports are late, and the factor on their sums.
        self.delay = 0.0
        self.factor = 1.0
        self.partitioned = set()
        self.messages = []
        # Requests a second that each VM admits.
        self.admitted_rate = 0
        for vm in self.names:
            view = agents.FleetView()
            view.entry_vms = entries
            exchange = backlog_exchange.BacklogExchange(
                vm, 'a', self.timers, self, view, dict
            )
            competing = competition.ServiceCompetition(
                'engine', 0.0, exchange.peer_sums
            )
            exchange.report_extensions.append(
                lambda report, one=competing: report.sums.update(
                    one.local_sums(self.now)
                )
            )
            self.exchanges[vm] = exchange
            self.competitions[vm] = competing

    def post(self, vm, method, message):
        if (vm in self.partitioned) != (message[0] in self.partitioned):
            return
        message = copy.deepcopy(message)
        sums = message[3][2]
        for name in sums:
            sums[name] *= self.factor
        self.messages.append((self.now + self.delay, vm, method, message))

    def deliver(self):
        due = [one for one in self.messages if one[0] <= self.now]
        self.messages = [one for one in self.messages if one[0] > self.now]
        for _, vm, method, message in due:
            if vm in self.exchanges:
                handler = self.exchanges[vm].handlers()[method]
                anyio.run(handler, 'peer', message)

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.1)
            for one in list(self.exchanges.values()):
                one.send_reports(self.now)
            self.deliver()
            for one in self.competitions.values():
                one.refresh(self.now)
                for _ in range(round(self.admitted_rate / 10)):
                    one.schedule.record_new_request('r', 0.1, True, self.now)

    def record(self, vm, organisation, work):
        competing = self.competitions[vm]
        competing.recorded_at = self.now
        for at in range(10):
            competing.shares.record(
                organisation, 0, work / 10, at % 2 == 0, self.now
            )


@behave.given('{count:d} VMs of a region that exchange their sums')
def given_exchanging(context, count):
    context.vms = ExchangingVms(count)


@behave.when(
    'the first VM is asked for {large:g} server seconds by a large'
    ' organisation and the others for {small:g} by a small one, half of which'
    ' are served'
)
def when_asked(context, large, small):
    vms = context.vms
    first, *others = vms.names
    vms.record(first, 'large', large)
    for vm in others:
        vms.record(vm, 'small', small)
    vms.advance(0.3 + vms.delay)
    for vm in others:
        vms.record(vm, 'large', 0.0)
    vms.record(first, 'small', 0.0)


@behave.then('on each VM the factor of the {name} organisation {relation} 1')
def then_factors(context, name, relation):
    factors = {
        vm: one.shares.factor(name)
        for vm, one in context.vms.competitions.items()
    }
    assert all(
        factor < 1 if relation == 'is less than' else factor == 1
        for factor in factors.values()
    ), factors


@behave.when('the first VM is lost for {seconds:g} seconds')
def when_lost(context, seconds):
    vms = context.vms
    del vms.exchanges[vms.names[0]]
    vms.advance(seconds)


@behave.then('the other VMs no longer count its work')
def then_not_counted(context):
    for vm in context.vms.exchanges:
        pairs = context.vms.competitions[vm].peer_pairs
        large = pairs[competition.ORGANISATION].get('large', (0.0, 0.0))
        assert max(large) < 0.01, (vm, large)


@behave.when(
    'a VM receives sums of another service, of an unknown kind and without a'
    ' name'
)
def when_other_sums(context):
    pairs = {competition.ORGANISATION: {'one': (2.0, 1.0)}}
    sums = {
        **competition.pack_sums('engine', pairs),
        **competition.pack_sums('engine\nof another', pairs),
        **competition.pack_sums('desk', pairs),
        **competition.pack_sums('engine', {'later': {'one': (3.0, 3.0)}}),
        'share': 3.0,
        competition.sum_name(competition.ORGANISATION, 5, 'engine', 'one'): 4,
        competition.sum_name(competition.ORGANISATION, 0, 'engine', ''): 4,
        competition.sum_name(competition.CLASS, 0, 'engine', 'urgent'): 5,
    }
    context.competition = competition.ServiceCompetition(
        'engine', 0.0, lambda: sums
    )
    context.competition.refresh(1.0)


@behave.then('it knows the sums of its own service only')
def then_own_service(context):
    known = context.competition
    assert known.shares.other_sums()['one'] == (2.0, 1.0)
    assert 'desk' not in str(known.peer_pairs)
    assert known.balance.peer_counts == {}


@behave.when(
    'the first VM promises {count:d} returns and the clients return to the'
    ' second one'
)
def when_return_elsewhere(context, count):
    vms = context.vms
    first, second, _ = vms.competitions.values()
    context.precedes = []
    for _ in range(count):
        first.recorded_at = second.recorded_at = vms.now
        first.schedule.record_promise('r', 1.0, 12.0, vms.now)
        vms.advance(1.3)
        context.precedes.append(second.schedule.may_precede('r', vms.now))
        second.schedule.record_return('r', 0.1, vms.now)


@behave.then(
    '{count:d} returns to the third one do not all come before new requests'
)
def then_third_limited(context, count):
    *_, third = context.vms.competitions.values()
    context.vms.advance(0.3)
    precedes = []
    for _ in range(count):
        precedes.append(third.schedule.may_precede('r', context.vms.now))
        if precedes[-1]:
            third.schedule.record_return('r', 0.1, context.vms.now)
    assert not all(precedes)


@behave.when('16 organisations send requests to 2 services of {count:d} VMs')
def when_many_organisations(context, count):
    context.vms = ExchangingVms(count)
    context.vms.sizes = []
    record_many(context, is_served=True)


@behave.when('one request in ten is rejected')
def when_some_rejected(context):
    record_many(context, is_served=False)


def record_many(context, is_served):
    vms = context.vms
    for one in vms.competitions.values():
        one.recorded_at = vms.now
        for at in range(16):
            for rank in range(4):
                one.balance.record(rank, True, vms.now)
            one.shares.record(f'organisation-{at}', 0, 0.5, True, vms.now)
            one.shares.record(
                f'organisation-{at}', 0, 0.05, is_served, vms.now
            )
            if not is_served:
                one.schedule.record_promise(f'r-{at % 4}', 0.1, 9.0, vms.now)
    vms.advance(0.3)
    context.sums = next(iter(vms.competitions.values())).local_sums(vms.now)


@behave.then('the VMs exchange no sums')
def then_no_sums(context):
    assert not context.sums, context.sums


@behave.then(
    '60 messages a second with the sums of 2 services take less than a fifth'
    ' of a link of {megabits:d} Mbit/s'
)
def then_short(context, megabits):
    size = len(msgpack.packb(context.sums))
    assert context.sums
    assert 60 * 2 * 8 * size < megabits * 1e6 / 5, size


@behave.then(
    'in {seconds:d} seconds at most {count:d} of the messages between two VMs'
    ' contain sums, and each VM knows those of the others'
)
def then_rarely_sent(context, seconds, count):
    vms = context.vms
    sent = collections.Counter()
    post = vms.post

    def count_post(vm, method, message):
        sent[vm, message[0], bool(message[3][2])] += 1
        post(vm, method, message)

    for one in vms.exchanges.values():
        one.mesh = types.SimpleNamespace(post=count_post)
    for _ in range(10 * seconds):
        vms.advance(0.1)
        for one in vms.competitions.values():
            assert one.peer_pairs[competition.ORGANISATION], vms.now
    with_sums = [number for key, number in sent.items() if key[-1]]
    others = [number for key, number in sent.items() if not key[-1]]
    assert with_sums and max(with_sums) <= count, sent
    assert min(others) >= 10 * seconds - count, sent


FAILURES = {
    'reports that are 1 s late': {'delay': 1.0},
    'reports that are ten times too high': {'factor': 10.0},
    'reports that are ten times too low': {'factor': 0.1},
    'a partition of the first VM': {'partitioned': {'a0'}},
}


@behave.given('{failure} between them')
def given_failure(context, failure):
    for name, value in FAILURES[failure].items():
        setattr(context.vms, name, value)


@behave.given('VMs that admit {rate:d} requests a second each')
def given_admitted(context, rate):
    context.vms.admitted_rate = rate


@behave.then('on each VM every factor is between {low:g} and 1')
def then_all_factors_bounded(context, low):
    for vm, one in context.vms.competitions.items():
        factors = one.shares.factors
        assert all(low <= value <= 1 for value in factors.values()), vm


@behave.then('at most {percent:d} percent of them do not come before new ones')
def then_most_precede(context, percent):
    failed = context.precedes.count(False)
    assert failed * 100 <= percent * len(context.precedes), failed


@behave.when('the first VM promises {count:d} returns and is lost')
def when_promising_vm_lost(context, count):
    vms = context.vms
    first = vms.competitions[vms.names[0]]
    first.recorded_at = vms.now
    for _ in range(count):
        first.schedule.record_promise('r', 0.5, 12.0, vms.now)
    vms.advance(1.0)
    del vms.exchanges[vms.names[0]]
    vms.advance(2.6)


@behave.then(
    'at most {count:d} of {returns:d} returns come before new requests'
)
def then_few_of_lost_precede(context, count, returns):
    second = context.vms.competitions[context.vms.names[1]].schedule
    admitted = 0
    for _ in range(returns):
        if second.may_precede('r', context.vms.now):
            admitted += 1
            second.record_return('r', 0.1, context.vms.now)
    assert admitted <= count, admitted


@behave.given('its log lines')
def given_log(context):
    context.logged = []
    eliot.add_destinations(context.logged.append)
    # The first destination gets what was logged before.
    context.logged.clear()
    context.add_cleanup(eliot.remove_destination, context.logged.append)


@behave.then(
    'each shortage that is logged begins during the burst and ends after it'
)
def then_shortage_logged(context):
    names = [
        one['message_type']
        for one in context.logged
        if one['message_type'] in ('service:short', 'service:sufficient')
    ]
    begun = names.count('service:short')
    assert begun == names.count('service:sufficient') > 0, names
    # One or two shortages on each of the seven VMs.
    assert begun <= 14, begun


@behave.then(
    'the metrics show waits, kept returns and the work of each organisation'
)
def then_metrics(context):
    metrics = fleet_metrics.FleetMetrics()
    for message in context.logged:
        metrics(message)
    value = metrics.registry.get_sample_value
    service = {'service': 'engine'}
    assert value('greengagegw_waited_seconds_count', service) > 0
    outcomes = context.replay.world.outcomes
    returned = sum(one.request_id.endswith('b') for one in outcomes)
    kept = value('greengagegw_returns_total', {**service, 'state': 'kept'})
    promised = value(
        'greengagegw_returns_total', {**service, 'state': 'promised'}
    )
    assert 0.9 * returned <= kept <= promised * 1.1, (kept, promised, returned)
    for tenant in load_patterns.TENANTS:
        labels = {**service, 'organisation': tenant['name']}
        assert value('greengagegw_organisation_work_seconds_total', labels)


@behave.then(
    'the {count:d} with the most work are counted by name, and the others'
    ' together'
)
def then_bounded_metrics(context, count):
    work = context.fair_shares.take_work()
    others = work.pop(fair_shares.OTHERS)
    assert set(work) == {f'o-{at}' for at in range(100 - count, 100)}
    assert others == sum(range(1, 100 - count + 1))
