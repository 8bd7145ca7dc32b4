"""Replicated state of the control group.

It holds the newest configuration document as the operator sent it, the set
of evacuated failure domains, the requests that are held back, and the history
of the software versions and services that may have begun a stream.
"""

import typing
import zlib

import msgpack

from .. import held_requests
from . import origin_history

# The oldest hold yields to a new one.
MAX_HOLDS = 256
PUT = 'put'
EVACUATE = 'evacuate'
READMIT = 'readmit'
HOLD = 'hold'
LIFT = 'lift'
HISTORY = 'history'


def put_command(version: int, document: bytes) -> bytes:
    """Returns the command that stores a configuration."""
    return msgpack.packb([PUT, version, zlib.compress(document)])


def evacuate_command(domain: str, is_evacuated: bool) -> bytes:
    """Returns the command that evacuates or readmits a failure domain."""
    return msgpack.packb([EVACUATE if is_evacuated else READMIT, domain])


def hold_command(hold: held_requests.Hold) -> bytes:
    """Returns the command that holds requests back."""
    return msgpack.packb([HOLD, hold.pack()])


def lift_command(hold_id: str) -> bytes:
    """Returns the command that lifts a hold."""
    return msgpack.packb([LIFT, hold_id])


def history_command(history: origin_history.OriginHistory) -> bytes:
    """Returns the command that stores the history of origins."""
    return msgpack.packb([HISTORY, history.pack()])


class Store:
    """State machine that keeps the highest configuration version.

    :ivar packed: the configuration document, compressed with zlib.
    :ivar changes: number of commands that changed the configuration or the
        evacuations.
    :ivar holds: requests that are held back, by ID, the oldest first.
    :ivar hold_changes: number of commands that changed the holds. Replicas of
        an earlier release do not have it.
    :ivar history: what may have begun a stream; None if it was never written.
        Replicas of an earlier release ignore it.
    """

    def __init__(self) -> None:
        self.version = 0
        self.packed = b''
        self.evacuated: frozenset[str] = frozenset()
        self.changes = 0
        self.holds: dict[str, held_requests.Hold] = {}
        self.hold_changes = 0
        self.history: origin_history.OriginHistory | None = None

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
        hold_changes = self.hold_changes
        history = self.history
        if name == PUT:
            self.put(*arguments)
        elif name == EVACUATE:
            self.evacuated |= {arguments[0]}
        elif name == READMIT:
            self.evacuated -= {arguments[0]}
        elif name == HOLD:
            self.hold(held_requests.Hold.unpack(arguments[0]))
        elif name == LIFT:
            self.lift(arguments[0])
        elif name == HISTORY:
            self.put_history(origin_history.OriginHistory.unpack(arguments[0]))
        has_changed = before != (self.version, self.evacuated)
        self.changes += has_changed
        return [
            has_changed
            or self.hold_changes != hold_changes
            or self.history is not history,
            self.version,
        ]

    def put(self, version: int, packed: bytes) -> None:
        if version > self.version or not self.packed:
            self.version = version
            self.packed = packed

    def hold(self, hold: held_requests.Hold) -> None:
        """Adds a hold, which replaces those that it includes."""
        if any(
            one.matches(hold.service, frozenset(hold.traits))
            for one in self.holds.values()
        ):
            return
        self.holds = {
            key: one
            for key, one in self.holds.items()
            if not hold.matches(one.service, frozenset(one.traits))
        }
        self.holds[hold.hold_id] = hold
        while len(self.holds) > MAX_HOLDS:
            del self.holds[next(iter(self.holds))]
        self.hold_changes += 1

    def lift(self, hold_id: str) -> None:
        if self.holds.pop(hold_id, None) is not None:
            self.hold_changes += 1

    def put_history(self, history: origin_history.OriginHistory) -> None:
        """Replaces the history, unless a newer one is stored.

        A command carries all of it, so that a replica which lost it in a
        snapshot of an earlier release never has a part of it only.
        """
        if self.history is None or history.number > self.history.number:
            self.history = history

    def save(self) -> bytes:
        packed = self.packed
        # Earlier releases accept no further values, but ignore what follows
        # the end of the compressed document. They keep it in their own
        # snapshots, where it may be out of date.
        if packed and self.history is not None:
            packed += msgpack.packb(self.history.pack())
        values: list[typing.Any] = [
            self.version,
            packed,
            sorted(self.evacuated),
            self.changes,
        ]
        # Replicas of an earlier release read the first four values only.
        if self.hold_changes:
            holds = [one.pack() for one in self.holds.values()]
            values += [holds, self.hold_changes]
        return msgpack.packb(values)

    def restore(self, content: bytes) -> None:
        values: typing.Any = msgpack.unpackb(content)
        self.version, packed, evacuated, self.changes, *rest = values
        self.packed, packed_history = split_document(packed)
        self.history = None
        if packed_history:
            self.history = origin_history.OriginHistory.unpack(
                msgpack.unpackb(packed_history)
            )
        self.evacuated = frozenset(evacuated)
        packed_holds, self.hold_changes = rest or ([], 0)
        holds = [held_requests.Hold.unpack(one) for one in packed_holds]
        self.holds = {one.hold_id: one for one in holds}


def split_document(packed: bytes) -> tuple[bytes, bytes]:
    """Returns a compressed document, and what follows it."""
    if not packed:
        return b'', b''
    decompressor = zlib.decompressobj()
    decompressor.decompress(packed)
    following = decompressor.unused_data
    return packed[: len(packed) - len(following)], following
