"""Replicated log: Raft with pre-vote, leader leases, membership changes and snapshots.

The names in `__all__` are the public interface for programs that embed the log;
docs/embedding.md shows how to use them together.
"""

from __future__ import annotations

from importlib import import_module
from typing import Any

#: Module of each public name. Modules are imported on first use to avoid an import
#: cycle: some of them need the message codec, and the codec imports this package's
#: `messages` module.
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
