"""Lifts the holds that nobody asks for any more, on the leading control VM.

Entry VMs tell the leader which holds have rejected requests. A new leader
counts from its election, so a hold lasts longer over a change of leader.
"""

import collections.abc
import typing

import eliot

from .. import errors
from .. import held_requests
from .. import timers as timer_service

ASKED_METHOD = 'fleet.holds_asked'
# Interval at which an entry VM tells the leader, and at which that checks.
REPORT_SECONDS = 30.0
IDLE_SECONDS = 3600.0

SubmitLift = collections.abc.Callable[
    [str], collections.abc.Awaitable[typing.Any]
]


class HoldExpiry:
    """Finds the holds that have rejected no request for a time.

    :param is_leader: returns whether this control VM leads.
    :param holds: returns the holds in force.
    :ivar asked_at: timer seconds at which each hold last rejected a request,
        or was first seen, by ID.
    """

    def __init__(
        self,
        timers: timer_service.Timers,
        is_leader: collections.abc.Callable[[], bool],
        holds: collections.abc.Callable[[], tuple[held_requests.Hold, ...]],
        submit_lift: SubmitLift,
    ) -> None:
        self.timers = timers
        self.is_leader = is_leader
        self.holds = holds
        self.submit_lift = submit_lift
        self.asked_at: dict[str, float] = {}

    def record_asked(self, peer: str, message: typing.Any) -> None:
        """Records the holds that have rejected requests of an entry VM.

        :raises PeerProtocolError: if the message is malformed.
        """
        if not isinstance(message, list):
            raise errors.PeerProtocolError(
                f'{peer} sent a malformed list of holds'
            )
        known = {one.hold_id for one in self.holds()}
        now = self.timers.now()
        for hold_id in message:
            if hold_id in known:
                self.asked_at[hold_id] = now

    async def run(self) -> None:
        """Lifts idle holds until cancelled."""
        while True:
            await self.timers.sleep(REPORT_SECONDS)
            try:
                await self.lift_idle()
            except errors.GatewayError as error:
                eliot.log_message(
                    'hold:not_expired',
                    code=error.code,
                    reason=error.message,
                    retry_after=REPORT_SECONDS,
                )

    async def lift_idle(self) -> None:
        """Lifts the holds that nobody has asked for.

        :raises GatewayError: if it was not stored.
        """
        if not self.is_leader():
            self.asked_at.clear()
            return
        now = self.timers.now()
        self.asked_at = {
            one.hold_id: self.asked_at.get(one.hold_id, now)
            for one in self.holds()
        }
        for hold_id, asked_at in list(self.asked_at.items()):
            if now - asked_at < IDLE_SECONDS:
                continue
            eliot.log_message(
                'hold:expired',
                id=hold_id,
                idle_seconds=round(now - asked_at),
                max_idle_seconds=IDLE_SECONDS,
            )
            await self.submit_lift(hold_id)
