"""Implements the disk port in memory, for memory replicas."""


class MemoryFile:
    """A file in memory."""

    def __init__(self, files: dict[str, bytes], name: str) -> None:
        self.files = files
        self.name = name

    async def append(self, content: bytes) -> None:
        self.files[self.name] += content

    async def sync(self) -> None:
        """Does nothing, since memory is never durable."""

    async def truncate(self, size: int) -> None:
        self.files[self.name] = self.files[self.name][:size]

    async def close(self) -> None:
        """Does nothing."""


class MemoryFolder:
    """A folder in memory, lost when the process ends."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}

    def close(self) -> None:
        """Does nothing."""

    async def names(self) -> list[str]:
        return sorted(self.files)

    async def read(self, name: str) -> bytes:
        return self.files[name]

    async def open(self, name: str) -> MemoryFile:
        self.files.setdefault(name, b'')
        return MemoryFile(self.files, name)

    async def replace(self, name: str, content: bytes) -> None:
        self.files[name] = content

    async def remove(self, name: str) -> None:
        self.files.pop(name, None)
