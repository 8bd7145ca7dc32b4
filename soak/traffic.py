"""Clients and the operator of a soak."""

import dataclasses
import json
import math
import ssl

import anyio
import httpx

from . import checks
from . import deployment as deployments
from . import record as records

CALL_SECONDS = 1.0
METRICS_SECONDS = 0.5
CONNECT_SECONDS = 1.0
NO_CERTIFICATES = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
MAX_PAUSE_SECONDS = 1.0
# Share of the requests with a key that the day takes away.
REVOCABLE_SHARE = 0.2
REQUEST_SECONDS = 8.0
# A request that its client leaves would last that much longer.
LEFT_WORK_SECONDS = 2.0
# Content of an acknowledgement that is dropped.
LOST = b'lost'
LIST_LAG_SECONDS = 3.0
OBJECTIVE_MS = 600
KINDS = ('safe', 'safe', 'unsafe', 'unsafe', 'home', 'added')
PATHS = {'safe': '/lookup/one', 'unsafe': '/submit/one', 'home': '/home/one'}


def make_client(seconds: float) -> httpx.AsyncClient:
    """Returns a client; one that loads certificates takes long to make."""
    return httpx.AsyncClient(
        timeout=httpx.Timeout(seconds, connect=CONNECT_SECONDS),
        verify=NO_CERTIFICATES,
        trust_env=False,
    )


async def read_metrics(machine) -> bytes:
    """Returns the metrics of a control VM.

    :raises httpx.HTTPError: if it is down or frozen.
    """
    url = f'http://{machine.host}:{deployments.CONTROL_METRICS_PORT}/metrics'
    async with make_client(METRICS_SECONDS) as client:
        return (await client.get(url)).content


class Clients:
    """Sends requests to all entry VMs on connections that are kept.

    :param newest_version: returns the newest version that was sent.
    :ivar keys: those that are taken away, which it goes on using.
    :ivar leaving: shares of the requests that clients leave without a
        response, each with the seconds after which they do.
    """

    def __init__(
        self, deployment, record, rng, tasks, per_second, newest_version
    ) -> None:
        self.newest_version = newest_version
        self.deployment = deployment
        self.record = record
        self.rng = rng
        self.tasks = tasks
        self.per_second = per_second
        self.http: dict[str, httpx.AsyncClient] = {}
        self.keys: list[str] = []
        self.leaving: list[tuple[float, float]] = []

    async def run(self) -> None:
        while True:
            machine = self.rng.choice(self.deployment.entries)
            kind = self.rng.choice(KINDS)
            self.tasks.start_soon(self.send, machine, kind)
            await anyio.sleep(self.rng.expovariate(self.per_second))

    async def send(self, machine, kind: str) -> int:
        """Sends one request; returns its status."""
        version = self.newest_version() if kind == 'added' else 0
        client = self.http.get(machine.name)
        if client is None:
            client = self.http[machine.name] = make_client(REQUEST_SECONDS)
        attempt = f'{self.rng.getrandbits(64):016x}'
        method = 'POST' if kind == 'unsafe' else 'GET'
        path = PATHS.get(kind, f'/v/{version}/one')
        key = deployments.KEY
        if self.keys and version == 0 and self.rng.random() < REVOCABLE_SHARE:
            key = self.rng.choice(self.keys)
        headers = {
            'Host': deployments.HOST_NAME,
            'Greengagegw-Attempt-Id': attempt,
            'Greengagegw-Deadline-Ms': str(int(REQUEST_SECONDS * 1000)),
            'Greengagegw-Credential': key,
        }
        leaves_after = math.inf
        for share, seconds in self.leaving:
            if self.rng.random() < share:
                leaves_after = seconds
                work_seconds = seconds + LEFT_WORK_SECONDS
                headers['Work-Seconds'] = str(work_seconds)
        url = f'http://{machine.host}:{deployments.CLIENT_PORT}{path}'
        sent_at = self.record.now()
        status, is_own = 0, False
        with anyio.move_on_after(leaves_after) as patience:
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
                version,
                key,
                self.record.now() if patience.cancelled_caught else None,
            )
        )
        return status


