"""Exports a QUIC connection and imports it at another agent.

Packets in flight count as lost, so that the importing agent sends their
contents again: a connection whose acknowledgements are lost can be transferred
too. Its state is then only the two traffic secrets, packet numbers, connection
ids, offsets, limits and the bytes that the caller has not acknowledged.
"""

from collections.abc import Callable, Sequence
from ipaddress import IPv4Address

from aioquic import tls
from aioquic.quic.connection import (
    Limit,
    QuicConnectionId,
    QuicConnectionState,
    QuicNetworkPath,
)
from aioquic.quic.crypto import CryptoContext
from aioquic.quic.stream import QuicStream, QuicStreamSender

from ragwortpost.connection._quic import RoutedQuicConnection
from ragwortpost.wire.peer_pb2 import (
    Allowance,
    ConnectionId,
    Grant,
    MovedFlow,
    Protection,
    Span,
    StreamState,
)

_SERVER_BIT = 1
_UNIDIRECTIONAL_BIT = 2
# Size of a header with a packet number of four bytes, and of a payload that
# header protection can sample.
_SAMPLE_HEADER_BYTES = 5
_SAMPLE_PAYLOAD_BYTES = 32


def is_transferable(connection: RoutedQuicConnection) -> bool:
    """Return whether the connection can be exported.

    The handshake is confirmed, the keys were never updated, everything received
    was read, and no stream is being reset.
    """
    keys = connection._cryptos.get(tls.Epoch.ONE_RTT)
    if keys is None or not connection._handshake_confirmed:
        return False
    if connection._state is not QuicConnectionState.CONNECTED:
        return False
    if _has_updated_keys(keys.recv) or _has_updated_keys(keys.send):
        return False
    return all(
        _is_transferable_stream(stream)
        for stream in connection._streams.values()
    )


def export_transport_state(
    connection: RoutedQuicConnection, now: float
) -> MovedFlow:
    """Return the transport state of a transferable connection.

    The connection must not send or receive afterwards, unless its transfer
    fails.
    """
    _declare_in_flight_lost(connection, now)
    keys = connection._cryptos[tls.Epoch.ONE_RTT]
    space = connection._spaces[tls.Epoch.ONE_RTT]
    host, port = connection._network_paths[0].addr[:2]
    return MovedFlow(
        caller_host=IPv4Address(host).packed,
        caller_port=port,
        version=connection._version,
        sending=_export_keys(keys.send),
        receiving=_export_keys(keys.recv),
        next_packet_number=connection._packet_number,
        expected_packet_number=space.expected_packet_number,
        largest_acked=space.largest_acked_packet,
        received=[
            Span(start=span.start, stop=span.stop) for span in space.ack_queue
        ],
        own_ids=[_export_id(quic_id) for quic_id in connection._host_cids],
        next_own_sequence=connection._host_cid_seq,
        caller_id=_export_id(connection._peer_cid),
        spare_caller_ids=[
            _export_id(quic_id) for quic_id in connection._peer_cid_available
        ],
        caller_retire_prior_to=connection._peer_retire_prior_to,
        retired_caller_ids=connection._retire_connection_ids,
        allowance=_export_peer_limits(connection),
        data=_export_limit(connection._local_max_data),
        streams_bidi=_export_limit(connection._local_max_streams_bidi),
        streams_uni=_export_limit(connection._local_max_streams_uni),
        next_bidi=connection._local_next_stream_id_bidi,
        next_uni=connection._local_next_stream_id_uni,
        streams=[
            _export_stream(stream) for stream in connection._streams.values()
        ],
    )


def import_transport_state(
    connection: RoutedQuicConnection,
    state: MovedFlow,
    now: float,
    reset_token: Callable[[bytes], bytes],
) -> None:
    """Continue an exported connection in a newly created one.

    The caller receives new connection ids and has to retire the ids of the
    exporting agent.
    """
    connection._version = state.version
    connection._initialize(state.own_ids[0].value)
    connection._discard_epoch(tls.Epoch.INITIAL)
    connection._discard_epoch(tls.Epoch.HANDSHAKE)
    keys = connection._cryptos[tls.Epoch.ONE_RTT]
    _import_keys(keys.send, state.sending)
    _import_keys(keys.recv, state.receiving)
    connection._handshake_complete = True
    connection._handshake_confirmed = True
    connection._loss.handshake_confirmed = True
    connection._loss.peer_completed_address_validation = True
    connection._state = QuicConnectionState.CONNECTED
    # The caller may not have received the frame that confirms the handshake.
    connection._handshake_done_pending = True
    _import_packet_numbers(connection, state, now)
    _import_ids(connection, state, reset_token)
    _import_limits(connection, state)
    _import_streams(connection, state.streams)
    host = str(IPv4Address(state.caller_host))
    path = QuicNetworkPath((host, state.caller_port), is_validated=True)
    connection._network_paths = [path]
    connection._close_at = now + connection.configuration.idle_timeout
    connection.retire_earlier_ids()


