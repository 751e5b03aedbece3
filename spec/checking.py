"""Exhaustive model check and search for a shortest counterexample."""

from __future__ import annotations

from dataclasses import replace

from minicheck import Protocol, check_safety
from minicheck._core import SearchIncomplete

#: Maximum number of states of a search. The limit detects a model whose state space
#: has grown.
MAX_STATES = 400_000


def holds(model: Protocol) -> bool:
    """Return whether all invariants hold in every reachable state.

    A search that stops before it has visited all states does not count as a proof.
    """
    result = check_safety(model, max_states=MAX_STATES)
    verdicts = [verdict["holds"] for verdict in result["properties"].values()]
    return result["exhaustive"] and all(verdict is True for verdict in verdicts)


def counterexample(model: Protocol) -> tuple[str, ...]:
    """Return the shortest trace to a violated invariant, or an empty tuple."""

    def transitions(state: tuple) -> list[tuple[str, tuple]]:
        variables = model.d(state)
        if not all(invariant(variables) for invariant in model.invariants.values()):
            raise SearchIncomplete("an invariant is violated")
        return model.transitions(state)

    stopping_model = replace(model, transitions=transitions)
    result = check_safety(stopping_model, max_states=MAX_STATES)
    paths = [verdict["counterexample"] for verdict in result["properties"].values()]
    traces = [tuple(step["label"] for step in path[1:]) for path in paths if path]
    return min(traces, key=len, default=())


def replay(model: Protocol, labels: tuple[str, ...]) -> list[tuple]:
    """Return the states of a trace up to the first step that is not enabled."""
    states = [model.initial]
    for label in labels:
        next_state = dict(model.transitions(states[-1])).get(label)
        if next_state is None:
            break
        states.append(next_state)
    return states
