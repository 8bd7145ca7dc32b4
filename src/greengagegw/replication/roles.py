"""The roles of a replica."""

import enum


class Role(enum.Enum):
    """What a replica does in its group."""

    STARTING = 'starting'
    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    FAILED = 'failed'
