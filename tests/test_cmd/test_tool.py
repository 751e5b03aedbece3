from __future__ import annotations

import io
import json
import re
import subprocess

import pytest
from attrs import frozen

from berylnotch.cmd.commands.completion import completion_script
from berylnotch.cmd.tool import COMMANDS, get_parser, main
from berylnotch.control.commands import (
    ApplyText,
    ClaimState,
    CloseClaim,
    LifeState,
    SetLifeState,
    Subject,
)
from berylnotch.keys.keyring import digest_key
from tests.test_cmd.fakes import FakeCluster, Members, member
from tests.test_control.helpers import TEXT, claim

SETTINGS = """\
[operator]
name = asha
key-file = asha.key
timeout = 3 s
[controllers]
control-1 = 127.0.0.1:7001
control-2 = 127.0.0.1:7002
control-3 = 127.0.0.1:7003
[routers]
entry-1 = 127.0.0.1:7101
entry-2 = 127.0.0.1:7102
"""
CONTROLLERS = SETTINGS[SETTINGS.index("[controllers]") : SETTINGS.index("[routers]")]


@frozen
class CommandResult:
    code: int
    out: str
    err: str

    @property
    def json(self):
        return json.loads(self.out)


@pytest.fixture
def cluster():
    return FakeCluster()


@pytest.fixture
def tool(tmp_path, cluster, monkeypatch):
    """Run the tool in a folder with settings; return exit code, output and errors."""
    (tmp_path / "asha.key").write_text("ab" * 32 + "\n")
    settings = tmp_path / "settings.ini"
    settings.write_text(SETTINGS)
    monkeypatch.setenv("BERYLNOTCH_SETTINGS", str(settings))
    monkeypatch.chdir(tmp_path)

    def run(*argv: str) -> CommandResult:
        out, err = io.StringIO(), io.StringIO()
        code = main(argv, cluster.make_client, out, err)
        assert cluster.open_clients == 0
        return CommandResult(code, out.getvalue(), err.getvalue())

    return run


@pytest.fixture
def fleet(cluster):
    cluster.machine.run(ApplyText("c-0", "ravi", 0, TEXT))
    return cluster.machine


def test_first_text_and_an_edit_are_applied(tool, tmp_path, cluster):
    path = tmp_path / "fleet.ini"
    path.write_text(TEXT)
    assert tool("show").code == 1
    refused = tool("apply", "fleet.ini")
    assert (refused.code, "--base" in refused.err) == (2, True)
    assert tool("apply", "fleet.ini", "--base", "0").code == 0
    assert cluster.machine.state.text == TEXT
    assert path.read_text() == TEXT
    assert tool("show", "--output", "fleet.ini").code == 0
    path.write_text(path.read_text().replace("share = 4", "share = 5"))
    planned = tool("plan", "fleet.ini")
    assert planned.code == 0
    assert planned.out.startswith("~ [organisation importer-desk] share: 4 -> 5")
    done = tool("apply", "fleet.ini")
    assert (done.code, done.out) == (0, "revision 2 is in force\n")
    assert path.read_text().startswith("; berylnotch revision 2\n[fleet]")
    assert "nothing changes" in tool("plan", "fleet.ini").out
    assert cluster.client_arguments[1:] == ("operator/asha", b"\xab" * 32, 3.0)


def test_apply_on_an_outdated_revision_is_refused(tool, tmp_path, fleet):
    path = tmp_path / "fleet.ini"
    tool("show", "--output", "fleet.ini")
    fleet.run(ApplyText("c-1", "ravi", 1, TEXT.replace("= 4", "= 6")))
    path.write_text(path.read_text().replace("share = 4", "share = 5"))
    assert tool("plan", "fleet.ini").code == 3
    refused = tool("apply", "fleet.ini")
    assert refused.code == 3
    assert "revision 2 is in force, applied by ravi" in refused.out
    assert "share = 6" in fleet.state.text


