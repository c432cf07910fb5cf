"""A caller's connection at an agent: QUIC, HTTP/3 and its requests.

One task drives a connection from its first datagram until it closes. Each
request runs in its own task within the connection's task group.
"""

import asyncio
from collections import deque
from collections.abc import AsyncGenerator, Callable, Sequence
from contextlib import AsyncExitStack, aclosing
from dataclasses import dataclass
from typing import Final, Protocol, TypeAlias

from absl import logging
from aioquic.h3.connection import H3_ALPN, ErrorCode
from aioquic.h3.events import H3Event
from aioquic.h3.exceptions import H3Error
from aioquic.quic.events import (
    ConnectionTerminated,
    ProtocolNegotiated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)

from ragwortpost._clock import Clock
from ragwortpost._datagrams import HostPort
from ragwortpost.connection._connection_transfer import (
    export_transport_state,
    import_transport_state,
    is_transferable,
)
from ragwortpost.connection._http3 import StaticTableHttp3
from ragwortpost.connection._incoming_request import (
    IncomingRequest,
    RequestAssembler,
)
from ragwortpost.connection._quic import RoutedQuicConnection
from ragwortpost.request import LAST_EVENT_ID, Headers
from ragwortpost.wire.peer_pb2 import Header, MovedFlow, OpenEvents

# Per stream; a response waits while more bytes than this are unacknowledged.
MAX_UNACKNOWLEDGED_BYTES: Final = 262144
# Per connection; beyond this the oldest datagram is dropped.
MAX_QUEUED_DATAGRAMS: Final = 256
_POLL_SECONDS: Final = 0.01
# The control, encoder and decoder streams that a server opens.
_SERVER_STREAMS: Final = (3, 7, 11)

ResetToken: TypeAlias = Callable[[bytes], bytes]


@dataclass(frozen=True)
class Response:
    """A response ready to be sent to a caller."""

    # The HTTP status code.
    status: int
    # The header fields without pseudo-headers.
    headers: Headers
    # The body, chunk by chunk.
    chunks: AsyncGenerator[bytes, None]


class EventProgress(Protocol):
    """The position of an event stream."""

    @property
    def delivered_id(self) -> bytes:
        """The id of the last event that was sent to the caller."""


@dataclass(frozen=True)
class OpenEventStream:
    """An event stream that is being sent to a caller."""

    # The request's header fields, including pseudo-headers.
    headers: Headers
    # The position from which another agent can resume it.
    progress: EventProgress


class RequestServer(Protocol):
    """Serves the requests of a connection."""

    async def serve(
        self, incoming: IncomingRequest, connection: 'CallerConnection'
    ) -> None:
        """Serve one request and send its response on the connection."""


class DatagramSender(Protocol):
    """Sends datagrams to callers."""

    def send(
        self, connection: 'CallerConnection', caller: HostPort, datagram: bytes
    ) -> None:
        """Send a datagram to the caller through an entry."""


