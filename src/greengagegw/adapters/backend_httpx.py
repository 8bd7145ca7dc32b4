"""Connects httpx to the pools of connections to backend servers.

It is separate so that processes that do not use httpx do not import it.
"""

import collections.abc
import ssl
import typing

import httpcore
import httpx

from . import backend_transport

HTTP_ERRORS = (httpx.HTTPError, *backend_transport.HTTP_ERRORS)


class ResponseBody(httpx.AsyncByteStream):
    """The body of a response from httpcore."""

    def __init__(self, stream: typing.Any) -> None:
        self.stream = stream

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        return self.stream.__aiter__()

    async def aclose(self) -> None:
        await self.stream.aclose()


class Transport(httpx.AsyncBaseTransport):
    """A pool of connections to one backend server.

    Its errors are those of httpcore, not of httpx.

    :param max_idle: maximal number of idle connections.
    :param idle_seconds: time after which an idle connection is closed.
    """

    def __init__(
        self, ssl_context: ssl.SSLContext, max_idle: int, idle_seconds: float
    ) -> None:
        self.pool = backend_transport.make_pool(
            ssl_context, max_idle, idle_seconds
        )

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        url = request.url
        response = await self.pool.handle_async_request(
            httpcore.Request(
                request.method,
                httpcore.URL(
                    scheme=url.raw_scheme,
                    host=url.raw_host,
                    port=url.port,
                    target=url.raw_path,
                ),
                headers=request.headers.raw,
                content=request.stream,
                extensions=request.extensions,
            )
        )
        if response.status > backend_transport.MAX_STATUS:
            await response.aclose()
            raise httpcore.RemoteProtocolError(
                f'status {response.status} is above'
                f' {backend_transport.MAX_STATUS}'
            )
        return httpx.Response(
            response.status,
            headers=response.headers,
            stream=ResponseBody(response.stream),
            extensions=response.extensions,
        )

    async def aclose(self) -> None:
        await self.pool.aclose()
