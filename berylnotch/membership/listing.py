"""Targets in the form of the platform's target list."""

from __future__ import annotations

from attrs import frozen


@frozen
class ModelVersion:
    """Version of a model's weights at a target."""

    name: str
    version: int


@frozen
class ListedTarget:
    """A target in the target list.

    Parameters
    ----------
    target_id : str
        Identity of the target.
    service : str
        Service that the target belongs to.
    address : str
        ``IP:port``.
    failure_domain : str
        Failure domain in which the target runs.
    slots : int
        Number of requests that the target runs concurrently.
    is_leaving : bool
        Whether the target gets no new work because it is leaving.
    born_ms : int
        Unix time in milliseconds of the target's start, 0 if unknown. A target may
        restart under the same identity; its memory is then empty.
    models : tuple of ModelVersion
        Weights that the target runs.
    software_version : str
        Version of the target's software, empty if unknown. A stream may go on only at
        targets of the version that began it.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    slots: int = 0
    is_leaving: bool = False
    born_ms: int = 0
    models: tuple[ModelVersion, ...] = ()
    software_version: str = ""
