"""A stand-in for a caller: an ordinary HTTP/3 client over aioquic."""

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


class FlowBrokenError(Exception):
    """The connection or the stream ended before the answer was whole."""


@dataclass
class Answer:
    """One answer as it arrives."""

    # The HTTP status; zero until the headers arrived.
    status: int = 0
    # The headers.
    headers: dict[str, str] = field(default_factory=dict)
    # The body so far.
    body: bytearray = field(default_factory=bytearray)
    # Set by any news of this answer.
    news: asyncio.Event = field(default_factory=asyncio.Event)
    # Whether the answer is whole.
    whole: bool = False
    # Whether it can't become whole any more.
    broken: bool = False

    @property
    def outcome(self) -> str:
        """What the system says of a request that it did not answer."""
        return self.headers.get('request-outcome', '')


class CallerProtocol(QuicConnectionProtocol):
    """One connection of a caller."""

    def __init__(self, *arguments: object, **options: object) -> None:
        """Speak HTTP/3 on the connection."""
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.http = H3Connection(self._quic)
        self.answers: dict[int, Answer] = {}
        self.closed_reason: str | None = None

    def quic_event_received(self, event: QuicEvent) -> None:
        """Sort what arrived to its answer."""
        match event:
            case ConnectionTerminated(reason_phrase=reason):
                self.closed_reason = reason
                for answer in self.answers.values():
                    self._break(answer)
            case StreamReset(stream_id=stream_id) if stream_id in self.answers:
                self._break(self.answers[stream_id])
        for http_event in self.http.handle_event(event):
            match http_event:
                case HeadersReceived(stream_id=stream_id):
                    self._headers(self.answers.get(stream_id), http_event)
                case DataReceived(stream_id=stream_id):
                    self._body(self.answers.get(stream_id), http_event)

    def datagram_received(self, data: bytes | str, addr: Any) -> None:
        """Notice a stateless reset, which aioquic's client does not."""
        tokens = {
            cid.stateless_reset_token for cid in self._quic._peer_cid_available
        }
        tokens.add(self._quic._peer_cid.stateless_reset_token)
        if bytes(data)[-RESET_TOKEN_BYTES:] in tokens - {b''}:  # type: ignore[arg-type]
            self.closed_reason = STATELESS_RESET
            for answer in self.answers.values():
                self._break(answer)
            return
        super().datagram_received(data, addr)

    def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b'',
    ) -> tuple[int, Answer]:
        """Send a request and return its stream and the coming answer."""
        stream_id = self._quic.get_next_available_stream_id()
        answer = Answer()
        self.answers[stream_id] = answer
        fields = [
            (b':method', method.encode()),
            (b':scheme', b'https'),
            (b':authority', b'service'),
            (b':path', path.encode()),
        ]
        fields += [
            (name.lower().encode(), text.encode())
            for name, text in headers.items()
        ]
        self.http.send_headers(stream_id, fields, end_stream=not body)
        if body:
            self.http.send_data(stream_id, body, end_stream=True)
        self.transmit()
        return stream_id, answer

    def cancel(self, stream_id: int) -> None:
        """Give a request up."""
        with suppress(ValueError):
            self._quic.reset_stream(stream_id, 0x10C)
            self._quic.stop_stream(stream_id, 0x10C)
        self.answers.pop(stream_id, None)
        self.transmit()

    def _break(self, answer: Answer) -> None:
        answer.broken = not answer.whole
        answer.news.set()

    def _headers(self, answer: Answer | None, event: HeadersReceived) -> None:
        if answer is None:
            return
        answer.headers = {
            name.decode(): text.decode() for name, text in event.headers
        }
        answer.status = int(answer.headers[':status'])
        answer.whole = event.stream_ended
        answer.news.set()

    def _body(self, answer: Answer | None, event: DataReceived) -> None:
        if answer is None:
            return
        answer.body += event.data
        answer.whole = event.stream_ended
        answer.news.set()


class Caller:
    """A caller with one connection to a service."""

    def __init__(self, protocol: CallerProtocol) -> None:
        """Use an open connection."""
        self.protocol = protocol

    @property
    def upstream(self) -> bytes:
        """The wire id of the upstream that the connection id names."""
        return self.protocol._quic._peer_cid.cid[1:7]

    @property
    def closed(self) -> bool:
        """Whether the connection is over."""
        return self.protocol.closed_reason is not None

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> Answer:
        """Send a request and wait for its whole answer."""
        if self.closed:
            raise FlowBrokenError(self.protocol.closed_reason)
        stream_id, answer = self.protocol.request(
            method, path, headers or {}, body
        )
        try:
            while not answer.whole:
                if answer.broken:
                    raise FlowBrokenError(self.protocol.closed_reason)
                await answer.news.wait()
                answer.news.clear()
        except asyncio.CancelledError:
            self.protocol.cancel(stream_id)
            raise
        self.protocol.answers.pop(stream_id, None)
        return answer

    async def new_key(self) -> str:
        """Get an idempotency key from the agent."""
        answer = await self.call('GET', KEY_PATH)
        return answer.headers.get('idempotency-key', '')

    async def events(self, path: str) -> AsyncIterator[bytes]:
        """Read an event stream, an event at a time."""
        headers = {'accept': 'text/event-stream'}
        stream_id, answer = self.protocol.request('GET', path, headers)
        try:
            while not (answer.broken or answer.whole):
                event, mark, rest = bytes(answer.body).partition(b'\n\n')
                if mark:
                    answer.body[:] = rest
                    yield event
                    continue
                await answer.news.wait()
                answer.news.clear()
        finally:
            if not self.closed:
                self.protocol.cancel(stream_id)
        raise FlowBrokenError(self.protocol.closed_reason)


async def open_caller(
    stack: AsyncExitStack,
    host: str,
    port: int,
    idle_seconds: float = 30,
) -> Caller:
    """Connect to a service; ``stack`` closes the connection."""
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
