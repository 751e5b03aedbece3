"""Changes between two target lists."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from berylnotch.membership.listing import ListedTarget
from berylnotch.util.lines import EventLog


def report_list_changes(
    previous: Iterable[ListedTarget],
    targets: Iterable[ListedTarget],
    forget_engine: Callable[[str], None],
    log: EventLog,
) -> None:
    """Log the changes of the target list, and forget engines that lost their memory.

    Parameters
    ----------
    previous, targets : iterable of ListedTarget
        Targets before and after the change.
    forget_engine : callable
        Called with the identity of each target that has restarted or is gone.
    log : EventLog
        Log of the process.
    """
    remaining = {target.target_id: target for target in previous}
    for target in targets:
        old = remaining.pop(target.target_id, None)
        if old is not None and old.born_ms != target.born_ms:
            forget_engine(target.target_id)
        if (
            old is None
            or old.is_leaving != target.is_leaving
            or old.software_version != target.software_version
        ):
            log.info(
                "target_listed",
                target=target.target_id,
                service=target.service,
                at=target.address,
                is_leaving=target.is_leaving,
                software_version=target.software_version,
            )
    for target_id in remaining:
        forget_engine(target_id)
        log.info("target_gone", target=target_id)
