"""A fake model engine.

It processes a limited number of requests at once. The time for each token
grows with the number of running requests, as with continuous batching. It
caches the prefixes of the most recent prompts, and a prompt with a cached
prefix gets its first token sooner.
"""

import collections
import dataclasses
import hashlib

import anyio
import anyio.abc
import orjson

from . import http_server

MAX_CACHED_PREFIXES = 64
PREFIX_BYTES = 512
TEXT_COMPLETION_PATH = '/v1/completions'


ERROR_BODY = b'{"error": "out of memory"}\n\n'
ERROR_HEAD = (
    b'HTTP/1.1 500 Internal Server Error\r\n'
    b'Content-Type: application/json\r\n\r\n'
)


@dataclasses.dataclass
class EngineSettings:
    """Settings of a fake engine.

    :ivar slots: requests that it processes at once.
    :ivar report_lag_seconds: interval at which the reported load is
        refreshed.
    """

    slots: int = 8
    first_token_seconds: float = 0.01
    cached_first_token_seconds: float = 0.004
    token_seconds: float = 0.002
    report_lag_seconds: float = 0.1
    checks_order: bool = False


class Engine:
    """One fake engine.

    :ivar fault: the fault to inject, or empty for none: ``429``, ``500``,
        ``503``, ``reset``, ``silent``, ``garbage``, ``crossed``, ``cut``,
        ``hang``, ``early_end``, ``quoted_end``, ``upgrade``, ``error_head``
        (the head of an error behind the events), ``cut_then_error`` (a cut,
        and an error as the rest of the stream), ``no_report`` or
        ``report_stops``.
    :ivar fault_count: the number of requests that the fault still affects;
        faults of the load report do not count.
    :ivar started_request_ids: IDs of the requests that started at offset 0.
    :ivar reported_load: running and waiting requests as ``/load`` reports
        them, which lags behind the current numbers.
    """

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
        self.software_version = 'v1'
        self.fault = ''
        self.fault_count = 1000000
        # A prompt that contains this text crashes the engine.
        self.crashing_text = b''
        self.is_leaving = False
        self.running_count = 0
        self.waiting_count = 0
        self.received_requests: list[http_server.Request] = []
        self.started_request_ids: list[str] = []
        self.cancelled_count = 0
        self.cached_prefixes: collections.OrderedDict = (
            collections.OrderedDict()
        )
        self.slot_semaphore = anyio.Semaphore(self.settings.slots)
        self.reported_load = (0, 0)
        self.generated_token_count = 0

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.refresh_reported_load)
            await self.server.run(task_status=task_status)

    async def refresh_reported_load(self) -> None:
        while True:
            self.reported_load = (self.running_count, self.waiting_count)
            await anyio.sleep(self.settings.report_lag_seconds)

    def next_fault(self) -> str:
        if not self.fault or self.fault_count <= 0:
            return ''
        self.fault_count -= 1
        return self.fault

    async def handle(
        self,
        request: http_server.Request,
        writer: http_server.ResponseWriter,
    ) -> None:
        if request.path == '/load':
            await self.send_load_report(request, writer)
            return
        self.received_requests.append(request)
        fault = self.next_fault()
        if await self.inject_early_fault(request, fault, writer):
            return
        self.waiting_count += 1
        try:
            await self.slot_semaphore.acquire()
        finally:
            self.waiting_count -= 1
        self.running_count += 1
        try:
            await self.generate(request, writer, fault)
        except anyio.get_cancelled_exc_class():
            self.cancelled_count += 1
            raise
        finally:
            self.running_count -= 1
            self.slot_semaphore.release()

    async def send_load_report(
        self,
        request: http_server.Request,
        writer: http_server.ResponseWriter,
    ) -> None:
        if self.fault == 'no_report':
            await writer.send_response(500, b'{}')
            return
        if self.fault == 'report_stops':
            await writer.start(200, [('content-length', '100')])
            await writer.send(b'{"running": 1')
            await anyio.sleep_forever()
        running, waiting = self.reported_load
        report = {
            'running': running,
            'waiting': waiting,
            'leaving': self.is_leaving,
        }
        request_id = request.headers.get('x-request-id', '')
        headers = (('x-request-id', request_id),)
        await writer.send_response(200, orjson.dumps(report), headers)

    async def inject_early_fault(
        self,
        request: http_server.Request,
        fault: str,
        writer: http_server.ResponseWriter,
    ) -> bool:
        """Injects a fault that occurs before a valid response begins.

        :returns: whether a fault was injected.
        """
        if fault in ('429', '500', '503'):
            headers = (('retry-after', '1'),) if fault != '500' else ()
            request_id = request.headers.get('x-request-id', '')
            headers += (('x-request-id', request_id),)
            await writer.send_response(int(fault), b'{"error":{}}', headers)
        elif fault == 'error_as_rest':
            headers = (
                ('x-request-id', request.headers.get('x-request-id', '')),
                ('x-software-version', self.software_version),
                ('content-type', 'application/json'),
            )
            await writer.send_response(206, ERROR_BODY, headers)
        elif fault == 'reset':
            await writer.abort()
        elif fault == 'silent':
            await anyio.sleep_forever()
        elif fault == 'garbage':
            await writer.send_raw(b'\x00\x01 this is not HTTP\r\n\r\n')
            await writer.abort()
        else:
            return False
        return True

    async def generate(
        self,
        request: http_server.Request,
        writer: http_server.ResponseWriter,
        fault: str,
    ) -> None:
        content = orjson.loads(request.body)
        request_id = request.headers.get('x-request-id', '')
        offset = int(request.headers.get('x-resume-offset', '0'))
        if not offset:
            self.started_request_ids.append(request_id)
        await anyio.sleep(self.first_token_seconds(content))
        if self.crashing_text and self.crashing_text in request.body:
            self.server.crash()
            await anyio.sleep_forever()
        if fault == 'crossed':
            request_id = 'of-another-request'
        headers = [
            ('x-request-id', request_id),
            ('x-software-version', self.software_version),
        ]
        content['is_text'] = request.path == TEXT_COMPLETION_PATH
        tokens = generate_tokens(content)
        self.generated_token_count += len(tokens)
        if content.get('stream'):
            await self.send_stream(
                writer, headers, content, tokens, offset, fault
            )
        else:
            await anyio.sleep(self.token_seconds * len(tokens))
            await self.send_completion(writer, headers, content, tokens, fault)

    @property
    def token_seconds(self) -> float:
        utilisation = self.running_count / self.settings.slots
        return self.settings.token_seconds * (1 + utilisation)

    def first_token_seconds(self, content: dict) -> float:
        prompt = orjson.dumps(content.get('messages', content.get('prompt')))
        prefix = hashlib.sha256(prompt[:PREFIX_BYTES]).digest()
        is_cached = prefix in self.cached_prefixes
        self.cached_prefixes[prefix] = True
        self.cached_prefixes.move_to_end(prefix)
        if len(self.cached_prefixes) > MAX_CACHED_PREFIXES:
            self.cached_prefixes.popitem(last=False)
        if is_cached:
            return self.settings.cached_first_token_seconds
        return self.settings.first_token_seconds

    async def send_completion(
        self,
        writer: http_server.ResponseWriter,
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
                'usage': make_usage(content, tokens),
            }
        )
        if fault == 'cut':
            await writer.start(
                200, [*headers, ('content-length', str(len(body)))]
            )
            await writer.send(body[: len(body) // 2])
            await writer.abort()
        headers.append(('backend-server', self.name))
        await writer.send_response(200, body, tuple(headers))

    async def send_stream(
        self,
        writer: http_server.ResponseWriter,
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
        await writer.start(
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
                if fault == 'cut_then_error':
                    self.fault, self.fault_count = 'error_as_rest', 1
                if fault in ('cut', 'cut_then_error'):
                    await writer.send(event[: len(event) // 2])
                    await writer.abort()
                if fault == 'error_head':
                    await writer.send(ERROR_HEAD + ERROR_BODY)
                    await writer.finish()
                    return
                if fault == 'upgrade':
                    self.software_version = 'v2'
                    await writer.abort()
                if fault == 'hang':
                    await anyio.sleep_forever()
                if fault == 'quoted_end':
                    await writer.send(make_event(content, 'data: [DONE]'))
                if fault in ('early_end', 'quoted_end'):
                    await writer.finish()
                    return
            await writer.send(event)
            if at < len(tokens):
                await anyio.sleep(self.token_seconds)
        await writer.finish()


def generate_tokens(content: dict) -> list[str]:
    """Returns the tokens of a writer, which depend only on the request."""
    prompt = orjson.dumps(content.get('messages', content.get('prompt')))
    seed = hashlib.sha256(prompt).hexdigest()
    count = min(content.get('max_tokens') or 16, content.get('stop_at', 16))
    return [f'{seed[at % 60 : at % 60 + 4]} ' for at in range(count)]


def make_choice(content: dict, text: str) -> dict:
    """Returns the choice of a complete chat or text completion."""
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


def make_usage(content: dict, tokens: list[str]) -> dict:
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
            'usage': make_usage(content, tokens),
        }
    )
    return b'data: ' + body + b'\n\n'
