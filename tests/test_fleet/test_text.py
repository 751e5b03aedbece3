from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.errors import ConfigurationError
from berylnotch.fleet.errors import FleetTextError
from berylnotch.fleet.model import Fleet, ServiceKind
from berylnotch.fleet.text import parse, read

EXAMPLES = Path(__file__).parents[2] / "examples"
SENGUPTA = EXAMPLES / "sengupta.ini"

#: Name of the case, replacement in the file's bytes, and part of the expected message.
BROKEN = (
    ("unknown-name", (b"capacity = 64", b"capacty = 64"), "did you mean 'capacity'?"),
    (
        "cycle",
        (b"kind = kv-store", b"kind = kv-store\nrequires = sake-llm"),
        "sake-llm -> prompt-keep",
    ),
    ("missing-unit", (b"20000 tokens/s", b"20000"), "has no unit"),
    ("wrong-unit", (b"20000 tokens/s", b"20000 tokens"), "is not tokens/s"),
    ("bad-number", (b"90000 tokens", b"9oooo tokens"), "is not a number"),
    ("zero-rate", (b"30000 tokens/s", b"0 tokens/s"), "out of range"),
    ("duplicate", (b"[vm entry-2]", b"[vm entry-1]"), "stands already at line"),
    (
        "unknown-service",
        (b"service = order-desk", b"service = order-dsk"),
        "order-desk",
    ),
    ("bad-address", (b"127.0.0.1:9002", b"engine-2:9002"), "is not an IP and a port"),
    ("encoding", (b"region = bengal-east", b"region = beng\xe4l"), "is not UTF-8"),
    ("domain", (b"failure-domain = howrah", b"failure-domain = hawrah"), "'howrah'"),
    ("control", (b"share = 1", b"share = \x001"), "U+0000"),
)


def find_line(data: bytes, fragment: bytes) -> int:
    return data.count(b"\n", 0, data.index(fragment)) + 1


def parse_problems(text: str) -> list[tuple[int, str]]:
    with pytest.raises(FleetTextError) as caught:
        parse(text)
    return [(problem.line, problem.message) for problem in caught.value.problems]


@pytest.mark.parametrize("name", ["sengupta", "tengerkhuch"])
def test_examples_are_right(name):
    path = str(EXAMPLES / f"{name}.ini")
    fleet = parse(read(path), path)
    kinds = [service.kind for service in fleet.services.values()]
    assert len(fleet.failure_domains) == 4
    assert len(fleet.organisations) == 5
    assert 6 <= len(fleet.vms) <= 9
    assert sorted(kind.value for kind in kinds) == ["kv-store", "language", "plain"]
    sizes = {kind: 0 for kind in ServiceKind}
    for target in fleet.targets.values():
        sizes[fleet.services[target.service].kind] += 1
    assert sizes[ServiceKind.LANGUAGE] == 5
    assert sizes[ServiceKind.PLAIN] == 4


@pytest.mark.parametrize("edit,message", [case[1:] for case in BROKEN])
def test_broken_copy_names_file_and_line(tmp_path, edit, message):
    data = SENGUPTA.read_bytes()
    broken = data.replace(*edit, 1)
    assert broken != data
    path = tmp_path / "broken.ini"
    path.write_bytes(broken)
    with pytest.raises(FleetTextError) as caught:
        parse(read(str(path)), str(path))
    first = str(caught.value).splitlines()[0]
    line = find_line(data, edit[0])
    # The edit of the cycle case adds a line, and the problem is on the added line.
    line += edit[1].count(b"\n")
    assert first.startswith(f"{path}:{line}: ")
    assert message in first


@pytest.mark.parametrize("cut", [1, 3, 20])
def test_truncated_file(cut):
    text = SENGUPTA.read_text()[:-cut]
    last = text.count("\n") + 1
    message = "the last line has no newline; the file may be truncated"
    assert (last, message) in parse_problems(text)


def test_missing_file(tmp_path):
    with pytest.raises(ConfigurationError, match="No such file"):
        read(str(tmp_path / "none.ini"))


def test_all_problems_at_once():
    text = SENGUPTA.read_text()
    text = text.replace("tokens/s", "tokens").replace("kind = plain", "kind = plane")
    found = parse_problems(text)
    assert len(found) == 6
    assert [line for line, _ in found] == sorted(line for line, _ in found)


def test_relations_between_sections():
    text = """\
[fleet]
region = r
failure-domains = a
[service llm]
kind = language
[service app]
kind = plain
models = m
requires = kv
[service kv]
kind = kv-store
[route /kv]
service = kv
[target t1]
service = app
address = 10.0.0.1:1
failure-domain = a
[target t2]
service = app
address = 10.0.0.1:01
failure-domain = a
"""
    assert parse_problems(text) == [
        (4, "a language service needs 'models'"),
        (4, "a language service needs 'weights'"),
        (8, "'models' is only for services of kind language"),
        (13, "a route cannot lead to a kv-store service"),
        (20, "address 10.0.0.1:1 belongs to [target t1]"),
    ]


@pytest.mark.parametrize(
    "line,message",
    [
        ("[vm]", "needs a name"),
        ("[fleet x]", "takes no name"),
        ("[vm A_b]", "is not a name"),
        ("[route v1]", "does not begin with /"),
        ("[targett x]", "did you mean 'target'?"),
        ("[vm x", "is not a section"),
        ("nonsense", "is not written as name = value"),
    ],
)
def test_wrong_headers(line, message):
    found = parse_problems(f"[fleet]\nregion = r\nfailure-domains = a\n{line}\n")
    assert found[0][0] == 4
    assert message in found[0][1]


def test_routes_go_by_longest_prefix():
    fleet = parse(SENGUPTA.read_text())
    assert fleet.route("/orders/7").service == "order-desk"
    assert fleet.route("/v1/chat/completions").service == "sake-llm"
    assert fleet.route("/v10") is None
    assert fleet.service_of_model("sake-1").name == "sake-llm"


@given(st.text(alphabet=st.characters(codec=None), max_size=200))
def test_any_text_is_read_or_refused(text):
    try:
        assert isinstance(parse(text), Fleet)
    except FleetTextError as error:
        assert error.problems


@given(st.data())
def test_any_edit_is_read_or_refused(data):
    lines = SENGUPTA.read_text().split("\n")
    position = data.draw(st.integers(0, len(lines) - 1))
    lines[position] = data.draw(
        st.one_of(
            st.sampled_from(lines),
            st.text(max_size=20),
            st.builds("{} = {}".format, st.sampled_from(["rate", "kind"]), st.text()),
        )
    )
    try:
        parse("\n".join(lines))
    except FleetTextError as error:
        assert all(0 <= problem.line for problem in error.problems)
