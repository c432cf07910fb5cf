"""Splits a ``text/event-stream`` into events so that it can be resumed."""

import re
from typing import Final

_BLANK_LINE: Final = re.compile(b'\r\n\r\n|\n\n|\r\r')
_EVENT_ID: Final = re.compile(b'(?:^|[\r\n])id: ?([^\r\n]*)')


class EventSplitter:
    """Splits a byte stream after each event and tracks the last event id."""

    def __init__(self, last_id: bytes = b'') -> None:
        """Initialize with the id to resume after; empty for a new stream."""
        self._pending = b''
        self._last_id = last_id

    @property
    def last_id(self) -> bytes:
        """Id of the last complete event that had one, or the initial id."""
        return self._last_id

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the events that it completes."""
        self._pending += chunk
        end = 0
        for blank in _BLANK_LINE.finditer(self._pending):
            end = blank.end()
        events = self._pending[:end]
        self._pending = self._pending[end:]
        event_ids = _EVENT_ID.findall(events)
        if event_ids:
            self._last_id = event_ids[-1]
        return events
