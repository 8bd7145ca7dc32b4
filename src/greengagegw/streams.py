"""Reads responses, and the token usage of engines while they are forwarded."""

import collections.abc
import re
import reprlib

import eliot
import orjson

from . import errors

END_MARKER = b'data: [DONE]'
EVENT_SEPARATOR = b'\n\n'
USAGE_FIELD = b'"usage"'
NULL_USAGE_FIELDS = (b'"usage":null', b'"usage": null')
# Far above the length of any context.
MAX_TOKENS = 1_000_000_000
MAX_EVENT_BYTES = 1024 * 1024
# Fields of an event, and its comments; servers may add fields of their own.
EVENT_FIELD = re.compile(
    rb'^(?::|(?:data|event|id|retry)(?:[:\r\n]|\Z))', re.MULTILINE
)
FIRST_FIELDS = (b'id:', b'data:', b'event:', b'retry:', b':')
EVENT_END = re.compile(rb'\r?\n\r?\n')
MAX_LOGGED_BYTES = 100
MAX_BUFFERED_BYTES = 16 * 1024 * 1024


class EventStreamFilter:
    """Forwards complete server-sent events and reads the usage.

    Only events that may contain the usage are parsed. Partial events are
    buffered, so that an error event can be sent after any forwarded one.
    The usage event is dropped if the client did not ask for it.

    :ivar tokens: tokens used as the engine reported them, or None.
    :ivar is_complete: whether the end marker was seen.
    :ivar bytes_received: bytes received from the engine.
    """

    def __init__(self, removes_usage: bool) -> None:
        self.removes_usage = removes_usage
        self.tokens: int | None = None
        self.is_complete = False
        self.bytes_received = 0
        self.partial_event = b''

    def feed(self, chunk: bytes) -> bytes:
        """Returns the events that a chunk completes, for forwarding.

        :raises BrokenStreamError: if an event exceeds
            :data:`MAX_EVENT_BYTES`.
        :raises ForeignBytesError: if there is something else than events.
        """
        self.bytes_received += len(chunk)
        content = self.partial_event + chunk if self.partial_event else chunk
        if b'\r' in content:
            content = content.replace(b'\r\n', b'\n')
        end = content.rfind(EVENT_SEPARATOR) + len(EVENT_SEPARATOR)
        if end < len(EVENT_SEPARATOR):
            self.partial_event = content
            if len(content) > MAX_EVENT_BYTES:
                raise errors.BrokenStreamError(
                    'an event exceeds the maximum size'
                )
            return b''
        self.partial_event = content[end:]
        events = content[:end] if self.partial_event else content
        check_events(events)
        # The text of an event may contain the marker as well.
        if END_MARKER in events:
            self.is_complete = END_MARKER in events.split(EVENT_SEPARATOR)
        if USAGE_FIELD in events and has_usage(events):
            return self.filter_usage(events)
        return events

    def filter_usage(self, events: bytes) -> bytes:
        """Reads the usage and returns the events to forward."""
        forwarded = [
            event
            for event in events.split(EVENT_SEPARATOR)[:-1]
            if self.should_forward(event)
        ]
        return b''.join(event + EVENT_SEPARATOR for event in forwarded)

    def should_forward(self, event: bytes) -> bool:
        """Reads the usage of an event and returns whether to forward it."""
        if USAGE_FIELD not in event:
            return True
        content = read_event(event)
        tokens = read_usage(content)
        if tokens is None:
            return True
        self.tokens = tokens
        has_choices = bool(content.get('choices'))
        return has_choices or not self.removes_usage


def check_events(events: bytes) -> None:
    """Checks that complete paragraphs of a stream are events.

    A server that fails in the middle of a response without a length may send
    the head of an error response behind its events.

    :raises ForeignBytesError: if one has no field of an event.
    """
    for event in EVENT_END.split(events):
        if event.startswith(FIRST_FIELDS) or not event.strip():
            continue
        if EVENT_FIELD.search(event) is None:
            eliot.log_message(
                'backend:foreign_bytes', content=repr(event[:MAX_LOGGED_BYTES])
            )
            raise errors.ForeignBytesError(
                f'{len(event)} bytes in a stream are no event'
            )


def has_usage(events: bytes) -> bool:
    """Returns whether any usage in the events is not null."""
    null_count = sum(events.count(field) for field in NULL_USAGE_FIELDS)
    return events.count(USAGE_FIELD) > null_count


def read_event(event: bytes) -> dict:
    """Returns the JSON object of an event, or an empty dict."""
    _, _, data = event.partition(b'data:')
    try:
        content = orjson.loads(data)
    except orjson.JSONDecodeError:
        return {}
    return content if isinstance(content, dict) else {}


def read_usage(content: dict) -> int | None:
    """Returns the total tokens that a response reports, or None.

    A number out of range, which would be charged to the organisation, counts
    as missing.
    """
    usage = content.get('usage')
    total = usage.get('total_tokens') if isinstance(usage, dict) else None
    if total is None:
        return None
    if type(total) is not int or not 0 <= total <= MAX_TOKENS:
        eliot.log_message('backend:bad_usage', value=reprlib.repr(total))
        return None
    return total


def read_body_usage(body: bytes) -> int | None:
    """Returns the total tokens that a response body reports, or None.

    :raises BrokenStreamError: if the body is not valid JSON.
    """
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise errors.BrokenStreamError(
            'the response body is not valid JSON'
        ) from error
    return read_usage(content) if isinstance(content, dict) else None


async def read_body(
    chunks: collections.abc.AsyncIterator[bytes],
    count_memory: collections.abc.Callable[[int], bool] | None = None,
) -> bytes:
    """Returns a whole body.

    :param count_memory: counts bytes that are kept, and returns whether
        there is room for them.
    :raises BackendError: if it breaks off or is too large to buffer.
    """
    parts = []
    size = 0
    async for chunk in chunks:
        parts.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BYTES:
            raise errors.BackendError(
                f'the response exceeds {MAX_BUFFERED_BYTES} bytes'
            )
        if count_memory is not None and not count_memory(len(chunk)):
            raise errors.BackendError(
                f'there is no memory for a response over {size} bytes'
            )
    return b''.join(parts)
