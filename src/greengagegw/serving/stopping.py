"""Planned stop of an entry VM: which requests it takes, and which it cuts.

A VM that is being stopped takes requests as long as clients may still come to
it, but only those that can be expected to end before its process does. Others
are rejected at once as not run, so that another VM can run them.
"""

import collections.abc
import contextlib
import dataclasses

import anyio

from .. import errors
from . import jobs

# How long new requests are accepted after the stop signal. Clients use a
# directory response for up to three times its TTL.
ACCEPT_SECONDS = 5.0
STREAM_ACCEPT_SECONDS = 2.8
# In a short stop, requests are accepted for this part of it.
MAX_ACCEPT_SHARE = 0.7
MAX_STREAM_ACCEPT_SHARE = 0.4
# Share of alike requests that have to end in the time that is left.
ENDING_SHARE = 0.9
# Another VM takes the request at once.
RETRY_AFTER_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class StopLimits:
    """Seconds after the stop signal.

    :ivar accept: until then, calls are taken.
    :ivar accept_streams: until then, generations are taken.
    :ivar drain: at which requests that have not ended are cut.
    """

    accept: float
    accept_streams: float
    drain: float


def make_limits(drain_seconds: float) -> StopLimits:
    """Returns the limits of a stop.

    :param drain_seconds: from the signal until the process has to end.
    """
    return StopLimits(
        min(ACCEPT_SECONDS, MAX_ACCEPT_SHARE * drain_seconds),
        min(STREAM_ACCEPT_SECONDS, MAX_STREAM_ACCEPT_SHARE * drain_seconds),
        drain_seconds,
    )


def find_late_reason(
    limits: StopLimits, seconds: float, is_generation: bool
) -> str | None:
    """Returns why a request comes too late in a stop, None if it does not.

    :param seconds: since the stop signal.
    """
    limit = limits.accept_streams if is_generation else limits.accept
    if seconds <= limit:
        return None
    return (
        f'this VM is shutting down since {seconds:.2f} s, and takes no more'
        f' such requests after {limit:.2f} s'
    )


def find_long_reason(
    limits: StopLimits, seconds: float, expected_seconds: float | None
) -> str | None:
    """Returns why a request may not end before a stop, None if it should.

    :param seconds: since the stop signal.
    :param expected_seconds: within which it should end; None if unknown.
    """
    seconds_left = limits.drain - seconds
    if expected_seconds is None or expected_seconds <= seconds_left:
        return None
    return (
        f'this VM ends in {seconds_left:.2f} s, and the request may last'
        f' {expected_seconds:.2f} s'
    )


class Stop:
    """A planned stop that has begun.

    :ivar taken: requests that arrived during it and were taken.
    :ivar rejected: requests that were rejected.
    """

    def __init__(self, limits: StopLimits, began_at: float) -> None:
        self.limits = limits
        self.began_at = began_at
        self.taken = 0
        self.rejected = 0


class InFlightRequest:
    """A request that is being handled.

    :ivar attempts: its attempts, once they are known.
    """

    def __init__(self, arrived_at: float) -> None:
        self.arrived_at = arrived_at
        self.attempts: jobs.Attempts | None = None
        self.scope = anyio.CancelScope()

    @property
    def may_have_run(self) -> bool:
        return self.attempts is not None and self.attempts.count > 0

    def make_error(self) -> errors.GatewayError:
        """Returns the error of a request that was cut."""
        if self.may_have_run:
            return errors.StoppedError(
                'this VM has ended before the response was complete'
            )
        return errors.StoppingError(
            'this VM is shutting down', retry_after=RETRY_AFTER_SECONDS
        )


class InFlightRequests:
    """The requests that are being read or handled.

    :ivar is_closed: whether no more are taken.
    """

    def __init__(self) -> None:
        self.requests: set[InFlightRequest] = set()
        self.is_closed = False

    @contextlib.contextmanager
    def enter(self, now: float) -> collections.abc.Iterator[InFlightRequest]:
        """Enters a request, which :meth:`cut` may end.

        :raises StoppingError: if it was cut before it was sent to a server.
        :raises StoppedError: if it was cut after that.
        """
        request = InFlightRequest(now)
        if self.is_closed:
            raise request.make_error()
        self.requests.add(request)
        try:
            with request.scope:
                yield request
        finally:
            self.requests.discard(request)
        if request.scope.cancelled_caught:
            raise request.make_error()

    def cut(self) -> None:
        """Ends all requests with an error, and takes no more."""
        self.is_closed = True
        for one in self.requests:
            one.scope.cancel()
