"""Starts the program with faults injected at its disk and peer ports.

The faults are read from a JSON file, which the soak replaces while the
program runs:

- ``silent_to`` and ``silent_from``: hosts to and from which bytes of peers
  are lost;
- ``link_seconds``: one-way delay of the links to hosts of other regions;
- ``slow_to``: by host, the bytes a second that are carried to it;
- ``lossy_to``: by host, the share of packets that are lost to and from it;
- those of the disk, which :mod:`soak.disk` names.

The clocks are those of the system less what a second file names, which is
mapped so that a process sees a change at once when it runs again.
"""

import asyncio
import errno
import json
import mmap
import os
import pathlib
import random
import struct
import sys
import time

# It takes the time of day from the system.
import durable

ROOT = pathlib.Path(os.environ['SOAK_ROOT'])
FAULTS = pathlib.Path(os.environ['SOAK_FAULTS'])
HOST = os.environ['SOAK_HOST']
READ_INTERVAL_SECONDS = 0.02
# A connection through a partition does not fail before its caller gives up.
PARTITION_SECONDS = 30.0
# The least time after which the system sends a lost packet again.
RESEND_SECONDS = 0.2
PACKET_BYTES = 1460

# The folder of this script, which is first in the path, holds the soak's own
# modules; the program is that of the other checkout.
sys.path.insert(0, str(ROOT / 'src'))


class Clocks:
    """Clocks that differ from those of the system.

    The steady clock does not count the time that a machine was suspended, and
    the time of day may have been stepped.
    """

    def __init__(self, path: str) -> None:
        with open(path, 'rb') as file:
            self.values = mmap.mmap(file.fileno(), 0, access=mmap.ACCESS_READ)
        self.steady = time.monotonic
        self.time_of_day = time.time

    def monotonic(self) -> float:
        return self.steady() - struct.unpack('dd', self.values[:])[0]

    def time(self) -> float:
        return self.time_of_day() + struct.unpack('dd', self.values[:])[1]


clocks = Clocks(os.environ['SOAK_CLOCKS'])
# Before the program's modules, which keep references to it.
time.monotonic = clocks.monotonic
time.time = clocks.time

import disk  # noqa: E402

from greengagegw.cli import main  # noqa: E402

try:
    from greengagegw.adapters import peer_socket
except ImportError:
    # Releases before 5e9ad3b have no such port, so that links cannot fail.
    peer_socket = None


class Faults:
    """The faults in force, read again when the file changes."""

    def __init__(self) -> None:
        self.values: dict = {}
        self.read_at = 0.0
        self.changed_at = 0

    def get(self, name: str, default):
        now = time.monotonic()
        if now - self.read_at >= READ_INTERVAL_SECONDS:
            self.read_at = now
            changed_at = FAULTS.stat().st_mtime_ns
            if changed_at != self.changed_at:
                self.changed_at = changed_at
                self.values = json.loads(FAULTS.read_text())
        return self.values.get(name, default)


faults = Faults()


def region_of(host: str) -> str:
    """Returns the part of an address that names its failure domain."""
    return host.rsplit('.', 1)[0]


class FaultySocket(peer_socket.PeerSocket if peer_socket else object):
    """A dialled connection with delays, and without what a fault drops.

    Dropped bytes leave a gap in the stream, so the direction stays silent
    after the fault has ended.
    """

    def __init__(self, host: str) -> None:
        super().__init__()
        self.host = host
        self.is_silent = [False, False]
        self.is_remote = region_of(host) != region_of(HOST)
        self.free_at = [0.0, 0.0]

    def resend_seconds(self, data: bytes) -> float:
        """Returns how long lost packets delay data and what follows it."""
        share = faults.get('lossy_to', {}).get(self.host, 0.0)
        packets = -(-len(data) // PACKET_BYTES)
        is_lost = random.random() < 1 - (1 - share) ** packets
        return RESEND_SECONDS if is_lost else 0.0

    def is_dropped(self, direction: int) -> bool:
        name = ('silent_to', 'silent_from')[direction]
        self.is_silent[direction] |= self.host in faults.get(name, ())
        return self.is_silent[direction]

    def delayed(self, function, data: bytes) -> None:
        seconds = faults.get('link_seconds', 0.0)
        if self.is_remote and seconds:
            loop = asyncio.get_running_loop()
            loop.call_later(seconds, function, data)
        else:
            function(data)

    def carry(self, direction: int, function, data: bytes, rate=None) -> None:
        """Passes data on in its order, after what holds it up."""
        loop = asyncio.get_running_loop()
        lost_seconds = self.resend_seconds(data)
        free_at = self.free_at[direction]
        if rate is None and not lost_seconds and loop.time() >= free_at:
            self.delayed(function, data)
            return
        slow_seconds = len(data) / rate if rate else 0.0
        free_at = max(loop.time(), free_at) + lost_seconds + slow_seconds
        self.free_at[direction] = free_at
        loop.call_at(free_at, self.delayed, function, data)

    def write(self, data: bytes) -> None:
        if not self.is_dropped(0):
            rate = faults.get('slow_to', {}).get(self.host)
            self.carry(0, self.write_late, bytes(data), rate)

    def write_late(self, data: bytes) -> None:
        if not self.is_lost:
            super().write(data)

    def data_received(self, data: bytes) -> None:
        if not self.is_dropped(1):
            self.carry(1, super().data_received, bytes(data))


connect_socket = getattr(peer_socket, 'connect', None)


async def connect(host: str, port: int, *_: object):
    if host in faults.get('silent_to', ()):
        await asyncio.sleep(PARTITION_SECONDS)
        raise OSError(errno.ETIMEDOUT, 'simulated partition')
    return await connect_socket(host, port, lambda: FaultySocket(host))


if __name__ == '__main__':
    if peer_socket is not None:
        peer_socket.connect = connect
    if 'SOAK_COPIES' in os.environ:
        data = os.environ['SOAK_DATA']
        state = durable.DurableState(data, os.environ['SOAK_COPIES'])
        disk.Disk(data, faults.get, state).install()
    main.main()
