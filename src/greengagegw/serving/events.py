"""Splits a stream of server-sent events into complete events."""

import re

from .. import errors
from .. import streams

LINE_FEEDS = b'\n\n'
# Bytes of the end of an event that may be at the end of the buffer.
MAX_PARTIAL_END_BYTES = 3
# Longer IDs are no numbers of events.
MAX_ID_DIGITS = 18
ID_FIELD = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventSplitter:
    """Buffers an event until it has arrived completely.

    A stream that is resumed on another server would otherwise contain the
    beginning of the interrupted event twice.

    :ivar last_id: ID of the last event that ``feed`` returned.
    :ivar resumed_after: ID after which the stream goes on, until an event
        with an ID has arrived.
    :ivar count: events that ``feed`` returned.
    """

    def __init__(self, last_id: str | None) -> None:
        self.last_id = last_id
        self.resumed_after = last_id
        self.count = 0
        self.buffer = b''

    def feed(self, chunk: bytes) -> bytes:
        """Returns the events that a chunk completes, as bytes.

        :raises BrokenStreamError: if an event exceeds
            :data:`~greengagegw.streams.MAX_EVENT_BYTES`.
        :raises ForeignBytesError: if there is something else than events, or
            the stream is resumed with an event that it had before.
        """
        if (
            not self.buffer
            and chunk.endswith(LINE_FEEDS)
            and b'\r' not in chunk
        ):
            count = chunk.count(LINE_FEEDS)
            if count > 1 or not chunk.startswith(streams.FIRST_FIELDS):
                streams.check_events(chunk)
            self.check_continuation(chunk)
            self.count += count
            self.record_last_id(chunk)
            return chunk
        searched = max(0, len(self.buffer) - MAX_PARTIAL_END_BYTES)
        self.buffer += chunk
        count = end = 0
        for match in streams.EVENT_END.finditer(self.buffer, searched):
            end = match.end()
            count += 1
        complete, self.buffer = self.buffer[:end], self.buffer[end:]
        if complete:
            streams.check_events(complete)
            self.check_continuation(complete)
            self.count += count
            for match in ID_FIELD.finditer(complete):
                self.last_id = match.group(1).decode('latin-1')
        if not complete and len(self.buffer) > streams.MAX_EVENT_BYTES:
            raise errors.BrokenStreamError(
                f'an event of {len(self.buffer)} bytes or more exceeds the'
                f' limit of {streams.MAX_EVENT_BYTES} bytes'
            )
        return complete

    def check_continuation(self, content: bytes) -> None:
        """Checks that a resumed stream goes on after its last event.

        A server that does not know the header that asks for it begins anew.
        The IDs of the platform's events increase; others are not compared.

        :raises ForeignBytesError: if it does not.
        """
        if self.resumed_after is None:
            return
        match = ID_FIELD.search(content)
        if match is None:
            return
        first_id = match.group(1).decode('latin-1')
        if is_decimal(first_id) and is_decimal(self.resumed_after):
            if int(first_id) <= int(self.resumed_after):
                raise errors.ForeignBytesError(
                    f'a stream was resumed after event {self.resumed_after},'
                    f' but went on with event {first_id}'
                )
        self.resumed_after = None

    def record_last_id(self, content: bytes) -> None:
        """Records the last ID of complete events."""
        match = ID_FIELD.match(content, content.rfind(b'\nid:') + 1)
        if match is not None:
            self.last_id = match.group(1).decode('latin-1')

    def begin_rest(self) -> None:
        """Prepares for the rest of the stream from another response.

        The buffered beginning of an interrupted event is discarded.
        """
        self.buffer = b''
        self.resumed_after = self.last_id


def is_decimal(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_ID_DIGITS
