"""What a router tells the leader."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.entry.context import EntryContext
from berylnotch.group.columns import echo
from berylnotch.group.messages import RouterReport, TargetLoad
from berylnotch.util.gathering import Gathering

#: Seconds between two reports to the leader, for each router of the fleet: the
#: leader takes no more than about 250 of them a second.
REPORT_PER_ROUTER_S = 0.004

#: Shortest time between two reports, in seconds.
REPORT_S = 0.15

#: Seconds in which a router that sent a long prompt reports, so that prompts of the
#: same moment go in one message.
REPORT_SOON_S = 0.01


class LeaderReports:
    """Reports of a router, at intervals and when something new cannot wait.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    incarnation : str
        Distinguishes this start of the router from others.
    is_leaving : callable
        Tells whether the router shall get no new callers.
    send : callable
        Sends a message to the leader.
    """

    def __init__(
        self,
        context: EntryContext,
        incarnation: str,
        is_leaving: Callable[[], bool],
        send: Callable[[object], None],
    ) -> None:
        self._context = context
        self._incarnation = incarnation
        self._is_leaving = is_leaving
        self._send = send
        self._sent_loads: tuple[TargetLoad, ...] = ()
        self._due = Gathering(context.loop, self.send, lambda: REPORT_SOON_S)

    @property
    def sent_loads(self) -> tuple[TargetLoad, ...]:
        """Loads of the newest report, which the leader's sums contain."""
        return self._sent_loads

    def start(self) -> None:
        """Begin to report at intervals."""
        self._context.loop.call_later(REPORT_S, self._repeat)

    def soon(self) -> None:
        """Report before the interval is over."""
        self._due.soon()

    def send(self) -> None:
        """Report now."""
        self._due.done()
        context = self._context
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
        crashes, context.crash_marks = context.crash_marks, []
        notes = context.prompts.take_notes()
        context.own_notes.extend(map(echo, notes))
        self._send(
            RouterReport(
                context.fleet.name,
                self._incarnation,
                str(context.fleet.listen),
                context.fleet.failure_domain,
                self._is_leaving(),
                context.routes.version if context.routes else 0,
                self._sent_loads,
                crashes=tuple(crashes),
                prompts=notes,
                ejected=tuple(
                    target.target_id
                    for target in context.targets.all()
                    if target.ejection.is_out
                ),
                leaving=context.targets.leaving_words(),
            )
        )

    def _repeat(self) -> None:
        pause_s = max(REPORT_S, REPORT_PER_ROUTER_S * self._context.router_count)
        self._context.loop.call_later(pause_s, self._repeat)
        self.send()
