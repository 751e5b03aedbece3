"""Requests that come late in a planned stop, in the ways in which callers send them.

Seven routers stop together with the leader, each used by callers of another kind, so
that all tests share one stop. Each caller's result is counted, and the stand-ins record
which requests targets ran.
"""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable, Sequence
from functools import partial

import pytest
from attrs import define, field

from tests.fleet.platform import PlatformStandIn
from tests.fleet.processes import (
    FleetOfProcesses,
    FleetProcess,
    configuration,
    in_threads,
    wait_until,
)
from tests.fleet.stops import (
    STOP_S,
    CallResult,
    LateCallers,
    call_on_kept_connections,
    describe,
    lost_requests,
    send_pipelined,
    send_request,
)

#: Seconds of answers of plain targets, of streams and of targets that fall silent.
SHORT_ANSWER_S, STREAM_S, MEDIUM_ANSWER_S = 0.03, 1.5, 0.3

#: Seconds after SIGTERM between which a target of three and an engine are silent, and
#: between which the only target of a service is.
SILENT_FROM_S, SILENT_UNTIL_S = 3.0, 7.5
ALONE_SILENT_FROM_S, ALONE_SILENT_UNTIL_S = 2.7, 7.4

#: Fraction of the short requests of the first seconds after SIGTERM that is served: of
#: those whose deadline comes before the exit, in milliseconds, and of all others, which
#: other routers serve from then on.
SERVED_FRACTION, SERVED_UNTIL_S, LONG_SERVED_UNTIL_S = 0.9, 6.5, 2.7
SHORT_DEADLINE_MS = 500

#: Seconds after SIGTERM until which repeatable requests are served in spite of silence.
REPEATED_UNTIL_S = 5.5

#: Seconds from an answer to the next request of the caller that is alone at its router.
LONE_PAUSE_S = 0.03

#: Seconds after SIGTERM for which one router is frozen, and to the second signal of
#: another.
FROZEN_S, SECOND_SIGNAL_S = 1.5, 1.0

#: Timeout of all routes in milliseconds, longer than a stop: it excuses no request.
TIMEOUT_MS = 12_000

OTHER_KEY = "key-of-beta"


@define(repr=False)
class Stop:
    """Results of the callers of one planned stop.

    Attributes
    ----------
    signal_at : float
        Monotonic time of SIGTERM in seconds.
    exits_s : dict of str to float
        Seconds from SIGTERM to the exit of each process.
    """

    platform: PlatformStandIn
    signal_at: float = 0.0
    results: dict[str, list[CallResult]] = field(factory=dict)
    exits_s: dict[str, float] = field(factory=dict)

    @property
    def run_ids(self) -> frozenset[str]:
        """Identifiers of the requests that targets ran."""
        targets = self.platform.targets.values()
        return frozenset(i for target in targets for i in target.runs)

    def sent_between(self, group: str, begin_s: float, end_s: float):
        """Return the results of requests sent in a time after SIGTERM, in seconds."""
        return [
            result
            for result in self.results[group]
            if begin_s <= result.sent_at - self.signal_at < end_s
        ]


def late_configuration() -> dict:
    """Return a configuration with services that fall silent and a second tenant."""
    values = configuration(3, timeoutMs=TIMEOUT_MS)
    by_name = {route["name"]: route for route in values["routes"]}
    for service in ("quiet", "alone", "medium"):
        values["services"].append({**values["services"][1], "name": service})
        for kind in ("book", "read"):
            name = f"{service}-{kind}"
            changes = {"name": name, "pathPrefix": f"/{name}/", "service": service}
            values["routes"].append({**by_name[kind], **changes})
    llm = values["services"][0]
    values["services"].append({**llm, "name": "quiet-llm"})
    changes = {"name": "quiet-chat", "pathPrefix": "/quiet-chat/"}
    values["routes"].append({**by_name["chat"], **changes, "service": "quiet-llm"})
    other = {"name": "beta", "apiKeys": [OTHER_KEY], "unit": "requests"}
    limit = {"ratePerS": 20, "burst": 20}
    values["tenants"].append({**values["tenants"][0], **other, **limit})
    return values


def add_targets(platform: PlatformStandIn) -> None:
    for number in (1, 2, 3):
        for service in ("llm", "quiet-llm"):
            engine = platform.add(f"{service}-{number}", service, version=1)
            engine.events, engine.event_pause_s = 10, STREAM_S / 10
        platform.add(f"desk-{number}", "desk").answer_s = SHORT_ANSWER_S
        platform.add(f"quiet-{number}", "quiet").answer_s = MEDIUM_ANSWER_S
    for service in ("alone", "medium"):
        platform.add(f"{service}-1", service).answer_s = MEDIUM_ANSWER_S


@pytest.fixture(scope="module")
def stop(tmp_path_factory):
    """The results of one planned stop of seven of nine routers and the leader."""
    platform = PlatformStandIn()
    platform.start()
    fleet = FleetOfProcesses(tmp_path_factory.mktemp("late"), platform)
    add_targets(platform)
    try:
        fleet.start(controllers=3, routers=9)
        assert fleet.put(late_configuration()).status == 200
        fleet.wait_ready()
        yield stop_under_load(fleet, platform)
    finally:
        fleet.close()
        platform.close()


