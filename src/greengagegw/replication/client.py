"""Client that sends commands to the leader of a replicated group."""

import collections.abc
import typing

from .. import errors
from .. import timers as timer_service
from ..ports import peers

RETRY_DELAY_SECONDS = 0.2
CALL_TIMEOUT_SECONDS = 4.0

IsWanted = collections.abc.Callable[[], collections.abc.Awaitable[bool]]


async def always_wanted() -> bool:
    return True


class GroupClient:
    """Submits commands to a replicated group from any VM.

    :param voters: VMs that are tried as the leader; not empty.
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

    async def submit(
        self,
        command: bytes,
        timeout: float,
        is_wanted: IsWanted = always_wanted,
    ) -> typing.Any:
        """Returns the outcome of a command.

        The command may be sent more than once, so it must be idempotent.

        :param timeout: seconds after which no further attempt is made.
        :param is_wanted: asked right before each attempt.
        :raises OrderAbandonedError: if the command is no longer wanted, with
            ``run`` as for ReplicationError.
        :raises ReplicationError: with ``run`` set to ``not_run`` if no
            replica can have accepted the command, else ``unknown``.
        """
        deadline = self.timers.now() + timeout
        run = errors.NOT_RUN
        attempts = 0
        while True:
            if not await is_wanted():
                raise errors.OrderAbandonedError(
                    f'the caller of a command for the group {self.group} has'
                    f' gone after {attempts} attempts',
                    run=run,
                )
            try:
                return await self.propose_to_leader(command)
            except errors.NotLeaderError as error:
                self.switch_leader(error.leader)
            except errors.PeerUnreachableError:
                self.switch_leader(None)
            except (errors.PeerError, errors.ReplicationError):
                run = errors.UNKNOWN
                self.switch_leader(None)
            attempts += 1
            if self.timers.now() >= deadline:
                raise errors.ReplicationError(
                    f'the group {self.group} has no reachable leader',
                    run=run,
                    retry_after=2,
                )
            if attempts % len(self.voters) == 0:
                await self.timers.sleep(RETRY_DELAY_SECONDS)

    async def propose_to_leader(self, command: bytes) -> typing.Any:
        method = f'replica.{self.group}.propose'
        return await self.mesh.call(
            self.leader, method, command, CALL_TIMEOUT_SECONDS
        )

    def switch_leader(self, leader: str | None) -> None:
        """Selects the named leader, or the next voter if none is named."""
        if leader is not None and leader != self.leader:
            self.leader = leader
            return
        position = (
            self.voters.index(self.leader)
            if self.leader in self.voters
            else -1
        )
        self.leader = self.voters[(position + 1) % len(self.voters)]
