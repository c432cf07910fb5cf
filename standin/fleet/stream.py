"""Packets of a flow, and a reliable byte stream over them."""

import struct
from collections.abc import Callable
from dataclasses import dataclass
from socket import inet_aton, inet_ntoa
from typing import Final

import xxhash

# Flags of the packet header.
SYN: Final = 2
ACK: Final = 32
FIN: Final = 1
RST: Final = 16
# Set by an upstream on a packet that it returns.
RETURNED: Final = 128
MAX_DATA: Final = 1200
WINDOW: Final = 16
FIRST_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 1.6
MAX_RETRIES: Final = 8
_SEQUENCE_SPACE: Final = 1 << 32
_HALF_SEQUENCE_SPACE: Final = 1 << 31
_CHECKSUM_SEED: Final = 20261204
_HEADER: Final = struct.Struct('!IIBBH4s4sHHII')
_FLAGS_OFFSET: Final = 8


@dataclass(frozen=True)
class Segment:
    """A decoded packet."""

    flags: int
    destination: tuple[str, int]
    source: tuple[str, int]
    sequence: int
    acknowledged: int
    data: bytes
    # Whether the checksum matches. Only the two ends of a flow compute it, so
    # it does not match in packets that are made or rewritten between them.
    is_intact: bool

    @property
    def is_syn(self) -> bool:
        return self.flags & (SYN | ACK) == SYN


def encode(segment: Segment) -> bytes:
    """Encode a packet with its checksum."""
    fields = (
        segment.flags,
        len(segment.data),
        inet_aton(segment.destination[0]),
        inet_aton(segment.source[0]),
        segment.source[1],
        segment.destination[1],
        segment.sequence,
        segment.acknowledged,
    )
    header = _HEADER.pack(
        _checksum(fields, segment.data),
        0,
        fields[0],
        0,
        *fields[1:],
    )
    return header + segment.data


def decode(raw: bytes) -> Segment:
    """Decode a packet and verify its checksum."""
    header = _HEADER.unpack_from(raw)
    flags = header[2]
    data = raw[_HEADER.size : _HEADER.size + header[4]]
    fields = (flags & ~RETURNED, *header[4:])
    return Segment(
        flags,
        (inet_ntoa(header[5]), header[8]),
        (inet_ntoa(header[6]), header[7]),
        header[9],
        header[10],
        data,
        is_intact=header[0] == _checksum(fields, data),
    )


def mark_returned(raw: bytes) -> bytes:
    """Set the flag of a packet that an upstream returns."""
    flags = bytes((raw[_FLAGS_OFFSET] | RETURNED,))
    return raw[:_FLAGS_OFFSET] + flags + raw[_FLAGS_OFFSET + 1 :]


def _checksum(fields: tuple[object, ...], data: bytes) -> int:
    return xxhash.xxh32_intdigest(repr(fields).encode() + data, _CHECKSUM_SEED)


class Stream:
    """An end of a flow: sends and receives bytes reliably, in order."""

    def __init__(
        self,
        local: tuple[str, int],
        remote: tuple[str, int],
        initial_sequence: int,
        send: Callable[[bytes], None],
        receive: Callable[[bytes], None],
    ) -> None:
        self.local = local
        self.remote = remote
        self.send = send
        self.receive = receive
        self.send_base = initial_sequence % _SEQUENCE_SPACE
        self.expected = 0
        self.pending = bytearray()
        self.out_of_order: dict[int, bytes] = {}
        self.retries = 0
        self.retry_at: float | None = None
        self.is_abandoned = False

    def open(self, expected: int) -> None:
        """Set the first sequence number expected from the other end."""
        self.expected = expected % _SEQUENCE_SPACE

    def write(self, data: bytes, now: float) -> None:
        """Send bytes, and retransmit them until they are acknowledged."""
        previous_length = len(self.pending)
        self.pending += data
        self.transmit(previous_length)
        if self.retry_at is None:
            self.retry_at = now + FIRST_RETRY_SECONDS

    def on_segment(self, segment: Segment, now: float) -> None:
        """Handle a packet from the other end."""
        newly_acknowledged = (
            segment.acknowledged - self.send_base
        ) % _SEQUENCE_SPACE
        if 0 < newly_acknowledged <= len(self.pending):
            previous_end = min(len(self.pending), WINDOW * MAX_DATA)
            self.pending = self.pending[newly_acknowledged:]
            self.send_base = segment.acknowledged
            self.retries = 0
            self.retry_at = now + FIRST_RETRY_SECONDS if self.pending else None
            self.transmit(previous_end - newly_acknowledged)
        if segment.data:
            self.out_of_order[segment.sequence] = segment.data
            self._deliver()
            self.send(self.packet(ACK, self.send_base, b''))

    def on_timer(self, now: float) -> None:
        """Retransmit pending bytes if their timer has expired."""
        if self.retry_at is None or now < self.retry_at:
            return
        self.retries += 1
        if self.retries > MAX_RETRIES:
            self.is_abandoned = True
            return
        retry_seconds = min(
            FIRST_RETRY_SECONDS * 2**self.retries, MAX_RETRY_SECONDS
        )
        self.retry_at = now + retry_seconds
        self.transmit(0)

    def packet(self, flags: int, sequence: int, data: bytes) -> bytes:
        """Encode a packet for the other end."""
        return encode(
            Segment(
                flags,
                self.remote,
                self.local,
                sequence % _SEQUENCE_SPACE,
                self.expected,
                data,
                is_intact=True,
            ),
        )

    def transmit(self, start: int) -> None:
        """Send pending bytes from an offset to the end of the window."""
        end = min(len(self.pending), WINDOW * MAX_DATA)
        for offset in range(max(0, start), end, MAX_DATA):
            data = bytes(self.pending[offset : min(offset + MAX_DATA, end)])
            self.send(self.packet(ACK, self.send_base + offset, data))

    def _distance(self, sequence: int) -> int:
        return (
            sequence - self.expected + _HALF_SEQUENCE_SPACE
        ) % _SEQUENCE_SPACE

    def _deliver(self) -> None:
        for sequence in sorted(self.out_of_order, key=self._distance):
            received_length = (self.expected - sequence) % _SEQUENCE_SPACE
            if received_length >= _HALF_SEQUENCE_SPACE:
                return
            data = self.out_of_order.pop(sequence)[received_length:]
            if data:
                self.expected = (self.expected + len(data)) % _SEQUENCE_SPACE
                self.receive(data)
