"""Software versions at which streams of a service may have begun."""

import pytest

from berylnotch.membership.listing import ListedTarget
from berylnotch.membership.version_tracker import MAX_LIST_GAP_S, VersionTracker

LIFETIME_S = 30.0


def target(version, service="s", target_id="e"):
    return ListedTarget(target_id, service, "a:1", "d", software_version=version)


def versions(*names):
    return {"s": frozenset(names)}


@pytest.fixture
def tracker():
    return VersionTracker(has_unlisted=False)


def read(tracker, listed, since, until, *present):
    """Read the list each second, and return the changes after the last reading."""
    for second in range(since, until + 1):
        tracker.replace(float(second), map(target, present), listed)
    return tracker.changes(float(until), listed, LIFETIME_S)


def test_version_is_listed_from_its_first_target_on(tracker):
    tracker.add([target("v1")])
    assert tracker.changes(0.0, {}, LIFETIME_S) == versions("v1")
    tracker.replace(1.0, [target("v2")], versions("v1"))
    assert tracker.changes(1.0, versions("v1"), LIFETIME_S) == versions("v1", "v2")


def test_version_stays_while_streams_of_its_last_targets_may_last(tracker):
    listed = versions("v1", "v2")
    assert read(tracker, listed, 0, 29, "v2") == {}
    assert read(tracker, listed, 30, 30, "v2") == versions("v2")
    assert read(tracker, listed, 31, 31, "v1", "v2") == {}
    assert read(tracker, listed, 32, 61, "v2") == {}
    assert read(tracker, listed, 62, 62, "v2") == versions("v2")


def test_version_does_not_leave_while_the_list_is_lost(tracker):
    listed = versions("v1", "v2")
    read(tracker, listed, 0, 25, "v2")
    back_at = 26 + int(MAX_LIST_GAP_S)
    assert read(tracker, listed, back_at, back_at + 29, "v2") == {}
    assert read(tracker, listed, back_at + 30, back_at + 30, "v2") == versions("v2")


def test_service_without_targets_is_forgotten(tracker):
    assert read(tracker, versions("v1"), 0, 30) == versions()


def test_lost_records_make_streams_unknown_as_long_as_these_may_last(tracker):
    listed = versions("v1", "")
    read(tracker, listed, 0, 29, "v1")
    tracker.mark_unknown("s")
    assert tracker.changes(29.0, versions("v1"), LIFETIME_S) == listed
    assert read(tracker, listed, 30, 59, "v1") == {}
    assert read(tracker, listed, 60, 60, "v1") == versions("v1")


def test_streams_of_an_earlier_software_are_unknown():
    tracker = VersionTracker(has_unlisted=True)
    tracker.add([target("v1")])
    assert tracker.changes(0.0, {}, LIFETIME_S) == versions("v1", "")
    listed = versions("v1", "")
    assert read(tracker, listed, 0, 29, "v1") == {}
    assert read(tracker, listed, 30, 30, "v1") == versions("v1")
