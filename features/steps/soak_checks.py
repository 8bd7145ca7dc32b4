"""Steps for the checks and schedules of the soak."""

import random

import behave

from soak import checks
from soak import faults
from soak import record as records

END = 60.0


def request(status=200, is_own=True, kind='safe', attempt='r', at=30.0):
    return records.Request(
        attempt, 'front', kind, at, at + 0.1, status, is_own
    )


def run(at=30.0, attempt='r'):
    return records.Run(attempt, 'server', 'piedmont-a', at)


def order(name, subject, at, acknowledged_at=None):
    return records.Order(name, subject, at, acknowledged_at, END)


def read(version, at, has_sent_content=True):
    return records.Read('core', at, version, has_sent_content)


def evacuated(*runs, until=END):
    return [
        order('evacuate', 'piedmont-a', 20.0, 20.2),
        order('readmit', 'piedmont-a', until, until + 0.2),
        *runs,
    ]


def unanswered():
    return [read(None, 30.0 + number) for number in range(7)]


def unserved():
    return [
        records.Disturbance('kill', 10.0, 12.0),
        *(request(503, False, at=25.0 + n / 10) for n in range(40)),
    ]


PLANTED = {
    'a success with the response to another request': lambda: [
        request(is_own=False)
    ],
    'an unsafe request that ran twice': lambda: [
        request(kind='unsafe'),
        run(),
        run(),
    ],
    'a safe request that ran twice': lambda: [request(), run(), run()],
    'an unsafe request that ran and was answered 503': lambda: [
        request(503, False, 'unsafe'),
        run(),
    ],
    'a read that is older than what was acknowledged': lambda: [
        order('put', '5', 20.0, 20.2),
        read(4, 23.3),
    ],
    'a read with other content than was sent': lambda: [
        order('put', '5', 20.0, 20.2),
        read(5, 23.3, False),
    ],
    'no answer to any read for 6 s in calm times': unanswered,
    'no answer to any read for 6 s beside a fault': lambda: [
        records.Disturbance('kill', 27.0, 32.0),
        *unanswered(),
    ],
    'a route that was added is not served': lambda: ['404 for a route'],
    'an order without an acknowledgement in calm times': lambda: [
        order('put', '5', 30.0, 36.1)
    ],
    'an order without an acknowledgement beside a fault': lambda: [
        records.Disturbance('kill', 27.0, 32.0),
        order('put', '5', 30.0, 36.1),
    ],
    'a run in an evacuated failure domain': lambda: evacuated(run(25.3)),
    'a run in an evacuated failure domain within 5 s': lambda: evacuated(
        run(25.1)
    ),
    'a run in an evacuated failure domain after its readmission': lambda: (
        evacuated(run(31.0), until=30.0)
    ),
    'no request served 13 s after a fault': unserved,
}


@behave.given('the record of a soak')
def make_record(context):
    context.record = records.Record()
    context.record.now = lambda: END


@behave.when('this is planted: {planted}')
def plant(context, planted):
    record = context.record
    if planted == 'a process that ended by itself':
        record.own_ends.append('front ended')
        return
    lists = {
        records.Request: record.requests,
        records.Run: record.runs,
        records.Order: record.orders,
        records.Read: record.reads,
        records.Disturbance: record.disturbances,
        str: record.wrong_routes,
    }
    for one in PLANTED[planted]():
        lists[type(one)].append(one)


@behave.then('the checks find nothing')
def check_nothing(context):
    found = checks.check(context.record)
    assert not found, found


@behave.then('the checks find {rule} and nothing else')
def check_found(context, rule):
    found = checks.check(context.record)
    assert found and all(one.startswith(f'{rule}:') for one in found), found


@behave.then(
    'the rounds of {count:d} seeds are drawn twice alike and lose at most two'
    ' disks'
)
def check_schedules(context, count):
    for seed in range(count):
        schedules = [faults.draw_round(random.Random(seed)) for _ in range(2)]
        assert schedules[0] == schedules[1], seed
        lost = [
            one.target
            for one in schedules[0]
            if one.kind in faults.DISK_LOSS_KINDS
        ]
        assert len(lost) <= 2 and len(set(lost)) == len(lost), schedules[0]
