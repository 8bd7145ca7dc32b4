"""The core's interface to the other VMs of the deployment."""

import collections.abc
import contextlib
import math
import typing

from .. import errors


class PeerStream(typing.Protocol):
    """A stream of messages from and to a peer."""

    async def receive(self) -> typing.Any:
        """Returns the next message.

        :raises anyio.EndOfStream: after the last one.
        :raises PeerLostError: if the connection to the peer is lost.
        """

    async def send(self, message: typing.Any) -> None:
        """Sends a message, after waiting for credit from the reader."""

    def fail(self, error: errors.GatewayError) -> None:
        """Has pending and later calls raise an error.

        Messages that were received before are returned first.
        """


class PeerPort(typing.Protocol):
    """Calls and streams to the other VMs, by VM name."""

    async def call(
        self,
        vm: str,
        method: str,
        message: typing.Any,
        timeout: float | None = None,
    ) -> typing.Any:
        """Sends a message and returns the reply to it.

        :param timeout: in seconds; None for the default of the settings.
        :raises PeerUnreachableError: if the message was not sent.
        :raises PeerError: if the outcome is unknown.
        """

    async def notify(self, vm: str, method: str, message: typing.Any) -> None:
        """Sends a message that gets no reply and may be lost.

        :raises PeerError: if the message was certainly not sent.
        """

    def post(self, vm: str, method: str, message: typing.Any) -> None:
        """Sends a message that gets no reply and may be lost.

        Neither waits nor raises an error if the VM cannot be reached.
        """

    def open(
        self, vm: str, method: str, message: typing.Any
    ) -> contextlib.AbstractAsyncContextManager[PeerStream]:
        """Opens a stream, for a response of several messages."""


Handler = collections.abc.Callable[
    [str, typing.Any], collections.abc.Awaitable[typing.Any]
]
StreamHandler = collections.abc.Callable[
    [str, typing.Any, PeerStream], collections.abc.Awaitable[None]
]


def never_waits(handler: Handler) -> Handler:
    """Marks a handler whose coroutine returns without waiting for anything.

    A message without a reply is then handled without a task of its own.
    """
    handler.never_waits = True
    return handler


# Largest number that all formats and floats have exactly.
MAX_COUNT = 2**53


def check_seconds(value: typing.Any) -> float:
    """Returns a duration that another VM has sent.

    :raises ValueError: or ``TypeError``, if it is not a finite number that is
        not negative.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'a {type(value).__name__} instead of seconds')
    if not 0 <= value < math.inf:
        raise ValueError(f'{value} seconds')
    return float(value)


def check_number(value: typing.Any) -> float:
    """Returns a number that another VM has sent, which may be infinite.

    :raises ValueError: or ``TypeError``, if it is none.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'a {type(value).__name__} instead of a number')
    if math.isnan(value):
        raise ValueError('a value that is no number')
    return value


def check_count(value: typing.Any) -> int:
    """Returns a whole number that another VM has sent.

    :raises ValueError: or ``TypeError``, if it is none, negative or too large.
    """
    if type(value) is not int:
        raise TypeError(f'a {type(value).__name__} instead of a number')
    if not 0 <= value <= MAX_COUNT:
        raise ValueError(f'a count of {value}')
    return value


def check_text(value: typing.Any) -> str:
    """Returns a text that another VM has sent.

    :raises TypeError: if it is none.
    """
    if not isinstance(value, str):
        raise TypeError(f'a {type(value).__name__} instead of a text')
    return value
