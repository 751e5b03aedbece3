"""Simulation of routers with a placement policy in front of fake engines."""

from __future__ import annotations

import random

from attrs import define, field, frozen

from benchmarks.choosers import Choice, Question, chain_of
from benchmarks.engine import Engine, Job
from benchmarks.faults import schedule
from benchmarks.figures import Figures
from benchmarks.limits import Limits
from benchmarks.loop import Loop
from benchmarks.policy import Policy, make_policy
from benchmarks.router import Router, StandInView, make_fleet
from benchmarks.shapes import Case, Shape
from benchmarks.workload import Request, Workload
from berylnotch.membership.addresses import answer
from berylnotch.membership.settings import MembershipSettings
from berylnotch.membership.targets import Dispatch

#: Seconds after which a caller stops waiting for the first token.
DEADLINE_S = 30.0

#: Seconds until a router detects that its connection to an engine is lost.
CONNECTION_LOST_S = 0.05

#: Interval of an engine's load reports and their delivery delay, in seconds.
REPORT_EVERY_S = 0.5
REPORT_DELAY_S = 0.4

#: Interval of an engine's cache events and their delivery delay, in seconds, and the
#: fraction of them that is lost.
EVENT_EVERY_S = 0.5
EVENT_DELAY_S = 1.0
EVENT_LOST_SHARE = 0.05


@frozen
class Run:
    """Parameters of one run; ``until`` is its length in seconds."""

    shape: Shape
    case: Case
    policy: str
    seed: int
    until: float


@define(eq=False)
class Attempt:
    """A request and its current dispatch to a target."""

    request: Request
    router: Router
    tried_targets: frozenset[str] = frozenset()
    choice: Choice | None = None
    dispatch: Dispatch | None = None
    job: Job | None = None
    first_token_at: float | None = field(default=None)


