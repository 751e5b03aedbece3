"""Logs of fleets that are read while their processes write them."""

import pytest

from tests.fleet.processes import FleetProcess

FIRST = "time=1 event=started"
SECOND = 'time=2 event=operator_call call="GET /rollouts/dé" status=200'


@pytest.fixture
def process(tmp_path):
    return FleetProcess("core-1", "controller", "", 0, tmp_path / "s", tmp_path / "log")


@pytest.mark.parametrize("size", range(len(SECOND.encode()) + 1))
def test_a_line_that_is_being_written_is_not_read(process, size):
    process.log.write_bytes(f"{FIRST}\n".encode() + SECOND.encode()[:size])
    assert process.lines() == [{"time": "1", "event": "started"}]


def test_a_line_is_read_once_it_is_complete(process):
    process.log.write_text(f"{FIRST}\n{SECOND}\n")
    assert process.lines() == [
        {"time": "1", "event": "started"},
        {
            "time": "2",
            "event": "operator_call",
            "call": "GET /rollouts/dé",
            "status": "200",
        },
    ]
