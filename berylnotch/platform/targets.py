"""The platform's list of targets, and calls to engines."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

from attrs import frozen

from berylnotch.errors import ConfigurationError
from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.net.messages import Headers, HttpRequest, HttpResponse
from berylnotch.platform import names
from berylnotch.platform.fields import (
    FieldError,
    array,
    as_object,
    flag,
    integer,
    parse_json,
    text,
)
from berylnotch.util.address import parse_address

_STATES = {"ready": False, "draining": True}


@frozen
class TargetPage:
    """A page of the list.

    ``skipped`` counts the entries that name no usable target; ``next_page`` is
    empty on the last page.
    """

    targets: tuple[ListedTarget, ...]
    skipped: int
    next_page: str


@frozen
class EngineReport:
    """What an engine says of itself, some hundred ms ago.

    ``orders_taken`` counts the orders that it accepted since it started.
    """

    target_id: str
    born_ms: int | None
    is_busy: bool
    orders_taken: int
    models: tuple[ModelVersion, ...]


@frozen
class WeightsOrder:
    """Order to load weights.

    ``orders_taken`` makes the engine refuse it if it took another order meanwhile.
    """

    model: str
    version: int
    holder: str
    epoch: int
    target_id: str
    orders_taken: int | None


def list_request(host: str, page: str) -> HttpRequest:
    """Return the call for a page of the list."""
    target = "/instances"
    if page:
        target += f"?pageToken={quote(page, safe='')}"
    return HttpRequest("GET", target, Headers((("Host", host),)))


def decode_page(response: HttpResponse) -> TargetPage:
    """Read a page of the list.

    Raises
    ------
    FieldError
        If the answer is no page.
    """
    if response.status != 200:
        raise FieldError(f"list answered {response.status}")
    # An entry of another writer may hold anything; it must not hide the others.
    values = as_object(parse_json(response.body, is_strict=False), "list")
    items = array(values, "instances")
    targets = [target for target in map(_listed, items) if target is not None]
    # "nextToken" is the following page here; a position among events elsewhere.
    next_page = values.get("nextToken")
    if next_page is not None and not isinstance(next_page, str):
        raise FieldError("nextToken is neither a string nor null")
    return TargetPage(tuple(targets), len(items) - len(targets), next_page or "")


def report_request(host: str) -> HttpRequest:
    """Return the call for an engine's report."""
    return HttpRequest("GET", "/report", Headers((("Host", host),)))


def decode_report(response: HttpResponse) -> EngineReport:
    """Read an engine's report.

    Raises
    ------
    FieldError
        If the answer is no report.
    """
    if response.status != 200:
        raise FieldError(f"report answered {response.status}")
    values = as_object(parse_json(response.body, is_strict=False), "report")
    return EngineReport(
        target_id=text(values, "id", "") or response.headers.get(names.TARGET_ID),
        born_ms=integer(values, "born", None),
        is_busy=flag(values, "busy", False),
        orders_taken=integer(values, "seqNo", 0),
        models=_models(values),
    )


def order_request(host: str, order: WeightsOrder) -> HttpRequest:
    """Return the call that orders an engine to load weights."""
    body: dict[str, Any] = {
        "op": "version",
        "model": order.model,
        "version": order.version,
        # Runs finish first; a stream is neither reset nor mixed.
        "method": "wait",
        "holder": order.holder,
        "fence": order.epoch,
    }
    if order.orders_taken is not None:
        # The name says nothing: the order holds only at this count of orders.
        body["expectedRev"] = order.orders_taken
    headers = Headers(
        (
            ("Host", host),
            ("Content-Type", "application/json"),
            (names.EXPECT_TARGET, order.target_id),
        )
    )
    return HttpRequest("POST", "/order", headers, json.dumps(body).encode())


def _listed(value: Any) -> ListedTarget | None:
    """Return a usable target; entries of other writers are none."""
    try:
        values = as_object(value, "entry")
        state = text(values, "state")
        if state not in _STATES:
            return None
        return ListedTarget(
            target_id=text(values, "id"),
            service=text(values, "service"),
            address=str(parse_address(text(values, "address"))),
            failure_domain=text(values, "zone"),
            slots=integer(values, "slots", 0),
            is_leaving=_STATES[state],
            born_ms=integer(values, "born", 0),
            models=_models(values),
        )
    except (FieldError, ConfigurationError):
        return None


def _models(values: dict[str, Any]) -> tuple[ModelVersion, ...]:
    items = (as_object(item, "model") for item in array(values, "models", []))
    return tuple(ModelVersion(text(i, "name"), integer(i, "version")) for i in items)
