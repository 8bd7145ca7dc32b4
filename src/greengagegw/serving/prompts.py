"""Prompt sizes, and a model of the prefix cache of an instance."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """A segment of a prompt, which many requests may share.

    Packed by position when a request is forwarded: keep the field order.
    """

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The size of a generation.

    :ivar tokens: length of the prompt.
    :ivar max_output_tokens: upper limit of the response.
    :ivar segments: the prompt's leading segments, in their order.
    :ivar expected_output_tokens: the client's estimate of the response
        length, correct at the median and often far off; 0 if none was given.
    """

    model: str
    tokens: int
    max_output_tokens: int
    segments: tuple[Segment, ...]
    expected_output_tokens: int = 0

    @property
    def shared_prefix(self) -> str:
        """Name of the last shared segment, empty if there is none.

        The last segment belongs to the request itself.
        """
        return self.segments[-2].name if len(self.segments) > 1 else ''

    @property
    def shared_tokens(self) -> int:
        """Tokens of the segments that other requests may share."""
        return sum(one.tokens for one in self.segments[:-1])

    @property
    def total_tokens(self) -> int:
        return self.tokens + self.max_output_tokens


class PrefixCacheModel:
    """Models the prefix cache of one instance as an LRU cache.

    :param capacity: in tokens.
    :ivar cached_segments: tokens of each segment, least recently used first.
    :ivar tokens: sum of the cached tokens.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.cached_segments: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def cached_tokens(self, prompt: Prompt) -> int:
        """Returns the length of a prompt's cached prefix, in tokens."""
        cached = 0
        cached_segments = self.cached_segments
        for segment in prompt.segments:
            if segment.name not in cached_segments:
                break
            cached += segment.tokens
        return cached if cached < prompt.tokens else prompt.tokens

    def record_prompt(self, prompt: Prompt) -> None:
        """Adds a prompt that the instance has prefilled."""
        for segment in prompt.segments:
            self.tokens -= self.cached_segments.pop(segment.name, 0)
            self.cached_segments[segment.name] = segment.tokens
            self.tokens += segment.tokens
        while self.tokens > self.capacity and self.cached_segments:
            self.tokens -= self.cached_segments.popitem(last=False)[1]
