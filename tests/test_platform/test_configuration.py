"""Decoding of configurations, and rejection of each kind of invalid configuration."""

import json

import pytest

from berylnotch.platform.configuration import decode_configuration
from berylnotch.routing.errors import InvalidConfigurationError
from berylnotch.routing.model import RouteKind, Split
from tests.fleet.processes import configuration


def encode(values):
    return json.dumps(values).encode()


def with_field(path, value):
    """Return a configuration with one field replaced."""
    values = configuration(3)
    container = values
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return values


def test_decodes_routes_services_and_organisations():
    decoded = decode_configuration(encode(configuration(3)))
    chat, book, _ = decoded.routes
    assert decoded.version == 3
    assert chat.kind is RouteKind.STREAM and chat.is_resumable and chat.is_retryable
    assert book.kind is RouteKind.NON_IDEMPOTENT and not book.is_retryable
    assert book.splits == (Split("desk", 1.0),)
    assert chat.timeout_s == 5.0 and chat.max_gap_s == 0.25
    assert decoded.services[0].engine.models == ("model-1",)
    assert decoded.organisations[0].counts_tokens
    assert decoded.organisations[0].default_cost == 200
    assert decoded.limits.header_s == 1.0


def test_without_organisations_no_key_is_needed():
    values = configuration(3)
    del values["tenants"]
    assert decode_configuration(encode(values)).organisations is None


def test_unknown_fields_are_ignored():
    values = with_field(("routes", 0, "novelty"), {"a": 1})
    assert decode_configuration(encode(values)).version == 3


@pytest.mark.parametrize(
    ("path", "value", "reason"),
    [
        (("version",), "3", "version has the wrong type"),
        (("version",), True, "version has the wrong type"),
        (("version",), 0, "not positive"),
        (("version",), None, "version is missing"),
        (("routes",), {}, "routes has the wrong type"),
        (("routes", 0), 5, "route is not an object"),
        (("routes", 0, "service"), "ghost", "unknown service 'ghost'"),
        (("routes", 0, "service"), None, "service is missing"),
        (("routes", 0, "timeoutMs"), 0, "timeout must exceed 0"),
        (("routes", 0, "timeoutMs"), -5, "timeout must exceed 0"),
        (("routes", 0, "timeoutMs"), "5", "timeoutMs has the wrong type"),
        (("routes", 0, "timeoutMs"), True, "timeoutMs has the wrong type"),
        (("routes", 0, "routeType"), "often", "routeType 'often' is unknown"),
        (("routes", 0, "pathPrefix"), "chat", "needs a slash at both ends"),
        (("routes", 0, "pathPrefix"), "/book/", "share app.example/book/"),
        (("routes", 0, "public"), "yes", "public has the wrong type"),
        (
            ("routes", 0, "trafficSplit"),
            [{"service": "llm", "weight": 0}],
            "weights add up to 0",
        ),
        (
            ("routes", 0, "trafficSplit"),
            [{"service": "llm", "weight": 9}, {"service": "x", "weight": 1}],
            "unknown service 'x'",
        ),
        (
            ("routes", 0, "trafficSplit"),
            [{"service": "llm", "weight": -1}, {"service": "desk", "weight": 3}],
            "negative weight",
        ),
        (("routes", 0, "trafficSplit"), [], "weights add up to 0"),
        (("services", 1, "name"), "llm", "listed twice"),
        (("services", 0, "engine"), 4, "engine is not an object"),
        (("tenants", 0, "apiKeys"), [1], "other than a string"),
        (("limits",), [1], "limits is not an object"),
    ],
)
def test_rejects_invalid_field_with_reason(path, value, reason):
    with pytest.raises(InvalidConfigurationError, match=reason):
        decode_configuration(encode(with_field(path, value)))


def test_rejects_key_shared_by_two_organisations():
    values = configuration(3)
    values["tenants"].append(
        {"name": "beta", "apiKeys": values["tenants"][0]["apiKeys"]}
    )
    with pytest.raises(InvalidConfigurationError, match="share a key"):
        decode_configuration(encode(values))


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"\xff\xfe",
        encode(configuration(3))[:-1],
        encode(configuration(3)) + b"}",
        encode(configuration(3))[:-1] + b',"version":4}',
        b'{"version":NaN}',
        b"[" * 100_000,
    ],
)
def test_rejects_malformed_json(body):
    with pytest.raises(InvalidConfigurationError):
        decode_configuration(body)
