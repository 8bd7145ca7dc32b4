"""Splits a stream of server-sent events into whole events."""

import re

EVENT_END = re.compile(rb'\r?\n\r?\n')
ID_FIELD = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventSplitter:
    """Holds back an event until all of it has arrived.

    A stream that goes on at another server must not hold the first half of
    an event twice.

    :ivar last_id: of the last event that was given out.
    """

    def __init__(self, last_id: str | None) -> None:
        self.last_id = last_id
        self.buffer = b''

    def feed(self, chunk: bytes) -> bytes:
        """Returns the whole events that a chunk completes."""
        self.buffer += chunk
        end = 0
        for match in EVENT_END.finditer(self.buffer):
            end = match.end()
        complete, self.buffer = self.buffer[:end], self.buffer[end:]
        for match in ID_FIELD.finditer(complete):
            self.last_id = match.group(1).decode('latin-1')
        return complete

    def discard_partial_event(self) -> None:
        """Forgets an event that broke off."""
        self.buffer = b''
