"""Streams of a fleet of processes, while targets of two software versions serve."""

import time
from functools import partial

import pytest

from tests.fleet.processes import (
    FleetOfProcesses,
    configuration,
    in_threads,
    wait_until,
)
from tests.fleet.streams import CallerStream

EVENTS = 40
EVENT_INTERVAL_S = 0.04
STREAMS = 12
RETRY_PAUSE_S = 0.2
OTHER_KEY = "key-of-beta"


@pytest.fixture
def fleet(tmp_path, platform):
    processes = FleetOfProcesses(tmp_path, platform)
    platform.add("desk-1", "desk")
    yield processes
    processes.close()


def add_engines(platform, version, count=2, events=EVENTS, prefix=""):
    for number in range(count):
        engine = platform.add(f"{prefix}{version}-{number}", "llm", version=1)
        engine.events, engine.event_pause_s = events, EVENT_INTERVAL_S
        engine.software_version, engine.states_software = version, True


def start_serving(fleet, platform, *versions, controllers=3, **changes):
    for version in versions:
        add_engines(platform, version)
    fleet.start(controllers)
    values = configuration(3, moves=True, **changes)
    # Requests without a limit need no tokens, which only a leader grants.
    alpha = dict(values["tenants"][0], ratePerS=0, burst=0)
    values["tenants"] = [alpha, dict(alpha, name="beta", apiKeys=[OTHER_KEY])]
    assert fleet.put(values).status == 200
    fleet.wait_ready()


def engines(platform, version=None):
    return [
        target
        for target in platform.targets.values()
        if target.service == "llm" and version in (None, target.software_version)
    ]


def begin_streams(fleet, count=STREAMS, min_events=4):
    """Begin streams at all routers, and return them when each has some events."""
    streams = [CallerStream(f"s{number}") for number in range(count)]
    for number, stream in enumerate(streams):
        stream.begin(fleet.routers[number % len(fleet.routers)])
    wait_until(
        lambda: all(len(stream.events) >= min_events for stream in streams),
        "events of all streams",
    )
    return streams


def join_all(streams):
    for stream in streams:
        stream.join()


def take_up_all(streams, routers, for_s=10.0):
    """Take up each broken stream as callers do, and return those that went on."""
    broken = [stream for stream in streams if not stream.is_whole]
    begun = {stream.name: len(stream.events) for stream in broken}
    end_at = time.monotonic() + for_s

    def retry(stream, number):
        while not stream.is_whole and time.monotonic() < end_at:
            number += 1
            stream.take_up(routers[number % len(routers)])
            time.sleep(0.0 if stream.is_whole else RETRY_PAUSE_S)

    in_threads([partial(retry, stream, n) for n, stream in enumerate(broken)])
    return [s for s in broken if len(s.events) > begun[s.name]]


def assert_not_joined(streams):
    joined = {s.name: s.versions for s in streams if len(s.versions) > 1}
    assert not joined
    for stream in streams:
        assert stream.events == list(range(1, len(stream.events) + 1)), stream.name


def restart(processes):
    for process in processes:
        process.kill()
    for process in processes:
        process.start()


def test_broken_run_goes_on_at_another_version(fleet, platform):
    start_serving(fleet, platform, "v1", "v2")
    streams = begin_streams(fleet)
    for engine in engines(platform, "v1")[:1] + engines(platform, "v2")[:1]:
        platform.loop.call_soon(lambda e=engine: platform.break_streams(e))
    join_all(streams)
    take_up_all(streams, fleet.routers)
    assert_not_joined(streams)
    assert all(stream.is_whole for stream in streams)


def test_stream_of_the_last_target_of_its_version_goes_on_elsewhere(fleet, platform):
    start_serving(fleet, platform, "v1", "v2")
    streams = begin_streams(fleet)
    for engine in engines(platform, "v1"):
        platform.remove(engine.target_id)
    join_all(streams)
    take_up_all(streams, fleet.routers, for_s=1.0)
    assert_not_joined(streams)
    lost = [stream for stream in streams if not stream.is_whole]
    assert lost and all(stream.statuses[-1] == 503 for stream in lost)
    assert max(stream.answered_s for stream in lost) < 1.0


def test_stream_of_a_silent_target_goes_on_at_another_version(fleet, platform):
    start_serving(fleet, platform, "v1", "v2")
    streams = begin_streams(fleet)
    for engine in engines(platform, "v1"):
        engine.silent_until = time.monotonic() + 8.0
    join_all(streams)
    assert_not_joined(streams)


def test_run_moves_to_another_version(fleet, platform):
    start_serving(fleet, platform, "v1", "v2")
    streams = begin_streams(fleet)
    for engine in engines(platform, "v1"):
        engine.is_leaving = True
    join_all(streams)
    assert_not_joined(streams)
    assert all(stream.is_whole for stream in streams)


