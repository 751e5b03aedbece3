"""The leader's state of the targets: list, engine reports and leaving notices."""

from berylnotch.group.messages import LeavingWord
from berylnotch.membership.board import ENGINE_REPORT_PRECEDENCE_S, TargetBoard
from berylnotch.membership.listing import ListedTarget, ModelVersion


def engine(version, born_ms=1):
    models = (ModelVersion("m", version),)
    return ListedTarget("t", "llm", "10.0.0.1:1", "d", born_ms=born_ms, models=models)


def version_of(board):
    return board.target("t").models[0].version


def test_an_engine_report_takes_precedence_over_a_late_list():
    board = TargetBoard()
    board.listed(0.0, (engine(1),))
    board.loaded(1.0, "t", ModelVersion("m", 2))
    board.listed(1.5, (engine(1),))
    assert version_of(board) == 2
    board.listed(1.0 + ENGINE_REPORT_PRECEDENCE_S + 1, (engine(1),))
    assert version_of(board) == 1


def test_the_report_of_an_earlier_start_does_not_apply():
    board = TargetBoard()
    board.listed(0.0, (engine(1),))
    board.loaded(1.0, "t", ModelVersion("m", 2))
    board.listed(1.5, (engine(1, born_ms=2),))
    assert version_of(board) == 1


def test_an_unlisted_target_no_longer_counts_as_loading():
    board = TargetBoard()
    board.listed(0.0, (engine(1),))
    board.began_loading(0.0, "t")
    assert board.entries()[0].is_loading
    board.listed(1.0, ())
    assert board.loading == frozenset() and board.entries() == ()


def fleet(count):
    return tuple(
        ListedTarget(f"t{n}", "llm", f"10.0.0.{n}:1", "d", born_ms=1)
        for n in range(count)
    )


def leaving_ids(board):
    return {e.target.target_id for e in board.entries() if e.target.is_leaving}


def test_all_routers_see_a_target_as_leaving_that_told_one_router():
    board = TargetBoard()
    board.listed(0.0, fleet(4))
    assert board.said_leaving("r1", (LeavingWord("t1", 1),))
    assert not board.said_leaving("r1", (LeavingWord("t1", 1),))
    assert leaving_ids(board) == {"t1"}
    board.listed(1.0, fleet(4))
    assert leaving_ids(board) == {"t1"}


def test_a_leaving_notice_of_an_earlier_start_is_ignored():
    board = TargetBoard()
    board.listed(0.0, fleet(4))
    assert not board.said_leaving("r1", (LeavingWord("t1", 0), LeavingWord("x", 1)))
    assert leaving_ids(board) == set()


def test_one_router_cannot_mark_a_whole_service_as_leaving_but_two_can():
    board, notices = TargetBoard(), [LeavingWord(f"t{n}", 1) for n in range(4)]
    board.listed(0.0, fleet(4))
    board.said_leaving("r1", notices)
    assert leaving_ids(board) == {"t0", "t1"}
    board.said_leaving("r2", notices)
    assert leaving_ids(board) == {"t0", "t1", "t2", "t3"}


def test_a_target_is_marked_as_emptying_until_it_loads():
    board = TargetBoard()
    board.listed(0.0, fleet(2))
    board.began_emptying("t1")
    assert [e.is_emptying for e in board.entries()] == [False, True]
    board.began_loading(1.0, "t1")
    entry = board.entries()[1]
    assert entry.is_loading and not entry.is_emptying
    board.began_emptying("t0")
    board.stopped_loading("t0")
    assert not board.entries()[0].is_emptying
