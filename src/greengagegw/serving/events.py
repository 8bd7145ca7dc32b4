"""Splits a stream of server-sent events into complete events."""

import re

EVENT_END = re.compile(rb'\r?\n\r?\n')
ID_FIELD = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventSplitter:
    """Buffers an event until it has arrived completely.

    A stream that is resumed on another server would otherwise contain the
    beginning of the interrupted event twice.

    :ivar last_id: ID of the last event that ``feed`` returned.
    :ivar count: events that ``feed`` returned.
    """

    def __init__(self, last_id: str | None) -> None:
        self.last_id = last_id
        self.count = 0
        self.buffer = b''

    def feed(self, chunk: bytes) -> bytes:
        """Returns the events that a chunk completes, as bytes."""
        self.buffer += chunk
        end = 0
        for match in EVENT_END.finditer(self.buffer):
            end = match.end()
            self.count += 1
        complete, self.buffer = self.buffer[:end], self.buffer[end:]
        for match in ID_FIELD.finditer(complete):
            self.last_id = match.group(1).decode('latin-1')
        return complete

    def discard_partial_event(self) -> None:
        """Discards the buffered beginning of an interrupted event."""
        self.buffer = b''
