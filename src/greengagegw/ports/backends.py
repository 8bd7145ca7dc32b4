"""What the core asks of a backend server."""

import collections.abc
import contextlib
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request to be run by a backend server.

    The caller's key is nowhere in it.

    :ivar path: path with the service's prefix removed, query included.
    :ivar repeatable: whether it may be sent more than once.
    :ivar stream: whether the answer is a stream of server-sent events.
    :ivar tokens: upper bound of the tokens it may use.
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
    """What a backend server answered.

    :ivar chunks: the body as it arrives; it raises a BackendError when
        the body breaks off.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: collections.abc.AsyncIterator[bytes]
    backend_server: str = ''
    region: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a backend server said of its load.

    :ivar at: monotonic seconds at which the report was received.
    :ivar leaving: the backend server wants no new work.
    """

    received_at: float
    running: int
    waiting: int
    leaving: bool = False


class BackendPort(typing.Protocol):
    """One backend server."""

    name: str

    def send(
        self, call: Call
    ) -> contextlib.AbstractAsyncContextManager[Response]:
        """Sends a call and enters its answer.

        Leaving the context cancels what has not been received.
        """

    async def fetch_load(self) -> LoadReport:
        """Asks for the load."""
