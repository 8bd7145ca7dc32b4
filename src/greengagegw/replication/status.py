"""Status of a replica for logs and metrics."""

import typing

import eliot

from . import log_replication

if typing.TYPE_CHECKING:
    from . import replica as replicas

CHECK_INTERVAL_SECONDS = 1.0
# A healthy replica repeats its status rarely, one without a leader often
# enough that an operator sees the reason within a minute.
HEALTHY_INTERVAL_SECONDS = 60.0
UNHEALTHY_INTERVAL_SECONDS = 5.0


def leaderless_seconds(replica: 'replicas.Replica') -> float:
    """Returns for how long no leader has been heard, 0 if one is."""
    if replica.is_leader and replica.is_caught_up:
        return 0.0
    silence = replica.timers.now() - replica.leader_heard_at
    return silence if silence >= replica.timeouts.election_seconds else 0.0


def silent_voters(replica: 'replicas.Replica') -> dict[str, float]:
    """Returns seconds since the last reply of each voter that is silent.

    Only a leader hears from all voters, so it is empty on others.
    """
    if not replica.is_leader:
        return {}
    now = replica.timers.now()
    silences = {
        vm: round(now - at, 1)
        for vm, at in replica.contact_times.items()
        if vm != replica.vm and vm in replica.members.voters
    }
    return {
        vm: seconds
        for vm, seconds in silences.items()
        if seconds >= replica.timeouts.election_seconds
    }


def missing_voters(replica: 'replicas.Replica') -> int:
    """Returns how many members should vote and do not.

    While it is not 0, the group tolerates fewer lost disks than it should.
    """
    members = replica.members
    count = sum(
        one.vm not in replica.memory_replicas for one in members.members
    )
    return max(0, min(replica.min_voters, count) - len(members.voters))


def copies(replica: 'replicas.Replica') -> int:
    """Returns how many members with a disk hold all committed entries.

    Only a leader knows it, so it is 0 on others.
    """
    if not replica.is_leader:
        return 0
    return sum(
        vm == replica.vm
        or replica.match_index.get(vm, 0) >= replica.commit_index
        for vm, _ in replica.disk_members(replica.members).ids
    )


def waiting_learners(replica: 'replicas.Replica') -> dict[str, dict]:
    """Returns since when each VM is a learner, and why it does not vote yet.

    Only a leader knows the reason. Memory replicas are left out, as they never
    vote.
    """
    now = replica.timers.now()
    return {
        vm: {
            'seconds': round(now - since, 1),
            'incarnation': incarnation,
            'waits': log_replication.promotion_obstacle(replica, vm, now)
            if replica.is_leader
            else None,
        }
        for (vm, incarnation), since in replica.learner_since.items()
        if vm not in replica.memory_replicas
    }


def longest_learner_seconds(replica: 'replicas.Replica') -> float:
    """Returns for how long the longest waiting learner has not voted."""
    return max(
        (one['seconds'] for one in waiting_learners(replica).values()),
        default=0.0,
    )


def describe(replica: 'replicas.Replica') -> dict[str, typing.Any]:
    """Returns the fields of a log line about a replica.

    They name the voters and the learners, who leads, for how long no leader
    has been heard and why the last campaign failed.
    """
    members = replica.members
    return {
        'group': replica.group,
        'role': replica.role.value,
        'term': replica.term,
        'leader': replica.leader,
        'leaderless': round(leaderless_seconds(replica), 1),
        'voters': members.voters,
        'learners': members.learners,
        'members_index': replica.members_index,
        'are_members_committed': replica.are_members_committed,
        'incarnation': replica.incarnation,
        'waiting': waiting_learners(replica),
        'is_settled': replica.is_membership_settled,
        'silent': silent_voters(replica),
        'committed': replica.commit_index,
        'applied': replica.applied_index,
        'last': replica.storage.last_index,
        'votes': replica.last_votes,
        'failure': replica.failure.message if replica.failure else None,
    }


async def log_status(replica: 'replicas.Replica') -> None:
    """Logs the status when it changes, and regularly, until cancelled."""
    logged: tuple | None = None
    logged_at = replica.timers.now()
    while True:
        now = replica.timers.now()
        key = (
            replica.role,
            replica.leader,
            replica.members,
            replica.failure is None,
            leaderless_seconds(replica) > 0,
            tuple(silent_voters(replica)),
        )
        is_healthy = (
            key[3]
            and not key[4]
            and not key[5]
            and not missing_voters(replica)
        )
        interval = (
            HEALTHY_INTERVAL_SECONDS
            if is_healthy
            else UNHEALTHY_INTERVAL_SECONDS
        )
        if key != logged or now - logged_at >= interval:
            logged, logged_at = key, now
            eliot.log_message('replica:status', **describe(replica))
        await replica.timers.sleep(CHECK_INTERVAL_SECONDS)
