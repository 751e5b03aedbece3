"""Command line of ``berylnotch-why``, which traces a request in a fleet's logs."""

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

#: Seconds before and after a request's lines within which other events are shown.
CONTEXT_S = 5.0

#: Events, of any process, that change its view of the fleet or its ability to serve.
_CONTEXT_EVENTS = frozenset(
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
        "software_versions",
        "stream_records_full",
        "stream_records_lost",
        "streams_unrecorded",
        "store_lost",
        "store_back",
        "crash_mark",
        "crash_suspect",
        "request_blamed",
        "cause_refused",
        "cause_allowed",
        "disk_failed",
        "disk_recovered",
        "gives_way",
        "hands_over",
        "started",
        "stop_asked",
        "draining",
        "log_lines_dropped",
    )
)

#: Log fields that hold the name of a target.
_TARGET_FIELDS = ("target",)

#: Fields that differ between the lines of several processes about the same event.
_PROCESS_FIELDS = frozenset(("time", "process", "age_s", "took_s", "list_age_s"))

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@frozen
class LogLine:
    """A parsed log line; ``at`` is its Unix time in seconds."""

    at: float
    text: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields.get("event", "")


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if the text has no valid time field."""
    fields = {name: value.strip('"') for name, value in _FIELD.findall(text)}
    try:
        at = datetime.fromisoformat(fields["time"]).timestamp()
    except (KeyError, ValueError):
        return None
    return LogLine(at, text.rstrip("\n"), fields)


def find_request_lines(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines with a request's id, oldest first."""
    request_lines = [line for line in lines if line.fields.get("id") == request_id]
    return sorted(request_lines, key=lambda line: line.at)


def find_context_lines(
    request_lines: list[LogLine], lines: Iterable[LogLine]
) -> list[LogLine]:
    """Return the lines with context events around a request's lines, oldest first.

    Lines about a target are included only if the request's lines name that target.
    """
    first_at, last_at = (
        request_lines[0].at - CONTEXT_S,
        request_lines[-1].at + CONTEXT_S,
    )
    targets = {
        line.fields[f]
        for line in request_lines
        for f in _TARGET_FIELDS
        if f in line.fields
    }
    context_lines = [
        line
        for line in lines
        if first_at <= line.at <= last_at
        and line.event in _CONTEXT_EVENTS
        and line.fields.get("target", "") in targets | {""}
    ]
    return sorted(context_lines, key=lambda line: line.at)


def merge_similar_lines(lines: Iterable[LogLine]) -> list[str]:
    """Return the texts of lines, with equal events of several processes merged.

    A changed configuration, for example, is logged by each router. Of the lines with
    the same event and fields only the first is kept, with the number of the others and
    the time until the last of them.
    """
    lines_by_fields: dict[tuple[tuple[str, str], ...], list[LogLine]] = {}
    for line in lines:
        key = tuple(
            (name, value)
            for name, value in line.fields.items()
            if name not in _PROCESS_FIELDS
        )
        lines_by_fields.setdefault(key, []).append(line)
    merged_texts = []
    for first_line, *similar in lines_by_fields.values():
        text = first_line.text
        if similar:
            after_s = similar[-1].at - first_line.at
            text += f" (and {len(similar)} more within {after_s:.3f} s)"
        merged_texts.append(text)
    return merged_texts


def summarize_request(request_lines: list[LogLine]) -> str:
    """Summarize the outcome of a request in one sentence."""
    end_line = next(
        (line for line in request_lines if line.event in ("finished", "turned_away")),
        None,
    )
    if end_line is None:
        return "not finished in these logs"
    fields = end_line.fields
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
    """Print a request's lines and the context events around them."""
    args = get_parser().parse_args(argv)
    try:
        lines = list(_read_lines(args.logs))
    except OSError as error:
        print(f"berylnotch-why: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    request_lines = find_request_lines(args.id, lines)
    if not request_lines:
        print(f"no line of {args.id}; it may have been sampled out, or never came")
        return EXIT_NOT_FOUND
    print(f"request {args.id}: {summarize_request(request_lines)}")
    for line in request_lines:
        print(f"  {line.text}")
    print("around it:")
    for text in merge_similar_lines(find_context_lines(request_lines, lines)):
        print(f"  {text}")
    return EXIT_OK


def run() -> None:
    """Run the tool and exit; a reader that closes the pipe early is not an error."""
    try:
        code = main()
        sys.stdout.flush()
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = EXIT_OK
    sys.exit(code)


def _read_lines(paths: Iterable[Path]) -> Iterable[LogLine]:
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            for text in file:
                line = parse_line(text)
                if line is not None:
                    yield line


if __name__ == "__main__":
    run()
