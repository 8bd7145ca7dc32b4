"""Steps for the returns of rejected clients."""

import random

import behave

from features import load_patterns
from greengagegw.serving import retry_schedule

ROUTE = 'r'
TIME_LEFT = 12.0
ROUND_TRIP_SECONDS = 0.11


@behave.then(
    'at most {percent:d} percent of the returned clients are rejected again'
)
def then_few_rejected_again(context, percent):
    share = context.replay.rejected_return_share()
    assert share * 100 <= percent, share


@behave.then(
    'each organisation and region is served at least a quarter as often as all'
)
def then_none_starved(context):
    share = context.replay.on_time_share
    shares = [
        share(lambda one, key=key: one.key == key)
        for key in load_patterns.KEYS
    ]
    for name in load_patterns.LAYOUT:
        shares.append(share(lambda one, region=name: one.region == region))
    assert min(shares) >= share() / 4, shares


@behave.then('no request is rejected')
def then_none_rejected(context):
    rejected = [
        one for one in context.replay.world.outcomes if one.error is not None
    ]
    assert not rejected, rejected[:3]


@behave.given(
    'a service that admits {admitted:d} requests a second of {work:g} server'
    ' seconds each and rejects {rejected:d}'
)
def given_overloaded(context, admitted, work, rejected):
    context.schedule = schedule = retry_schedule.RetrySchedule()
    schedule.capacity = admitted * work
    context.work = work
    context.rejected_rate = rejected
    context.admitted_rate = admitted
    context.now = 0.0
    advance_overload(context, 10.0)


def advance_overload(context, seconds, on_rejection=lambda: None):
    schedule = context.schedule
    count = round(seconds * (context.admitted_rate + context.rejected_rate))
    total = context.admitted_rate + context.rejected_rate
    for at in range(count):
        context.now += 1 / total
        is_admitted = at * context.admitted_rate % total < (
            context.admitted_rate
        )
        schedule.record_new_request(
            ROUTE, context.work, is_admitted, context.now
        )
        if not is_admitted:
            on_rejection()


def plan_return(context, time_left=TIME_LEFT):
    return context.schedule.plan_return(
        ROUTE,
        retry_schedule.ReturnRequest(context.work, 0.2, 1.0, time_left),
        context.rng.random(),
        context.now,
    )


@behave.when(
    'it plans the return of each rejected client for {seconds:g} seconds'
)
def when_planned(context, seconds):
    context.rng = random.Random(1)
    context.pauses = []
    context.seconds = seconds
    advance_overload(
        context, seconds, lambda: context.pauses.append(plan_return(context))
    )


@behave.then(
    'the promised returns take at most a twentieth of the admitted work'
)
def then_bounded(context):
    promised = context.work * sum(one is not None for one in context.pauses)
    horizon = context.seconds + TIME_LEFT / 3
    admitted = context.work * context.admitted_rate * horizon
    assert 0 < promised <= admitted / 20 + context.work, (promised, admitted)


@behave.then(
    'the other clients are sent away for more than a third of their time'
)
def then_sent_away(context):
    assert None in context.pauses
    assert retry_schedule.refusal_seconds(TIME_LEFT) > TIME_LEFT / 3


@behave.given(
    'a service with a spare capacity of {rate:g} server second a second'
)
def given_spare(context, rate):
    context.schedule = retry_schedule.RetrySchedule()
    context.schedule.capacity = rate
    context.now = 0.0
    context.rng = random.Random(1)


@behave.when(
    '{count:d} clients with requests of {work:g} server seconds are rejected'
    ' at once'
)
def when_rejected_at_once(context, count, work):
    context.work = work
    context.pauses = [plan_return(context) for _ in range(count)]
    assert None not in context.pauses


@behave.then('each second gets at most {count:d} returns')
def then_spread(context, count):
    seconds = [int(one) for one in context.pauses]
    assert max(seconds.count(one) for one in seconds) <= count, seconds


@behave.then('no two return at the same time')
def then_distinct(context):
    times = sorted(context.pauses)
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert min(gaps) > 0, times
    assert times[-1] - times[0] >= 0.8 * context.work * (len(times) - 1)


@behave.when(
    '{count:d} clients return without a promise within {seconds:g} seconds'
)
def when_return_unpromised(context, count, seconds):
    context.preceding = 0
    for _ in range(count):
        context.now += seconds / count
        if context.schedule.may_precede(ROUTE, context.now):
            context.preceding += 1
            context.schedule.record_return(ROUTE, context.work, context.now)


@behave.then('at most {count:d} of them come before new requests')
def then_few_precede(context, count):
    assert context.preceding <= count, context.preceding


@behave.when('none of them returns for {seconds:g} seconds')
def when_none_returns(context, seconds):
    context.now += max(context.pauses)
    context.schedule.may_precede(ROUTE, context.now)
    context.now += seconds


@behave.then('less than a tenth of the promised returns may still come')
def then_expired(context):
    credit = context.schedule.class_of(ROUTE, context.now).credit
    balance = credit.current_balance(context.now)
    assert balance < len(context.pauses) / 10, balance


@behave.when(
    '{count:d} clients with up to {factor:d} times the usual work return to'
    ' this VM as another region has promised'
)
def when_return_as_promised(context, count, factor):
    schedule = context.schedule
    context.precedes = []
    for at in range(count):
        schedule.record_promise(ROUTE, 1.0, TIME_LEFT, context.now)
        context.now += 1.0 + ROUND_TRIP_SECONDS
        context.precedes.append(schedule.may_precede(ROUTE, context.now))
        work = context.work * (1 + at % factor)
        schedule.record_return(ROUTE, work, context.now)


@behave.then('each of them comes before new requests')
def then_all_precede(context):
    assert context.precedes and all(context.precedes), context.precedes


@behave.when('{count:d} returns that other regions forward are admitted')
def when_forwarded_returns(context, count):
    for _ in range(count):
        context.schedule.record_return(
            ROUTE, context.work, context.now, is_forwarded=True
        )


@behave.then('a client that returns comes before new requests')
def then_may_precede(context):
    assert context.schedule.may_precede(ROUTE, context.now)
