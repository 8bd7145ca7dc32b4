"""Frames of a peer connection: a length, then a msgpack list."""

import enum
import struct
import typing

import msgpack

from .. import errors

PROTOCOL_VERSION = 2
LENGTH_PREFIX = struct.Struct('>I')
READ_BYTES = 65536


class Kind(enum.IntEnum):
    """The type of a frame, its first value on the wire."""

    HELLO = 0
    CHALLENGE = 1
    PROOF = 2
    CALL = 3
    REPLY = 4
    OPEN = 5
    DATA = 6
    END = 7
    RESET = 8
    CREDIT = 9
    PING = 10
    PONG = 11


# The types of the values that follow the kind in a frame. The handshake checks
# the versions and names that it receives.
VALUE_TYPES: dict[Kind, tuple[type, ...]] = {
    Kind.HELLO: (object, object, str, bytes),
    Kind.CHALLENGE: (object, object, bytes, bytes),
    Kind.PROOF: (bytes,),
    Kind.CALL: (int, str, object),
    Kind.REPLY: (int, bool, object),
    Kind.OPEN: (int, str, object),
    Kind.DATA: (int, bytes),
    Kind.END: (int,),
    Kind.RESET: (int, dict),
    Kind.CREDIT: (int, int),
    Kind.PING: (),
    Kind.PONG: (),
}


KINDS = {int(kind): kind for kind in Kind}


class Frame(typing.NamedTuple):
    """A frame.

    :ivar values: of the types that :data:`VALUE_TYPES` has for the kind.
    """

    kind: Kind
    values: tuple


def encode(kind: Kind, *values: typing.Any) -> bytes:
    """Returns a frame as bytes, with its length."""
    body = msgpack.packb((kind, *values), use_bin_type=True)
    return LENGTH_PREFIX.pack(len(body)) + body


def decode(body: bytes) -> Frame:
    """Returns the frame that a body contains.

    :param body: a frame's bytes after the length.
    :raises PeerProtocolError: if the body is not a valid frame.
    """
    try:
        kind, *values = msgpack.unpackb(body, raw=False, use_list=True)
        kind = KINDS[kind]
    except (
        ValueError,
        TypeError,
        KeyError,
        msgpack.UnpackException,
    ) as error:
        raise errors.PeerProtocolError(
            'a frame is not a msgpack list with a known kind'
        ) from error
    types = VALUE_TYPES[kind]
    if len(values) != len(types):
        raise errors.PeerProtocolError(
            f'a {kind.name} frame has {len(values)} values '
            f'instead of {len(types)}'
        )
    for value, expected in zip(values, types, strict=True):
        if not isinstance(value, expected):
            raise errors.PeerProtocolError(
                f'a {kind.name} frame has a {type(value).__name__} '
                f'instead of a {expected.__name__}'
            )
    return Frame(kind, tuple(values))


class ByteStream(typing.Protocol):
    """The connection of a :class:`FrameReader`."""

    async def receive(self, max_bytes: int) -> bytes:
        """Returns received bytes, at least one.

        :raises anyio.EndOfStream: if the stream ended.
        """


class FrameReader:
    """Splits received bytes into frames.

    :param stream: that :meth:`receive` reads.
    :param max_body_bytes: maximal size of a body, which is checked before
        any of the body is buffered.
    """

    def __init__(self, stream: ByteStream, max_body_bytes: int) -> None:
        self.stream = stream
        self.max_body_bytes = max_body_bytes
        self.buffer = bytearray()
        self.bytes_read = 0

    async def receive(self) -> Frame:
        """Returns the next frame.

        :raises anyio.EndOfStream: if the stream ended.
        :raises FrameTooLargeError: if the length is over the limit.
        :raises PeerProtocolError: if the bytes are not a valid frame.
        """
        while (frame := self.next_frame()) is None:
            self.append(await self.stream.receive(READ_BYTES))
        return frame

    def append(self, data: bytes) -> None:
        """Adds received bytes."""
        self.bytes_read += len(data)
        self.buffer += data

    def next_frame(self) -> Frame | None:
        """Returns the next frame, or None if it has not arrived completely.

        :raises FrameTooLargeError: if the length is over the limit.
        :raises PeerProtocolError: if the bytes are not a valid frame.
        """
        buffer = self.buffer
        if len(buffer) < LENGTH_PREFIX.size:
            return None
        (length,) = LENGTH_PREFIX.unpack_from(buffer)
        if length > self.max_body_bytes:
            raise errors.FrameTooLargeError(
                f'a frame of {length} bytes is over the limit of '
                f'{self.max_body_bytes} bytes'
            )
        end = LENGTH_PREFIX.size + length
        if len(buffer) < end:
            return None
        body = bytes(buffer[LENGTH_PREFIX.size : end])
        del buffer[:end]
        return decode(body)
