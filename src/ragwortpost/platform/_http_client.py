"""A persistent HTTP/1.1 connection for sequential requests."""

import asyncio
import socket
from collections.abc import Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Final

import httptools

from ragwortpost._datagrams import HostPort

_RECEIVE_BYTES: Final = 65536
# The kernel closes a connection whose sent data stays unacknowledged for this
# long. Without the limit, a peer that lost power is detected only after
# minutes.
_USER_TIMEOUT_MS: Final = 2000
# Idle time before the first keep-alive probe and the interval between probes;
# an unresponsive peer is detected within a few seconds.
_KEEP_ALIVE_SECONDS: Final = 1
_KEEP_ALIVE_PROBES: Final = 2


@dataclass(frozen=True)
class HttpResponse:
    """The response to a request."""

    # The HTTP status code.
    status: int
    # The complete body.
    body: bytes
    # The headers, by name in lower case.
    headers: Mapping[str, str] = field(default_factory=dict)


class _ResponseCollector:
    """Receives the callbacks of the parser for one response."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.headers: dict[str, str] = {}
        self.complete = False

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Record a header."""
        self.headers[name.decode('latin-1').lower()] = header_value.decode(
            'latin-1'
        )

    def on_body(self, part: bytes) -> None:
        """Append a part of the body."""
        self.body += part

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self.complete = True


class HttpConnection:
    """Sends requests to one server and connects when necessary."""

    def __init__(self, address: HostPort) -> None:
        """Initialize with the server's address, without connecting."""
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def get(self, path: str, timeout_seconds: float) -> HttpResponse:
        """Return the response to a GET request.

        Closes the connection on any failure and raises :class:`OSError`,
        :class:`EOFError`, :class:`TimeoutError` or
        :class:`httptools.HttpParserError`.
        """
        async with AsyncExitStack() as stack:
            stack.callback(self.close)
            async with asyncio.timeout(timeout_seconds):
                response = await self._get(path)
            stack.pop_all()
        return response

    def close(self) -> None:
        """Close the connection if it is open."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = None
        self._writer = None

    async def _get(self, path: str) -> HttpResponse:
        reader, writer = await self._open()
        host, port = self._address
        head = f'GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n'
        writer.write(head.encode())
        collector = _ResponseCollector()
        parser = httptools.HttpResponseParser(collector)
        while not collector.complete:
            received = await reader.read(_RECEIVE_BYTES)
            if not received:
                raise EOFError(f'{host}:{port} closed the connection early')
            parser.feed_data(received)
        status: int = parser.get_status_code()
        if not parser.should_keep_alive():
            self.close()
        return HttpResponse(status, bytes(collector.body), collector.headers)

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._reader is None or self._writer is None:
            reader, writer = await asyncio.open_connection(*self._address)
            _enable_keep_alive(writer.get_extra_info('socket'))
            self._reader = reader
            self._writer = writer
        return self._reader, self._writer


def _enable_keep_alive(tcp_socket: socket.socket) -> None:
    tcp_level = socket.IPPROTO_TCP
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(tcp_level, socket.TCP_KEEPIDLE, _KEEP_ALIVE_SECONDS)
    tcp_socket.setsockopt(tcp_level, socket.TCP_KEEPINTVL, _KEEP_ALIVE_SECONDS)
    tcp_socket.setsockopt(tcp_level, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES)
    tcp_socket.setsockopt(tcp_level, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
