"""What of a data folder survives a loss of power.

The state is kept in a second folder, since the process may end at any moment:

- ``names.json``: the files by name, as of the last sync of the folder;
- ``<inode>``: the content of a file, as of its last sync;
- ``<inode>.held``: a link that keeps the inode from being used again;
- ``syncs``: the times of syncs of files.
"""

import json
import math
import os
import pathlib
import random
import shutil
import stat
import threading
import time

NAMES = 'names.json'
SYNCS = 'syncs'
time_of_day = time.time
HELD_SUFFIX = '.held'


class DurableState:
    """Follows the syncs of a process in one flat folder.

    Files are appended to or truncated, and never written in their middle.

    :ivar lock: held while names change.
    :ivar same_bytes: by inode, how long a prefix of a truncated file is what
        was synced.
    """

    def __init__(self, folder: str, copies: str) -> None:
        self.folder = pathlib.Path(folder)
        self.copies = pathlib.Path(copies)
        self.lock = threading.Lock()
        self.same_bytes: dict[int, int] = {}

    def load(self) -> None:
        """Goes on with the state of the process before.

        Without one, as after a loss of power, all that exists is durable.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        is_first = not (self.copies / NAMES).exists()
        self.copies.mkdir(exist_ok=True)
        for name, inode in read_names(self.folder).items():
            path = self.folder / name
            if is_first:
                self.keep_content(inode, path)
            else:
                copy = read_copy(self.copies, inode)
                prefix = os.path.commonprefix([copy, path.read_bytes()])
                self.same_bytes[inode] = len(prefix)
        if is_first:
            self.keep_names()

    def on_created(self, descriptor: int) -> None:
        """Drops the content of an earlier file of the same inode."""
        inode = os.fstat(descriptor).st_ino
        (self.copies / str(inode)).unlink(missing_ok=True)
        self.same_bytes.pop(inode, None)

    def on_truncated(self, descriptor: int, length: int) -> None:
        inode = os.fstat(descriptor).st_ino
        with self.lock:
            known = self.same_bytes.get(inode, length)
            self.same_bytes[inode] = min(known, length)

    def on_synced(self, descriptor: int) -> None:
        """Keeps the names of a folder, or the content of a file."""
        status = os.fstat(descriptor)
        with self.lock:
            if stat.S_ISDIR(status.st_mode):
                self.keep_names()
                return
            source = pathlib.Path(f'/proc/self/fd/{descriptor}')
            self.keep_content(status.st_ino, source)
            with open(self.copies / SYNCS, 'a', encoding='ascii') as file:
                file.write(f'{time_of_day():.6f}\n')

    def keep_content(self, inode: int, source: pathlib.Path) -> None:
        copy = self.copies / str(inode)
        copy.touch()
        with open(source, 'rb') as file, open(copy, 'r+b') as kept:
            size = kept.seek(0, os.SEEK_END)
            same = min(size, self.same_bytes.pop(inode, size))
            kept.truncate(same)
            kept.seek(same)
            file.seek(same)
            shutil.copyfileobj(file, kept)

    def keep_names(self) -> None:
        names = read_names(self.folder)
        for name, inode in names.items():
            held = self.copies / f'{inode}{HELD_SUFFIX}'
            if not held.exists():
                os.link(self.folder / name, held)
        new = self.copies / (NAMES + '.new')
        new.write_text(json.dumps(names))
        os.replace(new, self.copies / NAMES)
        inodes = {str(one) for one in names.values()}
        for path in self.copies.iterdir():
            inode = path.name.removesuffix(HELD_SUFFIX)
            if inode.isdigit() and inode not in inodes:
                path.unlink()


def read_names(folder: pathlib.Path) -> dict[str, int]:
    """Returns the inodes of the files of a folder, by name."""
    return {path.name: path.stat().st_ino for path in folder.iterdir()}


def read_copy(copies: pathlib.Path, inode: int) -> bytes:
    """Returns the synced content of a file, empty if it was never synced."""
    copy = copies / str(inode)
    return copy.read_bytes() if copy.exists() else b''


def lose_power(
    folder: pathlib.Path, copies: pathlib.Path, rng: random.Random
) -> dict[str, str]:
    """Puts the folder of a process that has ended back to what is durable.

    Of what was not synced all is lost, or each part is kept, torn or lost.

    :returns: what was lost or kept of each file that had unsynced changes.
    """
    if not (copies / NAMES).exists():
        return {}
    durable = json.loads((copies / NAMES).read_text())
    current = read_names(folder)
    loses_all = rng.random() < 0.5
    contents: dict[str, bytes] = {}
    changes: dict[str, str] = {}
    for name in sorted({*durable, *current}):
        inode = durable.get(name)
        is_renewed = inode != current.get(name)
        if is_renewed and not loses_all and rng.random() < 0.5:
            inode = current.get(name)
        if is_renewed:
            is_lost = inode == durable.get(name)
            changes[name] = f'new name {"lost" if is_lost else "kept"}'
        if inode is None:
            continue
        synced = contents[name] = read_copy(copies, inode)
        now = current.get(name)
        written = (folder / name).read_bytes() if inode == now else synced
        if synced == written:
            continue
        if not loses_all:
            contents[name] = tear(synced, written, rng)
        sizes = len(synced), len(written), len(contents[name])
        changes[name] = 'bytes synced, written and kept: %d, %d, %d' % sizes
    for name in current:
        (folder / name).unlink()
    for name, content in contents.items():
        (folder / name).write_bytes(content)
    shutil.rmtree(copies)
    return changes


def tear(synced: bytes, written: bytes, rng: random.Random) -> bytes:
    """Returns what a disk has of a file whose last bytes were not synced."""
    if not written.startswith(synced):
        return rng.choice([synced, written])
    kept = bytearray(written[: rng.randint(len(synced), len(written))])
    begin = rng.randint(len(synced), len(kept))
    if rng.random() < 0.3:
        # A write is missing of which a later one is present.
        end = rng.randint(begin, len(kept))
        kept[begin:end] = bytes(end - begin)
    return bytes(kept)


def first_sync(copies: pathlib.Path, since: float) -> float:
    """Returns when a file was first synced since a time of day, or inf."""
    file = copies / SYNCS
    times = file.read_text().split() if file.exists() else []
    return min(
        (float(one) for one in times if float(one) >= since), default=math.inf
    )
