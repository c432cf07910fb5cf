"""A QUIC server connection whose connection ids encode its upstream.

aioquic has no public hook for the ids that a connection issues. This subclass
sets the first id and overrides how further ids are issued. It relies on
library internals, so the version is pinned and a test covers them.
"""

from collections.abc import Callable

from aioquic import tls
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId
from aioquic.quic.packet import QuicFrameType
from aioquic.quic.packet_builder import QuicPacketBuilder

MAX_ACTIVE_IDS = 4
REPLACEMENT_IDS = 2
_ID_FRAME_BYTES = 64
# The id of the pings sent as probes; their acknowledgement is ignored.
_PROBE_PING_ID = 0


class RoutedQuicConnection(QuicConnection):
    """A server connection whose ids and reset tokens are issued externally."""

    def __init__(
        self,
        configuration: QuicConfiguration,
        original_destination: bytes,
        issue_id: Callable[[], bytes],
        reset_token: Callable[[bytes], bytes],
    ) -> None:
        """Initialize with the destination id of the caller's first packet."""
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_destination,
        )
        self._issue_id = issue_id
        self._retire_prior_to = 0
        self._reset_token = reset_token
        first = self._next_id(sequence_number=0)
        first.was_sent = True
        self._host_cids = [first]
        self.host_cid = first.cid
        self._local_initial_source_connection_id = first.cid

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return the number of queued or unacknowledged bytes of a stream."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return len(stream.sender._buffer)  # noqa: SLF001, WPS437

    @property
    def probe_timeout_count(self) -> int:
        """The number of probe timeouts since the last acknowledgement."""
        return self._loss._pto_count  # noqa: SLF001, WPS437

    def probe(self, now: float) -> None:
        """Queue a PING and an acknowledgement of the received packets, if any.

        The acknowledgement may cover packets that did not elicit one; from it
        the caller detects which of its earlier packets were lost.
        """
        self.send_ping(_PROBE_PING_ID)
        space = self._spaces[tls.Epoch.ONE_RTT]
        if len(space.ack_queue):
            space.ack_at = now

    def retire_earlier_ids(self) -> None:
        """Issue new ids and make the caller retire all earlier ones."""
        self._retire_prior_to = self._host_cid_seq
        for _ in range(REPLACEMENT_IDS):
            self._host_cids.append(self._next_id(self._host_cid_seq))
            self._host_cid_seq += 1

    def _write_new_connection_id_frame(
        self,
        builder: QuicPacketBuilder,
        connection_id: QuicConnectionId,
    ) -> None:
        frame = builder.start_frame(
            QuicFrameType.NEW_CONNECTION_ID,
            capacity=_ID_FRAME_BYTES,
            handler=self._on_new_connection_id_delivery,
            handler_args=(connection_id,),
        )
        frame.push_uint_var(connection_id.sequence_number)
        frame.push_uint_var(self._retire_prior_to)
        frame.push_uint8(len(connection_id.cid))
        frame.push_bytes(connection_id.cid)
        frame.push_bytes(connection_id.stateless_reset_token)
        connection_id.was_sent = True

    def _replenish_connection_ids(self) -> None:
        limit = min(MAX_ACTIVE_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < limit:
            self._host_cids.append(self._next_id(self._host_cid_seq))
            self._host_cid_seq += 1

    def _next_id(self, sequence_number: int) -> QuicConnectionId:
        connection_id = self._issue_id()
        return QuicConnectionId(
            cid=connection_id,
            sequence_number=sequence_number,
            stateless_reset_token=self._reset_token(connection_id),
        )
