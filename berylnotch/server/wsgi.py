"""WSGI environment of a complete request, and the answer of a WSGI application."""

from __future__ import annotations

import io
import re
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import unquote_to_bytes

from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.util.address import Address

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

_ENCODED_SLASH = re.compile("%2F", re.IGNORECASE)

#: Headers of an answer that the server sets.
_SERVER_HEADERS = frozenset(("content-length", "connection", "transfer-encoding"))


class BrokenBody(io.RawIOBase):
    """Input of a request whose body broke off; any read of it fails."""

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, _buffer: object) -> int:
        """Raise an error.

        Raises
        ------
        ValueError
            Always.
        """
        raise ValueError("the body broke off")


def make_environ(
    request: HttpRequest, address: Address, client: str, is_whole: bool
) -> dict[str, Any]:
    """Return the environment of a request.

    Parameters
    ----------
    request : HttpRequest
        Request whose body was read.
    address : Address
        Address of the server.
    client : str
        IP address of the caller.
    is_whole : bool
        Whether the body is whole. Otherwise reading it raises an error.
    """
    environ: dict[str, Any] = {
        "REQUEST_METHOD": request.method,
        "SCRIPT_NAME": "",
        "PATH_INFO": _decode_path(request.path),
        "QUERY_STRING": request.query,
        "SERVER_NAME": address.host,
        "SERVER_PORT": str(address.port),
        "SERVER_PROTOCOL": "HTTP/1.1",
        "REMOTE_ADDR": client,
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(request.body) if is_whole else BrokenBody(),
        "wsgi.input_terminated": True,
        "wsgi.errors": io.StringIO(),
        "wsgi.multithread": True,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
    }
    for name, value in request.headers:
        key = "HTTP_" + name.upper().replace("-", "_")
        environ[key] = f"{environ[key]}, {value}" if key in environ else value
    environ.pop("HTTP_TRANSFER_ENCODING", None)
    environ.pop("HTTP_CONTENT_LENGTH", None)
    environ["CONTENT_TYPE"] = environ.pop("HTTP_CONTENT_TYPE", "")
    if is_whole:
        environ["CONTENT_LENGTH"] = str(len(request.body))
    return environ


def _decode_path(path: str) -> str:
    # An encoded slash is part of a name, and separates none.
    parts = _ENCODED_SLASH.split(path)
    return "%2F".join(unquote_to_bytes(part).decode("latin-1") for part in parts)


def call_app(app: WsgiApp, environ: dict[str, Any]) -> tuple[int, Headers, bytes]:
    """Call an application; return the status, the headers and the body it answers.

    The status is 0 if the application did not start an answer.
    """
    status, headers = 0, Headers()

    def start_response(line: str, fields: list[tuple[str, str]], *_: object) -> None:
        nonlocal status, headers
        status = int(line.split()[0])
        headers = Headers(f for f in fields if f[0].lower() not in _SERVER_HEADERS)

    result = app(environ, start_response)
    try:
        return status, headers, b"".join(result)
    finally:
        close = getattr(result, "close", None)
        if close is not None:
            close()
