"""Tests of event streams that continue over changing sources.

Guards against events that are cut, skipped or repeated when a source breaks
off within an event, and against sources that are reopened without a pause.
"""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack

import pytest

from ragwortpost.request import (
    LAST_EVENT_ID,
    Answered,
    EventSplitter,
    EventStream,
    IncompleteResponseError,
    Request,
    RequestOutcome,
)


def request() -> Request:
    """Return a request for an event stream."""
    return Request(
        'desk', 'GET', b'/queue', [(b'accept', b'text/event-stream')], b'', 1
    )


class ScriptedSource:
    """Opens scripted sources one after another."""

    def __init__(self, *scripts: list[bytes]) -> None:
        self.scripts = list(scripts)
        self.resume_ids: list[bytes] = []

    async def open(self, incoming: Request) -> RequestOutcome:
        """Open the next source; the last one is repeated."""
        self.resume_ids.append(incoming.header(LAST_EVENT_ID))
        script = (
            self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        )
        return Answered(200, [], self._chunks(script), AsyncExitStack())

    async def _chunks(self, script: list[bytes]) -> AsyncGenerator[bytes, None]:
        for chunk in script:
            yield chunk
        raise IncompleteResponseError('scripted end')


class TestEventSplitter:
    """The stream is split after each event."""

    def test_splits_after_each_event(self) -> None:
        splitter = EventSplitter()
        assert (
            splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
            == b'id: 1\ndata: a\n\n'
        )
        assert splitter.last_id == b'1'
        assert splitter.feed(b'ta: b\r\n\r\n') == b'id: 2\ndata: b\r\n\r\n'
        assert splitter.last_id == b'2'


class TestReopening:
    """A stream is resumed after its last complete event."""

    async def read(self, source: ScriptedSource, events: int) -> list[bytes]:
        outcome = await EventStream(source.open).start(request())
        assert isinstance(outcome, Answered)
        seen = []
        async for chunk in outcome.chunks:
            seen.append(chunk)
            if len(seen) == events:
                break
        return seen

    def test_resumes_after_the_last_complete_event(self) -> None:
        source = ScriptedSource(
            [b'id: 7\n\n', b'id: 8\nda'], [b'id: 8\ndata: x\n\n']
        )
        seen = asyncio.run(self.read(source, 2))
        assert seen == [b'id: 7\n\n', b'id: 8\ndata: x\n\n']
        assert source.resume_ids == [b'', b'7']

    def test_empty_sources_are_reopened_with_backoff(self) -> None:
        source = ScriptedSource([])

        async def read_one_event() -> None:
            async with asyncio.timeout(0.5):
                await self.read(source, 1)

        with pytest.raises(TimeoutError):
            asyncio.run(read_one_event())
        assert 2 <= len(source.resume_ids) <= 12
