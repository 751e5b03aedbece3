"""Schedules the faults of engines and routers for each case."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.shapes import Case
from berylnotch.control.commands import LifeState, Subject
from berylnotch.control.events import LifeStateChanged

if TYPE_CHECKING:
    from benchmarks.engine import Engine
    from benchmarks.simulation import Simulation

#: Delay of changes in the platform's list, in seconds.
LIST_LAG_S = 5.0

#: Interval between checks of whether a draining engine is idle, in seconds.
DRAIN_POLL_S = 0.2


def schedule(simulation: Simulation) -> None:
    """Schedule the faults of the run's case."""
    third_s = simulation.run.until / 3
    loop, case = simulation.loop, simulation.run.case
    if case is Case.ENGINE_LOST:
        loop.after(third_s, lambda: _crash_engine(simulation, "engine-2"))
        loop.after(2 * third_s, lambda: _restart_engine(simulation, "engine-2"))
    elif case is Case.ROLLOUT:
        names = list(simulation.engines)
        loop.after(third_s, lambda: _roll_out_weights(simulation, names))
    elif case is Case.RESTART:
        loop.after(third_s, simulation.restart_routers)
        loop.after(2 * third_s, simulation.restart_routers)


def _crash_engine(simulation: Simulation, name: str) -> None:
    engine = simulation.engines[name]
    incarnation = engine.incarnation
    engine.crash()
    _publish_life_state(simulation, name, incarnation, LifeState.LOST)


def _restart_engine(simulation: Simulation, name: str) -> None:
    engine = simulation.engines[name]
    engine.restart()
    _publish_life_state(simulation, name, engine.incarnation, LifeState.LIVE)


def _publish_life_state(
    simulation: Simulation, name: str, incarnation: str, state: LifeState
) -> None:
    report = LifeStateChanged(Subject.TARGET, name, incarnation, state, "list")
    states = simulation.view.states
    simulation.loop.after(LIST_LAG_S, lambda: states.__setitem__(name, report))


def _roll_out_weights(simulation: Simulation, names: list[str]) -> None:
    """Load new weights on the engines one after the other."""
    if not names:
        return
    name, remaining_names = names[0], names[1:]
    engine = simulation.engines[name]
    simulation.view.versions[name] = ""
    _run_when_idle(
        simulation, engine, lambda: _load_weights(simulation, engine, remaining_names)
    )


def _run_when_idle(simulation: Simulation, engine: Engine, action) -> None:
    if engine.is_idle:
        action()
        return
    simulation.loop.after(
        DRAIN_POLL_S, lambda: _run_when_idle(simulation, engine, action)
    )


def _load_weights(
    simulation: Simulation, engine: Engine, remaining_names: list[str]
) -> None:
    def on_loaded() -> None:
        simulation.view.versions[engine.name] = "v2"
        _roll_out_weights(simulation, remaining_names)

    engine.load_weights("v2")
    simulation.loop.after(engine.shape.load_s, on_loaded)
