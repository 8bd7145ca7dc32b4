"""Steps for load patterns that are replayed in fake time."""

import anyio
import behave

from features import load_patterns

SECONDS = 15.0


@behave.given('a deployment in which requests compete for capacity')
def given_competition(context):
    context.divides_capacity = True


@behave.when('{pattern} is replayed')
def when_load_replayed(context, pattern):
    replay = load_patterns.Replay(load_patterns.PATTERNS[pattern], SECONDS)
    replay.world.set_divides_capacity(
        getattr(context, 'divides_capacity', False)
    )
    context.replay = anyio.run(replay.run)


@behave.then('at least {percent:d} percent of all requests are served on time')
def then_served(context, percent):
    share = context.replay.on_time_share()
    assert share * 100 >= percent, share


@behave.then('at least {percent:d} percent of those in the worst region')
def then_worst_region(context, percent):
    shares = {
        region: context.replay.on_time_share(
            lambda one, name=region: one.region == name
        )
        for region in load_patterns.LAYOUT
    }
    assert min(shares.values()) * 100 >= percent, shares


@behave.then(
    'at most {percent:d} percent of the admitted requests are late or fail'
)
def then_few_late(context, percent):
    share = context.replay.late_or_failed_share()
    assert share * 100 <= percent, share


@behave.then('each rejection takes at most {seconds:g} seconds')
def then_rejected_fast(context, seconds):
    assert context.replay.max_rejection_seconds() <= seconds


@behave.then('at most {percent:d} percent of the started long responses fail')
def then_responses_complete(context, percent):
    started = [
        one
        for one in context.replay.world.outcomes
        if one.profile == 'long' and (one.error is None or one.first_at)
    ]
    failed = sum(one.error is not None for one in started)
    assert failed * 100 <= percent * len(started), (failed, len(started))


@behave.then(
    '{percent:d} percent of the long responses complete within half of their'
    " callers' timeout"
)
def then_complete_soon(context, percent):
    profiles = {profile.name: profile for profile in load_patterns.PROFILES}
    duration = context.replay.completion_seconds('long', percent)
    assert duration <= profiles['long'].timeout_seconds / 2, duration


def class_shares(replay):
    return {
        profile.name: replay.on_time_share(
            lambda one, name=profile.name: one.profile == name
        )
        for profile in load_patterns.PROFILES
    }


@behave.then(
    'short requests are served on time at most {percent:d} percent less often'
    ' than long ones'
)
def then_urgent_first(context, percent):
    shares = class_shares(context.replay)
    assert shares['short'] >= shares['long'] - percent / 100, shares


@behave.then(
    'no organisation is served more than {percent:d} percent less often than'
    ' a less urgent one'
)
def then_organisations_by_priority(context, percent):
    shares = [
        context.replay.on_time_share(lambda one, key=key: one.key == key)
        for key in load_patterns.KEYS
    ]
    for more, less in zip(shares, shares[1:], strict=False):
        assert more >= less - percent / 100, shares


@behave.then('at most a third of the shared tokens are prefilled again')
def then_few_rereads(context):
    share = context.replay.reread_share()
    assert share <= 1 / 3, share


@behave.then('each class is served at least a quarter as often as all')
def then_not_starved(context):
    shares = class_shares(context.replay)
    min_share = context.replay.on_time_share() / 4
    assert min(shares.values()) >= min_share, shares


@behave.then(
    'at least half of the rejections name a pause of {seconds:g} s or more'
)
def then_retry_pauses(context, seconds):
    pauses = sorted(
        one.error.retry_after
        for one in context.replay.world.outcomes
        if one.error is not None and one.error.retry_after is not None
    )
    assert pauses[len(pauses) // 2] >= seconds, pauses[::100]


@behave.then(
    'in each class the largest tenth is served at least half as often as all'
)
def then_large_prompts_served(context):
    for profile in load_patterns.PROFILES:
        largest, all_sizes = context.replay.served_by_size(profile.name)
        assert largest >= all_sizes / 2, (profile.name, largest, all_sizes)
