"""Clients and the operator of a soak."""

import json

import anyio
import httpx

from . import deployment as deployments
from . import record as records

CALL_SECONDS = 1.0
ACK_SECONDS = 6.0
MAX_PAUSE_SECONDS = 1.0
REQUEST_SECONDS = 8.0
LIST_LAG_SECONDS = 3.0


class Clients:
    """Sends requests to all entry VMs on connections that are kept."""

    def __init__(self, deployment, record, rng, tasks, per_second) -> None:
        self.deployment = deployment
        self.record = record
        self.rng = rng
        self.tasks = tasks
        self.per_second = per_second
        self.http: dict[str, httpx.AsyncClient] = {}

    async def run(self) -> None:
        while True:
            machine = self.rng.choice(self.deployment.entries)
            kind = self.rng.choice(['safe', 'unsafe'])
            self.tasks.start_soon(self.send, machine, kind)
            await anyio.sleep(self.rng.expovariate(self.per_second))

    async def send(self, machine, kind: str, path: str = '') -> int:
        """Sends one request; returns its status."""
        client = self.http.get(machine.name)
        if client is None:
            client = self.http[machine.name] = httpx.AsyncClient(
                timeout=httpx.Timeout(REQUEST_SECONDS, connect=1.0)
            )
        attempt = f'{self.rng.getrandbits(64):016x}'
        method = 'GET' if kind == 'safe' else 'POST'
        path = path or ('/lookup/one' if kind == 'safe' else '/submit/one')
        headers = {
            'Host': deployments.HOST_NAME,
            'Greengagegw-Attempt-Id': attempt,
            'Greengagegw-Deadline-Ms': str(int(REQUEST_SECONDS * 1000)),
            'Greengagegw-Credential': deployments.KEY,
        }
        url = f'http://{machine.host}:{deployments.CLIENT_PORT}{path}'
        sent_at = self.record.now()
        status, is_own = 0, False
        try:
            response = await client.request(
                method,
                url,
                headers=headers,
                content=b'entry' if method == 'POST' else None,
            )
            status = response.status_code
            stamp = response.headers.get('greengagegw-server-stamp', '')
            is_own = (
                response.content == b'response to ' + attempt.encode()
                and stamp.endswith(f'-{attempt}')
            )
        except httpx.HTTPError:
            # The outcome is unknown, as for a client of the gateway.
            status = 0
        self.record.requests.append(
            records.Request(
                attempt,
                machine.name,
                kind,
                sent_at,
                self.record.now(),
                status,
                is_own,
            )
        )
        return status


class Operator:
    """Sends orders as the platform's protocol tells operators to.

    :ivar listed: control VMs by a list that lags.
    """

    def __init__(self, deployment, record, rng) -> None:
        self.deployment = deployment
        self.record = record
        self.rng = rng
        self.listed = list(deployment.controls)
        self.version = 0
        self.last_sent: bytes = b''
        self.sent: dict[int, dict] = {}
        self.evacuated: str | None = None
        self.may_order = True
        self.is_ordering = False

    async def follow_list(self) -> None:
        while True:
            listed = list(self.deployment.controls)
            await anyio.sleep(LIST_LAG_SECONDS)
            self.listed = listed

    async def call(self, machine, method: str, path: str, body=None):
        """Returns status and content; status 0 without an answer."""
        url = f'http://{machine.host}:{deployments.CONTROL_PORT}{path}'
        with anyio.move_on_after(CALL_SECONDS):
            try:
                async with httpx.AsyncClient(timeout=CALL_SECONDS) as client:
                    response = await client.request(method, url, content=body)
                    return response.status_code, response.content
            except httpx.HTTPError:
                return 0, b''
        return 0, b''

    async def order(self, name: str, subject: str) -> bool:
        """Sends an order until it is acknowledged or given up."""
        method, path, body = 'PUT', '/-/config', None
        if name == 'put':
            body = json.dumps(self.sent[int(subject)]).encode()
        else:
            method = 'POST' if name == 'evacuate' else 'DELETE'
            path = f'/-/evacuations/{subject}'
        sent_at = self.record.now()
        pause = 0.1
        while True:
            machine = self.rng.choice(self.listed)
            status, _ = await self.call(machine, method, path, body)
            now = self.record.now()
            if 200 <= status < 300:
                self.record.orders.append(
                    records.Order(name, subject, sent_at, now)
                )
                return True
            gives_up = name != 'put' and now - sent_at > ACK_SECONDS
            if gives_up or 400 <= status < 500:
                self.record.orders.append(
                    records.Order(name, subject, sent_at, None, now)
                )
                return False
            await anyio.sleep(pause)
            pause = min(MAX_PAUSE_SECONDS, pause * 2)

    async def put(self) -> bool:
        self.version += self.rng.randint(1, 3)
        self.sent[self.version] = deployments.configuration(self.version)
        return await self.order('put', str(self.version))

    async def run(self) -> None:
        """Sends orders at random, one at a time."""
        while True:
            await anyio.sleep(self.rng.uniform(0.3, 1.2))
            if not self.may_order:
                continue
            self.is_ordering = True
            await self.order_at_random()
            self.is_ordering = False

    async def order_at_random(self) -> None:
        if self.rng.random() < 0.6:
            await self.put()
        elif self.evacuated is None:
            self.evacuated = self.rng.choice(deployments.DOMAIN_NAMES)
            await self.order('evacuate', self.evacuated)
        else:
            domain, self.evacuated = self.evacuated, None
            await self.order('readmit', domain)

    async def read(self, machine) -> None:
        """Reads the configuration at one control VM."""
        sent_at = self.record.now()
        status, content = await self.call(machine, 'GET', '/-/config')
        version, has_sent_content = None, True
        if status == 200:
            document = json.loads(content)
            version = document['version']
            has_sent_content = document == self.sent.get(version)
        self.record.reads.append(
            records.Read(machine.name, sent_at, version, has_sent_content)
        )

    async def read_at_random(self) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(0.2, 0.6))
            await self.read(self.rng.choice(self.deployment.controls))
