"""Which parts of prompts an instance is thought to have cached."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """A part of a prompt, which may be shared by many requests."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The size of a generation.

    :ivar output_tokens: the most that it may generate.
    :ivar expected_tokens: the caller's estimate of what it will generate,
        right at the median and often far off; 0 for none.
    """

    model: str
    tokens: int
    max_output_tokens: int
    segments: tuple[Segment, ...]
    expected_output_tokens: int = 0

    @property
    def total_tokens(self) -> int:
        return self.tokens + self.max_output_tokens


class PrefixCacheModel:
    """A least-recently-used image of one instance's cache.

    :param capacity: tokens.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.cached_segments: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def cached_tokens(self, prompt: Prompt) -> int:
        """Returns the tokens at a prompt's head that need not be read."""
        cached = 0
        for segment in prompt.segments:
            if segment.name not in self.cached_segments:
                break
            cached += segment.tokens
        return min(cached, prompt.tokens)

    def record_prompt(self, prompt: Prompt) -> None:
        """Takes in that the instance has read a prompt."""
        for segment in prompt.segments:
            self.tokens -= self.cached_segments.pop(segment.name, 0)
            self.cached_segments[segment.name] = segment.tokens
            self.tokens += segment.tokens
        while self.tokens > self.capacity and self.cached_segments:
            self.tokens -= self.cached_segments.popitem(last=False)[1]
