"""Main functions of a fleet from one end to the other, on real processes."""

from __future__ import annotations

from berylnotch.standins.caller import CallerClient
from berylnotch.standins.fleet import wait_for


def test_whole_path(fleet, small_fleet, callers, key):
    other_router = CallerClient(small_fleet.routers[1][1])
    answer = other_router.send("GET", "/berylnotch/address?organisation=importer-desk")
    assert set(answer.json()["addresses"]) == {
        address for _, address in small_fleet.routers
    }

    streamed = callers[0].chat("sake-1", "contract " * 2000, max_tokens=20)
    assert streamed.status == 200 and streamed.run == "ran"
    assert streamed.events()[-1] == "[DONE]"
    assert len(streamed.events()) >= 21

    completion = callers[1].chat("sake-1", "contract", stream=False)
    assert completion.json()["choices"][0]["message"]["content"]

    headers = {"Idempotency-Key": "booking-1"}
    first = callers[0].post("/orders", {"order": "B-17"}, headers)
    repeated = callers[1].post("/orders", {"order": "B-17"}, headers)
    assert first.status == 201 and repeated.body == first.body
    assert repeated.headers["idempotent-replayed"] == "true"

    fleet.withdraw_key(key.key_id)
    for caller in callers:
        wait_for(
            lambda caller=caller: caller.send("GET", "/stock").status == 401,
            "key withdrawn",
        )
        assert caller.send("GET", "/stock").run == "not-run"

    for child in fleet.children.values():
        assert child.stop() == 0
