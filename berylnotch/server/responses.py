"""Response heads and error bodies towards callers."""

from __future__ import annotations

import json
import math
from http import HTTPStatus

from werkzeug.datastructures import Headers

from berylnotch.server.errors import Refusal

#: Header that tells whether a target ran the request.
RUN_HEADER = "X-Berylnotch-Run"
#: Header that names the request in logs and in ``berylnotch why``.
REQUEST_ID_HEADER = "X-Request-Id"

_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


def error_body(code: str, message: str, status: int) -> bytes:
    """Return an error in the form of the OpenAI interface."""
    kind = _TYPES.get(status, "server_error" if status >= 500 else "request_error")
    error = {"message": message, "type": kind, "param": None, "code": code}
    return json.dumps({"error": error}).encode()


def refusal_headers(refusal: Refusal, request_id: str) -> Headers:
    """Return the headers of a refusal."""
    headers = Headers()
    headers["Content-Type"] = "application/json"
    headers[REQUEST_ID_HEADER] = request_id
    headers[RUN_HEADER] = refusal.mark.value
    if refusal.retry_after_s > 0:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    else:
        # The well-known client retries by status alone unless told otherwise.
        headers["X-Should-Retry"] = "false"
    return headers


def whole_response(status: int, headers: Headers, body: bytes) -> bytes:
    """Return a response that closes its connection."""
    headers["Content-Length"] = str(len(body))
    return head(status, headers) + body


def refusal_response(refusal: Refusal, request_id: str) -> bytes:
    """Return a refusal as bytes."""
    body = error_body(refusal.code, refusal.message, refusal.status)
    return whole_response(refusal.status, refusal_headers(refusal, request_id), body)


def head(status: int, headers: Headers) -> bytes:
    """Return a status line and headers; the connection closes afterwards."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    headers["Connection"] = "close"
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


#: End of a chunked body.
LAST_CHUNK = b"0\r\n\r\n"


#: Seconds after which a caller may come back when a short outage is the cause.
SHORT_RETRY_S = 1.0
