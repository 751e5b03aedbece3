"""Reports that a router sends to the leading controller."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.entry.context import EntryContext
from berylnotch.group.columns import NumberedTargets, note_key
from berylnotch.group.messages import RouterReport, TargetLoad
from berylnotch.group.speed_columns import encode_records
from berylnotch.util.clock import boot_time
from berylnotch.util.coalesced_action import CoalescedAction

#: Report interval per router of the fleet, in seconds. In a large fleet the interval
#: grows with the number of routers, so that the leader receives at most about 250
#: reports a second.
REPORT_PER_ROUTER_S = 0.004

#: Minimum interval between two periodic reports, in seconds.
REPORT_S = 0.15

#: Seconds after which a router reports a long prompt that it sent to a target. The
#: delay gathers prompts that are sent at about the same time into one message.
URGENT_REPORT_DELAY_S = 0.01


class LeaderReports:
    """Sends reports of a router periodically, and earlier if a report is urgent.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    incarnation : str
        Identifies this run of the router process.
    is_leaving : callable
        Returns whether the router must not be given to new callers.
    send : callable
        Sends a message to the leader.
    numbers : NumberedTargets, optional
        Targets by the leader's numbers, to which measured speeds refer.
    """

    def __init__(
        self,
        context: EntryContext,
        incarnation: str,
        is_leaving: Callable[[], bool],
        send: Callable[[object], None],
        numbers: NumberedTargets | None = None,
    ) -> None:
        self._context = context
        self._incarnation = incarnation
        self._is_leaving = is_leaving
        self._send = send
        self._numbers = numbers or NumberedTargets()
        self._sent_loads: tuple[TargetLoad, ...] = ()
        self._urgent_report = CoalescedAction(
            context.loop, self.send, lambda: URGENT_REPORT_DELAY_S
        )

    @property
    def sent_loads(self) -> tuple[TargetLoad, ...]:
        """Loads in the newest report; the leader's sums include them."""
        return self._sent_loads

    def start(self) -> None:
        """Start the periodic reports."""
        self._context.loop.call_later(REPORT_S, self._send_periodically)

    def on_link_open(self) -> None:
        """Send a first report, with all that a new leader has to know."""
        self._context.crash_watch.report_all()
        self._context.target_limits.report_all()
        self._context.rollouts.on_link_open()
        # The report confirms that the leader has the records.
        self._context.streams.on_link_open(boot_time())
        self.send()

    def schedule(self) -> None:
        """Schedule a report before the interval ends."""
        self._urgent_report.schedule()

    def send(self) -> None:
        """Send a report now, in place of a scheduled urgent one."""
        self._urgent_report.cancel()
        context, now = self._context, boot_time()
        self._sent_loads = tuple(
            TargetLoad(
                target.target_id,
                target.in_flight,
                target.unread,
                target.long_in_flight,
            )
            for target in context.targets.all()
            if target.in_flight
        )
        context.speeds.refresh(now, context.targets.get)
        numbers = self._numbers
        speeds = encode_records(
            numbers.numbering, context.speeds.take_records(now, numbers.number)
        )
        notes = context.prompts.take_notes()
        context.own_note_keys.extend(map(note_key, notes))
        self._send(
            RouterReport(
                context.fleet.name,
                self._incarnation,
                str(context.fleet.listen),
                context.fleet.failure_domain,
                self._is_leaving(),
                context.routes.version if context.routes else 0,
                self._sent_loads,
                crashes=context.crash_watch.take_marks(now),
                prompts=notes,
                ejected=tuple(
                    target.target_id
                    for target in context.targets.all()
                    if target.ejection.is_ejected
                ),
                leaving=context.targets.announced_departures(),
                limits=context.target_limits.notices(now),
                token_request=context.target_limits.asks(
                    now, context.fleet.name, self._incarnation
                ),
                completed=context.crash_watch.take_completions(now),
                recording=context.streams.mixed_services,
                rollouts=context.rollouts.reports(now, context.targets.of),
                idle_retries=context.retries.idle(),
                speeds=speeds,
            )
        )

    def _send_periodically(self) -> None:
        interval_s = max(REPORT_S, REPORT_PER_ROUTER_S * self._context.router_count)
        self._context.loop.call_later(interval_s, self._send_periodically)
        self.send()
