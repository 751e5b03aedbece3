"""Memory of a router whose callers don't read: `python -m benchmarks.slow_callers`."""

from __future__ import annotations

import argparse
import http.client
import json
import shutil
import socket
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

from benchmarks.process_stat import read_process_stat
from benchmarks.router_cost import start_deployment
from benchmarks.stream_check import StreamCheck
from berylnotch.standins.fleet import LocalFleet

_ENGINE = ("--slots", "500", "--first-ms", "1", "--interval-ms", "0.2")
_READ_BYTES = 64 * 1024
_RECEIVE_BUFFER_BYTES = 16 * 1024
_TIMEOUT_S = 120


def open_stream(address: str, key: str, number: int, tokens: int):
    """Send a request and return the response, unread."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    # With the default buffer, the kernel would hold megabytes for a caller that
    # doesn't read.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    sock.settimeout(_TIMEOUT_S)
    sock.connect((host, int(port)))
    connection = http.client.HTTPConnection(host, int(port))
    connection.sock = sock
    body = {
        "model": "sake-1",
        "prompt": f"slow {number}",
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {"authorization": f"Bearer {key}"}
    connection.request("POST", "/v1/completions", json.dumps(body), headers)
    return connection.getresponse()


def read_all(response: http.client.HTTPResponse, tokens: int) -> StreamCheck:
    """Read a response to its end and return its check."""
    check = StreamCheck(tokens)
    while data := response.read1(_READ_BYTES):
        check.feed(data)
    return check


def get_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.slow_callers",
        description="Measure a router's memory while callers don't read.",
    )
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--tokens", type=int, default=30000)
    parser.add_argument("--stall-s", type=float, default=20.0)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Print the router's memory; return 1 if a stream was incomplete or faulty."""
    args = get_parser().parse_args(argv)
    folder = Path(tempfile.mkdtemp(prefix="berylnotch-slow-"))
    fleet = LocalFleet(folder)
    try:
        checks = run(fleet, args)
    finally:
        fleet.close()
    shutil.rmtree(folder)
    whole = sum(check.is_whole for check in checks)
    print(f"{whole} of {len(checks)} streams whole")
    return 0 if whole == len(checks) else 1


def run(fleet: LocalFleet, args: argparse.Namespace) -> list[StreamCheck]:
    """Open streams, stop reading for ``stall_s`` seconds, then read them to the end."""
    deployment = start_deployment(fleet, _ENGINE)
    pid = fleet.children["r1"].pid
    print(f"before: {read_process_stat(pid).rss_mb:.1f} MB", flush=True)
    responses = [
        open_stream(
            deployment.router, deployment.keys[n % len(deployment.keys)], n, args.tokens
        )
        for n in range(args.callers)
    ]
    time.sleep(args.stall_s)
    stalled = read_process_stat(pid)
    print(f"stalled: {stalled.rss_mb:.1f} MB, peak {stalled.peak_rss_mb:.1f} MB")
    checks = [read_all(response, args.tokens) for response in responses]
    after = read_process_stat(pid)
    print(f"after: {after.rss_mb:.1f} MB, peak {after.peak_rss_mb:.1f} MB")
    size_mb = sum(check.events for check in checks) * 280 / 1e6
    print(f"about {size_mb:.0f} MB delivered to {len(checks)} callers")
    return checks


if __name__ == "__main__":
    sys.exit(main())