def test_stream_is_taken_up_at_another_version_at_another_router(fleet, platform):
    start_serving(fleet, platform, "v1", "v2")
    streams = begin_streams(fleet)
    fleet.routers[0].kill()
    fleet.routers[1].kill()
    fleet.routers[1].start()
    join_all(streams)
    wait_until(lambda: fleet._is_ready(fleet.routers[1]), "the router")
    went_on = take_up_all(streams, fleet.routers[1:])
    assert_not_joined(streams)
    assert len(went_on) == STREAMS


@pytest.mark.parametrize("has_leader", [True, False], ids=["routers", "leader-too"])
def test_all_routers_lose_power_and_streams_are_joined_from_two_versions(
    fleet, platform, has_leader
):
    start_serving(fleet, platform, "v1", "v2")
    streams = begin_streams(fleet)
    restart(fleet.routers if has_leader else [fleet.leader(), *fleet.routers])
    join_all(streams)
    went_on = take_up_all(streams, fleet.routers)
    assert_not_joined(streams)
    assert len(went_on) == STREAMS


def test_targets_of_the_first_version_are_gone_when_streams_are_taken_up(
    fleet, platform
):
    start_serving(fleet, platform, "v1")
    streams = begin_streams(fleet)
    add_engines(platform, "v2")
    restart(fleet.routers)
    for engine in engines(platform, "v1"):
        platform.remove(engine.target_id)
    join_all(streams)
    take_up_all(streams, fleet.routers, for_s=4.0)
    assert_not_joined(streams)
    assert {stream.statuses[-1] for stream in streams} == {503}
    v2_runs = [run for engine in engines(platform, "v2") for run in engine.runs]
    assert not v2_runs


def test_second_version_appears_while_streams_are_under_way(fleet, platform):
    start_serving(fleet, platform, "v1")
    for engine in engines(platform, "v1"):
        engine.events = 80
    streams = begin_streams(fleet)
    add_engines(platform, "v2", events=1)
    wait_until(lambda: begins_at(fleet, "v2"), "a stream at the second version")
    restart(fleet.routers)
    join_all(streams)
    went_on = take_up_all(streams, fleet.routers)
    assert_not_joined(streams)
    broken = [s for s in streams if not s.is_whole or len(s.statuses) > 1]
    assert len(went_on) == len(broken) > 0


def begins_at(fleet, version):
    stream = CallerStream(f"late-{time.monotonic()}")
    stream.begin(fleet.routers[0])
    wait_until(lambda: stream.events, "an event")
    return version in stream.versions


def test_router_without_controllers_guesses_the_version(fleet, platform):
    start_serving(fleet, platform, "v1", "v2")
    streams = begin_streams(fleet)
    for controller in fleet.controllers:
        controller.kill()
    fleet.routers[0].kill()
    join_all(streams)
    for stream in streams[::2]:
        assert stream.take_up(fleet.routers[1]) == 503
        assert stream.answered_s < 1.0
    assert_not_joined(streams)


def test_take_up_names_a_request_of_another_organisation(fleet, platform):
    start_serving(fleet, platform, "v1", "v2")
    streams = begin_streams(fleet, count=2, min_events=2)
    for engine in engines(platform):
        platform.loop.call_soon(lambda e=engine: platform.break_streams(e))
    stranger = CallerStream("x", OTHER_KEY, data=b"id: 1\ndata: piece 1 of v1\n\n")
    for router in fleet.routers:
        assert stranger.take_up(router, Resumes="s0-0") == 503
    join_all(streams)


@pytest.mark.parametrize("versions", [("v1",), ("v1", "v2")], ids=["one", "two"])
def test_take_up_without_its_first_request_is_sent_to_any_version(
    fleet, platform, versions
):
    start_serving(fleet, platform, *versions)
    stream = CallerStream("x", data=b"id: 3\ndata: piece 3 of v1\n\n")
    status = stream.take_up(fleet.routers[0], Resumes="")
    assert status == (200 if len(versions) == 1 else 503)


def test_id_that_was_used_at_another_router_names_the_version_of_its_other_stream(
    fleet, platform
):
    start_serving(fleet, platform, "v1", "v2")
    earlier = [CallerStream(f"s{number}") for number in range(STREAMS)]
    for stream in earlier:
        stream.begin(fleet.routers[0])
    join_all(earlier)
    streams = [CallerStream(f"s{number}") for number in range(STREAMS)]
    for stream in streams:
        stream.begin(fleet.routers[1])
    wait_until(
        lambda: all(len(stream.events) >= 4 for stream in streams),
        "events of all streams",
    )
    fleet.routers[1].kill()
    join_all(streams)
    assert any(a.versions != b.versions for a, b in zip(earlier, streams, strict=True))
    take_up_all(streams, fleet.routers[:1], for_s=2.0)
    assert_not_joined(streams)
