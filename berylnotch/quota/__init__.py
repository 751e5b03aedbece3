"""Limits of organisations over all VMs: one bucket each, lent out in grants.

The names here are the public interface for other programs; docs/embedding.md
shows how they go together.
"""

from __future__ import annotations

from berylnotch.quota.errors import InvalidChargeError, QuotaError
from berylnotch.quota.local import LocalQuota
from berylnotch.quota.messages import Grant, GrantReply, GrantRequest, QuotaAsk
from berylnotch.quota.owner import QuotaOwner
from berylnotch.quota.settings import QuotaSettings

__all__ = [
    "Grant",
    "GrantReply",
    "GrantRequest",
    "InvalidChargeError",
    "LocalQuota",
    "QuotaAsk",
    "QuotaError",
    "QuotaOwner",
    "QuotaSettings",
]
