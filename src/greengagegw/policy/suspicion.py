"""Which names are better left alone for a moment, after they were silent."""

import dataclasses

MIN_BACKOFF_SECONDS = 2.0
MAX_BACKOFF_SECONDS = 16.0


@dataclasses.dataclass(slots=True)
class Suspicion:
    """Silence of one name.

    :ivar since: monotonic seconds of the newest silence.
    :ivar until: monotonic seconds at which it is worth another try.
    :ivar seconds: how long it was left alone the last time.
    """

    last_silent_at: float
    retry_at: float
    backoff_seconds: float


class SuspicionTracker:
    """Remembers silence for a time that doubles while it goes on."""

    def __init__(self) -> None:
        self.suspicions: dict[str, Suspicion] = {}

    def record_silence(self, name: str, now: float) -> None:
        seconds = MIN_BACKOFF_SECONDS
        known = self.suspicions.get(name)
        if known is not None and now < known.retry_at:
            known.last_silent_at = now
            return
        if known is not None:
            seconds = min(MAX_BACKOFF_SECONDS, 2 * known.backoff_seconds)
        self.suspicions[name] = Suspicion(now, now + seconds, seconds)

    def record_response(self, name: str) -> None:
        self.suspicions.pop(name, None)

    def is_suspected(self, name: str, now: float) -> bool:
        known = self.suspicions.get(name)
        return known is not None and now < known.retry_at

    def last_silent_at(self, name: str) -> float | None:
        """Returns when a name fell silent, or None."""
        known = self.suspicions.get(name)
        return None if known is None else known.last_silent_at
