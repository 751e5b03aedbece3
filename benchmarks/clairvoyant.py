"""What a router that knows everything could earn from the long prompts of a day.

Run it with ``python -m benchmarks.clairvoyant LOG --engines 45 --memory 142992
--target-ms 863 --late-part 0.306``. It reads the ``sent`` lines of routers' logs, and
plays the first sends of streams again: each engine reads one prompt after the other,
and every opening is read once for each version of weights, then copied. Each request
goes to the engine that will have read it first. Engines are away, and come back empty,
only as ``--away`` tells, and no price is paid, so the figures are upper bounds.
"""

from __future__ import annotations

import argparse
import sys
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from pathlib import Path

from attrs import define, field, frozen

from berylnotch.cmd.why_request import parse_line

#: Prompt tokens that an engine reads in a step, the time of that and of the rest of a
#: step, and what each request adds, in ms, by the users' sheet.
CHUNK_TOKENS, CHUNK_MS, STEP_MS, STEP_REQUEST_MS = 1024, 17.0, 4.5, 0.18

#: Prompt tokens in a ms that one engine takes over from another.
FETCH_TOKENS_PER_MS = 1500.0

#: Prompt tokens from which a prompt counts as long.
LONG_TOKENS = 8_000

#: Tokens of a long prompt that are its own, by the users' sheet.
OWN_TOKENS = 3_720


@frozen
class Arrival:
    """A stream's first send.

    Parameters
    ----------
    at_s : float
        Time in seconds.
    tokens : int
        Tokens of the prompt.
    opening : str
        Identity of its shared part.
    version : int
        Newest weights that were named.
    """

    at_s: float
    tokens: int
    opening: str
    version: int

    @property
    def is_long(self) -> bool:
        """Whether it is one of the long prompts."""
        return self.tokens >= LONG_TOKENS


@define
class Engine:
    """An engine that reads prompts in turn."""

    free_at_s: float = 0.0
    held: OrderedDict[tuple[str, int], None] = field(factory=OrderedDict)


@frozen
class Absence:
    """Engines that are away at the same time, in seconds from the first arrival."""

    start_s: float
    end_s: float
    count: int


@frozen
class Bound:
    """First events of long prompts, in parts of all of them.

    Parameters
    ----------
    count : int
        Long prompts.
    in_time : float
        Part whose first event comes within its target latency.
    credit : float
        Mean credit, with that of a late answer.
    """

    count: int
    in_time: float
    credit: float


def read_arrivals(lines: Iterable[str]) -> list[Arrival]:
    """Return the first sends of streams, by time."""
    seen: set[str] = set()
    arrivals = []
    for line in lines:
        if "event=sent " not in line:
            continue
        sent = parse_line(line[line.index("time=") :])
        fields = sent.fields
        if fields["send"] != "1" or fields["prompt"] == "0" or fields["id"] in seen:
            continue
        seen.add(fields["id"])
        prompt, wanted = int(fields["prompt"]), int(fields["wanted"])
        arrivals.append(Arrival(sent.at, prompt, fields["shared"], wanted))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def play(
    arrivals: Iterable[Arrival],
    engines: int,
    memory_tokens: int,
    target_s: float,
    late_part: float,
    absences: Sequence[Absence] = (),
) -> Bound:
    """Play the arrivals with full knowledge.

    Parameters
    ----------
    arrivals : iterable of Arrival
        Requests by time.
    engines : int
        Engines, all alike.
    memory_tokens : int
        Tokens that one engine holds.
    target_s : float
        Target latency of long prompts in seconds.
    late_part : float
        Credit of a late answer, in parts of one in time.
    absences : sequence of Absence
        When engines are away; each time it is the turn of the next ones.
    """
    arrivals = list(arrivals)
    fleet = [Engine() for _ in range(engines)]
    start_s = arrivals[0].at_s if arrivals else 0.0
    waiting = sorted(absences, key=lambda absence: absence.start_s)
    count = in_time = turn = 0
    for arrival in arrivals:
        while waiting and start_s + waiting[0].start_s <= arrival.at_s:
            absence = waiting.pop(0)
            for _ in range(absence.count):
                engine = fleet[turn % engines]
                engine.free_at_s = max(engine.free_at_s, start_s + absence.end_s)
                engine.held.clear()
                turn += 1
        key = (arrival.opening, arrival.version)
        is_known = arrival.is_long and any(key in engine.held for engine in fleet)
        best = min(fleet, key=lambda e: _done_at(e, arrival, key, is_known))
        done_at = _done_at(best, arrival, key, is_known)
        if arrival.is_long:
            best.free_at_s = done_at
            _hold(best, key, memory_tokens // arrival.tokens)
            count += 1
            in_time += done_at - arrival.at_s <= target_s
        else:
            # A short prompt goes before the long ones and takes time from them.
            best.free_at_s = max(best.free_at_s, arrival.at_s) + _read_s(arrival.tokens)
    part = in_time / count if count else 0.0
    return Bound(count, part, part + (1 - part) * late_part)


def _done_at(
    engine: Engine, arrival: Arrival, key: tuple[str, int], is_known: bool
) -> float:
    start_s = max(engine.free_at_s, arrival.at_s)
    if not arrival.is_long:
        return start_s + _read_s(arrival.tokens)
    if key in engine.held:
        return start_s + _read_s(OWN_TOKENS)
    shared = arrival.tokens - OWN_TOKENS
    if is_known:
        return start_s + shared / FETCH_TOKENS_PER_MS / 1000 + _read_s(OWN_TOKENS)
    return start_s + _read_s(arrival.tokens)


def _read_s(tokens: int) -> float:
    return tokens / CHUNK_TOKENS * (CHUNK_MS + STEP_MS + STEP_REQUEST_MS) / 1000


def _hold(engine: Engine, key: tuple[str, int], most: int) -> None:
    engine.held[key] = None
    engine.held.move_to_end(key)
    while len(engine.held) > most:
        engine.held.popitem(last=False)


def _absence(text: str) -> Absence:
    """Read an absence of the command line."""
    try:
        start, end, count = text.split(":")
        return Absence(float(start), float(end), int(count))
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"{text!r} is no START:END:COUNT") from error


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="clairvoyant", description=__doc__)
    parser.add_argument("logs", nargs="+", type=Path)
    parser.add_argument("--engines", type=int, required=True)
    parser.add_argument("--memory", type=int, required=True, help="tokens an engine")
    parser.add_argument("--target-ms", type=float, required=True)
    parser.add_argument("--late-part", type=float, required=True)
    parser.add_argument(
        "--away",
        type=_absence,
        action="append",
        default=[],
        metavar="START:END:COUNT",
        help="engines away, in seconds from the first arrival; may be repeated",
    )
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Print the bound."""
    args = get_parser().parse_args(argv)
    lines: list[str] = []
    for log in args.logs:
        lines += log.read_text(encoding="utf-8", errors="replace").splitlines()
    bound = play(
        read_arrivals(lines),
        args.engines,
        args.memory,
        args.target_ms / 1000,
        args.late_part,
        args.away,
    )
    print(
        f"long prompts {bound.count}, in time {bound.in_time:.3f}, "
        f"credit {bound.credit:.3f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