class Simulation:
    """Simulates one run."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.loop = Loop()
        self.rng = random.Random(run.seed + 1)
        shape = run.shape
        domains = shape.failure_domains
        self.engines = {
            name: Engine(shape.engine, name, domains[i % len(domains)], self.loop)
            for i, name in enumerate(f"engine-{i + 1}" for i in range(shape.engines))
        }
        seen: set[bytes] = set()
        for engine in self.engines.values():
            engine.seen = seen
        versions = {name: engine.weights for name, engine in self.engines.items()}
        self.view = StandInView(make_fleet(shape, self.engines), versions)
        self.policy: Policy = make_policy(run.policy, self)
        self.routers = {
            vm.address: Router(vm, self.policy) for vm in self.view.fleet.vms.values()
        }
        self.limits = Limits(self.loop, self.view.fleet, self.routers)
        names = [o.name for o in shape.organisations]
        overloading = names[0] if run.case is Case.OVERLOAD else ""
        self.figures = Figures(names, overloading)

    def execute(self) -> Figures:
        """Run all requests to their end and return the figures."""
        until = self.run.until
        workload = Workload(self.run.shape, self.run.case, self.run.seed, until)
        for request in workload.requests():
            self.loop.after(
                request.at, lambda request=request: self._on_arrival(request)
            )
        for engine in self.engines.values():
            self._schedule_reports(engine)
        self.limits.start(until)
        schedule(self)
        self.loop.run()
        return self.figures

    def restart_routers(self) -> None:
        """Restart all routers, discarding their hints, target health and grants."""
        for router in self.routers.values():
            router.restart(self.policy)
            self.limits.reset_router(router)

    def _schedule_reports(self, engine: Engine) -> None:
        until = self.run.until
        offset = self.rng.random() * REPORT_EVERY_S
        self.loop.after(
            offset,
            lambda: self.loop.every(
                REPORT_EVERY_S, until, lambda: self._send_report(engine)
            ),
        )
        self.loop.after(
            offset,
            lambda: self.loop.every(
                EVENT_EVERY_S, until, lambda: self._send_events(engine)
            ),
        )

    def _send_report(self, engine: Engine) -> None:
        if not engine.alive:
            return
        report = engine.report()
        for router in self.routers.values():
            self.loop.after(
                REPORT_DELAY_S,
                lambda router=router: router.health.report(engine.name, report),
            )

    def _send_events(self, engine: Engine) -> None:
        event = engine.take_event()
        if event is None:
            return
        for router in self.routers.values():
            if self.rng.random() < EVENT_LOST_SHARE:
                continue
            self.loop.after(
                EVENT_DELAY_S,
                lambda router=router: router.take_event(self.loop.now, event),
            )

    def _on_arrival(self, request: Request) -> None:
        organisation = request.organisation
        domain = self.rng.choice(self.run.shape.failure_domains)
        address_answer = answer(self.view, organisation, domain, MembershipSettings())
        router = self.routers[self.rng.choice(address_answer.addresses)]
        attempt = Attempt(request, router)
        self.limits.admit(
            router,
            request,
            lambda: self._place(attempt),
            lambda is_within_limit: self._on_refused(is_within_limit),
        )

    def _on_refused(self, is_within_limit: bool) -> None:
        if is_within_limit:
            self.figures.gave_up()
        else:
            self.figures.refused()

    def _place(self, attempt: Attempt) -> None:
        now, request, router = self.loop.now, attempt.request, attempt.router
        if attempt.first_token_at is None and now - request.at > DEADLINE_S:
            self.figures.gave_up()
            return
        question = Question(
            now=now,
            request=request,
            failure_domain=router.failure_domain,
            candidates=router.health.candidates(now, self.view, "language"),
            exclude=attempt.tried_targets,
            priority=self._priority(attempt),
        )
        choice = router.choose(question)
        if choice is None:
            attempt.tried_targets = frozenset()
            self.loop.after(0.1, lambda: self._place(attempt))
            return
        attempt.choice = choice
        attempt.dispatch = router.health.record_sent(now, choice.target, choice.work_s)
        self.loop.after(self._one_way_s(router, choice), lambda: self._submit(attempt))

    def _submit(self, attempt: Attempt) -> None:
        engine = self.engines[attempt.choice.target]
        request = attempt.request
        if attempt.choice.weights != engine.weights:
            self._on_failed(attempt)
            return
        attempt.job = Job(
            chain=chain_of(request, engine.weights),
            tail_tokens=request.tail_tokens,
            output_tokens=request.output_tokens,
            priority=self._priority(attempt),
            import_from=self.engines.get(attempt.choice.import_from),
            import_blocks=attempt.choice.import_blocks,
            on_first=lambda job: self._on_first_token(attempt, job),
            on_done=lambda job: self._on_done(attempt),
            on_fail=lambda job: self._on_failed(attempt),
        )
        engine.submit(attempt.job)

    def _priority(self, attempt: Attempt) -> int:
        if not self.policy.sends_priority:
            return 0
        return self.limits.priority(attempt.router, attempt.request.organisation)

    def _on_first_token(self, attempt: Attempt, job: Job) -> None:
        now, shape = self.loop.now, self.run.shape
        attempt.router.health.first_token(attempt.dispatch)
        self.figures.computed(job)
        if attempt.first_token_at is not None:
            return
        attempt.first_token_at = now
        return_s = self._one_way_s(attempt.router, attempt.choice) + 2 * shape.client_s
        ttft_s = now + return_s - attempt.request.at
        self.figures.first_token(attempt.request.organisation, ttft_s, DEADLINE_S)

    def _on_done(self, attempt: Attempt) -> None:
        attempt.router.health.record_end(self.loop.now, attempt.dispatch, True)

    def _on_failed(self, attempt: Attempt) -> None:
        def retry() -> None:
            attempt.router.health.record_end(self.loop.now, attempt.dispatch, False)
            attempt.tried_targets |= {attempt.choice.target}
            self._place(attempt)

        self.loop.after(CONNECTION_LOST_S, retry)

    def _one_way_s(self, router: Router, choice: Choice) -> float:
        domain = self.engines[choice.target].failure_domain
        return (
            0.0002 if domain == router.failure_domain else self.run.shape.cross_domain_s
        )