def test_repeat_after_a_lost_answer_takes_effect_once(tool, tmp_path, fleet, cluster):
    (tmp_path / "fleet.ini").write_text(TEXT.replace("share = 4", "share = 5"))
    cluster.answers_to_lose = 1
    unanswered = tool("apply", "fleet.ini", "--base", "1")
    assert unanswered.code == 4
    change_id = re.search(r"--change-id (\w+)", unanswered.err)[1]
    repeated = tool(
        "--json", "--change-id", change_id, "apply", "fleet.ini", "--base=1"
    )
    assert repeated.code == 0
    assert repeated.json["revision"] == fleet.state.revision == 2
    assert repeated.json["index"] == 2


def test_wrong_text_names_file_and_line(tool, tmp_path, cluster):
    (tmp_path / "bad.ini").write_text(TEXT.replace("tokens/s", "tokens"))
    for command in ("check", "plan", "apply"):
        run = tool(command, "bad.ini")
        assert run.code == 2
        assert "bad.ini:9: rate: unit 'tokens'" in run.err
        assert "bad.ini:13: rate: unit 'tokens'" in run.err
    as_json = tool("check", "--json", "bad.ini")
    assert (as_json.code, len(as_json.json["problems"])) == (2, 2)
    assert cluster.machine.index == 0


def test_keys(tool, fleet, cluster):
    issued = tool("keys", "give", "clerks", "--json").json
    accepted_key = fleet.state.view.find_key(digest_key(issued["key"]))
    assert accepted_key.key_id == issued["key_id"]
    assert tool("keys", "give", "nobody").code == 1
    assert tool("keys", "withdraw", issued["key_id"]).code == 0
    assert tool("keys", "withdraw", "other").code == 1
    listed = tool("keys", "list", "clerks")
    assert issued["key_id"] in listed.out
    assert issued["key"] not in listed.out + tool("history", "--json").out
    cluster.answers_to_lose = 1
    unanswered = tool("keys", "give", "clerks")
    assert (unanswered.code, unanswered.out) == (4, "")
    unconfirmed = re.search(r"key (\w+) may have been given", unanswered.err)[1]
    assert unconfirmed in [line.key_id for line in fleet.state.keys("clerks")]


def test_claims(tool, fleet):
    fleet.run(claim())
    vm_lost = SetLifeState(Subject.VM, "entry-1", "i1", LifeState.LOST, "heartbeat")
    fleet.run(vm_lost)
    assert "state:    unknown" in tool("claims", "show", "clerks", "order-7").out
    settle_command = ("claims", "settle", "clerks", "order-7")
    settled = tool(*settle_command, "not-run", "--note", "no row")
    assert settled.code == 0
    assert tool(*settle_command, "done").code == 3
    shown = tool("claims", "show", "clerks", "order-7", "--json").json
    assert (shown["state"], shown["note"]) == ("not-run", "asha: no row")
    assert tool("claims", "show", "clerks", "order-8").code == 1


def test_claim_that_is_done_shows_its_answer(tool, fleet, snapshot):
    fleet.run(claim())
    close = CloseClaim("clerks", "order-7", "a1", ClaimState.DONE, 201, "t", b"ok")
    fleet.run(close)
    assert tool("claims", "show", "clerks", "order-7").out == snapshot


def test_history_pages(tool, fleet, monkeypatch):
    for number in range(5):
        draining = "drain" if number % 2 else "undrain"
        assert tool(draining, "vm", "entry-1").code == 0
    monkeypatch.setattr("berylnotch.cmd.commands.history._PAGE", 2)
    assert [r["index"] for r in tool("audit", "--json").json] == [1, 2, 3, 4, 5, 6]
    newest = tool("history", "--json", "--limit", "2", "--by", "asha").json
    assert [record["index"] for record in newest] == [5, 6]


def test_tables(tool, fleet, snapshot):
    fleet.run(ApplyText("c-1", "asha", 0, TEXT + "\n"))
    tool("rollout", "sake-llm", "v2")
    assert tool("status").out == snapshot(name="status")
    assert tool("history").out == snapshot(name="history")
    assert tool("members", "list").out == snapshot(name="members")
    assert tool("why", "r-1").out == snapshot(name="why")


