"""Requests as their parts arrive on the streams of one connection."""

from dataclasses import dataclass, field
from typing import Final

from aioquic.h3.events import DataReceived, H3Event, HeadersReceived

from ragwortpost.request import Headers

MAX_REQUEST_BYTES: Final = 1048576


@dataclass
class IncomingRequest:
    """One request as its parts arrive."""

    # The QUIC stream that carries it.
    stream_id: int
    # The header fields, pseudo-headers included.
    headers: Headers
    # The body so far.
    body: bytearray = field(default_factory=bytearray)
    # Whether another agent began to answer it.
    resumed: bool = False
    # Whether the body grew beyond the limit.
    oversized: bool = False


class RequestAssembler:
    """The requests of one connection that are not whole yet."""

    def __init__(self) -> None:
        """Start with none."""
        self._open: dict[int, IncomingRequest] = {}

    def feed(self, event: H3Event) -> IncomingRequest | None:
        """Take in one event and return the request it completes, if any."""
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
        """Drop a request whose stream was given up."""
        self._open.pop(stream_id, None)

    def _add_body(self, stream_id: int, piece: bytes) -> None:
        incoming = self._open.get(stream_id)
        if incoming is None:
            return
        if len(incoming.body) + len(piece) > MAX_REQUEST_BYTES:
            incoming.oversized = True
            incoming.body.clear()
        if not incoming.oversized:
            incoming.body += piece
