"""A stand-in for a plain service that registers entries."""

import anyio
import anyio.abc
import orjson

from . import http_server


class PlainService:
    """Counts what it runs; ``fault`` names what goes wrong."""

    def __init__(
        self, name: str, host: str, port: int, seconds: float = 0.005
    ) -> None:
        self.name = name
        self.seconds = seconds
        self.server = http_server.Server(host, port, self.handle)
        self.fault = ''
        self.is_leaving = False
        self.running = 0
        self.received: list[http_server.Request] = []
        self.runs: list[bytes] = []

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        await self.server.run(task_status=task_status)

    async def handle(
        self, request: http_server.Request, reply: http_server.Reply
    ) -> None:
        if request.path == '/load':
            report = {
                'running': self.running,
                'waiting': 0,
                'leaving': self.is_leaving,
            }
            await reply.whole(200, orjson.dumps(report))
            return
        self.received.append(request)
        if await self.fail_before(reply):
            return
        self.running += 1
        try:
            await self.register(request, reply)
        finally:
            self.running -= 1

    async def fail_before(self, reply: http_server.Reply) -> bool:
        if self.fault == 'not_run':
            await reply.whole(503, b'{}', (('x-run', 'not_run'),))
        elif self.fault == '503':
            await reply.whole(503, b'{"reason":"closed"}')
        elif self.fault == 'reset_before':
            await reply.reset()
        else:
            return False
        return True

    async def register(
        self, request: http_server.Request, reply: http_server.Reply
    ) -> None:
        self.runs.append(request.body)
        number = len(self.runs)
        if self.fault == 'reset_after':
            await reply.reset()
        if self.fault == 'silent':
            await anyio.sleep_forever()
        await anyio.sleep(self.seconds)
        body = orjson.dumps({'registered': number, 'by': self.name})
        await reply.whole(201, body)
