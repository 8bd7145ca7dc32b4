"""Raft roles of a replica."""

import enum


class Role(enum.Enum):
    """The role of a replica in its group.

    ``STARTING`` and ``FAILED`` replicas neither vote nor acknowledge
    entries.
    """

    STARTING = 'starting'
    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    FAILED = 'failed'
