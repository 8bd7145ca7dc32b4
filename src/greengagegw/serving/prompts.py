"""Which parts of prompts an instance is thought to have cached."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
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
    output_tokens: int
    parts: tuple[Part, ...]
    expected_tokens: int = 0

    @property
    def cost(self) -> int:
        return self.tokens + self.output_tokens


class CachedParts:
    """A least-recently-used image of one instance's cache.

    :param capacity: tokens.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.held: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def cached_tokens(self, prompt: Prompt) -> int:
        """Returns the tokens at a prompt's head that need not be read."""
        cached = 0
        for part in prompt.parts:
            if part.name not in self.held:
                break
            cached += part.tokens
        return min(cached, prompt.tokens)

    def use(self, prompt: Prompt) -> None:
        """Takes in that the instance has read a prompt."""
        for part in prompt.parts:
            self.tokens -= self.held.pop(part.name, 0)
            self.held[part.name] = part.tokens
            self.tokens += part.tokens
        while self.tokens > self.capacity and self.held:
            self.tokens -= self.held.popitem(last=False)[1]
