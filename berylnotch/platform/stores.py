"""Calls to the platform's stores of KV cache."""

from __future__ import annotations

from attrs import frozen

from berylnotch.net.messages import Headers, HttpRequest, HttpResponse
from berylnotch.platform.fields import FieldError, as_object, integer, parse_json


@frozen
class StoreState:
    """What a store says of itself.

    ``incarnation`` changes when it restarts, empty; ``position`` is where the next
    call goes on among its events.
    """

    incarnation: int
    position: int


def watch_request(host: str, position: int, wait_s: float) -> HttpRequest:
    """Return a call that is answered at the next event, or after ``wait_s``."""
    headers = Headers((("Host", host), ("Wait-Ms", str(int(wait_s * 1000)))))
    return HttpRequest("GET", f"/kv-events?since={position}", headers)


def decode_state(response: HttpResponse) -> StoreState:
    """Read the state of a store; its events are not looked at.

    Raises
    ------
    FieldError
        If the answer is none of a store.
    """
    if response.status != 200:
        raise FieldError(f"store answered {response.status}")
    values = as_object(parse_json(response.body, is_strict=False), "events")
    # "nextToken" is a position among events here; it is a page elsewhere.
    return StoreState(integer(values, "bootEpoch"), integer(values, "nextToken"))
