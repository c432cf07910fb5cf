"""Decodes and encodes the platform's packet header."""

import struct
from typing import Final

from ragwortpost.datapath.connection import (
    SEQUENCE_MODULUS,
    FlowKey,
    Packet,
)

_SYN: Final = 2
_ACK: Final = 32
_FIN: Final = 1
_RST: Final = 16
# Marks a caller's packet that the upstream returned undelivered.
_RETURNED: Final = 128
_SYN_ACK: Final = _SYN | _ACK
_HEADER: Final = struct.Struct('!IIBBH4s4sHHII')
_SEQUENCE_FIELDS: Final = struct.Struct('!H12xII')
_SEQUENCE_FIELDS_OFFSET: Final = 10
_FLAGS_OFFSET: Final = 8
_DESTINATION: Final = slice(12, 16)
_SOURCE: Final = slice(16, 20)
_SOURCE_PORT: Final = slice(20, 22)
_DESTINATION_PORT: Final = slice(22, 24)
_PORTS: Final = slice(20, 24)
# Seconds from a caller's first SYN to a SYN, by its retransmission number. The
# acknowledgement field holds the number; numbers above two count as two.
_SYN_RETRANSMISSION_SECONDS: Final = (0, 0.2, 0.6)


class PlatformPacketFormat:
    """Decodes and encodes the header of 32 bytes before a packet's data."""

    def from_caller(self, raw: bytes) -> Packet | None:
        """Return a packet that a caller sent, or none if it is malformed."""
        if len(raw) < _HEADER.size:
            return None
        flow = raw[_SOURCE] + raw[_DESTINATION] + raw[_PORTS]
        return _decode_packet(flow, raw)

    def from_upstream(self, raw: bytes) -> Packet | None:
        """Return a packet that an upstream sent, or none if it is malformed.

        A returned packet is decoded as the caller's, without the flag.
        """
        if len(raw) < _HEADER.size:
            return None
        if raw[_FLAGS_OFFSET] & _RETURNED:
            flow = raw[_SOURCE] + raw[_DESTINATION] + raw[_PORTS]
            flags = bytes((raw[_FLAGS_OFFSET] & ~_RETURNED,))
            sent = raw[:_FLAGS_OFFSET] + flags + raw[_FLAGS_OFFSET + 1 :]
            return _decode_packet(flow, sent, returned=True)
        flow = b''.join(
            (
                raw[_DESTINATION],
                raw[_SOURCE],
                raw[_DESTINATION_PORT],
                raw[_SOURCE_PORT],
            )
        )
        return _decode_packet(flow, raw)

    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Return a packet that resets the flow at the caller."""
        caller, service = flow[:4], flow[4:8]
        caller_port = int.from_bytes(flow[8:10])
        service_port = int.from_bytes(flow[10:12])
        return _HEADER.pack(
            0,
            0,
            _RST,
            0,
            0,
            caller,
            service,
            service_port,
            caller_port,
            sequence % SEQUENCE_MODULUS,
            0,
        )


def _decode_packet(
    flow: FlowKey, raw: bytes, *, returned: bool = False
) -> Packet:
    flags = raw[_FLAGS_OFFSET]
    length, sequence, acknowledged = _SEQUENCE_FIELDS.unpack_from(
        raw, _SEQUENCE_FIELDS_OFFSET
    )
    handshake_flags = flags & _SYN_ACK
    return Packet(
        flow,
        handshake_flags == _SYN,
        handshake_flags == _SYN_ACK,
        bool(flags & _FIN),
        bool(flags & _RST),
        returned,
        length,
        sequence,
        acknowledged,
        raw,
        _SYN_RETRANSMISSION_SECONDS[min(acknowledged, 2)]
        if handshake_flags == _SYN
        else 0,
    )
