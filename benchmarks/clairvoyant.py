"""Computes an upper bound on the credit for the long prompts of a day.

Run it with ``python -m benchmarks.clairvoyant LOG --engines 45 --memory 142992
--target-ms 863 --late-part 0.306``. It reads the ``sent`` lines of routers' logs and
replays the first sends of streams with full knowledge of all engines. Each engine
prefills one prompt after the other. Every shared prefix is prefilled once for each
version of the weights and copied to other engines afterwards. Each request goes to the
engine that finishes its prefill first. Engines are unavailable, and return with an
empty cache, only as given by ``--away``. No other costs are modelled, so the results
are upper bounds.
"""

from __future__ import annotations

import argparse
import sys
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from pathlib import Path

from attrs import define, field, frozen

from berylnotch.cmd.why_request import parse_line

#: Prompt tokens that an engine prefills in one step, the time of this prefill, the time
#: of the rest of the step, and the time that each request adds to it. Times are in ms.
#: All are from the users' data sheet.
CHUNK_TOKENS, CHUNK_MS, STEP_MS, STEP_REQUEST_MS = 1024, 17.0, 4.5, 0.18

#: Rate at which an engine copies cached prompt tokens from another, in tokens per ms.
COPY_TOKENS_PER_MS = 1500.0

#: Length in tokens from which a prompt counts as long.
LONG_TOKENS = 8_000

#: Tokens of a long prompt that are not shared, from the users' data sheet.
UNSHARED_TOKENS = 3_720


@frozen
class Arrival:
    """A stream's first send.

    Parameters
    ----------
    at_s : float
        Time of the send in seconds.
    tokens : int
        Length of the prompt.
    prefix_id : str
        Identity of the prompt's shared prefix.
    version : int
        Version of the weights that the request wanted.
    """

    at_s: float
    tokens: int
    prefix_id: str
    version: int

    @property
    def is_long(self) -> bool:
        """Whether the prompt counts as long."""
        return self.tokens >= LONG_TOKENS


@define
class Engine:
    """An engine that prefills one prompt after the other."""

    free_at_s: float = 0.0
    cached_prefixes: OrderedDict[tuple[str, int], None] = field(factory=OrderedDict)


@frozen
class Absence:
    """Engines that are unavailable together, in seconds from the first arrival."""

    start_s: float
    end_s: float
    count: int


@frozen
class Bound:
    """Upper bounds for the first events of long prompts.

    Parameters
    ----------
    count : int
        Number of long prompts.
    on_time_share : float
        Share of long prompts whose first event meets the target latency.
    credit : float
        Mean credit per long prompt; late answers count with their partial credit.
    """

    count: int
    on_time_share: float
    credit: float


def read_arrivals(lines: Iterable[str]) -> list[Arrival]:
    """Return the first sends of streams, ordered by time."""
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


def simulate(
    arrivals: Iterable[Arrival],
    engines: int,
    memory_tokens: int,
    target_s: float,
    late_credit: float,
    absences: Sequence[Absence] = (),
) -> Bound:
    """Simulate the arrivals with full knowledge of all engines.

    Parameters
    ----------
    arrivals : iterable of Arrival
        Requests, ordered by time.
    engines : int
        Number of identical engines.
    memory_tokens : int
        Tokens that one engine's cache holds.
    target_s : float
        Target latency of long prompts in seconds.
    late_credit : float
        Credit of a late answer, as a share of the credit of an answer in time.
    absences : sequence of Absence
        Times when engines are unavailable. The engines take turns: each absence
        affects those that follow the engines of the previous absence.
    """
    arrivals = list(arrivals)
    fleet = [Engine() for _ in range(engines)]
    start_s = arrivals[0].at_s if arrivals else 0.0
    pending_absences = sorted(absences, key=lambda absence: absence.start_s)
    count = on_time = next_engine = 0
    for arrival in arrivals:
        while (
            pending_absences and start_s + pending_absences[0].start_s <= arrival.at_s
        ):
            absence = pending_absences.pop(0)
            for _ in range(absence.count):
                engine = fleet[next_engine % engines]
                engine.free_at_s = max(engine.free_at_s, start_s + absence.end_s)
                engine.cached_prefixes.clear()
                next_engine += 1
        prefix_key = (arrival.prefix_id, arrival.version)
        is_cached_anywhere = arrival.is_long and any(
            prefix_key in engine.cached_prefixes for engine in fleet
        )
        best = min(
            fleet, key=lambda e: _finish_s(e, arrival, prefix_key, is_cached_anywhere)
        )
        finish_s = _finish_s(best, arrival, prefix_key, is_cached_anywhere)
        if arrival.is_long:
            best.free_at_s = finish_s
            _store_prefix(best, prefix_key, memory_tokens // arrival.tokens)
            count += 1
            on_time += finish_s - arrival.at_s <= target_s
        else:
            # A short prompt is prefilled before the long ones and delays them.
            best.free_at_s = max(best.free_at_s, arrival.at_s) + _prefill_s(
                arrival.tokens
            )
    on_time_share = on_time / count if count else 0.0
    return Bound(
        count, on_time_share, on_time_share + (1 - on_time_share) * late_credit
    )


def _finish_s(
    engine: Engine,
    arrival: Arrival,
    prefix_key: tuple[str, int],
    is_cached_anywhere: bool,
) -> float:
    start_s = max(engine.free_at_s, arrival.at_s)
    if not arrival.is_long:
        return start_s + _prefill_s(arrival.tokens)
    if prefix_key in engine.cached_prefixes:
        return start_s + _prefill_s(UNSHARED_TOKENS)
    shared_tokens = arrival.tokens - UNSHARED_TOKENS
    if is_cached_anywhere:
        return (
            start_s
            + shared_tokens / COPY_TOKENS_PER_MS / 1000
            + _prefill_s(UNSHARED_TOKENS)
        )
    return start_s + _prefill_s(arrival.tokens)


def _prefill_s(tokens: int) -> float:
    return tokens / CHUNK_TOKENS * (CHUNK_MS + STEP_MS + STEP_REQUEST_MS) / 1000


def _store_prefix(
    engine: Engine, prefix_key: tuple[str, int], max_entries: int
) -> None:
    engine.cached_prefixes[prefix_key] = None
    engine.cached_prefixes.move_to_end(prefix_key)
    while len(engine.cached_prefixes) > max_entries:
        engine.cached_prefixes.popitem(last=False)


def _parse_absence(text: str) -> Absence:
    """Parse an absence given on the command line."""
    try:
        start, end, count = text.split(":")
        return Absence(float(start), float(end), int(count))
    except ValueError as error:
        raise argparse.ArgumentTypeError(
            f"{text!r} does not have the form START:END:COUNT"
        ) from error


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
        type=_parse_absence,
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
    bound = simulate(
        read_arrivals(lines),
        args.engines,
        args.memory,
        args.target_ms / 1000,
        args.late_part,
        args.away,
    )
    print(
        f"long prompts {bound.count}, in time {bound.on_time_share:.3f}, "
        f"credit {bound.credit:.3f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
