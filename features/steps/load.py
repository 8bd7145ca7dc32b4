"""Steps on load that is replayed in fake time."""

import anyio
import behave

from features import load_patterns

SECONDS = 15.0


@behave.when('{pattern} is replayed')
def when_replayed(context, pattern):
    replay = load_patterns.Replay(load_patterns.PATTERNS[pattern], SECONDS)
    context.replay = anyio.run(replay.run)


@behave.then('at least {percent:d} percent of all requests are served on time')
def then_served(context, percent):
    share = context.replay.share()
    assert share * 100 >= percent, share


@behave.then('at least {percent:d} percent of those of the worst region')
def then_worst(context, percent):
    shares = {
        region: context.replay.share(
            lambda one, name=region: one.region == name
        )
        for region in load_patterns.LAYOUT
    }
    assert min(shares.values()) * 100 >= percent, shares


@behave.then('at most {percent:d} percent of what was taken is late or fails')
def then_kept(context, percent):
    share = context.replay.spoilt_share()
    assert share * 100 <= percent, share


@behave.then('each refusal is told within {seconds:g} seconds')
def then_told(context, seconds):
    assert context.replay.told_seconds() <= seconds


@behave.then(
    'at most {percent:d} percent of the long answers that were begun fail'
)
def then_whole(context, percent):
    begun = [
        one
        for one in context.replay.world.outcomes
        if one.kind == 'long' and (one.error is None or one.first_at)
    ]
    failed = sum(one.error is not None for one in begun)
    assert failed * 100 <= percent * len(begun), (failed, len(begun))


@behave.then(
    '{percent:d} percent of the long answers are whole within half of their'
    " callers' time"
)
def then_whole_soon(context, percent):
    kinds = {kind.name: kind for kind in load_patterns.KINDS}
    taken = context.replay.whole_seconds('long', percent)
    assert taken <= kinds['long'].patience / 2, taken


def class_shares(replay):
    return {
        kind.name: replay.share(lambda one, name=kind.name: one.kind == name)
        for kind in load_patterns.KINDS
    }


@behave.then(
    'short requests are served on time no less often than long ones by'
    ' {percent:d} percent'
)
def then_in_order(context, percent):
    shares = class_shares(context.replay)
    assert shares['short'] >= shares['long'] - percent / 100, shares


@behave.then(
    'no organisation is served less often than a less urgent one by'
    ' {percent:d} percent'
)
def then_organisations_in_order(context, percent):
    shares = [
        context.replay.share(lambda one, key=key: one.key == key)
        for key in load_patterns.KEYS
    ]
    for more, less in zip(shares, shares[1:], strict=False):
        assert more >= less - percent / 100, shares


@behave.then('each class is served at least a quarter as often as all')
def then_not_starved(context):
    shares = class_shares(context.replay)
    least = context.replay.share() / 4
    assert min(shares.values()) >= least, shares


@behave.then(
    'at least half of the refusals name a pause of {seconds:g} second or more'
)
def then_pauses(context, seconds):
    pauses = sorted(
        one.error.retry_after
        for one in context.replay.world.outcomes
        if one.error is not None and one.error.retry_after is not None
    )
    assert pauses[len(pauses) // 2] >= seconds, pauses[::100]


@behave.then(
    'the largest tenth of each class is served half as often as the class'
)
def then_sizes(context):
    for kind in load_patterns.KINDS:
        largest, whole = context.replay.served_by_size(kind.name)
        assert largest >= whole / 2, (kind.name, largest, whole)
