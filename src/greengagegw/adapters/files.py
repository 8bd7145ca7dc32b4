"""Implements the disk port on a file system."""

import collections.abc
import errno
import fcntl
import os
import pathlib
import typing

import anyio
import anyio.to_thread
import eliot

from .. import errors

LOCK_NAME = 'lock'
TEMPORARY_SUFFIX = '.unfinished'
NO_SPACE_ERRORS = (errno.ENOSPC, errno.EDQUOT)
NO_SPACE_RETRY_SECONDS = 0.2


class File:
    """A file open for appending.

    After a failed write or sync every further operation fails, since the
    kernel may have dropped the pages that it could not write. The file can be
    opened again; bytes after the last successful sync must then be truncated.
    """

    def __init__(self, path: pathlib.Path, descriptor: int) -> None:
        self.path = path
        self.descriptor = descriptor
        self.has_failed = False

    async def append(self, content: bytes) -> None:
        await self.run_in_thread(_write_all, self.descriptor, content)

    async def sync(self) -> None:
        await self.run_in_thread(os.fdatasync, self.descriptor)

    async def truncate(self, size: int) -> None:
        await self.run_in_thread(os.ftruncate, self.descriptor, size)
        await self.run_in_thread(os.fsync, self.descriptor)

    async def close(self) -> None:
        if self.descriptor < 0:
            return
        descriptor, self.descriptor = self.descriptor, -1
        try:
            os.close(descriptor)
        except OSError as error:
            # The descriptor is closed nevertheless. What was synced stays, and
            # nothing else is relied on.
            eliot.log_message(
                'disk:close_failed', path=str(self.path), reason=str(error)
            )

    async def run_in_thread(
        self, action: collections.abc.Callable, *arguments: object
    ) -> None:
        if self.has_failed:
            raise errors.DiskFailedError(
                f'{self.path} is unusable after an earlier disk error'
            )
        try:
            await anyio.to_thread.run_sync(action, *arguments)
        except OSError as error:
            self.has_failed = True
            raise errors.DiskFailedError(f'{self.path}: {error}') from error


class Folder:
    """A data folder that is locked against other processes.

    :raises FolderLockedError: if another process has locked the folder.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self.lock_descriptor = os.open(
            path / LOCK_NAME, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600
        )
        try:
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock_descriptor)
            raise errors.FolderLockedError(
                f'{path} is locked by another process'
            ) from error

    def close(self) -> None:
        """Unlocks the folder for other processes."""
        os.close(self.lock_descriptor)

    async def names(self) -> list[str]:
        found = await self.run_in_thread(os.listdir, self.path)
        return sorted(
            name
            for name in found
            if name != LOCK_NAME and not name.endswith(TEMPORARY_SUFFIX)
        )

    async def read(self, name: str) -> bytes:
        return await self.run_in_thread((self.path / name).read_bytes)

    async def open(self, name: str) -> File:
        descriptor = await self.run_in_thread(_open, self.path, name)
        return File(self.path / name, descriptor)

    async def replace(self, name: str, content: bytes) -> None:
        await self.run_in_thread(_replace, self.path, name, content)

    async def remove(self, name: str) -> None:
        await self.run_in_thread(_remove, self.path, name)

    async def run_in_thread(
        self, action: collections.abc.Callable, *arguments: object
    ) -> typing.Any:
        try:
            return await anyio.to_thread.run_sync(action, *arguments)
        except OSError as error:
            raise errors.DiskFailedError(f'{self.path}: {error}') from error


async def open_folder(path: pathlib.Path) -> Folder:
    """Opens a data folder, and waits while the disk has no space for it.

    :raises FolderLockedError: if another process has locked the folder.
    :raises OSError: if it cannot be created for another reason.
    """
    was_logged = False
    while True:
        try:
            return Folder(path)
        except OSError as error:
            if error.errno not in NO_SPACE_ERRORS:
                raise
            if not was_logged:
                eliot.log_message(
                    'disk:no_space', path=str(path), reason=str(error)
                )
            was_logged = True
        # The timer service is started after the folder is open.
        await anyio.sleep(NO_SPACE_RETRY_SECONDS)


def _write_all(descriptor: int, content: bytes) -> None:
    remaining = memoryview(content)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def _open(folder: pathlib.Path, name: str) -> int:
    """Opens a file for appending and makes its folder entry durable.

    The folder is synced for an existing file as well, since the sync may have
    failed when the file was created.
    """
    descriptor = os.open(
        folder / name,
        os.O_CREAT | os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC,
        0o600,
    )
    try:
        _sync_folder(folder)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


def _sync_folder(path: pathlib.Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _replace(folder: pathlib.Path, name: str, content: bytes) -> None:
    temporary_path = folder / (name + TEMPORARY_SUFFIX)
    descriptor = os.open(
        temporary_path, os.O_CREAT | os.O_WRONLY | os.O_TRUNC, 0o600
    )
    try:
        _write_all(descriptor, content)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.rename(temporary_path, folder / name)
    _sync_folder(folder)


def _remove(folder: pathlib.Path, name: str) -> None:
    (folder / name).unlink(missing_ok=True)
    _sync_folder(folder)
