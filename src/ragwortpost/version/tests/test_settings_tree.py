"""Tests of the settings tree: inheritance, ranges and invalid input.

Guards against a policy taken from the wrong level, and against invalid text
that is accepted, raises an unexpected error or is reported at the wrong line.
"""

from datetime import timedelta

import pytest
from hypothesis import given, seed
from hypothesis import strategies as st

from ragwortpost.version import (
    AddressConflictError,
    AdminState,
    DanglingReferenceError,
    DuplicateKeyError,
    DuplicateSectionError,
    InvalidValueError,
    MissingKeyError,
    SettingsEncodingError,
    SettingsError,
    SettingsSyntaxError,
    SettingsTooLargeError,
    UnknownKeyError,
    UnknownSectionError,
    parse_snapshot,
)

TREE = """[defaults]
ramp = 5s
slots = 3

[service desk]
address = 10.0.0.1:4433
queue = 4

[data-centre north]

[data-centre desk/north]
queue = 5
state = leaving

[data-centre south]

[upstream desk/north/1]
address = 10.0.1.1:7001
queue = 6
state = in

[upstream desk/south/2]
address = 10.0.1.2:7001
"""
TREE_LINES = TREE.count('\n')


class TestInheritance:
    """Levels override only the keys that they set."""

    def test_lower_levels_override(self) -> None:
        snapshot = parse_snapshot(7, TREE.encode()).unwrap()
        first = snapshot.upstream('desk/north/1')
        second = snapshot.upstream('desk/south/2')
        assert first is not None and second is not None
        assert (first.policy.queue, second.policy.queue) == (6, 4)
        assert first.policy.slots == second.policy.slots == 3
        assert second.policy.ramp == timedelta(seconds=5)

    def test_most_restrictive_state_wins(self) -> None:
        snapshot = parse_snapshot(7, TREE.encode()).unwrap()
        first = snapshot.upstream('desk/north/1')
        assert first is not None
        assert first.policy.state is AdminState.LEAVING


class TestRanges:
    """A range defines many upstreams; one of them may be overridden."""

    text = (
        TREE
        + """[upstream desk/south/10-14]
address = 10.0.2.254:7001
weight = 50
[upstream desk/south/12]
weight = 70
"""
    )

    def test_members_have_consecutive_addresses(self) -> None:
        snapshot = parse_snapshot(1, self.text.encode()).unwrap()
        members = [
            snapshot.upstream(f'desk/south/{number}')
            for number in range(10, 15)
        ]
        hosts = [member.address.host for member in members if member]
        assert hosts == [
            '10.0.2.254',
            '10.0.2.255',
            '10.0.3.0',
            '10.0.3.1',
            '10.0.3.2',
        ]
        weights = [member.policy.weight for member in members if member]
        assert weights == [50, 50, 70, 50, 50]

    @pytest.mark.parametrize('bounds', ['5-4', '1-99999'])
    def test_invalid_bounds(self, bounds: str) -> None:
        text = (
            self.text
            + f'[upstream desk/south/{bounds}]\naddress = 10.9.0.1:1\n'
        )
        problem = parse_snapshot(1, text.encode()).unwrap_err()
        assert isinstance(problem, InvalidValueError)


class TestInvalidInput:
    """Invalid text is rejected with its section, key and line."""

    @pytest.mark.parametrize(
        ('extra', 'error', 'key', 'line'),
        [
            (
                '[service x]\naddress = 1.2.3.4:1\nslotz = 2',
                UnknownKeyError,
                'slotz',
                3,
            ),
            (
                '[service x]\naddress = 1.2.3.4:1\nramp = 5',
                InvalidValueError,
                'ramp',
                3,
            ),
            (
                '[service x]\naddress = 1.2.3.4:1\nslots = 0',
                InvalidValueError,
                'slots',
                3,
            ),
            (
                '[service x]\naddress = 1.2.3.4:99999',
                InvalidValueError,
                'address',
                2,
            ),
            (
                '[service x]\naddress = 1.2.3.4:1\nstate = on',
                InvalidValueError,
                'state',
                3,
            ),
            (
                '[service x]\naddress = 1.2.3.4:1\nslots = 2\nslots = 3',
                DuplicateKeyError,
                'slots',
                4,
            ),
            (
                '[service desk]\naddress = 1.2.3.4:1',
                DuplicateSectionError,
                '',
                1,
            ),
            ('[server x]', UnknownSectionError, '', 1),
            ('[service x]\nslots = 2', MissingKeyError, '', 1),
            (
                '[service x]\naddress = 10.0.0.1:4433',
                AddressConflictError,
                '',
                1,
            ),
            (
                '[upstream desk/west/1]\naddress = 1.2.3.4:5',
                DanglingReferenceError,
                '',
                1,
            ),
            (
                '[upstream lamp/north/1]\naddress = 1.2.3.4:5',
                DanglingReferenceError,
                '',
                1,
            ),
            ('[data-centre lamp/north]', DanglingReferenceError, '', 1),
            ('[service x]\naddress', SettingsSyntaxError, '', 2),
        ],
    )
    def test_error_type_and_location(
        self,
        extra: str,
        error: type[SettingsError],
        key: str,
        line: int,
    ) -> None:
        problem = parse_snapshot(1, (TREE + extra).encode()).unwrap_err()
        assert type(problem) is error
        assert problem.location.key == key
        assert problem.location.line == TREE_LINES + line

    @pytest.mark.parametrize(
        ('body', 'error'),
        [
            (b'#' * 1048577, SettingsTooLargeError),
            (b'[defaults]\n# \xff', SettingsEncodingError),
            (b'slots = 2', SettingsSyntaxError),
        ],
    )
    def test_error_in_whole_text(
        self, body: bytes, error: type[SettingsError]
    ) -> None:
        assert type(parse_snapshot(1, body).unwrap_err()) is error

    @seed(1)
    @given(
        st.text(alphabet='[]=#\n /abcdefsrviceut.:0123456789%-', max_size=200)
    )
    def test_any_text_is_accepted_or_rejected(self, extra: str) -> None:
        parsed = parse_snapshot(1, (TREE + extra).encode())
        assert parsed.is_ok() or isinstance(parsed.unwrap_err(), SettingsError)
