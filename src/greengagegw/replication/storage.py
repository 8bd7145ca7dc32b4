"""Durable storage of a replica: its log, metadata and snapshot.

A log file is a sequence of records. A record has a header (a magic number,
the length and the CRC-32 checksum of the body) and a msgpack body, which
names the offset at which the batch of the record starts. Each batch is
synced before the next one is written. So a valid record of a batch that
starts after a damaged byte proves that the byte had been synced, and loading
fails. Without such a record, the damage is a torn write at the end of the
file, and it is truncated.
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
# A file of its own, since an earlier release rejects unknown values in `meta`.
MEMBERS_NAME = 'members'
LOG_PREFIX = 'log-'
# The probe of a disk that has failed; more than a block of usual file systems.
PROBE_BYTES = 8192


@dataclasses.dataclass(frozen=True, slots=True)
class SeenBoot:
    """The latest start of a peer that this replica has seen.

    :ivar boots: how often the incarnation was started.
    :ivar session: identifies the process, since two processes with copies
        of the same disk report the same number of starts.
    """

    vm: str
    incarnation: str
    boots: int
    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class Meta:
    """Metadata that a replica stores besides its log.

    :ivar boots: how often this incarnation was started.
    :ivar founders: the initial members, packed.
    :ivar seen_boots: the latest start seen of each peer.
    """

    incarnation: str = ''
    boots: int = 0
    term: int = 0
    voted_for: str = ''
    founders: tuple = ()
    seen_boots: tuple[SeenBoot, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLocation:
    """The position of an entry on disk, with the offset in bytes."""

    file: str
    offset: int


class Storage:
    """Durable storage of one replica in a folder of its own.

    The entries after the snapshot are also held in memory. The state in memory
    never runs ahead of the disk: additions are made after the sync that makes
    them durable, and removals before the first step on the disk. So after a
    failed write, :meth:`recover` can bring the disk to the state in memory.

    :ivar file_size: bytes of the newest log file that are known to be synced.
    :ivar committed_members: index and term of the newest change of the members
        that is known to be committed.
    """

    def __init__(self, folder: disk.FolderPort) -> None:
        self.folder = folder
        self.meta = Meta()
        self.snapshot: log_entries.Snapshot | None = None
        self.committed_members = (0, 0)
        self.entries: list[log_entries.Entry] = []
        self.locations: list[EntryLocation] = []
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
        """Returns the term of an entry, or None if it is not stored."""
        if index == self.base_index:
            return self.snapshot.term if self.snapshot else 0
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entries_from(
        self, first: int, max_bytes: int
    ) -> list[log_entries.Entry]:
        """Returns entries from an index on, limited by their size.

        :param max_bytes: limit of the contents; the first entry is returned
            even if it is larger.
        """
        found: list[log_entries.Entry] = []
        size = 0
        for entry in self.entries[first - self.base_index - 1 :]:
            size += len(entry.content) + 32
            if found and size > max_bytes:
                break
            found.append(entry)
        return found

    async def load(self) -> None:
        """Loads the files and truncates a torn write at the end of the log.

        It can be repeated after a failure.

        :raises CorruptFileError: if content that was synced is damaged.
        """
        await self.close()
        self.meta, self.snapshot = Meta(), None
        self.committed_members = (0, 0)
        self.entries, self.locations = [], []
        self.file_name, self.file_size = '', 0
        names = await self.folder.names()
        if META_NAME in names:
            values = _decode_file(META_NAME, await self.folder.read(META_NAME))
            seen = tuple(SeenBoot(**one) for one in values['seen_boots'])
            self.meta = Meta(**{**values, 'seen_boots': seen})
        if SNAPSHOT_NAME in names:
            values = _decode_file(
                SNAPSHOT_NAME, await self.folder.read(SNAPSHOT_NAME)
            )
            self.snapshot = log_entries.Snapshot(
                values['index'],
                values['term'],
                log_entries.Members.unpack(values['members']),
                values['state'],
                # An earlier release does not store it.
                values.get('survivable_losses', 0),
            )
        if MEMBERS_NAME in names:
            values = _decode_file(
                MEMBERS_NAME, await self.folder.read(MEMBERS_NAME)
            )
            self.committed_members = values['index'], values['term']
        logs = [name for name in names if name.startswith(LOG_PREFIX)]
        for name in logs:
            await self.load_log(name, is_last=name == logs[-1])

    async def load_log(self, name: str, is_last: bool) -> None:
        content = await self.folder.read(name)
        records, size = _scan_records(name, content)
        if size < len(content) and not is_last:
            raise errors.CorruptFileError(
                f'{name}: invalid record at byte {size}, though a later log'
                ' file exists'
            )
        for offset, entry in records:
            if entry.index <= self.base_index:
                continue
            if entry.index != self.last_index + 1:
                raise errors.CorruptFileError(
                    f'{name}: entry {entry.index} at byte {offset} follows'
                    f' entry {self.last_index}'
                )
            self.entries.append(entry)
            self.locations.append(EntryLocation(name, offset))
        if is_last:
            self.file = await self.folder.open(name)
            self.file_name, self.file_size = name, size
            if size < len(content):
                await self.file.truncate(size)
            else:
                # The process before may have been killed before its sync.
                await self.file.sync()

    async def recover(self) -> None:
        """Brings the disk to the state in memory after a failed write.

        What was written after the last successful sync is removed first: after
        a failed sync, it may be readable from the page cache without being on
        the disk. The probe shows that the log takes bytes again.

        :raises DiskFailedError: if the disk still fails.
        :raises CorruptFileError: if synced content is missing or damaged.
        """
        await self.close()
        await self.remove_unsynced()
        stored = Storage(self.folder)
        try:
            await stored.load()
            self.require_same_log(stored)
            await self.save_meta()
            await stored.probe()
        except errors.StorageError:
            await stored.close()
            raise
        self.file = stored.file
        self.file_name, self.file_size = stored.file_name, stored.file_size

    async def remove_unsynced(self) -> None:
        """Removes log files and bytes that are not part of the log."""
        for name in reversed(await self.folder.names()):
            if not name.startswith(LOG_PREFIX) or name < self.file_name:
                continue
            if name > self.file_name:
                await self.folder.remove(name)
                continue
            size = len(await self.folder.read(name))
            if size < self.file_size:
                raise errors.CorruptFileError(
                    f'{name} has {size} bytes, but {self.file_size} were'
                    ' synced'
                )
            file = await self.folder.open(name)
            try:
                await file.truncate(self.file_size)
            finally:
                await file.close()

    def require_same_log(self, stored: 'Storage') -> None:
        """Checks that files hold the entries and the snapshot in memory.

        Their snapshot may be newer, if its write failed after the rename.

        :raises CorruptFileError: if an entry or the snapshot is missing.
        """
        if stored.base_index < self.base_index:
            raise errors.CorruptFileError(
                f'the stored snapshot ends at entry {stored.base_index},'
                f' but one up to {self.base_index} was synced'
            )
        expected = [
            one for one in self.entries if one.index > stored.base_index
        ]
        if stored.entries != expected:
            raise errors.CorruptFileError(
                f'the log ends at entry {stored.last_index}, but entries up'
                f' to {self.last_index} were synced'
            )

    async def probe(self) -> None:
        """Checks that the newest log file takes bytes and syncs them.

        The bytes are removed again. If the process ends before that, they are
        taken for a torn write.

        :raises DiskFailedError: if the disk fails.
        """
        if self.file is None:
            return
        await self.file.append(bytes(PROBE_BYTES))
        await self.file.sync()
        await self.file.truncate(self.file_size)

    async def save_meta(self, **changes: typing.Any) -> None:
        """Changes fields of the metadata durably."""
        meta = dataclasses.replace(self.meta, **changes)
        content = _encode_file(dataclasses.asdict(meta))
        await self.folder.replace(META_NAME, content)
        self.meta = meta

    async def save_committed_members(self, index: int) -> None:
        """Stores durably that a change of the members is committed."""
        term = self.term_at(index)
        await self.folder.replace(
            MEMBERS_NAME, _encode_file({'index': index, 'term': term})
        )
        self.committed_members = index, term

    async def append(self, added: list[log_entries.Entry]) -> None:
        """Appends entries as one batch and returns when it is synced."""
        if not added:
            return
        if self.file is None:
            await self.start_file(added[0].index)
        start = self.file_size
        parts = []
        added_locations = []
        size = start
        for entry in added:
            record = _encode_record(entry, start)
            added_locations.append(EntryLocation(self.file_name, size))
            size += len(record)
            parts.append(record)
        await self.file.append(b''.join(parts))
        await self.file.sync()
        self.file_size = size
        self.entries += added
        self.locations += added_locations

    async def start_file(self, first_index: int) -> None:
        self.file_name = f'{LOG_PREFIX}{first_index:016d}'
        self.file_size = 0
        self.file = await self.folder.open(self.file_name)

    async def truncate_from(self, start_index: int) -> None:
        """Durably removes the entries from an index on."""
        kept_count = start_index - self.base_index - 1
        location = self.locations[kept_count]
        affected_files = sorted(
            {one.file for one in self.locations[kept_count:]}
        )
        if self.file_name != location.file:
            await self.close()
        del self.entries[kept_count:]
        del self.locations[kept_count:]
        self.file_name, self.file_size = location.file, location.offset
        for name in reversed(affected_files):
            if name != location.file:
                await self.folder.remove(name)
        if self.file is None:
            self.file = await self.folder.open(location.file)
        await self.file.truncate(location.offset)

    async def install_snapshot(self, snapshot: log_entries.Snapshot) -> None:
        """Stores a snapshot and drops the entries that it covers.

        If the log does not agree with the snapshot, all entries are dropped.
        """
        content = _encode_file(
            {
                'index': snapshot.index,
                'term': snapshot.term,
                'members': snapshot.members.pack(),
                'state': snapshot.state,
                'survivable_losses': snapshot.survivable_losses,
            }
        )
        covers_log_prefix = self.term_at(snapshot.index) == snapshot.term
        if not covers_log_prefix and self.last_index >= snapshot.index:
            # Conflicting entries must be removed first; if the process ended
            # after the snapshot was written, they would be loaded as its
            # successors. Earlier entries stay until the snapshot is durable,
            # since this replica may have acknowledged them.
            await self.truncate_from(snapshot.index)
        await self.folder.replace(SNAPSHOT_NAME, content)
        covered_count = snapshot.index - self.base_index
        self.snapshot = snapshot
        self.entries = self.entries[covered_count:]
        self.locations = self.locations[covered_count:]
        if covers_log_prefix:
            await self.remove_covered_logs()
        else:
            await self.remove_logs()

    async def remove_covered_logs(self) -> None:
        """Removes log files whose entries are all covered by the snapshot."""
        if not self.entries:
            await self.remove_logs()
            return
        needed = {location.file for location in self.locations}
        for name in await self.folder.names():
            if name.startswith(LOG_PREFIX) and name not in needed:
                await self.folder.remove(name)
        if self.file is not None and self.file_name == min(needed):
            # Starts a new file for the next entries, so that a later
            # snapshot can cover all of this one and let it be removed.
            await self.file.close()
            self.file = None

    async def remove_logs(self) -> None:
        await self.close()
        self.entries = []
        self.locations = []
        self.file_name, self.file_size = '', 0
        for name in reversed(await self.folder.names()):
            if name.startswith(LOG_PREFIX):
                await self.folder.remove(name)

    async def wipe(self, incarnation: str) -> None:
        """Removes all content and starts a new incarnation.

        The new incarnation is stored first. If a later step fails, what is
        left of the log is not taken for that of the old incarnation, which
        may count as a voter.
        """
        meta = Meta(incarnation=incarnation, boots=1)
        await self.folder.replace(
            META_NAME, _encode_file(dataclasses.asdict(meta))
        )
        self.meta = meta
        self.committed_members = (0, 0)
        await self.folder.remove(MEMBERS_NAME)
        await self.remove_logs()
        self.snapshot = None
        await self.folder.remove(SNAPSHOT_NAME)

    async def close(self) -> None:
        if self.file is not None:
            file, self.file = self.file, None
            await file.close()


def _encode_file(values: dict) -> bytes:
    """Returns the content of a file with a header and format version."""
    body = msgpack.packb([FORMAT_VERSION, values], use_bin_type=True)
    return HEADER.pack(RECORD_MAGIC, len(body), zlib.crc32(body)) + body


def _decode_file(name: str, content: bytes) -> dict:
    body = _record_body(content, 0)
    if body is None or len(content) != HEADER.size + len(body):
        raise errors.CorruptFileError(
            f'{name}: the header or the checksum is invalid'
        )
    version, values = msgpack.unpackb(body, raw=False, use_list=False)
    if version != FORMAT_VERSION:
        raise errors.CorruptFileError(
            f'{name} has format version {version}, expected {FORMAT_VERSION}'
        )
    return values


def _encode_record(entry: log_entries.Entry, batch_start: int) -> bytes:
    body = msgpack.packb(
        [FORMAT_VERSION, batch_start, entry.pack()], use_bin_type=True
    )
    return HEADER.pack(RECORD_MAGIC, len(body), zlib.crc32(body)) + body


def _record_body(content: bytes, offset: int) -> bytes | None:
    """Returns the body of the record at an offset, or None if not valid."""
    if len(content) - offset < HEADER.size:
        return None
    magic, size, checksum = HEADER.unpack_from(content, offset)
    body = content[offset + HEADER.size : offset + HEADER.size + size]
    if (
        magic != RECORD_MAGIC
        or len(body) != size
        or zlib.crc32(body) != checksum
    ):
        return None
    return body


def _scan_records(
    name: str, content: bytes
) -> tuple[list[tuple[int, log_entries.Entry]], int]:
    """Returns the valid records of a log file with their byte offsets.

    :returns: the records, and the offset at which the valid ones end.
    """
    records = []
    offset = 0
    while (body := _record_body(content, offset)) is not None:
        version, _, values = msgpack.unpackb(body, raw=False)
        if version != FORMAT_VERSION:
            raise errors.CorruptFileError(
                f'{name} has format version {version},'
                f' expected {FORMAT_VERSION}'
            )
        records.append((offset, log_entries.Entry.unpack(values)))
        offset += HEADER.size + len(body)
    _reject_synced_damage(name, content, offset)
    return records, offset


def _reject_synced_damage(name: str, content: bytes, end: int) -> None:
    """Checks that the damage is a torn write and not of synced content.

    :param end: offset at which the valid records end.
    :raises CorruptFileError: if a later record shows that the content at
        this offset had been synced.
    """
    offset = content.find(RECORD_MAGIC, end)
    while offset >= 0:
        body = _record_body(content, offset)
        if body is not None:
            batch_start = msgpack.unpackb(body, raw=False)[1]
            if batch_start > end:
                raise errors.CorruptFileError(
                    f'{name}: invalid record at byte {end}, before a valid'
                    f' record at byte {offset}'
                )
        offset = content.find(RECORD_MAGIC, offset + 1)
