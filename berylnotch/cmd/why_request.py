"""Tells from a fleet's logs what became of a request, and what happened around it."""

from __future__ import annotations

import argparse
import os
import re
import sys
from collections.abc import Iterable, Sequence
from datetime import datetime
from pathlib import Path

from attrs import frozen

#: Exit codes.
EXIT_OK = 0
EXIT_NOT_FOUND = 1
EXIT_BAD_INPUT = 2

#: Seconds before and after a request in which other events count as near.
NEAR_S = 5.0

#: Events that change what a process believes, whoever writes them.
_BELIEFS = frozenset(
    (
        "leader_found",
        "leader_lost",
        "leading",
        "leading_ended",
        "configuration",
        "weights",
        "load_begun",
        "load_ended",
        "order_sent",
        "target_listed",
        "target_gone",
        "target_list_lost",
        "store_lost",
        "store_back",
        "crash_mark",
        "request_blamed",
        "disk_failed",
        "started",
        "stop_asked",
        "draining",
        "log_lines_dropped",
    )
)

#: Fields that name a target.
_TARGET_FIELDS = ("target",)

#: Fields that differ between processes with the same belief.
_OWN_FIELDS = frozenset(("time", "process", "age_s", "took_s", "list_age_s"))

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@frozen
class LogLine:
    """A line of a log, its time in Unix seconds and its fields."""

    at: float
    text: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields.get("event", "")


def parse_line(text: str) -> LogLine | None:
    """Return a line of a log, or None if it is none."""
    fields = {name: value.strip('"') for name, value in _FIELD.findall(text)}
    try:
        at = datetime.fromisoformat(fields["time"]).timestamp()
    except (KeyError, ValueError):
        return None
    return LogLine(at, text.rstrip("\n"), fields)


def lines_of(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines of a request, oldest first."""
    found = [line for line in lines if line.fields.get("id") == request_id]
    return sorted(found, key=lambda line: line.at)


def lines_near(own: list[LogLine], lines: Iterable[LogLine]) -> list[LogLine]:
    """Return what was believed around a request, oldest first.

    Lines about a target count if the request met it.
    """
    first, last = own[0].at - NEAR_S, own[-1].at + NEAR_S
    targets = {
        line.fields[f] for line in own for f in _TARGET_FIELDS if f in line.fields
    }
    near = [
        line
        for line in lines
        if first <= line.at <= last
        and line.event in _BELIEFS
        and line.fields.get("target", "") in targets | {""}
    ]
    return sorted(near, key=lambda line: line.at)


def grouped(lines: Iterable[LogLine]) -> list[str]:
    """Return texts of lines; what many processes came to believe stands once.

    A changed configuration is a line of each router. Only the first one of the same
    event and fields is kept, with the number of others and the time of the last.
    """
    groups: dict[tuple[tuple[str, str], ...], list[LogLine]] = {}
    for line in lines:
        key = tuple(
            (name, value)
            for name, value in line.fields.items()
            if name not in _OWN_FIELDS
        )
        groups.setdefault(key, []).append(line)
    texts = []
    for first, *others in groups.values():
        text = first.text
        if others:
            after_s = others[-1].at - first.at
            text += f" (and {len(others)} more within {after_s:.3f} s)"
        texts.append(text)
    return texts


def summary(own: list[LogLine]) -> str:
    """Return what became of a request, in one sentence."""
    end = next(
        (line for line in own if line.event in ("finished", "turned_away")), None
    )
    if end is None:
        return "not finished in these logs"
    fields = end.fields
    outcome = fields.get("outcome", "turned away")
    reason = fields.get("reason") or "none"
    sends = fields.get("sends", "0")
    return (
        f"{outcome} with status {fields.get('status')}, sent {sends} times, "
        f"run by {fields.get('runs', '0')}; reason: {reason}"
    )


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="berylnotch-why",
        description="What became of a request, by the logs of a fleet.",
    )
    parser.add_argument("id", help="request id, as the caller has it")
    parser.add_argument("logs", nargs="+", type=Path, help="logs of the processes")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Print the lines of a request and what happened around it."""
    args = get_parser().parse_args(argv)
    try:
        lines = list(_read(args.logs))
    except OSError as error:
        print(f"berylnotch-why: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    own = lines_of(args.id, lines)
    if not own:
        print(f"no line of {args.id}; it may have been sampled out, or never came")
        return EXIT_NOT_FOUND
    print(f"request {args.id}: {summary(own)}")
    for line in own:
        print(f"  {line.text}")
    print("around it:")
    for text in grouped(lines_near(own, lines)):
        print(f"  {text}")
    return EXIT_OK


def run() -> None:
    """Run the tool as a program; a reader that stops early is no error."""
    try:
        code = main()
        sys.stdout.flush()
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = EXIT_OK
    sys.exit(code)


def _read(paths: Iterable[Path]) -> Iterable[LogLine]:
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            for text in file:
                line = parse_line(text)
                if line is not None:
                    yield line


if __name__ == "__main__":
    run()
