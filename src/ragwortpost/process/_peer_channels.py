"""A pool of gRPC channels to other processes."""

from contextlib import AsyncExitStack
from typing import Final

from grpclib.client import Channel

from ragwortpost.process._sealed_codec import SealedCodec
from ragwortpost.version import SocketAddress

MAX_CHANNELS: Final = 64


class PeerChannels:
    """Channels by address; a full pool closes the least recently used."""

    def __init__(self, codec: SealedCodec) -> None:
        """Initialize an empty pool whose messages are sealed by ``codec``."""
        self._codec = codec
        self._channels: dict[SocketAddress, Channel] = {}

    async def __aenter__(self) -> 'PeerChannels':
        """Return the pool itself."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def channel(self, address: SocketAddress) -> Channel:
        """Return the channel to a process; it connects on first use."""
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = Channel(address.host, address.port, codec=self._codec)
        self._channels[address] = channel
        if len(self._channels) > MAX_CHANNELS:
            oldest = next(iter(self._channels))
            self._channels.pop(oldest).close()
        return channel


async def open_channels(stack: AsyncExitStack, key: bytes) -> PeerChannels:
    """Return a pool that ``stack`` closes."""
    return await stack.enter_async_context(PeerChannels(SealedCodec(key)))
