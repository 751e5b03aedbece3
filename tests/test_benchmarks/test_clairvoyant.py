import pytest

from benchmarks.clairvoyant import (
    Absence,
    Arrival,
    Bound,
    get_parser,
    read_arrivals,
    simulate,
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
    assert [(a.tokens, a.prefix_id, a.version) for a in arrivals] == [
        (380, "a1", 0),
        (17_000, "a1", 3),
    ]
    assert arrivals[1].at_s - arrivals[0].at_s == pytest.approx(1.0)


def test_engine_prefills_one_prompt_at_a_time_and_caches_its_prefix():
    # Prefill of a whole prompt takes 0.36 s, that of its unshared part 0.08 s.
    arrivals = [Arrival(0.0, 17_020, "p", 1)] * 6
    assert simulate(arrivals, 1, 140_000, 1.0, 0.3) == Bound(6, 1.0, 1.0)
    arrivals = [Arrival(0.0, 17_020, f"p{n}", 1) for n in range(6)]
    bound = simulate(arrivals, 1, 140_000, 1.0, 0.3)
    assert bound.on_time_share == pytest.approx(2 / 6)
    assert bound.credit == pytest.approx(2 / 6 + 4 / 6 * 0.3)


def test_new_weights_invalidate_cached_prefixes():
    arrivals = [Arrival(0.0, 17_020, "p", version) for version in range(6)]
    assert simulate(arrivals, 1, 140_000, 1.0, 0.0).on_time_share == pytest.approx(
        2 / 6
    )


def test_engine_returns_from_an_absence_with_an_empty_cache():
    arrivals = [Arrival(at / 2, 17_020, "p", 1) for at in range(4)]
    assert simulate(arrivals, 1, 140_000, 0.3, 0.0).on_time_share == 3 / 4
    absences = [Absence(0.9, 1.2, 1)]
    # The third request waits for the engine, which prefills the whole prompt again;
    # the fourth is in time.
    assert simulate(arrivals, 1, 140_000, 0.3, 0.0, absences).on_time_share == 2 / 4
    assert parse_away_option("1:2.5:3") == Absence(1.0, 2.5, 3)
    with pytest.raises(SystemExit):
        parse_away_option("soon")


def parse_away_option(text):
    common = "log --engines 1 --memory 1 --target-ms 1 --late-part 0".split()
    return get_parser().parse_args([*common, "--away", text]).away[0]


def test_no_arrivals_give_an_empty_bound():
    assert simulate([], 3, 140_000, 1.0, 0.3).count == 0
