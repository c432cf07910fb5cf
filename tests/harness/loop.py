"""An event loop whose time passes at once."""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta
from typing import Any

# Each round of the loop takes a little time, so that rounding can't stall it.
MIN_STEP_SECONDS = 1e-7
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class _InstantSelector(selectors.SelectSelector):
    """Moves the loop's time on instead of waiting."""

    loop: 'VirtualLoop'

    def select(self, timeout: float | None = None) -> Any:
        """Return what is ready now."""
        if timeout is None:
            raise RuntimeError('nothing will ever happen again')
        self.loop.virtual_seconds += max(timeout, MIN_STEP_SECONDS)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop that sleeps for no real time."""

    def __init__(self) -> None:
        """Start at time zero."""
        selector = _InstantSelector()
        selector.loop = self
        self.virtual_seconds = 0.0
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_seconds


class ProcessClock:
    """The clock of one process; it stands while the process is frozen."""

    def __init__(self, loop: VirtualLoop) -> None:
        """Follow the loop's time."""
        self._loop = loop
        self._suspended_at: float | None = None

    def suspend(self) -> None:
        """Stop the clock as the process sees it."""
        self._suspended_at = self._loop.time()

    def resume(self) -> None:
        """Let the process see the time that has passed."""
        self._suspended_at = None

    def monotonic(self) -> float:
        """Return seconds as the process sees them."""
        if self._suspended_at is not None:
            return self._suspended_at
        return self._loop.time()

    def now(self) -> datetime:
        """Return the wall clock."""
        return EPOCH + timedelta(seconds=self.monotonic())