def test_why_says_which_router_was_not_reached(tool):
    run = tool("why", "r-2")
    assert (run.code, run.out) == (4, "not found; not reached: entry-1\n")


def test_drain_and_rollout_results(tool, fleet):
    assert tool("drain", "target", "sake-llm-1").code == 0
    assert fleet.state.view.is_draining(Subject.TARGET, "sake-llm-1")
    assert tool("undrain", "target", "sake-llm-1").code == 0
    assert tool("drain", "target", "nothing").code == 1
    assert tool("rollout", "prompt-keep", "v2").code == 1
    assert tool("rollout", "sake-llm", "v 2").code == 2


def test_members_replace(tool):
    run = tool("members", "replace", "control-2", "control-4", "127.0.0.1:7004")
    assert run.code == 0
    assert "control-4" in run.out and "control-2" not in run.out


def test_bootstrap_is_idempotent_and_refuses_a_second_group(tool, cluster):
    assert tool("bootstrap").code == 0
    assert len(cluster.groups) == 3
    assert tool("bootstrap").code == 0
    wiped = member(1, "new-disk")
    del cluster.groups[wiped.address]
    cluster.members = Members((wiped, *cluster.members.members[1:]))
    refused = tool("bootstrap")
    assert (refused.code, wiped.address in cluster.groups) == (3, False)


@pytest.mark.parametrize(
    "edit,message",
    [
        (
            ("name = asha", "nmae = asha"),
            "unknown setting 'nmae'; did you mean 'name'?",
        ),
        (("[routers]", "[rooters]"), "ini:9: unknown section [rooters]; did you"),
        (("timeout = 3 s", "timeout = 3"), "settings.ini:4: timeout: '3' has no unit"),
        (("asha.key", "none.key"), "none.key: No such file"),
        (("asha.key", "settings.ini"), "the key is not hexadecimal"),
        ((CONTROLLERS, ""), "section [controllers] is missing"),
    ],
)
def test_wrong_settings(tool, tmp_path, edit, message):
    (tmp_path / "settings.ini").write_text(SETTINGS.replace(*edit, 1))
    run = tool("show")
    assert run.code == 2
    assert message in run.err


def test_address_asks_the_entry_vms_of_the_text(tool, fleet, monkeypatch):
    """A new leader may have no heartbeat from a router that the text names."""
    asked = []

    def ask(url):
        asked.append(url.split("/")[2])
        if len(asked) == 1:
            raise ValueError("not a router")
        return {"addresses": ["127.0.0.1:8001"], "keep_s": 30}

    monkeypatch.setattr("berylnotch.cmd.commands.address._ask", ask)
    monkeypatch.setattr(FakeCluster, "router_address", "127.0.0.1:8009")
    run = tool("address", "--organisation", "clerks")
    assert (run.code, run.out) == (0, "127.0.0.1:8001\n; keep for 30 s\n")
    assert asked == ["127.0.0.1:8009", "127.0.0.1:8001"]


def test_every_command_has_help(capsys):
    for name in COMMANDS:
        with pytest.raises(SystemExit) as caught:
            main([name, "--help"])
        assert caught.value.code == 0
        assert len(capsys.readouterr().out) > 100
    with pytest.raises(SystemExit) as caught:
        main(["no-such-command"])
    assert caught.value.code == 2


def test_completion(tmp_path):
    path = tmp_path / "completion"
    path.write_text(completion_script(get_parser()))
    ask = (
        f"source {path}; COMP_WORDS=(berylnotch keys gi); COMP_CWORD=2; "
        "_berylnotch; echo ${COMPREPLY[@]}"
    )
    shell = ["bash", "--norc", "-c", ask]
    found = subprocess.run(shell, capture_output=True, text=True, check=True)
    assert found.stdout.split() == ["give"]
