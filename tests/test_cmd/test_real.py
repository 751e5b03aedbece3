"""The operators' tool against real controller and router processes."""

from __future__ import annotations

import io
import json

import pytest

from berylnotch.cmd.tool import main
from berylnotch.standins.caller import CallerClient
from berylnotch.standins.fleet import LocalFleet, wait_for
from berylnotch.standins.texts import DOMAINS, SmallFleet, small_fleet_text
from berylnotch.transport.identity import identity_key


@pytest.fixture
def fleet(tmp_path):
    fleet = LocalFleet(tmp_path)
    yield fleet
    fleet.close()


@pytest.fixture
def tool(fleet, tmp_path):
    """Run the tool as operator ravi; return exit code, output and errors."""
    key = identity_key(fleet.secret, "operator/ravi")
    (tmp_path / "ravi.key").write_text(key.hex())
    settings = tmp_path / "operator.ini"

    def run(*argv):
        controllers = "".join(f"{n} = {a}\n" for n, a in fleet.controllers.items())
        settings.write_text(
            "[operator]\nname = ravi\nkey-file = ravi.key\ntimeout = 20 s\n"
            f"[controllers]\n{controllers}"
        )
        out, err = io.StringIO(), io.StringIO()
        arguments = ["--settings", str(settings), *argv]
        code = main(arguments, out=out, err=err)
        return code, out.getvalue(), err.getvalue()

    return run


def test_from_nothing_to_a_repaired_group(fleet, tool, tmp_path):
    names = ("c1", "c2", "c3")
    fleet.start_all(
        [
            lambda name=name, domain=domain: fleet.start_controller(name, domain)
            for name, domain in zip(names, DOMAINS, strict=False)
        ]
    )
    assert tool("bootstrap")[0] == 0
    assert tool("bootstrap")[0] == 0
    order, router = fleet.start_all(
        [
            lambda: fleet.start_plain("order-1"),
            lambda: fleet.start_router("entry-1", DOMAINS[0]),
        ]
    )
    text = small_fleet_text(
        SmallFleet(
            routers=(("entry-1", router.address),),
            engines=(("sake-1-a", "127.0.0.1:9"),),
            plain=(("order-1", order.address),),
        )
    )
    path = tmp_path / "fleet.ini"
    path.write_text(text)
    code, out, err = tool("apply", str(path), "--base", "0")
    assert (code, out) == (0, "revision 1 is in force\n"), err
    assert tool("apply", str(path), "--base", "0")[0] == 3
    code, out, err = tool("keys", "give", "importer-desk", "--json")
    assert code == 0, err
    issued = json.loads(out)
    caller = CallerClient(router.address, issued["key"])
    wait_for(lambda: caller.send("GET", "/v1/models").status == 200, "key in force")
    code, out, err = tool("address")
    assert code == 0, err
    assert out.splitlines()[0] == router.address
    assert tool("keys", "withdraw", issued["key_id"])[0] == 0
    wait_for(lambda: caller.send("GET", "/v1/models").status == 401, "withdrawal")
    spare = fleet.start_controller("c4", DOMAINS[3])
    fleet.children["c3"].kill()
    code, out, err = tool("members", "replace", "c3", "c4", spare.address)
    assert code == 0, err
    assert [line.split()[0] for line in out.splitlines()[1:]] == ["c1", "c2", "c4"]
    code, out, err = tool("history", "--json")
    assert [record["operator"] for record in json.loads(out)][:1] == ["ravi"]
    assert code == 0
