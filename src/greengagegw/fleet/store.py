"""Replicated state of the control group.

It holds the newest configuration document as the operator sent it, the set
of evacuated failure domains, the requests that are held back, and the history
of the software versions and services that may have begun a stream.
"""

import collections.abc
import typing
import zlib

import eliot
import msgpack

from .. import errors
from .. import held_requests
from . import orders
from . import origin_history
from ..ports import peers

# The oldest hold yields to a new one.
MAX_HOLDS = 256
PUT = 'put'
EVACUATE = 'evacuate'
READMIT = 'readmit'
HOLD = 'hold'
LIFT = 'lift'
HISTORY = 'history'
# What decoding a malformed command raises.
MALFORMED_COMMAND_ERRORS = (
    TypeError,
    ValueError,
    LookupError,
    AttributeError,
    OverflowError,
    msgpack.UnpackException,
    zlib.error,
)
# Values of a packed history, after which those of later releases follow.
HISTORY_VALUES = 4


def put_command(version: int, document: bytes) -> bytes:
    """Returns the command that stores a configuration."""
    return msgpack.packb([PUT, version, zlib.compress(document)])


def evacuate_command(
    domain: str, is_evacuated: bool, based_on: int, order_id: str
) -> bytes:
    """Returns the command that evacuates or readmits a failure domain.

    Replicas of the last release ignore all but the domain.

    :param based_on: see :meth:`orders.OrderLog.record`.
    """
    name = EVACUATE if is_evacuated else READMIT
    return msgpack.packb([name, domain, based_on, order_id])


def hold_command(hold: held_requests.Hold) -> bytes:
    """Returns the command that holds requests back."""
    return msgpack.packb([HOLD, hold.pack()])


def lift_command(hold_id: str, since: float | None = None) -> bytes:
    """Returns the command that lifts a hold.

    Replicas of the last release ignore the time.

    :param since: time of the hold that is meant, since a later one may have
        the same ID; None lifts any.
    """
    return msgpack.packb([LIFT, hold_id, since])


def history_command(history: origin_history.OriginHistory) -> bytes:
    """Returns the command that stores the history of origins."""
    return msgpack.packb([HISTORY, history.pack()])


def unpack_command(content: bytes) -> tuple[str, list]:
    """Returns the name and the arguments of a command.

    The result depends on the content only, so all replicas agree on it.
    Commands of later releases, which have other names, are not checked.

    :raises InvalidCommandError: if the command is malformed.
    """
    try:
        name, *arguments = msgpack.unpackb(content)
        check = ARGUMENT_CHECKS.get(peers.check_text(name))
        if check is not None:
            check(*arguments)
    except MALFORMED_COMMAND_ERRORS as error:
        raise errors.InvalidCommandError(
            f'malformed command: {type(error).__name__}: {error}'
        ) from error
    return name, arguments


def check_put(version: typing.Any, packed: typing.Any) -> None:
    if type(version) is not int:
        raise TypeError('the version of a configuration is not whole')
    if not isinstance(packed, bytes):
        raise TypeError('a configuration is not bytes')
    decompressor = zlib.decompressobj()
    decompressor.decompress(packed)
    # A snapshot appends the history to the document.
    if not decompressor.eof or decompressor.unused_data:
        raise ValueError('a configuration is not one compressed document')


def check_order(
    domain: typing.Any,
    based_on: typing.Any = None,
    order_id: typing.Any = '',
    *_: typing.Any,
) -> None:
    peers.check_text(domain)
    if based_on is not None:
        peers.check_count(based_on)
    peers.check_text(order_id)


def check_hold(hold: typing.Any, *_: typing.Any) -> None:
    held_requests.unpack_checked(hold)


def check_lift(
    hold_id: typing.Any, since: typing.Any = None, *_: typing.Any
) -> None:
    peers.check_text(hold_id)
    if since is not None:
        peers.check_number(since)


def check_history(history: typing.Any, *_: typing.Any) -> None:
    if origin_history.unpack_if_present(history) is None:
        raise TypeError('a history is missing')


