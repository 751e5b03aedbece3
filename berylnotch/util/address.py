"""Parsing of addresses in the form ``IP:port``."""

from __future__ import annotations

import ipaddress

from attrs import frozen

from berylnotch.errors import ConfigurationError

_MAX_PORT = 65535

#: Maximum number of characters of a malformed address in an error message.
_MAX_QUOTED_LENGTH = 80


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
    quoted = repr(text[:_MAX_QUOTED_LENGTH])
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ConfigurationError(
            f"{quoted} is no address; use an IPv4 address and a port, 10.0.0.1:8000"
        ) from None
    # `int` accepts digits of all scripts, and raises an error for thousands of digits.
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(_MAX_PORT))
    if not is_number or int(port) > _MAX_PORT:
        raise ConfigurationError(f"port of {quoted} is not from 0 to {_MAX_PORT}")
    return Address(host, int(port))
