"""The clock interface through which both data paths read the time."""

import asyncio
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """A source of time; tests substitute one that they advance."""

    def monotonic(self) -> float:
        """Return the time in seconds, on the scale of ``loop.call_at``."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""


class SystemClock:
    """The running event loop's clock and the system's wall clock."""

    def __init__(self) -> None:
        """Initialize with the running event loop."""
        self._loop = asyncio.get_running_loop()

    def monotonic(self) -> float:
        """Return the event loop's time in seconds."""
        return self._loop.time()

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)
