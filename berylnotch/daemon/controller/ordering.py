"""Dispatch of the leader's load orders to engines, from issue to result."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define
from loguru import logger

from berylnotch.control.commands import FinishOrder
from berylnotch.gateways.engine import EngineAddress
from berylnotch.gateways.errors import StaleFencingTokenError
from berylnotch.gateways.orders import build_load_order, read_order_answer
from berylnotch.orders.scheduler import Leadership, may_send, next_orders

if TYPE_CHECKING:
    from berylnotch.control.records import OrderRecord
    from berylnotch.control.state import ControlState
    from berylnotch.daemon.controller.outside import ExternalClient
    from berylnotch.daemon.controller.targets import TargetWatch
    from berylnotch.errors import GatewayError
    from berylnotch.gateways.orders import OrderAnswer
    from berylnotch.settings.controller import ControllerSettings

_REQUEST_TIMEOUT_S = 2.0
#: Interval in seconds between checks of the orders.
_CHECK_INTERVAL_S = 0.2
#: Seconds after which an unfinished order is sent again, unless the engine reports that
#: it is loading for this order.
_RESEND_INTERVAL_S = 3.0
#: Seconds after the first send at which an order counts as failed.
ORDER_TIMEOUT_S = 120.0


@define
class _SentOrder:
    """Fencing token and send times of an order that this leader has sent."""

    fence: int
    sent_at: float
    first_sent_at: float


class OrderDispatcher:
    """Issues and sends the orders that load a rollout's weights into engines.

    An order is committed before it is sent, and its log index is the fencing token.
    The result is taken from the engine's load report, so the order also finishes if
    the engine's answer is lost.

    Parameters
    ----------
    settings : ControllerSettings
        Settings of the process.
    state : ControlState
        Applied state.
    external_client : ExternalClient
        Client for requests to engines.
    target_watch : TargetWatch
        Load reports of the engines.
    propose : callable
        Proposes a command.
    since : float
        Monotonic time in seconds at which this controller became the leader.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        state: ControlState,
        external_client: ExternalClient,
        target_watch: TargetWatch,
        propose: Callable[[object], None],
        since: float,
    ) -> None:
        self._settings = settings
        self._state = state
        self._external_client = external_client
        self._target_watch = target_watch
        self._propose = propose
        self._leading_since_ms = int(since * 1000)
        self._next_check_at = 0.0
        self._sent_orders: dict[str, _SentOrder] = {}
        self._issued_index = 0

    def tick(self, now: float, valid_until: float) -> None:
        """Send orders, check their results and issue new orders.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        valid_until : float
            Monotonic time in seconds at which the leader's lease ends; no order is
            sent after this time.
        """
        if now < self._next_check_at:
            return
        self._next_check_at = now + _CHECK_INTERVAL_S
        for name in tuple(self._state.fleet.targets):
            order = self._state.order(name)
            if order is not None and not order.finished_ms:
                self._advance(now, valid_until, order)
        self._issue_orders(now)

    def _issue_orders(self, now: float) -> None:
        # The next orders depend on the state after the previous proposal, so nothing is
        # issued until that proposal is applied.
        if self._state.index <= self._issued_index:
            return
        now_ms = int(time.time() * 1000)
        leadership = self._leadership(now, now_ms)
        for command in next_orders(now_ms, self._state.orders, leadership):
            self._issued_index = self._state.index
            self._propose(command)

    def _leadership(self, now: float, now_ms: int) -> Leadership:
        leading_for_ms = int(now * 1000) - self._leading_since_ms
        lease_ms = int(self._settings.consensus.election_max_s * 1000)
        return Leadership(since_ms=now_ms - leading_for_ms, lease_ms=lease_ms)

    def _advance(self, now: float, valid_until: float, order: OrderRecord) -> None:
        sent = self._sent_orders.get(order.target)
        if sent is None or sent.fence != order.fence:
            sent = None
        if sent is not None and self._is_done(order, sent):
            self._finish(order, True, "")
        elif sent is not None and now - sent.first_sent_at > ORDER_TIMEOUT_S:
            self._finish(order, False, "the engine did not report the version")
        elif sent is None or now - sent.sent_at > _RESEND_INTERVAL_S:
            self._send(now, valid_until, order)

    def _is_done(self, order: OrderRecord, sent: _SentOrder) -> bool:
        # A report requested before the order was sent does not show its result.
        if self._target_watch.load_requested_at(order.target) <= sent.sent_at:
            return False
        load = self._target_watch.load(order.target)
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
        load = self._target_watch.load(order.target)
        sent = self._sent_orders.get(order.target)
        first_sent_at = (
            sent.first_sent_at if sent and sent.fence == order.fence else now
        )
        self._sent_orders[order.target] = _SentOrder(order.fence, now, first_sent_at)
        if load is not None and load.loading and load.fence == order.fence:
            return
        address = EngineAddress(target.address, self._settings.target_credential)
        request = build_load_order(
            address, order.fence, order.version, _REQUEST_TIMEOUT_S
        )
        logger.info(
            "event=order_sent target={} version={} fence={}",
            order.target,
            order.version,
            order.fence,
        )
        self._external_client.fetch(
            request,
            read_order_answer,
            lambda answer, error: self._on_answer(order, answer, error),
            valid_until,
        )

    def _on_answer(
        self,
        order: OrderRecord,
        answer: OrderAnswer | None,
        error: GatewayError | None,
    ) -> None:
        if isinstance(error, StaleFencingTokenError):
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
        self._sent_orders.pop(order.target, None)
        self._propose(FinishOrder(order.target, order.fence, ok, order.version, detail))
