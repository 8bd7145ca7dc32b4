"""Serves an ASGI application with hypercorn."""

import collections.abc
import dataclasses
import typing

import anyio
import hypercorn.asyncio
import hypercorn.config

MAX_KEEP_ALIVE_REQUESTS = 100000
BACKLOG = 1024
# Time that a cancelled server leaves its open requests.
ABORT_GRACE_SECONDS = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSettings:
    """Limits of a server.

    :ivar header_bytes: maximal size of a request's headers.
    :ivar idle_seconds: keep-alive timeout of an idle connection.
    :ivar stop_seconds: time for open requests to end after a stop.
    """

    header_bytes: int
    idle_seconds: float
    stop_seconds: float


async def serve(
    application: typing.Any,
    address: tuple[str, int],
    settings: ServerSettings,
    stop: collections.abc.Callable[[], collections.abc.Awaitable[typing.Any]],
) -> None:
    """Serves until ``stop`` returns and the open requests have ended."""
    host, port = address
    config = hypercorn.config.Config()
    config.bind = [f'[{host}]:{port}' if ':' in host else f'{host}:{port}']
    config.h11_max_incomplete_size = settings.header_bytes
    config.keep_alive_timeout = settings.idle_seconds
    config.keep_alive_max_requests = MAX_KEEP_ALIVE_REQUESTS
    config.graceful_timeout = settings.stop_seconds
    config.backlog = BACKLOG
    config.include_server_header = False
    config.alpn_protocols = ['http/1.1']
    config.errorlog = None
    config.accesslog = None
    shutdown = anyio.Event()
    finished = anyio.Event()

    async def run_server() -> None:
        # Hypercorn does not end cleanly when it is cancelled, so it is
        # stopped by its shutdown trigger alone.
        with anyio.CancelScope(shield=True):
            await hypercorn.asyncio.serve(
                application,
                config,
                shutdown_trigger=shutdown.wait,
                mode='asgi',
            )
        finished.set()

    async def await_stop() -> None:
        await stop()
        shutdown.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_server)
        tasks.start_soon(await_stop)
        try:
            await finished.wait()
        except anyio.get_cancelled_exc_class():
            config.graceful_timeout = ABORT_GRACE_SECONDS
            shutdown.set()
            raise
        tasks.cancel_scope.cancel()
