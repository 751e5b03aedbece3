"""Open-loop load of streamed generations: `python -m benchmarks.load`."""

from __future__ import annotations

import argparse
import json
import random
import selectors
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence

import attrs
import pycurl
from attrs import Factory, define, frozen
from hdrh.histogram import HdrHistogram

from benchmarks.process_stat import read_process_stat
from benchmarks.stream_check import StreamCheck

_PATH = "/v1/completions"
_MAX_TIME_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
_REQUEST_TIMEOUT_S = 120


@frozen
class LoadSettings:
    """Parameters of the generated load.

    Attributes
    ----------
    addresses : tuple of str
        ``IP:PORT`` of routers or engines, used in rotation.
    keys : tuple of str
        Callers' keys, used in rotation; requests carry no key if empty.
    model : str
        Requested model.
    rate : float
        Requests a second.
    duration_s : float
        Time in seconds during which requests are sent.
    warmup_s : float
        Time in seconds from the start; its requests are checked but not timed.
    tokens : int
        Tokens of each response.
    prompt_bytes : int
        Length in bytes of the prompt's shared prefix.
    openings : int
        Number of different shared prefixes.
    seed : int
        Seed of the arrival times.
    """

    addresses: tuple[str, ...]
    keys: tuple[str, ...] = ()
    model: str = "sake-1"
    rate: float = 30.0
    duration_s: float = 30.0
    warmup_s: float = 12.0
    tokens: int = 324
    prompt_bytes: int = 4096
    openings: int = 10
    seed: int = 1


