"""An event loop with virtual time: sleeping takes no real time."""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta
from typing import Any

# Minimum advance of the virtual time per iteration of the loop. Without it, a
# timer that is not due yet because of rounding would stall the loop.
MIN_STEP_SECONDS = 1e-7
# UTC time at the start of every loop.
VIRTUAL_START = datetime(2026, 1, 1, tzinfo=UTC)


class _InstantSelector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    loop: 'VirtualLoop'

    def select(self, timeout: float | None = None) -> Any:
        """Advance the time by ``timeout``; return the ready descriptors."""
        if timeout is None:
            raise RuntimeError(
                'event loop blocked: no timer or callback is pending'
            )
        self.loop.virtual_seconds += max(timeout, MIN_STEP_SECONDS)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers run without a real delay."""

    def __init__(self) -> None:
        """Initialize at time zero."""
        selector = _InstantSelector()
        selector.loop = self
        self.virtual_seconds = 0.0
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_seconds


class ProcessClock:
    """The clock of one process; it stops while the process is suspended."""

    def __init__(self, loop: VirtualLoop) -> None:
        """Initialize with the loop that provides the time."""
        self._loop = loop
        self._suspended_at: float | None = None

    def suspend(self) -> None:
        """Stop the clock."""
        self._suspended_at = self._loop.time()

    def resume(self) -> None:
        """Continue at the loop's current time."""
        self._suspended_at = None

    def monotonic(self) -> float:
        """Return the seconds since the loop started; fixed while suspended."""
        if self._suspended_at is not None:
            return self._suspended_at
        return self._loop.time()

    def now(self) -> datetime:
        """Return the virtual UTC time; it stops while suspended."""
        return VIRTUAL_START + timedelta(seconds=self.monotonic())
