"""The replicated state of the control group.

It holds the newest configuration as the operator sent it, and the failure
domains that are evacuated.
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
    """Returns the command that evacuates a failure domain, or readmits it."""
    return msgpack.packb([EVACUATE if is_evacuated else READMIT, domain])


class Store:
    """The state machine: the highest version of the configuration wins.

    :ivar changes: counts the commands that had an effect.
    """

    def __init__(self) -> None:
        self.version = 0
        self.packed = b''
        self.evacuated: frozenset[str] = frozenset()
        self.changes = 0

    @property
    def document(self) -> bytes:
        """The configuration as it was sent, empty when there is none."""
        return zlib.decompress(self.packed) if self.packed else b''

    def apply(self, content: bytes) -> list:
        """Applies a command, which may come again.

        :returns: whether it changed anything, and the version then held.
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
