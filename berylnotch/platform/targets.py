"""Encoding and decoding of target lists, engine reports and weights orders."""

from __future__ import annotations

import json
from ipaddress import IPv4Address
from typing import Any
from urllib.parse import quote

from attrs import frozen

from berylnotch.errors import ConfigurationError
from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.membership.stream_versions import (
    MAX_VERSION_CHARS,
    UNKNOWN_VERSION,
)
from berylnotch.net.messages import Headers, HttpRequest, HttpResponse
from berylnotch.platform import names
from berylnotch.platform.fields import (
    FieldError,
    as_object,
    get_bool,
    get_integer,
    get_list,
    get_name,
    get_string,
    get_token,
    parse_json,
)
from berylnotch.util.address import parse_address
from berylnotch.util.json_entries import EntryError, decode_entry, split_entries

#: Largest number of concurrent requests of a target that the target list may state.
MAX_SLOTS = 1_000_000

#: Maximum number of characters of a skipped entry that are quoted in the log.
MAX_QUOTED_LENGTH = 60

#: Usable states of a target in the list, and whether the target is leaving.
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


@frozen
class TargetPage:
    """A page of the target list.

    Parameters
    ----------
    targets : tuple of ListedTarget
        Usable targets of the page.
    skipped_entries : tuple of str
        Beginning of each entry that describes no usable target, and the reason.
    next_page : str
        Token of the next page, empty on the last page.
    """

    targets: tuple[ListedTarget, ...]
    skipped_entries: tuple[str, ...]
    next_page: str

    @property
    def skipped(self) -> int:
        """Number of entries that describe no usable target."""
        return len(self.skipped_entries)


@frozen
class EngineReport:
    """An engine's report of its state, which may be some hundred milliseconds old.

    Parameters
    ----------
    target_id : str
        Identity of the engine.
    born_ms : int or None
        Unix time in milliseconds of the engine's start, None if not reported.
    is_busy : bool
        Whether the engine is carrying out an order.
    orders_taken : int
        Number of orders that the engine has accepted since its start.
    models : tuple of ModelVersion
        Weights that the engine runs.
    """

    target_id: str
    born_ms: int | None
    is_busy: bool
    orders_taken: int
    models: tuple[ModelVersion, ...]


@frozen
class WeightsOrder:
    """Order to load weights.

    Parameters
    ----------
    model : str
        Name of the model.
    version : int
        Weights version to load.
    holder : str
        Name of the process that sends the order.
    epoch : int
        Fencing token of the leader that sends the order.
    target_id : str
        Identity that the engine must have to accept the order.
    orders_taken : int or None
        Number of accepted orders in the engine's report. The engine refuses the order
        if its number has changed since the report. None omits this check.
    """

    model: str
    version: int
    holder: str
    epoch: int
    target_id: str
    orders_taken: int | None


def list_request(host: str, page_token: str) -> HttpRequest:
    """Return the call for a page of the target list, the first without a token."""
    target = "/instances"
    if page_token:
        target += f"?pageToken={quote(page_token, safe='')}"
    return HttpRequest("GET", target, Headers((("Host", host),)))


def decode_page(response: HttpResponse) -> TargetPage:
    """Decode a page of the target list.

    Raises
    ------
    FieldError
        If the response is not a page of the list.
    """
    if response.status != 200:
        raise FieldError(f"target list responded with status {response.status}")
    # Other systems write entries too. A malformed entry must not hide the others.
    try:
        parts = split_entries(response.body, "instances")
        # "nextToken" is a page token here; in the events of KV stores, the field of
        # the same name is a position.
        next_page = decode_entry(parts.fields.get("nextToken", "null"))
    except EntryError as error:
        raise FieldError(f"not a target list: {error}") from error
    if next_page is not None and not isinstance(next_page, str):
        raise FieldError("nextToken is neither a string nor null")
    targets, skipped_entries = [], []
    for text in parts.entries:
        try:
            targets.append(_decode_target(text))
        except (EntryError, FieldError, ConfigurationError) as error:
            skipped_entries.append(f"{text[:MAX_QUOTED_LENGTH]!a}: {error}")
    return TargetPage(tuple(targets), tuple(skipped_entries), next_page or "")


