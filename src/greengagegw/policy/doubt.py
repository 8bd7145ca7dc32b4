"""Which names are better left alone for a moment, after they were silent."""

import dataclasses

SHORTEST_DOUBT_SECONDS = 2.0
LONGEST_DOUBT_SECONDS = 16.0


@dataclasses.dataclass(slots=True)
class Doubt:
    """Silence of one name.

    :ivar since: monotonic seconds of the newest silence.
    :ivar until: monotonic seconds at which it is worth another try.
    :ivar seconds: how long it was left alone the last time.
    """

    since: float
    until: float
    seconds: float


class Doubts:
    """Remembers silence for a time that doubles while it goes on."""

    def __init__(self) -> None:
        self.doubts: dict[str, Doubt] = {}

    def note_silence(self, name: str, now: float) -> None:
        seconds = SHORTEST_DOUBT_SECONDS
        known = self.doubts.get(name)
        if known is not None and now < known.until:
            known.since = now
            return
        if known is not None:
            seconds = min(LONGEST_DOUBT_SECONDS, 2 * known.seconds)
        self.doubts[name] = Doubt(now, now + seconds, seconds)

    def note_answer(self, name: str) -> None:
        self.doubts.pop(name, None)

    def is_doubted(self, name: str, now: float) -> bool:
        known = self.doubts.get(name)
        return known is not None and now < known.until

    def since(self, name: str) -> float | None:
        """Returns when a name fell silent, or None."""
        known = self.doubts.get(name)
        return None if known is None else known.since
