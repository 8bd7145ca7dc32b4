"""What the core asks of a disk: a folder of files."""

import typing


class FilePort(typing.Protocol):
    """A file open for appending."""

    async def append(self, content: bytes) -> None:
        """Writes at the end; durable only after :meth:`sync`."""

    async def sync(self) -> None:
        """Makes everything appended durable.

        :raises DiskFailedError: then the content is not to be trusted.
        """

    async def truncate(self, size: int) -> None:
        """Cuts the file to a size in bytes."""

    async def close(self) -> None:
        """Closes the file without making it durable."""


class FolderPort(typing.Protocol):
    """A folder that one process at a time may use."""

    async def names(self) -> list[str]:
        """Returns the names of the files, sorted."""

    async def read(self, name: str) -> bytes:
        """Returns the content of a file."""

    async def open(self, name: str) -> FilePort:
        """Opens a file for appending, made when it is absent."""

    async def replace(self, name: str, content: bytes) -> None:
        """Makes a file hold a content durably, wholly or not at all."""

    async def remove(self, name: str) -> None:
        """Removes a file durably."""
