"""Periodic fetching of load reports from engines."""

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

#: Seconds between two polls of an engine in a small fleet.
INTERVAL_S = 0.5
#: Upper bound of load reports that a router fetches per second; a router of a larger
#: fleet polls each engine less often.
MAX_REPORTS_PER_S = 40.0
_TIMEOUT_S = 1.0
_TICK_S = 0.05


class Polling:
    """Polls the load of each engine; runs in the loop's thread.

    Parameters
    ----------
    context : Context
        Shared state.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._next_poll_at: dict[str, float] = {}
        # Random times of the first poll keep routers that started together from
        # polling an engine at the same time.
        self._rng = random.Random(context.incarnation)

    def start(self) -> None:
        """Start polling."""
        self._context.loop.call_every(_TICK_S, self._tick)

    def _tick(self) -> None:
        now = time.monotonic()
        engines = self._engines()
        interval_s = max(INTERVAL_S, len(engines) / MAX_REPORTS_PER_S)
        for target in engines:
            next_poll_at = self._next_poll_at.get(target.name)
            if next_poll_at is None:
                self._next_poll_at[target.name] = now + self._rng.random() * interval_s
            elif now >= next_poll_at:
                self._next_poll_at[target.name] = now + interval_s
                self._fetch_load(now, target)

    def _engines(self) -> tuple[Target, ...]:
        fleet = self._context.view.fleet
        language_services = {
            name
            for name, service in fleet.services.items()
            if service.kind is ServiceKind.LANGUAGE
        }
        return tuple(
            t for t in fleet.targets.values() if t.service in language_services
        )

    def _fetch_load(self, now: float, target: Target) -> None:
        credential = self._context.settings.target_credential
        request = build_load(EngineAddress(target.address, credential), _TIMEOUT_S)

        def on_load(load: TargetLoad | None, _error: GatewayError | None) -> None:
            if load is None:
                return
            report = to_report(load, now)
            if self._context.health.report(target.name, report):
                self._context.placer.on_target_lost(target.name)

        fetch(self._context.upstreams, request, read_load, on_load)
