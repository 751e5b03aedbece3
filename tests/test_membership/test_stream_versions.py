"""Identities of streams, which callers' ids lead to."""

import pytest

from berylnotch.membership.stream_versions import (
    IDENTITY_BYTES,
    join_identities,
    split_identities,
    stream_identity,
)


def test_same_id_of_another_organisation_or_service_names_another_stream():
    identities = {
        stream_identity(organisation, service, "0dc6af3fe47d26b5")
        for organisation in ("a", "b")
        for service in ("s", "t")
    }
    assert len(identities) == 4 and {len(i) for i in identities} == {IDENTITY_BYTES}


def test_100_000_ids_of_callers_have_identities_of_their_own():
    identities = {stream_identity("o", "s", f"{n:016x}") for n in range(100_000)}
    assert len(identities) == 100_000


def test_cut_off_identities_are_refused():
    joined = join_identities((b"12345678", b"abcdefgh"))
    assert list(split_identities(joined)) == [b"12345678", b"abcdefgh"]
    with pytest.raises(ValueError):
        list(split_identities(joined[:-1]))
