"""Replicated log: elections, leases, membership, snapshots.

The names here are the public interface for other programs; docs/embedding.md
shows how they go together.
"""

from __future__ import annotations

from importlib import import_module
from typing import Any

#: Modules of the public names. They are imported on first use, because the codec
#: of messages, which some of them need, itself imports this package's messages.
_MODULES = {
    "BootstrapError": "errors",
    "ConsensusSettings": "settings",
    "CopiedFolderError": "errors",
    "DamagedFileError": "errors",
    "Entry": "messages",
    "EntryKind": "messages",
    "LogStorage": "storage",
    "Member": "messages",
    "Members": "messages",
    "MembershipError": "errors",
    "NotLeaderError": "errors",
    "OverloadedError": "errors",
    "PayloadError": "errors",
    "Ready": "state",
    "Replica": "replica",
    "Role": "messages",
}

__all__ = list(_MODULES)


def __getattr__(name: str) -> Any:
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
