"""Structured log lines: one JSON object a line, with fixed field names."""

import logging
from collections import Counter, deque
from collections.abc import Mapping, Sequence
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.datapath.connection import FlowKey, format_flow
from ragwortpost.datapath.process._log_output import LOGGER_NAME
from ragwortpost.datapath.version import Configuration, Record, UpstreamEntry

# Lines of one kind within one second; more are counted and not written.
LINES_PER_SECOND: Final = 20
# Changes of what the process believes that are kept for operators.
MAX_AUDIT_EVENTS: Final = 300
_AUDIT_EVENTS: Final = frozenset(
    (
        'change',
        'history_lost',
        'reading',
        'reading_ended',
        'reload_needs_restart',
        'reload_rejected',
        'reloaded',
        'started',
        'stopping',
        'store_lost',
        'store_regained',
    )
)

_logger = logging.getLogger(LOGGER_NAME)


class EventLog:
    """Writes events, at most a few a second of each kind."""

    def __init__(self, clock: Clock, counters: Counter[str]) -> None:
        """Write with the clock's time and count in ``counters``."""
        self._clock = clock
        self._counters = counters
        self._second = 0
        self._written: Counter[str] = Counter()
        self._audit_trail: deque[Mapping[str, object]] = deque(
            maxlen=MAX_AUDIT_EVENTS,
        )

    @property
    def audit_trail(self) -> Sequence[Mapping[str, object]]:
        """The latest changes of what the process believes, oldest first."""
        return tuple(self._audit_trail)

    def write(self, event: str, **fields: object) -> None:
        """Write one line, unless the kind's limit is reached."""
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

    def write_change(self, record: Record, revision: int, source: str) -> None:
        """Write a line about a document that changed."""
        self.write(
            'change',
            subject=record.subject,
            document=type(record.document).__name__,
            changed=record.revision,
            revision=revision,
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
        case UpstreamEntry() as entry:
            return {
                'host': entry.host,
                'service': entry.service,
                'leaving': entry.leaving,
                'warm_up_left': entry.warm_up_left,
                'born': entry.born,
            }
        case _:
            return {}
