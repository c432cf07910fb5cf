"""The packets of a flow, as PROTOCOL.md describes them."""

import hashlib
import struct
from dataclasses import dataclass
from socket import inet_aton, inet_ntoa

SYN, ACK, FIN, RST, BOUNCED = 2, 32, 1, 16, 128
MAX_DATA = 1200
SPACE = 1 << 32
_HEAD = struct.Struct('!IIBBH4s4sHHII')
_KEY = b'review stand-ins'

# An end of a flow: address and port.
End = tuple[str, int]


@dataclass(frozen=True)
class Packet:
    """A decoded packet; ``intact`` tells whether its keyed sum is right."""

    flags: int
    dst: End
    src: End
    seq: int
    ack: int
    data: bytes
    echo: int = 0
    pad: int = 0
    intact: bool = True

    @property
    def is_syn(self) -> bool:
        return self.flags & (SYN | ACK) == SYN


def _sum(fields: tuple, data: bytes) -> int:
    text = repr(fields).encode() + data
    digest = hashlib.blake2s(text, key=_KEY, digest_size=4).digest()
    return int.from_bytes(digest, 'big')


def encode(flags: int, src: End, dst: End, seq: int, ack: int, data: bytes = b'') -> bytes:
    """Encode a packet of an end of a flow, with its sum."""
    seq %= SPACE
    ack %= SPACE
    fields = (flags, len(data), dst, src, seq, ack)
    head = _HEAD.pack(
        _sum(fields, data), 0, flags, 0, len(data), inet_aton(dst[0]),
        inet_aton(src[0]), src[1], dst[1], seq, ack,
    )
    return head + data


def decode(raw: bytes) -> Packet:
    """Decode a packet and check its sum."""
    (total, echo, flags, pad, length, dst, src, sport, dport, seq, ack) = (
        _HEAD.unpack_from(raw)
    )
    data = raw[_HEAD.size:_HEAD.size + length]
    ends = (inet_ntoa(dst), dport), (inet_ntoa(src), sport)
    fields = (flags & ~BOUNCED, length, *ends, seq, ack)
    intact = total == _sum(fields, data) and len(data) == length
    return Packet(flags, *ends, seq, ack, data, echo, pad, intact)


def bounce(raw: bytes) -> bytes:
    """Return a packet as a backend returns it: BOUNCED set, ``pad`` 0."""
    return raw[:8] + bytes((raw[8] | BOUNCED, 0)) + raw[10:]


class Sender:
    """Sends bytes reliably: 16 packets in flight, resends after 200 ms."""

    def __init__(self, send, base: int) -> None:
        self.send = send            # send(seq, data)
        self.base = base % SPACE
        self.waiting = bytearray()
        self.sent = 0
        self.retries = 0
        self.due = None
        self.given_up = False

    def write(self, data: bytes, now: float) -> None:
        self.waiting += data
        self._fill(now)

    def on_ack(self, ack: int, now: float) -> None:
        got = (ack - self.base) % SPACE
        if 0 < got <= len(self.waiting):
            del self.waiting[:got]
            self.base = ack
            self.sent = max(0, self.sent - got)
            self.retries = 0
            self.due = now + 0.2 if self.waiting else None
            self._fill(now)

    def tick(self, now: float, limit: int) -> None:
        if self.due is None or now < self.due:
            return
        self.retries += 1
        if self.retries > limit:
            self.given_up = True
            self.due = None
            return
        self.due = now + min(0.2 * 2 ** self.retries, 1.6)
        end = min(self.sent, MAX_DATA)
        self.send(self.base, bytes(self.waiting[:end]))

    def _fill(self, now: float) -> None:
        end = min(len(self.waiting), 16 * MAX_DATA)
        while self.sent < end:
            part = bytes(self.waiting[self.sent:min(self.sent + MAX_DATA, end)])
            self.send(self.base + self.sent, part)
            self.sent += len(part)
        if self.waiting and self.due is None:
            self.due = now + 0.2


class Receiver:
    """Puts the bytes of the other end in order."""

    def __init__(self, expected: int) -> None:
        self.expected = expected % SPACE
        self.early: dict[int, bytes] = {}

    def take(self, seq: int, data: bytes) -> bytes:
        self.early[seq] = data
        out = bytearray()
        moved = True
        while moved:
            moved = False
            for at, part in list(self.early.items()):
                behind = (self.expected - at) % SPACE
                if behind > SPACE // 2:
                    continue
                self.early.pop(at)
                if len(part) > behind:
                    out += part[behind:]
                    self.expected = (self.expected + len(part) - behind) % SPACE
                    moved = True
        return bytes(out)
