"""An HTTP client for the operator interface of a VM."""

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


class OperatorClient:
    """A client for the operator interface of one VM."""

    def __init__(self, url: str, token: str) -> None:
        self.url = url.rstrip('/')
        self.http = httpx.Client(
            headers={'authorization': f'Bearer {token}'},
            timeout=TIMEOUT_SECONDS,
            trust_env=False,
        )

    def request(
        self,
        method: str,
        path: str,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> httpx.Response:
        """Sends a request and returns the response.

        :raises PeerUnreachableError: if the VM cannot be reached.
        :raises GatewayError: the error that the VM reported.
        """
        try:
            response = self.http.request(
                method, self.url + path, content=content, headers=headers
            )
        except httpx.HTTPError as error:
            raise errors.PeerUnreachableError(
                f'{self.url} cannot be reached: {error}', retry_after=1
            ) from error
        if response.status_code >= 400:
            raise decode_error(response)
        return response


def decode_error(response: httpx.Response) -> errors.GatewayError:
    """Returns the error that a response with an error status holds."""
    try:
        return error_codec.unpack(response.json()['error'])
    except (ValueError, KeyError, TypeError):
        return errors.RemoteError(
            f'the VM responded with status {response.status_code}'
            ' and no error object',
            status=response.status_code,
            code='unknown_answer',
            run=errors.UNKNOWN,
        )


def with_client(
    command: collections.abc.Callable,
) -> collections.abc.Callable:
    """Adds --url and --token, and passes an :class:`OperatorClient`."""

    @click.option(
        '--url',
        envvar=URL_VARIABLE,
        required=True,
        help=f'URL of the operator interface of any VM [{URL_VARIABLE}].',
    )
    @click.option(
        '--token',
        envvar=TOKEN_VARIABLE,
        required=True,
        help=f'Operator token [{TOKEN_VARIABLE}].',
    )
    @functools.wraps(command)
    def wrapped(url: str, token: str, **arguments: typing.Any) -> typing.Any:
        return command(client=OperatorClient(url, token), **arguments)

    return wrapped


def output_option(
    command: collections.abc.Callable,
) -> collections.abc.Callable:
    """Adds --output, which selects text or JSON."""
    return click.option(
        '--output',
        type=click.Choice(['text', 'json']),
        default='text',
        help='Output format.',
    )(command)


def print_result(content: typing.Any, output: str, text: str) -> None:
    """Prints a result as text or JSON.

    :param content: printed for the output format ``json``.
    :param text: printed for the output format ``text``.
    """
    if output == 'json':
        click.echo(orjson.dumps(content, option=orjson.OPT_INDENT_2).decode())
    else:
        click.echo(text)
