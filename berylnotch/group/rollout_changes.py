"""Changes of the replicated rollouts by commands."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import evolve

from berylnotch.group.commands import MoveRollout, StartRollout
from berylnotch.group.rollouts import RolloutPhase, ServiceRollout

#: Time in ms within which an order for a version that was rolled back is a repetition
#: of the order that started the rollout. Operators repeat an order for at most 5 s, and
#: the last repetition may take another second to arrive.
REPETITION_MS = 6000

#: Number of versions of a service that stay refused after their rollback. The platform
#: removes the engines of a version some seconds after its rollback.
MAX_REFUSED_VERSIONS = 8

_NEXT_PHASES = {
    RolloutPhase.OBSERVING: (RolloutPhase.SHIFTING, RolloutPhase.ROLLED_BACK),
    RolloutPhase.SHIFTING: (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK),
}


def is_repetition(rollout: ServiceRollout, version: str, started_ms: int) -> bool:
    """Return whether an order repeats one that started a rollout of the service.

    These are the newest rollout, and those that ended shortly before it. A service that
    runs at a version already needs no further rollout to it.
    """
    if rollout.version == version and rollout.phase is not RolloutPhase.ROLLED_BACK:
        return True
    orders = (*rollout.earlier_orders, (rollout.version, rollout.started_ms))
    return any(v == version and _is_recent(ms, started_ms) for v, ms in orders)


def _is_recent(earlier_ms: int, started_ms: int) -> bool:
    return abs(started_ms - earlier_ms) <= REPETITION_MS


def start_rollout(
    rollouts: Mapping[str, ServiceRollout], command: StartRollout
) -> ServiceRollout | None:
    """Return the rollout that a command starts, None if it changes nothing.

    Parameters
    ----------
    rollouts : mapping of str to ServiceRollout
        Newest rollout of each service.
    command : StartRollout
        Command to apply.
    """
    last = rollouts.get(command.service)
    refused: tuple[str, ...] = ()
    orders: tuple[tuple[str, int], ...] = ()
    if last is not None:
        is_known = is_repetition(last, command.version, command.started_ms)
        if last.phase.is_active or is_known:
            return None
        refused = last.refused
        if last.phase is RolloutPhase.ROLLED_BACK:
            refused = (*refused, last.version)
        orders = (*last.earlier_orders, (last.version, last.started_ms))
    return ServiceRollout(
        command.service,
        command.version,
        # The newest rollout of each service is kept, so the largest number is known.
        max((r.number for r in rollouts.values()), default=0) + 1,
        command.duration_s,
        command.started_ms,
        refused=tuple(v for v in refused if v != command.version)[
            -MAX_REFUSED_VERSIONS:
        ],
        earlier_orders=tuple(o for o in orders if _is_recent(o[1], command.started_ms)),
    )


def move_rollout(
    rollout: ServiceRollout | None, command: MoveRollout
) -> ServiceRollout | None:
    """Return the rollout in its next phase, None if the command changes nothing."""
    if rollout is None or rollout.number != command.number:
        return None
    if command.phase not in _NEXT_PHASES.get(rollout.phase, ()):
        return None
    return evolve(rollout, phase=command.phase, reason=command.reason)
