"""Faults of a disk, injected at the calls of the operating system.

A full disk has no free block left. As on a real one, bytes that fit into the
last block of a file are still written, a write that needs more is cut short,
and a file that is removed or truncated frees its blocks for all others.
"""

import collections.abc
import errno
import os
import time
import typing

BLOCK_BYTES = 4096
POLL_SECONDS = 0.01
# What a full disk refuses besides new blocks:
# - ``writes``: every write, every sync, and what changes names;
# - ``names``: files that are created or renamed;
# - ``syncs``: the first sync of a file after a write that seemed to succeed,
#   as with delayed allocation. A sync that is repeated reports success.
FULL_DISK_KINDS = ('blocks', 'names', 'syncs', 'writes')


class Disk:
    """The disk of one data folder.

    :param get_fault: returns the value of a fault in force by its name:
        ``full_disk`` (one of FULL_DISK_KINDS), ``sync_seconds`` (how much
        longer a sync takes) and ``is_disk_stalled`` (writes and syncs wait).
    :param state: follows what of the folder is durable.
    :ivar free_blocks: blocks that are left, None unless the disk is full.
    :ivar unsynced: descriptors with bytes that were not synced.
    """

    def __init__(
        self,
        folder: str,
        get_fault: collections.abc.Callable[[str, typing.Any], typing.Any],
        state: typing.Any,
    ) -> None:
        self.state = state
        self.folder = os.path.abspath(folder)
        self.get_fault = get_fault
        self.descriptors: set[int] = set()
        self.unsynced: set[int] = set()
        self.free_blocks: int | None = None
        self.system = {
            name: getattr(os, name)
            for name in (
                'open',
                'close',
                'write',
                'ftruncate',
                'fsync',
                'fdatasync',
                'rename',
                'unlink',
            )
        }

    def install(self) -> None:
        """Replaces the calls of the operating system."""
        self.state.load()
        for name in self.system:
            setattr(os, name, getattr(self, name))

    def is_inside(self, path: typing.Any) -> bool:
        return os.path.abspath(os.fspath(path)).startswith(self.folder)

    def fullness(self) -> str | None:
        """Returns the kind of the fault, and counts blocks from its start."""
        kind = self.get_fault('full_disk', None)
        if kind is None:
            self.free_blocks = None
        elif self.free_blocks is None:
            self.free_blocks = 0
        return kind

    def require_space(self, is_refused: bool) -> None:
        if is_refused:
            raise OSError(errno.ENOSPC, 'simulated full disk')

    def free(self, size: int) -> None:
        if self.free_blocks is not None:
            self.free_blocks += blocks_of(size)

    def wait_stalled(self) -> None:
        while self.get_fault('is_disk_stalled', False):
            time.sleep(POLL_SECONDS)

    def open(self, path, flags, mode=0o777, **options):
        if not self.is_inside(path):
            return self.system['open'](path, flags, mode, **options)
        is_new = bool(flags & os.O_CREAT) and not os.path.exists(path)
        self.require_space(is_new and self.fullness() in ('names', 'writes'))
        if flags & os.O_TRUNC and os.path.exists(path):
            self.free(os.path.getsize(path))
        with self.state.lock:
            descriptor = self.system['open'](path, flags, mode, **options)
            if is_new:
                self.state.on_created(descriptor)
        if flags & os.O_TRUNC:
            self.state.on_truncated(descriptor, 0)
        self.descriptors.add(descriptor)
        return descriptor

    def close(self, descriptor):
        self.descriptors.discard(descriptor)
        self.unsynced.discard(descriptor)
        self.system['close'](descriptor)

    def write(self, descriptor, content):
        if descriptor not in self.descriptors:
            return self.system['write'](descriptor, content)
        self.wait_stalled()
        kind = self.fullness()
        self.require_space(kind == 'writes')
        self.unsynced.add(descriptor)
        if kind is None or kind == 'syncs':
            return self.system['write'](descriptor, content)
        size = os.fstat(descriptor).st_size
        room = (blocks_of(size) + self.free_blocks) * BLOCK_BYTES - size
        self.require_space(bool(content) and not room)
        written = self.system['write'](descriptor, content[:room])
        self.free_blocks -= blocks_of(size + written) - blocks_of(size)
        return written

    def ftruncate(self, descriptor, length):
        if descriptor in self.descriptors:
            size = os.fstat(descriptor).st_size
            if length < size and self.free_blocks is not None:
                self.free_blocks += blocks_of(size) - blocks_of(length)
            self.state.on_truncated(descriptor, length)
        self.system['ftruncate'](descriptor, length)

    def sync(self, name, descriptor):
        if descriptor in self.descriptors:
            self.wait_stalled()
            time.sleep(self.get_fault('sync_seconds', 0.0))
            kind = self.fullness()
            is_lost = kind == 'syncs' and descriptor in self.unsynced
            self.unsynced.discard(descriptor)
            self.require_space(kind == 'writes' or is_lost)
        self.system[name](descriptor)
        if descriptor in self.descriptors:
            self.state.on_synced(descriptor)

    def fsync(self, descriptor):
        self.sync('fsync', descriptor)

    def fdatasync(self, descriptor):
        self.sync('fdatasync', descriptor)

    def rename(self, source, target, **options):
        if self.is_inside(target):
            self.require_space(self.fullness() in ('names', 'writes'))
            if os.path.exists(target):
                self.free(os.path.getsize(target))
        with self.state.lock:
            self.system['rename'](source, target, **options)

    def unlink(self, path, **options):
        if not self.is_inside(path):
            self.system['unlink'](path, **options)
            return
        if os.path.exists(path):
            self.free(os.path.getsize(path))
        with self.state.lock:
            self.system['unlink'](path, **options)


def blocks_of(size: int) -> int:
    return -(-size // BLOCK_BYTES)
