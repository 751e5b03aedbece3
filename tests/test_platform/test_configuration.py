"""Decoding of configurations, and rejection of each kind of invalid configuration."""

import json

import pytest

from berylnotch.platform.configuration import (
    decode_configuration,
    decode_held_configuration,
    decode_new_configuration,
)
from berylnotch.routing.errors import InvalidConfigurationError
from berylnotch.routing.model import RouteKind, Split
from berylnotch.routing.table import pick_service
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


@pytest.mark.parametrize("service", ["ghost", "g", "", "LLM", 5])
def test_rejects_an_unknown_service_beside_a_valid_split(service):
    values = with_field(("routes", 0, "service"), service)
    values["routes"][0]["trafficSplit"] = [{"service": "llm", "weight": 1}]
    with pytest.raises(InvalidConfigurationError, match="service"):
        decode_configuration(encode(values))


@pytest.mark.parametrize("service", ["llm", "desk", None])
def test_a_service_beside_a_split_gets_only_its_share_of_the_split(service):
    values = with_field(("routes", 0, "service"), service)
    values["routes"][0]["trafficSplit"] = [{"service": "llm", "weight": 1}]
    splits = decode_configuration(encode(values)).routes[0].splits
    assert {pick_service(splits, draw / 100) for draw in range(100)} == {"llm"}


def test_rejects_key_shared_by_two_organisations():
    values = configuration(3)
    values["tenants"].append(
        {"name": "beta", "apiKeys": values["tenants"][0]["apiKeys"]}
    )
    with pytest.raises(InvalidConfigurationError, match="share a key"):
        decode_configuration(encode(values))


@pytest.mark.parametrize(
    ("first_name", "second_name"),
    [
        ("s", "s"),
        ("", ""),
        (None, None),
        (None, "s"),
        ("\u00e9", "\u00e9"),
        ("read", "read"),
        ("read", "write"),
        ("7", "7"),
    ],
)
@pytest.mark.parametrize(
    ("first_host", "second_host"),
    [("a.example", "a.example"), ("a.example", "A.Example"), ("", "")],
)
@pytest.mark.parametrize("distance", [1, 3])
def test_rejects_two_routes_of_one_place_whatever_their_names_are(
    first_name, second_name, first_host, second_host, distance
):
    # The JSON decoder uses one object for equal strings of one letter.
    values = configuration(3)
    first, between = values["routes"][:2]
    first |= {"name": first_name, "hostname": first_host}
    second = first | {"name": second_name, "hostname": second_host, "service": "desk"}
    others = [between | {"pathPrefix": f"/{n}/"} for n in range(distance - 1)]
    values["routes"] = [first, *others, second]
    for decode in (decode_configuration, decode_new_configuration):
        with pytest.raises(InvalidConfigurationError, match="share"):
            decode(encode(values))


@pytest.mark.parametrize(
    ("field", "value"), [("hostname", "b.example"), ("pathPrefix", "/chat/more/")]
)
def test_routes_of_different_places_may_have_the_same_name(field, value):
    values = configuration(3)
    values["routes"].append(values["routes"][0] | {field: value})
    assert len(decode_new_configuration(encode(values)).routes) == 4


def test_the_configuration_in_force_is_decoded_without_later_checks():
    values = configuration(3)
    values["routes"].append(values["routes"][0] | {"service": "desk"})
    assert len(decode_held_configuration(encode(values)).routes) == 4
    with pytest.raises(InvalidConfigurationError):
        decode_held_configuration(encode(values)[:-1])


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
