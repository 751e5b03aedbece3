"""Operators that call controllers which stop, with the result of each call."""

from __future__ import annotations

import http.client
import json
import time

from attrs import frozen

from tests.fleet.processes import FleetProcess, configuration

#: Seconds for which an operator waits for an answer.
OPERATOR_TIMEOUT_S = 5.0


@frozen
class OperatorResult:
    """Result of one call.

    ``outcome`` is ``answered`` (a whole answer), ``cut`` (the connection ended after
    the call was sent) or ``unread`` (the call could not be sent).
    """

    call: str
    controller: str
    sent_at: float
    outcome: str
    status: int = 0
    version: int = 0


def call_controller(
    controller: FleetProcess,
    method: str,
    path: str,
    body: bytes = b"",
    version: int = 0,
) -> OperatorResult:
    """Make one call on a new connection and wait for all of its answer."""
    connection = http.client.HTTPConnection(
        controller.ip, controller.port, timeout=OPERATOR_TIMEOUT_S
    )
    sent_at, outcome, status = time.monotonic(), "unread", 0
    try:
        connection.connect()
        connection.request(method, path, body=body or None)
        outcome = "cut"
        response = connection.getresponse()
        response.read()
        outcome, status = "answered", response.status
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    call = f"{method} {path}"
    return OperatorResult(call, controller.name, sent_at, outcome, status, version)


def put_version(controller: FleetProcess, version: int) -> OperatorResult:
    """Send one configuration to one controller."""
    body = json.dumps(configuration(version)).encode()
    return call_controller(controller, "PUT", "/config", body, version)
