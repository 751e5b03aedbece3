"""Exhaustive check of a model, and search for a shortest counterexample."""

from __future__ import annotations

from dataclasses import replace

from minicheck import Protocol, check_safety
from minicheck._core import SearchIncomplete

#: Most states of a search, so that a model that grew is noticed.
MAX_STATES = 400_000


def holds(model: Protocol) -> bool:
    """Return whether all invariants hold in every reachable state.

    A search that was cut short is not taken for a proof.
    """
    result = check_safety(model, max_states=MAX_STATES)
    verdicts = [found["holds"] for found in result["properties"].values()]
    return result["exhaustive"] and all(verdict is True for verdict in verdicts)


def counterexample(model: Protocol) -> tuple[str, ...]:
    """Return the steps to a violated invariant, or none if there is no way."""

    def transitions(state: tuple) -> list[tuple[str, tuple]]:
        values = model.d(state)
        if not all(invariant(values) for invariant in model.invariants.values()):
            raise SearchIncomplete("an invariant is violated")
        return model.transitions(state)

    searched = replace(model, transitions=transitions)
    result = check_safety(searched, max_states=MAX_STATES)
    paths = [found["counterexample"] for found in result["properties"].values()]
    found = [tuple(step["label"] for step in path[1:]) for path in paths if path]
    return min(found, key=len, default=())


def replay(model: Protocol, labels: tuple[str, ...]) -> list[tuple]:
    """Return the states that these steps lead through, as far as they can."""
    states = [model.initial]
    for label in labels:
        after = dict(model.transitions(states[-1])).get(label)
        if after is None:
            break
        states.append(after)
    return states
