"""Applies changed settings at run time.

The platform may or may not announce a change with SIGHUP, so the source of the
settings is polled as well. Invalid settings are logged and change nothing.
"""

import asyncio
from dataclasses import replace
from typing import Final, Protocol

from result import Err, Ok, Result

from ragwortpost._errors import RagwortpostError
from ragwortpost.datapath.process._node_context import NodeContext
from ragwortpost.datapath.process._node_settings import NodeSettings

# Interval of the polls for changes that were not announced.
SETTINGS_POLL_SECONDS: Final = 2.0


class SettingsSource(Protocol):
    """Source of the process's settings."""

    def change_marker(self) -> float:
        """Return a number that changes whenever the settings change.

        Raises :class:`OSError` if they can't be read.
        """

    def load(self) -> Result[NodeSettings, RagwortpostError]:
        """Return the current settings."""


class SettingsReloader:
    """Reloads the settings of one process when they change."""

    def __init__(self, context: NodeContext, source: SettingsSource) -> None:
        """Initialize with the settings in the context and their source."""
        self._context = context
        self._source = source
        self._log = context.log
        self._current = context.settings
        self._change_marker = self._read_change_marker()
        self._requested = asyncio.Event()

    def request_reload(self) -> None:
        """Request a reload; safe to call from a signal handler."""
        self._requested.set()

    async def run(self) -> None:
        """Reload changed settings until cancelled."""
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_SECONDS):
                    await self._requested.wait()
            except TimeoutError:
                if self._read_change_marker() == self._change_marker:
                    continue
            self._requested.clear()
            self.reload()

    def reload(self) -> None:
        """Load the settings and apply those that can change at run time."""
        self._change_marker = self._read_change_marker()
        match self._source.load():
            case Err(error):
                self._log.write('reload_rejected', why=str(error))
            case Ok(settings):
                self._apply(settings)

    def _apply(self, settings: NodeSettings) -> None:
        self._context.directory.replace_seeds(settings.seeds)
        startup_settings = replace(
            settings,
            seeds=self._current.seeds,
            first_start=self._current.first_start,
        )
        if startup_settings != self._current:
            # Addresses and the upstream's service can't change at run time.
            self._log.write(
                'reload_needs_restart', settings=repr(startup_settings)
            )
        self._log.write('reloaded', seeds=settings.seeds)

    def _read_change_marker(self) -> float:
        try:
            return self._source.change_marker()
        except OSError as error:
            self._log.write('settings_unreachable', why=repr(error))
            return 0
