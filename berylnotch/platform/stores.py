"""Calls to the platform's KV stores."""

from __future__ import annotations

from attrs import frozen

from berylnotch.net.messages import Headers, HttpRequest, HttpResponse
from berylnotch.platform.fields import FieldError, as_object, get_integer, parse_json


@frozen
class StoreState:
    """State that a KV store reports.

    Parameters
    ----------
    incarnation : int
        Number that changes when the store restarts; the store is then empty.
    position : int
        Position in the store's events from which the next call continues.
    """

    incarnation: int
    position: int


def watch_request(host: str, position: int, wait_s: float) -> HttpRequest:
    """Return a long-poll request, answered at the next event or after ``wait_s``.

    Parameters
    ----------
    host : str
        Address of the store.
    position : int
        Position in the store's events after which the next event is awaited.
    wait_s : float
        Longest wait for an event in seconds.
    """
    headers = Headers((("Host", host), ("Wait-Ms", str(int(wait_s * 1000)))))
    return HttpRequest("GET", f"/kv-events?since={position}", headers)


def decode_state(response: HttpResponse) -> StoreState:
    """Decode the state of a store; the events in the response are ignored.

    Raises
    ------
    FieldError
        If the response cannot be decoded.
    """
    if response.status != 200:
        raise FieldError(f"KV store responded with status {response.status}")
    values = as_object(parse_json(response.body, is_strict=False), "events")
    # "nextToken" is a position in the events here; in the target list, the field of
    # the same name is a page token.
    return StoreState(
        get_integer(values, "bootEpoch"), get_integer(values, "nextToken", low=0)
    )
