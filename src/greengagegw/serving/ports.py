"""Requests, responses and the port to the backend servers."""

import collections.abc
import contextlib
import dataclasses
import typing

from .. import errors
from ..fleet import instances
from ..ports import peers
from . import prompts

RawHeaders = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A client's request with its complete body.

    :ivar target: path and query as the client sent them.
    :ivar headers: headers that a backend server receives unchanged.
    :ivar key: the client's API key.
    :ivar client_timeout_seconds: seconds for which the client waits for the
        complete response; None if it does not say.
    :ivar prompt: size of the generation; None for other calls.
    :ivar resume_after: ID of the event after which a stream resumes.
    :ivar resumed_request: ID of the client's request that received the first
        event of the stream; None if the client does not say.
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
    resumed_request: str | None = None

    def pack(self) -> list:
        """Returns the request without its key, to forward it to another VM."""
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
        """Returns a request that another VM has forwarded.

        :raises PeerProtocolError: if it is malformed; a count that is odd
            would stay in the models of the servers.
        """
        try:
            *first, headers, body, client_timeout, prompt, resume_after = (
                values
            )
            pairs = tuple((name, value) for name, value in headers)
            return cls(
                *first,
                pairs,
                body,
                '',
                client_timeout,
                None if prompt is None else unpack_prompt(prompt),
                resume_after,
            )
        except (TypeError, ValueError) as error:
            raise errors.PeerProtocolError(
                'a forwarded request is malformed', run=errors.NOT_RUN
            ) from error


def unpack_prompt(values: list) -> prompts.Prompt:
    """Returns a prompt that another VM has forwarded.

    :raises ValueError: or ``TypeError``, if it is malformed.
    """
    model, tokens, max_output_tokens, segments, expected = values
    return prompts.Prompt(
        peers.check_text(model),
        peers.check_count(tokens),
        peers.check_count(max_output_tokens),
        tuple(
            prompts.Segment(peers.check_text(name), peers.check_count(size))
            for name, size in segments
        ),
        peers.check_count(expected),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRequest:
    """A request as it is sent to one backend server.

    :ivar timeout_seconds: seconds after which the server may stop.
    :ivar is_resumption: whether the client has received the beginning of the
        response already.
    :ivar resume_after: ID of the event after which a stream resumes.
    """

    request: Request
    organisation: str | None
    timeout_seconds: float
    is_resumption: bool
    resume_after: str | None
    is_retryable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that a backend server reports with a response.

    :ivar running: requests that it runs.
    :ivar waiting: requests that wait for a slot.
    :ivar slots: requests that it can run concurrently.
    :ivar slowdown: factor by which work takes longer at present (1.0 is
        normal); None if the server does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerNotice:
    """What a backend server says of itself in the head of a response.

    :ivar is_leaving: whether it is about to leave, so must get no new
        requests.
    :ivar pause_seconds: seconds for which it wants no requests from this VM.
    :ivar request_limit: requests a second that it takes from all VMs together;
        infinite if it names no limit, None if nothing is known of it.
    :ivar rejection_limit: requests that it can reject in a second for lack of
        capacity without crashing; infinite and None as for the request limit.
    """

    is_leaving: bool = False
    pause_seconds: float = 0.0
    request_limit: float | None = None
    rejection_limit: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response whose body is still being received.

    :ivar chunks: the body; raises BrokenStreamError if it ends early.
    :ivar load: the load that the server reported, if any.
    :ivar ends_by_close: whether the body ends with its connection, so that
        an orderly close in the middle of it looks like its end.
    :ivar software_version: of the backend server that began it; None if a VM
        that forwards it does not know.
    :ivar abort: ends a pending read of the body with a BrokenStreamError;
        None if only the cancellation of the reader ends it.
    :ivar is_event_stream: whether the body may be a stream of events by its
        media type.
    """

    status: int
    headers: RawHeaders
    chunks: collections.abc.AsyncIterator[bytes]
    load: ReportedLoad | None = None
    ends_by_close: bool = False
    software_version: str | None = None
    abort: collections.abc.Callable[[], None] | None = None
    is_event_stream: bool = True


class BackendPort(typing.Protocol):
    """The connection to the backend servers of this region."""

    def send(
        self,
        instance: instances.Instance,
        backend_request: BackendRequest,
        on_notice: collections.abc.Callable[[ServerNotice], None],
    ) -> contextlib.AbstractAsyncContextManager[Response]:
        """Sends a request to one instance and enters its response.

        :param on_notice: called with what the instance says of itself, also
            if its response is a rejection.
        :raises BackendConnectError: if nothing was sent.
        :raises BackendRefusedError: if the server did not run the request.
        :raises BackendError: if the request may have run.
        """

    async def is_accepting_connections(
        self, instance: instances.Instance
    ) -> bool:
        """Returns whether a connection to an instance is established in time.

        Opens a connection and closes it.
        """

    async def is_refusing_connections(
        self, instance: instances.Instance
    ) -> bool:
        """Returns whether nothing listens at the address of an instance.

        Opens a connection and closes it. An attempt that gets no reply in
        time says nothing, since a packet may be lost.
        """
