"""Target losses that a router reports must reach the leader that is there later."""

import pytest

from berylnotch.daemon.fleet.reports import LeaderReports
from berylnotch.group.messages import CrashMark


class Leader:
    """Records the reports that arrive; without a link they are lost."""

    def __init__(self):
        self.has_link, self.reports = True, []

    def send(self, report):
        if self.has_link:
            self.reports.append(report)

    @property
    def crashes(self):
        return [mark for report in self.reports for mark in report.crashes]


@pytest.fixture
def leader():
    return Leader()


@pytest.fixture
def reports(context, leader):
    context.fleet.name, context.fleet.listen = "r", "127.0.0.1:1"
    return LeaderReports(context, "1", lambda: False, leader.send)


MARK = CrashMark(b"request", "e")


def test_a_loss_without_a_leader_is_reported_to_the_next_leader(
    context, leader, reports
):
    leader.has_link = False
    context.record_target_loss("e", b"request")
    reports.send()
    leader.has_link = True
    reports.on_link_open()
    assert leader.crashes == [MARK]


def test_a_new_leader_learns_of_earlier_losses(context, leader, reports):
    context.record_target_loss("e", b"request")
    reports.send()
    reports.on_link_open()
    assert leader.crashes == [MARK, MARK]


def test_a_loss_is_reported_once_to_a_leader(context, leader, reports):
    context.record_target_loss("e", b"request")
    reports.send()
    reports.send()
    assert leader.crashes == [MARK]


def test_old_losses_are_not_reported_again(context, leader, reports):
    for number in range(2000):
        context.record_target_loss("e", b"%d" % number)
    reports.on_link_open()
    assert len(leader.crashes) <= 512 and leader.crashes[-1].fingerprint == b"1999"