def report_request(host: str) -> HttpRequest:
    """Return the call for an engine's report."""
    return HttpRequest("GET", "/report", Headers((("Host", host),)))


def decode_report(response: HttpResponse) -> EngineReport:
    """Decode an engine's report.

    Raises
    ------
    FieldError
        If the response is not a report.
    """
    if response.status != 200:
        raise FieldError(f"engine report responded with status {response.status}")
    values = as_object(parse_json(response.body, is_strict=False), "report")
    return EngineReport(
        target_id=get_token(values, "id")
        if values.get("id")
        else response.headers.get(names.TARGET_ID),
        born_ms=get_integer(values, "born", None, low=0),
        is_busy=get_bool(values, "busy", False),
        orders_taken=get_integer(values, "seqNo", 0, low=0),
        models=_decode_models(values),
    )


def order_request(host: str, order: WeightsOrder) -> HttpRequest:
    """Return the call that orders an engine to load weights."""
    body: dict[str, Any] = {
        "op": "version",
        "model": order.model,
        "version": order.version,
        # The engine finishes its runs before it loads the weights, so that no stream
        # is reset or continues with other weights.
        "method": "wait",
        "holder": order.holder,
        "fence": order.epoch,
    }
    if order.orders_taken is not None:
        # The engine refuses the order if its number of accepted orders differs.
        body["expectedRev"] = order.orders_taken
    headers = Headers(
        (
            ("Host", host),
            ("Content-Type", "application/json"),
            (names.EXPECTED_TARGET, order.target_id),
        )
    )
    return HttpRequest("POST", "/order", headers, json.dumps(body).encode())


def _decode_target(text: str) -> ListedTarget:
    """Return the target of a list entry.

    Other systems may write entries with missing, malformed or unknown values.

    Raises
    ------
    EntryError, FieldError, ConfigurationError
        If the entry describes no usable target.
    """
    values = as_object(decode_entry(text), "entry")
    state = get_name(values, "state")
    if state not in _IS_LEAVING_BY_STATE:
        raise FieldError(f"state {state!r} is unknown")
    return ListedTarget(
        target_id=_decode_id(values),
        service=get_name(values, "service"),
        address=_decode_address(values),
        failure_domain=get_name(values, "zone"),
        slots=get_integer(values, "slots", 0, low=0, high=MAX_SLOTS),
        is_leaving=_IS_LEAVING_BY_STATE[state],
        born_ms=get_integer(values, "born", 0, low=0),
        models=_decode_models(values),
        software_version=_decode_software_version(values),
    )


def _decode_id(values: dict[str, Any]) -> str:
    target_id = get_token(values, "id")
    # Addresses of stores and identities of targets are told apart by the colon.
    if ":" in target_id:
        raise FieldError("id holds a colon")
    return target_id


def _decode_address(values: dict[str, Any]) -> str:
    """Return the address of an entry, which must be one that a process can connect to.

    Raises
    ------
    ConfigurationError
        If the address is malformed.
    FieldError
        If it names no port or no single host.
    """
    address = parse_address(get_string(values, "address"))
    ip = IPv4Address(address.host)
    if not address.port or ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise FieldError(f"address {address} names no port or no single host")
    return str(address)


def _decode_software_version(values: dict[str, Any]) -> str:
    """Return the software version of an entry, empty if it is missing or malformed.

    Work may still be sent to a target without a version; its streams go on nowhere.
    """
    version = values.get("version")
    if not isinstance(version, str) or len(version) > MAX_VERSION_CHARS:
        return UNKNOWN_VERSION
    return version if version.isprintable() else UNKNOWN_VERSION


def _decode_models(values: dict[str, Any]) -> tuple[ModelVersion, ...]:
    items = (as_object(item, "model") for item in get_list(values, "models", []))
    return tuple(
        ModelVersion(get_name(i, "name"), get_integer(i, "version", low=0))
        for i in items
    )
