"""Answers the platform's question whether a process is ready."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Final

import httptools

from ragwortpost._datagrams import HostPort

_PATH: Final = b'/-/readyz'
_READY: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
_NOT_READY: Final = (
    b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'
)
_NOT_FOUND: Final = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'


class _Connection(asyncio.Protocol):
    """One connection of the platform; its requests are answered in turn."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Answer from ``is_ready``."""
        self._is_ready = is_ready
        self._parser = httptools.HttpRequestParser(self)
        self._path = b''
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection for the answers."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse; a malformed request ends the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._transport is not None:
                self._transport.close()

    def on_url(self, url: bytes) -> None:
        """Note the request's path, for the parser."""
        self._path = url

    def on_message_complete(self) -> None:
        """Answer, for the parser."""
        if self._transport is None:
            return
        if self._path != _PATH:
            self._transport.write(_NOT_FOUND)
        elif self._is_ready():
            self._transport.write(_READY)
        else:
            self._transport.write(_NOT_READY)


async def serve_readiness(
    stack: AsyncExitStack,
    address: HostPort,
    is_ready: Callable[[], bool],
) -> None:
    """Answer at an address until ``stack`` closes.

    Raises :class:`OSError` if the address can't be bound.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Connection(is_ready), *address)
    stack.callback(server.close)