class CallerConnection:
    """The QUIC connection of one caller and the requests it carries."""

    def __init__(
        self,
        clock: Clock,
        quic: RoutedQuicConnection,
        sender: DatagramSender,
        server: RequestServer,
    ) -> None:
        """Initialize a connection that :meth:`run` drives."""
        self._clock = clock
        self._quic = quic
        self._sender = sender
        self._server = server
        self._http: StaticTableHttp3 | None = None
        self._inbox: deque[tuple[bytes, HostPort]] = deque(
            maxlen=MAX_QUEUED_DATAGRAMS
        )
        self._wakeup = asyncio.Event()
        self._assembler = RequestAssembler()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False
        # Whether a transfer has begun.
        self._exporting = False
        # Whether the state was exported; received datagrams stay queued then.
        self._exported = False
        self._ended = False
        self._resumed_requests: list[IncomingRequest] = []
        # Event streams being sent to the caller, by QUIC stream id.
        self.event_streams: dict[int, OpenEventStream] = {}
        # Streams of running requests whose response headers were sent.
        self._responded_streams: set[int] = set()
        # Address of the entry that forwarded the last datagram.
        self.entry: HostPort = ('', 0)

    @property
    def quic(self) -> RoutedQuicConnection:
        """The QUIC connection."""
        return self._quic

    @property
    def closing(self) -> bool:
        """Whether :meth:`close` was called."""
        return self._closing

    @property
    def ended(self) -> bool:
        """Whether the connection is closed or continues at another agent."""
        return self._ended

    def receive(self, datagram: bytes, caller: HostPort) -> None:
        """Queue a datagram from the caller; a full queue drops the oldest."""
        self._inbox.append((datagram, caller))
        self._wakeup.set()

    def probe(self) -> None:
        """Send a probe so that the caller retransmits lost packets.

        Does nothing before the handshake completes, during a transfer or once
        the connection closes.
        """
        if self._http is None or self._closing or self._ended:
            return
        if self._exporting or self._exported:
            # The connection must not change between its export and its end.
            return
        self._quic.probe(self._clock.monotonic())
        self._wakeup.set()

    def close(self, reason: str) -> None:
        """Close the connection without an error."""
        self._closing = True
        self._quic.close(ErrorCode.H3_NO_ERROR, reason_phrase=reason)
        self._wakeup.set()

    async def run(self, on_end: Callable[['CallerConnection'], None]) -> None:
        """Drive the connection until it ends, then call ``on_end``."""
        async with AsyncExitStack() as stack:
            stack.callback(on_end, self)
            stack.callback(self._end)
            group = await stack.enter_async_context(asyncio.TaskGroup())
            await self._drive(group)
            self._cancel_requests()

    async def respond(
        self,
        stream_id: int,
        response: Response,
        *,
        resumed: bool = False,
    ) -> None:
        """Send a response on a stream, chunk by chunk as the caller reads.

        The header fields of a resumed response are not sent, since another
        agent began it.
        """
        http = self._http
        if http is None or self._ended:
            return
        if not resumed:
            status = (b':status', str(response.status).encode())
            http.send_headers(stream_id, [status, *response.headers])
            self._wakeup.set()
        self._responded_streams.add(stream_id)
        async with aclosing(response.chunks) as chunks:
            async for chunk in chunks:
                await self._wait_until_writable(stream_id)
                http.send_data(stream_id, chunk, end_stream=False)
                self._wakeup.set()
        http.send_data(stream_id, b'', end_stream=True)
        self._wakeup.set()

    async def export_state(self, deadline: float) -> MovedFlow | None:
        """Cancel the event streams and return the connection's state.

        Waits for the other requests first. Returns none if HTTP/3 is not set
        up, or if the connection ends or is not ready to be exported by
        ``deadline``, in seconds of the monotonic clock. Call
        :meth:`cancel_transfer` then.
        """
        http = self._http
        if http is None:
            _log_not_exported('handshake not complete')
            return None
        if not await self._poll_until(
            lambda: self._tasks.keys() <= self.event_streams.keys(), deadline
        ):
            _log_not_exported('requests are running')
            return None
        open_streams = dict(self.event_streams)
        responded_streams = frozenset(self._responded_streams)
        self._exporting = True
        self._cancel_requests()
        if not await self._poll_until(
            lambda: (
                not self._tasks
                and http.is_between_frames
                and is_transferable(self._quic)
            ),
            deadline,
        ):
            _log_not_exported('received frames are incomplete')
            return None
        caller_streams = http.caller_streams
        if caller_streams is None:
            _log_not_exported('HTTP/3 is not set up')
            return None
        self._exported = True
        state = export_transport_state(self._quic, self._clock.monotonic())
        state.http_streams.extend(caller_streams)
        state.events.extend(
            OpenEvents(
                stream_id=stream_id,
                headers=[
                    Header(name=name, value=text)
                    for name, text in stream.headers
                ],
                last_event_id=stream.progress.delivered_id,
                headers_sent=stream_id in responded_streams,
            )
            for stream_id, stream in open_streams.items()
        )
        return state

    def import_state(self, state: MovedFlow, reset_token: ResetToken) -> None:
        """Continue a connection of another agent; call before :meth:`run`."""
        now = self._clock.monotonic()
        import_transport_state(self._quic, state, now, reset_token)
        responses = {
            events.stream_id: events.headers_sent for events in state.events
        }
        self._http = StaticTableHttp3(self._quic, restored=True)
        self._http.restore(state.http_streams, _SERVER_STREAMS, responses)
        self._resumed_requests = [
            _resumed_request(events) for events in state.events
        ]
        self._wakeup.set()

    def cancel_transfer(self) -> None:
        """Resume the connection here after a transfer that failed.

        The event streams that :meth:`export_state` cancelled are not resumed.
        """
        self._exporting = False
        self._exported = False
        self._wakeup.set()

    def finish_transfer(self) -> Sequence[tuple[bytes, HostPort]]:
        """End the connection here; return datagrams received since export.

        They have to be relayed to the agent that continues the connection.
        """
        self._ended = True
        self._wakeup.set()
        return tuple(self._inbox)

    async def _poll_until(
        self, condition: Callable[[], bool], deadline: float
    ) -> bool:
        """Wait for a condition; return whether it held in time."""
        while not condition():
            if self._clock.monotonic() > deadline or self._ended:
                return False
            await asyncio.sleep(_POLL_SECONDS)
        return True

    async def _wait_until_writable(self, stream_id: int) -> None:
        while (
            self._quic.unacknowledged_bytes(stream_id)
            > MAX_UNACKNOWLEDGED_BYTES
        ):
            await asyncio.sleep(_POLL_SECONDS)

    async def _drive(self, group: asyncio.TaskGroup) -> None:
        for incoming in self._resumed_requests:
            self._start_request(incoming, group)
        while not self._ended:
            await self._wakeup.wait()
            self._wakeup.clear()
            if self._exported:
                continue
            now = self._clock.monotonic()
            self._process_inbox_and_timer(now)
            self._handle_events(group)
            for datagram, caller in self._quic.datagrams_to_send(now):
                self._sender.send(self, (caller[0], caller[1]), datagram)
            self._set_timer()

    def _process_inbox_and_timer(self, now: float) -> None:
        while self._inbox:
            datagram, caller = self._inbox.popleft()
            self._quic.receive_datagram(datagram, caller, now)
        due = self._quic.get_timer()
        if due is not None and due <= now:
            self._quic.handle_timer(now)

    def _set_timer(self) -> None:
        self._stop_timer()
        due = self._quic.get_timer()
        if due is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due, self._wakeup.set)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end(self) -> None:
        self._ended = True
        self._stop_timer()

    def _handle_events(self, group: asyncio.TaskGroup) -> None:
        event = self._quic.next_event()
        while event is not None:
            self._handle_event(event, group)
            event = self._quic.next_event()

    def _handle_event(
        self,
        event: QuicEvent,
        group: asyncio.TaskGroup,
    ) -> None:
        match event:
            case ProtocolNegotiated(alpn_protocol=alpn) if alpn in H3_ALPN:
                self._http = StaticTableHttp3(self._quic)
            case ConnectionTerminated():
                self._ended = True
            case StreamReset(stream_id=stream_id):
                self._cancel_request(stream_id)
            case StopSendingReceived(stream_id=stream_id):
                self._cancel_request(stream_id)
        if self._http is not None:
            for http_event in self._http_events(event):
                incoming = self._assembler.feed(http_event)
                if incoming is not None:
                    self._start_request(incoming, group)

    def _http_events(self, event: QuicEvent) -> list[H3Event]:
        assert self._http is not None  # noqa: S101
        try:
            return self._http.handle_event(event)
        except H3Error as error:
            logging.info('event=bad_http why=%r', error)
            self.close('malformed HTTP/3')
            return []

    def _start_request(
        self,
        incoming: IncomingRequest,
        group: asyncio.TaskGroup,
    ) -> None:
        stream_id = incoming.stream_id
        task = group.create_task(self._serve(incoming))
        self._tasks[stream_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(stream_id, None))
        task.add_done_callback(
            lambda _: self._responded_streams.discard(stream_id)
        )

    async def _serve(self, incoming: IncomingRequest) -> None:
        try:
            await self._server.serve(incoming, self)
        except Exception:
            # Reset the stream: a partial response must not look complete, and
            # the connection must stay open.
            logging.exception('event=request_failed')
            self._reset_stream(incoming.stream_id)

    def _reset_stream(self, stream_id: int) -> None:
        if not self._ended:
            code = ErrorCode.H3_INTERNAL_ERROR
            self._quic.reset_stream(stream_id, code)
            self._wakeup.set()

    def _cancel_request(self, stream_id: int) -> None:
        self._assembler.discard(stream_id)
        task = self._tasks.get(stream_id)
        if task is not None:
            task.cancel()

    def _cancel_requests(self) -> None:
        for task in tuple(self._tasks.values()):
            task.cancel()


def _log_not_exported(why: str) -> None:
    logging.info('event=not_exported why=%s', why)


def _resumed_request(events: OpenEvents) -> IncomingRequest:
    headers = [
        (header.name, header.value)
        for header in events.headers
        if header.name != LAST_EVENT_ID
    ]
    if events.last_event_id:
        headers.append((LAST_EVENT_ID, events.last_event_id))
    return IncomingRequest(
        events.stream_id, headers, resumed=events.headers_sent
    )
