"""Targets as the platform lists them."""

from __future__ import annotations

from attrs import frozen


@frozen
class ModelVersion:
    """Version of a model's weights at a target."""

    name: str
    version: int


@frozen
class ListedTarget:
    """A target of the list.

    Parameters
    ----------
    target_id : str
        Identity of the target.
    service : str
        Service that it belongs to.
    address : str
        ``IP:port``.
    failure_domain : str
        Where it runs.
    slots : int
        Requests that it runs at once.
    is_leaving : bool
        Whether it gets no new work.
    born_ms : int
        Unix milliseconds of its start, 0 if unknown. A target may start again
        under its identity and then holds nothing of before.
    models : tuple of ModelVersion
        Weights that it runs.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    slots: int = 0
    is_leaving: bool = False
    born_ms: int = 0
    models: tuple[ModelVersion, ...] = ()
