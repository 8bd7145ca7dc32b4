"""Tracks unresponsive peers, which are avoided with exponential backoff."""

import dataclasses

MIN_BACKOFF_SECONDS = 2.0
MAX_BACKOFF_SECONDS = 16.0


@dataclasses.dataclass(slots=True)
class Suspicion:
    """Suspicion of one name.

    :ivar last_silent_at: monotonic seconds of the latest silence.
    :ivar retry_at: monotonic seconds from which it may be tried again.
    :ivar backoff_seconds: length of the latest backoff.
    """

    last_silent_at: float
    retry_at: float
    backoff_seconds: float


class SuspicionTracker:
    """Keeps the names that did not respond, until they respond again.

    The backoff doubles with every silence after a retry.
    """

    def __init__(self) -> None:
        self.suspicions: dict[str, Suspicion] = {}

    def record_silence(self, name: str, now: float) -> None:
        backoff_seconds = MIN_BACKOFF_SECONDS
        suspicion = self.suspicions.get(name)
        if suspicion is not None and now < suspicion.retry_at:
            suspicion.last_silent_at = now
            return
        if suspicion is not None:
            backoff_seconds = min(
                MAX_BACKOFF_SECONDS, 2 * suspicion.backoff_seconds
            )
        self.suspicions[name] = Suspicion(
            now, now + backoff_seconds, backoff_seconds
        )

    def record_response(self, name: str) -> None:
        self.suspicions.pop(name, None)

    def is_suspected(self, name: str, now: float) -> bool:
        suspicion = self.suspicions.get(name)
        return suspicion is not None and now < suspicion.retry_at

    def last_silent_at(self, name: str) -> float | None:
        """Returns when a name was last silent, in monotonic seconds.

        :returns: None if it has responded since.
        """
        suspicion = self.suspicions.get(name)
        return None if suspicion is None else suspicion.last_silent_at
