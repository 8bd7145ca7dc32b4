"""A request with what was decided on it."""

import collections.abc
import dataclasses
import typing

from .. import errors
from .. import timers as timer_service
from . import admission
from ..fleet import configuration as configurations
from . import ports
from . import servers as server_pool


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request with what was decided on it.

    :ivar until: timer seconds at which the caller must have all of it.
    :ivar objective: seconds that are left until the answer counts as late.
    :ivar rank: how many classes of its service are more urgent.
    :ivar organisation_rank: how many priorities of organisations are.
    :ivar has_returned: whether its caller was refused before.
    :ivar sends: counts the backend servers that it was sent to.
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

    def admission_request(self, now: float) -> admission.AdmissionRequest:
        """Returns what it may ask for now, in timer seconds."""
        return admission.AdmissionRequest(
            self.objective_left,
            self.deadline - now,
            self.priority_rank,
            self.organisation_priority_rank,
            self.is_client_retry,
        )

    @property
    def has_attempts_left(self) -> bool:
        """Whether the operator allows one more backend server."""
        return self.attempts.count < self.attempts.max_count


class Attempts:
    """How many backend servers one request was sent to, in all regions."""

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        self.count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerChoice:
    """A server for a request.

    :ivar predicted: seconds until the answer begins.
    :ivar unread: tokens of the prompt that are not cached there.
    """

    server: server_pool.Server
    predicted_seconds: float
    uncached_tokens: float


async def await_until_deadline(
    timers: timer_service.Timers,
    job: Job,
    awaitable: collections.abc.Awaitable,
) -> typing.Any:
    """Returns what is awaited, if it comes while the caller waits.

    :raises BackendTimeoutError: if it does not.
    """
    seconds_left = max(0.0, job.deadline - timers.now())
    with timers.limit(seconds_left):
        return await awaitable
    raise errors.BackendTimeoutError('the time for the answer is over')
