"""Effects of commands that the system itself proposes."""

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
from berylnotch.control.data import Context, Outcome, StateData
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


def set_life_state(data: StateData, context: Context, command: SetLifeState) -> Outcome:
    """Note a VM's or target's state, and lose the claims of lost routers."""
    if command.subject is Subject.VM and command.state is not LifeState.LEAVING:
        # Also for a late report: UNKNOWN is safe, and a claim of an old
        # incarnation must not stay open.
        is_lost = command.state is LifeState.LOST
        data.ledger.lose(context.at_ms, command.name, command.incarnation, is_lost)
    _check_life_state(data, command)
    fleet = data.view.fleet
    known = fleet.targets if command.subject is Subject.TARGET else fleet.vms
    if command.name not in known:
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
        return Outcome("nothing to change")
    return Outcome(events=(event,))


def open_claim(data: StateData, context: Context, command: OpenClaim) -> Outcome:
    """Claim the only run of a request."""
    if command.organisation not in data.view.fleet.organisations:
        message = f"organisation {command.organisation!r} is not in the text"
        raise CommandError(Status.NOT_FOUND, message)
    vm, _, incarnation = command.router.partition("/")
    report = data.view.life_report(Subject.VM, vm)
    if report is not None and report.state is LifeState.LOST:
        if router_id(vm, report.incarnation) == command.router or not incarnation:
            message = f"router {command.router} is taken for lost"
            raise CommandError(Status.CONFLICT, message)
    return Outcome(claim=data.ledger.open(context.at_ms, command))


def close_claim(data: StateData, context: Context, command: CloseClaim) -> Outcome:
    """Record the outcome of a run."""
    return Outcome(claim=data.ledger.close(context.at_ms, command))


def expire_claims(data: StateData, context: Context, command: ExpireClaims) -> Outcome:
    """Forget old claims."""
    if command.before_ms > context.at_ms:
        raise CommandError(Status.INVALID, "the time lies in the future")
    forgotten = data.ledger.expire(command.before_ms)
    return Outcome(f"{forgotten} claims forgotten")


def report_crash(data: StateData, context: Context, command: ReportCrash) -> Outcome:
    """Note that a target was lost while it ran a request."""
    if command.target not in data.view.fleet.targets:
        message = f"target {command.target!r} is not in the text"
        raise CommandError(Status.NOT_FOUND, message)
    known = data.view.crash_targets(command.fingerprint, context.at_ms)
    if command.target in known:
        return Outcome("the crash was reported already")
    event = CrashReported(command.fingerprint, command.target, context.at_ms)
    return Outcome(events=(event,))


def issue_order(data: StateData, context: Context, command: IssueOrder) -> Outcome:
    """Order an engine to load; refused if that would break a rule."""
    state = order_state(data.view, data.book)
    engines = [e for e in state.engines if e.service == command.service]
    found = [e for e in engines if e.name == command.target]
    if not found:
        message = f"{command.target!r} is no engine of {command.service!r}"
        raise CommandError(Status.NOT_FOUND, message)
    if state.versions.get(command.service) != command.version:
        message = f"{command.service} shall not hold {command.version!r}"
        raise CommandError(Status.CONFLICT, message)
    reason = refusal(found[0], engines)
    if reason:
        raise CommandError(Status.CONFLICT, reason)
    order = OrderRecord(
        command.target,
        command.service,
        command.version,
        fence=context.index,
        issued_ms=context.at_ms,
    )
    data.book.issue(order)
    event = WeightsChanged(command.target, command.service, "", context.index)
    return Outcome(events=(event,))


def finish_order(data: StateData, context: Context, command: FinishOrder) -> Outcome:
    """Note an order's result, or with fence 0 what an idle engine holds."""
    target = data.view.fleet.targets.get(command.target)
    if target is None:
        message = f"target {command.target!r} is not in the text"
        raise CommandError(Status.NOT_FOUND, message)
    order = data.book.orders.get(command.target)
    is_running = data.book.is_running(command.target)
    if command.fence and (not is_running or order.fence != command.fence):
        message = f"order {command.fence} to {command.target} does not run"
        raise CommandError(Status.CONFLICT, message)
    if not command.fence and is_running:
        raise CommandError(Status.CONFLICT, f"order {order.fence} runs")
    if command.fence:
        ok = command.ok and command.version == order.version
        data.book.finish(command.target, context.at_ms, ok, command.detail)
    fence = command.fence or (order.fence if order else 0)
    event = WeightsChanged(command.target, target.service, command.version, fence)
    if data.view.weights_report(command.target) == event:
        return Outcome("nothing to change")
    return Outcome(events=(event,))


def _check_life_state(data: StateData, command: SetLifeState) -> None:
    """Refuse a report that a newer or nearer observer contradicts.

    The platform's list lags. After a target itself said that it leaves, the
    list's LIVE must not bring it back, and a late LOST must not hit the next
    incarnation. LEAVING is always taken: it does no harm for long, because the
    next incarnation's LIVE ends it.
    """
    report = data.view.life_report(command.subject, command.name)
    if report is None:
        return
    other = bool(command.incarnation) and command.incarnation != report.incarnation
    if command.state is LifeState.LIVE:
        held = report.state is not LifeState.LIVE and not other
        if held and command.source != report.source:
            message = f"{report.source} reported {report.state.value}"
            raise CommandError(Status.CONFLICT, message)
    elif command.state is LifeState.LOST and other and report.incarnation:
        message = f"the report is about {command.incarnation}, not the newest"
        raise CommandError(Status.CONFLICT, message)
