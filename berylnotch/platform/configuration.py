"""Decoding of fleet configurations in the platform's JSON format."""

from __future__ import annotations

from typing import Any

import attrs

from berylnotch.errors import ConfigurationError
from berylnotch.net.reading import HttpLimits
from berylnotch.platform.fields import (
    FieldError,
    as_object,
    check_header_value,
    check_text,
    get_bool,
    get_integer,
    get_list,
    get_number,
    get_string,
    parse_json,
)
from berylnotch.routing.checks import check_configuration
from berylnotch.routing.errors import InvalidConfigurationError
from berylnotch.routing.model import (
    EngineProperties,
    FleetConfiguration,
    Organisation,
    Route,
    RouteKind,
    Service,
    Split,
)
from berylnotch.util.address import parse_address

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


def decode_configuration(body: bytes) -> FleetConfiguration:
    """Decode and validate a configuration.

    Raises
    ------
    InvalidConfigurationError
        If the configuration cannot be decoded or is invalid.
    """
    configuration = decode_held_configuration(body)
    check_configuration(configuration)
    return configuration


def decode_held_configuration(body: bytes) -> FleetConfiguration:
    """Decode the configuration in force.

    It was validated when an operator put it. A check that a later version adds must not
    leave routers without a configuration.

    Raises
    ------
    InvalidConfigurationError
        If the configuration cannot be decoded.
    """
    try:
        values = as_object(parse_json(body), "configuration")
        return _decode_fleet_configuration(values)
    except FieldError as error:
        raise InvalidConfigurationError(str(error)) from error


def decode_new_configuration(body: bytes) -> FleetConfiguration:
    """Decode and validate a configuration that an operator puts.

    It is checked more strictly than the configuration that the group holds already:
    without that one, routers would serve nothing.

    Raises
    ------
    InvalidConfigurationError
        If the configuration cannot be decoded or is invalid, or if logs, headers or
        connections could not use one of its values.
    """
    configuration = decode_configuration(body)
    try:
        _check_texts(configuration)
        for organisation in configuration.organisations or ():
            check_header_value(organisation.name, "name of a tenant")
        for service in configuration.services:
            if service.store_address:
                parse_address(service.store_address)
    except (ConfigurationError, FieldError) as error:
        raise InvalidConfigurationError(str(error)) from error
    return configuration


def _check_texts(value: Any) -> None:
    """Check all strings of a value and, recursively, of its parts."""
    if isinstance(value, str):
        check_text(value)
    elif isinstance(value, tuple):
        for item in value:
            _check_texts(item)
    elif attrs.has(type(value)):
        for field in attrs.fields(type(value)):
            _check_texts(getattr(value, field.name))


def _decode_fleet_configuration(values: dict[str, Any]) -> FleetConfiguration:
    organisations = None
    if values.get("tenants") is not None:
        items = get_list(values, "tenants")
        organisations = tuple(
            _decode_organisation(as_object(i, "tenant")) for i in items
        )
    return FleetConfiguration(
        version=get_integer(values, "version"),
        routes=tuple(
            _decode_route(as_object(r, "route")) for r in get_list(values, "routes")
        ),
        services=tuple(
            _decode_service(as_object(s, "service"))
            for s in get_list(values, "services")
        ),
        organisations=organisations,
        limits=_decode_limits(as_object(values.get("limits") or {}, "limits")),
    )


def _decode_route(values: dict[str, Any]) -> Route:
    route_type = get_string(values, "routeType")
    if route_type not in _ROUTE_KINDS:
        raise FieldError(f"routeType {route_type!r} is unknown")
    return Route(
        name=get_string(values, "name", ""),
        host=get_string(values, "hostname").lower(),
        prefix=get_string(values, "pathPrefix"),
        kind=_ROUTE_KINDS[route_type],
        timeout_s=get_number(values, "timeoutMs") / 1000,
        target_latency_s=get_number(values, "targetLatencyMs", 0) / 1000,
        priority=get_integer(values, "priority", 0),
        splits=_decode_splits(values),
        max_attempts=max(1, get_integer(values, "maxAttempts", 1)),
        is_open=get_bool(values, "public", False),
        is_resumable=get_bool(values, "resumable", False),
        max_gap_s=get_number(values, "gapTargetMs", 0) / 1000,
    )


def _decode_splits(values: dict[str, Any]) -> tuple[Split, ...]:
    if values.get("trafficSplit") is None:
        return (Split(get_string(values, "service"), 1.0),)
    items = (as_object(item, "split") for item in get_list(values, "trafficSplit"))
    splits = tuple(
        Split(get_string(i, "service"), get_number(i, "weight")) for i in items
    )
    if values.get("service") is None:
        return splits
    # A service beside a split gets no requests, but it must exist as well.
    return (*splits, Split(get_string(values, "service"), 0.0))


def _decode_service(values: dict[str, Any]) -> Service:
    engine = None
    if values.get("engine") is not None:
        engine = _decode_engine(as_object(values["engine"], "engine"))
    return Service(
        name=get_string(values, "name"),
        health_path=get_string(values, "healthPath", ""),
        max_connections=get_integer(values, "maxConns", 0),
        engine=engine,
        store_address=get_string(values, "kvStoreAddr", ""),
        failure_domain=get_string(values, "zone", ""),
        store_tokens=get_integer(values, "kvCapacityTokens", 0),
        store_link_mbps=get_number(values, "linkMbps", 0),
    )


def _decode_engine(values: dict[str, Any]) -> EngineProperties:
    models = (as_object(m, "model") for m in get_list(values, "models", []))
    return EngineProperties(
        slots=get_integer(values, "slots"),
        cache_tokens=get_integer(values, "kvCapacityTokens", 0),
        token_bytes=int(get_number(values, "tokenBytes", 0)),
        models=tuple(get_string(model, "name") for model in models),
        link_mbps=get_number(values, "linkMbps", 0),
        supports_migration=get_bool(values, "moves", False),
    )


def _decode_organisation(values: dict[str, Any]) -> Organisation:
    keys = get_list(values, "apiKeys", [])
    if not all(isinstance(key, str) for key in keys):
        raise FieldError("apiKeys holds something other than a string")
    counts_tokens = get_string(values, "unit", "") == "tokens"
    return Organisation(
        name=get_string(values, "name"),
        keys=tuple(keys),
        priority=get_integer(values, "priority", 0),
        rate=get_number(values, "ratePerS", 0),
        burst=get_number(values, "burst", 0),
        counts_tokens=counts_tokens,
        # Despite its name, "uncachedTokens" does not refer to a cache: it is the cost
        # of a request that states no token counts.
        default_cost=get_integer(values, "uncachedTokens", 1) if counts_tokens else 1,
        is_isolated=get_bool(values, "isolated", False),
    )


def _decode_limits(values: dict[str, Any]) -> HttpLimits:
    default = HttpLimits()
    return HttpLimits(
        header_bytes=get_integer(values, "maxHeaderBytes", default.header_bytes),
        body_bytes=get_integer(values, "maxBodyBytes", default.body_bytes),
        header_s=get_number(values, "headerTimeoutMs", default.header_s * 1000) / 1000,
        idle_s=get_number(values, "idleTimeoutMs", default.idle_s * 1000) / 1000,
    )
