"""Limits of organisations over all VMs: one bucket each, lent out in grants."""

from __future__ import annotations

from berylnotch.quota.errors import QuotaError
from berylnotch.quota.local import LocalQuota
from berylnotch.quota.owner import QuotaOwner
from berylnotch.quota.settings import QuotaSettings

__all__ = ["LocalQuota", "QuotaError", "QuotaOwner", "QuotaSettings"]
