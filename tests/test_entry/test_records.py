"""Log entries of sends, which tell what a send does to a stream."""

import pytest

from berylnotch.entry.records import Progress, describe_send
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.platform.requests import TargetHeaders, decode_request


@pytest.mark.parametrize(
    "kind, sends, has_begun, origin, resumes",
    [
        ("first", 1, False, "", ""),
        ("repeat", 2, False, "", ""),
        ("resume", 2, True, "", ""),
        ("takeover", 1, True, "127.0.0.1:1/h", ""),
        ("take-up", 1, False, "", "id-0"),
        ("repeat", 2, False, "", "id-0"),
        ("resume", 2, True, "", "id-0"),
    ],
)
def test_log_cannot_tell_what_a_send_does_to_a_stream(
    context, kind, sends, has_begun, origin, resumes
):
    pairs = (("Resumes", resumes), ("Last-Event-Id", "3")) if resumes else ()
    caller = decode_request(HttpRequest("POST", "/", Headers(pairs), b""))
    route = context.routes.route("app.example", "/chat/x")
    routed = RoutedRequest(None, caller, route, None)
    headers = TargetHeaders(1.0, "t", run_origin=origin)
    assert describe_send(routed, headers, Progress(sends), has_begun) == kind
