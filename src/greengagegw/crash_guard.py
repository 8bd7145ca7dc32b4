"""Holds back calls under which backend servers end, on our own interface.

A VM that loses the connection of a call checks whether its engine, or other
backend server, still listens. The VMs exchange the ends of engines with the
calls that were interrupted, the traits that were in sound responses since, and
what is held back. Each of them decides from that by itself.
"""

import collections
import collections.abc
import dataclasses
import typing

import anyio
import anyio.abc
import eliot

from . import errors
from . import held_requests
from . import timers as timer_service
from .policy import crash_attribution

EXCHANGE_METHOD = 'crash.exchange'
# Connections to an engine that ended break within this time of each other.
SETTLE_SECONDS = 0.05
# What the other VMs know of an end arrives within this time.
DECISION_DELAY_SECONDS = 0.5
# Ends of one engine within this time are the same end, seen by several VMs.
SAME_END_SECONDS = 2.0
RETENTION_SECONDS = 600.0
MAX_ENDS = 100
MAX_CALLS_PER_END = 100
MAX_SOUND_TRAITS = 20_000
MAX_HOLDS = 256
# A hold lasts until an operator lifts it.
RETRY_AFTER_SECONDS = 60

TraitKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class EngineEnd:
    """The end of an engine.

    :ivar at: timer seconds of the first interruption.
    :ivar interruptions: interrupted calls by request ID and traits.
    """

    service: str
    engine: str
    at: float
    interruptions: dict[tuple, crash_attribution.Interruption]

    def matches(self, hold: held_requests.Hold) -> bool:
        return any(
            hold.matches(self.service, frozenset(one.traits))
            for one in self.interruptions.values()
        )


@dataclasses.dataclass(frozen=True, slots=True)
class HoldState:
    """A hold, or that an operator lifted it.

    :ivar changed_at: Unix seconds.
    """

    hold: held_requests.Hold
    changed_at: float
    is_lifted: bool = False


