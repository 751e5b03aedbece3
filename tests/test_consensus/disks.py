"""Disks whose writes, syncs and renames can be made to fail, below real folders."""

from __future__ import annotations

import builtins
import errno
import io
import os
from pathlib import Path

from berylnotch.consensus import folder as folder_module
from berylnotch.consensus import storage as storage_module

#: Kinds of calls that can be made to fail.
WRITE, FSYNC, RENAME, FOLDER_FSYNC = "write", "fsync", "rename", "folder fsync"


class Disk:
    """Folder on a disk that can be full, fail to sync and lose power.

    A sync that fails loses what it should have written: the kernel takes the pages for
    clean, so they can still be read but no later sync of this file writes them.

    Parameters
    ----------
    folder : Path
        Folder on the disk; all paths below it are affected.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        #: Kinds of calls that fail.
        self.failing: set[str] = set()
        #: Number of calls until one fails, whatever its kind; None for never.
        self.calls_left: int | None = None
        #: Bytes that a failing write still writes.
        self.part_bytes = 0
        self._durable: dict[int, bytes] = {}
        self._lost: dict[int, list[tuple[int, int]]] = {}

    def must_fail(self, kind: str) -> bool:
        """Count a call, and tell whether it fails."""
        if self.calls_left is not None:
            self.calls_left -= 1
            if self.calls_left < 0:
                return True
        return kind in self.failing

    def on_emptied(self, inode: int) -> None:
        """Record that a file is new or was emptied."""
        self._durable.pop(inode, None)
        self._lost.pop(inode, None)

    def on_synced(self, path: Path, inode: int) -> None:
        """Record what a sync made durable."""
        content = bytearray(path.read_bytes())
        for first, end in self._lost.get(inode, []):
            if first < len(content):
                content[first:end] = bytes(min(end, len(content)) - first)
        self._durable[inode] = bytes(content)

    def on_sync_failed(self, path: Path, inode: int) -> None:
        """Record the bytes that no later sync writes."""
        first, end = len(self._durable.get(inode, b"")), path.stat().st_size
        if first < end:
            self._lost.setdefault(inode, []).append((first, end))

    def lose_power(self) -> None:
        """Reduce each file to what its last successful sync made durable."""
        for path in self.folder.rglob("*"):
            if path.is_file() and path.stat().st_size:
                path.write_bytes(self._durable.get(path.stat().st_ino, b""))


class _DiskFile(io.FileIO):
    """Unbuffered file on a `Disk`."""

    disk: Disk

    def write(self, data) -> int:
        """Write all of the data, or only a part and then fail."""
        data = bytes(data)
        if self.disk.must_fail(WRITE):
            if not self.disk.part_bytes:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            data = data[: self.disk.part_bytes]
            self.disk.part_bytes = 0
        return super().write(data)


class Disks:
    """Disks of a test, in place of the calls of the storage.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
        Replaces the calls until the end of the test.
    """

    def __init__(self, monkeypatch) -> None:
        self._disks: list[Disk] = []
        self._fsync, self._rename = os.fsync, os.rename
        monkeypatch.setattr(os, "fsync", self._sync_file)
        monkeypatch.setattr(os, "rename", self._rename_file)
        for module in (folder_module, storage_module):
            monkeypatch.setattr(module, "open", self._open, raising=False)

    def add(self, folder: Path) -> Disk:
        """Return a new disk that holds a folder."""
        self._disks.append(Disk(folder))
        return self._disks[-1]

    def _disk_of(self, path: Path) -> Disk | None:
        return next((d for d in self._disks if path.is_relative_to(d.folder)), None)

    def _open(self, path, mode="r", buffering=-1, **options):
        disk = self._disk_of(Path(path))
        if disk is None or "b" not in mode or mode == "rb":
            return builtins.open(path, mode, buffering, **options)
        file = _DiskFile(path, mode.replace("b", ""))
        file.disk = disk
        if mode == "wb":
            disk.on_emptied(os.fstat(file.fileno()).st_ino)
        if buffering == 0:
            return file
        return io.BufferedRandom(file) if "+" in mode else io.BufferedWriter(file)

    def _sync_file(self, descriptor: int) -> None:
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        disk = self._disk_of(path)
        if disk is None:
            self._fsync(descriptor)
            return
        is_folder = path.is_dir()
        inode = os.fstat(descriptor).st_ino
        if disk.must_fail(FOLDER_FSYNC if is_folder else FSYNC):
            if not is_folder:
                disk.on_sync_failed(path, inode)
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if not is_folder:
            disk.on_synced(path, inode)

    def _rename_file(self, source, target) -> None:
        disk = self._disk_of(Path(source))
        if disk is not None and disk.must_fail(RENAME):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self._rename(source, target)
