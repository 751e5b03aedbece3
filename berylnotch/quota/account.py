"""Account of one organisation at the quota owner."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from berylnotch.quota.bucket import Bucket
    from berylnotch.quota.messages import QuotaAsk
    from berylnotch.quota.settings import QuotaSettings
    from berylnotch.quota.usage import UsageAverage
    from berylnotch.quota.waiting import WaitQueue
    from berylnotch.quota.window_bucket import WindowBucket


@define
class Account:
    """Bucket, average use and waiting routers of one organisation."""

    bucket: Bucket | WindowBucket
    usage: UsageAverage
    waiting: WaitQueue
    share: float
    settings: QuotaSettings

    def grant_size(self, now: float, router: str, ask: QuotaAsk) -> int:
        """Return the tokens to grant: 0, or enough for the first waiting work.

        The rest of the router's waiting work gets tokens as well, as far as other
        routers that wait leave some.
        """
        waiting = self.waiting
        level = self.bucket.level
        available_tokens = int(level - waiting.needed_ahead_of(router, level))
        if ask.waiting > self.bucket.burst:
            waiting.remove(router)
            return 0
        if ask.waiting and available_tokens < ask.waiting:
            waiting.enqueue(now, router, ask.queued or ask.want, ask.waiting)
            return 0
        waiting.remove(router)
        fair_part = available_tokens // (len(waiting) + 1)
        tokens = max(ask.waiting, min(ask.queued, fair_part))
        reserved_tokens = self.bucket.burst * self.settings.reserved_part
        unreserved = max(0, int(available_tokens - tokens - reserved_tokens))
        extra_tokens = min(ask.want - tokens, unreserved // (len(waiting) + 1))
        return tokens + max(0, extra_tokens)

    def retry_after_ms(self, router: str) -> int:
        """Return the retry-after time of a router's work in ms, 0 if work may wait."""
        missing_tokens = self.waiting.wanted_through(router) - self.bucket.level
        wait_s = missing_tokens / self.bucket.rate
        if wait_s <= self.settings.wait_s:
            return 0
        if self.settings.refused_leave:
            self.waiting.remove(router)
        return math.ceil(wait_s * 1000)