ARGUMENT_CHECKS: dict[str, collections.abc.Callable[..., None]] = {
    PUT: check_put,
    EVACUATE: check_order,
    READMIT: check_order,
    HOLD: check_hold,
    LIFT: check_lift,
    HISTORY: check_history,
}


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
    :ivar orders: the last orders on evacuations.
    :ivar ended_holds: times of the last holds that were lifted or replaced,
        by ID.
    :ivar entry_index: returns the index of the log entry that is applied.
    """

    def __init__(self) -> None:
        self.version = 0
        self.packed = b''
        self.evacuated: frozenset[str] = frozenset()
        self.changes = 0
        self.holds: dict[str, held_requests.Hold] = {}
        self.hold_changes = 0
        self.history: origin_history.OriginHistory | None = None
        self.orders = orders.OrderLog()
        self.ended_holds: dict[str, float] = {}
        self.entry_index: collections.abc.Callable[[], int] = lambda: 0

    @property
    def document(self) -> bytes:
        """The configuration document, empty if none was stored."""
        return zlib.decompress(self.packed) if self.packed else b''

    def apply(self, content: bytes) -> list:
        """Applies a command, which may be delivered more than once.

        :returns: whether the state changed, and the current version. For an
            order on an evacuation that says what it is based on, also whether
            it took effect.
        :raises InvalidCommandError: if the command is malformed; then the
            state does not change.
        """
        name, arguments = unpack_command(content)
        index = self.entry_index()
        self.orders.complete_after(index - 1)
        before = (self.version, self.evacuated)
        hold_changes = self.hold_changes
        history = self.history
        verdict = None
        if name == PUT:
            self.put(*arguments)
        elif name in (EVACUATE, READMIT):
            verdict = self.order(name == EVACUATE, index, *arguments)
        elif name == HOLD:
            self.hold(held_requests.Hold.unpack(arguments[0]))
        elif name == LIFT:
            self.lift(*arguments)
        elif name == HISTORY:
            self.put_history(origin_history.OriginHistory.unpack(arguments[0]))
        has_changed = before != (self.version, self.evacuated)
        self.changes += has_changed
        outcome = [
            has_changed
            or self.hold_changes != hold_changes
            or self.history is not history,
            self.version,
        ]
        # VMs of the last release expect two values for their own commands.
        return outcome if verdict is None else [*outcome, verdict]

    def order(
        self,
        is_evacuated: bool,
        index: int,
        domain: str,
        based_on: int | None = None,
        order_id: str = '',
        *_: typing.Any,
    ) -> bool | None:
        """Evacuates or readmits a failure domain, unless the order is old.

        :param based_on: None in commands of the last release, which take
            effect in the order in which they are applied.
        :returns: whether it took effect; None if ``based_on`` is None.
        """
        verdict = self.orders.record(domain, index, based_on, order_id)
        if verdict.takes_effect:
            change = frozenset((domain,))
            self.evacuated = (
                self.evacuated | change
                if is_evacuated
                else self.evacuated - change
            )
        elif not verdict.is_acknowledged:
            eliot.log_message(
                'order:ignored',
                domain=domain,
                evacuated=is_evacuated,
                index=index,
                based_on=based_on,
                newer=self.orders.last_index(domain),
                reason='a newer order on this failure domain was applied',
            )
        return None if based_on is None else verdict.is_acknowledged

    def put(self, version: int, packed: bytes) -> None:
        if version > self.version or not self.packed:
            self.version = version
            self.packed = packed

    def hold(self, hold: held_requests.Hold) -> None:
        """Adds a hold, which replaces those that it includes."""
        if self.ended_holds.get(hold.hold_id) == hold.since:
            eliot.log_message(
                'hold:ignored',
                id=hold.hold_id,
                since=hold.since,
                reason='this hold was lifted or replaced meanwhile',
            )
            return
        if any(
            one.matches(hold.service, frozenset(hold.traits))
            for one in self.holds.values()
        ):
            return
        for one in list(self.holds.values()):
            if hold.matches(one.service, frozenset(one.traits)):
                self.end_hold(one)
        self.holds[hold.hold_id] = hold
        while len(self.holds) > MAX_HOLDS:
            self.end_hold(next(iter(self.holds.values())))
        self.hold_changes += 1

    def end_hold(self, hold: held_requests.Hold) -> None:
        """Removes a hold, and remembers it in case its command is repeated."""
        del self.holds[hold.hold_id]
        self.ended_holds.pop(hold.hold_id, None)
        self.ended_holds[hold.hold_id] = hold.since
        while len(self.ended_holds) > MAX_HOLDS:
            del self.ended_holds[next(iter(self.ended_holds))]

    def lift(
        self, hold_id: str, since: float | None = None, *_: typing.Any
    ) -> None:
        hold = self.holds.get(hold_id)
        if hold is None:
            return
        if since is not None and hold.since != since:
            eliot.log_message(
                'lift:ignored',
                id=hold_id,
                since=since,
                newer=hold.since,
                reason='the hold was lifted and made again meanwhile',
            )
            return
        self.end_hold(hold)
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
            # The last release ignores what follows the history in its list,
            # and leaves it out of its own snapshots.
            packed += msgpack.packb(
                [
                    *self.history.pack(),
                    self.orders.pack(),
                    list(self.ended_holds.items()),
                ]
            )
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
        self.orders = orders.OrderLog(is_complete=False)
        self.ended_holds = {}
        if packed_history:
            history_values = msgpack.unpackb(packed_history)
            self.history = origin_history.OriginHistory.unpack(history_values)
            if len(history_values) > HISTORY_VALUES:
                packed_orders, ended_holds = history_values[HISTORY_VALUES:][
                    :2
                ]
                self.orders = orders.OrderLog.unpack(packed_orders)
                self.ended_holds = dict(ended_holds)
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
