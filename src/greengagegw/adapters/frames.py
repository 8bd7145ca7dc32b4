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


# The number of values that follow the kind in a frame.
VALUE_COUNTS = {
    Kind.HELLO: 4,
    Kind.CHALLENGE: 4,
    Kind.PROOF: 1,
    Kind.CALL: 3,
    Kind.REPLY: 3,
    Kind.OPEN: 3,
    Kind.DATA: 2,
    Kind.END: 1,
    Kind.RESET: 2,
    Kind.CREDIT: 2,
    Kind.PING: 0,
    Kind.PONG: 0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A frame.

    :ivar values: as many items as :data:`VALUE_COUNTS` has for the kind.
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
    if len(values) != VALUE_COUNTS[kind]:
        raise errors.PeerProtocolError(
            f'a {kind.name} frame has {len(values)} values '
            f'instead of {VALUE_COUNTS[kind]}'
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
