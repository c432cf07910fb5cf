"""Structured log lines: one JSON object a line, with fixed field names."""

import json
import logging
from typing import Final

from ragwortpost._clock import Clock
from ragwortpost.datapath.connection import FlowKey, describe_flow
from ragwortpost.datapath.version import Configuration, Record, UpstreamEntry

# Lines of one kind within one second; more are counted and not written.
LINES_PER_SECOND: Final = 20

_logger = logging.getLogger('ragwortpost')


class EventLog:
    """Writes events, at most a few a second of each kind."""

    def __init__(self, clock: Clock) -> None:
        """Write with the clock's time."""
        self._clock = clock
        self._second = 0
        self._written: dict[str, int] = {}

    def write(self, event: str, **fields: object) -> None:
        """Write one line, unless the kind's limit is reached."""
        now = self._clock.monotonic()
        if int(now) != self._second:
            self._start_second(int(now))
        count = self._written.get(event, 0) + 1
        self._written[event] = count
        if count <= LINES_PER_SECOND:
            line = {'t': round(now, 3), 'event': event, **fields}
            _logger.info('%s', json.dumps(line))

    def flow(self, event: str, flow: FlowKey, **fields: object) -> None:
        """Write a line about one flow."""
        self.write(event, flow=describe_flow(flow), **fields)

    def change(self, record: Record, revision: int, source: str) -> None:
        """Write a line about a document that changed."""
        document = record.document
        detail: dict[str, object] = {}
        match document:
            case Configuration(version=version):
                detail = {'version': version}
            case UpstreamEntry():
                detail = {
                    'host': document.host,
                    'service': document.service,
                    'leaving': document.leaving,
                    'warm_up_left': document.warm_up_left,
                }
        self.write(
            'change',
            subject=record.subject,
            document=type(document).__name__,
            changed=record.revision,
            revision=revision,
            source=source,
            **detail,
        )

    def _start_second(self, second: int) -> None:
        for event, count in self._written.items():
            if count > LINES_PER_SECOND:
                suppressed = count - LINES_PER_SECOND
                line = {'event': 'suppressed', 'kind': event}
                _logger.info(
                    '%s',
                    json.dumps({**line, 'lines': suppressed}),
                )
        self._second = second
        self._written = {}
