"""Placement policies that the benchmarks compare, by name."""

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

#: Policies that are compared by default.
DEFAULT_POLICIES = ("ours", "random", "least-loaded", "thin", "all-knowing")

#: Names of all policies.
POLICIES = (*DEFAULT_POLICIES, "ours+import")


#: Policies that send the organisations' priorities to the engines.
PRIORITY_POLICIES = ("ours", "ours+import", "all-knowing")


@frozen
class Policy:
    """A placement policy.

    ``make_chooser`` returns the chooser of one router process, with its placer if
    there is one. ``sends_priority`` says whether engines receive the organisations'
    priorities.
    """

    make_chooser: Callable[[], tuple[Chooser, Placer | None]]
    sends_priority: bool


def make_policy(name: str, simulation: Simulation) -> Policy:
    """Return the policy ``name``, set up for the run of ``simulation``."""
    settings = placement_settings(simulation.run.shape)
    import_rate = simulation.run.shape.engine.import_tokens_per_s
    import_settings = evolve(settings, import_tokens_per_s=import_rate)
    seeds = iter(range(simulation.run.seed, simulation.run.seed + 1_000_000))

    def make_own_chooser(placement: PlacementSettings) -> tuple[Chooser, Placer | None]:
        placer = Placer(placement)
        return our_chooser(placement, placer), placer

    factories = {
        "ours": lambda: make_own_chooser(settings),
        "ours+import": lambda: make_own_chooser(import_settings),
        "random": lambda: (random_chooser(next(seeds)), None),
        "least-loaded": lambda: (least_loaded_chooser(settings), None),
        "thin": lambda: (thin_chooser(), None),
        "all-knowing": lambda: (
            all_knowing_chooser(simulation.engines, settings),
            None,
        ),
    }
    return Policy(factories[name], sends_priority=name in PRIORITY_POLICIES)
