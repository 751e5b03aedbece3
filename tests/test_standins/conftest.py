from __future__ import annotations

import contextlib
import json
import subprocess
import sys
import time
from urllib import error, request

import pytest
from attrs import frozen


@frozen
class StandInProcess:
    """Process of a stand-in."""

    process: subprocess.Popen
    address: str

    def call(self, path, body=None, headers=None):
        """Send a request and return status, header fields and body."""
        data = None if body is None else json.dumps(body).encode()
        url = f"http://{self.address}{path}"
        http_request = request.Request(url, data, headers or {})
        try:
            with request.urlopen(http_request, timeout=20) as response:
                return response.status, response.headers, response.read()
        except error.HTTPError as error_response:
            return error_response.code, error_response.headers, error_response.read()

    def json(self, path, body=None):
        return json.loads(self.call(path, body)[2])

    def faults(self, **faults):
        assert self.call("/standin/faults", faults)[0] == 200


@contextlib.contextmanager
def run_stand_in(module, *args):
    command = [sys.executable, "-m", f"berylnotch.standins.{module}", "--port", "0"]
    process = subprocess.Popen(
        [*command, *args], stdout=subprocess.PIPE, text=True, encoding="utf-8"
    )
    try:
        first_line = process.stdout.readline().split()
        assert first_line[0] == "listening"
        yield StandInProcess(process, first_line[1])
        process.terminate()
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def wait_until(condition):
    for _ in range(2000):
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError("condition did not become true within 20 s")


@pytest.fixture(scope="module")
def shared_engine():
    args = ("--first-ms", "1", "--piece-ms", "1", "--interval-ms", "1")
    with run_stand_in("engine", *args, "--load-ms", "50") as stand_in:
        yield stand_in


@pytest.fixture
def engine(shared_engine):
    shared_engine.faults()
    return shared_engine


@pytest.fixture(scope="module")
def desk():
    with run_stand_in("plain") as stand_in:
        yield stand_in