def _is_transferable_stream(stream: QuicStream) -> bool:
    sender, receiver = stream.sender, stream.receiver
    if sender.reset_pending or sender._reset_error_code is not None:
        return False
    return not receiver._buffer and not receiver.stop_pending


def _has_updated_keys(context: CryptoContext) -> bool:
    """Return whether the traffic secret differs from the handshake's.

    A key update replaces the secret but not the key of the header protection,
    which is derived from the first secret. The key phase is only one bit, so it
    does not show an even number of updates.
    """
    suite, secret, version = (
        context.cipher_suite,
        context.secret,
        context.version,
    )
    if context.key_phase or suite is None or secret is None or version is None:
        return True
    first = CryptoContext()
    first.setup(cipher_suite=suite, secret=secret, version=version)
    return _sample_protection(first) != _sample_protection(context)


def _sample_protection(context: CryptoContext) -> bytes | None:
    """Return a sample that shows the key of the header protection."""
    if context.hp is None:
        return None
    header, payload = bytes(_SAMPLE_HEADER_BYTES), bytes(_SAMPLE_PAYLOAD_BYTES)
    return context.hp.apply(header, payload)


def _declare_in_flight_lost(
    connection: RoutedQuicConnection, now: float
) -> None:
    """Queue the contents of all unacknowledged packets to be sent again."""
    space = connection._spaces[tls.Epoch.ONE_RTT]
    connection._loss._on_packets_lost(
        congestion_event=False,
        now=now,
        packets=tuple(space.sent_packets.values()),
        space=space,
    )


def _export_keys(context: CryptoContext) -> Protection:
    return Protection(
        secret=context.secret,
        cipher_suite=context.cipher_suite,
        version=context.version,
        key_phase=context.key_phase,
    )


def _import_keys(context: CryptoContext, protection: Protection) -> None:
    context.setup(
        cipher_suite=tls.CipherSuite(protection.cipher_suite),
        secret=protection.secret,
        version=protection.version,
    )


def _export_id(quic_id: QuicConnectionId) -> ConnectionId:
    return ConnectionId(
        value=quic_id.cid,
        sequence_number=quic_id.sequence_number or 0,
        reset_token=quic_id.stateless_reset_token or b'',
    )


def _import_id(quic_id: ConnectionId) -> QuicConnectionId:
    return QuicConnectionId(
        cid=quic_id.value,
        sequence_number=quic_id.sequence_number,
        stateless_reset_token=quic_id.reset_token,
        was_sent=True,
    )


def _export_limit(limit: Limit) -> Grant:
    return Grant(value=limit.value, sent=limit.sent, used=limit.used)


def _import_limit(limit: Limit, grant: Grant) -> None:
    limit.value = grant.value
    limit.sent = grant.sent
    limit.used = grant.used


def _export_peer_limits(connection: RoutedQuicConnection) -> Allowance:
    return Allowance(
        ack_delay_exponent=connection._remote_ack_delay_exponent,
        active_ids=connection._remote_active_connection_id_limit,
        idle_seconds=connection._remote_max_idle_timeout or 0,
        data=connection._remote_max_data,
        data_used=connection._remote_max_data_used,
        stream_data_bidi_local=connection._remote_max_stream_data_bidi_local,
        stream_data_bidi_remote=connection._remote_max_stream_data_bidi_remote,
        stream_data_uni=connection._remote_max_stream_data_uni,
        streams_bidi=connection._remote_max_streams_bidi,
        streams_uni=connection._remote_max_streams_uni,
    )


def _export_stream(stream: QuicStream) -> StreamState:
    return StreamState(
        stream_id=stream.stream_id,
        sent_offset=stream.sender._buffer_stop,
        received_offset=stream.receiver._buffer_start,
        receiving_ended=stream.receiver.is_finished,
        granted=stream.max_stream_data_local,
        granted_sent=stream.max_stream_data_local_sent,
        allowed=stream.max_stream_data_remote,
        unacknowledged=bytes(stream.sender._buffer),
        highest_sent=stream.sender.highest_offset,
        sending_ended=stream.sender._buffer_fin is not None,
        sending_finished=stream.sender.is_finished,
    )


