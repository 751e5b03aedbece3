"""Calls to engines that copy the KV cache of a run to another engine."""

from __future__ import annotations

import json
from urllib.parse import quote

from attrs import frozen

from berylnotch.net.messages import Headers, HttpRequest, HttpResponse
from berylnotch.platform.fields import FieldError, as_object, get_token, parse_json


@frozen
class MoveAnswer:
    """Engine's response to a call that copies a run's KV cache.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    handle : str
        Identifier of the copy, empty if the response has none. If the call was to stop
        the run, a handle means that the run has stopped, even if the copy failed.
    is_copied : bool
        Whether the copy is complete.
    """

    status: int
    handle: str = ""
    is_copied: bool = False

    @property
    def is_refusal(self) -> bool:
        """Whether the engine states that it did not carry out the call."""
        return 400 <= self.status < 500

    @property
    def is_busy(self) -> bool:
        """Whether the engine refused the call because it carries out another one."""
        return self.status == 409


def move_request(
    host: str, request_id: str, destination: str, stops_run: bool
) -> HttpRequest:
    """Return the call that copies a run's KV cache to another engine.

    Parameters
    ----------
    host : str
        Address of the engine that executes the run.
    request_id : str
        Identifier of the request.
    destination : str
        Address of the engine that receives the copy.
    stops_run : bool
        Whether the engine stops the run first, so that the copy is complete.
    """
    body = {"id": request_id, "to": destination, "last": stops_run}
    headers = Headers((("Host", host), ("Content-Type", "application/json")))
    return HttpRequest("POST", "/kv-move", headers, json.dumps(body).encode())


def decode_move(response: HttpResponse) -> MoveAnswer:
    """Decode the response to a call that copies a run's KV cache.

    Raises
    ------
    FieldError
        If a response with status 200 has no readable handle of a copy.
    """
    if response.status == 200:
        values = as_object(parse_json(response.body, is_strict=False), "copy")
        return MoveAnswer(200, get_token(values, "handle"), is_copied=True)
    if response.status != 503 or not response.body:
        return MoveAnswer(response.status)
    try:
        values = as_object(parse_json(response.body, is_strict=False), "refusal")
        handle = get_token(values, "handle") if values.get("handle") else ""
        return MoveAnswer(503, handle)
    except FieldError:
        # A refusal whose body cannot be decoded counts as a refusal without a handle.
        return MoveAnswer(503)


def run_origin(address: str, handle: str) -> str:
    """Return the location of a stopped run's KV cache in the engines' format."""
    return f"{address}/{handle}"


def free_copy_request(host: str, handle: str) -> HttpRequest:
    """Return the call that frees a copy at its source and its destination."""
    target = f"/kv-handle/{quote(handle, safe='')}"
    return HttpRequest("DELETE", target, Headers((("Host", host),)))
