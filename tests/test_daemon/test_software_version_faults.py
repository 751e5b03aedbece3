"""Streams of several software versions while processes and targets fail at random."""

import random
import threading
import time

import pytest

from tests.fleet.processes import FleetOfProcesses, configuration
from tests.fleet.streams import CallerStream
from tests.test_daemon.test_software_versions import add_engines, engines

DURATION_S = 20.0
CALLERS = 10
MAX_ATTEMPTS = 5


@pytest.fixture
def fleet(tmp_path, platform):
    processes = FleetOfProcesses(tmp_path, platform)
    platform.add("desk-1", "desk")
    yield processes
    processes.close()


def run_caller(fleet, number, end_at, streams):
    rng = random.Random(number)
    count = 0
    while time.monotonic() < end_at:
        count += 1
        stream = CallerStream(f"c{number}-{count}")
        streams.append(stream)
        stream.begin(rng.choice(fleet.routers))
        stream.join()
        while not stream.is_whole and len(stream.statuses) < MAX_ATTEMPTS:
            time.sleep(rng.uniform(0.05, 0.4))
            if stream.events:
                stream.take_up(rng.choice(fleet.routers))
            else:
                stream.begin(rng.choice(fleet.routers))
                stream.join()


def replace_engine(platform, rng, number):
    """Start an engine of another version, and remove one, with or without notice."""
    add_engines(platform, f"v{rng.randrange(1, 4)}", 1, prefix=f"n{number}-")
    leaving = rng.choice(engines(platform))
    if rng.random() < 0.5:
        leaving.is_leaving = True
        time.sleep(rng.uniform(0.1, 1.0))
    platform.remove(leaving.target_id)


def fail(fleet, platform, rng, number):
    """Inject one fault, and wait until it is over."""
    fault = rng.choice(("routers", "router", "leader", "all", "replace", "reset"))
    processes = {
        "routers": fleet.routers,
        "router": [rng.choice(fleet.routers)],
        "leader": [p for p in [fleet.leader()] if p is not None],
        "all": [*fleet.controllers, *fleet.routers],
    }.get(fault, ())
    for process in processes:
        process.kill()
    if fault == "replace" or rng.random() < 0.5:
        replace_engine(platform, rng, number)
    if fault == "reset":
        engine = rng.choice(engines(platform))
        platform.loop.call_soon(lambda: platform.break_streams(engine))
    time.sleep(rng.uniform(0.0, 0.5) if processes else 0.0)
    for process in processes:
        process.start()
    time.sleep(rng.uniform(0.5, 2.5))


@pytest.mark.parametrize("seed", (1, 2))
def test_streams_are_joined_from_two_versions_while_processes_fail(
    fleet, platform, seed
):
    rng = random.Random(seed)
    add_engines(platform, "v1")
    add_engines(platform, "v2")
    fleet.start()
    values = configuration(3, moves=True)
    values["tenants"][0].update(ratePerS=0, burst=0)
    assert fleet.put(values).status == 200
    fleet.wait_ready()
    streams, end_at = [], time.monotonic() + DURATION_S
    callers = [
        threading.Thread(target=run_caller, args=(fleet, n, end_at, streams))
        for n in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    number = 0
    while time.monotonic() < end_at:
        number += 1
        fail(fleet, platform, rng, number)
    for caller in callers:
        caller.join()
    assert not {s.name: s.versions for s in streams if len(s.versions) > 1}
    for stream in streams:
        assert stream.events == list(range(1, len(stream.events) + 1)), stream.name
    taken_up = [s for s in streams if s.events and len(s.statuses) > 1]
    went_on = [s for s in taken_up if 200 in s.statuses[1:]]
    assert went_on
    print(f"{len(streams)} streams, {len(taken_up)} taken up, {len(went_on)} went on")
