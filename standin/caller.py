"""Stand-in for a caller of the QUIC data path: a standard HTTP/3 client."""

import asyncio
import ssl
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from typing import Any

from aioquic.asyncio.client import connect
from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import ConnectionTerminated, QuicEvent, StreamReset

RESET_TOKEN_BYTES = 16
STATELESS_RESET = 'stateless reset'
KEY_PATH = '/.well-known/idempotency-key'


class ConnectionLostError(Exception):
    """The connection or the stream ended before the response was complete."""


@dataclass
class Response:
    """An HTTP response, updated as it arrives."""

    # The status code; zero until the headers have arrived.
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    # The part of the body received so far.
    body: bytearray = field(default_factory=bytearray)
    # Set whenever headers or data arrive, or the response fails.
    updated: asyncio.Event = field(default_factory=asyncio.Event)
    # Whether the last byte has arrived.
    complete: bool = False
    # Whether the stream ended before the response was complete.
    broken: bool = False

    @property
    def outcome(self) -> str:
        """The ``request-outcome`` header, empty if absent.

        ragwortpost sets it on requests that it did not answer.
        """
        return self.headers.get('request-outcome', '')


class CallerProtocol(QuicConnectionProtocol):
    """A caller's connection with its open requests."""

    def __init__(self, *arguments: object, **options: object) -> None:
        """Initialize the HTTP/3 layer of the connection."""
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.http = H3Connection(self._quic)
        self.responses: dict[int, Response] = {}
        self.closed_reason: str | None = None

    def quic_event_received(self, event: QuicEvent) -> None:
        """Apply a QUIC event to the response of its stream."""
        match event:
            case ConnectionTerminated(reason_phrase=reason):
                self.closed_reason = reason
                for response in self.responses.values():
                    self._fail(response)
            case StreamReset(stream_id=stream_id) if (
                stream_id in self.responses
            ):
                self._fail(self.responses[stream_id])
        for http_event in self.http.handle_event(event):
            match http_event:
                case HeadersReceived(stream_id=stream_id):
                    self._on_headers(self.responses.get(stream_id), http_event)
                case DataReceived(stream_id=stream_id):
                    self._on_body(self.responses.get(stream_id), http_event)

    def datagram_received(self, data: bytes | str, addr: Any) -> None:
        """Receive a datagram, and detect a stateless reset.

        aioquic's client does not detect stateless resets itself.
        """
        tokens = {
            cid.stateless_reset_token for cid in self._quic._peer_cid_available
        }
        tokens.add(self._quic._peer_cid.stateless_reset_token)
        if bytes(data)[-RESET_TOKEN_BYTES:] in tokens - {b''}:  # type: ignore[arg-type]
            self.closed_reason = STATELESS_RESET
            for response in self.responses.values():
                self._fail(response)
            return
        super().datagram_received(data, addr)

    def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b'',
    ) -> tuple[int, Response]:
        """Send a request; return its stream id and its pending response."""
        stream_id = self._quic.get_next_available_stream_id()
        response = Response()
        self.responses[stream_id] = response
        header_fields = [
            (b':method', method.encode()),
            (b':scheme', b'https'),
            (b':authority', b'service'),
            (b':path', path.encode()),
        ]
        header_fields += [
            (name.lower().encode(), text.encode())
            for name, text in headers.items()
        ]
        self.http.send_headers(stream_id, header_fields, end_stream=not body)
        if body:
            self.http.send_data(stream_id, body, end_stream=True)
        self.transmit()
        return stream_id, response

    def cancel(self, stream_id: int) -> None:
        """Reset the stream of a request and discard its response."""
        with suppress(ValueError):
            self._quic.reset_stream(stream_id, 0x10C)
            self._quic.stop_stream(stream_id, 0x10C)
        self.responses.pop(stream_id, None)
        self.transmit()

    def _fail(self, response: Response) -> None:
        response.broken = not response.complete
        response.updated.set()

    def _on_headers(
        self, response: Response | None, event: HeadersReceived
    ) -> None:
        if response is None:
            return
        response.headers = {
            name.decode(): text.decode() for name, text in event.headers
        }
        response.status = int(response.headers[':status'])
        response.complete = event.stream_ended
        response.updated.set()

    def _on_body(self, response: Response | None, event: DataReceived) -> None:
        if response is None:
            return
        response.body += event.data
        response.complete = event.stream_ended
        response.updated.set()


class Caller:
    """A caller with an open connection to a service."""

    def __init__(self, protocol: CallerProtocol) -> None:
        """Initialize with an open connection."""
        self.protocol = protocol

    @property
    def upstream(self) -> bytes:
        """The short id of the upstream, as encoded in the connection id."""
        return self.protocol._quic._peer_cid.cid[1:7]

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self.protocol.closed_reason is not None

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> Response:
        """Send a request and wait for the complete response."""
        if self.closed:
            raise ConnectionLostError(self.protocol.closed_reason)
        stream_id, response = self.protocol.request(
            method, path, headers or {}, body
        )
        try:
            while not response.complete:
                if response.broken:
                    raise ConnectionLostError(self.protocol.closed_reason)
                await response.updated.wait()
                response.updated.clear()
        except asyncio.CancelledError:
            self.protocol.cancel(stream_id)
            raise
        self.protocol.responses.pop(stream_id, None)
        return response

    async def fetch_idempotency_key(self) -> str:
        """Request an idempotency key from the agent."""
        response = await self.call('GET', KEY_PATH)
        return response.headers.get('idempotency-key', '')

    async def events(self, path: str) -> AsyncIterator[bytes]:
        """Yield the events of a stream.

        Raises :class:`ConnectionLostError` whenever the stream ends, also after
        a complete response.
        """
        headers = {'accept': 'text/event-stream'}
        stream_id, response = self.protocol.request('GET', path, headers)
        try:
            while not (response.broken or response.complete):
                event, separator, rest = bytes(response.body).partition(b'\n\n')
                if separator:
                    response.body[:] = rest
                    yield event
                    continue
                await response.updated.wait()
                response.updated.clear()
        finally:
            if not self.closed:
                self.protocol.cancel(stream_id)
        raise ConnectionLostError(self.protocol.closed_reason)


async def open_caller(
    stack: AsyncExitStack,
    host: str,
    port: int,
    idle_seconds: float = 30,
) -> Caller:
    """Connect to a service; closing ``stack`` closes the connection."""
    configuration = QuicConfiguration(
        is_client=True,
        alpn_protocols=H3_ALPN,
        verify_mode=ssl.CERT_NONE,
        idle_timeout=idle_seconds,
        server_name='service',
    )
    protocol = await stack.enter_async_context(
        connect(
            host,
            port,
            configuration=configuration,
            create_protocol=CallerProtocol,
            wait_connected=True,
        ),
    )
    assert isinstance(protocol, CallerProtocol)  # noqa: S101
    return Caller(protocol)
