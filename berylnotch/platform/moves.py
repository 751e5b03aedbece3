"""Calls by which the memory of a run is copied from one engine to another."""

from __future__ import annotations

import json
from urllib.parse import quote

from attrs import frozen

from berylnotch.net.messages import Headers, HttpRequest, HttpResponse
from berylnotch.platform.fields import FieldError, as_object, parse_json, text


@frozen
class MoveAnswer:
    """What an engine answers to a call for a copy of a run.

    Parameters
    ----------
    status : int
        Status of the answer.
    handle : str
        What the copy is known by, empty if there is none. A run that was to stop has
        stopped if there is one.
    is_copied : bool
        Whether the copy is complete.
    """

    status: int
    handle: str = ""
    is_copied: bool = False


def move_request(host: str, request_id: str, to: str, stops_run: bool) -> HttpRequest:
    """Return the call that copies a run's memory to another engine.

    Parameters
    ----------
    host : str
        Address of the engine that runs the request.
    request_id : str
        The request.
    to : str
        Address of the other engine.
    stops_run : bool
        Whether the run stops first, so that the copy is whole.
    """
    body = {"id": request_id, "to": to, "last": stops_run}
    headers = Headers((("Host", host), ("Content-Type", "application/json")))
    return HttpRequest("POST", "/kv-move", headers, json.dumps(body).encode())


def decode_move(response: HttpResponse) -> MoveAnswer:
    """Read the answer to such a call.

    Raises
    ------
    FieldError
        If a success names no copy.
    """
    if response.status == 200:
        values = as_object(parse_json(response.body, is_strict=False), "copy")
        return MoveAnswer(200, text(values, "handle"), is_copied=True)
    if response.status != 503 or not response.body:
        return MoveAnswer(response.status)
    try:
        values = as_object(parse_json(response.body, is_strict=False), "refusal")
        return MoveAnswer(503, text(values, "handle", ""))
    except FieldError:
        # A refusal need not have a body that can be read.
        return MoveAnswer(503)


def run_origin(address: str, handle: str) -> str:
    """Return what tells an engine where the memory of a stopped run is."""
    return f"{address}/{handle}"


def free_copy_request(host: str, handle: str) -> HttpRequest:
    """Return the call that frees a copy at both of its engines."""
    target = f"/kv-handle/{quote(handle, safe='')}"
    return HttpRequest("DELETE", target, Headers((("Host", host),)))
