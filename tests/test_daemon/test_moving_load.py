"""Simulation of long runs during a rollout of weights, with and without migration.

A load of weights waits for the runs of its engine, so that engines are unavailable for
long and requests are refused. Migration of the runs to other engines prevents this.
Five engines have eight slots each for runs of 2.5 s, and twelve runs start each second.
All engines load weights, for 0.76 s each. Without migration, a load waits until the
runs of its engine have ended.
"""

import json

import pytest
from attrs import define, evolve, field

from berylnotch.daemon.fleet import weights
from berylnotch.entry.relocation import choose_destination
from berylnotch.membership.listing import ModelVersion
from berylnotch.net.messages import Headers, HttpResponse
from tests.test_daemon.test_fleet_weights import Clock, make_rollout
from tests.test_entry.support import MODEL, long_request, make_target

LOAD_S, RUN_S, SLOTS, RUNS_PER_S = 0.76, 2.5, 8, 12

#: Time step and duration of the simulation, in seconds.
STEP_S, DURATION_S = 0.02, 14.0


@define(eq=False)
class Engine:
    """Simulated engine: the end times of its runs and the load that it was ordered."""

    target: object
    version: int = 1
    runs: list = field(factory=list)
    ordered_version: int = 0
    load_ends_at: float = 0.0
    orders: int = 0

    def advance(self, now):
        self.runs = [end for end in self.runs if end > now]
        if not self.ordered_version:
            return
        if not self.load_ends_at and not self.runs:
            self.load_ends_at = now + LOAD_S
        elif self.load_ends_at and now >= self.load_ends_at:
            self.version, self.ordered_version, self.load_ends_at = (
                self.ordered_version,
                0,
                0.0,
            )

    def respond(self, request):
        if request.target == "/order":
            self.ordered_version = json.loads(request.body)["version"]
            self.orders += 1
            return HttpResponse(202, Headers(), b"{}")
        body = {
            "busy": bool(self.ordered_version),
            "seqNo": self.orders,
            "models": [{"name": "m", "version": self.version}],
        }
        return HttpResponse(200, Headers(), json.dumps(body).encode())


class Simulation:
    """A leader's rollout on simulated engines, and the routers' work at each step."""

    def __init__(self, clock, monkeypatch, can_move):
        self.clock, self.can_move = clock, can_move
        self.refused = self.started = self.moved = 0
        self.unavailable_s = {}
        self.engines = {f"e{n}": Engine(make_target(f"e{n}")) for n in range(5)}
        long_requests = {}
        self.long_requests = long_requests
        self.rollout, self.inventory = make_rollout(clock, long_requests, clock.now + 2)
        id_by_address = {t.address: t.target_id for t in self.inventory.targets()}

        def fetch(_loop, address, request, _seconds, done):
            response = self.engines[id_by_address[str(address)]].respond(request)
            clock.call_later(0.002, lambda: done(response, ""))

        monkeypatch.setattr(weights, "fetch", fetch)

    def run(self):
        end_at, next_run_at = self.clock.now + DURATION_S, self.clock.now
        while self.clock.now < end_at:
            self.clock.advance(STEP_S)
            now = self.clock.now
            for engine in self.engines.values():
                engine.advance(now)
            self.apply_board()
            if self.can_move:
                self.move_runs()
            while next_run_at <= now:
                next_run_at += 1 / RUNS_PER_S
                self.start_run(now)
            for name, engine in self.engines.items():
                self.long_requests[name] = len(engine.runs)
            if now >= 102.0:
                self.rollout.advance()
        return self

    def apply_board(self):
        for entry in self.inventory.entries():
            name = entry.target.target_id
            engine, target = self.engines[name], self.engines[name].target
            target.is_emptying, target.is_loading = entry.is_emptying, entry.is_loading
            target.loading_until = self.clock.now + 1
            models = (ModelVersion(MODEL, engine.version),)
            target.listed = evolve(target.listed, models=models, slots=2 * SLOTS)
            target.in_flight = len(engine.runs)
            if entry.is_emptying or entry.is_loading:
                self.unavailable_s[name] = self.unavailable_s.get(name, 0.0) + STEP_S

    def move_runs(self):
        targets = [engine.target for engine in self.engines.values()]
        for engine in self.engines.values():
            while engine.target.is_emptying and engine.runs:
                request = long_request(now=self.clock.now)
                destination = choose_destination(targets, request, engine.target)
                if destination is None:
                    break
                run = engine.runs.pop()
                self.engines[destination.target_id].runs.append(run)
                destination.in_flight += 1
                self.moved += 1

    def start_run(self, now):
        available = [
            engine
            for engine in self.engines.values()
            if not engine.target.is_emptying
            and not engine.target.is_loading
            and not engine.ordered_version
            and len(engine.runs) < SLOTS
        ]
        self.started += 1
        if available:
            min(available, key=lambda e: len(e.runs)).runs.append(now + RUN_S)
        else:
            self.refused += 1

    @property
    def mean_unavailable_s(self):
        return sum(self.unavailable_s.values()) / len(self.unavailable_s)


@pytest.fixture
def simulate(monkeypatch):
    def simulate(can_move):
        clock = Clock()
        monkeypatch.setattr(weights, "boot_time", lambda: clock.now)
        return Simulation(clock, monkeypatch, can_move).run()

    return simulate


def test_moving_runs_shortens_unavailability_and_reduces_refusals(simulate):
    waiting, moving = simulate(can_move=False), simulate(can_move=True)
    for result in (waiting, moving):
        assert [e.version for e in result.engines.values()] == [2] * 5
        assert [e.orders for e in result.engines.values()] == [1] * 5
    assert moving.moved > 10
    # The last engine with older weights has no destination for its runs, so it waits.
    assert moving.mean_unavailable_s < 0.6 * waiting.mean_unavailable_s
    assert 2 * moving.refused <= waiting.refused
