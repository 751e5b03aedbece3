"""Weights rolling out to engines, on real processes."""

from __future__ import annotations

import pytest

from berylnotch.control.commands import StartRollout, Status
from berylnotch.control.protocol import StatusRequest
from berylnotch.standins.caller import CallerClient
from berylnotch.standins.fleet import OPERATOR, wait_for
from berylnotch.standins.texts import DOMAINS, SmallFleet, small_text
from tests.test_daemon.conftest import callers_at


@pytest.fixture
def rolling(fleet):
    """A fleet whose engines load fast; one of them ignores fencing numbers."""
    fleet.start_controllers(("c1", "c2", "c3"), DOMAINS[:3])
    engines = (
        ("sake-1-a", fleet.start_engine("sake-1-a", "--load-ms", "400").address),
        (
            "sake-1-b",
            fleet.start_engine(
                "sake-1-b", "--load-ms", "400", "--ignore-fence"
            ).address,
        ),
    )
    router = fleet.start_router("entry-1", DOMAINS[0])
    small = SmallFleet((("entry-1", router.address),), engines, ())
    text = small_text(small).replace(
        "[fleet]\n", "[fleet]\nweight-loads = 600 loads/min\n"
    )
    assert fleet.apply(text, 0).revision == 1
    return small


def load_of(address):
    return CallerClient(address).send("GET", "/standin/load").json()


def versions(fleet):
    return [line.version for line in fleet.client.call(StatusRequest()).targets]


def test_rollout_reaches_every_engine_and_one_always_serves(fleet, rolling):
    (caller,) = callers_at(rolling, fleet.give_key("importer-desk"))
    wait_for(lambda: versions(fleet) == ["v1", "v1"], "the engines' weights are known")
    started = fleet.propose(StartRollout("r1", OPERATOR, "sake-llm", "v2"))
    assert started.status is Status.OK
    loading_at_once = []

    def is_done():
        loads = [load_of(address) for _, address in rolling.engines]
        loading_at_once.append(sum(load["loading"] for load in loads))
        assert caller.chat("sake-1", "contract").status == 200
        return [load["weights"] for load in loads] == ["v2", "v2"]

    wait_for(is_done, "both engines hold the new weights")
    assert max(loading_at_once) <= 1, "the last engine that serves was not ordered"
    wait_for(lambda: versions(fleet) == ["v2", "v2"], "the result was read back")


def test_rollout_goes_on_when_the_leader_dies(fleet, rolling):
    wait_for(lambda: versions(fleet) == ["v1", "v1"], "the engines' weights are known")
    started = fleet.propose(StartRollout("r1", OPERATOR, "sake-llm", "v2"))
    assert started.status is Status.OK
    (_, first), (_, second) = rolling.engines
    wait_for(
        lambda: load_of(first)["loading"] or load_of(second)["loading"],
        "the first order arrived",
    )
    fleet.children[fleet.leader()].kill()
    wait_for(lambda: versions(fleet) == ["v2", "v2"], "the new leader went on")
    assert load_of(first)["weights"] == load_of(second)["weights"] == "v2"


def test_callers_cannot_reach_an_engines_orders(fleet, rolling):
    (caller,) = callers_at(rolling, fleet.give_key("importer-desk"))
    before = [load_of(address)["fence"] for _, address in rolling.engines]
    for path in (
        "/standin/orders",
        "/v1/standin/orders",
        "/v1/../standin/orders",
        "/v1/%2e%2e/standin/orders",
        "/v1//standin/orders",
    ):
        answer = caller.post(path, {"kind": "load", "fence": 99, "version": "v9"})
        assert (answer.status // 100, answer.run) == (4, "not-run")
    after = [load_of(address)["fence"] for _, address in rolling.engines]
    assert before == after
