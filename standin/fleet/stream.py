"""One end of a flow: a reliable stream of bytes over small packets."""

import struct
from collections.abc import Callable
from dataclasses import dataclass
from socket import inet_aton, inet_ntoa
from typing import Final

import xxhash

SYN: Final = 2
ACK: Final = 32
FIN: Final = 1
RST: Final = 16
BOUNCED: Final = 128
MAX_DATA: Final = 1200
WINDOW: Final = 16
FIRST_RETRY_SECONDS: Final = 0.2
MAX_RETRY_SECONDS: Final = 1.6
GIVE_UP_RETRIES: Final = 8
_SPAN: Final = 1 << 32
_HALF: Final = 1 << 31
_KEY: Final = 20261204
_HEAD: Final = struct.Struct('!IIBBH4s4sHHII')
_FLAGS_AT: Final = 8


@dataclass(frozen=True)
class Segment:
    """One packet, decoded."""

    flags: int
    destination: tuple[str, int]
    source: tuple[str, int]
    sequence: int
    acknowledged: int
    data: bytes
    # Whether an end of a flow wrote the packet as it is.
    sealed: bool

    @property
    def is_opening(self) -> bool:
        return self.flags & (SYN | ACK) == SYN


def encode(segment: Segment) -> bytes:
    """Return the packet with its sum."""
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
    head = _HEAD.pack(
        _sum(fields, segment.data),
        0,
        fields[0],
        0,
        *fields[1:],
    )
    return head + segment.data


def decode(raw: bytes) -> Segment:
    """Return the packet's fields."""
    head = _HEAD.unpack_from(raw)
    flags = head[2]
    data = raw[_HEAD.size : _HEAD.size + head[4]]
    fields = (flags & ~BOUNCED, *head[4:])
    return Segment(
        flags,
        (inet_ntoa(head[5]), head[8]),
        (inet_ntoa(head[6]), head[7]),
        head[9],
        head[10],
        data,
        sealed=head[0] == _sum(fields, data),
    )


def bounce(raw: bytes) -> bytes:
    """Return a packet marked as returned."""
    flags = bytes((raw[_FLAGS_AT] | BOUNCED,))
    return raw[:_FLAGS_AT] + flags + raw[_FLAGS_AT + 1 :]


def _sum(fields: tuple[object, ...], data: bytes) -> int:
    return xxhash.xxh32_intdigest(repr(fields).encode() + data, _KEY)


class Stream:
    """Sends and receives the bytes of one flow."""

    def __init__(
        self,
        local: tuple[str, int],
        remote: tuple[str, int],
        first: int,
        send: Callable[[bytes], None],
        receive: Callable[[bytes], None],
    ) -> None:
        self.local = local
        self.remote = remote
        self.send = send
        self.receive = receive
        self.base = first % _SPAN
        self.expected = 0
        self.pending = bytearray()
        self.early: dict[int, bytes] = {}
        self.retries = 0
        self.retry_at: float | None = None
        self.dead = False

    def open(self, expected: int) -> None:
        """Begin to receive after the other end's first number."""
        self.expected = expected % _SPAN

    def write(self, data: bytes, now: float) -> None:
        """Send bytes; they are sent again until they are acknowledged."""
        before = len(self.pending)
        self.pending += data
        self.transmit(before)
        if self.retry_at is None:
            self.retry_at = now + FIRST_RETRY_SECONDS

    def take(self, segment: Segment, now: float) -> None:
        """Take in a packet of the other end."""
        done = (segment.acknowledged - self.base) % _SPAN
        if 0 < done <= len(self.pending):
            sent = min(len(self.pending), WINDOW * MAX_DATA)
            self.pending = self.pending[done:]
            self.base = segment.acknowledged
            self.retries = 0
            self.retry_at = now + FIRST_RETRY_SECONDS if self.pending else None
            self.transmit(sent - done)
        if segment.data:
            self.early[segment.sequence] = segment.data
            self._deliver()
            self.send(self.packet(ACK, self.base, b''))

    def tick(self, now: float) -> None:
        """Send again what was not acknowledged in time."""
        if self.retry_at is None or now < self.retry_at:
            return
        self.retries += 1
        if self.retries > GIVE_UP_RETRIES:
            self.dead = True
            return
        pause = min(FIRST_RETRY_SECONDS * 2**self.retries, MAX_RETRY_SECONDS)
        self.retry_at = now + pause
        self.transmit(0)

    def packet(self, flags: int, sequence: int, data: bytes) -> bytes:
        """Return a packet to the other end."""
        return encode(
            Segment(
                flags,
                self.remote,
                self.local,
                sequence % _SPAN,
                self.expected,
                data,
                sealed=True,
            ),
        )

    def transmit(self, start: int) -> None:
        """Send the pending bytes from ``start`` on, within the window."""
        end = min(len(self.pending), WINDOW * MAX_DATA)
        for offset in range(max(0, start), end, MAX_DATA):
            data = bytes(self.pending[offset : min(offset + MAX_DATA, end)])
            self.send(self.packet(ACK, self.base + offset, data))

    def _distance(self, sequence: int) -> int:
        return (sequence - self.expected + _HALF) % _SPAN

    def _deliver(self) -> None:
        for sequence in sorted(self.early, key=self._distance):
            behind = (self.expected - sequence) % _SPAN
            if behind >= _HALF:
                return
            data = self.early.pop(sequence)[behind:]
            if data:
                self.expected = (self.expected + len(data)) % _SPAN
                self.receive(data)
