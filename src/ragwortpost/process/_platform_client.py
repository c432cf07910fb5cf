"""Reads and watches the settings and the VM list that the platform publishes.

The protocol is HTTP: ``GET /v1/NAME`` returns the document with its version as
the entity tag. With ``If-None-Match`` and ``Prefer: wait=N`` (RFC 7240) the
platform delays the response until the version changes, for at most N seconds.
"""

from dataclasses import dataclass
from typing import Final, Protocol

import aiohttp
from result import Err, Ok, Result

from ragwortpost._errors import RagwortpostError

WATCH_SECONDS: Final = 20
_READ_SECONDS: Final = 2
_OK: Final = 200
_NOT_MODIFIED: Final = 304


@dataclass(frozen=True)
class PublishedDocument:
    """One version of a document as returned by the platform."""

    # The version assigned by the platform.
    version: int
    # The document, not yet parsed.
    body: bytes


class PlatformError(RagwortpostError):
    """The platform could not be read."""

    def __init__(self, document: str, cause: str) -> None:
        """Initialize with the name of the document and the cause."""
        super().__init__(document, cause)
        self.document = document
        self.cause = cause

    def __str__(self) -> str:
        """Return the document and the cause in one line."""
        return f'platform could not be read: {self.document}: {self.cause}'


class PlatformPort(Protocol):
    """Reads documents; tests substitute one without a network."""

    @property
    def calls(self) -> int:
        """The number of calls so far; a watch is one call."""

    async def read(
        self,
        document: str,
    ) -> Result[PublishedDocument | None, PlatformError]:
        """Return the current version of a document."""

    async def watch(
        self,
        document: str,
        version: int,
    ) -> Result[PublishedDocument | None, PlatformError]:
        """Return a version other than ``version``.

        Returns ``None`` if the document did not change within the platform's
        wait.
        """


class PlatformClient:
    """An HTTP client of one platform."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        """Initialize with a session, which its owner closes, and a URL."""
        self._session = session
        self._url = url.rstrip('/')
        self._calls = 0

    @property
    def calls(self) -> int:
        """The number of calls so far; a watch is one call."""
        return self._calls

    async def read(
        self,
        document: str,
    ) -> Result[PublishedDocument | None, PlatformError]:
        """Return the current version of a document."""
        return await self._get(document, {}, _READ_SECONDS)

    async def watch(
        self,
        document: str,
        version: int,
    ) -> Result[PublishedDocument | None, PlatformError]:
        """Return a version other than ``version``.

        Returns ``None`` if the document did not change within the platform's
        wait.
        """
        headers = {
            'If-None-Match': f'"{version}"',
            'Prefer': f'wait={WATCH_SECONDS}',
        }
        timeout_seconds = WATCH_SECONDS + _READ_SECONDS
        return await self._get(document, headers, timeout_seconds)

    async def _get(
        self,
        document: str,
        headers: dict[str, str],
        timeout_seconds: int,
    ) -> Result[PublishedDocument | None, PlatformError]:
        self._calls += 1
        try:
            return await self._fetch(document, headers, timeout_seconds)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Err(PlatformError(document, repr(error)))

    async def _fetch(
        self,
        document: str,
        headers: dict[str, str],
        timeout_seconds: int,
    ) -> Result[PublishedDocument | None, PlatformError]:
        call = self._session.get(
            f'{self._url}/v1/{document}',
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_seconds),
        )
        async with call as response:
            if response.status == _NOT_MODIFIED:
                return Ok(None)
            if response.status != _OK:
                return Err(PlatformError(document, str(response.status)))
            version = int(response.headers.get('ETag', '').strip('"'))
            return Ok(PublishedDocument(version, await response.read()))