class CrashGuard:
    """What one VM knows of calls that end engines.

    :ivar ends: recent ends, the first one first.
    :ivar sound_at: timer seconds of the last sound response of this VM by
        service and trait, the oldest first.
    :ivar peer_sound_at: the same of the other VMs, for traits in ``ends``.
    :ivar states: holds and lifted holds by ID.
    :ivar new_ends: ends to be announced; so are ``new_sound`` and
        ``new_states``.
    :ivar interrupted: calls by service and engine, until the engine has been
        checked.
    """

    def __init__(self, timers: timer_service.Timers) -> None:
        self.timers = timers
        self.ends: list[EngineEnd] = []
        self.sound_at: collections.OrderedDict[TraitKey, float] = (
            collections.OrderedDict()
        )
        self.peer_sound_at: dict[TraitKey, float] = {}
        self.states: dict[str, HoldState] = {}
        self.index = held_requests.HoldIndex()
        self.new_ends: list[EngineEnd] = []
        self.new_sound: list[TraitKey] = []
        self.new_states: list[HoldState] = []
        self.has_news = anyio.Event()
        self.interrupted: dict[
            tuple[str, str], list[crash_attribution.Interruption]
        ] = {}
        self.unchecked: list[tuple] = []
        self.has_unchecked = anyio.Event()

    # Calls of this VM.

    def check(
        self, service: str, traits: collections.abc.Iterable[str]
    ) -> None:
        """Checks that a call is not held back.

        :raises HeldRequestError: if it is.
        """
        hold = self.index.find(service, traits)
        if hold is None:
            return
        eliot.log_message('request:held', service=service, hold=hold.hold_id)
        raise hold.make_error(retry_after=RETRY_AFTER_SECONDS)

    def record_sound(
        self, service: str, traits: collections.abc.Iterable[str]
    ) -> None:
        """Records that the response to a call was complete."""
        now = self.timers.now()
        for name in traits:
            self.sound_at[service, name] = now
            self.sound_at.move_to_end((service, name))
        while len(self.sound_at) > MAX_SOUND_TRAITS:
            self.sound_at.popitem(last=False)
        if not self.ends:
            return
        names = set(traits)
        self.announce_sound(
            {(service, name) for name in names} & self.suspected()
        )
        if any(
            one.service == service
            and len(one.traits) > 1
            and names.intersection(one.traits)
            for one in self.index.holds
        ):
            # Fewer traits explain the ends now.
            self.decide(service)

    def record_interruption(
        self,
        service: str,
        engine: str,
        interruption: crash_attribution.Interruption,
        is_refusing: collections.abc.Callable[
            [], collections.abc.Awaitable[bool]
        ],
    ) -> None:
        """Records a call whose connection broke.

        :param is_refusing: returns whether the engine refuses connections.
        """
        if not interruption.traits:
            return
        waiting = self.interrupted.setdefault((service, engine), [])
        if not waiting:
            self.unchecked.append((service, engine, is_refusing))
            self.has_unchecked.set()
        if len(waiting) < MAX_CALLS_PER_END:
            waiting.append(interruption)

    async def run(self) -> None:
        """Checks engines that interrupted calls, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self.has_unchecked.wait()
                self.has_unchecked = anyio.Event()
                unchecked, self.unchecked = self.unchecked, []
                for arguments in unchecked:
                    tasks.start_soon(self.check_engine, *arguments)

    async def check_engine(
        self,
        service: str,
        engine: str,
        is_refusing: collections.abc.Callable[
            [], collections.abc.Awaitable[bool]
        ],
    ) -> None:
        await self.timers.sleep(SETTLE_SECONDS)
        has_ended = await is_refusing()
        calls = self.interrupted.pop((service, engine), [])
        eliot.log_message(
            'engine:ended' if has_ended else 'engine:interrupted',
            backend_server=engine,
            service=service,
            calls=[[one.request_id, list(one.traits)] for one in calls],
        )
        if has_ended and calls:
            first_at = min(one.interrupted_at for one in calls)
            end = self.add_end(service, engine, first_at, calls)
            self.new_ends.append(end)
            self.has_news.set()

    # Decisions.

    def suspected(self) -> set[TraitKey]:
        return {
            (end.service, name)
            for end in self.ends
            for one in end.interruptions.values()
            for name in one.traits
        }

    def add_end(
        self,
        service: str,
        engine: str,
        at: float,
        interruptions: list[crash_attribution.Interruption],
    ) -> EngineEnd:
        """Adds interrupted calls to the end of an engine."""
        end = next(
            (
                one
                for one in self.ends
                if (one.service, one.engine) == (service, engine)
                and abs(one.at - at) < SAME_END_SECONDS
            ),
            None,
        )
        if end is None:
            end = EngineEnd(service, engine, at, {})
            self.ends.append(end)
        end.at = min(end.at, at)
        for one in interruptions:
            if len(end.interruptions) < MAX_CALLS_PER_END:
                end.interruptions.setdefault((one.request_id, one.traits), one)
        self.ends.sort(key=lambda one: one.at)
        now = self.timers.now()
        self.ends = [
            one for one in self.ends if now - one.at <= RETENTION_SECONDS
        ][-MAX_ENDS:]
        suspected = self.suspected()
        self.peer_sound_at = {
            key: at
            for key, at in self.peer_sound_at.items()
            if key in suspected
        }
        self.timers.call_later(
            DECISION_DELAY_SECONDS, lambda: self.decide(service)
        )
        return end

    def decide(self, service: str) -> None:
        """Holds back what explains the recent ends of a service's engines."""
        known_before = self.timers.now() - DECISION_DELAY_SECONDS
        sound_at: dict[str, float] = {}
        for known in (self.sound_at, self.peer_sound_at):
            for (name, trait), at in known.items():
                if name == service:
                    sound_at[trait] = max(at, sound_at.get(trait, at))
        culprits = crash_attribution.find_culprits(
            [
                crash_attribution.ServerEnd(
                    (one.engine, round(one.at * 1000)),
                    one.at,
                    tuple(one.interruptions.values()),
                )
                for one in self.ends
                if one.service == service and one.at <= known_before
            ],
            sound_at,
        )
        for blame in culprits:
            if self.index.find(service, blame.traits) is None:
                self.hold(service, blame)

    def hold(self, service: str, blame: crash_attribution.Blame) -> None:
        now = self.timers.wall_time()
        hold = held_requests.make_hold(service, blame, now)
        eliot.log_message(
            'hold:made',
            id=hold.hold_id,
            service=service,
            traits=list(hold.traits),
            engines=list(hold.ended_servers),
            min_ends=crash_attribution.MIN_ENDS,
            requests=list(hold.requests),
        )
        self.change(HoldState(hold, now))

    def change(self, state: HoldState) -> None:
        """Applies a change of this VM and announces it."""
        self.apply(state)
        self.new_states.append(state)
        self.has_news.set()

    def apply(self, state: HoldState) -> None:
        """Keeps the newer one of two states of a hold."""
        hold_id = state.hold.hold_id
        known = self.states.get(hold_id)
        if known is not None and state.changed_at <= known.changed_at:
            return
        self.states[hold_id] = state
        if len(self.states) > MAX_HOLDS:
            oldest = min(
                self.states, key=lambda one: self.states[one].changed_at
            )
            del self.states[oldest]
        self.index = held_requests.HoldIndex(
            one.hold for one in self.states.values() if not one.is_lifted
        )
        if state.is_lifted:
            self.ends = [
                one for one in self.ends if not one.matches(state.hold)
            ]

    def lift(self, hold_id: str) -> bool:
        """Lifts a hold, and those that it includes.

        It is made again after further ends.

        :returns: whether there was one.
        """
        known = self.states.get(hold_id)
        if known is None or known.is_lifted:
            return False
        for one in list(self.states.values()):
            if one is known or known.hold.is_wider(one.hold):
                # Later than the hold even if the clock was set back.
                at = max(self.timers.wall_time(), one.changed_at + 0.001)
                self.change(HoldState(one.hold, at, is_lifted=True))
        eliot.log_message('operator:hold_lifted', id=hold_id)
        return True

    def describe_holds(self) -> list[dict[str, typing.Any]]:
        """Returns what is held back, since when and why."""
        return [one.describe() for one in self.index.holds]

    # Exchange with the other VMs.

    def announce_sound(self, keys: set[TraitKey]) -> None:
        """Announces soundness that the other VMs may not know of."""
        for key in keys:
            if self.sound_at[key] > self.peer_sound_at.get(key, -1e9) + 1.0:
                self.peer_sound_at[key] = self.sound_at[key]
                self.new_sound.append(key)
                self.has_news.set()

    def take_news(self, now: float) -> list:
        message = self.pack_facts(
            self.new_ends, self.new_sound, self.new_states, now
        )
        self.new_ends, self.new_sound, self.new_states = [], [], []
        self.has_news = anyio.Event()
        return message

    def pack(self, now: float) -> list:
        keys = self.suspected().intersection(self.sound_at)
        return self.pack_facts(self.ends, keys, self.states.values(), now)

    def pack_facts(
        self,
        ends: collections.abc.Iterable[EngineEnd],
        keys: collections.abc.Iterable[TraitKey],
        states: collections.abc.Iterable[HoldState],
        now: float,
    ) -> list:
        """Returns a message, with ages in seconds."""
        return [
            [
                [
                    end.service,
                    end.engine,
                    now - end.at,
                    [
                        [
                            one.request_id,
                            list(one.traits),
                            now - one.sent_at,
                            now - one.interrupted_at,
                        ]
                        for one in end.interruptions.values()
                    ],
                ]
                for end in ends
            ],
            [
                [*key, now - self.sound_at[key]]
                for key in keys
                if key in self.sound_at
            ],
            [
                [one.hold.pack(), one.changed_at, one.is_lifted]
                for one in states
            ],
        ]

    def merge_message(
        self, peer: str, message: typing.Any, now: float
    ) -> None:
        """Merges what another VM knows.

        :raises PeerProtocolError: if the message is malformed.
        """
        ends, sound, states = decode_message(peer, message, now)
        for state in states:
            self.apply(state)
        for key, at in sound:
            self.peer_sound_at[key] = max(at, self.peer_sound_at.get(key, at))
        wall_offset = self.timers.wall_time() - now
        for service, engine, at, interruptions in ends:
            if not self.is_lifted(service, interruptions, at + wall_offset):
                self.add_end(service, engine, at, interruptions)
        if ends:
            self.announce_sound(self.suspected().intersection(self.sound_at))

    def is_lifted(
        self,
        service: str,
        interruptions: list[crash_attribution.Interruption],
        wall_at: float,
    ) -> bool:
        """Returns whether a hold was lifted after an end that it explained."""
        return any(
            state.is_lifted
            and wall_at <= state.changed_at
            and any(
                state.hold.matches(service, frozenset(one.traits))
                for one in interruptions
            )
            for state in self.states.values()
        )


def decode_message(
    peer: str, message: typing.Any, now: float
) -> tuple[list[tuple], list[tuple[TraitKey, float]], list[HoldState]]:
    """Returns the ends, soundness and holds in a message.

    :param now: timer seconds, to which the ages in the message relate.
    :raises PeerProtocolError: if it is malformed.
    """
    try:
        packed_ends, packed_sound, packed_states = message
        ends = [
            (
                str(service),
                str(engine),
                now - float(age),
                [
                    crash_attribution.make_interruption(
                        str(request_id),
                        (str(one) for one in traits),
                        now - float(sent_age),
                        now - float(interrupted_age),
                    )
                    for request_id, traits, sent_age, interrupted_age in (
                        calls
                    )
                ],
            )
            for service, engine, age, calls in packed_ends
        ]
        sound = [
            ((str(service), str(trait)), now - float(age))
            for service, trait, age in packed_sound
        ]
        states = [
            HoldState(
                held_requests.Hold.unpack(hold), float(at), bool(is_lifted)
            )
            for hold, at, is_lifted in packed_states
        ]
    except (TypeError, ValueError, IndexError) as error:
        raise errors.PeerProtocolError(
            f'{peer} sent malformed facts on ends of engines: {error}'
        ) from error
    return ends, sound, states
