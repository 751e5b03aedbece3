"""Parsing of addresses in the form ``IP:port``."""

from __future__ import annotations

import ipaddress

from attrs import frozen

from berylnotch.errors import ConfigurationError


@frozen
class Address:
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def pair(self) -> tuple[str, int]:
        """Host and port as the tuple that `socket` takes."""
        return self.host, self.port


def parse_address(text: str) -> Address:
    """Parse ``IP:port``.

    Raises
    ------
    ConfigurationError
        If the text is not an IPv4 address with a port from 0 to 65535.
    """
    host, _, port = text.strip().rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ConfigurationError(
            f"{text!r} is no address; use an IPv4 address and a port, 10.0.0.1:8000"
        ) from None
    if not port.isdecimal() or int(port) > 65535:
        raise ConfigurationError(f"port {port!r} of {text!r} is not from 0 to 65535")
    return Address(host, int(port))
