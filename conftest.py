"""Configures the tests of the whole tree.

Marks the tests listed in ``KNOWN-RED.txt`` as expected failures and prints
them; hypothesis runs without an example database and without deadlines.
"""

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile('ci', database=None, deadline=None)
settings.load_profile('ci')
KNOWN_RED = Path(__file__).parent / 'KNOWN-RED.txt'


def known_red() -> dict[str, str]:
    """Return the listed tests, each with the rest of its line."""
    rows = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line and not line.startswith('#'):
            test, _, seen = line.partition(' | ')
            rows[test] = seen
    return rows


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect each listed test to fail by an assertion.

    A listed test that passes fails the run: its line must be deleted.
    """
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            reason = f'KNOWN-RED: {listed[item.nodeid]}'
            mark = pytest.mark.xfail(
                reason=reason, strict=True, raises=AssertionError
            )
            item.add_marker(mark)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests at the end of the run."""
    for test, seen in known_red().items():
        terminalreporter.write_line(f'KNOWN-RED {test}: {seen}')
