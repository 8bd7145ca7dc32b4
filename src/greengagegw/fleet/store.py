"""Replicated state of the control group.

It holds the newest configuration document as the operator sent it, and the
set of evacuated failure domains.
"""

import typing
import zlib

import msgpack

PUT = 'put'
EVACUATE = 'evacuate'
READMIT = 'readmit'


def put_command(version: int, document: bytes) -> bytes:
    """Returns the command that stores a configuration."""
    return msgpack.packb([PUT, version, zlib.compress(document)])


def evacuate_command(domain: str, is_evacuated: bool) -> bytes:
    """Returns the command that evacuates or readmits a failure domain."""
    return msgpack.packb([EVACUATE if is_evacuated else READMIT, domain])


class Store:
    """State machine that keeps the highest configuration version.

    :ivar packed: the configuration document, compressed with zlib.
    :ivar changes: number of commands that changed the state.
    """

    def __init__(self) -> None:
        self.version = 0
        self.packed = b''
        self.evacuated: frozenset[str] = frozenset()
        self.changes = 0

    @property
    def document(self) -> bytes:
        """The configuration document, empty if none was stored."""
        return zlib.decompress(self.packed) if self.packed else b''

    def apply(self, content: bytes) -> list:
        """Applies a command, which may be delivered more than once.

        :returns: whether the state changed, and the current version.
        """
        name, *arguments = msgpack.unpackb(content)
        before = (self.version, self.evacuated)
        if name == PUT:
            self.put(*arguments)
        elif name == EVACUATE:
            self.evacuated |= {arguments[0]}
        elif name == READMIT:
            self.evacuated -= {arguments[0]}
        has_changed = before != (self.version, self.evacuated)
        self.changes += has_changed
        return [has_changed, self.version]

    def put(self, version: int, packed: bytes) -> None:
        if version > self.version or not self.packed:
            self.version = version
            self.packed = packed

    def save(self) -> bytes:
        return msgpack.packb(
            [self.version, self.packed, sorted(self.evacuated), self.changes]
        )

    def restore(self, content: bytes) -> None:
        values: typing.Any = msgpack.unpackb(content)
        self.version, self.packed, evacuated, self.changes = values
        self.evacuated = frozenset(evacuated)
