"""The files of a replica: its log, its vote and its snapshot.

A log file is a sequence of records: a mark, the length and the check sum
of the content, then the content in msgpack. Each record names the offset
from which its batch was written. A valid record whose batch starts after a
damaged place proves that the place had been synced, so that the damage is
no torn write; without such a record the rest is a torn tail and is cut.
"""

import dataclasses
import struct
import typing
import zlib

import msgpack

from .. import errors
from . import entries as log_entries
from ..ports import disk

FORMAT_VERSION = 1
RECORD_MAGIC = b'\xa5GGR'
HEADER = struct.Struct('>4sII')
META_NAME = 'meta'
SNAPSHOT_NAME = 'snapshot'
LOG_PREFIX = 'log-'


@dataclasses.dataclass(frozen=True, slots=True)
class SeenBoot:
    """A start of another replica that this one has heard of.

    :ivar session: tells apart two processes that claim the same count.
    """

    vm: str
    incarnation: str
    boots: int
    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class Meta:
    """What a replica must remember besides its log.

    :ivar boots: how often this incarnation was started.
    :ivar seen_boots: the last start seen of each other replica.
    """

    incarnation: str = ''
    boots: int = 0
    term: int = 0
    voted_for: str = ''
    founders: tuple = ()
    seen_boots: tuple[SeenBoot, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where an entry lies on disk."""

    file: str
    offset: int


class Storage:
    """Durable log of one replica in a folder of its own."""

    def __init__(self, folder: disk.FolderPort) -> None:
        self.folder = folder
        self.meta = Meta()
        self.snapshot: log_entries.Snapshot | None = None
        self.entries: list[log_entries.Entry] = []
        self.places: list[Place] = []
        self.file: disk.FilePort | None = None
        self.file_name = ''
        self.file_size = 0

    @property
    def base_index(self) -> int:
        """Index of the last entry that the snapshot covers."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        return self.base_index + len(self.entries)

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is not held."""
        if index == self.base_index:
            return self.snapshot.term if self.snapshot else 0
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def get(self, first: int, most_bytes: int) -> list[log_entries.Entry]:
        """Returns entries from an index on, at least one if there is any."""
        found: list[log_entries.Entry] = []
        size = 0
        for entry in self.entries[first - self.base_index - 1 :]:
            size += len(entry.content) + 32
            if found and size > most_bytes:
                break
            found.append(entry)
        return found

    async def load(self) -> None:
        """Reads what is on disk, cutting a torn tail.

        :raises DamagedFileError: if synced content is damaged.
        """
        names = await self.folder.names()
        if META_NAME in names:
            values = _open_sealed(META_NAME, await self.folder.read(META_NAME))
            seen = tuple(SeenBoot(**one) for one in values['seen_boots'])
            self.meta = Meta(**{**values, 'seen_boots': seen})
        if SNAPSHOT_NAME in names:
            values = _open_sealed(
                SNAPSHOT_NAME, await self.folder.read(SNAPSHOT_NAME)
            )
            self.snapshot = log_entries.Snapshot(
                values['index'],
                values['term'],
                log_entries.Members.unpack(values['members']),
                values['state'],
            )
        logs = [name for name in names if name.startswith(LOG_PREFIX)]
        for name in logs:
            await self.load_log(name, is_last=name == logs[-1])

    async def load_log(self, name: str, is_last: bool) -> None:
        content = await self.folder.read(name)
        records, size = _scan(name, content)
        if size < len(content) and not is_last:
            raise errors.DamagedFileError(
                f'{name} is damaged at byte {size} and is not the last file'
            )
        for offset, entry in records:
            if entry.index <= self.base_index:
                continue
            if entry.index != self.last_index + 1:
                raise errors.DamagedFileError(
                    f'{name}: entry {entry.index} follows entry'
                    f' {self.last_index}'
                )
            self.entries.append(entry)
            self.places.append(Place(name, offset))
        if is_last:
            self.file = await self.folder.open(name)
            self.file_name, self.file_size = name, size
            if size < len(content):
                await self.file.truncate(size)

    async def save_meta(self, **changes: typing.Any) -> None:
        """Changes the meta data and makes the change durable."""
        meta = dataclasses.replace(self.meta, **changes)
        content = _seal(dataclasses.asdict(meta))
        await self.folder.replace(META_NAME, content)
        self.meta = meta

    async def append(self, added: list[log_entries.Entry]) -> None:
        """Appends entries and returns when they are durable."""
        if not added:
            return
        if self.file is None:
            await self.start_file(added[0].index)
        start = self.file_size
        parts = []
        places = []
        size = start
        for entry in added:
            record = _encode_record(entry, start)
            places.append(Place(self.file_name, size))
            size += len(record)
            parts.append(record)
        await self.file.append(b''.join(parts))
        await self.file.sync()
        self.file_size = size
        self.entries += added
        self.places += places

    async def start_file(self, first_index: int) -> None:
        self.file_name = f'{LOG_PREFIX}{first_index:016d}'
        self.file = await self.folder.open(self.file_name)
        self.file_size = 0

    async def truncate(self, first: int) -> None:
        """Removes the entries from an index on, durably."""
        keep = first - self.base_index - 1
        place = self.places[keep]
        later = sorted({one.file for one in self.places[keep:]})
        for name in reversed(later):
            if name != place.file:
                await self.folder.remove(name)
        if self.file is not None and self.file_name != place.file:
            await self.file.close()
            self.file = None
        if self.file is None:
            self.file = await self.folder.open(place.file)
            self.file_name = place.file
        await self.file.truncate(place.offset)
        self.file_size = place.offset
        del self.entries[keep:]
        del self.places[keep:]

    async def install_snapshot(self, snapshot: log_entries.Snapshot) -> None:
        """Keeps a snapshot and drops the entries that it covers."""
        content = _seal(
            {
                'index': snapshot.index,
                'term': snapshot.term,
                'members': snapshot.members.pack(),
                'state': snapshot.state,
            }
        )
        follows = self.term_at(snapshot.index) == snapshot.term
        if not follows and self.last_index >= snapshot.index:
            # Entries of another history must go first, or they would be
            # found after the snapshot when the process ends here. Those
            # before it stay until the snapshot is durable, since this
            # replica may have confirmed them.
            await self.truncate(snapshot.index)
        await self.folder.replace(SNAPSHOT_NAME, content)
        dropped = snapshot.index - self.base_index
        self.snapshot = snapshot
        self.entries = self.entries[dropped:]
        self.places = self.places[dropped:]
        if follows:
            await self.remove_covered_logs()
        else:
            await self.remove_logs()

    async def remove_covered_logs(self) -> None:
        """Removes log files whose entries are all in the snapshot."""
        if not self.entries:
            await self.remove_logs()
            return
        needed = {place.file for place in self.places}
        for name in await self.folder.names():
            if name.startswith(LOG_PREFIX) and name not in needed:
                await self.folder.remove(name)
        if self.file is not None and self.file_name == min(needed):
            # The next entries go to a new file, so that this one can be
            # removed when a later snapshot covers it.
            await self.file.close()
            self.file = None

    async def remove_logs(self) -> None:
        if self.file is not None:
            await self.file.close()
            self.file = None
        for name in reversed(await self.folder.names()):
            if name.startswith(LOG_PREFIX):
                await self.folder.remove(name)
        self.entries = []
        self.places = []

    async def wipe(self) -> None:
        """Forgets everything, for a replica that must start anew."""
        await self.remove_logs()
        await self.folder.remove(SNAPSHOT_NAME)
        await self.folder.remove(META_NAME)
        self.snapshot = None
        self.meta = Meta()

    async def close(self) -> None:
        if self.file is not None:
            await self.file.close()
            self.file = None


def _seal(values: dict) -> bytes:
    """Returns values with their format version and check sum."""
    body = msgpack.packb([FORMAT_VERSION, values], use_bin_type=True)
    return HEADER.pack(RECORD_MAGIC, len(body), zlib.crc32(body)) + body


def _open_sealed(name: str, content: bytes) -> dict:
    body = _check(content, 0)
    if body is None or len(content) != HEADER.size + len(body):
        raise errors.DamagedFileError(f'{name} has a wrong check sum')
    version, values = msgpack.unpackb(body, raw=False, use_list=False)
    if version != FORMAT_VERSION:
        raise errors.DamagedFileError(f'{name} has format {version}')
    return values


def _encode_record(entry: log_entries.Entry, batch_start: int) -> bytes:
    body = msgpack.packb(
        [FORMAT_VERSION, batch_start, entry.pack()], use_bin_type=True
    )
    return HEADER.pack(RECORD_MAGIC, len(body), zlib.crc32(body)) + body


def _check(content: bytes, offset: int) -> bytes | None:
    """Returns the body of the record at an offset if it is whole."""
    if len(content) - offset < HEADER.size:
        return None
    mark, size, sum_ = HEADER.unpack_from(content, offset)
    body = content[offset + HEADER.size : offset + HEADER.size + size]
    if mark != RECORD_MAGIC or len(body) != size or zlib.crc32(body) != sum_:
        return None
    return body


def _scan(
    name: str, content: bytes
) -> tuple[list[tuple[int, log_entries.Entry]], int]:
    """Returns the records of a log file and where the valid ones end."""
    records = []
    offset = 0
    while (body := _check(content, offset)) is not None:
        version, _, values = msgpack.unpackb(body, raw=False)
        if version != FORMAT_VERSION:
            raise errors.DamagedFileError(f'{name} has format {version}')
        records.append((offset, log_entries.Entry.unpack(values)))
        offset += HEADER.size + len(body)
    _refuse_damage(name, content, offset)
    return records, offset


def _refuse_damage(name: str, content: bytes, end: int) -> None:
    """Raises an error if what is damaged had been synced."""
    offset = content.find(RECORD_MAGIC, end)
    while offset >= 0:
        body = _check(content, offset)
        if body is not None:
            batch_start = msgpack.unpackb(body, raw=False)[1]
            if batch_start > end:
                raise errors.DamagedFileError(
                    f'{name} is damaged at byte {end}, before valid records'
                )
        offset = content.find(RECORD_MAGIC, offset + 1)
