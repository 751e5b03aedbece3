"""Response heads and error bodies that are sent to callers."""

from __future__ import annotations

import json
import math
from http import HTTPStatus

from werkzeug.datastructures import Headers

from berylnotch.server.errors import Refusal

#: Header that tells whether a target ran the request.
RUN_HEADER = "X-Berylnotch-Run"
#: Header with the id that identifies the request in logs and ``berylnotch why``.
REQUEST_ID_HEADER = "X-Request-Id"

_ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


def error_body(code: str, message: str, status: int) -> bytes:
    """Return an error body in the format of the OpenAI API."""
    error_type = _ERROR_TYPES.get(
        status, "server_error" if status >= 500 else "request_error"
    )
    error = {"message": message, "type": error_type, "param": None, "code": code}
    return json.dumps({"error": error}).encode()


def refusal_headers(refusal: Refusal, request_id: str) -> Headers:
    """Return the headers of a refusal."""
    headers = Headers()
    headers["Content-Type"] = "application/json"
    headers[REQUEST_ID_HEADER] = request_id
    headers[RUN_HEADER] = refusal.run_status.value
    if refusal.is_served_elsewhere:
        headers["Retry-After"] = "0"
    elif refusal.retry_after_s > 0:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    else:
        # Without this header, the OpenAI client decides by the status alone whether it
        # retries.
        headers["X-Should-Retry"] = "false"
    return headers


def complete_response(status: int, headers: Headers, body: bytes) -> bytes:
    """Return a complete response that announces the end of the connection."""
    headers["Content-Length"] = str(len(body))
    return response_head(status, headers) + body


def refusal_response(refusal: Refusal, request_id: str) -> bytes:
    """Return the complete HTTP response for a refusal."""
    body = error_body(refusal.code, refusal.message, refusal.status)
    return complete_response(refusal.status, refusal_headers(refusal, request_id), body)


def response_head(status: int, headers: Headers) -> bytes:
    """Return a status line and headers, with ``Connection: close`` added."""
    try:
        reason_phrase = HTTPStatus(status).phrase
    except ValueError:
        reason_phrase = "Status"
    headers["Connection"] = "close"
    lines = [f"HTTP/1.1 {status} {reason_phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


#: End of a chunked body.
LAST_CHUNK = b"0\r\n\r\n"


#: Seconds after which a caller may retry when the cause is a short outage.
SHORT_RETRY_S = 1.0
