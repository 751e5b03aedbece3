"""State that the parts of a router's request path share."""

from __future__ import annotations

import math
import time
from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import Factory, define, evolve, field

from berylnotch.control.protocol import WhyReply
from berylnotch.entry.answer_times import AnswerTimes
from berylnotch.net.response_memory import ResponseMemory, response_limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylnotch.control.view import View
    from berylnotch.daemon.router.confirmation import LossConfirmation
    from berylnotch.daemon.router.proposer import Proposer
    from berylnotch.gateways.transfers import Upstreams
    from berylnotch.keys.freshness import Freshness
    from berylnotch.membership.crashes import CrashGuard
    from berylnotch.membership.departure import StopSchedule
    from berylnotch.membership.targets import TargetHealth
    from berylnotch.placement.placer import Placer
    from berylnotch.quota.local import LocalQuota
    from berylnotch.server.job import Job
    from berylnotch.settings.router import RouterSettings
    from berylnotch.util.loop import Loop
    from berylnotch.util.metrics import Metrics

#: Number of requests whose choice of target is kept.
_MAX_DECISIONS = 4096


class Decisions:
    """Most recent choices of targets, for ``berylnotch why``."""

    def __init__(self) -> None:
        self._decisions: OrderedDict[str, WhyReply] = OrderedDict()

    def record(self, decision: WhyReply) -> None:
        """Store a choice, replacing an earlier choice for the same request."""
        self._decisions[decision.request_id] = decision
        self._decisions.move_to_end(decision.request_id)
        if len(self._decisions) > _MAX_DECISIONS:
            self._decisions.popitem(last=False)

    def record_outcome(self, request_id: str, outcome: str) -> None:
        """Record how a request ended."""
        decision = self.find(request_id)
        self.record(evolve(decision, outcome=outcome))

    def find(self, request_id: str) -> WhyReply:
        """Return the last choice for a request, or a reply without lines."""
        return self._decisions.get(request_id, WhyReply(request_id, "", 0))


@define
class Context:
    """Shared state of a router; used in the loop's thread only.

    ``view`` and ``freshness`` are also read by the threads that check requests.
    ``send_heartbeat_soon`` reports new demand for tokens ahead of the regular
    heartbeat. ``stop`` is the schedule of the router's planned stop, in seconds of the
    monotonic clock; None until the stop begins.
    """

    loop: Loop
    settings: RouterSettings
    view: View
    freshness: Freshness
    quota: LocalQuota
    health: TargetHealth
    crash_guard: CrashGuard
    placer: Placer
    upstreams: Upstreams
    proposer: Proposer
    loss_confirmation: LossConfirmation
    metrics: Metrics
    incarnation: str
    send_heartbeat_soon: Callable[[], None]
    response_memory: ResponseMemory = field(
        default=Factory(
            lambda self: ResponseMemory(response_limits(self.settings.memory_mb)),
            takes_self=True,
        )
    )
    decisions: Decisions = field(factory=Decisions)
    jobs: set[Job] = field(factory=set)
    answer_times: AnswerTimes = field(factory=AnswerTimes)
    stop: StopSchedule | None = None

    @property
    def answer_by(self) -> float:
        """Monotonic time by which this router's answers must end, in seconds."""
        return self.stop.answer_by if self.stop is not None else math.inf

    def end_by(self, job: Job) -> float:
        """Return the monotonic time by which the answer to a request must end."""
        return min(job.deadline, self.answer_by)

    def reported_losses(self, fingerprint: bytes) -> frozenset[str]:
        """Return the targets that routers reported as lost while running a request."""
        return self.view.targets_lost_with(fingerprint, int(time.time() * 1000))
