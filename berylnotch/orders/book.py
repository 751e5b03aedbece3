"""Rollouts of services and the newest order to each engine."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from attrs import evolve

from berylnotch.control.records import OrderRecord, RolloutRecord


class OrderBook:
    """The newest rollout of each service and the newest order to each engine."""

    def __init__(self) -> None:
        self._rollouts: dict[str, RolloutRecord] = {}
        self._orders: dict[str, OrderRecord] = {}

    @property
    def rollouts(self) -> Mapping[str, RolloutRecord]:
        """Newest rollout of each service."""
        return self._rollouts

    @property
    def orders(self) -> Mapping[str, OrderRecord]:
        """Newest order to each engine."""
        return self._orders

    def start(self, rollout: RolloutRecord) -> None:
        """Replace a service's rollout and reset its engines' failure counts."""
        self._rollouts[rollout.service] = rollout
        for target, order in self._orders.items():
            if order.service == rollout.service:
                self._orders[target] = evolve(order, failures=0)

    def is_running(self, target: str) -> bool:
        """Tell whether an engine has an order without a result."""
        order = self._orders.get(target)
        return order is not None and not order.finished_ms

    def issue(self, order: OrderRecord) -> None:
        """Store a new order; the engine must not have a running order.

        An order for the same version as the previous one keeps its failure count.
        """
        previous = self._orders.get(order.target)
        is_retry = previous is not None and previous.version == order.version
        failures = previous.failures if is_retry else 0
        self._orders[order.target] = evolve(order, failures=failures)

    def finish(self, target: str, at_ms: int, ok: bool, detail: str) -> None:
        """Store the result of an engine's running order."""
        order = self._orders[target]
        failures = 0 if ok else order.failures + 1
        self._orders[target] = evolve(
            order,
            # 0 marks a running order.
            finished_ms=max(1, at_ms),
            ok=ok,
            failures=failures,
            detail=detail,
        )

    def prune(self, services: Mapping, targets: Mapping) -> None:
        """Remove the records of services and targets that no longer exist."""
        self._rollouts = {k: v for k, v in self._rollouts.items() if k in services}
        self._orders = {k: v for k, v in self._orders.items() if k in targets}

    def records(self) -> Iterator[object]:
        """Yield all records for a snapshot."""
        yield from self._rollouts.values()
        yield from self._orders.values()

    def restore(self, record: RolloutRecord | OrderRecord) -> None:
        """Store a record that was read from a snapshot."""
        if isinstance(record, RolloutRecord):
            self._rollouts[record.service] = record
        else:
            self._orders[record.target] = record
