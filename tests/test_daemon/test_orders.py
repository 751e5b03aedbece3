"""Rollouts of weights to engines, on real processes.

The tests guard against a rollout that stops all engines of a service at once, that is
abandoned when the leader dies, or that callers can start.
"""

from __future__ import annotations

import pytest

from berylnotch.control.commands import StartRollout, Status
from berylnotch.control.protocol import StatusRequest
from berylnotch.standins.caller import CallerClient
from berylnotch.standins.fleet import OPERATOR, wait_for
from berylnotch.standins.texts import DOMAINS, SmallFleet, small_fleet_text
from tests.test_daemon.conftest import callers_at


@pytest.fixture
def rollout_fleet(fleet):
    """A fleet whose engines load weights in 400 ms; one ignores fencing tokens."""
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
    small_fleet = SmallFleet((("entry-1", router.address),), engines, ())
    text = small_fleet_text(small_fleet).replace(
        "[fleet]\n", "[fleet]\nweight-loads = 600 loads/min\n"
    )
    assert fleet.apply(text, 0).revision == 1
    return small_fleet


def engine_load(address):
    return CallerClient(address).send("GET", "/standin/load").json()


def weights_versions(fleet):
    return [line.version for line in fleet.client.call(StatusRequest()).targets]


def test_rollout_reaches_every_engine_and_one_always_serves(fleet, rollout_fleet):
    (caller,) = callers_at(rollout_fleet, fleet.give_key("importer-desk"))
    wait_for(
        lambda: weights_versions(fleet) == ["v1", "v1"],
        "the engines' weights are known",
    )
    started = fleet.propose(StartRollout("r1", OPERATOR, "sake-llm", "v2"))
    assert started.status is Status.OK
    loading_counts = []

    def is_done():
        loads = [engine_load(address) for _, address in rollout_fleet.engines]
        loading_counts.append(sum(load["loading"] for load in loads))
        assert caller.chat("sake-1", "contract").status == 200
        return [load["weights"] for load in loads] == ["v2", "v2"]

    wait_for(is_done, "both engines hold the new weights")
    assert max(loading_counts) <= 1, "no order went to the last serving engine"
    wait_for(
        lambda: weights_versions(fleet) == ["v2", "v2"],
        "the control state holds the new versions",
    )


def test_rollout_continues_after_leader_dies(fleet, rollout_fleet):
    wait_for(
        lambda: weights_versions(fleet) == ["v1", "v1"],
        "the engines' weights are known",
    )
    started = fleet.propose(StartRollout("r1", OPERATOR, "sake-llm", "v2"))
    assert started.status is Status.OK
    (_, first_engine), (_, second_engine) = rollout_fleet.engines
    wait_for(
        lambda: (
            engine_load(first_engine)["loading"]
            or engine_load(second_engine)["loading"]
        ),
        "the first order arrived",
    )
    fleet.children[fleet.leader()].kill()
    wait_for(
        lambda: weights_versions(fleet) == ["v2", "v2"],
        "the new leader continues the rollout",
    )
    assert (
        engine_load(first_engine)["weights"]
        == engine_load(second_engine)["weights"]
        == "v2"
    )


def test_callers_cannot_reach_an_engines_orders(fleet, rollout_fleet):
    (caller,) = callers_at(rollout_fleet, fleet.give_key("importer-desk"))
    fences_before = [
        engine_load(address)["fence"] for _, address in rollout_fleet.engines
    ]
    for path in (
        "/standin/orders",
        "/v1/standin/orders",
        "/v1/../standin/orders",
        "/v1/%2e%2e/standin/orders",
        "/v1//standin/orders",
    ):
        answer = caller.post(path, {"kind": "load", "fence": 99, "version": "v9"})
        assert (answer.status // 100, answer.run) == (4, "not-run")
    fences_after = [
        engine_load(address)["fence"] for _, address in rollout_fleet.engines
    ]
    assert fences_before == fences_after
