"""The configuration in effect on one VM, and its recent changes."""

import collections

import anyio

from .. import errors
from . import state

MAX_KEPT_EVENTS = 5000


class ConfigurationView:
    """The configuration in effect on this VM; its revision never decreases.

    :ivar uncommitted: ids of keys whose withdrawal is in effect here, but
        not known to be committed.
    :ivar changed: event that is set by the next change and then replaced.
    :ivar ready: event that is set once the configuration is complete.
    """

    def __init__(self) -> None:
        self.configuration = state.Configuration()
        self.events: collections.deque[state.Event] = collections.deque(
            maxlen=MAX_KEPT_EVENTS
        )
        self.uncommitted: set[str] = set()
        self.changed = anyio.Event()
        self.ready = anyio.Event()

    @property
    def revision(self) -> int:
        return self.configuration.revision

    def apply(self, event: state.Event) -> None:
        """Applies the next change and ignores one that is already applied.

        :raises CompactedError: if changes before it are missing.
        """
        if event.revision <= self.revision:
            return
        if event.revision != self.revision + 1:
            raise errors.CompactedError(
                f'changes between revision {self.revision} and'
                f' {event.revision} are missing'
            )
        self.configuration.apply(event)
        self.uncommitted.discard(event.withdrawn)
        self.events.append(event)
        self.notify_waiters()

    def replace(self, packed: list) -> None:
        """Replaces the configuration by a packed one, unless it is older."""
        if packed[0] < self.revision:
            return
        self.configuration.replace(packed)
        self.uncommitted -= set(packed[4])
        self.events.clear()
        self.notify_waiters()

    def withdraw(self, ids: set[str]) -> set[str]:
        """Puts withdrawals of keys into effect.

        :returns: the ids that were not withdrawn here before.
        """
        new = ids - self.configuration.withdrawn
        self.configuration.withdrawn |= new
        self.uncommitted |= new
        return new

    def events_since(self, revision: int) -> list[state.Event]:
        """Returns the changes after a revision.

        :raises CompactedError: if some of them are no longer kept.
        """
        missing = self.revision - revision
        if missing <= 0:
            return []
        if missing > len(self.events):
            raise errors.CompactedError(
                f'the changes after revision {revision} are no longer kept'
            )
        return list(self.events)[-missing:]

    def notify_waiters(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_for_revision(self, revision: int) -> None:
        """Returns when the configuration has reached a revision."""
        while self.revision < revision:
            await self.changed.wait()
