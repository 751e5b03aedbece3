"""The tool that reads logs."""

import subprocess
import sys

from berylnotch.cmd.why_request import grouped, parse_line

LINE = "time=2026-08-10T04:36:{second:06.3f}Z level=INFO process=router/{name} event="


def _line(second, name, rest):
    return parse_line(LINE.format(second=second, name=name) + rest)


def test_what_many_processes_believe_stands_once():
    lines = [
        _line(1 + n / 100, f"r{n}", "weights version=2 age_s=0.1") for n in range(9)
    ]
    lines.append(_line(2, "r1", "weights version=3 age_s=0.1"))
    lines.append(_line(3, "r1", "leader_lost at=10.0.0.1:1 reason=silent"))
    texts = grouped(lines)
    assert len(texts) == 3
    assert "process=router/r0" in texts[0]
    assert texts[0].endswith("(and 8 more within 0.080 s)")
    assert texts[2].endswith("reason=silent")


def test_a_reader_that_stops_early_is_no_error(tmp_path):
    log = tmp_path / "router.log"
    line = LINE.format(second=1, name="r") + "sent id=a target=t\n"
    log.write_text(line * 20_000)
    command = [sys.executable, "-m", "berylnotch.cmd.why_request", "a", str(log)]
    tool = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    tool.stdout.readline()
    tool.stdout.close()
    assert tool.stderr.read() == b""
    assert tool.wait(timeout=20) == 0
