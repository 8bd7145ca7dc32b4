"""The core's interface to a disk: a folder of files."""

import typing


class FilePort(typing.Protocol):
    """A file open for appending."""

    async def append(self, content: bytes) -> None:
        """Appends bytes, which are durable only after :meth:`sync`."""

    async def sync(self) -> None:
        """Makes all appended bytes durable.

        :raises DiskFailedError: if that fails; the content of the file is
            undefined then.
        """

    async def truncate(self, size: int) -> None:
        """Truncates the file to a size in bytes."""

    async def close(self) -> None:
        """Closes the file without a sync."""


class FolderPort(typing.Protocol):
    """A folder that only one process at a time may use."""

    async def names(self) -> list[str]:
        """Returns the names of the files, sorted."""

    async def read(self, name: str) -> bytes:
        """Returns the content of a file."""

    async def open(self, name: str) -> FilePort:
        """Opens a file for appending and creates it if necessary."""

    async def replace(self, name: str, content: bytes) -> None:
        """Replaces a file's content atomically and durably."""

    async def remove(self, name: str) -> None:
        """Removes a file durably."""
