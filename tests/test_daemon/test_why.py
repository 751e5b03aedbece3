"""Routing decisions that ``berylnotch why`` reports, on real processes."""

from __future__ import annotations

from berylnotch.control.protocol import WhyRequest


def test_why_reports_the_outcome_of_a_finished_request(fleet, small_fleet, callers):
    answer = callers[0].chat("sake-1", "Draft a shipment answer.")
    assert answer.events()[-1] == "[DONE]"
    request = WhyRequest(answer.headers["x-request-id"])
    reply = fleet.client.call_at(fleet.peer(1), request)
    assert reply.lines
    assert reply.outcome
