"""Writes the log to standard output without blocking the event loop.

Lines are buffered and written by a thread. Lines that exceed the buffer or
the rate limit, or that cannot be written, as on a full disk, are dropped, and
their number is logged with the next flush.
"""

import collections
import os
import sys
import threading
import time
import typing

import eliot
import orjson

# A busy entry VM logs about 200 lines a second. Sustained logging above this
# limit would take more processor time than the requests themselves.
MAX_LINES_PER_SECOND = 400.0
MAX_BURST_LINES = 2000.0
MAX_BUFFERED_LINES = 4000
FLUSH_INTERVAL_SECONDS = 0.25
OMITTED_FIELDS = ('task_uuid', 'task_level')
LOGGER = eliot.Logger()


def log_message(message_type: str, **fields: typing.Any) -> None:
    """Logs a message that belongs to no action.

    The log of the platform omits the identity of an action, and building it
    takes most of the time of :func:`eliot.log_message`.
    """
    fields['timestamp'] = time.time()
    fields['message_type'] = message_type
    LOGGER.write(fields)


class LogWriter:
    """A destination for eliot's messages with a buffer and a rate limit.

    :param descriptor: the file descriptor to write to.
    :param clock: returns monotonic seconds, for the rate limit.
    :ivar unwritten_lines: lines of failed writes, not logged as dropped yet.
    :ivar write_error: why the last write failed.
    :ivar ends_in_line: whether the last write was cut short.
    """

    def __init__(
        self, descriptor: int, clock: typing.Callable[[], float]
    ) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.lines: collections.deque[bytes] = collections.deque()
        self.available_lines = MAX_BURST_LINES
        self.refilled_at = clock()
        self.dropped_lines = 0
        self.unwritten_lines = 0
        self.write_error = ''
        self.ends_in_line = False
        self.written_lines = 0
        self.stop_requested = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name='log', daemon=True
        )

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Buffers a message or drops it; never blocks."""
        now = self.clock()
        self.available_lines = min(
            MAX_BURST_LINES,
            self.available_lines
            + (now - self.refilled_at) * MAX_LINES_PER_SECOND,
        )
        self.refilled_at = now
        if self.available_lines < 1 or len(self.lines) >= MAX_BUFFERED_LINES:
            self.dropped_lines += 1
            return
        self.available_lines -= 1
        self.lines.append(encode(message))

    def run(self) -> None:
        """Flushes the buffer at intervals until :meth:`stop` is called."""
        while not self.stop_requested.wait(FLUSH_INTERVAL_SECONDS):
            self.flush()
        self.flush()

    def flush(self) -> None:
        """Writes the buffered lines.

        Only the writer thread may call it, since it blocks while the reader
        of the descriptor is slow.
        """
        dropped, self.dropped_lines = self.dropped_lines, 0
        pending = []
        while self.lines:
            pending.append(self.lines.popleft())
        summary = {'message_type': 'log:dropped', 'lines': dropped}
        if self.unwritten_lines:
            summary['lines'] += self.unwritten_lines
            summary['reason'] = self.write_error
        content = b''.join(pending)
        if summary['lines']:
            content = encode(summary) + content
        if content and self.ends_in_line:
            content = b'\n' + content
        try:
            self.write(content)
        except OSError as error:
            # Logged with the next flush that succeeds.
            self.write_error = str(error)
            self.unwritten_lines += dropped + len(pending)
            return
        self.unwritten_lines = 0
        self.written_lines += len(pending)

    def write(self, content: bytes) -> None:
        """Writes whole lines.

        :raises OSError: if the descriptor takes no bytes.
        """
        view = memoryview(content)
        while view:
            view = view[os.write(self.descriptor, view) :]
            self.ends_in_line = bool(view)

    def stop(self) -> None:
        """Waits for a last flush, at most :data:`FLUSH_INTERVAL_SECONDS`."""
        self.stop_requested.set()
        self.thread.join(timeout=FLUSH_INTERVAL_SECONDS)


def encode(message: dict[str, typing.Any]) -> bytes:
    """Returns a message as a line of JSON, without the omitted fields."""
    if 'task_uuid' in message:
        message = {
            name: value
            for name, value in message.items()
            if name not in OMITTED_FIELDS
        }
    return orjson.dumps(message, default=str, option=orjson.OPT_APPEND_NEWLINE)


def start_logging(clock: typing.Callable[[], float]) -> LogWriter:
    """Starts to write eliot's messages to standard output."""
    writer = LogWriter(sys.stdout.fileno(), clock)
    eliot.add_destinations(writer)
    writer.thread.start()
    return writer