def _import_packet_numbers(
    connection: RoutedQuicConnection, state: MovedFlow, now: float
) -> None:
    connection._packet_number = state.next_packet_number
    space = connection._spaces[tls.Epoch.ONE_RTT]
    space.expected_packet_number = state.expected_packet_number
    space.largest_acked_packet = state.largest_acked
    for span in state.received:
        space.ack_queue.add(span.start, span.stop)
        space.largest_received_packet = span.stop - 1
        space.largest_received_time = now
    # Discard packets with lower numbers: they are duplicates or count as lost.
    space.received_packets._lower = state.expected_packet_number


def _import_ids(
    connection: RoutedQuicConnection,
    state: MovedFlow,
    reset_token: Callable[[bytes], bytes],
) -> None:
    connection._host_cids = [
        QuicConnectionId(
            cid=quic_id.value,
            sequence_number=quic_id.sequence_number,
            stateless_reset_token=reset_token(quic_id.value),
            was_sent=True,
        )
        for quic_id in state.own_ids
    ]
    connection.host_cid = connection._host_cids[0].cid
    connection._host_cid_seq = state.next_own_sequence
    connection._peer_cid = _import_id(state.caller_id)
    connection._peer_cid_available = [
        _import_id(quic_id) for quic_id in state.spare_caller_ids
    ]
    connection._peer_cid_sequence_numbers = {
        quic_id.sequence_number
        for quic_id in (state.caller_id, *state.spare_caller_ids)
    }
    connection._peer_retire_prior_to = state.caller_retire_prior_to
    connection._retire_connection_ids = list(state.retired_caller_ids)


def _import_limits(connection: RoutedQuicConnection, state: MovedFlow) -> None:
    allowance = state.allowance
    connection._remote_ack_delay_exponent = allowance.ack_delay_exponent
    connection._remote_active_connection_id_limit = allowance.active_ids
    connection._remote_max_idle_timeout = allowance.idle_seconds or None
    connection._remote_max_data = allowance.data
    connection._remote_max_data_used = allowance.data_used
    connection._remote_max_stream_data_bidi_local = (
        allowance.stream_data_bidi_local
    )
    connection._remote_max_stream_data_bidi_remote = (
        allowance.stream_data_bidi_remote
    )
    connection._remote_max_stream_data_uni = allowance.stream_data_uni
    connection._remote_max_streams_bidi = allowance.streams_bidi
    connection._remote_max_streams_uni = allowance.streams_uni
    _import_limit(connection._local_max_data, state.data)
    _import_limit(connection._local_max_streams_bidi, state.streams_bidi)
    _import_limit(connection._local_max_streams_uni, state.streams_uni)
    connection._local_next_stream_id_bidi = state.next_bidi
    connection._local_next_stream_id_uni = state.next_uni


def _import_streams(
    connection: RoutedQuicConnection,
    states: Sequence[StreamState],
) -> None:
    for state in states:
        is_uni = bool(state.stream_id & _UNIDIRECTIONAL_BIT)
        is_own = bool(state.stream_id & _SERVER_BIT)
        stream = QuicStream(
            stream_id=state.stream_id,
            max_stream_data_local=state.granted,
            max_stream_data_remote=state.allowed,
            readable=not (is_uni and is_own),
            writable=not (is_uni and not is_own),
        )
        stream.max_stream_data_local_sent = state.granted_sent
        _import_sender(stream.sender, state)
        stream.receiver._buffer_start = state.received_offset
        stream.receiver.highest_offset = state.received_offset
        if state.receiving_ended:
            stream.receiver._final_size = state.received_offset
            stream.receiver.is_finished = True
        connection._streams[state.stream_id] = stream
        connection._streams_queue.append(stream)


def _import_sender(sender: QuicStreamSender, state: StreamState) -> None:
    start = state.sent_offset - len(state.unacknowledged)
    sender._buffer = bytearray(state.unacknowledged)
    sender._buffer_start = start
    sender._buffer_stop = state.sent_offset
    sender.highest_offset = state.highest_sent
    if state.unacknowledged:
        sender._pending.add(start, state.sent_offset)
        sender.buffer_is_empty = False
    if state.sending_ended:
        sender._buffer_fin = state.sent_offset
        sender.is_finished = state.sending_finished
        sender._pending_eof = not state.sending_finished
        sender.buffer_is_empty = state.sending_finished
