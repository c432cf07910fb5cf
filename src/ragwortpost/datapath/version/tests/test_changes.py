"""Tests of the encoding of changes between peers.

Guards against a peer's message that raises, that fills the memory, or that puts
a document with a field of the wrong type into the view.
"""

import zlib
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, seed
from hypothesis import strategies as st
from msgspec.msgpack import decode, encode

from ragwortpost.datapath.version import (
    Changes,
    ChangesEncodingError,
    Record,
    TakenOut,
    decode_changes,
    encode_changes,
)
from ragwortpost.datapath.version._changes import MAX_UNPACKED_BYTES
from ragwortpost.datapath.version.tests.documents import (
    at,
    configuration_record,
    upstream,
    upstream_record,
)

CHANGES = Changes(
    at(3),
    at(9),
    (
        configuration_record(5),
        upstream_record(6, upstream(1)),
        upstream_record(7, replace(upstream(2), leaving=True)),
        Record('drained/north', at(8), TakenOut('north')),
        Record('upstream/b', at(9), None),
    ),
)
# The marks, the kept subjects and the age of the era.
END: tuple[list[object], list[object], float] = ([], [], 0.0)
JSON_LIKE = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-3, 2**40)
    | st.floats(allow_nan=True)
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda children: st.lists(children, max_size=6),
    max_leaves=12,
)


def rows_of(changes: Changes) -> Any:
    """Return the message of changes as nested lists."""
    return decode(zlib.decompress(encode_changes(changes)))


def decode_rows(message: object) -> ChangesEncodingError:
    """Return the error of a message given as nested lists."""
    return decode_changes(zlib.compress(encode(message))).unwrap_err()


class TestRoundTrip:
    """Decoding returns the encoded changes."""

    def test_all_kinds_of_documents(self) -> None:
        assert decode_changes(encode_changes(CHANGES)).unwrap() == CHANGES


class TestInvalidMessages:
    """An invalid message is an error that names the subject and the field."""

    @pytest.mark.parametrize(
        ('record', 'index', 'value', 'field'),
        [
            (0, 1, 'nine', 'version'),
            (0, 2, [['key', 'name', 1, 1, [['desk', 1]]]], 'routes'),
            (0, 3, [['desk', 2000, 1]], 'services'),
            (1, 1, 7, 'ident'),
            (1, 2, None, 'service'),
            (1, 3, 'not an address', 'host'),
            (1, 3, '10.0.0.256', 'host'),
            (1, 5, -1, 'slots'),
            (1, 6, 1, 'leaving'),
            (1, 7, 'cold', 'warm_up_left'),
            (1, 8, '', 'born'),
            (1, 9, -1, 'sequence'),
            (3, 1, 4, 'data_centre'),
            (1, 0, 77, 'kind'),
        ],
    )
    def test_wrong_type(
        self, record: int, index: int, value: object, field: str
    ) -> None:
        message = rows_of(CHANGES)
        subject, _, row = message[2][record]
        row[index] = value
        error = decode_rows(message)
        assert error.field == field
        assert subject in error.cause

    @pytest.mark.parametrize('row', [[], [3], [1, 2, 3], ['x'], {}, 'text', 5])
    def test_unusable_row(self, row: object) -> None:
        assert decode_rows(
            [[0, 0], [0, 1], [['upstream/a', [0, 1], row]], *END]
        ).cause

    def test_negative_revision(self) -> None:
        assert decode_rows([[0, 0], [0, -1], [], *END]).cause
        assert decode_rows([[0, 0], [-1, 0], [], *END]).cause

    def test_message_that_unpacks_to_too_much(self) -> None:
        packed = zlib.compress(bytes(MAX_UNPACKED_BYTES + 1))
        error = decode_changes(packed).unwrap_err()
        assert str(MAX_UNPACKED_BYTES) in error.cause

    def test_truncated_message(self) -> None:
        assert decode_changes(encode_changes(CHANGES)[:-9]).is_err()


class TestArbitraryMessages:
    """No message raises, and what is decoded can be encoded again."""

    @seed(1)
    @given(JSON_LIKE)
    def test_arbitrary_structure(self, message: object) -> None:
        self.check(zlib.compress(encode(message)))

    @seed(2)
    @given(st.integers(0, 4), st.integers(0, 9), JSON_LIKE)
    def test_one_changed_field(
        self, record: int, index: int, value: object
    ) -> None:
        message = rows_of(CHANGES)
        row = message[2][record][2]
        if row is not None and index < len(row):
            row[index] = value
        self.check(zlib.compress(encode(message)))

    @seed(3)
    @given(st.binary(max_size=60))
    def test_arbitrary_bytes(self, message: bytes) -> None:
        self.check(message)

    def check(self, message: bytes) -> None:
        decoded = decode_changes(message)
        if decoded.is_ok():
            again = decode_changes(encode_changes(decoded.unwrap()))
            assert again.unwrap() == decoded.unwrap()
