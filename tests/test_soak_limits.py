"""The soak's check of the requests that limited targets get.

It must find routers that exceed a limit, and count requests when they come: a target
that is silent takes them in later, all at once, and has told no router its limit.
"""

import time

import pytest

from soak.checks import Observations
from tests.fleet.limits import NOTICE_S
from tests.fleet.platform import PlatformStandIn
from tests.fleet.processes import in_threads, send_call

LIMIT_PER_S = 1.0

#: Requests in one window of which a limit of 1/s allows 11.
TOO_MANY = 12

SILENCE_S = 0.5


@pytest.fixture
def platform():
    platform = PlatformStandIn()
    platform.start()
    yield platform
    platform.close()


@pytest.fixture
def target(platform):
    target = platform.add("desk-1", "desk")
    target.limit_per_s = LIMIT_PER_S
    return target


def violations(target, arrivals, named_at):
    target.arrivals, target.limit_named_at = arrivals, named_at
    observations = Observations()
    observations.record_limit(target, 100.0, 130.0)
    observations.check_limits()
    return observations.violations


def test_too_many_requests_after_the_notice_are_found(target):
    first_at = 101.0 + NOTICE_S
    arrivals = [first_at + n / 10 for n in range(TOO_MANY)]
    assert violations(target, arrivals[1:], [101.0, 105.0]) == []
    assert len(violations(target, arrivals, [101.0, 105.0])) == 1


def test_the_notice_counts_from_the_first_answer_with_the_limit(target):
    arrivals = [104.0 + n / 10 for n in range(TOO_MANY)]
    assert len(violations(target, arrivals, [50.0, 100.5])) == 1
    assert violations(target, arrivals, [50.0, 103.5]) == []


def test_requests_count_when_they_come_to_a_silent_target(target):
    """Otherwise those of a whole silence count in the moment of its end."""
    silent_until = target.silent_until = time.monotonic() + SILENCE_S
    address = target.server.address

    def send():
        headers = {"Berylnotch-Request-Id": "read-1"}
        return send_call(address.host, address.port, "GET", "/", headers, b"", 5.0)

    assert [answer.status for answer in in_threads([send, send])] == [200, 200]
    assert len(target.arrivals) == 2 and max(target.arrivals) < silent_until
    assert min(target.limit_named_at) >= silent_until
