"""HTTP/3 without a dynamic header table, so connections can be transferred.

The library does not expose the state of QPACK's dynamic table. Advertising a
table capacity of zero restricts both directions to the static table.
"""

from collections.abc import Mapping, Sequence

from aioquic.h3.connection import (
    H3Connection,
    H3Stream,
    HeadersState,
    Setting,
    StreamType,
)
from aioquic.quic.connection import QuicConnection
from pylsqpack import Encoder

from ragwortpost.request import Headers


class _StaticTableEncoder:
    """An encoder that ignores the dynamic table capacity of the caller."""

    def __init__(self) -> None:
        self._encoder = Encoder()

    def apply_settings(
        self,
        max_table_capacity: int,
        blocked_streams: int,
    ) -> bytes:
        return self._encoder.apply_settings(0, 0)

    def encode(self, stream_id: int, headers: Headers) -> tuple[bytes, bytes]:
        return self._encoder.encode(stream_id, list(headers))

    def feed_decoder(self, received: bytes) -> None:
        self._encoder.feed_decoder(received)


class StaticTableHttp3(H3Connection):
    """A server's HTTP/3 connection that uses only the static header table."""

    def __init__(self, quic: QuicConnection, *, restored: bool = False) -> None:
        """Open a connection, or leave its streams to :meth:`restore`."""
        self._restored = restored
        super().__init__(quic)
        self._encoder = _StaticTableEncoder()  # type: ignore[assignment]

    @property
    def caller_streams(self) -> Sequence[int] | None:
        """The caller's control, encoder and decoder streams if all are open."""
        all_ids = (
            self._peer_control_stream_id,
            self._peer_encoder_stream_id,
            self._peer_decoder_stream_id,
        )
        stream_ids = [stream for stream in all_ids if stream is not None]
        return stream_ids if len(stream_ids) == len(all_ids) else None

    @property
    def is_between_frames(self) -> bool:
        """Whether no stream has a partially received frame."""
        return not any(
            stream.buffer or stream.blocked for stream in self._stream.values()
        )

    def restore(
        self,
        caller_streams: Sequence[int],
        server_streams: Sequence[int],
        responses: Mapping[int, bool],
    ) -> None:
        """Set the streams of a connection that another agent opened.

        ``responses`` has the stream ids of the open requests, all of which were
        received, and whether the header fields of the response were sent.
        """
        kinds = (
            StreamType.CONTROL,
            StreamType.QPACK_ENCODER,
            StreamType.QPACK_DECODER,
        )
        for stream_id, kind in zip(caller_streams, kinds, strict=True):
            self._stream[stream_id] = H3Stream(stream_id)
            self._stream[stream_id].stream_type = kind
        control, encoder, decoder = caller_streams
        self._peer_control_stream_id = control
        self._peer_encoder_stream_id = encoder
        self._peer_decoder_stream_id = decoder
        control, encoder, decoder = server_streams
        self._local_control_stream_id = control
        self._local_encoder_stream_id = encoder
        self._local_decoder_stream_id = decoder
        self._settings_received = True
        self._received_settings = {}
        for request_id, headers_sent in responses.items():
            stream = H3Stream(request_id)
            stream.headers_recv_state = HeadersState.AFTER_HEADERS
            if headers_sent:
                stream.headers_send_state = HeadersState.AFTER_HEADERS
            stream.receiving_ended = True
            self._stream[request_id] = stream

    def _get_local_settings(self) -> dict[int, int]:
        settings: dict[int, int] = super()._get_local_settings()
        settings[Setting.QPACK_MAX_TABLE_CAPACITY] = 0
        settings[Setting.QPACK_BLOCKED_STREAMS] = 0
        return settings

    def _init_connection(self) -> None:
        if not self._restored:
            super()._init_connection()
