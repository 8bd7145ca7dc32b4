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
    until: float
    objective: float
    rank: int
    organisation_rank: int
    has_returned: bool
    sends: 'Sends'

    def claim(self, now: float) -> admission.Claim:
        """Returns what it may ask for now, in timer seconds."""
        return admission.Claim(
            self.objective,
            self.until - now,
            self.rank,
            self.organisation_rank,
            self.has_returned,
        )

    @property
    def may_be_sent(self) -> bool:
        """Whether the operator allows one more backend server."""
        return self.sends.count < self.sends.most


class Sends:
    """How many backend servers one request was sent to, in all regions."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A server for a request.

    :ivar predicted: seconds until the answer begins.
    :ivar unread: tokens of the prompt that are not cached there.
    """

    server: server_pool.Server
    predicted: float
    unread: float


async def in_time(
    timers: timer_service.Timers,
    job: Job,
    waited: collections.abc.Awaitable,
) -> typing.Any:
    """Returns what is awaited, if it comes while the caller waits.

    :raises BackendTimeoutError: if it does not.
    """
    left = max(0.0, job.until - timers.now())
    with timers.limit(left):
        return await waited
    raise errors.BackendTimeoutError('the time for the answer is over')
