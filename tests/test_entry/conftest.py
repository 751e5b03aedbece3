"""Fixture for the shared state of a router's request path, without a network."""

from types import SimpleNamespace

import pytest

from berylnotch.entry.context import EntryContext
from berylnotch.entry.quota_gate import QuotaGate
from berylnotch.entry.settings import EntrySettings
from berylnotch.entry.targets import TargetTable
from berylnotch.group.messages import TargetEntry
from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.placement.cache_model import CacheModel
from berylnotch.platform.configuration import decode_configuration
from berylnotch.quota.bounds import FLEET_QUOTA
from berylnotch.quota.local import LocalQuota
from berylnotch.routing.table import RouteTable
from berylnotch.settings.fleet import FleetBounds
from berylnotch.util.loop import Loop
from berylnotch.util.metrics import Metrics
from tests.fleet.processes import configuration
from tests.test_entry.support import Log, connect_retry_owner, earn_retry
from tests.test_platform.test_configuration import encode


@pytest.fixture
def context():
    settings, loop = EntrySettings(), Loop("test")
    bounds = FleetBounds()
    entry_context = EntryContext(
        settings=settings,
        fleet=SimpleNamespace(bounds=bounds, failure_domain="north"),
        loop=loop,
        log=Log(),
        metrics=Metrics(),
        targets=TargetTable(loop, settings),
        gate=QuotaGate(LocalQuota(FLEET_QUOTA), settings.quota_wait_s),
        prompts=CacheModel(),
    )
    values = configuration(3)
    del values["tenants"]
    entry_context.routes = RouteTable(decode_configuration(encode(values)))
    models = (ModelVersion("model-1", 1),)
    entry_context.targets.update(
        [
            TargetEntry(
                ListedTarget(
                    "e",
                    "llm",
                    "127.0.0.1:9",
                    "north",
                    8,
                    models=models,
                    software_version="v1",
                )
            )
        ]
    )
    connect_retry_owner(entry_context)
    for service in ("llm", "desk"):
        earn_retry(entry_context, service)
    return entry_context
