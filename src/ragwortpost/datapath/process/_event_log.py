"""Structured, rate-limited event log: one JSON object per line."""

import logging
from collections import Counter, deque
from collections.abc import Mapping, Sequence
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.datapath.connection import FlowKey, format_flow
from ragwortpost.datapath.process._log_names import LOGGER_NAME
from ragwortpost.datapath.version import (
    Configuration,
    Record,
    StateVersion,
    UpstreamEntry,
)

# Maximum lines of one event per second; further ones are only counted.
LINES_PER_SECOND: Final = 20
# Number of events kept for the /audit endpoint: changes of the view, of the
# settings and of the process's own state.
MAX_AUDIT_EVENTS: Final = 300
_AUDIT_EVENTS: Final = frozenset(
    (
        'change',
        'history_lost',
        'item_unusable',
        'reading',
        'reading_ended',
        'reload_needs_restart',
        'reload_rejected',
        'reloaded',
        'started',
        'stopping',
        'store_era_unusable',
        'store_lost',
        'store_regained',
        'store_restored',
        'view_behind',
    )
)

_logger = logging.getLogger(LOGGER_NAME)


class EventLog:
    """Writes events, with a limited rate of lines per event name."""

    def __init__(self, clock: Clock, counters: Counter[str]) -> None:
        """Initialize with the clock and the counters of all events."""
        self._clock = clock
        self._counters = counters
        self._second = 0
        self._written: Counter[str] = Counter()
        self._audit_trail: deque[Mapping[str, object]] = deque(
            maxlen=MAX_AUDIT_EVENTS,
        )

    @property
    def audit_trail(self) -> Sequence[Mapping[str, object]]:
        """The latest audit events, oldest first."""
        return tuple(self._audit_trail)

    def write(self, event: str, **fields: object) -> None:
        """Count an event and write its line, unless the limit is reached."""
        now = self._clock.monotonic()
        if int(now) != self._second:
            self._start_second(int(now))
        self._counters[event] += 1
        self._written[event] += 1
        line = {'t': round(now, 3), 'event': event, **fields}
        if event in _AUDIT_EVENTS:
            self._audit_trail.append(line)
        if self._written[event] <= LINES_PER_SECOND:
            _logger.info(line)

    def write_flow(self, event: str, flow: FlowKey, **fields: object) -> None:
        """Write a line about one flow."""
        self.write(event, flow=format_flow(flow), **fields)

    def write_change(
        self, record: Record, version: StateVersion, source: str
    ) -> None:
        """Write a line about a changed document."""
        self.write(
            'change',
            subject=record.subject,
            document=type(record.document).__name__,
            changed_era=record.version.era,
            changed=record.version.revision,
            era=version.era,
            revision=version.revision,
            source=source,
            **_detail(record),
        )

    def _start_second(self, second: int) -> None:
        for event, count in self._written.items():
            if count > LINES_PER_SECOND:
                _logger.info(
                    {
                        't': second,
                        'event': 'suppressed',
                        'kind': event,
                        'lines': count - LINES_PER_SECOND,
                    }
                )
        self._second = second
        self._written.clear()


def _detail(record: Record) -> Mapping[str, object]:
    match record.document:
        case Configuration(version=version):
            return {'version': version}
        case UpstreamEntry() as upstream:
            return {
                'host': upstream.host,
                'service': upstream.service,
                'leaving': upstream.leaving,
                'warm_up_left': upstream.warm_up_left,
                'born': upstream.born,
            }
        case _:
            return {}
