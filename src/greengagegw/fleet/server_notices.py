"""What backend servers have asked for, as control VMs keep it for entry VMs.

A server that leaves, or wants a pause, says so in a response to one entry VM.
Control VMs return it to entry VMs that have just started.
"""

import dataclasses
import typing

from ..ports import peers

# Longer than any drain bound; entry VMs keep announcements for as long.
DEPARTURE_SECONDS = 60.0
# A longer pause of a server ends with the record of it.
MAX_PAUSE_SECONDS = 600.0

# A server and the start time of its run.
Run = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerNotices:
    """What servers have said to entry VMs.

    :ivar leaving: runs that have announced their departure.
    :ivar pauses: seconds for which a run wants no requests from this VM.
    """

    leaving: tuple[Run, ...]
    pauses: dict[Run, float]

    def pack(self) -> list:
        return [
            [list(one) for one in self.leaving],
            [[*run, seconds] for run, seconds in self.pauses.items()],
        ]

    @classmethod
    def unpack(cls, values: list) -> 'ServerNotices':
        """Returns notices; fields of later releases are ignored.

        :raises ValueError: or ``TypeError``, if they are malformed.
        """
        leaving, pauses = values[:2]
        return cls(
            tuple(
                (peers.check_text(name), peers.check_count(born))
                for name, born in leaving
            ),
            {
                (peers.check_text(name), peers.check_count(born)): min(
                    peers.check_seconds(seconds), MAX_PAUSE_SECONDS
                )
                for name, born, seconds in pauses
            },
        )


class NoticeRecords:
    """The notices that entry VMs have reported to one control VM."""

    def __init__(self) -> None:
        self.leaving_until: dict[Run, float] = {}
        self.paused_until: dict[tuple[str, Run], float] = {}

    def record(self, vm: str, packed: typing.Any, now: float) -> None:
        """Records a report of an entry VM.

        :raises ValueError: or ``TypeError``, if it is malformed.
        """
        notices = ServerNotices.unpack(packed)
        for run in notices.leaving:
            self.leaving_until[run] = now + DEPARTURE_SECONDS
        for run, seconds in notices.pauses.items():
            self.paused_until[vm, run] = now + seconds

    def find(self, vm: str, now: float) -> ServerNotices:
        """Returns the notices for a VM that has just started."""
        for until_by_key in (self.leaving_until, self.paused_until):
            for key, until in list(until_by_key.items()):
                if until <= now:
                    del until_by_key[key]
        return ServerNotices(
            tuple(self.leaving_until),
            {
                run: until - now
                for (asked_vm, run), until in self.paused_until.items()
                if asked_vm == vm
            },
        )


def unpack_if_present(values: typing.Any) -> ServerNotices | None:
    return None if values is None else ServerNotices.unpack(values)
