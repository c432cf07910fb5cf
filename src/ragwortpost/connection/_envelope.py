"""Encapsulation of datagrams between entries and agents.

A forward envelope carries a caller's datagram to an agent, with the addresses
of the caller and of the entry that accepts replies. A reply envelope carries an
agent's datagram to an entry, with the address of its caller and the service
from whose address it is sent. A keyed tag proves that a process of the system
wrote the header; QUIC itself protects the payload.
"""

import hashlib
import struct
from dataclasses import dataclass, replace
from socket import inet_aton, inet_ntoa
from typing import Final

from ragwortpost._datagrams import HostPort
from ragwortpost.version import ShortId

MAX_HOPS: Final = 3
_WIRE_FORMAT: Final = 1
_KIND_FORWARD: Final = 1
_KIND_REPLY: Final = 2
_TAG_BYTES: Final = 8
_FORWARD_LAYOUT: Final = struct.Struct('!BBB4sH4sH6s6sQ')
_REPLY_LAYOUT: Final = struct.Struct('!BB4sH6s6s')


@dataclass(frozen=True, slots=True)
class ForwardHeader:
    """Header of a caller's datagram that is forwarded to an agent."""

    # The number of agents that have relayed the datagram.
    hops: int
    # The caller's address and port.
    caller: HostPort
    # The address at which the entry receives reply envelopes.
    entry: HostPort
    # The service to whose address the datagram was sent.
    service: ShortId
    # The upstream to whose agent the datagram is sent.
    upstream: ShortId
    # The settings version of the process that wrote the first envelope.
    version: int


@dataclass(frozen=True, slots=True)
class ReplyHeader:
    """Header of an agent's datagram that an entry sends to a caller."""

    # The caller's address and port.
    caller: HostPort
    # The service whose address is the source of the datagram.
    service: ShortId
    # The upstream of the agent that sent the datagram.
    upstream: ShortId


class EnvelopeCodec:
    """Encodes and authenticates envelopes with a shared key."""

    def __init__(self, key: bytes) -> None:
        """Initialize with the key, which has at most 64 bytes."""
        self._keyed_hash = hashlib.blake2b(
            key=key,
            digest_size=_TAG_BYTES,
            person=b'envelope',
        )

    def seal_forward(self, header: ForwardHeader, payload: bytes) -> bytes:
        """Return a datagram that carries ``payload`` to an agent."""
        packed = _FORWARD_LAYOUT.pack(
            _WIRE_FORMAT,
            _KIND_FORWARD,
            header.hops,
            inet_aton(header.caller[0]),
            header.caller[1],
            inet_aton(header.entry[0]),
            header.entry[1],
            header.service,
            header.upstream,
            header.version,
        )
        return packed + self._tag(packed) + payload

    def seal_reply(self, header: ReplyHeader, payload: bytes) -> bytes:
        """Return a datagram that carries ``payload`` to an entry.

        An empty payload signals only that the agent is reachable.
        """
        packed = _REPLY_LAYOUT.pack(
            _WIRE_FORMAT,
            _KIND_REPLY,
            inet_aton(header.caller[0]),
            header.caller[1],
            header.service,
            header.upstream,
        )
        return packed + self._tag(packed) + payload

    def open_forward(
        self, datagram: bytes
    ) -> tuple[ForwardHeader, bytes] | None:
        """Return header and payload, or none if forged or malformed."""
        packed = self._verified_header(datagram, _FORWARD_LAYOUT.size)
        if packed is None:
            return None
        fields = _FORWARD_LAYOUT.unpack(packed)
        if fields[:2] != (_WIRE_FORMAT, _KIND_FORWARD):
            return None
        header = ForwardHeader(
            fields[2],
            (inet_ntoa(fields[3]), fields[4]),
            (inet_ntoa(fields[5]), fields[6]),
            *fields[7:],
        )
        return header, datagram[_FORWARD_LAYOUT.size + _TAG_BYTES :]

    def open_reply(self, datagram: bytes) -> tuple[ReplyHeader, bytes] | None:
        """Return header and payload, or none if forged or malformed."""
        packed = self._verified_header(datagram, _REPLY_LAYOUT.size)
        if packed is None:
            return None
        fields = _REPLY_LAYOUT.unpack(packed)
        if fields[:2] != (_WIRE_FORMAT, _KIND_REPLY):
            return None
        header = ReplyHeader((inet_ntoa(fields[2]), fields[3]), *fields[4:])
        return header, datagram[_REPLY_LAYOUT.size + _TAG_BYTES :]

    def _verified_header(self, datagram: bytes, size: int) -> bytes | None:
        packed = datagram[:size]
        if len(packed) < size:
            return None
        if self._tag(packed) != datagram[size : size + _TAG_BYTES]:
            return None
        return packed

    def _tag(self, packed: bytes) -> bytes:
        hasher = self._keyed_hash.copy()
        hasher.update(packed)
        return hasher.digest()


def relayed_header(
    header: ForwardHeader, upstream: ShortId
) -> ForwardHeader | None:
    """Return the header for relaying to ``upstream``, or none at the limit."""
    if header.hops >= MAX_HOPS:
        return None
    return replace(header, hops=header.hops + 1, upstream=upstream)
