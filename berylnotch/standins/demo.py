"""Demonstration of a request through a complete fleet on loopback."""

from __future__ import annotations

import argparse
import io
import json
import re
import shutil
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from berylnotch.cmd import tool
from berylnotch.errors import BerylnotchError
from berylnotch.standins.caller import CallerClient
from berylnotch.standins.fleet import OPERATOR, ConditionError, LocalFleet, wait_for
from berylnotch.standins.process import ChildError
from berylnotch.standins.texts import DOMAINS, SmallFleet, small_fleet_text
from berylnotch.transport.identity import OPERATOR_PREFIX, identity_key

_KEY_PATTERN = re.compile(r"bn-[0-9a-f]{12}-[A-Za-z0-9_-]+")
_PROMPT = "Importer contract, clause by clause. " * 400


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    return argparse.ArgumentParser(
        prog="make demo", description="Serve a request from end to end on loopback."
    )


def main(argv: Sequence[str] | None = None) -> int:
    """Run the demonstration and return its exit code."""
    get_parser().parse_args(argv)
    directory = Path(tempfile.mkdtemp(prefix="berylnotch-demo-"))
    fleet = LocalFleet(directory)
    try:
        _run_demo(fleet)
    except (ChildError, ConditionError, BerylnotchError, OSError) as error:
        print(f"demo failed: {error}; logs are in {directory}", file=sys.stderr)
        return 1
    finally:
        fleet.close()
    shutil.rmtree(directory)
    print("done: everything stopped, nothing left behind")
    return 0


def _run_demo(fleet: LocalFleet) -> None:
    small_fleet = _start_fleet(fleet)
    configuration_file = fleet.folder / "fleet.ini"
    configuration_file.write_text(small_fleet_text(small_fleet), encoding="utf-8")
    operator_tool = _OperatorTool(fleet)
    operator_tool.run("check", str(configuration_file))
    operator_tool.run("apply", str(configuration_file), "--base", "0")
    issued_key = json.loads(
        operator_tool.run("keys", "give", "importer-desk", "--json")
    )
    address = _request_entry_address(small_fleet)
    caller = CallerClient(address, issued_key["key"])
    wait_for(lambda: caller.send("GET", "/v1/models").status == 200, "key in force")
    _send_sample_requests(caller)
    operator_tool.run("keys", "withdraw", issued_key["key_id"])
    wait_for(lambda: caller.send("GET", "/stock").status == 401, "key withdrawn")
    refused = caller.send("GET", "/stock")
    _print_line(f"caller:   GET /stock -> {refused.status}, run={refused.run}")
    operator_tool.run("status")
    _stop_fleet(fleet)


class _OperatorTool:
    """Runs the operators' tool and prints its commands and their output."""

    def __init__(self, fleet: LocalFleet) -> None:
        self._settings = fleet.folder / "operator.ini"
        key = identity_key(fleet.secret, OPERATOR_PREFIX + OPERATOR)
        key_file = fleet.folder / "operator.key"
        key_file.write_text(key.hex(), encoding="utf-8")
        controllers = "".join(
            f"{name} = {address}\n" for name, address in fleet.controllers.items()
        )
        self._settings.write_text(
            f"[operator]\nname = {OPERATOR}\nkey-file = {key_file}\n"
            f"[controllers]\n{controllers}",
            encoding="utf-8",
        )

    def run(self, *arguments: str) -> str:
        """Run one command and return its output."""
        command_line = " ".join(
            Path(argument).name if "/" in argument else argument
            for argument in arguments
        )
        _print_line(f"operator: berylnotch {command_line}")
        out = io.StringIO()
        code = tool.main(["--settings", str(self._settings), *arguments], out=out)
        text = out.getvalue()
        for line in text.splitlines():
            _print_line(f"            {_KEY_PATTERN.sub('KEY', line)}")
        if code:
            raise ConditionError(f"berylnotch {command_line} ended with {code}")
        return text


def _start_fleet(fleet: LocalFleet) -> SmallFleet:
    _print_line("start three controllers and form their group")
    fleet.start_controllers(("c1", "c2", "c3"), DOMAINS[:3])
    _print_line(f"          {fleet.leader()} leads")
    _print_line("start stand-ins: two engines, one order desk; and two routers")
    engines = tuple(
        (name, fleet.start_engine(name).address) for name in ("sake-1-a", "sake-1-b")
    )
    plain = (("order-1", fleet.start_plain("order-1").address),)
    routers = tuple(
        (name, fleet.start_router(name, domain).address)
        for name, domain in (("entry-1", DOMAINS[0]), ("entry-2", DOMAINS[1]))
    )
    return SmallFleet(routers, engines, plain)


def _request_entry_address(small_fleet: SmallFleet) -> str:
    client = CallerClient(small_fleet.routers[0][1])
    path = "/berylnotch/address?organisation=importer-desk"
    wait_for(lambda: client.send("GET", path).status == 200, "address answer")
    answer = client.send("GET", path).json()
    _print_line(
        f"caller:   which entry VM? {answer['addresses']}, keep {answer['keep_s']} s"
    )
    return answer["addresses"][0]


def _send_sample_requests(caller: CallerClient) -> None:
    streamed = caller.chat("sake-1", _PROMPT)
    events = streamed.events()
    _print_line(
        f"caller:   streamed chat -> {streamed.status}, {len(events) - 1} events and "
        f"the end marker {events[-1]}, run={streamed.run}"
    )
    stock = caller.send("GET", "/stock")
    _print_line(f"caller:   GET /stock -> {stock.status}, {stock.json()}")
    headers = {"Idempotency-Key": "booking-1"}
    first_booking = caller.post("/orders", {"order": "B-17"}, headers)
    _print_line(
        f"caller:   POST /orders -> {first_booking.status}, {first_booking.json()}"
    )
    repeated = caller.post("/orders", {"order": "B-17"}, headers)
    replayed = repeated.headers.get("idempotent-replayed", "false")
    _print_line(
        f"caller:   the same again -> {repeated.status}, replayed={replayed}, ran once"
    )


def _stop_fleet(fleet: LocalFleet) -> None:
    _print_line("stop: SIGTERM to every process, routers first")
    names = sorted(fleet.children, key=lambda name: not name.startswith("entry"))
    for name in names:
        code = fleet.children[name].stop()
        _print_line(f"          {name} ended with code {code}")
        if code:
            raise ChildError(f"{name} ended with code {code}")


def _print_line(text: str) -> None:
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main())
