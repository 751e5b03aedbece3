"""Tests the leader's record of the limits that targets announced to routers."""

import math

import pytest

from berylnotch.group.messages import LimitNotice
from berylnotch.membership.announced_limits import AnnouncedLimits
from berylnotch.membership.inventory import TargetInventory
from berylnotch.membership.listing import ListedTarget


def listed(born_ms=1000):
    return ListedTarget("t", "llm", "127.0.0.1:9", "north", 8, born_ms=born_ms)


def notice(per_s, age_ms, born_ms=1000):
    return LimitNotice("t", born_ms, per_s, age_ms)


@pytest.fixture
def limits():
    return AnnouncedLimits()


def add(limits, now, *notices, born_ms=1000):
    return limits.add(now, notices, {"t": listed(born_ms)})


def test_the_newest_announcement_of_all_routers_counts(limits):
    assert add(limits, 10.0, notice(3.0, age_ms=0))
    assert not add(limits, 10.1, notice(5.0, age_ms=500))
    assert limits.limit_per_s("t") == 3.0
    assert add(limits, 10.2, notice(2.0, age_ms=50))
    assert limits.in_force() == {"t": 2.0}


def test_an_older_announcement_does_not_restore_an_ended_limit(limits):
    add(limits, 10.0, notice(3.0, age_ms=0))
    assert add(limits, 11.0, notice(math.inf, age_ms=0))
    assert not add(limits, 11.1, notice(3.0, age_ms=1100))
    assert limits.in_force() == {} and limits.limit_per_s("t") == math.inf


def test_the_same_limit_again_is_no_change(limits):
    add(limits, 10.0, notice(3.0, age_ms=0))
    assert add(limits, 11.0, notice(3.0, age_ms=0)) == ()
    assert add(limits, 11.5, notice(math.inf, age_ms=1000)) == ()


def test_a_limit_of_an_earlier_incarnation_is_ignored(limits):
    assert add(limits, 10.0, notice(3.0, age_ms=0), born_ms=2000) == ()
    assert limits.limit_per_s("t") is None


def test_a_limit_ends_when_its_target_restarts_or_is_gone(limits):
    add(limits, 10.0, notice(3.0, age_ms=0))
    limits.retain({"t": listed()})
    assert limits.in_force() == {"t": 3.0}
    limits.retain({"t": listed(born_ms=2000)})
    assert limits.limit_per_s("t") is None


def test_routers_get_the_limits_with_the_targets():
    inventory = TargetInventory()
    assert inventory.add_limit_notices(9.0, [notice(3.0, age_ms=0)]) == ()
    inventory.replace_targets(10.0, (listed(),))
    assert inventory.entries()[0].limit_per_s is None
    assert inventory.add_limit_notices(10.0, [notice(3.0, age_ms=0)])
    assert inventory.entries()[0].limit_per_s == 3.0
    inventory.replace_targets(11.0, (listed(),))
    assert inventory.limits() == {"t": 3.0}
