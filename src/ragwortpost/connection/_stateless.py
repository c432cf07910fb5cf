"""Builds packets sent without a connection: refusals and stateless resets."""

from collections.abc import Callable
from typing import Final

from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import (
    QuicErrorCode,
    QuicFrameType,
    QuicPacketType,
    QuicProtocolVersion,
)
from aioquic.quic.packet_builder import QuicPacketBuilder

_INITIAL_BYTES: Final = 1200
_CLOSE_FRAME_BYTES: Final = 32
_SHORT_HEADER_BITS: Final = 0x40
_UNPREDICTABLE_MASK: Final = 0x3F
# RFC 9000, section 10.3: a reset is at least 21 bytes long.
_MIN_RESET_BYTES: Final = 21
_RESET_BYTES: Final = 40


def connection_refused(
    caller_source_id: bytes,
    original_destination_id: bytes,
    version: int = QuicProtocolVersion.VERSION_1,
) -> bytes:
    """Return an Initial packet that closes with error CONNECTION_REFUSED."""
    crypto = CryptoPair()
    crypto.setup_initial(
        cid=original_destination_id,
        is_client=False,
        version=version,
    )
    builder = QuicPacketBuilder(
        host_cid=original_destination_id,
        is_client=False,
        max_datagram_size=_INITIAL_BYTES,
        peer_cid=caller_source_id,
        version=version,
    )
    builder.start_packet(QuicPacketType.INITIAL, crypto)
    frame = builder.start_frame(
        QuicFrameType.TRANSPORT_CLOSE,
        capacity=_CLOSE_FRAME_BYTES,
    )
    frame.push_uint_var(QuicErrorCode.CONNECTION_REFUSED)
    frame.push_uint_var(QuicFrameType.PADDING)
    frame.push_uint_var(0)
    datagrams, _ = builder.flush()
    return bytes(datagrams[0])


def stateless_reset(
    token: bytes,
    datagram: bytes,
    random_bytes: Callable[[int], bytes],
) -> bytes | None:
    """Return a reset in reply to a datagram, or none if it is too short.

    A reset is shorter than the datagram, so that two endpoints do not send
    each other resets forever.
    """
    length = min(_RESET_BYTES, len(datagram) - 1)
    if length < _MIN_RESET_BYTES:
        return None
    unpredictable_bytes = bytearray(random_bytes(length - len(token)))
    unpredictable_bytes[0] = (
        unpredictable_bytes[0] & _UNPREDICTABLE_MASK
    ) | _SHORT_HEADER_BITS
    return bytes(unpredictable_bytes) + token
