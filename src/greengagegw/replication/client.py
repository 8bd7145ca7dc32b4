"""Finds the leader of a group and hands it a command."""

import typing

from .. import errors
from .. import timers as timer_service
from ..ports import peers

RETRY_SECONDS = 0.2
CALL_SECONDS = 4.0


class GroupClient:
    """Submits commands to a replicated group from any VM.

    :param voters: the VMs that may lead the group.
    """

    def __init__(
        self,
        group: str,
        voters: tuple[str, ...],
        mesh: peers.PeerPort,
        timers: timer_service.Timers,
    ) -> None:
        self.group = group
        self.voters = voters
        self.mesh = mesh
        self.timers = timers
        self.leader = voters[0]

    async def submit(self, content: bytes, timeout: float) -> typing.Any:
        """Returns the outcome of a command.

        The command may be handed over more than once, so it must be
        idempotent.

        :param timeout: seconds until the client gives up.
        :raises ReplicationError: with ``run`` set to ``not_run`` if no
            replica can have taken the command, else ``unknown``.
        """
        deadline = self.timers.now() + timeout
        run = errors.NOT_RUN
        tried = 0
        while True:
            try:
                return await self.ask_leader(content)
            except errors.NotLeaderError as error:
                self.follow_hint(error.leader)
            except errors.PeerUnreachableError:
                self.follow_hint(None)
            except (errors.PeerError, errors.ReplicationError):
                run = errors.UNKNOWN
                self.follow_hint(None)
            tried += 1
            if self.timers.now() >= deadline:
                raise errors.ReplicationError(
                    f'the group {self.group} has no reachable leader',
                    run=run,
                    retry_after=2,
                )
            if tried % len(self.voters) == 0:
                await self.timers.sleep(RETRY_SECONDS)

    async def ask_leader(self, content: bytes) -> typing.Any:
        method = f'replica.{self.group}.propose'
        return await self.mesh.call(self.leader, method, content, CALL_SECONDS)

    def follow_hint(self, leader: str | None) -> None:
        """Turns to the named leader, or else to the next voter."""
        if leader is not None and leader != self.leader:
            self.leader = leader
            return
        at = (
            self.voters.index(self.leader)
            if self.leader in self.voters
            else -1
        )
        self.leader = self.voters[(at + 1) % len(self.voters)]
