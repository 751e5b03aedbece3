"""Handlers of the commands that controllers and routers propose by themselves."""

from __future__ import annotations

from berylnotch.control.commands import (
    CloseClaim,
    ExpireClaims,
    FinishOrder,
    IssueOrder,
    LifeState,
    OpenClaim,
    ReportCrash,
    SetLifeState,
    Status,
    Subject,
)
from berylnotch.control.data import ApplyContext, CommandEffect, StateData
from berylnotch.control.errors import CommandError
from berylnotch.control.events import (
    CrashReported,
    LifeStateChanged,
    WeightsChanged,
)
from berylnotch.control.records import OrderRecord
from berylnotch.ledger.ledger import router_id
from berylnotch.orders.scheduler import refusal
from berylnotch.orders.state import order_state


def set_life_state(
    data: StateData, context: ApplyContext, command: SetLifeState
) -> CommandEffect:
    """Record a life state, and mark the claims of a lost router as UNKNOWN."""
    if command.subject is Subject.VM and command.state is not LifeState.LEAVING:
        # Claims are marked even if `_check_life_state` rejects the report as outdated.
        # UNKNOWN is always safe, and a claim of an earlier incarnation must not stay
        # RUNNING.
        is_lost = command.state is LifeState.LOST
        data.ledger.mark_claims_unknown(
            context.at_ms, command.name, command.incarnation, is_lost
        )
    _check_life_state(data, command)
    fleet = data.view.fleet
    configured = fleet.targets if command.subject is Subject.TARGET else fleet.vms
    if command.name not in configured:
        message = f"{command.subject.value} {command.name!r} is not in the text"
        raise CommandError(Status.NOT_FOUND, message)
    event = LifeStateChanged(
        command.subject,
        command.name,
        command.incarnation,
        command.state,
        command.source,
    )
    if data.view.life_report(command.subject, command.name) == event:
        return CommandEffect("nothing to change")
    return CommandEffect(events=(event,))


def open_claim(
    data: StateData, context: ApplyContext, command: OpenClaim
) -> CommandEffect:
    """Claim the right to run a non-idempotent request once."""
    if command.organisation not in data.view.fleet.organisations:
        message = f"organisation {command.organisation!r} is not in the text"
        raise CommandError(Status.NOT_FOUND, message)
    vm, _, incarnation = command.router.partition("/")
    report = data.view.life_report(Subject.VM, vm)
    if report is not None and report.state is LifeState.LOST:
        if router_id(vm, report.incarnation) == command.router or not incarnation:
            message = f"router {command.router} is taken for lost"
            raise CommandError(Status.CONFLICT, message)
    return CommandEffect(claim=data.ledger.open(context.at_ms, command))


def close_claim(
    data: StateData, context: ApplyContext, command: CloseClaim
) -> CommandEffect:
    """Record the outcome of a claimed run."""
    return CommandEffect(claim=data.ledger.close(context.at_ms, command))


def expire_claims(
    data: StateData, context: ApplyContext, command: ExpireClaims
) -> CommandEffect:
    """Delete claims that were closed before ``command.before_ms``."""
    if command.before_ms > context.at_ms:
        raise CommandError(Status.INVALID, "the time lies in the future")
    deleted = data.ledger.expire(command.before_ms)
    return CommandEffect(f"{deleted} claims forgotten")


def report_crash(
    data: StateData, context: ApplyContext, command: ReportCrash
) -> CommandEffect:
    """Record that a target was lost while running a request."""
    if command.target not in data.view.fleet.targets:
        message = f"target {command.target!r} is not in the text"
        raise CommandError(Status.NOT_FOUND, message)
    lost_targets = data.view.targets_lost_with(command.fingerprint, context.at_ms)
    if command.target in lost_targets:
        return CommandEffect("the crash was reported already")
    event = CrashReported(command.fingerprint, command.target, context.at_ms)
    return CommandEffect(events=(event,))


def issue_order(
    data: StateData, context: ApplyContext, command: IssueOrder
) -> CommandEffect:
    """Order an engine to load weights, unless the scheduler's rules forbid it."""
    state = order_state(data.view, data.order_book)
    engines = [e for e in state.engines if e.service == command.service]
    matching_engines = [e for e in engines if e.name == command.target]
    if not matching_engines:
        message = f"{command.target!r} is no engine of {command.service!r}"
        raise CommandError(Status.NOT_FOUND, message)
    if state.versions.get(command.service) != command.version:
        message = f"{command.service} shall not hold {command.version!r}"
        raise CommandError(Status.CONFLICT, message)
    reason = refusal(matching_engines[0], engines)
    if reason:
        raise CommandError(Status.CONFLICT, reason)
    order = OrderRecord(
        command.target,
        command.service,
        command.version,
        fence=context.index,
        issued_ms=context.at_ms,
    )
    data.order_book.issue(order)
    event = WeightsChanged(command.target, command.service, "", context.index)
    return CommandEffect(events=(event,))


def finish_order(
    data: StateData, context: ApplyContext, command: FinishOrder
) -> CommandEffect:
    """Record an order's result or, with fence 0, the version that an engine holds.

    An order has succeeded only if the engine also reports the ordered version.
    """
    target = data.view.fleet.targets.get(command.target)
    if target is None:
        message = f"target {command.target!r} is not in the text"
        raise CommandError(Status.NOT_FOUND, message)
    order = data.order_book.orders.get(command.target)
    is_running = data.order_book.is_running(command.target)
    if command.fence and (not is_running or order.fence != command.fence):
        message = f"order {command.fence} to {command.target} does not run"
        raise CommandError(Status.CONFLICT, message)
    if not command.fence and is_running:
        raise CommandError(Status.CONFLICT, f"order {order.fence} runs")
    if command.fence:
        ok = command.ok and command.version == order.version
        data.order_book.finish(command.target, context.at_ms, ok, command.detail)
    fence = command.fence or (order.fence if order else 0)
    event = WeightsChanged(command.target, target.service, command.version, fence)
    if data.view.weights_report(command.target) == event:
        return CommandEffect("nothing to change")
    return CommandEffect(events=(event,))


def _check_life_state(data: StateData, command: SetLifeState) -> None:
    """Reject a report that contradicts a newer or more direct observation.

    The platform's target list lags. After a target has announced itself that it is
    leaving, a LIVE report from the list must not make the target available again, and a
    delayed LOST report must not apply to the next incarnation. LEAVING is always
    accepted: this state is short, because a LIVE report of the next incarnation ends
    it.
    """
    report = data.view.life_report(command.subject, command.name)
    if report is None:
        return
    is_other_incarnation = (
        bool(command.incarnation) and command.incarnation != report.incarnation
    )
    if command.state is LifeState.LIVE:
        is_unavailable = report.state is not LifeState.LIVE and not is_other_incarnation
        if is_unavailable and command.source != report.source:
            message = f"{report.source} reported {report.state.value}"
            raise CommandError(Status.CONFLICT, message)
    elif (
        command.state is LifeState.LOST and is_other_incarnation and report.incarnation
    ):
        message = f"the report is about {command.incarnation}, not the newest"
        raise CommandError(Status.CONFLICT, message)
