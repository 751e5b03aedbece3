"""What happens to engines and routers in each case."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.shapes import Case
from berylnotch.control.commands import LifeState, Subject
from berylnotch.control.events import LifeStateChanged

if TYPE_CHECKING:
    from benchmarks.engine import Engine
    from benchmarks.simulation import Simulation

#: Seconds by which the platform's list lags.
LIST_LAG_S = 5.0

#: Seconds between two looks at whether an engine has become idle.
DRAIN_POLL_S = 0.2


def schedule(simulation: Simulation) -> None:
    """Schedule the faults of the run's case."""
    third = simulation.run.until / 3
    loop, case = simulation.loop, simulation.run.case
    if case is Case.ENGINE_LOST:
        loop.after(third, lambda: _lose(simulation, "engine-2"))
        loop.after(2 * third, lambda: _return(simulation, "engine-2"))
    elif case is Case.ROLLOUT:
        names = list(simulation.engines)
        loop.after(third, lambda: _roll(simulation, names))
    elif case is Case.RESTART:
        loop.after(third, simulation.restart_routers)
        loop.after(2 * third, simulation.restart_routers)


def _lose(simulation: Simulation, name: str) -> None:
    engine = simulation.engines[name]
    incarnation = engine.incarnation
    engine.crash()
    _list_later(simulation, name, incarnation, LifeState.LOST)


def _return(simulation: Simulation, name: str) -> None:
    engine = simulation.engines[name]
    engine.restart()
    _list_later(simulation, name, engine.incarnation, LifeState.LIVE)


def _list_later(
    simulation: Simulation, name: str, incarnation: str, state: LifeState
) -> None:
    report = LifeStateChanged(Subject.TARGET, name, incarnation, state, "list")
    states = simulation.view.states
    simulation.loop.after(LIST_LAG_S, lambda: states.__setitem__(name, report))


def _roll(simulation: Simulation, names: list[str]) -> None:
    """Bring the engines to new weights one after the other."""
    if not names:
        return
    name, rest = names[0], names[1:]
    engine = simulation.engines[name]
    simulation.view.versions[name] = ""
    _when_idle(simulation, engine, lambda: _load(simulation, engine, rest))


def _when_idle(simulation: Simulation, engine: Engine, action) -> None:
    if engine.is_idle:
        action()
        return
    simulation.loop.after(DRAIN_POLL_S, lambda: _when_idle(simulation, engine, action))


def _load(simulation: Simulation, engine: Engine, rest: list[str]) -> None:
    def ready() -> None:
        simulation.view.versions[engine.name] = "v2"
        _roll(simulation, rest)

    engine.load("v2")
    simulation.loop.after(engine.shape.load_s, ready)