@frozen
class Quantiles:
    """Quantiles of a time, in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


@frozen
class LoadReport:
    """Results of a run, measured at the callers.

    Attributes
    ----------
    first_event, gap, lateness : Quantiles
        Time from a request's due time to its first event, time between events,
        and delay of each request behind its due time. The delay shows whether the
        load generator kept up.
    requests, whole : int
        Requests sent, and requests whose stream was complete and correct.
    events, events_per_s : float
        Events received, and events per second in the steady part of the run.
    lost, duplicated, out_of_order, wrong : int
        Faulty events, counted over the streams that began.
    refused : mapping of str to int
        Requests that received no event, by HTTP status or curl error.
    broken : mapping of str to int
        Streams that began and were incomplete or faulty, by error.
    most_open : int
        Highest number of concurrent streams.
    generator_cpu_share : float
        Processor time of the load generator divided by wall time.
    """

    first_event: Quantiles
    gap: Quantiles
    lateness: Quantiles
    requests: int
    whole: int
    events: int
    events_per_s: float
    lost: int
    duplicated: int
    out_of_order: int
    wrong: int
    refused: dict[str, int]
    broken: dict[str, int]
    most_open: int
    generator_cpu_share: float


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_TIME_US, _SIGNIFICANT_DIGITS)


@define
class Totals:
    """Counters of a run.

    ``steady_from`` and ``steady_to`` bound the period of constant load, in seconds of
    the monotonic clock.
    """

    steady_from: float = 0.0
    steady_to: float = 0.0
    first_event: HdrHistogram = Factory(_histogram)
    gap: HdrHistogram = Factory(_histogram)
    lateness: HdrHistogram = Factory(_histogram)
    whole: int = 0
    requests: int = 0
    events: int = 0
    steady_events: int = 0
    lost: int = 0
    duplicated: int = 0
    out_of_order: int = 0
    wrong: int = 0
    refused: Counter[str] = Factory(Counter)
    broken: Counter[str] = Factory(Counter)
    most_open: int = 0


class Stream:
    """One request and the measurements of its response stream."""

    def __init__(
        self, totals: Totals, tokens: int, due_at: float, is_timed: bool
    ) -> None:
        self.check = StreamCheck(tokens)
        self._totals = totals
        self._due_at = due_at
        self._is_timed = is_timed
        self._last_event_at = 0.0

    def on_data(self, data: bytes) -> None:
        """Check received bytes and record the times of their events."""
        now = time.monotonic()
        events = self.check.feed(data)
        if not events:
            return
        totals = self._totals
        if totals.steady_from <= now < totals.steady_to:
            totals.steady_events += events
        if self._is_timed:
            if not self._last_event_at:
                totals.first_event.record_value(int((now - self._due_at) * 1e6))
            else:
                totals.gap.record_value(max(1, int((now - self._last_event_at) * 1e6)))
            for _ in range(events - 1):
                totals.gap.record_value(1)
        self._last_event_at = now

    def on_end(self, status: int, error: str) -> None:
        """Add the finished stream to the totals."""
        totals, check = self._totals, self.check
        totals.events += check.events
        if check.is_whole:
            totals.whole += 1
            return
        if not check.events:
            totals.refused[error or str(status)] += 1
            return
        totals.lost += check.lost
        totals.duplicated += check.duplicated
        totals.out_of_order += check.out_of_order
        totals.wrong += check.wrong
        totals.broken[check.error or error or "no end marker"] += 1


class LoadGenerator:
    """Sends requests at their due times over one event loop."""

    def __init__(self, settings: LoadSettings) -> None:
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._selector = selectors.DefaultSelector()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._curl_due_at: float | None = None
        self._open_streams: dict[pycurl.Curl, Stream] = {}
        self._idle_handles: deque[pycurl.Curl] = deque()
        self._prefixes = [self._make_shared_prefix(i) for i in range(settings.openings)]
        self.totals = Totals()

    def run(self, on_tick: Callable[[], None] = lambda: None) -> LoadReport:
        """Send the load, wait for all responses and return the report."""
        settings = self._settings
        cpu_start_s = time.process_time()
        start = time.monotonic()
        self.totals.steady_from = start + settings.warmup_s
        self.totals.steady_to = start + settings.duration_s
        due_at = start
        while due_at < start + settings.duration_s or self._open_streams:
            is_sending = due_at < start + settings.duration_s
            self._wait_for_events(due_at if is_sending else time.monotonic() + 0.1)
            if is_sending and time.monotonic() >= due_at:
                self._send_request(due_at, due_at >= start + settings.warmup_s)
                due_at += self._random.expovariate(settings.rate)
            on_tick()
        wall_s = time.monotonic() - start
        share = (time.process_time() - cpu_start_s) / wall_s
        return self._report(share)

    def _make_shared_prefix(self, number: int) -> str:
        text = f"Contract {number}. " + "The seller ships the goods. " * 10_000
        return text[: self._settings.prompt_bytes]

    def _send_request(self, due_at: float, is_timed: bool) -> None:
        settings, totals = self._settings, self.totals
        number = totals.requests
        totals.requests += 1
        if is_timed:
            lateness = time.monotonic() - due_at
            totals.lateness.record_value(max(1, int(lateness * 1e6)))
        stream = Stream(totals, settings.tokens, due_at, is_timed)
        curl = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        address = settings.addresses[number % len(settings.addresses)]
        body = {
            "model": settings.model,
            "prompt": f"{self._prefixes[number % settings.openings]} No. {number}",
            "max_tokens": settings.tokens,
            "stream": True,
        }
        headers = ["content-type: application/json", "expect:"]
        if settings.keys:
            key = settings.keys[number % len(settings.keys)]
            headers.append(f"authorization: Bearer {key}")
        curl.setopt(pycurl.URL, f"http://{address}{_PATH}")
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.POSTFIELDS, json.dumps(body))
        curl.setopt(pycurl.HTTPHEADER, headers)
        curl.setopt(pycurl.TIMEOUT, _REQUEST_TIMEOUT_S)
        curl.setopt(pycurl.WRITEFUNCTION, stream.on_data)
        self._open_streams[curl] = stream
        totals.most_open = max(totals.most_open, len(self._open_streams))
        self._multi.add_handle(curl)

    def _wait_for_events(self, until: float) -> None:
        if self._curl_due_at is not None:
            until = min(until, self._curl_due_at)
        ready = self._selector.select(max(0.0, until - time.monotonic()))
        for key, events in ready:
            mask = pycurl.CSELECT_IN if events & selectors.EVENT_READ else 0
            if events & selectors.EVENT_WRITE:
                mask |= pycurl.CSELECT_OUT
            self._multi.socket_action(key.fd, mask)
        if self._curl_due_at is not None and time.monotonic() >= self._curl_due_at:
            self._curl_due_at = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._finish_completed()

    def _finish_completed(self) -> None:
        while True:
            n_queued, done, failed = self._multi.info_read()
            for curl in done:
                self._finish_request(curl, "")
            for curl, code, _message in failed:
                self._finish_request(curl, f"curl {code}")
            if not n_queued:
                return

    def _finish_request(self, curl: pycurl.Curl, error: str) -> None:
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        self._open_streams.pop(curl).on_end(status, error)
        self._multi.remove_handle(curl)
        curl.reset()
        self._idle_handles.append(curl)

    def _on_socket(self, event: int, fd: int, _multi: object, _data: object) -> None:
        is_registered = fd in self._selector.get_map()
        if event == pycurl.POLL_REMOVE:
            if is_registered:
                self._selector.unregister(fd)
            return
        events = 0
        if event in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            events |= selectors.EVENT_READ
        if event in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            events |= selectors.EVENT_WRITE
        if is_registered:
            self._selector.modify(fd, events)
        else:
            self._selector.register(fd, events)

    def _on_timer(self, timeout_ms: int) -> None:
        self._curl_due_at = None
        if timeout_ms >= 0:
            self._curl_due_at = time.monotonic() + timeout_ms / 1000

    def _report(self, cpu_share: float) -> LoadReport:
        totals = self.totals
        steady_s = totals.steady_to - totals.steady_from
        return LoadReport(
            first_event=_quantiles(totals.first_event),
            gap=_quantiles(totals.gap),
            lateness=_quantiles(totals.lateness),
            requests=totals.requests,
            whole=totals.whole,
            events=totals.events,
            events_per_s=round(totals.steady_events / steady_s, 1)
            if steady_s > 0
            else 0.0,
            lost=totals.lost,
            duplicated=totals.duplicated,
            out_of_order=totals.out_of_order,
            wrong=totals.wrong,
            refused=dict(totals.refused),
            broken=dict(totals.broken),
            most_open=totals.most_open,
            generator_cpu_share=round(cpu_share, 3),
        )


def _quantiles(histogram: HdrHistogram) -> Quantiles:
    def value_ms(quantile: float) -> float:
        return round(histogram.get_value_at_percentile(quantile) / 1000, 2)

    return Quantiles(
        histogram.total_count, value_ms(50), value_ms(95), value_ms(99), value_ms(100)
    )


def get_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    defaults = LoadSettings(addresses=())
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.load",
        description="Send streamed generations at a fixed rate and check each stream.",
    )
    parser.add_argument("--address", action="append", required=True)
    parser.add_argument("--key", action="append", default=[])
    parser.add_argument("--model", default=defaults.model)
    parser.add_argument("--rate", type=float, default=defaults.rate)
    parser.add_argument("--duration-s", type=float, default=defaults.duration_s)
    parser.add_argument("--warmup-s", type=float, default=defaults.warmup_s)
    parser.add_argument("--tokens", type=int, default=defaults.tokens)
    parser.add_argument("--prompt-bytes", type=int, default=defaults.prompt_bytes)
    parser.add_argument("--openings", type=int, default=defaults.openings)
    parser.add_argument("--seed", type=int, default=defaults.seed)
    parser.add_argument("--pid", type=int, help="process to account for")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Print the report as JSON; return 1 if a stream was incomplete or faulty."""
    args = get_parser().parse_args(argv)
    settings = LoadSettings(
        addresses=tuple(args.address),
        keys=tuple(args.key),
        model=args.model,
        rate=args.rate,
        duration_s=args.duration_s,
        warmup_s=args.warmup_s,
        tokens=args.tokens,
        prompt_bytes=args.prompt_bytes,
        openings=args.openings,
        seed=args.seed,
    )
    stat_before = read_process_stat(args.pid) if args.pid else None
    start = time.monotonic()
    report = LoadGenerator(settings).run()
    output = attrs.asdict(report)
    if stat_before is not None:
        stat_after = read_process_stat(args.pid)
        wall_s = time.monotonic() - start
        output["cpu_share"] = round((stat_after.cpu_s - stat_before.cpu_s) / wall_s, 3)
        output["peak_rss_mb"] = round(stat_after.peak_rss_mb, 1)
    print(json.dumps(output, indent=2))
    return 0 if report.whole == report.requests else 1


if __name__ == "__main__":
    sys.exit(main())
