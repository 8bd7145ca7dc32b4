"""How long the replicas of a group wait for each other."""

import dataclasses

ELECTION_SECONDS = 1.5
HEARTBEAT_SECONDS = 0.4
# Two round trips between regions of 0.11 s, two syncs, and the way of the new
# leader's first message.
STAGGER_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Seconds; a heartbeat and its answer must fit an election twice."""

    election_seconds: float = ELECTION_SECONDS
    heartbeat_seconds: float = HEARTBEAT_SECONDS
    stagger_seconds: float = STAGGER_SECONDS
