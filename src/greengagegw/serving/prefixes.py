"""Where the shared prefixes of prompts are cached, as far as a VM knows.

Each prefix has a home server among those of all regions (see ``placement``).
The region of that server may have prefilled the prefix for other VMs.
"""

import dataclasses
import math

from ..fleet import agent as agents
from . import jobs
from . import placement
from . import prompts

# A shorter prefix is prefilled sooner than a request crosses to its home.
MIN_HOME_PREFIX_TOKENS = 1000
# How long another region is expected to keep a prefix in its caches.
FORWARDED_PREFIX_SECONDS = 15.0
# Bounds the memory for what is known of prefixes.
MAX_KNOWN_PREFIXES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class PromptTokens:
    """What a region would prefill of a prompt, as far as this VM knows.

    :ivar uncached: tokens that the region has not prefilled for this VM.
    :ivar uncached_prefix: part of them that it may have prefilled for other
        VMs, since it is the home of the prefix.
    """

    uncached: int
    uncached_prefix: int


NO_TOKENS = PromptTokens(0, 0)


def tokens_to_prefill(
    prompt: prompts.Prompt, cached_tokens: int, is_home: bool
) -> PromptTokens:
    """Returns what a region would prefill of a prompt.

    :param cached_tokens: tokens that it has prefilled for this VM.
    :param is_home: whether it is the home of the prompt's prefix.
    """
    prefix_tokens = max(0, prompt.shared_tokens - cached_tokens)
    return PromptTokens(
        prompt.tokens - cached_tokens, prefix_tokens if is_home else 0
    )


class RegionPrefixes:
    """The home regions of prefixes, and where this VM forwarded them.

    All VMs agree on the home regions up to the lag of the instance list.

    :ivar homes: home region by service, prefix and allowed regions, for the
        instance list ``instances``.
    :ivar forwarded_at: timer seconds at which another region responded to a
        request with a prefix, by region and prefix.
    """

    def __init__(
        self, view: agents.FleetView, region_by_domain: dict[str, str]
    ) -> None:
        self.view = view
        self.region_by_domain = region_by_domain
        self.instances: dict | None = None
        self.homes: dict[tuple, str] = {}
        self.forwarded_at: dict[tuple[str, str], float] = {}

    def find_home(self, job: jobs.Job, allowed: frozenset[str] | None) -> str:
        """Returns the home region of a job's prefix, empty if it has none.

        :param allowed: regions that may run the request; None for all.
        """
        prompt = job.generation_prompt
        if prompt is None or prompt.shared_tokens < MIN_HOME_PREFIX_TOKENS:
            return ''
        is_new_list = self.instances is not self.view.instances
        if is_new_list or len(self.homes) >= MAX_KNOWN_PREFIXES:
            self.instances = self.view.instances
            self.homes.clear()
        key = (job.service.name, prompt.shared_prefix, allowed)
        if key not in self.homes:
            self.homes[key] = self.compute_home(*key)
        return self.homes[key]

    def compute_home(
        self, service: str, prefix: str, allowed: frozenset[str] | None
    ) -> str:
        region_by_name = {
            one.name: self.region_by_domain.get(one.domain, '')
            for one in self.view.instances.values()
            if one.service == service and not one.is_leaving
        }
        home = placement.home_name(
            prefix,
            (
                name
                for name, region in region_by_name.items()
                if allowed is None or region in allowed
            ),
        )
        return region_by_name.get(home, '')

    def remote_prompt_tokens(
        self, job: jobs.Job, region: str, home_region: str, now: float
    ) -> PromptTokens:
        """Returns what another region would prefill of a job's prompt."""
        prompt = job.generation_prompt
        if prompt is None:
            return NO_TOKENS
        forwarded_at = self.forwarded_at.get(
            (region, prompt.shared_prefix), -math.inf
        )
        is_cached = now - forwarded_at < FORWARDED_PREFIX_SECONDS
        return tokens_to_prefill(
            prompt,
            prompt.shared_tokens if is_cached else 0,
            home_region == region,
        )

    def record_response(self, job: jobs.Job, region: str, now: float) -> None:
        """Records that another region has prefilled a job's prompt."""
        prompt = job.generation_prompt
        if prompt is None or not prompt.shared_prefix:
            return
        if len(self.forwarded_at) >= MAX_KNOWN_PREFIXES:
            self.forwarded_at.clear()
        self.forwarded_at[region, prompt.shared_prefix] = now
