"""The leader's picture of the targets."""

from berylnotch.membership.board import OWN_WORD_S, TargetBoard
from berylnotch.membership.listing import ListedTarget, ModelVersion


def engine(version, born_ms=1):
    models = (ModelVersion("m", version),)
    return ListedTarget("t", "llm", "10.0.0.1:1", "d", born_ms=born_ms, models=models)


def version_of(board):
    return board.target("t").models[0].version


def test_an_engines_own_word_outlasts_the_late_list():
    board = TargetBoard()
    board.listed(0.0, (engine(1),))
    board.loaded(1.0, "t", ModelVersion("m", 2))
    board.listed(1.5, (engine(1),))
    assert version_of(board) == 2
    board.listed(1.0 + OWN_WORD_S + 1, (engine(1),))
    assert version_of(board) == 1


def test_a_restarted_engine_is_taken_as_listed():
    board = TargetBoard()
    board.listed(0.0, (engine(1),))
    board.loaded(1.0, "t", ModelVersion("m", 2))
    board.listed(1.5, (engine(1, born_ms=2),))
    assert version_of(board) == 1


def test_loading_ends_with_the_target():
    board = TargetBoard()
    board.listed(0.0, (engine(1),))
    board.began_loading(0.0, "t")
    assert board.entries()[0].is_loading
    board.listed(1.0, ())
    assert board.loading == frozenset() and board.entries() == ()
