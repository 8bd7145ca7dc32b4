"""The disk port over a data folder."""

import collections.abc
import fcntl
import os
import pathlib

import anyio.to_thread

from .. import errors

LOCK_NAME = 'lock'
UNFINISHED_SUFFIX = '.unfinished'


class File:
    """A file open for appending.

    After a failed write or sync the file refuses further use, since the
    kernel may have dropped the pages that it could not write.
    """

    def __init__(self, path: pathlib.Path, descriptor: int) -> None:
        self.path = path
        self.descriptor = descriptor
        self.has_failed = False

    async def append(self, content: bytes) -> None:
        await self.guarded(_write_all, self.descriptor, content)

    async def sync(self) -> None:
        await self.guarded(os.fdatasync, self.descriptor)

    async def truncate(self, size: int) -> None:
        await self.guarded(os.ftruncate, self.descriptor, size)
        await self.guarded(os.fsync, self.descriptor)

    async def close(self) -> None:
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1

    async def guarded(
        self, action: collections.abc.Callable, *arguments: object
    ) -> None:
        if self.has_failed:
            raise errors.DiskFailedError(f'{self.path} failed before')
        try:
            await anyio.to_thread.run_sync(action, *arguments)
        except OSError as error:
            self.has_failed = True
            raise errors.DiskFailedError(f'{self.path}: {error}') from error


class Folder:
    """A data folder, locked against other processes."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(
            path / LOCK_NAME, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600
        )
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock)
            raise errors.FolderLockedError(
                f'{path} is used by another process'
            ) from error

    def close(self) -> None:
        """Gives the folder free for another process."""
        os.close(self.lock)

    async def names(self) -> list[str]:
        return sorted(
            name
            for name in os.listdir(self.path)
            if name != LOCK_NAME and not name.endswith(UNFINISHED_SUFFIX)
        )

    async def read(self, name: str) -> bytes:
        return await anyio.to_thread.run_sync((self.path / name).read_bytes)

    async def open(self, name: str) -> File:
        path = self.path / name
        is_new = not path.exists()
        descriptor = os.open(
            path,
            os.O_CREAT | os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC,
            0o600,
        )
        if is_new:
            await self.guarded(_sync_folder, self.path)
        return File(path, descriptor)

    async def replace(self, name: str, content: bytes) -> None:
        await self.guarded(_replace, self.path, name, content)

    async def remove(self, name: str) -> None:
        await self.guarded(_remove, self.path, name)

    async def guarded(
        self, action: collections.abc.Callable, *arguments: object
    ) -> None:
        try:
            await anyio.to_thread.run_sync(action, *arguments)
        except OSError as error:
            raise errors.DiskFailedError(f'{self.path}: {error}') from error


def _write_all(descriptor: int, content: bytes) -> None:
    view = memoryview(content)
    while view:
        view = view[os.write(descriptor, view) :]


def _sync_folder(path: pathlib.Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _replace(folder: pathlib.Path, name: str, content: bytes) -> None:
    unfinished = folder / (name + UNFINISHED_SUFFIX)
    descriptor = os.open(
        unfinished, os.O_CREAT | os.O_WRONLY | os.O_TRUNC, 0o600
    )
    try:
        _write_all(descriptor, content)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.rename(unfinished, folder / name)
    _sync_folder(folder)


def _remove(folder: pathlib.Path, name: str) -> None:
    (folder / name).unlink(missing_ok=True)
    _sync_folder(folder)
