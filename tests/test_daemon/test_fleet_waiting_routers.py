"""Tests of the routers that wait at a controller without a known leader."""

from berylnotch.daemon.fleet.waiting_routers import MAX_WAIT_S, WaitingRouters
from berylnotch.group.messages import (
    CompletionNotice,
    CrashMark,
    StreamRecords,
    VersionQuery,
)
from tests.test_daemon.test_fleet_registry import Link, report


def test_all_routers_are_answered_once_a_leader_is_known():
    waiting_routers, links = WaitingRouters(), [Link() for _ in range(300)]
    for number, link in enumerate(links):
        waiting_routers.add(link, report(f"r{number}"), 10.0)
    assert waiting_routers.pop_due(10.1, False) == []
    answered = waiting_routers.pop_due(10.2, True)
    assert [link for link, _ in answered] == links
    assert answered[7][1].name == "r7"
    assert waiting_routers.pop_due(10.3, True) == []


def test_later_reports_do_not_extend_the_wait_without_a_leader():
    waiting_routers, link = WaitingRouters(), Link()
    waiting_routers.add(link, report(version=1), 10.0)
    waiting_routers.add(link, report(version=2), 10.0 + MAX_WAIT_S / 2)
    ((answered, newest_report),) = waiting_routers.pop_due(10.0 + MAX_WAIT_S, False)
    assert answered is link and newest_report.configuration_version == 2


def test_closed_link_is_not_answered():
    waiting_routers, link = WaitingRouters(), Link()
    waiting_routers.add(link, report(), 10.0)
    waiting_routers.remove(link)
    assert waiting_routers.pop_due(20.0, True) == []


def test_losses_in_an_earlier_report_reach_the_leader_that_is_found_later():
    waiting_routers, link = WaitingRouters(), Link()
    mark, notice = CrashMark(b"request", "e"), CompletionNotice(b"other", 5)
    waiting_routers.add(link, report(crashes=(mark,), completed=(notice,)), 10.0)
    waiting_routers.add(link, report(), 10.15)
    ((_, merged),) = waiting_routers.pop_due(10.2, True)
    assert merged.crashes == (mark,) and merged.completed == (notice,)


def test_records_and_queries_sent_before_a_leader_is_known_reach_the_leader():
    # The report that follows tells the leader that it has the records.
    waiting_routers, link = WaitingRouters(), Link()
    messages = (StreamRecords("s", "v1", b"12345678"), VersionQuery(1, "s", b""))
    for message in messages:
        waiting_routers.keep(link, message)
    assert waiting_routers.take_kept(link) == messages
    assert waiting_routers.take_kept(link) == ()
    waiting_routers.keep(link, messages[0])
    waiting_routers.remove(link)
    assert waiting_routers.take_kept(link) == ()
