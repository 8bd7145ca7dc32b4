"""Attributes the ends of backend servers to what requests have in common.

The traits of a request are the segments of its prompt, which other requests
may share, and the digest of its path, caller and body, which its repeats have
in common. A trait that crashes each server that begins to run a request with
it is in a request at each of these ends, and in no response that is sound. The
other traits of those requests, and the requests that ran beside them, are
found elsewhere in sound responses. Plain functions without state.
"""

import collections.abc
import dataclasses
import hashlib
import math

# An engine needs longer to begin an answer. A request that was interrupted
# sooner went out on a connection that its server had closed before.
MIN_RUN_SECONDS = 0.005
# Servers that end within this time of each other have a common cause, such as
# a power loss, which is no request.
TOGETHER_SECONDS = 0.02
# What ends a server has to be found at the others that end within this time,
# which covers the latency of reports from several regions.
SIMULTANEOUS_SECONDS = 0.1
# Fewer ends may be a coincidence.
MIN_ENDS = 3
# With as many ends, traits that cannot be told apart are all blamed.
MAX_UNDECIDED_ENDS = 5
# Ends that are held against traits all of which were sound before. Servers
# that crash in quick succession leave no time for sound responses in between.
MIN_ENDS_IF_SOUND_BEFORE = 5
# Distinguishes the digests of requests from the names of segments.
DIGEST_PREFIX = 'request:'
DIGEST_BYTES = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Interruption:
    """A request that was interrupted by the end of a server.

    :ivar segments: names of its prompt's segments, in their order.
    :ivar sent_at: seconds.
    :ivar interrupted_at: seconds.
    :ivar digest: of the request, empty if it is not known.
    """

    request_id: str
    segments: tuple[str, ...]
    sent_at: float
    interrupted_at: float
    digest: str = ''

    @property
    def traits(self) -> tuple[str, ...]:
        return (*self.segments, self.digest) if self.digest else self.segments


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEnd:
    """The end of a server.

    :ivar run: name and start time of the server.
    :ivar at: seconds.
    :ivar interruptions: all that are known, from all VMs.
    """

    run: tuple[str, int]
    at: float
    interruptions: tuple[Interruption, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Blame:
    """Traits that were together in a request at each of several ends.

    :ivar traits: a request that has all of them is blamed.
    :ivar request_count: different requests among the interrupted ones; those
        with the same prompt are not different.
    """

    traits: frozenset[str]
    ends: tuple[ServerEnd, ...]
    request_count: int

    @property
    def rank(self) -> tuple[int, bool]:
        """Orders explanations, the best one last.

        More ends explain more. A single request that is sent again and again
        meets several ends even if it causes none.
        """
        return len(self.ends), self.request_count > 1

    def is_narrower(self, other: 'Blame') -> bool:
        """Returns whether fewer requests, blamed as well, are enough."""
        return other.traits < self.traits and (
            len(self.ends) >= len(other.ends) or self.request_count > 1
        )

    def covers(self, end: ServerEnd) -> bool:
        """Returns whether an end interrupted a request that is blamed."""
        return any(
            self.traits.issubset(one.traits) for one in end.interruptions
        )


def digest_request(caller: str, path: bytes, body: bytes) -> str:
    """Returns what identifies the repeats of a request.

    :param caller: the organisation, empty if there is none.
    :param path: with the query.
    """
    # The lengths keep the parts apart.
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (caller.encode(), path):
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    digest.update(body)
    return DIGEST_PREFIX + digest.hexdigest()


def make_interruption(
    request_id: str,
    traits: collections.abc.Iterable[str],
    sent_at: float,
    interrupted_at: float,
) -> Interruption:
    """Returns the interruption of a request with some traits."""
    segments = []
    digest = ''
    for name in traits:
        if name.startswith(DIGEST_PREFIX):
            digest = name
        else:
            segments.append(name)
    return Interruption(
        request_id, tuple(segments), sent_at, interrupted_at, digest
    )


def find_culprits(
    ends: collections.abc.Iterable[ServerEnd],
    sound_at: collections.abc.Mapping[str, float],
) -> list[Blame]:
    """Returns what explains the ends of one service's servers.

    An end that is explained is held against nothing else.

    :param ends: in the order of their times.
    :param sound_at: seconds at which a response to a request with a trait
        was last known to be sound, by trait.
    """
    open_ends = list(ends)
    culprits: list[Blame] = []
    while True:
        suspects = [
            one
            for one in find_suspects(open_ends, sound_at).values()
            if len(one.ends) >= MIN_ENDS_IF_SOUND_BEFORE
            or not one.traits.issubset(sound_at)
        ]
        strong = [
            one
            for one in suspects
            if not any(other.is_narrower(one) for other in suspects)
        ]
        if not strong:
            return culprits
        best = max(strong, key=lambda one: (one.rank, sorted(one.traits)))
        if len(best.ends) < MAX_UNDECIDED_ENDS and any(
            one.rank == best.rank
            and one.traits != best.traits
            and set(one.ends) & set(best.ends)
            for one in strong
        ):
            return culprits
        culprits.append(best)
        open_ends = [one for one in open_ends if not best.covers(one)]


def find_suspects(
    ends: collections.abc.Iterable[ServerEnd],
    sound_at: collections.abc.Mapping[str, float],
) -> dict[str, Blame]:
    """Returns the traits that enough ends are held against.

    The parameters are those of :func:`find_culprits`.
    """
    ends = list(ends)
    by_name: dict[str, dict[int, list[Interruption]]] = {}
    for at, end in enumerate(ends):
        for one in end.interruptions:
            for name in one.traits:
                found = by_name.setdefault(name, {})
                found.setdefault(at, []).append(one)
    simultaneous = [find_simultaneous(ends, at) for at in range(len(ends))]
    blames = {
        name: blame_trait(
            name,
            [
                (ends[at], interruptions)
                for at, interruptions in found.items()
                if simultaneous[at] is not None
                and simultaneous[at].issubset(found)
            ],
            sound_at,
        )
        for name, found in by_name.items()
        # Most traits are in one request only.
        if len(found) >= MIN_ENDS
    }
    return {
        name: blame
        for name, blame in blames.items()
        if len(blame.ends) >= MIN_ENDS
    }


def find_simultaneous(ends: list[ServerEnd], at: int) -> set[int] | None:
    """Returns the positions of the ends at the same time as another one.

    :param at: position of that end.
    :returns: None if several servers ended together.
    """
    others: set[int] = set()
    for step in (-1, 1):
        other = at + step
        while 0 <= other < len(ends):
            first, second = sorted((at, other))
            apart_seconds = ends[second].at - ends[first].at
            if apart_seconds > SIMULTANEOUS_SECONDS:
                break
            if apart_seconds <= TOGETHER_SECONDS and not has_followed(
                ends[first], ends[second]
            ):
                return None
            others.add(other)
            other += step
    return others


def has_followed(first: ServerEnd, second: ServerEnd) -> bool:
    """Returns whether a request of the second end was sent after the first.

    A request that ends its server may be repeated at once at another one.
    """
    return any(
        first.at <= one.sent_at and has_run(one, second)
        for one in second.interruptions
    )


def has_run(interruption: Interruption, end: ServerEnd) -> bool:
    """Returns whether a server may have begun a request before it ended."""
    return interruption.sent_at <= end.at - MIN_RUN_SECONDS


def blame_trait(
    name: str,
    found: collections.abc.Iterable[tuple[ServerEnd, list[Interruption]]],
    sound_at: collections.abc.Mapping[str, float],
) -> Blame:
    """Returns the ends that are held against a trait.

    A request counts only if it was sent after the end counted before, and
    before its own server ended. The traits that it always came with are
    blamed together with it, unless they were in a sound response since, or
    ever if it was in none.

    :param found: ends with the interrupted requests that had the trait.
    """
    counted: list[ServerEnd] = []
    suspects: list[Interruption] = []
    counted_until = sound_at.get(name, -math.inf)
    for end, interruptions in found:
        matching = [
            one
            for one in interruptions
            if counted_until <= one.sent_at and has_run(one, end)
        ]
        if matching and end.at > counted_until:
            counted.append(end)
            suspects.extend(matching)
            counted_until = end.at
    if not counted:
        return Blame(frozenset((name,)), (), 0)
    common = set(suspects[0].traits).intersection(
        *(one.traits for one in suspects)
    )
    never_sound = common.difference(sound_at)
    # Beside a trait that was never sound, one that ever was is not needed.
    traits = never_sound or {
        one for one in common if one == name or sound_at[one] < counted[0].at
    }
    requests = {one.segments or one.digest for one in suspects}
    return Blame(frozenset(traits), tuple(counted), len(requests))
