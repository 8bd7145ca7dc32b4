"""The steps of the demonstration and their checks."""

import collections.abc
import dataclasses
import pathlib
import time

import anyio
import httpx

from standins import deployment as deployments

TABLE = """kind,name,weight,rate,burst,limit,home,bound,end
organisation,orchard-union,4,60000,120000,,piedmont,,
organisation,hill-cideries,4,60000,120000,,blue-ridge,,
organisation,coast-presses,1,20000,40000,,coastal,yes,
organisation,small-barrel,1,5000,20000,,piedmont,,
organisation,stewards,1,5000,20000,,blue-ridge,,
service,judge-assist,1,,,,,,2099-12-31T18:00:00+00:00
service,entry-desk,1,,,,,,2099-12-31T18:00:00+00:00
"""
DEMO_SPEC = dataclasses.replace(
    deployments.GUILD_SPEC, timeouts={'entries_ttl_seconds': 1.0}, slots=3
)
OVERLOAD_REQUESTS = 14
STOP_CLIENTS = 8
STOP_LOAD_SECONDS = 4.0
POLL_SECONDS = 0.002


class Demo:
    """The state of a running demonstration.

    :ivar failed: descriptions of the failed checks.
    :ivar keys: a key of each organisation.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.deployment = deployment
        self.operator = deployment.operator_client()
        self.failed: list[str] = []
        self.keys: dict[str, str] = {}

    def check(self, passed: bool, text: str) -> None:
        """Prints the result of a check and records a failure."""
        print(f'  {"ok  " if passed else "FAIL"} {text}', flush=True)
        if not passed:
            self.failed.append(text)

    def make_client(self, organisation: str) -> httpx.AsyncClient:
        return httpx.AsyncClient(
            headers={'authorization': f'Bearer {self.keys[organisation]}'},
            timeout=30,
            trust_env=False,
        )

    async def list_entries(
        self, client: httpx.AsyncClient, via: str
    ) -> list[dict]:
        response = await client.get(
            self.deployment.client_url(via) + '/v1/entries'
        )
        if response.status_code != 200:
            print(response.text)
        return response.json()['entries']

    async def set_up(self) -> None:
        """Puts the table and issues a key to each organisation."""
        url = self.deployment.operator_url('coastal-2')
        response = await self.operator.put(
            url + '/admin/table', content=TABLE, headers={'if-match': '"0"'}
        )
        self.check(response.status_code == 200, 'the table is accepted')
        for line in TABLE.splitlines():
            kind, name = line.split(',')[:2]
            if kind == 'organisation':
                response = await self.operator.post(
                    url + '/admin/keys', json={'organisation': name}
                )
                self.keys[name] = response.json()['key']
        self.check(len(self.keys) == 5, 'five organisations have keys')
        await self.wait_for_revision(response.json()['revision'])

    async def wait_for_revision(self, revision: int) -> dict[str, float]:
        """Waits until all VMs have a revision, for at most 10 s.

        :returns: the milliseconds until each VM had it.
        """
        started = time.monotonic()
        seen: dict[str, float] = {}

        async def watch(vm: str) -> None:
            url = self.deployment.operator_url(vm) + '/admin/status'
            while True:
                status = (await self.operator.get(url)).json()
                if status['revision'] >= revision:
                    seen[vm] = (time.monotonic() - started) * 1000
                    return
                await anyio.sleep(POLL_SECONDS)

        with anyio.move_on_after(10):
            async with anyio.create_task_group() as tasks:
                for vm in self.deployment.vm_names():
                    tasks.start_soon(watch, vm)
        return seen

    async def complete_chats(self) -> None:
        """Sends one plain and one streamed chat completion request."""
        async with self.make_client('orchard-union') as client:
            entries = await self.list_entries(client, 'blue-ridge-1')
            self.check(
                entries[0]['region'] == 'piedmont' and len(entries) == 7,
                f'blue-ridge-1 directs a client of piedmont to'
                f' {entries[0]["vm"]}, the first of {len(entries)} entries',
            )
            url = entries[0]['url'] + '/v1/chat/completions'
            response = await client.post(url, json=chat('a short question'))
            used = response.json()['usage']['total_tokens']
            self.check(
                response.status_code == 200, f'a plain response, {used} tokens'
            )
            response = await client.post(
                url, json=chat('a short question', stream=True)
            )
            events = response.text.count('data: ')
            self.check(
                response.text.endswith('data: [DONE]\n\n'),
                f'a streamed response, {events} events including [DONE]',
            )

    async def overflow(self) -> None:
        """Overloads the home region until requests run in another."""
        models: list[str] = []
        statuses: list[int] = []
        async with self.make_client('orchard-union') as client:
            url = (
                self.deployment.client_url('piedmont-2')
                + '/v1/chat/completions'
            )

            async def send(number: int) -> None:
                content = chat(f'question {number}', tokens=400)
                content['stop_at'] = 400
                response = await client.post(url, json=content)
                statuses.append(response.status_code)
                name = response.json()['model']
                models.append(name)

            before = self.started_counts()
            async with anyio.create_task_group() as tasks:
                for number in range(OVERLOAD_REQUESTS):
                    tasks.start_soon(send, number)
                    await anyio.sleep(0.01)
        elsewhere = {
            name: count - before[name]
            for name, count in self.started_counts().items()
            if 'piedmont' not in name and count > before[name]
        }
        self.check(
            bool(elsewhere) and set(statuses) == {200},
            f'of {OVERLOAD_REQUESTS} requests to an overloaded home region'
            f' {sum(elsewhere.values())} ran elsewhere: {elsewhere}',
        )

    def started_counts(self) -> dict[str, int]:
        return {
            name: len(engine.started_request_ids)
            for name, engine in self.deployment.engines.items()
        }

    async def register_idempotently(self) -> None:
        """Sends the same registration twice, through two VMs."""
        headers = {'idempotency-key': 'entry-2027-0001'}
        responses = []
        async with self.make_client('orchard-union') as client:
            for vm in ('piedmont-2', 'coastal-1'):
                url = (
                    self.deployment.client_url(vm)
                    + '/services/entry-desk/entries'
                )
                response = await client.post(
                    url, json={'cider': 'Russet'}, headers=headers
                )
                responses.append(response)
        executions = sum(
            len(one.executed_bodies)
            for one in self.deployment.plain_services.values()
        )
        replayed = responses[1].headers.get('idempotency-replayed')
        self.check(
            executions == 1
            and responses[0].content == responses[1].content
            and replayed == 'true',
            f'a registration sent through two VMs was executed {executions}'
            f' time, and both responses are {responses[0].text}',
        )

    async def withdraw_key(self) -> None:
        """Withdraws a key and measures when each VM rejects it."""
        key_id = self.keys['small-barrel'].split('-')[1]
        rejected: dict[str, float] = {}
        client = self.make_client('small-barrel')
        started = 0.0
        withdrawal_started = anyio.Event()

        async def probe(vm: str) -> None:
            url = self.deployment.client_url(vm) + '/v1/models'
            await client.get(url)
            await withdrawal_started.wait()
            while True:
                response = await client.get(url)
                if response.status_code == 401:
                    rejected[vm] = (time.monotonic() - started) * 1000
                    return
                await anyio.sleep(POLL_SECONDS)

        with anyio.move_on_after(10):
            async with anyio.create_task_group() as tasks:
                for vm in self.deployment.vm_names():
                    tasks.start_soon(probe, vm)
                await anyio.sleep(0.2)
                url = self.deployment.operator_url('piedmont-3')
                started = time.monotonic()
                withdrawal_started.set()
                await self.operator.delete(f'{url}/admin/keys/{key_id}')
        await client.aclose()
        self.check(
            len(rejected) == 7,
            f'time until a withdrawn key is rejected:'
            f' {format_times(rejected)}',
        )

    async def edit_rate(self) -> None:
        """Edits a rate and measures when each VM applies it."""
        url = self.deployment.operator_url('blue-ridge-2') + '/admin/table'
        response = await self.operator.get(url)
        text = response.text.replace('60000,120000', '70000,140000')
        response = await self.operator.put(
            url, content=text, headers={'if-match': response.headers['etag']}
        )
        seen = await self.wait_for_revision(response.json()['revision'])
        self.check(
            len(seen) == 7,
            f'time until an edited rate is in force: {format_times(seen)}',
        )

    async def stop_under_load(self) -> None:
        """Stops a VM while clients send requests to it."""
        stopped_vm = 'piedmont-3'
        vm = self.deployment.vms[stopped_vm]
        completed: list[str] = []
        broken: list[str] = []
        async with self.make_client('orchard-union') as client:

            async def send_streams(number: int) -> None:
                deadline = time.monotonic() + STOP_LOAD_SECONDS
                while time.monotonic() < deadline:
                    entries = await self.list_entries(client, 'piedmont-1')
                    names = [one['vm'] for one in entries]
                    # Half of the clients use the VM while it is listed.
                    entry_vm = (
                        stopped_vm
                        if number % 2 and stopped_vm in names
                        else (names[0])
                    )
                    await self.send_stream(
                        client, entry_vm, number, completed, broken
                    )

            async with anyio.create_task_group() as tasks:
                for number in range(STOP_CLIENTS):
                    tasks.start_soon(send_streams, number)
                await anyio.sleep(1)
                vm.stop()
                with anyio.move_on_after(15):
                    await vm.stopped.wait()
        through_stopped_vm = completed.count(stopped_vm)
        self.check(
            not broken and through_stopped_vm > 0 and vm.stopped.is_set(),
            f'{stopped_vm} stopped under load: {len(completed)} streams'
            f' completed ({through_stopped_vm} of them through it),'
            f' {len(broken)} broken',
        )
        for one in broken[:3]:
            print(f'       {one}')

    async def send_stream(
        self,
        client: httpx.AsyncClient,
        vm: str,
        number: int,
        completed: list[str],
        broken: list[str],
    ) -> None:
        url = self.deployment.client_url(vm) + '/v1/chat/completions'
        content = chat(f'caller {number}', stream=True, tokens=60)
        content['stop_at'] = 60
        try:
            response = await client.post(url, json=content)
        except httpx.HTTPError as error:
            broken.append(f'{vm}: {error!r}')
            return
        if response.text.endswith('data: [DONE]\n\n'):
            completed.append(vm)
        else:
            broken.append(
                f'{vm}: {response.status_code} {response.text[-200:]}'
            )

    async def check_key_leaks(self) -> None:
        """Searches the requests to backend servers for API keys."""
        received = [
            *(
                one
                for e in self.deployment.engines.values()
                for one in e.received_requests
            ),
            *(
                one
                for s in self.deployment.plain_services.values()
                for one in s.received_requests
            ),
        ]
        leaks = sum(
            key in repr(request)
            for request in received
            for key in self.keys.values()
        )
        self.check(
            leaks == 0,
            f'none of the {len(received)} requests to backend servers'
            ' contains a key',
        )


def chat(text: str, stream: bool = False, tokens: int = 30) -> dict:
    """Returns the body of a chat completion request."""
    return {
        'model': 'judge-assist',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': tokens,
        'stream': stream,
    }


def format_times(times: dict[str, float]) -> str:
    """Returns the milliseconds of each VM as text."""
    return ', '.join(f'{vm} {ms:.0f} ms' for vm, ms in sorted(times.items()))


async def run(folder: str) -> list[str]:
    """Runs all steps.

    :returns: descriptions of the failed checks.
    """
    started = time.monotonic()
    deployment = deployments.Deployment(DEMO_SPEC, pathlib.Path(folder))
    async with deployment.running():
        print('Starting 7 VMs in 3 regions, 5 engines, 3 plain services')
        await deployment.wait_ready()
        demo = Demo(deployment)
        steps: tuple[tuple[str, collections.abc.Callable], ...] = (
            ('Setting up', demo.set_up),
            ('Completing chats', demo.complete_chats),
            ('Overflowing to another region', demo.overflow),
            ('Executing at most once', demo.register_idempotently),
            ('Withdrawing a key', demo.withdraw_key),
            ('Editing the table', demo.edit_rate),
            ('Stopping a VM', demo.stop_under_load),
            ('Checking for leaked keys', demo.check_key_leaks),
        )
        for title, step in steps:
            print(title, flush=True)
            await step()
        await demo.operator.aclose()
    seconds = time.monotonic() - started
    print(
        f'{len(demo.failed)} checks failed, {seconds:.0f} s'
        if demo.failed
        else f'All checks passed, {seconds:.0f} s'
    )
    return demo.failed
