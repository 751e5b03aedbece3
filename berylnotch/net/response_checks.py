"""Checks that the head of a response is sound, for all readers of responses.

HTTP libraries accept heads that the protocol forbids, each library others. What such a
response says is not certain, so it is a failure of the server that sent it. The rules
are those of RFC 9110 and RFC 9112.
"""

from __future__ import annotations

import re

from berylnotch.errors import GatewayError

#: Versions of the protocol whose messages have the format of HTTP/1.1.
_VERSIONS = ("1.0", "1.1")

#: Status codes that the protocol defines or reserves.
MIN_STATUS, MAX_STATUS = 100, 599

#: Status of a server that goes on with another protocol. No request asks for one.
SWITCHING_PROTOCOLS = 101

#: Control characters, which neither a reason phrase nor a value may contain.
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class UnsoundResponseError(GatewayError):
    """A response breaks the protocol."""


def check_status(version: str, status: int, reason: bytes) -> None:
    """Check the parts of a status line.

    Parameters
    ----------
    version : str
        Version of the protocol, such as ``1.1``.
    status : int
        Status code, also that of an interim response.
    reason : bytes
        Reason phrase, which may be empty.

    Raises
    ------
    UnsoundResponseError
        If the version or the status is not one of HTTP/1.1, if the server switches to
        another protocol, or if the reason contains a control character.
    """
    if version not in _VERSIONS:
        raise UnsoundResponseError(f"response of HTTP version {version}")
    if not MIN_STATUS <= status <= MAX_STATUS or status == SWITCHING_PROTOCOLS:
        raise UnsoundResponseError(f"response has the status {status:03d}")
    if _CONTROL_CHARACTER.search(reason):
        raise UnsoundResponseError("control character in a reason phrase")
