"""Notices that the process was paused and must not trust its view."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from absl import logging

from ragwortpost._clock import Clock

TICK_SECONDS: Final = 0.25
SUSPENSION_SECONDS: Final = 1.0
RESYNC_SECONDS: Final = 0.5


class SuspensionDetector:
    """Compares versions with others after every pause, for a bounded time."""

    def __init__(
        self,
        clock: Clock,
        resync: Callable[[], Awaitable[None]],
    ) -> None:
        """Call ``resync`` when the process finds that it was paused."""
        self._clock = clock
        self._resync = resync
        self._last_tick = clock.monotonic()
        self._resynced = asyncio.Event()
        self._resynced.set()
        self._suspensions = 0

    @property
    def count(self) -> int:
        """How often the process woke from a pause."""
        return self._suspensions

    def is_resynced(self) -> bool:
        """Return whether the view may be trusted now.

        Call it before acting on input that may have waited during a pause.
        """
        if self._clock.monotonic() - self._last_tick > SUSPENSION_SECONDS:
            self._resynced.clear()
        return self._resynced.is_set()

    async def wait_until_resynced(self) -> None:
        """Wait until the view may be trusted, at most the resync time."""
        if not self.is_resynced():
            await self._resynced.wait()

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            await self._tick()
            await asyncio.sleep(TICK_SECONDS)

    async def _tick(self) -> None:
        trusted = self.is_resynced()
        self._last_tick = self._clock.monotonic()
        if trusted:
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
