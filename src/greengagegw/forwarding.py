"""Forwards calls to another region, through one of its VMs.

The VM that receives a forwarded call runs or rejects it; a call is never
forwarded twice.
"""

import collections.abc
import contextlib
import dataclasses
import random
import typing

import anyio

from . import errors
from . import local_execution
from . import request_memory
from . import request_parsing
from . import settings as settings_module
from . import timers as timer_service
from .control import view as views
from .membership import gossip
from .policy import suspicion
from .ports import backends
from .ports import peers

METHOD = 'forward'
CHUNK_BYTES = 64 * 1024
REVISION_TIMEOUT_SECONDS = 2.0
MAX_FORWARDED_WAIT_SECONDS = 2.0
TIMEOUT_MARGIN_SECONDS = 5.0
UNREACHABLE_RETRY_AFTER_SECONDS = 2
MAX_VMS_TRIED = 2
# Errors after which the call is offered to another VM of the region.
NOT_ACCEPTED_ERRORS = (
    errors.PeerUnreachableError,
    errors.PeerUnresponsiveError,
    errors.PeerLostError,
)
# First message on the stream from a VM that accepts a call.
ACCEPTED = 'accepted'


class CallForwarder:
    """Sends calls to other regions, and runs those of other regions here."""

    def __init__(
        self,
        settings: settings_module.Settings,
        mesh: peers.PeerPort,
        membership: gossip.Gossip,
        view: views.ConfigurationView,
        executor: local_execution.LocalExecutor,
        timers: timer_service.Timers,
        rng: random.Random,
        memory: request_memory.RequestMemory,
    ) -> None:
        self.settings = settings
        self.mesh = mesh
        self.membership = membership
        self.view = view
        self.executor = executor
        self.timers = timers
        self.rng = rng
        self.memory = memory
        self.suspicions = suspicion.SuspicionTracker()

    def stream_handlers(self) -> dict[str, peers.StreamHandler]:
        return {METHOD: self.on_forward}

    def other_vms(self, region: str) -> list[str]:
        """Returns the VMs of a region without this one."""
        return [
            one
            for one in self.settings.vms_by_region.get(region, ())
            if one != self.settings.vm
        ]

    def choose_vms(self, region: str) -> list[str]:
        """Returns the VMs of a region to try, responsive ones first."""
        now = self.timers.now()
        vms = self.other_vms(region)
        self.rng.shuffle(vms)
        vms.sort(
            key=lambda vm: (
                self.suspicions.is_suspected(vm, now),
                not self.membership.is_alive(vm),
            )
        )
        return vms[:MAX_VMS_TRIED]

    def is_suspected(self, region: str) -> bool:
        """Returns whether no VM of a region responded lately.

        A load summary of the region that is newer than the last timeouts
        clears the suspicion.
        """
        if not self.suspicions.suspicions:
            return False
        now = self.timers.now()
        vms = self.settings.vms_by_region.get(region, ())
        if not all(self.suspicions.is_suspected(vm, now) for vm in vms):
            return False
        summary = self.membership.current_summary(region)
        if summary is None:
            return True
        return all(
            summary.created_at < self.suspicions.last_silent_at(vm)
            for vm in vms
        )

    @contextlib.asynccontextmanager
    async def run(
        self, spec: local_execution.CallSpec, region: str
    ) -> collections.abc.AsyncIterator[local_execution.ActiveCall]:
        """Runs a call in another region and yields it with its response.

        :raises GatewayError: its ``run`` says whether the call was run.
        """
        async with contextlib.AsyncExitStack() as stack:
            stream = await self.open_accepted_stream(stack, spec, region)
            head = await self.receive_head(stream)
            usage = local_execution.Usage()
            yield local_execution.ActiveCall(
                backends.Response(
                    head['status'],
                    tuple((name, value) for name, value in head['headers']),
                    self.iterate_body(stream, usage),
                    head['backend_server'],
                    region,
                ),
                usage,
            )

    async def open_accepted_stream(
        self,
        stack: contextlib.AsyncExitStack,
        spec: local_execution.CallSpec,
        region: str,
    ) -> peers.PeerStream:
        """Returns a stream to the first VM that accepts a call.

        :raises PeerError: if none does; its ``run`` covers all attempts.
        """
        run = errors.NOT_RUN
        failure: errors.PeerError = errors.PeerUnreachableError(
            f'region {region} has no VM'
        )
        for vm in self.choose_vms(region):
            try:
                async with contextlib.AsyncExitStack() as attempt:
                    stream = await self.offer_call(attempt, spec, vm)
                    stack.push_async_exit(attempt.pop_all())
                    return stream
            except NOT_ACCEPTED_ERRORS as error:
                self.suspicions.record_silence(vm, self.timers.now())
                failure = error
                if error.run != errors.NOT_RUN:
                    run = errors.UNKNOWN
                    if not self.executor.retry_budget.try_spend():
                        break
        failure.run = run
        failure.retry_after = UNREACHABLE_RETRY_AFTER_SECONDS
        raise failure

    async def offer_call(
        self,
        stack: contextlib.AsyncExitStack,
        spec: local_execution.CallSpec,
        vm: str,
    ) -> peers.PeerStream:
        """Sends a call to a VM and waits until it accepts.

        The body follows only after the acceptance if the call may not be
        repeated, is large, or the VM did not respond the last time: until
        then the call cannot have run.

        :raises PeerUnresponsiveError: if the VM does not accept in time.
        """
        waits_for_accept = (
            not spec.call.repeatable
            or len(spec.call.body) > CHUNK_BYTES
            or self.suspicions.last_silent_at(vm) is not None
        )
        stream = None
        try:
            with self.timers.move_on_after(
                self.settings.timeouts.peer_accept_seconds
            ):
                opened = await self.open(stack, spec, vm)
                if not waits_for_accept:
                    await self.send_body(opened, spec.call.body)
                await self.receive_accepted(opened)
                stream = opened
        except errors.PeerLostError as error:
            error.run = errors.NOT_RUN if waits_for_accept else errors.UNKNOWN
            raise
        if stream is None:
            raise errors.PeerUnresponsiveError(
                f'{vm} did not accept a call within peer_accept_seconds',
                run=errors.NOT_RUN if waits_for_accept else errors.UNKNOWN,
            )
        self.suspicions.record_response(vm)
        if waits_for_accept:
            await self.send_body(stream, spec.call.body)
        return stream

    async def open(
        self,
        stack: contextlib.AsyncExitStack,
        spec: local_execution.CallSpec,
        vm: str,
    ) -> peers.PeerStream:
        message = [
            pack_spec(spec),
            self.view.configuration.table_revision,
        ]
        return await stack.enter_async_context(
            self.mesh.open(vm, METHOD, message)
        )

    async def receive_accepted(self, stream: peers.PeerStream) -> None:
        try:
            message = await stream.receive()
        except anyio.EndOfStream as error:
            raise errors.PeerProtocolError(
                'the stream ended before the call was accepted'
            ) from error
        if message != ACCEPTED:
            raise errors.PeerProtocolError(
                'the first message of the response was not the acceptance'
            )

    async def send_body(self, stream: peers.PeerStream, body: bytes) -> None:
        for start in range(0, len(body), CHUNK_BYTES):
            await stream.send(body[start : start + CHUNK_BYTES])
        await stream.finish()

    async def receive_head(
        self, stream: peers.PeerStream
    ) -> dict[str, typing.Any]:
        timeouts = self.settings.timeouts
        head = None
        with self.timers.move_on_after(
            timeouts.first_byte_seconds
            + MAX_FORWARDED_WAIT_SECONDS
            + TIMEOUT_MARGIN_SECONDS
        ):
            try:
                head = await stream.receive()
            except anyio.EndOfStream as error:
                raise errors.PeerProtocolError(
                    'the stream ended before the response head'
                ) from error
        if head is None:
            raise errors.PeerTimeoutError(
                'no response head for a forwarded call in time'
            )
        return head

    async def iterate_body(
        self, stream: peers.PeerStream, usage: local_execution.Usage
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yields the body, which ends with a map of the usage."""
        idle_timeout = (
            self.settings.timeouts.between_bytes_seconds
            + TIMEOUT_MARGIN_SECONDS
        )
        while True:
            message = None
            with self.timers.move_on_after(idle_timeout):
                try:
                    message = await stream.receive()
                except anyio.EndOfStream as error:
                    raise errors.BrokenStreamError(
                        'the response to a forwarded call ended without'
                        ' its usage',
                        run=errors.RAN,
                    ) from error
            if message is None:
                raise errors.PeerTimeoutError(
                    'no data of the response to a forwarded call within'
                    f' {idle_timeout:g} s'
                )
            if isinstance(message, dict):
                usage.tokens = message['tokens']
                return
            yield message

    # Receiving side.

    async def on_forward(
        self, peer: str, message: list, stream: peers.PeerStream
    ) -> None:
        packed, revision = message
        await stream.send(ACCEPTED)
        await self.wait_for_revision(revision)
        self.check_residency(packed['call']['organisation'])
        body = await read_body(stream)
        spec = unpack_spec(packed, body)
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(self.memory.hold_forwarded(peer, len(body)))
            active_call = await stack.enter_async_context(
                self.executor.run(spec)
            )
            response = active_call.response
            await stream.send(
                {
                    'status': response.status,
                    'headers': response.headers,
                    'backend_server': response.backend_server,
                }
            )
            async for chunk in response.chunks:
                await stream.send(chunk)
            await stream.send({'tokens': active_call.usage.tokens})

    async def wait_for_revision(self, revision: int) -> None:
        """Waits for the table revision that the forwarding VM used.

        :raises NotReadyError: if it does not arrive in time.
        """
        with self.timers.move_on_after(REVISION_TIMEOUT_SECONDS) as scope:
            await self.view.ready.wait()
            while self.view.configuration.table_revision < revision:
                await self.view.changed.wait()
        if scope.cancelled_caught:
            raise errors.NotReadyError(
                f'{self.settings.vm} did not receive table revision {revision}'
                f' within {REVISION_TIMEOUT_SECONDS:g} s',
                retry_after=1,
            )

    def check_residency(self, organisation: str) -> None:
        """Repeats the check that a call may run in this region.

        :raises ResidencyError: if it may not.
        """
        row = self.view.configuration.table.organisation(organisation)
        if row is None:
            raise errors.PermissionDeniedError(
                f'the table has no organisation {organisation}'
            )
        if row.bound and row.home != self.settings.region:
            raise errors.ResidencyError(
                f'{organisation} is bound to region {row.home} and may not run'
                ' in another one'
            )


def pack_spec(spec: local_execution.CallSpec) -> dict[str, typing.Any]:
    """Returns a call's specification as a map, without the body."""
    call = dataclasses.asdict(spec.call)
    del call['body']
    return {
        'call': call,
        'weight': spec.weight,
        'prefix': spec.prefix,
        'removes_usage': spec.removes_usage,
        'segments': list(spec.segments),
        'wait': min(spec.max_wait_seconds, MAX_FORWARDED_WAIT_SECONDS),
    }


def unpack_spec(
    packed: dict[str, typing.Any], body: bytes
) -> local_execution.CallSpec:
    """Returns the specification packed by :func:`pack_spec`.

    A VM of an earlier release packs no segments.
    """
    segments = packed.get('segments')
    if segments is None:
        segments = ()
        if packed['call']['kind'] == 'model':
            segments = request_parsing.read_segments(
                packed['call']['path'], body
            )
    values = dict(packed['call'])
    values['headers'] = tuple(
        (name, value) for name, value in values['headers']
    )
    return local_execution.CallSpec(
        backends.Call(**values, body=body),
        packed['weight'],
        packed['wait'],
        packed['prefix'],
        packed['removes_usage'],
        tuple(segments),
    )


async def read_body(stream: peers.PeerStream) -> bytes:
    parts = []
    with contextlib.suppress(anyio.EndOfStream):
        while True:
            parts.append(await stream.receive())
    return b''.join(parts)
