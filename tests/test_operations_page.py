"""The operations page documents the events of the packet-level data path.

Guards against an event or counter that is added, renamed or removed in the
source but not on the page, so that operators can't look it up.
"""

import re
from itertools import chain
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
SOURCES = [
    path.read_text()
    for folder in ('datapath', 'platform')
    for path in (ROOT / 'src' / 'ragwortpost' / folder).rglob('*.py')
    if 'tests' not in path.parts
]
EVENT_PATTERN = re.compile(
    r"(?:\.write|\.write_flow)\(\s*'([a-z_]+)'(?: if [a-z ]+ else '([a-z_]+)')?"
    r"|'event': '([a-z_]+)'",
)
COUNTER_PATTERN = re.compile(r"_events\['([a-z_ ]+)'\]")


def find_names(pattern: re.Pattern[str]) -> set[str]:
    matches = pattern.finditer('\n'.join(SOURCES))
    found = chain.from_iterable(match.groups() for match in matches)
    return {name for name in found if name}


class TestOperationsPage:
    """Compares the events and counters on the page with those in the source."""

    def test_every_event_has_its_row(self) -> None:
        rows = set(re.findall(r'^\| `([a-z_]+)` \|', PAGE, re.MULTILINE))
        assert rows == find_names(EVENT_PATTERN)

    def test_every_counter_without_a_log_line_is_named(self) -> None:
        counted = find_names(COUNTER_PATTERN)
        assert counted
        assert all(f'`{name}`' in PAGE for name in counted)
