"""Load reports and cache events that a router fetches from engines."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from berylnotch.fleet.model import ServiceKind
from berylnotch.gateways.engine import EngineAddress
from berylnotch.gateways.fetch import fetch
from berylnotch.gateways.load import build_load, read_load, to_report

if TYPE_CHECKING:
    from berylnotch.errors import GatewayError
    from berylnotch.fleet.model import Target
    from berylnotch.gateways.load import TargetLoad
    from berylnotch.server.context import Context

#: Seconds between two reports of one engine, at a fleet of few engines.
INTERVAL_S = 0.5
#: Most reports that a router fetches a second; more engines are asked less often.
MAX_REPORTS_PER_S = 40.0
_TIMEOUT_S = 1.0
_TICK_S = 0.05


class Polling:
    """Asks each engine in turn; runs in the loop's thread.

    Parameters
    ----------
    context : Context
        Shared state.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._due: dict[str, float] = {}
        # Routers that started together must not ask an engine together.
        self._rng = random.Random(context.incarnation)

    def start(self) -> None:
        """Begin to ask."""
        self._context.loop.call_every(_TICK_S, self._tick)

    def _tick(self) -> None:
        now = time.monotonic()
        engines = self._engines()
        interval_s = max(INTERVAL_S, len(engines) / MAX_REPORTS_PER_S)
        for target in engines:
            due = self._due.get(target.name)
            if due is None:
                self._due[target.name] = now + self._rng.random() * interval_s
            elif now >= due:
                self._due[target.name] = now + interval_s
                self._ask(now, target)

    def _engines(self) -> tuple[Target, ...]:
        fleet = self._context.view.fleet
        language = {
            name
            for name, service in fleet.services.items()
            if service.kind is ServiceKind.LANGUAGE
        }
        return tuple(t for t in fleet.targets.values() if t.service in language)

    def _ask(self, now: float, target: Target) -> None:
        credential = self._context.settings.target_credential
        request = build_load(EngineAddress(target.address, credential), _TIMEOUT_S)

        def done(load: TargetLoad | None, _error: GatewayError | None) -> None:
            if load is None:
                return
            report = to_report(load, now)
            if self._context.health.report(target.name, report):
                self._context.placer.target_lost(target.name)

        fetch(self._context.upstreams, request, read_load, done)
