"""Reports ends of backend servers to the leading control VM.

Also answers its question which traits were in sound responses.
"""

import collections
import collections.abc
import typing

import anyio
import eliot

from .. import errors
from .. import held_requests
from .. import timers as timer_service
from ..fleet import agent as agents
from ..fleet import crash_watch
from ..fleet import hold_expiry
from ..fleet import timing
from ..ports import peers
from . import server_ends

MAX_REPORTS = 100
RETENTION_SECONDS = 300.0
RETRY_SECONDS = 0.5
MAX_SOUND_TRAITS = 20_000


class SoundTraits:
    """Traits that were in sound responses of this VM, the oldest first."""

    def __init__(self) -> None:
        self.sound_at: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def record(
        self,
        service: str,
        traits: collections.abc.Iterable[str],
        at: float,
    ) -> None:
        """Records a sound response.

        :param at: timer seconds.
        """
        for name in traits:
            key = (service, name)
            self.sound_at[key] = max(at, self.sound_at.get(key, at))
            self.sound_at.move_to_end(key)
        while len(self.sound_at) > MAX_SOUND_TRAITS:
            self.sound_at.popitem(last=False)

    def ages(
        self, service: str, traits: list[str], now: float
    ) -> dict[str, float]:
        """Returns the seconds since each trait was sound, if it was."""
        return {
            name: now - self.sound_at[service, name]
            for name in traits
            if (service, name) in self.sound_at
        }


class EndReporter:
    """Reports each end to the leader, and again if the leader changes.

    :ivar reports: recent ends, the oldest first.
    :ivar received_by: the leader that has received each of them.
    """

    def __init__(
        self,
        view: agents.FleetView,
        timers: timer_service.Timers,
        mesh: peers.PeerPort,
    ) -> None:
        self.view = view
        self.timers = timers
        self.mesh = mesh
        self.sound_traits = SoundTraits()
        self.reports: collections.deque[server_ends.ServerEnd] = (
            collections.deque(maxlen=MAX_REPORTS)
        )
        self.received_by: dict[server_ends.ServerEnd, str] = {}
        self.known_holds: tuple[held_requests.Hold, ...] = ()
        self.has_reports = anyio.Event()
        self.asked_told_at = timers.now()
        self.last_code = ''

    def handlers(self) -> dict[str, peers.Handler]:
        return {crash_watch.SOUND_METHOD: self.on_sound_question}

    def record(self, end: server_ends.ServerEnd) -> None:
        self.reports.append(end)
        self.has_reports.set()

    async def on_sound_question(
        self, peer: str, message: typing.Any
    ) -> dict[str, float]:
        try:
            service, traits = message
            names = [str(one) for one in traits]
        except (TypeError, ValueError) as error:
            raise errors.PeerProtocolError(
                f'{peer} sent a malformed question for sound traits'
            ) from error
        return self.sound_traits.ages(service, names, self.timers.now())

    async def run(self) -> None:
        """Sends reports until cancelled."""
        while True:
            with self.timers.move_on_after(RETRY_SECONDS):
                await self.has_reports.wait()
            self.has_reports = anyio.Event()
            self.drop_old()
            await self.send_reports()
            await self.tell_asked_holds()

    def drop_old(self) -> None:
        """Drops reports that are too old, or whose hold was lifted."""
        now = self.timers.now()
        holds = self.view.holds.holds
        lifted = crash_watch.find_lifted(self.known_holds, holds)
        self.known_holds = holds
        self.reports = collections.deque(
            (
                end
                for end in self.reports
                if now - end.requests[0].interrupted_at <= RETENTION_SECONDS
                and not any(
                    hold.matches(end.service, frozenset(one.traits))
                    for hold in lifted
                    for one in end.requests
                )
            ),
            MAX_REPORTS,
        )
        self.received_by = {
            end: self.received_by[end]
            for end in self.reports
            if end in self.received_by
        }

    async def send_reports(self) -> None:
        leader = self.view.leader
        for end in list(self.reports):
            if leader is None or self.received_by.get(end) == leader:
                continue
            try:
                await self.mesh.call(
                    leader,
                    crash_watch.REPORT_METHOD,
                    pack_end(end, self.timers.now()),
                    timing.CONTROL_CALL_TIMEOUT_SECONDS,
                )
            except errors.GatewayError as error:
                if error.code != self.last_code:
                    eliot.log_message(
                        'server:end_not_reported',
                        server=end.run[0],
                        leader=leader,
                        code=error.code,
                        retry_after=RETRY_SECONDS,
                    )
                self.last_code = error.code
                return
            self.last_code = ''
            self.received_by[end] = leader

    async def tell_asked_holds(self) -> None:
        """Tells the leader which holds have rejected requests, at times."""
        now = self.timers.now()
        leader, asked = self.view.leader, self.view.asked_holds
        is_due = now - self.asked_told_at >= hold_expiry.REPORT_SECONDS
        if leader is None or not asked or not is_due:
            return
        self.asked_told_at = now
        try:
            await self.mesh.call(
                leader,
                hold_expiry.ASKED_METHOD,
                sorted(asked),
                timing.CONTROL_CALL_TIMEOUT_SECONDS,
            )
        except errors.GatewayError as error:
            eliot.log_message(
                'hold:asked_not_told',
                leader=leader,
                code=error.code,
                retry_after=hold_expiry.REPORT_SECONDS,
            )
            return
        self.view.asked_holds = set()


def pack_end(end: server_ends.ServerEnd, now: float) -> list:
    """Returns the message that reports an end, with ages in seconds."""
    return [
        end.service,
        *end.run,
        [
            [
                one.request_id,
                list(one.traits),
                now - one.sent_at,
                now - one.interrupted_at,
            ]
            for one in end.requests
        ],
    ]
