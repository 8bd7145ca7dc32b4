"""Asks the operators' side of a VM over HTTP."""

import collections.abc
import functools
import typing

import click
import httpx
import orjson

from .. import errors
from ..adapters import error_codec

TIMEOUT_SECONDS = 20.0
URL_VARIABLE = 'GREENGAGEGW_URL'
TOKEN_VARIABLE = 'GREENGAGEGW_TOKEN'  # noqa: S105


class Remote:
    """The operators' side of one VM."""

    def __init__(self, url: str, token: str) -> None:
        self.url = url.rstrip('/')
        self.client = httpx.Client(
            headers={'authorization': f'Bearer {token}'},
            timeout=TIMEOUT_SECONDS,
            trust_env=False,
        )

    def ask(
        self,
        method: str,
        path: str,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> httpx.Response:
        """Returns the answer of the VM.

        :raises GatewayError: as the VM reported it.
        """
        try:
            response = self.client.request(
                method, self.url + path, content=content, headers=headers
            )
        except httpx.HTTPError as error:
            raise errors.PeerUnreachableError(
                f'{self.url} cannot be reached: {error}', retry_after=1
            ) from error
        if response.status_code >= 400:
            raise read_error(response)
        return response


def read_error(response: httpx.Response) -> errors.GatewayError:
    """Returns the error that an answer tells of."""
    try:
        return error_codec.unpack(response.json()['error'])
    except (ValueError, KeyError, TypeError):
        return errors.RemoteError(
            f'status {response.status_code} without a reason',
            status=response.status_code,
            code='unknown_answer',
            run=errors.UNKNOWN,
        )


def with_remote(
    command: collections.abc.Callable,
) -> collections.abc.Callable:
    """Adds the options that name a VM, and passes a :class:`Remote`."""

    @click.option(
        '--url',
        envvar=URL_VARIABLE,
        required=True,
        help=f"Operators' address of any VM [{URL_VARIABLE}].",
    )
    @click.option(
        '--token',
        envvar=TOKEN_VARIABLE,
        required=True,
        help=f"Operators' token [{TOKEN_VARIABLE}].",
    )
    @functools.wraps(command)
    def wrapped(url: str, token: str, **arguments: typing.Any) -> typing.Any:
        return command(remote=Remote(url, token), **arguments)

    return wrapped


def output_option(
    command: collections.abc.Callable,
) -> collections.abc.Callable:
    """Adds the option that chooses between text and JSON."""
    return click.option(
        '--output',
        type=click.Choice(['text', 'json']),
        default='text',
        help='Form of the output.',
    )(command)


def show(content: typing.Any, output: str, text: str) -> None:
    """Prints a result in the chosen form."""
    if output == 'json':
        click.echo(orjson.dumps(content, option=orjson.OPT_INDENT_2).decode())
    else:
        click.echo(text)
