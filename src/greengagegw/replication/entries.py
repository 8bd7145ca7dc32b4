"""Log entries, the members of a group, and snapshots."""

import dataclasses
import enum


class EntryKind(enum.IntEnum):
    """The kind of a log entry; the numbers are stored on disk."""

    COMMAND = 0
    # Appended by each new leader, since a leader may commit only entries of
    # its own term by counting replicas (Ongaro and Ousterhout, "In Search of
    # an Understandable Consensus Algorithm", 2014, section 5.4.2).
    NOOP = 1
    MEMBERSHIP = 2


# A VM and its incarnation.
MemberId = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the replicated log; indexes start at 1."""

    index: int
    term: int
    kind: EntryKind
    content: bytes

    def pack(self) -> list:
        return [self.index, self.term, int(self.kind), self.content]

    @classmethod
    def unpack(cls, values: list) -> 'Entry':
        index, term, kind, content = values
        return cls(index, term, EntryKind(kind), content)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A replica that belongs to a group.

    :ivar incarnation: identifier that changes when the disk is lost.
    :ivar is_voter: whether it counts in majorities; else it is a learner.
    """

    vm: str
    incarnation: str
    is_voter: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """The members of a group, sorted by VM."""

    members: tuple[Member, ...]

    @property
    def voters(self) -> list[str]:
        return [one.vm for one in self.members if one.is_voter]

    @property
    def ids(self) -> frozenset[MemberId]:
        return frozenset((one.vm, one.incarnation) for one in self.members)

    @property
    def voter_ids(self) -> frozenset[MemberId]:
        return frozenset(
            (one.vm, one.incarnation) for one in self.members if one.is_voter
        )

    @property
    def learners(self) -> list[str]:
        return [one.vm for one in self.members if not one.is_voter]

    def get(self, vm: str) -> Member | None:
        return next((one for one in self.members if one.vm == vm), None)

    def with_member(self, member: Member) -> 'Members':
        """Returns the members with one added or replaced."""
        others = [one for one in self.members if one.vm != member.vm]
        return Members(tuple(sorted([*others, member], key=_by_vm)))

    def without(self, vm: str) -> 'Members':
        """Returns the members without the one on a VM."""
        return Members(tuple(one for one in self.members if one.vm != vm))

    def is_majority(self, vms: set[str]) -> bool:
        voters = self.voters
        return 2 * sum(vm in vms for vm in voters) > len(voters)

    def pack(self) -> list:
        return [[m.vm, m.incarnation, m.is_voter] for m in self.members]

    @classmethod
    def unpack(cls, values: list) -> 'Members':
        return cls(tuple(Member(*value) for value in values))


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after an entry; it replaces all entries up to that one.

    :ivar survivable_losses: number of lost disks that the committed entries of
        its term survive, 0 if that is not known.
    """

    index: int
    term: int
    members: Members
    state: bytes
    survivable_losses: int = 0


def _by_vm(member: Member) -> str:
    return member.vm
