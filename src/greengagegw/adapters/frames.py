"""Frames of a peer connection: a length, then a msgpack list."""

import dataclasses
import enum
import struct
import typing

import anyio
import anyio.abc
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


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
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
        kind = Kind(kind)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
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


class FrameReader:
    """Reads frames from a byte stream.

    :param max_body_bytes: maximal size of a body, which is checked before
        any of the body is buffered.
    """

    def __init__(
        self, stream: anyio.abc.ByteStream, max_body_bytes: int
    ) -> None:
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
        await self.fill_buffer(LENGTH_PREFIX.size)
        (length,) = LENGTH_PREFIX.unpack_from(self.buffer)
        if length > self.max_body_bytes:
            raise errors.FrameTooLargeError(
                f'a frame of {length} bytes is over the limit of '
                f'{self.max_body_bytes} bytes'
            )
        await self.fill_buffer(LENGTH_PREFIX.size + length)
        body = bytes(
            self.buffer[LENGTH_PREFIX.size : LENGTH_PREFIX.size + length]
        )
        del self.buffer[: LENGTH_PREFIX.size + length]
        return decode(body)

    async def fill_buffer(self, size: int) -> None:
        while len(self.buffer) < size:
            chunk = await self.stream.receive(READ_BYTES)
            self.bytes_read += len(chunk)
            self.buffer += chunk
