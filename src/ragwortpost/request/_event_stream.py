"""Keeps a caller's event stream open while its source changes.

A source is a response of this agent's upstream or, if that refuses the request,
of a peer's. When a source ends, the stream is reopened, possibly at another
upstream, with the standard ``Last-Event-ID`` header. The caller sees one
stream.
"""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import Final

from absl import logging

from ragwortpost.request._event_splitter import EventSplitter
from ragwortpost.request._outcome import (
    Answered,
    IncompleteResponseError,
    RequestOutcome,
)
from ragwortpost.request._request import LAST_EVENT_ID, Request

_REOPEN_DELAY_SECONDS: Final = 0.05
_MAX_REOPEN_DELAY_SECONDS: Final = 1.0

OpenSource = Callable[[Request], Awaitable[RequestOutcome]]


class EventStream:
    """One caller's event stream, read from successive sources."""

    def __init__(self, open_source: OpenSource) -> None:
        """Initialize with ``open_source``; calls to it never overlap."""
        self._open_source = open_source
        self._reopen_attempts = 0
        self._delivered_id = b''

    @property
    def delivered_id(self) -> bytes:
        """Id of the last event sent on, or the request's ``Last-Event-ID``."""
        return self._delivered_id

    @property
    def reopen_attempts(self) -> int:
        """Number of attempts to reopen a source."""
        return self._reopen_attempts

    async def start(self, request: Request) -> RequestOutcome:
        """Open the first source and return its outcome.

        With status 200 the chunks continue over all later sources, and the
        returned stack is empty.
        """
        self._delivered_id = request.header(LAST_EVENT_ID)
        match await self._open_source(request):
            case Answered(status=200) as first:
                chunks = self._relay_events(request, first)
                return replace(first, chunks=chunks, stack=AsyncExitStack())
            case outcome:
                return outcome

    async def _relay_events(
        self,
        request: Request,
        first: Answered,
    ) -> AsyncGenerator[bytes, None]:
        splitter = EventSplitter(request.header(LAST_EVENT_ID))
        source = first
        while True:
            try:
                async with source.stack:
                    async for chunk in source.chunks:
                        events = splitter.feed(chunk)
                        if events:
                            yield events
                            self._delivered_id = splitter.last_id
            except IncompleteResponseError as error:
                logging.info('event=stream_source_lost why=%s', error)
            await asyncio.sleep(_REOPEN_DELAY_SECONDS)
            splitter = EventSplitter(splitter.last_id)
            source = await self._reopen(
                _with_last_event_id(request, splitter.last_id)
            )

    async def _reopen(self, request: Request) -> Answered:
        delay = _REOPEN_DELAY_SECONDS
        while True:
            self._reopen_attempts += 1
            match await self._open_source(request):
                case Answered(status=200) as source:
                    return source
                case Answered(stack=stack):
                    await stack.aclose()
            await asyncio.sleep(delay)
            delay = min(delay * 2, _MAX_REOPEN_DELAY_SECONDS)


def _with_last_event_id(request: Request, last_id: bytes) -> Request:
    headers = [
        header for header in request.headers if header[0] != LAST_EVENT_ID
    ]
    if last_id:
        headers.append((LAST_EVENT_ID, last_id))
    return replace(request, headers=headers)
