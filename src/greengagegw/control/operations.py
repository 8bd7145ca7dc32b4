"""Operations of the admin API: edit the table, issue and withdraw keys."""

import contextlib
import typing
import uuid

from .. import errors
from .. import keys
from .. import table as tables
from .. import timers as timer_service
from ..adapters import error_codec
from . import distribution as distributions
from ..replication import client as replication_client
from . import state
from . import view as views

SUBMIT_TIMEOUT_SECONDS = 8.0
WITHDRAWAL_COMMIT_TIMEOUT_SECONDS = 3.0
RESUBMIT_INTERVAL_SECONDS = 3.0


class Operations:
    """Edits by operators; any VM accepts them."""

    def __init__(
        self,
        group: replication_client.GroupClient,
        view: views.ConfigurationView,
        distribution: distributions.Distribution,
        timers: timer_service.Timers,
        regions: tuple[str, ...],
    ) -> None:
        self.group = group
        self.view = view
        self.distribution = distribution
        self.timers = timers
        self.regions = regions

    async def run(self) -> None:
        """Retries to commit withdrawals that no majority has confirmed."""
        while True:
            await self.timers.sleep(RESUBMIT_INTERVAL_SECONDS)
            for key_id in sorted(self.view.uncommitted):
                with contextlib.suppress(errors.ReplicationError):
                    await self.commit_withdrawal(key_id)

    async def submit(
        self,
        name: str,
        edit_id: str,
        timeout: float = SUBMIT_TIMEOUT_SECONDS,
        **arguments: typing.Any,
    ) -> dict[str, typing.Any]:
        """Returns the outcome of an edit once it is committed.

        :param edit_id: idempotency key; if empty, one is generated.
        :param timeout: seconds to look for a leader.
        :raises GatewayError: if the edit is rejected, with the reason.
        """
        edit_id = edit_id or uuid.uuid4().hex
        content = state.encode_command(name, edit_id, arguments)
        outcome = await self.group.submit(content, timeout)
        if 'error' in outcome:
            raise error_codec.unpack(outcome['error'])
        return outcome['value']

    async def put_table(
        self, text: str, based_on: int, edit_id: str
    ) -> dict[str, typing.Any]:
        """Replaces the table.

        :param based_on: revision of the table that was edited.
        :raises TableError: if the table is invalid, with all invalid cells.
        :raises ConflictError: if the table has another revision by now.
        """
        tables.parse(text, self.regions)
        return await self.submit(
            'put_table', edit_id, text=text, based_on=based_on
        )

    async def give_key(
        self, organisation: str, edit_id: str, key_id: str, digest: str
    ) -> dict[str, typing.Any]:
        """Issues a key to an organisation.

        :param digest: digest of a key that the operator has generated. If
            empty, a key is generated and is part of this response only.
        """
        key = None
        if not digest:
            key_id, key, digest = keys.generate_key()
        outcome = await self.submit(
            'give_key',
            edit_id,
            id=key_id,
            digest=digest,
            organisation=organisation,
            at=self.timers.wall_time(),
        )
        # A retried edit gets the outcome of the first attempt, which had
        # generated another key.
        is_own_key = outcome['id'] == key_id
        return {**outcome, 'key': key if is_own_key else None}

    async def withdraw_key(self, key_id: str) -> dict[str, typing.Any]:
        """Withdraws a key, even if the group has no majority.

        :returns: a map in which ``durable`` says whether the withdrawal is
            committed.
        """
        is_known = key_id in self.view.configuration.keys
        if is_known:
            await self.distribution.withdraw({key_id})
        try:
            await self.commit_withdrawal(key_id)
        except errors.ReplicationError:
            if not is_known:
                raise
            return {'id': key_id, 'in_force': True, 'durable': False}
        return {'id': key_id, 'in_force': True, 'durable': True}

    async def commit_withdrawal(self, key_id: str) -> None:
        await self.submit(
            'withdraw_key', '', WITHDRAWAL_COMMIT_TIMEOUT_SECONDS, id=key_id
        )

    def list_keys(self) -> list[dict[str, typing.Any]]:
        """Returns the id, owner and status of each key, not its secret."""
        configuration = self.view.configuration
        return [
            {
                'id': record.id,
                'organisation': record.organisation,
                'given_at': record.given_at,
                'withdrawn': record.id in configuration.withdrawn,
            }
            for record in configuration.keys.values()
        ]
