from __future__ import annotations

import random

import pytest

from berylnotch.consensus.bootstrap import bootstrap, first_ready
from berylnotch.consensus.replica import Replica
from berylnotch.consensus.state import HardState
from berylnotch.consensus.storage import LogStorage
from tests.test_consensus.group import SETTINGS, members_of


@pytest.fixture
def folder(tmp_path):
    return tmp_path / "data"


def test_single_replica_over_real_files(folder):
    storage = LogStorage(folder, "a")
    recovered = storage.start()
    state = bootstrap(recovered, members_of(recovered.identity))
    storage.save(first_ready(state))
    replica = Replica(SETTINGS, state, random.Random(1), 0.0)
    replica.tick(2.0)
    for _ in range(3):
        ready = replica.ready()
        storage.save(ready)
        replica.advance(ready)
    index = replica.propose(2.0, b"x")
    ready = replica.ready()
    storage.save(ready)
    replica.advance(ready)
    assert replica.commit == index
    storage.close()
    again = LogStorage(folder, "other")
    found = again.start()
    again.close()
    assert found.identity == recovered.identity
    assert found.hard_state == HardState(2, recovered.identity)
    assert found.entries[-1].payload == b"x"
