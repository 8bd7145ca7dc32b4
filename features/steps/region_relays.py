"""Steps for the relays of backlogs in simulated regions."""

import behave

from features import region_world

SETTLE_SECONDS = 3.0
# Messages and frames of an entry VM a second that do not depend on the size
# of its region: polls, heartbeats, and their replies.
OTHER_FRAMES_PER_SECOND = 6.0
# A PING and a PONG on a connection without other frames.
HEARTBEAT_FRAMES_PER_SECOND = 2.0


@behave.given('a region of {count:d} VMs with requests')
def given_region(context, count):
    context.region = region_world.RegionWorld(count)
    context.region.run(SETTLE_SECONDS)
    context.excluded = ()


@behave.then(
    'all know the backlogs of the others, at most {age:g} seconds old, '
    'for {seconds:g} seconds'
)
def then_known(context, age, seconds):
    region = context.region
    context.seconds = seconds
    for counter in (region.sent, region.received, region.links):
        counter.clear()
    worst = region.watch(seconds, context.excluded)
    assert worst[0] <= age, worst


@behave.then('no VM exchanges messages with more than {count:d} others')
def then_peers(context, count):
    most = max(len(one) for one in context.region.links.values())
    assert most <= count, most


@behave.then('no VM sends more than {count:d} messages a second')
def then_messages(context, count):
    most = max(context.region.sent.values()) / context.seconds
    assert most <= count, most


@behave.when('the busiest relay is killed')
def when_killed(context):
    context.relay = context.region.busiest_relay(0)
    context.region.kill(context.relay)


@behave.when('the busiest relay is frozen for {seconds:g} s')
def when_frozen(context, seconds):
    region = context.region
    relay = region.busiest_relay(0)
    region.freeze(relay, seconds)
    # Its own total is old until it has received the next one.
    context.excluded = (relay,)


@behave.when('the busiest relay is not heard')
def when_not_heard(context):
    cut(context, lambda relay, other: (relay, other))


@behave.when('the busiest relay hears nothing')
def when_deaf(context):
    cut(context, lambda relay, other: (other, relay))


def cut(context, make_link):
    """Cuts the links of the busiest relay in one direction."""
    region = context.region
    relay = region.busiest_relay(0)
    region.lost_links |= {make_link(relay, other) for other in region.nodes}
    context.excluded = (relay,)


@behave.when('the busiest relay is not heard by relays')
def when_not_heard_by_relays(context):
    region = context.region
    relay = region.busiest_relay(0)
    for other in region.nodes[relay].relay_names[0]:
        region.lost_links.add((relay, other))


@behave.when('its VMs are restarted {batch:d} at a time')
def when_restarted(context, batch):
    context.restart_seconds = context.region.restart_all(batch)


@behave.then(
    'all know the backlogs of the others, at most {age:g} seconds old, '
    'meanwhile'
)
def then_known_meanwhile(context, age):
    then_known(context, age, context.restart_seconds)


@behave.when('{seconds:g} seconds pass in the region')
def when_pass(context, seconds):
    context.region.run(seconds)


@behave.then('no VM knows a backlog of it')
def then_removed(context):
    region = context.region
    for vm in region.nodes:
        assert f's-{context.relay}' not in region.known_by(vm), vm


@behave.given('an idle region of {count:d} VMs')
def given_idle_region(context, count):
    context.region = region_world.RegionWorld(count, is_busy=False)
    context.region.run(SETTLE_SECONDS)
    context.excluded = ()
    assert not context.region.sent


@behave.when('one VM has requests')
def when_one_busy(context):
    context.region.begin_requests(['v3'])


@behave.when('all VMs have requests')
def when_all_busy(context):
    context.region.begin_requests(list(context.region.nodes))


@behave.when('no VM has requests')
def when_none_busy(context):
    context.region.busy_vms.clear()


@behave.then('all others know its backlog')
def then_others_know(context):
    region = context.region
    for vm in region.nodes:
        assert vm == 'v3' or 's-v3' in region.known_by(vm), vm


@behave.then('no VM sends a message for {seconds:g} seconds')
def then_quiet(context, seconds):
    context.region.sent.clear()
    context.region.run(seconds)
    assert not context.region.sent, context.region.sent


@behave.given('an idle region of {small:d} and one of {large:d} VMs')
def given_idle(context, small, large):
    context.frames = []
    for count in (small, large):
        region = region_world.RegionWorld(count, is_busy=False)
        region.run(20.0)
        for counter in (region.sent, region.received, region.links):
            counter.clear()
        region.run(40.0)
        context.frames.append(
            sorted(
                OTHER_FRAMES_PER_SECOND
                + (region.sent[vm] + region.received[vm]) / 40.0
                + HEARTBEAT_FRAMES_PER_SECOND * len(region.links[vm])
                for vm in region.nodes
            )
        )


@behave.then(
    'the mean VM of the larger one sends and receives at most twice as many '
    'frames'
)
def then_mean_idle_frames(context):
    small, large = (sum(one) / len(one) for one in context.frames)
    assert large <= 2 * small, (small, large)


@behave.then(
    'the busiest VM of the larger one sends and receives at most twice as '
    'many frames'
)
def then_most_idle_frames(context):
    small, large = (one[-1] for one in context.frames)
    assert large <= 2 * small, (small, large)
