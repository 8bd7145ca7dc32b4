"""State machine of the control group: the table and the API keys.

Each accepted change increments the revision by one. The outcome of an edit is
kept under the id of the edit, so that a retried edit gets the outcome of the
first attempt.
"""

import collections
import collections.abc
import dataclasses
import typing

import msgpack

from .. import errors
from .. import keys as key_records
from .. import table as tables
from ..adapters import error_codec

MAX_KEPT_EDITS = 10000
MAX_KEPT_EVENTS = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One accepted change, in the form that is sent to all VMs.

    :ivar put: table rows that were added or replaced.
    :ivar removed: kinds and names of removed rows.
    :ivar key: a key that was issued, or None.
    :ivar withdrawn: id of a key that was withdrawn, or an empty string.
    """

    revision: int
    put: tuple[tables.Row, ...] = ()
    removed: tuple[tuple[str, str], ...] = ()
    key: key_records.KeyRecord | None = None
    withdrawn: str = ''

    def pack(self) -> list:
        key = self.key and dataclasses.astuple(self.key)
        return [
            self.revision,
            [tables.pack(row) for row in self.put],
            self.removed,
            key,
            self.withdrawn,
        ]

    @classmethod
    def unpack(cls, values: list) -> 'Event':
        revision, put, removed, key, withdrawn = values
        return cls(
            revision,
            tuple(tables.unpack(row) for row in put),
            tuple(tuple(one) for one in removed),
            key_records.KeyRecord(*key) if key else None,
            withdrawn,
        )


class Configuration:
    """The table and the API keys at one revision.

    Withdrawn keys may be ahead of the revision, since a withdrawal takes
    effect as soon as a VM receives it.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.table_revision = 0
        self.table = tables.Table()
        self.keys: dict[str, key_records.KeyRecord] = {}
        self.withdrawn: set[str] = set()

    def apply(self, event: Event) -> None:
        """Applies the change that follows this revision."""
        if event.put or event.removed:
            self.table = tables.apply_diff(
                self.table, list(event.put), list(event.removed)
            )
            self.table_revision = event.revision
        if event.key is not None:
            self.keys[event.key.id] = event.key
        if event.withdrawn:
            self.withdrawn.add(event.withdrawn)
        self.revision = event.revision

    def pack(self) -> list:
        return [
            self.revision,
            self.table_revision,
            [tables.pack(row) for row in self.table.rows],
            [dataclasses.astuple(key) for key in self.keys.values()],
            sorted(self.withdrawn),
        ]

    def replace(self, values: list) -> None:
        """Replaces the content by a packed one, keeping withdrawn keys."""
        revision, table_revision, rows, keys, withdrawn = values
        self.revision = revision
        self.table_revision = table_revision
        self.table = tables.Table(tuple(tables.unpack(row) for row in rows))
        self.keys = {one[0]: key_records.KeyRecord(*one) for one in keys}
        self.withdrawn |= set(withdrawn)


class ControlState:
    """State machine of the control group.

    :param regions: regions that a home in the table may name.
    :param on_event: called with each accepted change.
    """

    def __init__(
        self,
        regions: tuple[str, ...],
        on_event: collections.abc.Callable[[Event], None],
    ) -> None:
        self.regions = regions
        self.on_event = on_event
        self.configuration = Configuration()
        self.edits: collections.OrderedDict = collections.OrderedDict()
        self.fence = 0
        self.commands = {
            'put_table': self.put_table,
            'give_key': self.give_key,
            'withdraw_key': self.withdraw_key,
            'take_fence': self.take_fence,
        }

    def apply(self, content: bytes) -> dict[str, typing.Any]:
        """Applies a command made by :func:`encode_command`.

        :returns: a map with either ``value`` or ``error``; the outcome of
            the first attempt if the id of the edit is known.
        """
        name, edit_id, arguments = msgpack.unpackb(content, raw=False)
        if edit_id in self.edits:
            return self.edits[edit_id]
        try:
            outcome = {'value': self.commands[name](**arguments)}
        except errors.GatewayError as error:
            # Every replica stores the outcome, including the error text, so
            # the text must not differ between builds.
            outcome = {'error': error_codec.pack(error)}
        if edit_id:
            self.edits[edit_id] = outcome
            if len(self.edits) > MAX_KEPT_EDITS:
                self.edits.popitem(last=False)
        return outcome

    def accept(self, event: Event) -> None:
        self.configuration.apply(event)
        self.on_event(event)

    @property
    def next_revision(self) -> int:
        return self.configuration.revision + 1

    def put_table(self, text: str, based_on: int) -> dict:
        """Replaces the table.

        :param text: the new table as CSV.
        :param based_on: revision of the table that was edited.
        :raises ConflictError: if the table is at another revision.
        """
        current = self.configuration.table_revision
        if based_on != current:
            raise errors.ConflictError(
                f'the table is at revision {current}, not {based_on}',
                current,
            )
        new = tables.parse(text, self.regions)
        put, removed = tables.diff(self.configuration.table, new)
        if put or removed:
            self.accept(Event(self.next_revision, tuple(put), tuple(removed)))
        return {
            'revision': self.configuration.table_revision,
            'rows_set': len(put),
            'rows_removed': len(removed),
        }

    def give_key(
        self, id: str, digest: str, organisation: str, at: float
    ) -> dict:
        """Registers a key that was issued to an organisation.

        :param at: Unix time in seconds.
        """
        if self.configuration.table.organisation(organisation) is None:
            raise errors.NotFoundError(
                f'the table has no organisation {organisation!r}'
            )
        if id in self.configuration.keys:
            raise errors.BadRequestError(f'there is a key {id} already')
        record = key_records.KeyRecord(id, digest, organisation, at)
        self.accept(Event(self.next_revision, key=record))
        return {'id': id, 'revision': self.configuration.revision}

    def withdraw_key(self, id: str) -> dict:
        """Withdraws a key; to withdraw it again has no effect."""
        if id not in self.configuration.keys:
            raise errors.NotFoundError(f'there is no key {id}')
        if id not in self.configuration.withdrawn:
            self.accept(Event(self.next_revision, withdrawn=id))
        return {'id': id, 'revision': self.configuration.revision}

    def take_fence(self) -> dict:
        """Returns the next fencing token, which only increases."""
        self.fence += 1
        return {'fence': self.fence}

    def save(self) -> bytes:
        return msgpack.packb(
            [self.configuration.pack(), list(self.edits.items()), self.fence]
        )

    def restore(self, content: bytes) -> None:
        configuration, edits, self.fence = msgpack.unpackb(
            content, raw=False, strict_map_key=False
        )
        # A withdrawal that the state does not contain must not be kept: it
        # would not count as a change when its entry is applied again.
        self.configuration = Configuration()
        self.configuration.replace(configuration)
        self.edits = collections.OrderedDict(
            (edit_id, outcome) for edit_id, outcome in edits
        )


def encode_command(
    name: str, edit_id: str, arguments: dict[str, typing.Any]
) -> bytes:
    """Returns a command for :meth:`ControlState.apply`.

    :param edit_id: id of the edit; if empty, its outcome is not kept.
    """
    return msgpack.packb([name, edit_id, arguments], use_bin_type=True)
