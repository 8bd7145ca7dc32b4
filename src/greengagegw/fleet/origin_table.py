"""The origins of streams: which service and software version began each."""

import dataclasses
import reprlib
import typing

from .. import errors
from .. import timers as timer_service
from ..ports import peers

RECORD_METHOD = 'fleet.stream_origins'
FIND_METHOD = 'fleet.find_stream_origin'
# Longer than any stream between its first event and its resumption.
RETENTION_SECONDS = 120.0
# About 60 MB.
MAX_CONTROL_ORIGINS = 200_000


@dataclasses.dataclass(frozen=True, slots=True)
class StreamKey:
    """Identifies a stream.

    :ivar organisation: whose request it was; empty for a route without keys.
    :ivar request_id: ID of the request that received its first event.
    """

    organisation: str
    request_id: str

    def pack(self) -> list:
        return [self.organisation, self.request_id]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What began a stream.

    :ivar software_version: of the backend server.
    """

    service: str
    software_version: str

    def pack(self) -> list:
        return [self.service, self.software_version]


class OriginTable:
    """The origins that one VM knows, the oldest first."""

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        self.known: dict[StreamKey, tuple[StreamOrigin, float]] = {}

    def add(self, key: StreamKey, origin: StreamOrigin, now: float) -> None:
        """Adds an origin, and forgets those that are too old or too many."""
        self.known.pop(key, None)
        self.known[key] = (origin, now)
        while self.known:
            oldest = next(iter(self.known))
            age_seconds = now - self.known[oldest][1]
            if (
                age_seconds <= RETENTION_SECONDS
                and len(self.known) <= self.max_count
            ):
                return
            del self.known[oldest]

    def find(self, key: StreamKey) -> StreamOrigin | None:
        found = self.known.get(key)
        return None if found is None else found[0]


class OriginServer:
    """Keeps the origins that entry VMs send to a control VM, in memory.

    They serve when all entry VMs restart during a release.
    """

    def __init__(self, timers: timer_service.Timers) -> None:
        self.timers = timers
        self.table = OriginTable(MAX_CONTROL_ORIGINS)

    def handlers(self) -> dict[str, peers.Handler]:
        return {RECORD_METHOD: self.on_record, FIND_METHOD: self.on_find}

    async def on_record(self, peer: str, message: typing.Any) -> None:
        now = self.timers.now()
        for key, origin in decode_origins(peer, message):
            self.table.add(key, origin, now)

    async def on_find(self, peer: str, message: typing.Any) -> list | None:
        origin = self.table.find(decode_key(peer, message))
        return None if origin is None else origin.pack()


def decode_origins(
    peer: str, message: typing.Any
) -> list[tuple[StreamKey, StreamOrigin]]:
    """Returns the origins in a message.

    :raises PeerProtocolError: if it is malformed.
    """
    try:
        pairs = [(key, origin) for key, origin in message]
    except (TypeError, ValueError) as error:
        raise errors.PeerProtocolError(
            f'{peer} sent stream origins that are not pairs'
        ) from error
    return [
        (decode_key(peer, key), decode_origin(peer, origin))
        for key, origin in pairs
    ]


def decode_key(peer: str, packed: typing.Any) -> StreamKey:
    return StreamKey(*decode_names(peer, packed))


def decode_origin(peer: str, packed: typing.Any) -> StreamOrigin:
    """Returns an origin.

    :raises PeerProtocolError: if it is malformed.
    """
    return StreamOrigin(*decode_names(peer, packed))


def decode_names(peer: str, packed: typing.Any) -> tuple[str, str]:
    if (
        not isinstance(packed, list)
        or len(packed) != 2
        or not all(isinstance(one, str) for one in packed)
    ):
        raise errors.PeerProtocolError(
            f'{peer} sent {reprlib.repr(packed)} instead of a pair of names'
        )
    return packed[0], packed[1]
