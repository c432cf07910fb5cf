"""Whole events of a ``text/event-stream``, so that a stream can be resumed."""

import re
from typing import Final

_BLANK_LINE: Final = re.compile(b'\r\n\r\n|\n\n|\r\r')
_EVENT_ID: Final = re.compile(b'(?:^|[\r\n])id: ?([^\r\n]*)')


class EventSplitter:
    """Cuts a byte stream after each event and keeps the last event's id."""

    def __init__(self, last_id: bytes = b'') -> None:
        """Begin after the event of ``last_id``; empty means at the start."""
        self._pending = b''
        self._last_id = last_id

    @property
    def last_id(self) -> bytes:
        """The id of the last whole event that had one."""
        return self._last_id

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that end in ``chunk``."""
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
