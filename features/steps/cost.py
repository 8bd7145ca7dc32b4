"""Steps for the cost of requests and the remaining work of servers."""

import behave
import eliot

from greengagegw.platform import backend_client


@behave.when('a response has the instance load {value}')
def when_load(context, value):
    logged = []
    eliot.add_destinations(logged.append)
    try:
        context.load = backend_client.decode_load(value.encode())
    finally:
        eliot.remove_destination(logged.append)
    context.bad_loads = [
        one for one in logged if one['message_type'] == 'backend:bad_load'
    ]


@behave.then('its load is {load}, and {count} invalid load is logged')
def then_load(context, load, count):
    found = context.load
    if load == 'unknown':
        assert found is None, found
    else:
        *counts, slowdown = load.split()
        reported = (found.running, found.waiting, found.slots)
        assert reported == tuple(map(int, counts)), found
        expected = None if slowdown == 'none' else float(slowdown)
        assert found.slowdown == expected, found
    assert len(context.bad_loads) == (0 if count == 'no' else int(count))
