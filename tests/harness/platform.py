"""An in-memory platform that can be down or stuck for some processes."""

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok, Result

from ragwortpost.process import PlatformError
from ragwortpost.process._platform_client import (
    WATCH_SECONDS,
    PublishedDocument,
)
from tests.harness.network import Host

# Delay of a read, and of a watch after a change.
READ_SECONDS = 0.005


@dataclass
class Platform:
    """All versions of the documents that operators published."""

    # Versions of each document in the order of publication; a revert appends
    # a lower one.
    history: dict[str, list[PublishedDocument]] = field(
        default_factory=lambda: {
            'settings': [PublishedDocument(0, b'')],
            'vms': [PublishedDocument(0, b'[]')],
        },
    )
    # Processes or data centres that can't reach the platform, or 'all'.
    down_for: set[str] = field(default_factory=set)
    # Settings version that a process, a data centre or 'all' still gets.
    stuck_at: dict[str, int] = field(default_factory=dict)
    # Pending watches wait for it; notify_watchers sets and replaces it.
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    # Number of calls of all processes; a watch is one call.
    calls: int = 0

    def publish(
        self, document: str, body: bytes, version: int | None = None
    ) -> int:
        """Publish a document as the next version, or as a given one."""
        number = self.history[document][-1].version + 1
        if version is not None:
            number = version
        self.history[document].append(PublishedDocument(number, body))
        self.notify_watchers()
        return number

    def notify_watchers(self) -> None:
        """Make all pending watches read their document again."""
        self.changed.set()
        self.changed = asyncio.Event()


class FakePlatformPort:
    """The access of one process to the platform."""

    def __init__(self, platform: Platform, host: Host) -> None:
        """Initialize with the platform and the process that reads it."""
        self._platform = platform
        self._host = host
        self.calls = 0

    async def read(
        self, document: str
    ) -> Result[PublishedDocument | None, PlatformError]:
        """Return the version of a document that this process gets."""
        self.calls += 1
        self._platform.calls += 1
        await asyncio.sleep(READ_SECONDS)
        return await self._read_published(document)

    async def watch(
        self,
        document: str,
        version: int,
    ) -> Result[PublishedDocument | None, PlatformError]:
        """Return a version other than ``version``.

        Returns none after ``WATCH_SECONDS``, and an error if the platform is
        down for this process.
        """
        self.calls += 1
        self._platform.calls += 1
        try:
            async with asyncio.timeout(WATCH_SECONDS):
                while True:
                    changed = self._platform.changed
                    current = await self._read_published(document)
                    if current.is_err() or current.unwrap().version != version:
                        return current
                    await changed.wait()
                    await asyncio.sleep(READ_SECONDS)
        except TimeoutError:
            return Ok(None)

    async def _read_published(
        self, document: str
    ) -> Result[PublishedDocument, PlatformError]:
        while self._host.suspended:
            await asyncio.sleep(0.05)
        names = {'all', self._host.name, self._host.data_centre}
        if names & self._platform.down_for:
            return Err(PlatformError(document, 'down'))
        for name, version in self._platform.stuck_at.items():
            if name in names and document == 'settings':
                return Ok(self._find_version(document, version))
        return Ok(self._platform.history[document][-1])

    def _find_version(self, document: str, version: int) -> PublishedDocument:
        return next(
            published
            for published in self._platform.history[document]
            if published.version == version
        )
