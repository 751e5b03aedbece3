"""Lookup of routes and organisations, and selection by weight."""

from hypothesis import given
from hypothesis import strategies as st

from berylnotch.routing.model import (
    FleetConfiguration,
    Organisation,
    Route,
    RouteKind,
    Service,
    Split,
)
from berylnotch.routing.table import RouteTable, pick_service


def route(name, host, prefix):
    kind = RouteKind.IDEMPOTENT
    return Route(name, host, prefix, kind, 1.0, 0.1, 0, (Split("s", 1.0),))


def table(*routes, organisations=None):
    return RouteTable(
        FleetConfiguration(1, tuple(routes), (Service("s"),), organisations)
    )


def test_longest_prefix_of_the_host_wins():
    route_table = table(
        route("all", "h", "/"), route("a", "h", "/a/"), route("ab", "h", "/a/b/")
    )
    assert route_table.route("h", "/a/b/c").name == "ab"
    assert route_table.route("h", "/a/bc").name == "a"
    assert route_table.route("h", "/ab").name == "all"
    assert route_table.route("H:8080", "/a/").name == "a"
    assert route_table.route("other", "/a/") is None


def test_no_route_without_a_matching_prefix():
    route_table = table(route("a", "h", "/a/"))
    assert route_table.route("h", "/a") is None
    assert route_table.route("h", "/b/") is None
    assert route_table.route("h", "") is None


def test_key_lookup_returns_its_organisation():
    route_table = table(organisations=(Organisation("alpha", ("k1", "k2")),))
    assert route_table.organisation("k2").name == "alpha"
    assert route_table.organisation("") is None and route_table.needs_keys
    assert not table().needs_keys


@given(
    st.lists(st.floats(0, 100), min_size=1, max_size=5).filter(lambda w: sum(w) > 0.1),
    st.floats(0, 1, exclude_max=True),
)
def test_selected_service_has_a_positive_weight(weights, draw):
    splits = tuple(Split(str(n), weight) for n, weight in enumerate(weights))
    selected = pick_service(splits, draw)
    assert weights[int(selected)] > 0


def test_services_are_selected_in_proportion_to_their_weights():
    splits = (Split("a", 90), Split("b", 10))
    draws = [n / 1000 for n in range(1000)]
    assert sum(pick_service(splits, d) == "a" for d in draws) == 900
