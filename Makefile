PYTHON ?= python3.11
BIN = .venv/bin

.PHONY: demo test lint bench soak clean

.venv/installed: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[test,bench]'
	touch $@

demo: .venv/installed
	$(BIN)/python -m berylnotch.standins.demo

test: .venv/installed
	$(BIN)/python -m pytest

lint: .venv/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

bench: .venv/installed
	$(BIN)/python -m benchmarks.control
	$(BIN)/python -m benchmarks.control_state
	$(BIN)/python -m benchmarks.consensus
	$(BIN)/python -m benchmarks.quota
	$(BIN)/python -m benchmarks.router_cost
	$(BIN)/python -m benchmarks.decision_time
	$(BIN)/python -m benchmarks.rollout_judge
	$(BIN)/python -m benchmarks.rollout_exposure
	$(BIN)/python -m benchmarks.leader_changes
	$(BIN)/python -m benchmarks.policies --plot docs/design/policies.png

soak: .venv/installed
	$(BIN)/python -m soak --seeds 50

clean:
	rm -rf .venv var
