"""Non-blocking log output.

Log lines pass through a bounded queue to a thread that writes them. If
standard output blocks, the queue fills up; further lines are dropped and
counted.
"""

import logging
import queue
import time
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from logging.handlers import QueueHandler, QueueListener
from typing import Final, TextIO

from pythonjsonlogger.json import JsonFormatter

from ragwortpost.datapath.process._log_names import (
    DROPPED_EVENT,
    LOGGER_NAME,
)

# Capacity of the queue: a few seconds of a busy process's lines.
MAX_QUEUED_LINES: Final = 2000
# At exit the process polls until all lines are written, but for no more than a
# fifth of a second: a blocked output must not delay it.
FLUSH_POLL_SECONDS: Final = 0.005
FLUSH_POLLS: Final = 40


class _DroppingQueueHandler(QueueHandler):
    """Queues records; drops and counts them while the queue is full."""

    def __init__(
        self,
        lines: 'queue.Queue[logging.LogRecord]',
        count_dropped: Callable[[], None],
    ) -> None:
        """Initialize with the queue and the callback for dropped records."""
        super().__init__(lines)
        self._count_dropped = count_dropped

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unformatted: its fields are written as JSON."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop it if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._count_dropped()


def open_log(
    stack: ExitStack,
    output: TextIO,
    events: Counter[str],
) -> None:
    """Write log lines to ``output`` until ``stack`` closes.

    Dropped lines are counted in ``events``.
    """
    lines: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)

    def count_dropped() -> None:  # noqa: WPS430
        events[DROPPED_EVENT] += 1

    writer = logging.StreamHandler(output)
    writer.setFormatter(JsonFormatter(['event']))
    listener = QueueListener(lines, writer)
    logger = logging.getLogger(LOGGER_NAME)
    handler = _DroppingQueueHandler(lines, count_dropped)  # noqa: WPS110
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    stack.callback(_flush, lines)
    stack.callback(logger.removeHandler, handler)
    listener.start()


def _flush(lines: 'queue.Queue[logging.LogRecord]') -> None:
    """Wait until all lines are written, for a limited time."""
    for _ in range(FLUSH_POLLS):
        if not lines.unfinished_tasks:
            return
        time.sleep(FLUSH_POLL_SECONDS)
