"""Log entries of sends, which tell what a send does to a stream."""

import pytest

from berylnotch.entry.records import Progress, describe_send
from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.platform.requests import TargetHeaders, decode_request


@pytest.mark.parametrize(
    "kind, sends, after, origin, resumes",
    [
        ("first", 1, None, "", ""),
        ("repeat", 2, None, "", ""),
        ("resume", 2, 4, "", ""),
        ("move", 1, 4, "127.0.0.1:1/h", ""),
        ("take-up", 1, 3, "", "id-0"),
        ("repeat", 2, 3, "", "id-0"),
    ],
)
def test_log_cannot_tell_what_a_send_does_to_a_stream(
    kind, sends, after, origin, resumes
):
    pairs = (("Resumes", resumes), ("Last-Event-Id", "3")) if resumes else ()
    caller = decode_request(HttpRequest("POST", "/", Headers(pairs), b""))
    headers = TargetHeaders(1.0, "t", resume_after=after, run_origin=origin)
    assert describe_send(caller, headers, Progress(sends=sends)) == kind
