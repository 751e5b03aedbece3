"""Checks that the head of a response is sound, for all readers of responses.

HTTP libraries accept heads that the protocol forbids, each library others. What such a
response says is not certain, so it is a failure of the server that sent it. The rules
are those of RFC 9110 and RFC 9112.
"""

from __future__ import annotations

import re
from enum import Enum

from berylnotch.errors import GatewayError
from berylnotch.net.messages import Headers

#: Versions of the protocol whose messages have the format of HTTP/1.1.
_VERSIONS = ("1.0", "1.1")

#: Status codes that the protocol defines or reserves.
MIN_STATUS, MAX_STATUS = 100, 599

#: Status of a server that goes on with another protocol. No request asks for one.
SWITCHING_PROTOCOLS = 101

#: Statuses of responses that have no body, whatever their headers announce.
BODILESS_STATUSES = frozenset((204, 304))

#: Length of a body in bytes, with as many digits as all readers of responses can count.
_LENGTH = re.compile(r"0*[0-9]{1,18}")

#: Number of characters of a malformed header that an error shows.
_MAX_SHOWN = 80

#: Control characters, which neither a reason phrase nor a value may contain.
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")

#: Version, status and reason phrase.
_STATUS_LINE = re.compile(rb"HTTP/(\d\.\d) (\d{3})(?: (.*))?", re.DOTALL)

#: Name of a header: a token of the protocol.
_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")


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


def parse_status_line(line: bytes) -> tuple[str, int]:
    """Return version and status of a status line without its line end.

    Raises
    ------
    UnsoundResponseError
        If the line is malformed, or as for `check_status`.
    """
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        raise UnsoundResponseError("malformed status line")
    version, status = match[1].decode("ascii"), int(match[2])
    check_status(version, status, match[3] or b"")
    return version, status


def parse_field(line: bytes) -> tuple[str, str]:
    """Return name and value of a header line without its line end.

    Raises
    ------
    UnsoundResponseError
        If the name is no token, such as one before a blank or with a control character,
        or if the value contains a control character.
    """
    name, colon, value = line.partition(b":")
    if not colon or not _NAME.fullmatch(name):
        raise UnsoundResponseError("malformed name of a header")
    if _CONTROL_CHARACTER.search(value):
        raise UnsoundResponseError("control character in a header")
    return name.decode("ascii"), value.decode("latin-1").strip(" \t")


class BodyEnd(Enum):
    """What shows where the body of a response ends."""

    #: There is no body.
    NO_BODY = "no body"
    #: Its length was announced.
    LENGTH = "length"
    #: An empty chunk is the last one.
    LAST_CHUNK = "last chunk"
    #: The server closes the connection.
    CLOSE = "close"


def find_body_end(method: str, version: str, status: int, headers: Headers) -> BodyEnd:
    """Return what shows where the body of a response ends.

    Parameters
    ----------
    method : str
        Method of the request.
    version : str
        Version of the protocol.
    status : int
        Status code of the response.
    headers : Headers
        All headers of the response.

    Raises
    ------
    UnsoundResponseError
        If the headers contradict each other, if a length is malformed, or if the body
        has a transfer coding other than chunked, which no request asks for.
    """
    if method == "HEAD" or status < 200 or status in BODILESS_STATUSES:
        return BodyEnd.NO_BODY
    codings = headers.elements("Transfer-Encoding")
    lengths = headers.elements("Content-Length")
    if codings:
        # The codings were introduced by HTTP/1.1.
        if lengths or version == "1.0":
            raise UnsoundResponseError("transfer coding with a length or in HTTP/1.0")
        if [coding.lower() for coding in codings if coding] != ["chunked"]:
            raise UnsoundResponseError(f"transfer coding {', '.join(codings)!r}")
        return BodyEnd.LAST_CHUNK
    if not lengths:
        return BodyEnd.CLOSE
    # A length may be repeated, by the server or by one in between.
    if len(set(lengths)) > 1 or not _LENGTH.fullmatch(lengths[0]):
        raise UnsoundResponseError(f"length {', '.join(lengths)[:_MAX_SHOWN]!r}")
    return BodyEnd.LENGTH
