"""The steps of the demonstration, each with what must hold."""

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
SHAPE = dataclasses.replace(
    deployments.GUILD_SPEC, timeouts={'entries_ttl_seconds': 1.0}, slots=3
)
FILLING_REQUESTS = 14
STOP_CALLERS = 8
STOP_SECONDS = 4.0
POLL_SECONDS = 0.002


class Story:
    """The demonstration as it goes on."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.deployment = deployment
        self.operator = deployment.operator_client()
        self.failed: list[str] = []
        self.keys: dict[str, str] = {}

    def check(self, holds: bool, text: str) -> None:
        """Prints a line of the account, and notes what did not hold."""
        print(f'  {"ok  " if holds else "FAIL"} {text}', flush=True)
        if not holds:
            self.failed.append(text)

    def caller(self, organisation: str) -> httpx.AsyncClient:
        return httpx.AsyncClient(
            headers={'authorization': f'Bearer {self.keys[organisation]}'},
            timeout=30,
            trust_env=False,
        )

    async def best_entry(
        self, client: httpx.AsyncClient, via: str
    ) -> list[dict]:
        response = await client.get(
            self.deployment.client_url(via) + '/v1/entries'
        )
        if response.status_code != 200:
            print(response.text)
        return response.json()['entries']

    async def set_up(self) -> None:
        """Puts the table and gives a key to each organisation."""
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
        await self.everywhere(response.json()['revision'])

    async def everywhere(self, revision: int) -> dict[str, float]:
        """Returns after how many ms each VM had a revision."""
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

    async def answer_calls(self) -> None:
        """One plain and one streamed chat completion."""
        async with self.caller('orchard-union') as client:
            entries = await self.best_entry(client, 'blue-ridge-1')
            self.check(
                entries[0]['region'] == 'piedmont' and len(entries) == 7,
                f'blue-ridge-1 sends a caller of piedmont to'
                f' {entries[0]["vm"]}, the first of {len(entries)} entries',
            )
            url = entries[0]['url'] + '/v1/chat/completions'
            response = await client.post(url, json=chat('a short question'))
            used = response.json()['usage']['total_tokens']
            self.check(
                response.status_code == 200, f'a plain answer, {used} tokens'
            )
            response = await client.post(
                url, json=chat('a short question', stream=True)
            )
            events = response.text.count('data: ')
            self.check(
                response.text.endswith('data: [DONE]\n\n'),
                f'a streamed answer, {events} events with the end mark',
            )

    async def spill(self) -> None:
        """Fills the home region until a call runs in another."""
        regions: list[str] = []
        texts: list[int] = []
        async with self.caller('orchard-union') as client:
            url = (
                self.deployment.client_url('piedmont-2')
                + '/v1/chat/completions'
            )

            async def ask(number: int) -> None:
                content = chat(f'question {number}', tokens=400)
                content['stop_at'] = 400
                response = await client.post(url, json=content)
                texts.append(response.status_code)
                name = response.json()['model']
                regions.append(name)

            before = self.engine_starts()
            async with anyio.create_task_group() as tasks:
                for number in range(FILLING_REQUESTS):
                    tasks.start_soon(ask, number)
                    await anyio.sleep(0.01)
        elsewhere = {
            name: count - before[name]
            for name, count in self.engine_starts().items()
            if 'piedmont' not in name and count > before[name]
        }
        self.check(
            bool(elsewhere) and set(texts) == {200},
            f'of {FILLING_REQUESTS} calls to a full home region'
            f' {sum(elsewhere.values())} ran elsewhere: {elsewhere}',
        )

    def engine_starts(self) -> dict[str, int]:
        return {
            name: len(engine.started_request_ids)
            for name, engine in self.deployment.engines.items()
        }

    async def register_once(self) -> None:
        """The same registration twice, through two VMs."""
        headers = {'idempotency-key': 'entry-2027-0001'}
        answers = []
        async with self.caller('orchard-union') as client:
            for vm in ('piedmont-2', 'coastal-1'):
                url = (
                    self.deployment.client_url(vm)
                    + '/services/entry-desk/entries'
                )
                response = await client.post(
                    url, json={'cider': 'Russet'}, headers=headers
                )
                answers.append(response)
        runs = sum(
            len(one.executed_bodies)
            for one in self.deployment.plain_services.values()
        )
        replayed = answers[1].headers.get('idempotency-replayed')
        self.check(
            runs == 1
            and answers[0].content == answers[1].content
            and replayed == 'true',
            f'a registration sent through two VMs ran {runs} time, and both'
            f' answers are {answers[0].text}',
        )

    async def withdraw(self) -> None:
        """Withdraws a key, and measures when each VM refuses it."""
        key_id = self.keys['small-barrel'].split('-')[1]
        refused: dict[str, float] = {}
        client = self.caller('small-barrel')
        started = 0.0
        begun = anyio.Event()

        async def probe(vm: str) -> None:
            url = self.deployment.client_url(vm) + '/v1/models'
            await client.get(url)
            await begun.wait()
            while True:
                response = await client.get(url)
                if response.status_code == 401:
                    refused[vm] = (time.monotonic() - started) * 1000
                    return
                await anyio.sleep(POLL_SECONDS)

        with anyio.move_on_after(10):
            async with anyio.create_task_group() as tasks:
                for vm in self.deployment.vm_names():
                    tasks.start_soon(probe, vm)
                await anyio.sleep(0.2)
                url = self.deployment.operator_url('piedmont-3')
                started = time.monotonic()
                begun.set()
                await self.operator.delete(f'{url}/admin/keys/{key_id}')
        await client.aclose()
        self.check(
            len(refused) == 7,
            f'a withdrawn key is refused by {times(refused)}',
        )

    async def edit_rate(self) -> None:
        """Edits a rate, and measures when each VM has it."""
        url = self.deployment.operator_url('blue-ridge-2') + '/admin/table'
        response = await self.operator.get(url)
        text = response.text.replace('60000,120000', '70000,140000')
        response = await self.operator.put(
            url, content=text, headers={'if-match': response.headers['etag']}
        )
        seen = await self.everywhere(response.json()['revision'])
        self.check(
            len(seen) == 7, f'an edited rate is in force at {times(seen)}'
        )

    async def stop_under_load(self) -> None:
        """Stops a VM while callers use it."""
        stopped = 'piedmont-3'
        vm = self.deployment.vms[stopped]
        good: list[str] = []
        bad: list[str] = []
        async with self.caller('orchard-union') as client:

            async def call(number: int) -> None:
                until = time.monotonic() + STOP_SECONDS
                while time.monotonic() < until:
                    entries = await self.best_entry(client, 'piedmont-1')
                    names = [one['vm'] for one in entries]
                    # Half of the callers stay with the VM while they may.
                    use = (
                        stopped
                        if number % 2 and stopped in names
                        else (names[0])
                    )
                    await self.stream_once(client, use, number, good, bad)

            async with anyio.create_task_group() as tasks:
                for number in range(STOP_CALLERS):
                    tasks.start_soon(call, number)
                await anyio.sleep(1)
                vm.stop()
                with anyio.move_on_after(15):
                    await vm.stopped.wait()
        on_stopped = good.count(stopped)
        self.check(
            not bad and on_stopped > 0 and vm.stopped.is_set(),
            f'{stopped} stopped under load: {len(good)} streams whole'
            f' ({on_stopped} of them through it), {len(bad)} cut',
        )
        for one in bad[:3]:
            print(f'       {one}')

    async def stream_once(
        self,
        client: httpx.AsyncClient,
        vm: str,
        number: int,
        good: list[str],
        bad: list[str],
    ) -> None:
        url = self.deployment.client_url(vm) + '/v1/chat/completions'
        content = chat(f'caller {number}', stream=True, tokens=60)
        content['stop_at'] = 60
        try:
            response = await client.post(url, json=content)
        except httpx.HTTPError as error:
            bad.append(f'{vm}: {error!r}')
            return
        if response.text.endswith('data: [DONE]\n\n'):
            good.append(vm)
        else:
            bad.append(f'{vm}: {response.status_code} {response.text[-200:]}')

    async def check_secrecy(self) -> None:
        """Looks for keys in everything that backend servers received."""
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
        seen = sum(
            key in repr(request)
            for request in received
            for key in self.keys.values()
        )
        self.check(
            seen == 0,
            f'no key is in the {len(received)} requests that'
            ' backend servers received',
        )


def chat(text: str, stream: bool = False, tokens: int = 30) -> dict:
    """Returns the body of a chat completion."""
    return {
        'model': 'judge-assist',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': tokens,
        'stream': stream,
    }


def times(found: dict[str, float]) -> str:
    """Returns the times of the VMs as text, in ms."""
    return ', '.join(f'{vm} {ms:.0f} ms' for vm, ms in sorted(found.items()))


async def run(folder: str) -> list[str]:
    """Tells the whole story.

    :returns: what did not hold.
    """
    started = time.monotonic()
    deployment = deployments.Deployment(SHAPE, pathlib.Path(folder))
    async with deployment.running():
        print('Starting 7 VMs in 3 regions, 5 engines, 3 plain services')
        await deployment.wait_ready()
        story = Story(deployment)
        chapters: tuple[tuple[str, collections.abc.Callable], ...] = (
            ('Setting up', story.set_up),
            ('Answering', story.answer_calls),
            ('Spilling to another region', story.spill),
            ('Running at most once', story.register_once),
            ('Withdrawing a key', story.withdraw),
            ('Editing the table', story.edit_rate),
            ('Stopping a VM', story.stop_under_load),
            ('Keeping keys', story.check_secrecy),
        )
        for title, chapter in chapters:
            print(title, flush=True)
            await chapter()
        await story.operator.aclose()
    seconds = time.monotonic() - started
    print(
        f'{len(story.failed)} of the claims above failed, {seconds:.0f} s'
        if story.failed
        else f'All of it held, {seconds:.0f} s'
    )
    return story.failed
