from __future__ import annotations

import pytest

from .conftest import run_stand_in, wait_until


def test_each_run_of_an_order_is_counted(desk):
    desk.faults()
    for order in ("a", "b", "a"):
        assert desk.call("/orders", {"order": order})[0] == 201
    assert desk.json("/standin/runs") == {"a": 2, "b": 1}
    assert desk.json("/stock")["bottles"] == 1200


def test_run_with_lost_response_is_counted(desk):
    desk.faults(close_before_answer=True)
    with pytest.raises(OSError):
        desk.call("/orders", {"order": "lost"})
    assert desk.json("/standin/runs")["lost"] == 1


def test_a_refused_order_is_not_run(desk):
    desk.faults(refuse=True)
    status, headers, _ = desk.call("/orders", {"order": "refused"})
    assert (status, headers["x-not-run"]) == (503, "1")
    assert "refused" not in desk.json("/standin/runs")


def test_vm_list_is_replaced():
    with run_stand_in("vmlist", "--vm", "a=127.0.0.1") as stand_in:
        (vm,) = stand_in.json("/vms")["vms"]
        assert vm == {"name": "a", "address": "127.0.0.1", "state": "live"}
        vm["state"] = "leaving"
        stand_in.call("/standin/vms", {"vms": [vm]})
        wait_until(lambda: stand_in.json("/vms")["vms"] == [vm])
