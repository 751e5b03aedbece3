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
class Program:
    """A stand-in that runs as a process."""

    process: subprocess.Popen
    address: str

    def call(self, path, body=None, headers=None):
        """Return status, header fields and body."""
        data = None if body is None else json.dumps(body).encode()
        url = f"http://{self.address}{path}"
        ask = request.Request(url, data, headers or {})
        try:
            with request.urlopen(ask, timeout=20) as answer:
                return answer.status, answer.headers, answer.read()
        except error.HTTPError as refusal:
            return refusal.code, refusal.headers, refusal.read()

    def json(self, path, body=None):
        return json.loads(self.call(path, body)[2])

    def faults(self, **faults):
        assert self.call("/standin/faults", faults)[0] == 200


@contextlib.contextmanager
def run_program(module, *args):
    command = [sys.executable, "-m", f"berylnotch.standins.{module}", "--port", "0"]
    process = subprocess.Popen(
        [*command, *args], stdout=subprocess.PIPE, text=True, encoding="utf-8"
    )
    try:
        line = process.stdout.readline().split()
        assert line[0] == "listening"
        yield Program(process, line[1])
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
    raise AssertionError("condition didn't come true in 20 s")


@pytest.fixture(scope="module")
def quick_engine():
    args = ("--first-ms", "1", "--piece-ms", "1", "--interval-ms", "1")
    with run_program("engine", *args, "--load-ms", "50") as program:
        yield program


@pytest.fixture
def engine(quick_engine):
    quick_engine.faults()
    return quick_engine


@pytest.fixture(scope="module")
def desk():
    with run_program("plain") as program:
        yield program
