"""Splitting of arrays agrees with the JSON decoder, and stays fast on odd texts."""

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.util.json_entries import (
    MAX_DEPTH,
    EntryError,
    decode_entry,
    split_entries,
)

_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(st.lists(_json, max_size=4), _json, st.sampled_from([None, 1]), st.booleans())
def test_parts_decode_to_the_values_of_the_whole_body(entries, field, indent, is_last):
    pairs = [("entries", entries), ("other", field)]
    values = dict(reversed(pairs) if is_last else pairs)
    parts = split_entries(json.dumps(values, indent=indent).encode(), "entries")
    decoded = [decode_entry(text) for text in parts.entries]
    assert repr(decoded) == repr(entries)
    assert repr(decode_entry(parts.fields["other"])) == repr(field)


@given(st.text(alphabet='{}[]",:\\ a0', max_size=30))
def test_arbitrary_text_is_split_or_refused(text):
    for body in (text, f'{{"entries":[{text}]}}', f'{{"entries":[1],{text}}}'):
        try:
            parts = split_entries(body.encode(), "entries")
        except EntryError:
            continue
        for entry in parts.entries:
            try:
                decode_entry(entry)
            except EntryError:
                continue


def test_nested_entry_is_decoded_up_to_the_limit():
    decode_entry("[" * MAX_DEPTH + "]" * MAX_DEPTH)
    with pytest.raises(EntryError):
        decode_entry("[" * (MAX_DEPTH + 2) + "]" * (MAX_DEPTH + 2))


@pytest.mark.parametrize(
    "odd",
    [
        "[" * 2_000_000 + "]" * 2_000_000,
        "[" + "[]," * 1_300_000 + "0]",
        "[" + '"",' * 1_300_000 + "0]",
        "[" + '"\\"' * 1_000_000 + '"]',
        "[0," * 700_000 + "0" + "]" * 700_000,
        '[["",' * 500_000 + "0" + "]]" * 500_000,
        '{"a":' * 500_000 + "0" + "}" * 500_000,
        "[" + '{"a":"b"},' * 400_000 + "0]",
    ],
    ids=["deep", "pairs", "strings", "escapes", "lists", "mixed", "dicts", "items"],
)
def test_odd_entry_of_4_mb_does_not_block_the_process(odd):
    started_at = time.process_time()
    split_entries(f'{{"entries":[{odd},1]}}'.encode(), "entries")
    assert time.process_time() - started_at < 3.0


def test_entry_with_too_many_turns_is_refused_early():
    started_at = time.process_time()
    with pytest.raises(EntryError):
        split_entries(b'{"entries":[%s' % (b'["[]",[' * 500_000), "entries")
    assert time.process_time() - started_at < 1.0


@pytest.mark.parametrize("text", ['"' + "\\" * 99_999, '"' * 100_001, "[" * 100_000])
def test_text_without_end_is_refused(text):
    with pytest.raises(EntryError):
        split_entries(f'{{"entries":[{text}'.encode(), "entries")
