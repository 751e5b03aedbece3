"""Reads of the configuration while all controllers start again.

A new leader's first commit covers entries of earlier terms. A read that comes before
they are applied would show an older configuration than one that was acknowledged.
"""

import json
import threading
import time

import pytest

from tests.fleet.disks import Operators
from tests.fleet.processes import (
    FleetOfProcesses,
    configuration,
    send_call,
    wait_until,
)

#: Changes before the restarts: more than there are between two snapshots.
CHANGES = 700

#: Number of restarts, and of reads after each.
RESTARTS, READS = 12, 20


@pytest.fixture
def fleet(tmp_path, platform):
    """Three controllers without routers."""
    fleet = FleetOfProcesses(tmp_path, platform)
    fleet.start(controllers=3, routers=0)
    yield fleet
    fleet.close()


def read_until(controller, versions, is_ending):
    """Read from a controller all the time, and collect the versions."""
    while not is_ending.is_set():
        answer = send_call(
            controller.ip, controller.port, "GET", "/config", {}, b"", 1.0
        )
        if answer is not None and answer.status == 200:
            versions.append(json.loads(answer.body)["version"])
        time.sleep(0.002)


def read_during_restart(fleet):
    """Kill and start all controllers; return the versions that reads show."""
    versions, is_ending = [], threading.Event()
    for controller in fleet.controllers:
        controller.kill()
    readers = [
        threading.Thread(target=read_until, args=(controller, versions, is_ending))
        for controller in fleet.controllers * 2
    ]
    for controller in fleet.controllers:
        controller.start()
    for reader in readers:
        reader.start()
    try:
        wait_until(lambda: len(versions) >= READS, "reads to succeed")
    finally:
        is_ending.set()
        for reader in readers:
            reader.join()
    return versions


def test_reads_after_a_restart_show_nothing_older_than_was_acknowledged(fleet):
    assert fleet.put(configuration(3)).status == 200
    operators = Operators(fleet.controllers)
    operators.start()
    try:
        wait_until(lambda: len(operators.changes) >= CHANGES, "enough changes")
    finally:
        operators.close()
    acknowledged = operators.newest_acknowledged
    versions = [v for _ in range(RESTARTS) for v in read_during_restart(fleet)]
    assert [v for v in versions if v < acknowledged] == []
