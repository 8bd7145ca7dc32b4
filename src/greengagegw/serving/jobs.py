"""A routed request with its deadline, priority and attempt limit."""

import collections.abc
import dataclasses
import typing

from .. import errors
from .. import timers as timer_service
from . import admission
from . import cost_distribution
from ..fleet import configuration as configurations
from ..policy import crash_attribution
from . import ports
from . import prompts
from . import servers as server_pool


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request with its route, service, deadline and priority.

    :ivar version: version of the configuration that routed it.
    :ivar deadline: timer seconds by which the client needs the complete
        response.
    :ivar objective_left: seconds until a response that has not begun misses
        the latency objective; negative if it has.
    :ivar priority_rank: number of more urgent request classes of its service.
    :ivar organisation_priority_rank: number of more urgent organisation
        priorities.
    :ivar is_client_retry: whether the client retries a rejected request.
    :ivar attempts: counts the backend servers that the request was sent to.
    :ivar software_version: only servers of this version may get the request;
        None for all.
    :ivar is_forwarded: whether another entry VM received the request from the
        client.
    :ivar digest: identifies the repeats of the request, by its path, caller
        and body.
    """

    request: ports.Request
    route: configurations.Route
    service: configurations.Service
    organisation: str | None
    version: int
    deadline: float
    objective_left: float
    priority_rank: int
    organisation_priority_rank: int
    is_client_retry: bool
    attempts: 'Attempts'
    software_version: str | None = None
    digest: str = ''
    is_forwarded: bool = False

    def admission_request(
        self, urgent_rejection_rate: float, now: float
    ) -> admission.AdmissionRequest:
        """Returns the input of the admission decision.

        :param urgent_rejection_rate: share of the recent requests of the
            service's most urgent class that were rejected.
        :param now: timer seconds.
        """
        return admission.AdmissionRequest(
            self.objective_left,
            self.deadline - now,
            self.priority_rank,
            self.organisation_priority_rank,
            self.is_client_retry,
            urgent_rejection_rate,
        )

    @property
    def resumes_stream(self) -> bool:
        """Whether the client resumes a stream of an earlier request."""
        return self.route.is_stream and self.request.resume_after is not None

    @property
    def generation_prompt(self) -> prompts.Prompt | None:
        """The prompt, None if no engine has to prefill one."""
        return self.request.prompt if self.service.is_engine else None

    @property
    def traits(self) -> tuple[str, ...]:
        """What the request may have in common with others of its service."""
        prompt = self.generation_prompt
        segments = () if prompt is None else prompt.segments
        return (*(one.name for one in segments), self.digest)

    @property
    def has_attempts_left(self) -> bool:
        """Whether the route's attempt limit allows another server."""
        return self.attempts.count < self.attempts.max_count


class Attempts:
    """Counts the backend servers one request was sent to, in all regions."""

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        self.count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerChoice:
    """The server chosen for a request.

    :ivar predicted_seconds: seconds until the response begins.
    :ivar uncached_tokens: prompt tokens that the server has not cached.
    :ivar cost: distribution of the request's events; None if it is unknown or
        placement did not need it.
    """

    server: server_pool.Server
    predicted_seconds: float
    uncached_tokens: float
    cost: cost_distribution.Distribution | None = None


def digest_request(organisation: str | None, request: ports.Request) -> str:
    """Returns what identifies the repeats of a request, also on other VMs."""
    return crash_attribution.digest_request(
        organisation or '',
        b'%s\n%s' % (request.host.encode(), request.target),
        request.body,
    )


async def await_until_deadline(
    timers: timer_service.Timers,
    job: Job,
    awaitable: collections.abc.Awaitable,
) -> typing.Any:
    """Returns the awaited result if it arrives before the job's deadline.

    :raises BackendTimeoutError: if it does not.
    """
    seconds_left = max(0.0, job.deadline - timers.now())
    with timers.move_on_after(seconds_left):
        return await awaitable
    raise errors.BackendTimeoutError('the request deadline has passed')
