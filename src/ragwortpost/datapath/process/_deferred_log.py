"""Log lines of a process that does not write them yet.

The modules that format and write lines take a tenth of a start to import, so
they are imported once the process has served for a while.
"""

import logging
from collections import Counter, deque
from contextlib import ExitStack
from typing import Final, TextIO

from ragwortpost.datapath.process._log_names import (
    DROPPED_EVENT,
    LOGGER_NAME,
)

# Records that are kept until they are written: a few seconds of a busy process.
MAX_KEPT_RECORDS: Final = 2000


class _RecordBuffer(logging.Handler):
    """Keeps records; drops and counts those beyond its capacity."""

    def __init__(self, events: Counter[str]) -> None:
        """Initialize with the counters of events."""
        super().__init__()
        self._events = events
        self._records: deque[logging.LogRecord] = deque()

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record."""
        if len(self._records) < MAX_KEPT_RECORDS:
            self._records.append(record)
        else:
            self._events[DROPPED_EVENT] += 1

    def pass_on(self, logger: logging.Logger) -> None:
        """Let the other handlers of a logger handle the kept records."""
        logger.removeHandler(self)
        while self._records:
            logger.handle(self._records.popleft())


class DeferredLog:
    """The log of one process: lines are kept first, and written later."""

    def __init__(self, output: TextIO, events: Counter[str]) -> None:
        """Initialize with the output and the counters of events."""
        self._output = output
        self._events = events
        self._buffer: _RecordBuffer | None = None
        self._writing = ExitStack()

    def open(self, stack: ExitStack) -> None:
        """Keep lines from now on; when ``stack`` closes, all are written."""
        logger = logging.getLogger(LOGGER_NAME)
        logger.setLevel(logging.INFO)
        logger.propagate = False
        self._buffer = _RecordBuffer(self._events)
        logger.addHandler(self._buffer)
        stack.enter_context(self._writing)
        stack.callback(self.start_writing)

    def start_writing(self) -> None:
        """Write the lines that were kept, and later ones as they come."""
        if self._buffer is None:
            return
        from ragwortpost.datapath.process._log_output import (  # noqa: WPS433
            open_log,
        )

        open_log(self._writing, self._output, self._events)
        self._buffer.pass_on(logging.getLogger(LOGGER_NAME))
        self._buffer = None
