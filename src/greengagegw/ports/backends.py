"""The core's interface to a backend server."""

import collections.abc
import contextlib
import dataclasses
import typing

# Far above what any server can hold.
MAX_REPORTED_REQUESTS = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request for a backend server, without the client's API key.

    :ivar path: path without the service's prefix, with the query.
    :ivar repeatable: whether the request may be sent more than once.
    :ivar stream: whether the response is a stream of server-sent events.
    :ivar tokens: maximal number of tokens that the request may use.
    """

    request_id: str
    organisation: str
    service: str
    kind: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool
    stream: bool
    tokens: int
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response of a backend server.

    :ivar chunks: yields the body as it arrives and raises a BackendError if
        the rest of the body is lost.
    :ivar software_version: version of the backend server's software; empty if
        it does not say.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: collections.abc.AsyncIterator[bytes]
    backend_server: str = ''
    region: str = ''
    software_version: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a backend server reported.

    :ivar received_at: monotonic time of the report, in seconds.
    :ivar running: number of requests that the server is running.
    :ivar waiting: number of requests in the server's queue.
    :ivar leaving: whether the server accepts no new requests.
    """

    received_at: float
    running: int
    waiting: int
    leaving: bool = False


def check_count(value: typing.Any) -> int:
    """Returns a reported number of requests.

    :raises ValueError: or ``TypeError``, if it is not a whole number in the
        range of what a server can hold.
    """
    if type(value) is not int:
        raise TypeError(f'a {type(value).__name__} instead of a number')
    if not 0 <= value <= MAX_REPORTED_REQUESTS:
        raise ValueError('a number of requests is out of range')
    return value


class BackendPort(typing.Protocol):
    """A backend server."""

    name: str

    def send(
        self, call: Call
    ) -> contextlib.AbstractAsyncContextManager[Response]:
        """Sends a call and yields the response.

        Leaving the context cancels the rest of the response.
        """

    async def fetch_load(self) -> LoadReport:
        """Returns the server's current load."""

    async def is_refusing_connections(self) -> bool:
        """Returns whether nothing listens at the server's address."""
