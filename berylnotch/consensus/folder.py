"""The data folder: identity, lock and durable writes."""

from __future__ import annotations

import fcntl
import os
import secrets
from pathlib import Path
from typing import IO

from berylnotch.consensus.errors import CopiedFolderError
from berylnotch.errors import StorageError

#: File that holds the replica id and the inodes it was made with.
IDENTITY_FILE = "identity"

#: File that the running process locks.
LOCK_FILE = "lock"

#: Suffix of files that are not yet complete.
TEMPORARY_SUFFIX = ".tmp"


def sync_folder(folder: Path) -> None:
    """Make creations, renames and removals in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_durably(path: Path, *parts: bytes) -> None:
    """Write a file so that after a crash the old or the new one is there."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with open(temporary, "wb") as file:
        for part in parts:
            file.write(part)
        file.flush()
        os.fsync(file.fileno())
    os.rename(temporary, path)
    sync_folder(path.parent)


def lock(folder: Path) -> IO[bytes]:
    """Lock a folder for this process; closing the file unlocks it.

    Raises
    ------
    StorageError
        If another process holds it.
    """
    file = open(folder / LOCK_FILE, "ab")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        file.close()
        raise StorageError(f"{folder} is in use by another process") from error
    return file


def remove_temporary(folder: Path) -> None:
    """Remove what a crash left incomplete."""
    for path in folder.glob("*" + TEMPORARY_SUFFIX):
        path.unlink()


def make_identity(folder: Path, name: str, identity: str = "") -> str:
    """Give a new data folder its replica id, by default a random one; return it."""
    identity = identity or f"{name}/{secrets.token_hex(8)}"
    path = folder / IDENTITY_FILE
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with open(temporary, "w", encoding="utf-8") as file:
        inodes = f"{folder.stat().st_ino} {os.fstat(file.fileno()).st_ino}"
        file.write(f"{identity}\n{inodes}\n")
        file.flush()
        os.fsync(file.fileno())
    os.rename(temporary, path)
    sync_folder(folder)
    sync_folder(folder.parent)
    return identity


def read_identity(folder: Path, checks_copy: bool = True) -> str | None:
    """Return the folder's replica id, or None if it has none.

    With ``checks_copy``, the folder must be the one that the id was made with.

    Raises
    ------
    CopiedFolderError
        If the folder or the file is not the one that the id was made with.
    StorageError
        If the file is damaged.
    """
    path = folder / IDENTITY_FILE
    if not path.exists():
        return None
    lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
    if len(lines) != 2 or "/" not in lines[0]:
        raise StorageError(f"{path} is damaged")
    if checks_copy and lines[1] != f"{folder.stat().st_ino} {path.stat().st_ino}":
        raise CopiedFolderError(
            f"{folder} was copied or restored, so its votes and log may be older "
            f"than what {lines[0]} acknowledged; empty it and add this VM as a "
            "new replica"
        )
    return lines[0]
