"""Rate limits of organisations across all VMs, enforced with token buckets and grants.

The owner keeps one token bucket for each organisation and grants tokens from it to
routers. The names exported here are the public interface for other programs;
docs/embedding.md shows how to use them.
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
