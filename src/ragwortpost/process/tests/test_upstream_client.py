"""Tests of the requests that an agent sends to its upstream.

Guards against a response that broke off and looks complete, a late copy of a
response that answers another request, and a request that runs again after its
response was lost.
"""

import asyncio
import socket
import struct
from collections.abc import Sequence
from contextlib import AsyncExitStack

import pytest

from ragwortpost._clock import SystemClock
from ragwortpost.process._upstream_client import UpstreamClient
from ragwortpost.process._upstream_lifecycle import UpstreamLifecycle
from ragwortpost.request import (
    Answered,
    IncompleteResponseError,
    Ramp,
    Request,
    RequestOutcome,
    Unknown,
    UnknownReason,
)
from ragwortpost.version import SocketAddress

HEAD = b'HTTP/1.1 200 OK\r\n'
WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s'
NO_LINGER = struct.pack('ii', 1, 0)


class RawUpstream:
    """Writes prepared bytes for each request, and then ends the connection."""

    def __init__(
        self, responses: Sequence[bytes], *, aborts: bool = False
    ) -> None:
        self.responses = list(responses)
        self.aborts = aborts
        self.runs = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        if b' /health ' in head:
            writer.close()
            return
        self.runs += 1
        writer.write(self.responses.pop(0))
        if self.aborts:
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
            # The client is to read the data before the reset.
            await asyncio.sleep(0.05)
            writer.transport.abort()
        writer.close()


async def send(upstream: RawUpstream, *methods: str) -> Sequence[object]:
    """Send requests one after the other; return bodies or outcomes."""
    clock = SystemClock()
    async with AsyncExitStack() as stack:
        server = await asyncio.start_server(upstream.serve, '127.0.0.1', 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        client = UpstreamClient(
            clock,
            SocketAddress('127.0.0.1', port),
            UpstreamLifecycle(Ramp(clock)),
        )
        await client.open(stack)
        results = []
        for method in methods:
            deadline = clock.monotonic() + 5
            request = Request('desk', method, b'/work', [], b'', deadline)
            results.append(await read(await client.send(request)))
        return results


async def read(outcome: RequestOutcome) -> object:
    if not isinstance(outcome, Answered):
        return outcome
    async with outcome.stack:
        return b''.join([chunk async for chunk in outcome.chunks])


class TestBrokenResponses:
    """A response that broke off is never a complete one."""

    @pytest.mark.parametrize(
        'framing',
        [
            b'content-length: 9\r\n\r\nhalf',
            b'transfer-encoding: chunked\r\n\r\n9\r\nhalf',
            b'transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
        ],
    )
    @pytest.mark.parametrize('aborts', [False, True])
    def test_of_stated_length(self, framing: bytes, aborts: bool) -> None:
        upstream = RawUpstream([HEAD + framing], aborts=aborts)
        with pytest.raises(IncompleteResponseError):
            asyncio.run(send(upstream, 'POST'))

    def test_that_ends_with_its_connection(self) -> None:
        upstream = RawUpstream([HEAD + b'\r\nhalf'], aborts=True)
        with pytest.raises(IncompleteResponseError):
            asyncio.run(send(upstream, 'POST'))

    def test_whole_body_that_ends_with_its_connection(self) -> None:
        upstream = RawUpstream([HEAD + b'\r\nwhole'])
        assert asyncio.run(send(upstream, 'POST')) == [b'whole']


def test_late_copy_of_a_response_does_not_answer_the_next_request() -> None:
    first, second = WHOLE % (5, b'first'), WHOLE % (6, b'second')
    upstream = RawUpstream([first + first, second])
    results = asyncio.run(send(upstream, 'POST', 'POST'))
    assert results == [b'first', b'second']


@pytest.mark.parametrize('aborts', [False, True])
def test_request_whose_response_is_lost_runs_once(aborts: bool) -> None:
    upstream = RawUpstream([b''], aborts=aborts)
    results = asyncio.run(send(upstream, 'POST'))
    assert results == [Unknown(UnknownReason.CONNECTION_LOST)]
    assert upstream.runs == 1
