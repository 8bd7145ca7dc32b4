"""Finds the requests that end backend servers, on the leading control VM.

Entry VMs report the ends of servers to the leader, and again to a new one. It
asks all entry VMs which traits were in sound responses, and holds back the
requests that explain the ends. The holds are in the replicated log, so that a
change of leader and restarts do not lift them.
"""

import collections
import collections.abc
import dataclasses
import typing

import anyio
import eliot

from .. import errors
from .. import held_requests
from .. import timers as timer_service
from ..policy import crash_attribution
from ..ports import peers

REPORT_METHOD = 'fleet.server_end'
# The name is that of earlier releases, which know no other traits.
SOUND_METHOD = 'serving.sound_segments'
# Reports of the same end arrive within a round trip between regions.
SETTLE_SECONDS = 0.2
RETENTION_SECONDS = 600.0
# Interval of the attempts to release a trait from a hold on several.
NARROW_SECONDS = 5.0
MAX_ENDS_PER_SERVICE = 100
MAX_SERVICES = 100
MAX_REQUESTS_PER_END = 128
RETRY_SECONDS = 0.5

# Returns, for each of a service's traits that was in a sound response, the
# seconds since then.
AskSound = collections.abc.Callable[
    [str, list[str]], collections.abc.Awaitable[dict[str, float]]
]
SubmitHold = collections.abc.Callable[
    [held_requests.Hold], collections.abc.Awaitable[typing.Any]
]


@dataclasses.dataclass(slots=True)
class ReportedEnd:
    """An end of a server, with the requests that VMs have reported.

    :ivar at: timer seconds of the first interruption.
    """

    at: float
    interruptions: dict[tuple[str, float], crash_attribution.Interruption]


