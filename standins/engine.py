"""A stand-in for a model engine.

It holds a few requests at once and gives each a token after a fixed time,
which grows with the number of requests as it does with continuous
batching. It keeps the heads of the last prompts, and a prompt that it
knows gets its first token sooner.
"""

import collections
import dataclasses
import hashlib

import anyio
import anyio.abc
import orjson

from . import http_server

CACHED_PREFIXES = 64
PREFIX_BYTES = 512
TEXT_PATH = '/v1/completions'


@dataclasses.dataclass
class EngineSettings:
    """How the stand-in behaves; all times in seconds."""

    slots: int = 8
    first_token_seconds: float = 0.01
    cached_first_token_seconds: float = 0.004
    token_seconds: float = 0.002
    report_lag_seconds: float = 0.1
    checks_order: bool = False


class Engine:
    """One engine; ``fault`` names what goes wrong with its answers."""

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        settings: EngineSettings | None = None,
    ) -> None:
        self.name = name
        self.settings = settings or EngineSettings()
        self.server = http_server.Server(host, port, self.handle)
        self.fault = ''
        self.fault_count = 1000000
        self.is_leaving = False
        self.running = 0
        self.waiting = 0
        self.received: list[http_server.Request] = []
        self.started: list[str] = []
        self.cancelled = 0
        self.cached: collections.OrderedDict = collections.OrderedDict()
        self.slots = anyio.Semaphore(self.settings.slots)
        self.reported = (0, 0)
        self.generated_tokens = 0

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.lag_reports)
            await self.server.run(task_status=task_status)

    async def lag_reports(self) -> None:
        while True:
            self.reported = (self.running, self.waiting)
            await anyio.sleep(self.settings.report_lag_seconds)

    def take_fault(self) -> str:
        if not self.fault or self.fault_count <= 0:
            return ''
        self.fault_count -= 1
        return self.fault

    async def handle(
        self, request: http_server.Request, reply: http_server.Reply
    ) -> None:
        if request.path == '/load':
            await self.report(reply)
            return
        self.received.append(request)
        fault = self.take_fault()
        if await self.fail_before(fault, reply):
            return
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await self.generate(request, reply, fault)
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
            self.slots.release()

    async def report(self, reply: http_server.Reply) -> None:
        if self.fault == 'no_report':
            await reply.whole(500, b'{}')
            return
        if self.fault == 'report_stops':
            await reply.start(200, [('content-length', '100')])
            await reply.send(b'{"running": 1')
            await anyio.sleep_forever()
        running, waiting = self.reported
        report = {
            'running': running,
            'waiting': waiting,
            'leaving': self.is_leaving,
        }
        await reply.whole(200, orjson.dumps(report))

    async def fail_before(self, fault: str, reply: http_server.Reply) -> bool:
        """Carries out a fault before the first byte."""
        if fault in ('429', '500', '503'):
            headers = (('retry-after', '1'),) if fault != '500' else ()
            await reply.whole(int(fault), b'{"error":{}}', headers)
        elif fault == 'reset':
            await reply.reset()
        elif fault == 'silent':
            await anyio.sleep_forever()
        elif fault == 'garbage':
            await reply.raw(b'\x00\x01 this is not HTTP\r\n\r\n')
            await reply.reset()
        else:
            return False
        return True

    async def generate(
        self,
        request: http_server.Request,
        reply: http_server.Reply,
        fault: str,
    ) -> None:
        content = orjson.loads(request.body)
        request_id = request.headers.get('x-request-id', '')
        offset = int(request.headers.get('x-resume-offset', '0'))
        if not offset:
            self.started.append(request_id)
        await anyio.sleep(self.first_token_seconds(content))
        if fault == 'crossed':
            request_id = 'of-another-request'
        headers = [('x-request-id', request_id)]
        content['is_text'] = request.path == TEXT_PATH
        tokens = make_tokens(content)
        self.generated_tokens += len(tokens)
        if content.get('stream'):
            await self.stream(reply, headers, content, tokens, offset, fault)
        else:
            await anyio.sleep(self.token_seconds * len(tokens))
            await self.answer_whole(reply, headers, content, tokens, fault)

    @property
    def token_seconds(self) -> float:
        share = self.running / self.settings.slots
        return self.settings.token_seconds * (1 + share)

    def first_token_seconds(self, content: dict) -> float:
        prompt = orjson.dumps(content.get('messages', content.get('prompt')))
        prefix = hashlib.sha256(prompt[:PREFIX_BYTES]).digest()
        is_cached = prefix in self.cached
        self.cached[prefix] = True
        self.cached.move_to_end(prefix)
        if len(self.cached) > CACHED_PREFIXES:
            self.cached.popitem(last=False)
        if is_cached:
            return self.settings.cached_first_token_seconds
        return self.settings.first_token_seconds

    async def answer_whole(
        self,
        reply: http_server.Reply,
        headers: list,
        content: dict,
        tokens: list[str],
        fault: str,
    ) -> None:
        body = orjson.dumps(
            {
                'id': 'cmpl-1',
                'object': 'text_completion'
                if content['is_text']
                else 'chat.completion',
                'model': content.get('model', ''),
                'choices': [make_choice(content, ''.join(tokens))],
                'usage': usage(content, tokens),
            }
        )
        if fault == 'cut':
            await reply.start(
                200, [*headers, ('content-length', str(len(body)))]
            )
            await reply.send(body[: len(body) // 2])
            await reply.reset()
        headers.append(('backend-server', self.name))
        await reply.whole(200, body, tuple(headers))

    async def stream(
        self,
        reply: http_server.Reply,
        headers: list,
        content: dict,
        tokens: list[str],
        offset: int,
        fault: str,
    ) -> None:
        events = [make_event(content, token) for token in tokens]
        options = content.get('stream_options') or {}
        if options.get('include_usage'):
            events.append(make_usage_event(content, tokens))
        events.append(b'data: [DONE]\n\n')
        await reply.start(
            206 if offset else 200,
            [
                *headers,
                ('content-type', 'text/event-stream'),
                ('transfer-encoding', 'chunked'),
            ],
        )
        for at, event in enumerate(events):
            if offset >= len(event):
                offset -= len(event)
                continue
            event, offset = event[offset:], 0
            if at == len(events) // 2:
                if fault == 'cut':
                    await reply.send(event[: len(event) // 2])
                    await reply.reset()
                if fault == 'hang':
                    await anyio.sleep_forever()
                if fault == 'early_end':
                    await reply.finish()
                    return
            await reply.send(event)
            if at < len(tokens):
                await anyio.sleep(self.token_seconds)
        await reply.finish()


def make_tokens(content: dict) -> list[str]:
    """Returns the tokens of an answer, the same for the same prompt."""
    prompt = orjson.dumps(content.get('messages', content.get('prompt')))
    seed = hashlib.sha256(prompt).hexdigest()
    count = min(content.get('max_tokens') or 16, content.get('stop_at', 16))
    return [f'{seed[at % 60 : at % 60 + 4]} ' for at in range(count)]


def make_choice(content: dict, text: str) -> dict:
    """Returns the whole answer of a chat or of a text completion."""
    choice = {'index': 0, 'finish_reason': 'stop'}
    if content['is_text']:
        return {**choice, 'text': text}
    return {**choice, 'message': {'role': 'assistant', 'content': text}}


def make_event(content: dict, token: str) -> bytes:
    kind, choice = 'chat.completion.chunk', {'delta': {'content': token}}
    if content['is_text']:
        kind, choice = 'text_completion', {'text': token}
    body = orjson.dumps(
        {
            'object': kind,
            'model': content.get('model', ''),
            'choices': [{'index': 0, **choice}],
        }
    )
    return b'data: ' + body + b'\n\n'


def usage(content: dict, tokens: list[str]) -> dict:
    prompt = orjson.dumps(content.get('messages', content.get('prompt')))
    used = max(1, len(prompt) // 4)
    return {
        'prompt_tokens': used,
        'completion_tokens': len(tokens),
        'total_tokens': used + len(tokens),
    }


def make_usage_event(content: dict, tokens: list[str]) -> bytes:
    body = orjson.dumps(
        {
            'object': 'chat.completion.chunk',
            'model': content.get('model', ''),
            'choices': [],
            'usage': usage(content, tokens),
        }
    )
    return b'data: ' + body + b'\n\n'
