"""The compared policies by name."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import evolve, frozen

from benchmarks.choosers import (
    Chooser,
    all_knowing_chooser,
    least_loaded_chooser,
    our_chooser,
    placement_settings,
    random_chooser,
    thin_chooser,
)
from berylnotch.placement.placer import Placer

if TYPE_CHECKING:
    from benchmarks.simulation import Simulation
    from berylnotch.placement.settings import PlacementSettings

#: Policies that are compared unless others are asked for.
COMPARED = ("ours", "random", "least-loaded", "thin", "all-knowing")

#: Names of all policies.
POLICIES = (*COMPARED, "ours+import")


#: Policies that send the organisations' priorities to the engines.
FAIR = ("ours", "ours+import", "all-knowing")


@frozen
class Policy:
    """A policy: what makes a router's chooser, and whether priorities are sent."""

    make: Callable[[], tuple[Chooser, Placer | None]]
    sends_priority: bool


def policy_named(name: str, simulation: Simulation) -> Policy:
    """Return the policy for a run."""
    settings = placement_settings(simulation.run.shape)
    rate = simulation.run.shape.engine.import_tokens_per_s
    importing = evolve(settings, import_tokens_per_s=rate)
    seeds = iter(range(simulation.run.seed, simulation.run.seed + 1_000_000))

    def ours(used: PlacementSettings) -> tuple[Chooser, Placer | None]:
        placer = Placer(used)
        return our_chooser(used, placer), placer

    makers = {
        "ours": lambda: ours(settings),
        "ours+import": lambda: ours(importing),
        "random": lambda: (random_chooser(next(seeds)), None),
        "least-loaded": lambda: (least_loaded_chooser(settings), None),
        "thin": lambda: (thin_chooser(), None),
        "all-knowing": lambda: (
            all_knowing_chooser(simulation.engines, settings),
            None,
        ),
    }
    return Policy(makers[name], sends_priority=name in FAIR)
