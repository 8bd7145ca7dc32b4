"""Claims idempotency keys in the ledger of an organisation's home region."""

import contextlib
import dataclasses
import hashlib
import secrets

import anyio
import xxhash

from .. import errors
from .. import timers as timer_service
from ..adapters import error_codec
from . import claims
from ..ports import backends
from ..replication import client as replication_client

CLAIM_TIMEOUT_SECONDS = 4.0
FINISH_TIMEOUT_SECONDS = 10.0
ABANDON_RETRY_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResponse:
    """A response as it is stored with a claim."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class LedgerClient:
    """Claims calls on behalf of one VM.

    :param groups: clients of the regions' ledgers, by region.
    :param max_run_seconds: how long a call may run.
    :ivar session: id of this process.
    """

    def __init__(
        self,
        vm: str,
        groups: dict[str, replication_client.GroupClient],
        timers: timer_service.Timers,
        max_run_seconds: float,
    ) -> None:
        self.vm = vm
        self.groups = groups
        self.timers = timers
        self.max_run_seconds = max_run_seconds
        self.session = secrets.token_hex(8)

    async def run(self) -> None:
        """Marks the calls of earlier processes as unknown in every ledger."""
        async with anyio.create_task_group() as tasks:
            for region in self.groups:
                tasks.start_soon(self.abandon, region)

    async def abandon(self, region: str) -> None:
        """Marks the calls of earlier processes as unknown, with retries."""
        while True:
            with contextlib.suppress(errors.GatewayError):
                await self.submit(
                    region, 'abandon', vm=self.vm, session=self.session
                )
                return
            await self.timers.sleep(ABANDON_RETRY_INTERVAL_SECONDS)

    def region_for(self, organisation: str, home: str | None) -> str:
        """Returns the region whose ledger holds an organisation's claims.

        Without a home region it is chosen by rendezvous hashing, so that
        every VM chooses the same one.

        :param home: home region of the organisation, if it has one.
        """
        if home in self.groups:
            return home
        return max(
            sorted(self.groups),
            key=lambda region: xxhash.xxh64_intdigest(
                f'{organisation}/{region}'.encode()
            ),
        )

    async def claim(
        self, call: backends.Call, key: str, home: str | None
    ) -> StoredResponse | None:
        """Claims the idempotency key of a call.

        :param key: idempotency key.
        :returns: None if the call is to be run now, else the stored
            response.
        :raises ClaimInProgressError: if the call is running.
        :raises OutcomeUnknownError: if it is unknown whether the call ran.
        :raises IdempotencyMismatchError: if the key was used with another
            call.
        :raises UnavailableError: if the ledger cannot be reached; the call
            was not run.
        """
        region = self.region_for(call.organisation, home)
        try:
            outcome = await self.submit(
                region,
                'claim',
                timeout=CLAIM_TIMEOUT_SECONDS,
                organisation=call.organisation,
                key=key,
                digest=call_digest(call),
                request_id=call.request_id,
                vm=self.vm,
                session=self.session,
                seconds=self.max_run_seconds,
            )
        except errors.ReplicationError as error:
            # The claim may have been written, but the call was not sent.
            raise errors.UnavailableError(
                f'the ledger of region {region} cannot be reached',
                retry_after=2,
            ) from error
        if outcome['is_new']:
            return None
        if outcome['state'] == claims.ClaimState.DONE:
            status, headers, body = outcome['answer']
            return StoredResponse(
                status, tuple((name, value) for name, value in headers), body
            )
        if outcome['state'] == claims.ClaimState.RUNNING:
            raise errors.ClaimInProgressError(
                'a call with this idempotency key is still running',
                retry_after=1,
            )
        raise errors.OutcomeUnknownError(
            'it is unknown whether the call with this idempotency key ran'
        )

    async def finish(
        self,
        call: backends.Call,
        key: str,
        home: str | None,
        response: StoredResponse | None,
    ) -> None:
        """Stores the response of a claimed call.

        :param response: the response, or None if the outcome is unknown.
        """
        packed = response and [
            response.status,
            [list(pair) for pair in response.headers],
            response.body,
        ]
        await self.submit(
            self.region_for(call.organisation, home),
            'finish',
            timeout=FINISH_TIMEOUT_SECONDS,
            organisation=call.organisation,
            key=key,
            request_id=call.request_id,
            answer=packed,
        )

    async def release(
        self, call: backends.Call, key: str, home: str | None
    ) -> None:
        """Removes the claim of a call that was not run."""
        await self.submit(
            self.region_for(call.organisation, home),
            'release',
            organisation=call.organisation,
            key=key,
            request_id=call.request_id,
        )

    async def submit(
        self,
        region: str,
        name: str,
        timeout: float = CLAIM_TIMEOUT_SECONDS,
        **arguments: object,
    ) -> object:
        """Submits a command to a region's ledger and returns its result.

        :param timeout: seconds.
        :raises GatewayError: if the command or the replication failed.
        """
        content = claims.encode_command(
            name, self.timers.wall_time(), arguments
        )
        outcome = await self.groups[region].submit(content, timeout)
        if 'error' in outcome:
            raise error_codec.unpack(outcome['error'])
        return outcome['value']


def call_digest(call: backends.Call) -> str:
    """Returns the hex digest by which a repeated call is recognised."""
    parts = [call.service, call.method, call.path]
    text = '\n'.join(parts).encode() + b'\n' + call.body
    return hashlib.sha256(text).hexdigest()
