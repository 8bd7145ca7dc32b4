"""Steps for the shares of organisations in an overloaded service."""

import behave

from features import load_patterns
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
    reported = set(context.fair_shares.local_sums())
    assert reported == {f'o-{at}' for at in range(100 - count, 100)}
