"""Tests of the calls to other agents.

Guards against a call that can't be ended while its peer still has something to
send: its caller's connection could neither close nor be transferred. Also guards
against a response that broke off at the peer and looks complete.
"""

import asyncio
import random
from typing import Any, cast

import pytest
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
from grpclib.testing import ChannelFor

from ragwortpost._clock import SystemClock
from ragwortpost.process._peer_channels import PeerChannels
from ragwortpost.process._peer_rpc import PeerClient
from ragwortpost.request import (
    Answered,
    IncompleteResponseError,
    PeerSelector,
    Request,
)
from ragwortpost.version import Policy, SocketAddress, Upstream, short_id
from ragwortpost.wire.peer_grpc import PeerBase
from ragwortpost.wire.peer_pb2 import Head, ServeReply, ServeRequest


PEER = Upstream(
    'desk/north/2',
    short_id('desk/north/2'),
    'desk',
    'north',
    SocketAddress('10.0.1.2', 7001),
    Policy(),
)


class EndlessPeer(PeerBase):  # type: ignore[misc]
    """A peer whose event stream sends nothing and does not end."""

    async def Exchange(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Not called."""

    async def Adopt(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        """Not called."""

    async def Serve(  # noqa: N802
        self, stream: Stream[ServeRequest, ServeReply]
    ) -> None:
        await stream.recv_message()
        await stream.send_message(ServeReply(head=Head(status=200)))
        await asyncio.Event().wait()


class BreakingPeer(EndlessPeer):
    """A peer whose upstream is lost in the middle of a response."""

    async def Serve(  # noqa: N802
        self, stream: Stream[ServeRequest, ServeReply]
    ) -> None:
        await stream.recv_message()
        await stream.send_message(ServeReply(head=Head(status=200)))
        await stream.send_message(ServeReply(chunk=b'first half'))
        raise GRPCError(Status.UNAVAILABLE, 'response ended early')


class CompletingPeer(EndlessPeer):
    """A peer that sends a whole response."""

    async def Serve(  # noqa: N802
        self, stream: Stream[ServeRequest, ServeReply]
    ) -> None:
        await stream.recv_message()
        await stream.send_message(ServeReply(head=Head(status=200)))
        await stream.send_message(ServeReply(chunk=b'first half'))
        await stream.send_message(ServeReply(chunk=b', second half'))


class SingleChannel:
    """Returns one channel for all addresses."""

    def __init__(self, channel: Channel) -> None:
        self.only = channel

    def channel(self, _: object) -> Channel:
        return self.only


async def open_stream(channel: Channel) -> Answered:
    clock = SystemClock()
    client = PeerClient(
        clock,
        cast(PeerChannels, SingleChannel(channel)),
        PeerSelector(clock, random.Random(1)),
    )
    headers = [(b'accept', b'text/event-stream')]
    deadline = clock.monotonic() + 5
    request = Request('desk', 'GET', b'/queue', headers, b'', deadline)
    outcome = await client.serve(PEER, request)
    assert isinstance(outcome, Answered)
    return outcome


async def read_body(peer: PeerBase) -> bytes:
    async with ChannelFor([peer]) as channel:
        outcome = await open_stream(channel)
        async with outcome.stack:
            return b''.join([chunk async for chunk in outcome.chunks])


class TestResponses:
    """A response is complete only if the peer completed it."""

    def test_complete(self) -> None:
        body = asyncio.run(read_body(CompletingPeer()))
        assert body == b'first half, second half'

    def test_broken_off_at_the_peer(self) -> None:
        # The stream ends normally; only the status after it shows the loss.
        with pytest.raises(IncompleteResponseError):
            asyncio.run(read_body(BreakingPeer()))


class TestEndlessStreams:
    """A call ends at once, whatever its peer does."""

    def test_closed_while_nothing_arrives(self) -> None:
        async def scenario() -> None:
            async with ChannelFor([EndlessPeer()]) as channel:
                outcome = await open_stream(channel)
                async with asyncio.timeout(1):
                    await outcome.stack.aclose()

        asyncio.run(scenario())

    def test_cancelled_while_it_is_read(self) -> None:
        async def read(channel: Channel) -> None:
            outcome = await open_stream(channel)
            async with outcome.stack:
                await anext(outcome.chunks)

        async def scenario() -> None:
            async with ChannelFor([EndlessPeer()]) as channel:
                task = asyncio.create_task(read(channel))
                await asyncio.sleep(0.1)
                task.cancel()
                done, _ = await asyncio.wait((task,), timeout=1)
                assert task in done

        asyncio.run(scenario())
