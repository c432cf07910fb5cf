"""Tests of the view and of the encoding of its changes.

Guards against a view that reverts to older records, misses a deletion or
depends on the order of messages, and against malformed messages that raise an
error.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from ragwortpost.datapath.version import (
    Changes,
    Record,
    TakenOut,
    View,
    decode_changes,
    encode_changes,
)
from ragwortpost.datapath.version.tests.documents import (
    at,
    configuration_record,
    upstream,
    upstream_record,
)

OUT = Record('out/north', at(5), TakenOut('north'))


def state_of(view: View) -> dict[str, int]:
    return {
        record.subject: record.version.revision
        for record in view.records
        if record.document is not None
    }


class TestMerge:
    """A view never goes back to older records."""

    def test_an_older_record_changes_nothing(self) -> None:
        view = View()
        view.merge(Changes(at(0), at(9), (upstream_record(9, upstream(1)),)))
        older = upstream_record(4, upstream(1, leaving=True))
        assert view.merge(Changes(at(0), at(4), (older,))) == ()
        assert view.version == at(9)
        kept = view.get('upstream/i-1')
        assert kept is not None
        assert kept.version == at(9)

    def test_changes_after_a_gap_are_rejected(self) -> None:
        view = View()
        view.merge(Changes(at(0), at(5), (OUT,)))
        assert view.merge(Changes(at(7), at(8), ())) is None
        assert view.version == at(5)

    def test_a_complete_state_deletes_what_it_lacks(self) -> None:
        view = View()
        view.merge(
            Changes(at(0), at(5), (OUT, upstream_record(3, upstream(1))))
        )
        view.merge(Changes(at(0), at(8), (upstream_record(7, upstream(2)),)))
        assert state_of(view) == {'upstream/i-2': 7}

    def test_a_complete_older_state_deletes_nothing_newer(self) -> None:
        view = View()
        view.merge(Changes(at(0), at(9), (upstream_record(9, upstream(1)),)))
        view.merge(Changes(at(0), at(5), (OUT,)))
        assert state_of(view)['upstream/i-1'] == 9

    def test_a_view_that_is_behind_receives_deletions(self) -> None:
        ahead, behind = View(), View()
        for view in (ahead, behind):
            view.merge(Changes(at(0), at(5), (OUT,)))
        ahead.merge(Changes(at(5), at(6), (Record('out/north', at(6), None),)))
        behind.merge(ahead.changes_since(at(5)))
        assert state_of(behind) == {}
        assert behind.version == at(6)

    def test_a_view_far_behind_gets_the_whole_state(self) -> None:
        ahead = View()
        ahead.merge(Changes(at(0), at(5), (OUT,)))
        assert ahead.changes_since(at(3)).complete

    @given(st.permutations(range(1, 8)))
    def test_any_order_of_states_converges_to_the_same_view(
        self,
        order: list[int],
    ) -> None:
        newest = View()
        states = {}
        for revision in range(1, 8):
            upstream_entry = upstream(revision % 3, slots=revision)
            record = upstream_record(revision, upstream_entry)
            newest.merge(Changes(at(revision - 1), at(revision), (record,)))
            states[revision] = newest.changes_since(at(0))
        view = View()
        reached = at(0)
        for revision in order:
            view.merge(states[revision])
            assert view.version >= reached
            reached = view.version
        assert state_of(view) == state_of(newest)


class TestEncoding:
    """Changes are encoded for peers; malformed messages are rejected."""

    def test_changes_survive_a_round_trip(self) -> None:
        changes = Changes(
            at(2),
            at(9),
            (
                configuration_record(3),
                upstream_record(8, upstream(1)),
                OUT,
                Record('upstream/i-7', at(9), None),
            ),
        )
        assert decode_changes(encode_changes(changes)) == Ok(changes)

    @given(st.binary(max_size=200))
    def test_malformed_bytes_are_an_error(self, message: bytes) -> None:
        assert isinstance(decode_changes(message), Err)

    @pytest.mark.parametrize('cut', [1, 5, 20])
    def test_a_truncated_message_is_an_error(self, cut: int) -> None:
        message = encode_changes(Changes(at(0), at(5), (OUT,)))
        assert isinstance(decode_changes(message[:-cut]), Err)