def stop_under_load(fleet: FleetOfProcesses, platform: PlatformStandIn) -> Stop:
    """Stop routers and the leader while callers send, and return the results."""
    stop = Stop(platform)
    leader = wait_until(fleet.leader, "a leader")
    stopping, others = fleet.routers[:7], fleet.routers[7:]
    is_ending, is_stopping = threading.Event(), threading.Event()
    groups = {
        "kept": kept_callers,
        "slow": slow_and_pipelined_callers,
        "short": short_callers,
        "quiet": callers_of_silent_targets,
        "tokens": callers_without_tokens,
        "lone": partial(lone_caller, "lone-"),
        "frozen": partial(lone_caller, "frozen-"),
    }
    groups = {
        name: partial(group, router, others, is_stopping, is_ending)
        for (name, group), router in zip(groups.items(), stopping, strict=True)
    }
    threads = [
        threading.Thread(target=lambda n=name: stop.results.update({n: groups[n]()}))
        for name in groups
    ]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    frozen = stopping[-1]
    frozen.signal(signal.SIGSTOP)
    stop.signal_at = time.monotonic()
    for process in (*stopping, leader):
        process.signal(signal.SIGTERM)
    is_stopping.set()
    silence_targets(platform)
    exiting = (*stopping, leader)
    timers = [threading.Timer(FROZEN_S, frozen.signal, (signal.SIGCONT,))]
    timers.append(threading.Timer(STOP_S, frozen.kill))
    # A second signal must not end the first router sooner.
    again = (signal.SIGTERM,)
    timers.append(threading.Timer(SECOND_SIGNAL_S, stopping[0].signal, again))
    timers += [threading.Timer(2 * STOP_S, process.kill) for process in exiting]
    for timer in timers:
        timer.start()
    in_threads([partial(await_exit, process, stop) for process in exiting])
    for timer in timers:
        timer.cancel()
    is_ending.set()
    for thread in threads:
        thread.join()
    return stop


def await_exit(process: FleetProcess, stop: Stop) -> None:
    # Popen.wait with a time-out checks at intervals of 50 ms only.
    while process.process.poll() is None:
        time.sleep(0.002)
    stop.exits_s[process.name] = time.monotonic() - stop.signal_at


def silence_targets(platform: PlatformStandIn) -> None:
    """Schedule the silences of targets after SIGTERM."""
    now = time.monotonic()

    def silence(names: Sequence[str], until: float) -> None:
        for name in names:
            platform.targets[name].silent_until = until

    for names, begin_s, end_s in (
        (("quiet-1", "quiet-llm-1"), SILENT_FROM_S, SILENT_UNTIL_S),
        (("alone-1",), ALONE_SILENT_FROM_S, ALONE_SILENT_UNTIL_S),
    ):
        platform.loop.call_soon(
            lambda n=names, b=begin_s, e=end_s: platform.loop.call_later(
                b, lambda: silence(n, now + e)
            )
        )


# The groups of callers. Each gets its router, the routers that go on, an event that is
# set at SIGTERM, and one that is set when the routers have exited.


def kept_callers(router, _others, _is_stopping, is_ending) -> list[CallResult]:
    kinds = ("read", "chat", "book")
    calls = [
        partial(call_on_kept_connections, router, kinds, f"kept-{n}-", is_ending, 0.01)
        for n in range(4)
    ]
    return sum(in_threads(calls), [])


def lone_caller(prefix, router, _others, _is_stopping, is_ending) -> list[CallResult]:
    # Its answers take longer than the quiet period after which a router may exit.
    return call_on_kept_connections(
        router, ("medium-book", "medium-read"), prefix, is_ending, LONE_PAUSE_S
    )


def send_until(
    is_ending: threading.Event, rate_per_s: float, send: Callable[[int], list]
) -> list[CallResult]:
    """Send requests at a rate, each in a thread of its own; return their results."""
    results, threads = [], []
    while not is_ending.wait(1 / rate_per_s):
        number = len(threads)
        thread = threading.Thread(target=lambda n=number: results.extend(send(n)))
        threads.append(thread)
        thread.start()
    for thread in threads:
        thread.join()
    return results


def slow_and_pipelined_callers(router, _others, _is_stopping, is_ending):
    def send_slow(number: int) -> list[CallResult]:
        kind = ("book", "chat")[number % 2]
        return [send_request(router, kind, f"slow-{number}", body_s=1.0 + number % 3)]

    def send_two(number: int) -> list[CallResult]:
        ids = (f"first-{number}", f"second-{number}")
        return send_pipelined(router, ("chat", "book"), ids)

    calls = [
        partial(send_until, is_ending, 6.0, send_slow),
        partial(send_until, is_ending, 4.0, send_two),
    ]
    return sum(in_threads(calls), [])


