"""The configuration in force on one VM, and its recent changes."""

import collections

import anyio

from .. import errors
from . import state

EVENTS_KEPT = 5000


class ConfigurationView:
    """What this VM goes by; its revision only rises.

    :ivar uncommitted: ids of withdrawn keys that are in force here but not
        known to be in the log.
    """

    def __init__(self) -> None:
        self.configuration = state.Configuration()
        self.events: collections.deque[state.Event] = collections.deque(
            maxlen=EVENTS_KEPT
        )
        self.uncommitted: set[str] = set()
        self.changed = anyio.Event()
        self.ready = anyio.Event()

    @property
    def revision(self) -> int:
        return self.configuration.revision

    def apply(self, event: state.Event) -> None:
        """Takes in the next change; an older one changes nothing.

        :raises CompactedError: if changes before it are missing.
        """
        if event.revision <= self.revision:
            return
        if event.revision != self.revision + 1:
            raise errors.CompactedError(
                f'revision {event.revision} follows {self.revision}'
            )
        self.configuration.apply(event)
        self.uncommitted.discard(event.withdrawn)
        self.events.append(event)
        self.note_change()

    def replace(self, packed: list) -> None:
        """Takes over a listed configuration unless it is older."""
        if packed[0] < self.revision:
            return
        self.configuration.replace(packed)
        self.uncommitted -= set(packed[4])
        self.events.clear()
        self.note_change()

    def withdraw(self, ids: set[str]) -> set[str]:
        """Puts withdrawals in force, and returns those that are new."""
        new = ids - self.configuration.withdrawn
        self.configuration.withdrawn |= new
        self.uncommitted |= new
        return new

    def events_since(self, revision: int) -> list[state.Event]:
        """Returns the changes after a revision.

        :raises CompactedError: if they are no longer held.
        """
        missing = self.revision - revision
        if missing <= 0:
            return []
        if missing > len(self.events):
            raise errors.CompactedError(f'{revision} is no longer held')
        return list(self.events)[-missing:]

    def note_change(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_for_revision(self, revision: int) -> None:
        """Returns when a revision is in force."""
        while self.revision < revision:
            await self.changed.wait()
