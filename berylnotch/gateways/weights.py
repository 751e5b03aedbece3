"""The rate-limited weight store, from which engines load."""

from __future__ import annotations

from urllib.parse import quote

from attrs import frozen

from berylnotch.gateways.answers import read_answer
from berylnotch.gateways.http import UpstreamRequest


@frozen
class WeightsVersion:
    """A version that engines can load.

    Attributes
    ----------
    version : str
        Name of the version.
    size_bytes : int
        Length of the weights; 0 if the store doesn't tell.
    """

    version: str
    size_bytes: int = 0


@frozen
class WeightsVersions:
    """Versions of one model, oldest first."""

    versions: tuple[WeightsVersion, ...]

    def has(self, version: str) -> bool:
        """Whether the store holds a version."""
        return any(held.version == version for held in self.versions)


def build_versions(address: str, model: str, timeout_s: float) -> UpstreamRequest:
    """Build the request for a model's versions from the store at ``IP:PORT``."""
    url = f"http://{address}/weights/{quote(model, safe='')}"
    return UpstreamRequest(url, "GET", (), b"", timeout_s)


def read_versions(status: int, body: bytes) -> WeightsVersions:
    """Read the versions; raises `BusyError` above the store's rate."""
    return read_answer(WeightsVersions, status, body)
