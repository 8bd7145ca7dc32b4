"""What the core asks of the other VMs of the deployment."""

import collections.abc
import contextlib
import typing


class PeerStream(typing.Protocol):
    """A forwarded request on its way: a message, then its answer."""

    async def receive(self) -> typing.Any:
        """Returns the next message.

        :raises anyio.EndOfStream: after the last one.
        :raises PeerLostError: if the peer is gone.
        """

    async def send(self, message: typing.Any) -> None:
        """Sends a message, waiting for credit from the reader."""


class PeerPort(typing.Protocol):
    """The other VMs, by name."""

    async def call(
        self,
        vm: str,
        method: str,
        message: typing.Any,
        timeout: float | None = None,
    ) -> typing.Any:
        """Sends one message and returns the one answer to it.

        :param timeout: seconds.
        :raises PeerUnreachableError: if nothing was sent.
        :raises PeerError: if the outcome is not known.
        """

    async def notify(self, vm: str, method: str, message: typing.Any) -> None:
        """Sends one message that gets no answer and may be lost.

        :raises PeerError: if it surely was not sent.
        """

    def open(
        self, vm: str, method: str, message: typing.Any
    ) -> contextlib.AbstractAsyncContextManager[PeerStream]:
        """Opens a stream, for an answer in several messages."""


Handler = collections.abc.Callable[
    [str, typing.Any], collections.abc.Awaitable[typing.Any]
]
StreamHandler = collections.abc.Callable[
    [str, typing.Any, PeerStream], collections.abc.Awaitable[None]
]
