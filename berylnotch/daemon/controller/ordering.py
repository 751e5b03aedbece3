"""Orders of the leader to engines: issued, sent, read back, finished."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

from berylnotch.control.commands import FinishOrder
from berylnotch.gateways.engine import EngineAddress
from berylnotch.gateways.errors import OldFenceError
from berylnotch.gateways.orders import build_load_order, read_order_answer
from berylnotch.orders.scheduler import Leadership, may_send, next_orders

if TYPE_CHECKING:
    from berylnotch.control.records import OrderRecord
    from berylnotch.control.state import ControlState
    from berylnotch.daemon.controller.outside import Outside
    from berylnotch.daemon.controller.targets import TargetWatch
    from berylnotch.errors import GatewayError
    from berylnotch.gateways.orders import OrderAnswer
    from berylnotch.settings.controller import ControllerSettings

_TIMEOUT_S = 2.0
#: Seconds between two looks at the orders.
_INTERVAL_S = 0.2
#: Seconds after which an order that the engine did not take is sent again.
_RESEND_S = 3.0
#: Seconds after which an order counts as failed.
ORDER_LIMIT_S = 120.0


@define
class _Sent:
    """An order that this leader has sent."""

    fence: int
    at: float
    first_at: float


class Ordering:
    """Brings engines to the versions that rollouts ask for.

    An order is committed before it is sent, and its log index is the fencing
    number. Its result is read back from the engine's own report, so a lost
    answer does no harm.

    Parameters
    ----------
    settings : ControllerSettings
        Settings of the process.
    state : ControlState
        Applied state.
    outside : Outside
        Way to the engines.
    targets : TargetWatch
        Reports of the engines.
    propose : callable
        Proposes a command.
    since : float
        Monotonic time at which this controller began to lead.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        state: ControlState,
        outside: Outside,
        targets: TargetWatch,
        propose: Callable[[object], None],
        since: float,
    ) -> None:
        self._settings = settings
        self._state = state
        self._outside = outside
        self._targets = targets
        self._propose = propose
        self._since_ms = int(since * 1000)
        self._next = 0.0
        self._sent: dict[str, _Sent] = {}
        self._issued_index = 0

    def tick(self, now: float, valid_until: float) -> None:
        """Send, read back and issue orders.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        valid_until : float
            End of the leader's lease; no order is sent after it.
        """
        if now < self._next:
            return
        self._next = now + _INTERVAL_S
        for name in tuple(self._state.fleet.targets):
            order = self._state.order(name)
            if order is not None and not order.finished_ms:
                self._follow(now, valid_until, order)
        self._issue(now)

    def _issue(self, now: float) -> None:
        # One proposal at a time: the next is judged by the state after it.
        if self._state.index <= self._issued_index:
            return
        now_ms = int(time.time() * 1000)
        leadership = self._leadership(now, now_ms)
        for command in next_orders(now_ms, self._state.orders, leadership):
            self._issued_index = self._state.index
            self._propose(command)

    def _leadership(self, now: float, now_ms: int) -> Leadership:
        led_ms = int(now * 1000) - self._since_ms
        lease_ms = int(self._settings.consensus.election_max_s * 1000)
        return Leadership(since_ms=now_ms - led_ms, lease_ms=lease_ms)

    def _follow(self, now: float, valid_until: float, order: OrderRecord) -> None:
        sent = self._sent.get(order.target)
        if sent is None or sent.fence != order.fence:
            sent = None
        if sent is not None and self._is_done(order, sent):
            self._finish(order, True, "")
        elif sent is not None and now - sent.first_at > ORDER_LIMIT_S:
            self._finish(order, False, "the engine did not report the version")
        elif sent is None or now - sent.at > _RESEND_S:
            self._send(now, valid_until, order)

    def _is_done(self, order: OrderRecord, sent: _Sent) -> bool:
        # Only a report that was asked for after the order speaks of it.
        if self._targets.load_asked_at(order.target) <= sent.at:
            return False
        load = self._targets.load(order.target)
        return load is not None and not load.loading and load.weights == order.version

    def _send(self, now: float, valid_until: float, order: OrderRecord) -> None:
        engines = self._state.orders.engines
        engine = next((e for e in engines if e.name == order.target), None)
        target = self._state.fleet.targets.get(order.target)
        now_ms = int(time.time() * 1000)
        if engine is None or target is None:
            return
        if not may_send(now_ms, engine, self._leadership(now, now_ms)):
            return
        load = self._targets.load(order.target)
        sent = self._sent.get(order.target)
        first_at = sent.first_at if sent and sent.fence == order.fence else now
        self._sent[order.target] = _Sent(order.fence, now, first_at)
        if load is not None and load.loading and load.fence == order.fence:
            return
        address = EngineAddress(target.address, self._settings.target_credential)
        request = build_load_order(address, order.fence, order.version, _TIMEOUT_S)
        logger.info(
            "event=order_sent target={} version={} fence={}",
            order.target,
            order.version,
            order.fence,
        )
        self._outside.fetch(
            request,
            read_order_answer,
            lambda answer, error: self._answered(order, answer, error),
            valid_until,
        )

    def _answered(
        self,
        order: OrderRecord,
        answer: OrderAnswer | None,
        error: GatewayError | None,
    ) -> None:
        if isinstance(error, OldFenceError):
            self._finish(order, False, str(error))
        elif error is not None:
            logger.warning(
                "event=order_unanswered target={} reason={!r}", order.target, str(error)
            )

    def _finish(self, order: OrderRecord, ok: bool, detail: str) -> None:
        logger.info(
            "event=order_finished target={} version={} ok={}",
            order.target,
            order.version,
            ok,
        )
        self._sent.pop(order.target, None)
        self._propose(FinishOrder(order.target, order.fence, ok, order.version, detail))
