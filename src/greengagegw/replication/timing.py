"""How long the replicas of a group wait for each other, in seconds."""

ELECTION_SECONDS = 1.5
HEARTBEAT_SECONDS = 0.4
