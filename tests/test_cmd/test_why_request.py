"""Merging of log lines, and early end of the reader, in ``berylnotch-why``."""

import subprocess
import sys

from berylnotch.cmd.why_request import merge_similar_lines, parse_line

LINE = "time=2026-08-10T04:36:{second:06.3f}Z level=INFO process=router/{name} event="


def make_line(second, name, event_text):
    return parse_line(LINE.format(second=second, name=name) + event_text)


def test_equal_events_of_many_processes_are_merged():
    lines = [
        make_line(1 + n / 100, f"r{n}", "weights version=2 age_s=0.1") for n in range(9)
    ]
    lines.append(make_line(2, "r1", "weights version=3 age_s=0.1"))
    lines.append(make_line(3, "r1", "leader_lost at=10.0.0.1:1 reason=silent"))
    texts = merge_similar_lines(lines)
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
