"""Checks and accounts for the answers of engines as they pass."""

import orjson

from . import errors

END_MARK = b'data: [DONE]'
EVENT_END = b'\n\n'
USAGE = b'"usage"'
EMPTY_USAGES = (b'"usage":null', b'"usage": null')
LONGEST_EVENT_BYTES = 1024 * 1024


class EventStreamFilter:
    """Follows a stream of server-sent events without parsing each event.

    Only whole events pass, so that an error event can follow any of them.
    The usage at the end is read and, if the caller did not ask for it,
    taken out.

    :ivar tokens: tokens used as the engine reported them, or None.
    :ivar is_whole: whether the end mark has passed.
    :ivar size: bytes taken in.
    """

    def __init__(self, removes_usage: bool) -> None:
        self.removes_usage = removes_usage
        self.tokens: int | None = None
        self.is_complete = False
        self.bytes_received = 0
        self.held = b''

    def feed(self, chunk: bytes) -> bytes:
        """Takes in a chunk and returns the events that are whole now.

        :raises BrokenStreamError: if an event is too long to be one.
        """
        self.bytes_received += len(chunk)
        content = self.held + chunk if self.held else chunk
        if b'\r' in content:
            content = content.replace(b'\r\n', b'\n')
        end = content.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self.held = content
            if len(content) > LONGEST_EVENT_BYTES:
                raise errors.BrokenStreamError('an event without an end')
            return b''
        self.held = content[end:]
        events = content[:end] if self.held else content
        if END_MARK in events:
            self.is_complete = True
        if USAGE in events and has_usage(events):
            return self.take_usage(events)
        return events

    def take_usage(self, events: bytes) -> bytes:
        """Reads the usage, and returns the events that are passed."""
        kept = [
            event
            for event in events.split(EVENT_END)[:-1]
            if self.keeps(event)
        ]
        return b''.join(event + EVENT_END for event in kept)

    def keeps(self, event: bytes) -> bool:
        """Reads the usage of an event, and tells whether it is passed."""
        if USAGE not in event:
            return True
        content = read_event(event)
        tokens = read_usage(content)
        if tokens is None:
            return True
        self.tokens = tokens
        has_choices = bool(content.get('choices'))
        return has_choices or not self.removes_usage


def has_usage(events: bytes) -> bool:
    """Returns whether any usage in the events is not null."""
    empty = sum(events.count(one) for one in EMPTY_USAGES)
    return events.count(USAGE) > empty


def read_event(event: bytes) -> dict:
    """Returns the JSON object of an event, or an empty one."""
    _, _, data = event.partition(b'data:')
    try:
        content = orjson.loads(data)
    except orjson.JSONDecodeError:
        return {}
    return content if isinstance(content, dict) else {}


def read_usage(content: dict) -> int | None:
    """Returns the tokens that an answer says it used."""
    usage = content.get('usage')
    total = usage.get('total_tokens') if isinstance(usage, dict) else None
    return total if isinstance(total, int) and total >= 0 else None


def read_body_usage(body: bytes) -> int | None:
    """Returns the tokens that a plain answer says it used.

    :raises BrokenStreamError: if the answer is not a whole JSON object.
    """
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise errors.BrokenStreamError('the answer is not whole') from error
    return read_usage(content) if isinstance(content, dict) else None
