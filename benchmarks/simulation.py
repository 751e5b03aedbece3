"""One run: routers with a policy, fake engines and a case."""

from __future__ import annotations

import random

from attrs import define, field, frozen

from benchmarks.choosers import Choice, Question, chain_of
from benchmarks.engine import Engine, Job
from benchmarks.faults import schedule
from benchmarks.figures import Figures
from benchmarks.limits import Limits
from benchmarks.loop import Loop
from benchmarks.policy import Policy, policy_named
from benchmarks.router import Router, StandInView, make_fleet
from benchmarks.shapes import Case, Shape
from benchmarks.workload import Request, Workload
from berylnotch.membership.addresses import answer
from berylnotch.membership.settings import MembershipSettings
from berylnotch.membership.targets import Dispatch

#: Seconds after which a caller gives up waiting for the first token.
DEADLINE_S = 30.0

#: Seconds until a router sees that its connection to an engine is gone.
CONNECTION_LOST_S = 0.05

#: Seconds between two load reports of an engine, and their delay.
REPORT_EVERY_S = 0.5
REPORT_DELAY_S = 0.4

#: Seconds between two cache events of an engine, their delay and lost share.
EVENT_EVERY_S = 0.5
EVENT_DELAY_S = 1.0
EVENT_LOST_SHARE = 0.05


@frozen
class Run:
    """What is measured; times are in seconds."""

    shape: Shape
    case: Case
    policy: str
    seed: int
    until: float


@define(eq=False)
class Attempt:
    """A request on its way."""

    request: Request
    router: Router
    tried: frozenset[str] = frozenset()
    choice: Choice | None = None
    dispatch: Dispatch | None = None
    job: Job | None = None
    first_at: float | None = field(default=None)


class Simulation:
    """Drives one run."""

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
        self.policy: Policy = policy_named(run.policy, self)
        self.routers = {
            vm.address: Router(vm, self.policy) for vm in self.view.fleet.vms.values()
        }
        self.limits = Limits(self.loop, self.view.fleet, self.routers)
        names = [o.name for o in shape.organisations]
        overloading = names[0] if run.case is Case.OVERLOAD else ""
        self.figures = Figures(names, overloading)

    def execute(self) -> Figures:
        """Run to the end and return the figures."""
        until = self.run.until
        workload = Workload(self.run.shape, self.run.case, self.run.seed, until)
        for request in workload.requests():
            self.loop.after(request.at, lambda request=request: self._arrive(request))
        for engine in self.engines.values():
            self._publish(engine)
        self.limits.start(until)
        schedule(self)
        self.loop.run()
        return self.figures

    def restart_routers(self) -> None:
        """Give every router a new process that has learned nothing."""
        for router in self.routers.values():
            router.restart(self.policy)
            self.limits.forget(router)

    def _publish(self, engine: Engine) -> None:
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

    def _arrive(self, request: Request) -> None:
        organisation = request.organisation
        domain = self.rng.choice(self.run.shape.failure_domains)
        found = answer(self.view, organisation, domain, MembershipSettings())
        router = self.routers[self.rng.choice(found.addresses)]
        attempt = Attempt(request, router)
        self.limits.admit(
            router,
            request,
            lambda: self._place(attempt),
            lambda is_inside: self._refused(is_inside),
        )

    def _refused(self, is_inside: bool) -> None:
        if is_inside:
            self.figures.gave_up()
        else:
            self.figures.refused()

    def _place(self, attempt: Attempt) -> None:
        now, request, router = self.loop.now, attempt.request, attempt.router
        if attempt.first_at is None and now - request.at > DEADLINE_S:
            self.figures.gave_up()
            return
        question = Question(
            now=now,
            request=request,
            failure_domain=router.failure_domain,
            candidates=router.health.candidates(now, self.view, "language"),
            exclude=attempt.tried,
            priority=self._priority(attempt),
        )
        choice = router.choose(question)
        if choice is None:
            attempt.tried = frozenset()
            self.loop.after(0.1, lambda: self._place(attempt))
            return
        attempt.choice = choice
        attempt.dispatch = router.health.begin(now, choice.target, choice.work_s)
        self.loop.after(self._one_way_s(router, choice), lambda: self._submit(attempt))

    def _submit(self, attempt: Attempt) -> None:
        engine = self.engines[attempt.choice.target]
        request = attempt.request
        if attempt.choice.weights != engine.weights:
            self._failed(attempt)
            return
        attempt.job = Job(
            chain=chain_of(request, engine.weights),
            tail_tokens=request.tail_tokens,
            output_tokens=request.output_tokens,
            priority=self._priority(attempt),
            import_from=self.engines.get(attempt.choice.import_from),
            import_pieces=attempt.choice.import_pieces,
            on_first=lambda job: self._first(attempt, job),
            on_done=lambda job: self._done(attempt),
            on_fail=lambda job: self._failed(attempt),
        )
        engine.submit(attempt.job)

    def _priority(self, attempt: Attempt) -> int:
        if not self.policy.sends_priority:
            return 0
        return self.limits.priority(attempt.router, attempt.request.organisation)

    def _first(self, attempt: Attempt, job: Job) -> None:
        now, shape = self.loop.now, self.run.shape
        attempt.router.health.first_token(attempt.dispatch)
        self.figures.computed(job)
        if attempt.first_at is not None:
            return
        attempt.first_at = now
        back_s = self._one_way_s(attempt.router, attempt.choice) + 2 * shape.client_s
        taken_s = now + back_s - attempt.request.at
        self.figures.first_token(attempt.request.organisation, taken_s, DEADLINE_S)

    def _done(self, attempt: Attempt) -> None:
        attempt.router.health.finish(self.loop.now, attempt.dispatch, True)

    def _failed(self, attempt: Attempt) -> None:
        def retry() -> None:
            attempt.router.health.finish(self.loop.now, attempt.dispatch, False)
            attempt.tried |= {attempt.choice.target}
            self._place(attempt)

        self.loop.after(CONNECTION_LOST_S, retry)

    def _one_way_s(self, router: Router, choice: Choice) -> float:
        domain = self.engines[choice.target].failure_domain
        return 0.0002 if domain == router.failure_domain else self.run.shape.far_s
