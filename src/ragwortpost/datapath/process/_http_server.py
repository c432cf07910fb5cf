"""Minimal HTTP server for readiness probes and the admin endpoints."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeAlias

import httptools

from ragwortpost._datagrams import HostPort


@dataclass(frozen=True)
class HttpReply:
    """Reply to one request."""

    status: HTTPStatus
    body: str = ''
    # Content-Type of the body.
    media_type: str = 'text/plain'


RequestCallback: TypeAlias = Callable[[str], HttpReply]


class _Connection(asyncio.Protocol):
    """One connection; its requests are answered in order."""

    def __init__(self, answer: RequestCallback) -> None:
        """Initialize with the callback that maps a target to its reply."""
        self._answer = answer
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for the replies."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes; close the connection if they are malformed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._transport is not None:
                self._transport.close()

    def on_url(self, url: bytes) -> None:
        """Collect the request target; called by the parser."""
        self._target += url

    def on_message_complete(self) -> None:
        """Write the reply; called by the parser at the end of a request."""
        target = self._target.decode('latin-1')
        self._target = b''
        if self._transport is not None:
            self._transport.write(_encode(self._answer(target)))


async def serve_http(
    stack: AsyncExitStack,
    address: HostPort,
    answer: RequestCallback,
) -> None:
    """Serve HTTP requests at an address until ``stack`` closes.

    Raises :class:`OSError` if the address can't be bound.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Connection(answer), *address)
    stack.callback(server.close)


def _encode(reply: HttpReply) -> bytes:
    body = reply.body.encode()
    head = (
        f'HTTP/1.1 {reply.status.value} {reply.status.phrase}\r\n'
        f'Content-Type: {reply.media_type}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
