"""Packets of flows, as PROTOCOL.md describes them."""

import struct
import zlib
from dataclasses import dataclass
from socket import inet_aton, inet_ntoa

FIN = 1
SYN = 2
RST = 16
ACK = 32
BOUNCED = 128
MAX_DATA = 1200
SPACE = 1 << 32
_HEAD = struct.Struct('!IIBBH4s4sHHII')
_FLAGS_OFFSET = 8
_KEY = b'known to clients and backends only'


@dataclass(frozen=True)
class Packet:
    """One packet, decoded."""

    flags: int
    source: tuple[str, int]
    destination: tuple[str, int]
    seq: int
    ack: int
    data: bytes
    # Whether the keyed sum fits, so that one of the two ends wrote it.
    genuine: bool = True

    def has(self, flags: int) -> bool:
        """Return whether all the given flags are set."""
        return self.flags & flags == flags

    @property
    def is_syn(self) -> bool:
        """Whether a client opens a flow with it."""
        return self.flags & (SYN | ACK) == SYN


def encode(packet: Packet) -> bytes:
    """Encode a packet with its keyed sum."""
    rest = (
        inet_aton(packet.destination[0]),
        inet_aton(packet.source[0]),
        packet.source[1],
        packet.destination[1],
        packet.seq % SPACE,
        packet.ack % SPACE,
    )
    total = _keyed_sum(packet.flags, len(packet.data), rest, packet.data)
    head = _HEAD.pack(total, 0, packet.flags, 0, len(packet.data), *rest)
    return head + packet.data


def decode(raw: bytes) -> Packet:
    """Decode a packet and check its keyed sum."""
    total, _, flags, _, length, *rest = _HEAD.unpack_from(raw)
    data = raw[_HEAD.size : _HEAD.size + length]
    destination, source, source_port, destination_port, seq, ack = rest
    genuine = total == _keyed_sum(flags & ~BOUNCED, length, tuple(rest), data)
    return Packet(
        flags,
        (inet_ntoa(source), source_port),
        (inet_ntoa(destination), destination_port),
        seq,
        ack,
        data,
        genuine,
    )


def bounced(raw: bytes) -> bytes:
    """Return a packet as a backend sends it back."""
    flags = bytes((raw[_FLAGS_OFFSET] | BOUNCED, 0))
    return raw[:_FLAGS_OFFSET] + flags + raw[_FLAGS_OFFSET + 2 :]


def _keyed_sum(flags: int, length: int, rest: tuple, data: bytes) -> int:
    text = repr((flags, length, rest)).encode()
    return zlib.crc32(_KEY + text + data)
