"""The main job of the product on loopback, step by step."""

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
from berylnotch.standins.texts import DOMAINS, SmallFleet, small_text
from berylnotch.transport.identity import OPERATOR_PREFIX, identity_key

_KEY = re.compile(r"bn-[0-9a-f]{12}-[A-Za-z0-9_-]+")
_PROMPT = "Importer contract, clause by clause. " * 400


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    return argparse.ArgumentParser(
        prog="make demo", description="Serve a request from end to end on loopback."
    )


def main(argv: Sequence[str] | None = None) -> int:
    """Run the demonstration and return its exit code."""
    get_parser().parse_args(argv)
    folder = Path(tempfile.mkdtemp(prefix="berylnotch-demo-"))
    fleet = LocalFleet(folder)
    try:
        _run(fleet)
    except (ChildError, ConditionError, BerylnotchError, OSError) as error:
        print(f"demo failed: {error}; logs are in {folder}", file=sys.stderr)
        return 1
    finally:
        fleet.close()
    shutil.rmtree(folder)
    print("done: everything stopped, nothing left behind")
    return 0


def _run(fleet: LocalFleet) -> None:
    small = _start(fleet)
    text_file = fleet.folder / "fleet.ini"
    text_file.write_text(small_text(small), encoding="utf-8")
    operator = _Operator(fleet)
    operator.run("check", str(text_file))
    operator.run("apply", str(text_file), "--base", "0")
    given = json.loads(operator.run("keys", "give", "importer-desk", "--json"))
    address = _ask_address(small)
    caller = CallerClient(address, given["key"])
    wait_for(lambda: caller.send("GET", "/v1/models").status == 200, "key in force")
    _use(caller)
    operator.run("keys", "withdraw", given["key_id"])
    wait_for(lambda: caller.send("GET", "/stock").status == 401, "key withdrawn")
    refused = caller.send("GET", "/stock")
    _say(f"caller:   GET /stock -> {refused.status}, run={refused.run}")
    operator.run("status")
    _stop(fleet)


class _Operator:
    """Runs the operators' tool and shows its commands and what they print."""

    def __init__(self, fleet: LocalFleet) -> None:
        self._settings = fleet.folder / "operator.ini"
        key = identity_key(fleet.secret, OPERATOR_PREFIX + OPERATOR)
        key_file = fleet.folder / "operator.key"
        key_file.write_text(key.hex(), encoding="utf-8")
        controllers = "".join(f"{n} = {a}\n" for n, a in fleet.controllers.items())
        self._settings.write_text(
            f"[operator]\nname = {OPERATOR}\nkey-file = {key_file}\n"
            f"[controllers]\n{controllers}",
            encoding="utf-8",
        )

    def run(self, *arguments: str) -> str:
        """Run one command and return its output."""
        shown = " ".join(Path(a).name if "/" in a else a for a in arguments)
        _say(f"operator: berylnotch {shown}")
        out = io.StringIO()
        code = tool.main(["--settings", str(self._settings), *arguments], out=out)
        text = out.getvalue()
        for line in text.splitlines():
            _say(f"            {_KEY.sub('KEY', line)}")
        if code:
            raise ConditionError(f"berylnotch {shown} ended with {code}")
        return text


def _start(fleet: LocalFleet) -> SmallFleet:
    _say("start three controllers and form their group")
    fleet.start_controllers(("c1", "c2", "c3"), DOMAINS[:3])
    _say(f"          {fleet.leader()} leads")
    _say("start stand-ins: two engines, one order desk; and two routers")
    engines = tuple(
        (name, fleet.start_engine(name).address) for name in ("sake-1-a", "sake-1-b")
    )
    plain = (("order-1", fleet.start_plain("order-1").address),)
    routers = tuple(
        (name, fleet.start_router(name, domain).address)
        for name, domain in (("entry-1", DOMAINS[0]), ("entry-2", DOMAINS[1]))
    )
    return SmallFleet(routers, engines, plain)


def _ask_address(small: SmallFleet) -> str:
    anywhere = CallerClient(small.routers[0][1])
    path = "/berylnotch/address?organisation=importer-desk"
    wait_for(lambda: anywhere.send("GET", path).status == 200, "address answer")
    answer = anywhere.send("GET", path).json()
    _say(f"caller:   which entry VM? {answer['addresses']}, keep {answer['keep_s']} s")
    return answer["addresses"][0]


def _use(caller: CallerClient) -> None:
    streamed = caller.chat("sake-1", _PROMPT)
    events = streamed.events()
    _say(
        f"caller:   streamed chat -> {streamed.status}, {len(events) - 1} events and "
        f"the end marker {events[-1]}, run={streamed.run}"
    )
    stock = caller.send("GET", "/stock")
    _say(f"caller:   GET /stock -> {stock.status}, {stock.json()}")
    headers = {"Idempotency-Key": "booking-1"}
    booked = caller.post("/orders", {"order": "B-17"}, headers)
    _say(f"caller:   POST /orders -> {booked.status}, {booked.json()}")
    again = caller.post("/orders", {"order": "B-17"}, headers)
    replayed = again.headers.get("idempotent-replayed", "false")
    _say(f"caller:   the same again -> {again.status}, replayed={replayed}, ran once")


def _stop(fleet: LocalFleet) -> None:
    _say("stop: SIGTERM to every process, routers first")
    names = sorted(fleet.children, key=lambda name: not name.startswith("entry"))
    for name in names:
        code = fleet.children[name].stop()
        _say(f"          {name} ended with code {code}")
        if code:
            raise ChildError(f"{name} ended with code {code}")


def _say(text: str) -> None:
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main())
