"""Election and heartbeat timeouts of a replicated group."""

import dataclasses

ELECTION_SECONDS = 1.5
# Time that a call to a peer has, with the bytes of both directions.
CALL_TIMEOUT_SECONDS = 1.0
HEARTBEAT_SECONDS = 0.4
# A longer write is taken for a hang of the disk. With the election timeout
# after it, a leader whose majority needs that disk steps down within 5 s.
WRITE_HANG_SECONDS = 3.0
# Covers an election: two round trips of 0.11 s between regions, two disk
# syncs, and the delivery of the new leader's first message.
STAGGER_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts of a group in seconds.

    An election timeout must be at least twice the time of a heartbeat and
    its reply.
    """

    election_seconds: float = ELECTION_SECONDS
    heartbeat_seconds: float = HEARTBEAT_SECONDS
    stagger_seconds: float = STAGGER_SECONDS
