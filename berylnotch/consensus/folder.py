"""Operations on a replica's data folder: identity, lock and atomic file writes."""

from __future__ import annotations

import fcntl
import io
import os
import secrets
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO

from berylnotch.consensus.errors import CopiedFolderError
from berylnotch.errors import StorageError

#: File that holds the replica id and the inode numbers of the folder and of the file
#: itself at creation.
IDENTITY_FILE = "identity"

#: File that is locked by the process that uses the folder.
LOCK_FILE = "lock"

#: Suffix of files that are being written and are not yet complete.
TEMPORARY_SUFFIX = ".tmp"


def sync_folder(folder: Path) -> None:
    """Make file creations, renames and removals in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def open_for_append(path: Path) -> io.FileIO:
    """Open an existing file at its end, without a buffer.

    A buffer would keep the bytes of a failed write, and closing the file would write
    them again.
    """
    file = open(path, "r+b", buffering=0)
    file.seek(0, os.SEEK_END)
    return file


def write_durably(file: io.FileIO, *parts: bytes) -> None:
    """Write to an unbuffered file with one fsync.

    If this fails, it is unknown which of the bytes are durable, and another fsync of
    the same file does not tell: the kernel may have dropped them.
    """
    for part in parts:
        remaining = memoryview(part)
        while remaining:
            remaining = remaining[file.write(remaining) :]
    os.fsync(file.fileno())


def replace_file_atomically(path: Path, *parts: bytes) -> None:
    """Replace a file so that a crash leaves either the old or the new content."""
    with _temporary_file(path) as file:
        write_durably(file, *parts)
        os.rename(file.name, path)
    sync_folder(path.parent)


@contextmanager
def _temporary_file(path: Path) -> Iterator[io.FileIO]:
    """Open a new file beside ``path``; it is removed after an error.

    On a full disk, the part of it that was written would take up room.
    """
    temporary_path = path.with_name(path.name + TEMPORARY_SUFFIX)
    file = open(temporary_path, "wb", buffering=0)
    try:
        with file:
            yield file
    except OSError:
        temporary_path.unlink(missing_ok=True)
        raise


def lock_folder(folder: Path) -> IO[bytes]:
    """Lock a folder for this process; closing the returned file unlocks it.

    Raises
    ------
    StorageError
        If another process holds the lock.
    """
    file = open(folder / LOCK_FILE, "ab")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        file.close()
        raise StorageError(f"{folder} is in use by another process") from error
    return file


def remove_temporary_files(folder: Path) -> None:
    """Remove files that a crash left incomplete."""
    for path in folder.glob("*" + TEMPORARY_SUFFIX):
        path.unlink()


def create_identity(folder: Path, name: str, identity: str = "") -> str:
    """Write the replica id of a new data folder and return the id.

    The id is ``identity``, or ``name/hex`` with random digits if ``identity`` is empty.
    """
    identity = identity or f"{name}/{secrets.token_hex(8)}"
    path = folder / IDENTITY_FILE
    with _temporary_file(path) as file:
        inodes = f"{folder.stat().st_ino} {os.fstat(file.fileno()).st_ino}"
        write_durably(file, f"{identity}\n{inodes}\n".encode())
        os.rename(file.name, path)
    sync_folder(folder)
    sync_folder(folder.parent)
    return identity


def read_identity(folder: Path, checks_copy: bool = True) -> str | None:
    """Return the replica id of a folder, or None if it has no identity file.

    With ``checks_copy``, the inode numbers of the folder and of the file must be those
    stored at creation; other numbers mean that the folder is a copy.

    Raises
    ------
    CopiedFolderError
        If the inode numbers differ from the stored ones.
    StorageError
        If the identity file is damaged.
    """
    path = folder / IDENTITY_FILE
    if not path.exists():
        return None
    lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
    if len(lines) != 2 or "/" not in lines[0]:
        raise StorageError(
            f"{path} is damaged: it must hold a replica id and two inode numbers"
        )
    if checks_copy and lines[1] != f"{folder.stat().st_ino} {path.stat().st_ino}":
        raise CopiedFolderError(
            f"{folder} was copied or restored, so its votes and log may be older "
            f"than what {lines[0]} acknowledged; empty it and add this VM as a "
            "new replica"
        )
    return lines[0]
