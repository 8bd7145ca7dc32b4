"""A small deployment on loopback addresses for the scenarios."""

import collections.abc
import contextlib
import pathlib

import anyio
import httpx

from standins import deployment as deployments
from standins import http_server
from standins import loopback_blocks

TABLE = """kind,name,weight,rate,burst,limit,home,bound,end
organisation,orchard,1,1000000,2000000,,piedmont,,
organisation,cidery,1,1000000,2000000,,coastal,yes,
organisation,press,1,1000000,2000000,,,,
organisation,tiny,1,30,3000,,piedmont,,
organisation,narrow,1,1000000,2000000,1,piedmont,,
service,judge-assist,1,,,,,,
service,entry-desk,1,,,,,,
service,old-assist,1,,,,,,2020-01-01T00:00:00+00:00
"""
SMALL_SHAPE = deployments.DeploymentSpec(
    'small',
    {'piedmont': 2, 'coastal': 1, 'blue-ridge': 1},
    {
        'judge-assist': {'piedmont': 2, 'coastal': 1},
        'old-assist': {'piedmont': 1},
    },
    {'entry-desk': {'piedmont': 1, 'coastal': 1}},
    limits={
        'body_bytes': 200000,
        'header_bytes': 8192,
        'retry_budget_percent': 100,
    },
    timeouts={
        'first_byte_seconds': 1.5,
        'between_bytes_seconds': 1.0,
        'body_seconds': 1.0,
        'connect_seconds': 1.0,
        'peer_accept_seconds': 1.5,
        'idle_seconds': 2.0,
        'entries_ttl_seconds': 0.5,
        'load_poll_timeout_seconds': 1.0,
    },
)
TIMEOUT_SECONDS = 30.0
ENTRY_VM = 'piedmont-2'


class World:
    """A running deployment with the requests and responses of a scenario.

    :ivar keys: a valid key of each organisation.
    :ivar responses: in the order in which they arrived.
    :ivar notes: values that a step saves for later steps.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.deployment = deployments.Deployment(
            SMALL_SHAPE, folder, block=loopback_blocks.reserve_block()
        )
        self.keys: dict[str, str] = {}
        self.responses: list[httpx.Response] = []
        self.request: dict = {}
        self.notes: dict = {}

    @contextlib.asynccontextmanager
    async def running(self) -> collections.abc.AsyncIterator['World']:
        async with self.deployment.running():
            await self.deployment.wait_ready(TIMEOUT_SECONDS)
            self.operator = self.deployment.operator_client()
            revision = await self.put_table(TABLE, 0)
            for line in TABLE.splitlines():
                kind, name = line.split(',')[:2]
                if kind == 'organisation':
                    await self.give_key(name)
            await self.reset()
            await self.wait_for_revision(revision)
            yield self
            await self.operator.aclose()

    async def put_table(self, text: str, based_on: int) -> int:
        response = await self.operator.put(
            self.deployment.operator_url(ENTRY_VM) + '/admin/table',
            content=text,
            headers={'if-match': f'"{based_on}"'},
        )
        return response.json()['revision']

    async def give_key(self, organisation: str) -> str:
        response = await self.operator.post(
            self.deployment.operator_url(ENTRY_VM) + '/admin/keys',
            json={'organisation': organisation},
        )
        content = response.json()
        self.keys[organisation] = content['key']
        await self.wait_for_revision(content['revision'])
        return content['key']

    async def wait_for_revision(self, revision: int) -> None:
        for vm in self.deployment.vms.values():
            with anyio.fail_after(TIMEOUT_SECONDS):
                await vm.view.wait_for_revision(revision)

    def newest_revision(self) -> int:
        """Returns the highest revision that any VM has applied."""
        return max(one.view.revision for one in self.deployment.vms.values())

    async def reset(self) -> None:
        """Clears the faults, records and load state of the last scenario."""
        for backend in self.backend_servers():
            backend.fault = ''
            backend.is_leaving = False
            backend.received_requests.clear()
        for engine in self.deployment.engines.values():
            engine.fault_count = 1000000
            engine.started_request_ids.clear()
        for service in self.deployment.plain_services.values():
            service.executed_bodies.clear()
        for vm in self.deployment.vms.values():
            for service in vm.backend_pool.services.values():
                for server in service.servers:
                    server.failures = server.ejections = 0
                    server.ejected_until = 0.0
                    server.is_leaving = False
                    server.limit = float(server.settings.slots)
            vm.executor.retry_budget.balance = 10.0
        self.responses = []
        self.request = {}
        self.notes = {}

    def backend_servers(self) -> list:
        deployment = self.deployment
        return [
            *deployment.engines.values(),
            *deployment.plain_services.values(),
        ]

    def received_requests(self) -> list[http_server.Request]:
        return [
            request
            for backend in self.backend_servers()
            for request in backend.received_requests
        ]

    async def send(
        self,
        method: str = 'POST',
        path: str = '/v1/chat/completions',
        *,
        organisation: str | None = 'orchard',
        via: str = ENTRY_VM,
        headers: dict[str, str] | None = None,
        **arguments: object,
    ) -> httpx.Response:
        """Sends a request as a client and records the response."""
        sent = dict(headers or {})
        if organisation is not None:
            sent.setdefault(
                'authorization', f'Bearer {self.keys[organisation]}'
            )
        async with httpx.AsyncClient(
            timeout=TIMEOUT_SECONDS, trust_env=False
        ) as client:
            response = await client.request(
                method,
                self.deployment.client_url(via) + path,
                headers=sent,
                **arguments,
            )
        self.responses.append(response)
        return response

    async def send_raw(self, content: bytes, via: str = ENTRY_VM) -> bytes:
        """Sends bytes and returns everything received until the end."""
        address = self.deployment.client_url(via).removeprefix('http://')
        host, _, port = address.partition(':')
        received = b''
        with anyio.move_on_after(TIMEOUT_SECONDS):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(content)
                with contextlib.suppress(
                    anyio.EndOfStream, anyio.BrokenResourceError
                ):
                    while True:
                        received += await stream.receive()
        return received

    async def wait_until(
        self, condition: collections.abc.Callable[[], bool]
    ) -> None:
        """Waits until a condition is true.

        :raises TimeoutError: after :data:`TIMEOUT_SECONDS`.
        """
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not condition():
                await anyio.sleep(0.01)


def chat_body(**changes: object) -> dict:
    """Returns the body of a chat completion request."""
    content = {
        'model': 'judge-assist',
        'messages': [{'role': 'user', 'content': 'Which class is it?'}],
        'max_tokens': 12,
    }
    return {**content, **changes}