class Operator:
    """Sends orders as the platform's protocol tells operators to.

    :param objective_ms: latency objective of all routes.
    :ivar listed: control VMs by a list that lags.
    :ivar keys: those that the next change leaves in force.
    :ivar lost_share: share of acknowledgements that are lost.
    :ivar unreachable: control VMs that do not get its calls.
    :ivar acknowledged_by: control VM that acknowledged the last order.
    """

    def __init__(
        self, deployment, record, rng, objective_ms=OBJECTIVE_MS
    ) -> None:
        self.objective_ms = objective_ms
        self.deployment = deployment
        self.record = record
        self.rng = rng
        self.listed = list(deployment.controls)
        self.version = 0
        self.sent: dict[int, dict] = {}
        self.evacuated: str | None = None
        self.pending: list[records.Order] = []
        self.may_order = True
        self.is_ordering = False
        self.acknowledged_by = None
        self.unreachable: set = set()
        self.lost_share = 0.0
        self.keys: list[str] = []

    async def follow_list(self) -> None:
        while True:
            listed = list(self.deployment.controls)
            await anyio.sleep(LIST_LAG_SECONDS)
            self.listed = listed

    async def call(self, machine, method: str, path: str, body=None):
        """Returns status and content; status 0 without an answer."""
        url = f'http://{machine.host}:{deployments.CONTROL_PORT}{path}'
        with anyio.move_on_after(CALL_SECONDS):
            if machine in self.unreachable:
                await anyio.sleep(CALL_SECONDS)
            try:
                async with make_client(CALL_SECONDS) as client:
                    response = await client.request(method, url, content=body)
                    is_lost = self.rng.random() < self.lost_share
                    if is_lost and method != 'GET':
                        return 0, LOST if response.is_success else b''
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
        pending = records.Order(name, subject, sent_at, None)
        self.pending.append(pending)
        pause = 0.1
        while True:
            machine = self.rng.choice(self.listed)
            status, content = await self.call(machine, method, path, body)
            now = self.record.now()
            if content is LOST:
                pending.lost_at.append(now)
            is_done = 200 <= status < 300
            gives_up = (
                name != 'put'
                and now - sent_at > self.record.bounds.acknowledge
            )
            if is_done or gives_up or 400 <= status < 500:
                self.pending.remove(pending)
                if is_done:
                    self.acknowledged_by = machine
                self.record.orders.append(
                    dataclasses.replace(
                        pending,
                        acknowledged_at=now if is_done else None,
                        gave_up_at=None if is_done else now,
                    )
                )
                return is_done
            await anyio.sleep(pause)
            pause = min(MAX_PAUSE_SECONDS, pause * 2)

    def record_pending(self) -> None:
        """Records the orders that had no outcome when the run ended."""
        self.record.orders += self.pending

    async def put(self, added_routes: int = 0) -> bool:
        self.version += self.rng.randint(1, 3)
        self.sent[self.version] = deployments.configuration(
            self.version,
            self.deployment.layout.home_regions,
            self.objective_ms,
            self.keys,
        )
        routes = self.sent[self.version]['routes']
        routes += [
            routes[0] | {'name': f'b-{one}', 'pathPrefix': f'/b/{one}/'}
            for one in range(added_routes)
        ]
        self.record.sent_versions[self.version] = self.record.now()
        return await self.order('put', str(self.version))

    async def revoke(self) -> bool:
        """Takes a key away."""
        key, *self.keys = self.keys
        self.record.revoked[key] = self.version + 1
        return await self.put()

    async def put_invalid(self, how: frozenset[str]) -> None:
        """Sends a change that must not take effect.

        One without a higher version is acknowledged, an invalid one is not.
        """
        acknowledged = checks.acknowledged_version(self.record, math.inf)
        content = dict(self.sent[acknowledged])
        if how:
            content['version'] -= 'old_version' in how
            content['limits'] = content['limits'] | {'idleTimeoutMs': 14000}
        else:
            content['version'] = self.version + 1
            content |= self.rng.choice([{'services': []}, {'routes': 'none'}])
        machine = self.rng.choice(self.listed)
        body = json.dumps(content).encode()
        status, _ = await self.call(machine, 'PUT', '/-/config', body)
        if 200 <= status < 300 and not how:
            self.record.accepted_invalid.append(
                f'{machine.name} acknowledged an invalid version'
                f' {content["version"]} at {self.record.now():.2f}'
            )

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
            self.evacuated = self.rng.choice(self.deployment.layout.domains)
            await self.order('evacuate', self.evacuated)
        else:
            domain, self.evacuated = self.evacuated, None
            await self.order('readmit', domain)

    async def read(self, machine) -> int | None:
        """Returns the version that one control VM holds, if it answers."""
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
        return version

    async def read_back(self) -> None:
        """Reads the configuration until a control VM answers, or in vain."""
        self.record.read_back = False
        with anyio.move_on_after(self.record.bounds.acknowledge):
            while not self.record.read_back:
                for machine in list(self.deployment.controls):
                    if await self.read(machine) is not None:
                        self.record.read_back = True
                await anyio.sleep(MAX_PAUSE_SECONDS / 4)

    async def read_at_random(self) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(0.2, 0.6))
            await self.read(self.rng.choice(self.deployment.controls))
