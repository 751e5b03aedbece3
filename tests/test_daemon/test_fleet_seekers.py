"""Tests of the routers that wait at a controller without a known leader."""

from berylnotch.daemon.fleet.seekers import MAX_WAIT_S, Seekers
from tests.test_daemon.test_fleet_registry import Link, report


def test_all_routers_are_answered_once_a_leader_is_known():
    seekers, links = Seekers(), [Link() for _ in range(300)]
    for number, link in enumerate(links):
        seekers.add(link, report(f"r{number}"), 10.0)
    assert seekers.take(10.1, False) == []
    answered = seekers.take(10.2, True)
    assert [link for link, _ in answered] == links
    assert answered[7][1].name == "r7"
    assert seekers.take(10.3, True) == []


def test_later_reports_do_not_extend_the_wait_without_a_leader():
    seekers, link = Seekers(), Link()
    seekers.add(link, report(version=1), 10.0)
    seekers.add(link, report(version=2), 10.0 + MAX_WAIT_S / 2)
    ((answered, newest_report),) = seekers.take(10.0 + MAX_WAIT_S, False)
    assert answered is link and newest_report.configuration_version == 2


def test_closed_link_is_not_answered():
    seekers, link = Seekers(), Link()
    seekers.add(link, report(), 10.0)
    seekers.lost(link)
    assert seekers.take(20.0, True) == []
