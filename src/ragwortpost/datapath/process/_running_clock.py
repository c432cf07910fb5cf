"""A clock that stands still while its process does not run.

A process that was suspended or lacked CPU time has received nothing meanwhile.
Measured with the system's clock, all its peers would seem unresponsive when it
continues, before it has read what they sent.
"""

from datetime import datetime
from typing import Final

from ragwortpost._clock import Clock

# Longest time between two readings that counts in full. Every process reads its
# clock at each tick, at most a tenth of a second apart.
MAX_GAP_SECONDS: Final = 0.25


class RunningClock:
    """Measures how long a process has been running."""

    def __init__(self, clock: Clock) -> None:
        """Start with a clock that also runs while the process does not."""
        self._clock = clock
        self._last_reading = clock.monotonic()
        self._stalled = float(0)

    def monotonic(self) -> float:
        """Return monotonic seconds, without the time of stalls."""
        reading = self._clock.monotonic()
        gap = reading - self._last_reading
        self._last_reading = reading
        self._stalled += max(0, gap - MAX_GAP_SECONDS)
        return reading - self._stalled

    def now(self) -> datetime:
        """Return the time of day."""
        return self._clock.now()
