"""One request from admission to its end, without a network."""

from types import SimpleNamespace

import pytest

from berylnotch.daemon.fleet.follower import RETRY_S
from berylnotch.daemon.fleet.replica_host import CONSENSUS
from berylnotch.entry.admitted import Admitted
from berylnotch.entry.context import EntryContext
from berylnotch.entry.exchange import Exchange
from berylnotch.entry.prompts import PromptMemory
from berylnotch.entry.quota_gate import QuotaGate
from berylnotch.entry.settings import EntrySettings
from berylnotch.entry.targets import TargetTable
from berylnotch.group.messages import TargetEntry
from berylnotch.membership.crashes import CrashGuard
from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.platform.configuration import decode_configuration
from berylnotch.platform.requests import decode_request
from berylnotch.quota.bounds import FLEET_QUOTA
from berylnotch.quota.local import LocalQuota
from berylnotch.routing.model import Organisation
from berylnotch.routing.table import RouteTable
from berylnotch.settings.fleet import FleetBounds
from berylnotch.transport.link import LinkSettings
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Loop
from berylnotch.util.metrics import Metrics
from tests.fleet.processes import configuration
from tests.test_platform.test_configuration import encode


class Connection:
    """A caller that takes what it is sent."""

    on_gone = on_drained = None
    is_congested = False

    def __init__(self):
        self.answers = []

    def respond(self, status, headers, body=b""):
        self.answers.append((status, headers, body))


class Log:
    """A log that keeps its events."""

    def __init__(self):
        self.events = []

    def info(self, event, **fields):
        self.events.append((event, fields))

    warning = error = info


@pytest.fixture
def context():
    settings, loop = EntrySettings(), Loop("test")
    bounds = FleetBounds()
    made = EntryContext(
        settings=settings,
        fleet=SimpleNamespace(bounds=bounds, failure_domain="north"),
        loop=loop,
        log=Log(),
        metrics=Metrics(),
        targets=TargetTable(loop, settings),
        gate=QuotaGate(LocalQuota(FLEET_QUOTA), settings.quota_wait_s),
        prompts=PromptMemory(),
        crashes=CrashGuard(settings.membership),
    )
    values = configuration(3)
    del values["tenants"]
    made.routes = RouteTable(decode_configuration(encode(values)))
    models = (ModelVersion("model-1", 1),)
    made.targets.update(
        [
            TargetEntry(
                ListedTarget("e", "llm", "127.0.0.1:9", "north", 8, models=models)
            )
        ]
    )
    return made


def make_exchange(context, organisation=None, **changes):
    headers = Headers(
        (
            ("Host", "app.example"),
            ("Berylnotch-Request-Id", "id-1"),
            ("Berylnotch-Model", "model-1"),
            ("Berylnotch-Token-Count", "3000,20"),
            ("Berylnotch-Prefix-Hash", "aa:2000,bb:1000"),
        )
    )
    request = HttpRequest("POST", "/chat/x", headers, b"{}", boot_time())
    for name, value in changes.items():
        setattr(request, name, value)
    route = context.routes.route("app.example", request.path)
    admitted = Admitted(request, decode_request(request), route, organisation)
    connection, ended = Connection(), []
    exchange = Exchange(context, connection, admitted, ended.append)
    exchange.start()
    return exchange, connection, ended


def test_a_caller_that_leaves_leaves_nothing_behind(context):
    _, connection, ended = make_exchange(context)
    target = context.targets.get("e")
    assert target.in_flight == 1 and target.unread == 3000
    connection.on_gone()
    assert len(ended) == 1
    assert target.in_flight == 0 and target.unread == 0
    assert context.crashes._running == {}


def test_no_usable_target_is_told_at_once_with_a_time_to_come_back(context):
    target = context.targets.get("e")
    target.is_loading, target.loading_until = True, boot_time() + 1.5
    _, connection, ended = make_exchange(context)
    status, headers, _ = connection.answers[0]
    assert status == 503 and len(ended) == 1
    assert 1.0 < float(headers.get("Retry-After")) <= 1.5
    event, fields = context.log.events[-1]
    assert event == "finished" and fields["reason"].startswith("no-target")


def test_a_request_without_time_left_is_refused_unsent(context):
    _, connection, _ = make_exchange(context, received_at=boot_time() - 60)
    assert connection.answers[0][0] == 503
    assert context.targets.get("e").in_flight == 0


def test_a_request_that_would_come_too_late_is_refused(context):
    target = context.targets.get("e")
    target.others_in_flight, target.others_unread = 60, 900_000
    _, connection, _ = make_exchange(context)
    status, headers, _ = connection.answers[0]
    assert status == 503 and float(headers.get("Retry-After")) > 1
    assert context.log.events[-1][1]["reason"].startswith("too-late")


def test_without_the_owner_of_limits_callers_come_back_when_there_is_one(context):
    alpha = Organisation("alpha", ("k",), 0, 50_000, 100_000, True, 200)
    _, connection, ended = make_exchange(context, organisation=alpha)
    assert connection.answers == []
    waited_s = context.settings.quota_wait_s
    context.gate.serve(boot_time() + waited_s)
    status, headers, _ = connection.answers[0]
    assert status == 503 and len(ended) == 1
    # The next owner is elected by then, and routers have left the silent one.
    failover_s = max(CONSENSUS.election_max_s, LinkSettings().silence_s) + RETRY_S
    assert waited_s + float(headers.get("Retry-After")) >= failover_s
    assert context.log.events[-1][1]["reason"].startswith("no-grant")
