"""Steps for the log of a process."""

import errno
import os
import tempfile
import time

import behave
import orjson

from greengagegw import logs


def start_log(context, write):
    """Starts a log whose writes go through ``write``."""
    context.file = tempfile.TemporaryFile()
    context.add_cleanup(context.file.close)
    context.write = write
    context.logged = 0
    system_write = os.write

    def write_log(descriptor, content):
        if descriptor == context.file.fileno():
            return context.write(system_write, descriptor, content)
        return system_write(descriptor, content)

    os.write = write_log
    context.add_cleanup(setattr, os, 'write', system_write)
    context.writer = logs.LogWriter(context.file.fileno(), time.monotonic)


def fail_write(*_):
    raise OSError(errno.ENOSPC, 'No space left on device')


@behave.given('a log on a full disk')
def given_full_disk(context):
    start_log(context, fail_write)


@behave.given('a log whose next write is cut short after {count:d} bytes')
def given_short_write(context, count):
    def write_part(system_write, descriptor, content):
        context.write = fail_write
        return system_write(descriptor, content[:count])

    start_log(context, write_part)


@behave.when('{count:d} messages are logged')
@behave.when('{count:d} message is logged')
def when_logged(context, count):
    for _ in range(count):
        context.logged += 1
        context.writer(
            {'message_type': 'test:message', 'number': context.logged}
        )
    context.writer.flush()


@behave.when('the disk takes bytes again and {count:d} messages are logged')
def when_logged_again(context, count):
    context.write = lambda system_write, *arguments: system_write(*arguments)
    when_logged(context, count)


def read_messages(context):
    """Returns the whole lines of the log."""
    messages = []
    for line in os.pread(context.file.fileno(), 65536, 0).splitlines():
        try:
            messages.append(orjson.loads(line))
        except orjson.JSONDecodeError:
            continue
    return messages


@behave.then(
    'the log says that {count:d} lines were dropped since there was no space'
)
@behave.then(
    'the log says that {count:d} line was dropped since there was no space'
)
def then_dropped(context, count):
    dropped = [
        (one['lines'], one['reason'])
        for one in read_messages(context)
        if one['message_type'] == 'log:dropped'
    ]
    assert len(dropped) == 1, dropped
    assert dropped[0][0] == count and 'No space' in dropped[0][1], dropped


@behave.then('the log has the last {count:d} messages')
def then_has_last(context, count):
    numbers = [
        one['number']
        for one in read_messages(context)
        if one['message_type'] == 'test:message'
    ]
    first = context.logged - count + 1
    assert numbers == list(range(first, context.logged + 1)), numbers
