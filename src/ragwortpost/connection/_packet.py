"""Parses the destination connection id of a QUIC packet.

Only the version-independent header fields of RFC 8999 are parsed, so an entry
does not depend on the QUIC version that caller and agent use.
"""

from dataclasses import dataclass
from typing import Final

from ragwortpost.connection._connection_id import CONNECTION_ID_BYTES

MAX_CONNECTION_ID_BYTES: Final = 20
MAX_DATAGRAM_BYTES: Final = 1500
_LONG_HEADER_BIT: Final = 0x80
_ID_LENGTH_OFFSET: Final = 5
_LONG_ID_OFFSET: Final = 6
_SHORT_ID_END: Final = 1 + CONNECTION_ID_BYTES


@dataclass(frozen=True, slots=True)
class PacketHeader:
    """The header fields by which a packet is routed."""

    # Whether the packet has a long header, as during a handshake.
    is_long: bool
    # The destination connection id; empty only in a long header.
    destination: bytes


def read_header(datagram: bytes) -> PacketHeader | None:
    """Return the header of a datagram's first packet, or none if malformed."""
    if not datagram:
        return None
    if not datagram[0] & _LONG_HEADER_BIT:
        if len(datagram) <= _SHORT_ID_END:
            return None
        return PacketHeader(False, datagram[1:_SHORT_ID_END])
    if len(datagram) <= _LONG_ID_OFFSET:
        return None
    length = datagram[_ID_LENGTH_OFFSET]
    end = _LONG_ID_OFFSET + length
    if length > MAX_CONNECTION_ID_BYTES or len(datagram) <= end:
        return None
    return PacketHeader(True, datagram[_LONG_ID_OFFSET:end])
