"""Applies settings that changed while the process runs.

The platform announces a change with SIGHUP, or not at all, so the settings'
source is also looked at now and then. Settings that can't be used are logged
and change nothing.
"""

import asyncio
from dataclasses import replace
from typing import Final, Protocol

from result import Err, Ok, Result

from ragwortpost._errors import RagwortpostError
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._node_settings import NodeSettings

# Seconds between two looks for a change that was not announced.
SETTINGS_POLL_SECONDS: Final = 2.0


class SettingsSource(Protocol):
    """Where the process's settings come from."""

    def stamp(self) -> float:
        """Return a number that changes with the settings.

        Raises :class:`OSError` if they can't be reached.
        """

    def load(self) -> Result[NodeSettings, RagwortpostError]:
        """Return the settings as they are now."""


class SettingsReloader:
    """Follows the settings of one process."""

    def __init__(self, context: NodeContext, source: SettingsSource) -> None:
        """Start from the settings in the context."""
        self._context = context
        self._source = source
        self._log = context.log
        self._current = context.settings
        self._stamp = self._read_stamp()
        self._requested = asyncio.Event()

    def request_reload(self) -> None:
        """Load the settings soon; safe to call from a signal handler."""
        self._requested.set()

    async def run(self) -> None:
        """Follow the settings until cancelled."""
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_SECONDS):
                    await self._requested.wait()
            except TimeoutError:
                if self._read_stamp() == self._stamp:
                    continue
            self._requested.clear()
            self.reload()

    def reload(self) -> None:
        """Load the settings and apply what can change."""
        self._stamp = self._read_stamp()
        match self._source.load():
            case Err(problem):
                self._log.write('reload_rejected', why=str(problem))
            case Ok(settings):
                self._apply(settings)

    def _apply(self, settings: NodeSettings) -> None:
        self._context.directory.replace_seeds(settings.seeds)
        fixed = replace(
            settings,
            seeds=self._current.seeds,
            first_start=self._current.first_start,
        )
        if fixed != self._current:
            # Addresses and the upstream's service are bound for good.
            self._log.write('reload_needs_restart', settings=repr(fixed))
        self._log.write('reloaded', seeds=settings.seeds)

    def _read_stamp(self) -> float:
        try:
            return self._source.stamp()
        except OSError as error:
            self._log.write('settings_unreachable', why=repr(error))
            return 0
