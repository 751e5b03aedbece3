"""Configurations as the platform writes them."""

from __future__ import annotations

from typing import Any

from berylnotch.net.reading import HttpLimits
from berylnotch.platform.fields import (
    FieldError,
    array,
    as_object,
    flag,
    integer,
    number,
    parse_json,
    text,
)
from berylnotch.routing.checks import check
from berylnotch.routing.errors import InvalidConfigurationError
from berylnotch.routing.model import (
    EngineKind,
    FleetConfiguration,
    Organisation,
    Route,
    RouteKind,
    Service,
    Split,
)

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


def decode_configuration(body: bytes) -> FleetConfiguration:
    """Read and check a configuration.

    Raises
    ------
    InvalidConfigurationError
        If it cannot be read in full or breaks a rule.
    """
    try:
        values = as_object(parse_json(body), "configuration")
        configuration = _configuration(values)
    except FieldError as error:
        raise InvalidConfigurationError(str(error)) from error
    check(configuration)
    return configuration


def _configuration(values: dict[str, Any]) -> FleetConfiguration:
    organisations = None
    if values.get("tenants") is not None:
        items = array(values, "tenants")
        organisations = tuple(_organisation(as_object(i, "tenant")) for i in items)
    return FleetConfiguration(
        version=integer(values, "version"),
        routes=tuple(_route(as_object(r, "route")) for r in array(values, "routes")),
        services=tuple(
            _service(as_object(s, "service")) for s in array(values, "services")
        ),
        organisations=organisations,
        limits=_limits(as_object(values.get("limits") or {}, "limits")),
    )


def _route(values: dict[str, Any]) -> Route:
    kind = text(values, "routeType")
    if kind not in _KINDS:
        raise FieldError(f"routeType {kind!r} is unknown")
    return Route(
        name=text(values, "name", ""),
        host=text(values, "hostname").lower(),
        prefix=text(values, "pathPrefix"),
        kind=_KINDS[kind],
        timeout_s=number(values, "timeoutMs") / 1000,
        target_latency_s=number(values, "targetLatencyMs", 0) / 1000,
        priority=integer(values, "priority", 0),
        splits=_splits(values),
        max_attempts=max(1, integer(values, "maxAttempts", 1)),
        is_open=flag(values, "public", False),
        is_resumable=flag(values, "resumable", False),
        max_gap_s=number(values, "gapTargetMs", 0) / 1000,
    )


def _splits(values: dict[str, Any]) -> tuple[Split, ...]:
    if values.get("trafficSplit") is None:
        return (Split(text(values, "service"), 1.0),)
    items = (as_object(item, "split") for item in array(values, "trafficSplit"))
    return tuple(Split(text(i, "service"), number(i, "weight")) for i in items)


def _service(values: dict[str, Any]) -> Service:
    engine = None
    if values.get("engine") is not None:
        engine = _engine(as_object(values["engine"], "engine"))
    return Service(
        name=text(values, "name"),
        health_path=text(values, "healthPath", ""),
        max_connections=integer(values, "maxConns", 0),
        engine=engine,
        store_address=text(values, "kvStoreAddr", ""),
        failure_domain=text(values, "zone", ""),
        store_tokens=integer(values, "kvCapacityTokens", 0),
        store_link_mbps=number(values, "linkMbps", 0),
    )


def _engine(values: dict[str, Any]) -> EngineKind:
    models = (as_object(m, "model") for m in array(values, "models", []))
    return EngineKind(
        slots=integer(values, "slots"),
        cache_tokens=integer(values, "kvCapacityTokens", 0),
        token_bytes=int(number(values, "tokenBytes", 0)),
        models=tuple(text(model, "name") for model in models),
        link_mbps=number(values, "linkMbps", 0),
        moves_runs=flag(values, "moves", False),
    )


def _organisation(values: dict[str, Any]) -> Organisation:
    keys = array(values, "apiKeys", [])
    if not all(isinstance(key, str) for key in keys):
        raise FieldError("apiKeys holds something other than a string")
    counts_tokens = text(values, "unit", "") == "tokens"
    return Organisation(
        name=text(values, "name"),
        keys=tuple(keys),
        priority=integer(values, "priority", 0),
        rate=number(values, "ratePerS", 0),
        burst=number(values, "burst", 0),
        counts_tokens=counts_tokens,
        # "uncachedTokens" has nothing to do with a cache: it is what a request
        # without token counts costs.
        default_cost=integer(values, "uncachedTokens", 1) if counts_tokens else 1,
        is_isolated=flag(values, "isolated", False),
    )


def _limits(values: dict[str, Any]) -> HttpLimits:
    default = HttpLimits()
    return HttpLimits(
        header_bytes=integer(values, "maxHeaderBytes", default.header_bytes),
        body_bytes=integer(values, "maxBodyBytes", default.body_bytes),
        header_s=number(values, "headerTimeoutMs", default.header_s * 1000) / 1000,
        idle_s=number(values, "idleTimeoutMs", default.idle_s * 1000) / 1000,
    )
