import pytest

from benchmarks.clairvoyant import (
    Absence,
    Arrival,
    Bound,
    get_parser,
    play,
    read_arrivals,
)

LINE = (
    "time=2026-08-10T04:36:{at:06.3f}Z level=INFO process=router/r event=sent id={id} "
    'route=r target=t send={send} prompt={prompt} shared=a1 fetch="" wanted={wanted} '
)


def test_only_first_sends_of_streams_count():
    lines = [
        LINE.format(at=2, id="b", send=1, prompt=17_000, wanted=3),
        LINE.format(at=1, id="a", send=1, prompt=380, wanted=0),
        LINE.format(at=3, id="b", send=2, prompt=17_000, wanted=3),
        LINE.format(at=3, id="c", send=1, prompt=0, wanted=0),
        "time=2026-08-10T04:36:20.000Z level=INFO event=started",
    ]
    arrivals = read_arrivals(lines)
    assert [(a.tokens, a.opening, a.version) for a in arrivals] == [
        (380, "a1", 0),
        (17_000, "a1", 3),
    ]
    assert arrivals[1].at_s - arrivals[0].at_s == pytest.approx(1.0)


def test_one_engine_reads_in_turn_and_keeps_what_it_read():
    # A whole prompt takes 0.36 s, its own part 0.08 s.
    arrivals = [Arrival(0.0, 17_020, "p", 1)] * 6
    assert play(arrivals, 1, 140_000, 1.0, 0.3) == Bound(6, 1.0, 1.0)
    arrivals = [Arrival(0.0, 17_020, f"p{n}", 1) for n in range(6)]
    bound = play(arrivals, 1, 140_000, 1.0, 0.3)
    assert bound.in_time == pytest.approx(2 / 6)
    assert bound.credit == pytest.approx(2 / 6 + 4 / 6 * 0.3)


def test_new_weights_void_what_was_read():
    arrivals = [Arrival(0.0, 17_020, "p", version) for version in range(6)]
    assert play(arrivals, 1, 140_000, 1.0, 0.0).in_time == pytest.approx(2 / 6)


def test_an_engine_that_was_away_comes_back_empty():
    arrivals = [Arrival(at / 2, 17_020, "p", 1) for at in range(4)]
    assert play(arrivals, 1, 140_000, 0.3, 0.0).in_time == 3 / 4
    away = [Absence(0.9, 1.2, 1)]
    # The third waits for the engine and reads all again, the fourth is in time.
    assert play(arrivals, 1, 140_000, 0.3, 0.0, away).in_time == 2 / 4
    assert main_parts("1:2.5:3") == Absence(1.0, 2.5, 3)
    with pytest.raises(SystemExit):
        main_parts("soon")


def main_parts(text):
    common = "log --engines 1 --memory 1 --target-ms 1 --late-part 0".split()
    return get_parser().parse_args([*common, "--away", text]).away[0]


def test_nothing_arrived():
    assert play([], 3, 140_000, 1.0, 0.3).count == 0
