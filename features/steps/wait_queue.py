"""Steps for the queue of requests that wait for capacity."""

import types

import anyio
import behave

from features import load_patterns
from greengagegw.serving import wait_queue

OBJECTIVE = 0.8


@behave.given('a queue of an overloaded service')
def given_queue(context):
    context.queue = wait_queue.WaitQueue()


def make(rank, is_beyond=False, now=0.0):
    return wait_queue.make_waiting(rank, is_beyond, 0, OBJECTIVE, now)


def parse(text):
    for one in text.split(', '):
        rank, _, share = one.partition(' ')
        if rank == 'promised':
            yield one, wait_queue.PROMISED, False
        else:
            yield one, int(rank), share == 'beyond'


@behave.when('requests wait with the ranks and shares: {requests}')
def when_wait(context, requests):
    context.names = {}
    for name, rank, is_beyond in parse(requests):
        waiting = make(rank, is_beyond)
        context.names[waiting.order] = name
        assert context.queue.decide(waiting, 0.01, 0.001, 0.0) == 'wait'


@behave.then('they are admitted in the order: {names}')
def then_order(context, names):
    admitted = []
    while context.queue.entries:
        for one in reversed(context.queue.entries):
            if context.queue.decide(one, 0.0, 0.001, 0.01) == 'admit':
                admitted.append(context.names[one.order])
                context.queue.remove(one, True, 0.01)
                break
    assert admitted == names.split(', '), admitted


@behave.then(
    'an equally urgent request that arrives when a place is free waits'
)
def then_waits(context):
    assert context.queue.decide(make(0), 0.0, 0.001, 0.01) == 'wait'


@behave.then('a promised return is admitted')
def then_return_admitted(context):
    promised = make(wait_queue.PROMISED)
    assert context.queue.decide(promised, 0.0, 0.001, 0.01) == 'admit'


@behave.when(
    'a request with an objective of 0.8 s is predicted to be admitted in'
    ' {seconds:g} s'
)
def when_predicted(context, seconds):
    context.waiting = make(0)
    context.turn = context.queue.decide(context.waiting, seconds, 0.01, 0.0)


@behave.when('{later:g} s later in {seconds:g} s')
def when_later(context, later, seconds):
    assert context.turn == 'wait'
    context.turn = context.queue.decide(context.waiting, seconds, 0.01, later)


@behave.then('it is told to {turn}')
def then_turn(context, turn):
    assert context.turn == turn, context.turn


@behave.when('{count:d} requests with ranks from 39 to 0 wait')
def when_many_wait(context, count):
    context.all = [make(rank) for rank in range(count - 1, -1, -1)]
    for one in context.all:
        context.queue.decide(one, 0.01, 0.0, 0.0)


@behave.then('32 wait, and those with the ranks 32 to 39 are told to reject')
def then_bounded(context):
    waiting = [one.order[0] for one in context.queue.entries]
    assert waiting == list(range(32)), waiting
    for one in context.all:
        if one.order[0] >= 32:
            assert one.turn.is_set()
            assert context.queue.decide(one, 0.01, 0.0, 0.01) == 'reject'


def queues(world):
    return [
        competing.queue
        for one in world.dispatchers.values()
        for competing in one.planner.competitions.values()
    ]


@behave.when('all clients that wait during an overload disconnect')
def when_disconnect(context):
    pattern = load_patterns.PATTERNS['a lasting load of twice the capacity']
    context.replay = replay = load_patterns.Replay(pattern, 4.0)
    world = replay.world
    world.set_divides_capacity(True)
    context.disconnected = set()
    scopes = {}
    send = world.send_request

    async def send_until_disconnected(vm, request, *arguments):
        with anyio.CancelScope() as scopes[request.request_id]:
            return await send(vm, request, *arguments)
        return types.SimpleNamespace(error=None)

    def disconnect_when_waiting(planner):
        plan = planner.plan_regions

        def plan_regions(job, allowed, waiting=None):
            regions = plan(job, allowed, waiting)
            if regions is None:
                context.disconnected.add(job.request.request_id)
                scopes[job.request.request_id].cancel()
            return regions

        planner.plan_regions = plan_regions

    world.send_request = send_until_disconnected
    for one in world.dispatchers.values():
        disconnect_when_waiting(one.planner)
    anyio.run(replay.run)


@behave.then('no request waits')
def then_none_waits(context):
    assert context.disconnected
    assert not any(one.entries for one in queues(context.replay.world))


@behave.then('no request of those clients was sent to a server')
def then_none_sent(context):
    sent = {
        backend_request.request.request_id
        for engine in context.replay.world.engines.values()
        for _, backend_request in engine.arrivals
    }
    assert not sent & context.disconnected


@behave.then('some requests were admitted after a wait')
def then_some_admitted(context):
    admitted = sum(one.admitted_count for one in queues(context.replay.world))
    assert admitted > 0
