"""Assembles requests from the HTTP/3 events of a connection."""

from dataclasses import dataclass, field
from typing import Final

from aioquic.h3.events import DataReceived, H3Event, HeadersReceived

from ragwortpost.request import Headers

MAX_REQUEST_BYTES: Final = 1048576


@dataclass
class IncomingRequest:
    """A request that is being received or is complete."""

    # The QUIC stream that carries the request.
    stream_id: int
    # The header fields, including pseudo-headers.
    headers: Headers
    # The part of the body received so far.
    body: bytearray = field(default_factory=bytearray)
    # Whether another agent began the response; its header fields are not sent
    # again.
    resumed: bool = False
    # Whether the body exceeded MAX_REQUEST_BYTES and was discarded.
    oversized: bool = False


class RequestAssembler:
    """Assembles the requests of one connection from HTTP/3 events."""

    def __init__(self) -> None:
        """Initialize without requests."""
        self._open: dict[int, IncomingRequest] = {}

    def feed(self, event: H3Event) -> IncomingRequest | None:
        """Process an event and return the request it completes, if any."""
        match event:
            case HeadersReceived(stream_id=stream_id, stream_ended=ended):
                incoming = IncomingRequest(stream_id, tuple(event.headers))
                self._open.setdefault(stream_id, incoming)
            case DataReceived(stream_id=stream_id, stream_ended=ended):
                self._add_body(stream_id, event.data)
            case _:
                return None
        return self._open.pop(stream_id, None) if ended else None

    def discard(self, stream_id: int) -> None:
        """Discard a request whose stream was reset or stopped."""
        self._open.pop(stream_id, None)

    def _add_body(self, stream_id: int, chunk: bytes) -> None:
        incoming = self._open.get(stream_id)
        if incoming is None:
            return
        if len(incoming.body) + len(chunk) > MAX_REQUEST_BYTES:
            incoming.oversized = True
            incoming.body.clear()
        if not incoming.oversized:
            incoming.body += chunk
