"""Queries to the rate-limited weight store, from which engines load weights."""

from __future__ import annotations

from urllib.parse import quote

from attrs import frozen

from berylnotch.gateways.answers import decode_response
from berylnotch.gateways.http import UpstreamRequest


@frozen
class WeightsVersion:
    """A weights version that engines can load.

    Attributes
    ----------
    version : str
        Name of the version.
    size_bytes : int
        Size of the weights in bytes; 0 if the store does not report it.
    """

    version: str
    size_bytes: int = 0


@frozen
class WeightsVersions:
    """Weights versions of one model, oldest first."""

    versions: tuple[WeightsVersion, ...]

    def has_version(self, version: str) -> bool:
        """Return whether the store holds a version."""
        return any(entry.version == version for entry in self.versions)


def build_versions(address: str, model: str, timeout_s: float) -> UpstreamRequest:
    """Build the request for a model's weights versions to a store at ``IP:PORT``."""
    url = f"http://{address}/weights/{quote(model, safe='')}"
    return UpstreamRequest(url, "GET", (), b"", timeout_s)


def read_versions(status: int, body: bytes) -> WeightsVersions:
    """Decode the versions; raises `InvalidResponseError` or `BusyError`.

    `BusyError` also reports that the store's rate limit is exceeded.
    """
    return decode_response(WeightsVersions, status, body)
