"""Attributes the ends of backend servers to segments of prompts.

A segment that crashes each server that begins to write an answer on it is in
a request at each of these ends, and in no response that is sound. The other
segments of those requests, and the requests that ran beside them, are found
elsewhere in sound responses. Plain functions without state.
"""

import collections.abc
import dataclasses
import math

# An engine needs longer to begin an answer. A request that was interrupted
# sooner went out on a connection that its server had closed before.
MIN_RUN_SECONDS = 0.005
# Fewer ends may be a coincidence.
MIN_ENDS = 3
# With as many ends, segments that cannot be told apart are all blamed.
MAX_UNDECIDED_ENDS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Interruption:
    """A request that was interrupted by the end of a server.

    :ivar segments: names of its prompt's segments, in their order.
    :ivar sent_at: seconds.
    :ivar interrupted_at: seconds.
    """

    request_id: str
    segments: tuple[str, ...]
    sent_at: float
    interrupted_at: float


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
    """Segments that were together in a request at each of several ends.

    :ivar segments: a prompt that has all of them is blamed.
    :ivar prompt_count: different prompts among the interrupted requests.
    """

    segments: frozenset[str]
    ends: tuple[ServerEnd, ...]
    prompt_count: int

    @property
    def rank(self) -> tuple[int, bool]:
        """A prompt that is sent again meets several ends by itself."""
        return len(self.ends), self.prompt_count > 1

    def is_narrower(self, other: 'Blame') -> bool:
        """Returns whether fewer prompts, blamed as well, are enough."""
        return other.segments < self.segments and (
            len(self.ends) >= len(other.ends) or self.prompt_count > 1
        )

    def covers(self, end: ServerEnd) -> bool:
        return any(
            self.segments.issubset(one.segments) for one in end.interruptions
        )


def find_culprits(
    ends: collections.abc.Iterable[ServerEnd],
    sound_at: collections.abc.Mapping[str, float],
    min_ends: int = MIN_ENDS,
) -> list[Blame]:
    """Returns what explains the ends of one service's servers.

    An end that is explained is held against nothing else.

    :param ends: in the order of their times.
    :param sound_at: seconds at which a response to a prompt with a segment
        was last known to be sound, by segment.
    """
    open_ends = list(ends)
    culprits: list[Blame] = []
    while True:
        suspects = find_suspects(open_ends, sound_at, min_ends).values()
        strong = [
            one
            for one in suspects
            if not any(other.is_narrower(one) for other in suspects)
        ]
        if not strong:
            return culprits
        best = max(strong, key=lambda one: (one.rank, sorted(one.segments)))
        if len(best.ends) < MAX_UNDECIDED_ENDS and any(
            one.rank == best.rank
            and one.segments != best.segments
            and set(one.ends) & set(best.ends)
            for one in strong
        ):
            return culprits
        culprits.append(best)
        open_ends = [one for one in open_ends if not best.covers(one)]


def find_suspects(
    ends: collections.abc.Iterable[ServerEnd],
    sound_at: collections.abc.Mapping[str, float],
    min_ends: int = MIN_ENDS,
) -> dict[str, Blame]:
    """Returns the segments that enough ends are held against.

    The parameters are those of :func:`find_culprits`.
    """
    by_name: dict[str, list[tuple[ServerEnd, list[Interruption]]]] = {}
    for end in ends:
        for one in end.interruptions:
            for name in one.segments:
                found = by_name.setdefault(name, [])
                if not found or found[-1][0] is not end:
                    found.append((end, []))
                found[-1][1].append(one)
    blames = {
        name: blame_segment(name, found, sound_at)
        for name, found in by_name.items()
        # Most segments are in one request only.
        if len(found) >= min_ends
    }
    return {
        name: blame
        for name, blame in blames.items()
        if len(blame.ends) >= min_ends
    }


def blame_segment(
    name: str,
    found: collections.abc.Iterable[tuple[ServerEnd, list[Interruption]]],
    sound_at: collections.abc.Mapping[str, float],
) -> Blame:
    """Returns the ends that are held against a segment.

    Several servers that end at once, as in a power loss, count as one end: a
    request counts only if it was sent after the end counted before, and before
    its own server ended. The segments that it always came with are blamed
    together with it, unless they were in a sound response since.

    :param found: ends with the interrupted requests that had the segment.
    """
    counted: list[ServerEnd] = []
    suspects: list[Interruption] = []
    counted_until = sound_at.get(name, -math.inf)
    for end, interruptions in found:
        matching = [
            one
            for one in interruptions
            if counted_until <= one.sent_at <= end.at - MIN_RUN_SECONDS
        ]
        if matching and end.at > counted_until:
            counted.append(end)
            suspects.extend(matching)
            counted_until = end.at
    if not counted:
        return Blame(frozenset((name,)), (), 0)
    common = set(suspects[0].segments).intersection(
        *(one.segments for one in suspects)
    )
    segments = frozenset(
        one
        for one in common
        if one == name or sound_at.get(one, -math.inf) < counted[0].at
    )
    prompts = {one.segments for one in suspects}
    return Blame(segments, tuple(counted), len(prompts))
