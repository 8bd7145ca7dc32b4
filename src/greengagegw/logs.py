"""Writes the log to standard output without holding up the event loop.

Lines wait in a bounded buffer that a thread writes out. What does not fit,
or comes faster than the log's budget, is counted and told later.
"""

import collections
import os
import sys
import threading
import typing

import eliot
import orjson

# A second of a busy entry VM holds some 200 lines; more than this for long
# would cost more processor time than the requests themselves.
LINES_PER_SECOND = 400.0
BURST_LINES = 2000.0
BUFFER_LINES = 4000
FLUSH_SECONDS = 0.25
DROPPED_FIELDS = ('task_uuid', 'task_level')


class Log:
    """A destination of eliot's messages.

    :param descriptor: what is written to.
    :param clock: monotonic seconds, for the budget.
    """

    def __init__(
        self, descriptor: int, clock: typing.Callable[[], float]
    ) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.lines: collections.deque[bytes] = collections.deque()
        self.allowance = BURST_LINES
        self.filled_at = clock()
        self.dropped = 0
        self.written = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name='log', daemon=True
        )

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Takes in a message; never waits."""
        now = self.clock()
        self.allowance = min(
            BURST_LINES,
            self.allowance + (now - self.filled_at) * LINES_PER_SECOND,
        )
        self.filled_at = now
        if self.allowance < 1 or len(self.lines) >= BUFFER_LINES:
            self.dropped += 1
            return
        self.allowance -= 1
        self.lines.append(encode(message))

    def run(self) -> None:
        """Writes lines until it is stopped."""
        while not self.stopped.wait(FLUSH_SECONDS):
            self.flush()
        self.flush()

    def flush(self) -> None:
        """Writes what waits; only the thread may wait for the reader."""
        dropped, self.dropped = self.dropped, 0
        if dropped:
            self.lines.append(
                encode({'message_type': 'log:dropped', 'lines': dropped})
            )
        waiting = []
        while self.lines:
            waiting.append(self.lines.popleft())
        view = memoryview(b''.join(waiting))
        while view:
            view = view[os.write(self.descriptor, view) :]
        self.written += len(waiting)

    def stop(self) -> None:
        """Writes the rest, for as long as a flush may usually take."""
        self.stopped.set()
        self.thread.join(timeout=FLUSH_SECONDS)


def encode(message: dict[str, typing.Any]) -> bytes:
    """Returns a message as one line of JSON."""
    kept = {
        name: value
        for name, value in message.items()
        if name not in DROPPED_FIELDS
    }
    return orjson.dumps(kept, default=str, option=orjson.OPT_APPEND_NEWLINE)


def start(clock: typing.Callable[[], float]) -> Log:
    """Sends eliot's messages to standard output from now on."""
    log = Log(sys.stdout.fileno(), clock)
    eliot.add_destinations(log)
    log.thread.start()
    return log
