"""Fakes and helpers for the quota tests."""

from __future__ import annotations

from attrs import frozen

from berylnotch.quota import LocalQuota
from berylnotch.quota.messages import GrantReply, GrantRequest


@frozen
class FakeLimit:
    rate: float
    burst: float
    share: float = 1.0


def request(quota: LocalQuota, now: float, vm: str = "vm-a") -> GrantRequest:
    asks = quota.asks(now)
    return GrantRequest(
        vm=vm,
        incarnation="1",
        http_address="",
        failure_domain="",
        leaving=False,
        sequence=quota.sequence,
        asks=asks,
    )


def exchange(owner, quota, now, organisations, vm="vm-a") -> GrantReply:
    reply = owner.grant(now, request(quota, now, vm), organisations)
    quota.receive(now, reply)
    return reply
