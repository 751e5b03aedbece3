"""Streams of the request path, limited to the software version that began them."""

import pytest
from attrs import evolve

from berylnotch.entry.targets import OUTDATED_LISTING_S
from berylnotch.group.messages import TargetEntry, VersionQuery, VersionReply
from berylnotch.membership.stream_versions import stream_identity
from berylnotch.net.client import Failure
from berylnotch.net.listener_probe import ListenerState
from berylnotch.net.messages import Headers
from berylnotch.routing.model import Split
from berylnotch.util.clock import boot_time
from tests.test_entry.support import make_exchange

NAMED = (
    ("Host", "app.example"),
    ("Berylnotch-Request-Id", "id-2"),
    ("Berylnotch-Model", "model-1"),
    ("Berylnotch-Token-Count", "3000,20"),
    ("Last-Event-Id", "3"),
)
TAKE_UP = Headers((*NAMED, ("Resumes", "id-1")))


@pytest.fixture
def messages(context):
    context.send_to_leader = (sent := []).append
    return sent


def add_target(context, name, version):
    listed = evolve(
        context.targets.get("e").listed, target_id=name, software_version=version
    )
    context.targets.update([TargetEntry(listed)], gone=())


def begin(context, request_id="id-1"):
    """Return an exchange whose caller has the first event of a stream."""
    exchange, connection, _ = make_exchange(context)
    exchange.on_stream_begin(200, Headers())
    exchange.on_event(b"id: 1\ndata: x\n\n", 1)
    return exchange, connection


def test_take_up_is_sent_before_its_version_is_known(context, messages):
    add_target(context, "f", "v2")
    _, connection, _ = make_exchange(context, headers=TAKE_UP)
    assert messages == [VersionQuery(1, "llm", stream_identity("", "llm", "id-1"))]
    assert sum(t.in_flight for t in context.targets.all()) == 0
    context.streams.receive(VersionReply(1, "v2"))
    assert [t.target_id for t in context.targets.all() if t.in_flight] == ["f"]
    assert not connection.answers


@pytest.mark.parametrize("has_reply", [True, False])
def test_take_up_of_an_unknown_stream_runs(context, messages, has_reply):
    _, connection, ended = make_exchange(context, headers=TAKE_UP)
    if has_reply:
        context.streams.receive(VersionReply(1, ""))
    else:
        context.streams.serve(boot_time() + context.settings.version_wait_s)
    (status, headers, _) = connection.answers[0]
    assert status == 503 and 0 < float(headers.get("Retry-After")) < 1
    assert ended and not context.targets.get("e").in_flight


def test_take_up_without_a_target_of_its_version_is_held(context, messages):
    _, connection, _ = make_exchange(context, headers=TAKE_UP)
    context.streams.receive(VersionReply(1, "v0"))
    assert [answer[0] for answer in connection.answers] == [503]


def test_take_up_without_its_first_request_names_no_stream(context, messages):
    make_exchange(context, headers=Headers(NAMED))
    assert messages == [VersionQuery(1, "llm", b"")]


def test_own_streams_need_a_leader(context, messages):
    begin(context)
    _, connection, _ = make_exchange(context, headers=TAKE_UP)
    assert not messages and not connection.answers
    assert context.targets.get("e").in_flight == 2


def test_begun_stream_is_retried_at_another_version(context):
    exchange, _ = begin(context)
    add_target(context, "f", "v2")
    assert not exchange.can_retry_elsewhere()
    add_target(context, "g", "v1")
    assert exchange.can_retry_elsewhere()


def test_restarted_target_counts_as_its_earlier_version(context):
    target = context.targets.get("e")
    exchange, _, _ = make_exchange(context)
    exchange._attempt.on_failure(Failure.NOT_SENT, "refused")
    now = boot_time()
    assert not target.has_software("v1", now)
    assert target.has_software("v1", now + OUTDATED_LISTING_S)


def test_lack_of_sockets_here_makes_no_version_unknown(context):
    exchange, _, _ = make_exchange(context)
    exchange._attempt.on_failure(Failure.NO_SOCKET, "too many open files")
    assert context.targets.get("e").has_software("v1", boot_time())


def test_target_without_a_version_continues_a_stream_without_one(context):
    add_target(context, "e", "")
    exchange, _ = begin(context)
    add_target(context, "f", "")
    assert not exchange.can_retry_elsewhere()


def test_take_up_waits_behind_new_requests_of_its_organisation(context, messages):
    exchange, _, _ = make_exchange(context, headers=TAKE_UP)
    routed = exchange._routed
    route = evolve(routed.route, priority=2)
    assert evolve(routed, route=route).priority == 0
    new_request = evolve(routed.caller, resumes="", resume_after=None)
    assert evolve(routed, route=route, caller=new_request).priority == 2


def test_take_up_on_a_split_route_comes_to_another_service(context, messages):
    first = Headers((*NAMED[:1], ("Berylnotch-Request-Id", "id-1"), *NAMED[2:-1]))
    route = context.routes.route("app.example", "/chat/x")
    splits = (Split("llm", 1), Split("desk", 1))
    context.routes.route = lambda host, path: evolve(route, splits=splits)
    services = [
        make_exchange(context, headers=headers)[0]._service.name
        for headers in (first, *[TAKE_UP] * 20)
    ]
    assert len(set(services)) == 1


@pytest.mark.parametrize(
    "state, is_known", [(ListenerState.REFUSED, False), (ListenerState.LISTENING, True)]
)
def test_reset_connection_counts_as_the_end_of_a_target(context, state, is_known):
    target = context.targets.get("e")
    context.loss_prober._waiting["e"] = []
    context.loss_prober._finish(target, state)
    assert target.has_software("v1", boot_time()) is is_known
