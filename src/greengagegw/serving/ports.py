"""What the dispatcher asks of callers and backend servers."""

import collections.abc
import contextlib
import dataclasses
import typing

from ..fleet import instances
from . import prompts

RawHeaders = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, read as a whole.

    :ivar target: path and query as the caller sent them.
    :ivar headers: those that a backend server gets unchanged.
    :ivar patience: seconds that the caller waits; None if not told.
    :ivar resume_after: the event after which a stream is to go on.
    """

    request_id: str
    method: str
    target: bytes
    host: str
    path: str
    headers: RawHeaders
    body: bytes
    key: str
    client_timeout_seconds: float | None
    prompt: prompts.Prompt | None
    resume_after: str | None

    def pack(self) -> list:
        """Returns the request without its key, for another VM."""
        prompt = None
        if self.prompt is not None:
            prompt = [
                self.prompt.model,
                self.prompt.tokens,
                self.prompt.max_output_tokens,
                [[one.name, one.tokens] for one in self.prompt.segments],
                self.prompt.expected_output_tokens,
            ]
        return [
            self.request_id,
            self.method,
            self.target,
            self.host,
            self.path,
            list(self.headers),
            self.body,
            self.client_timeout_seconds,
            prompt,
            self.resume_after,
        ]

    @classmethod
    def unpack(cls, values: list) -> 'Request':
        *first, headers, body, patience, prompt, resume_after = values
        if prompt is not None:
            *sizes, parts, expected = prompt
            prompt = prompts.Prompt(
                *sizes, tuple(prompts.Segment(*one) for one in parts), expected
            )
        pairs = tuple((name, value) for name, value in headers)
        return cls(*first, pairs, body, '', patience, prompt, resume_after)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRequest:
    """A request as it is sent to one backend server.

    :ivar time_left: seconds after which the server may stop.
    :ivar is_resumed: whether a caller waits in the middle of its answer.
    """

    request: Request
    organisation: str | None
    timeout_seconds: float
    is_resumption: bool
    resume_after: str | None
    is_retryable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """What a backend server says of itself with an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An answer whose body is still arriving.

    :ivar chunks: raises BrokenStreamError if the body is not whole.
    """

    status: int
    headers: RawHeaders
    chunks: collections.abc.AsyncIterator[bytes]
    load: ReportedLoad | None = None


class BackendPort(typing.Protocol):
    """The backend servers of this region."""

    def send(
        self, instance: instances.Instance, backend_request: BackendRequest
    ) -> contextlib.AbstractAsyncContextManager[Response]:
        """Sends a request to one instance and enters its answer.

        :raises BackendConnectError: if nothing was sent.
        :raises BackendRefusedError: if the server did not run it.
        :raises BackendError: if it may have run.
        """