class CrashWatch:
    """Collects ends of servers and decides what is held back.

    :param holds: returns the holds in force.
    """

    def __init__(
        self,
        timers: timer_service.Timers,
        ask_sound: AskSound,
        submit_hold: SubmitHold,
        holds: collections.abc.Callable[[], tuple[held_requests.Hold, ...]],
    ) -> None:
        self.timers = timers
        self.ask_sound = ask_sound
        self.submit_hold = submit_hold
        self.holds = holds
        self.ends: dict[
            str, collections.OrderedDict[tuple[str, int], ReportedEnd]
        ] = {}
        self.sound_at: dict[str, dict[str, float]] = {}
        self.known_holds: tuple[held_requests.Hold, ...] = ()
        self.changed_services: set[str] = set()
        self.has_changes = anyio.Event()

    def record(self, peer: str, message: typing.Any) -> None:
        """Records the report of an entry VM.

        :raises PeerProtocolError: if it is malformed.
        """
        self.forget_lifted()
        service, run, interruptions = decode_report(
            peer, message, self.timers.now()
        )
        if service not in self.ends and len(self.ends) >= MAX_SERVICES:
            self.ends.pop(next(iter(self.ends)))
        ends = self.ends.setdefault(service, collections.OrderedDict())
        first_at = min(one.interrupted_at for one in interruptions)
        end = ends.setdefault(run, ReportedEnd(first_at, {}))
        end.at = min(end.at, first_at)
        for one in interruptions:
            if len(end.interruptions) < MAX_REQUESTS_PER_END:
                key = one.request_id, round(one.interrupted_at, 1)
                end.interruptions[key] = one
        while len(ends) > MAX_ENDS_PER_SERVICE:
            ends.popitem(last=False)
        self.request_evaluation(service)

    async def run(self) -> None:
        """Evaluates reports until cancelled."""
        while True:
            await self.has_changes.wait()
            self.has_changes = anyio.Event()
            await self.timers.sleep(SETTLE_SECONDS)
            services, self.changed_services = self.changed_services, set()
            for service in sorted(services):
                try:
                    await self.evaluate(service)
                except errors.GatewayError as error:
                    eliot.log_message(
                        'hold:not_made',
                        service=service,
                        code=error.code,
                        reason=error.message,
                        retry_after=RETRY_SECONDS,
                    )
                    self.changed_services.add(service)
            if self.changed_services:
                self.has_changes.set()
                await self.timers.sleep(RETRY_SECONDS)

    async def evaluate(self, service: str) -> None:
        """Holds back what explains the recent ends of a service's servers.

        :raises GatewayError: if a hold was not stored.
        """
        self.forget_lifted()
        if not self.find_new_culprits(service) and not any(
            one.service == service for one in self.wide_holds()
        ):
            return
        sound_at = self.sound_at.setdefault(service, {})
        suspects = set(
            crash_attribution.find_suspects(self.list_ends(service), sound_at)
        )
        for one in self.wide_holds():
            if one.service == service:
                suspects.update(one.traits)
        asked_at = self.timers.now()
        ages = await self.ask_sound(service, sorted(suspects))
        for name, age in ages.items():
            sound_at[name] = max(sound_at.get(name, -1e9), asked_at - age)
        for blame in self.find_new_culprits(service):
            await self.hold(service, blame)
        self.forget_lifted()
        is_wide = any(one.service == service for one in self.wide_holds())
        if is_wide and self.list_ends(service):
            self.timers.call_later(
                NARROW_SECONDS, lambda: self.request_evaluation(service)
            )

    def wide_holds(self) -> list[held_requests.Hold]:
        """Returns the holds of which a trait may be found to be sound."""
        return [one for one in self.holds() if len(one.traits) > 1]

    def request_evaluation(self, service: str) -> None:
        self.changed_services.add(service)
        self.has_changes.set()

    def list_ends(self, service: str) -> list[crash_attribution.ServerEnd]:
        """Returns the recent ends in the order of their times."""
        now = self.timers.now()
        ends = self.ends.get(service, {})
        for run in [
            run
            for run, one in ends.items()
            if now - one.at > RETENTION_SECONDS
        ]:
            del ends[run]
        if not ends:
            self.sound_at.pop(service, None)
        return sorted(
            (
                crash_attribution.ServerEnd(
                    run, one.at, tuple(one.interruptions.values())
                )
                for run, one in ends.items()
            ),
            key=lambda one: one.at,
        )

    def find_new_culprits(self, service: str) -> list[crash_attribution.Blame]:
        """Returns the culprits that are not held back yet."""
        found = crash_attribution.find_culprits(
            self.list_ends(service), self.sound_at.get(service, {})
        )
        return [
            blame
            for blame in found
            if not any(
                one.matches(service, blame.traits) for one in self.holds()
            )
        ]

    async def hold(self, service: str, blame: crash_attribution.Blame) -> None:
        hold = held_requests.make_hold(service, blame, self.timers.wall_time())
        now = self.timers.now()
        eliot.log_message(
            'hold:made',
            id=hold.hold_id,
            service=service,
            traits=list(hold.traits),
            servers=list(hold.ended_servers),
            ends_ago=[round(now - end.at, 2) for end in blame.ends],
            min_ends=crash_attribution.MIN_ENDS,
            different=blame.request_count,
            requests=list(hold.requests),
        )
        await self.submit_hold(hold)

    def forget_lifted(self) -> None:
        """Forgets the ends that a hold explained which was lifted since."""
        holds = self.holds()
        for lifted in find_lifted(self.known_holds, holds):
            ends = self.ends.get(lifted.service, {})
            for run in [
                run
                for run, end in ends.items()
                if any(
                    lifted.matches(lifted.service, frozenset(one.traits))
                    for one in end.interruptions.values()
                )
            ]:
                del ends[run]
        self.known_holds = holds


def find_lifted(
    before: tuple[held_requests.Hold, ...], now: tuple[held_requests.Hold, ...]
) -> list[held_requests.Hold]:
    """Returns the holds that are no longer in force, not even in part."""
    return [
        one
        for one in before
        if not any(
            other.matches(one.service, frozenset(one.traits)) for other in now
        )
    ]


def decode_report(
    peer: str, message: typing.Any, now: float
) -> tuple[str, tuple[str, int], list[crash_attribution.Interruption]]:
    """Returns the service, the run and the interruptions in a report.

    :param now: timer seconds, to which the ages in the message relate.
    :raises PeerProtocolError: if it is malformed.
    """
    try:
        service, name, born, requests = message
        interruptions = [
            crash_attribution.make_interruption(
                peers.check_text(request_id),
                (peers.check_text(one) for one in traits),
                now - peers.check_number(sent_age),
                now - peers.check_number(interrupted_age),
            )
            for request_id, traits, sent_age, interrupted_age in requests
        ]
        if not interruptions:
            raise ValueError('no request')
        return (
            peers.check_text(service),
            (peers.check_text(name), peers.check_count(born)),
            interruptions,
        )
    except (TypeError, ValueError) as error:
        raise errors.PeerProtocolError(
            f'{peer} sent a malformed report of the end of a server: {error}'
        ) from error
