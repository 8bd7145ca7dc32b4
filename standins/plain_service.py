"""A fake plain service that registers entries."""

import anyio
import anyio.abc
import orjson

from . import http_server


class PlainService:
    """Records the requests that it executes.

    :ivar fault: the fault to inject: ``not_run``, ``503``, ``reset_before``,
        ``reset_after``, ``silent``, or empty for none.
    :ivar executed_bodies: bodies of the executed requests.
    :ivar crashing_text: a request whose body contains it crashes the service.
    """

    def __init__(
        self, name: str, host: str, port: int, run_seconds: float = 0.005
    ) -> None:
        self.name = name
        self.run_seconds = run_seconds
        self.server = http_server.Server(host, port, self.handle)
        self.fault = ''
        self.crashing_text = b''
        self.is_leaving = False
        self.running_count = 0
        self.received_requests: list[http_server.Request] = []
        self.executed_bodies: list[bytes] = []

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        await self.server.run(task_status=task_status)

    async def handle(
        self,
        request: http_server.Request,
        writer: http_server.ResponseWriter,
    ) -> None:
        if request.path == '/load':
            report = {
                'running': self.running_count,
                'waiting': 0,
                'leaving': self.is_leaving,
            }
            request_id = request.headers.get('x-request-id', '')
            headers = (('x-request-id', request_id),)
            await writer.send_response(200, orjson.dumps(report), headers)
            return
        self.received_requests.append(request)
        if await self.inject_early_fault(writer):
            return
        self.running_count += 1
        try:
            await self.register_entry(request, writer)
        finally:
            self.running_count -= 1

    async def inject_early_fault(
        self, writer: http_server.ResponseWriter
    ) -> bool:
        if self.fault == 'not_run':
            await writer.send_response(503, b'{}', (('x-run', 'not_run'),))
        elif self.fault == '503':
            await writer.send_response(503, b'{"reason":"closed"}')
        elif self.fault == 'reset_before':
            await writer.abort()
        else:
            return False
        return True

    async def register_entry(
        self,
        request: http_server.Request,
        writer: http_server.ResponseWriter,
    ) -> None:
        self.executed_bodies.append(request.body)
        number = len(self.executed_bodies)
        if self.fault == 'reset_after':
            await writer.abort()
        if self.fault == 'silent':
            await anyio.sleep_forever()
        await anyio.sleep(self.run_seconds)
        if self.crashing_text and self.crashing_text in request.body:
            self.server.crash()
            await anyio.sleep_forever()
        body = orjson.dumps({'registered': number, 'by': self.name})
        await writer.send_response(201, body)
