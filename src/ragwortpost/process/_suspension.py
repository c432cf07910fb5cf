"""Detects that the process was suspended and its view may be outdated."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from absl import logging

from ragwortpost._clock import Clock

TICK_SECONDS: Final = 0.25
# Time since the last tick from which the process counts as suspended.
SUSPENSION_SECONDS: Final = 1.0
# Timeout of a resync; the view is used as it is afterwards.
RESYNC_SECONDS: Final = 0.5


class SuspensionDetector:
    """Detects suspensions by late ticks and resyncs the view after each."""

    def __init__(
        self,
        clock: Clock,
        resync: Callable[[], Awaitable[None]],
    ) -> None:
        """Initialize with the clock and the call that resyncs the view."""
        self._clock = clock
        self._resync = resync
        self._last_tick = clock.monotonic()
        self._resynced = asyncio.Event()
        self._resynced.set()
        self._suspensions = 0

    @property
    def count(self) -> int:
        """The number of suspensions detected."""
        return self._suspensions

    def is_resynced(self) -> bool:
        """Check for a suspension; return false until its resync has ended.

        Call it before acting on input that may have been queued during a
        suspension, since the next tick may not have run yet.
        """
        if self._clock.monotonic() - self._last_tick > SUSPENSION_SECONDS:
            self._resynced.clear()
        return self._resynced.is_set()

    async def wait_until_resynced(self) -> None:
        """Wait until the view is resynced or the resync has timed out."""
        if not self.is_resynced():
            await self._resynced.wait()

    async def run(self) -> None:
        """Check for suspensions at regular intervals until cancelled."""
        while True:
            await self._tick()
            await asyncio.sleep(TICK_SECONDS)

    async def _tick(self) -> None:
        resynced = self.is_resynced()
        self._last_tick = self._clock.monotonic()
        if resynced:
            return
        self._suspensions += 1
        logging.info('event=woken wakings=%d', self._suspensions)
        try:
            async with asyncio.timeout(RESYNC_SECONDS):
                await self._resync()
        except TimeoutError:
            logging.warning('event=resync_timeout')
        self._last_tick = self._clock.monotonic()
        self._resynced.set()