def late_callers(
    router, others, is_ending, prefix, kinds, rate_per_s, send=send_request
) -> list:
    callers = LateCallers([router], others, kinds, rate_per_s, prefix, send)
    callers.start()
    is_ending.wait()
    callers.close()
    return callers.results


def short_callers(router, others, _is_stopping, is_ending) -> list[CallResult]:
    def call(prefix: str, send: Callable) -> list[CallResult]:
        kinds = ("read", "book")
        return late_callers(router, others, is_ending, prefix, kinds, 20.0, send)

    send_short = partial(send_request, deadline_ms=SHORT_DEADLINE_MS)
    calls = [partial(call, "short-", send_short), partial(call, "long-", send_request)]
    return sum(in_threads(calls), [])


def callers_of_silent_targets(router, others, _is_stopping, is_ending):
    kinds = ("quiet-read", "quiet-book", "quiet-chat", "alone-book")
    return late_callers(router, others, is_ending, "", kinds, 20.0)


def callers_without_tokens(router, _others, is_stopping, is_ending):
    # The router has no tokens of this organisation yet, and the leader, which grants
    # them, stops in the same moment.
    is_stopping.wait()

    def send(number: int) -> list[CallResult]:
        return [send_request(router, "book", f"tokens-{number}", key=OTHER_KEY)]

    return send_until(is_ending, 10.0, send)


# The tests.


def check_whole(stop: Stop, results: Sequence[CallResult]) -> None:
    """Check that no request was lost, and that what was refused as not run did not."""
    lost = lost_requests(results, lambda _: stop.signal_at, stop.run_ids)
    names = [result.request_id for result in lost]
    assert not names, describe(results, stop.signal_at)
    refused_ids = {r.request_id for r in results if r.outcome == "refused"}
    assert not refused_ids & stop.run_ids


def of_kind(results: Sequence[CallResult], kind: str) -> list[CallResult]:
    return [result for result in results if result.kind == kind]


@pytest.mark.parametrize("group", ["kept", "short", "tokens", "lone", "frozen"])
def test_late_requests_get_whole_answers_that_are_no_failures(stop, group):
    results = stop.results[group]
    check_whole(stop, results)
    failed = [result for result in results if result.outcome == "failed"]
    assert not failed, describe(results, stop.signal_at)


def test_bodies_that_end_late_in_a_stop_get_whole_answers(stop):
    results = [r for r in stop.results["slow"] if r.request_id.startswith("slow")]
    check_whole(stop, results)
    failed = [result for result in results if result.outcome == "failed"]
    assert not failed, describe(results, stop.signal_at)


def test_second_of_two_pipelined_requests_gets_an_answer_in_a_stop(stop):
    results = [r for r in stop.results["slow"] if not r.request_id.startswith("slow")]
    check_whole(stop, results)


@pytest.mark.parametrize(
    ("prefix", "until_s"), [("short", SERVED_UNTIL_S), ("long", LONG_SERVED_UNTIL_S)]
)
def test_short_answers_are_served_as_long_as_they_cannot_be_cut(stop, prefix, until_s):
    sent = stop.sent_between("short", 0.0, until_s)
    results = [r for r in sent if r.request_id.startswith(prefix)]
    results = [result for result in results if result.outcome != "unread"]
    served = [result for result in results if result.outcome == "served"]
    assert results and len(served) >= SERVED_FRACTION * len(results), describe(
        results, stop.signal_at
    )


def test_short_requests_that_are_refused_are_served_by_other_routers(stop):
    results = [r for r in stop.results["short"] if r.request_id.startswith("long")]
    unserved = [result for result in results if not result.is_served_in_the_end]
    assert results and not unserved, describe(unserved, stop.signal_at)


@pytest.mark.parametrize("kind", ["quiet-read", "quiet-chat"])
def test_repeatable_requests_are_served_when_a_target_falls_silent(stop, kind):
    results = of_kind(stop.sent_between("quiet", -1.0, REPEATED_UNTIL_S), kind)
    unserved = [result for result in results if not result.is_served_in_the_end]
    assert not unserved, describe(unserved, stop.signal_at)


@pytest.mark.parametrize(
    "kind", ["quiet-read", "quiet-book", "quiet-chat", "alone-book"]
)
def test_requests_to_silent_targets_get_whole_answers(stop, kind):
    check_whole(stop, of_kind(stop.results["quiet"], kind))


def test_answer_that_comes_after_a_long_silence_is_delivered(stop):
    begin_s = ALONE_SILENT_FROM_S - MEDIUM_ANSWER_S + 0.05
    sent = stop.sent_between("quiet", begin_s, ALONE_SILENT_FROM_S - 0.05)
    results = of_kind(sent, "alone-book")
    assert results
    assert all(r.outcome == "served" for r in results), describe(
        results, stop.signal_at
    )


def test_stopping_processes_exit_before_they_are_killed(stop):
    assert max(stop.exits_s.values()) <= STOP_S, stop.exits_s
